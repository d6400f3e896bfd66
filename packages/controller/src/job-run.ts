/** Run state of a job at its shard's owner: which tasks are ready, placed or done, and its failures. */
import type { BudgetLedger } from '@heathroad/policy'
import { RangeSet } from '@heathroad/policy'
import type { QueuedWrite } from '@heathroad/store'
import type { JobSpec } from '@heathroad/wire'
import type { Attempt } from './model.js'

/** A job without success is quarantined once it has failed on this number of machines. */
const MIN_QUARANTINE_MACHINES = 2

/** A job without success is quarantined after this number of failures, on whichever machines. */
const MIN_QUARANTINE_FAILURES = 3

/** Mutable state of one job. Times are monotonic time in ms. */
export class JobRun {
	/** tasks that are not done and are absent from all machines: they may be started */
	readyTasks = new RangeSet()
	doneTasks = new RangeSet()
	/** done tasks that are recorded durably */
	durableDoneTasks = new RangeSet()
	/** task -> the attempt that may be on a machine, or is planned for one */
	placements = new Map<number, Attempt>()
	/** task -> number of its orphaned attempts on machines: it does not start until they are gone */
	readonly orphanCounts = new Map<number, number>()
	taskCountByZone = new Map<string, number>()
	/** done or cancelled */
	isTerminal = false
	/** the next write of its record, queued or in flight */
	pendingWrite: QueuedWrite | null = null
	/** `pendingWrite` may have been sent: the mod revision of the job's own key may change at any moment */
	isRecordWriteInFlight = false
	lastWrittenAt = 0
	/** no task starts before this time */
	pausedUntil = 0
	/** when it arrived in this shard under this owner */
	arrivedAt = 0
	/** being migrated to another shard: no task may start here */
	migrating = false
	/** see `queueRank` */
	rank = 0
	/** ages in seconds by which its tasks must start to meet its objectives */
	startDeadlines: readonly number[] = []
	/** machines on which it failed */
	readonly failedMachineIds = new Set<string>()
	/** when it may be placed on those machines again */
	retryFailedMachinesAt = 0
	/** number of failures; those within one heartbeat interval count once */
	failureCount = 0
	lastFailureAt = Number.NEGATIVE_INFINITY
	/** a task of this service has run for longer than an agent lease */
	outlivedAgentLease = false
	/** task -> run time in seconds that its stopped attempts have saved in checkpoints */
	readonly checkpointedS = new Map<number, number>()
	/** a former owner had quarantined it */
	wasQuarantined = false

	/** `isReconciled` is false while tasks of the job may be on machines that have not reported to this owner yet. */
	constructor(
		readonly spec: JobSpec,
		readonly acceptedAtMs: number,
		readonly budget: BudgetLedger,
		public isReconciled: boolean,
	) {}

	/** Whether any task has succeeded; failures are then not the job's fault. Services succeed after an agent lease. */
	get hasSucceeded(): boolean {
		return this.doneTasks.size > 0 || this.outlivedAgentLease
	}

	/**
	 * Whether the job has failed on several machines, or repeatedly, without any success. It was then probably submitted
	 * with a mistake: it gets one attempt at a time until its first success or its cancellation, no machine is rented or
	 * reserved and no task preempted for it, and it does not migrate.
	 */
	get isQuarantined(): boolean {
		if (this.hasSucceeded) return false
		const hasFailedOften =
			this.failedMachineIds.size >= MIN_QUARANTINE_MACHINES || this.failureCount >= MIN_QUARANTINE_FAILURES
		return hasFailedOften || this.wasQuarantined
	}

	/** Number of running tasks, including those that are saving a checkpoint. */
	runningCount(): number {
		let count = 0
		for (const attempt of this.placements.values())
			if (attempt.state === 'running' || attempt.state === 'checkpointing') count++
		return count
	}
}
