/**
 * The archive's keys in the state service and the shape of its levels. Level 1 receives the terminal states that leave
 * memory; a full page hands its content down to the next level.
 */

/** Root of the archive's keys, outside the watched prefix, so that no watch delivers archived states. */
export const ARCHIVE_PREFIX = 'heathroad-past/'

/** A level may have about 2^6 times as many pages as the level above it. */
const SPLITS_PER_LEVEL = 6

/** How often a range of this level may be split; a full page of that depth hands its content down. */
export const maxDepth = (level: number): number => SPLITS_PER_LEVEL * level

/** Prefix of the keys of a level. */
export const levelPrefix = (level: number): string => `${ARCHIVE_PREFIX}${level}/`

/**
 * The key of the page whose range ends before the ordinal `to`. Since the end is exclusive, the first key after an
 * ordinal is that of the page covering it: one range request finds it without a list of pages.
 */
export const archivePageKey = (level: number, to: string): string => levelPrefix(level) + to

/** The level that the key of a page belongs to. */
export const levelOf = (key: string): number => Number(key.slice(ARCHIVE_PREFIX.length).split('/')[0])
