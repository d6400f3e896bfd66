import { Result, Schema } from 'effect'
import { isMap } from './codec.js'

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

const amount = Schema.Finite.check(Schema.isGreaterThanOrEqualTo(0))
const name = Schema.String.check(Schema.isPattern(/^[^\s]{1,120}$/))
const flag = Schema.optional(Schema.NullOr(Schema.Boolean))

export const UID = /^job-\d{6,20}$/

const Submission = Schema.Struct({
	uid: Schema.String.check(Schema.isPattern(UID)),
	jobclass: name,
	owner: name,
	shape: Schema.Literals(['sweep', 'daemon', 'gang']),
	urgency: Schema.Literals(['production', 'urgent', 'normal', 'idle']),
	pieces: Schema.Int.check(Schema.isBetween({ minimum: 1, maximum: 100_000 })),
	cpus: amount,
	gpus: Schema.optional(Schema.NullOr(amount)),
	ramGb: amount,
	bundle: name,
	imageGb: amount,
	flavours: Schema.optional(Schema.NullOr(Schema.Array(name))),
	site: Schema.optional(Schema.NullOr(name)),
	samePlace: flag,
	apart: flag,
	reclaimable: flag,
	expectedS: amount,
	snapshotEveryS: Schema.optional(Schema.NullOr(amount)),
	snapshotS: Schema.optional(Schema.NullOr(amount)),
	dueS: Schema.optional(Schema.NullOr(amount)),
})

const decodeSubmission = Schema.decodeUnknownResult(Submission)

/** Reads a submission; a string is the reason why it is malformed. */
export const readSubmission = (body: unknown): JobSpec | string => {
	if (!isMap(body)) return 'the body is not a map'
	const read = decodeSubmission(body)
	if (Result.isFailure(read)) return String(read.failure.message ?? read.failure).replace(/\s+/g, ' ')
	const w = read.success
	return {
		uid: w.uid,
		jobClass: w.jobclass,
		team: w.owner,
		kind: w.shape,
		priority: w.urgency,
		tasks: w.pieces,
		cpus: w.cpus,
		gpus: w.gpus ?? 0,
		ramGb: w.ramGb,
		types: w.flavours ?? null,
		zone: w.site ?? null,
		samePlace: w.samePlace ?? false,
		apart: w.apart ?? false,
		spot: w.reclaimable ?? false,
		image: w.bundle,
		imageGb: w.imageGb,
		expectedS: w.expectedS,
		checkpointS: w.snapshotEveryS ?? 0,
		saveS: w.snapshotS ?? 0,
		dueS: w.dueS ?? null,
	}
}

/** The form in which clients send a job. */
export const writeSubmission = (job: JobSpec): Record<string, unknown> => ({
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

export interface JobAnswer {
	uid: string
	status: JobStatus
	done?: number
	running?: number
}
