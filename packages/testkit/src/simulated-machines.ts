/** The machines of a simulated day: their fake agents, and the faults of their connections. */
import type { JobSpec, MachineType } from '@heathroad/wire'
import type { Clock } from './clock.js'
import type { FakeResponse } from './fake-response.js'
import { FakeWorker, type FakeWorkerDependencies } from './fake-worker.js'
import type { InvariantChecker, MachineCapacity } from './invariant-checker.js'
import type { RandomFaults } from './random-faults.js'
import type { WorkerTimes } from './simulated-day.js'
import type { MessageFault, SimulatedNetwork } from './simulated-network.js'

/** Tasks run between these factors of their expected time. */
const RUN_TIME_FACTOR = { min: 800, max: 1200 }
/** Image fetch time, in ms a GB. */
const FETCH_MS_PER_GB = 1000
/** Tasks of jobs of this class fail everywhere. */
export const BROKEN_CLASS = 'broken'
/** A copy of a heartbeat arrives this late at the least, in ms, and at most this share of the agent lease later. */
const LATE_HEARTBEAT = { minMs: 2000, maxLeaseMs: 2500 }
/** Heartbeats held for a new owner reach the controllers within so many ms of the takeover. */
const HELD_HEARTBEAT_SPREAD_MS = 400

/** What the machines need of the simulation. */
export interface SimulatedMachinesPorts {
	clock: Clock
	network: SimulatedNetwork
	faults: RandomFaults<MessageFault>
	invariants: InvariantChecker
	times: WorkerTimes
	/** names of all controllers */
	controllers: readonly string[]
	/** the spec of a submitted job; undefined: none has this id */
	spec(uid: string): JobSpec | undefined
	/** returns whether the present incarnation of a controller still runs */
	aliveCheck(controller: number): () => boolean
	/** sends a request to a controller; `from` appears in traces only */
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
	/** machines that a fault made fail all tasks */
	readonly faulty = new Set<string>()
	/** machines without network; their tasks run on */
	readonly disconnected = new Set<string>()
	/** machines whose heartbeats arrive, while responses and direct commands to them are lost */
	readonly deaf = new Set<string>()
	/** machines whose heartbeats are lost, while direct commands reach them */
	readonly mute = new Set<string>()
	/** copies of heartbeats that wait for the next takeover of any shard */
	private heldHeartbeats: unknown[] = []

	constructor(private readonly ports: SimulatedMachinesPorts) {}

	/** A machine has booted. */
	add(id: string, type: MachineType, zone: string, spot: boolean): void {
		this.workers.set(id, new FakeWorker(this.workerPorts(zone), id, type, zone, spot))
	}

	/** A machine is released; returns the key of its capacity, or null if there is no such machine. */
	remove(id: string): string | null {
		const worker = this.workers.get(id)
		worker?.stop()
		this.workers.delete(id)
		return worker === undefined ? null : `${worker.type.name}/${worker.zone}/${worker.spot}`
	}

	/** A direct request to a machine's agent; null: it does not respond. */
	call(id: string, path: string, body: unknown): Promise<FakeResponse | null> {
		const worker = this.workers.get(id)
		if (worker === undefined || worker.stopped) return Promise.resolve(null)
		if (this.disconnected.has(id) || this.deaf.has(id)) return Promise.resolve(null)
		return worker.call(path, body)
	}

	/** A shard has a new owner: the held heartbeats reach every controller at that moment. */
	deliverHeldHeartbeats(): void {
		const { clock, controllers } = this.ports
		const heartbeats = this.heldHeartbeats
		this.heldHeartbeats = []
		for (const body of heartbeats)
			for (const controller of controllers.keys()) {
				const arrive = () => void this.ports.sendRequest(controller, 'POST', '/checkin', body, 'kept report')
				clock.after(clock.between(0, HELD_HEARTBEAT_SPREAD_MS), arrive, null)
			}
	}

	/** Machines that can take tasks. */
	available(): MachineCapacity[] {
		const machines: MachineCapacity[] = []
		for (const { id, type, zone, spot, stopped, faulty, hung, preemptionAnnounced } of this.workers.values())
			if (!stopped && !faulty && !hung && !preemptionAnnounced)
				machines.push({ id, type: type.name, zone, spot, cpus: type.cpus })
		return machines
	}

	/** Machines that have not died. */
	alive(): FakeWorker[] {
		return [...this.workers.values()].filter((worker) => !worker.stopped)
	}

	private workerPorts(zone: string): FakeWorkerDependencies {
		const { clock, invariants, times, controllers } = this.ports
		return {
			clock,
			invariants,
			heartbeatIntervalMs: times.reportS * 1000,
			leaseMs: times.leaseS * 1000,
			controllers,
			task: (task) => {
				const spec = this.ports.spec(task.split('/')[0])
				if (spec === undefined) return null
				return {
					runMs: spec.expectedS * clock.between(RUN_TIME_FACTOR.min, RUN_TIME_FACTOR.max),
					fetchMs: spec.imageGb * FETCH_MS_PER_GB,
					cpus: spec.cpus,
					fails: spec.jobClass === BROKEN_CLASS,
				}
			},
			send: (machine, controller, path, body, reply) =>
				this.sendHeartbeat({ machine, zone, controller, path, body, reply }),
		}
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
		const { clock, faults, times } = this.ports
		const controller = this.ports.controllers.indexOf(heartbeat.controller)
		if (this.disconnected.has(machine) || this.mute.has(machine)) return
		const serve = () => this.ports.sendRequest(controller, 'POST', path, body, machine)
		this.ports.network.deliver({
			link: { kind: 'workers', controller },
			ends: { from: null, to: controller },
			isAlive: this.ports.aliveCheck(controller),
			serve,
			reply: (response) => {
				if (!this.deaf.has(machine)) heartbeat.reply(response)
			},
			otherEnd: zone,
		})
		if (faults.happens('heldHeartbeats')) this.heldHeartbeats.push(body)
		if (!faults.happens('duplicatedHeartbeats')) return
		// A copy of an old heartbeat, for whichever incarnation then has the address.
		const delayMs = clock.between(LATE_HEARTBEAT.minMs, times.leaseS * LATE_HEARTBEAT.maxLeaseMs)
		clock.after(delayMs, () => void serve(), null)
	}
}
