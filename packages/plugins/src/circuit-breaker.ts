/** Circuit breaker: suspends the calls to a plug-in that fails, so that nobody waits for answers that do not come. */

/** When a circuit opens, for how long, and when it closes. */
export interface CircuitBreakerSettings {
	/** opens after this number of consecutive failures */
	consecutiveFailures: number
	/** or when this number of the latest `window` calls failed */
	failuresInWindow: number
	/** number of latest calls that are remembered */
	window: number
	/** how long the circuit stays open at first, in ms; doubled each time that a trial call fails */
	openMs: number
	/** the longest time that it stays open, in ms */
	maxOpenMs: number
	/** consecutive successful trial calls that close it */
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

/** `closed`: calls are made; `open`: none is; `half open`: single trial calls are. Shown to operators. */
export type CircuitState = 'closed' | 'open' | 'half open'

/**
 * Counts failures in a window beside consecutive ones: a plug-in that fails every other call fails four of ten and stays
 * suspended, where consecutive failures alone would never open the circuit. All times are steady ms.
 */
export class CircuitBreaker {
	/** outcomes of the latest calls, true for a success */
	private latestOutcomes: boolean[] = []
	private openUntil = Number.NEGATIVE_INFINITY
	/** how long the circuit will be open the next time, in ms */
	private nextOpenMs: number
	/** trial calls left until it closes; 0: it is closed */
	private trialsLeft = 0

	constructor(private readonly settings: CircuitBreakerSettings = DEFAULT_CIRCUIT_BREAKER) {
		this.nextOpenMs = settings.openMs
	}

	state(now: number): CircuitState {
		if (now < this.openUntil) return 'open'
		return this.trialsLeft > 0 ? 'half open' : 'closed'
	}

	/** How long it stays open from now on, in ms; 0: it is not open. */
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
