/** Description of a simulated day: its jobs, its faults and the settings of the simulated service. */
import type { HistorySettings } from '@heathroad/config'
import type { JobSpec, MachineType } from '@heathroad/wire'
import type { DayJob } from './user-workload.js'

/** What can go wrong on a simulated day; `fault-injection.ts` has one handler for each. */
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

/** Peers of a controller that a `cut` fault can separate it from. */
export type CutTarget = 'state' | 'workers' | 'peers'

/** One fault of a simulated day. */
export interface Fault {
	/** when it begins, in seconds of virtual time */
	atS: number
	kind: FaultKind
	/** indexes of the affected controllers; for `zoneCut` those inside the zone; controller 0 if not given */
	who?: readonly number[]
	/** what a `cut` separates the controllers from; everything if not given */
	from?: CutTarget | readonly CutTarget[]
	/** share of the transactions, heartbeats, machines or messages that are affected; half if not given */
	share?: number
	/** the zone that `zoneCut` separates from the rest */
	zone?: string
	/** duration in seconds; for `crash` and `drain` the time until the restart */
	forS?: number
	/** factor on boot times, polling rate or link latency */
	factor?: number
	/** how many jobs `cancelNow` cancels */
	count?: number
	/** for how many seconds the machines of those jobs hang */
	hangS?: number
}

/** Timing of heartbeats and leases, in seconds. */
export interface WorkerTimes {
	/** interval of heartbeats */
	reportS: number
	/** duration of the agent lease */
	leaseS: number
	/** how long tasks of a cancelled job may still run */
	cancelS: number
}

/** Everything that a simulated day follows from. */
export interface SimulatedDay {
	/** seed of all random draws */
	seed: number
	/** end of the day, in seconds of virtual time */
	untilS: number
	jobs: readonly DayJob[]
	faults: readonly Fault[]
	/** users ask the controllers that a load balancer finds healthy, instead of any */
	balanced?: boolean
	/** share of messages lost on their way there or back, or delivered late */
	loss?: number
	/** when message loss ends, in seconds; it lasts all day if not given */
	lossUntilS?: number
	/** limits of teams, in CPUs */
	limits?: ReadonlyMap<string, number>
	/** objectives: within how many seconds the tasks of a class should start */
	waits?: ReadonlyMap<string, number>
	/** guarantees of teams, in CPUs; a team named here exists */
	guarantees?: ReadonlyMap<string, number>
	report?: WorkerTimes
	/** number of controllers; three if not given */
	controllers?: number
	/** machines of each kind in each zone that the cloud has; four if not given */
	capacity?: number
	/** the state service enforces its limits: 200 requests and 15 mutations a second */
	stateLimits?: boolean
	/** changes that the state service keeps for watches; all of them if not given */
	watchLog?: number
	/** calls a second that the cloud accepts; 4 if not given */
	cloudRps?: number
	/** the controllers' monotonic clocks drift apart by as much as the protocol allows */
	drift?: boolean
	/** machines that are up before the controllers start */
	up?: number
	/** archiving of terminal jobs; null: none; if not given, in batches small enough for a day */
	history?: HistorySettings | null
}

/** Number of controllers of a day that does not name one. */
export const DEFAULT_CONTROLLERS = 3

/** Duration of a fault that does not name one, in seconds. */
export const DEFAULT_FAULT_S = 5

/** Heartbeat and lease timing of a day that does not name any. */
export const DEFAULT_WORKER_TIMES: WorkerTimes = { reportS: 1, leaseS: 10, cancelS: 30 }

/** Small batches, so that what takes hours in production happens within minutes of a simulated day. */
export const SMALL_HISTORY: HistorySettings = { archiveBatchSize: 10, writeRateShare: 0.5, pageCacheMb: 0.1 }

/** Limits of the state service, as the controllers' settings name them. */
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

/** A job array with ten tasks of one CPU; `overrides` replaces single fields. */
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
