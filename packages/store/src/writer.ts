import type { Condition, Mutation } from '@heathroad/wire'
import { Effect } from 'effect'
import type { StoreClient, TransactionResult } from './client.js'

/**
 * Lower goes first. A rental's record, one change for dozens of machines, goes before acceptances and
 * cancellations, those before outcomes and marks, and progress goes last.
 */
export const WritePriority = { rental: 0, user: 1, outcome: 2, progress: 3 } as const

export type WriteResult =
	| { kind: 'ok'; revision: number }
	| { kind: 'conflict' }
	/** no answer: it may have been applied, or may be later */
	| { kind: 'unknown' }
	/** certainly not applied: given up, or found needless, before it was carried out */
	| { kind: 'refused' }

export interface TransactionContent {
	conditions: readonly Condition[]
	mutations: readonly Mutation[]
}

export interface QueuedWrite {
	priority: number
	/** What to write, asked for when its turn comes, so that what waited tells the latest; null: needless by now. */
	build: () => TransactionContent | null
	/** steady time after which it is no longer worth trying */
	deadline: number
	onResult: (result: WriteResult) => void
}

export interface WriteQueueLimits {
	/** our share of the changes per second */
	writesPerS: number
	/** what the state service takes per second from all controllers, as a burst for users' writes */
	burst: number
	maxOperations: number
	maxBytes: number
}

interface Built {
	write: QueuedWrite
	content: TransactionContent
}

const size = (c: TransactionContent): number => JSON.stringify(c.mutations).length + c.conditions.length * 80
const keyOf = (c: Mutation): string => ('set' in c ? c.set : c.delete)

/** Groups small writes into transactions and keeps this controller's share of the change rate. */
export class WriteQueue {
	private readonly queues: QueuedWrite[][] = [[], [], [], []]
	private tokens: number
	private refilledAt: number
	private inFlight = 0
	private backoffUntil = 0
	private backoffMs = 0
	private timer: ReturnType<typeof setTimeout> | null = null
	private pumpScheduled = false

	constructor(
		private readonly client: StoreClient,
		private readonly limits: WriteQueueLimits,
		private readonly now: () => number,
	) {
		this.tokens = limits.burst
		this.refilledAt = now()
	}

	/** What is submitted in one go shares transactions; `done` is never called before this has returned. */
	enqueue(write: QueuedWrite): void {
		this.queues[write.priority].push(write)
		this.schedulePump()
	}

	/** A write that still waits moves ahead; one that is under way stays as it is. */
	raisePriority(write: QueuedWrite, urgency: number): void {
		if (write.priority <= urgency) return
		const queue = this.queues[write.priority]
		const at = queue.indexOf(write)
		if (at < 0) return
		queue.splice(at, 1)
		write.priority = urgency
		this.queues[urgency].push(write)
		this.schedulePump()
	}

	private schedulePump(): void {
		if (this.pumpScheduled) return
		this.pumpScheduled = true
		queueMicrotask(() => {
			this.pumpScheduled = false
			this.pump()
		})
	}

	private schedule(ms: number): void {
		if (this.timer !== null) return
		this.timer = setTimeout(() => {
			this.timer = null
			this.pump()
		}, ms)
	}

	/**
	 * Down to where each class may run the bucket. Users' writes may use what the other controllers leave (the
	 * service itself says when that is too much); progress leaves a reserve to those before it.
	 */
	private floor(urgency: number): number {
		if (urgency <= WritePriority.user) return -this.limits.burst
		return urgency === WritePriority.outcome ? -this.limits.writesPerS : this.limits.writesPerS * 0.3
	}

	private pump(): void {
		const now = this.now()
		const late: QueuedWrite[] = []
		for (const q of this.queues)
			for (let i = 0; i < q.length; )
				if (q[i].deadline <= now) late.push(...q.splice(i, 1))
				else i++
		for (const write of late) write.onResult({ kind: 'refused' })
		for (;;) {
			const at = this.queues.findIndex((q) => q.length > 0)
			if (at < 0) return
			if (this.inFlight >= 3) return
			if (now < this.backoffUntil) return this.schedule(this.backoffUntil - now)
			this.tokens = Math.min(
				this.limits.writesPerS,
				this.tokens + ((now - this.refilledAt) / 1000) * this.limits.writesPerS,
			)
			this.refilledAt = now
			const short = this.floor(at) - this.tokens
			if (short >= 0) return this.schedule((short / this.limits.writesPerS) * 1000 + 20)
			const needless: QueuedWrite[] = []
			const group = this.take(needless)
			if (group.length > 0) this.send(group)
			for (const write of needless) write.onResult({ kind: 'refused' })
			if (group.length === 0 && needless.length === 0) return
		}
	}

	/**
	 * The next transaction. Writes that touch one key never share it: each was made without knowing the other, and
	 * the later change would silently undo the earlier. Nor may a low class fill it beyond what the bucket grants
	 * that class, or the next urgent write would wait for a second and more.
	 */
	private take(needless: QueuedWrite[]): Built[] {
		const group: Built[] = []
		const set = new Set<string>()
		const conditions = new Map<string, number>()
		let ops = 0
		let bytes = 0
		for (const [urgency, q] of this.queues.entries())
			for (let i = 0; i < q.length; ) {
				if (group.length > 0 && this.tokens - ops <= this.floor(urgency)) return group
				const write = q[i]
				const content = write.build()
				if (content === null) {
					needless.push(...q.splice(i, 1))
					continue
				}
				const b = size(content)
				const fresh = content.conditions.filter((c) => !conditions.has(c.key)).length
				const full =
					ops + content.mutations.length > this.limits.maxOperations ||
					conditions.size + fresh > this.limits.maxOperations * 4 ||
					bytes + b > this.limits.maxBytes
				if (full && group.length > 0) return group
				const clash =
					content.mutations.some((c) => set.has(keyOf(c)) || conditions.has(keyOf(c))) ||
					content.conditions.some(
						(c) => set.has(c.key) || (conditions.get(c.key) ?? c.modRevision) !== c.modRevision,
					)
				if (clash) {
					i++
					continue
				}
				q.splice(i, 1)
				group.push({ write, content })
				for (const c of content.mutations) set.add(keyOf(c))
				for (const c of content.conditions) conditions.set(c.key, c.modRevision)
				ops += content.mutations.length
				bytes += b
			}
		return group
	}

	private send(group: Built[]): void {
		const conditions = new Map<string, Condition>()
		const mutations: Mutation[] = []
		for (const { content } of group) {
			for (const c of content.conditions) conditions.set(c.key, c)
			mutations.push(...content.mutations)
		}
		this.tokens -= mutations.length
		this.inFlight++
		Effect.runFork(
			this.client.transact([...conditions.values()], mutations).pipe(
				Effect.match({
					onSuccess: (result) => this.settled(group, result),
					onFailure: (e) => {
						if (e._tag === 'RequestRejected') this.again(group)
						else if (e._tag === 'LeaseExpired')
							for (const { write } of group) write.onResult({ kind: 'conflict' })
						else for (const { write } of group) write.onResult({ kind: 'unknown' })
					},
				}),
				Effect.map(() => {
					this.inFlight--
					this.pump()
				}),
			),
		)
	}

	private requeue(group: readonly Built[]): void {
		for (const { write } of [...group].reverse()) this.queues[write.priority].unshift(write)
	}

	private settled(group: Built[], result: TransactionResult): void {
		this.backoffMs = 0
		if (result.ok) {
			for (const { write } of group) write.onResult({ kind: 'ok', revision: result.revision })
			return
		}
		// One stale condition fails the whole transaction; the writes without one are sent again.
		const failed = new Set(result.failedKeys)
		const stale = (b: Built) => group.length === 1 || b.content.conditions.some((c) => failed.has(c.key))
		this.requeue(group.filter((b) => !stale(b)))
		for (const b of group) if (stale(b)) b.write.onResult({ kind: 'conflict' })
	}

	private again(group: Built[]): void {
		this.backoffMs = Math.min(1000, Math.max(60, this.backoffMs * 2))
		this.backoffUntil = this.now() + this.backoffMs * (0.75 + Math.random() * 0.5)
		this.tokens = Math.min(this.tokens, 0)
		this.requeue(group)
	}
}
