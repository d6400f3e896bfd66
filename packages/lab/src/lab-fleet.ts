/** The lab's fake services and machines behind sockets. */
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
import { LAB_TYPES } from './machine-types.js'
import type { RequestRecorder } from './request-recorder.js'

/** Changes that the fake state service keeps for watches. */
const MAX_LOG = 10_000
/** Free machines of each offer. */
const CAPACITY = 50
/** Calls a second that the fake cloud accepts. */
const CLOUD_RPS = 4
/** Time to fetch an image, in ms. */
const FETCH_MS = 200
/** Tasks run between these factors of their expected time, in ms a second. */
const RUN_MS_PER_S = { min: 800, max: 1200 }
/** Heartbeats are given up after that time, in ms. */
const HEARTBEAT_TIMEOUT_MS = 4000
/** Machines that are up before the controllers begin after that time, in ms. */
const MACHINES_UP_MS = 500
const NAME_PREFIX = 'ctl-'

/** What the fleet needs of the experiment. */
export interface LabFleetPorts {
	clock: RealClock
	invariants: InvariantChecker
	recorder: RequestRecorder
	times: WorkerTimes
	/** specs of the submitted jobs by id */
	specs: ReadonlyMap<string, JobSpec>
	/** addresses of the controllers by index; known once there are any */
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
	private readonly hosts = new Map<string, string>()
	private stateServer: StateServer | null = null
	private cloudServer: FakeServer | null = null
	private workerServer: FakeServer | null = null

	constructor(private readonly ports: LabFleetPorts) {
		this.state = new FakeStateStore(ports.clock, MAX_LOG)
		const offers = ['a', 'b'].flatMap((zone) => [true, false].map((spot) => `box/${zone}/${spot}`))
		this.cloud = new FakeCloud(
			ports.clock,
			LAB_TYPES,
			new Map(offers.map((offer) => [offer, CAPACITY])),
			(id, type, zone, spot) => this.boot(id, type, zone, spot),
			(id) => this.release(id),
		)
	}

	/** Begins to serve; returns the ports of the state service and the cloud. */
	async serve(limits: Experiment['state']): Promise<{ state: number; cloud: number }> {
		this.stateServer = await serveState(this.state, limits)
		this.workerServer = await serveWorkers(this.workers)
		this.cloudServer = await serveCloud(this.cloud, CLOUD_RPS)
		return { state: this.stateServer.port, cloud: this.cloudServer.port }
	}

	/** Boots machines that no controller rented. */
	bootMachines(count: number): void {
		setTimeout(() => this.cloud.bootInitialMachines(count, LAB_TYPES[0], 'a'), MACHINES_UP_MS)
	}

	/** What the state service was sent so far. */
	stateLoad(): StateServer['seen'] {
		return { ...(this.stateServer?.seen ?? { requests: 0, refused: 0, changes: 0 }) }
	}

	/** Ends all machines and servers. */
	close(): void {
		for (const worker of this.workers.values()) worker.stopped = true
		this.stateServer?.close()
		this.cloudServer?.close()
		this.workerServer?.close()
	}

	private boot(id: string, type: MachineType, zone: string, spot: boolean): void {
		const host = workerHost(this.hosts.size)
		this.hosts.set(id, host)
		this.workers.set(host, new FakeWorker(this.workerPorts(host), id, type, zone, spot))
	}

	private release(id: string): string | null {
		const host = this.hosts.get(id)
		const worker = host === undefined ? undefined : this.workers.get(host)
		worker?.stop()
		return worker === undefined ? null : `box/${worker.zone}/${worker.spot}`
	}

	private workerPorts(host: string): FakeWorkerDependencies {
		const { clock, invariants, recorder, times, specs, controllerAddresses } = this.ports
		return {
			clock,
			invariants,
			heartbeatIntervalMs: times.reportS * 1000,
			leaseMs: times.leaseS * 1000,
			controllers: controllerAddresses().map((_, index) => `${NAME_PREFIX}${index}`),
			task: (task) => {
				const spec = specs.get(task.split('/')[0])
				if (spec === undefined) return null
				const runMs = spec.expectedS * clock.between(RUN_MS_PER_S.min, RUN_MS_PER_S.max)
				return { runMs, fetchMs: FETCH_MS, cpus: spec.cpus, fails: false }
			},
			send: (_machine, controller, path, body, reply) => {
				const to = controllerAddresses()[Number(controller.slice(NAME_PREFIX.length))]
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
