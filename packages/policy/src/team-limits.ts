/** Guarantees and limits of teams. */
import type { Resources } from './resources.js'
import { AMOUNT_TOLERANCE } from './tolerances.js'

/** A team's guarantee and limit; field names as in the settings. A limit of 0 means unlimited. */
export interface TeamLimit {
	name: string
	/** guarantee: CPUs and GPUs */
	cpus: number
	gpus: number
	/** limit: CPUs and GPUs */
	cpus_max: number
	gpus_max: number
}

const isWithin = (limit: number, used: number, need: number, tasks: number): boolean =>
	limit <= 0 || used + need * tasks <= limit + AMOUNT_TOLERANCE

/** Whether the team stays within its limit with `tasks` additional tasks. */
export const isWithinLimit = (
	team: TeamLimit,
	used: { cpus: number; gpus: number },
	spec: Resources,
	tasks = 1,
): boolean =>
	isWithin(team.cpus_max, used.cpus, spec.cpus, tasks) && isWithin(team.gpus_max, used.gpus, spec.gpus, tasks)
