import type * as http from 'node:http'
import { Cloud } from '@heathroad/cloud'
import {
	asJob,
	asPart,
	awaits,
	CATALOG,
	Cancellations,
	type Cancelled,
	Fleets,
	HISTORY,
	hash,
	JobBook,
	type JobRecord,
	Membership,
	ReleaseBook,
} from '@heathroad/cluster'
import type { Config } from '@heathroad/config'
import { CapacityBook, type Checks, NO_CHECKS, Part, type Ports } from '@heathroad/controller'
import {
	type Entry,
	Mirror,
	makeStoreClient,
	ROOT,
	type StoreClient,
	Urgency,
	Writer,
} from '@heathroad/store'
import {
	type Caller,
	type MachineType,
	makeCaller,
	type Reply,
	type Report,
	readReport,
	writeOrders,
} from '@heathroad/wire'
import { Effect, Fiber } from 'effect'
import { ANSWER_MS, type Core, type Log, type Watcher } from './core.js'
import { History } from './history.js'
import { type Call, listen, type Tell } from './http.js'
import { Parting } from './parting.js'
import { isForUsers, Users } from './users.js'

/** How many cancellations are kept for owners that are cut off, and told in one message. */
const CANCELLATIONS = 2000

const LATER: Reply = { status: 503, retryAfterS: 1 }

/** One controller: composes the parts it owns with the state, the cloud, its peers and its HTTP faces. */
export class Service implements Core {
	private readonly parts = new Map<number, Part>()
	private readonly caller: Caller
	/** workers are called once in a while each: connections kept to hundreds of them would use up the sockets */
	private readonly workers: Caller
	private readonly client: StoreClient
	readonly mirror: Mirror
	readonly writer: Writer
	readonly members: Membership
	private readonly cloud: Cloud
	readonly capacity = new CapacityBook()
	private types: readonly MachineType[] = []
	readonly jobs: JobBook
	/** which jobs checks have released */
	private readonly releases = new ReleaseBook()
	checks: Checks = NO_CHECKS
	/** as the operator's drain has it: `leaving`: the balancer is told so, `handing`: parts go to other controllers */
	private course: 'serving' | 'leaving' | 'handing' = 'serving'
	/** operators' calls from other processes, at the internal address; nobody answers them unless a daemon does */
	admin: ((path: string, body: unknown, reply: Tell) => void) | null = null
	readonly history: History
	/** the records are of a form that this program does not know; nothing may be done with them */
	onTooNew: (why: string) => void = () => {}
	readonly cancellations: Cancellations
	/** where every recorded machine belongs */
	readonly fleets = new Fleets()
	/** reports of machines that are proven to have no record, about to be claimed together */
	private strangers: { report: Report; reply: Tell }[] = []
	/** machines of parts that are not ours and asked here for their owner */
	private readonly seeking = new Map<string, { part: number; at: number }>()
	/** who waits for the mirror to reach an epoch */
	private readonly unseen = new Set<{ epoch: number; done: (ok: boolean) => void }>()
	private atOnce = false
	private pinged = 0
	private telling = false
	private fibers: Fiber.Fiber<unknown, unknown>[] = []
	private timers: ReturnType<typeof setInterval>[] = []
	private servers: http.Server[] = []
	readonly parting: Parting
	private readonly users: Users
	/** follows the records for others; nobody does unless settings ask for it */
	watcher: Watcher | null = null

	constructor(
		readonly config: Config,
		readonly log: Log,
		readonly now: () => number = () => performance.now(),
		caller?: Caller,
	) {
		const { settings, derived } = config
		this.caller = caller ?? makeCaller(Math.max(4, Math.floor(derived.sockets / 16)))
		this.workers = caller ?? makeCaller(2, false)
		const timeoutMs = derived.grantMs * 0.3
		this.client = makeStoreClient(this.caller, settings.services.state, timeoutMs, (ok) => {
			this.members.stateHeard(ok)
		})
		// A third of our share each for what follows the changes and for questions; writes and grants have the rest.
		const gapMs = 3000 / derived.readsPerS
		this.mirror = new Mirror((key, entry, before) => this.changed(key, entry, before), gapMs, now)
		this.jobs = new JobBook(this.mirror)
		this.cancellations = new Cancellations(CANCELLATIONS, now)
		this.mirror.wants = (key, data) => this.history.wants(key, data)
		this.mirror.onReload = (epoch) => this.history.reloaded(epoch)
		this.mirror.onAdvance = () => {
			this.history.advanced()
			this.tellSeen()
			this.watcher?.advanced()
		}
		const limits = settings.deployment.state
		this.writer = new Writer(
			this.client,
			{ perS: derived.writesPerS, burst: limits.write_rps, ops: limits.txn_ops, bytes: 48 * 1024 },
			this.now,
		)
		this.cloud = new Cloud(
			this.caller,
			settings.services.cloud,
			derived.cloudPerS,
			derived.grantMs * 2,
			this.now,
		)
		this.members = new Membership(derived, this.mirror, this.client, this.caller, this.now, {
			took: (part, token) => this.took(part, token),
			lost: (part, why) => this.lost(part, why),
			quiet: (part) => this.parts.get(part)?.quiet() ?? true,
			unheard: (part) => this.parts.get(part)?.unheard() ?? 0,
			news: () => this.news(),
			heard: (news) => this.capacity.hear(news.empty, this.now()),
			cancelled: (epoch) => this.cancellations.since(epoch),
			applyCancelled: (all) => this.applyCancelled(all),
			log,
		})
		this.history = new History(this, this.client, {
			parts: () => this.parts.keys(),
			holding: (part) => this.parts.get(part)?.holding() ?? null,
			tooNew: (form) => {
				const why = `the state is of form ${form}, which this version does not know`
				this.log('error', 'refusing to go on', { why })
				this.onTooNew(why)
			},
		})
		this.parting = new Parting(this)
		this.users = new Users(this)
	}

	/** Listens on both addresses and begins. */
	async start(): Promise<void> {
		const { settings, derived } = this.config
		const limits = { idleMs: derived.leaseMs * 2, requestMs: 5000, sockets: derived.sockets }
		this.servers = [
			await listen(settings.bind, { ...limits, yields: isForUsers }, (call, reply) => this.face(call, reply)),
			await listen(settings.internal_addr, limits, (call, reply) => {
				if (call.method === 'POST' && call.path.startsWith('/admin/') && this.admin !== null)
					return this.admin(call.path, call.body, reply)
				const body = call.method === 'POST' ? this.members.answer(call.path, call.body) : null
				reply(body === null ? { status: 404 } : { status: 200, body })
			}),
		]
		this.begin()
	}

	/** Everything but listening. */
	begin(): void {
		const { derived } = this.config
		this.fibers = [
			Effect.runFork(this.mirror.follow(this.client, derived.watchMs, derived.grantMs * 0.06)),
			Effect.runFork(this.members.keepGrant()),
			Effect.runFork(this.watchCatalog()),
		]
		const every = (ms: number, what: () => void) => this.timers.push(setInterval(what, ms))
		every(Math.min(250, derived.reportMs / 4), () => this.tick())
		every(derived.grantMs * 0.15, () => this.members.gossip())
		every(derived.grantMs * 2, () => {
			this.tidy()
			this.history.look()
		})
		every(derived.grantMs * 0.2, () => this.listenAgain())
		this.members.gossip()
		const teams = this.config.settings.deployment.teams
		this.log('info', 'started', { name: derived.self, upMs: Math.round(performance.now()), teams })
	}

	async stop(): Promise<void> {
		for (const t of this.timers) clearInterval(t)
		for (const f of this.fibers) Effect.runFork(Fiber.interrupt(f))
		for (const p of this.parts.values()) p.stop()
		this.history.stop()
		for (const s of this.servers) {
			s.closeAllConnections()
			await new Promise((done) => s.close(done))
		}
	}

	/** Users go elsewhere as soon as the balancer has noticed; those who still come are served. */
	leave(): void {
		this.course = 'leaving'
	}

	/** Parts go to other controllers; `atOnce`: those too whose machines are not all accounted for. */
	handOver(atOnce: boolean): void {
		this.course = 'handing'
		this.atOnce = atOnce
		this.members.leaving = true
	}

	get takesJobs(): boolean {
		return this.course !== 'handing'
	}

	/** What is still to be handed over or answered before this controller can end without anybody noticing. */
	get unfinished(): { parts: number; submissions: number } {
		return { parts: this.parts.size, submissions: this.users.waiting }
	}

	/** Figures for operators, counted when asked for. */
	figures() {
		const parts = [...this.parts.values()]
		const sum = (of: (p: Part) => number) => parts.reduce((n, p) => n + of(p), 0)
		return {
			parts: parts.length,
			openJobs: this.jobs.open.size,
			ownJobs: sum((p) => p.jobs.size),
			heldJobs: sum((p) => p.heldJobs),
			machines: sum((p) => p.machines.size),
			endedInMemory: this.jobs.ended,
			epoch: this.mirror.epoch,
			right: this.members.right(),
			healthy: this.healthy(),
			course: this.course,
		}
	}

	/** No checks are left: what was held is released, as where there never were any. */
	dropChecks(): void {
		this.checks = NO_CHECKS
	}

	/** Ids of a team's jobs that are not over, the oldest first. */
	openJobsOf(team: string): string[] {
		const out: { uid: string; at: number }[] = []
		for (const uid of this.jobs.open) {
			const record = this.jobs.get(uid)?.record
			if (record?.spec?.team === team) out.push({ uid, at: record.at ?? 0 })
		}
		return out.sort((a, b) => a.at - b.at).map((o) => o.uid)
	}

	/** Gives our grant up, once nothing of ours acts any more: what is still in our name is free at once. */
	async resign(): Promise<void> {
		const { grant } = this.members
		if (grant === null) return
		await Effect.runPromise(Effect.ignore(this.client.revoke(grant)))
	}

	/** After an error of our own a part's picture may be half changed: it is taken anew and rebuilt. */
	recover(error: unknown): void {
		this.log('error', 'unexpected error', { error: error instanceof Error ? error.stack : String(error) })
		this.members.retake()
	}

	private tick(): void {
		this.members.pulse()
		this.members.takeWhatIsFree()
		this.members.handBack()
		this.members.handToWhoHears()
		if (this.course === 'handing') this.members.handAllOver(this.atOnce)
		for (const p of this.parts.values()) p.tick()
	}

	/** Cut from the workers, we ask one of them now and then whether that is over. */
	private listenAgain(): void {
		if (!this.members.deaf) return
		const addresses = [...this.fleets.records.values()].flatMap((r) => Object.values(r.hosts))
		const known = addresses.filter((a) => a !== null)
		const heard = (ok: boolean) => {
			this.pinged = ok ? this.pinged + 1 : 0
			if (this.pinged < 3) return
			this.pinged = 0
			this.members.deaf = false
			this.log('info', 'workers can be reached again')
		}
		if (known.length === 0) return heard(true)
		const address = known[Math.floor(Math.random() * known.length)]
		const asked = this.workers.call(address, 'GET', '/inspect', undefined, this.config.derived.grantMs * 0.2)
		const answered = Effect.match(asked, { onFailure: () => false, onSuccess: (a) => a.status === 200 })
		Effect.runFork(Effect.map(answered, heard))
	}

	/**
	 * Records that say nothing any more are removed by the owner of the part that their name falls to. As many at a time as
	 * half of our share of the changes takes until the next look: a vast array leaves a hundred of them, and what gave
	 * up waiting for its turn stayed for ever.
	 */
	private tidy(): void {
		const { writesPerS, grantMs } = this.config.derived
		let left = Math.ceil((writesPerS * grantMs) / 1000)
		for (const [key, { stamp }] of this.jobs.spent()) {
			if (!this.parts.has(hash(key) % this.config.derived.names.length)) continue
			if (left-- <= 0) return
			const content = {
				conditions: [{ key: ROOT + key, stamp }],
				changes: [{ delete: ROOT + key }],
			}
			const until = this.now() + grantMs
			this.writer.submit({ urgency: Urgency.progress, build: () => content, until, done: () => {} })
		}
	}

	// ---- catalog ----

	catalog(): readonly MachineType[] {
		return this.types
	}

	private setCatalog(types: readonly MachineType[]): void {
		if (types.length === 0) return
		const first = this.types.length === 0
		this.types = types
		if (first) for (const p of this.parts.values()) p.catalogChanged()
	}

	private watchCatalog(): Effect.Effect<never> {
		const d = this.config.derived
		const step = Effect.suspend(() => this.cloud.catalog()).pipe(
			Effect.flatMap((types) => {
				if (types === null || types.length === 0) return Effect.sleep(d.grantMs * 0.2)
				this.setCatalog(types)
				// Kept in the state too, so that a controller that starts while the cloud is down knows the types.
				if (this.mirror.epoch >= 0 && this.mirror.get(CATALOG) === undefined)
					this.writer.submit({
						urgency: Urgency.progress,
						build: () => ({
							conditions: [{ key: ROOT + CATALOG, stamp: 0 }],
							changes: [{ set: ROOT + CATALOG, data: types }],
						}),
						until: this.now() + d.grantMs,
						done: () => {},
					})
				return Effect.sleep(d.grantMs * 8)
			}),
		)
		return Effect.forever(step)
	}

	// ---- changes of the records ----

	private changed(key: string, entry: Entry | undefined, before: Entry | undefined): void {
		const slash = key.indexOf('/')
		const [kind, id] = slash < 0 ? [key, ''] : [key.slice(0, slash), key.slice(slash + 1)]
		if (kind === 'part') {
			this.members.partChanged(Number(id))
			this.watcher?.partChanged(Number(id))
		} else if (kind === 'done') this.watcher?.jobChanged(id.split('/')[0])
		else if (kind === 'job') {
			const record = asJob(entry?.data)
			if (record !== null && this.jobs.changed(id, record)) this.jobChanged(id, record)
		} else if (kind === 'over') {
			const fresh = this.jobs.paged(key, entry, before, this.mirror.epoch)
			for (const { uid, record } of fresh) this.jobChanged(uid, record)
		} else if (kind === HISTORY) {
			this.history.changed()
		} else if (kind === 'intake') {
			for (const record of this.jobs.arrived(entry?.data)) {
				this.parts.get(record.part)?.jobChanged(record.spec!.uid, record)
				this.watcher?.jobChanged(record.spec!.uid)
			}
		} else if (kind === 'released') {
			const uids = this.releases.changed(key, entry?.data)
			for (const p of this.parts.values()) p.released(uids)
		} else if (kind === 'fleet') {
			this.fleets.changed(id, entry?.data)
			for (const p of this.parts.values()) p.fleetChanged(id, entry?.data, before?.data)
		} else if (kind === CATALOG && this.types.length === 0 && Array.isArray(entry?.data))
			this.setCatalog(entry.data as MachineType[])
	}

	/** What peers know of cancellations while we are cut off: from now on those jobs are over here, whatever is read. */
	private applyCancelled(all: readonly Cancelled[]): void {
		for (const uid of this.jobs.told(all)) for (const p of this.parts.values()) p.applyCancelled(uid)
	}

	private jobChanged(uid: string, record: JobRecord): void {
		if (record.final === 'aborted') this.cancellations.add(uid, this.jobs.final(uid)!.epoch)
		// The part that it was in, too, if it moved.
		for (const p of this.parts.values()) p.jobChanged(uid, record)
		this.watcher?.jobChanged(uid)
	}

	private took(k: number, token: number): void {
		this.parts.set(k, new Part(k, token, this.config, this.ports()))
	}

	private lost(k: number, why: string): void {
		this.parts.get(k)?.stop()
		this.parts.delete(k)
		this.log('info', 'lost part', { part: k, why })
	}

	/** Running tasks of the jobs in our parts. */
	runningHere(): Record<string, number> {
		const running: Record<string, number> = {}
		for (const p of this.parts.values())
			for (const [uid, job] of p.jobs) {
				const n = job.over ? 0 : job.runningCount()
				if (n > 0) running[uid] = n
			}
		return running
	}

	private news() {
		return {
			running: this.runningHere(),
			suspect: this.ownSuspects(),
			sought: this.sought(),
			stranded: this.ownStranded(),
			used: this.used(),
			ready: this.mirror.epoch >= 0 && this.stateOk(),
			empty: this.capacity.told(this.now()),
			history: this.config.history !== null || this.history.turn() > 0,
		}
	}

	/** How many machines asked here for the owner of a part, of those that may still have a lease. */
	private sought(): Record<string, number> {
		const out: Record<string, number> = {}
		const since = this.now() - this.config.derived.leaseMs * 0.6
		for (const [id, { part, at }] of this.seeking)
			if (at < since || this.parts.has(part)) this.seeking.delete(id)
			else out[part] = (out[part] ?? 0) + 1
		return out
	}

	/** What teams with a guarantee use in our parts, but for one of them. */
	private used(without?: number): Record<string, { cpus: number; gpus: number }> {
		const out: Record<string, { cpus: number; gpus: number }> = {}
		for (const { name, cpus, gpus } of this.config.settings.deployment.teams) {
			if (cpus <= 0 && gpus <= 0) continue
			const sum = { cpus: 0, gpus: 0 }
			for (const [k, p] of this.parts) {
				if (k === without) continue
				const used = p.used(name)
				sum.cpus += used.cpus
				sum.gpus += used.gpus
			}
			out[name] = sum
		}
		return out
	}

	private usedElsewhere(part: number, team: string): { cpus: number; gpus: number } {
		const out = { ...(this.used(part)[team] ?? { cpus: 0, gpus: 0 }) }
		for (const peer of this.members.peers) {
			const used = this.members.alive(peer.name) ? peer.news?.used[team] : undefined
			out.cpus += used?.cpus ?? 0
			out.gpus += used?.gpus ?? 0
		}
		return out
	}

	private ownSuspects(): string[] {
		const out: string[] = []
		for (const p of this.parts.values())
			for (const [uid, job] of p.jobs) if (job.suspect && !job.over) out.push(uid)
		return out
	}

	/** Jobs that fail wherever they are tried, as their owners tell, or told before they were lost. */
	suspects(): Set<string> {
		return new Set([...this.ownSuspects(), ...this.members.peers.flatMap((p) => p.news?.suspect ?? [])])
	}

	/** Parts most of whose machines are out of their owners' reach, as those see it or told last. */
	stranded(): Set<number> {
		const told = this.members.peers.flatMap((p) =>
			this.members.alive(p.name) ? (p.news?.stranded ?? []) : [],
		)
		return new Set([...told.filter((k) => !this.parts.has(k)), ...this.ownStranded()])
	}

	private ownStranded(): number[] {
		return [...this.parts].filter(([, p]) => p.stranded()).map(([k]) => k)
	}

	heldBack(uid: string, record: JobRecord): boolean {
		return this.releases.holds(uid, record)
	}

	/** Has a mark of the job's release to stay? */
	private marked(uid: string): boolean {
		const record = this.jobs.get(uid)?.record
		return record !== undefined && awaits(record)
	}

	stateOk(): boolean {
		return this.members.stateHeardWithin(this.config.derived.grantMs * 0.6)
	}

	private ports(): Ports {
		const d = this.config.derived
		const run = <A>(effect: Effect.Effect<A>, done: (a: A) => void) => {
			Effect.runFork(effect.pipe(Effect.map((a) => done(a))))
		}
		return {
			now: this.now,
			wallClock: () => Date.now(),
			right: () => this.members.right(),
			entry: (key) => this.mirror.get(key),
			under: (prefix) => this.mirror.under(prefix),
			wrote: (key, data, stamp) => this.mirror.wrote(key, data, stamp),
			write: (w) => {
				const write = { ...w, until: this.now() + d.grantMs * 2 }
				this.writer.submit(write)
				return write
			},
			raise: (w, urgency) => this.writer.raise(w, urgency),
			job: (uid) => this.jobs.get(uid),
			usedElsewhere: (part, team) => this.usedElsewhere(part, team),
			leaver: (part, leaving) => this.parting.leaver(part, leaving),
			suspected: (uid) => this.members.peers.some((p) => p.news?.suspect.includes(uid)),
			checks: () => this.checks,
			heldBack: (uid, record) => this.heldBack(uid, record),
			marked: (uid) => this.marked(uid),
			openJobs: () => this.jobs.open,
			refresh: (done) => this.refresh(done),
			fresh: (done) => this.whenFresh(done),
			epoch: () => this.mirror.epoch,
			command: (addr, token, tenure, orders, done) =>
				run(
					this.workers
						.call(addr, 'POST', '/commands', writeOrders(token, orders, tenure), d.reportMs * 2)
						.pipe(Effect.match({ onFailure: () => null, onSuccess: (a) => a })),
					(a) => done(a?.status ?? 0, a === null ? null : readReport(a.body)),
				),
			rent: (request, done) => run(this.cloud.rent(request), done),
			release: (ids, done) => run(this.cloud.release(ids), done),
			cloudCalls: () => this.cloud.callsNow(),
			catalog: () => this.types,
			capacity: this.capacity,
			log: this.log,
		}
	}

	/** Brings the mirror up to date, then calls back; without an answer after a pause. */
	refresh(done: () => void): void {
		const then = (ok: boolean) => {
			if (ok) done()
			else setTimeout(done, this.config.derived.grantMs * 0.1)
		}
		Effect.runFork(this.mirror.fresh(this.client).pipe(Effect.map(then)))
	}

	part(k: number): Part | undefined {
		return this.parts.get(k)
	}

	/** True once everything durable before the call is in the mirror; false if that takes too long. */
	fresh(): Effect.Effect<boolean> {
		return this.mirror.fresh(this.client).pipe(
			Effect.timeoutOption(ANSWER_MS),
			Effect.map((o) => o._tag === 'Some' && o.value),
		)
	}

	whenSeen(epoch: number, done: (ok: boolean) => void): void {
		if (this.mirror.epoch >= epoch) return done(true)
		const one = { epoch, done }
		this.unseen.add(one)
		setTimeout(() => {
			if (this.unseen.delete(one)) done(false)
		}, ANSWER_MS)
	}

	private tellSeen(): void {
		for (const one of this.unseen)
			if (one.epoch <= this.mirror.epoch) {
				this.unseen.delete(one)
				one.done(true)
			}
	}

	/** Calls back once everything durable before the call is in the mirror, or with false. */
	whenFresh(done: (ok: boolean) => void): void {
		Effect.runFork(this.fresh().pipe(Effect.map(done)))
	}

	// ---- HTTP ----

	/** The face to users, workers and the balancer. */
	face(call: Call, reply: Tell): void {
		if (call.path === '/checkin') {
			if (call.method !== 'POST') return reply({ status: 405 })
			return this.checkin(call.body, reply)
		}
		if (call.path === '/healthz') {
			if (call.method !== 'GET') return reply({ status: 405 })
			return reply(this.healthy() ? { status: 200, body: { status: 'ok' } } : { status: 503, retryAfterS: 1 })
		}
		this.users.handle(call, reply)
	}

	/**
	 * Healthy: users' requests can be answered. In an outage that every member sees, leaving the balancer would
	 * only delay the return; a member that alone cannot reach the state leaves the users to the others.
	 */
	healthy(): boolean {
		if (this.course !== 'serving' || this.mirror.epoch < 0 || this.types.length === 0) return false
		if (this.stateOk()) return true
		const heard = this.members.peers.filter((p) => this.members.alive(p.name))
		return heard.length > 0 && heard.every((p) => p.news?.ready === false)
	}

	private checkin(body: unknown, reply: Tell): void {
		const report = readReport(body)
		if (report === null) return reply({ status: 400, body: { error: 'not a report' } })
		if (this.mirror.epoch < 0) return reply(LATER)
		const k = this.partOf(report)
		const part = this.parts.get(k)
		if (part === undefined) {
			this.seeking.set(report.machine, { part: k, at: this.now() })
			const owner = this.members.ownerOf(k)
			// Sent back to an owner that cannot hear it, it would wait there for most of its lease.
			const known = owner?.alive && owner.hears && owner.name !== this.config.derived.self
			if (owner?.alive && !owner.hears) this.tellSoon()
			return reply({ status: 421, body: known ? { overseer: owner.name } : {} })
		}
		if (this.fleets.home(report.machine) === undefined) this.stranger(report, reply)
		else this.answerReport(report, reply)
	}

	/** Peers hear at once that machines seek an owner here, many reports sharing one message. */
	private tellSoon(): void {
		if (this.telling) return
		this.telling = true
		setTimeout(() => {
			this.telling = false
			this.members.gossip()
		}, this.config.derived.grantMs * 0.04)
	}

	private partOf(report: Report): number {
		return this.fleets.home(report.machine)?.part ?? hash(report.machine) % this.config.derived.names.length
	}

	private answerReport(report: Report, reply: Tell): void {
		const part = this.parts.get(this.partOf(report))
		if (part === undefined || this.members.right() === 'none') return reply(LATER)
		part.report(report, (answer) =>
			reply(answer === null ? LATER : { status: 200, body: writeOrders(answer.token, answer.orders) }),
		)
	}

	/**
	 * A machine without a record was up before us, or was rented by a call that was carried out late. It is claimed
	 * by the part that its name falls to, once a read begun after its report shows neither a record of it nor a
	 * rental whose answer could still bring one: two parts must never hold the same machine.
	 */
	private stranger(report: Report, reply: Tell): void {
		const proven = (ok: boolean) => {
			if (!ok) return reply(LATER)
			this.strangers.push({ report, reply })
			// Reports that shared the read are claimed together.
			if (this.strangers.length === 1) queueMicrotask(() => this.claimStrangers())
		}
		this.whenFresh(proven)
	}

	private claimStrangers(): void {
		const all = this.strangers
		this.strangers = []
		const alike = new Map<string, typeof all>()
		for (const s of all) {
			const r = s.report
			const k = this.partOf(r)
			if (this.fleets.home(r.machine) !== undefined) this.answerReport(r, s.reply)
			else if (this.fleets.mayBeRented(r) || !this.parts.has(k)) s.reply(LATER)
			else {
				const key = `${k}/${r.type}/${r.zone}/${r.spot}`
				alike.set(key, [...(alike.get(key) ?? []), s])
			}
		}
		for (const group of alike.values()) {
			const reports = group.map((s) => s.report)
			this.parts.get(this.partOf(reports[0]))!.claim(reports, () => {
				for (const s of group) this.answerReport(s.report, s.reply)
			})
		}
	}

	/** Who owns a part, for a status that its owner knows best. */
	ownerName(k: number): string | undefined {
		return asPart(this.mirror.get(`part/${k}`)?.data)?.owner
	}
}
