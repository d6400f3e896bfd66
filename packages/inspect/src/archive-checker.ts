/** Checks the archive's pages: their ranges, levels and jobs. */

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
import { archivedOccurrence, type TerminalStates } from './terminal-states.js'

/** The level before the first page and after the last one. */
const NO_LEVEL = 0

/** The level that an archive key belongs to. */
export const levelOfKey = (key: string): number => Number(key.slice(ARCHIVE_PREFIX.length).split('/')[0])

/**
 * Does the page hold the job's state? A page that is handed down for the first time says so only once its states are
 * written below: a move that stopped in between leaves them on both levels, and look-ups find them on the upper one.
 */
const holds = ({ packed }: ArchivePage, ordinal: string): boolean =>
	findInPacked(packed, ordinal) !== undefined

/** Checks pages in the order of their keys: level by level, and by range within a level. */
export class ArchiveChecker {
	private level = NO_LEVEL
	/** end of the range of the level's last page so far */
	private end = ''
	/** pages of the level above that handed nothing down */
	private withoutDeeperAbove: ArchivePage[] = []
	/** pages of this level that handed nothing down */
	private withoutDeeper: ArchivePage[] = []

	constructor(
		private readonly terminalStates: TerminalStates,
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
		if (!page.deeper) this.withoutDeeper.push(page)
		for (const job of jobs) this.checkJob(key, page, job)
	}

	/** Ends the current level, if any: no further page of it follows. */
	closeLevel(): void {
		if (this.level > NO_LEVEL && this.end !== ORDINAL_END)
			this.report(`${ARCHIVE_PREFIX}${this.level}/`, 'its last record is missing')
		this.withoutDeeperAbove = this.withoutDeeper
		this.withoutDeeper = []
		this.level = NO_LEVEL
	}

	private checkRange(key: string, page: ArchivePage): void {
		if (page.from < this.end) this.report(key, 'overlaps the record before it')
		else if (page.from !== this.end) this.report(key, 'leaves a gap behind the record before it')
		this.end = page.to
	}

	private checkJob(key: string, page: ArchivePage, job: ArchivedJob): void {
		const uid = jobIdOf(job.ordinal)
		if (!covers(page, job.ordinal)) this.report(key, `holds ${uid}, which is not of its range`)
		if (this.withoutDeeperAbove.some((above) => covers(above, job.ordinal) && !holds(above, job.ordinal)))
			this.report(key, `holds ${uid}, which nobody looks for here: the record above handed nothing down`)
		this.terminalStates.add(uid, archivedOccurrence(key, job))
	}
}
