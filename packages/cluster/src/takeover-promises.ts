/**
 * Takeover promises. A controller that cannot reach the state service, and so cannot renew its lease, asks its peers not to
 * take over its shards for a short while. With the promises of all peers it goes on acting for them.
 */
import { Effect } from 'effect'
import type { ControllerLease } from './controller-lease.js'
import type { Peer } from './gossip.js'
import type { MembershipContext } from './membership-context.js'
import { PROMISE_KEPT, PROMISE_RELIED_ON, PROMISE_STORE_CONTACT } from './membership-ratios.js'
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

/** The parts of the membership that promises depend on. */
export interface PromiseDependencies {
	readonly lease: ControllerLease
	readonly ownership: ShardOwnership
	readonly standstill: StandstillDetector
	readonly peers: readonly Peer[]
	/** Did the state service answer within the time? */
	reachedStoreWithin(ms: number): boolean
}

/** Promises that this controller has given and received. */
export class TakeoverPromises {
	/** Member -> steady time until which this controller acquires none of its shards. */
	private readonly givenUntil = new Map<string, number>()
	/** Peer -> steady time until which it acquires none of this controller's shards. */
	private readonly receivedUntil = new Map<string, number>()

	constructor(
		private readonly context: MembershipContext,
		private readonly dependencies: PromiseDependencies,
	) {}

	/** Has this controller promised not to take over the member's shards? */
	hasPromisedTo(member: string): boolean {
		return this.context.now() < (this.givenUntil.get(member) ?? 0)
	}

	/** Have all peers promised not to take over this controller's shards? */
	allPeersPromise(now: number): boolean {
		return this.dependencies.peers.every((peer) => now < (this.receivedUntil.get(peer.name) ?? 0))
	}

	/** Answers a peer's request for a promise. */
	answer(message: unknown): unknown {
		// A request of an older version names no revision and is refused: its sender stops acting, which is safe.
		const request = decodePromiseRequest(message)
		if (request === null) return PROMISE_REFUSED
		this.dependencies.standstill.tick()
		if (!this.mayPromise() || !this.agreesOnOwnership(request)) return PROMISE_REFUSED
		// The requester goes on only knowing every cancellation that anybody here was ever informed of.
		const cancellations = this.context.events.cancellationsSince(request.revision)
		if (cancellations === null) return PROMISE_REFUSED
		const durationMs = this.context.limits.takeoverPromiseMs * PROMISE_KEPT
		this.givenUntil.set(request.member, this.context.now() + durationMs)
		return encodePromise(cancellations)
	}

	/**
	 * Only while this controller cannot reach the state service either: otherwise the shards are better off with a controller
	 * that can. One that stood still a moment ago does not know whether it can.
	 */
	private mayPromise(): boolean {
		const { limits } = this.context
		if (this.dependencies.reachedStoreWithin(limits.controllerLeaseMs * PROMISE_STORE_CONTACT)) return false
		const runningMs = this.context.now() - this.dependencies.standstill.runningSince
		return runningMs >= limits.takeoverPromiseMs
	}

	/**
	 * Only for shards that belong to the requester as far as is known here, under the very fencing token that it acts by. An
	 * acquisition by this controller that is still in flight then began before that token and can no longer be applied: its
	 * condition names an older mod revision of the last owner's key.
	 */
	private agreesOnOwnership({ member, ownedShards }: TakeoverPromiseRequest): boolean {
		for (const [shardId, fencingToken] of ownedShards) {
			const entry = this.context.cache.get(shardKey(shardId))
			if (entry?.modRevision !== fencingToken) return false
			if (decodeShardOwner(entry.data)?.owner !== member) return false
			if (this.dependencies.ownership.isInvolved(shardId)) return false
		}
		return true
	}

	/** Asks all peers for promises, if this controller owns shards. */
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
		const until = sentAt + this.context.limits.takeoverPromiseMs * PROMISE_RELIED_ON
		this.receivedUntil.set(peer, Math.max(this.receivedUntil.get(peer) ?? 0, until))
	}
}
