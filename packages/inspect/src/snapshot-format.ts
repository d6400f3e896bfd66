/**
 * The form of a snapshot file: JSON lines. A header, a line for each key, lines for keys that changed while the others
 * were read, and a last line with the number of lines before it and their checksum.
 */

/** Version of the form. */
export const SNAPSHOT_VERSION = 1

/** A snapshot that cannot be used, and why. */
export class InvalidSnapshot extends Error {}

/** The first line. */
export interface HeaderLine {
	heathroad: 'state'
	version: number
}

/** A key as it was read. */
export interface KeyLine {
	key: string
	data: unknown
}

/** A key that changed while the keys were read, as of the snapshot's revision. */
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
