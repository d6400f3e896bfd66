/** Queue order of ready tasks: by priority, and by the service-level objectives of their job classes. */
import { type JobSpec, PRIORITIES, type Priority } from '@heathroad/wire'

/** Rank of a priority; the highest rank is served first. */
export const priorityRank = (priority: Priority): number => PRIORITIES.indexOf(priority)

/** A service-level objective of a job class; field names as in the settings. */
export interface Objective {
	/** `wait`: start in time; `finished`: finish in time; `deadline`: finish within a multiple of the due time */
	kind: string
	/** the job class; an objective without one applies to no job */
	class?: string | null
	/** for `wait` and `finished`, in seconds after submission */
	within_s?: number | null
	/** for `deadline`: multiple of the job's due time; 1 if absent */
	times?: number | null
}

/** The age of a job, in seconds, by which its tasks must start to meet one objective; null if it sets none. */
const startDeadline = (spec: Pick<JobSpec, 'dueS'>, runS: number, objective: Objective): number | null => {
	if (objective.kind === 'wait' && objective.within_s) return objective.within_s
	if (objective.kind === 'finished' && objective.within_s) return objective.within_s - runS
	if (objective.kind === 'deadline' && spec.dueS !== null) return spec.dueS * (objective.times ?? 1) - runS
	return null
}

/** The ages of a job, in seconds, by which its tasks must start to meet the objectives of its class. */
export const startDeadlines = (
	spec: Pick<JobSpec, 'jobClass' | 'dueS'>,
	runS: number,
	objectives: readonly Objective[],
): number[] => {
	const deadlines: number[] = []
	for (const objective of objectives) {
		if (objective.class !== spec.jobClass) continue
		const deadline = startDeadline(spec, runS, objective)
		// An objective shorter than the run time cannot be met.
		if (deadline !== null && deadline > 0) deadlines.push(deadline)
	}
	return deadlines
}

/** Rank of a job that is raised to meet an objective: directly below urgent jobs. */
export const RAISED_RANK = priorityRank('urgent') - 0.5

/** A job is raised once its age reaches this fraction of a start deadline. */
const RAISE_FROM_FRACTION = 0.5

/**
 * Queue rank of a job's ready tasks: that of its priority, but directly below urgent jobs from halfway to a start
 * deadline that can still be met. Without this, low-priority work starves on a full fleet.
 */
export const queueRank = (priority: Priority, ageS: number, deadlines: readonly number[]): number => {
	const rank = priorityRank(priority)
	if (rank >= RAISED_RANK) return rank
	const isDeadlineNear = deadlines.some(
		(deadline) => ageS >= deadline * RAISE_FROM_FRACTION && ageS < deadline,
	)
	return isDeadlineNear ? RAISED_RANK : rank
}
