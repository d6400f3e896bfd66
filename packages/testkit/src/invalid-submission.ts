/** Invalid submissions for tests of the controllers' validation. */
import { encodeSubmission, type JobSpec } from '@heathroad/wire'

/** More CPUs than any machine has. */
const TOO_MANY_CPUS = 1e6
/** Fields that may be null. */
const NULLABLE_FIELDS: readonly string[] = ['flavours', 'site', 'dueS']

/** What can be wrong with a submission; variants go through all fields with one defect before the next. */
const DEFECTS = ['invalid value', 'missing field', 'null field', 'fits no machine'] as const

/** Returns a value that the field rejects. `dueS` is the only nullable field that is a number. */
const invalidValue = (field: string, value: unknown): unknown => {
	if (field === 'uid') return `${value}x`
	if (field === 'dueS' || typeof value === 'number') return -1
	return typeof value === 'boolean' ? 'yes' : 5
}

/** Returns a submission with one defect, and the status of its rejection. `variant` selects the field and defect. */
export const invalidSubmission = (
	spec: JobSpec,
	variant: number,
): { body: Record<string, unknown>; expectedStatus: number } => {
	const body: Record<string, unknown> = encodeSubmission(spec)
	const fields = Object.keys(body)
	const field = fields[variant % fields.length]
	const defect = DEFECTS[Math.floor(variant / fields.length) % DEFECTS.length]
	if (defect === 'fits no machine') {
		body.cpus = TOO_MANY_CPUS
		return { body, expectedStatus: 422 }
	}
	if (defect === 'invalid value' || NULLABLE_FIELDS.includes(field))
		body[field] = invalidValue(field, body[field])
	else if (defect === 'missing field') delete body[field]
	else body[field] = null
	return { body, expectedStatus: 400 }
}
