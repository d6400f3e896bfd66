/** Schema of the platform's settings: the JSON file with which every controller is started. */
import { Result, Schema } from 'effect'
import { ADDRESS_FORMAT, ADDRESS_PATTERN } from './address.js'
import { ConfigError } from './config-error.js'

// The texts in `expected` are part of error messages shown to operators.
const positiveNumber = Schema.Finite.check(Schema.isGreaterThan(0, { expected: 'a number above 0' }))
const nonNegativeNumber = Schema.Finite.check(
	Schema.isGreaterThanOrEqualTo(0, { expected: 'a number of 0 or more' }),
)
const address = Schema.String.check(Schema.isPattern(ADDRESS_PATTERN, { expected: ADDRESS_FORMAT }))
const name = Schema.NonEmptyString

const Member = Schema.Struct({ host_name: name, site: name, peer_addr: address })

const Team = Schema.Struct({
	name,
	cpus: nonNegativeNumber,
	cpus_max: nonNegativeNumber,
	gpus: nonNegativeNumber,
	gpus_max: nonNegativeNumber,
})

const Objective = Schema.Struct({
	kind: name,
	class: Schema.optional(Schema.NullOr(name)),
	within_s: Schema.optional(Schema.NullOr(nonNegativeNumber)),
	times: Schema.optional(Schema.NullOr(nonNegativeNumber)),
})

const Deployment = Schema.Struct({
	zones: Schema.Array(name),
	teams: Schema.Array(Team),
	objectives: Schema.optional(Schema.Array(Objective)),
	workers: Schema.Struct({
		report_s: positiveNumber,
		lease_s: positiveNumber,
		cancel_s: positiveNumber,
	}),
	state: Schema.Struct({
		rps: positiveNumber,
		write_rps: positiveNumber,
		value_kb: positiveNumber,
		txn_ops: Schema.Int.check(Schema.isGreaterThan(0)),
	}),
	cloud: Schema.Struct({ rps: positiveNumber, list_lag_s: nonNegativeNumber }),
	resources: Schema.Struct({ cpu: positiveNumber, memory_mb: positiveNumber, fd_limit: positiveNumber }),
})

const Settings = Schema.Struct({
	host_name: name,
	site: name,
	bind: address,
	internal_addr: address,
	members: Schema.Array(Member),
	services: Schema.Struct({ cloud: address, state: address }),
	deployment: Deployment,
})

/** The platform's settings, with their names in the JSON file. */
export type Settings = Schema.Schema.Type<typeof Settings>

const decodeSettings = Schema.decodeUnknownResult(Settings)

/** Formats a schema error, whose text ends with `at ["path"]["of"]["field"]`, as a line `path.of.field: problem`. */
const describeSchemaError = (error: { message?: unknown }): string => {
	const text = String(error.message ?? error).replace(/\s+/g, ' ')
	const location = /at (\[.*\])\s*$/.exec(text)
	const field = location ? location[1].replace(/\]\[/g, '.').replace(/[[\]"]/g, '') : 'settings'
	return `${field}: ${text.replace(/ at \[.*$/, '')}`
}

/** Host names of all controllers of the deployment; this controller's is the first. */
export const controllerHostNames = (settings: Settings): string[] => [
	settings.host_name,
	...settings.members.map((member) => member.host_name),
]

/** Checks decoded JSON against the schema and across fields; throws a `ConfigError` that names the field. */
export const parseSettings = (value: unknown): Settings => {
	const decoded = decodeSettings(value)
	if (Result.isFailure(decoded)) throw new ConfigError(describeSchemaError(decoded.failure))
	const settings = decoded.success
	const hostNames = controllerHostNames(settings)
	if (new Set(hostNames).size !== hostNames.length)
		throw new ConfigError('members: two members share a host_name')
	const { cancel_s, lease_s } = settings.deployment.workers
	if (cancel_s <= lease_s) throw new ConfigError('deployment.workers.cancel_s: must be longer than lease_s')
	return settings
}

/** Characters of a value that are reserved for the encoding around the data. */
const VALUE_OVERHEAD_CHARS = 200

/** Maximum size of the data in one value of the state service, in characters of JSON. */
export const maxValueChars = (settings: Settings): number =>
	settings.deployment.state.value_kb * 1024 - VALUE_OVERHEAD_CHARS
