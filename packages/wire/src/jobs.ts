export type Priority = 'production' | 'urgent' | 'normal' | 'idle'
export const PRIORITIES: readonly Priority[] = ['idle', 'normal', 'urgent', 'production']
/** `gang`: all tasks run at the same time or none does (see docs/questions.md). */
export type JobKind = 'sweep' | 'daemon' | 'gang'
export type JobStatus = 'pending' | 'running' | 'done' | 'aborted'

/** A job as the service speaks of it; the wire's own names end in this file. */
export interface JobSpec {
	uid: string
	jobClass: string
	team: string
	kind: JobKind
	priority: Priority
	tasks: number
	cpus: number
	gpus: number
	ramGb: number
	types: readonly string[] | null
	zone: string | null
	samePlace: boolean
	apart: boolean
	spot: boolean
	image: string
	imageGb: number
	expectedS: number
	checkpointS: number
	saveS: number
	dueS: number | null
}

/** The form of a job's id (protocol). */
export const JOB_ID_PATTERN = /^job-\d{6,20}$/
export const JOB_ID_FORMAT = '"job-" followed by 6 to 20 digits'
export const MAX_TASKS = 100_000

/** The form in which clients send a job. */
export const encodeSubmission = (job: JobSpec): Record<string, unknown> => ({
	uid: job.uid,
	jobclass: job.jobClass,
	owner: job.team,
	shape: job.kind,
	urgency: job.priority,
	pieces: job.tasks,
	cpus: job.cpus,
	gpus: job.gpus,
	ramGb: job.ramGb,
	flavours: job.types,
	site: job.zone,
	samePlace: job.samePlace,
	apart: job.apart,
	reclaimable: job.spot,
	bundle: job.image,
	imageGb: job.imageGb,
	expectedS: job.expectedS,
	snapshotEveryS: job.checkpointS,
	snapshotS: job.saveS,
	dueS: job.dueS,
})

export interface JobStatusResponse {
	uid: string
	status: JobStatus
	done?: number
	running?: number
}
