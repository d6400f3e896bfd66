/** Tracks the reported states of attempts and processes the exit of each attempt exactly once. */
import type { ReportedTask } from '@heathroad/wire'
import type { CrashLoopDetector } from './crash-loop-detector.js'
import type { Attempt, JobRun } from './model.js'
import type { ProgressWriter } from './progress-writer.js'
import type { ShardState } from './state.js'

/** Heartbeat intervals for which nothing is started on a machine, or for a job, after a rejected start. */
const REJECTED_START_PAUSE_HEARTBEATS = 2

/** Applies reported task states to attempts, their jobs and their machines. */
export class AttemptTracker {
	constructor(
		private readonly state: ShardState,
		private readonly crashLoops: CrashLoopDetector,
		private readonly progress: ProgressWriter,
	) {}

	/** Applies the reported state of an attempt that is on its machine. */
	update(attempt: Attempt, reported: ReportedTask, now: number): void {
		const { job, machine } = attempt
		const isRunning = reported.state === 'running'
		if (attempt.startedAt === null && (isRunning || reported.state === 'pulling-image'))
			attempt.startedAt = now
		if (isRunning && attempt.state !== 'running' && job !== null)
			this.state.recordCachedImage(machine, job.spec)
		attempt.state = reported.state
		if (isRunning && job?.spec.kind === 'daemon' && this.hasOutlivedAgentLease(attempt, now))
			job.outlivedAgentLease = true
		if (reported.state !== 'exited' || attempt.exitProcessed) return
		this.onEnded(attempt, reported, now)
	}

	private hasOutlivedAgentLease({ startedAt }: Attempt, now: number): boolean {
		return startedAt !== null && now - startedAt > this.state.config.limits.agentLeaseMs
	}

	private onEnded(attempt: Attempt, reported: ReportedTask, now: number): void {
		const { job, machine } = attempt
		attempt.exitReason = reported.exitReason
		const spent = this.state.attemptCost(attempt)
		this.state.releaseResources(machine, attempt)
		if (reported.exitReason === 'completed') {
			this.crashLoops.onTaskSucceeded(machine)
			if (job !== null && reported.taskIndex < job.spec.tasks) this.onTaskSucceeded(job, attempt, spent, now)
			return
		}
		if (job === null || job.isTerminal) return
		this.onUnsuccessfulEnd(job, attempt, now)
		if (!attempt.orphaned) job.budget.refundTask(attempt.uid, attempt.budgetShare, spent)
		this.state.requeueTask(attempt)
	}

	private onTaskSucceeded(job: JobRun, attempt: Attempt, spent: number, now: number): void {
		if (job.isTerminal || job.spec.kind === 'daemon') {
			this.state.requeueTask(attempt)
			return
		}
		const isFirstSuccess = !job.hasSucceeded
		if (!job.doneTasks.add(attempt.taskIndex)) return
		job.readyTasks.delete(attempt.taskIndex)
		if (isFirstSuccess) this.crashLoops.onJobSucceeded(job)
		job.budget.finishTask(attempt.budgetShare, spent)
		if (attempt.startedAt !== null)
			this.state.observeRunTime(
				job.spec,
				(now - attempt.startedAt) / 1000 + (job.checkpointedS.get(attempt.taskIndex) ?? 0),
			)
		job.checkpointedS.delete(attempt.taskIndex)
		this.withdrawOtherPlacement(job, attempt.taskIndex)
		if (job.doneTasks.size >= job.spec.tasks) this.progress.write(job)
	}

	/** The task is done: another placement of it is withdrawn if it is only planned, else the attempt is orphaned. */
	private withdrawOtherPlacement(job: JobRun, taskIndex: number): void {
		const other = job.placements.get(taskIndex)
		if (other === undefined) return
		if (other.state === 'planned') this.state.removeAttempt(other.machine, other)
		else other.orphaned = true
	}

	private onUnsuccessfulEnd(job: JobRun, attempt: Attempt, now: number): void {
		const { machine } = attempt
		const pauseUntil = now + this.state.config.limits.heartbeatMs * REJECTED_START_PAUSE_HEARTBEATS
		switch (attempt.exitReason) {
			case 'stopped':
				if (job.spec.checkpointS > 0 && attempt.startedAt !== null)
					job.checkpointedS.set(
						attempt.taskIndex,
						(job.checkpointedS.get(attempt.taskIndex) ?? 0) + (now - attempt.startedAt) / 1000,
					)
				return
			case 'failed':
				this.crashLoops.onTaskFailed(machine, job, attempt, now)
				return
			case 'insufficient-resources':
			case 'attempt-conflict':
				// The machine's recorded load is wrong: nothing starts there until its next heartbeats have corrected it.
				machine.cordonedUntil = pauseUntil
				this.logRejectedStart(attempt)
				return
			case 'unknown-job':
				job.pausedUntil = pauseUntil
				this.logRejectedStart(attempt)
				return
		}
	}

	private logRejectedStart(attempt: Attempt): void {
		this.state.dependencies.log('info', 'task start rejected', {
			task: attempt.taskName,
			machine: attempt.machine.id,
			cause: attempt.exitReason,
		})
	}
}
