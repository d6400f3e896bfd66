/** Reconciles a machine's heartbeat with the attempts that the shard knows on that machine. */
import type { Heartbeat, ReportedTask } from '@heathroad/wire'
import type { AdmissionGate } from './admission-gate.js'
import type { AttemptTracker } from './attempt-tracker.js'
import { isNewerHeartbeat } from './heartbeat-order.js'
import type { Attempt, JobRun, Machine } from './model.js'
import type { ShardState } from './state.js'
import type { TakeoverReconciler } from './takeover-reconciler.js'

/** How a heartbeat reached the controller. */
export interface HeartbeatOrigin {
	/**
	 * The machine sent the heartbeat after receiving the response to its previous one, so the heartbeat reflects the start
	 * commands in that response. False for the heartbeat in the answer to a directly sent command.
	 */
	followsResponse: boolean
}

/**
 * Applies heartbeats to the shard's state. Ignores heartbeats that are not newer than the latest one, and those of machines
 * that have left the shard: the answer to a direct command may arrive after its machine was released, and an attempt on such
 * a machine would never be removed, so that its task would never start again.
 */
export class HeartbeatReconciler {
	constructor(
		private readonly state: ShardState,
		private readonly gate: AdmissionGate,
		private readonly attempts: AttemptTracker,
		private readonly takeover: TakeoverReconciler,
	) {}

	/** Applies a heartbeat to its machine and the attempts on it. */
	reconcile(machine: Machine, heartbeat: Heartbeat, origin: HeartbeatOrigin): void {
		if (this.state.stopped || this.state.machines.get(machine.id) !== machine) return
		if (!isNewerHeartbeat(heartbeat, machine)) return
		machine.agentEpoch = heartbeat.agentEpoch
		machine.heartbeatSequence = heartbeat.sequence
		const now = this.state.dependencies.now()
		this.updatePreemptionDeadline(machine, heartbeat.preemptionNoticeS, now)
		const reportedByKey = new Map(heartbeat.tasks.map((task) => [`${task.taskName}#${task.attempt}`, task]))
		// Missing attempts go first: an attempt here that follows a missing one would seem to be a duplicate (incident 26).
		this.removeMissingAttempts(machine, reportedByKey, origin)
		for (const [key, task] of reportedByKey) {
			const attempt = machine.attempts.get(key) ?? this.addUnknownAttempt(machine, task, key)
			this.attempts.update(attempt, task, now)
		}
		if (!machine.reconciled && heartbeat.fencingToken >= machine.fencingToken) {
			machine.reconciled = true
			this.takeover.confirm(machine)
		}
		this.state.recomputeFreeResources(machine)
	}

	private updatePreemptionDeadline(machine: Machine, noticeS: number | null, now: number): void {
		if (noticeS === null) {
			machine.preemptionDeadline = null
			return
		}
		const deadline = now + noticeS * 1000
		if (machine.preemptionDeadline !== null) {
			machine.preemptionDeadline = Math.min(machine.preemptionDeadline, deadline)
			return
		}
		machine.preemptionDeadline = deadline
		machine.drainReason = 'spot notice'
		this.state.dependencies.log('info', 'preemption notice', { machine: machine.id, noticeS })
	}

	private removeMissingAttempts(
		machine: Machine,
		reportedByKey: ReadonlyMap<string, ReportedTask>,
		{ followsResponse }: HeartbeatOrigin,
	): void {
		for (const attempt of [...machine.attempts.values()]) {
			if (reportedByKey.has(attempt.key) || attempt.state === 'planned') continue
			// The answer to a direct command may overtake the response that carries the start command.
			if (attempt.state === 'sent' && !followsResponse) continue
			if (attempt.state !== 'sent' && !attempt.exitProcessed)
				this.state.dependencies.log('debug', 'task disappeared', {
					task: attempt.taskName,
					machine: machine.id,
					state: attempt.state,
				})
			this.state.removeAttempt(machine, attempt)
		}
	}

	/** Records an attempt that this owner did not start: either a former owner's, or one that must not run. */
	private addUnknownAttempt(machine: Machine, task: ReportedTask, key: string): Attempt {
		this.gate.onTaskSeen(task.uid)
		const job = this.state.jobs.get(task.uid) ?? null
		const record = job === null ? this.state.dependencies.job(task.uid)?.record : undefined
		// The task is here although planned elsewhere: the plan is withdrawn.
		const other = job?.placements.get(task.taskIndex)
		if (other?.state === 'planned' && task.state !== 'exited') this.state.removeAttempt(other.machine, other)
		const isUseful = job !== null && this.needsAttempt(job, task.taskIndex)
		const need = job?.spec ?? record?.resources ?? { cpus: 0, gpus: 0, ramGb: 0, team: '' }
		const attempt: Attempt = {
			key,
			taskName: task.taskName,
			uid: task.uid,
			machine,
			taskIndex: task.taskIndex,
			attempt: task.attempt,
			job,
			state: task.state,
			exitReason: null,
			exitProcessed: false,
			orphaned: !isUseful,
			stopGracePeriodS: null,
			startedAt: null,
			budgetShare: 0,
			resources: { cpus: need.cpus, gpus: need.gpus, ramGb: need.ramGb, team: need.team },
		}
		if (isUseful) {
			job.readyTasks.delete(task.taskIndex)
			attempt.budgetShare = job.budget.startTask(task.uid)
		}
		this.state.addAttempt(machine, attempt)
		return attempt
	}

	/** Whether an attempt that was found on a machine may become the placement of its task. */
	private needsAttempt(job: JobRun, taskIndex: number): boolean {
		return (
			!job.isTerminal &&
			taskIndex < job.spec.tasks &&
			!job.doneTasks.has(taskIndex) &&
			!job.placements.has(taskIndex) &&
			(!job.isReconciled || job.readyTasks.has(taskIndex))
		)
	}
}
