/** Statistics of one controller for operators, computed on request. */
import type { LeadershipStatus } from '@heathroad/cluster'
import type { Shard } from '@heathroad/controller'
import type { ControllerContext } from './controller-context.js'
import type { DrainPhase } from './drain.js'

/** Names of the leadership status in operators' statistics and metrics. */
const LEADERSHIP_LABELS: Record<LeadershipStatus, string> = {
	lease: 'grant',
	promise: 'promise',
	none: 'none',
}

/** Returns the statistics; metrics and admin requests read them by these names. */
export const collectOperatorStats = (
	{ jobs, cache, membership }: ControllerContext,
	shards: readonly Shard[],
	state: { isHealthy: boolean; drainPhase: DrainPhase },
) => {
	const sum = (count: (shard: Shard) => number) => shards.reduce((total, shard) => total + count(shard), 0)
	return {
		parts: shards.length,
		openJobs: jobs.openJobs.size,
		ownJobs: sum((shard) => shard.jobs.size),
		heldJobs: sum((shard) => shard.pendingReleaseCount),
		machines: sum((shard) => shard.machines.size),
		endedInMemory: jobs.terminalCount,
		epoch: cache.revision,
		right: LEADERSHIP_LABELS[membership.leadership()],
		healthy: state.isHealthy,
		course: state.drainPhase,
	}
}

/** Returns the ids of a team's open jobs, oldest first. */
export const openJobsOfTeam = ({ jobs }: ControllerContext, team: string): string[] => {
	const openJobs: { uid: string; acceptedAtMs: number }[] = []
	for (const uid of jobs.openJobs) {
		const record = jobs.get(uid)?.record
		if (record?.spec?.team === team) openJobs.push({ uid, acceptedAtMs: record.acceptedAtMs ?? 0 })
	}
	return openJobs.sort((a, b) => a.acceptedAtMs - b.acceptedAtMs).map(({ uid }) => uid)
}
