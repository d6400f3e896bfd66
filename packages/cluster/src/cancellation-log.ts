/** Which jobs the records call cancelled, by the revision at which that became durable. */

/** A cancelled job, and the revision of the change that made that durable. */
export interface CancelledJob {
	uid: string
	revision: number
}

/** Entries above the maximum that are kept until the next trim, as a factor: trimming sorts, so it is done in batches. */
const TRIM_THRESHOLD = 1.25

/**
 * Cancellations for owners that are cut off from the state service, by revision, however long ago they were. An owner
 * that stood still, or whose peers have restarted, may have missed one of long before (incident 21).
 */
export class CancellationLog {
	private readonly cancellations = new Map<string, { revision: number; knownSince: number }>()
	/** Of the changes up to this revision, some cancellations may not be kept. */
	private incompleteUpTo = -1

	/**
	 * @param maxEntries how many cancellations are kept, and sent at one time
	 * @param now steady clock, in ms
	 */
	constructor(
		private readonly maxEntries: number,
		private readonly now: () => number,
	) {}

	/** The records, as of now, call a job cancelled. */
	record(uid: string, revision: number): void {
		if (this.cancellations.has(uid)) return
		this.cancellations.set(uid, { revision, knownSince: this.now() })
		if (this.cancellations.size > this.maxEntries * TRIM_THRESHOLD) this.trim()
	}

	private trim(): void {
		const byRevision = [...this.cancellations].sort(([, a], [, b]) => a.revision - b.revision)
		for (const [uid, { revision }] of byRevision.slice(0, byRevision.length - this.maxEntries)) {
			this.cancellations.delete(uid)
			this.markIncompleteUpTo(revision)
		}
	}

	/** A full read as of a revision does not show every cancellation of before. */
	markIncompleteUpTo(revision: number): void {
		this.incompleteUpTo = Math.max(this.incompleteUpTo, revision)
	}

	/** All cancellations that became durable after a revision; null: not all of them are kept. */
	since(revision: number): CancelledJob[] | null {
		if (revision < this.incompleteUpTo) return null
		const newer: CancelledJob[] = []
		for (const [uid, cancellation] of this.cancellations)
			if (cancellation.revision > revision) newer.push({ uid, revision: cancellation.revision })
		return newer
	}

	/** For how many ms a cancellation has been known here; infinite if it is older than those that are kept. */
	knownForMs(uid: string): number {
		const cancellation = this.cancellations.get(uid)
		return cancellation === undefined ? Number.POSITIVE_INFINITY : this.now() - cancellation.knownSince
	}
}
