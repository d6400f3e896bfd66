/** Archived final states lie below a root of their own, so that nobody's watch is told of them. */
export const ARCHIVE_PREFIX = 'heathroad-past/'

/** Behind every ordinal. */
export const ORDINAL_END = '~'

/** A level may have some 2^6 times as many leaves as the one above it. */
const SPREAD_BITS = 6

/** How often the leaves of a level may have been split; a full one of that depth hands its content down. */
export const maxDepth = (level: number): number => SPREAD_BITS * level

/**
 * A job's place in the order of the archive: the number of its id's digits, then the digits. Leading zeros make
 * another id, so the width goes first; ids of every width the protocol allows keep their order as text.
 */
export const ordinalOf = (uid: string): string => {
	const digits = uid.slice('job-'.length)
	return `${String(digits.length).padStart(2, '0')}${digits}`
}

export const jobIdOf = (at: string): string => `job-${at.slice(2)}`

export const levelPrefix = (level: number): string => `${ARCHIVE_PREFIX}${level}/`

/**
 * A leaf is named by the end of its range, which it does not include: the first key behind an ordinal is then the
 * leaf that covers it, and one request finds it without any list of leaves.
 */
export const archivePageKey = (level: number, to: string): string => levelPrefix(level) + to
