/** On which machines a task may be placed, and in which order the machines are preferred. */
import type { JobSpec, MachineType } from '@heathroad/wire'
import { fits } from './resources.js'
import { AMOUNT_TOLERANCE, SHARE_TOLERANCE } from './tolerances.js'

const isTypeAllowed = (spec: JobSpec, typeName: string): boolean =>
	spec.types === null || spec.types.includes(typeName)

/** May a task of this job be on such a machine, without regard to the job's other tasks? */
export const isAllowedOn = (
	spec: JobSpec,
	machine: { type: { name: string }; zone: string; spot: boolean },
): boolean =>
	isTypeAllowed(spec, machine.type.name) &&
	(spec.zone === null || spec.zone === machine.zone) &&
	(spec.spot || !machine.spot)

/**
 * May one more task go to `zone`, given how many of the job's tasks are (or may be) in each zone?
 * `apart` counts against the job's size: at most half of its tasks, rounded up, in one zone.
 */
export const isZoneAllowed = (
	spec: JobSpec,
	zone: string,
	taskCountByZone: ReadonlyMap<string, number>,
): boolean => {
	if (spec.samePlace)
		for (const [usedZone, count] of taskCountByZone) if (count > 0 && usedZone !== zone) return false
	if (!spec.apart) return true
	const countWithThis = (taskCountByZone.get(zone) ?? 0) + 1
	return countWithThis <= Math.ceil(spec.tasks / 2)
}

/** Could any type of the catalog run one task of the job? A job for which none could is answered with 422. */
export const canEverRun = (spec: JobSpec, types: readonly MachineType[]): boolean =>
	types.some(
		(type) =>
			fits(spec, type) &&
			isTypeAllowed(spec, type.name) &&
			(spec.zone === null || type.zones.includes(spec.zone)),
	)

/** A machine on which a task could be placed now. */
export interface Candidate {
	id: string
	/** it holds the output of one of the job's parents */
	hasParentOutput: boolean
	/** it holds the job's image */
	hasImage: boolean
	/** time until the task would end */
	seconds: number
	/** cost of the task on it */
	cost: number
	/** its free resources */
	slack: number
}

/** Ties go to the cheaper machine, so that expensive ones become empty and are returned, then to the fuller one. */
const compareSpeed = (a: Candidate, b: Candidate): number =>
	a.seconds - b.seconds || a.cost - b.cost || a.slack - b.slack || (a.id < b.id ? -1 : 1)

/** Rank by the data that a machine holds; the lowest is preferred. */
const localityRank = (candidate: Candidate): number => {
	if (candidate.hasParentOutput) return 0
	return candidate.hasImage ? 1 : 2
}

const compareCost = (a: Candidate, b: Candidate): number =>
	Math.abs(a.cost - b.cost) > AMOUNT_TOLERANCE ? a.cost - b.cost : a.slack - b.slack

/**
 * Algorithm 2 for tasks that are all alike: the machines in the order in which tasks are placed on them. First those
 * within the share: the fastest among those that hold a parent's output, then among those that hold the image, then the
 * others. The machines beyond the share follow, the cheapest first, unless `affordable` says that a machine that the
 * share covers could be rented.
 */
export const rankCandidates = <C extends Candidate>(
	candidates: readonly C[],
	share: number,
	affordable: () => boolean,
): C[] => {
	const withinShare = candidates.filter((candidate) => candidate.cost <= share * SHARE_TOLERANCE)
	withinShare.sort((a, b) => localityRank(a) - localityRank(b) || compareSpeed(a, b))
	if (withinShare.length === candidates.length || affordable()) return withinShare
	const beyondShare = candidates.filter((candidate) => candidate.cost > share * SHARE_TOLERANCE)
	beyondShare.sort(compareCost)
	return [...withinShare, ...beyondShare]
}
