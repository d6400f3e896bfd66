import {
	DEFAULT_OPERATOR_SETTINGS,
	deriveLimits,
	type HistorySettings,
	parseSettings,
} from '@heathroad/config'
import { Drain } from '@heathroad/daemon'
import { Service } from '@heathroad/server'
import {
	decode,
	encode,
	type HttpClient,
	type HttpResponse,
	InvalidSubmission,
	type JobSpec,
	type MachineType,
	NoResponse,
	parseSubmission,
} from '@heathroad/wire'
import { Effect } from 'effect'
import { FakeLoadBalancer } from './balancer.js'
import { TokenBucket } from './bucket.js'
import { RandomFaults } from './chances.js'
import { type Clock, VirtualClock } from './clock.js'
import { type DayJob, UserWorkload } from './crowd.js'
import { InvariantChecker, type Room } from './rules.js'
import { FakeCloud, type FakeResponse, FakeStateStore, FakeWorker } from './standins.js'
import type { TracedMessage } from './trace.js'

export interface Fault {
	atS: number
	kind:
		| 'crash'
		| 'drain'
		| 'stateDown'
		| 'stateRefuses'
		| 'watchLost'
		| 'lateWrites'
		| 'lateReports'
		| 'lostAnswers'
		| 'heldReports'
		| 'machineDeaf'
		| 'machineMute'
		| 'machineHang'
		| 'slowLinks'
		| 'cancelNow'
		| 'cancelAtEnd'
		| 'closeLooks'
		| 'oddRequests'
		| 'heldUp'
		| 'stateSlow'
		| 'cloudDown'
		| 'cut'
		| 'machineDies'
		| 'machinesCut'
		| 'zoneCut'
		| 'machineFaulty'
		| 'spotNotice'
		| 'ownError'
		| 'freeze'
		| 'boots'
		| 'pollStorm'
	/** controllers, by number; of a zone's cut those inside */
	who?: readonly number[]
	/** what a cut controller is cut from; everything if not given */
	from?: 'state' | 'workers' | 'peers' | readonly ('state' | 'workers' | 'peers')[]
	/** of how many transactions, reports, machines or messages; half if not given */
	share?: number
	/** the zone that is cut off */
	zone?: string
	forS?: number
	/** how much longer than usual boots take, how much oftener users ask */
	factor?: number
	/** how many jobs are called off at once, and how long their machines hang */
	count?: number
	hangS?: number
}

export interface SimulatedDay {
	seed: number
	untilS: number
	jobs: readonly DayJob[]
	faults: readonly Fault[]
	/** users ask the controllers that a balancer finds healthy, instead of any */
	balanced?: boolean
	/** share of messages lost on their way there or back, or delivered late */
	loss?: number
	/** until when; all day if not given */
	lossUntilS?: number
	limits?: ReadonlyMap<string, number>
	/** within how many seconds the tasks of a class should start */
	waits?: ReadonlyMap<string, number>
	/** CPUs that teams are guaranteed; a team named here exists */
	guarantees?: ReadonlyMap<string, number>
	report?: { reportS: number; leaseS: number; cancelS: number }
	/** how many; three if not given */
	controllers?: number
	/** machines of each kind in each zone that the cloud has; four if not given */
	capacity?: number
	/** the state takes no more than its settings say: 200 requests and 15 changes a second */
	stateLimits?: boolean
	/** calls a second that the cloud takes; 4 if not given */
	cloudRps?: number
	/** the controllers' steady clocks run apart by as much as the protocol allows */
	drift?: boolean
	/** machines that are up before the controllers start */
	up?: number
	/** jobs that are over are archived; by default they are, in batches small enough for a day */
	history?: HistorySettings | null
}

/** A day is short: what takes hours otherwise happens within minutes. */
const SMALL_HISTORY: HistorySettings = { batch: 10, share: 0.5, cacheMb: 0.1 }

/** The machine type of the stand-ins' cloud. */
export const BOX_MACHINE_TYPE: MachineType = {
	name: 'box',
	cpus: 8,
	gpus: 0,
	ramGb: 32,
	cacheGb: 20,
	fetchGbPerS: 1,
	price: 1,
	spotPrice: 0.3,
	bootS: 10,
	zones: ['a', 'b'],
}

/** What the settings say of the state's limits. */
const STATE_LIMITS = { rps: 200, write_rps: 15 }

/** stands for an error of a controller's own */
const OWN_ERROR = 'made by the day'
const address = (i: number, port: number): string => `10.0.0.${i + 1}:${port}`

export const arrayJob = (uid: string, more: Partial<JobSpec> = {}): JobSpec => ({
	uid,
	jobClass: 'any',
	team: 'core',
	kind: 'sweep',
	priority: 'normal',
	tasks: 10,
	cpus: 1,
	gpus: 0,
	ramGb: 1,
	types: null,
	zone: null,
	samePlace: false,
	apart: false,
	spot: true,
	image: 'img',
	imageGb: 1,
	expectedS: 10,
	checkpointS: 0,
	saveS: 0,
	dueS: null,
	...more,
})

/** Three controllers of the real service among stand-ins, for one day in virtual time. */
export class Simulation {
	readonly clock: Clock
	readonly invariants: InvariantChecker
	readonly state: FakeStateStore
	readonly cloud: FakeCloud
	readonly workers = new Map<string, FakeWorker>()
	/** machines that the day made faulty */
	readonly faulty = new Set<string>()
	private readonly names: readonly string[]
	private readonly nodes: (Service | null)[]
	private readonly lives: number[]
	private readonly cuts = new Map<number, Set<string>>()
	/** machines without network; their tasks run on */
	private readonly silent = new Set<string>()
	/** a zone that is cut off, with the controllers inside; what is inside reaches what is inside */
	private island: { zone: string; who: readonly number[] } | null = null
	/** controllers whose reads of the state get no answer, while all else does */
	private readonly watchless = new Set<number>()
	/** machines whose reports arrive, while answers and direct commands to them are lost */
	private readonly deaf = new Set<string>()
	/** machines that reach no controller, while direct commands reach them */
	private readonly mute = new Set<string>()
	/** shares of transactions without an answer that are carried out later or at once, of reports that arrive once more
	 * later or when a part has a new owner, of messages between controllers and workers that are held up */
	private readonly chances: RandomFaults<
		'lateWrites' | 'lostAnswers' | 'lateReports' | 'heldReports' | 'heldUp'
	>
	/** copies of reports that wait for the next owner of any part */
	private kept: unknown[] = []
	private stateSlowMs = 0
	private linksSlowMs = 0
	readonly workload: UserWorkload
	private readonly specs = new Map<string, JobSpec>()
	private readonly balancer: FakeLoadBalancer
	private readonly times: { reportS: number; leaseS: number; cancelS: number }

	constructor(
		private readonly day: SimulatedDay,
		clock?: Clock,
	) {
		this.clock = clock ?? new VirtualClock(day.seed)
		this.chances = new RandomFaults(this.clock)
		this.names = Array.from({ length: day.controllers ?? 3 }, (_, i) => `ctl-${i}`)
		this.nodes = this.names.map(() => null)
		this.balancer = new FakeLoadBalancer(this.names.length)
		this.lives = this.names.map(() => 0)
		this.times = day.report ?? { reportS: 1, leaseS: 10, cancelS: 30 }
		this.invariants = new InvariantChecker(
			() => this.clock.nowMs,
			this.times.cancelS * 1000,
			day.limits ?? new Map(),
		)
		this.state = new FakeStateStore(this.clock)
		this.state.taken = () => this.bringKept()
		const bucket = (perS: number) => new TokenBucket(perS, () => this.clock.nowMs)
		if (day.stateLimits)
			this.state.limits = { requests: bucket(STATE_LIMITS.rps), changes: bucket(STATE_LIMITS.write_rps) }
		this.workload = new UserWorkload({
			clock: this.clock,
			rules: this.invariants,
			controllers: this.names.length,
			someController: () => this.someController(),
			send: (i, method, path, body, reply) => {
				const serve = () => this.sendRequest(i, method, path, body)
				this.deliver(['users', i], { from: null, to: i }, this.life(i), serve, reply)
			},
			hang: (id, forMs) => this.workers.get(id)?.hang(forMs),
		})
		this.invariants.mayWait = (spec) => spec.jobClass === 'broken'
		const capacity = new Map(
			['a', 'b'].flatMap((z) => [`box/${z}/true`, `box/${z}/false`].map((k) => [k, day.capacity ?? 4])),
		)
		this.cloud = new FakeCloud(
			this.clock,
			[BOX_MACHINE_TYPE],
			capacity,
			(id, type, zone, spot) => this.workers.set(id, this.worker(id, type, zone, spot)),
			(id) => {
				const w = this.workers.get(id)
				w?.die()
				this.workers.delete(id)
				return w === undefined ? null : `${w.type.name}/${w.zone}/${w.spot}`
			},
		)
	}

	private worker(id: string, type: MachineType, zone: string, spot: boolean): FakeWorker {
		return new FakeWorker(
			{
				clock: this.clock,
				rules: this.invariants,
				reportMs: this.times.reportS * 1000,
				leaseMs: this.times.leaseS * 1000,
				controllers: this.names,
				task: (piece) => {
					const spec = this.specs.get(piece.split('/')[0])
					if (spec === undefined) return null
					return {
						runMs: spec.expectedS * this.clock.between(800, 1200),
						fetchMs: spec.imageGb * 1000,
						cpus: spec.cpus,
						fails: spec.jobClass === 'broken',
					}
				},
				send: (machine, controller, path, body, reply) => {
					const i = this.names.indexOf(controller)
					if (this.silent.has(machine) || this.mute.has(machine)) return
					const serve = () => this.sendRequest(i, 'POST', path, body, machine)
					const heard = (r: FakeResponse | null) => {
						if (!this.deaf.has(machine)) reply(r)
					}
					this.deliver(['workers', i], { from: null, to: i }, this.life(i), serve, heard, zone)
					if (this.chances.happens('heldReports')) this.kept.push(body)
					// Copies of old reports, whoever lives at the address by then.
					if (!this.chances.happens('lateReports')) return
					const again = this.clock.between(2000, this.times.leaseS * 2500)
					this.clock.after(again, () => void this.sendRequest(i, 'POST', path, body, machine), null)
				},
			},
			id,
			type,
			zone,
			spot,
		)
	}

	/** A part has a new owner: what was kept reaches every controller just then. */
	private bringKept(): void {
		const all = this.kept
		this.kept = []
		for (const body of all)
			for (const i of this.names.keys()) {
				const arrive = () => void this.sendRequest(i, 'POST', '/checkin', body, 'kept report')
				this.clock.after(this.clock.between(0, 400), arrive, null)
			}
	}

	private life(i: number): () => boolean {
		const life = this.lives[i]
		return () => this.nodes[i] !== null && this.lives[i] === life
	}

	/** A request to a controller, and its answer. `from`: who sends it, for the trace alone. */
	sendRequest(
		i: number,
		method: string,
		path: string,
		body: unknown,
		from = 'user',
	): Promise<FakeResponse | null> {
		const node = this.nodes[i]
		if (node === null) return Promise.resolve(null)
		const raw = body === undefined ? undefined : decode(encode(body))
		const call = `${method} ${path}`
		this.traceMessage({ controller: i, other: from, direction: 'in', kind: 'request', head: call, body })
		return new Promise((done) =>
			node.handleRequest({ method, path, body: raw }, (r) => {
				const head = `${r.status} retry-after=${r.retryAfterS ?? 'none'} to ${call}`
				const answer = r.body ?? {}
				this.traceMessage({
					controller: i,
					other: from,
					direction: 'out',
					kind: 'answer',
					head,
					body: answer,
				})
				done({ status: r.status, body: decode(encode(answer)) })
			}),
		)
	}

	private traceMessage(message: Omit<TracedMessage, 'atMs' | 'controller'> & { controller: number }): void {
		this.trace?.({ ...message, atMs: this.clock.nowMs, controller: this.names[message.controller] })
	}

	/**
	 * A message over an unreliable network: there and back, perhaps lost or late, never over a cut. `other`: the zone or
	 * the number of whoever is at its other end; null: somebody in no zone.
	 */
	private deliver(
		over: [kind: string, node: number],
		ends: { from: number | null; to: number | null },
		alive: () => boolean,
		serve: () => Promise<FakeResponse | null>,
		reply: (r: FakeResponse | null) => void,
		other: string | number | null = null,
	): void {
		const lossy = this.clock.nowMs < (this.day.lossUntilS ?? Number.POSITIVE_INFINITY) * 1000
		const loss = lossy ? (this.day.loss ?? 0) : 0
		const apart = () => {
			if (this.island === null) return false
			const { zone, who } = this.island
			const there = typeof other === 'number' ? who.includes(other) : other === zone
			return who.includes(over[1]) !== there
		}
		const cut = () => this.cuts.get(over[1])?.has(over[0]) === true || apart()
		const held = over[0] === 'workers' && this.chances.happens('heldUp')
		const late = this.clock.random() < loss ? this.clock.between(1000, 20_000) : 0
		const slow = over[0] === 'state' ? this.stateSlowMs * this.clock.between(0.5, 1.5) : 0
		const link = () => (this.linksSlowMs > 0 ? this.linksSlowMs * this.clock.between(0.5, 1.5) : 0)
		const holdUp = () => (held ? this.clock.between(500, 6000) : 0)
		const back = (r: FakeResponse | null) => {
			if (r === null || this.clock.random() < loss) return
			const arrive = () => {
				if (!cut() && alive()) this.clock.after(0, () => reply(r), ends.from)
			}
			this.clock.after(this.clock.between(1, 5) + holdUp() + link(), arrive, null)
		}
		const there = () => {
			if (cut() || this.clock.random() < loss || !alive()) return
			this.clock.after(0, () => void serve().then(back), ends.to)
		}
		this.clock.after(this.clock.between(1, 5) + late + slow + holdUp() + link(), there, null)
	}

	private caller(i: number): HttpClient {
		const life = this.life(i)
		return {
			request: (to, method, path, body, timeoutMs) =>
				Effect.callback<HttpResponse, NoResponse>((resume) => {
					const timer = setTimeout(
						() => resume(Effect.fail(new NoResponse({ reason: 'no answer' }))),
						timeoutMs,
					)
					const request = `${method} ${path}`
					const answer = (r: FakeResponse | null) => {
						if (r === null || !life()) return
						const head = `${r.status} to ${request}`
						this.traceMessage({
							controller: i,
							other: to,
							direction: 'in',
							kind: 'answer',
							head,
							body: r.body,
						})
						clearTimeout(timer)
						resume(Effect.succeed({ status: r.status, body: decode(encode(r.body)), retryAfter: null }))
					}
					const sent = body === undefined ? undefined : decode(encode(body))
					const head = `${request} timeout=${timeoutMs}`
					this.traceMessage({ controller: i, other: to, direction: 'out', kind: 'request', head, body })
					if (to === 'state:1' && method === 'GET' && this.watchless.has(i)) return
					if (to === 'state:1' && path === '/txn' && this.chances.happens('lateWrites')) {
						const late = () => this.state.handle(method, path, sent, () => {}, i)
						return void this.clock.after(this.clock.between(2000, 12_000), late, null)
					}
					const lost = to === 'state:1' && path === '/txn' && this.chances.happens('lostAnswers')
					if (to === 'state:1')
						this.deliver(
							['state', i],
							{ from: i, to: null },
							() => true,
							() => new Promise((done) => this.state.handle(method, path, sent, done, i)),
							lost ? () => {} : answer,
						)
					else if (to === 'cloud:1')
						this.deliver(
							['cloud', i],
							{ from: i, to: null },
							() => true,
							() => Promise.resolve(this.cloud.handle(method, path, sent)),
							answer,
						)
					else if (to.startsWith('i-'))
						this.deliver(
							['workers', i],
							{ from: i, to: null },
							() => true,
							() => {
								const w = this.workers.get(to.split(':')[0])
								const deaf = w === undefined || w.dead || this.silent.has(w.id) || this.deaf.has(w.id)
								return deaf ? Promise.resolve(null) : w.call(path, sent)
							},
							answer,
							this.workers.get(to.split(':')[0])?.zone ?? null,
						)
					else {
						const j = this.names.findIndex((_, n) => address(n, 8081) === to)
						if (this.cuts.get(j)?.has('peers')) return
						this.deliver(
							['peers', i],
							{ from: i, to: j },
							this.life(j),
							() => Promise.resolve(this.answerPeer(i, j, path, sent)),
							answer,
							j,
						)
					}
				}),
		}
	}

	/** What a controller answers another one; null: nothing. */
	private answerPeer(from: number, to: number, path: string, body: unknown): FakeResponse | null {
		const message = { controller: to, other: this.names[from] }
		this.traceMessage({ ...message, direction: 'in', kind: 'request', head: path, body })
		const answer = this.nodes[to]?.membership.handlePeerRequest(path, body) ?? null
		if (answer === null) return null
		this.traceMessage({ ...message, direction: 'out', kind: 'answer', head: `200 to ${path}`, body: answer })
		return { status: 200, body: answer }
	}

	boot(i: number): Service {
		const settings = parseSettings({
			host_name: this.names[i],
			site: 'a',
			bind: address(i, 8080),
			internal_addr: address(i, 8081),
			members: this.names
				.map((n, j) => ({ host_name: n, site: 'a', peer_addr: address(j, 8081) }))
				.filter((m) => m.host_name !== this.names[i]),
			services: { cloud: '10.0.1.1:1', state: '10.0.1.2:1' },
			deployment: {
				zones: ['a', 'b'],
				teams: [...new Set(['core', ...(this.day.guarantees?.keys() ?? [])])].map((name) => ({
					name,
					cpus: this.day.guarantees?.get(name) ?? 0,
					gpus: 0,
					cpus_max: this.day.limits?.get(name) ?? 0,
					gpus_max: 0,
				})),
				objectives: [...(this.day.waits ?? [])].map(([name, s]) => ({
					kind: 'wait',
					class: name,
					within_s: s,
				})),
				workers: { report_s: this.times.reportS, lease_s: this.times.leaseS, cancel_s: this.times.cancelS },
				state: { ...STATE_LIMITS, value_kb: 8, txn_ops: 8 },
				cloud: { rps: this.day.cloudRps ?? 4, list_lag_s: 3 },
				resources: { cpu: 0.34, memory_mb: 146, fd_limit: 900 },
			},
		})
		const config = {
			settings: { ...settings, services: { cloud: 'cloud:1', state: 'state:1' } },
			...DEFAULT_OPERATOR_SETTINGS,
			history: this.day.history === undefined ? SMALL_HISTORY : this.day.history,
			limits: deriveLimits(settings),
		}
		this.lives[i]++
		const pace = this.day.drift ? 1 + (i - (this.names.length - 1) / 2) * 0.0005 : 1
		const node = new Service(config, this.log(i), () => this.clock.nowMs * pace, this.caller(i))
		this.nodes[i] = node
		// Users upload a job's description, whichever face they submit it at; workers look it up there.
		const face = node.handleRequest.bind(node)
		node.handleRequest = (call, respond) => {
			const spec = call.path === '/v2/runs' ? parseSubmission(call.body) : null
			if (spec !== null && !(spec instanceof InvalidSubmission)) {
				this.specs.set(spec.uid, spec)
				this.invariants.submitted(spec)
			}
			const cancelled = /^\/v2\/runs\/([^/]+)\/withdraw$/.exec(call.path)
			if (cancelled !== null) this.invariants.cancelAsked(cancelled[1])
			face(call, respond)
		}
		this.started(i, node)
		// A controller that crashes before it has begun must not begin afterwards: it would act, and run, for ever.
		const begin = () => {
			if (this.nodes[i] === node) node.begin()
		}
		this.clock.after(0, begin, i)
		return node
	}

	/** Called with every new life of a controller, before it begins. */
	started: (i: number, node: Service) => void = () => {}

	/** Called with every message that a controller sends or receives; null: nobody follows them. */
	trace: ((message: TracedMessage) => void) | null = null

	/** Where the controllers' logs go. */
	tell: (line: string) => void = () => {}

	private log(i: number) {
		return (level: string, event: string, fields?: Record<string, unknown>) => {
			if (level === 'debug') return
			this.tell(`${Math.round(this.clock.nowMs)} ${this.names[i]} ${event} ${JSON.stringify(fields ?? {})}`)
			if (level === 'error' && fields?.error !== OWN_ERROR)
				this.invariants.violations.push(`error: ${event} ${JSON.stringify(fields)}`)
		}
	}

	/** Begins a day in real time; machines that are up before stay up. */
	begin(): void {
		this.cloud.alreadyUp(this.day.up ?? 0, BOX_MACHINE_TYPE, 'a')
		for (let i = 0; i < this.names.length; i++) this.boot(i)
	}

	/** Ids of all jobs in the state, over or not. */
	accepted(): string[] {
		return this.nodes.flatMap((n) => (n === null ? [] : [...n.jobs.knownIds()]))
	}

	/** Final states that the controllers hold in memory, the most of them. */
	held(): number {
		return Math.max(0, ...this.nodes.map((n) => n?.jobs.terminalCount ?? 0))
	}

	/** Ends all controllers. */
	async end(): Promise<void> {
		for (const node of this.nodes) await node?.stop()
	}

	/** Called when a controller ends. */
	ended: (i: number) => void = () => {}

	crash(i: number, backS: number): void {
		const node = this.nodes[i]
		if (node !== null) this.ended(i)
		this.nodes[i] = null
		this.lives[i]++
		void node?.stop()
		this.clock.after(backS * 1000, () => this.boot(i))
	}

	/** Whom a user is sent to; null: nobody is healthy. */
	private someController(): number | null {
		const among = this.day.balanced ? this.balancer.healthy() : this.names.map((_, i) => i)
		return among.length === 0 ? null : among[Math.floor(this.clock.random() * among.length)]
	}

	private probe(): void {
		for (const i of this.names.keys())
			void this.sendRequest(i, 'GET', '/healthz', undefined, 'balancer').then((r) =>
				this.balancer.probed(i, r?.status === 200, this.clock.nowMs),
			)
		this.clock.after(1000, () => this.probe())
	}

	/** Ends a controller as an operator does, and starts it again. */
	private drain(i: number, backS: number): void {
		const node = this.nodes[i]
		if (node === null) return
		const life = this.life(i)
		const drain = new Drain(node, node.config.daemon, node.log)
		this.clock.after(
			0,
			() =>
				void drain.begin().then(async () => {
					if (!life()) return
					// As the daemon does: nothing of it acts any more when its grant is given up.
					const stopped = node.stop()
					await node.revokeLease()
					await stopped
					if (!life()) return
					this.ended(i)
					this.nodes[i] = null
					this.lives[i]++
					this.clock.after(backS * 1000, () => this.boot(i))
				}),
			i,
		)
	}

	/** These are among those for a while. */
	private hold<T>(all: Set<T>, some: readonly T[], forMs: number): void {
		for (const one of some) all.add(one)
		this.clock.after(forMs, () => {
			for (const one of some) all.delete(one)
		})
	}

	private trouble(fault: Fault): void {
		const who = fault.who ?? [0]
		const forMs = (fault.forS ?? 5) * 1000
		if (fault.kind === 'drain') for (const i of who) this.drain(i, fault.forS ?? 5)
		else if (fault.kind === 'crash') for (const i of who) this.crash(i, fault.forS ?? 5)
		else if (fault.kind === 'freeze') {
			for (const i of who) if (this.clock instanceof VirtualClock) this.clock.freeze(i, forMs)
		} else if (fault.kind === 'boots') {
			this.cloud.bootFactor = fault.factor ?? 1
			this.clock.after(forMs, () => {
				this.cloud.bootFactor = 1
			})
		} else if (fault.kind === 'pollStorm') {
			this.workload.eagerness = fault.factor ?? 8
			this.clock.after(forMs, () => {
				this.workload.eagerness = 1
			})
		} else if (fault.kind === 'stateDown') {
			this.state.down = true
			this.clock.after(forMs, () => this.state.recover())
		} else if (fault.kind === 'stateRefuses') {
			this.hold(this.state.refuses, who, forMs)
		} else if (fault.kind === 'watchLost') {
			this.hold(this.watchless, who, forMs)
		} else if (fault.kind === 'cancelAtEnd' || fault.kind === 'closeLooks') {
			this.workload.chances.begin(fault.kind, fault.share ?? 1, forMs)
		} else if (fault.kind === 'cancelNow')
			this.workload.cancelNow(fault.count ?? 10, (fault.hangS ?? 0) * 1000)
		else if (fault.kind === 'oddRequests') this.workload.err(forMs)
		else if (fault.kind === 'machineHang') {
			for (const worker of this.workers.values())
				if (this.clock.random() < (fault.share ?? 0.5)) worker.hang(forMs)
		} else if (fault.kind === 'slowLinks') {
			this.linksSlowMs = (fault.factor ?? 1) * 300
			this.clock.after(forMs, () => {
				this.linksSlowMs = 0
			})
		} else if (
			fault.kind === 'lateWrites' ||
			fault.kind === 'lostAnswers' ||
			fault.kind === 'lateReports' ||
			fault.kind === 'heldReports' ||
			fault.kind === 'heldUp'
		) {
			this.chances.begin(fault.kind, fault.share ?? 0.5, forMs)
		} else if (fault.kind === 'machineDeaf' || fault.kind === 'machineMute') {
			const all = fault.kind === 'machineDeaf' ? this.deaf : this.mute
			const some = [...this.workers.keys()].filter(() => this.clock.random() < (fault.share ?? 0.5))
			this.hold(all, some, forMs)
		} else if (fault.kind === 'stateSlow') {
			this.stateSlowMs = 150
			this.clock.after(forMs, () => {
				this.stateSlowMs = 0
			})
		} else if (fault.kind === 'spotNotice') {
			const spot = [...this.workers.values()].filter((worker) => !worker.dead && worker.spot)
			spot[Math.floor(this.clock.random() * spot.length)]?.notice(forMs)
		} else if (fault.kind === 'ownError') {
			for (const i of who) this.nodes[i]?.recoverFromError(OWN_ERROR)
		} else if (fault.kind === 'cloudDown') {
			this.cloud.down = true
			this.clock.after(forMs, () => {
				this.cloud.down = false
			})
		} else if (fault.kind === 'machineDies') {
			const alive = [...this.workers.values()].filter((worker) => !worker.dead)
			alive[Math.floor(this.clock.random() * alive.length)]?.die()
		} else if (fault.kind === 'machineFaulty') {
			const alive = [...this.workers.values()].filter((worker) => !worker.dead)
			const one = alive[Math.floor(this.clock.random() * alive.length)]
			if (one !== undefined) {
				one.faulty = true
				this.faulty.add(one.id)
			}
		} else if (fault.kind === 'zoneCut') {
			this.island = { zone: fault.zone ?? 'a', who }
			this.clock.after(forMs, () => {
				this.island = null
			})
		} else if (fault.kind === 'machinesCut') {
			const cut = [...this.workers.keys()].filter((_, i) => i % 2 === 0)
			this.hold(this.silent, cut, forMs)
		} else
			for (const i of who) {
				const kinds =
					fault.from === undefined ? ['state', 'cloud', 'workers', 'peers', 'users'] : [fault.from].flat()
				this.cuts.set(i, new Set(kinds))
				this.clock.after(forMs, () => this.cuts.delete(i))
			}
	}

	/** Machines that can take tasks. */
	private room(): Room[] {
		const out: Room[] = []
		for (const { id, type, zone, spot, dead, faulty, hung, noticed } of this.workers.values())
			if (!dead && !faulty && !hung && !noticed)
				out.push({ id, type: type.name, zone, spot, cpus: type.cpus })
		return out
	}

	async play(): Promise<void> {
		if (!(this.clock instanceof VirtualClock)) throw new Error('a day is played in virtual time')
		await this.clock.run(this.day.untilS * 1000, () => {
			this.cloud.alreadyUp(this.day.up ?? 0, BOX_MACHINE_TYPE, 'a')
			for (let i = 0; i < this.names.length; i++)
				this.clock.after(this.clock.between(0, 300), () => this.boot(i))
			if (this.day.balanced) this.probe()
			for (const job of this.day.jobs) this.workload.add(job)
			const ends = this.day.faults.map((fault) => fault.atS + (fault.forS ?? 5))
			if ((this.day.loss ?? 0) > 0) ends.push(this.day.lossUntilS ?? Number.POSITIVE_INFINITY)
			this.invariants.calmFromMs = Math.max(0, ...ends) * 1000
			for (const fault of this.day.faults) this.clock.after(fault.atS * 1000, () => this.trouble(fault))
			// Nobody submits this one: it must stay unknown.
			const ghost = () => {
				const i = Math.floor(this.clock.random() * this.names.length)
				this.deliver(
					['users', i],
					{ from: null, to: i },
					this.life(i),
					() => this.sendRequest(i, 'GET', '/v2/runs/job-999999', undefined),
					(r) => this.invariants.told('job-999999', r?.status ?? 0, null, null),
				)
				this.invariants.check()
				this.invariants.look(this.room(), Math.ceil(this.times.reportS * 5))
				this.clock.after(1000, ghost)
			}
			ghost()
		})
		for (const node of this.nodes) void node?.stop()
	}
}
