/** Selects the commands for a machine in the response to its heartbeat. */
import { type Command, MAX_COMMANDS_PER_RESPONSE } from '@heathroad/wire'
import type { Attempt, JobRun, Machine } from './model.js'
import type { ShardState } from './state.js'

/** Derives commands from a machine's attempts, and determines which outcomes the machine must still keep. */
export class MachineCommands {
	constructor(private readonly state: ShardState) {}

	/**
	 * Commands for a machine: forget and kill commands first, then starts of planned attempts, which become `sent`.
	 * A machine that may hold unknown tasks or whose address is not recorded receives no start commands.
	 */
	forHeartbeat(machine: Machine): Command[] {
		const commands: Command[] = []
		for (const attempt of machine.attempts.values()) {
			const command = this.forgetOrKill(attempt)
			if (command !== null) commands.push(command)
		}
		if (machine.reconciled && machine.addressRecorded && this.state.dependencies.leadership() !== 'none')
			this.addStarts(machine, commands)
		return commands.slice(0, MAX_COMMANDS_PER_RESPONSE)
	}

	private forgetOrKill(attempt: Attempt): Command | null {
		const { taskName } = attempt
		switch (attempt.state) {
			case 'planned':
			case 'sent':
				return null
			case 'exited':
				return this.mayForget(attempt) ? { verb: 'forget', taskName, attempt: attempt.attempt } : null
		}
		const isUnwanted = attempt.orphaned || attempt.job === null || attempt.job.isTerminal
		if (isUnwanted) return { verb: 'kill', taskName, attempt: attempt.attempt, gracePeriodS: 0 }
		if (attempt.stopGracePeriodS === null || attempt.state === 'checkpointing') return null
		return { verb: 'kill', taskName, attempt: attempt.attempt, gracePeriodS: attempt.stopGracePeriodS }
	}

	private addStarts(machine: Machine, commands: Command[]): void {
		for (const attempt of machine.attempts.values()) {
			if (attempt.state !== 'planned') continue
			if (commands.length >= MAX_COMMANDS_PER_RESPONSE) break
			commands.push({ verb: 'start', taskName: attempt.taskName, attempt: attempt.attempt })
			attempt.state = 'sent'
		}
	}

	/** A machine may forget an exited attempt once its completion is durable, or at once if it did not complete. */
	private mayForget(attempt: Attempt): boolean {
		if (attempt.exitReason !== 'completed') return true
		const { job } = attempt
		if (job !== null)
			return job.spec.kind === 'daemon' || job.isTerminal || job.durableDoneTasks.has(attempt.taskIndex)
		const record = this.state.dependencies.job(attempt.uid)?.record
		return record === undefined || record.finalState !== undefined
	}

	/** Jobs with outcomes on this machine that are not durable yet; null represents jobs of other shards. */
	jobsWithUndurableOutcomes(machine: Machine): Set<JobRun | null> {
		const jobs = new Set<JobRun | null>()
		for (const attempt of machine.attempts.values())
			if (attempt.state === 'exited' && !this.mayForget(attempt)) jobs.add(attempt.job)
		return jobs
	}
}
