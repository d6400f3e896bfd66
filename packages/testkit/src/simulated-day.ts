/** Description of a simulated day: its jobs, its faults and the settings of the simulated service. */
import type { HistorySettings } from '@heathroad/config'
import type { JobSpec, MachineType } from '@heathroad/wire'
import type { DayJob } from './user-workload.js'

/** Kinds of faults on a simulated day; `fault-injection.ts` has one handler for each. */
export type FaultKind =
	| 'crash'
	| 'drain'
	| 'stateDown'
	| 'stateRejects'
	| 'watchLost'
	| 'lateWatch'
	| 'delayedTransactions'
	| 'duplicatedHeartbeats'
	| 'lostTransactionResponses'
	| 'heldHeartbeats'
	| 'duplicatedCommands'
	| 'duplicatedResponses'
	| 'machineInboundLoss'
	| 'machineOutboundLoss'
	| 'machinesHang'
	| 'slowNetwork'
	| 'cancelNow'
	| 'cancelAtCompletion'
	| 'closeLooks'
	| 'oddRequests'
	| 'finishedJobRequests'
	| 'delayedWorkerMessages'
	| 'slowState'
	| 'cloudDown'
	| 'cut'
	| 'machineDies'
	| 'machinesCut'
	| 'zoneCut'
	| 'machineFaulty'
	| 'spotNotice'
	| 'internalError'
	| 'freeze'
	| 'bootTimes'
	| 'pollStorm'

/** The other side of the network partition of a `cut` fault. */
export type PartitionTarget = 'state' | 'workers' | 'peers'

/** One fault of a simulated day. */
export interface Fault {
	/** when it begins, in seconds of virtual time */
	atS: number
	kind: FaultKind
	/** indexes of the affected controllers; for `zoneCut` those inside the zone; default: controller 0 */
	who?: readonly number[]
	/** what a `cut` partitions the controllers from; default: everything */
	from?: PartitionTarget | readonly PartitionTarget[]
	/** fraction of the affected transactions, heartbeats, machines or messages; default: half */
	share?: number
	/** the zone that `zoneCut` partitions from the rest */
	zone?: string
	/** duration in seconds; for `crash` and `drain` the time until the restart */
	forS?: number
	/** factor on boot times, polling rate or link latency */
	factor?: number
	/** number of jobs that `cancelNow` cancels */
	count?: number
	/** how long the machines of those jobs hang, in seconds */
	hangS?: number
}

/** Timing of heartbeats, agent leases and cancellations. */
export interface WorkerTimes {
	/** heartbeat interval, in seconds */
	heartbeatIntervalS: number
	/** duration of the agent lease, in seconds */
	leaseS: number
	/** how long tasks of a cancelled job may still run, in seconds */
	cancelS: number
}

/** Complete description of a simulated day: equal descriptions give equal runs. */
export interface SimulatedDay {
	/** seed of all random draws */
	seed: number
	/** end of the day, in seconds of virtual time */
	untilS: number
	jobs: readonly DayJob[]
	faults: readonly Fault[]
	/** users send requests only to controllers that a load balancer finds healthy; default: to any */
	balanced?: boolean
	/** probability that a message is lost, for requests and responses alike; also that a request is late */
	loss?: number
	/** when message loss ends, in seconds; default: at the end of the day */
	lossUntilS?: number
	/** limits of teams, in CPUs */
	limits?: ReadonlyMap<string, number>
	/** objectives: target in seconds for the queue wait of a class's tasks */
	waits?: ReadonlyMap<string, number>
	/** guarantees of teams, in CPUs; the teams named here exist beside `core` */
	guarantees?: ReadonlyMap<string, number>
	/** default: `DEFAULT_WORKER_TIMES` */
	workerTimes?: WorkerTimes
	/** number of controllers; default: three */
	controllers?: number
	/** machines of each kind (spot, on-demand) that the cloud has in each zone; default: four */
	capacity?: number
	/** the state service enforces its limits: 200 requests and 15 mutations per second */
	stateLimits?: boolean
	/** number of changes that the state service keeps for watches; default: all */
	watchLog?: number
	/** calls per second that the cloud accepts; default: 4 */
	cloudRps?: number
	/** the controllers' monotonic clocks drift apart by as much as the protocol allows */
	drift?: boolean
	/** machines that are up before the controllers start */
	up?: number
	/** archival of terminal jobs; null: none; default: batches that are small enough for a simulated day */
	history?: HistorySettings | null
}

/** Default number of controllers. */
export const DEFAULT_CONTROLLERS = 3

/** Default duration of a fault, in seconds. */
export const DEFAULT_FAULT_S = 5

/** Default timing of heartbeats, agent leases and cancellations. */
export const DEFAULT_WORKER_TIMES: WorkerTimes = { heartbeatIntervalS: 1, leaseS: 10, cancelS: 30 }

/** Archival in small batches: what takes hours in production happens within minutes of a simulated day. */
export const SMALL_HISTORY: HistorySettings = { archiveBatchSize: 10, writeRateShare: 0.5, pageCacheMb: 0.1 }

/** Limits of the state service, under the names of the controllers' settings. */
export const STATE_LIMITS = { rps: 200, write_rps: 15 }

/** The zones of the simulated cloud. */
export const ZONES = ['a', 'b']

/** The machine type of the simulated cloud. */
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
	zones: ZONES,
}

/** Returns a job array of ten tasks with one CPU each; `overrides` replaces fields. */
export const arrayJob = (uid: string, overrides: Partial<JobSpec> = {}): JobSpec => ({
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
	...overrides,
})
