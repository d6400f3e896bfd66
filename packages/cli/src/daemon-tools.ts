import { readManifest } from '@heathroad/plugin-api'
import { type Loaded, type PluginInfo, type Problem, scanFolder } from '@heathroad/plugins'
import { createHttpClient, isMap } from '@heathroad/wire'
import { Effect } from 'effect'

/** The running controllers that a verb is for, at their internal addresses, and how to print. */
export interface At {
	admin: readonly string[]
	json: boolean
}

/** Exit codes: 0 done, 1 a controller refused or gave no answer, or a folder holds no plug-in. */
const REFUSED = 1
const ANSWER_MS = 10_000

const print = (line: string): void => void process.stdout.write(`${line}\n`)

/** Asks each controller in turn; what one cannot answer is told, and the others are asked all the same. */
const each = async (
	at: At,
	path: string,
	body: unknown,
	heard: (address: string, body: Record<string, unknown>) => void,
): Promise<void> => {
	const httpClient = createHttpClient(1)
	for (const address of at.admin) {
		const asked = httpClient
			.request(address, 'POST', path, body, ANSWER_MS)
			.pipe(Effect.match({ onFailure: (e) => e.reason, onSuccess: (a) => a }))
		const answer = await Effect.runPromise(asked)
		if (typeof answer !== 'string' && answer.status < 300) {
			heard(address, isMap(answer.body) ? answer.body : {})
			continue
		}
		const why =
			typeof answer === 'string' ? answer : isMap(answer.body) ? String(answer.body.error) : answer.status
		process.stderr.write(`heathroad: ${address}: ${why}\n`)
		process.exitCode = REFUSED
	}
	httpClient.close()
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

/** Plug-ins for a person: a line each, in columns. */
export const table = (plugins: readonly PluginInfo[]): string[] => {
	const rows = [COLUMNS.map(String), ...plugins.map((p) => COLUMNS.map((c) => String(p[c] ?? '-')))]
	const widths = COLUMNS.map((_, i) => Math.max(...rows.map((r) => r[i].length)))
	return rows.map((r) =>
		r
			.map((cell, i) => cell.padEnd(widths[i]))
			.join('  ')
			.trimEnd(),
	)
}

const show = (at: At, address: string, body: Record<string, unknown>): void => {
	const plugins = (body.plugins ?? []) as PluginInfo[]
	if (at.json) return print(JSON.stringify({ controller: address, plugins }))
	print(plugins.length === 0 ? `${address}: no plug-ins` : `${address}:`)
	if (plugins.length > 0) for (const line of table(plugins)) print(line)
}

export const list = (at: At): Promise<void> =>
	each(at, '/admin/plugins', {}, (address, body) => show(at, address, body))

export const disable = (at: At, name: string, off: boolean): Promise<void> =>
	each(at, off ? '/admin/disable' : '/admin/enable', { name }, (address, body) => show(at, address, body))

export const reload = (at: At): Promise<void> =>
	each(at, '/admin/reload', {}, (address, { lines }) => {
		const all = Array.isArray(lines) ? lines.map(String) : []
		if (at.json) return print(JSON.stringify({ controller: address, lines: all }))
		print(`${address}: reloaded`)
		for (const line of all) print(`  ${line}`)
	})

export const drain = (at: At): Promise<void> =>
	each(at, '/admin/drain', {}, (address) =>
		print(at.json ? JSON.stringify({ controller: address, draining: true }) : `${address}: draining`),
	)

/** Reads one plug-in's folder as a controller would. */
export const check = async (dir: string): Promise<void> => {
	const read: Loaded | Problem = await scanFolder(dir, readManifest)
	if ('manifest' in read) {
		const { name, version, hooks } = read.manifest
		return print(`${dir}: ${name} ${version}, ${hooks.join(' and ')}`)
	}
	process.stderr.write(`${read.file}: ${read.field === null ? '' : `${read.field}: `}${read.why}\n`)
	process.exitCode = REFUSED
}
