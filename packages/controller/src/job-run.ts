/** A job as its shard's owner runs it: which tasks are ready, placed or done, and how it has failed. */
import type { BudgetLedger } from '@heathroad/policy'
import { RangeSet } from '@heathroad/policy'
import type { QueuedWrite } from '@heathroad/store'
import type { JobSpec } from '@heathroad/wire'
import type { Attempt } from './model.js'

/** Machines with failures from which on a job without success is quarantined. */
const QUARANTINE_MACHINES = 2

/** Failures from which on a job without success is quarantined, wherever they were. */
const QUARANTINE_FAILURES = 3

/** Mutable state of one job. Times are steady time in ms. */
export class JobRun {
	/** absent everywhere and not done: may be started */
	readyTasks = new RangeSet()
	doneTasks = new RangeSet()
	/** done tasks that are on record */
	durableDoneTasks = new RangeSet()
	/** task -> the attempt that may be on a machine, or is planned for one */
	placements = new Map<number, Attempt>()
	/** task -> count of orphaned attempts of it on machines: it starts nowhere before they are gone */
	readonly orphanCounts = new Map<number, number>()
	taskCountByZone = new Map<string, number>()
	/** cancelled or done */
	isTerminal = false
	/** its record's next write, waiting or in progress */
	pendingWrite: QueuedWrite | null = null
	lastWrittenAt = 0
	/** no task starts before */
	retryNotBefore = 0
	/** since when it has been in this shard under this owner */
	arrivedAt = 0
	/** on its way to another shard: nothing of it may start here */
	migrating = false
	/** see `orderRank` */
	rank = 0
	/** by what ages in seconds its tasks have to start for its objectives */
	startBounds: readonly number[] = []
	/** machines on which it failed */
	readonly failedMachineIds = new Set<string>()
	/** from then on it may be placed on those again */
	retryFailedMachinesAt = 0
	/** failures; those within one heartbeat interval count once */
	failureCount = 0
	lastFailureAt = Number.NEGATIVE_INFINITY
	/** a task of this service has run for longer than an agent lease */
	outlivedLease = false
	/** task -> seconds that its stopped attempts have run and saved */
	readonly checkpointedS = new Map<number, number>()
	/** a former owner reported it as quarantined */
	wasQuarantined = false

	/** `isReconciled` is false while tasks of it may be on machines that have not reported to this owner yet. */
	constructor(
		readonly spec: JobSpec,
		readonly acceptedAtMs: number,
		readonly budget: BudgetLedger,
		public isReconciled: boolean,
	) {}

	/** Some task has succeeded somewhere, so the job itself is not at fault. A service succeeds by staying up. */
	get hasSucceeded(): boolean {
		return this.doneTasks.size > 0 || this.outlivedLease
	}

	/**
	 * Failed on several machines, or repeatedly, and succeeded nowhere: the job was probably submitted with a mistake.
	 * It gets one attempt at a time until its first success or its cancellation, and nothing is rented, reserved,
	 * preempted or migrated for it.
	 */
	get isQuarantined(): boolean {
		if (this.hasSucceeded) return false
		const hasFailedOften =
			this.failedMachineIds.size >= QUARANTINE_MACHINES || this.failureCount >= QUARANTINE_FAILURES
		return hasFailedOften || this.wasQuarantined
	}

	/** Count of tasks that run, those that are saving their state included. */
	runningCount(): number {
		let count = 0
		for (const attempt of this.placements.values())
			if (attempt.state === 'running' || attempt.state === 'checkpointing') count++
		return count
	}
}
