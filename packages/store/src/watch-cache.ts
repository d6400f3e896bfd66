/** Watch cache: a local copy of all keys of the state service, kept up to date by a watch. */
import type { KeyValue } from '@heathroad/wire'
import { Effect } from 'effect'
import type { RangePage, RevisionCompacted, StoreClient, StoreFailure } from './client.js'
import { KEY_PREFIX } from './client.js'
import { LinearizableReads } from './linearizable-reads.js'
import { RequestPacer } from './request-pacer.js'

/** Number of keys per request of a full read: the maximum of one response. */
const FULL_READ_PAGE_SIZE = 1000
/** Minimum delay before the next watch after one that failed, in watch intervals. */
const MIN_RETRY_INTERVALS = 3

/** Value of a key, and the revision of its latest change. */
export interface CacheEntry {
	data: unknown
	modRevision: number
	/** Monotonic time at which the change arrived; undefined if a full read found it, in which case its age is unknown. */
	arrivedAt?: number
}

/** Called for every key whose value has changed; an undefined entry means that the key is absent. */
export type CacheListener = (
	key: string,
	entry: CacheEntry | undefined,
	previous: CacheEntry | undefined,
) => void

/** Decides which keys of one full read are kept in memory. */
export interface FullReadFilter {
	/** Whether a key of the read is kept. Keys that change later are always kept. */
	retains(key: string, data: unknown, modRevision: number): boolean
	/** Called before the read is applied; `revision`: that of the response to its first request. */
	onApply(revision: number): void
}

/** A completed full read. */
interface FullRead {
	/** Revision of the response to its first request. */
	firstRevision: number
	retained: readonly KeyValue[]
	filter: FullReadFilter
	/** Changes during the read; null if there were none. */
	changes: { revision: number; log: readonly KeyValue[] } | null
}

const KEEP_EVERYTHING: FullReadFilter = { retains: () => true, onApply: () => {} }

const withoutPrefix = (key: string): string => key.slice(KEY_PREFIX.length)

/** Cache of all keys, which are stored without `KEY_PREFIX`. */
export class WatchCache {
	readonly entries = new Map<string, CacheEntry>()
	/** Revision up to which all changes have been applied; -1 if nothing has been read yet. */
	revision = -1
	/** Monotonic time at which the latest successful read was sent: everything durable by then is in the cache. */
	private knownAsOf = Number.NEGATIVE_INFINITY
	/** Called when `revision` has advanced. */
	onRevisionAdvanced: () => void = () => {}
	/** Paces linearizable reads and other reads on behalf of user requests. */
	readonly readPacer: RequestPacer
	private readonly linearizableReads: LinearizableReads
	/** Called when a full read begins; several may be in flight. */
	beginFullRead: () => FullReadFilter = () => KEEP_EVERYTHING
	/** Called before a full read is applied: changes since the previous read may not be reported individually. */
	onFullRead: () => void = () => {}
	/** Called after a full read and the changes during it were applied, before `onRevisionAdvanced`. */
	onFullReadApplied: () => void = () => {}

	/**
	 * Linearizable reads begin at least `intervalMs` apart. Under frequent user requests, each controller would otherwise
	 * send reads back to back, and together they would exhaust the request rate of the state service, which leases and writes
	 * need (incident 9).
	 *
	 * @param intervalMs minimum interval of linearizable reads, and delay between a watch's response and the next watch
	 * @param now monotonic clock, in ms
	 */
	constructor(
		private readonly onChange: CacheListener,
		private readonly intervalMs: number,
		private readonly now: () => number,
	) {
		this.readPacer = new RequestPacer(intervalMs, now)
		this.linearizableReads = new LinearizableReads(this.readPacer, (client) => this.readLatest(client))
	}

	/** Upper bound of the cache's staleness, in ms; infinite before the first read. */
	ageMs(now = this.now()): number {
		return now - this.knownAsOf
	}

	/** undefined if the key is absent */
	get(key: string): CacheEntry | undefined {
		return this.entries.get(key)
	}

	/** 0 if the key is absent */
	modRevision(key: string): number {
		return this.entries.get(key)?.modRevision ?? 0
	}

	/** Entries whose keys begin with a prefix, in insertion order. */
	*withPrefix(prefix: string): Iterable<[string, CacheEntry]> {
		for (const entry of this.entries) if (entry[0].startsWith(prefix)) yield entry
	}

	/**
	 * Applies a confirmed write of this controller before the watch reports it. A confirmation that arrives after the watch has
	 * reported the write is ignored: the key may have been changed or deleted since.
	 */
	applyOwnWrite(key: string, data: unknown, modRevision: number): void {
		if (modRevision > this.revision) this.put(key, data, modRevision, this.now())
	}

	private put(key: string, data: unknown, modRevision: number, arrivedAt?: number): void {
		const previous = this.entries.get(key)
		if (previous !== undefined && previous.modRevision >= modRevision) return
		if (data === undefined) {
			if (previous !== undefined) this.remove(key, previous)
			return
		}
		const entry = arrivedAt === undefined ? { data, modRevision } : { data, modRevision, arrivedAt }
		this.entries.set(key, entry)
		this.onChange(key, entry, previous)
	}

	private remove(key: string, previous: CacheEntry): void {
		this.entries.delete(key)
		this.onChange(key, undefined, previous)
	}

	/**
	 * Applies a watch response. Reads may overlap: changes up to the cache's revision have already been applied, and applying
	 * them again could restore a deleted key.
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
	 * Replaces the content with a full read whose first page was read at `revision`, and applies the differences in the order
	 * of the revisions. Newer changes in later pages are left to the watch, which reports them in order; until then such a key
	 * keeps its cached value.
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

	/** Reads all keys, and then the changes that were made during the read. */
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
				// Entries are filtered page by page, so that those not retained use no more memory than one page.
				retained.push(...page.entries.filter((entry) => this.retainsEntry(filter, entry)))
				if (!page.more || page.entries.length === 0) break
				after = page.entries[page.entries.length - 1].key
			}
			const changes = lastRevision > firstRevision ? yield* client.watch(firstRevision, 0) : null
			if (this.revision < firstRevision) this.applyFullRead({ firstRevision, retained, filter, changes })
			// A later read was applied meanwhile; applying this older one would restore keys that were deleted since.
			else if (changes !== null) this.applyEvents(changes.revision, changes.log)
			this.knownAsOf = Math.max(this.knownAsOf, sentAt)
		})
	}

	/**
	 * The revision advances only once, at the end. Until then, keys that changed during the read lack their values at the first
	 * revision, so the content must not be treated as complete.
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

	/** Reads the changes since the last read; if there are none, waits up to `blockMs` for one. */
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
	 * Watches the state service until the fiber is interrupted. The delay after a response lets several changes share the next
	 * one. After a failure, changes may have been missed, so the next read, at least `retryMs` later, does not wait for
	 * changes.
	 */
	follow(client: StoreClient, blockMs: number, retryMs: number): Effect.Effect<never> {
		let failed = false
		return Effect.suspend(() => this.readLatest(client, failed ? 0 : blockMs)).pipe(
			Effect.matchEffect({
				onFailure: () => {
					failed = true
					return Effect.sleep(Math.max(retryMs, this.intervalMs * MIN_RETRY_INTERVALS))
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
	 * Succeeds with true once a read that began after this call has been applied: the cache then contains everything that was
	 * durable before the call. Succeeds with false if the read failed.
	 */
	linearizableRead(client: StoreClient): Effect.Effect<boolean> {
		return this.linearizableReads.request(client)
	}
}
