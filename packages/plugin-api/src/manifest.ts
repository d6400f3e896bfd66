import { Result, Schema, SchemaIssue } from 'effect'
import { BadManifest } from './fit.js'
import { API } from './types.js'

const word = /^[a-z][a-z0-9-]{0,39}$/
const name = Schema.String.check(
	Schema.isPattern(word, { expected: 'a name of small letters, digits and dashes, at most 40' }),
)
const some = (expected: string) =>
	Schema.optional(
		Schema.Array(Schema.String.check(Schema.isPattern(/^[^\s]{1,120}$/, { expected }))).check(
			Schema.isMinLength(1, { expected: 'at least one' }),
		),
	)

const Manifest = Schema.Struct({
	name,
	version: Schema.String.check(
		Schema.isPattern(/^\d+\.\d+\.\d+(-[\w.]+)?$/, { expected: 'a version such as 1.2.0' }),
	),
	api: Schema.Int.check(
		Schema.isBetween({ minimum: 1, maximum: API }, { expected: `a version of the API from 1 to ${API}` }),
	),
	/** the module, a file beside the manifest */
	main: Schema.String.check(
		Schema.isPattern(/^[\w-][\w.-]{0,99}\.m?js$/, { expected: 'the name of a .js file beside the manifest' }),
	),
	/** of the module's bytes */
	digest: Schema.String.check(
		Schema.isPattern(/^sha256-[0-9a-f]{64}$/, { expected: '"sha256-" and 64 hexadecimal digits' }),
	),
	hooks: Schema.Array(Schema.Literals(['admit', 'release'])).check(
		Schema.isMinLength(1, { expected: 'at least one' }),
	),
	/** asked only about jobs of these classes, or of any */
	classes: some('a class of jobs'),
	/** and of these teams, or of any */
	teams: some('a team'),
	/** one question for each job, or one for all that wait of a class and team */
	ask: Schema.optional(Schema.Literals(['job', 'class'])),
	/** what it cannot do without; each must be granted by the operator */
	needs: Schema.optional(Schema.Array(Schema.Literals(['node', 'team-jobs']))),
})

export type Manifest = Schema.Schema.Type<typeof Manifest>

const decode = Schema.decodeUnknownResult(Manifest, { onExcessProperty: 'error' })
const issuesOf = SchemaIssue.makeFormatterStandardSchemaV1()

export const readManifest = (text: string): Manifest | BadManifest => {
	let value: unknown
	try {
		value = JSON.parse(text)
	} catch {
		return new BadManifest(null, 'is not JSON')
	}
	const read = decode(value)
	if (Result.isSuccess(read)) return read.success
	const [first] = issuesOf(read.failure.issue).issues
	const field = first.path?.map(String).join('.') ?? ''
	return new BadManifest(field === '' ? null : field, first.message)
}
