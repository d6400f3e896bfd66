import { relocation } from '@heathroad/cluster'
import { type Content, ROOT, Urgency } from '@heathroad/store'
import type { JobSpec } from '@heathroad/wire'
import type { JobRun } from './model.js'
import type { PartState } from './state.js'

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
 * A move sets the job's own key to its record with the other part's number, on condition of that key's stamp and of
 * our ownership. Whatever else decides about the job (a cancellation, its progress, another owner's take of this part)
 * changes one of the two; so a move that comes late is carried out only if nothing was decided without it. Until it
 * is settled whether it was, nothing of the job starts here.
 */
export class Moves {
	private readonly under = new Map<string, Move>()

	constructor(private readonly s: PartState) {}

	/** The regular look: as many at a time as our share of the changes takes until the next one, and half of that. */
	look(now: number, everyMs: number): void {
		const { ports, config } = this.s
		if (!this.s.settled || ports.right() !== 'grant') return
		let left = Math.max(1, Math.ceil((config.derived.writesPerS * everyMs) / 2000)) - this.under.size
		let better: ((spec: JobSpec) => number | null) | null = null
		for (const job of this.s.worthy(now)) {
			if (left <= 0) return
			if (!this.movable(job, now)) continue
			better ??= ports.leaver(
				this.s.k,
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
			job.placed.size === 0 &&
			job.strays.size === 0 &&
			job.failures === 0 &&
			job.write === null &&
			job.durable.size === job.done.size &&
			now - job.arrivedAt > this.s.config.derived.leaseMs / 2
		)
	}

	private begin(job: JobRun, to: number): void {
		job.moving = true
		this.s.queueDirty = true
		const move: Move = { job, to, open: false }
		this.under.set(job.spec.uid, move)
		this.s.ports.log('info', 'moving job', { uid: job.spec.uid, from: this.s.k, to })
		this.write(move)
	}

	/** What moves the job; null: that is needless, since it is over or is not here any more. */
	private content({ job, to }: Move): Content | null {
		const { uid } = job.spec
		const known = this.s.ports.job(uid)
		if (this.s.stopped || job.over || known?.record.part !== this.s.k) return null
		if (known.record.final !== undefined) return null
		return relocation(this.s.known, this.s.owning(), uid, known, to)
	}

	private write(move: Move): void {
		let content: Content | null = null
		this.s.ports.write({
			urgency: Urgency.outcome,
			build: () => {
				content = this.content(move)
				return content
			},
			done: (result) => {
				if (this.s.stopped) return
				if (result.kind === 'ok' && content !== null) {
					this.end(move)
					for (const c of content.changes)
						if ('set' in c) this.s.ports.wrote(c.set.slice(ROOT.length), c.data, result.epoch)
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
		this.s.ports.fresh((ok) => {
			if (this.s.stopped) return
			if (!ok) this.settle(move, conflict)
			else if (conflict || this.content(move) === null) this.end(move)
			else this.write(move)
		})
	}

	private end({ job }: Move): void {
		this.under.delete(job.spec.uid)
		job.moving = false
		this.s.queueDirty = true
	}
}
