/** Plans the transactions that insert archived jobs into a level. Nothing here reads or writes the state service. */

import { maxDepth } from './archive-keys.js'
import { type ArchivePage, covers } from './archive-page.js'
import { type ArchivedJob, mergeArchivedJobs } from './archived-job.js'
import { packJobs, unpackJobs } from './packed-jobs.js'

/** Limits of one transaction. */
export interface ArchiveWriteLimits {
	/** number of set and delete operations */
	maxOperations: number
	/** size of one value as JSON, in characters */
	maxValueChars: number
	/** size of all values together */
	maxBytes: number
}

/** The next step of inserting jobs into a level. */
export type MergeStep =
	/** Write these pages, each conditional on its mod revision; they contain the first `jobCount` of the jobs. */
	| { kind: 'write'; pages: ArchivePage[]; jobCount: number }
	/** First move the content of this page to the level below: it is full and cannot be split any more. */
	| { kind: 'move-down'; page: ArchivePage }

/** Characters of a stored page in addition to its packed text: field names and the bounds of the range. */
const ENVELOPE_CHARS = 160

const storedChars = (page: ArchivePage): number => page.packed.length + ENVELOPE_CHARS

const withJobs = (page: ArchivePage, jobs: readonly ArchivedJob[]): ArchivePage => ({
	...page,
	packed: packJobs(jobs),
})

/** Splits a page into two halves; the lower half gets a new key that no page has used before. */
const splitPage = (page: ArchivePage, jobs: readonly ArchivedJob[]): [ArchivePage, ArchivePage] => {
	const middle = jobs.length >> 1
	const { ordinal } = jobs[middle]
	const depth = page.depth + 1
	return [
		withJobs({ ...page, to: ordinal, depth, modRevision: 0 }, jobs.slice(0, middle)),
		withJobs({ ...page, from: ordinal, depth }, jobs.slice(middle)),
	]
}

/**
 * Adds as many of the jobs as fit, at least one, to a page; splits it in two if it would be too large. Returns null if
 * none fits, because the page is full and its level allows no further split.
 */
const addToPage = (
	level: number,
	page: ArchivePage,
	jobs: readonly ArchivedJob[],
	maxValueChars: number,
): { pages: ArchivePage[]; jobCount: number } | null => {
	const present = unpackJobs(page.packed)
	const fits = (candidate: ArchivePage) => storedChars(candidate) <= maxValueChars
	for (let jobCount = jobs.length; jobCount > 0; jobCount >>= 1) {
		const merged = mergeArchivedJobs(present, jobs.slice(0, jobCount))
		const whole = withJobs(page, merged)
		if (fits(whole)) return { pages: [whole], jobCount }
		if (page.depth < maxDepth(level) && merged.length > 1) {
			const halves = splitPage(page, merged)
			if (halves.every(fits)) return { pages: halves, jobCount }
		} else if (present.length > 0) return null
	}
	throw new RangeError(`a value limit of ${maxValueChars} characters is too small for one terminal state`)
}

/**
 * Plans the next step of inserting jobs into a level. Jobs beyond the last of the given pages are left to later steps.
 * @param pages neighbouring pages as they were read, the first of which covers the first job
 * @param jobs sorted
 */
export const nextMergeStep = (
	level: number,
	pages: readonly ArchivePage[],
	jobs: readonly ArchivedJob[],
	limits: ArchiveWriteLimits,
): MergeStep => {
	const written: ArchivePage[] = []
	let jobCount = 0
	let bytes = 0
	for (const page of pages) {
		let end = jobCount
		while (end < jobs.length && covers(page, jobs[end].ordinal)) end++
		if (end === jobCount) continue
		const added = addToPage(level, page, jobs.slice(jobCount, end), limits.maxValueChars)
		if (added === null) {
			// The pages planned so far are written first; the next step starts at the full page.
			if (written.length > 0) break
			return { kind: 'move-down', page }
		}
		const size = added.pages.reduce((sum, addedPage) => sum + storedChars(addedPage), 0)
		const exceeds =
			written.length + added.pages.length > limits.maxOperations || bytes + size > limits.maxBytes
		if (exceeds && written.length > 0) break
		written.push(...added.pages)
		bytes += size
		jobCount += added.jobCount
		if (jobCount < end) break
	}
	return { kind: 'write', pages: written, jobCount }
}
