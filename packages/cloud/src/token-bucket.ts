/** Token bucket for calls to an interface that limits their rate. */
import { Effect } from 'effect'

/** The bucket holds the calls of so many seconds: the size of a burst. */
const BURST_S = 2

/**
 * Allows a rate of calls with bursts. Callers that find the bucket empty wait for their turn: the number of tokens is
 * negative by as many as there are waiting calls.
 */
export class TokenBucket {
	private tokens: number
	private refilledAt: number

	/** `now` is a clock in ms. The bucket is full at first. */
	constructor(
		private readonly callsPerS: number,
		private readonly now: () => number,
	) {
		this.tokens = this.capacity()
		this.refilledAt = now()
	}

	/** One call at least, or a bucket with a low rate would never hold one. */
	private capacity(): number {
		return Math.max(1, this.callsPerS * BURST_S)
	}

	private refill(): void {
		const now = this.now()
		const refilled = this.tokens + ((now - this.refilledAt) / 1000) * this.callsPerS
		this.tokens = Math.min(this.capacity(), refilled)
		this.refilledAt = now
	}

	/** Takes a token, and waits until it would have been filled in. */
	take(): Effect.Effect<void> {
		return Effect.suspend(() => {
			this.refill()
			this.tokens -= 1
			return this.tokens >= 0 ? Effect.void : Effect.sleep((-this.tokens / this.callsPerS) * 1000)
		})
	}

	/**
	 * Calls that would be made at once. It refills the bucket first: one that is refilled only by calls would stay empty
	 * for as long as nobody calls because it is empty (incident 4).
	 */
	availableCalls(): number {
		this.refill()
		return Math.max(0, Math.floor(this.tokens))
	}
}
