import type { Failure, Pace, StoreClient } from '@heathroad/store'
import { ROOT } from '@heathroad/store'
import { isMap } from '@heathroad/wire'
import { Effect } from 'effect'
import { covers, emptyLevel, type Leaf, lookup, type Past, readLeaf } from './leaf.js'
import { leafKey, levelPrefix, ordinal } from './order.js'

/** What is known of a job that no record in memory names. */
export type Found =
	| Past
	/** proven: it was not archived when it was asked for */
	| 'absent'
	/** not to be had now */
	| 'unsure'

/** Where final states may lie that are not in memory. */
export interface Places {
	/** jobs' own keys of the first form, not moved yet */
	legacy: boolean
	/** the levels of the archive */
	levels: boolean
}

export interface RecallLimits {
	/** of all packed leaves kept, in characters */
	cache: number
	/** questions that may wait at a time */
	waiting: number
	/** leaves that one request reads at most, where many questions wait */
	run: number
}

interface Kept {
	leaf: Leaf
	/** epoch at which it was read */
	readAt: number
}

interface Question {
	uid: string
	at: string
	/** 0: the job's own key */
	level: number
	/** what it was read from must be as new as this */
	since: number
	done: (found: Found) => void
}

/**
 * Answers for jobs that are over and not in memory any more: reads leaves on demand, shares them, keeps some.
 *
 * Final states never change and only ever move down, so what is found anywhere is true, and who reads from the top
 * down misses none. That nothing is found proves something only if the leaves are new enough: the first level's as
 * new as the last time that a state of their range left memory, which whoever follows the records sees (`left`); each
 * further one as new as the leaf above it, for what that leaf handed down is then in it.
 */
export class Recall {
	/** by level: leaves by the end of their range, in the order of last use */
	private readonly kept = new Map<string, Kept>()
	private size = 0
	private waiting: Question[] = []
	private reading = false
	/** states that left memory up to here may be missing in what was read before */
	private leftUpTo = -1
	private readonly ends = new Map<number, string[]>()
	/** reads so far, for measurements */
	reads = 0

	constructor(
		private readonly client: Pick<StoreClient, 'page'>,
		private readonly places: () => Places,
		private readonly pace: Pace,
		private readonly limits: RecallLimits,
		private readonly failed: (e: unknown) => void = () => {},
	) {}

	/** Its final state, if a leaf that is kept tells it. */
	known(uid: string): Past | undefined {
		if (!this.places().levels) return undefined
		const at = ordinal(uid)
		for (let level = 1; ; level++) {
			const kept = this.covering(level, at)
			if (kept === undefined) return undefined
			const found = this.look(kept, at)
			if (found === 'unsure') return undefined
			if (found !== undefined) return found
			if (!kept.leaf.deeper) return undefined
		}
	}

	/** Do the leaves that are kept prove that it was not archived, without any read? */
	proves(uid: string): boolean {
		const places = this.places()
		if (places.legacy) return false
		if (!places.levels) return true
		const question: Question = { uid, at: ordinal(uid), level: 1, since: -1, done: () => {} }
		return this.advance(question) === 'absent'
	}

	/** Its final state, wherever it lies; takes a read or more. */
	find(uid: string): Effect.Effect<Found> {
		return Effect.callback<Found>((resume) => {
			const places = this.places()
			const done = (found: Found) => resume(Effect.succeed(found))
			if (!places.legacy && !places.levels) return done('absent')
			const question: Question = {
				uid,
				at: ordinal(uid),
				level: places.legacy ? 0 : 1,
				since: -1,
				done,
			}
			const now = question.level === 0 ? null : this.advance(question)
			if (now !== null) return done(now)
			// What would wait for longer than anybody does is said at once.
			if (this.waiting.length >= this.limits.waiting) return done('unsure')
			this.waiting.push(question)
			this.pump()
			return Effect.sync(() => {
				this.waiting = this.waiting.filter((q) => q !== question)
			})
		})
	}

	/** These left memory with the change of this epoch: leaves read earlier may lack them. */
	left(uids: Iterable<string>, epoch: number): void {
		this.leftUpTo = Math.max(this.leftUpTo, epoch)
		for (const uid of uids) {
			const kept = this.covering(1, ordinal(uid))
			if (kept !== undefined && kept.readAt < epoch) this.drop(1, kept.leaf.to)
		}
	}

	/** Changes may have been missed. */
	reset(epoch: number): void {
		this.leftUpTo = Math.max(this.leftUpTo, epoch)
		this.kept.clear()
		this.ends.clear()
		this.size = 0
	}

	/** What a kept leaf says of an id; a record that cannot be read says nothing, neither yes nor no. */
	private look(kept: Kept, at: string): Past | 'unsure' | undefined {
		try {
			return lookup(kept.leaf.packed, at)
		} catch (e) {
			this.failed(e)
			return 'unsure'
		}
	}

	// ---- leaves that are kept ----

	private covering(level: number, at: string): Kept | undefined {
		const ends = this.ends.get(level) ?? []
		let from = 0
		let to = ends.length
		while (from < to) {
			const middle = (from + to) >> 1
			if (ends[middle] > at) to = middle
			else from = middle + 1
		}
		if (from >= ends.length) return undefined
		const key = `${level}/${ends[from]}`
		const kept = this.kept.get(key)
		if (kept === undefined || !covers(kept.leaf, at)) return undefined
		this.kept.delete(key)
		this.kept.set(key, kept)
		return kept
	}

	private drop(level: number, to: string): void {
		const key = `${level}/${to}`
		const kept = this.kept.get(key)
		if (kept === undefined) return
		this.kept.delete(key)
		this.size -= kept.leaf.packed.length
		const ends = this.ends.get(level)!
		ends.splice(ends.indexOf(to), 1)
	}

	private keep(level: number, leaf: Leaf, readAt: number): void {
		// What overlaps is older: a leaf that was split or took over its neighbour's place since.
		const ends = this.ends.get(level) ?? []
		this.ends.set(level, ends)
		for (const to of [...ends]) {
			const other = this.kept.get(`${level}/${to}`)!.leaf
			if (other.from < leaf.to && leaf.from < other.to) this.drop(level, to)
		}
		this.kept.set(`${level}/${leaf.to}`, { leaf, readAt })
		this.size += leaf.packed.length
		let i = ends.length
		while (i > 0 && ends[i - 1] > leaf.to) i--
		ends.splice(i, 0, leaf.to)
		for (const [key, old] of this.kept) {
			if (this.size <= this.limits.cache || old.leaf === leaf) break
			this.drop(Number(key.split('/')[0]), old.leaf.to)
		}
	}

	// ---- questions ----

	/** Follows a question through what is kept; null: it needs a read at its level. */
	private advance(q: Question): Found | null {
		for (;;) {
			const kept = this.covering(q.level, q.at)
			if (kept === undefined) return null
			const found = this.look(kept, q.at)
			if (found !== undefined) return found
			if (kept.readAt < q.since) return null
			if (!kept.leaf.deeper) return 'absent'
			q.level++
			q.since = kept.leaf.stamp
		}
	}

	private pump(): void {
		if (this.reading || this.waiting.length === 0) return
		this.reading = true
		const turn = Effect.sleep(this.pace.take()).pipe(
			Effect.andThen(
				Effect.suspend(() => {
					const [first] = this.waiting
					if (first === undefined) return Effect.void
					this.reads++
					return first.level === 0 ? this.readOwn(first) : this.readLeaves(first)
				}),
			),
			// A read that failed, or a record that cannot be read, is no answer to anybody who waits for it.
			Effect.catchCause((cause) => Effect.sync(() => this.failed(cause))),
			Effect.map(() => {
				this.reading = false
				this.pump()
			}),
		)
		Effect.runFork(turn)
	}

	private settle(q: Question, found: Found): void {
		this.waiting = this.waiting.filter((w) => w !== q)
		q.done(found)
	}

	/** Too many requests is no outage: the questions stay and are read for in a later turn, while anybody waits. */
	private unread(questions: readonly Question[], e: Failure): void {
		if (e._tag === 'Refused' && e.status === 429) return
		for (const q of questions) this.settle(q, 'unsure')
	}

	/** A job's own key of the first form. */
	private readOwn(q: Question) {
		const key = `${ROOT}job/${q.uid}`
		return this.client.page(key, null, 1).pipe(
			Effect.map(({ entries }) => {
				const [entry] = entries
				const data = entry?.key === key && isMap(entry.data) ? entry.data : null
				if (data?.final === 'done' || data?.final === 'aborted') {
					const tasks = Number(data.tasks ?? 0)
					const aborted = data.final === 'aborted'
					const done = aborted ? Number(data.count ?? 0) : tasks
					return this.settle(q, { at: q.at, aborted, tasks, done, epoch: entry.stamp })
				}
				if (!this.places().levels) return this.settle(q, 'absent')
				q.level = 1
				const now = this.advance(q)
				if (now !== null) this.settle(q, now)
			}),
			Effect.catch((e) => Effect.sync(() => this.unread([q], e))),
		)
	}

	private readLeaves(first: Question) {
		const { level } = first
		const alike = this.waiting.filter((q) => q.level === level)
		const run = Math.max(1, Math.min(this.limits.run, alike.length))
		return this.client.page(levelPrefix(level), leafKey(level, first.at), run).pipe(
			Effect.map(({ entries, epoch }) => {
				const leaves =
					entries.length === 0 ? [emptyLevel()] : entries.map((e) => readLeaf(level, e.key, e.data, e.stamp))
				// A state that left memory behind this read may be missing in it: it answers who finds, and is read again.
				const fresh = level > 1 || epoch >= this.leftUpTo
				// The first one is kept last: where few are kept it must not make room for its neighbours.
				if (fresh) for (const leaf of leaves.reverse()) this.keep(level, leaf, epoch)
				for (const q of alike) {
					const now = this.advance(q)
					if (now !== null) this.settle(q, now)
				}
			}),
			Effect.catch((e) => Effect.sync(() => this.unread(alike, e))),
			Effect.catchDefect((e) =>
				Effect.sync(() => {
					this.failed(e)
					for (const q of alike) this.settle(q, 'unsure')
				}),
			),
		)
	}
}
