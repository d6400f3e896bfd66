import type { Change, Condition } from '@heathroad/wire'
import { Effect } from 'effect'
import type { StoreClient, TxnResult } from './client.js'

/** Lower goes first. Acceptance and cancellation go before outcomes, outcomes before progress. */
export const Urgency = { user: 0, outcome: 1, machine: 2, progress: 3 } as const

export type WriteResult =
	| { kind: 'ok'; epoch: number }
	| { kind: 'conflict' }
	/** no answer: it may have been applied, or may be later */
	| { kind: 'unknown' }
	/** certainly not applied: given up before it was carried out */
	| { kind: 'refused' }

export interface Write {
	urgency: number
	conditions: readonly Condition[]
	changes: readonly Change[]
	/** steady time after which it is no longer worth trying */
	until: number
	done: (result: WriteResult) => void
}

export interface WriterLimits {
	/** our share of the changes per second */
	perS: number
	/** what the state service takes per second from all controllers, as a burst for users' writes */
	burst: number
	ops: number
	bytes: number
}

const size = (w: Write): number => JSON.stringify(w.changes).length + w.conditions.length * 80

/** Groups small writes into transactions and keeps this controller's share of the change rate. */
export class Writer {
	private readonly queues: Write[][] = [[], [], [], []]
	private tokens: number
	private filled: number
	private inFlight = 0
	private backoffUntil = 0
	private backoffMs = 0
	private timer: ReturnType<typeof setTimeout> | null = null

	constructor(
		private readonly client: StoreClient,
		private readonly limits: WriterLimits,
		private readonly now: () => number,
	) {
		this.tokens = limits.burst
		this.filled = now()
	}

	/** Users' writes that wait: the measure of overload. */
	waiting(): number {
		return this.queues[0].length
	}

	submit(write: Write): void {
		this.queues[write.urgency].push(write)
		this.pump()
	}

	private schedule(ms: number): void {
		if (this.timer !== null) return
		this.timer = setTimeout(() => {
			this.timer = null
			this.pump()
		}, ms)
	}

	private pump(): void {
		const now = this.now()
		for (const q of this.queues)
			for (let i = 0; i < q.length; )
				if (q[i].until <= now) q.splice(i, 1)[0].done({ kind: 'refused' })
				else i++
		for (;;) {
			const at = this.queues.findIndex((q) => q.length > 0)
			if (at < 0) return
			if (this.inFlight >= 3) return
			if (now < this.backoffUntil) return this.schedule(this.backoffUntil - now)
			this.tokens = Math.min(this.limits.perS, this.tokens + ((now - this.filled) / 1000) * this.limits.perS)
			this.filled = now
			// Users' writes may use what the other controllers leave; the service itself says when that is too much.
			const floor = at === Urgency.user ? -this.limits.burst : at === Urgency.outcome ? -this.limits.perS : 0
			if (this.tokens <= floor) return this.schedule(((floor - this.tokens) / this.limits.perS) * 1000 + 20)
			this.send(this.take())
		}
	}

	private take(): Write[] {
		const group: Write[] = []
		let ops = 0
		let conditions = 0
		let bytes = 0
		for (const q of this.queues)
			while (q.length > 0) {
				const w = q[0]
				const b = size(w)
				const full =
					ops + w.changes.length > this.limits.ops ||
					conditions + w.conditions.length > this.limits.ops * 4 ||
					bytes + b > this.limits.bytes
				if (full && group.length > 0) return group
				group.push(w)
				q.shift()
				ops += w.changes.length
				conditions += w.conditions.length
				bytes += b
			}
		return group
	}

	private send(group: Write[]): void {
		const conditions = new Map<string, Condition>()
		const changes: Change[] = []
		for (const w of group) {
			for (const c of w.conditions) {
				const known = conditions.get(c.key)
				if (known !== undefined && known.stamp !== c.stamp) {
					// Two writes that expect different versions of one key cannot share a transaction.
					this.queues[w.urgency].unshift(w)
					group = group.filter((o) => o !== w)
				}
			}
			if (!group.includes(w)) continue
			for (const c of w.conditions) conditions.set(c.key, c)
			for (const c of w.changes) changes.push(c)
		}
		this.tokens -= changes.length
		this.inFlight++
		Effect.runFork(
			this.client.txn([...conditions.values()], changes).pipe(
				Effect.match({
					onSuccess: (result) => this.settled(group, result),
					onFailure: (e) => {
						if (e._tag === 'Refused') this.again(group)
						else if (e._tag === 'GrantOver') for (const w of group) w.done({ kind: 'conflict' })
						else for (const w of group) w.done({ kind: 'unknown' })
					},
				}),
				Effect.map(() => {
					this.inFlight--
					this.pump()
				}),
			),
		)
	}

	private settled(group: Write[], result: TxnResult): void {
		this.backoffMs = 0
		if (result.ok) {
			for (const w of group) w.done({ kind: 'ok', epoch: result.epoch })
			return
		}
		// One stale condition fails the whole transaction; the writes without one are sent again.
		const failed = new Set(result.failed)
		for (const w of [...group].reverse()) {
			const conflict = group.length === 1 || w.conditions.some((c) => failed.has(c.key))
			if (conflict) w.done({ kind: 'conflict' })
			else this.queues[w.urgency].unshift(w)
		}
	}

	private again(group: Write[]): void {
		this.backoffMs = Math.min(1000, Math.max(60, this.backoffMs * 2))
		this.backoffUntil = this.now() + this.backoffMs * (0.75 + Math.random() * 0.5)
		this.tokens = Math.min(this.tokens, 0)
		for (const w of [...group].reverse()) this.queues[w.urgency].unshift(w)
	}
}
