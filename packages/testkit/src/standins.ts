import { isMap, type MachineType, type WireCondition, type WireMutation } from '@heathroad/wire'
import type { TokenBucket } from './bucket.js'
import type { Clock } from './clock.js'
import type { InvariantChecker } from './rules.js'

export interface FakeResponse {
	status: number
	body: unknown
}

type Body = Record<string, unknown>
const ok = (body: unknown): FakeResponse => ({ status: 200, body })
const query = (path: string): URLSearchParams => new URLSearchParams(path.split('?')[1] ?? '')

/** The state service: strongly consistent keys, grants, transactions and a watch. */
export class FakeStateStore {
	private readonly keys = new Map<string, { data: unknown; stamp: number; grant: number | null }>()
	/** the keys in order; null: to be sorted anew */
	private order: string[] | null = null
	private epoch = 0
	/** epoch up to which changes are no longer kept */
	private forgotten = 0
	private readonly log: { key: string; data: unknown; stamp: number }[] = []
	private readonly grants = new Map<number, { lifeMs: number; until: number }>()
	private lastGrant = 0
	down = false
	/** clients that alone get a 503, while the others are served and their grants run out; open watches wait */
	readonly refuses = new Set<number>()
	/** what it takes a second of requests and of sets and deletions; null: of any number */
	limits: { requests: TokenBucket; changes: TokenBucket } | null = null
	/** requests of all kinds so far, and those that were refused as too many */
	requests = 0
	refused = 0
	/** called with every key as it becomes durable */
	durable: (key: string, data: unknown) => void = () => {}
	/** called with every key that is set or deleted */
	changed: (key: string) => void = () => {}
	/** called when a part has a new owner */
	taken: () => void = () => {}

	/** `keeps`: how many changes are kept for watches */
	constructor(
		private readonly clock: Clock,
		private readonly keeps = Number.POSITIVE_INFINITY,
	) {
		const sweep = () => {
			if (!this.down) for (const [id, g] of [...this.grants]) if (g.until < clock.nowMs) this.end(id)
			clock.after(50, sweep)
		}
		clock.after(0, sweep)
	}

	/** After an outage every grant has its full time again. */
	recover(): void {
		this.down = false
		for (const g of this.grants.values()) g.until = this.clock.nowMs + g.lifeMs
	}

	/** How often keys that hold this text were set or deleted. */
	changes(part: string): { set: number; deleted: number } {
		const all = this.log.filter((e) => e.key.includes(part))
		const deleted = all.filter((e) => e.data === undefined).length
		return { set: all.length - deleted, deleted }
	}

	/** A key as it was before the day. */
	put(key: string, data: unknown): void {
		this.keys.set(key, { data, stamp: ++this.epoch, grant: null })
		this.forgotten = this.epoch
		this.order = null
	}

	/** How many keys there are under a prefix. */
	count(under: string): number {
		return [...this.keys.keys()].filter((k) => k.startsWith(under)).length
	}

	private tell(e: { key: string; data: unknown; stamp: number }): void {
		this.changed(e.key)
		if (e.data !== undefined && /\/part\/\d+$/.test(e.key)) this.taken()
		this.log.push(e)
		if (this.log.length <= this.keeps * 1.25) return
		const gone = this.log.splice(0, this.log.length - this.keeps)
		this.forgotten = gone[gone.length - 1].stamp
	}

	/** Keys in order: the first of them that lies behind a text. */
	private behind(text: string): number {
		this.order ??= [...this.keys.keys()].sort()
		let from = 0
		let to = this.order.length
		while (from < to) {
			const middle = (from + to) >> 1
			if (this.order[middle] > text) to = middle
			else from = middle + 1
		}
		return from
	}

	private end(id: number): void {
		this.grants.delete(id)
		for (const [key, e] of [...this.keys])
			if (e.grant === id) {
				this.epoch++
				this.keys.delete(key)
				this.order = null
				this.tell({ key, data: undefined, stamp: this.epoch })
			}
	}

	/** `client`: who asks, where that matters. */
	handle(
		method: string,
		path: string,
		body: unknown,
		reply: (r: FakeResponse) => void,
		client: number | null = null,
	): void {
		const route = path.split('?')[0]
		this.requests++
		const changes = route === '/txn' && isMap(body) && Array.isArray(body.apply) ? body.apply.length : 0
		if (this.limits !== null && !(this.limits.requests.take(1) && this.limits.changes.take(changes))) {
			this.refused++
			return reply({ status: 429, body: {} })
		}
		if (route === '/watch') {
			const until = this.clock.nowMs + Number(query(path).get('blockMs') ?? 0)
			return this.watch(path, until, reply, client)
		}
		if (this.denies(client)) return reply({ status: 503, body: {} })
		if (route === '/txn' && isMap(body)) return reply(this.txn(body))
		if (route === '/grants' && isMap(body)) {
			const id = ++this.lastGrant
			const lifeMs = Number(body.lifeMs)
			this.grants.set(id, { lifeMs, until: this.clock.nowMs + lifeMs })
			return reply(ok({ grant: id }))
		}
		const ended = method === 'DELETE' ? /^\/grants\/(\d+)$/.exec(route) : null
		if (ended !== null) {
			this.end(Number(ended[1]))
			return reply(ok({}))
		}
		const extend = /^\/grants\/(\d+)\/extend$/.exec(route)
		if (extend !== null) {
			const g = this.grants.get(Number(extend[1]))
			if (g === undefined) return reply({ status: 404, body: {} })
			g.until = this.clock.nowMs + g.lifeMs
			return reply(ok({}))
		}
		if (method === 'GET' && route === '/store') {
			const q = query(path)
			const page = Number(q.get('page') ?? 500)
			const under = q.get('under') ?? ''
			const after = q.get('from') ?? ''
			const entries: { key: string; data: unknown; stamp: number }[] = []
			// From the prefix on, or from behind a key below it.
			let start = under
			if (after > under) start = after
			let at = this.behind(start)
			// A key that is the prefix itself is under it too.
			if (after <= under && this.order![at - 1] === under && after < under) at--
			let room = 512 * 1024
			for (; at < this.order!.length && this.order![at].startsWith(under); at++) {
				const key = this.order![at]
				const e = this.keys.get(key)!
				room -= key.length + JSON.stringify(e.data).length + 40
				if (entries.length >= page || (room < 0 && entries.length > 0))
					return reply(ok({ entries, truncated: true, epoch: this.epoch }))
				entries.push({ key, data: e.data, stamp: e.stamp })
			}
			return reply(ok({ entries, truncated: false, epoch: this.epoch }))
		}
		reply({ status: 400, body: {} })
	}

	private denies(client: number | null): boolean {
		return this.down || (client !== null && this.refuses.has(client))
	}

	private watch(path: string, until: number, reply: (r: FakeResponse) => void, client: number | null): void {
		const from = Number(query(path).get('from'))
		const blocks = query(path).get('blockMs') !== '0'
		const denied = this.denies(client)
		if (denied && !blocks) return reply({ status: 503, body: {} })
		const under = query(path).get('under') ?? ''
		if (!denied && from < this.forgotten && from >= 0) return reply({ status: 410, body: {} })
		let at = this.log.length
		while (at > 0 && this.log[at - 1].stamp > from) at--
		const news = this.log.slice(at).filter((e) => e.key.startsWith(under))
		if (!denied && (news.length > 0 || this.clock.nowMs >= until)) {
			const log = news.map((e) =>
				e.data === undefined
					? { delete: e.key, stamp: e.stamp }
					: { set: e.key, data: e.data, stamp: e.stamp },
			)
			return reply(ok({ epoch: this.epoch, log }))
		}
		this.clock.after(20, () => this.watch(path, until, reply, client))
	}

	private txn(body: Body): FakeResponse {
		const conditions = (body.if ?? []) as WireCondition[]
		const mutations = (body.apply ?? []) as WireMutation[]
		for (const c of mutations)
			if ('set' in c && c.grant !== undefined && !this.grants.has(c.grant))
				return { status: 400, body: { error: 'no such lease' } }
		const failed = conditions.filter((c) => (this.keys.get(c.key)?.stamp ?? 0) !== c.stamp).map((c) => c.key)
		if (failed.length > 0) return { status: 409, body: { failed, epoch: this.epoch } }
		if (mutations.length > 0) this.epoch++
		for (const c of mutations) {
			if ('set' in c) {
				if (!this.keys.has(c.set)) this.order = null
				this.keys.set(c.set, { data: c.data, stamp: this.epoch, grant: c.grant ?? null })
				this.tell({ key: c.set, data: c.data, stamp: this.epoch })
				this.durable(c.set, c.data)
			} else if (this.keys.delete(c.delete)) {
				this.order = null
				this.tell({ key: c.delete, data: undefined, stamp: this.epoch })
			}
		}
		return ok({ epoch: this.epoch })
	}
}

/** The cloud: rents by name, once; machines come up after a while, some never. */
export class FakeCloud {
	private readonly rentals = new Map<string, string[]>()
	private counter = 0
	down = false
	bootFactor = 1

	constructor(
		private readonly clock: Clock,
		readonly types: readonly MachineType[],
		private readonly capacity: Map<string, number>,
		private readonly boot: (id: string, type: MachineType, zone: string, spot: boolean) => void,
		private readonly remove: (id: string) => string | null,
	) {}

	/** Machines that nobody rented through us. */
	alreadyUp(count: number, type: MachineType, zone: string): void {
		for (let i = 0; i < count; i++)
			this.boot(`i-${String(this.counter++).padStart(6, '0')}`, type, zone, false)
	}

	handle(method: string, path: string, body: unknown): FakeResponse {
		if (this.down) return { status: 503, body: { error: 'trouble' } }
		if (path === '/catalog') {
			const flavours = this.types.map((t) => ({
				label: t.name,
				cpus: t.cpus,
				gpus: t.gpus,
				ramGb: t.ramGb,
				cacheGb: t.cacheGb,
				fetchGbPerS: t.fetchGbPerS,
				hourly: t.price,
				spotPrice: t.spotPrice,
				bootS: t.bootS,
				sites: t.zones,
			}))
			return ok({ flavours })
		}
		if (method === 'POST' && path === '/hosts' && isMap(body)) {
			const name = String(body.rental)
			const known = this.rentals.get(name)
			if (known !== undefined) return ok({ hosts: known })
			const key = `${body.flavour}/${body.site}/${body.reclaimable}`
			const room = this.capacity.get(key) ?? 0
			if (room <= 0) return { status: 503, body: { error: 'no capacity' } }
			const count = Math.min(room, Number(body.howMany))
			this.capacity.set(key, room - count)
			const type = this.types.find((t) => t.name === body.flavour)!
			const hosts: string[] = []
			for (let i = 0; i < count; i++) {
				const id = `i-${String(this.counter++).padStart(6, '0')}`
				hosts.push(id)
				if (this.clock.random() < 0.03) continue
				const ms = type.bootS * 1000 * this.bootFactor * this.clock.between(0.6, 1.5)
				this.clock.after(ms, () => this.boot(id, type, String(body.site), body.reclaimable === true))
			}
			this.rentals.set(name, hosts)
			return ok({ hosts })
		}
		if (path === '/hosts/release' && isMap(body)) {
			for (const id of body.hosts as string[]) {
				const key = this.remove(id)
				if (key !== null) this.capacity.set(key, (this.capacity.get(key) ?? 0) + 1)
			}
			return ok({})
		}
		return { status: 400, body: {} }
	}
}

interface StandInTask {
	piece: string
	attempt: number | bigint
	status: string
	cause: string | null
	timer: { gone: boolean } | null
}

export interface FakeWorkerPorts {
	clock: Clock
	rules: InvariantChecker
	reportMs: number
	leaseMs: number
	/** run time and image fetch of a task; null: the job is not known */
	task(piece: string): { runMs: number; fetchMs: number; cpus: number; fails: boolean } | null
	send(
		machine: string,
		controller: string,
		path: string,
		body: unknown,
		reply: (r: FakeResponse | null) => void,
	): void
	controllers: readonly string[]
}

/** One machine's worker, as the protocol describes it. */
export class FakeWorker {
	/** one more with every lease that ended */
	tenure = 1
	private counter = 0
	private fence: number | bigint = 0
	private readonly tasks = new Map<string, StandInTask>()
	private readonly finished = new Set<string>()
	private leaseFrom: number
	private target = 0
	private inFlight = false
	private lastSent = Number.NEGATIVE_INFINITY
	private changedSince = false
	dead = false
	/** every task on it fails */
	faulty = false
	private takenAt: number | null = null
	/** it stands still until then: what arrives waits */
	private hungUntil = 0

	constructor(
		private readonly w: FakeWorkerPorts,
		readonly id: string,
		readonly type: MachineType,
		readonly zone: string,
		readonly spot: boolean,
	) {
		this.leaseFrom = w.clock.nowMs
		this.target = Math.floor(w.clock.random() * w.controllers.length)
		this.loop()
	}

	get hung(): boolean {
		return this.w.clock.nowMs < this.hungUntil
	}

	/** The cloud announced that it takes the machine. */
	get noticed(): boolean {
		return this.takenAt !== null
	}

	/**
	 * It stands still; its tasks, its reports and what reaches it go on afterwards, its tasks only within its lease: the
	 * protocol has a hanging machine go on at any time within that, so what is left by then is gone.
	 */
	hang(forMs: number): void {
		this.hungUntil = Math.max(this.hungUntil, this.w.clock.nowMs + forMs)
	}

	/** Does something once it goes on; a lease that ended meanwhile ends first. */
	private awake(run: () => void): void {
		if (!this.hung) return run()
		this.w.clock.after(this.hungUntil - this.w.clock.nowMs, () =>
			this.awake(() => {
				this.lookAtLease()
				run()
			}),
		)
	}

	private lookAtLease(): void {
		if (this.dead || this.w.clock.nowMs - this.leaseFrom <= this.w.leaseMs) return
		for (const t of this.tasks.values()) this.leave(t)
		this.tasks.clear()
		this.tenure++
		this.leaseFrom = this.w.clock.nowMs
	}

	private loop(): void {
		if (this.dead) return
		this.lookAtLease()
		if (this.hung) return void this.w.clock.after(100, () => this.loop())
		const since = this.w.clock.nowMs - this.lastSent
		if (!this.inFlight && (since >= this.w.reportMs || (this.changedSince && since >= 500))) this.report()
		this.w.clock.after(100, () => this.loop())
	}

	private leave(t: StandInTask): void {
		if (t.timer !== null) t.timer.gone = true
		this.w.rules.gone(t.piece, this.id)
	}

	die(): void {
		this.dead = true
		for (const t of this.tasks.values()) this.leave(t)
	}

	/** The cloud announces that it takes the machine, and does. */
	notice(inMs: number): void {
		this.takenAt = this.w.clock.nowMs + inMs
		this.changedSince = true
		this.w.clock.after(inMs, () => this.die())
	}

	private body(): Body {
		return {
			host: this.id,
			addr: `${this.id}:1`,
			flavour: this.type.name,
			site: this.zone,
			reclaimable: this.spot,
			tenure: this.tenure,
			counter: ++this.counter,
			fence: this.fence,
			warningS: this.takenAt === null ? null : Math.max(0, this.takenAt - this.w.clock.nowMs) / 1000,
			pieces: [...this.tasks.values()].map((t) => ({
				piece: t.piece,
				try: t.attempt,
				status: t.status,
				cause: t.cause,
			})),
		}
	}

	private report(): void {
		this.inFlight = true
		this.changedSince = false
		this.lastSent = this.w.clock.nowMs
		const sent = this.w.clock.nowMs
		const tenure = this.tenure
		let over = false
		const next = (name: string | null) => {
			const at = name === null ? -1 : this.w.controllers.indexOf(name)
			this.target = at >= 0 ? at : (this.target + 1) % this.w.controllers.length
			this.lastSent = this.w.clock.nowMs + 1000 - this.w.reportMs
		}
		const finish = (r: FakeResponse | null) => {
			if (over || this.dead) return
			over = true
			this.inFlight = false
			if (r?.status === 200 && isMap(r.body)) {
				const token = Number(r.body.fence)
				if (tenure !== this.tenure || token < Number(this.fence)) return
				if (token > Number(this.fence)) this.changedSince = true
				this.fence = token
				this.leaseFrom = sent
				for (const o of r.body.orders as Body[]) this.execute(o)
			} else next(r?.status === 421 && isMap(r.body) ? ((r.body.overseer as string) ?? null) : null)
		}
		const heard = (r: FakeResponse | null) =>
			this.awake(() => finish(this.w.clock.nowMs - sent > 4000 ? null : r))
		this.w.send(this.id, this.w.controllers[this.target], '/checkin', this.body(), heard)
		this.w.clock.after(4000, () => this.awake(() => finish(null)))
	}

	private execute(o: Body): void {
		const key = `${o.piece}#${o.try}`
		const t = this.tasks.get(key)
		const piece = String(o.piece)
		if (o.verb === 'forget') {
			if (t?.status === 'ended') this.tasks.delete(key)
		} else if (o.verb === 'kill') {
			if (t !== undefined && t.status !== 'ended') this.exit(t, 'halted')
		} else if (o.verb === 'start' && t === undefined) this.start(key, piece, o.try as number)
	}

	private start(key: string, piece: string, attempt: number | bigint): void {
		const known = this.w.task(piece)
		const t: StandInTask = { piece, attempt, status: 'pulling', cause: null, timer: null }
		this.changedSince = true
		const alive = [...this.tasks.values()].filter((o) => o.status !== 'ended')
		const used = alive.reduce((n, o) => n + (this.w.task(o.piece)?.cpus ?? 0), 0)
		this.tasks.set(key, t)
		if (known === null) return this.refuse(t, 'no_such')
		if (alive.some((o) => o.piece === piece)) return this.refuse(t, 'in_use')
		if (used + known.cpus > this.type.cpus) return this.refuse(t, 'no_room')
		// A timer that was called off while the machine stood still does nothing afterwards.
		const later = (ms: number, run: () => void) => {
			const timer = this.w.clock.after(ms, () => this.awake(() => !timer.gone && run()))
			t.timer = timer
		}
		later(known.fetchMs, () => {
			t.status = 'running'
			this.changedSince = true
			this.w.rules.placed(piece, this.id, this.type.name, this.zone, this.spot)
			later(this.finished.has(piece) ? 0 : known.runMs, () => {
				if (this.faulty || known.fails) return this.exit(t, 'error')
				this.finished.add(piece)
				this.w.rules.completed(piece)
				this.exit(t, 'done')
			})
		})
	}

	private refuse(t: StandInTask, cause: string): void {
		t.status = 'ended'
		t.cause = cause
	}

	private exit(t: StandInTask, cause: string): void {
		this.leave(t)
		t.status = 'ended'
		t.cause = cause
		this.changedSince = true
	}

	/** The worker's own address, once it goes on; null: nobody is there any more. */
	call(path: string, body: unknown): Promise<FakeResponse | null> {
		return new Promise((done) => this.awake(() => done(this.dead ? null : this.handle(path, body))))
	}

	handle(path: string, body: unknown): FakeResponse {
		if (path !== '/commands' || !isMap(body) || body.fence === undefined || body.tenure === undefined)
			return { status: path === '/inspect' ? 200 : 400, body: this.body() }
		if (Number(body.fence) < Number(this.fence) || body.tenure !== this.tenure)
			return { status: 409, body: this.body() }
		if (Number(body.fence) > Number(this.fence)) this.changedSince = true
		this.fence = Number(body.fence)
		for (const o of body.orders as Body[]) this.execute(o)
		return ok(this.body())
	}
}
