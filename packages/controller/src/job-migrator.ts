import { moveJobToShard } from '@heathroad/cluster'
import { KEY_PREFIX, type TransactionContent, WritePriority } from '@heathroad/store'
import type { JobSpec } from '@heathroad/wire'
import type { JobRun } from './model.js'
import type { ShardState } from './state.js'

interface Move {
	job: JobRun
	to: number
	/** a try went without an answer: it may yet be carried out, so the same is tried until it is settled */
	open: boolean
}

/**
 * Jobs that wait in a part which cannot serve them go to another one. Only jobs of which nothing can be anywhere: the
 * tasks that are not done are all proven absent, so whoever owns the other part may start them at once.
 *
 * A move sets the job's own key to its record with the other part's number, on condition of that key's modRevision and of
 * our ownership. Whatever else decides about the job (a cancellation, its progress, another owner's take of this part)
 * changes one of the two; so a move that comes late is carried out only if nothing was decided without it. Until it
 * is settled whether it was, nothing of the job starts here.
 */
export class JobMigrator {
	private readonly under = new Map<string, Move>()

	constructor(private readonly state: ShardState) {}

	/** The regular look: as many at a time as our share of the changes takes until the next one, and half of that. */
	tick(now: number, everyMs: number): void {
		const { ports, config } = this.state
		if (!this.state.reconciled || ports.leadership() !== 'lease') return
		let left = Math.max(1, Math.ceil((config.limits.writesPerS * everyMs) / 2000)) - this.under.size
		let better: ((spec: JobSpec) => number | null) | null = null
		for (const job of this.state.waitingHealthyJobs(now)) {
			if (left <= 0) return
			if (!this.movable(job, now)) continue
			better ??= ports.migrationPlanner(
				this.state.shardId,
				[...this.under.values()].map((m) => ({ spec: m.job.spec, to: m.to })),
			)
			const to = better(job.spec)
			if (to === null) continue
			this.begin(job, to)
			left--
		}
	}

	/**
	 * Nothing of it is anywhere, its records tell all that is done, and it has been here for a while. What is known here of
	 * its failures would be lost on the way, and it be tried on everybody's machines anew (incident 8).
	 */
	private movable(job: JobRun, now: number): boolean {
		return (
			job.placements.size === 0 &&
			job.orphanCounts.size === 0 &&
			job.failureCount === 0 &&
			job.pendingWrite === null &&
			job.durableDoneTasks.size === job.doneTasks.size &&
			now - job.arrivedAt > this.state.config.limits.agentLeaseMs / 2
		)
	}

	private begin(job: JobRun, to: number): void {
		job.migrating = true
		this.state.queueDirty = true
		const move: Move = { job, to, open: false }
		this.under.set(job.spec.uid, move)
		this.state.ports.log('info', 'job migrating', { uid: job.spec.uid, from: this.state.shardId, to })
		this.write(move)
	}

	/** What moves the job; null: that is needless, since it is over or is not here any more. */
	private content({ job, to }: Move): TransactionContent | null {
		const { uid } = job.spec
		const known = this.state.ports.job(uid)
		if (this.state.stopped || job.isTerminal || known?.record.shardId !== this.state.shardId) return null
		if (known.record.finalState !== undefined) return null
		return moveJobToShard(this.state.records, this.state.ownershipCondition(), uid, known, to)
	}

	private write(move: Move): void {
		let content: TransactionContent | null = null
		this.state.ports.enqueueWrite({
			priority: WritePriority.outcome,
			build: () => {
				content = this.content(move)
				return content
			},
			onResult: (result) => {
				if (this.state.stopped) return
				if (result.kind === 'ok' && content !== null) {
					this.end(move)
					for (const c of content.mutations)
						if ('set' in c)
							this.state.ports.applyOwnWrite(c.set.slice(KEY_PREFIX.length), c.data, result.revision)
				} else if (result.kind === 'refused' && !move.open) this.end(move)
				else {
					move.open ||= result.kind === 'unknown'
					this.settle(move, result.kind === 'conflict')
				}
			},
		})
	}

	/**
	 * Once a read proves what the records say. `conflict`: something that the move depends on has changed since, so that
	 * no try of it can be carried out any more; if one was, the read shows it.
	 */
	private settle(move: Move, conflict: boolean): void {
		this.state.ports.linearizableRead((ok) => {
			if (this.state.stopped) return
			if (!ok) this.settle(move, conflict)
			else if (conflict || this.content(move) === null) this.end(move)
			else this.write(move)
		})
	}

	private end({ job }: Move): void {
		this.under.delete(job.spec.uid)
		job.migrating = false
		this.state.queueDirty = true
	}
}
