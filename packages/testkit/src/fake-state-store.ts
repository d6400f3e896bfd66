/** In-memory fake of the state service: keys with revisions, leases, transactions, pages of keys and a watch. */
import { isMap, type WireCondition, type WireMutation } from '@heathroad/wire'
import type { Clock } from './clock.js'
import { type FakeResponse, ok } from './fake-response.js'
import { SortedKeys } from './sorted-keys.js'
import type { TokenBucket } from './token-bucket.js'

/** How often expired leases are looked for, in ms. */
const LEASE_CHECK_MS = 50
/** How often a blocked watch looks for changes, in ms. */
const WATCH_CHECK_MS = 20
/** Keys of a page that does not say how many. */
const DEFAULT_PAGE_KEYS = 500
/** Largest size of a page, in characters. */
const MAX_PAGE_CHARS = 512 * 1024
/** What a key takes of a page besides itself and its data, in characters. */
const ENTRY_OVERHEAD_CHARS = 40
/** The log is compacted once it exceeds the kept length by this factor. */
const LOG_SLACK = 1.25

/** The value of a key. */
interface StoredValue {
	data: unknown
	modRevision: number
	leaseId: number | null
}

/** A change of a key; without data it was deleted. */
interface StoreEvent {
	key: string
	data: unknown
	modRevision: number
}

/** A watch that waits for changes. */
interface PendingWatch {
	fromRevision: number
	prefix: string
	/** does it wait for changes, or does it ask for those there are? */
	blocks: boolean
	untilMs: number
	client: number | null
	reply: (response: FakeResponse) => void
}

const queryOf = (path: string): URLSearchParams => new URLSearchParams(path.split('?')[1] ?? '')
const error = (status: number): FakeResponse => ({ status, body: {} })

/** A strongly consistent store in memory. */
export class FakeStateStore {
	/** every request gets a 503, and no lease expires */
	down = false
	/** clients that alone get a 503, while the others are served and their own leases expire; open watches wait */
	readonly refuses = new Set<number>()
	/** what it accepts a second of requests, and of sets and deletions; null: any number */
	limits: { requests: TokenBucket; changes: TokenBucket } | null = null
	/** number of requests of all kinds */
	requests = 0
	/** number of requests that were rejected as too many */
	refused = 0
	/** called with every key as it becomes durable */
	durable: (key: string, data: unknown) => void = () => {}
	/** called with every key that is set or deleted */
	changed: (key: string) => void = () => {}
	/** called when a shard has a new owner */
	taken: () => void = () => {}
	private readonly values = new Map<string, StoredValue>()
	private readonly sortedKeys = new SortedKeys(this.values)
	private revision = 0
	/** up to this revision changes are no longer in the log */
	private compactedRevision = 0
	private readonly log: StoreEvent[] = []
	private readonly leases = new Map<number, { durationMs: number; expiresAt: number }>()
	private lastLeaseId = 0

	/** `maxLog`: how many changes are kept for watches. */
	constructor(
		private readonly clock: Clock,
		private readonly maxLog = Number.POSITIVE_INFINITY,
	) {
		const expireLeases = () => {
			this.expireLeases()
			clock.after(LEASE_CHECK_MS, expireLeases)
		}
		clock.after(0, expireLeases)
	}

	/** Ends an outage: every lease has its full duration again. */
	recover(): void {
		this.down = false
		for (const lease of this.leases.values()) lease.expiresAt = this.clock.nowMs + lease.durationMs
	}

	/** How often keys that contain `text` were set or deleted. */
	changes(text: string): { set: number; deleted: number } {
		const events = this.log.filter((event) => event.key.includes(text))
		const deleted = events.filter((event) => event.data === undefined).length
		return { set: events.length - deleted, deleted }
	}

	/** Sets a key as it was before the day; watches do not see the change. */
	put(key: string, data: unknown): void {
		this.values.set(key, { data, modRevision: ++this.revision, leaseId: null })
		this.compactedRevision = this.revision
		this.sortedKeys.invalidate()
	}

	/** The number of keys with a prefix. */
	count(prefix: string): number {
		return [...this.values.keys()].filter((key) => key.startsWith(prefix)).length
	}

	/** Handles a request; `client`: the controller that sends it, where that matters. */
	handle(
		method: string,
		path: string,
		body: unknown,
		reply: (response: FakeResponse) => void,
		client: number | null = null,
	): void {
		const route = path.split('?')[0]
		this.requests++
		if (this.exceedsLimits(route, body)) {
			this.refused++
			reply(error(429))
			return
		}
		if (route === '/watch') {
			this.watch(this.pendingWatch(path, client, reply))
			return
		}
		if (this.denies(client)) {
			reply(error(503))
			return
		}
		reply(this.respond(method, path, body))
	}

	private exceedsLimits(route: string, body: unknown): boolean {
		if (this.limits === null) return false
		const mutations = route === '/txn' && isMap(body) && Array.isArray(body.apply) ? body.apply.length : 0
		return !(this.limits.requests.take(1) && this.limits.changes.take(mutations))
	}

	private denies(client: number | null): boolean {
		return this.down || (client !== null && this.refuses.has(client))
	}

	private respond(method: string, path: string, body: unknown): FakeResponse {
		const route = path.split('?')[0]
		if (route === '/txn' && isMap(body)) return this.transact(body)
		if (route === '/grants' && isMap(body)) return this.createLease(Number(body.lifeMs))
		const revoked = method === 'DELETE' ? /^\/grants\/(\d+)$/.exec(route) : null
		if (revoked !== null) {
			this.endLease(Number(revoked[1]))
			return ok({})
		}
		const extended = /^\/grants\/(\d+)\/extend$/.exec(route)
		if (extended !== null) return this.extendLease(Number(extended[1]))
		if (method === 'GET' && route === '/store') return this.readPage(queryOf(path))
		return error(400)
	}

	private expireLeases(): void {
		if (this.down) return
		for (const [id, lease] of [...this.leases]) if (lease.expiresAt < this.clock.nowMs) this.endLease(id)
	}

	private createLease(durationMs: number): FakeResponse {
		const id = ++this.lastLeaseId
		this.leases.set(id, { durationMs, expiresAt: this.clock.nowMs + durationMs })
		return ok({ grant: id })
	}

	private extendLease(id: number): FakeResponse {
		const lease = this.leases.get(id)
		if (lease === undefined) return error(404)
		lease.expiresAt = this.clock.nowMs + lease.durationMs
		return ok({})
	}

	/** Deletes a lease and its keys, each with a revision of its own. */
	private endLease(id: number): void {
		this.leases.delete(id)
		for (const [key, value] of [...this.values])
			if (value.leaseId === id) {
				this.revision++
				this.values.delete(key)
				this.sortedKeys.invalidate()
				this.publish({ key, data: undefined, modRevision: this.revision })
			}
	}

	/** Keys with a prefix in order, from behind a key on, as many as fit a page. */
	private readPage(query: URLSearchParams): FakeResponse {
		const maxKeys = Number(query.get('page') ?? DEFAULT_PAGE_KEYS)
		const prefix = query.get('under') ?? ''
		const after = query.get('from') ?? ''
		const entries: { key: string; data: unknown; stamp: number }[] = []
		let roomChars = MAX_PAGE_CHARS
		for (const [key, value] of this.sortedKeys.withPrefix(prefix, after)) {
			roomChars -= key.length + JSON.stringify(value.data).length + ENTRY_OVERHEAD_CHARS
			if (entries.length >= maxKeys || (roomChars < 0 && entries.length > 0))
				return ok({ entries, truncated: true, epoch: this.revision })
			entries.push({ key, data: value.data, stamp: value.modRevision })
		}
		return ok({ entries, truncated: false, epoch: this.revision })
	}

	private pendingWatch(
		path: string,
		client: number | null,
		reply: (response: FakeResponse) => void,
	): PendingWatch {
		const query = queryOf(path)
		return {
			fromRevision: Number(query.get('from')),
			prefix: query.get('under') ?? '',
			blocks: query.get('blockMs') !== '0',
			untilMs: this.clock.nowMs + Number(query.get('blockMs') ?? 0),
			client,
			reply,
		}
	}

	/** Responds to a watch if there is something to respond with; otherwise looks again later. */
	private watch(watch: PendingWatch): void {
		const response = this.watchResponse(watch)
		if (response !== null) {
			watch.reply(response)
			return
		}
		this.clock.after(WATCH_CHECK_MS, () => this.watch(watch))
	}

	private watchResponse({
		fromRevision,
		prefix,
		blocks,
		untilMs,
		client,
	}: PendingWatch): FakeResponse | null {
		if (this.denies(client)) return blocks ? null : error(503)
		if (fromRevision < this.compactedRevision && fromRevision >= 0) return error(410)
		const events = this.eventsAfter(fromRevision).filter((event) => event.key.startsWith(prefix))
		if (events.length === 0 && this.clock.nowMs < untilMs) return null
		const log = events.map(({ key, data, modRevision }) =>
			data === undefined ? { delete: key, stamp: modRevision } : { set: key, data, stamp: modRevision },
		)
		return ok({ epoch: this.revision, log })
	}

	private eventsAfter(revision: number): StoreEvent[] {
		let first = this.log.length
		while (first > 0 && this.log[first - 1].modRevision > revision) first--
		return this.log.slice(first)
	}

	private transact(body: Record<string, unknown>): FakeResponse {
		const conditions = (body.if ?? []) as WireCondition[]
		const mutations = (body.apply ?? []) as WireMutation[]
		for (const mutation of mutations)
			if ('set' in mutation && mutation.grant !== undefined && !this.leases.has(mutation.grant))
				return { status: 400, body: { error: 'no such lease' } }
		const failed = conditions
			.filter((condition) => (this.values.get(condition.key)?.modRevision ?? 0) !== condition.stamp)
			.map((condition) => condition.key)
		if (failed.length > 0) return { status: 409, body: { failed, epoch: this.revision } }
		if (mutations.length > 0) this.revision++
		for (const mutation of mutations) this.apply(mutation)
		return ok({ epoch: this.revision })
	}

	private apply(mutation: WireMutation): void {
		const modRevision = this.revision
		if ('set' in mutation) {
			const { set: key, data } = mutation
			if (!this.values.has(key)) this.sortedKeys.invalidate()
			this.values.set(key, { data, modRevision, leaseId: mutation.grant ?? null })
			this.publish({ key, data, modRevision })
			this.durable(key, data)
		} else if (this.values.delete(mutation.delete)) {
			this.sortedKeys.invalidate()
			this.publish({ key: mutation.delete, data: undefined, modRevision })
		}
	}

	/** Reports a change and appends it to the log, which is compacted if it is too long. */
	private publish(event: StoreEvent): void {
		this.changed(event.key)
		if (event.data !== undefined && /\/part\/\d+$/.test(event.key)) this.taken()
		this.log.push(event)
		if (this.log.length <= this.maxLog * LOG_SLACK) return
		const compacted = this.log.splice(0, this.log.length - this.maxLog)
		this.compactedRevision = compacted[compacted.length - 1].modRevision
	}
}
