/**
 * A controller's membership in the cluster: which shards it owns, what it may do for them, and what it knows of its peers.
 * Coordinates the lease, ownership, takeover promises, gossip and handoffs, each of which has a module of its own.
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

/** A shard's owner as far as is known. */
export interface KnownOwner {
	name: string
	/** Was it heard from lately? */
	alive: boolean
	/** Does it hear the shard's machines, by its own account? */
	hears: boolean
}

const createIncarnation = (controller: string): string =>
	`${controller}:${Date.now().toString(36)}${Math.floor(Math.random() * 1e9).toString(36)}`

/**
 * Ownership of a shard is a key attached to the controller's lease. The right to act on it lasts from when the last
 * successful renewal was sent, for the lease's duration less a margin, on the steady clock.
 */
export class Membership {
	/** The lease at the state service. */
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
		const availability = { cutFromWorkers: false, draining: false }
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

	/** Tells two runs of one controller apart. */
	get incarnation(): string {
		return this.context.incarnation
	}

	/** null: no lease is held */
	get leaseId(): number | null {
		return this.lease.leaseId
	}

	/** Shards that this controller owns, by number. */
	get ownedShards(): ReadonlyMap<number, OwnedShard> {
		return this.ownership.ownedShards
	}

	/** All other controllers, in the order of the configuration. */
	get peers(): readonly Peer[] {
		return this.gossiping.peers
	}

	/** Since when this process has run without standing still: its start, or the end of its last standstill. */
	get runningSince(): number {
		return this.standstill.runningSince
	}

	/**
	 * A shard was handed off because its machines reach others and not this controller. No shard comes back until the caller
	 * resets it, when a machine answers.
	 */
	get cutFromWorkers(): boolean {
		return this.context.availability.cutFromWorkers
	}

	set cutFromWorkers(value: boolean) {
		this.context.availability.cutFromWorkers = value
	}

	/** This controller is about to end: its shards go to others, and it acquires none. */
	get draining(): boolean {
		return this.context.availability.draining
	}

	set draining(value: boolean) {
		this.context.availability.draining = value
	}

	/** A request to the state service was answered, or failed. */
	onStoreContact(answered: boolean): void {
		if (answered) this.lastStoreContactAt = this.context.now()
	}

	/** Did the state service answer within the time? */
	reachedStoreWithin(ms: number): boolean {
		return this.context.now() - this.lastStoreContactAt < ms
	}

	/** Must be called regularly, far more often than a standstill lasts. */
	detectStandstill(): void {
		this.standstill.tick()
	}

	/**
	 * What this controller may do for its shards. An owner that renews its lease while it receives no changes would never learn
	 * of a cancellation (incident 21): it relies on its lease only if it knows the records as of not long ago.
	 */
	leadership(now = this.context.now()): LeadershipStatus {
		const { cache, limits } = this.context
		if (this.lease.isValid(now) && cache.ageMs(now) < limits.maxStalenessMs) return 'lease'
		if (this.lease.leaseId !== null && this.promises.allPeersPromise(now)) return 'promise'
		return 'none'
	}

	/** The owner of a shard as far as is known; null: it has none. */
	ownerOf(shardId: number): KnownOwner | null {
		const name = this.ownership.ownerOf(shardId)
		if (name === undefined) return null
		if (name === this.context.limits.self) return { name, alive: this.ownedShards.has(shardId), hears: true }
		return { name, alive: this.isAlive(name), hears: !this.gossiping.reportsUnreachable(name, shardId) }
	}

	/** Was a peer heard from lately? */
	isAlive(name: string): boolean {
		return this.gossiping.isAlive(name)
	}

	/** Gets a lease and renews it until the fiber is interrupted. */
	maintainLease(): Effect.Effect<never> {
		return this.lease.maintain()
	}

	/** Must be called for every change of a shard's key. */
	onShardKeyChanged(shardId: number): void {
		this.ownership.onShardKeyChanged(shardId)
	}

	/** Acquires every shard that this controller may acquire. Must be called regularly. */
	acquireFreeShards(): void {
		this.ownership.acquireFreeShards()
	}

	/** Hands one shard back to its home controller, if that has been up and ready for a while. */
	failBack(): void {
		this.handoff.failBack()
	}

	/** Hands off one shard whose machines reach a peer and not this controller. */
	handOffUnreachableShards(): void {
		this.handoff.handOffUnreachableShards()
	}

	/** Hands off all shards while `draining`; `atOnce`: also those that are not quiescent. */
	handOffAll(atOnce: boolean): void {
		this.handoff.handOffAll(atOnce)
	}

	/** Acquires every owned shard again, under new fencing tokens. */
	reacquireAll(): void {
		this.ownership.reacquireAll()
	}

	/** Sends this controller's status to all peers. */
	gossip(): void {
		this.gossiping.sendStatus()
	}

	/** Answers a message of another controller; null: the path is unknown. */
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
		const { cutFromWorkers, draining } = this.context.availability
		const isAvailable = !cutFromWorkers && !draining && !this.standstill.blocksFailback
		return isAvailable && this.leadership() === 'lease'
	}
}
