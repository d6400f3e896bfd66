/** Checks whether everything in the state service is consistent. */

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
import { RecordChecker } from './record-checker.js'
import { TerminalStates } from './terminal-states.js'

/** An archive page and its jobs; null: it is invalid, which the first walk reports. */
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
 * Checks keys in their order, the archive before the rest. A temporary condition, such as a state in two places in the
 * middle of a move, is no finding; two places that disagree are. The state is in use meanwhile, so a finding that
 * depends on two keys compares what both held in one walk, and may be gone by the next.
 */
export class Checker {
	readonly findings: Finding[] = []
	/** keys read in the first walk */
	keyCount = 0
	private readonly terminalStates: TerminalStates
	private readonly archive: ArchiveChecker
	private readonly records: RecordChecker
	private readonly report: Report = (key, what) => void this.findings.push({ key, what })

	/** @param ids an empty set, which the checker fills */
	constructor(shardCount: number, ids: IdSet) {
		this.terminalStates = new TerminalStates(ids)
		this.archive = new ArchiveChecker(this.terminalStates, this.report)
		this.records = new RecordChecker(shardCount, this.terminalStates, this.report)
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

	/** Ends the first walk. */
	finish(): void {
		this.archive.closeLevel()
		this.records.finish()
	}

	/** Is a second walk needed, since jobs occurred more than once? */
	get needsSecondWalk(): boolean {
		return this.terminalStates.hasDuplicates
	}

	/** Checks one entry of the second walk: compares archive pages with other records of the same jobs. */
	secondEntry(entry: KeyValue): void {
		if (!entry.key.startsWith(ARCHIVE_PREFIX)) return
		const content = readPage(entry)
		if (content !== null) this.terminalStates.compareWith(entry.key, content.page, content.jobs, this.report)
	}

	/** Machines that records name, and the key of the machine group of each. */
	get recordedMachines(): ReadonlyMap<string, string> {
		return this.records.machines
	}
}
