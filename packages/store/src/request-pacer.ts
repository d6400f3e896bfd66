/** Keeps requests a minimum interval apart. */

/** Gives out time slots that lie at least an interval apart. */
export class RequestPacer {
	private nextSlotAt = Number.NEGATIVE_INFINITY

	/**
	 * @param intervalMs distance of the slots
	 * @param now steady clock, in ms
	 */
	constructor(
		private readonly intervalMs: number,
		private readonly now: () => number,
	) {}

	/** Reserves the next slot; returns in how many ms it begins. */
	reserveDelayMs(): number {
		const now = this.now()
		const slotAt = Math.max(now, this.nextSlotAt)
		this.nextSlotAt = slotAt + this.intervalMs
		return slotAt - now
	}
}
