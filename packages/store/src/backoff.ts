/** Exponential backoff with jitter, after requests that were rejected. */

const MIN_DELAY_MS = 60
const MAX_DELAY_MS = 1000
/** Delays vary by a quarter in both directions, so that the retries of several controllers spread. */
const JITTER_MIN = 0.75
const JITTER_RANGE = 0.5

/** Delays double with every rejection until a request succeeds. */
export class Backoff {
	private delayMs = 0
	private endsAt = 0

	/** For how many ms no request may be sent yet; zero or less: one may be sent now. */
	remainingMs(now: number): number {
		return this.endsAt - now
	}

	/** A request was rejected: doubles the delay, within its limits, and starts it. */
	onRejected(now: number): void {
		this.delayMs = Math.min(MAX_DELAY_MS, Math.max(MIN_DELAY_MS, this.delayMs * 2))
		this.endsAt = now + this.delayMs * (JITTER_MIN + Math.random() * JITTER_RANGE)
	}

	/** A request succeeded: the next rejection starts with the shortest delay. */
	onSuccess(): void {
		this.delayMs = 0
	}
}
