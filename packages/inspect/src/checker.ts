/** Checks the records in the state service for inconsistencies. */

import {
	ARCHIVE_PREFIX,
	type ArchivedJob,
	type ArchivePage,
	decodeArchivePage,
	unpackJobs,
} from '@heathroad/history'
import { KEY_PREFIX } from '@heathroad/store'
import type { KeyValue } from '@heathroad/wire'
import { ArchiveChecker, levelOfKey } from './archive-checker.js'
import type { Finding, Report } from './finding.js'
import type { IdSet } from './id-set.js'
import { JobOccurrences } from './job-occurrences.js'
import { RecordChecker } from './record-checker.js'

/** Decodes an archive page and its jobs; null if it is invalid, which the first walk reports. */
const readPage = ({
	key,
	data,
	modRevision,
}: KeyValue): { page: ArchivePage; jobs: ArchivedJob[] } | null => {
	try {
		const page = decodeArchivePage(levelOfKey(key), key, data, modRevision)
		return { page, jobs: unpackJobs(page.packed) }
	} catch {
		return null
	}
}

/**
 * Checks all entries in key order, which puts the archive first. Temporary conditions are not findings: a job may be in
 * two records while it is moved, but the two must agree. The state may change during a walk, so findings that depend on
 * two keys compare what both held in the same walk, and may have disappeared by the next one.
 */
export class Checker {
	readonly findings: Finding[] = []
	/** number of keys read in the first walk */
	keyCount = 0
	private readonly jobOccurrences: JobOccurrences
	private readonly archive: ArchiveChecker
	private readonly records: RecordChecker
	private readonly report: Report = (key, what) => void this.findings.push({ key, what })

	/** @param ids an empty set, to which the checker adds the ids of all jobs */
	constructor(shardCount: number, ids: IdSet) {
		this.jobOccurrences = new JobOccurrences(ids)
		this.archive = new ArchiveChecker(this.jobOccurrences, this.report)
		this.records = new RecordChecker(shardCount, this.jobOccurrences, this.report)
	}

	/** Checks one entry of the first walk. */
	checkEntry(entry: KeyValue): void {
		this.keyCount++
		if (entry.key.startsWith(ARCHIVE_PREFIX)) {
			this.archive.check(entry)
			return
		}
		if (!entry.key.startsWith(KEY_PREFIX)) {
			this.report(entry.key, 'is none of ours')
			return
		}
		this.archive.closeLevel()
		this.records.check(entry)
	}

	/** Ends the first walk and checks what depends on several records. */
	finish(): void {
		this.archive.closeLevel()
		this.records.finish()
	}

	/** Whether a second walk is needed, because jobs occurred more than once. */
	get needsSecondWalk(): boolean {
		return this.jobOccurrences.hasDuplicates
	}

	/** Checks one entry of the second walk: compares an archive page with other records of the same jobs. */
	compareEntry(entry: KeyValue): void {
		if (!entry.key.startsWith(ARCHIVE_PREFIX)) return
		const content = readPage(entry)
		if (content !== null) this.jobOccurrences.compareWith(entry.key, content.page, content.jobs, this.report)
	}

	/** Keys of machine groups by the id of each machine that they contain. */
	get recordedMachines(): ReadonlyMap<string, string> {
		return this.records.machines
	}
}
