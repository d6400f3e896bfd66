/** Preemption: which running tasks to stop for work that takes precedence. */
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
	/** work lost if it is stopped, in seconds */
	lostWorkS: number
}

/**
 * Which running tasks of one machine to stop so that `need` fits; null if stopping all preemptible ones is not enough.
 * Preemptible are tasks of lower priority and, if the requesting team is within its guarantee, tasks of other teams
 * that exceed theirs. Tasks of the lowest priority go first, then those that lose the least work.
 */
export const chooseVictims = <V extends Victim>(
	need: Resources & { priority: Priority; team: string },
	free: Resources,
	running: readonly V[],
	isWithinGuarantee: boolean,
	isBeyondGuarantee: (team: string) => boolean,
): V[] | null => {
	const preemptible = running.filter(
		(victim) =>
			priorityRank(victim.priority) < priorityRank(need.priority) ||
			(isWithinGuarantee && victim.team !== need.team && isBeyondGuarantee(victim.team)),
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
