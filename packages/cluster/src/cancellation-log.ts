/** The cancelled jobs, each with the revision at which its cancellation became durable. */

/** A cancelled job, and the revision at which the cancellation became durable. */
export interface CancelledJob {
	uid: string
	revision: number
}

/** The log is trimmed once it exceeds the maximum by this factor: trimming sorts, so it is done in batches. */
const TRIM_THRESHOLD = 1.25

/**
 * Cancellations for shard owners that are partitioned from the state service. Entries don't expire by age: an owner that
 * was suspended, or whose peers have restarted, may have missed an old cancellation (incident 21).
 */
export class CancellationLog {
	private readonly cancellations = new Map<string, { revision: number; knownSince: number }>()
	/** Cancellations up to this revision may be missing from the log. */
	private incompleteUpTo = -1

	/**
	 * @param maxEntries maximum number of cancellations that are kept, and sent in one message
	 * @param now monotonic clock, in ms
	 */
	constructor(
		private readonly maxEntries: number,
		private readonly now: () => number,
	) {}

	/** Adds a job that the records show as cancelled; known jobs are ignored. */
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

	/** Must be called after a full read at the revision, which may not show all earlier cancellations. */
	markIncompleteUpTo(revision: number): void {
		this.incompleteUpTo = Math.max(this.incompleteUpTo, revision)
	}

	/** All cancellations that became durable after the revision; null if some of them are no longer kept. */
	since(revision: number): CancelledJob[] | null {
		if (revision < this.incompleteUpTo) return null
		const newer: CancelledJob[] = []
		for (const [uid, cancellation] of this.cancellations)
			if (cancellation.revision > revision) newer.push({ uid, revision: cancellation.revision })
		return newer
	}

	/** Time in ms since the cancellation was recorded here; infinite if it is not in the log. */
	knownForMs(uid: string): number {
		const cancellation = this.cancellations.get(uid)
		return cancellation === undefined ? Number.POSITIVE_INFINITY : this.now() - cancellation.knownSince
	}
}
