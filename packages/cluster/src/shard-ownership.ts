/**
 * Shard ownership of this controller. A shard's owner holds the shard's key, attached to its lease: when the lease expires,
 * the state service deletes the key and another controller acquires the shard.
 */
import { KEY_PREFIX } from '@heathroad/store'
import type { Mutation } from '@heathroad/wire'
import { Effect } from 'effect'
import type { ControllerLease } from './controller-lease.js'
import type { MembershipContext } from './membership-context.js'
import {
	ACQUIRE_RETRY_DELAY,
	ACQUIRE_STAGGER,
	HOME_HEAD_START_STEPS,
	PREVIOUS_INCARNATION_PROMISE,
	PROMISE_MARGIN_MS,
} from './membership-ratios.js'
import { lastOwnerKey, shardKey } from './record-keys.js'
import { decodeShardOwner, encodeShardOwner } from './records.js'

/** A shard that this controller owns. */
export interface OwnedShard {
	shardId: number
	/** Mod revision of the shard's key at its acquisition. */
	fencingToken: number
	/** Monotonic time at which the key was seen to be acquired. */
	acquiredAt: number
}

/** Queries to the rest of the membership that ownership depends on. */
export interface OwnershipDependencies {
	/** Whether this controller holds a valid lease and its copy of the records is recent enough. */
	hasLease(): boolean
	isAlive(name: string): boolean
	/** Whether this controller has promised not to take over the member's shards. */
	hasPromisedTo(member: string): boolean
	/** Monotonic time at which the process started. */
	readonly startedAt: number
}

/** Mutations that make a controller the owner of a shard and record it as the shard's last owner. */
export const ownerMutations = (shardId: number, data: unknown, leaseId: number): Mutation[] => [
	{ set: KEY_PREFIX + shardKey(shardId), data, leaseId },
	{ set: KEY_PREFIX + lastOwnerKey(shardId), data },
]

/** Acquires and relinquishes shards. */
export class ShardOwnership {
	readonly ownedShards = new Map<number, OwnedShard>()
	/** Shard -> monotonic time since which it has had no owner. */
	private readonly unownedSince = new Map<number, number>()
	/** Shards that must not be acquired now, since an acquisition or a handoff is in flight. */
	private readonly inTransition = new Set<number>()

	constructor(
		private readonly context: MembershipContext,
		private readonly lease: ControllerLease,
		private readonly dependencies: OwnershipDependencies,
	) {}

	/** The shard's owner according to the watch cache. */
	ownerOf(shardId: number): string | undefined {
		return decodeShardOwner(this.context.cache.get(shardKey(shardId))?.data)?.owner
	}

	/** Whether the shard is owned here, or an acquisition or handoff of it is in flight. */
	isOwnedOrInTransition(shardId: number): boolean {
		return this.inTransition.has(shardId) || this.ownedShards.has(shardId)
	}

	/** Prevents this controller from acquiring a shard until `endTransition`. */
	beginTransition(shardId: number): void {
		this.inTransition.add(shardId)
	}

	/** Must follow every `beginTransition`. */
	endTransition(shardId: number): void {
		this.inTransition.delete(shardId)
	}

	/** Gives up a shard, if it is owned, and reports the reason. */
	relinquish(shardId: number, why: string): void {
		if (!this.ownedShards.delete(shardId)) return
		this.context.events.onShardLost(shardId, why)
	}

	/** Gives up all owned shards. */
	relinquishAll(why: string): void {
		for (const shardId of [...this.ownedShards.keys()]) this.relinquish(shardId, why)
	}

	/** Must be called on every change of a shard's key. */
	onShardKeyChanged(shardId: number): void {
		const { cache, limits, incarnation } = this.context
		const entry = cache.get(shardKey(shardId))
		const record = decodeShardOwner(entry?.data)
		const isOwn = record?.owner === limits.self && record.incarnation === incarnation
		if (!isOwn) this.relinquish(shardId, record === null ? 'the key is gone' : `${record.owner} has it`)
		else if (entry !== undefined) this.onAcquired(shardId, entry.modRevision)
		this.trackUnowned(shardId, record === null)
		this.acquireFreeShards()
	}

	private trackUnowned(shardId: number, isUnowned: boolean): void {
		if (!isUnowned) this.unownedSince.delete(shardId)
		else if (!this.unownedSince.has(shardId)) this.unownedSince.set(shardId, this.context.now())
	}

	private onAcquired(shardId: number, fencingToken: number): void {
		const owned = this.ownedShards.get(shardId)
		if (owned !== undefined && owned.fencingToken >= fencingToken) return
		if (owned !== undefined) this.relinquish(shardId, 'taken again')
		this.ownedShards.set(shardId, { shardId, fencingToken, acquiredAt: this.context.now() })
		this.context.events.log('info', 'shard acquired', { part: shardId, token: fencingToken })
		this.context.events.onShardAcquired(shardId, fencingToken)
	}

	/** Acquires all shards that this controller may acquire; called on changes and periodically. */
	acquireFreeShards(): void {
		const { cache, limits } = this.context
		if (this.lease.leaseId === null || cache.revision < 0 || !this.dependencies.hasLease()) return
		for (let shardId = 0; shardId < limits.controllerNames.length; shardId++) {
			if (this.isOwnedOrInTransition(shardId)) continue
			if (this.mayAcquire(shardId)) this.acquire(shardId)
		}
	}

	private mayAcquire(shardId: number): boolean {
		const { limits, cache, availability } = this.context
		const owner = this.ownerOf(shardId)
		// A key that names this controller, although it doesn't own the shard, is from its previous incarnation or a handoff
		// that was not applied, for example because the state service failed. No other controller can acquire the shard
		// while this controller's lease lasts, so it must acquire the shard again itself (incident 11).
		if (owner !== undefined) return owner === limits.self
		if (availability.draining) return false
		const lastOwner = decodeShardOwner(cache.get(lastOwnerKey(shardId))?.data)?.owner
		if (lastOwner !== undefined && lastOwner !== limits.self && this.mayHavePromisedTo(lastOwner))
			return false
		const isHome = limits.controllerNames[shardId] === limits.self
		if (isHome && !availability.partitionedFromMachines) return true
		return this.unownedForMs(shardId) >= this.acquireDelayMs(shardId, lastOwner === undefined)
	}

	/** Promises of this incarnation are known; those of the previous one are not, and may still be in effect. */
	private mayHavePromisedTo(member: string): boolean {
		if (this.dependencies.hasPromisedTo(member)) return true
		const uptimeMs = this.context.now() - this.dependencies.startedAt
		const longestPromiseMs =
			this.context.limits.takeoverPromiseMs * PREVIOUS_INCARNATION_PROMISE + PROMISE_MARGIN_MS
		return uptimeMs < longestPromiseMs
	}

	/** Time for which the shard has had no owner, counted from the start of this process at the earliest. */
	private unownedForMs(shardId: number): number {
		const { startedAt } = this.dependencies
		return this.context.now() - Math.max(this.unownedSince.get(shardId) ?? startedAt, startedAt)
	}

	/**
	 * How long a shard must be without an owner before this controller acquires it. The home controller comes first, then
	 * the others one by one, in the order of the configuration. A controller that is partitioned from the machines waits
	 * longest.
	 */
	private acquireDelayMs(shardId: number, neverOwned: boolean): number {
		const { limits, availability } = this.context
		const names = limits.controllerNames
		const stepMs = limits.controllerLeaseMs * ACQUIRE_STAGGER
		const distanceFromHome = (names.indexOf(limits.self) - shardId + names.length) % names.length
		const headStartMs = this.homeHeadStartMs(names[shardId], stepMs, neverOwned)
		const penaltyMs = availability.partitionedFromMachines ? limits.controllerLeaseMs : 0
		return headStartMs + stepMs * distanceFromHome + penaltyMs
	}

	private homeHeadStartMs(home: string, stepMs: number, neverOwned: boolean): number {
		// At the first start of an installation, the home controllers may start at different times.
		if (neverOwned) return this.context.limits.controllerLeaseMs
		return this.dependencies.isAlive(home) ? stepMs * HOME_HEAD_START_STEPS : 0
	}

	private acquire(shardId: number): void {
		const { limits, cache, client, incarnation } = this.context
		const leaseId = this.lease.leaseId
		if (leaseId === null) return
		this.beginTransition(shardId)
		const data = encodeShardOwner({ owner: limits.self, incarnation })
		// The last owner's key is a condition too. An acquisition that is applied late, after others have owned and lost the
		// shard, would find the shard's key absent again, and take over a shard that this controller may have promised by
		// then not to take over.
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
						// Without a response it may have been applied, or may be later; the watch reports it then.
						setTimeout(() => this.endTransition(shardId), limits.controllerLeaseMs * ACQUIRE_RETRY_DELAY)
					},
				}),
			),
		)
	}

	/** Acquires all owned shards again, under new fencing tokens. */
	reacquireAll(): void {
		for (const { shardId } of [...this.ownedShards.values()]) {
			this.relinquish(shardId, 'taken anew after an error')
			if (this.dependencies.hasLease()) this.acquire(shardId)
		}
	}
}
