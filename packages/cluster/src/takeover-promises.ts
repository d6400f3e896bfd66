/**
 * Takeover promises. A controller that cannot reach the state service, and so cannot renew its lease, requests that its
 * peers not take over its shards for a short time. With promises from all peers it continues to act for its shards.
 */
import { Effect } from 'effect'
import type { ControllerLease } from './controller-lease.js'
import type { Peer } from './gossip.js'
import type { MembershipContext } from './membership-context.js'
import {
	GIVEN_PROMISE_DURATION,
	PROMISE_STORE_CONTACT_WINDOW,
	RECEIVED_PROMISE_DURATION,
} from './membership-ratios.js'
import { PROMISE_PATH, postToPeer } from './peer-client.js'
import {
	decodePromiseAnswer,
	decodePromiseRequest,
	encodePromise,
	encodePromiseRequest,
	PROMISE_REFUSED,
	type TakeoverPromiseRequest,
} from './promise-messages.js'
import { shardKey } from './record-keys.js'
import { decodeShardOwner } from './records.js'
import type { ShardOwnership } from './shard-ownership.js'
import type { StandstillDetector } from './standstill-detector.js'

/** The modules of the membership that promises depend on. */
export interface PromiseDependencies {
	readonly lease: ControllerLease
	readonly ownership: ShardOwnership
	readonly standstill: StandstillDetector
	readonly peers: readonly Peer[]
	/** Whether the state service responded within the last `ms` milliseconds. */
	reachedStoreWithin(ms: number): boolean
}

/** The promises that this controller has given and received. */
export class TakeoverPromises {
	/** Member -> monotonic time until which this controller acquires none of its shards. */
	private readonly givenUntil = new Map<string, number>()
	/** Peer -> monotonic time until which it acquires none of this controller's shards. */
	private readonly receivedUntil = new Map<string, number>()

	constructor(
		private readonly context: MembershipContext,
		private readonly dependencies: PromiseDependencies,
	) {}

	/** Whether this controller has promised not to take over the member's shards. */
	hasPromisedTo(member: string): boolean {
		return this.context.now() < (this.givenUntil.get(member) ?? 0)
	}

	/** Whether all peers have promised not to take over this controller's shards. */
	allPeersPromise(now: number): boolean {
		return this.dependencies.peers.every((peer) => now < (this.receivedUntil.get(peer.name) ?? 0))
	}

	/** Handles a peer's request for a promise and returns the response. */
	answer(message: unknown): unknown {
		// A request from an older version has no revision and is refused: its sender stops acting, which is safe.
		const request = decodePromiseRequest(message)
		if (request === null) return PROMISE_REFUSED
		this.dependencies.standstill.tick()
		if (!this.mayPromise() || !this.agreesOnOwnership(request)) return PROMISE_REFUSED
		// The requester may only continue if it knows every cancellation that this controller knows.
		const cancellations = this.context.events.cancellationsSince(request.revision)
		if (cancellations === null) return PROMISE_REFUSED
		const durationMs = this.context.limits.takeoverPromiseMs * GIVEN_PROMISE_DURATION
		this.givenUntil.set(request.member, this.context.now() + durationMs)
		return encodePromise(cancellations)
	}

	/**
	 * Only a controller that cannot reach the state service either may promise; otherwise a controller that can reach it
	 * should take over. After a recent standstill, this controller doesn't know whether it can.
	 */
	private mayPromise(): boolean {
		const { limits } = this.context
		if (this.dependencies.reachedStoreWithin(limits.controllerLeaseMs * PROMISE_STORE_CONTACT_WINDOW))
			return false
		const runningMs = this.context.now() - this.dependencies.standstill.runningSince
		return runningMs >= limits.takeoverPromiseMs
	}

	/**
	 * Whether this controller's records agree that the requester owns the shards, under the same fencing tokens. If they
	 * do, an acquisition by this controller with an unknown outcome began before that token and can no longer be applied:
	 * it is conditional on an older mod revision of the last owner's key.
	 */
	private agreesOnOwnership({ member, ownedShards }: TakeoverPromiseRequest): boolean {
		for (const [shardId, fencingToken] of ownedShards) {
			const entry = this.context.cache.get(shardKey(shardId))
			if (entry?.modRevision !== fencingToken) return false
			if (decodeShardOwner(entry.data)?.owner !== member) return false
			if (this.dependencies.ownership.isOwnedOrInTransition(shardId)) return false
		}
		return true
	}

	/** Requests promises from all peers, if this controller owns shards. */
	request(): void {
		const { lease, ownership, peers } = this.dependencies
		if (ownership.ownedShards.size === 0 || lease.leaseId === null) return
		const fencingTokens = new Map<number, number>()
		for (const { shardId, fencingToken } of ownership.ownedShards.values())
			fencingTokens.set(shardId, fencingToken)
		const message = encodePromiseRequest({
			member: this.context.limits.self,
			ownedShards: fencingTokens,
			revision: this.context.cache.revision,
		})
		for (const peer of peers) {
			const sentAt = this.context.now()
			Effect.runFork(
				postToPeer(this.context, peer.address, PROMISE_PATH, message).pipe(
					Effect.map((answer) => this.onAnswer(peer.name, sentAt, answer)),
				),
			)
		}
	}

	private onAnswer(peer: string, sentAt: number, answer: unknown): void {
		const cancellations = decodePromiseAnswer(answer)
		if (cancellations === null) return
		this.context.events.applyCancellations(cancellations)
		const until = sentAt + this.context.limits.takeoverPromiseMs * RECEIVED_PROMISE_DURATION
		this.receivedUntil.set(peer, Math.max(this.receivedUntil.get(peer) ?? 0, until))
	}
}
