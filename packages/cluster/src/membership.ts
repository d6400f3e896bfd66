/**
 * A controller's membership in the cluster: the shards it owns, whether it may act for them, and the status of its peers.
 * Coordinates the lease, ownership, takeover promises, gossip and handoffs, which have a module each.
 */
import type { DerivedLimits } from '@heathroad/config'
import type { StoreClient, WatchCache } from '@heathroad/store'
import type { HttpClient } from '@heathroad/wire'
import type { Effect } from 'effect'
import { ControllerLease } from './controller-lease.js'
import { Gossip, type Peer } from './gossip.js'
import { Handoff } from './handoff.js'
import type { LeadershipStatus, MembershipContext, MembershipEvents } from './membership-context.js'
import { PROMISE_PATH, STATUS_PATH } from './peer-client.js'
import type { PeerStatus } from './peer-status.js'
import { type OwnedShard, ShardOwnership } from './shard-ownership.js'
import { StandstillDetector } from './standstill-detector.js'
import { TakeoverPromises } from './takeover-promises.js'

/** A shard's owner according to the watch cache, with its status as known from gossip. */
export interface KnownOwner {
	name: string
	/** Whether a message of it arrived recently. */
	alive: boolean
	/** Whether it receives heartbeats from the shard's machines, according to its own status. */
	receivesHeartbeats: boolean
}

const createIncarnation = (controller: string): string =>
	`${controller}:${Date.now().toString(36)}${Math.floor(Math.random() * 1e9).toString(36)}`

/**
 * A controller owns a shard by a key that is attached to its lease. It may act as the owner for the lease's duration less
 * a margin, counted on the monotonic clock from when the last successful renewal was sent.
 */
export class Membership {
	/** This controller's lease at the state service. */
	readonly lease: ControllerLease
	private readonly context: MembershipContext
	private readonly standstill: StandstillDetector
	private readonly gossiping: Gossip
	private readonly ownership: ShardOwnership
	private readonly promises: TakeoverPromises
	private readonly handoff: Handoff
	private lastStoreContactAt = Number.NEGATIVE_INFINITY

	constructor(
		limits: DerivedLimits,
		cache: WatchCache,
		client: StoreClient,
		httpClient: HttpClient,
		now: () => number,
		events: MembershipEvents,
	) {
		const incarnation = createIncarnation(limits.self)
		const availability = { partitionedFromMachines: false, draining: false }
		this.context = { limits, cache, client, httpClient, now, events, incarnation, availability }
		this.standstill = new StandstillDetector(this.context)
		this.gossiping = new Gossip(this.context, () => this.localStatus())
		this.lease = this.createLease()
		this.ownership = this.createOwnership()
		this.promises = this.createPromises()
		this.handoff = this.createHandoff()
	}

	private createLease(): ControllerLease {
		return new ControllerLease(this.context, {
			ownsShards: () => this.ownership.ownedShards.size > 0,
			onGranted: () => this.ownership.acquireFreeShards(),
			onExpired: () => this.ownership.relinquishAll('the grant ended'),
			onFailed: () => this.promises.request(),
		})
	}

	private createOwnership(): ShardOwnership {
		return new ShardOwnership(this.context, this.lease, {
			hasLease: () => this.leadership() === 'lease',
			isAlive: (name) => this.gossiping.isAlive(name),
			hasPromisedTo: (member) => this.promises.hasPromisedTo(member),
			startedAt: this.standstill.startedAt,
		})
	}

	private createPromises(): TakeoverPromises {
		return new TakeoverPromises(this.context, {
			lease: this.lease,
			ownership: this.ownership,
			standstill: this.standstill,
			peers: this.gossiping.peers,
			reachedStoreWithin: (ms) => this.reachedStoreWithin(ms),
		})
	}

	private createHandoff(): Handoff {
		return new Handoff(this.context, {
			ownership: this.ownership,
			gossip: this.gossiping,
			hasLease: () => this.leadership() === 'lease',
			reachedStoreWithin: (ms) => this.reachedStoreWithin(ms),
		})
	}

	/** Id of this run of the controller. */
	get incarnation(): string {
		return this.context.incarnation
	}

	/** null if no lease is held */
	get leaseId(): number | null {
		return this.lease.leaseId
	}

	/** Shards that this controller owns, by shard id. */
	get ownedShards(): ReadonlyMap<number, OwnedShard> {
		return this.ownership.ownedShards
	}

	/** All other controllers, in the order of the configuration. */
	get peers(): readonly Peer[] {
		return this.gossiping.peers
	}

	/** Monotonic time since which the process has run uninterrupted: its start, or the end of its last standstill. */
	get runningSince(): number {
		return this.standstill.runningSince
	}

	/**
	 * A shard was handed off because its machines reach a peer but not this controller. Until the caller resets the flag, when
	 * a machine responds, this controller gets no shards back.
	 */
	get partitionedFromMachines(): boolean {
		return this.context.availability.partitionedFromMachines
	}

	set partitionedFromMachines(value: boolean) {
		this.context.availability.partitionedFromMachines = value
	}

	/** This controller is shutting down: it hands off its shards and acquires none. */
	get draining(): boolean {
		return this.context.availability.draining
	}

	set draining(value: boolean) {
		this.context.availability.draining = value
	}

	/** Must be called after every request to the state service. */
	onStoreContact(answered: boolean): void {
		if (answered) this.lastStoreContactAt = this.context.now()
	}

	/** Whether the state service responded within the last `ms` milliseconds. */
	reachedStoreWithin(ms: number): boolean {
		return this.context.now() - this.lastStoreContactAt < ms
	}

	/** Must be called at intervals far shorter than the standstill threshold. */
	detectStandstill(): void {
		this.standstill.tick()
	}

	/**
	 * Whether this controller may act for its shards, and on what basis. An owner that renews its lease but receives no changes
	 * would never receive a cancellation (incident 21), so the lease counts only while the watch cache is recent enough.
	 */
	leadership(now = this.context.now()): LeadershipStatus {
		const { cache, limits } = this.context
		if (this.lease.isValid(now) && cache.ageMs(now) < limits.maxStalenessMs) return 'lease'
		if (this.lease.leaseId !== null && this.promises.allPeersPromise(now)) return 'promise'
		return 'none'
	}

	/** The shard's owner and its status; null if the shard has no owner. */
	ownerOf(shardId: number): KnownOwner | null {
		const name = this.ownership.ownerOf(shardId)
		if (name === undefined) return null
		if (name === this.context.limits.self)
			return { name, alive: this.ownedShards.has(shardId), receivesHeartbeats: true }
		return {
			name,
			alive: this.isAlive(name),
			receivesHeartbeats: !this.gossiping.reportsUnreachable(name, shardId),
		}
	}

	/** Whether a message of the peer arrived recently. */
	isAlive(name: string): boolean {
		return this.gossiping.isAlive(name)
	}

	/** Obtains a lease and renews it until the fiber is interrupted. */
	maintainLease(): Effect.Effect<never> {
		return this.lease.maintain()
	}

	/** Must be called on every change of a shard's key. */
	onShardKeyChanged(shardId: number): void {
		this.ownership.onShardKeyChanged(shardId)
	}

	/** Acquires all shards that this controller may acquire. Must be called periodically. */
	acquireFreeShards(): void {
		this.ownership.acquireFreeShards()
	}

	/** Hands one shard back to its home controller, if it has been up and ready for long enough. */
	failBack(): void {
		this.handoff.failBack()
	}

	/** Hands off one shard whose machines reach a peer but not this controller. */
	handOffUnreachableShards(): void {
		this.handoff.handOffUnreachableShards()
	}

	/** Hands off all shards if `draining` is set; `atOnce` includes those that are not quiescent. */
	handOffAll(atOnce: boolean): void {
		this.handoff.handOffAll(atOnce)
	}

	/** Acquires all owned shards again, under new fencing tokens. */
	reacquireAll(): void {
		this.ownership.reacquireAll()
	}

	/** Sends this controller's status to all peers. */
	gossip(): void {
		this.gossiping.sendStatus()
	}

	/** Handles a request of another controller and returns the response; null if the path is unknown. */
	handlePeerRequest(path: string, message: unknown): unknown {
		if (path === STATUS_PATH) return this.gossiping.answerStatus(message)
		if (path === PROMISE_PATH) return this.promises.answer(message)
		return null
	}

	private localStatus(): PeerStatus {
		const { limits, now, events, incarnation } = this.context
		const { ready, ...serviceStatus } = events.localStatus()
		return {
			name: limits.self,
			incarnation,
			leaseId: this.lease.leaseId,
			uptimeMs: Math.round(now() - this.standstill.runningSince),
			ready: ready && this.mayReceiveShards(),
			unreachableShards: [...this.ownedShards.keys()].filter(
				(shardId) => events.unreachableMachines(shardId) > 0,
			),
			...serviceStatus,
		}
	}

	private mayReceiveShards(): boolean {
		const { partitionedFromMachines, draining } = this.context.availability
		const isAvailable = !partitionedFromMachines && !draining && !this.standstill.blocksFailback
		return isAvailable && this.leadership() === 'lease'
	}
}
