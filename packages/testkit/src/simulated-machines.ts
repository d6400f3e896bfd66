/** The machines of a simulated day: their fake agents and the faults of their network connections. */
import type { JobSpec, MachineType } from '@heathroad/wire'
import type { Clock } from './clock.js'
import type { FakeResponse } from './fake-response.js'
import { FakeWorker, type FakeWorkerDependencies } from './fake-worker.js'
import type { InvariantChecker, MachineCapacity } from './invariant-checker.js'
import type { RandomFaults } from './random-faults.js'
import type { WorkerTimes } from './simulated-day.js'
import type { MessageFault, SimulatedNetwork } from './simulated-network.js'

/** Bounds of the actual run time, in ms per second of expected run time. */
const RUN_MS_PER_EXPECTED_S = { min: 800, max: 1200 }
/** Image fetch time, in ms per GB. */
const FETCH_MS_PER_GB = 1000
/** Tasks of jobs of this class fail on every machine. */
export const BROKEN_CLASS = 'broken'
/** Delay of a second copy of a direct command: at least `minMs`, and up to 2.5 agent leases. */
const DUPLICATE_COMMAND_DELAY = { minMs: 200, maxMsPerLeaseS: 2500 }
/** Delay of a second copy of a response, in ms: beyond the time within which agents accept it. */
const DUPLICATE_RESPONSE_DELAY_MS = { min: 200, max: 6000 }
/** Delay of a duplicated heartbeat: at least `minMs`, and up to 2.5 agent leases (`maxMsPerLeaseS` ms per second). */
const DUPLICATE_HEARTBEAT_DELAY = { minMs: 2000, maxMsPerLeaseS: 2500 }
/** Held heartbeats reach the controllers within this time after a takeover, in ms. */
const HELD_HEARTBEAT_SPREAD_MS = 400

/** The collaborators and functions of the simulated machines. */
export interface SimulatedMachinesDependencies {
	clock: Clock
	network: SimulatedNetwork
	faults: RandomFaults<MessageFault>
	invariants: InvariantChecker
	times: WorkerTimes
	/** names of all controllers */
	controllers: readonly string[]
	/** returns the spec of a submitted job; undefined: no job has this id */
	spec(uid: string): JobSpec | undefined
	/** returns a check of whether the incarnation of the controller that is current now still runs */
	aliveCheck(controller: number): () => boolean
	/** sends a request to a controller; `from` is used only in traces */
	sendRequest(
		controller: number,
		method: string,
		path: string,
		body: unknown,
		from: string,
	): Promise<FakeResponse | null>
}

/** All machines that are up. */
export class SimulatedMachines {
	readonly workers = new Map<string, FakeWorker>()
	/** machines on which a fault makes all tasks fail */
	readonly faulty = new Set<string>()
	/** machines that are partitioned in both directions; their tasks keep running */
	readonly disconnected = new Set<string>()
	/** machines that receive nothing: their heartbeats arrive, but responses and direct commands are lost */
	readonly inboundPartitioned = new Set<string>()
	/** machines that send nothing: their heartbeats are lost, but direct commands arrive */
	readonly outboundPartitioned = new Set<string>()
	/** copies of heartbeats that are delivered at the next takeover of any shard */
	private heldHeartbeats: unknown[] = []

	constructor(private readonly dependencies: SimulatedMachinesDependencies) {}

	/** Adds a machine that has booted. */
	add(id: string, type: MachineType, zone: string, spot: boolean): void {
		this.workers.set(id, new FakeWorker(this.workerDependencies(zone), id, type, zone, spot))
	}

	/** Removes a released machine; returns the key of its capacity, or null if there is no such machine. */
	remove(id: string): string | null {
		const worker = this.workers.get(id)
		worker?.stop()
		this.workers.delete(id)
		return worker === undefined ? null : `${worker.type.name}/${worker.zone}/${worker.spot}`
	}

	/** Sends a direct request to a machine's agent; resolves to null if there is no response. */
	call(id: string, path: string, body: unknown): Promise<FakeResponse | null> {
		const worker = this.workers.get(id)
		if (worker === undefined || worker.stopped) return Promise.resolve(null)
		if (this.disconnected.has(id) || this.inboundPartitioned.has(id)) return Promise.resolve(null)
		return worker.call(path, body)
	}

	/** Delivers the held heartbeats to every controller; called when a shard has a new owner. */
	deliverHeldHeartbeats(): void {
		const { clock, controllers } = this.dependencies
		const heartbeats = this.heldHeartbeats
		this.heldHeartbeats = []
		for (const body of heartbeats)
			for (const controller of controllers.keys()) {
				const arrive = () =>
					void this.dependencies.sendRequest(controller, 'POST', '/checkin', body, 'kept report')
				clock.after(clock.between(0, HELD_HEARTBEAT_SPREAD_MS), arrive, null)
			}
	}

	/** Returns the machines that can accept tasks. */
	available(): MachineCapacity[] {
		const machines: MachineCapacity[] = []
		for (const { id, type, zone, spot, stopped, faulty, hung, preemptionAnnounced } of this.workers.values())
			if (!stopped && !faulty && !hung && !preemptionAnnounced)
				machines.push({ id, type: type.name, zone, spot, cpus: type.cpus })
		return machines
	}

	/** Returns the machines that have not crashed. */
	alive(): FakeWorker[] {
		return [...this.workers.values()].filter((worker) => !worker.stopped)
	}

	private workerDependencies(zone: string): FakeWorkerDependencies {
		const { clock, invariants, times, controllers } = this.dependencies
		return {
			clock,
			invariants,
			heartbeatIntervalMs: times.heartbeatIntervalS * 1000,
			leaseMs: times.leaseS * 1000,
			controllers,
			task: (task) => {
				const spec = this.dependencies.spec(task.split('/')[0])
				if (spec === undefined) return null
				return {
					runMs: spec.expectedS * clock.between(RUN_MS_PER_EXPECTED_S.min, RUN_MS_PER_EXPECTED_S.max),
					fetchMs: spec.imageGb * FETCH_MS_PER_GB,
					cpus: spec.cpus,
					fails: spec.jobClass === BROKEN_CLASS,
				}
			},
			send: (machine, controller, path, body, reply) =>
				this.sendHeartbeat({ machine, zone, controller, path, body, reply }),
		}
	}

	/** Delivers a copy of a direct request late, if the fault occurs; nobody receives the answer to the copy. */
	duplicateCall(machine: string, path: string, body: unknown): void {
		const { clock, faults, times } = this.dependencies
		if (!faults.happens('duplicatedCommands')) return
		const { minMs, maxMsPerLeaseS } = DUPLICATE_COMMAND_DELAY
		const delayMs = clock.between(minMs, times.leaseS * maxMsPerLeaseS)
		clock.after(delayMs, () => void this.call(machine, path, body), null)
	}

	private sendHeartbeat(heartbeat: {
		machine: string
		zone: string
		controller: string
		path: string
		body: unknown
		reply: (response: FakeResponse | null) => void
	}): void {
		const { machine, zone, path, body } = heartbeat
		const { clock, faults, times } = this.dependencies
		const controller = this.dependencies.controllers.indexOf(heartbeat.controller)
		if (this.disconnected.has(machine) || this.outboundPartitioned.has(machine)) return
		const serve = () => this.dependencies.sendRequest(controller, 'POST', path, body, machine)
		this.dependencies.network.deliver({
			link: { kind: 'workers', controller },
			ends: { from: null, to: controller },
			isAlive: this.dependencies.aliveCheck(controller),
			serve,
			reply: (response) => {
				if (this.inboundPartitioned.has(machine)) return
				heartbeat.reply(response)
				if (!faults.happens('duplicatedResponses')) return
				const { min, max } = DUPLICATE_RESPONSE_DELAY_MS
				clock.after(clock.between(min, max), () => heartbeat.reply(response), null)
			},
			otherEnd: zone,
		})
		if (faults.happens('heldHeartbeats')) this.heldHeartbeats.push(body)
		if (!faults.happens('duplicatedHeartbeats')) return
		// The copy goes to the incarnation that has the address by then.
		const delayMs = clock.between(
			DUPLICATE_HEARTBEAT_DELAY.minMs,
			times.leaseS * DUPLICATE_HEARTBEAT_DELAY.maxMsPerLeaseS,
		)
		clock.after(delayMs, () => void serve(), null)
	}
}
