/** Which machines a task may be placed on, and in what order of preference. */
import type { JobSpec, MachineType } from '@heathroad/wire'
import { fits } from './resources.js'
import { AMOUNT_TOLERANCE, SHARE_TOLERANCE } from './tolerances.js'

const isTypeAllowed = (spec: JobSpec, typeName: string): boolean =>
	spec.types === null || spec.types.includes(typeName)

/** Whether the job's constraints on type, zone and spot allow the machine, regardless of where its other tasks run. */
export const isAllowedOn = (
	spec: JobSpec,
	machine: { type: { name: string }; zone: string; spot: boolean },
): boolean =>
	isTypeAllowed(spec, machine.type.name) &&
	(spec.zone === null || spec.zone === machine.zone) &&
	(spec.spot || !machine.spot)

/**
 * Whether one more task may go to `zone`, given how many of the job's tasks are or may be in each zone. `samePlace`
 * allows only one zone; `apart` allows at most half of the job's tasks, rounded up, in one zone.
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

/** Whether any machine type of the catalog can run a task of the job; if not, its submission is rejected with 422. */
export const canEverRun = (spec: JobSpec, types: readonly MachineType[]): boolean =>
	types.some(
		(type) =>
			fits(spec, type) &&
			isTypeAllowed(spec, type.name) &&
			(spec.zone === null || type.zones.includes(spec.zone)),
	)

/** A machine that could take the task now. */
export interface Candidate {
	id: string
	/** it holds the output of one of the job's parents */
	hasParentOutput: boolean
	/** it holds the job's image */
	hasImage: boolean
	/** time until the task would finish, in seconds */
	seconds: number
	/** cost of the task on it */
	cost: number
	/** free resources of the machine */
	slack: number
}

/** Ties go to the cheaper machine, so that expensive ones become idle and are released, then to the fuller one. */
const compareSpeed = (a: Candidate, b: Candidate): number =>
	a.seconds - b.seconds || a.cost - b.cost || a.slack - b.slack || (a.id < b.id ? -1 : 1)

/** Data locality: the lowest rank is preferred. */
const localityRank = (candidate: Candidate): number => {
	if (candidate.hasParentOutput) return 0
	return candidate.hasImage ? 1 : 2
}

const compareCost = (a: Candidate, b: Candidate): number =>
	Math.abs(a.cost - b.cost) > AMOUNT_TOLERANCE ? a.cost - b.cost : a.slack - b.slack

/**
 * Algorithm 2 for identical tasks: the machines in the order in which tasks are placed on them. Machines within the
 * share come first: those that hold a parent's output, then those that hold the image, then the others; the fastest of
 * each group first. Machines beyond the share follow, the cheapest first, unless a machine within the share could be
 * rented instead (`canRentWithinShare`).
 */
export const rankCandidates = <C extends Candidate>(
	candidates: readonly C[],
	share: number,
	canRentWithinShare: () => boolean,
): C[] => {
	const withinShare = candidates.filter((candidate) => candidate.cost <= share * SHARE_TOLERANCE)
	withinShare.sort((a, b) => localityRank(a) - localityRank(b) || compareSpeed(a, b))
	if (withinShare.length === candidates.length || canRentWithinShare()) return withinShare
	const beyondShare = candidates.filter((candidate) => candidate.cost > share * SHARE_TOLERANCE)
	beyondShare.sort(compareCost)
	return [...withinShare, ...beyondShare]
}
