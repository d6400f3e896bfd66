import type { KeyValue } from '@heathroad/wire'
import { Effect } from 'effect'
import type { RangePage, RevisionCompacted, StoreClient, StoreFailure } from './client.js'
import { KEY_PREFIX } from './client.js'
import { RequestPacer } from './pace.js'

/** Keys that one request of a full read asks for: the most that one answer holds. */
const PAGE = 1000

export interface CacheEntry {
	data: unknown
	modRevision: number
}

/** A copy of every key of the service, kept up to date by a watch and by catch-up reads. */
export class WatchCache {
	readonly entries = new Map<string, CacheEntry>()
	/** Everything up to this revision has been applied. -1: nothing has been read yet. */
	revision = -1
	/** when the latest read that was answered was sent, on the steady clock: what was durable then is known */
	private knownAsOf = Number.NEGATIVE_INFINITY
	/** called when `revision` has moved on */
	onRevisionAdvanced: () => void = () => {}
	private pendingReads: ((ok: boolean) => void)[] = []
	private readInFlight = false
	/** turns of reads for questions, which others that read for questions share */
	readonly readPacer: RequestPacer
	/** Is a key of a full read kept? What changes later is kept in any case. */
	retains: (key: string, data: unknown) => boolean = () => true
	/** called before a full read is applied: changes in between may never be told */
	onFullRead: (revision: number) => void = () => {}

	/**
	 * `changed` is told of every key whose content differs from what was known, and what that was. Reads for questions
	 * begin `gapMs` apart at least: without that each controller reads as fast as it is answered when users ask often,
	 * and all of them together use up the state's requests, grants and writes included (incident 9).
	 */
	constructor(
		private readonly onChange: (
			key: string,
			entry: CacheEntry | undefined,
			before: CacheEntry | undefined,
		) => void,
		private readonly gapMs: number,
		private readonly now: () => number,
	) {
		this.readPacer = new RequestPacer(gapMs, now)
	}

	/** How long ago everything durable was known here, at least; infinite before the first read. */
	ageMs(now = this.now()): number {
		return now - this.knownAsOf
	}

	get(key: string): CacheEntry | undefined {
		return this.entries.get(key)
	}

	modRevision(key: string): number {
		return this.entries.get(key)?.modRevision ?? 0
	}

	*withPrefix(prefix: string): Iterable<[string, CacheEntry]> {
		for (const e of this.entries) if (e[0].startsWith(prefix)) yield e
	}

	/** Our own write was confirmed: known before the watch tells it. */
	applyOwnWrite(key: string, data: unknown, modRevision: number): void {
		this.put(key, data, modRevision)
	}

	private put(key: string, data: unknown, modRevision: number): void {
		const known = this.entries.get(key)
		if (known !== undefined && known.modRevision >= modRevision) return
		if (data === undefined) {
			if (known === undefined) return
			this.entries.delete(key)
			this.onChange(key, undefined, known)
			return
		}
		const entry = { data, modRevision }
		this.entries.set(key, entry)
		this.onChange(key, entry, known)
	}

	/**
	 * Applies a watch response. A watch and a catch-up read may overlap: what lies at or before our revision was
	 * applied already, and applying it again could bring a deleted key back.
	 */
	applyEvents(revision: number, log: readonly KeyValue[]): void {
		const from = this.revision
		for (const e of log) {
			if (e.modRevision <= from || !e.key.startsWith(KEY_PREFIX)) continue
			this.put(e.key.slice(KEY_PREFIX.length), e.data, e.modRevision)
		}
		this.advance(revision)
	}

	private advance(revision: number): void {
		if (revision <= this.revision) return
		this.revision = revision
		this.onRevisionAdvanced()
	}

	/**
	 * Replaces the content by a full read whose first page was taken at `revision`, in the order of the changes. What
	 * later pages hold of newer changes is left to the watch, which tells it in order; until then the key stays as
	 * it was known.
	 */
	replaceAll(revision: number, all: readonly KeyValue[]): void {
		const present = new Set<string>()
		for (const e of [...all].sort((a, b) => a.modRevision - b.modRevision)) {
			const key = e.key.slice(KEY_PREFIX.length)
			present.add(key)
			if (e.modRevision <= revision) this.put(key, e.data, e.modRevision)
		}
		for (const [key, entry] of [...this.entries])
			if (!present.has(key) && entry.modRevision <= revision) {
				this.entries.delete(key)
				this.onChange(key, undefined, entry)
			}
		this.advance(revision)
	}

	readAll(client: StoreClient): Effect.Effect<void, StoreFailure | RevisionCompacted> {
		return Effect.gen({ self: this }, function* () {
			const sent = this.now()
			const all: KeyValue[] = []
			let from: string | null = null
			let first = -1
			let last = -1
			for (;;) {
				const page: RangePage = yield* client.list(KEY_PREFIX, from, PAGE)
				if (first < 0) first = page.revision
				last = page.revision
				// What is not wanted never takes memory beyond its page, however much of it there is.
				for (const e of page.entries) {
					const key = e.key.slice(KEY_PREFIX.length)
					if (this.retains(key, e.data) || this.entries.has(key)) all.push(e)
				}
				if (!page.more || page.entries.length === 0) break
				from = page.entries[page.entries.length - 1].key
			}
			const news = last > first ? yield* client.watch(first, 0) : null
			this.onFullRead(first)
			this.replaceAll(first, all)
			if (news !== null) this.applyEvents(news.revision, news.log)
			this.knownAsOf = Math.max(this.knownAsOf, sent)
		})
	}

	/** What changed since the last read, if anything did within the time. */
	private catchUp(
		client: StoreClient,
		blockMs: number,
	): Effect.Effect<void, StoreFailure | RevisionCompacted> {
		const sent = this.now()
		return client.watch(this.revision, blockMs).pipe(
			Effect.map(({ revision, log }) => {
				this.applyEvents(revision, log)
				this.knownAsOf = Math.max(this.knownAsOf, sent)
			}),
			Effect.catchTag('RevisionCompacted', () => this.readAll(client)),
		)
	}

	/**
	 * Follows the service for ever. The gap lets several changes share one answer. After one that failed nobody knows
	 * what was missed, so the next read, `retryMs` later, does not wait for changes.
	 */
	follow(client: StoreClient, blockMs: number, retryMs: number): Effect.Effect<never> {
		let failed = false
		const step = Effect.suspend(() =>
			this.revision < 0 ? this.readAll(client) : this.catchUp(client, failed ? 0 : blockMs),
		)
		return step.pipe(
			Effect.matchEffect({
				onFailure: () => {
					failed = true
					return Effect.sleep(Math.max(retryMs, this.gapMs * 3))
				},
				onSuccess: () => {
					failed = false
					return Effect.sleep(this.gapMs)
				},
			}),
			Effect.forever,
		)
	}

	/**
	 * True once a read begun after this call has been applied: whatever was durable before the call is then in
	 * the mirror. Callers that arrive while a read is under way share the next one.
	 */
	linearizableRead(client: StoreClient): Effect.Effect<boolean> {
		return Effect.callback<boolean>((resume) => {
			this.pendingReads.push((ok) => resume(Effect.succeed(ok)))
			this.pump(client)
		})
	}

	private pump(client: StoreClient): void {
		if (this.readInFlight || this.pendingReads.length === 0) return
		this.readInFlight = true
		Effect.runFork(
			Effect.sleep(this.readPacer.reserveDelayMs()).pipe(
				Effect.andThen(Effect.suspend(() => this.read(client))),
			),
		)
	}

	/** One read for all who wait by now. */
	private read(client: StoreClient): Effect.Effect<void> {
		const asked = this.pendingReads
		this.pendingReads = []
		const read = this.revision < 0 ? this.readAll(client) : this.catchUp(client, 0)
		return read.pipe(
			Effect.match({
				// Too many requests is no outage: they share the next read.
				onFailure: (e) => (e._tag === 'RequestRejected' && e.status === 429 ? 'again' : 'failed'),
				onSuccess: () => 'read',
			}),
			Effect.map((how) => {
				this.readInFlight = false
				if (how === 'again') this.pendingReads.unshift(...asked)
				else for (const tell of asked) tell(how === 'read')
				this.pump(client)
			}),
		)
	}
}
