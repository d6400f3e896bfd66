/** In-memory fake of the state service: keys with revisions, leases, transactions, paged reads and watches. */
import { isMap, type WireCondition, type WireMutation } from '@heathroad/wire'
import type { Clock } from './clock.js'
import { type FakeResponse, ok } from './fake-response.js'
import { SortedKeys } from './sorted-keys.js'
import type { TokenBucket } from './token-bucket.js'

/** Interval of checks for expired leases, in ms. */
const LEASE_CHECK_MS = 50
/** Interval at which a blocked watch checks for changes, in ms. */
const WATCH_CHECK_MS = 20
/** Keys per page if the request does not specify a number. */
const DEFAULT_PAGE_KEYS = 500
/** Maximum size of a page, in characters. */
const MAX_PAGE_CHARS = 512 * 1024
/** Overhead per key in a page, besides the key and its data, in characters. */
const ENTRY_OVERHEAD_CHARS = 40
/** The log is compacted once it exceeds the retained length by this factor. */
const LOG_SLACK = 1.25

/** The stored value of a key. */
interface StoredValue {
	data: unknown
	modRevision: number
	leaseId: number | null
}

/** A change of a key; `data` is undefined if the key was deleted. */
interface StoreEvent {
	key: string
	data: unknown
	modRevision: number
}

/** A watch request that has no response yet. */
interface PendingWatch {
	fromRevision: number
	prefix: string
	/** whether it waits for changes; otherwise it returns those that exist */
	blocks: boolean
	untilMs: number
	client: number | null
	reply: (response: FakeResponse) => void
}

const queryOf = (path: string): URLSearchParams => new URLSearchParams(path.split('?')[1] ?? '')
const error = (status: number): FakeResponse => ({ status, body: {} })

/** A strongly consistent in-memory store. */
export class FakeStateStore {
	/** every request is answered with a 503, and no lease expires */
	down = false
	/** clients that get a 503 while others are served; their leases still expire, and their open watches wait */
	readonly rejectedClients = new Set<number>()
	/** rate limits on requests, and on sets and deletions; null: unlimited */
	limits: { requests: TokenBucket; changes: TokenBucket } | null = null
	/** total number of requests */
	requests = 0
	/** number of requests rejected because of the rate limits */
	rejectedRequests = 0
	/** called with every key and its data when a write is durable */
	onDurable: (key: string, data: unknown) => void = () => {}
	/** called with every key that is set or deleted */
	onChanged: (key: string) => void = () => {}
	/** called when a shard has a new owner */
	onShardTaken: () => void = () => {}
	private readonly values = new Map<string, StoredValue>()
	private readonly sortedKeys = new SortedKeys(this.values)
	private revision = 0
	/** changes up to and including this revision are no longer in the log */
	private compactedRevision = 0
	private readonly log: StoreEvent[] = []
	private readonly leases = new Map<number, { durationMs: number; expiresAt: number }>()
	private lastLeaseId = 0

	/** `maxLog`: number of changes retained for watches. */
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

	/** Ends an outage and renews every lease for its full duration. */
	recover(): void {
		this.down = false
		for (const lease of this.leases.values()) lease.expiresAt = this.clock.nowMs + lease.durationMs
	}

	/** Counts how often keys that contain `text` were set and deleted. */
	countChanges(text: string): { set: number; deleted: number } {
		const events = this.log.filter((event) => event.key.includes(text))
		const deleted = events.filter((event) => event.data === undefined).length
		return { set: events.length - deleted, deleted }
	}

	/** Sets a key that exists before the simulated day starts; watches do not report it. */
	put(key: string, data: unknown): void {
		this.values.set(key, { data, modRevision: ++this.revision, leaseId: null })
		this.compactedRevision = this.revision
		this.sortedKeys.invalidate()
	}

	/** Counts the keys with a prefix. */
	countKeys(prefix: string): number {
		return [...this.values.keys()].filter((key) => key.startsWith(prefix)).length
	}

	/** Handles a request; `client`: the controller that sent it, null if irrelevant. */
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
			this.rejectedRequests++
			reply(error(429))
			return
		}
		if (route === '/watch') {
			this.watch(this.pendingWatch(path, client, reply))
			return
		}
		if (this.rejects(client)) {
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

	private rejects(client: number | null): boolean {
		return this.down || (client !== null && this.rejectedClients.has(client))
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

	/** Deletes a lease and its keys, each at its own revision. */
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

	/** Returns one page of the keys with a prefix, in order, starting after a given key. */
	private readPage(query: URLSearchParams): FakeResponse {
		const maxKeys = Number(query.get('page') ?? DEFAULT_PAGE_KEYS)
		const prefix = query.get('under') ?? ''
		const after = query.get('from') ?? ''
		const entries: { key: string; data: unknown; stamp: number }[] = []
		let remainingChars = MAX_PAGE_CHARS
		for (const [key, value] of this.sortedKeys.withPrefix(prefix, after)) {
			remainingChars -= key.length + JSON.stringify(value.data).length + ENTRY_OVERHEAD_CHARS
			if (entries.length >= maxKeys || (remainingChars < 0 && entries.length > 0))
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

	/** Responds to a watch if there is a response; otherwise checks again later. */
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
		if (this.rejects(client)) return blocks ? null : error(503)
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
			this.onDurable(key, data)
		} else if (this.values.delete(mutation.delete)) {
			this.sortedKeys.invalidate()
			this.publish({ key: mutation.delete, data: undefined, modRevision })
		}
	}

	/** Notifies the callbacks of a change and appends it to the log; compacts the log if it is too long. */
	private publish(event: StoreEvent): void {
		this.onChanged(event.key)
		if (event.data !== undefined && /\/part\/\d+$/.test(event.key)) this.onShardTaken()
		this.log.push(event)
		if (this.log.length <= this.maxLog * LOG_SLACK) return
		const compacted = this.log.splice(0, this.log.length - this.maxLog)
		this.compactedRevision = compacted[compacted.length - 1].modRevision
	}
}
