/** Shard assignment: the shard for a new job, and whether a waiting job should migrate to another one. */

/** Load of a shard from the point of view of one job. */
export interface ShardLoad {
	/** CPUs of the machines in the shard's records */
	cpus: number
	/** CPU seconds of the work ahead of the job, including the job itself */
	workCpuS: number
	/** its owner cannot reach most of its machines */
	partitioned: boolean
}

/** CPUs that a shard is assumed to have: a partitioned one those of a single machine of the largest type. */
const assumedCpus = (shard: ShardLoad, minCpus: number, largestMachineCpus: number): number =>
	shard.partitioned ? Math.max(1, largestMachineCpus) : Math.max(minCpus, shard.cpus)

/**
 * The id of the shard with the least work per CPU; ties go to `preferredShardId`. A shard counts as having at least one
 * machine of the largest type, since it can rent one. While the cloud has capacity (`canScaleOut`), it counts as having
 * at least an equal share of all CPUs: otherwise the shard that rents first would seem the least loaded, get all the
 * jobs and rent for them all with only its own share of the cloud's call rate. A partitioned shard counts as having one
 * machine: its unreachable machines start nothing new, and those it rents may be unreachable as well (incident 17).
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
	const waitS = (shard: ShardLoad) => shard.workCpuS / assumedCpus(shard, minCpus, largestMachineCpus)
	let best = preferredShardId
	for (const [shardId, shard] of shards.entries()) if (waitS(shard) < waitS(shards[best])) best = shardId
	return best
}

/** A waiting job migrates only to a shard where it would wait less than this fraction of its wait here. */
const MIGRATION_WAIT_FRACTION = 1 / 3

/**
 * Whether a waiting job should migrate to another shard: always from a partitioned shard, where it could not start for
 * an unknown time; otherwise only for a much shorter wait, since a migration costs a write to the state service, and
 * shards with nearly equal load would pass jobs back and forth.
 */
export const isWorthMigrating = (from: ShardLoad, to: ShardLoad, largestMachineCpus: number): boolean => {
	if (to.partitioned) return false
	if (from.partitioned) return true
	const waitThereS = to.workCpuS / assumedCpus(to, 1, largestMachineCpus)
	const waitHereS = from.workCpuS / assumedCpus(from, 1, largestMachineCpus)
	return waitThereS < waitHereS * MIGRATION_WAIT_FRACTION
}
