/** Which shard a job belongs to: the choice for a new job, and whether a waiting job should migrate. */

/** Load of a shard, as seen by a job that has to go to one. */
export interface ShardLoad {
	/** CPUs of the machines in its records */
	cpus: number
	/** CPU seconds of the work that is served before the job, including the job itself */
	workCpuS: number
	/** most of its machines are unreachable for its owner */
	partitioned: boolean
}

/** CPUs with which a shard is reckoned: a partitioned one has those of one machine of the largest type. */
const countedCpus = (shard: ShardLoad, minCpus: number, largestMachineCpus: number): number =>
	shard.partitioned ? Math.max(1, largestMachineCpus) : Math.max(minCpus, shard.cpus)

/**
 * The shard with the least work for the CPUs it has. A shard counts as having at least one machine of the largest type,
 * since it can rent one. While the cloud has capacity (`canScaleOut`), any shard can rent as well as the others and
 * counts as having at least an equal share of all CPUs: otherwise the shard that rents first would seem the least loaded,
 * get all the jobs and rent for them all with its own share of the call rate. Unreachable machines run nothing new, and
 * what their shard rents in addition may be unreachable as well: such a shard counts as having one machine (incident 17).
 * Ties go to `preferredShardId`.
 */
export const leastLoadedShard = (
	shards: readonly ShardLoad[],
	largestMachineCpus: number,
	canScaleOut: boolean,
	preferredShardId: number,
): number => {
	const reachableCpus = shards.reduce((sum, shard) => sum + (shard.partitioned ? 0 : shard.cpus), 0)
	const reachableShards = shards.filter((shard) => !shard.partitioned).length
	const equalShare = canScaleOut && reachableShards > 0 ? reachableCpus / reachableShards : 0
	const minCpus = Math.max(1, largestMachineCpus, equalShare)
	const waitS = (shard: ShardLoad) => shard.workCpuS / countedCpus(shard, minCpus, largestMachineCpus)
	let best = preferredShardId
	for (const [shardId, shard] of shards.entries()) if (waitS(shard) < waitS(shards[best])) best = shardId
	return best
}

/** A waiting job migrates only to a shard where it would wait less than this fraction of the time. */
const MIGRATION_WAIT_FRACTION = 1 / 3

/**
 * Should a waiting job migrate to another shard? Always from a partitioned shard, where it could not run for an unknown
 * time. Otherwise only for a much shorter wait, since a migration costs a write to the state service, and shards that are
 * nearly equally loaded would pass jobs back and forth.
 */
export const worthMigrating = (from: ShardLoad, to: ShardLoad, largestMachineCpus: number): boolean => {
	if (to.partitioned) return false
	if (from.partitioned) return true
	const waitThereS = to.workCpuS / countedCpus(to, 1, largestMachineCpus)
	const waitHereS = from.workCpuS / countedCpus(from, 1, largestMachineCpus)
	return waitThereS < waitHereS * MIGRATION_WAIT_FRACTION
}
