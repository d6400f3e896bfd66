/** Log of the changed jobs of one team, compacted to the latest change of each job. */

/** One change of a job. */
export interface ChangeEntry {
	/** position in the order of changes, assigned by the hub */
	sequence: number
	uid: string
}

/** The log is compacted when its length exceeds twice the number of its jobs by more than this number of entries. */
const COMPACTION_SLACK = 64

/**
 * Keeps each changed job once, at the position of its latest change. Every reader keeps its own sequence number, so the
 * cost of recording a change depends neither on the number of readers nor on their lag.
 */
export class ChangeLog {
	private readonly latestSequence = new Map<string, number>()
	private entries: ChangeEntry[] = []

	/** Appends a change; `sequence` must be greater than that of every earlier one. */
	record(uid: string, sequence: number): void {
		this.latestSequence.set(uid, sequence)
		this.entries.push({ sequence, uid })
		if (this.entries.length > COMPACTION_SLACK + this.latestSequence.size * 2)
			this.entries = this.entries.filter((entry) => this.isLatest(entry))
	}

	/** Removes a job, whose later changes are not delivered from this log. */
	forget(uid: string): void {
		this.latestSequence.delete(uid)
	}

	/** The first change after a sequence number that is still the latest one of its job; null: there is none. */
	nextAfter(sequence: number): ChangeEntry | null {
		for (let i = this.firstIndexAfter(sequence); i < this.entries.length; i++) {
			const entry = this.entries[i]
			if (this.isLatest(entry)) return entry
		}
		return null
	}

	private isLatest(entry: ChangeEntry): boolean {
		return this.latestSequence.get(entry.uid) === entry.sequence
	}

	/** Binary search in the entries, which are sorted by sequence number. */
	private firstIndexAfter(sequence: number): number {
		let low = 0
		let high = this.entries.length
		while (low < high) {
			const middle = (low + high) >> 1
			if (this.entries[middle].sequence > sequence) high = middle
			else low = middle + 1
		}
		return low
	}
}
