/** Token bucket for calls to a rate-limited API. */
import { Effect } from 'effect'

/** Capacity of the bucket, in seconds of calls at the full rate: the size of a burst. */
const BURST_S = 2

/**
 * Limits the rate of calls and allows bursts. Callers that find the bucket empty wait for their turn: the number of
 * tokens is below zero by the number of waiting calls.
 */
export class TokenBucket {
	private tokens: number
	private refilledAt: number

	/** The bucket is full at first; `now` is a monotonic clock in ms. */
	constructor(
		private readonly callsPerS: number,
		private readonly now: () => number,
	) {
		this.tokens = this.capacity()
		this.refilledAt = now()
	}

	/** At least one call, as a bucket with a low rate would otherwise never hold a whole token. */
	private capacity(): number {
		return Math.max(1, this.callsPerS * BURST_S)
	}

	private refill(): void {
		const now = this.now()
		const refilled = this.tokens + ((now - this.refilledAt) / 1000) * this.callsPerS
		this.tokens = Math.min(this.capacity(), refilled)
		this.refilledAt = now
	}

	/** Takes a token; if there is none, waits until it would have been added. */
	take(): Effect.Effect<void> {
		return Effect.suspend(() => {
			this.refill()
			this.tokens -= 1
			return this.tokens >= 0 ? Effect.void : Effect.sleep((-this.tokens / this.callsPerS) * 1000)
		})
	}

	/**
	 * Number of calls that would be made without a delay. Refills the bucket first: if only calls refilled it, it would
	 * stay empty, because callers that find it empty make no calls (incident 4).
	 */
	availableCalls(): number {
		this.refill()
		return Math.max(0, Math.floor(this.tokens))
	}
}
