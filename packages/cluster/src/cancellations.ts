import { isMap } from '@heathroad/wire'

/** A cancelled job, and the revision of the change that made that durable. */
export interface CancelledJob {
	uid: string
	revision: number
}

/**
 * What the records tell of cancellations, for owners that are cut off from the state: by revision, however long ago it was.
 * An owner that stood still, or whose peers have restarted, may have missed one of long before (incident 21).
 */
export class CancellationLog {
	private readonly known = new Map<string, { revision: number; at: number }>()
	/** of what became durable up to here, something may not be known any more */
	private floor = -1

	/** `most`: how many are kept, and told at one time */
	constructor(
		private readonly most: number,
		private readonly now: () => number,
	) {}

	/** The records, as of now, tell that a job is cancelled. */
	record(uid: string, revision: number): void {
		if (this.known.has(uid)) return
		this.known.set(uid, { revision, at: this.now() })
		// In batches, so that dropping costs little for each.
		if (this.known.size > this.most * 1.25) this.trim()
	}

	private trim(): void {
		const all = [...this.known].sort(([, a], [, b]) => a.revision - b.revision)
		for (const [uid, { revision }] of all.slice(0, all.length - this.most)) {
			this.known.delete(uid)
			this.floor = Math.max(this.floor, revision)
		}
	}

	/** What was read as of an revision need not have told of all that was cancelled before. */
	markIncompleteUpTo(revision: number): void {
		this.floor = Math.max(this.floor, revision)
	}

	/** All that became durable behind a revision; null: not all of it is known. */
	since(revision: number): CancelledJob[] | null {
		if (revision < this.floor) return null
		const out: CancelledJob[] = []
		for (const [uid, c] of this.known) if (c.revision > revision) out.push({ uid, revision: c.revision })
		return out
	}

	/** For how many ms a cancellation has been known here; older ones than are kept: for ever. */
	knownForMs(uid: string): number {
		const one = this.known.get(uid)
		return one === undefined ? Number.POSITIVE_INFINITY : this.now() - one.at
	}
}

/** Cancellations as controllers tell them to each other. */
export const encodeCancellations = (all: readonly CancelledJob[]): unknown =>
	all.map((c) => [c.uid, c.revision])

/** null: not such a list, as of a controller of an older version. */
export const decodeCancellations = (data: unknown): CancelledJob[] | null => {
	if (!Array.isArray(data)) return null
	const out: CancelledJob[] = []
	for (const item of data) {
		if (!Array.isArray(item) || typeof item[0] !== 'string' || typeof item[1] !== 'number') return null
		out.push({ uid: item[0], revision: item[1] })
	}
	return out
}

/** A member's question whether its parts are left alone. `revision`: up to where it knows the records. */
export interface TakeoverPromiseRequest {
	member: string
	/** part -> token */
	ownedShards: ReadonlyMap<number, number>
	revision: number
}

export const decodePromiseRequest = (message: unknown): TakeoverPromiseRequest | null => {
	if (!isMap(message) || typeof message.name !== 'string' || typeof message.epoch !== 'number') return null
	const owned = isMap(message.owned) ? Object.entries(message.owned) : []
	return {
		member: message.name,
		ownedShards: new Map(owned.map(([part, token]) => [Number(part), Number(token)])),
		revision: message.epoch,
	}
}
