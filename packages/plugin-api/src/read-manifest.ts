/** Reads and validates a plug-in's manifest. */
import { Result, Schema, SchemaIssue } from 'effect'
import { Manifest } from './manifest-schema.js'
import { InvalidManifest } from './manifest-validation.js'

const decode = Schema.decodeUnknownResult(Manifest, { onExcessProperty: 'error' })
const formatIssues = SchemaIssue.makeFormatterStandardSchemaV1()

/** Parses a manifest from JSON and validates it; only the first error is reported. */
export const readManifest = (text: string): Manifest | InvalidManifest => {
	let value: unknown
	try {
		value = JSON.parse(text)
	} catch {
		return new InvalidManifest(null, 'is not JSON')
	}
	const decoded = decode(value)
	if (Result.isSuccess(decoded)) return decoded.success
	const [firstIssue] = formatIssues(decoded.failure.issue).issues
	const field = firstIssue.path?.map(String).join('.') ?? ''
	return new InvalidManifest(field === '' ? null : field, firstIssue.message)
}
