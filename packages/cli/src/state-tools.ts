/** Implements the subcommands of `heathroad state`: check, export, import and compare the state. */

import type { Config } from '@heathroad/config'
import {
	Checker,
	compareMachines,
	diffStates,
	exportState,
	type Finding,
	IdSet,
	InvalidSnapshot,
	importState,
	listMachines,
	openSnapshot,
	ServiceUnavailable,
	type WalkLimits,
	walk,
} from '@heathroad/inspect'
import { createStoreClient, type StoreClient } from '@heathroad/store'
import { type ClosableHttpClient, createHttpClient, type HttpClient } from '@heathroad/wire'
import { Effect } from 'effect'
import { printError, printLine } from './output.js'

/** Exit codes: 0: no findings; 1: findings, differences or no answer; 2: unusable file or settings. */
const EXIT = { clean: 0, findings: 1, unusable: 2 } as const

/** Number of connections to one service. */
const CONNECTIONS = 2
/** Fraction of one controller's request rates that these tools use, since controllers may run at the same time. */
const READ_RATE_FRACTION = 0.5
/** Fraction of the state service's write rate that an import uses; on an empty state nothing else runs. */
const IMPORT_WRITE_RATE_FRACTION = 0.8
/** Timeout of a request to the state service, in controller leases. */
const STATE_TIMEOUT_LEASES = 0.6
/** Timeout of a call to the cloud, in controller leases. */
const CLOUD_TIMEOUT_LEASES = 2
/** Maximum number of tries of one request: at one try per second they outlast an outage of a minute. */
const MAX_TRIES = 60
/** Maximum size of an import's transaction, in bytes. */
const MAX_IMPORT_TRANSACTION_BYTES = 48 * 1024
/** Interval between two lists of machines, as a multiple of the list's maximum lag. */
const LIST_INTERVAL_LAGS = 2

/** Runs a command and sets the exit code; an unusable file or service is reported in one line. */
const runCommand = async (command: () => Promise<number>): Promise<void> => {
	try {
		process.exitCode = await command()
	} catch (error) {
		if (!(error instanceof InvalidSnapshot || error instanceof ServiceUnavailable)) throw error
		printError(error.message)
		process.exitCode = error instanceof InvalidSnapshot ? EXIT.unusable : EXIT.findings
	}
}

interface Connection {
	httpClient: ClosableHttpClient
	client: StoreClient
	limits: WalkLimits
}

/** Creates the clients for the services of an installation. */
const connect = ({ settings, limits }: Config): Connection => {
	const httpClient = createHttpClient(CONNECTIONS)
	const timeoutMs = limits.controllerLeaseMs * STATE_TIMEOUT_LEASES
	const client = createStoreClient(httpClient, settings.services.state, timeoutMs, () => {})
	return {
		httpClient,
		client,
		limits: { requestsPerS: limits.readsPerS * READ_RATE_FRACTION, maxTries: MAX_TRIES },
	}
}

/** Runs `work` with a new connection, and closes the connection afterwards. */
const withConnection = async <A>(
	config: Config,
	work: (connection: Connection) => Promise<A>,
): Promise<A> => {
	const connection = connect(config)
	try {
		return await work(connection)
	} finally {
		connection.httpClient.close()
	}
}

const run = <A>(effect: Effect.Effect<A, ServiceUnavailable>): Promise<A> => Effect.runPromise(effect)

/** Compares recorded machines with two of the cloud's lists, taken some time apart. */
const compareWithCloud = async (
	{ settings, limits }: Config,
	httpClient: HttpClient,
	recorded: ReadonlyMap<string, string>,
): Promise<Finding[]> => {
	const lagS = settings.deployment.cloud.list_lag_s
	const request = {
		address: settings.services.cloud,
		callsPerS: limits.cloudCallsPerS * READ_RATE_FRACTION,
		timeoutMs: limits.controllerLeaseMs * CLOUD_TIMEOUT_LEASES,
	}
	const first = await run(listMachines(httpClient, request))
	await new Promise((done) => setTimeout(done, lagS * 1000 * LIST_INTERVAL_LAGS))
	const second = await run(listMachines(httpClient, request))
	return compareMachines([first, second], recorded, lagS)
}

/** Reads the whole state and returns inconsistencies; `withCloud`: also compares it with the cloud's machines. */
const inspect = async (
	config: Config,
	{ httpClient, client, limits }: Connection,
	withCloud: boolean,
): Promise<{ findings: Finding[]; keyCount: number }> => {
	const checker = new Checker(config.limits.controllerNames.length, await IdSet.make())
	await run(
		walk(client, limits, (entries) =>
			entries.forEach((entry) => {
				checker.checkEntry(entry)
			}),
		),
	)
	checker.finish()
	if (checker.needsSecondWalk)
		await run(
			walk(client, limits, (entries) =>
				entries.forEach((entry) => {
					checker.secondEntry(entry)
				}),
			),
		)
	const findings = [...checker.findings]
	if (withCloud) findings.push(...(await compareWithCloud(config, httpClient, checker.recordedMachines)))
	return { findings, keyCount: checker.keyCount }
}

/** Prints the inconsistencies in the state, one per line. */
export const check = (config: Config, { withCloud }: { withCloud: boolean }): Promise<void> =>
	runCommand(async () => {
		const { findings, keyCount } = await withConnection(config, (connection) =>
			inspect(config, connection, withCloud),
		)
		for (const { key, what } of findings) printLine(`${key}: ${what}`)
		process.stderr.write(`${keyCount} keys, ${findings.length} findings\n`)
		return findings.length > 0 ? EXIT.findings : EXIT.clean
	})

/** Writes the state to a snapshot file. */
export const save = (config: Config, file: string): Promise<void> =>
	runCommand(async () => {
		const { revision, keys } = await withConnection(config, ({ client, limits }) =>
			run(exportState(client, file, limits)),
		)
		printLine(`${file}: ${keys} keys as of epoch ${revision}`)
		return EXIT.clean
	})

/** Writes a snapshot file into an empty state service. */
export const restore = (config: Config, file: string): Promise<void> =>
	runCommand(async () => {
		const snapshot = await openSnapshot(file)
		const { state } = config.settings.deployment
		const { keys } = await withConnection(config, ({ client, limits }) =>
			importState(client, snapshot, {
				...limits,
				changesPerS: state.write_rps * IMPORT_WRITE_RATE_FRACTION,
				maxOperations: state.txn_ops,
				maxTransactionBytes: MAX_IMPORT_TRANSACTION_BYTES,
			}),
		)
		printLine(`${file}: ${keys} keys restored`)
		return EXIT.clean
	})

/** Prints the keys in which two snapshot files differ. */
export const compare = (before: string, after: string): Promise<void> =>
	runCommand(async () => {
		const lines = await diffStates(await openSnapshot(before), await openSnapshot(after))
		for (const line of lines) printLine(line)
		return lines.length > 0 ? EXIT.findings : EXIT.clean
	})
