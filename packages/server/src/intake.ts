import { acceptJobs, encodeJobRecord, type JobRecord } from '@heathroad/cluster'
import { maxValueChars } from '@heathroad/config'
import { priorityRank } from '@heathroad/policy'
import { type QueuedWrite, type TransactionContent, WritePriority } from '@heathroad/store'
import type { JobSpec } from '@heathroad/wire'
import { Effect } from 'effect'
import type { ControllerContext } from './core.js'

export type SubmissionOutcome =
	| 'accepted'
	/** it may be known already, or may yet become so: ask */
	| 'unclear'
	/** certainly not accepted */
	| 'refused'

/** How many of our records are looked at for one that says nothing any more, for each that is written. */
const LOOKS = 4

interface Waiting {
	record: JobRecord & { spec: JobSpec }
	bytes: number
	until: number
	/** revision as of which it was proven that the job is not archived */
	proven: number
	proving: boolean
	done: (outcome: SubmissionOutcome) => void
}

/**
 * Makes accepted jobs durable, as many in one change as a value holds: a burst of submissions would otherwise wait
 * for seconds at the change rate that all controllers share. One write is under way at a time; what comes meanwhile
 * goes with the next.
 */
export class SubmissionQueue {
	private waiting: Waiting[] = []
	private write: QueuedWrite | null = null
	private counter = 0
	/** our records, the oldest first, and the revisions of their last changes */
	private readonly written: { key: string; revision: number }[] = []

	constructor(private readonly context: ControllerContext) {}

	/**
	 * May one more of this team's wait? The bound is the service's, but a team that has less than its equal part of it
	 * waiting is not refused for what others brought: a guest's swarm must not shut the other team out.
	 */
	hasCapacity(team: string): boolean {
		const { limits, settings } = this.context.config
		const own = this.waiting.filter((waiting) => waiting.record.spec.team === team).length
		if (this.waiting.length < limits.maxPendingSubmissions) return true
		return own < limits.maxPendingSubmissions / settings.deployment.teams.length
	}

	enqueue(
		record: JobRecord & { spec: JobSpec },
		waitMs: number,
		done: (outcome: SubmissionOutcome) => void,
	): void {
		const bytes = JSON.stringify(encodeJobRecord(record)).length + 1
		const until = this.context.now() + waitMs
		const waiting: Waiting = { record, bytes, until, done, proven: -1, proving: false }
		this.waiting.push(waiting)
		if (this.proven(waiting)) this.flush()
		else this.prove(waiting)
	}

	/**
	 * Is it proven that the job is not archived? An acceptance holds only for the turn in which it is made, and what was
	 * archived before that turn is in a proof from within it. What was over and not archived then, we know.
	 */
	private proven(waiting: Waiting): boolean {
		const { archive: history, cache } = this.context
		if (waiting.proven >= history.archivalEpoch() && waiting.proven >= 0) return true
		if (!history.provesAbsent(waiting.record.spec.uid)) return false
		waiting.proven = cache.revision
		return true
	}

	private prove(waiting: Waiting): void {
		if (waiting.proving) return
		waiting.proving = true
		const asked = this.context.cache.revision
		const heard = this.context.archive.lookUp(waiting.record.spec.uid).pipe(
			Effect.map((found) => {
				waiting.proving = false
				if (!this.waiting.includes(waiting)) return
				if (found === 'absent') {
					waiting.proven = asked
					this.flush()
				} else this.settle(new Set([waiting]), found === 'unsure' ? 'refused' : 'unclear')
			}),
		)
		Effect.runFork(heard)
	}

	/** Those that may be written, in that order: teams in turn, within each the urgent first. */
	private inTurn(): Waiting[] {
		const teams = new Map<string, number>()
		// Accepted elsewhere since it came: its state is asked for.
		this.settle(
			new Set(this.waiting.filter((waiting) => this.context.jobs.get(waiting.record.spec.uid) !== undefined)),
			'unclear',
		)
		const ready: Waiting[] = []
		for (const waiting of this.waiting)
			if (this.proven(waiting)) ready.push(waiting)
			else this.prove(waiting)
		return ready
			.map((waiting, i) => ({ w: waiting, i, rank: priorityRank(waiting.record.spec.priority) }))
			.sort((a, b) => b.rank - a.rank || a.i - b.i)
			.map((x) => {
				const { team } = x.w.record.spec
				const turn = teams.get(team) ?? 0
				teams.set(team, turn + 1)
				return { ...x, turn }
			})
			.sort((a, b) => a.turn - b.turn || a.i - b.i)
			.map((x) => x.w)
	}

	/** The first of those waiting, as many as one value and the conditions of one transaction hold. */
	private batch(): Waiting[] {
		const { settings } = this.context.config
		const { txn_ops } = settings.deployment.state
		let room = maxValueChars(settings)
		const out: Waiting[] = []
		for (const waiting of this.inTurn()) {
			room -= waiting.bytes
			if (out.length > 0 && (room < 0 || out.length >= txn_ops * 2)) break
			out.push(waiting)
		}
		return out
	}

	/**
	 * Where the next record goes: over one of ours which says nothing any more, else under a new key. That costs a
	 * second change as it is removed; at four jobs a second, which come one by one, that used up the rate (incident 25).
	 */
	private place(): { key: string; modRevision: number } {
		const { cache, jobs, membership } = this.context
		for (let looks = Math.min(LOOKS, this.written.length); looks > 0; looks--) {
			const one = this.written.shift()!
			const entry = cache.get(one.key)
			// What we know of it may be older than what we wrote last.
			const seen = cache.revision >= one.revision
			if (seen && entry !== undefined && jobs.isObsoleteBatch(entry.data))
				return { key: one.key, modRevision: entry.modRevision }
			// Removed by whoever tidies up, it is left alone.
			if (!seen || entry !== undefined) this.written.push(one)
		}
		return { key: `intake/${membership.incarnation}-${++this.counter}`, modRevision: 0 }
	}

	private flush(): void {
		if (this.write !== null || !this.waiting.some((waiting) => this.proven(waiting))) return
		let sent: Waiting[] = []
		let place: { key: string; modRevision: number } | null = null
		this.write = {
			priority: WritePriority.user,
			deadline: Math.min(...this.waiting.map((waiting) => waiting.until)),
			build: (): TransactionContent | null => {
				sent = this.batch()
				const jobs = sent.map((waiting) => waiting.record)
				place ??= this.place()
				return jobs.length === 0 ? null : acceptJobs(this.context.cache, place.key, jobs, place.modRevision)
			},
			onResult: (result) => {
				// What may yet be applied is left alone: who removes it sees that it is there.
				if (result.kind === 'ok') {
					this.written.push({ key: place!.key, revision: result.revision })
					this.accepted(sent, result.revision)
				} else if (result.kind === 'unknown') this.settle(new Set(sent), 'unclear')
				// One of them is known already: it leaves, the others go again.
				else if (result.kind === 'conflict')
					return this.context.refreshCache(() => {
						const known = sent.filter(
							(waiting) => this.context.jobs.get(waiting.record.spec.uid) !== undefined,
						)
						this.settle(new Set(known), 'unclear')
						this.next()
					})
				this.next()
			},
		}
		this.context.writeQueue.enqueue(this.write)
	}

	/**
	 * Durable; told when we know all that came before. A user's retry may have met another controller meanwhile, and the
	 * job be over by now: records of acceptances and of final states have no key in common that would say so. Accepted by
	 * an earlier record, it was known already.
	 */
	private accepted(some: readonly Waiting[], revision: number): void {
		this.waiting = this.waiting.filter((waiting) => !some.includes(waiting))
		this.context.waitForRevision(revision, (ok) => {
			for (const waiting of some) {
				const known = this.context.jobs.get(waiting.record.spec.uid)?.record
				const ours = known?.finalState === undefined && known?.acceptedAtMs === waiting.record.acceptedAtMs
				waiting.done(ok && ours ? 'accepted' : 'unclear')
			}
		})
	}

	private next(): void {
		this.write = null
		const now = this.context.now()
		this.settle(new Set(this.waiting.filter((waiting) => waiting.until <= now)), 'refused')
		this.flush()
	}

	private settle(some: ReadonlySet<Waiting>, outcome: SubmissionOutcome): void {
		if (some.size === 0) return
		this.waiting = this.waiting.filter((waiting) => !some.has(waiting))
		for (const waiting of some) waiting.done(outcome)
	}
}
