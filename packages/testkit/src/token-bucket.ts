/** Rate limit of the fake services. */

/** A token bucket that holds one second's worth of tokens at the most (protocol). */
export class TokenBucket {
	private tokens: number
	private refilledAtMs: number

	/** `perS`: tokens a second; `nowMs`: the present time. */
	constructor(
		private readonly perS: number,
		private readonly nowMs: () => number,
	) {
		this.tokens = perS
		this.refilledAtMs = nowMs()
	}

	/** Takes tokens if there are enough; returns whether there were. */
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
