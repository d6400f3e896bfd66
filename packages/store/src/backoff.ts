/** Exponential backoff with jitter, for rejected requests. */

const MIN_DELAY_MS = 60
const MAX_DELAY_MS = 1000
/** Delays vary by up to a quarter in both directions, to spread the retries of several controllers. */
const JITTER_MIN = 0.75
const JITTER_RANGE = 0.5

/** The delay doubles with every rejection until a request succeeds. */
export class Backoff {
	private delayMs = 0
	private endsAt = 0

	/** Time in ms until the next request may be sent; zero or less if it may be sent now. */
	remainingMs(now: number): number {
		return this.endsAt - now
	}

	/** Must be called when a request was rejected: doubles the delay, within its limits, and starts it. */
	onRejected(now: number): void {
		this.delayMs = Math.min(MAX_DELAY_MS, Math.max(MIN_DELAY_MS, this.delayMs * 2))
		this.endsAt = now + this.delayMs * (JITTER_MIN + Math.random() * JITTER_RANGE)
	}

	/** Must be called when a request succeeded: resets the delay to the shortest. */
	onSuccess(): void {
		this.delayMs = 0
	}
}
