/** The order in which ready tasks are served: by priority, and by the service-level objectives of their classes. */
import { type JobSpec, PRIORITIES, type Priority } from '@heathroad/wire'

/** Rank of a priority; the highest is served first. */
export const priorityRank = (priority: Priority): number => PRIORITIES.indexOf(priority)

/** A service-level objective of a job class, with the names of the settings. */
export interface Objective {
	/** `wait`: start within a time; `finished`: end within a time; `deadline`: end by a multiple of the due time */
	kind: string
	/** the job class; objectives without one bound no job */
	class?: string | null
	/** for `wait` and `finished`, in seconds after submission */
	within_s?: number | null
	/** for `deadline`: multiple of the job's due time; 1 if absent */
	times?: number | null
}

/** The age of a job by which its tasks have to start for one objective; null: the objective sets none. */
const startBound = (spec: Pick<JobSpec, 'dueS'>, runS: number, objective: Objective): number | null => {
	if (objective.kind === 'wait' && objective.within_s) return objective.within_s
	if (objective.kind === 'finished' && objective.within_s) return objective.within_s - runS
	if (objective.kind === 'deadline' && spec.dueS !== null) return spec.dueS * (objective.times ?? 1) - runS
	return null
}

/** The ages of a job, in seconds, by which its tasks have to start for the objectives of its class. */
export const startBounds = (
	spec: Pick<JobSpec, 'jobClass' | 'dueS'>,
	runS: number,
	objectives: readonly Objective[],
): number[] => {
	const bounds: number[] = []
	for (const objective of objectives) {
		if (objective.class !== spec.jobClass) continue
		const bound = startBound(spec, runS, objective)
		// Of no use if the run alone takes longer than the objective.
		if (bound !== null && bound > 0) bounds.push(bound)
	}
	return bounds
}

/** The rank of a job that is raised for an objective: directly below urgent ones. */
export const URGENCY_CUTOFF_RANK = priorityRank('urgent') - 0.5

/** A job is raised from this fraction of a bound on. */
const RAISE_FROM_FRACTION = 0.5

/**
 * The rank by which ready tasks are ordered: the job's priority; but from halfway to a bound that can still be met, a
 * job of lower priority ranks directly below urgent ones. Without this, work of low priority starves on a full fleet.
 */
export const orderRank = (priority: Priority, ageS: number, bounds: readonly number[]): number => {
	const rank = priorityRank(priority)
	if (rank >= URGENCY_CUTOFF_RANK) return rank
	const isBoundNear = bounds.some((bound) => ageS >= bound * RAISE_FROM_FRACTION && ageS < bound)
	return isBoundNear ? URGENCY_CUTOFF_RANK : rank
}
