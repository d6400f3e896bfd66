/** Archived terminal states of jobs, and operations on lists of them that are sorted by ordinal. */

/** A job's archived terminal state. Counts are numbers of tasks. */
export interface ArchivedJob {
	/** `ordinalOf` the job's id */
	ordinal: string
	aborted: boolean
	taskCount: number
	doneCount: number
	/** revision at which the state became durable; event streams compare it with their cursor */
	revision: number
}

const compareOrdinals = (a: ArchivedJob, b: ArchivedJob): number => {
	if (a.ordinal === b.ordinal) return 0
	return a.ordinal < b.ordinal ? -1 : 1
}

/** Finds a job in a list sorted by ordinal. */
export const findByOrdinal = (jobs: readonly ArchivedJob[], ordinal: string): ArchivedJob | undefined => {
	let low = 0
	let high = jobs.length
	while (low < high) {
		const middle = (low + high) >> 1
		if (jobs[middle].ordinal < ordinal) low = middle + 1
		else high = middle
	}
	return jobs[low]?.ordinal === ordinal ? jobs[low] : undefined
}

/** A job has two different terminal states, although a terminal state never changes. */
export class ConflictingTerminalStates extends Error {}

/**
 * Merges two lists into one sorted list without duplicates. Throws `ConflictingTerminalStates` if they hold different
 * terminal states of one job.
 */
export const mergeArchivedJobs = (
	first: readonly ArchivedJob[],
	second: readonly ArchivedJob[],
): ArchivedJob[] => {
	const merged: ArchivedJob[] = []
	for (const job of [...first, ...second].sort(compareOrdinals)) {
		const last = merged.at(-1)
		if (last?.ordinal !== job.ordinal) merged.push(job)
		else if (last.aborted !== job.aborted || last.doneCount !== job.doneCount)
			throw new ConflictingTerminalStates(
				`${job.ordinal}: ${JSON.stringify(last)} and ${JSON.stringify(job)}`,
			)
	}
	return merged
}
