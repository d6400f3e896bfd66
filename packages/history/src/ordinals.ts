/** Ordinals: the form of job ids by which the archive is sorted. Ordinals are compared as text. */

/** Greater than every ordinal. */
export const ORDINAL_END = '~'

/** Length of the prefix of an ordinal that states how many digits follow, in characters. */
export const ORDINAL_WIDTH_CHARS = 2

/** The two-character prefix of the ordinals of ids with this many digits. */
export const ordinalPrefix = (width: number): string => String(width).padStart(ORDINAL_WIDTH_CHARS, '0')

/**
 * The ordinal of a job's id: the number of its digits, then the digits. The number comes first, since ids that differ
 * only in leading zeros are different jobs. Ordinals sort by width, then by number, for every width that the protocol
 * allows.
 */
export const ordinalOf = (uid: string): string => {
	const digits = uid.slice('job-'.length)
	return ordinalPrefix(digits.length) + digits
}

/** The digits of an ordinal, with their leading zeros. */
export const ordinalDigits = (ordinal: string): string => ordinal.slice(ORDINAL_WIDTH_CHARS)

/** The number of digits of an ordinal's id. */
export const ordinalWidth = (ordinal: string): number => Number(ordinal.slice(0, ORDINAL_WIDTH_CHARS))

/** The job id of an ordinal. */
export const jobIdOf = (ordinal: string): string => `job-${ordinalDigits(ordinal)}`
