import type { Derived } from '@heathroad/config'
import type { Mirror, StoreClient } from '@heathroad/store'
import { ROOT } from '@heathroad/store'
import { type Caller, isMap } from '@heathroad/wire'
import { Effect } from 'effect'
import { type Cancelled, readCancelled, readQuestion, writeCancelled } from './cancellations.js'
import { asPart, lastOwnerKey, partKey } from './records.js'

/** What an owner may do at this moment. */
export type Right = 'grant' | 'promise' | 'none'

export interface PeerNews {
	name: string
	life: string
	grant: number | null
	upMs: number
	ready: boolean
	/** tasks running, by job, of the parts it owns */
	running: Record<string, number>
	/** offers of the cloud found empty: ms for which nobody need ask */
	empty: Record<string, number>
	/** jobs of the parts it owns that fail wherever they are tried */
	suspect: string[]
	/** what teams with a guarantee use in the parts it owns */
	used: Record<string, { cpus: number; gpus: number }>
	/** parts it owns most of whose machines it does not hear */
	unheard: number[]
	/** parts it owns most of whose machines are out of its reach, those being rebuilt included */
	stranded: number[]
	/** machines of parts it does not own that reported to it lately, by part */
	sought: Record<string, number>
	/** may the records move to a form that archives jobs which are over? */
	history: boolean
}

interface Peer {
	name: string
	address: string
	heard: number
	news: PeerNews | null
	/** until when it has promised not to adopt our parts */
	promised: number
}

export interface Owned {
	part: number
	token: number
	since: number
}

export interface MembershipEvents {
	took(part: number, token: number): void
	lost(part: number, why: string): void
	/** is this part quiet enough to change hands? */
	quiet(part: number): boolean
	/** machines of a part that should have reported long ago, if they are most of it; else 0 */
	unheard(part: number): number
	/** news for the peers */
	news(): Pick<
		PeerNews,
		'running' | 'ready' | 'empty' | 'suspect' | 'sought' | 'stranded' | 'used' | 'history'
	>
	heard(news: PeerNews): void
	/** jobs that were cancelled behind an epoch, for a peer cut off from the state; null: not all of them are known */
	cancelled(epoch: number): Cancelled[] | null
	/** a peer told what it knows of cancellations while we are cut off from the state */
	applyCancelled(all: readonly Cancelled[]): void
	log(level: 'info' | 'debug' | 'error', event: string, fields?: Record<string, unknown>): void
}

/**
 * Who owns which part. Ownership is a key attached to our grant; the right to act on it lasts from when the
 * last successful extend was sent, for the grant's time less a margin, on the steady clock.
 */
export class Membership {
	readonly owned = new Map<number, Owned>()
	readonly peers: Peer[]
	readonly life: string
	grant: number | null = null
	private rightUntil = 0
	private readonly started: number
	/** start, or end of the last standstill */
	private awakeSince: number
	private lastPulse: number
	/** until then no part comes back to us */
	private restUntil = 0
	/** a part was handed over because its machines reach others and not us; nothing comes back until one answers us */
	deaf = false
	/** this controller is about to end: its parts go to others, and none comes to it */
	leaving = false
	private lastStateOk = Number.NEGATIVE_INFINITY
	/** promises we gave: member -> until when we adopt none of its parts */
	private readonly given = new Map<string, number>()
	private readonly absentSince = new Map<number, number>()
	private taking = new Set<number>()

	constructor(
		private readonly d: Derived,
		private readonly mirror: Mirror,
		private readonly client: StoreClient,
		private readonly caller: Caller,
		private readonly now: () => number,
		private readonly events: MembershipEvents,
	) {
		this.peers = d.peers.map((p) => ({ ...p, heard: Number.NEGATIVE_INFINITY, news: null, promised: 0 }))
		this.started = now()
		this.awakeSince = this.started
		this.lastPulse = this.started
		this.life = `${d.self}:${Date.now().toString(36)}${Math.floor(Math.random() * 1e9).toString(36)}`
	}

	/** Since when this process has run without standing still: its start, or the end of its last standstill. */
	get awake(): number {
		return this.awakeSince
	}

	stateHeard(ok: boolean): void {
		if (ok) this.lastStateOk = this.now()
	}

	/** Did the state answer us within that time? */
	stateHeardWithin(ms: number): boolean {
		return this.now() - this.lastStateOk < ms
	}

	/**
	 * Called often. A process that stood still finds everything late at once: that it heard nothing of the state says
	 * nothing about the state, and one that stands still now and then must not get its parts back each time in between.
	 */
	pulse(): void {
		const now = this.now()
		const stoodMs = now - this.lastPulse
		this.lastPulse = now
		if (stoodMs < this.d.grantMs * 0.2) return
		this.awakeSince = now
		this.restUntil = now + Math.min(stoodMs, this.d.leaseMs * 2)
		this.events.log('info', 'stood still', { ms: Math.round(stoodMs) })
	}

	/**
	 * With a grant that is extended and records that nothing is heard of any more, an owner would never learn of a
	 * cancellation (incident 21): it acts on its grant only if it knows the records as of not long ago.
	 */
	right(now = this.now()): Right {
		if (now < this.rightUntil && this.mirror.ageMs(now) < this.d.staleMs) return 'grant'
		if (this.grant !== null && this.peers.every((p) => now < p.promised)) return 'promise'
		return 'none'
	}

	/** The owner of a part as far as is known, and whether it was heard of lately and hears its machines. */
	ownerOf(part: number): { name: string; alive: boolean; hears: boolean } | null {
		const record = asPart(this.mirror.get(partKey(part))?.data)
		if (record === null) return null
		const name = record.owner
		if (name === this.d.self) return { name, alive: this.owned.has(part), hears: true }
		const news = this.peers.find((p) => p.name === name)?.news
		return { name, alive: this.alive(name), hears: !news?.unheard.includes(part) }
	}

	alive(name: string): boolean {
		const peer = this.peers.find((p) => p.name === name)
		return peer !== undefined && this.now() - peer.heard < this.aliveMs()
	}

	private aliveMs(): number {
		return this.d.grantMs * 0.6
	}

	private promisedTo(member: string): boolean {
		return this.now() < (this.given.get(member) ?? 0)
	}

	/** Keeps the grant alive. */
	keepGrant(): Effect.Effect<never> {
		const lifeMs = this.d.grantMs
		const step = Effect.suspend((): Effect.Effect<void, unknown> => {
			const sent = this.now()
			const until = sent + lifeMs * 0.999 - this.d.marginMs
			if (this.grant === null)
				return this.client.grant(lifeMs).pipe(
					Effect.map((g) => {
						this.grant = g
						this.rightUntil = until
						this.takeWhatIsFree()
					}),
				)
			const grant = this.grant
			// Whoever can extend its grant and does not hear of changes keeps its parts from those who do.
			if (this.owned.size > 0 && this.mirror.ageMs(sent) >= this.d.staleMs) return Effect.fail('stale')
			return this.client.extend(grant).pipe(
				Effect.map(() => {
					if (this.grant === grant) this.rightUntil = Math.max(this.rightUntil, until)
				}),
				Effect.catchTag('GrantOver', () => Effect.sync(() => this.loseGrant())),
			)
		})
		return step.pipe(
			Effect.match({ onFailure: () => false, onSuccess: () => true }),
			Effect.flatMap((ok) => {
				if (!ok) this.askPromises()
				return Effect.sleep(this.grant === null || !ok ? lifeMs * 0.06 : lifeMs * 0.2)
			}),
			Effect.forever,
		)
	}

	private loseGrant(): void {
		this.grant = null
		this.rightUntil = 0
		for (const part of [...this.owned.keys()]) this.drop(part, 'the grant ended')
	}

	private drop(part: number, why: string): void {
		if (!this.owned.delete(part)) return
		this.events.lost(part, why)
	}

	/** Called for every change of a `part/` key. */
	partChanged(part: number): void {
		const entry = this.mirror.get(partKey(part))
		const record = asPart(entry?.data)
		const mine = record !== null && record.owner === this.d.self && record.life === this.life
		if (!mine) this.drop(part, record === null ? 'the key is gone' : `${record.owner} has it`)
		else if (entry !== undefined) this.own(part, entry.stamp)
		if (record === null) {
			if (!this.absentSince.has(part)) this.absentSince.set(part, this.now())
		} else this.absentSince.delete(part)
		this.takeWhatIsFree()
	}

	private own(part: number, token: number): void {
		const known = this.owned.get(part)
		if (known !== undefined && known.token >= token) return
		if (known !== undefined) this.drop(part, 'taken again')
		this.owned.set(part, { part, token, since: this.now() })
		this.events.log('info', 'took part', { part, token })
		this.events.took(part, token)
	}

	/** Looks at every part; called on changes and regularly. */
	takeWhatIsFree(): void {
		if (this.grant === null || this.mirror.epoch < 0 || this.right() !== 'grant') return
		for (let part = 0; part < this.d.names.length; part++) {
			if (this.owned.has(part) || this.taking.has(part)) continue
			if (this.mayTake(part)) this.take(part)
		}
	}

	private mayTake(part: number): boolean {
		const now = this.now()
		const record = asPart(this.mirror.get(partKey(part))?.data)
		// What stands in our name is ours to renew: a former life's, which has ended, or a hand-over's that did not happen,
		// as when the state went down that moment; nobody else can take it for as long as our grant lasts (incident 11).
		if (record !== null) return record.owner === this.d.self
		if (this.leaving) return false
		const last = asPart(this.mirror.get(lastOwnerKey(part))?.data)?.owner
		if (last !== undefined && last !== this.d.self) {
			// We may have promised its owner, in this life or one that we cannot remember, to leave it alone.
			if (this.promisedTo(last) || now - this.started < this.d.promiseMs * 1.01 + 100) return false
		}
		const home = this.d.names[part]
		if (home === this.d.self && !this.deaf) return true
		// Others wait their turn: the home controller first, then its successors one after the other.
		const step = this.d.grantMs * 0.08
		const turn = (this.d.names.indexOf(this.d.self) - part + this.d.names.length) % this.d.names.length
		const patience = last === undefined ? this.d.grantMs : this.alive(home) ? step * 6 : 0
		const since = Math.max(this.absentSince.get(part) ?? this.started, this.started)
		return now - since >= patience + step * turn + (this.deaf ? this.d.grantMs : 0)
	}

	private take(part: number): void {
		const grant = this.grant
		if (grant === null) return
		this.taking.add(part)
		const data = { owner: this.d.self, life: this.life }
		// The key of the last owner too: a take that is applied late, after others have had the part and lost it, would
		// find the part's own key absent again, and take what we may have promised to leave alone by then.
		const conditions = [partKey(part), lastOwnerKey(part)].map((key) => ({
			key: ROOT + key,
			stamp: this.mirror.stamp(key),
		}))
		Effect.runFork(
			this.client
				.txn(conditions, [
					{ set: ROOT + partKey(part), data, grant },
					{ set: ROOT + lastOwnerKey(part), data },
				])
				.pipe(
					Effect.match({
						onSuccess: (r) => {
							this.taking.delete(part)
							if (r.ok && this.grant === grant) this.mirror.wrote(partKey(part), data, r.epoch)
						},
						onFailure: (e) => {
							if (e._tag === 'GrantOver' && this.grant === grant) this.loseGrant()
							// Unanswered: if it was or is yet applied, the watch will tell.
							setTimeout(() => this.taking.delete(part), this.d.grantMs * 0.1)
						},
					}),
				),
		)
	}

	/** Gives parts back to their home controller once that has been up and ready for a while. */
	handBack(): void {
		if (!this.mayHandOver()) return
		for (const { part, since } of [...this.owned.values()]) {
			const home = this.d.names[part]
			if (home === this.d.self) continue
			const peer = this.peers.find((p) => p.name === home)
			const news = this.taker(peer)
			if (!peer || !news || news.upMs < this.d.grantMs * 0.4) continue
			if (this.now() - since < this.d.grantMs * 0.4) continue
			if (!this.events.quiet(part) && this.now() - since < this.d.leaseMs * 2) continue
			return this.handOver(part, home, news, `handed back to ${home}`)
		}
	}

	/** Only while the state answers: a hand-over that it does not confirm costs the part more than it gains. */
	private mayHandOver(): boolean {
		return this.right() === 'grant' && this.stateHeardWithin(this.d.grantMs * 0.3)
	}

	/** A peer's news if it could own one more part right now. */
	private taker(peer: Peer | undefined): (PeerNews & { grant: number }) | null {
		const news = peer?.news
		if (!news?.ready || news.grant === null || !this.alive(news.name)) return null
		return news as PeerNews & { grant: number }
	}

	/**
	 * Cut from the workers alone, we keep our grant while no report reaches us, nobody adopts, and all leases end. That
	 * most machines of a part are silent here while they ask a peer for their owner is evidence enough to let the peer
	 * have it; machines that are cut themselves reach nobody. Not twice within a lease, or a zone that is cut in two
	 * would have its parts change hands for ever.
	 */
	handToWhoHears(): void {
		if (!this.mayHandOver()) return
		for (const { part, since } of [...this.owned.values()]) {
			const unheard = this.events.unheard(part)
			if (unheard === 0 || this.now() - since < this.d.leaseMs) continue
			const hears = (p: Peer) => p.news?.sought[part] ?? 0
			const best = this.peers.filter((p) => this.taker(p)).sort((a, b) => hears(b) - hears(a))[0]
			const news = this.taker(best)
			if (news === null || hears(best) < 2 || hears(best) * 8 < unheard) continue
			this.deaf = true
			return this.handOver(part, best.name, news, `its machines reach ${best.name} and not us`)
		}
	}

	/**
	 * We are about to end: every part goes to its home, or to the peer that owns the fewest. One whose machines are not all
	 * accounted for stays until they are, since its next owner would have to wait for them; `atOnce`: it goes all the same.
	 */
	handAllOver(atOnce: boolean): void {
		if (!this.leaving || !this.mayHandOver()) return
		const owns = new Map<string, number>()
		for (let part = 0; part < this.d.names.length; part++) {
			const owner = asPart(this.mirror.get(partKey(part))?.data)?.owner
			if (owner !== undefined) owns.set(owner, (owns.get(owner) ?? 0) + 1)
		}
		for (const { part } of [...this.owned.values()]) {
			if (!atOnce && !this.events.quiet(part)) continue
			const able = this.peers.filter((p) => this.taker(p) !== null)
			const count = (p: Peer) => (p.name === this.d.names[part] ? -1 : (owns.get(p.name) ?? 0))
			const best = able.sort((a, b) => count(a) - count(b))[0]
			const news = this.taker(best)
			if (news === null) return
			owns.set(best.name, (owns.get(best.name) ?? 0) + 1)
			this.handOver(part, best.name, news, `handed to ${best.name} at our end`)
		}
	}

	private handOver(part: number, to: string, news: PeerNews & { grant: number }, why: string): void {
		const token = this.owned.get(part)!.token
		const data = { owner: to, life: news.life }
		this.drop(part, why)
		this.taking.add(part)
		Effect.runFork(
			this.client
				.txn(
					[{ key: ROOT + partKey(part), stamp: token }],
					[
						{ set: ROOT + partKey(part), data, grant: news.grant },
						{ set: ROOT + lastOwnerKey(part), data },
					],
				)
				.pipe(
					Effect.match({
						onSuccess: (r) => {
							if (r.ok) this.mirror.wrote(partKey(part), data, r.epoch)
						},
						onFailure: () => {},
					}),
					Effect.andThen(Effect.sleep(this.d.grantMs * 0.2)),
					// One that did not happen leaves the key in our name: then we take it again under a new token.
					Effect.map(() => this.taking.delete(part)),
				),
		)
	}

	/** Takes every owned part again, under new tokens. */
	retake(): void {
		for (const { part } of [...this.owned.values()]) {
			this.drop(part, 'taken anew after an error')
			if (this.right() === 'grant') this.take(part)
		}
	}

	// ---- between controllers ----

	private post(peer: Peer, path: string, body: unknown): Effect.Effect<unknown> {
		return this.caller
			.call(peer.address, 'POST', path, body, this.d.grantMs * 0.25)
			.pipe(Effect.match({ onFailure: () => null, onSuccess: (a) => (a.status === 200 ? a.body : null) }))
	}

	private ownNews(): PeerNews {
		const { ready, ...news } = this.events.news()
		return {
			name: this.d.self,
			life: this.life,
			grant: this.grant,
			upMs: Math.round(this.now() - this.awakeSince),
			ready: ready && this.right() === 'grant' && !this.deaf && !this.leaving && this.now() >= this.restUntil,
			unheard: [...this.owned.keys()].filter((part) => this.events.unheard(part) > 0),
			...news,
		}
	}

	gossip(): void {
		const news = this.ownNews()
		for (const peer of this.peers)
			Effect.runFork(this.post(peer, '/peer/news', news).pipe(Effect.map((answer) => this.hear(answer))))
	}

	private hear(message: unknown): void {
		if (
			!isMap(message) ||
			typeof message.name !== 'string' ||
			!isMap(message.running) ||
			!isMap(message.empty) ||
			!Array.isArray(message.suspect) ||
			!isMap(message.sought) ||
			!isMap(message.used) ||
			!Array.isArray(message.unheard)
		)
			return
		const peer = this.peers.find((p) => p.name === message.name)
		if (peer === undefined) return
		peer.heard = this.now()
		// Peers of an older version, during a rolling restart, say nothing of stranded parts and know no archive.
		peer.news = {
			stranded: [],
			history: false,
			...(message as unknown as Omit<PeerNews, 'stranded' | 'history'>),
		}
		this.events.heard(peer.news)
	}

	/** Answers a message of another controller. */
	answer(path: string, message: unknown): unknown {
		if (path === '/peer/news') {
			this.hear(message)
			return this.ownNews()
		}
		if (path === '/peer/promise') return this.promise(message)
		return null
	}

	/**
	 * A member that cannot reach the state asks us not to adopt its parts for a short while. Only if we cannot
	 * reach it either: otherwise the part is better off with somebody who can.
	 */
	private promise(message: unknown): unknown {
		const refused = { promised: false }
		// A controller of an older version does not say what it knows: it falls silent, which is safe.
		const question = readQuestion(message)
		if (question === null) return refused
		this.pulse()
		const now = this.now()
		if (this.stateHeardWithin(this.d.grantMs * 0.25) || now - this.awakeSince < this.d.promiseMs)
			return refused
		// Only for parts that are its own as far as we know, under the very token that it acts by. A take of ours that
		// is still under way then began before that token and can no longer be applied: it names an older `last/` key.
		for (const [part, token] of question.owned) {
			const entry = this.mirror.get(partKey(part))
			if (entry?.stamp !== token || asPart(entry?.data)?.owner !== question.name) return refused
			if (this.taking.has(part) || this.owned.has(part)) return refused
		}
		// Whatever anybody here was ever told to be cancelled, and it does not know: it goes on only knowing that.
		const cancelled = this.events.cancelled(question.epoch)
		if (cancelled === null) return refused
		this.given.set(question.name, now + this.d.promiseMs * 1.002)
		return { promised: true, cancelled: writeCancelled(cancelled) }
	}

	private askPromises(): void {
		if (this.owned.size === 0 || this.grant === null) return
		const owned: Record<string, number> = {}
		for (const { part, token } of this.owned.values()) owned[part] = token
		const message = { name: this.d.self, owned, epoch: this.mirror.epoch }
		for (const peer of this.peers) {
			const sent = this.now()
			Effect.runFork(
				this.post(peer, '/peer/promise', message).pipe(
					Effect.map((answer) => {
						const cancelled =
							isMap(answer) && answer.promised === true ? readCancelled(answer.cancelled) : null
						if (cancelled === null) return
						this.events.applyCancelled(cancelled)
						peer.promised = Math.max(peer.promised, sent + this.d.promiseMs * 0.998)
					}),
				),
			)
		}
	}
}
