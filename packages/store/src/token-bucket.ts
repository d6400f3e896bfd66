/** A token bucket that may be overdrawn, for a rate limit with priorities. */

/** Gains tokens at a constant rate, up to what one second brings. */
export class TokenBucket {
	private available: number
	private refilledAt: number

	/** `initial`: tokens until the first refill. */
	constructor(
		private readonly tokensPerS: number,
		initial: number,
		now: number,
	) {
		this.available = initial
		this.refilledAt = now
	}

	/** Tokens at the last refill, less those consumed since; negative: overdrawn. */
	get level(): number {
		return this.available
	}

	/** Adds the tokens of the time since the last refill; `now`: steady time, in ms. */
	refill(now: number): void {
		const gained = ((now - this.refilledAt) / 1000) * this.tokensPerS
		this.available = Math.min(this.tokensPerS, this.available + gained)
		this.refilledAt = now
	}

	/** Takes tokens, whether they are there or not. */
	consume(count: number): void {
		this.available -= count
	}

	/** Removes all tokens; an overdrawn bucket stays as it is. */
	drain(): void {
		this.available = Math.min(this.available, 0)
	}

	/** In how many ms that many tokens are gained. */
	timeToGainMs(count: number): number {
		return (count / this.tokensPerS) * 1000
	}
}
