/** Life cycle of a shard's jobs: intake, terminal states, cancellation and migration to other shards. */
import { type JobRecord, progressChunkKey, TASKS_PER_CHUNK } from '@heathroad/cluster'
import { RangeSet } from '@heathroad/policy'
import { type DirectCommand, type Heartbeat, type JobSpec, MAX_COMMANDS_PER_RESPONSE } from '@heathroad/wire'
import type { AdmissionGate } from './admission-gate.js'
import { createBudgetLedger } from './job-budget.js'
import { JobRun, type Machine } from './model.js'
import type { ScaleOut } from './scale-out.js'
import type { Scheduler } from './scheduler.js'
import type { ShardState } from './state.js'

type FinalState = NonNullable<JobRecord['finalState']>

/** Circumstances in which an owner adds a job to its shard. */
export interface JobIntake {
	/** a former owner may have started tasks on machines that have not reported yet: no task is ready until they have */
	mayBeOnMachines: boolean
}

/** The other components of the shard that take part in a job's life cycle. */
export interface JobLifecycleDependencies {
	gate: AdmissionGate
	scaleOut: ScaleOut
	scheduler: Scheduler
	/** applies the heartbeat in the answer to a kill command */
	reconcile(machine: Machine, heartbeat: Heartbeat): void
}

/** Keeps `ShardState.jobs` consistent with the jobs' records. */
export class JobLifecycle {
	constructor(
		private readonly state: ShardState,
		private readonly dependencies: JobLifecycleDependencies,
	) {}

	/** Called when a job's record has changed or was read after a takeover. */
	onJobChanged(uid: string, record: JobRecord, intake: JobIntake): void {
		const { gate } = this.dependencies
		const job = this.state.jobs.get(uid)
		if (record.shardId !== this.state.shardId) {
			gate.drop(uid)
			if (job !== undefined) this.onMigratedAway(job)
			return
		}
		if (record.finalState !== undefined) {
			gate.drop(uid)
			if (job !== undefined && !job.isTerminal) this.markTerminal(job, record.finalState)
			return
		}
		if (job !== undefined || record.spec === undefined) return
		if (!this.state.dependencies.isPendingRelease(uid, record)) {
			gate.drop(uid)
			this.addJob(record.spec, record, intake)
		} else if (!gate.has(uid)) gate.hold(record.spec, record)
	}

	/** Called when a job that was pending release may start, or one of its tasks was seen on a machine. */
	onReleased(uid: string): void {
		const record = this.state.dependencies.job(uid)?.record
		if (
			record?.spec === undefined ||
			record.shardId !== this.state.shardId ||
			record.finalState !== undefined
		)
			return
		if (!this.state.jobs.has(uid))
			this.addJob(record.spec, record, { mayBeOnMachines: !this.state.reconciled })
	}

	/** See `Shard.applyCancellation`. */
	onCancelled(uid: string): void {
		this.dependencies.gate.drop(uid)
		const job = this.state.jobs.get(uid)
		if (job !== undefined && !job.isTerminal) this.markTerminal(job, 'aborted')
	}

	private addJob(spec: JobSpec, record: JobRecord, { mayBeOnMachines }: JobIntake): void {
		const { uid } = spec
		const { dependencies, config } = this.state
		const offers = this.dependencies.scaleOut.suitableOffers(spec, false)
		const budget = createBudgetLedger(spec, offers, config.tuning.budgetMix)
		const job = new JobRun(spec, record.acceptedAtMs ?? 0, budget, !mayBeOnMachines)
		job.doneTasks = this.readDoneTasks(spec, record)
		job.durableDoneTasks = job.doneTasks.copy()
		job.lastWrittenAt = dependencies.now()
		job.arrivedAt = job.lastWrittenAt
		job.wasQuarantined = dependencies.wasQuarantined(uid)
		if (!mayBeOnMachines) {
			job.readyTasks = RangeSet.full(spec.tasks)
			job.readyTasks.deleteAll(job.doneTasks)
		}
		this.state.jobs.set(uid, job)
		this.state.queueDirty = true
		if (!mayBeOnMachines) this.dependencies.scheduler.placeTasks(this.state.machines.values())
	}

	/** Reads the done tasks: those of the first chunk from the job's record, the others from separate keys. */
	private readDoneTasks(spec: JobSpec, record: JobRecord): RangeSet {
		const doneTasks = new RangeSet(record.doneRanges ?? [])
		for (let chunk = 1; chunk * TASKS_PER_CHUNK < spec.tasks; chunk++) {
			const bounds = this.state.dependencies.entry(progressChunkKey(spec.uid, chunk))?.data
			if (!Array.isArray(bounds)) continue
			const firstTask = chunk * TASKS_PER_CHUNK
			for (let i = 0; i + 1 < bounds.length; i += 2)
				doneTasks.addRange(firstTask + Number(bounds[i]), firstTask + Number(bounds[i + 1]))
		}
		return doneTasks
	}

	private markTerminal(job: JobRun, finalState: FinalState): void {
		job.isTerminal = true
		job.readyTasks = new RangeSet()
		this.withdrawPlannedAttempts(job)
		this.state.queueDirty = true
		this.state.dependencies.log('info', 'job terminal', { uid: job.spec.uid, how: finalState })
		if (finalState === 'aborted') this.killRunningTasks(job)
		if (job.placements.size === 0) this.state.jobs.delete(job.spec.uid)
	}

	/** The job now belongs to another shard; none of its tasks was on a machine here when its migration was decided. */
	private onMigratedAway(job: JobRun): void {
		this.withdrawPlannedAttempts(job)
		for (const attempt of job.placements.values()) attempt.orphaned = true
		this.state.jobs.delete(job.spec.uid)
		this.state.queueDirty = true
	}

	private withdrawPlannedAttempts(job: JobRun): void {
		for (const attempt of [...job.placements.values()])
			if (attempt.state === 'planned') this.state.removeAttempt(attempt.machine, attempt)
	}

	/** Sends kill commands to the machines directly instead of waiting for their next heartbeats. */
	private killRunningTasks(job: JobRun): void {
		const commandsByMachine = new Map<Machine, DirectCommand[]>()
		for (const { machine, taskName, attempt } of job.placements.values()) {
			const commands = commandsByMachine.get(machine) ?? []
			commands.push({ verb: 'kill', taskName, attempt, gracePeriodS: 0 })
			commandsByMachine.set(machine, commands)
		}
		for (const [machine, commands] of commandsByMachine) {
			if (machine.address === null || !machine.reconciled) continue
			this.state.dependencies.sendCommands(
				machine.address,
				machine.fencingToken,
				machine.agentEpoch,
				commands.slice(0, MAX_COMMANDS_PER_RESPONSE),
				(status, heartbeat) => {
					if (status === 200 && heartbeat !== null) this.dependencies.reconcile(machine, heartbeat)
				},
			)
		}
	}
}
