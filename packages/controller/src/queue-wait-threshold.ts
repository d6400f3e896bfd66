/** How long a job waits in the queue before other jobs have to make room for it. */
import type { JobRun } from './model.js'
import type { ShardState } from './state.js'

/** Share of the earliest start deadline that a job waits for resources that other tasks free by finishing. */
const WAIT_SHARE_OF_START_DEADLINE = 0.25

/** Heartbeat intervals that a job without start deadlines waits: time for finished tasks to be reported. */
const WAIT_HEARTBEATS_WITHOUT_DEADLINE = 3

/** Age of a job, in seconds, from which machines are reserved or tasks are preempted for it. */
export const queueWaitThresholdS = (state: ShardState, job: JobRun): number =>
	job.startDeadlines.length > 0
		? Math.min(...job.startDeadlines) * WAIT_SHARE_OF_START_DEADLINE
		: (state.config.limits.heartbeatMs * WAIT_HEARTBEATS_WITHOUT_DEADLINE) / 1000
