/**
 * The simulation: controllers of the real service among fake services, machines and users. A day is run in virtual
 * time from a seed; with a real clock the same world serves demonstrations and measurements.
 */
import type { Service } from '@heathroad/server'
import type { JobSpec } from '@heathroad/wire'
import { type Clock, VirtualClock } from './clock.js'
import { controllerHttpClient } from './controller-http-client.js'
import { FakeCloud } from './fake-cloud.js'
import { FakeLoadBalancer } from './fake-load-balancer.js'
import type { FakeResponse } from './fake-response.js'
import { FakeStateStore } from './fake-state-store.js'
import type { FakeWorker } from './fake-worker.js'
import { type FaultTargets, injectFault } from './fault-injection.js'
import { InvariantChecker } from './invariant-checker.js'
import { RandomFaults } from './random-faults.js'
import { SimulatedControllers } from './simulated-controllers.js'
import {
	BOX_MACHINE_TYPE,
	DEFAULT_CONTROLLERS,
	DEFAULT_FAULT_S,
	DEFAULT_WORKER_TIMES,
	type SimulatedDay,
	STATE_LIMITS,
	type WorkerTimes,
	ZONES,
} from './simulated-day.js'
import { BROKEN_CLASS, SimulatedMachines } from './simulated-machines.js'
import { type MessageFault, SimulatedNetwork } from './simulated-network.js'
import { TokenBucket } from './token-bucket.js'
import type { TracedMessage } from './trace.js'
import { UserWorkload } from './user-workload.js'

/** Machines of each kind in each zone, on a day that does not say. */
const DEFAULT_CAPACITY = 4
/** How often the load balancer probes and the invariants are checked, in ms. */
const CHECK_INTERVAL_MS = 1000
/** Controllers boot within so many ms of the beginning of a day. */
const BOOT_SPREAD_MS = 300
/** Free capacity counts once it lasted so many heartbeat intervals. */
const CAPACITY_HEARTBEATS = 5
/** A job that nobody submits: every controller has to answer that it is unknown. */
const UNKNOWN_JOB = 'job-999999'

/** One simulated world. */
export class Simulation {
	readonly clock: Clock
	readonly invariants: InvariantChecker
	readonly state: FakeStateStore
	readonly cloud: FakeCloud
	readonly workload: UserWorkload
	private readonly times: WorkerTimes
	private readonly messageFaults: RandomFaults<MessageFault>
	private readonly network: SimulatedNetwork
	private readonly machines: SimulatedMachines
	private readonly controllers: SimulatedControllers
	private readonly balancer: FakeLoadBalancer
	/** controllers whose reads of the state service get no response, while all else does */
	private readonly watchless = new Set<number>()
	/** controllers whose watches are answered late, while all else is answered at once */
	private readonly lateWatchers = new Set<number>()
	private readonly specs = new Map<string, JobSpec>()

	/** Called with every new incarnation of a controller, before it begins. */
	started: (controller: number, node: Service) => void = () => {}

	/** Called when an incarnation of a controller ends. */
	ended: (controller: number) => void = () => {}

	/** Called with every message that a controller sends or receives; null: nobody follows them. */
	trace: ((message: TracedMessage) => void) | null = null

	/** Takes the controllers' log lines. */
	tell: (line: string) => void = () => {}

	/** `clock`: virtual time from the day's seed if not given. */
	constructor(
		private readonly day: SimulatedDay,
		clock?: Clock,
	) {
		this.clock = clock ?? new VirtualClock(day.seed)
		this.times = day.report ?? DEFAULT_WORKER_TIMES
		this.messageFaults = new RandomFaults(this.clock)
		this.network = new SimulatedNetwork(this.clock, this.messageFaults, {
			share: day.loss ?? 0,
			untilMs: (day.lossUntilS ?? Number.POSITIVE_INFINITY) * 1000,
		})
		this.invariants = new InvariantChecker(
			() => this.clock.nowMs,
			this.times.cancelS * 1000,
			day.limits ?? new Map(),
		)
		this.invariants.mayWait = (spec) => spec.jobClass === BROKEN_CLASS
		this.controllers = this.createControllers()
		this.balancer = new FakeLoadBalancer(this.controllers.names.length)
		this.machines = this.createMachines()
		this.state = this.createState()
		this.workload = this.createWorkload()
		this.cloud = this.createCloud()
	}

	/** The fake agents of all machines that are up. */
	get workers(): Map<string, FakeWorker> {
		return this.machines.workers
	}

	/** Machines that a fault made fail all tasks. */
	get faulty(): ReadonlySet<string> {
		return this.machines.faulty
	}

	/** Sends a request to a controller; null: it is down. `from` appears in traces only. */
	sendRequest(
		controller: number,
		method: string,
		path: string,
		body: unknown,
		from = 'user',
	): Promise<FakeResponse | null> {
		return this.controllers.sendRequest(controller, method, path, body, from)
	}

	/** Starts a new incarnation of a controller. */
	boot(controller: number): Service {
		return this.controllers.boot(controller)
	}

	/** Ends a controller without notice, and boots it again after `restartS` seconds. */
	crash(controller: number, restartS: number): void {
		this.controllers.crash(controller, restartS)
	}

	/** Begins a day in real time. */
	begin(): void {
		this.cloud.alreadyUp(this.day.up ?? 0, BOX_MACHINE_TYPE, ZONES[0])
		for (const controller of this.controllers.names.keys()) this.boot(controller)
	}

	/** Ends all controllers. */
	end(): Promise<void> {
		return this.controllers.end()
	}

	/** Ids of all jobs in the controllers' records, terminal or not; once for each controller that knows them. */
	accepted(): string[] {
		return this.controllers.running().flatMap((node) => [...node.jobs.knownIds()])
	}

	/** The largest number of terminal states that a controller holds in memory. */
	held(): number {
		return Math.max(0, ...this.controllers.running().map((node) => node.jobs.terminalCount))
	}

	/**
	 * Runs the whole day in virtual time.
	 * @throws Error if the simulation has a real clock
	 */
	async run(): Promise<void> {
		if (!(this.clock instanceof VirtualClock)) throw new Error('a simulated day needs a virtual clock')
		await this.clock.run(this.day.untilS * 1000, () => this.schedule())
		this.controllers.stopAll()
	}

	/** Schedules everything that the day describes. The order decides what happens first at equal times. */
	private schedule(): void {
		const { clock, day } = this
		this.cloud.alreadyUp(day.up ?? 0, BOX_MACHINE_TYPE, ZONES[0])
		for (const controller of this.controllers.names.keys())
			clock.after(clock.between(0, BOOT_SPREAD_MS), () => this.boot(controller))
		if (day.balanced) this.probe()
		for (const job of day.jobs) this.workload.add(job)
		this.invariants.faultsEndMs = this.faultsEndS() * 1000
		const targets = this.faultTargets()
		for (const fault of day.faults) clock.after(fault.atS * 1000, () => injectFault(targets, fault))
		this.checkInvariants()
	}

	/** When the last fault of the day ends, in seconds. */
	private faultsEndS(): number {
		const { faults, loss, lossUntilS } = this.day
		const ends = faults.map((fault) => fault.atS + (fault.forS ?? DEFAULT_FAULT_S))
		if ((loss ?? 0) > 0) ends.push(lossUntilS ?? Number.POSITIVE_INFINITY)
		return Math.max(0, ...ends)
	}

	private faultTargets(): FaultTargets {
		const { clock, controllers, machines, network, messageFaults, state, cloud, workload } = this
		const { watchless, lateWatchers } = this
		return {
			clock,
			controllers,
			machines,
			network,
			messageFaults,
			state,
			cloud,
			workload,
			watchless,
			lateWatchers,
		}
	}

	/** Checks the invariants every second, and asks a controller about a job that nobody submitted. */
	private checkInvariants(): void {
		const controller = Math.floor(this.clock.random() * this.controllers.names.length)
		this.network.deliver({
			link: { kind: 'users', controller },
			ends: { from: null, to: controller },
			isAlive: this.controllers.aliveCheck(controller),
			serve: () => this.sendRequest(controller, 'GET', `/v2/runs/${UNKNOWN_JOB}`, undefined),
			reply: (response) => this.invariants.observeStatus(UNKNOWN_JOB, response?.status ?? 0, null, null),
		})
		this.invariants.checkCancelledTasks()
		const samples = Math.ceil(this.times.reportS * CAPACITY_HEARTBEATS)
		this.invariants.checkWaitingJobs(this.machines.available(), samples)
		this.clock.after(CHECK_INTERVAL_MS, () => this.checkInvariants())
	}

	/** Probes every controller for the load balancer, once a second. */
	private probe(): void {
		for (const controller of this.controllers.names.keys())
			void this.sendRequest(controller, 'GET', '/healthz', undefined, 'balancer').then((response) =>
				this.balancer.probed(controller, response?.status === 200, this.clock.nowMs),
			)
		this.clock.after(CHECK_INTERVAL_MS, () => this.probe())
	}

	/** The controller that a user is sent to; null: none is healthy. */
	private someController(): number | null {
		const candidates = this.day.balanced ? this.balancer.healthy() : [...this.controllers.names.keys()]
		return candidates.length === 0 ? null : candidates[Math.floor(this.clock.random() * candidates.length)]
	}

	private createControllers(): SimulatedControllers {
		return new SimulatedControllers(this.day.controllers ?? DEFAULT_CONTROLLERS, this.day, {
			clock: this.clock,
			invariants: this.invariants,
			times: this.times,
			httpClient: (controller) => this.httpClient(controller),
			onStarted: (controller, node) => this.started(controller, node),
			onEnded: (controller) => this.ended(controller),
			onSubmitted: (spec) => this.specs.set(spec.uid, spec),
			log: (line) => this.tell(line),
			tracer: () => this.trace,
		})
	}

	private httpClient(controller: number) {
		const { clock, network, messageFaults, state, cloud, machines, watchless, lateWatchers, controllers } =
			this
		return controllerHttpClient(
			{
				clock,
				network,
				faults: messageFaults,
				state,
				cloud,
				machines,
				watchless,
				lateWatchers,
				peerAt: (address) => controllers.peerAt(address),
				aliveCheck: (peer) => controllers.aliveCheck(peer),
				answerPeer: (from, to, path, body) => controllers.answerPeer(from, to, path, body),
				trace: (index, message) => controllers.trace(index, message),
			},
			controller,
		)
	}

	private createMachines(): SimulatedMachines {
		return new SimulatedMachines({
			clock: this.clock,
			network: this.network,
			faults: this.messageFaults,
			invariants: this.invariants,
			times: this.times,
			controllers: this.controllers.names,
			spec: (uid) => this.specs.get(uid),
			aliveCheck: (controller) => this.controllers.aliveCheck(controller),
			sendRequest: (controller, method, path, body, from) =>
				this.sendRequest(controller, method, path, body, from),
		})
	}

	private createState(): FakeStateStore {
		const state = new FakeStateStore(this.clock, this.day.watchLog)
		state.taken = () => this.machines.deliverHeldHeartbeats()
		const bucket = (perS: number) => new TokenBucket(perS, () => this.clock.nowMs)
		if (this.day.stateLimits)
			state.limits = { requests: bucket(STATE_LIMITS.rps), changes: bucket(STATE_LIMITS.write_rps) }
		return state
	}

	private createWorkload(): UserWorkload {
		return new UserWorkload({
			clock: this.clock,
			invariants: this.invariants,
			controllers: this.controllers.names.length,
			someController: () => this.someController(),
			send: (controller, { method, path, body }, reply) =>
				this.network.deliver({
					link: { kind: 'users', controller },
					ends: { from: null, to: controller },
					isAlive: this.controllers.aliveCheck(controller),
					serve: () => this.sendRequest(controller, method, path, body),
					reply,
				}),
			hang: (machine, forMs) => this.workers.get(machine)?.hang(forMs),
		})
	}

	private createCloud(): FakeCloud {
		const perOffer = this.day.capacity ?? DEFAULT_CAPACITY
		const capacity = new Map<string, number>()
		for (const zone of ZONES)
			for (const spot of [true, false]) capacity.set(`${BOX_MACHINE_TYPE.name}/${zone}/${spot}`, perOffer)
		return new FakeCloud(
			this.clock,
			[BOX_MACHINE_TYPE],
			capacity,
			(id, type, zone, spot) => this.machines.add(id, type, zone, spot),
			(id) => this.machines.remove(id),
		)
	}
}
