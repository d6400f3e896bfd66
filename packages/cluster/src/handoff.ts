/** Handing owned shards to other controllers: failback to the home controller, handoff of unreachable shards, draining. */
import { KEY_PREFIX } from '@heathroad/store'
import { Effect } from 'effect'
import type { EligibleStatus, Gossip } from './gossip.js'
import type { MembershipContext } from './membership-context.js'
import {
	FAILBACK_STABILITY,
	HANDOFF_SETTLE_DELAY,
	HANDOFF_STORE_CONTACT,
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
	/** Does this controller hold a valid lease and know the records? */
	hasLease(): boolean
	/** Did the state service answer within the time? */
	reachedStoreWithin(ms: number): boolean
}

/** Decides when owned shards go to other controllers, and hands them off. */
export class Handoff {
	constructor(
		private readonly context: MembershipContext,
		private readonly dependencies: HandoffDependencies,
	) {}

	/** Hands one shard back to its home controller, if that has been up and ready for a while. */
	failBack(): void {
		if (!this.mayHandOff()) return
		for (const shard of this.ownedShards()) {
			const home = this.context.limits.controllerNames[shard.shardId]
			if (home === this.context.limits.self) continue
			const status = this.dependencies.gossip.eligibleStatus(home)
			if (status === null || !this.isStable(shard, status)) continue
			this.handOff(shard, status, `handed back to ${home}`)
			return
		}
	}

	/** Has the home controller been up, and the shard been owned here, for long enough to change hands again? */
	private isStable(shard: OwnedShard, home: EligibleStatus): boolean {
		const { limits, events } = this.context
		const stableMs = limits.controllerLeaseMs * FAILBACK_STABILITY
		const ownedMs = this.ownedForMs(shard)
		if (home.uptimeMs < stableMs || ownedMs < stableMs) return false
		return events.isQuiescent(shard.shardId) || ownedMs >= limits.agentLeaseMs * MAX_WAIT_FOR_QUIESCENCE
	}

	/**
	 * Cut off from the machines alone, this controller would keep its lease while no heartbeat reaches it, nobody takes over,
	 * and all agent leases expire. That most machines of a shard are silent here while they ask a peer for their owner is
	 * evidence enough to hand the shard to the peer; machines that are cut off themselves reach nobody. Not twice within an
	 * agent lease, or the shards of a zone that is cut in two would change hands for ever.
	 */
	handOffUnreachableShards(): void {
		if (!this.mayHandOff()) return
		const { events, limits, availability } = this.context
		for (const shard of this.ownedShards()) {
			const unreachable = events.unreachableMachines(shard.shardId)
			if (unreachable === 0 || this.ownedForMs(shard) < limits.agentLeaseMs) continue
			const lookups = (status: EligibleStatus) => status.ownerLookups[shard.shardId] ?? 0
			const best = this.dependencies.gossip
				.eligibleStatuses()
				.sort((left, right) => lookups(right) - lookups(left))
				.at(0)
			if (best === undefined || lookups(best) < MIN_OWNER_LOOKUPS) continue
			if (lookups(best) * UNREACHABLE_PER_LOOKUP < unreachable) continue
			availability.cutFromWorkers = true
			this.handOff(shard, best, `its machines reach ${best.name} and not us`)
			return
		}
	}

	/**
	 * Hands off every shard of a draining controller, to its home controller or to the peer that owns the fewest shards. A
	 * shard whose machines are not all accounted for stays until they are, since its next owner would have to wait for them;
	 * with `atOnce` it is handed off all the same.
	 */
	handOffAll(atOnce: boolean): void {
		if (!this.context.availability.draining || !this.mayHandOff()) return
		const shardCounts = this.shardCounts()
		for (const shard of this.ownedShards()) {
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

	/** Controller -> how many shards it owns. */
	private shardCounts(): Map<string, number> {
		const counts = new Map<string, number>()
		for (let shardId = 0; shardId < this.context.limits.controllerNames.length; shardId++) {
			const owner = this.dependencies.ownership.ownerOf(shardId)
			if (owner !== undefined) counts.set(owner, (counts.get(owner) ?? 0) + 1)
		}
		return counts
	}

	/** A copy, since handoffs change the map. */
	private ownedShards(): OwnedShard[] {
		return [...this.dependencies.ownership.ownedShards.values()]
	}

	private ownedForMs(shard: OwnedShard): number {
		return this.context.now() - shard.acquiredAt
	}

	/** Only while the state service answers: a handoff that it does not confirm costs the shard more than it gains. */
	private mayHandOff(): boolean {
		const contactMs = this.context.limits.controllerLeaseMs * HANDOFF_STORE_CONTACT
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
				// A handoff that was not carried out leaves the key as it was: then the shard is acquired again here, under a
				// new fencing token.
				Effect.map(() => ownership.endTransition(shardId)),
			),
		)
	}
}
