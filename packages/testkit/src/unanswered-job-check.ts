/** Part of the invariant checker: finds jobs whose queries stay unanswered while queries of other jobs are answered. */

/** How long queries of a job may stay unanswered while most others are answered. */
const UNANSWERED_LIMIT_MS = 90_000
/** Minimum length of a streak that is reported: a few queries may have reached the same faulty controller. */
const MIN_UNANSWERED_QUERIES = 10
/** Fraction of the other queries above which most count as answered. */
const MOST_SHARE = 0.5

/** Consecutive unanswered queries of a job. */
interface UnansweredStreak {
	sinceMs: number
	queries: number
	/** queries of all jobs, and answered ones among them, before the first of the streak */
	queriesBefore: number
	answeredBefore: number
}

/** Counts all queries, and tracks the streak of unanswered queries of each job. */
export class UnansweredJobCheck {
	private queryCount = 0
	private answeredCount = 0
	private readonly streaks = new Map<string, UnansweredStreak>()

	/** Records the outcome of a query; returns true, once per streak, if the streak of unanswered ones breaks the rule. */
	observe(uid: string, isAnswered: boolean, nowMs: number): boolean {
		if (isAnswered) {
			this.queryCount++
			this.answeredCount++
			this.streaks.delete(uid)
			return false
		}
		const row = this.streaks.get(uid) ?? this.newStreak(nowMs)
		this.streaks.set(uid, row)
		this.queryCount++
		row.queries++
		if (!this.breaksRule(row, nowMs)) return false
		row.sinceMs = Number.POSITIVE_INFINITY
		return true
	}

	private newStreak(nowMs: number): UnansweredStreak {
		return { sinceMs: nowMs, queries: 0, queriesBefore: this.queryCount, answeredBefore: this.answeredCount }
	}

	private breaksRule(row: UnansweredStreak, nowMs: number): boolean {
		if (nowMs - row.sinceMs < UNANSWERED_LIMIT_MS || row.queries < MIN_UNANSWERED_QUERIES) return false
		const otherQueries = this.queryCount - row.queriesBefore - row.queries
		const othersAnswered = this.answeredCount - row.answeredBefore
		return othersAnswered > otherQueries * MOST_SHARE
	}
}
