/** Distinguishes faulty machines from faulty jobs, and backs off from both. */
import type { Attempt, JobRun, Machine } from './model.js'
import type { ShardState } from './state.js'

/** Maximum backoff before a job is retried on machines that it failed on, in agent leases. */
const MAX_RETRY_AGENT_LEASES = 4

/** Doublings of the exponential backoff, which starts at one heartbeat interval. */
const MAX_BACKOFF_DOUBLINGS = 10

/** Fraction of the backoff after which a quarantined job is retried on machines that it has not failed on. */
const QUARANTINE_RETRY_FRACTION = 1 / 2

/** A machine is faulty from this number of failures of jobs that have succeeded. */
const MIN_CERTAIN_FAILURES = 2

/** A machine is faulty from this number of failed jobs that have neither succeeded nor been quarantined. */
const MIN_UNDECIDED_JOBS = 3

/**
 * Attributes task failures to the machine or to the job. Only a success elsewhere shows which is at fault, so failures
 * of a job that has not succeeded yet are no evidence against a machine: a wide job array submitted with a mistake
 * starts on dozens of machines before its first error is known, and healthy machines were drained for it (incident 8).
 */
export class CrashLoopDetector {
	constructor(private readonly state: ShardState) {}

	/** Called when an attempt has exited with an error. `now`: monotonic time in ms. */
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
			// Machines that it has not failed on yet are tried first.
			job.pausedUntil = now + waitMs * QUARANTINE_RETRY_FRACTION
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

	/** Called when a task has succeeded on this machine: earlier failures there were the jobs' fault. */
	onTaskSucceeded(machine: Machine): void {
		machine.failuresByJob.clear()
		if (machine.drainReason === 'faulty') machine.drainReason = null
	}

	/** Called on a job's first success: ends its backoff, and its failures now count against the machines they were on. */
	onJobSucceeded(job: JobRun): void {
		if (job.failedMachineIds.size === 0) return
		job.pausedUntil = 0
		this.state.queueDirty = true
		for (const id of job.failedMachineIds) {
			const machine = this.state.machines.get(id)
			if (machine !== undefined) this.drainIfFaulty(machine)
		}
	}

	/** Drains the machine if jobs that succeed elsewhere failed here twice, or if three undecided jobs failed here. */
	private drainIfFaulty(machine: Machine): void {
		if (machine.drainReason !== null) return
		let certain = 0
		let open = 0
		for (const [job, failures] of machine.failuresByJob)
			if (job.hasSucceeded) certain += failures
			else if (!job.isQuarantined) open++
		if (certain < MIN_CERTAIN_FAILURES && open < MIN_UNDECIDED_JOBS) return
		machine.drainReason = 'faulty'
		this.state.dependencies.log('info', 'faulty machine draining', { machine: machine.id, certain, open })
	}
}
