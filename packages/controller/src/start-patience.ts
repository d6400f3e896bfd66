/** How long a job waits in the queue before other jobs have to make room for it. */
import type { JobRun } from './model.js'
import type { ShardState } from './state.js'

/** Share of the earliest start bound for which a job waits for room that becomes free by itself. */
const PATIENCE_SHARE_OF_START_BOUND = 0.25

/** Heartbeat periods that a job without start bounds waits: time for ended tasks to be reported. */
const PATIENCE_HEARTBEATS = 3

/** Age of a job, in seconds, from which machines are reserved or tasks are preempted for it. */
export const startPatienceS = (state: ShardState, job: JobRun): number =>
	job.startDeadlines.length > 0
		? Math.min(...job.startDeadlines) * PATIENCE_SHARE_OF_START_BOUND
		: (state.config.limits.heartbeatMs * PATIENCE_HEARTBEATS) / 1000
