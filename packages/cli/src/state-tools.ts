/** The commands below `heathroad state`: check, export, import and compare the state. */

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

/** Exit codes: 0 no findings, 1 findings, differences or no answer, 2 a file or settings that cannot be used. */
const EXIT = { clean: 0, findings: 1, unusable: 2 } as const

/** Connections to one service. */
const CONNECTIONS = 2
/** Of a controller's share of the requests, what these tools use: controllers may run beside them. */
const RATE_SHARE = 0.5
/** Of the state service's rate of changes, what an import uses: nothing else runs on an empty state. */
const IMPORT_RATE_SHARE = 0.8
/** Of the controller lease, how long a request to the state service may take. */
const STATE_TIMEOUT_LEASES = 0.6
/** Of the controller lease, how long a call to the cloud may take. */
const CLOUD_TIMEOUT_LEASES = 2
/** Tries of one request: a minute of an outage, at a try a second. */
const TRIES = 60
/** Largest transaction of an import. */
const IMPORT_BYTES = 48 * 1024
/** Pause between two lists of machines, in lags of the list. */
const LIST_PAUSE_LAGS = 2

/** Runs a command and sets its exit code; an unusable file or service is printed in one line. */
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

/** Opens connections to the services of an installation. */
const connect = ({ settings, limits }: Config): Connection => {
	const httpClient = createHttpClient(CONNECTIONS)
	const timeoutMs = limits.controllerLeaseMs * STATE_TIMEOUT_LEASES
	const client = createStoreClient(httpClient, settings.services.state, timeoutMs, () => {})
	return { httpClient, client, limits: { requestsPerS: limits.readsPerS * RATE_SHARE, maxTries: TRIES } }
}

/** Opens connections for a command's work, and closes them at its end. */
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

/** Compares recorded machines with two lists of the cloud, some time apart. */
const compareWithCloud = async (
	{ settings, limits }: Config,
	httpClient: HttpClient,
	recorded: ReadonlyMap<string, string>,
): Promise<Finding[]> => {
	const lagS = settings.deployment.cloud.list_lag_s
	const request = {
		address: settings.services.cloud,
		callsPerS: limits.cloudCallsPerS * RATE_SHARE,
		timeoutMs: limits.controllerLeaseMs * CLOUD_TIMEOUT_LEASES,
	}
	const first = await run(listMachines(httpClient, request))
	await new Promise((done) => setTimeout(done, lagS * 1000 * LIST_PAUSE_LAGS))
	const second = await run(listMachines(httpClient, request))
	return compareMachines([first, second], recorded, lagS)
}

/** Reads the whole state and finds what is inconsistent; with `withCloud` compares the cloud's machines too. */
const inspect = async (
	config: Config,
	{ httpClient, client, limits }: Connection,
	withCloud: boolean,
): Promise<{ findings: Finding[]; keyCount: number }> => {
	const checker = new Checker(config.limits.controllerNames.length, await IdSet.create())
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
					checker.compareEntry(entry)
				}),
			),
		)
	const findings = [...checker.findings]
	if (withCloud) findings.push(...(await compareWithCloud(config, httpClient, checker.recordedMachines)))
	return { findings, keyCount: checker.keyCount }
}

/** Prints what is inconsistent in the state, a line each. */
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
				changesPerS: state.write_rps * IMPORT_RATE_SHARE,
				maxOperations: state.txn_ops,
				maxTransactionBytes: IMPORT_BYTES,
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
