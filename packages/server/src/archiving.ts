/** A page that nothing is added to any more. */
export interface ClosedPage<J extends { uid: string; revision: number }> {
	key: string
	modRevision: number
	jobs: readonly J[]
}

/**
 * May a new turn begin? `waiting`: revisions of the final states on our closed pages. A turn makes writes under way fail
 * that accept jobs or tell of progress, once, so it begins only for enough states at a time, and not again within
 * `leastMs`.
 */
export const mayAdvanceArchivalEpoch = (
	waiting: readonly number[],
	turn: number,
	sinceMs: number,
	leastMs: number,
	batch: number,
): boolean => sinceMs >= leastMs && waiting.filter((revision) => revision >= turn).length >= batch

/**
 * Pages that may leave memory, oldest first, if they are worth a move: all their states are older than the latest turn,
 * so that no write which was made without knowing them is carried out any more; no other record names their jobs, or
 * the job would be open again once its page is gone; and no attempt of theirs is on a machine, whose team's limit it
 * would count for. A page that may not does not hold up the next.
 */
export const archivablePages = <P extends ClosedPage<{ uid: string; revision: number }>>(
	pages: readonly P[],
	turn: number,
	named: ReadonlySet<string>,
	held: ReadonlySet<string>,
	batch: number,
): P[] => {
	const free = (j: { uid: string; revision: number }) =>
		j.revision < turn && !named.has(j.uid) && !held.has(j.uid)
	const ready: P[] = []
	let jobs = 0
	for (const page of pages) {
		// A page that cannot be read tells of no jobs, and stays for somebody to look at.
		if (page.jobs.length === 0 || !page.jobs.every(free)) continue
		ready.push(page)
		jobs += page.jobs.length
		// Two batches are enough for one move: what it writes grows with the ranges that it touches, not with these.
		if (jobs >= batch * 2) break
	}
	return jobs >= batch ? ready : []
}
