import {
	type ArchivedJob,
	type ArchivePage,
	covers,
	mergeArchivedJobs,
	packJobs,
	unpackJobs,
} from './leaf.js'
import { maxDepth } from './order.js'

/** What one transaction may hold. */
export interface ArchiveWriteLimits {
	/** sets and deletions */
	maxOperations: number
	/** of one value, counted as JSON */
	maxValueChars: number
	/** of all values together */
	maxBytes: number
}

export interface MergeStep {
	/** leaves to write, each to be conditional on its own modRevision */
	sets: ArchivePage[]
	/** how many of the given final states these hold, from the first on */
	taken: number
	/** a full leaf that cannot be split any more: its content has to go down first */
	push: ArchivePage | null
}

/** Beside the packed text: names of fields and the bounds of the range. */
const FRAME = 160

const fill = (leaf: ArchivePage, items: readonly ArchivedJob[]): ArchivePage => ({
	...leaf,
	packed: packJobs(items),
})

/** A leaf in two halves; the lower one gets a key of its own, which nobody has used before. */
const split = (leaf: ArchivePage, items: readonly ArchivedJob[]): [ArchivePage, ArchivePage] => {
	const middle = items.length >> 1
	const { ordinal: at } = items[middle]
	const depth = leaf.depth + 1
	return [
		fill({ ...leaf, to: at, depth, modRevision: 0 }, items.slice(0, middle)),
		fill({ ...leaf, from: at, depth }, items.slice(middle)),
	]
}

/**
 * One leaf with more final states: as one record, or as two if that is too large. Takes as many of them as fit, at
 * least one; null: none does, since the leaf is full and as deep as its level goes.
 */
const fit = (
	level: number,
	leaf: ArchivePage,
	incoming: readonly ArchivedJob[],
	value: number,
): { leaves: ArchivePage[]; taken: number } | null => {
	const held = unpackJobs(leaf.packed)
	const small = (l: ArchivePage) => l.packed.length + FRAME <= value
	for (let taken = incoming.length; taken > 0; taken >>= 1) {
		const all = mergeArchivedJobs(held, incoming.slice(0, taken))
		const whole = fill(leaf, all)
		if (small(whole)) return { leaves: [whole], taken }
		if (leaf.depth < maxDepth(level) && all.length > 1) {
			const halves = split(leaf, all)
			if (halves.every(small)) return { leaves: halves, taken }
		} else if (held.length > 0) return null
	}
	throw new RangeError(`a value of ${value} characters holds no final state`)
}

/**
 * The next transaction of putting final states into a level. `leaves`: a run of neighbours as they were read, of
 * which the first covers the first state; `items`: in order. What lies behind the last leaf that was read is left for
 * the next step.
 */
export const nextMergeStep = (
	level: number,
	leaves: readonly ArchivePage[],
	items: readonly ArchivedJob[],
	room: ArchiveWriteLimits,
): MergeStep => {
	const sets: ArchivePage[] = []
	let taken = 0
	let bytes = 0
	for (const leaf of leaves) {
		let to = taken
		while (to < items.length && covers(leaf, items[to].ordinal)) to++
		if (to === taken) continue
		const fitted = fit(level, leaf, items.slice(taken, to), room.maxValueChars)
		// What fits before it goes first; the full leaf is met again by the next step.
		if (fitted === null) return { sets, taken, push: sets.length === 0 ? leaf : null }
		const size = fitted.leaves.reduce((n, l) => n + l.packed.length + FRAME, 0)
		const over = sets.length + fitted.leaves.length > room.maxOperations || bytes + size > room.maxBytes
		if (over && sets.length > 0) break
		sets.push(...fitted.leaves)
		bytes += size
		taken += fitted.taken
		if (taken < to) break
	}
	return { sets, taken, push: null }
}
