/** Tracks jobs that occur in several records, which a second walk compares. */

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

/** A job as it occurs in one record: open, or with a terminal state. */
export type Occurrence =
	| { kind: 'open'; key: string }
	| { kind: 'terminal'; key: string; aborted: boolean; doneCount: number }

/** Returns the occurrence of an archived job in the page with this key. */
export const archivedOccurrence = (key: string, { aborted, doneCount }: ArchivedJob): Occurrence => ({
	kind: 'terminal',
	key,
	aborted,
	doneCount,
})

/**
 * Ids of all jobs that were read, without their states. The second and further occurrences of an id are kept, and the
 * second walk compares them with the archive.
 */
export class JobOccurrences {
	private readonly duplicatesById = new Map<string, Occurrence[]>()

	constructor(private readonly ids: IdSet) {}

	/** Whether some ids occurred more than once. */
	get hasDuplicates(): boolean {
		return this.duplicatesById.size > 0
	}

	/** Adds an id; keeps the occurrence if the id occurred before. */
	add(uid: string, occurrence: Occurrence): void {
		if (this.ids.add(uid)) return
		this.duplicatesById.set(uid, [...(this.duplicatesById.get(uid) ?? []), occurrence])
	}

	/** Reports kept occurrences that contradict an archive page. */
	compareWith(key: string, page: ArchivePage, jobs: readonly ArchivedJob[], report: Report): void {
		for (const [uid, occurrences] of this.duplicatesById) {
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
