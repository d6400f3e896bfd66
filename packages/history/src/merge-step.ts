/** Plans the transactions by which archived jobs are put into a level. Nothing here reads or writes the store. */

import { maxDepth } from './archive-keys.js'
import { type ArchivePage, covers } from './archive-page.js'
import { type ArchivedJob, mergeArchivedJobs } from './archived-job.js'
import { packJobs, unpackJobs } from './packed-jobs.js'

/** What one transaction may hold. */
export interface ArchiveWriteLimits {
	/** sets and deletions */
	maxOperations: number
	/** of one value, counted as JSON */
	maxValueChars: number
	/** of all values together */
	maxBytes: number
}

/** The next thing to do to put jobs into a level. */
export type MergeStep =
	/** Write these pages, each conditional on its own mod revision; they hold the first `jobCount` of the jobs. */
	| { kind: 'write'; pages: ArchivePage[]; jobCount: number }
	/** Hand down the content of this page first: it is full and cannot be split any more. */
	| { kind: 'hand-down'; page: ArchivePage }

/** Characters of a stored page beside its packed text: field names and the bounds of the range. */
const ENVELOPE_CHARS = 160

const storedChars = (page: ArchivePage): number => page.packed.length + ENVELOPE_CHARS

const withJobs = (page: ArchivePage, jobs: readonly ArchivedJob[]): ArchivePage => ({
	...page,
	packed: packJobs(jobs),
})

/** Splits a page in two halves; the lower half gets a new key, which no page has used before. */
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
 * Adds jobs to a page: the result is one page, or two if one would be too large. Adds as many of them as fit, at least
 * one; null: none fits, since the page is full and as deep as its level allows.
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
	throw new RangeError(`a value of ${maxValueChars} characters holds no final state`)
}

/**
 * The next step of putting jobs into a level. `pages`: a run of neighbouring pages as they were read, of which the
 * first covers the first job; `jobs`: sorted. Jobs beyond the last of these pages are left to later steps.
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
			// What was planned so far is written first; the next step meets the full page again.
			if (written.length > 0) break
			return { kind: 'hand-down', page }
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
