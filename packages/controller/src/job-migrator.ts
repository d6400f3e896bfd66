/** Job migration: hands waiting jobs to other shards that can serve them better. */
import { moveJobToShard } from '@heathroad/cluster'
import { type TransactionContent, WritePriority, type WriteResult } from '@heathroad/store'
import type { JobSpec } from '@heathroad/wire'
import type { FailureDetector } from './failure-detector.js'
import type { JobRun } from './model.js'
import type { ShardState } from './state.js'

/** Migrations take at most this share of the controller's writes. */
const WRITE_SHARE = 0.5

/** Agent leases for which a job stays in a shard before it may migrate (again). */
const MIN_STAY_IN_AGENT_LEASES = 0.5

interface Migration {
	job: JobRun
	targetShardId: number
	/** a write was not answered and may yet be applied: the same is tried until it is settled */
	isUncertain: boolean
}

/**
 * Migrates jobs that wait in a shard which cannot serve them. Only jobs of which nothing can be on any machine: the tasks
 * that are not done are all proven absent, so that whoever owns the other shard may start them at once.
 *
 * A migration sets the job's own key to its record with the other shard's number, on condition of that key's mod revision
 * and of our ownership. Any other decision about the job (a cancellation, its progress, a takeover of this shard)
 * changes one of the two; so a migration that comes late is applied only if nothing was decided without it. Until it is
 * settled whether it was applied, nothing of the job starts here.
 */
export class JobMigrator {
	private readonly migrationsByUid = new Map<string, Migration>()

	constructor(
		private readonly state: ShardState,
		private readonly failureDetector: FailureDetector,
	) {}

	/**
	 * Starts migrations, as many as half of this controller's share of the writes takes until the next tick. `now` is steady
	 * time in ms, `everyMs` the time until the next tick.
	 */
	tick(now: number, everyMs: number): void {
		const { dependencies, config } = this.state
		if (!this.state.reconciled || dependencies.leadership() !== 'lease') return
		// Machines that are up take the jobs as soon as their agents are here: other shards may have to rent for them.
		if (this.failureDetector.mayAgentsSearchOwner(now)) return
		const writes = (config.limits.writesPerS * everyMs * WRITE_SHARE) / 1000
		let remaining = Math.max(1, Math.ceil(writes)) - this.migrationsByUid.size
		let findTarget: ((spec: JobSpec) => number | null) | null = null
		for (const job of this.state.waitingHealthyJobs(now)) {
			if (remaining <= 0) return
			if (!this.isMovable(job, now)) continue
			// Planned only when there is a job to migrate: planning looks at all shards.
			findTarget ??= dependencies.migrationPlanner(this.state.shardId, this.jobsUnderWay())
			const targetShardId = findTarget(job.spec)
			if (targetShardId === null) continue
			this.start(job, targetShardId)
			remaining--
		}
	}

	private jobsUnderWay(): { spec: JobSpec; to: number }[] {
		return [...this.migrationsByUid.values()].map(({ job, targetShardId }) => ({
			spec: job.spec,
			to: targetShardId,
		}))
	}

	/**
	 * May the job migrate? Nothing of it is on any machine, its records show all that is done, and it has been here for a
	 * while. A job that has failed stays: what is known here of its failures would be lost, and it would be tried anew on
	 * every other shard's machines (incident 8).
	 */
	private isMovable(job: JobRun, now: number): boolean {
		return (
			job.placements.size === 0 &&
			job.orphanCounts.size === 0 &&
			job.failureCount === 0 &&
			job.pendingWrite === null &&
			job.durableDoneTasks.size === job.doneTasks.size &&
			now - job.arrivedAt > this.state.config.limits.agentLeaseMs * MIN_STAY_IN_AGENT_LEASES
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

	/** The write that migrates the job; null if it is not needed, since the job is terminal or not in this shard any more. */
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
	 * Decides after a linearizable read whether the migration was applied, and tries again if it may have to. A conflict
	 * means that a key on which the write depends has changed since: no attempt can be applied any more, and if one was,
	 * the read shows it.
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
