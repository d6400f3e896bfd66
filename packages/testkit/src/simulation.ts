/**
 * The simulation: real controllers with fake services, machines and users. Simulated days run in virtual time from a
 * seed; demonstrations and measurements use the same simulation with a real clock.
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

/** Default number of spot and of on-demand machines that the cloud has in each zone. */
const DEFAULT_CAPACITY = 4
/** Interval of load balancer probes and of invariant checks, in ms. */
const CHECK_INTERVAL_MS = 1000
/** Controllers boot within this time after the start of a day, in ms. */
const BOOT_SPREAD_MS = 300
/** Waiting jobs are checked against capacity that has been free for this number of heartbeat intervals. */
const FREE_CAPACITY_HEARTBEATS = 5
/** Id of a job that is never submitted: every controller has to respond that it is unknown. */
const UNKNOWN_JOB = 'job-999999'

/** A simulated installation, and the day that is run on it. */
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
	/** controllers whose reads of the state service get no response, unlike their other requests */
	private readonly stateReadsLost = new Set<number>()
	/** controllers whose watches get late responses, unlike their other requests */
	private readonly lateWatchers = new Set<number>()
	private readonly specs = new Map<string, JobSpec>()

	/** Called with every new incarnation of a controller, before it starts to run. */
	onStarted: (controller: number, node: Service) => void = () => {}

	/** Called when an incarnation of a controller ends. */
	onEnded: (controller: number) => void = () => {}

	/** Called with every message that a controller sends or receives; null: messages are not traced. */
	trace: ((message: TracedMessage) => void) | null = null

	/** Called with every line that a controller logs. */
	onLogLine: (line: string) => void = () => {}

	/** `clock`: default is a virtual clock with the day's seed. */
	constructor(
		private readonly day: SimulatedDay,
		clock?: Clock,
	) {
		this.clock = clock ?? new VirtualClock(day.seed)
		this.times = day.workerTimes ?? DEFAULT_WORKER_TIMES
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

	/** Machines on which a fault makes all tasks fail. */
	get faulty(): ReadonlySet<string> {
		return this.machines.faulty
	}

	/** Sends a request to a controller; resolves to null if it is down. `from` is used only in traces. */
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

	/** Crashes a controller, and boots it again after `restartS` seconds. */
	crash(controller: number, restartS: number): void {
		this.controllers.crash(controller, restartS)
	}

	/** Starts the machines and controllers, for a simulation in real time. */
	begin(): void {
		this.cloud.bootInitialMachines(this.day.up ?? 0, BOX_MACHINE_TYPE, ZONES[0])
		for (const controller of this.controllers.names.keys()) this.boot(controller)
	}

	/** Stops all controllers. */
	end(): Promise<void> {
		return this.controllers.end()
	}

	/** Returns the ids of all jobs that the controllers know, terminal or not; an id occurs once per controller. */
	knownJobIds(): string[] {
		return this.controllers.running().flatMap((node) => [...node.jobs.knownIds()])
	}

	/** Returns the largest number of terminal states that a controller holds in memory. */
	maxTerminalCount(): number {
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

	/** Schedules the events of the day. Events at the same time run in the order in which they are scheduled. */
	private schedule(): void {
		const { clock, day } = this
		this.cloud.bootInitialMachines(day.up ?? 0, BOX_MACHINE_TYPE, ZONES[0])
		for (const controller of this.controllers.names.keys())
			clock.after(clock.between(0, BOOT_SPREAD_MS), () => this.boot(controller))
		if (day.balanced) this.probe()
		for (const job of day.jobs) this.workload.add(job)
		this.invariants.faultsEndMs = this.faultsEndS() * 1000
		const targets = this.faultTargets()
		for (const fault of day.faults) clock.after(fault.atS * 1000, () => injectFault(targets, fault))
		this.checkInvariants()
	}

	/** Returns when the last fault of the day ends, in seconds. */
	private faultsEndS(): number {
		const { faults, loss, lossUntilS } = this.day
		const ends = faults.map((fault) => fault.atS + (fault.forS ?? DEFAULT_FAULT_S))
		if ((loss ?? 0) > 0) ends.push(lossUntilS ?? Number.POSITIVE_INFINITY)
		return Math.max(0, ...ends)
	}

	private faultTargets(): FaultTargets {
		const { clock, controllers, machines, network, messageFaults, state, cloud, workload } = this
		const { stateReadsLost, lateWatchers } = this
		return {
			clock,
			controllers,
			machines,
			network,
			messageFaults,
			state,
			cloud,
			workload,
			stateReadsLost,
			lateWatchers,
		}
	}

	/** Checks the invariants every second, and queries a controller for a job that was never submitted. */
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
		const samples = Math.ceil(this.times.heartbeatIntervalS * FREE_CAPACITY_HEARTBEATS)
		this.invariants.checkWaitingJobs(this.machines.available(), samples)
		this.clock.after(CHECK_INTERVAL_MS, () => this.checkInvariants())
	}

	/** Probes every controller for the load balancer every second. */
	private probe(): void {
		for (const controller of this.controllers.names.keys())
			void this.sendRequest(controller, 'GET', '/healthz', undefined, 'balancer').then((response) =>
				this.balancer.recordProbe(controller, response?.status === 200, this.clock.nowMs),
			)
		this.clock.after(CHECK_INTERVAL_MS, () => this.probe())
	}

	/** Returns a random controller for a user's request; null: none is healthy. */
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
			onStarted: (controller, node) => this.onStarted(controller, node),
			onEnded: (controller) => this.onEnded(controller),
			onSubmitted: (spec) => this.specs.set(spec.uid, spec),
			log: (line) => this.onLogLine(line),
			tracer: () => this.trace,
		})
	}

	private httpClient(controller: number) {
		const {
			clock,
			network,
			messageFaults,
			state,
			cloud,
			machines,
			stateReadsLost,
			lateWatchers,
			controllers,
		} = this
		return controllerHttpClient(
			{
				clock,
				network,
				faults: messageFaults,
				state,
				cloud,
				machines,
				stateReadsLost,
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
		state.onShardTaken = () => this.machines.deliverHeldHeartbeats()
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
