import { createHash } from 'node:crypto'
import { closeSync, createReadStream, openSync, renameSync, writeSync } from 'node:fs'
import { createInterface } from 'node:readline'
import { decodeTerminalPage, encodeTerminalPage } from '@heathroad/cluster'
import {
	ARCHIVE_PREFIX,
	decodeArchivePage,
	encodeArchivePage,
	packJobs,
	unpackJobs,
} from '@heathroad/history'
import { KEY_PREFIX, type StoreClient } from '@heathroad/store'
import type { Condition, Mutation } from '@heathroad/wire'
import { Effect } from 'effect'
import { ALL, since, Unreadable, type WalkLimits, walk } from './walk.js'

/** Of the file's form. */
const VERSION = 1
/** Where an import that is under way says how far it is; outside the service's own keys, removed at its end. */
const MARK = 'heathroad-import'

/** A snapshot that cannot be used, and why. */
export class BadSnapshot extends Error {}

type Line =
	| { key: string; data: unknown }
	/** behind the keys: what changed while they were read */
	| { late: string; data?: unknown; gone?: true }

/**
 * Writes all keys, as of one revision, to a file: a line for each, then those that changed while the others were read,
 * then the number of lines and a checksum. The file has its name only once it is whole.
 */
export const exportState = (
	client: Pick<StoreClient, 'list' | 'watch'>,
	path: string,
	limits: WalkLimits,
): Effect.Effect<{ revision: number; keys: number }, Unreadable> =>
	Effect.gen(function* () {
		const partial = `${path}.partial`
		const file = openSync(partial, 'w')
		const sum = createHash('sha256')
		let lines = 0
		const put = (line: unknown) => {
			const text = `${JSON.stringify(line)}\n`
			sum.update(text)
			writeSync(file, text)
			lines++
		}
		try {
			put({ heathroad: 'state', version: VERSION })
			let keys = 0
			const first = yield* walk(client, limits, (entries) => {
				for (const e of entries) put({ key: e.key, data: e.data })
				keys += entries.length
			})
			const news = yield* since(client, first, limits)
			const latest = new Map(news.log.map((e) => [e.key, e.data]))
			for (const [key, data] of latest)
				put(data === undefined ? { late: key, gone: true } : { late: key, data })
			writeSync(
				file,
				`${JSON.stringify({ end: true, epoch: news.revision, lines, sha256: sum.digest('hex') })}\n`,
			)
			renameSync(partial, path)
			return { revision: news.revision, keys }
		} finally {
			closeSync(file)
		}
	})

export interface Snapshot {
	sha256: string
	revision: number
	/** what counts instead of the line of the same key; null: the key was gone */
	late: Map<string, unknown>
	path: string
}

async function* linesOf(path: string): AsyncIterable<string> {
	const input = createReadStream(path)
	const failed = new Promise<never>((_, no) => input.once('error', no))
	failed.catch(() => {})
	yield* createInterface({ input, crlfDelay: Number.POSITIVE_INFINITY })
}

/** Reads a whole file once, to be sure of it before anything is done with it. Throws `BadSnapshot`. */
export const openSnapshot = async (path: string): Promise<Snapshot> => {
	const sum = createHash('sha256')
	const late = new Map<string, unknown>()
	let lines = 0
	let end: Record<string, unknown> | null = null
	const parse = (text: string): Record<string, unknown> => {
		try {
			return JSON.parse(text) as Record<string, unknown>
		} catch {
			throw new BadSnapshot(`${path}: line ${lines + 1} cannot be read`)
		}
	}
	try {
		for await (const text of linesOf(path)) {
			if (end !== null) throw new BadSnapshot(`${path}: goes on behind its end`)
			const line = parse(text)
			if (lines === 0 && line.heathroad !== 'state')
				throw new BadSnapshot(`${path}: is no snapshot of heathroad`)
			if (lines === 0 && line.version !== VERSION)
				throw new BadSnapshot(`${path}: is of version ${line.version}; this program reads version ${VERSION}`)
			if (line.end === true) end = line
			else {
				sum.update(`${text}\n`)
				lines++
				if (typeof line.late === 'string') late.set(line.late, line.gone === true ? null : line.data)
			}
		}
	} catch (e) {
		if (e instanceof BadSnapshot) throw e
		throw new BadSnapshot(
			`${path}: cannot be read (${(e as NodeJS.ErrnoException).code ?? (e as Error).message})`,
		)
	}
	if (end === null) throw new BadSnapshot(`${path}: is cut short`)
	const sha256 = sum.digest('hex')
	if (end.lines !== lines) throw new BadSnapshot(`${path}: has ${lines} lines, not ${end.lines}`)
	if (end.sha256 !== sha256)
		throw new BadSnapshot(`${path}: its checksum does not fit: it was changed or damaged`)
	return { sha256, revision: Number(end.epoch), late, path }
}

/** All keys of a snapshot as of its revision. */
export async function* entriesOf(snapshot: Snapshot): AsyncIterable<{ key: string; data: unknown }> {
	const told = new Set<string>()
	for await (const text of linesOf(snapshot.path)) {
		const line = JSON.parse(text) as Line
		if ('key' in line) {
			const { key } = line
			const data = snapshot.late.has(key) ? snapshot.late.get(key) : line.data
			if (snapshot.late.has(key)) told.add(key)
			if (data !== null) yield { key, data }
		}
	}
	for (const [key, data] of snapshot.late) if (!told.has(key) && data !== null) yield { key, data }
}

/**
 * A key as it goes into another state service. Epochs there begin anew: what became final before the import is given
 * the first revision, so that it counts as older than everything that follows. Who owns what, and the installation's
 * name, which makes cursors of the old revisions invalid, stay behind.
 */
export const renewed = (key: string, data: unknown): unknown => {
	if (key.startsWith(ARCHIVE_PREFIX)) {
		const level = Number(key.slice(ARCHIVE_PREFIX.length).split('/')[0])
		const leaf = decodeArchivePage(level, key, data, 0)
		const items = unpackJobs(leaf.packed).map((p) => ({ ...p, revision: 1 }))
		return encodeArchivePage({ ...leaf, packed: packJobs(items) })
	}
	const name = key.slice(KEY_PREFIX.length)
	if (/^(part|last)\/|^installation$/.test(name)) return undefined
	const page = name.startsWith('over/') ? decodeTerminalPage(data) : null
	if (page !== null)
		return encodeTerminalPage({ ...page, batches: page.batches.map((b) => ({ ...b, revision: 1 })) })
	return data
}

export interface ImportLimits extends WalkLimits {
	/** changes a second, and of one transaction */
	changesPerS: number
	ops: number
	bytes: number
}

/**
 * Writes a snapshot into an empty root, in transactions of which each says how far it is: stopped at any moment, the
 * same import goes on there. Throws `BadSnapshot`.
 */
export const importState = async (
	client: Pick<StoreClient, 'list' | 'transact'>,
	snapshot: Snapshot,
	limits: ImportLimits,
	progress: (keys: number) => void = () => {},
): Promise<{ keys: number }> => {
	const { entries } = await Effect.runPromise(client.list(ALL, null, 2))
	const mark = entries.find((e) => e.key === MARK)
	const begun = mark?.data as { sha256: string; keys: number } | undefined
	if (begun === undefined && entries.length > 0)
		throw new BadSnapshot(`the state is not empty (${entries[0].key}): nothing was written`)
	if (begun !== undefined && begun.sha256 !== snapshot.sha256)
		throw new BadSnapshot(
			'the state holds the beginning of an import of another snapshot: nothing was written',
		)
	let modRevision = mark?.modRevision ?? 0
	let keys = begun?.keys ?? 0
	const write = async (mutations: readonly Mutation[], conditions: readonly Condition[]): Promise<number> => {
		await new Promise((done) => setTimeout(done, (mutations.length / limits.changesPerS) * 1000))
		for (let tries = 1; ; tries++) {
			const result = await Effect.runPromise(
				client.transact(conditions, mutations).pipe(Effect.catch((e) => Effect.succeed(e))),
			)
			if ('ok' in result && result.ok) return result.revision
			if ('ok' in result)
				throw new BadSnapshot(
					`${result.failedKeys.join(', ')} changed meanwhile: does something else write there?`,
				)
			// Not answered, it may have been carried out: the next run finds out from the mark.
			if (result._tag !== 'RequestRejected' || tries >= limits.tries)
				throw new Unreadable(
					`stopped behind ${keys} keys (${result._tag}); the same import goes on from there`,
				)
			await new Promise((done) => setTimeout(done, 500 * tries))
		}
	}
	let mutations: Mutation[] = []
	let bytes = 0
	let seen = 0
	const flush = async () => {
		if (mutations.length === 0) return
		const data = { sha256: snapshot.sha256, keys: seen }
		modRevision = await write([...mutations, { set: MARK, data }], [{ key: MARK, modRevision }])
		keys = seen
		progress(keys)
		mutations = []
		bytes = 0
	}
	for await (const { key, data } of entriesOf(snapshot)) {
		const value = renewed(key, data)
		const size = value === undefined ? 0 : JSON.stringify(value).length + key.length + 20
		if (mutations.length + 2 > limits.ops || bytes + size > limits.bytes) await flush()
		seen++
		if (seen <= keys || value === undefined) continue
		mutations.push({ set: key, data: value })
		bytes += size
	}
	await flush()
	if (modRevision > 0) await write([{ delete: MARK }], [{ key: MARK, modRevision }])
	return { keys: seen }
}

/** Keys in which two snapshots differ, and how, in the order of the keys. */
export const diffStates = async (a: Snapshot, b: Snapshot): Promise<string[]> => {
	const digest = (data: unknown) => createHash('sha256').update(JSON.stringify(data)).digest('base64')
	const before = new Map<string, string>()
	for await (const { key, data } of entriesOf(a)) before.set(key, digest(data))
	const lines: string[] = []
	for await (const { key, data } of entriesOf(b)) {
		const was = before.get(key)
		before.delete(key)
		if (was === undefined) lines.push(`+ ${key}`)
		else if (was !== digest(data)) lines.push(`~ ${key}`)
	}
	for (const key of before.keys()) lines.push(`- ${key}`)
	return lines.sort((x, y) => (x.slice(2) < y.slice(2) ? -1 : 1))
}
