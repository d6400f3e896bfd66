/** Enforces a minimum interval between requests. */

/** Reserves time slots that begin at least one interval apart. */
export class RequestPacer {
	private nextSlotAt = Number.NEGATIVE_INFINITY

	/**
	 * @param intervalMs minimum time between the starts of two slots
	 * @param now monotonic clock, in ms
	 */
	constructor(
		private readonly intervalMs: number,
		private readonly now: () => number,
	) {}

	/** Reserves the next slot; returns the time in ms until it begins. */
	reserveDelayMs(): number {
		const now = this.now()
		const slotAt = Math.max(now, this.nextSlotAt)
		this.nextSlotAt = slotAt + this.intervalMs
		return slotAt - now
	}
}
