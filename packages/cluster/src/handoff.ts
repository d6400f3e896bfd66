/** Handoff of owned shards to other controllers: failback to the home controller, unreachable machines, draining. */
import { KEY_PREFIX } from '@heathroad/store'
import { Effect } from 'effect'
import type { EligibleStatus, Gossip } from './gossip.js'
import type { MembershipContext } from './membership-context.js'
import {
	FAILBACK_STABILITY,
	HANDOFF_SETTLE_DELAY,
	HANDOFF_STORE_CONTACT_WINDOW,
	MAX_WAIT_FOR_QUIESCENCE,
	MIN_OWNER_LOOKUPS,
	UNREACHABLE_PER_LOOKUP,
} from './membership-ratios.js'
import { shardKey } from './record-keys.js'
import { encodeShardOwner } from './records.js'
import { type OwnedShard, ownerMutations, type ShardOwnership } from './shard-ownership.js'

/** The parts of the membership that handoffs depend on. */
export interface HandoffDependencies {
	readonly ownership: ShardOwnership
	readonly gossip: Gossip
	/** Whether this controller holds a valid lease and its copy of the records is recent enough. */
	hasLease(): boolean
	/** Whether the state service responded within the last `ms` milliseconds. */
	reachedStoreWithin(ms: number): boolean
}

/** Decides when to hand off owned shards, and to which controller, and executes the handoffs. */
export class Handoff {
	constructor(
		private readonly context: MembershipContext,
		private readonly dependencies: HandoffDependencies,
	) {}

	/** Hands one shard back to its home controller, if it has been up and ready for long enough. */
	failBack(): void {
		if (!this.mayHandOff()) return
		for (const shard of this.snapshotOwnedShards()) {
			const home = this.context.limits.controllerNames[shard.shardId]
			if (home === this.context.limits.self) continue
			const status = this.dependencies.gossip.eligibleStatus(home)
			if (status === null || !this.isStable(shard, status)) continue
			this.handOff(shard, status, `handed back to ${home}`)
			return
		}
	}

	/** Whether the home controller has been up, and this controller has owned the shard, for long enough for a failback. */
	private isStable(shard: OwnedShard, home: EligibleStatus): boolean {
		const { limits, events } = this.context
		const stableMs = limits.controllerLeaseMs * FAILBACK_STABILITY
		const ownedMs = this.ownedForMs(shard)
		if (home.uptimeMs < stableMs || ownedMs < stableMs) return false
		return events.isQuiescent(shard.shardId) || ownedMs >= limits.agentLeaseMs * MAX_WAIT_FOR_QUIESCENCE
	}

	/**
	 * Hands off one shard whose machines reach a peer but not this controller. A controller that is partitioned only from
	 * the machines would otherwise keep its lease without receiving heartbeats, until all agent leases expire. The evidence
	 * is that most machines of the shard are silent here while some look up their owner at the peer; machines that are
	 * partitioned themselves reach no controller. A shard is handed off at most once per agent lease: the shards of a zone
	 * that is split in two would otherwise be handed back and forth indefinitely.
	 */
	handOffUnreachableShards(): void {
		if (!this.mayHandOff()) return
		const { events, limits, availability } = this.context
		for (const shard of this.snapshotOwnedShards()) {
			const unreachable = events.unreachableMachines(shard.shardId)
			if (unreachable === 0 || this.ownedForMs(shard) < limits.agentLeaseMs) continue
			const lookups = (status: EligibleStatus) => status.ownerLookups[shard.shardId] ?? 0
			const best = this.dependencies.gossip
				.eligibleStatuses()
				.sort((left, right) => lookups(right) - lookups(left))
				.at(0)
			if (best === undefined || lookups(best) < MIN_OWNER_LOOKUPS) continue
			if (lookups(best) * UNREACHABLE_PER_LOOKUP < unreachable) continue
			availability.partitionedFromMachines = true
			this.handOff(shard, best, `its machines reach ${best.name} and not us`)
			return
		}
	}

	/**
	 * Hands off every shard of a draining controller, to its home controller or else to the peer that owns the fewest
	 * shards. A shard that is not quiescent stays until all its machines are accounted for, since its next owner would have
	 * to wait for them; `atOnce` hands it off regardless.
	 */
	handOffAll(atOnce: boolean): void {
		if (!this.context.availability.draining || !this.mayHandOff()) return
		const shardCounts = this.shardCounts()
		for (const shard of this.snapshotOwnedShards()) {
			if (!atOnce && !this.context.events.isQuiescent(shard.shardId)) continue
			const home = this.context.limits.controllerNames[shard.shardId]
			const rank = ({ name }: EligibleStatus) => (name === home ? -1 : (shardCounts.get(name) ?? 0))
			const best = this.dependencies.gossip
				.eligibleStatuses()
				.sort((left, right) => rank(left) - rank(right))
				.at(0)
			if (best === undefined) return
			shardCounts.set(best.name, (shardCounts.get(best.name) ?? 0) + 1)
			this.handOff(shard, best, `handed to ${best.name} at our end`)
		}
	}

	/** Controller -> number of shards it owns. */
	private shardCounts(): Map<string, number> {
		const counts = new Map<string, number>()
		for (let shardId = 0; shardId < this.context.limits.controllerNames.length; shardId++) {
			const owner = this.dependencies.ownership.ownerOf(shardId)
			if (owner !== undefined) counts.set(owner, (counts.get(owner) ?? 0) + 1)
		}
		return counts
	}

	/** A copy of the list, since handoffs change the map during the iteration. */
	private snapshotOwnedShards(): OwnedShard[] {
		return [...this.dependencies.ownership.ownedShards.values()]
	}

	private ownedForMs(shard: OwnedShard): number {
		return this.context.now() - shard.acquiredAt
	}

	/** Requires a state service that responds: an unconfirmed handoff costs the shard more than it gains. */
	private mayHandOff(): boolean {
		const contactMs = this.context.limits.controllerLeaseMs * HANDOFF_STORE_CONTACT_WINDOW
		return this.dependencies.hasLease() && this.dependencies.reachedStoreWithin(contactMs)
	}

	private handOff({ shardId, fencingToken }: OwnedShard, to: EligibleStatus, why: string): void {
		const { ownership } = this.dependencies
		const { cache, client, limits } = this.context
		const data = encodeShardOwner({ owner: to.name, incarnation: to.incarnation })
		ownership.relinquish(shardId, why)
		ownership.beginTransition(shardId)
		const conditions = [{ key: KEY_PREFIX + shardKey(shardId), modRevision: fencingToken }]
		Effect.runFork(
			client.transact(conditions, ownerMutations(shardId, data, to.leaseId)).pipe(
				Effect.match({
					onSuccess: (result) => {
						if (result.ok) cache.applyOwnWrite(shardKey(shardId), data, result.revision)
					},
					onFailure: () => {},
				}),
				Effect.andThen(Effect.sleep(limits.controllerLeaseMs * HANDOFF_SETTLE_DELAY)),
				// A handoff that was not applied leaves the key unchanged, and this controller acquires the shard again under a
				// new fencing token.
				Effect.map(() => ownership.endTransition(shardId)),
			),
		)
	}
}
