/** Implements the commands for operators: calls running controllers, and checks a plug-in's folder. */

import { readManifest } from '@heathroad/plugin-api'
import { type PluginInfo, scanFolder } from '@heathroad/plugins'
import { createHttpClient, type HttpClient, isMap } from '@heathroad/wire'
import { Effect } from 'effect'
import { EXIT, printError, printLine } from './output.js'

/** Internal addresses of the controllers that a command calls, and the output format. */
export interface AdminTarget {
	addresses: readonly string[]
	json: boolean
}

type Body = Record<string, unknown>

type AdminAnswer = { kind: 'ok'; body: Body } | { kind: 'failed'; reason: string }

/** Timeout of a request to a controller, in ms. */
const ANSWER_TIMEOUT_MS = 10_000
/** One connection suffices, since controllers are called one after the other. */
const CONNECTIONS = 1
/** Lowest HTTP status that counts as a failure. */
const FIRST_FAILURE_STATUS = 300

const call = async (
	httpClient: HttpClient,
	address: string,
	path: string,
	requestBody: unknown,
): Promise<AdminAnswer> =>
	Effect.runPromise(
		httpClient.request(address, 'POST', path, requestBody, ANSWER_TIMEOUT_MS).pipe(
			Effect.match({
				onFailure: (failure): AdminAnswer => ({ kind: 'failed', reason: failure.reason }),
				onSuccess: ({ status, body }): AdminAnswer => {
					if (status < FIRST_FAILURE_STATUS) return { kind: 'ok', body: isMap(body) ? body : {} }
					return { kind: 'failed', reason: String(isMap(body) ? body.error : status) }
				},
			}),
		),
	)

/** Calls each controller in turn. A failure is printed and sets the exit code; the others are still called. */
const callEach = async (
	target: AdminTarget,
	path: string,
	requestBody: unknown,
	onAnswer: (address: string, body: Body) => void,
): Promise<void> => {
	const httpClient = createHttpClient(CONNECTIONS)
	try {
		for (const address of target.addresses) {
			const answer = await call(httpClient, address, path, requestBody)
			if (answer.kind === 'ok') {
				onAnswer(address, answer.body)
				continue
			}
			printError(`${address}: ${answer.reason}`)
			process.exitCode = EXIT.refused
		}
	} finally {
		httpClient.close()
	}
}

const COLUMNS = [
	'name',
	'version',
	'condition',
	'queued',
	'asked',
	'answered',
	'unsure',
	'upgrades',
	'rollbacks',
] as const

/** Formats plug-ins as a table: a header, and one line per plug-in. */
export const formatTable = (plugins: readonly PluginInfo[]): string[] => {
	const rows = [
		COLUMNS.map(String),
		...plugins.map((plugin) => COLUMNS.map((column) => String(plugin[column] ?? '-'))),
	]
	const widths = COLUMNS.map((_, index) => Math.max(...rows.map((row) => row[index].length)))
	return rows.map((row) =>
		row
			.map((cell, index) => cell.padEnd(widths[index]))
			.join('  ')
			.trimEnd(),
	)
}

const printPlugins = (target: AdminTarget, address: string, body: Body): void => {
	const plugins = (body.plugins ?? []) as PluginInfo[]
	if (target.json) {
		printLine(JSON.stringify({ controller: address, plugins }))
		return
	}
	if (plugins.length === 0) {
		printLine(`${address}: no plug-ins`)
		return
	}
	printLine(`${address}:`)
	for (const line of formatTable(plugins)) printLine(line)
}

/** Prints the plug-ins of each controller. */
export const list = (target: AdminTarget): Promise<void> =>
	callEach(target, '/admin/plugins', {}, (address, body) => printPlugins(target, address, body))

/** Disables a plug-in on each controller, and prints the plug-ins. */
export const disable = (target: AdminTarget, name: string): Promise<void> =>
	callEach(target, '/admin/disable', { name }, (address, body) => printPlugins(target, address, body))

/** Enables a plug-in on each controller, and prints the plug-ins. */
export const enable = (target: AdminTarget, name: string): Promise<void> =>
	callEach(target, '/admin/enable', { name }, (address, body) => printPlugins(target, address, body))

/** Makes each controller reload its settings, and prints what it could not apply. */
export const reload = (target: AdminTarget): Promise<void> =>
	callEach(target, '/admin/reload', {}, (address, body) => {
		const lines = Array.isArray(body.lines) ? body.lines.map(String) : []
		if (target.json) return printLine(JSON.stringify({ controller: address, lines }))
		printLine(`${address}: reloaded`)
		for (const line of lines) printLine(`  ${line}`)
	})

/** Makes each controller drain and exit. */
export const drain = (target: AdminTarget): Promise<void> =>
	callEach(target, '/admin/drain', {}, (address) =>
		printLine(target.json ? JSON.stringify({ controller: address, draining: true }) : `${address}: draining`),
	)

/** Validates a plug-in's folder as a controller does, and prints the plug-in or the problem. */
export const check = async (directory: string): Promise<void> => {
	const result = await scanFolder(directory, readManifest)
	if ('manifest' in result) {
		const { name, version, hooks } = result.manifest
		return printLine(`${directory}: ${name} ${version}, ${hooks.join(' and ')}`)
	}
	const field = result.field === null ? '' : `${result.field}: `
	process.stderr.write(`${result.file}: ${field}${result.why}\n`)
	process.exitCode = EXIT.refused
}
