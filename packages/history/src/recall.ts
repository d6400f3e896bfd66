import type { RequestPacer, StoreClient, StoreFailure } from '@heathroad/store'
import { KEY_PREFIX } from '@heathroad/store'
import { isMap } from '@heathroad/wire'
import { Effect } from 'effect'
import {
	type ArchivedJob,
	type ArchivePage,
	covers,
	decodeArchivePage,
	emptyLevel,
	findInPacked,
} from './leaf.js'
import { archivePageKey, levelPrefix, ordinalOf } from './order.js'

/** What is known of a job that no record in memory names. */
export type ArchiveLookup =
	| ArchivedJob
	/** proven: it was not archived when it was asked for */
	| 'absent'
	/** not to be had now */
	| 'unsure'

/** Where final states may lie that are not in memory. */
export interface SearchScope {
	/** jobs' own keys of the first form, not moved yet */
	legacy: boolean
	/** the levels of the archive */
	levels: boolean
}

export interface ArchiveReaderLimits {
	/** of all packed leaves kept, in characters */
	maxCacheChars: number
	/** questions that may wait at a time */
	maxPendingLookups: number
	/** leaves that one request reads at most, where many questions wait */
	maxPagesPerRead: number
}

interface Kept {
	leaf: ArchivePage
	/** revision at which it was read */
	readAt: number
}

interface Question {
	uid: string
	at: string
	/** 0: the job's own key */
	level: number
	/** what it was read from must be as new as this */
	since: number
	done: (found: ArchiveLookup) => void
}

/**
 * Answers for jobs that are over and not in memory any more: reads leaves on demand, shares them, keeps some.
 *
 * Final states never change and only ever move down, so what is found anywhere is true, and who reads from the top
 * down misses none. That nothing is found proves something only if the leaves are new enough: the first level's as
 * new as the last time that a state of their range left memory, which whoever follows the records sees (`left`); each
 * further one as new as the leaf above it, for what that leaf handed down is then in it.
 */
export class ArchiveReader {
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
		private readonly client: Pick<StoreClient, 'list'>,
		private readonly places: () => SearchScope,
		private readonly pace: RequestPacer,
		private readonly limits: ArchiveReaderLimits,
		private readonly failed: (e: unknown) => void = () => {},
	) {}

	/** Its final state, if a leaf that is kept tells it. */
	cached(uid: string): ArchivedJob | undefined {
		if (!this.places().levels) return undefined
		const at = ordinalOf(uid)
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
	provesAbsent(uid: string): boolean {
		const places = this.places()
		if (places.legacy) return false
		if (!places.levels) return true
		const question: Question = { uid, at: ordinalOf(uid), level: 1, since: -1, done: () => {} }
		return this.advance(question) === 'absent'
	}

	/** Its final state, wherever it lies; takes a read or more. */
	lookUp(uid: string): Effect.Effect<ArchiveLookup> {
		return Effect.callback<ArchiveLookup>((resume) => {
			const places = this.places()
			const done = (found: ArchiveLookup) => resume(Effect.succeed(found))
			if (!places.legacy && !places.levels) return done('absent')
			const question: Question = {
				uid,
				at: ordinalOf(uid),
				level: places.legacy ? 0 : 1,
				since: -1,
				done,
			}
			const now = question.level === 0 ? null : this.advance(question)
			if (now !== null) return done(now)
			// What would wait for longer than anybody does is said at once.
			if (this.waiting.length >= this.limits.maxPendingLookups) return done('unsure')
			this.waiting.push(question)
			this.pump()
			return Effect.sync(() => {
				this.waiting = this.waiting.filter((q) => q !== question)
			})
		})
	}

	/** These left memory with the change of this revision: leaves read earlier may lack them. */
	onLeftMemory(uids: Iterable<string>, revision: number): void {
		this.leftUpTo = Math.max(this.leftUpTo, revision)
		for (const uid of uids) {
			const kept = this.covering(1, ordinalOf(uid))
			if (kept !== undefined && kept.readAt < revision) this.drop(1, kept.leaf.to)
		}
	}

	/** Changes may have been missed. */
	reset(revision: number): void {
		this.leftUpTo = Math.max(this.leftUpTo, revision)
		this.kept.clear()
		this.ends.clear()
		this.size = 0
	}

	/** What a kept leaf says of an id; a record that cannot be read says nothing, neither yes nor no. */
	private look(kept: Kept, at: string): ArchivedJob | 'unsure' | undefined {
		try {
			return findInPacked(kept.leaf.packed, at)
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

	private keep(level: number, leaf: ArchivePage, readAt: number): void {
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
			if (this.size <= this.limits.maxCacheChars || old.leaf === leaf) break
			this.drop(Number(key.split('/')[0]), old.leaf.to)
		}
	}

	// ---- questions ----

	/** Follows a question through what is kept; null: it needs a read at its level. */
	private advance(q: Question): ArchiveLookup | null {
		for (;;) {
			const kept = this.covering(q.level, q.at)
			if (kept === undefined) return null
			const found = this.look(kept, q.at)
			if (found !== undefined) return found
			if (kept.readAt < q.since) return null
			if (!kept.leaf.deeper) return 'absent'
			q.level++
			q.since = kept.leaf.modRevision
		}
	}

	private pump(): void {
		if (this.reading || this.waiting.length === 0) return
		this.reading = true
		const turn = Effect.sleep(this.pace.reserveDelayMs()).pipe(
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

	private settle(q: Question, found: ArchiveLookup): void {
		this.waiting = this.waiting.filter((w) => w !== q)
		q.done(found)
	}

	/** Too many requests is no outage: the questions stay and are read for in a later turn, while anybody waits. */
	private unread(questions: readonly Question[], e: StoreFailure): void {
		if (e._tag === 'RequestRejected' && e.status === 429) return
		for (const q of questions) this.settle(q, 'unsure')
	}

	/** A job's own key of the first form. */
	private readOwn(q: Question) {
		const key = `${KEY_PREFIX}job/${q.uid}`
		return this.client.list(key, null, 1).pipe(
			Effect.map(({ entries }) => {
				const [entry] = entries
				const data = entry?.key === key && isMap(entry.data) ? entry.data : null
				if (data?.final === 'done' || data?.final === 'aborted') {
					const tasks = Number(data.tasks ?? 0)
					const aborted = data.final === 'aborted'
					const done = aborted ? Number(data.count ?? 0) : tasks
					return this.settle(q, {
						ordinal: q.at,
						aborted,
						taskCount: tasks,
						doneCount: done,
						revision: entry.modRevision,
					})
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
		const run = Math.max(1, Math.min(this.limits.maxPagesPerRead, alike.length))
		return this.client.list(levelPrefix(level), archivePageKey(level, first.at), run).pipe(
			Effect.map(({ entries, revision }) => {
				const leaves =
					entries.length === 0
						? [emptyLevel()]
						: entries.map((e) => decodeArchivePage(level, e.key, e.data, e.modRevision))
				// A state that left memory behind this read may be missing in it: it answers who finds, and is read again.
				const fresh = level > 1 || revision >= this.leftUpTo
				// The first one is kept last: where few are kept it must not make room for its neighbours.
				if (fresh) for (const leaf of leaves.reverse()) this.keep(level, leaf, revision)
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
