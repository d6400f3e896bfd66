/** Archival decisions: when a new archival epoch begins and which pages of terminal states leave memory. */

/** Maximum number of batches in one move. Its writes grow with the archive ranges that it touches, not with this. */
const MAX_BATCHES_PER_MOVE = 2

/** A page of terminal states that receives no more states. */
export interface ClosedPage<J extends { uid: string; revision: number }> {
	key: string
	modRevision: number
	jobs: readonly J[]
}

/**
 * Returns whether a new archival epoch may begin. A new epoch makes in-flight writes that accept jobs or record progress
 * fail once, so it begins only when enough states wait, and not within `minIntervalMs` of the previous one.
 *
 * @param waitingRevisions revisions of the terminal states on this controller's closed pages
 * @param archivalEpoch revision at which the current epoch began
 * @param elapsedMs time since this controller received the current epoch
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
 * Returns the pages that may leave memory, oldest first, if there are enough for a move. All their states must be older
 * than the latest archival epoch, so that no write made without knowledge of them can still be applied. No other record
 * may name their jobs, or a job would be open again after the deletion of its page. None of their attempts may be on a
 * machine, where it would count towards its team's limit. A page that has to stay does not block the next one.
 *
 * @param referencedJobs ids of jobs that other records name
 * @param jobsOnMachines ids of jobs that may have attempts on machines
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
		// A page that cannot be decoded has no jobs; it stays for an operator to inspect.
		if (page.jobs.length === 0 || !page.jobs.every(isArchivable)) continue
		archivable.push(page)
		jobCount += page.jobs.length
		if (jobCount >= batchSize * MAX_BATCHES_PER_MOVE) break
	}
	return jobCount >= batchSize ? archivable : []
}
