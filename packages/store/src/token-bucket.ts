/** Token bucket that may be overdrawn, for rate limiting with priorities. */

/** Gains tokens at a constant rate; its capacity is the gain of one second. */
export class TokenBucket {
	private available: number
	private refilledAt: number

	/** @param initial number of tokens until the first refill, which may exceed the capacity */
	constructor(
		private readonly tokensPerS: number,
		initial: number,
		now: number,
	) {
		this.available = initial
		this.refilledAt = now
	}

	/** Tokens at the last refill, minus those consumed since; negative if overdrawn. */
	get level(): number {
		return this.available
	}

	/** Adds the tokens gained since the last refill; `now`: monotonic time, in ms. */
	refill(now: number): void {
		const gained = ((now - this.refilledAt) / 1000) * this.tokensPerS
		this.available = Math.min(this.tokensPerS, this.available + gained)
		this.refilledAt = now
	}

	/** Takes tokens, and overdraws the bucket if it has too few. */
	consume(count: number): void {
		this.available -= count
	}

	/** Removes all tokens; an overdrawn bucket stays unchanged. */
	drain(): void {
		this.available = Math.min(this.available, 0)
	}

	/** Time in ms in which the given number of tokens is gained. */
	timeToGainMs(count: number): number {
		return (count / this.tokensPerS) * 1000
	}
}
