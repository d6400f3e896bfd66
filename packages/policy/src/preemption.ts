/** Preemption: which running tasks are stopped for work that goes first. */
import type { Priority } from '@heathroad/wire'
import { priorityRank } from './priorities.js'
import { addResources, fits, type Resources } from './resources.js'

/** A running task that may be preempted. */
export interface Victim {
	key: string
	priority: Priority
	team: string
	cpus: number
	gpus: number
	ramGb: number
	/** work that is lost if it is stopped, in seconds */
	lostWorkS: number
}

/**
 * Which running tasks of one machine to stop so that `need` fits; null: not even all that may be stopped make room. Only
 * work of lower priority, or, for a team within its guarantee (`entitled`), another team's work beyond that team's own
 * guarantee (`beyond`). The lowest priority goes first, then the least lost work.
 */
export const chooseVictims = <V extends Victim>(
	need: Resources & { priority: Priority; team: string },
	free: Resources,
	running: readonly V[],
	entitled: boolean,
	beyond: (team: string) => boolean,
): V[] | null => {
	const preemptible = running.filter(
		(victim) =>
			priorityRank(victim.priority) < priorityRank(need.priority) ||
			(entitled && victim.team !== need.team && beyond(victim.team)),
	)
	preemptible.sort((a, b) => priorityRank(a.priority) - priorityRank(b.priority) || a.lostWorkS - b.lostWorkS)
	const freed: Resources = { cpus: free.cpus, gpus: free.gpus, ramGb: free.ramGb }
	const victims: V[] = []
	for (const victim of preemptible) {
		if (fits(need, freed)) break
		victims.push(victim)
		addResources(freed, victim)
	}
	return fits(need, freed) ? victims : null
}
