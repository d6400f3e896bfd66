/** Hands out turns that lie a gap apart. */
export class RequestPacer {
	private nextSlotAt = Number.NEGATIVE_INFINITY

	constructor(
		private readonly gapMs: number,
		private readonly now: () => number,
	) {}

	/** Takes the next turn; in how many ms that is. */
	reserveDelayMs(): number {
		const now = this.now()
		const at = Math.max(now, this.nextSlotAt)
		this.nextSlotAt = at + this.gapMs
		return at - now
	}
}
