/**
 * Admission control for event streams: limits their number, the job ids that they name, and the rate of new streams.
 */

/** Limits of one controller's streams. */
export interface StreamLimits {
	/** maximum number of open streams of all teams */
	streams: number
	/** maximum number of open streams of one team */
	streamsPerTeam: number
	/** maximum number of job ids that one stream may name */
	jobIdsPerStream: number
	/** maximum number of job ids that all open streams together may name */
	jobIds: number
	/** maximum number of streams that may start in a second */
	opensPerSecond: number
}

/** Why a stream was refused, and when its reader may try again. */
export type StreamRefusal = {
	reason: 'too many streams' | 'too many ids' | 'too many begin'
	retryAfterMs: number
}

/** The longest retry delay, in ms, as for Retry-After in the HTTP protocol. */
const MAX_RETRY_AFTER_MS = 30_000
/** The shortest retry delay, in ms. */
const MIN_RETRY_AFTER_MS = 1000

/**
 * Decides which streams may start. When a controller exits, thousands of readers reconnect to the others at once: a
 * token bucket limits how many streams start, and every refused reader gets a distinct retry time, evenly spaced, so
 * that they do not all return together.
 */
export class StreamAdmission {
	private readonly streamsByTeam = new Map<string, number>()
	private openStreams = 0
	private openJobIds = 0
	/** retry time of the reader that was refused last */
	private latestRetryAt = Number.NEGATIVE_INFINITY
	private tokens: number
	private refilledAt: number

	/** `now` is a monotonic clock in ms. */
	constructor(
		private readonly limits: StreamLimits,
		private readonly now: () => number,
	) {
		this.tokens = limits.opensPerSecond
		this.refilledAt = now()
	}

	/** Number of open streams. */
	get openCount(): number {
		return this.openStreams
	}

	/** Admits or refuses a stream that names `jobIdCount` ids; null: it is admitted and must be released. */
	admit(team: string, jobIdCount: number): StreamRefusal | null {
		if (jobIdCount > this.limits.jobIdsPerStream)
			return { reason: 'too many ids', retryAfterMs: MAX_RETRY_AFTER_MS }
		if (this.isFull(team, jobIdCount)) return { reason: 'too many streams', retryAfterMs: this.nextRetryMs() }
		this.refillTokens()
		if (this.tokens < 1) return { reason: 'too many begin', retryAfterMs: this.nextRetryMs() }
		this.tokens--
		this.openStreams++
		this.openJobIds += jobIdCount
		this.streamsByTeam.set(team, this.streamsOf(team) + 1)
		return null
	}

	/** Frees what an admitted stream occupied, after its end. */
	release(team: string, jobIdCount: number): void {
		this.openStreams--
		this.openJobIds -= jobIdCount
		const remaining = (this.streamsByTeam.get(team) ?? 1) - 1
		if (remaining > 0) this.streamsByTeam.set(team, remaining)
		else this.streamsByTeam.delete(team)
	}

	private streamsOf(team: string): number {
		return this.streamsByTeam.get(team) ?? 0
	}

	private isFull(team: string, jobIdCount: number): boolean {
		const { limits } = this
		if (this.openStreams >= limits.streams) return true
		if (this.openJobIds + jobIdCount > limits.jobIds) return true
		return this.streamsOf(team) >= limits.streamsPerTeam
	}

	private refillTokens(): void {
		const now = this.now()
		const { opensPerSecond } = this.limits
		const earned = ((now - this.refilledAt) / 1000) * opensPerSecond
		this.tokens = Math.min(opensPerSecond, this.tokens + earned)
		this.refilledAt = now
	}

	/** Reserves the next retry time and returns the delay until it, in ms. */
	private nextRetryMs(): number {
		const now = this.now()
		const earliest = now + MIN_RETRY_AFTER_MS
		const gapMs = 1000 / this.limits.opensPerSecond
		this.latestRetryAt = Math.max(earliest, this.latestRetryAt + gapMs)
		// Beyond the longest delay the retry times wrap around to the earliest one.
		if (this.latestRetryAt - now > MAX_RETRY_AFTER_MS) this.latestRetryAt = earliest
		return Math.ceil(this.latestRetryAt - now)
	}
}
