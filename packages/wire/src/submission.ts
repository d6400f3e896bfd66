/** Server side of a job submission (`POST /v2/runs`): its schema, in the protocol's field names, and its errors. */
import { Result, Schema, SchemaIssue } from 'effect'
import { isMap } from './codec.js'
import { JOB_ID_FORMAT, JOB_ID_PATTERN, type JobSpec, MAX_TASKS } from './jobs.js'

// The `expected` texts are part of the error messages that users read.
const nonNegativeNumber = Schema.Finite.check(
	Schema.isGreaterThanOrEqualTo(0, { expected: 'a number of 0 or more' }),
)
const name = Schema.String.check(
	Schema.isPattern(/^[^\s]{1,120}$/, { expected: 'a name of 1 to 120 characters without spaces' }),
)
/** An optional field: it may be null or absent (protocol). All other fields must be present and not null. */
const orNull = <S extends Schema.Top>(schema: S) => Schema.optional(Schema.NullOr(schema))

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
	cpus: nonNegativeNumber,
	gpus: nonNegativeNumber,
	ramGb: nonNegativeNumber,
	bundle: name,
	imageGb: nonNegativeNumber,
	flavours: orNull(Schema.Array(name)),
	site: orNull(name),
	samePlace: Schema.Boolean,
	apart: Schema.Boolean,
	reclaimable: Schema.Boolean,
	expectedS: nonNegativeNumber,
	snapshotEveryS: nonNegativeNumber,
	snapshotS: nonNegativeNumber,
	dueS: orNull(nonNegativeNumber),
})

const decodeSubmission = Schema.decodeUnknownResult(Submission)
const formatIssues = SchemaIssue.makeFormatterStandardSchemaV1()

/** Why a submission is malformed: the field's name in the protocol (null: the whole body), and the problem. */
export class InvalidSubmission {
	constructor(
		readonly field: string | null,
		readonly problem: string,
	) {}

	/** The message for the user. */
	toString(): string {
		return this.field === null ? this.problem : `${this.field}: ${this.problem}`
	}
}

/** Converts a decoded submission from the protocol's field names. */
const toJobSpec = (message: Schema.Schema.Type<typeof Submission>): JobSpec => ({
	uid: message.uid,
	jobClass: message.jobclass,
	team: message.owner,
	kind: message.shape,
	priority: message.urgency,
	tasks: message.pieces,
	cpus: message.cpus,
	gpus: message.gpus,
	ramGb: message.ramGb,
	types: message.flavours ?? null,
	zone: message.site ?? null,
	samePlace: message.samePlace,
	apart: message.apart,
	spot: message.reclaimable,
	image: message.bundle,
	imageGb: message.imageGb,
	expectedS: message.expectedS,
	checkpointS: message.snapshotEveryS,
	saveS: message.snapshotS,
	dueS: message.dueS ?? null,
})

/** Parses a submission, or returns why it is malformed. */
export const parseSubmission = (body: unknown): JobSpec | InvalidSubmission => {
	if (!isMap(body)) return new InvalidSubmission(null, 'the body is not a map')
	const decoded = decodeSubmission(body)
	if (Result.isFailure(decoded)) {
		const [first] = formatIssues(decoded.failure.issue).issues
		const field = first.path?.map(String).join('.') ?? ''
		return new InvalidSubmission(field === '' ? null : field, first.message)
	}
	return toJobSpec(decoded.success)
}
