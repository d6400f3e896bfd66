/** Hands out turns that lie a gap apart. */
export class Pace {
	private next = Number.NEGATIVE_INFINITY

	constructor(
		private readonly gapMs: number,
		private readonly now: () => number,
	) {}

	/** Takes the next turn; in how many ms that is. */
	take(): number {
		const now = this.now()
		const at = Math.max(now, this.next)
		this.next = at + this.gapMs
		return at - now
	}
}
