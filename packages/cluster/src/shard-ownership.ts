/**
 * Which shards this controller owns. Ownership is a key of the shard attached to the owner's lease: when the lease expires
 * the state service removes the key, and another controller acquires the shard.
 */
import { KEY_PREFIX } from '@heathroad/store'
import type { Mutation } from '@heathroad/wire'
import { Effect } from 'effect'
import type { ControllerLease } from './controller-lease.js'
import type { MembershipContext } from './membership-context.js'
import {
	ACQUIRE_RETRY_DELAY,
	ACQUIRE_STEP,
	HOME_HEAD_START_STEPS,
	PROMISE_MARGIN_MS,
	PROMISE_OF_FORMER_INCARNATION,
} from './membership-ratios.js'
import { lastOwnerKey, shardKey } from './record-keys.js'
import { decodeShardOwner, encodeShardOwner } from './records.js'

/** A shard that this controller owns. */
export interface OwnedShard {
	shardId: number
	/** Mod revision of the shard's key. */
	fencingToken: number
	/** Steady time. */
	acquiredAt: number
}

/** What ownership needs to know of the rest of the membership. */
export interface OwnershipConditions {
	/** Does this controller hold a valid lease and know the records? */
	hasLease(): boolean
	isAlive(name: string): boolean
	/** Has this controller promised not to take over the member's shards? */
	hasPromisedTo(member: string): boolean
	/** Steady time at which the process started. */
	readonly startedAt: number
}

/** Mutations that make a controller the owner of a shard, and its last owner once it owns it no longer. */
export const ownerMutations = (shardId: number, data: unknown, leaseId: number): Mutation[] => [
	{ set: KEY_PREFIX + shardKey(shardId), data, leaseId },
	{ set: KEY_PREFIX + lastOwnerKey(shardId), data },
]

/** Acquires and relinquishes shards. */
export class ShardOwnership {
	readonly ownedShards = new Map<number, OwnedShard>()
	/** Steady time since when a shard has had no owner. */
	private readonly absentSince = new Map<number, number>()
	/** Shards that are not to be acquired now: an acquisition or a handoff is in flight. */
	private readonly inTransition = new Set<number>()

	constructor(
		private readonly context: MembershipContext,
		private readonly lease: ControllerLease,
		private readonly conditions: OwnershipConditions,
	) {}

	/** The shard's owner as far as the watch cache knows. */
	ownerOf(shardId: number): string | undefined {
		return decodeShardOwner(this.context.cache.get(shardKey(shardId))?.data)?.owner
	}

	/** Is the shard owned here, or an acquisition or handoff of it in flight? */
	isInvolved(shardId: number): boolean {
		return this.inTransition.has(shardId) || this.ownedShards.has(shardId)
	}

	/** Keeps this controller from acquiring a shard until `endTransition`. */
	beginTransition(shardId: number): void {
		this.inTransition.add(shardId)
	}

	/** Must follow every `beginTransition`. */
	endTransition(shardId: number): void {
		this.inTransition.delete(shardId)
	}

	/** Stops owning a shard, if it is owned, and reports why. */
	relinquish(shardId: number, why: string): void {
		if (!this.ownedShards.delete(shardId)) return
		this.context.events.onShardLost(shardId, why)
	}

	/** Stops owning every shard. */
	relinquishAll(why: string): void {
		for (const shardId of [...this.ownedShards.keys()]) this.relinquish(shardId, why)
	}

	/** Called for every change of a shard's key. */
	onShardKeyChanged(shardId: number): void {
		const { cache, limits, incarnation } = this.context
		const entry = cache.get(shardKey(shardId))
		const record = decodeShardOwner(entry?.data)
		const isOwn = record?.owner === limits.self && record.incarnation === incarnation
		if (!isOwn) this.relinquish(shardId, record === null ? 'the key is gone' : `${record.owner} has it`)
		else if (entry !== undefined) this.onAcquired(shardId, entry.modRevision)
		this.trackAbsence(shardId, record === null)
		this.acquireFreeShards()
	}

	private trackAbsence(shardId: number, isAbsent: boolean): void {
		if (!isAbsent) this.absentSince.delete(shardId)
		else if (!this.absentSince.has(shardId)) this.absentSince.set(shardId, this.context.now())
	}

	private onAcquired(shardId: number, fencingToken: number): void {
		const owned = this.ownedShards.get(shardId)
		if (owned !== undefined && owned.fencingToken >= fencingToken) return
		if (owned !== undefined) this.relinquish(shardId, 'taken again')
		this.ownedShards.set(shardId, { shardId, fencingToken, acquiredAt: this.context.now() })
		this.context.events.log('info', 'shard acquired', { part: shardId, token: fencingToken })
		this.context.events.onShardAcquired(shardId, fencingToken)
	}

	/** Acquires every shard that this controller may acquire; called on changes and regularly. */
	acquireFreeShards(): void {
		const { cache, limits } = this.context
		if (this.lease.leaseId === null || cache.revision < 0 || !this.conditions.hasLease()) return
		for (let shardId = 0; shardId < limits.controllerNames.length; shardId++) {
			if (this.isInvolved(shardId)) continue
			if (this.mayAcquire(shardId)) this.acquire(shardId)
		}
	}

	private mayAcquire(shardId: number): boolean {
		const { limits, cache, availability } = this.context
		const owner = this.ownerOf(shardId)
		// A key that names this controller is its own to renew: that of a former incarnation, or of a handoff that was not
		// carried out, as when the state service failed at that moment. Nobody else can acquire the shard for as long as
		// this controller's lease lasts (incident 11).
		if (owner !== undefined) return owner === limits.self
		if (availability.draining) return false
		const lastOwner = decodeShardOwner(cache.get(lastOwnerKey(shardId))?.data)?.owner
		if (lastOwner !== undefined && lastOwner !== limits.self && this.mayHavePromisedTo(lastOwner))
			return false
		const isHome = limits.controllerNames[shardId] === limits.self
		if (isHome && !availability.cutFromWorkers) return true
		return this.absentForMs(shardId) >= this.acquireDelayMs(shardId, lastOwner === undefined)
	}

	/** Promises of this incarnation are known; those of a former one are not, and may still hold. */
	private mayHavePromisedTo(member: string): boolean {
		if (this.conditions.hasPromisedTo(member)) return true
		const uptimeMs = this.context.now() - this.conditions.startedAt
		const longestPromiseMs =
			this.context.limits.takeoverPromiseMs * PROMISE_OF_FORMER_INCARNATION + PROMISE_MARGIN_MS
		return uptimeMs < longestPromiseMs
	}

	/** For how long the shard has had no owner while this process was running. */
	private absentForMs(shardId: number): number {
		const { startedAt } = this.conditions
		return this.context.now() - Math.max(this.absentSince.get(shardId) ?? startedAt, startedAt)
	}

	/**
	 * How long a shard has to be without an owner before this controller acquires it. The home controller comes first, then
	 * its successors in the order of the configuration, one after the other. A controller that its machines do not reach
	 * waits longest.
	 */
	private acquireDelayMs(shardId: number, neverOwned: boolean): number {
		const { limits, availability } = this.context
		const names = limits.controllerNames
		const stepMs = limits.controllerLeaseMs * ACQUIRE_STEP
		const distanceFromHome = (names.indexOf(limits.self) - shardId + names.length) % names.length
		const headStartMs = this.homeHeadStartMs(names[shardId], stepMs, neverOwned)
		const penaltyMs = availability.cutFromWorkers ? limits.controllerLeaseMs : 0
		return headStartMs + stepMs * distanceFromHome + penaltyMs
	}

	private homeHeadStartMs(home: string, stepMs: number, neverOwned: boolean): number {
		// At the first start of an installation the home controllers may come up at different times.
		if (neverOwned) return this.context.limits.controllerLeaseMs
		return this.conditions.isAlive(home) ? stepMs * HOME_HEAD_START_STEPS : 0
	}

	private acquire(shardId: number): void {
		const { limits, cache, client, incarnation } = this.context
		const leaseId = this.lease.leaseId
		if (leaseId === null) return
		this.beginTransition(shardId)
		const data = encodeShardOwner({ owner: limits.self, incarnation })
		// The last owner's key too: an acquisition that is applied late, after others have owned the shard and lost it, would
		// find the shard's key absent again, and take over what this controller may have promised to leave alone by then.
		const conditions = [shardKey(shardId), lastOwnerKey(shardId)].map((key) => ({
			key: KEY_PREFIX + key,
			modRevision: cache.modRevision(key),
		}))
		Effect.runFork(
			client.transact(conditions, ownerMutations(shardId, data, leaseId)).pipe(
				Effect.match({
					onSuccess: (result) => {
						this.endTransition(shardId)
						if (result.ok && this.lease.leaseId === leaseId)
							cache.applyOwnWrite(shardKey(shardId), data, result.revision)
					},
					onFailure: (error) => {
						if (error._tag === 'LeaseExpired' && this.lease.leaseId === leaseId) this.lease.expire()
						// Unanswered: if it was or will be applied, the watch reports it.
						setTimeout(() => this.endTransition(shardId), limits.controllerLeaseMs * ACQUIRE_RETRY_DELAY)
					},
				}),
			),
		)
	}

	/** Acquires every owned shard again, under new fencing tokens. */
	reacquireAll(): void {
		for (const { shardId } of [...this.ownedShards.values()]) {
			this.relinquish(shardId, 'taken anew after an error')
			if (this.conditions.hasLease()) this.acquire(shardId)
		}
	}
}
