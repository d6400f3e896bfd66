/** Submissions that a controller has to reject. */
import { encodeSubmission, type JobSpec } from '@heathroad/wire'

/** CPUs that no machine has. */
const TOO_MANY_CPUS = 1e6
/** Fields that may be null. */
const NULLABLE_FIELDS: readonly string[] = ['flavours', 'site', 'dueS']

/** What is wrong with a submission, in the order in which the ways take turns. */
const WAYS = ['invalid value', 'missing field', 'null field', 'fits no machine'] as const

/** A value that a field must not have; of the fields that may be null only one is a number. */
const invalidValue = (field: string, value: unknown): unknown => {
	if (field === 'uid') return `${value}x`
	if (field === 'dueS' || typeof value === 'number') return -1
	return typeof value === 'boolean' ? 'yes' : 5
}

/** A submission with one fault, and the status that it has to be rejected with. `turn` selects the field and the fault. */
export const oddSubmission = (
	spec: JobSpec,
	turn: number,
): { body: Record<string, unknown>; expectedStatus: number } => {
	const body: Record<string, unknown> = encodeSubmission(spec)
	const fields = Object.keys(body)
	const field = fields[turn % fields.length]
	const way = WAYS[Math.floor(turn / fields.length) % WAYS.length]
	if (way === 'fits no machine') {
		body.cpus = TOO_MANY_CPUS
		return { body, expectedStatus: 422 }
	}
	if (way === 'invalid value' || NULLABLE_FIELDS.includes(field))
		body[field] = invalidValue(field, body[field])
	else if (way === 'missing field') delete body[field]
	else body[field] = null
	return { body, expectedStatus: 400 }
}
