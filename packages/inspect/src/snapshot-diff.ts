/** Compares two snapshots. */

import { createHash } from 'node:crypto'
import { entriesOf, type Snapshot } from './snapshot-file.js'

const digestOf = (data: unknown): string => createHash('sha256').update(JSON.stringify(data)).digest('base64')

const keyOf = (line: string): string => line.slice('+ '.length)

/** Returns a line for each key in which two snapshots differ, sorted by key: `+` added, `~` changed, `-` removed. */
export const diffStates = async (before: Snapshot, after: Snapshot): Promise<string[]> => {
	// Only digests are kept, since the data of both snapshots may not fit in memory.
	const digests = new Map<string, string>()
	for await (const { key, data } of entriesOf(before)) digests.set(key, digestOf(data))
	const lines: string[] = []
	for await (const { key, data } of entriesOf(after)) {
		const digest = digests.get(key)
		digests.delete(key)
		if (digest === undefined) lines.push(`+ ${key}`)
		else if (digest !== digestOf(data)) lines.push(`~ ${key}`)
	}
	for (const key of digests.keys()) lines.push(`- ${key}`)
	return lines.sort((a, b) => (keyOf(a) < keyOf(b) ? -1 : 1))
}
