/** Periodic check of every machine: lease expiry, missed heartbeats, failed boots, draining and idleness. */

import type { FailureDetector } from './failure-detector.js'
import type { MachineCommands } from './machine-commands.js'
import { gracePeriodS, type JobRun, type Machine } from './model.js'
import { MAX_MISSED_HEARTBEATS, type ShardState } from './state.js'
import type { TakeoverReconciler } from './takeover-reconciler.js'

/** Idle time before release, as a share of boot time: keeping the machine for new work costs up to half a boot. */
const IDLE_BOOT_SHARE = 0.5

/** Share of the announced preemption notice to rely on: a machine can be lost after half of it. */
const RELIABLE_NOTICE_SHARE = 0.5

/** Heartbeat intervals until a kill command is delivered and its effect is reported. */
const KILL_ROUND_TRIP_HEARTBEATS = 2

/** Result of one check of all machines. */
export interface MachineCheckResult {
	/** machines to release to the cloud now, or whose release is to be retried */
	toRelease: Machine[]
	/** jobs whose undurable outcomes block the release of an empty machine; null represents jobs of other shards */
	jobsToWrite: Set<JobRun | null>
}

/** Values shared by all machines of one check. */
interface CheckContext {
	now: number
	/** some job is waiting for free resources */
	jobsWait: boolean
}

/** Start commands are sent in heartbeat responses, and only to machines whose address is durable. */
const cannotStartTasksYet = ({ heartbeatReceived, addressRecorded }: Machine): boolean =>
	!(heartbeatReceived && addressRecorded)

/** Finds machines to release, and removes the attempts of machines whose agent lease has expired. */
export class MachineMonitor {
	constructor(
		private readonly state: ShardState,
		private readonly failureDetector: FailureDetector,
		private readonly commands: MachineCommands,
		private readonly takeover: TakeoverReconciler,
	) {}

	/** Checks all machines once, in the order in which they were added. */
	checkAll(now: number): MachineCheckResult {
		const toRelease: Machine[] = []
		const jobsToWrite = new Set<JobRun | null>()
		const context = { now, jobsWait: this.state.hasWaitingJobs(now) }
		for (const machine of this.state.machines.values()) {
			if (this.check(machine, context, jobsToWrite)) toRelease.push(machine)
		}
		return { toRelease, jobsToWrite }
	}

	/** Checks one machine and adds the jobs whose outcomes block its release; true if it is to be released now. */
	private check(machine: Machine, { now, jobsWait }: CheckContext, jobsToWrite: Set<JobRun | null>): boolean {
		if (machine.releasing) {
			// During a cloud outage the release may take long; lease expiry still requeues the machine's tasks.
			if (machine.booted) this.checkLease(machine, now)
			return now >= machine.retryReleaseAt
		}
		if (!machine.booted) return this.checkBoot(machine, now)
		if (this.checkHeartbeats(machine, now)) return true
		const isBusy = this.hasActiveAttempts(machine)
		machine.idleSince = isBusy ? null : (machine.idleSince ?? now)
		if (machine.drainReason !== null) this.drain(machine, now)
		if (isBusy || !machine.reconciled || !this.state.reconciled) return false
		const mayGetWork = jobsWait && cannotStartTasksYet(machine)
		if (machine.drainReason === null && this.isIdleTooLong(machine, now) && !mayGetWork)
			machine.drainReason = 'idle'
		// Outcomes of exited tasks exist only on this machine until they are durable.
		const unwritten = this.commands.jobsWithUndurableOutcomes(machine)
		for (const job of unwritten) jobsToWrite.add(job)
		return unwritten.size === 0 && machine.drainReason !== null && machine.preemptionDeadline === null
	}

	/** True if the machine has not booted in time: a few never do, and cost money until they are released. */
	private checkBoot(machine: Machine, now: number): boolean {
		const maxBootMs = Math.max(
			this.state.bootTimes.releaseAfterMs(machine.type),
			this.state.config.limits.agentLeaseMs,
		)
		if (now - machine.discoveredAt <= maxBootMs) return false
		machine.drainReason = 'never came up'
		return true
	}

	/** Removes planned attempts if heartbeats are missed, and checks the lease; true if it is to be released now. */
	private checkHeartbeats(machine: Machine, now: number): boolean {
		const maxSilenceMs = this.state.config.limits.heartbeatMs * MAX_MISSED_HEARTBEATS
		if (now - machine.lastHeartbeatAt > maxSilenceMs)
			for (const attempt of [...machine.attempts.values()])
				if (attempt.state === 'planned') this.state.removeAttempt(machine, attempt)
		this.checkLease(machine, now)
		if (!this.failureDetector.shouldRelease(machine, now)) return false
		machine.drainReason ??= 'silent'
		return true
	}

	/** After its agent lease has expired a machine runs no tasks, so they may start elsewhere. */
	private checkLease(machine: Machine, now: number): void {
		if (now - machine.lastHeartbeatAt <= this.state.config.limits.agentLeaseMs) return
		for (const attempt of [...machine.attempts.values()]) {
			if (attempt.state === 'exited' && attempt.exitProcessed) continue
			this.state.dependencies.log('info', 'agent lease expired', {
				task: attempt.taskName,
				machine: machine.id,
			})
			this.state.removeAttempt(machine, attempt)
		}
		if (machine.reconciled) return
		// Its next heartbeat will have a new agent epoch; its tasks from a former owner are gone.
		machine.reconciled = true
		this.takeover.confirm(machine)
	}

	private hasActiveAttempts(machine: Machine): boolean {
		for (const attempt of machine.attempts.values()) if (attempt.state !== 'exited') return true
		return false
	}

	private isIdleTooLong(machine: Machine, now: number): boolean {
		if (machine.idleSince === null) return false
		const { limits, tuning } = this.state.config
		const maxIdleMs = Math.min(
			limits.heartbeatMs * tuning.idleHeartbeats,
			machine.type.bootS * 1000 * IDLE_BOOT_SHARE,
		)
		return now - machine.idleSince > maxIdleMs
	}

	/** Removes planned attempts, and stops tasks at the last moment at which they can still save; others may finish. */
	private drain(machine: Machine, now: number): void {
		const remainingS =
			machine.preemptionDeadline === null
				? Number.POSITIVE_INFINITY
				: (machine.preemptionDeadline - now) / 1000
		const killRoundTripS = (KILL_ROUND_TRIP_HEARTBEATS * this.state.config.limits.heartbeatMs) / 1000
		for (const attempt of machine.attempts.values()) {
			if (attempt.state === 'planned') {
				this.state.removeAttempt(machine, attempt)
				continue
			}
			const spec = attempt.job?.spec
			if (attempt.state !== 'running' || spec === undefined || attempt.stopGracePeriodS !== null) continue
			// Tasks without checkpoints are stopped at the last moment too: they can then start elsewhere at once, rather
			// than when the lost machine's lease expires.
			const saveS = spec.checkpointS > 0 ? spec.saveS : 0
			if (remainingS * RELIABLE_NOTICE_SHARE < saveS + killRoundTripS)
				attempt.stopGracePeriodS = gracePeriodS(spec)
		}
	}
}
