import { Result, Schema, SchemaIssue } from 'effect'
import { isMap } from './codec.js'
import { JOB_ID_FORMAT, JOB_ID_PATTERN, type JobSpec, MAX_TASKS } from './jobs.js'

// What each must be is said in words: it reaches users.
const amount = Schema.Finite.check(Schema.isGreaterThanOrEqualTo(0, { expected: 'a number of 0 or more' }))
const name = Schema.String.check(
	Schema.isPattern(/^[^\s]{1,120}$/, { expected: 'a name of 1 to 120 characters without spaces' }),
)
/** What may be null may be left out (protocol); nothing else may. */
const orNull = <S extends Schema.Top>(what: S) => Schema.optional(Schema.NullOr(what))

const Submission = Schema.Struct({
	uid: Schema.String.check(Schema.isPattern(JOB_ID_PATTERN, { expected: JOB_ID_FORMAT })),
	jobclass: name,
	owner: name,
	shape: Schema.Literals(['sweep', 'daemon', 'gang']),
	urgency: Schema.Literals(['production', 'urgent', 'normal', 'idle']),
	pieces: Schema.Int.check(
		Schema.isBetween(
			{ minimum: 1, maximum: MAX_TASKS },
			{ expected: `a whole number from 1 to ${MAX_TASKS}` },
		),
	),
	cpus: amount,
	gpus: amount,
	ramGb: amount,
	bundle: name,
	imageGb: amount,
	flavours: orNull(Schema.Array(name)),
	site: orNull(name),
	samePlace: Schema.Boolean,
	apart: Schema.Boolean,
	reclaimable: Schema.Boolean,
	expectedS: amount,
	snapshotEveryS: amount,
	snapshotS: amount,
	dueS: orNull(amount),
})

const decodeSubmission = Schema.decodeUnknownResult(Submission)
const issuesOf = SchemaIssue.makeFormatterStandardSchemaV1()

/** Why a submission cannot be read: its field as the protocol names it, null for the whole, and what is wrong. */
export class InvalidSubmission {
	constructor(
		readonly field: string | null,
		readonly problem: string,
	) {}

	toString(): string {
		return this.field === null ? this.problem : `${this.field}: ${this.problem}`
	}
}

/** Reads a submission, or says why it is malformed. */
export const parseSubmission = (body: unknown): JobSpec | InvalidSubmission => {
	if (!isMap(body)) return new InvalidSubmission(null, 'the body is not a map')
	const read = decodeSubmission(body)
	if (Result.isFailure(read)) {
		const [first] = issuesOf(read.failure.issue).issues
		const field = first.path?.map(String).join('.') ?? ''
		return new InvalidSubmission(field === '' ? null : field, first.message)
	}
	const w = read.success
	return {
		uid: w.uid,
		jobClass: w.jobclass,
		team: w.owner,
		kind: w.shape,
		priority: w.urgency,
		tasks: w.pieces,
		cpus: w.cpus,
		gpus: w.gpus,
		ramGb: w.ramGb,
		types: w.flavours ?? null,
		zone: w.site ?? null,
		samePlace: w.samePlace,
		apart: w.apart,
		spot: w.reclaimable,
		image: w.bundle,
		imageGb: w.imageGb,
		expectedS: w.expectedS,
		checkpointS: w.snapshotEveryS,
		saveS: w.snapshotS,
		dueS: w.dueS ?? null,
	}
}
