/** Decisions of archival: when a new archival epoch begins and which pages of terminal states leave memory. */

/** How many batches one move takes at most: what it writes grows with the ranges that it touches, not with this. */
const MAX_BATCHES_PER_MOVE = 2

/** A page of terminal states that nothing is added to any more. */
export interface ClosedPage<J extends { uid: string; revision: number }> {
	key: string
	modRevision: number
	jobs: readonly J[]
}

/**
 * Tells whether a new archival epoch may begin. An epoch makes writes in flight that accept jobs or record progress fail
 * once, so it begins only for enough states at a time, and not again within `minIntervalMs`.
 *
 * @param waitingRevisions revisions of the terminal states on this controller's closed pages
 * @param archivalEpoch revision at which the current epoch began
 * @param elapsedMs time since the current epoch became known here
 */
export const mayAdvanceArchivalEpoch = (
	waitingRevisions: readonly number[],
	archivalEpoch: number,
	elapsedMs: number,
	minIntervalMs: number,
	batchSize: number,
): boolean =>
	elapsedMs >= minIntervalMs &&
	waitingRevisions.filter((revision) => revision >= archivalEpoch).length >= batchSize

/**
 * Returns the pages that may leave memory, oldest first, if there are enough for a move: all their states are older than
 * the latest archival epoch, so that no write made without knowing them is carried out any more; no other record names
 * their jobs, or a job would be open again once its page is gone; and no attempt of theirs is on a machine, where it
 * would count for its team's limit. A page that has to stay does not hold up the next.
 *
 * @param referencedJobs ids of jobs that other records name
 * @param jobsOnMachines ids of jobs of which attempts may be on machines
 */
export const archivablePages = <P extends ClosedPage<{ uid: string; revision: number }>>(
	pages: readonly P[],
	archivalEpoch: number,
	referencedJobs: ReadonlySet<string>,
	jobsOnMachines: ReadonlySet<string>,
	batchSize: number,
): P[] => {
	const isArchivable = (job: { uid: string; revision: number }) =>
		job.revision < archivalEpoch && !referencedJobs.has(job.uid) && !jobsOnMachines.has(job.uid)
	const archivable: P[] = []
	let jobCount = 0
	for (const page of pages) {
		// A page that cannot be decoded has no jobs, and stays for an operator to look at.
		if (page.jobs.length === 0 || !page.jobs.every(isArchivable)) continue
		archivable.push(page)
		jobCount += page.jobs.length
		if (jobCount >= batchSize * MAX_BATCHES_PER_MOVE) break
	}
	return jobCount >= batchSize ? archivable : []
}
