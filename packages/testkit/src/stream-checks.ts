/**
 * Checks event streams over real sockets in real time, while connections are cut, responses lost and controllers
 * crashed: every reader has to get one terminal state of every job.
 */
import { Client, isFinal, type JobEvent } from '@heathroad/client'
import { RealClock } from './clock.js'
import { FlakyProxy } from './flaky-proxy.js'
import { GrpcServers } from './grpc-servers.js'
import { arrayJob } from './simulated-day.js'
import { Simulation } from './simulation.js'

/** Parameters of a check. */
export interface StreamCheckOptions {
	/** seed of the moments of the faults */
	seed: number
	/** number of jobs */
	jobs: number
	/** longest duration in seconds */
	forS: number
	/** mean pause between faults, in ms */
	everyMs: number
}

/** What a check found. */
export interface StreamCheckResult {
	jobs: number
	/** number of connections that were cut */
	cuts: number
	/** number of controllers that crashed */
	crashes: number
	/** how often responses were lost for a while */
	lossy: number
	/** number of events that readers got */
	events: number
	readers: number
	/** terminal states that a reader never got */
	missing: string[]
	/** terminal states that a reader got twice */
	repeated: string[]
	/** states that a reader saw taken back */
	wentBack: string[]
	/** number of events after which a reader had to begin anew from the present */
	gaps: number
	/** jobs that exist though nobody submitted them, and readers that failed */
	strange: string[]
	/** submissions without a response */
	refused: string[]
	/** violations of the protocol */
	broken: readonly string[]
	seconds: number
}

const CONTROLLERS = 3
const MACHINES = 12
/** Requests of the clients are retried after that time, in ms. */
const TRY_MS = 2000
/** Responses are lost for so long, in ms. */
const LOSS_MS = 250
/** Shortest time until a crashed controller boots again, in seconds. */
const MIN_RESTART_S = 0.4
/** Faults are drawn from 0 to 1: below the first limit a cut, below the second lost responses, above it a crash. */
const FAULT_LIMITS = { cut: 0.5, loss: 0.75 }
/** Each kind of fault happens once at least, however short the check is. */
const FIRST_FAULTS: readonly number[] = [0, 0.6, 0.9]
/** Pause between submissions, in ms. */
const SUBMIT_INTERVAL_MS = 25
/** Every ninth job is cancelled. */
const CANCEL_EVERY = 9
/** Jobs of checks with different seeds have ids this far apart. */
const IDS_PER_SEED = 1000
const FIRST_JOB = 700_000
const FIRST_SENTINEL = 699_000

const delay = (ms: number): Promise<void> => new Promise((done) => setTimeout(done, ms))

/** One check under way. */
class StreamCheck {
	private readonly clock: RealClock
	private readonly simulation: Simulation
	private readonly servers: GrpcServers
	private readonly proxies: FlakyProxy[]
	private readonly clients: Client[] = []
	private readonly result: StreamCheckResult
	private readonly uids: string[]
	/** a job whose events tell that the team's stream has begun */
	private readonly sentinel: string
	/** addresses of the proxies */
	private addresses: string[] = []
	private faultsEnded = false
	private readonly firstFaults = [...FIRST_FAULTS]
	/** readers that got an event */
	private readonly begunReaders = new Set<string>()
	/** aborts all streams at the deadline */
	private readonly deadline = new AbortController()

	constructor(private readonly options: StreamCheckOptions) {
		const { seed, jobs } = options
		this.clock = new RealClock(seed)
		this.simulation = new Simulation(
			{
				seed,
				untilS: 0,
				jobs: [],
				faults: [],
				report: { reportS: 0.5, leaseS: 6, cancelS: 14 },
				up: MACHINES,
				capacity: 0,
			},
			this.clock,
		)
		this.servers = new GrpcServers(this.simulation, CONTROLLERS)
		this.proxies = Array.from(
			{ length: CONTROLLERS },
			(_, index) => new FlakyProxy(() => this.servers.ports[index]),
		)
		this.uids = Array.from({ length: jobs }, (_, index) => `job-${FIRST_JOB + seed * IDS_PER_SEED + index}`)
		this.sentinel = `job-${FIRST_SENTINEL + seed}`
		this.result = {
			jobs,
			cuts: 0,
			crashes: 0,
			lossy: 0,
			events: 0,
			readers: 0,
			missing: [],
			repeated: [],
			wentBack: [],
			gaps: 0,
			strange: [],
			refused: [],
			broken: this.simulation.invariants.violations,
			seconds: 0,
		}
	}

	async run(): Promise<StreamCheckResult> {
		this.simulation.begin()
		this.addresses = await Promise.all(this.proxies.map(async (proxy) => `127.0.0.1:${await proxy.listen()}`))
		const begunMs = Date.now()
		const timer = setTimeout(() => this.deadline.abort(), this.options.forS * 1000)
		try {
			await this.submitAndRead()
			this.collect(begunMs)
			return this.result
		} finally {
			// Also after an error: whatever still runs would keep the process from ending.
			clearTimeout(timer)
			this.deadline.abort()
			this.faultsEnded = true
			await this.close()
		}
	}

	/** Readers by ids that are submitted only later, by team, and by ids after that. */
	private async submitAndRead(): Promise<void> {
		const { uids } = this
		const early = this.read('by ids, before', { uids })
		const team = this.read('by team', { team: 'core' })
		const submitter = this.createClient()
		// A team's stream tells what ends after it began; it has begun for certain once it told of a first job.
		await submitter.submit(arrayJob(this.sentinel, { tasks: 1, cpus: 0.5, expectedS: 0.3, spot: false }))
		await waitUntil(() => this.begunReaders.has('by team'))
		this.injectFaults()
		await Promise.all(uids.map((uid, index) => this.submit(submitter, uid, index)))
		const late = this.read('by ids, after', { uids })
		await Promise.all([early, team, late])
	}

	private async submit(client: Client, uid: string, index: number): Promise<void> {
		await delay(index * SUBMIT_INTERVAL_MS)
		const spec = arrayJob(uid, {
			tasks: 1 + (index % 3),
			cpus: 0.5,
			expectedS: 0.3,
			imageGb: 0.05,
			spot: false,
		})
		try {
			await client.submit(spec)
			if (index % CANCEL_EVERY === CANCEL_EVERY - 1) await client.cancel(uid)
		} catch (error) {
			this.result.refused.push(`${uid}: ${(error as Error).message}`)
		}
	}

	/** Reads events until there is a terminal state of every job, or the deadline. */
	private async read(name: string, selection: { uids: readonly string[] } | { team: string }): Promise<void> {
		const { uids, result, deadline } = this
		result.readers++
		const reader = { name, terminal: new Map<string, string>(), done: new Map<string, number>() }
		try {
			for await (const event of this.createClient().watch(selection, { signal: deadline.signal })) {
				this.observe(reader, event)
				if (uids.every((uid) => reader.terminal.has(uid))) break
			}
		} catch (error) {
			if (!deadline.signal.aborted) result.strange.push(`${name}: ${(error as Error).message}`)
		}
		for (const uid of uids) if (!reader.terminal.has(uid)) result.missing.push(`${name}: ${uid}`)
	}

	/** Compares an event with those before it of the same reader. */
	private observe(
		reader: { name: string; terminal: Map<string, string>; done: Map<string, number> },
		{ uid, state, done, afterGap }: JobEvent,
	): void {
		const { result } = this
		const { name } = reader
		result.events++
		if (afterGap) result.gaps++
		const terminal = reader.terminal.get(uid)
		if (terminal !== undefined) {
			const list = terminal === state ? result.repeated : result.wentBack
			list.push(`${name}: ${uid} ${terminal}, ${state}`)
		}
		const doneBefore = reader.done.get(uid) ?? 0
		if (done < doneBefore) result.wentBack.push(`${name}: ${uid} ${doneBefore}, ${done}`)
		reader.done.set(uid, done)
		if (isFinal(state)) reader.terminal.set(uid, state)
		this.begunReaders.add(name)
	}

	/** Injects a fault, and further ones until the check is over. */
	private injectFaults(): void {
		if (this.faultsEnded) return
		const { clock, proxies } = this
		const index = Math.floor(clock.random() * CONTROLLERS)
		const kind = this.firstFaults.shift() ?? clock.random()
		if (kind < FAULT_LIMITS.cut) proxies[index].breakAll()
		else if (kind < FAULT_LIMITS.loss) {
			this.result.lossy++
			proxies[index].loseResponses(true)
			clock.after(LOSS_MS, () => proxies[index].loseResponses(false))
		} else this.crashNextRunning(index)
		clock.after(this.options.everyMs * (0.5 + clock.random()), () => this.injectFaults())
	}

	/** Crashes the first running controller from an index on. */
	private crashNextRunning(first: number): void {
		const candidates = Array.from({ length: CONTROLLERS }, (_, offset) => (first + offset) % CONTROLLERS)
		const running = candidates.find((index) => this.servers.isRunning(index))
		if (running === undefined) return
		this.result.crashes++
		this.simulation.crash(running, MIN_RESTART_S + this.clock.random())
	}

	private collect(begunMs: number): void {
		const { result } = this
		for (const uid of this.simulation.accepted())
			if (!this.uids.includes(uid) && uid !== this.sentinel) result.strange.push(uid)
		result.cuts = this.proxies.reduce((cuts, proxy) => cuts + proxy.brokenConnections, 0)
		result.seconds = (Date.now() - begunMs) / 1000
	}

	private async close(): Promise<void> {
		for (const client of this.clients) client.close()
		for (const proxy of this.proxies) proxy.close()
		// No controller boots any more.
		this.clock.stop()
		await this.servers.stopAll()
		await this.simulation.end()
	}

	private createClient(): Client {
		const { forS } = this.options
		const options = { grpc: this.addresses, deadlineMs: forS * 1000, tryMs: TRY_MS }
		const client = new Client(options, () => this.clock.random())
		this.clients.push(client)
		return client
	}
}

/** Runs a check: jobs are submitted and watched over gRPC through faults at moments drawn from a seed. */
export const checkStreams = (options: StreamCheckOptions): Promise<StreamCheckResult> =>
	new StreamCheck(options).run()

/** Waits for a condition, for 10 s at the most. */
const waitUntil = async (isReady: () => boolean): Promise<void> => {
	for (let checks = 0; checks < 200 && !isReady(); checks++) await delay(50)
}
