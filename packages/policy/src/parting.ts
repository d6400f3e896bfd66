/** What is known of a part when a job is to be given to one. */
export interface ShardLoad {
	/** CPUs of the machines on its records */
	cpus: number
	/** CPU seconds of the work that goes before the job, with the job itself */
	work: number
	/** most of its machines are out of its owner's reach */
	partitioned: boolean
}

const room = (p: ShardLoad, least: number, largest: number): number =>
	p.partitioned ? Math.max(1, largest) : Math.max(least, p.cpus)

/**
 * The roomiest part: the least work for the CPUs it has. A part counts as having one machine of the largest type at
 * least, since it can rent one; while the cloud fills what is asked (`grows`), any part can rent as well as the others
 * and counts as having its equal share: otherwise the part that rents first would look the roomiest, get all the jobs
 * and rent for them all through its own slice of the call rate. Machines out of reach run nothing new, and what their
 * part rents beside them may be out of reach as well: such a part counts as having one machine (incident 17). Ties go to
 * `first`.
 */
export const leastLoadedShard = (
	parts: readonly ShardLoad[],
	largest: number,
	grows: boolean,
	first: number,
): number => {
	const all = parts.reduce((n, p) => n + (p.partitioned ? 0 : p.cpus), 0)
	const reached = parts.filter((p) => !p.partitioned).length
	const least = Math.max(1, largest, grows && reached > 0 ? all / reached : 0)
	const wait = (p: ShardLoad) => p.work / room(p, least, largest)
	let best = first
	for (const [k, p] of parts.entries()) if (wait(p) < wait(parts[best])) best = k
	return best
}

/** A job that waits moves only where it would wait less than this part of the time. */
const MOVE_WAITS = 1 / 3

/**
 * Is it worth moving a waiting job from its part to a roomier one? From a part whose machines are out of reach in any case:
 * nothing of it runs there until they are back, which nobody knows the time of. Otherwise only for much less of a wait,
 * since a move costs a change of the state, and parts that are nearly alike would hand jobs to and fro.
 */
export const worthMigrating = (from: ShardLoad, to: ShardLoad, largest: number): boolean => {
	if (to.partitioned) return false
	return (
		from.partitioned || to.work / room(to, 1, largest) < (from.work / room(from, 1, largest)) * MOVE_WAITS
	)
}
