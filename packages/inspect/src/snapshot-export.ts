/** Writes the whole state to a snapshot file. */

import { createHash } from 'node:crypto'
import { closeSync, openSync, renameSync, writeSync } from 'node:fs'
import type { StoreClient } from '@heathroad/store'
import { Effect } from 'effect'
import {
	type EndLine,
	type HeaderLine,
	type KeyLine,
	type LateLine,
	SNAPSHOT_VERSION,
} from './snapshot-format.js'
import { changesSince, type ServiceUnavailable, type WalkLimits, walk } from './walk.js'

const textOf = (line: HeaderLine | KeyLine | LateLine | EndLine): string => `${JSON.stringify(line)}\n`

/** Writes lines to a snapshot file, and counts and checksums them for the last line. */
class SnapshotWriter {
	private readonly checksum = createHash('sha256')
	private lines = 0

	constructor(private readonly file: number) {}

	write(line: HeaderLine | KeyLine | LateLine): void {
		const text = textOf(line)
		this.checksum.update(text)
		writeSync(this.file, text)
		this.lines++
	}

	/** Writes the last line. */
	end(revision: number): void {
		const sha256 = this.checksum.digest('hex')
		writeSync(this.file, textOf({ end: true, epoch: revision, lines: this.lines, sha256 }))
	}
}

/**
 * Writes all keys, as of one revision, to a snapshot file. The file is written as `path`.partial and renamed to `path`
 * once it is complete. Returns the revision and the number of keys read.
 */
export const exportState = (
	client: Pick<StoreClient, 'list' | 'watch'>,
	path: string,
	limits: WalkLimits,
): Effect.Effect<{ revision: number; keys: number }, ServiceUnavailable> =>
	Effect.gen(function* () {
		const partial = `${path}.partial`
		const file = openSync(partial, 'w')
		try {
			const writer = new SnapshotWriter(file)
			writer.write({ heathroad: 'state', version: SNAPSHOT_VERSION })
			let keys = 0
			const firstRevision = yield* walk(client, limits, (entries) => {
				for (const { key, data } of entries) writer.write({ key, data })
				keys += entries.length
			})
			const changes = yield* changesSince(client, firstRevision, limits)
			const latest = new Map(changes.log.map(({ key, data }) => [key, data]))
			for (const [key, data] of latest)
				writer.write(data === undefined ? { late: key, gone: true } : { late: key, data })
			writer.end(changes.revision)
			renameSync(partial, path)
			return { revision: changes.revision, keys }
		} finally {
			closeSync(file)
		}
	})
