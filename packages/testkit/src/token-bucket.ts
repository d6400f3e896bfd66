/** Rate limiter of the fake services. */

/** A token bucket that holds up to one second's worth of tokens (protocol). */
export class TokenBucket {
	private tokens: number
	private refilledAtMs: number

	/** `perS`: tokens per second; `nowMs`: returns the current time. */
	constructor(
		private readonly perS: number,
		private readonly nowMs: () => number,
	) {
		this.tokens = perS
		this.refilledAtMs = nowMs()
	}

	/** Takes `count` tokens if there are enough; returns whether it did. */
	take(count: number): boolean {
		const nowMs = this.nowMs()
		const refill = ((nowMs - this.refilledAtMs) / 1000) * this.perS
		this.tokens = Math.min(this.perS, this.tokens + refill)
		this.refilledAtMs = nowMs
		if (this.tokens < count) return false
		this.tokens -= count
		return true
	}
}
