/**
 * Ordinals: the form of a job's id by which the archive is sorted. Comparing two ordinals as text gives the order of
 * the archive.
 */

/** Greater than every ordinal. */
export const ORDINAL_END = '~'

/** Characters at the start of an ordinal that state how many digits follow. */
export const ORDINAL_WIDTH_CHARS = 2

/** The two-character prefix of the ordinals of ids with this many digits. */
export const ordinalPrefix = (width: number): string => String(width).padStart(ORDINAL_WIDTH_CHARS, '0')

/**
 * The ordinal of a job's id: the number of its digits, then the digits. Ids that differ only in leading zeros are
 * different jobs, so the width goes first; ids of every width that the protocol allows keep their order as text.
 */
export const ordinalOf = (uid: string): string => {
	const digits = uid.slice('job-'.length)
	return ordinalPrefix(digits.length) + digits
}

/** The digits of an ordinal, with their leading zeros. */
export const ordinalDigits = (ordinal: string): string => ordinal.slice(ORDINAL_WIDTH_CHARS)

/** How many digits the id of an ordinal has. */
export const ordinalWidth = (ordinal: string): number => Number(ordinal.slice(0, ORDINAL_WIDTH_CHARS))

/** The job id of an ordinal. */
export const jobIdOf = (ordinal: string): string => `job-${ordinalDigits(ordinal)}`
