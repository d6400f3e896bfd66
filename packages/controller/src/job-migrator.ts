/** Job migration: moves waiting jobs to other shards that can serve them better. */
import { moveJobToShard } from '@heathroad/cluster'
import { type TransactionContent, WritePriority, type WriteResult } from '@heathroad/store'
import type { JobSpec } from '@heathroad/wire'
import type { FailureDetector } from './failure-detector.js'
import type { JobRun } from './model.js'
import type { ShardState } from './state.js'

/** Migrations use at most this fraction of the controller's write rate. */
const WRITE_SHARE = 0.5

/** Minimum time that a job stays in a shard before it may migrate (again), in agent leases. */
const MIN_RESIDENCE_AGENT_LEASES = 0.5

interface Migration {
	job: JobRun
	targetShardId: number
	/** a write got no answer and may still be applied: it is retried until the outcome is known */
	isUncertain: boolean
}

/**
 * Migrates jobs that wait in a shard that cannot serve them. Only jobs whose unfinished tasks are all proven absent
 * from all machines migrate, so that the owner of the other shard may start them at once.
 *
 * A migration is a compare-and-swap: it writes the job's record with the other shard's number, conditional on the ownership
 * of this shard and on the `transitionConditions`. Any other decision about the job (a cancellation, its progress, its
 * outcome, a takeover of this shard) violates one of them, so a late write is applied only if no such decision came first.
 * Until it is known whether the write was applied, no task of the job starts here, and its outcome is not recorded.
 */
export class JobMigrator {
	private readonly migrationsByUid = new Map<string, Migration>()

	constructor(
		private readonly state: ShardState,
		private readonly failureDetector: FailureDetector,
	) {}

	/**
	 * Starts migrations within half of this controller's write rate until the next tick. `now` is monotonic time in ms,
	 * `intervalMs` the time until the next tick.
	 */
	tick(now: number, intervalMs: number): void {
		const { dependencies, config } = this.state
		if (!this.state.reconciled || dependencies.leadership() !== 'lease') return
		// Machines that are up take the jobs once their agents have found this owner; other shards may have to rent machines.
		if (this.failureDetector.mayAgentsBeSearching(now)) return
		const writes = (config.limits.writesPerS * intervalMs * WRITE_SHARE) / 1000
		let remaining = Math.max(1, Math.ceil(writes)) - this.migrationsByUid.size
		let findTarget: ((spec: JobSpec) => number | null) | null = null
		for (const job of this.state.waitingHealthyJobs(now)) {
			if (remaining <= 0) return
			if (!this.isMovable(job, now)) continue
			// Created only when there is a job to migrate: planning iterates over all shards.
			findTarget ??= dependencies.migrationPlanner(this.state.shardId, this.migrationsInProgress())
			const targetShardId = findTarget(job.spec)
			if (targetShardId === null) continue
			this.start(job, targetShardId)
			remaining--
		}
	}

	private migrationsInProgress(): { spec: JobSpec; to: number }[] {
		return [...this.migrationsByUid.values()].map(({ job, targetShardId }) => ({
			spec: job.spec,
			to: targetShardId,
		}))
	}

	/**
	 * Whether the job may migrate: it must have no task on any machine, all its done tasks on record, and a minimum time
	 * in this shard. A job that has failed stays: its failure history, which only this owner has, would be lost, and it
	 * would be retried on the machines of every other shard (incident 8).
	 */
	private isMovable(job: JobRun, now: number): boolean {
		return (
			job.placements.size === 0 &&
			job.orphanCounts.size === 0 &&
			job.failureCount === 0 &&
			job.pendingWrite === null &&
			job.durableDoneTasks.size === job.doneTasks.size &&
			now - job.arrivedAt > this.state.config.limits.agentLeaseMs * MIN_RESIDENCE_AGENT_LEASES
		)
	}

	private start(job: JobRun, targetShardId: number): void {
		job.migrating = true
		this.state.queueDirty = true
		const migration: Migration = { job, targetShardId, isUncertain: false }
		this.migrationsByUid.set(job.spec.uid, migration)
		this.state.dependencies.log('info', 'job migrating', {
			uid: job.spec.uid,
			from: this.state.shardId,
			to: targetShardId,
		})
		this.write(migration)
	}

	/** The write that migrates the job; null if it is no longer needed: the job is terminal or has left this shard. */
	private buildContent({ job, targetShardId }: Migration): TransactionContent | null {
		const { uid } = job.spec
		const entry = this.state.dependencies.job(uid)
		if (this.state.stopped || job.isTerminal || entry?.record.shardId !== this.state.shardId) return null
		if (entry.record.finalState !== undefined) return null
		return moveJobToShard(this.state.records, this.state.ownershipCondition(), uid, entry, targetShardId)
	}

	private write(migration: Migration): void {
		let content: TransactionContent | null = null
		this.state.dependencies.enqueueWrite({
			priority: WritePriority.outcome,
			build: () => {
				content = this.buildContent(migration)
				return content
			},
			onResult: (result) => {
				if (!this.state.stopped) this.onWritten(migration, content, result)
			},
		})
	}

	private onWritten(migration: Migration, content: TransactionContent | null, result: WriteResult): void {
		if (result.kind === 'ok' && content !== null) {
			this.finish(migration)
			this.state.applyOwnMutations(content.mutations, result.revision)
			return
		}
		if (result.kind === 'refused' && !migration.isUncertain) {
			this.finish(migration)
			return
		}
		migration.isUncertain ||= result.kind === 'unknown'
		this.settle(migration, { isConflict: result.kind === 'conflict' })
	}

	/**
	 * Determines by a linearizable read whether the migration was applied, and retries it if it is still needed. A
	 * conflict means that a key on which the write depends has changed: no retry can be applied any more, and if an
	 * earlier write was applied, the read shows it.
	 */
	private settle(migration: Migration, outcome: { isConflict: boolean }): void {
		this.state.dependencies.linearizableRead((isCurrent) => {
			if (this.state.stopped) return
			if (!isCurrent) this.settle(migration, outcome)
			else if (outcome.isConflict || this.buildContent(migration) === null) this.finish(migration)
			else this.write(migration)
		})
	}

	private finish({ job }: Migration): void {
		this.migrationsByUid.delete(job.spec.uid)
		job.migrating = false
		this.state.queueDirty = true
	}
}
