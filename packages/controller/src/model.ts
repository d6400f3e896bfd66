/** Data model of a shard's machines and the attempts on them. */
import type { ExitReason, JobSpec, MachineType, TaskState, WireInteger } from '@heathroad/wire'
import type { JobRun } from './job-run.js'

export { JobRun } from './job-run.js'
/** `planned`: placed, start command not sent yet. `sent`: start command sent, attempt not in a heartbeat yet. */
export type AttemptState = 'planned' | 'sent' | TaskState

/** Resources that an attempt holds on its machine, and the team whose usage they count towards. */
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
	/** null: the job does not belong to this shard */
	job: JobRun | null
	state: AttemptState
	exitReason: ExitReason | null
	/** its exit has been processed */
	exitProcessed: boolean
	/** must not be on its machine: killed when a heartbeat lists it */
	orphaned: boolean
	/** seconds that it is given to save when it is killed; null: not to be killed */
	stopGracePeriodS: number | null
	/** when a heartbeat first reported it as pulling or running, monotonic time in ms */
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

/** A machine of this shard. Times are monotonic, in ms. */
export interface Machine {
	id: string
	type: MachineType
	zone: string
	spot: boolean
	address: string | null
	fencingToken: number
	/** the machine group whose record lists it */
	groupName: string
	/** its address is in its group's record, so it may receive start commands */
	addressRecorded: boolean
	/** it has sent a heartbeat with this owner's token: tasks not listed there are not on it */
	reconciled: boolean
	booted: boolean
	/** this owner has received a heartbeat from it; a response to a probe does not count */
	heartbeatReceived: boolean
	agentEpoch: WireInteger
	heartbeatSequence: WireInteger
	/** latest time at which any controller can have responded to one of its heartbeats */
	lastHeartbeatAt: number
	/** when it was recorded as rented, if this controller knows; otherwise when it was read from the records */
	discoveredAt: number
	/** by attempt key */
	attempts: Map<string, Attempt>
	/** image -> size in GB, least recently used first */
	cachedImages: Map<string, number>
	preemptionDeadline: number | null
	/** why it is being drained and gets no new tasks; null: it is not */
	drainReason: DrainReason | null
	/** its release to the cloud has been requested */
	releasing: boolean
	/** when an unconfirmed release is retried */
	retryReleaseAt: number
	idleSince: number | null
	cordonedUntil: number
	/** reserved for this job: jobs after it in the queue get no resources here */
	reservedFor: JobRun | null
	/** failed attempts here since its last success, by job */
	failuresByJob: Map<JobRun, number>
	/** a probe request is in flight */
	probing: boolean
	freeResources: { cpus: number; gpus: number; ramGb: number }
}

/** Grace period as a multiple of the time that a task needs to save. */
const GRACE_PERIOD_FACTOR = 1.5

/** Seconds that a stopped task is given to save: its save time times `GRACE_PERIOD_FACTOR`; 0 if it cannot save. */
export const gracePeriodS = (spec: JobSpec): number =>
	spec.checkpointS > 0 ? spec.saveS * GRACE_PERIOD_FACTOR : 0
