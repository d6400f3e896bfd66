import type { LogEntry } from '@heathroad/wire'
import { Effect } from 'effect'
import type { Failure, Page, StoreClient, TooOld } from './client.js'
import { ROOT } from './client.js'
import { Pace } from './pace.js'

/** Keys that one request of a full read asks for: the most that one answer holds. */
const PAGE = 1000

export interface Entry {
	data: unknown
	stamp: number
}

/** A copy of every key of the service, kept up to date by a watch and by catch-up reads. */
export class Mirror {
	readonly entries = new Map<string, Entry>()
	/** Everything up to this epoch has been applied. -1: nothing has been read yet. */
	epoch = -1
	/** when the latest read that was answered was sent, on the steady clock: what was durable then is known */
	private asOf = Number.NEGATIVE_INFINITY
	/** called when `epoch` has moved on */
	onAdvance: () => void = () => {}
	private waiting: ((ok: boolean) => void)[] = []
	private reading = false
	/** turns of reads for questions, which others that read for questions share */
	readonly pace: Pace
	/** Is a key of a full read kept? What changes later is kept in any case. */
	wants: (key: string, data: unknown) => boolean = () => true
	/** called before a full read is applied: changes in between may never be told */
	onReload: (epoch: number) => void = () => {}

	/**
	 * `changed` is told of every key whose content differs from what was known, and what that was. Reads for questions
	 * begin `gapMs` apart at least: without that each controller reads as fast as it is answered when users ask often,
	 * and all of them together use up the state's requests, grants and writes included (incident 9).
	 */
	constructor(
		private readonly changed: (key: string, entry: Entry | undefined, before: Entry | undefined) => void,
		private readonly gapMs: number,
		private readonly now: () => number,
	) {
		this.pace = new Pace(gapMs, now)
	}

	/** How long ago everything durable was known here, at least; infinite before the first read. */
	ageMs(now = this.now()): number {
		return now - this.asOf
	}

	get(key: string): Entry | undefined {
		return this.entries.get(key)
	}

	stamp(key: string): number {
		return this.entries.get(key)?.stamp ?? 0
	}

	*under(prefix: string): Iterable<[string, Entry]> {
		for (const e of this.entries) if (e[0].startsWith(prefix)) yield e
	}

	/** Our own write was confirmed: known before the watch tells it. */
	wrote(key: string, data: unknown, stamp: number): void {
		this.put(key, data, stamp)
	}

	private put(key: string, data: unknown, stamp: number): void {
		const known = this.entries.get(key)
		if (known !== undefined && known.stamp >= stamp) return
		if (data === undefined) {
			if (known === undefined) return
			this.entries.delete(key)
			this.changed(key, undefined, known)
			return
		}
		const entry = { data, stamp }
		this.entries.set(key, entry)
		this.changed(key, entry, known)
	}

	/**
	 * Applies a watch response. A watch and a catch-up read may overlap: what lies at or before our epoch was
	 * applied already, and applying it again could bring a deleted key back.
	 */
	apply(epoch: number, log: readonly LogEntry[]): void {
		const from = this.epoch
		for (const e of log) {
			if (e.stamp <= from || !e.key.startsWith(ROOT)) continue
			this.put(e.key.slice(ROOT.length), e.data, e.stamp)
		}
		this.advance(epoch)
	}

	private advance(epoch: number): void {
		if (epoch <= this.epoch) return
		this.epoch = epoch
		this.onAdvance()
	}

	/**
	 * Replaces the content by a full read whose first page was taken at `epoch`, in the order of the changes. What
	 * later pages hold of newer changes is left to the watch, which tells it in order; until then the key stays as
	 * it was known.
	 */
	replace(epoch: number, all: readonly LogEntry[]): void {
		const present = new Set<string>()
		for (const e of [...all].sort((a, b) => a.stamp - b.stamp)) {
			const key = e.key.slice(ROOT.length)
			present.add(key)
			if (e.stamp <= epoch) this.put(key, e.data, e.stamp)
		}
		for (const [key, entry] of [...this.entries])
			if (!present.has(key) && entry.stamp <= epoch) {
				this.entries.delete(key)
				this.changed(key, undefined, entry)
			}
		this.advance(epoch)
	}

	load(client: StoreClient): Effect.Effect<void, Failure | TooOld> {
		return Effect.gen({ self: this }, function* () {
			const sent = this.now()
			const all: LogEntry[] = []
			let from: string | null = null
			let first = -1
			let last = -1
			for (;;) {
				const page: Page = yield* client.page(ROOT, from, PAGE)
				if (first < 0) first = page.epoch
				last = page.epoch
				// What is not wanted never takes memory beyond its page, however much of it there is.
				for (const e of page.entries) {
					const key = e.key.slice(ROOT.length)
					if (this.wants(key, e.data) || this.entries.has(key)) all.push(e)
				}
				if (!page.more || page.entries.length === 0) break
				from = page.entries[page.entries.length - 1].key
			}
			const news = last > first ? yield* client.watch(first, 0) : null
			this.onReload(first)
			this.replace(first, all)
			if (news !== null) this.apply(news.epoch, news.log)
			this.asOf = Math.max(this.asOf, sent)
		})
	}

	/** What changed since the last read, if anything did within the time. */
	private catchUp(client: StoreClient, blockMs: number): Effect.Effect<void, Failure | TooOld> {
		const sent = this.now()
		return client.watch(this.epoch, blockMs).pipe(
			Effect.map(({ epoch, log }) => {
				this.apply(epoch, log)
				this.asOf = Math.max(this.asOf, sent)
			}),
			Effect.catchTag('TooOld', () => this.load(client)),
		)
	}

	/**
	 * Follows the service for ever. The gap lets several changes share one answer. After one that failed nobody knows
	 * what was missed, so the next read, `retryMs` later, does not wait for changes.
	 */
	follow(client: StoreClient, blockMs: number, retryMs: number): Effect.Effect<never> {
		let failed = false
		const step = Effect.suspend(() =>
			this.epoch < 0 ? this.load(client) : this.catchUp(client, failed ? 0 : blockMs),
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
	fresh(client: StoreClient): Effect.Effect<boolean> {
		return Effect.callback<boolean>((resume) => {
			this.waiting.push((ok) => resume(Effect.succeed(ok)))
			this.pump(client)
		})
	}

	private pump(client: StoreClient): void {
		if (this.reading || this.waiting.length === 0) return
		this.reading = true
		Effect.runFork(
			Effect.sleep(this.pace.take()).pipe(Effect.andThen(Effect.suspend(() => this.read(client)))),
		)
	}

	/** One read for all who wait by now. */
	private read(client: StoreClient): Effect.Effect<void> {
		const asked = this.waiting
		this.waiting = []
		const read = this.epoch < 0 ? this.load(client) : this.catchUp(client, 0)
		return read.pipe(
			Effect.match({
				// Too many requests is no outage: they share the next read.
				onFailure: (e) => (e._tag === 'Refused' && e.status === 429 ? 'again' : 'failed'),
				onSuccess: () => 'read',
			}),
			Effect.map((how) => {
				this.reading = false
				if (how === 'again') this.waiting.unshift(...asked)
				else for (const tell of asked) tell(how === 'read')
				this.pump(client)
			}),
		)
	}
}
