import { isMap } from '@heathroad/wire'

/** A cancelled job, and the epoch of the change that made that durable. */
export interface Cancelled {
	uid: string
	epoch: number
}

/**
 * What the records tell of cancellations, for owners that are cut off from the state: by epoch, however long ago it was.
 * An owner that stood still, or whose peers have restarted, may have missed one of long before (incident 21).
 */
export class Cancellations {
	private readonly known = new Map<string, { epoch: number; at: number }>()
	/** of what became durable up to here, something may not be known any more */
	private floor = -1

	/** `most`: how many are kept, and told at one time */
	constructor(
		private readonly most: number,
		private readonly now: () => number,
	) {}

	/** The records, as of now, tell that a job is cancelled. */
	add(uid: string, epoch: number): void {
		if (this.known.has(uid)) return
		this.known.set(uid, { epoch, at: this.now() })
		// In batches, so that dropping costs little for each.
		if (this.known.size > this.most * 1.25) this.trim()
	}

	private trim(): void {
		const all = [...this.known].sort(([, a], [, b]) => a.epoch - b.epoch)
		for (const [uid, { epoch }] of all.slice(0, all.length - this.most)) {
			this.known.delete(uid)
			this.floor = Math.max(this.floor, epoch)
		}
	}

	/** What was read as of an epoch need not have told of all that was cancelled before. */
	incomplete(epoch: number): void {
		this.floor = Math.max(this.floor, epoch)
	}

	/** All that became durable behind an epoch; null: not all of it is known. */
	since(epoch: number): Cancelled[] | null {
		if (epoch < this.floor) return null
		const out: Cancelled[] = []
		for (const [uid, c] of this.known) if (c.epoch > epoch) out.push({ uid, epoch: c.epoch })
		return out
	}

	/** For how many ms a cancellation has been known here; older ones than are kept: for ever. */
	knownMs(uid: string): number {
		const one = this.known.get(uid)
		return one === undefined ? Number.POSITIVE_INFINITY : this.now() - one.at
	}
}

/** Cancellations as controllers tell them to each other. */
export const writeCancelled = (all: readonly Cancelled[]): unknown => all.map((c) => [c.uid, c.epoch])

/** null: not such a list, as of a controller of an older version. */
export const readCancelled = (data: unknown): Cancelled[] | null => {
	if (!Array.isArray(data)) return null
	const out: Cancelled[] = []
	for (const item of data) {
		if (!Array.isArray(item) || typeof item[0] !== 'string' || typeof item[1] !== 'number') return null
		out.push({ uid: item[0], epoch: item[1] })
	}
	return out
}

/** A member's question whether its parts are left alone. `epoch`: up to where it knows the records. */
export interface PromiseQuestion {
	name: string
	/** part -> token */
	owned: ReadonlyMap<number, number>
	epoch: number
}

export const readQuestion = (message: unknown): PromiseQuestion | null => {
	if (!isMap(message) || typeof message.name !== 'string' || typeof message.epoch !== 'number') return null
	const owned = isMap(message.owned) ? Object.entries(message.owned) : []
	return {
		name: message.name,
		owned: new Map(owned.map(([part, token]) => [Number(part), Number(token)])),
		epoch: message.epoch,
	}
}
