/** Regular check of every machine: lease expiry, missed heartbeats, boots that never end, draining and idleness. */

import type { FailureDetector } from './failure-detector.js'
import type { MachineCommands } from './machine-commands.js'
import { gracePeriodS, type JobRun, type Machine } from './model.js'
import { MAX_MISSED_HEARTBEATS, type ShardState } from './state.js'
import type { TakeoverReconciler } from './takeover-reconciler.js'

/** Share of a boot's time that a machine stays idle: waiting that long costs half a boot, in case work comes. */
const IDLE_BOOT_SHARE = 0.5

/** A preemption notice can turn out half as long as it said. */
const RELIABLE_NOTICE_SHARE = 0.5

/** Heartbeat intervals that a kill command takes to arrive and its effect to be reported. */
const KILL_ROUND_TRIP_HEARTBEATS = 2

/** Result of one check of all machines. */
export interface MachineCheckResult {
	/** machines to return to the cloud now, or whose release is to be repeated */
	toRelease: Machine[]
	/** jobs whose undurable outcomes keep an empty machine; null stands for jobs of other shards */
	jobsToWrite: Set<JobRun | null>
}

/** What is the same for all machines of one check. */
interface CheckContext {
	now: number
	/** some job waits for room on machines */
	jobsWait: boolean
}

/** Starts are sent in answers to heartbeats, and only to machines whose address is durable. */
const cannotStartTasksYet = ({ heartbeatReceived, addressRecorded }: Machine): boolean =>
	!(heartbeatReceived && addressRecorded)

/** Finds the machines that are to be returned, and expires the attempts of machines whose agent lease has ended. */
export class MachineMonitor {
	constructor(
		private readonly state: ShardState,
		private readonly failureDetector: FailureDetector,
		private readonly commands: MachineCommands,
		private readonly takeover: TakeoverReconciler,
	) {}

	/** Checks all machines once, in the order in which they became known. */
	checkAll(now: number): MachineCheckResult {
		const toRelease: Machine[] = []
		const jobsToWrite = new Set<JobRun | null>()
		const context = { now, jobsWait: this.state.hasWaitingJobs(now) }
		for (const machine of this.state.machines.values()) {
			if (this.check(machine, context, jobsToWrite)) toRelease.push(machine)
		}
		return { toRelease, jobsToWrite }
	}

	/** Checks one machine and adds the jobs whose outcomes keep it; true if it is to be released now. */
	private check(machine: Machine, { now, jobsWait }: CheckContext, jobsToWrite: Set<JobRun | null>): boolean {
		if (machine.releasing) {
			// While the cloud is down its release may take long: the lease frees its tasks all the same.
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
		// Until they are durable, the outcomes of its ended tasks are on this machine only.
		const unwritten = this.commands.jobsWithUndurableOutcomes(machine)
		for (const job of unwritten) jobsToWrite.add(job)
		return unwritten.size === 0 && machine.drainReason !== null && machine.preemptionDeadline === null
	}

	/** A few machines never boot; they cost money until they are released. */
	private checkBoot(machine: Machine, now: number): boolean {
		const maxBootMs = Math.max(
			this.state.bootTimes.returnAfterMs(machine.type),
			this.state.config.limits.agentLeaseMs,
		)
		if (now - machine.discoveredAt <= maxBootMs) return false
		machine.drainReason = 'never came up'
		return true
	}

	/** Withdraws plans for a machine that misses heartbeats and expires its lease; true if it is to be released now. */
	private checkHeartbeats(machine: Machine, now: number): boolean {
		const maxSilenceMs = this.state.config.limits.heartbeatMs * MAX_MISSED_HEARTBEATS
		if (now - machine.lastHeartbeatAt > maxSilenceMs)
			for (const attempt of [...machine.attempts.values()])
				if (attempt.state === 'planned') this.state.removeAttempt(machine, attempt)
		this.checkLease(machine, now)
		if (!this.failureDetector.shouldReturn(machine, now)) return false
		machine.drainReason ??= 'silent'
		return true
	}

	/** A machine whose agent lease must have ended runs nothing any more: its tasks may start elsewhere. */
	private checkLease(machine: Machine, now: number): void {
		if (now - machine.lastHeartbeatAt <= this.state.config.limits.agentLeaseMs) return
		for (const attempt of [...machine.attempts.values()]) {
			if (attempt.state === 'exited' && attempt.accountedFor) continue
			this.state.dependencies.log('info', 'agent lease expired', {
				task: attempt.taskName,
				machine: machine.id,
			})
			this.state.removeAttempt(machine, attempt)
		}
		if (machine.reconciled) return
		// Its next heartbeat will be of a new agent epoch; what it held under a former owner is gone.
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

	/** Withdraws plans, and stops tasks at the last moment at which they can still save; the rest may still finish. */
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
			// What cannot save is stopped at the last moment all the same: its task can then start elsewhere at once, not
			// only when the dead machine's lease has expired.
			const saveS = spec.checkpointS > 0 ? spec.saveS : 0
			if (remainingS * RELIABLE_NOTICE_SHARE < saveS + killRoundTripS)
				attempt.stopGracePeriodS = gracePeriodS(spec)
		}
	}
}
