/** The machines of a shard and the attempts on them. */
import type { ExitReason, JobSpec, MachineType, TaskState, WireInteger } from '@heathroad/wire'
import type { JobRun } from './job-run.js'

export { JobRun } from './job-run.js'
/** `planned`: chosen for a machine, nothing sent yet. `sent`: in a heartbeat's response, not reported back yet. */
export type AttemptState = 'planned' | 'sent' | TaskState

/** Resources that an attempt holds on its machine, and the team that they count for. */
export interface AttemptResources {
	cpus: number
	gpus: number
	ramGb: number
	team: string
}

/** One attempt to run a task on a machine. */
export interface Attempt {
	/** `taskName#attempt` */
	key: string
	taskName: string
	uid: string
	machine: Machine
	taskIndex: number
	attempt: WireInteger
	/** null: the job is not one of this shard's */
	job: JobRun | null
	state: AttemptState
	exitReason: ExitReason | null
	/** its end was taken into account */
	accountedFor: boolean
	/** must not be on its machine: killed as soon as it is seen */
	orphaned: boolean
	/** kill it with so many seconds to save; null: let it run */
	stopGracePeriodS: number | null
	/** when a heartbeat first reported it as pulling or running, steady time in ms */
	startedAt: number | null
	budgetShare: number
	resources: AttemptResources
}

/** Why a machine is drained. */
export type DrainReason =
	| 'faulty'
	| 'idle'
	| 'never came up'
	| 'packed'
	| 'silent'
	| 'spot notice'
	| 'unreachable after a takeover'

/** A machine of this shard. Times are steady time in ms. */
export interface Machine {
	id: string
	type: MachineType
	zone: string
	spot: boolean
	address: string | null
	fencingToken: number
	/** the machine group that it is recorded in */
	groupName: string
	/** its address is on record, so it may get start commands */
	addressRecorded: boolean
	/** a heartbeat under this owner's token was seen: what it does not list is not there */
	reconciled: boolean
	booted: boolean
	/** this owner has received a heartbeat from it; an answer to a probe is none */
	heartbeatReceived: boolean
	agentEpoch: WireInteger
	heartbeatSequence: WireInteger
	/** latest time at which any controller can have answered one of its heartbeats */
	lastHeartbeatAt: number
	/** when it was recorded as rented, as far as this controller knows; else when it was found in the records */
	discoveredAt: number
	/** by key */
	attempts: Map<string, Attempt>
	/** image -> size in GB, in the order of last use */
	cachedImages: Map<string, number>
	preemptionDeadline: number | null
	/** being drained: nothing new goes there */
	drainReason: DrainReason | null
	/** its return to the cloud has been requested */
	releasing: boolean
	/** an unconfirmed release is repeated then */
	retryReleaseAt: number
	idleSince: number | null
	cordonedUntil: number
	/** room is kept for this job: those behind it in the order get nothing here */
	reservedFor: JobRun | null
	/** failed attempts here since its last success, by job */
	failuresByJob: Map<JobRun, number>
	/** a probe is in progress */
	probing: boolean
	freeResources: { cpus: number; gpus: number; ramGb: number }
}

/** Grace period as a multiple of the time that a task needs to save. */
const GRACE_PERIOD_FACTOR = 1.5

/** Seconds that a stopped task gets to save: what it needs and half as much again; none if it cannot save. */
export const gracePeriodS = (spec: JobSpec): number =>
	spec.checkpointS > 0 ? spec.saveS * GRACE_PERIOD_FACTOR : 0
