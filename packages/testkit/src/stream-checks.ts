/**
 * Checks event streams over real sockets in real time, while connections break, responses are lost and controllers
 * crash: every reader has to receive exactly one terminal state of every job.
 */
import { Client, isFinal, type JobEvent } from '@heathroad/client'
import { RealClock } from './clock.js'
import { FlakyProxy } from './flaky-proxy.js'
import { GrpcServers } from './grpc-servers.js'
import { arrayJob } from './simulated-day.js'
import { Simulation } from './simulation.js'

/** Parameters of a check. */
export interface StreamCheckOptions {
	/** seed of the times of the faults */
	seed: number
	/** number of jobs */
	jobs: number
	/** time limit of the check, in seconds */
	forS: number
	/** mean interval of faults, in ms */
	everyMs: number
}

/** Result of a check. */
export interface StreamCheckResult {
	jobs: number
	/** number of connections that were broken */
	cuts: number
	/** number of controllers that crashed */
	crashes: number
	/** number of periods in which responses were lost */
	responseLosses: number
	/** number of events that readers received */
	events: number
	readers: number
	/** terminal states that a reader never received */
	missing: string[]
	/** terminal states that a reader received twice */
	repeated: string[]
	/** terminal states followed by another state, and counts of done tasks that decreased */
	reverted: string[]
	/** number of events that follow a gap, after which a reader continued from the current state */
	gaps: number
	/** jobs that exist but were never submitted, and readers that failed */
	unexpected: string[]
	/** submissions and cancellations that failed */
	failedSubmissions: string[]
	/** violations of invariants */
	violations: readonly string[]
	seconds: number
}

const CONTROLLERS = 3
const MACHINES = 12
/** Clients retry a request after this time, in ms. */
const TRY_MS = 2000
/** Duration of a period in which responses are lost, in ms. */
const LOSS_MS = 250
/** Shortest time until a crashed controller boots again, in seconds. */
const MIN_RESTART_S = 0.4
/** A draw from 0 to 1 below `cut` breaks connections, below `loss` loses responses, otherwise crashes a controller. */
const FAULT_THRESHOLDS = { cut: 0.5, loss: 0.75 }
/** Draws of the first faults, so that each kind of fault occurs at least once. */
const FIRST_FAULTS: readonly number[] = [0, 0.6, 0.9]
/** Interval of submissions, in ms. */
const SUBMIT_INTERVAL_MS = 25
/** Every ninth job is cancelled. */
const CANCEL_EVERY = 9
/** Difference between the first job numbers of checks with successive seeds. */
const IDS_PER_SEED = 1000
const FIRST_JOB = 700_000
const FIRST_SENTINEL = 699_000

const delay = (ms: number): Promise<void> => new Promise((done) => setTimeout(done, ms))

/** A check in progress. */
class StreamCheck {
	private readonly clock: RealClock
	private readonly simulation: Simulation
	private readonly servers: GrpcServers
	private readonly proxies: FlakyProxy[]
	private readonly clients: Client[] = []
	private readonly result: StreamCheckResult
	private readonly uids: string[]
	/** id of a job whose events show that the team's stream has started */
	private readonly sentinel: string
	/** addresses of the proxies */
	private addresses: string[] = []
	private faultsEnded = false
	private readonly firstFaults = [...FIRST_FAULTS]
	/** readers that have received an event */
	private readonly startedReaders = new Set<string>()
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
				workerTimes: { heartbeatIntervalS: 0.5, leaseS: 6, cancelS: 14 },
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
			responseLosses: 0,
			events: 0,
			readers: 0,
			missing: [],
			repeated: [],
			reverted: [],
			gaps: 0,
			unexpected: [],
			failedSubmissions: [],
			violations: this.simulation.invariants.violations,
			seconds: 0,
		}
	}

	async run(): Promise<StreamCheckResult> {
		this.simulation.begin()
		this.addresses = await Promise.all(this.proxies.map(async (proxy) => `127.0.0.1:${await proxy.listen()}`))
		const startMs = Date.now()
		const timer = setTimeout(() => this.deadline.abort(), this.options.forS * 1000)
		try {
			await this.submitAndRead()
			this.collect(startMs)
			return this.result
		} finally {
			// Also after an error: anything that is still running would keep the process from exiting.
			clearTimeout(timer)
			this.deadline.abort()
			this.faultsEnded = true
			await this.close()
		}
	}

	/** Reads by job ids before and after the jobs are submitted, and by team; submits the jobs and injects faults. */
	private async submitAndRead(): Promise<void> {
		const { uids } = this
		const early = this.read('by ids, before', { uids })
		const team = this.read('by team', { team: 'core' })
		const submitter = this.createClient()
		// A team's stream delivers what finishes after its start; an event of the first job shows that it has started.
		await submitter.submit(arrayJob(this.sentinel, { tasks: 1, cpus: 0.5, expectedS: 0.3, spot: false }))
		await waitUntil(() => this.startedReaders.has('by team'))
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
			this.result.failedSubmissions.push(`${uid}: ${(error as Error).message}`)
		}
	}

	/** Reads events until the terminal states of all jobs have arrived, or until the deadline. */
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
			if (!deadline.signal.aborted) result.unexpected.push(`${name}: ${(error as Error).message}`)
		}
		for (const uid of uids) if (!reader.terminal.has(uid)) result.missing.push(`${name}: ${uid}`)
	}

	/** Checks an event against the earlier events of the same reader. */
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
			const list = terminal === state ? result.repeated : result.reverted
			list.push(`${name}: ${uid} ${terminal}, ${state}`)
		}
		const doneBefore = reader.done.get(uid) ?? 0
		if (done < doneBefore) result.reverted.push(`${name}: ${uid} ${doneBefore}, ${done}`)
		reader.done.set(uid, done)
		if (isFinal(state)) reader.terminal.set(uid, state)
		this.startedReaders.add(name)
	}

	/** Injects a fault, and schedules further ones until the check ends. */
	private injectFaults(): void {
		if (this.faultsEnded) return
		const { clock, proxies } = this
		const index = Math.floor(clock.random() * CONTROLLERS)
		const kind = this.firstFaults.shift() ?? clock.random()
		if (kind < FAULT_THRESHOLDS.cut) proxies[index].breakAll()
		else if (kind < FAULT_THRESHOLDS.loss) {
			this.result.responseLosses++
			proxies[index].loseResponses(true)
			clock.after(LOSS_MS, () => proxies[index].loseResponses(false))
		} else this.crashNextRunning(index)
		clock.after(this.options.everyMs * (0.5 + clock.random()), () => this.injectFaults())
	}

	/** Crashes the first running controller, starting the search at index `first`. */
	private crashNextRunning(first: number): void {
		const candidates = Array.from({ length: CONTROLLERS }, (_, offset) => (first + offset) % CONTROLLERS)
		const running = candidates.find((index) => this.servers.isRunning(index))
		if (running === undefined) return
		this.result.crashes++
		this.simulation.crash(running, MIN_RESTART_S + this.clock.random())
	}

	private collect(startMs: number): void {
		const { result } = this
		for (const uid of this.simulation.knownJobIds())
			if (!this.uids.includes(uid) && uid !== this.sentinel) result.unexpected.push(uid)
		result.cuts = this.proxies.reduce((cuts, proxy) => cuts + proxy.brokenConnections, 0)
		result.seconds = (Date.now() - startMs) / 1000
	}

	private async close(): Promise<void> {
		for (const client of this.clients) client.close()
		for (const proxy of this.proxies) proxy.close()
		// From now on no controller boots.
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

/** Runs a check: submits and watches jobs over gRPC, with faults at random times drawn from a seed. */
export const checkStreams = (options: StreamCheckOptions): Promise<StreamCheckResult> =>
	new StreamCheck(options).run()

/** Waits up to 10 s for a condition. */
const waitUntil = async (isReady: () => boolean): Promise<void> => {
	for (let checks = 0; checks < 200 && !isReady(); checks++) await delay(50)
}
