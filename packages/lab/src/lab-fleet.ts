/** The fake services and machines of an experiment, served over sockets. */
import {
	FakeCloud,
	FakeStateStore,
	FakeWorker,
	type FakeWorkerDependencies,
	type InvariantChecker,
	type RealClock,
	type WorkerTimes,
} from '@heathroad/testkit'
import type { JobSpec, MachineType } from '@heathroad/wire'
import type { Experiment } from './experiment.js'
import { type FakeServer, serveCloud, serveState, serveWorkers, workerHost } from './fake-servers.js'
import { LAB_MACHINE_TYPES } from './machine-types.js'
import type { RequestRecorder } from './request-recorder.js'

/** Number of changes that the fake state service keeps for watches. */
const MAX_WATCH_LOG_ENTRIES = 10_000
/** Number of machines that can be rented of each offer. */
const CAPACITY_PER_OFFER = 50
/** Nominal rate of the fake cloud, in calls a second. */
const CLOUD_RPS = 4
/** Time in which a machine fetches an image, in ms. */
const FETCH_MS = 200
/** Range of tasks' running time, in ms per second of the expected time. */
const RUN_MS_PER_S = { min: 800, max: 1200 }
/** Timeout of heartbeats, in ms. */
const HEARTBEAT_TIMEOUT_MS = 4000
/** Delay after which the machines that no controller rented boot, in ms. */
const EXISTING_MACHINES_DELAY_MS = 500
/** Controllers are named by this prefix and their index. */
const CONTROLLER_NAME_PREFIX = 'ctl-'

/** Collaborators and parameters of the fleet. */
export interface LabFleetDependencies {
	clock: RealClock
	invariants: InvariantChecker
	recorder: RequestRecorder
	times: WorkerTimes
	/** specs of the submitted jobs by id */
	specs: ReadonlyMap<string, JobSpec>
	/** returns the controllers' addresses by index; empty until the controllers are created */
	controllerAddresses: () => readonly string[]
}

type StateServer = Awaited<ReturnType<typeof serveState>>

/** The fake state service, cloud and machines of an experiment. */
export class LabFleet {
	readonly state: FakeStateStore
	private readonly cloud: FakeCloud
	/** agents by their loopback address */
	private readonly workers = new Map<string, FakeWorker>()
	/** loopback addresses by machine id */
	private readonly hostsByMachine = new Map<string, string>()
	private stateServer: StateServer | null = null
	private cloudServer: FakeServer | null = null
	private workerServer: FakeServer | null = null

	constructor(private readonly dependencies: LabFleetDependencies) {
		this.state = new FakeStateStore(dependencies.clock, MAX_WATCH_LOG_ENTRIES)
		const offers = ['a', 'b'].flatMap((zone) => [true, false].map((spot) => `box/${zone}/${spot}`))
		this.cloud = new FakeCloud(
			dependencies.clock,
			LAB_MACHINE_TYPES,
			new Map(offers.map((offer) => [offer, CAPACITY_PER_OFFER])),
			(id, type, zone, spot) => this.boot(id, type, zone, spot),
			(id) => this.release(id),
		)
	}

	/** Starts the servers; returns the ports of the state service and the cloud. */
	async serve(limits: Experiment['state']): Promise<{ state: number; cloud: number }> {
		this.stateServer = await serveState(this.state, limits)
		this.workerServer = await serveWorkers(this.workers)
		this.cloudServer = await serveCloud(this.cloud, CLOUD_RPS)
		return { state: this.stateServer.port, cloud: this.cloudServer.port }
	}

	/** Boots machines that no controller rented. */
	bootMachines(count: number): void {
		setTimeout(
			() => this.cloud.bootInitialMachines(count, LAB_MACHINE_TYPES[0], 'a'),
			EXISTING_MACHINES_DELAY_MS,
		)
	}

	/** Returns the numbers of requests and changes that the state service received so far. */
	stateLoad(): StateServer['counts'] {
		return { ...(this.stateServer?.counts ?? { requests: 0, refused: 0, changes: 0 }) }
	}

	/** Stops all machines and closes the servers. */
	close(): void {
		for (const worker of this.workers.values()) worker.stopped = true
		this.stateServer?.close()
		this.cloudServer?.close()
		this.workerServer?.close()
	}

	private boot(id: string, type: MachineType, zone: string, spot: boolean): void {
		const host = workerHost(this.hostsByMachine.size)
		this.hostsByMachine.set(id, host)
		this.workers.set(host, new FakeWorker(this.workerDependencies(host), id, type, zone, spot))
	}

	private release(id: string): string | null {
		const host = this.hostsByMachine.get(id)
		const worker = host === undefined ? undefined : this.workers.get(host)
		worker?.stop()
		return worker === undefined ? null : `box/${worker.zone}/${worker.spot}`
	}

	private workerDependencies(host: string): FakeWorkerDependencies {
		const { clock, invariants, recorder, times, specs, controllerAddresses } = this.dependencies
		return {
			clock,
			invariants,
			heartbeatIntervalMs: times.heartbeatIntervalS * 1000,
			leaseMs: times.leaseS * 1000,
			controllers: controllerAddresses().map((_, index) => `${CONTROLLER_NAME_PREFIX}${index}`),
			task: (task) => {
				const spec = specs.get(task.split('/')[0])
				if (spec === undefined) return null
				const runMs = spec.expectedS * clock.between(RUN_MS_PER_S.min, RUN_MS_PER_S.max)
				return { runMs, fetchMs: FETCH_MS, cpus: spec.cpus, fails: false }
			},
			send: (_machine, controller, path, body, reply) => {
				const to = controllerAddresses()[Number(controller.slice(CONTROLLER_NAME_PREFIX.length))]
				const heartbeat = { ...(body as object), addr: `${host}:${this.workerServer?.port}` }
				const request = { to, method: 'POST', path, body: heartbeat, timeoutMs: HEARTBEAT_TIMEOUT_MS }
				void recorder
					.send({ kind: 'report', ...request })
					.then((response) =>
						reply(response === null ? null : { status: response.status, body: response.body }),
					)
			},
		}
	}
}
