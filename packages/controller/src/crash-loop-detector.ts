/** Tells faulty machines from faulty jobs, and backs off from both. */
import type { Attempt, JobRun, Machine } from './model.js'
import type { ShardState } from './state.js'

/** The longest wait before a job is retried on machines that it failed on, in agent leases. */
const MAX_RETRY_AGENT_LEASES = 4

/** The exponential backoff starts at one heartbeat interval and stops doubling there. */
const MAX_BACKOFF_DOUBLINGS = 10

/** Share of that wait after which a quarantined job is retried on machines that it has not failed on. */
const QUARANTINE_RETRY_SHARE = 1 / 2

/** Failures of jobs that succeed elsewhere from which on a machine is faulty. */
const CERTAIN_FAILURES = 2

/** Jobs without any success, and not quarantined, that failed on a machine, from which on it is faulty. */
const UNDECIDED_JOBS = 3

/**
 * An error is the machine's or the job's fault. Only a success elsewhere tells them apart, so a job that has not
 * succeeded yet is no evidence against a machine: a wide array submitted with a mistake starts on dozens of machines
 * before its first error is known, and healthy machines were drained for it (incident 8).
 */
export class CrashLoopDetector {
	constructor(private readonly state: ShardState) {}

	/** An attempt ended with an error. Times are steady time in ms. */
	onTaskFailed(machine: Machine, job: JobRun, attempt: Attempt, now: number): void {
		const { heartbeatMs } = this.state.config.limits
		const wasQuarantined = job.isQuarantined
		job.failedMachineIds.add(machine.id)
		if (now - job.lastFailureAt > heartbeatMs) job.failureCount++
		job.lastFailureAt = now
		machine.failuresByJob.set(job, (machine.failuresByJob.get(job) ?? 0) + 1)
		this.state.dependencies.log('info', 'task failed', {
			task: attempt.taskName,
			machine: machine.id,
			failures: job.failureCount,
		})
		const waitMs = this.retryWaitMs(job)
		job.retryFailedMachinesAt = now + waitMs
		if (job.isQuarantined) {
			// The machines that it has not failed on yet come first.
			job.retryNotBefore = now + waitMs * QUARANTINE_RETRY_SHARE
			if (!wasQuarantined) this.onQuarantined(job)
		}
		this.drainIfFaulty(machine)
	}

	private retryWaitMs(job: JobRun): number {
		const { agentLeaseMs, heartbeatMs } = this.state.config.limits
		const tries = Math.max(job.failureCount, job.failedMachineIds.size)
		const backoffMs = heartbeatMs * 2 ** Math.min(MAX_BACKOFF_DOUBLINGS, tries)
		return Math.min(agentLeaseMs * MAX_RETRY_AGENT_LEASES, backoffMs)
	}

	private onQuarantined(job: JobRun): void {
		this.state.queueDirty = true
		this.state.dependencies.log('info', 'job quarantined', {
			uid: job.spec.uid,
			machines: [...job.failedMachineIds],
		})
	}

	/** A task succeeded on this machine: what failed there before was the jobs' fault. */
	onTaskSucceeded(machine: Machine): void {
		machine.failuresByJob.clear()
		if (machine.drainReason === 'faulty') machine.drainReason = null
	}

	/** A job's first success: its failures now count against the machines they were on, and it is not held back. */
	onJobSucceeded(job: JobRun): void {
		if (job.failedMachineIds.size === 0) return
		job.retryNotBefore = 0
		this.state.queueDirty = true
		for (const id of job.failedMachineIds) {
			const machine = this.state.machines.get(id)
			if (machine !== undefined) this.drainIfFaulty(machine)
		}
	}

	/** Faulty: what runs elsewhere failed here twice, or three jobs of which nothing is known yet failed only here. */
	private drainIfFaulty(machine: Machine): void {
		if (machine.drainReason !== null) return
		let certain = 0
		let open = 0
		for (const [job, failures] of machine.failuresByJob)
			if (job.hasSucceeded) certain += failures
			else if (!job.isQuarantined) open++
		if (certain < CERTAIN_FAILURES && open < UNDECIDED_JOBS) return
		machine.drainReason = 'faulty'
		this.state.dependencies.log('info', 'faulty machine draining', { machine: machine.id, certain, open })
	}
}
