/**
 * The archive's keys in the state service, and how large its levels become. Level 1 receives the terminal states that
 * leave memory; the content of a full page moves down to the next level.
 */

/** Prefix of all archive keys. It is outside the watched prefix, so that no watch delivers archived states. */
export const ARCHIVE_PREFIX = 'heathroad-past/'

/** A level may have about 2^6 times as many pages as the level above it. */
const SPLITS_PER_LEVEL = 6

/** How often a range of this level may be split; a full page of this depth moves its content to the next level. */
export const maxDepth = (level: number): number => SPLITS_PER_LEVEL * level

/** Prefix of the keys of a level. */
export const levelPrefix = (level: number): string => `${ARCHIVE_PREFIX}${level}/`

/**
 * The key of the page whose range ends before the ordinal `to`. Since the end is exclusive, the first key after an
 * ordinal's own key is that of the page that covers it: one range request finds the page without a list of pages.
 */
export const archivePageKey = (level: number, to: string): string => levelPrefix(level) + to

/** The level that a page key belongs to. */
export const levelOf = (key: string): number => Number(key.slice(ARCHIVE_PREFIX.length).split('/')[0])
