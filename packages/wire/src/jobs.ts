/** Types of jobs inside the service; their string values are the same on the wire. */

/** Priority of a job. */
export type Priority = 'production' | 'urgent' | 'normal' | 'idle'

/** All priorities, lowest first. */
export const PRIORITIES: readonly Priority[] = ['idle', 'normal', 'urgent', 'production']

/**
 * `sweep`: a job array of independent tasks; `daemon`: a service of replicas that run until they are cancelled; `gang`:
 * all tasks run at the same time or none does (see docs/questions.md).
 */
export type JobKind = 'sweep' | 'daemon' | 'gang'

/** Status of a job in the HTTP protocol; `done` and `aborted` are terminal. */
export type JobStatus = 'pending' | 'running' | 'done' | 'aborted'

/** A job as it was submitted. Times are in seconds, sizes in GB. */
export interface JobSpec {
	uid: string
	jobClass: string
	team: string
	kind: JobKind
	priority: Priority
	/** number of tasks, or of a service's replicas */
	tasks: number
	/** resources of one task */
	cpus: number
	gpus: number
	ramGb: number
	/** machine types on which it may run; null: any */
	types: readonly string[] | null
	/** zone in which it must run; null: any */
	zone: string | null
	/** whether all tasks must run in one zone */
	samePlace: boolean
	/** whether at most half of the tasks, rounded up, may run in one zone */
	apart: boolean
	/** whether it may run on spot machines */
	spot: boolean
	image: string
	imageGb: number
	/** expected run time of a task */
	expectedS: number
	/** checkpoint interval; 0: no checkpoints */
	checkpointS: number
	/** time needed to save a checkpoint */
	saveS: number
	/** time after its submission by which the job should be finished; null: no deadline */
	dueS: number | null
}

/** Format of a job id (protocol). */
export const JOB_ID_PATTERN = /^job-\d{6,20}$/

/** The job id format in words, for error messages. */
export const JOB_ID_FORMAT = '"job-" followed by 6 to 20 digits'

/** Maximum number of tasks of one job (protocol). */
export const MAX_TASKS = 100_000

/** The response to a query for a job's status. */
export interface JobStatusResponse {
	uid: string
	status: JobStatus
	/** number of done tasks */
	done?: number
	/** number of running tasks */
	running?: number
}
