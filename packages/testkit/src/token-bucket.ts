/** What is taken of something that fills again by so much a second, up to one second's worth (protocol). */
export class TokenBucket {
	private level: number
	private at: number

	constructor(
		private readonly perS: number,
		private readonly now: () => number,
	) {
		this.level = perS
		this.at = now()
	}

	take(n: number): boolean {
		const now = this.now()
		this.level = Math.min(this.perS, this.level + ((now - this.at) / 1000) * this.perS)
		this.at = now
		if (this.level < n) return false
		this.level -= n
		return true
	}
}
