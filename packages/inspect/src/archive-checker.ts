/** Checks the pages of the archive: their ranges, levels and jobs. */

import {
	ARCHIVE_PREFIX,
	type ArchivedJob,
	type ArchivePage,
	covers,
	decodeArchivePage,
	findInPacked,
	jobIdOf,
	maxDepth,
	ORDINAL_END,
	unpackJobs,
} from '@heathroad/history'
import type { KeyValue } from '@heathroad/wire'
import type { Report } from './finding.js'
import { archivedOccurrence, type JobOccurrences } from './job-occurrences.js'

/** Level number before the first archive page and after the last one. */
const LEVEL_OUTSIDE_ARCHIVE = 0

/** The level that an archive key belongs to. */
export const levelOfKey = (key: string): number => Number(key.slice(ARCHIVE_PREFIX.length).split('/')[0])

/**
 * Returns whether the page contains the job. When a page first moves its jobs to the level below, it is marked `deeper`
 * only once they are written there: an interrupted move leaves them on both levels, and lookups find the upper copy.
 */
const containsJob = ({ packed }: ArchivePage, ordinal: string): boolean =>
	findInPacked(packed, ordinal) !== undefined

/** Checks pages in the order of their keys: level by level, and by range within a level. */
export class ArchiveChecker {
	private level = LEVEL_OUTSIDE_ARCHIVE
	/** end of the range of the level's last page so far */
	private end = ''
	/** pages of the level above that have moved no jobs to the level below them */
	private bottomPagesAbove: ArchivePage[] = []
	/** pages of this level that have moved no jobs to the level below them */
	private bottomPages: ArchivePage[] = []

	constructor(
		private readonly jobOccurrences: JobOccurrences,
		private readonly report: Report,
	) {}

	/** Checks the next page. */
	check({ key, data, modRevision }: KeyValue): void {
		const level = levelOfKey(key)
		if (level !== this.level) {
			this.closeLevel()
			this.level = level
			this.end = ''
		}
		let page: ArchivePage
		try {
			page = decodeArchivePage(level, key, data, modRevision)
		} catch (error) {
			this.report(key, (error as Error).message)
			return
		}
		this.checkRange(key, page)
		let jobs: ArchivedJob[]
		try {
			jobs = unpackJobs(page.packed)
		} catch (error) {
			this.report(key, `cannot be unpacked (${(error as Error).message})`)
			return
		}
		if (page.depth > maxDepth(level))
			this.report(key, `was split ${page.depth} times, at most ${maxDepth(level)} on its level`)
		if (!page.deeper) this.bottomPages.push(page)
		for (const job of jobs) this.checkJob(key, page, job)
	}

	/** Ends the current level, if any: no further page of it follows. */
	closeLevel(): void {
		if (this.level > LEVEL_OUTSIDE_ARCHIVE && this.end !== ORDINAL_END)
			this.report(`${ARCHIVE_PREFIX}${this.level}/`, 'its last record is missing')
		this.bottomPagesAbove = this.bottomPages
		this.bottomPages = []
		this.level = LEVEL_OUTSIDE_ARCHIVE
	}

	private checkRange(key: string, page: ArchivePage): void {
		if (page.from < this.end) this.report(key, 'overlaps the record before it')
		else if (page.from !== this.end) this.report(key, 'leaves a gap behind the record before it')
		this.end = page.to
	}

	private checkJob(key: string, page: ArchivePage, job: ArchivedJob): void {
		const uid = jobIdOf(job.ordinal)
		if (!covers(page, job.ordinal)) this.report(key, `holds ${uid}, which is not of its range`)
		if (this.bottomPagesAbove.some((above) => covers(above, job.ordinal) && !containsJob(above, job.ordinal)))
			this.report(key, `holds ${uid}, which nobody looks for here: the record above handed nothing down`)
		this.jobOccurrences.add(uid, archivedOccurrence(key, job))
	}
}
