/** The schema of a plug-in's manifest. */
import { Schema } from 'effect'
import { API } from './types.js'

const pluginName = Schema.String.check(
	Schema.isPattern(/^[a-z][a-z0-9-]{0,39}$/, {
		expected: 'a name of small letters, digits and dashes, at most 40',
	}),
)

/** Schema of an optional, non-empty list of names. */
const optionalNames = (expected: string) =>
	Schema.optional(
		Schema.Array(Schema.String.check(Schema.isPattern(/^[^\s]{1,120}$/, { expected }))).check(
			Schema.isMinLength(1, { expected: 'at least one' }),
		),
	)

export const Manifest = Schema.Struct({
	name: pluginName,
	version: Schema.String.check(
		Schema.isPattern(/^\d+\.\d+\.\d+(-[\w.]+)?$/, { expected: 'a version such as 1.2.0' }),
	),
	/** the API version that the plug-in was written for */
	api: Schema.Int.check(
		Schema.isBetween({ minimum: 1, maximum: API }, { expected: `a version of the API from 1 to ${API}` }),
	),
	/** file name of the module, in the folder of the manifest */
	main: Schema.String.check(
		Schema.isPattern(/^[\w-][\w.-]{0,99}\.m?js$/, { expected: 'the name of a .js file beside the manifest' }),
	),
	/** SHA-256 of the module's bytes */
	digest: Schema.String.check(
		Schema.isPattern(/^sha256-[0-9a-f]{64}$/, { expected: '"sha256-" and 64 hexadecimal digits' }),
	),
	/** hooks that the module exports */
	hooks: Schema.Array(Schema.Literals(['admit', 'release'])).check(
		Schema.isMinLength(1, { expected: 'at least one' }),
	),
	/** only jobs of these classes are checked; all if absent */
	classes: optionalNames('a class of jobs'),
	/** only jobs of these teams are checked; all if absent */
	teams: optionalNames('a team'),
	/** `job`: one call for each job; `class`: one call for all pending jobs of a class and team */
	ask: Schema.optional(Schema.Literals(['job', 'class'])),
	/** permissions that the operator must grant */
	needs: Schema.optional(Schema.Array(Schema.Literals(['node', 'team-jobs']))),
})

export type Manifest = Schema.Schema.Type<typeof Manifest>
