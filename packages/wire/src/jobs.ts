/** Jobs as the service knows them, with the values that their wire form shares. */

/** Priority of a job. */
export type Priority = 'production' | 'urgent' | 'normal' | 'idle'

/** All priorities, the lowest first. */
export const PRIORITIES: readonly Priority[] = ['idle', 'normal', 'urgent', 'production']

/**
 * `sweep`: a job array of independent tasks; `daemon`: a service of replicas that run until they are cancelled; `gang`:
 * all tasks run at the same time or none does (see docs/questions.md).
 */
export type JobKind = 'sweep' | 'daemon' | 'gang'

/** Status of a job as users see it; `done` and `aborted` are terminal. */
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
	/** machine types that may run it; null: any */
	types: readonly string[] | null
	/** zone in which it has to run; null: any */
	zone: string | null
	/** all tasks run in one zone */
	samePlace: boolean
	/** at most half of the tasks, rounded up, run in one zone */
	apart: boolean
	/** it may run on spot machines */
	spot: boolean
	image: string
	imageGb: number
	/** expected run time of a task */
	expectedS: number
	/** interval of checkpoints; 0: none are saved */
	checkpointS: number
	/** time that saving a checkpoint takes */
	saveS: number
	/** time after submission by which the job should be finished; null: no deadline */
	dueS: number | null
}

/** The form of a job's id (protocol). */
export const JOB_ID_PATTERN = /^job-\d{6,20}$/

/** The form in words, for error messages. */
export const JOB_ID_FORMAT = '"job-" followed by 6 to 20 digits'

/** Most tasks of one job (protocol). */
export const MAX_TASKS = 100_000

/** The response to a question for a job's status. */
export interface JobStatusResponse {
	uid: string
	status: JobStatus
	/** tasks that are done */
	done?: number
	/** tasks that are running */
	running?: number
}
