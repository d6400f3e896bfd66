/** Groups small writes into transactions, and limits them to this controller's share of the state service's write rate. */
import type { Condition, Mutation } from '@heathroad/wire'
import { Effect } from 'effect'
import { Backoff } from './backoff.js'
import type { StoreClient, TransactionResult } from './client.js'
import { TokenBucket } from './token-bucket.js'
import { type BuiltWrite, buildWrite, WriteGroup } from './write-group.js'

/**
 * Priorities of writes; lower values go first. `rental`: rental records, one change for dozens of machines; `user`:
 * acceptances and cancellations; `outcome`: outcomes, release marks and removals of machines; `progress`: task progress.
 */
export const WritePriority = { rental: 0, user: 1, outcome: 2, progress: 3 } as const

/** Maximum number of transactions in flight. */
const MAX_IN_FLIGHT = 3
/** Tokens that progress leaves for writes of higher priority, as a fraction of the tokens gained in one second. */
const PROGRESS_RESERVE = 0.3
/** Added to the wait for tokens, in ms, since a timer that fires early would find too few. */
const TOKEN_WAIT_MARGIN_MS = 20

/** Outcome of a write. */
export type WriteResult =
	| { kind: 'ok'; revision: number }
	| { kind: 'conflict' }
	/** No response: the write may have been applied, or may be applied later. */
	| { kind: 'unknown' }
	/** Certainly not applied: its deadline passed, or it became obsolete, before it was executed. */
	| { kind: 'refused' }

/** Content of a transaction: the mutations are applied if all conditions hold. */
export interface TransactionContent {
	conditions: readonly Condition[]
	mutations: readonly Mutation[]
}

/** A write in the queue. */
export interface QueuedWrite {
	/** One of `WritePriority`. */
	priority: number
	/** Builds the content when the write is dequeued, from the latest data; null if the write is obsolete. */
	build: () => TransactionContent | null
	/** Monotonic time after which the write is refused instead of sent. */
	deadline: number
	onResult: (result: WriteResult) => void
}

/** Limits of the state service, and this controller's share of them. */
export interface WriteQueueLimits {
	/** This controller's share of the state service's changes per second. */
	writesPerS: number
	/** Changes per second that the state service allows for all controllers together; allowed to user writes as a burst. */
	burst: number
	/** Maximum number of mutations in one transaction. */
	maxOperations: number
	/** Maximum estimated size of one transaction. */
	maxBytes: number
}

const REFUSED: WriteResult = { kind: 'refused' }

/** Queue of writes, first in, first out within each priority. */
export class WriteQueue {
	private readonly queues: QueuedWrite[][] = [[], [], [], []]
	private readonly bucket: TokenBucket
	private readonly backoff = new Backoff()
	private inFlight = 0
	private timer: ReturnType<typeof setTimeout> | null = null
	private dequeueScheduled = false

	/** @param now monotonic clock, in ms */
	constructor(
		private readonly client: StoreClient,
		private readonly limits: WriteQueueLimits,
		private readonly now: () => number,
	) {
		this.bucket = new TokenBucket(limits.writesPerS, limits.burst, now())
	}

	/** Writes enqueued in the same event loop task share transactions; `onResult` is never called before this returns. */
	enqueue(write: QueuedWrite): void {
		this.queues[write.priority].push(write)
		this.scheduleDequeue()
	}

	/** Raises the priority of a queued write; a write that is already in flight is unaffected. */
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
	 * Level down to which a priority may use the bucket. User writes may also use the rate that other controllers leave unused
	 * (the state service rejects what exceeds it); progress leaves a reserve for higher priorities.
	 */
	private minLevel(priority: number): number {
		if (priority <= WritePriority.user) return -this.limits.burst
		if (priority === WritePriority.outcome) return -this.limits.writesPerS
		return this.limits.writesPerS * PROGRESS_RESERVE
	}

	/** Sends as many transactions as the limits currently allow. */
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
	 * Removes the writes of the next transaction from the queues, and obsolete ones found on the way. A low priority may not
	 * fill the transaction beyond what the bucket allows that priority, or the next urgent write would wait for a second or
	 * more.
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
				if (group.conflictsWith(built)) {
					index++
					continue
				}
				queue.splice(index, 1)
				group.add(built)
			}
		return group
	}

	/** Whether the tokens allow one more write; for the first write, the caller has checked the level. */
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

	/** Returns the writes to the front of their queues, in the same order. */
	private requeue(members: readonly BuiltWrite[]): void {
		for (const { write } of [...members].reverse()) this.queues[write.priority].unshift(write)
	}

	private onAnswered(members: readonly BuiltWrite[], result: TransactionResult): void {
		this.backoff.onSuccess()
		if (result.ok) {
			for (const { write } of members) write.onResult({ kind: 'ok', revision: result.revision })
			return
		}
		// A failed condition fails the whole transaction; the writes whose conditions held are sent again.
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
