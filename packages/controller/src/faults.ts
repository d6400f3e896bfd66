import type { Attempt, JobRun, Machine } from './model.js'
import type { ShardState } from './state.js'

/**
 * An error is the machine's or the job's. Only what succeeds elsewhere tells them apart, so a job that has not succeeded
 * yet is no evidence against a machine: a wide array submitted with a mistake starts on dozens of machines before its
 * first error is known, and healthy machines were drained for it (incident 8).
 */
export class CrashLoopDetector {
	constructor(private readonly state: ShardState) {}

	onTaskFailed(machine: Machine, job: JobRun, attempt: Attempt, now: number): void {
		const { agentLeaseMs: leaseMs, heartbeatMs: reportMs } = this.state.config.limits
		const before = job.isQuarantined
		job.failedMachineIds.add(machine.id)
		if (now - job.lastFailureAt > reportMs) job.failureCount++
		job.lastFailureAt = now
		machine.failuresByJob.set(job, (machine.failuresByJob.get(job) ?? 0) + 1)
		this.state.ports.log('info', 'task failed', {
			task: attempt.taskName,
			machine: machine.id,
			failures: job.failureCount,
		})
		const tries = Math.max(job.failureCount, job.failedMachineIds.size)
		const waitMs = Math.min(leaseMs * 4, reportMs * 2 ** Math.min(10, tries))
		job.retryFailedMachinesAt = now + waitMs
		if (job.isQuarantined) {
			// The machines that it has not failed on yet come first.
			job.retryNotBefore = now + waitMs / 2
			if (!before) {
				this.state.queueDirty = true
				this.state.ports.log('info', 'job quarantined', {
					uid: job.spec.uid,
					machines: [...job.failedMachineIds],
				})
			}
		}
		this.judge(machine)
	}

	/** A task ended well here: what failed before was the jobs' fault. */
	onTaskSucceeded(machine: Machine): void {
		machine.failuresByJob.clear()
		if (machine.drainReason === 'faulty') machine.drainReason = null
	}

	/** A job's first success: what failed elsewhere speaks against those machines, and nothing holds it back. */
	onJobSucceeded(job: JobRun): void {
		if (job.failedMachineIds.size === 0) return
		job.retryNotBefore = 0
		this.state.queueDirty = true
		for (const id of job.failedMachineIds) {
			const m = this.state.machines.get(id)
			if (m !== undefined) this.judge(m)
		}
	}

	/** Faulty: what runs elsewhere failed here twice, or three jobs of which nothing is known yet failed only here. */
	private judge(machine: Machine): void {
		if (machine.drainReason !== null) return
		let certain = 0
		let open = 0
		for (const [job, times] of machine.failuresByJob)
			if (job.hasSucceeded) certain += times
			else if (!job.isQuarantined) open++
		if (certain < 2 && open < 3) return
		machine.drainReason = 'faulty'
		this.state.ports.log('info', 'faulty machine draining', { machine: machine.id, certain, open })
	}
}
