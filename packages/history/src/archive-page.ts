/** Archive pages. Each is stored under one key and holds the terminal states of one range of ordinals. */

import { isMap } from '@heathroad/wire'
import { levelPrefix } from './archive-keys.js'
import { ORDINAL_END } from './ordinals.js'
import { InvalidArchivePage } from './packed-jobs.js'

/** A page of the archive. */
export interface ArchivePage {
	/** start of its range, inclusive */
	from: string
	/** end of its range, exclusive */
	to: string
	/** number of splits that led to its range */
	depth: number
	/** the level below may hold jobs of its range */
	deeper: boolean
	/** its jobs, encoded by `packJobs` */
	packed: string
	/** mod revision of its key; 0: it is not stored yet */
	modRevision: number
}

/** Returns whether the page's range includes the ordinal. */
export const covers = (page: ArchivePage, ordinal: string): boolean =>
	page.from <= ordinal && ordinal < page.to

/** The page to start from in a level that has no stored pages: it is empty and covers all ordinals. */
export const emptyLevelPage = (): ArchivePage => ({
	from: '',
	to: ORDINAL_END,
	depth: 0,
	deeper: false,
	packed: '',
	modRevision: 0,
})

/** The stored form of a page; the end of its range is in the key. */
export const encodeArchivePage = ({ from, depth, deeper, packed }: ArchivePage): unknown => ({
	from,
	depth,
	deeper,
	packed,
})

type StoredArchivePage = Pick<ArchivePage, 'from' | 'depth' | 'deeper' | 'packed'>

const isStoredPage = (data: unknown, to: string): data is StoredArchivePage =>
	isMap(data) &&
	typeof data.from === 'string' &&
	typeof data.packed === 'string' &&
	typeof data.depth === 'number' &&
	typeof data.deeper === 'boolean' &&
	data.from < to

/** Decodes a page; throws an `InvalidArchivePage` that names the key if the data is malformed. */
export const decodeArchivePage = (
	level: number,
	key: string,
	data: unknown,
	modRevision: number,
): ArchivePage => {
	const to = key.slice(levelPrefix(level).length)
	if (!isStoredPage(data, to)) throw new InvalidArchivePage(`${key}: is no record of the archive`)
	const { from, depth, deeper, packed } = data
	return { from, to, depth, deeper, packed, modRevision }
}
