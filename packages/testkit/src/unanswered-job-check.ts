/** Part of the invariant checker: finds jobs whose questions stay unanswered while those about other jobs are answered. */

/** A job's questions may go unanswered for so long while most others are answered. */
const UNANSWERED_LIMIT_MS = 90_000
/** So many questions in a row have to go unanswered: a few may have met the same controller in trouble. */
const MIN_UNANSWERED_QUESTIONS = 10
/** Most others are answered if more than this share of them is. */
const MOST_SHARE = 0.5

/** Questions about one job that have gone unanswered in a row. */
interface UnansweredRow {
	sinceMs: number
	questions: number
	/** questions about any job, and how many of them were answered, before the first of the row */
	askedBefore: number
	answeredBefore: number
}

/** Counts all questions and follows, job by job, those that have gone unanswered in a row. */
export class UnansweredJobCheck {
	private asked = 0
	private answered = 0
	private readonly rows = new Map<string, UnansweredRow>()

	/** A question about a job was answered or not; returns true once its row of unanswered ones breaks the rule. */
	observe(uid: string, isAnswered: boolean, nowMs: number): boolean {
		if (isAnswered) {
			this.asked++
			this.answered++
			this.rows.delete(uid)
			return false
		}
		const row = this.rows.get(uid) ?? this.newRow(nowMs)
		this.rows.set(uid, row)
		this.asked++
		row.questions++
		if (!this.breaksRule(row, nowMs)) return false
		row.sinceMs = Number.POSITIVE_INFINITY
		return true
	}

	private newRow(nowMs: number): UnansweredRow {
		return { sinceMs: nowMs, questions: 0, askedBefore: this.asked, answeredBefore: this.answered }
	}

	private breaksRule(row: UnansweredRow, nowMs: number): boolean {
		if (nowMs - row.sinceMs < UNANSWERED_LIMIT_MS || row.questions < MIN_UNANSWERED_QUESTIONS) return false
		const othersAsked = this.asked - row.askedBefore - row.questions
		const othersAnswered = this.answered - row.answeredBefore
		return othersAnswered > othersAsked * MOST_SHARE
	}
}
