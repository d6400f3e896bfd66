/** Reads plug-ins from the operators' plug-in directory, which may change while it is read. */
import { createHash } from 'node:crypto'
import { type FileHandle, open, readdir, realpath } from 'node:fs/promises'
import { join, sep } from 'node:path'
import {
	InvalidManifest,
	MANIFEST_FILE,
	MAX_FILE_BYTES,
	type Manifest,
	type ReadManifest,
} from '@heathroad/plugin-api'

/** A plug-in that was read from the directory. */
export interface LoadedPlugin {
	manifest: Manifest
	/** source text of the module */
	source: string
	/** the folder that it was read from */
	folder: string
}

/** Why a folder holds no valid plug-in. */
export interface ScanProblem {
	file: string
	/** path of the manifest's invalid field; null: the whole file is invalid */
	field: string | null
	why: string
	/** the plug-in's name; null if it could not be read */
	name: string | null
}

export interface Scan {
	found: LoadedPlugin[]
	problems: ScanProblem[]
}

/** Thrown if a folder holds no valid plug-in. */
class InvalidPlugin extends Error {
	constructor(readonly problem: ScanProblem) {
		super(`${problem.file}: ${problem.why}`)
	}
}

const invalidFile = (file: string, why: string): InvalidPlugin =>
	new InvalidPlugin({ file, field: null, why, name: null })

/** Returns the digest of a module, in the format of the manifest. */
export const digestOf = (bytes: Buffer): string =>
	`sha256-${createHash('sha256').update(bytes).digest('hex')}`

const unreadableText = (error: unknown): string =>
	`cannot be read (${(error as NodeJS.ErrnoException).code ?? String(error)})`

const readWhole = async (handle: FileHandle, file: string): Promise<Buffer> => {
	const before = await handle.stat()
	if (!before.isFile()) throw invalidFile(file, 'is not a file')
	if (before.size > MAX_FILE_BYTES) throw invalidFile(file, `is longer than ${MAX_FILE_BYTES / 1024} KiB`)
	const bytes = Buffer.alloc(before.size)
	const { bytesRead } = await handle.read(bytes, 0, before.size, 0)
	const after = await handle.stat()
	const isUnchanged =
		bytesRead === before.size && after.size === before.size && after.mtimeMs === before.mtimeMs
	if (!isUnchanged) throw invalidFile(file, 'changed while it was read')
	return bytes
}

/** Resolves all symbolic links of a file's path; throws an error if the real path is outside the directory. */
const resolveInside = async (root: string, file: string): Promise<string> => {
	let realFile: string
	try {
		realFile = await realpath(file)
	} catch (error) {
		throw invalidFile(file, unreadableText(error))
	}
	if (!realFile.startsWith(root + sep)) throw invalidFile(file, 'leads out of the directory of plug-ins')
	return realFile
}

const readInside = async (root: string, file: string): Promise<Buffer> => {
	const realFile = await resolveInside(root, file)
	let handle: FileHandle
	try {
		handle = await open(realFile, 'r')
	} catch (error) {
		throw invalidFile(file, unreadableText(error))
	}
	try {
		return await readWhole(handle, file)
	} finally {
		await handle.close()
	}
}

const readFolder = async (
	root: string,
	folder: string,
	readManifest: ReadManifest,
): Promise<LoadedPlugin> => {
	const file = join(folder, MANIFEST_FILE)
	const manifest = readManifest((await readInside(root, file)).toString('utf8'))
	if (manifest instanceof InvalidManifest)
		throw new InvalidPlugin({ file, field: manifest.field, why: manifest.why, name: null })
	const { name } = manifest
	const bytes = await readInside(root, join(folder, manifest.main)).catch((error) => {
		throw error instanceof InvalidPlugin ? new InvalidPlugin({ ...error.problem, name }) : error
	})
	const digest = digestOf(bytes)
	// This also detects that only one of the module and its manifest has been replaced so far.
	if (digest !== manifest.digest)
		throw new InvalidPlugin({
			file,
			field: 'digest',
			why: `the bytes of ${manifest.main} have ${digest}`,
			name,
		})
	return { manifest, source: bytes.toString('utf8'), folder }
}

const problemOf = (error: unknown, file: string): ScanProblem =>
	error instanceof InvalidPlugin
		? error.problem
		: { file, field: null, why: unreadableText(error), name: null }

/** Reads the folder of one plug-in. */
export const scanFolder = async (
	folder: string,
	readManifest: ReadManifest,
): Promise<LoadedPlugin | ScanProblem> => {
	try {
		return await readFolder(await realpath(folder), folder, readManifest)
	} catch (error) {
		return problemOf(error, folder)
	}
}

/** Returns the sorted names of the folders in a directory, without hidden ones. */
const listFolders = async (root: string): Promise<string[]> => {
	const entries = await readdir(root, { withFileTypes: true })
	return entries
		.filter((entry) => !entry.name.startsWith('.') && (entry.isDirectory() || entry.isSymbolicLink()))
		.map((entry) => entry.name)
		.sort()
}

/** Rejects all plug-ins that share a name, since it is unknown which of them is meant. */
const withoutDuplicates = (plugins: readonly LoadedPlugin[]): Scan => {
	const counts = new Map<string, number>()
	for (const { manifest } of plugins) counts.set(manifest.name, (counts.get(manifest.name) ?? 0) + 1)
	const found: LoadedPlugin[] = []
	const problems: ScanProblem[] = []
	for (const plugin of plugins) {
		const { name } = plugin.manifest
		const count = counts.get(name) ?? 0
		if (count === 1) {
			found.push(plugin)
			continue
		}
		const file = join(plugin.folder, MANIFEST_FILE)
		problems.push({ file, field: 'name', why: `${name} stands in ${count} folders`, name })
	}
	return { found, problems }
}

/** Reads every folder of the directory; an invalid one is reported as a problem and does not affect the others. */
export const scanDirectory = async (dir: string, readManifest: ReadManifest): Promise<Scan> => {
	let root: string
	let folders: string[]
	try {
		root = await realpath(dir)
		folders = await listFolders(root)
	} catch (error) {
		return { found: [], problems: [problemOf(error, dir)] }
	}
	const plugins: LoadedPlugin[] = []
	const problems: ScanProblem[] = []
	for (const name of folders) {
		const folder = join(root, name)
		try {
			plugins.push(await readFolder(root, folder, readManifest))
		} catch (error) {
			problems.push(problemOf(error, folder))
		}
	}
	const unique = withoutDuplicates(plugins)
	return { found: unique.found, problems: [...problems, ...unique.problems] }
}
