import type { DerivedLimits } from '@heathroad/config'
import type { Log } from '@heathroad/logging'
import type { StoreClient, WatchCache } from '@heathroad/store'
import { KEY_PREFIX } from '@heathroad/store'
import { type HttpClient, isMap } from '@heathroad/wire'
import { Effect } from 'effect'
import {
	type CancelledJob,
	decodeCancellations,
	decodePromiseRequest,
	encodeCancellations,
} from './cancellations.js'
import { decodePeerStatus, encodePeerStatus, type PeerStatus } from './peer-status.js'
import { decodeShardOwner, encodeShardOwner, lastOwnerKey, shardKey } from './records.js'

/** What an owner may do at this moment. */
export type LeadershipStatus = 'lease' | 'promise' | 'none'

interface Peer {
	name: string
	address: string
	lastSeen: number
	status: PeerStatus | null
	/** until when it has promised not to adopt our parts */
	promisedUntil: number
}

export interface OwnedShard {
	shardId: number
	fencingToken: number
	acquiredAt: number
}

export interface MembershipEvents {
	onShardAcquired(shardId: number, fencingToken: number): void
	onShardLost(shardId: number, why: string): void
	/** is this part quiet enough to change hands? */
	isQuiescent(shardId: number): boolean
	/** machines of a part that should have reported long ago, if they are most of it; else 0 */
	unreachableMachines(shardId: number): number
	/** news for the peers */
	localStatus(): Pick<
		PeerStatus,
		| 'runningTasks'
		| 'ready'
		| 'exhaustedOffers'
		| 'quarantinedJobs'
		| 'ownerLookups'
		| 'partitionedShards'
		| 'teamUsage'
		| 'supportsArchive'
	>
	onPeerStatus(status: PeerStatus): void
	/** jobs that were cancelled behind an revision, for a peer cut off from the state; null: not all of them are known */
	cancellationsSince(revision: number): CancelledJob[] | null
	/** a peer told what it knows of cancellations while we are cut off from the state */
	applyCancellations(all: readonly CancelledJob[]): void
	log: Log
}

/**
 * Who owns which part. Ownership is a key attached to our grant; the right to act on it lasts from when the
 * last successful extend was sent, for the grant's time less a margin, on the steady clock.
 */
export class Membership {
	readonly ownedShards = new Map<number, OwnedShard>()
	readonly peers: Peer[]
	readonly incarnation: string
	leaseId: number | null = null
	private leaseValidUntil = 0
	private readonly startedAt: number
	/** start, or end of the last standstill */
	private resumedAt: number
	private lastTickAt: number
	/** until then no part comes back to us */
	private noFailbackUntil = 0
	/** a part was handed over because its machines reach others and not us; nothing comes back until one answers us */
	cutFromWorkers = false
	/** this controller is about to end: its parts go to others, and none comes to it */
	draining = false
	private lastStoreContactAt = Number.NEGATIVE_INFINITY
	/** promises we gave: member -> until when we adopt none of its parts */
	private readonly promisesGiven = new Map<string, number>()
	private readonly absentSince = new Map<number, number>()
	private acquiring = new Set<number>()

	constructor(
		private readonly limits: DerivedLimits,
		private readonly cache: WatchCache,
		private readonly client: StoreClient,
		private readonly httpClient: HttpClient,
		private readonly now: () => number,
		private readonly events: MembershipEvents,
	) {
		this.peers = limits.peers.map((p) => ({
			...p,
			lastSeen: Number.NEGATIVE_INFINITY,
			status: null,
			promisedUntil: 0,
		}))
		this.startedAt = now()
		this.resumedAt = this.startedAt
		this.lastTickAt = this.startedAt
		this.incarnation = `${limits.self}:${Date.now().toString(36)}${Math.floor(Math.random() * 1e9).toString(36)}`
	}

	/** Since when this process has run without standing still: its start, or the end of its last standstill. */
	get runningSince(): number {
		return this.resumedAt
	}

	onStoreContact(ok: boolean): void {
		if (ok) this.lastStoreContactAt = this.now()
	}

	/** Did the state answer us within that time? */
	reachedStoreWithin(ms: number): boolean {
		return this.now() - this.lastStoreContactAt < ms
	}

	/**
	 * Called often. A process that stood still finds everything late at once: that it heard nothing of the state says
	 * nothing about the state, and one that stands still now and then must not get its parts back each time in between.
	 */
	detectStandstill(): void {
		const now = this.now()
		const stoodMs = now - this.lastTickAt
		this.lastTickAt = now
		if (stoodMs < this.limits.controllerLeaseMs * 0.2) return
		this.resumedAt = now
		this.noFailbackUntil = now + Math.min(stoodMs, this.limits.agentLeaseMs * 2)
		this.events.log('info', 'process standstill', { ms: Math.round(stoodMs) })
	}

	/**
	 * With a grant that is extended and records that nothing is heard of any more, an owner would never learn of a
	 * cancellation (incident 21): it acts on its grant only if it knows the records as of not long ago.
	 */
	leadership(now = this.now()): LeadershipStatus {
		if (now < this.leaseValidUntil && this.cache.ageMs(now) < this.limits.maxStalenessMs) return 'lease'
		if (this.leaseId !== null && this.peers.every((peer) => now < peer.promisedUntil)) return 'promise'
		return 'none'
	}

	/** The owner of a part as far as is known, and whether it was heard of lately and hears its machines. */
	ownerOf(shardId: number): { name: string; alive: boolean; hears: boolean } | null {
		const record = decodeShardOwner(this.cache.get(shardKey(shardId))?.data)
		if (record === null) return null
		const name = record.owner
		if (name === this.limits.self) return { name, alive: this.ownedShards.has(shardId), hears: true }
		const status = this.peers.find((peer) => peer.name === name)?.status
		return { name, alive: this.isAlive(name), hears: !status?.unreachableShards.includes(shardId) }
	}

	isAlive(name: string): boolean {
		const peer = this.peers.find((p) => p.name === name)
		return peer !== undefined && this.now() - peer.lastSeen < this.livenessTimeoutMs()
	}

	private livenessTimeoutMs(): number {
		return this.limits.controllerLeaseMs * 0.6
	}

	private hasPromisedTo(member: string): boolean {
		return this.now() < (this.promisesGiven.get(member) ?? 0)
	}

	/** Keeps the grant alive. */
	maintainLease(): Effect.Effect<never> {
		const lifeMs = this.limits.controllerLeaseMs
		const step = Effect.suspend((): Effect.Effect<void, unknown> => {
			const sent = this.now()
			const until = sent + lifeMs * 0.999 - this.limits.clockMarginMs
			if (this.leaseId === null)
				return this.client.grantLease(lifeMs).pipe(
					Effect.map((g) => {
						this.leaseId = g
						this.leaseValidUntil = until
						this.acquireFreeShards()
					}),
				)
			const leaseId = this.leaseId
			// Whoever can extend its grant and does not hear of changes keeps its parts from those who do.
			if (this.ownedShards.size > 0 && this.cache.ageMs(sent) >= this.limits.maxStalenessMs)
				return Effect.fail('stale')
			return this.client.renewLease(leaseId).pipe(
				Effect.map(() => {
					if (this.leaseId === leaseId) this.leaseValidUntil = Math.max(this.leaseValidUntil, until)
				}),
				Effect.catchTag('LeaseExpired', () => Effect.sync(() => this.onLeaseExpired())),
			)
		})
		return step.pipe(
			Effect.match({ onFailure: () => false, onSuccess: () => true }),
			Effect.flatMap((ok) => {
				if (!ok) this.requestPromises()
				return Effect.sleep(this.leaseId === null || !ok ? lifeMs * 0.06 : lifeMs * 0.2)
			}),
			Effect.forever,
		)
	}

	private onLeaseExpired(): void {
		this.leaseId = null
		this.leaseValidUntil = 0
		for (const shardId of [...this.ownedShards.keys()]) this.relinquish(shardId, 'the grant ended')
	}

	private relinquish(shardId: number, why: string): void {
		if (!this.ownedShards.delete(shardId)) return
		this.events.onShardLost(shardId, why)
	}

	/** Called for every change of a `part/` key. */
	onShardKeyChanged(shardId: number): void {
		const entry = this.cache.get(shardKey(shardId))
		const record = decodeShardOwner(entry?.data)
		const mine =
			record !== null && record.owner === this.limits.self && record.incarnation === this.incarnation
		if (!mine) this.relinquish(shardId, record === null ? 'the key is gone' : `${record.owner} has it`)
		else if (entry !== undefined) this.onAcquired(shardId, entry.modRevision)
		if (record === null) {
			if (!this.absentSince.has(shardId)) this.absentSince.set(shardId, this.now())
		} else this.absentSince.delete(shardId)
		this.acquireFreeShards()
	}

	private onAcquired(shardId: number, fencingToken: number): void {
		const known = this.ownedShards.get(shardId)
		if (known !== undefined && known.fencingToken >= fencingToken) return
		if (known !== undefined) this.relinquish(shardId, 'taken again')
		this.ownedShards.set(shardId, { shardId: shardId, fencingToken: fencingToken, acquiredAt: this.now() })
		this.events.log('info', 'shard acquired', { part: shardId, token: fencingToken })
		this.events.onShardAcquired(shardId, fencingToken)
	}

	/** Looks at every part; called on changes and regularly. */
	acquireFreeShards(): void {
		if (this.leaseId === null || this.cache.revision < 0 || this.leadership() !== 'lease') return
		for (let shardId = 0; shardId < this.limits.controllerNames.length; shardId++) {
			if (this.ownedShards.has(shardId) || this.acquiring.has(shardId)) continue
			if (this.mayAcquire(shardId)) this.acquire(shardId)
		}
	}

	private mayAcquire(shardId: number): boolean {
		const now = this.now()
		const record = decodeShardOwner(this.cache.get(shardKey(shardId))?.data)
		// What stands in our name is ours to renew: a former life's, which has ended, or a hand-over's that did not happen,
		// as when the state went down that moment; nobody else can take it for as long as our grant lasts (incident 11).
		if (record !== null) return record.owner === this.limits.self
		if (this.draining) return false
		const last = decodeShardOwner(this.cache.get(lastOwnerKey(shardId))?.data)?.owner
		if (last !== undefined && last !== this.limits.self) {
			// We may have promised its owner, in this life or one that we cannot remember, to leave it alone.
			if (this.hasPromisedTo(last) || now - this.startedAt < this.limits.takeoverPromiseMs * 1.01 + 100)
				return false
		}
		const home = this.limits.controllerNames[shardId]
		if (home === this.limits.self && !this.cutFromWorkers) return true
		// Others wait their turn: the home controller first, then its successors one after the other.
		const step = this.limits.controllerLeaseMs * 0.08
		const turn =
			(this.limits.controllerNames.indexOf(this.limits.self) - shardId + this.limits.controllerNames.length) %
			this.limits.controllerNames.length
		const patience = last === undefined ? this.limits.controllerLeaseMs : this.isAlive(home) ? step * 6 : 0
		const since = Math.max(this.absentSince.get(shardId) ?? this.startedAt, this.startedAt)
		return now - since >= patience + step * turn + (this.cutFromWorkers ? this.limits.controllerLeaseMs : 0)
	}

	private acquire(shardId: number): void {
		const leaseId = this.leaseId
		if (leaseId === null) return
		this.acquiring.add(shardId)
		const data = encodeShardOwner({ owner: this.limits.self, incarnation: this.incarnation })
		// The key of the last owner too: a take that is applied late, after others have had the part and lost it, would
		// find the part's own key absent again, and take what we may have promised to leave alone by then.
		const conditions = [shardKey(shardId), lastOwnerKey(shardId)].map((key) => ({
			key: KEY_PREFIX + key,
			modRevision: this.cache.modRevision(key),
		}))
		Effect.runFork(
			this.client
				.transact(conditions, [
					{ set: KEY_PREFIX + shardKey(shardId), data, leaseId: leaseId },
					{ set: KEY_PREFIX + lastOwnerKey(shardId), data },
				])
				.pipe(
					Effect.match({
						onSuccess: (r) => {
							this.acquiring.delete(shardId)
							if (r.ok && this.leaseId === leaseId)
								this.cache.applyOwnWrite(shardKey(shardId), data, r.revision)
						},
						onFailure: (e) => {
							if (e._tag === 'LeaseExpired' && this.leaseId === leaseId) this.onLeaseExpired()
							// Unanswered: if it was or is yet applied, the watch will tell.
							setTimeout(() => this.acquiring.delete(shardId), this.limits.controllerLeaseMs * 0.1)
						},
					}),
				),
		)
	}

	/** Gives parts back to their home controller once that has been up and ready for a while. */
	failBack(): void {
		if (!this.mayHandOff()) return
		for (const { shardId, acquiredAt: since } of [...this.ownedShards.values()]) {
			const home = this.limits.controllerNames[shardId]
			if (home === this.limits.self) continue
			const peer = this.peers.find((p) => p.name === home)
			const status = this.statusIfEligible(peer)
			if (!peer || !status || status.uptimeMs < this.limits.controllerLeaseMs * 0.4) continue
			if (this.now() - since < this.limits.controllerLeaseMs * 0.4) continue
			if (!this.events.isQuiescent(shardId) && this.now() - since < this.limits.agentLeaseMs * 2) continue
			return this.handOff(shardId, home, status, `handed back to ${home}`)
		}
	}

	/** Only while the state answers: a hand-over that it does not confirm costs the part more than it gains. */
	private mayHandOff(): boolean {
		return this.leadership() === 'lease' && this.reachedStoreWithin(this.limits.controllerLeaseMs * 0.3)
	}

	/** A peer's news if it could own one more part right now. */
	private statusIfEligible(peer: Peer | undefined): (PeerStatus & { leaseId: number }) | null {
		const status = peer?.status
		if (!status?.ready || status.leaseId === null || !this.isAlive(status.name)) return null
		return status as PeerStatus & { leaseId: number }
	}

	/**
	 * Cut from the workers alone, we keep our grant while no report reaches us, nobody adopts, and all leases end. That
	 * most machines of a part are silent here while they ask a peer for their owner is evidence enough to let the peer
	 * have it; machines that are cut themselves reach nobody. Not twice within a lease, or a zone that is cut in two
	 * would have its parts change hands for ever.
	 */
	handOffUnreachableShards(): void {
		if (!this.mayHandOff()) return
		for (const { shardId, acquiredAt: since } of [...this.ownedShards.values()]) {
			const unheard = this.events.unreachableMachines(shardId)
			if (unheard === 0 || this.now() - since < this.limits.agentLeaseMs) continue
			const hears = (peer: Peer) => peer.status?.ownerLookups[shardId] ?? 0
			const best = this.peers
				.filter((peer) => this.statusIfEligible(peer))
				.sort((a, b) => hears(b) - hears(a))[0]
			const status = this.statusIfEligible(best)
			if (status === null || hears(best) < 2 || hears(best) * 8 < unheard) continue
			this.cutFromWorkers = true
			return this.handOff(shardId, best.name, status, `its machines reach ${best.name} and not us`)
		}
	}

	/**
	 * We are about to end: every part goes to its home, or to the peer that owns the fewest. One whose machines are not all
	 * accounted for stays until they are, since its next owner would have to wait for them; `atOnce`: it goes all the same.
	 */
	handOffAll(atOnce: boolean): void {
		if (!this.draining || !this.mayHandOff()) return
		const owns = new Map<string, number>()
		for (let shardId = 0; shardId < this.limits.controllerNames.length; shardId++) {
			const owner = decodeShardOwner(this.cache.get(shardKey(shardId))?.data)?.owner
			if (owner !== undefined) owns.set(owner, (owns.get(owner) ?? 0) + 1)
		}
		for (const { shardId } of [...this.ownedShards.values()]) {
			if (!atOnce && !this.events.isQuiescent(shardId)) continue
			const able = this.peers.filter((peer) => this.statusIfEligible(peer) !== null)
			const count = (peer: Peer) =>
				peer.name === this.limits.controllerNames[shardId] ? -1 : (owns.get(peer.name) ?? 0)
			const best = able.sort((a, b) => count(a) - count(b))[0]
			const status = this.statusIfEligible(best)
			if (status === null) return
			owns.set(best.name, (owns.get(best.name) ?? 0) + 1)
			this.handOff(shardId, best.name, status, `handed to ${best.name} at our end`)
		}
	}

	private handOff(shardId: number, to: string, status: PeerStatus & { leaseId: number }, why: string): void {
		const fencingToken = this.ownedShards.get(shardId)!.fencingToken
		const data = encodeShardOwner({ owner: to, incarnation: status.incarnation })
		this.relinquish(shardId, why)
		this.acquiring.add(shardId)
		Effect.runFork(
			this.client
				.transact(
					[{ key: KEY_PREFIX + shardKey(shardId), modRevision: fencingToken }],
					[
						{ set: KEY_PREFIX + shardKey(shardId), data, leaseId: status.leaseId },
						{ set: KEY_PREFIX + lastOwnerKey(shardId), data },
					],
				)
				.pipe(
					Effect.match({
						onSuccess: (r) => {
							if (r.ok) this.cache.applyOwnWrite(shardKey(shardId), data, r.revision)
						},
						onFailure: () => {},
					}),
					Effect.andThen(Effect.sleep(this.limits.controllerLeaseMs * 0.2)),
					// One that did not happen leaves the key in our name: then we take it again under a new token.
					Effect.map(() => this.acquiring.delete(shardId)),
				),
		)
	}

	/** Takes every owned part again, under new tokens. */
	reacquireAll(): void {
		for (const { shardId } of [...this.ownedShards.values()]) {
			this.relinquish(shardId, 'taken anew after an error')
			if (this.leadership() === 'lease') this.acquire(shardId)
		}
	}

	// ---- between controllers ----

	private post(peer: Peer, path: string, body: unknown): Effect.Effect<unknown> {
		return this.httpClient
			.request(peer.address, 'POST', path, body, this.limits.controllerLeaseMs * 0.25)
			.pipe(Effect.match({ onFailure: () => null, onSuccess: (a) => (a.status === 200 ? a.body : null) }))
	}

	private localStatus(): PeerStatus {
		const { ready, ...news } = this.events.localStatus()
		return {
			name: this.limits.self,
			incarnation: this.incarnation,
			leaseId: this.leaseId,
			uptimeMs: Math.round(this.now() - this.resumedAt),
			ready:
				ready &&
				this.leadership() === 'lease' &&
				!this.cutFromWorkers &&
				!this.draining &&
				this.now() >= this.noFailbackUntil,
			unreachableShards: [...this.ownedShards.keys()].filter(
				(shardId) => this.events.unreachableMachines(shardId) > 0,
			),
			...news,
		}
	}

	gossip(): void {
		const message = encodePeerStatus(this.localStatus())
		for (const peer of this.peers)
			Effect.runFork(
				this.post(peer, '/peer/news', message).pipe(Effect.map((answer) => this.onPeerMessage(answer))),
			)
	}

	private onPeerMessage(message: unknown): void {
		const status = decodePeerStatus(message)
		const peer = this.peers.find((p) => p.name === status?.name)
		if (status === null || peer === undefined) return
		peer.lastSeen = this.now()
		peer.status = status
		this.events.onPeerStatus(status)
	}

	/** Answers a message of another controller. */
	handlePeerRequest(path: string, message: unknown): unknown {
		if (path === '/peer/news') {
			this.onPeerMessage(message)
			return encodePeerStatus(this.localStatus())
		}
		if (path === '/peer/promise') return this.answerPromiseRequest(message)
		return null
	}

	/**
	 * A member that cannot reach the state asks us not to adopt its parts for a short while. Only if we cannot
	 * reach it either: otherwise the part is better off with somebody who can.
	 */
	private answerPromiseRequest(message: unknown): unknown {
		const refused = { promised: false }
		// A controller of an older version does not say what it knows: it falls silent, which is safe.
		const question = decodePromiseRequest(message)
		if (question === null) return refused
		this.detectStandstill()
		const now = this.now()
		if (
			this.reachedStoreWithin(this.limits.controllerLeaseMs * 0.25) ||
			now - this.resumedAt < this.limits.takeoverPromiseMs
		)
			return refused
		// Only for parts that are its own as far as we know, under the very token that it acts by. A take of ours that
		// is still under way then began before that token and can no longer be applied: it names an older `last/` key.
		for (const [shardId, fencingToken] of question.ownedShards) {
			const entry = this.cache.get(shardKey(shardId))
			if (entry?.modRevision !== fencingToken || decodeShardOwner(entry?.data)?.owner !== question.member)
				return refused
			if (this.acquiring.has(shardId) || this.ownedShards.has(shardId)) return refused
		}
		// Whatever anybody here was ever told to be cancelled, and it does not know: it goes on only knowing that.
		const cancelled = this.events.cancellationsSince(question.revision)
		if (cancelled === null) return refused
		this.promisesGiven.set(question.member, now + this.limits.takeoverPromiseMs * 1.002)
		return { promised: true, cancelled: encodeCancellations(cancelled) }
	}

	private requestPromises(): void {
		if (this.ownedShards.size === 0 || this.leaseId === null) return
		const owned: Record<string, number> = {}
		for (const { shardId, fencingToken } of this.ownedShards.values()) owned[shardId] = fencingToken
		const message = { name: this.limits.self, owned, epoch: this.cache.revision }
		for (const peer of this.peers) {
			const sent = this.now()
			Effect.runFork(
				this.post(peer, '/peer/promise', message).pipe(
					Effect.map((answer) => {
						const cancelled =
							isMap(answer) && answer.promised === true ? decodeCancellations(answer.cancelled) : null
						if (cancelled === null) return
						this.events.applyCancellations(cancelled)
						peer.promisedUntil = Math.max(peer.promisedUntil, sent + this.limits.takeoverPromiseMs * 0.998)
					}),
				),
			)
		}
	}
}
