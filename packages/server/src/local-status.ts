/** The status of this controller's shards that it reports to its peers, and the combination with the peers' statuses. */
import type { MembershipEvents } from '@heathroad/cluster'
import type { Shard } from '@heathroad/controller'
import type { ControllerContext } from './controller-context.js'

/** CPUs and GPUs in use. */
export interface ResourceUsage {
	cpus: number
	gpus: number
}

/**
 * Age in agent leases above which a machine's lookup of its owner no longer counts, since the machine may have lost its
 * lease by then.
 */
const OWNER_LOOKUP_MAX_AGE_LEASES = 0.6

/** Computes this controller's peer status, and combines it with the peers' statuses for the whole cluster. */
export class LocalStatus {
	/** machines of other controllers' shards that looked up their owner here, by machine id */
	private readonly ownerLookups = new Map<string, { shardId: number; at: number }>()

	constructor(
		private readonly context: ControllerContext,
		private readonly shards: ReadonlyMap<number, Shard>,
	) {}

	/** Returns this controller's status for its peers. */
	forPeers(): ReturnType<MembershipEvents['localStatus']> {
		const { cache, config, archive, offerAvailability } = this.context
		return {
			runningTasks: this.runningTasks(),
			quarantinedJobs: this.quarantinedJobs(),
			ownerLookups: this.countOwnerLookups(),
			partitionedShards: this.partitionedShards(),
			teamUsage: this.teamUsage(),
			ready: cache.revision >= 0 && this.context.isStoreReachable(),
			exhaustedOffers: offerAvailability.exhaustedForMs(this.context.now()),
			supportsArchive: config.history !== null || archive.archivalEpoch() > 0,
		}
	}

	/** Returns the number of running tasks by job in this controller's shards; jobs without any are omitted. */
	runningTasks(): Record<string, number> {
		const runningTasks: Record<string, number> = {}
		for (const shard of this.shards.values())
			for (const [uid, job] of shard.jobs) {
				const count = job.isTerminal ? 0 : job.runningCount()
				if (count > 0) runningTasks[uid] = count
			}
		return runningTasks
	}

	/** A machine of another controller's shard looked up its owner here. */
	onOwnerLookup(machineId: string, shardId: number): void {
		this.ownerLookups.set(machineId, { shardId, at: this.context.now() })
	}

	/** Returns the ids of quarantined jobs as their owners report them, or last reported them before they were lost. */
	clusterQuarantinedJobs(): Set<string> {
		const ofPeers = this.context.membership.peers.flatMap((peer) => peer.status?.quarantinedJobs ?? [])
		return new Set([...this.quarantinedJobs(), ...ofPeers])
	}

	/** Returns the partitioned shards as their owners see or last reported them. */
	clusterPartitionedShards(): Set<number> {
		const { membership } = this.context
		const ofPeers = membership.peers.flatMap((peer) =>
			membership.isAlive(peer.name) ? (peer.status?.partitionedShards ?? []) : [],
		)
		const inOtherShards = ofPeers.filter((shardId) => !this.shards.has(shardId))
		return new Set([...inOtherShards, ...this.partitionedShards()])
	}

	/** Returns a team's usage in all shards except one. */
	usageInOtherShards(shardId: number, team: string): ResourceUsage {
		const { membership } = this.context
		const usage = { ...(this.teamUsage(shardId)[team] ?? { cpus: 0, gpus: 0 }) }
		for (const peer of membership.peers) {
			const used = membership.isAlive(peer.name) ? peer.status?.teamUsage[team] : undefined
			usage.cpus += used?.cpus ?? 0
			usage.gpus += used?.gpus ?? 0
		}
		return usage
	}

	/** Counts, by shard, the machines that looked up its owner here and may still have a lease. */
	private countOwnerLookups(): Record<string, number> {
		const counts: Record<string, number> = {}
		const maxAgeMs = this.context.config.limits.agentLeaseMs * OWNER_LOOKUP_MAX_AGE_LEASES
		const since = this.context.now() - maxAgeMs
		for (const [machineId, { shardId, at }] of this.ownerLookups)
			if (at < since || this.shards.has(shardId)) this.ownerLookups.delete(machineId)
			else counts[shardId] = (counts[shardId] ?? 0) + 1
		return counts
	}

	/** Returns the usage of teams with a guarantee in this controller's shards except `excludedShard`. */
	private teamUsage(excludedShard?: number): Record<string, ResourceUsage> {
		const usageByTeam: Record<string, ResourceUsage> = {}
		for (const { name, cpus, gpus } of this.context.config.settings.deployment.teams) {
			if (cpus <= 0 && gpus <= 0) continue
			const usage = { cpus: 0, gpus: 0 }
			for (const [shardId, shard] of this.shards) {
				if (shardId === excludedShard) continue
				const used = shard.teamUsage(name)
				usage.cpus += used.cpus
				usage.gpus += used.gpus
			}
			usageByTeam[name] = usage
		}
		return usageByTeam
	}

	private quarantinedJobs(): string[] {
		const uids: string[] = []
		for (const shard of this.shards.values())
			for (const [uid, job] of shard.jobs) if (job.isQuarantined && !job.isTerminal) uids.push(uid)
		return uids
	}

	private partitionedShards(): number[] {
		return [...this.shards].filter(([, shard]) => shard.isPartitioned()).map(([shardId]) => shardId)
	}
}
