/** Reads snapshot files. */

import { createHash } from 'node:crypto'
import { createReadStream } from 'node:fs'
import { createInterface } from 'node:readline'
import { InvalidSnapshot, type KeyLine, type LateLine, SNAPSHOT_VERSION } from './snapshot-format.js'

/** A snapshot file that has been validated. */
export interface Snapshot {
	sha256: string
	revision: number
	/** data of keys that changed during the export, which replace the data in the keys' lines; null: deleted */
	late: Map<string, unknown>
	path: string
}

async function* linesOf(path: string): AsyncIterable<string> {
	const input = createReadStream(path)
	// The iteration fails with the same error; without a listener the error would also terminate the process.
	input.once('error', () => {})
	yield* createInterface({ input, crlfDelay: Number.POSITIVE_INFINITY })
}

/** Validates the lines of a snapshot file, in order. */
class SnapshotVerifier {
	private readonly checksum = createHash('sha256')
	private readonly late = new Map<string, unknown>()
	private lines = 0
	private end: Record<string, unknown> | null = null

	constructor(private readonly path: string) {}

	/** Checks the next line. Throws `InvalidSnapshot`. */
	accept(text: string): void {
		if (this.end !== null) throw this.invalid('has lines after its last line')
		const line = this.parse(text)
		if (this.lines === 0) this.checkHeader(line)
		if (line.end === true) {
			this.end = line
			return
		}
		this.checksum.update(`${text}\n`)
		this.lines++
		if (typeof line.late === 'string') this.late.set(line.late, line.gone === true ? null : line.data)
	}

	/** Compares the number of lines and their checksum with the last line. Throws `InvalidSnapshot`. */
	finish(): Snapshot {
		if (this.end === null) throw this.invalid('is cut short')
		const sha256 = this.checksum.digest('hex')
		if (this.end.lines !== this.lines) throw this.invalid(`has ${this.lines} lines, not ${this.end.lines}`)
		if (this.end.sha256 !== sha256) throw this.invalid('its checksum does not fit: it was changed or damaged')
		return { sha256, revision: Number(this.end.epoch), late: this.late, path: this.path }
	}

	private parse(text: string): Record<string, unknown> {
		try {
			return JSON.parse(text) as Record<string, unknown>
		} catch {
			throw this.invalid(`line ${this.lines + 1} cannot be read`)
		}
	}

	private checkHeader({ heathroad, version }: Record<string, unknown>): void {
		if (heathroad !== 'state') throw this.invalid('is no snapshot of heathroad')
		if (version !== SNAPSHOT_VERSION)
			throw this.invalid(`is of version ${version}; this program reads version ${SNAPSHOT_VERSION}`)
	}

	private invalid(what: string): InvalidSnapshot {
		return new InvalidSnapshot(`${this.path}: ${what}`)
	}
}

/** Validates a snapshot file by reading it whole, before any of it is used. Rejects with `InvalidSnapshot`. */
export const openSnapshot = async (path: string): Promise<Snapshot> => {
	const verifier = new SnapshotVerifier(path)
	try {
		for await (const text of linesOf(path)) verifier.accept(text)
	} catch (error) {
		if (error instanceof InvalidSnapshot) throw error
		const cause = (error as NodeJS.ErrnoException).code ?? (error as Error).message
		throw new InvalidSnapshot(`${path}: cannot be read (${cause})`)
	}
	return verifier.finish()
}

/** Iterates over all keys of a snapshot as of its revision; keys that were added during the export come last. */
export async function* entriesOf(snapshot: Snapshot): AsyncIterable<{ key: string; data: unknown }> {
	const { late } = snapshot
	const replaced = new Set<string>()
	for await (const text of linesOf(snapshot.path)) {
		const line = JSON.parse(text) as KeyLine | LateLine
		if (!('key' in line)) continue
		const { key } = line
		const isReplaced = late.has(key)
		if (isReplaced) replaced.add(key)
		const data = isReplaced ? late.get(key) : line.data
		if (data !== null) yield { key, data }
	}
	for (const [key, data] of late) if (!replaced.has(key) && data !== null) yield { key, data }
}
