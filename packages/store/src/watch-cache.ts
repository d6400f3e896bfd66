/** A local copy of all keys of the state service, kept up to date by a watch. */
import type { KeyValue } from '@heathroad/wire'
import { Effect } from 'effect'
import type { RangePage, RevisionCompacted, StoreClient, StoreFailure } from './client.js'
import { KEY_PREFIX } from './client.js'
import { LinearizableReads } from './linearizable-reads.js'
import { RequestPacer } from './request-pacer.js'

/** Keys that one request of a full read asks for: the most that one response holds. */
const FULL_READ_PAGE_SIZE = 1000
/** After a failed watch, the cache waits at least this many intervals before the next. */
const RETRY_INTERVALS = 3

/** A key's content, and the revision of its latest change. */
export interface CacheEntry {
	data: unknown
	modRevision: number
	/** steady time at which the change arrived here; undefined: it was found by a full read, and may be of any age */
	arrivedAt?: number
}

/** Called for every key whose content differs from what was known; undefined: the key is absent. */
export type CacheListener = (
	key: string,
	entry: CacheEntry | undefined,
	before: CacheEntry | undefined,
) => void

/** Decides what one full read keeps in memory. */
export interface FullReadFilter {
	/** Tells whether a key of the read is kept. Keys that change later are kept in any case. */
	retains(key: string, data: unknown, modRevision: number): boolean
	/** The read, whose first request was answered at the revision, is about to be applied. */
	onApply(revision: number): void
}

/** A full read that is complete. */
interface FullRead {
	/** at which its first request was answered */
	firstRevision: number
	retained: readonly KeyValue[]
	filter: FullReadFilter
	/** what changed during it; null: nothing */
	changes: { revision: number; log: readonly KeyValue[] } | null
}

const KEEP_EVERYTHING: FullReadFilter = { retains: () => true, onApply: () => {} }

const withoutPrefix = (key: string): string => key.slice(KEY_PREFIX.length)

/** Keys in the cache are without the prefix that all keys share. */
export class WatchCache {
	readonly entries = new Map<string, CacheEntry>()
	/** Everything up to this revision has been applied. -1: nothing has been read yet. */
	revision = -1
	/** Steady time at which the latest read that was answered was sent: everything durable by then is known. */
	private knownAsOf = Number.NEGATIVE_INFINITY
	/** Called when `revision` has advanced. */
	onRevisionAdvanced: () => void = () => {}
	/** Slots of linearizable reads, shared with other reads that are made on request. */
	readonly readPacer: RequestPacer
	private readonly linearizableReads: LinearizableReads
	/** Called when a full read begins; several may be in flight. */
	beginFullRead: () => FullReadFilter = () => KEEP_EVERYTHING
	/** Called before a full read is applied: changes since the last read may never be reported one by one. */
	onFullRead: () => void = () => {}
	/** Called once a full read, and the changes that were made during it, are applied, before `onRevisionAdvanced`. */
	onFullReadApplied: () => void = () => {}

	/**
	 * Linearizable reads begin at least `intervalMs` apart: otherwise each controller would read as fast as it is answered
	 * when users ask often, and all of them together would use up the request rate of the state service, which leases and
	 * writes need (incident 9).
	 *
	 * @param intervalMs also between a watch's response and the next watch
	 * @param now steady clock, in ms
	 */
	constructor(
		private readonly onChange: CacheListener,
		private readonly intervalMs: number,
		private readonly now: () => number,
	) {
		this.readPacer = new RequestPacer(intervalMs, now)
		this.linearizableReads = new LinearizableReads(this.readPacer, (client) => this.readLatest(client))
	}

	/** For how many ms changes may have gone unnoticed; infinite before the first read. */
	ageMs(now = this.now()): number {
		return now - this.knownAsOf
	}

	/** undefined: the key is absent */
	get(key: string): CacheEntry | undefined {
		return this.entries.get(key)
	}

	/** 0: the key is absent */
	modRevision(key: string): number {
		return this.entries.get(key)?.modRevision ?? 0
	}

	/** Entries whose keys begin with a prefix, in the order of their insertion. */
	*withPrefix(prefix: string): Iterable<[string, CacheEntry]> {
		for (const entry of this.entries) if (entry[0].startsWith(prefix)) yield entry
	}

	/**
	 * Applies a write of this controller that was confirmed, before the watch reports it. A confirmation that comes later
	 * than the watch tells nothing new, and the key may have changed or been deleted since.
	 */
	applyOwnWrite(key: string, data: unknown, modRevision: number): void {
		if (modRevision > this.revision) this.put(key, data, modRevision, this.now())
	}

	private put(key: string, data: unknown, modRevision: number, arrivedAt?: number): void {
		const before = this.entries.get(key)
		if (before !== undefined && before.modRevision >= modRevision) return
		if (data === undefined) {
			if (before !== undefined) this.remove(key, before)
			return
		}
		const entry = arrivedAt === undefined ? { data, modRevision } : { data, modRevision, arrivedAt }
		this.entries.set(key, entry)
		this.onChange(key, entry, before)
	}

	private remove(key: string, before: CacheEntry): void {
		this.entries.delete(key)
		this.onChange(key, undefined, before)
	}

	/**
	 * Applies a watch response. Two reads may overlap: changes at or before the cache's revision were applied already, and
	 * applying them again could bring a deleted key back.
	 */
	applyEvents(revision: number, log: readonly KeyValue[]): void {
		this.putChanges(log)
		this.advance(revision)
	}

	private putChanges(log: readonly KeyValue[]): void {
		const appliedRevision = this.revision
		const arrivedAt = this.now()
		for (const { key, data, modRevision } of log) {
			if (modRevision <= appliedRevision || !key.startsWith(KEY_PREFIX)) continue
			this.put(withoutPrefix(key), data, modRevision, arrivedAt)
		}
	}

	private advance(revision: number): void {
		if (revision <= this.revision) return
		this.revision = revision
		this.onRevisionAdvanced()
	}

	/**
	 * Replaces the content by a full read whose first page was taken at `revision`, in the order of the changes. Newer
	 * changes that later pages show are left to the watch, which reports them in order; until then the key stays as it was
	 * known.
	 */
	replaceAll(revision: number, all: readonly KeyValue[]): void {
		this.replaceContent(revision, all)
		this.advance(revision)
	}

	private replaceContent(revision: number, all: readonly KeyValue[]): void {
		const present = new Set<string>()
		for (const item of [...all].sort((left, right) => left.modRevision - right.modRevision)) {
			const key = withoutPrefix(item.key)
			present.add(key)
			if (item.modRevision <= revision) this.put(key, item.data, item.modRevision)
		}
		for (const [key, entry] of [...this.entries])
			if (!present.has(key) && entry.modRevision <= revision) this.remove(key, entry)
	}

	/** Reads all keys, and then the changes that were made meanwhile. */
	readAll(client: StoreClient): Effect.Effect<void, StoreFailure | RevisionCompacted> {
		return Effect.gen({ self: this }, function* () {
			const sentAt = this.now()
			const filter = this.beginFullRead()
			const retained: KeyValue[] = []
			let after: string | null = null
			let firstRevision = -1
			let lastRevision = -1
			for (;;) {
				const page: RangePage = yield* client.list(KEY_PREFIX, after, FULL_READ_PAGE_SIZE)
				if (firstRevision < 0) firstRevision = page.revision
				lastRevision = page.revision
				// Entries that are not retained never take more memory than their page.
				retained.push(...page.entries.filter((entry) => this.retainsEntry(filter, entry)))
				if (!page.more || page.entries.length === 0) break
				after = page.entries[page.entries.length - 1].key
			}
			const changes = lastRevision > firstRevision ? yield* client.watch(firstRevision, 0) : null
			if (this.revision < firstRevision) this.applyFullRead({ firstRevision, retained, filter, changes })
			// Another read was applied meanwhile: an older one would bring back keys that were deleted since.
			else if (changes !== null) this.applyEvents(changes.revision, changes.log)
			this.knownAsOf = Math.max(this.knownAsOf, sentAt)
		})
	}

	/**
	 * The revision advances once, at the end: until then a key that changed during the read lacks what it held at the first
	 * revision, so nobody may take the content for complete.
	 */
	private applyFullRead({ firstRevision, retained, filter, changes }: FullRead): void {
		this.onFullRead()
		filter.onApply(firstRevision)
		this.replaceContent(firstRevision, retained)
		if (changes !== null) this.putChanges(changes.log)
		this.revision = changes?.revision ?? firstRevision
		this.onFullReadApplied()
		this.onRevisionAdvanced()
	}

	private retainsEntry(filter: FullReadFilter, entry: KeyValue): boolean {
		const key = withoutPrefix(entry.key)
		return filter.retains(key, entry.data, entry.modRevision) || this.entries.has(key)
	}

	/** Reads the changes since the last read; waits for one, for at most `blockMs`, if there is none. */
	private readChanges(
		client: StoreClient,
		blockMs: number,
	): Effect.Effect<void, StoreFailure | RevisionCompacted> {
		const sentAt = this.now()
		return client.watch(this.revision, blockMs).pipe(
			Effect.map(({ revision, log }) => {
				this.applyEvents(revision, log)
				this.knownAsOf = Math.max(this.knownAsOf, sentAt)
			}),
			Effect.catchTag('RevisionCompacted', () => this.readAll(client)),
		)
	}

	private readLatest(
		client: StoreClient,
		blockMs = 0,
	): Effect.Effect<void, StoreFailure | RevisionCompacted> {
		return this.revision < 0 ? this.readAll(client) : this.readChanges(client, blockMs)
	}

	/**
	 * Watches the state service until the fiber is interrupted. The interval after a response lets several changes share
	 * the next one. After a failure nobody knows what was missed, so the next read, `retryMs` later, does not wait for
	 * changes.
	 */
	follow(client: StoreClient, blockMs: number, retryMs: number): Effect.Effect<never> {
		let failed = false
		return Effect.suspend(() => this.readLatest(client, failed ? 0 : blockMs)).pipe(
			Effect.matchEffect({
				onFailure: () => {
					failed = true
					return Effect.sleep(Math.max(retryMs, this.intervalMs * RETRY_INTERVALS))
				},
				onSuccess: () => {
					failed = false
					return Effect.sleep(this.intervalMs)
				},
			}),
			Effect.forever,
		)
	}

	/**
	 * Succeeds with true once a read that began after this call has been applied: everything that was durable before the call
	 * is then in the cache. With false, the read failed.
	 */
	linearizableRead(client: StoreClient): Effect.Effect<boolean> {
		return this.linearizableReads.request(client)
	}
}
