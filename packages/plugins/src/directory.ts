import { createHash } from 'node:crypto'
import { type FileHandle, open, readdir, realpath } from 'node:fs/promises'
import { join, sep } from 'node:path'
import { BadManifest, MANIFEST, type Manifest, MOST_BYTES, type ReadManifest } from '@heathroad/plugin-api'

/** A plug-in as it lies in the directory, read in full. */
export interface Loaded {
	manifest: Manifest
	source: string
	/** the folder it came from */
	folder: string
}

/** What keeps a folder from being a plug-in. */
export interface Problem {
	file: string
	/** of the manifest; null: the whole file */
	field: string | null
	why: string
	/** the plug-in's name where that much could be read */
	name: string | null
}

export interface Scan {
	found: Loaded[]
	problems: Problem[]
}

class Unfit extends Error {
	constructor(
		readonly file: string,
		readonly field: string | null,
		readonly why: string,
		readonly plugin: string | null = null,
	) {
		super(`${file}: ${why}`)
	}
}

export const digestOf = (bytes: Buffer): string =>
	`sha256-${createHash('sha256').update(bytes).digest('hex')}`

const code = (e: unknown): string => (e as NodeJS.ErrnoException).code ?? String(e)

const whole = async (handle: FileHandle, file: string): Promise<Buffer> => {
	const before = await handle.stat()
	if (!before.isFile()) throw new Unfit(file, null, 'is not a file')
	if (before.size > MOST_BYTES) throw new Unfit(file, null, `is longer than ${MOST_BYTES / 1024} KiB`)
	const bytes = Buffer.alloc(before.size)
	const { bytesRead } = await handle.read(bytes, 0, before.size, 0)
	const after = await handle.stat()
	if (bytesRead !== before.size || after.size !== before.size || after.mtimeMs !== before.mtimeMs)
		throw new Unfit(file, null, 'changed while it was read')
	return bytes
}

/** A file that really lies in the directory, however the path to it goes. */
const inside = async (root: string, file: string): Promise<string> => {
	let real: string
	try {
		real = await realpath(file)
	} catch (e) {
		throw new Unfit(file, null, `cannot be read (${code(e)})`)
	}
	if (!real.startsWith(root + sep)) throw new Unfit(file, null, 'leads out of the directory of plug-ins')
	return real
}

const readInside = async (root: string, file: string): Promise<Buffer> => {
	const real = await inside(root, file)
	let handle: FileHandle
	try {
		handle = await open(real, 'r')
	} catch (e) {
		throw new Unfit(file, null, `cannot be read (${code(e)})`)
	}
	try {
		return await whole(handle, file)
	} finally {
		await handle.close()
	}
}

const readFolder = async (root: string, folder: string, readManifest: ReadManifest): Promise<Loaded> => {
	const file = join(folder, MANIFEST)
	const manifest = readManifest((await readInside(root, file)).toString('utf8'))
	if (manifest instanceof BadManifest) throw new Unfit(file, manifest.field, manifest.why)
	const main = join(folder, manifest.main)
	const bytes = await readInside(root, main).catch((e) => {
		throw e instanceof Unfit ? new Unfit(e.file, e.field, e.why, manifest.name) : e
	})
	const digest = digestOf(bytes)
	// Also where the module was replaced and its manifest not yet, or the other way round.
	if (digest !== manifest.digest)
		throw new Unfit(file, 'digest', `the bytes of ${manifest.main} have ${digest}`, manifest.name)
	return { manifest, source: bytes.toString('utf8'), folder }
}

const problem = (e: unknown, file: string): Problem =>
	e instanceof Unfit
		? { file: e.file, field: e.field, why: e.why, name: e.plugin }
		: { file, field: null, why: `cannot be read (${code(e)})`, name: null }

/** Reads one plug-in's folder. */
export const scanFolder = async (folder: string, readManifest: ReadManifest): Promise<Loaded | Problem> => {
	try {
		return await readFolder(await realpath(folder), folder, readManifest)
	} catch (e) {
		return problem(e, folder)
	}
}

/**
 * Reads every folder of the directory. What does not fit is told and left out, and the others go on; of two that have one
 * name neither is taken, since nobody can say which was meant.
 */
export const scanDirectory = async (dir: string, readManifest: ReadManifest): Promise<Scan> => {
	const found: Loaded[] = []
	const problems: Problem[] = []
	let root: string
	let entries: string[]
	try {
		root = await realpath(dir)
		entries = (await readdir(root, { withFileTypes: true }))
			.filter((e) => !e.name.startsWith('.') && (e.isDirectory() || e.isSymbolicLink()))
			.map((e) => e.name)
			.sort()
	} catch (e) {
		return { found, problems: [{ file: dir, field: null, why: `cannot be read (${code(e)})`, name: null }] }
	}
	for (const entry of entries) {
		const folder = join(root, entry)
		try {
			found.push(await readFolder(root, folder, readManifest))
		} catch (e) {
			problems.push(problem(e, folder))
		}
	}
	const count = new Map<string, number>()
	for (const { manifest } of found) count.set(manifest.name, (count.get(manifest.name) ?? 0) + 1)
	for (const { manifest, folder } of found)
		if (count.get(manifest.name)! > 1)
			problems.push({
				file: join(folder, MANIFEST),
				field: 'name',
				why: `${manifest.name} stands in ${count.get(manifest.name)} folders`,
				name: manifest.name,
			})
	return { found: found.filter((f) => count.get(f.manifest.name) === 1), problems }
}
