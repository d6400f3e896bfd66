/** Occurrences of jobs in several records, which a second walk compares. */

import {
	type ArchivedJob,
	type ArchivePage,
	covers,
	findByOrdinal,
	jobIdOf,
	ordinalOf,
} from '@heathroad/history'
import type { Report } from './finding.js'
import type { IdSet } from './id-set.js'

/** A job in one record: open, or with a terminal state. */
export type Occurrence =
	| { kind: 'open'; key: string }
	| { kind: 'terminal'; key: string; aborted: boolean; doneCount: number }

/** The occurrence of an archived job in the page of this key. */
export const archivedOccurrence = (key: string, { aborted, doneCount }: ArchivedJob): Occurrence => ({
	kind: 'terminal',
	key,
	aborted,
	doneCount,
})

/**
 * Ids of all jobs with a terminal state. Only the ids are held, not the states: ids that occur again are noted with
 * what was read then, and the second walk compares that with the archive.
 */
export class TerminalStates {
	private readonly occurrencesById = new Map<string, Occurrence[]>()

	constructor(private readonly ids: IdSet) {}

	/** Are there ids that occurred more than once? */
	get hasDuplicates(): boolean {
		return this.occurrencesById.size > 0
	}

	/** Adds an id; notes the occurrence if the id is in the set already. */
	add(uid: string, occurrence: Occurrence): void {
		if (this.ids.add(uid)) return
		this.occurrencesById.set(uid, [...(this.occurrencesById.get(uid) ?? []), occurrence])
	}

	/** Reports noted occurrences that contradict an archive page. */
	compareWith(key: string, page: ArchivePage, jobs: readonly ArchivedJob[], report: Report): void {
		for (const [uid, occurrences] of this.occurrencesById) {
			const ordinal = ordinalOf(uid)
			const archived = covers(page, ordinal) ? findByOrdinal(jobs, ordinal) : undefined
			if (archived === undefined) continue
			for (const occurrence of occurrences) compareOccurrence(occurrence, key, archived, report)
		}
	}
}

const compareOccurrence = (
	occurrence: Occurrence,
	pageKey: string,
	archived: ArchivedJob,
	report: Report,
): void => {
	const uid = jobIdOf(archived.ordinal)
	if (occurrence.kind === 'open') {
		report(occurrence.key, `${uid} is open there, and over in ${pageKey}`)
		return
	}
	if (occurrence.key === pageKey) return
	if (occurrence.aborted !== archived.aborted || occurrence.doneCount !== archived.doneCount)
		report(occurrence.key, `${uid} ended another way in ${pageKey}`)
}
