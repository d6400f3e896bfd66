/** Circuit breaker: suspends calls to a plug-in that keeps failing, so that no caller waits for it in vain. */

/** Thresholds and durations of a circuit breaker. */
export interface CircuitBreakerSettings {
	/** the circuit opens after this number of consecutive failures */
	consecutiveFailures: number
	/** the circuit also opens when this number of the latest `window` calls failed */
	failuresInWindow: number
	/** number of latest calls whose outcomes are kept */
	window: number
	/** how long the circuit stays open the first time, in ms; doubled whenever a trial call fails */
	openMs: number
	/** maximum time for which the circuit stays open, in ms */
	maxOpenMs: number
	/** number of consecutive successful trial calls that close the circuit */
	trialCalls: number
}

export const DEFAULT_CIRCUIT_BREAKER: CircuitBreakerSettings = {
	consecutiveFailures: 3,
	failuresInWindow: 4,
	window: 10,
	openMs: 1000,
	maxOpenMs: 60_000,
	trialCalls: 3,
}

/** `closed`: all calls are made; `open`: none; `half open`: one trial call at a time. Shown to operators. */
export type CircuitState = 'closed' | 'open' | 'half open'

/**
 * Counts consecutive failures and failures in a window of calls: a plug-in that fails every other call is suspended by
 * the window (four of ten), whereas consecutive failures alone would never open its circuit. Times are monotonic ms.
 */
export class CircuitBreaker {
	/** outcomes of the latest calls; true: success */
	private latestOutcomes: boolean[] = []
	private openUntil = Number.NEGATIVE_INFINITY
	/** how long the circuit stays open the next time, in ms */
	private nextOpenMs: number
	/** successful trial calls left until the circuit closes; 0: it is closed */
	private trialsLeft = 0

	constructor(private readonly settings: CircuitBreakerSettings = DEFAULT_CIRCUIT_BREAKER) {
		this.nextOpenMs = settings.openMs
	}

	state(now: number): CircuitState {
		if (now < this.openUntil) return 'open'
		return this.trialsLeft > 0 ? 'half open' : 'closed'
	}

	/** Returns how much longer the circuit stays open, in ms; 0 if it is not open. */
	remainingOpenMs(now: number): number {
		return Math.max(0, this.openUntil - now)
	}

	recordSuccess(): void {
		if (this.trialsLeft > 0) {
			this.trialsLeft--
			if (this.trialsLeft > 0) return
			this.nextOpenMs = this.settings.openMs
			this.latestOutcomes = []
		}
		this.recordOutcome(true)
	}

	/** Records a failure; returns whether it opened the circuit. */
	recordFailure(now: number): boolean {
		if (now < this.openUntil) return false
		if (this.trialsLeft > 0) {
			this.open(now)
			return true
		}
		this.recordOutcome(false)
		if (!this.hasTooManyFailures()) return false
		this.open(now)
		return true
	}

	private hasTooManyFailures(): boolean {
		const { consecutiveFailures, failuresInWindow } = this.settings
		const latest = this.latestOutcomes.slice(-consecutiveFailures)
		if (latest.length === consecutiveFailures && latest.every((succeeded) => !succeeded)) return true
		return this.latestOutcomes.filter((succeeded) => !succeeded).length >= failuresInWindow
	}

	private open(now: number): void {
		this.openUntil = now + this.nextOpenMs
		this.nextOpenMs = Math.min(this.settings.maxOpenMs, this.nextOpenMs * 2)
		this.trialsLeft = this.settings.trialCalls
		this.latestOutcomes = []
	}

	private recordOutcome(succeeded: boolean): void {
		this.latestOutcomes.push(succeeded)
		if (this.latestOutcomes.length > this.settings.window) this.latestOutcomes.shift()
	}
}
