/**
 * Format of a snapshot file: JSON lines. A header, a line for each key, lines for keys that changed during the export,
 * and a last line with the number of lines before it and their checksum.
 */

/** Version of the format. */
export const SNAPSHOT_VERSION = 1

/** A snapshot cannot be read or imported; the message names the reason. */
export class InvalidSnapshot extends Error {}

/** The first line. */
export interface HeaderLine {
	heathroad: 'state'
	version: number
}

/** A key and its data when it was read. */
export interface KeyLine {
	key: string
	data: unknown
}

/** A key that changed during the export, with its data as of the snapshot's revision. */
export type LateLine = { late: string; data: unknown } | { late: string; gone: true }

/** The last line. */
export interface EndLine {
	end: true
	/** revision of the snapshot */
	epoch: number
	/** lines before this one */
	lines: number
	/** checksum of those lines, as hexadecimal digits */
	sha256: string
}
