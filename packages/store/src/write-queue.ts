/** Groups small writes into transactions and keeps this controller's share of the state service's change rate. */
import type { Condition, Mutation } from '@heathroad/wire'
import { Effect } from 'effect'
import { Backoff } from './backoff.js'
import type { StoreClient, TransactionResult } from './client.js'
import { TokenBucket } from './token-bucket.js'
import { type BuiltWrite, buildWrite, WriteGroup } from './write-group.js'

/**
 * Lower goes first. A rental's record, one change for dozens of machines, goes before acceptances and cancellations, those
 * before outcomes, release marks and removals of machines, and progress goes last.
 */
export const WritePriority = { rental: 0, user: 1, outcome: 2, progress: 3 } as const

/** Transactions in flight at one time. */
const MAX_IN_FLIGHT = 3
/** Tokens that progress leaves for writes of higher priority, as a fraction of what one second brings. */
const PROGRESS_RESERVE = 0.3
/** Added to the time until there are tokens, in ms: a timer that fires early would find too few. */
const TOKEN_WAIT_MARGIN_MS = 20

/** What became of a write. */
export type WriteResult =
	| { kind: 'ok'; revision: number }
	| { kind: 'conflict' }
	/** No answer: it may have been applied, or may be later. */
	| { kind: 'unknown' }
	/** Certainly not applied: past its deadline, or obsolete, before it was carried out. */
	| { kind: 'refused' }

/** Mutations that are applied if all conditions hold. */
export interface TransactionContent {
	conditions: readonly Condition[]
	mutations: readonly Mutation[]
}

/** A write that waits in the queue. */
export interface QueuedWrite {
	/** One of `WritePriority`. */
	priority: number
	/** What to write, built when the write is dequeued, so that it holds the latest; null: it is obsolete. */
	build: () => TransactionContent | null
	/** Steady time after which it is no longer worth trying. */
	deadline: number
	onResult: (result: WriteResult) => void
}

/** Limits of the state service, and this controller's share. */
export interface WriteQueueLimits {
	/** This controller's share of the changes per second. */
	writesPerS: number
	/** What the state service takes per second from all controllers, as a burst for users' writes. */
	burst: number
	/** Mutations of one transaction. */
	maxOperations: number
	/** Estimated size of one transaction. */
	maxBytes: number
}

const REFUSED: WriteResult = { kind: 'refused' }

/** Writes wait in one queue for each priority, first in, first out. */
export class WriteQueue {
	private readonly queues: QueuedWrite[][] = [[], [], [], []]
	private readonly bucket: TokenBucket
	private readonly backoff = new Backoff()
	private inFlight = 0
	private timer: ReturnType<typeof setTimeout> | null = null
	private dequeueScheduled = false

	/** `now`: steady clock, in ms. */
	constructor(
		private readonly client: StoreClient,
		private readonly limits: WriteQueueLimits,
		private readonly now: () => number,
	) {
		this.bucket = new TokenBucket(limits.writesPerS, limits.burst, now())
	}

	/** Writes that are added in one task share transactions; `onResult` is never called before this has returned. */
	enqueue(write: QueuedWrite): void {
		this.queues[write.priority].push(write)
		this.scheduleDequeue()
	}

	/** Raises the priority of a write that still waits; one that is in flight stays as it is. */
	raisePriority(write: QueuedWrite, priority: number): void {
		if (write.priority <= priority) return
		const queue = this.queues[write.priority]
		const index = queue.indexOf(write)
		if (index < 0) return
		queue.splice(index, 1)
		write.priority = priority
		this.queues[priority].push(write)
		this.scheduleDequeue()
	}

	private scheduleDequeue(): void {
		if (this.dequeueScheduled) return
		this.dequeueScheduled = true
		queueMicrotask(() => {
			this.dequeueScheduled = false
			this.dequeue()
		})
	}

	private dequeueAfter(ms: number): void {
		if (this.timer !== null) return
		this.timer = setTimeout(() => {
			this.timer = null
			this.dequeue()
		}, ms)
	}

	/**
	 * Level down to which a priority may use the bucket. Users' writes may use what the other controllers leave (the state
	 * service itself says when that is too much); progress leaves a reserve to those before it.
	 */
	private minLevel(priority: number): number {
		if (priority <= WritePriority.user) return -this.limits.burst
		if (priority === WritePriority.outcome) return -this.limits.writesPerS
		return this.limits.writesPerS * PROGRESS_RESERVE
	}

	/** Sends as many transactions as the limits allow now. */
	private dequeue(): void {
		const now = this.now()
		this.refuseExpired(now)
		for (;;) {
			const priority = this.queues.findIndex((queue) => queue.length > 0)
			if (priority < 0 || this.inFlight >= MAX_IN_FLIGHT) return
			const backoffMs = this.backoff.remainingMs(now)
			if (backoffMs > 0) {
				this.dequeueAfter(backoffMs)
				return
			}
			this.bucket.refill(now)
			const missingTokens = this.minLevel(priority) - this.bucket.level
			if (missingTokens >= 0) {
				this.dequeueAfter(this.bucket.timeToGainMs(missingTokens) + TOKEN_WAIT_MARGIN_MS)
				return
			}
			const obsolete: QueuedWrite[] = []
			const group = this.takeGroup(obsolete)
			if (!group.isEmpty) this.send(group)
			for (const write of obsolete) write.onResult(REFUSED)
			if (group.isEmpty && obsolete.length === 0) return
		}
	}

	private refuseExpired(now: number): void {
		const expired: QueuedWrite[] = []
		for (const queue of this.queues)
			for (let index = 0; index < queue.length; )
				if (queue[index].deadline <= now) expired.push(...queue.splice(index, 1))
				else index++
		for (const write of expired) write.onResult(REFUSED)
	}

	/**
	 * Removes the writes of the next transaction from the queues, and obsolete ones that are met on the way. A low priority
	 * may not fill the transaction beyond what the bucket grants that priority, or the next urgent write would wait for a
	 * second and more.
	 */
	private takeGroup(obsolete: QueuedWrite[]): WriteGroup {
		const group = new WriteGroup(this.limits)
		for (const [priority, queue] of this.queues.entries())
			for (let index = 0; index < queue.length; ) {
				if (!this.mayExtend(group, priority)) return group
				const built = buildWrite(queue[index])
				if (built === null) {
					obsolete.push(...queue.splice(index, 1))
					continue
				}
				if (!group.hasRoomFor(built)) return group
				if (group.interferesWith(built)) {
					index++
					continue
				}
				queue.splice(index, 1)
				group.add(built)
			}
		return group
	}

	/** The first write is paid for by the level that the caller has checked. */
	private mayExtend(group: WriteGroup, priority: number): boolean {
		return group.isEmpty || this.bucket.level - group.mutations.length > this.minLevel(priority)
	}

	private send({ members, conditions, mutations }: WriteGroup): void {
		this.bucket.consume(mutations.length)
		this.inFlight++
		Effect.runFork(
			this.client.transact(conditions, mutations).pipe(
				Effect.match({
					onSuccess: (result) => this.onAnswered(members, result),
					onFailure: (error) => {
						if (error._tag === 'RequestRejected') this.onRejected(members)
						else if (error._tag === 'LeaseExpired')
							for (const { write } of members) write.onResult({ kind: 'conflict' })
						else for (const { write } of members) write.onResult({ kind: 'unknown' })
					},
				}),
				Effect.map(() => {
					this.inFlight--
					this.dequeue()
				}),
			),
		)
	}

	/** Back to the front of their queues, in the same order. */
	private requeue(members: readonly BuiltWrite[]): void {
		for (const { write } of [...members].reverse()) this.queues[write.priority].unshift(write)
	}

	private onAnswered(members: readonly BuiltWrite[], result: TransactionResult): void {
		this.backoff.onSuccess()
		if (result.ok) {
			for (const { write } of members) write.onResult({ kind: 'ok', revision: result.revision })
			return
		}
		// One condition that does not hold fails the whole transaction; the writes whose conditions hold are sent again.
		const failedKeys = new Set(result.failedKeys)
		const isStale = ({ content }: BuiltWrite) =>
			members.length === 1 || content.conditions.some(({ key }) => failedKeys.has(key))
		this.requeue(members.filter((member) => !isStale(member)))
		for (const member of members) if (isStale(member)) member.write.onResult({ kind: 'conflict' })
	}

	private onRejected(members: readonly BuiltWrite[]): void {
		this.backoff.onRejected(this.now())
		this.bucket.drain()
		this.requeue(members)
	}
}
