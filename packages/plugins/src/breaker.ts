/** When calls to something that fails are not made, so that nobody waits for what will not come. */
export interface BreakerTerms {
	/** opens after so many failures in a row */
	inARow: number
	/** or when so many of the latest `window` calls failed */
	ofWindow: number
	window: number
	/** how long it stays open at first, and at most: each time that a trial fails it is twice as long */
	pauseMs: number
	mostPauseMs: number
	/** trials that must succeed, one after the other, before it is closed again */
	trials: number
}

export const BREAKER: BreakerTerms = {
	inARow: 3,
	ofWindow: 4,
	window: 10,
	pauseMs: 1000,
	mostPauseMs: 60_000,
	trials: 3,
}

/**
 * Closed: calls are made. Open: none is. Half open, once the pause is over: one at a time, until enough succeeded in a row.
 * One that works every other time fails four of ten and stays out, where counting failures in a row would let it in
 * for ever.
 */
export class Breaker {
	private latest: boolean[] = []
	private openUntil = Number.NEGATIVE_INFINITY
	private pauseMs: number
	/** trials left; 0: closed */
	private trials = 0

	constructor(private readonly terms: BreakerTerms = BREAKER) {
		this.pauseMs = terms.pauseMs
	}

	state(now: number): 'closed' | 'open' | 'half open' {
		if (now < this.openUntil) return 'open'
		return this.trials > 0 ? 'half open' : 'closed'
	}

	/** How long it stays open from now, in ms. */
	leftMs(now: number): number {
		return Math.max(0, this.openUntil - now)
	}

	succeeded(): void {
		if (this.trials > 0) {
			if (--this.trials > 0) return
			this.pauseMs = this.terms.pauseMs
			this.latest = []
		}
		this.note(true)
	}

	/** Returns whether this failure opened it. */
	failed(now: number): boolean {
		if (now < this.openUntil) return false
		if (this.trials > 0) {
			this.open(now)
			return true
		}
		this.note(false)
		const { inARow, ofWindow } = this.terms
		const lately = this.latest.slice(-inARow)
		const row = lately.length === inARow && lately.every((ok) => !ok)
		if (!row && this.latest.filter((ok) => !ok).length < ofWindow) return false
		this.open(now)
		return true
	}

	private open(now: number): void {
		this.openUntil = now + this.pauseMs
		this.pauseMs = Math.min(this.terms.mostPauseMs, this.pauseMs * 2)
		this.trials = this.terms.trials
		this.latest = []
	}

	private note(ok: boolean): void {
		this.latest.push(ok)
		if (this.latest.length > this.terms.window) this.latest.shift()
	}
}
