/** Questions to admission checks: when each check is asked about which pending jobs, and what its answers mean. */
import type { LogEvent } from '@heathroad/logging'
import type { JobSpec } from '@heathroad/wire'
import TinyQueue from 'tinyqueue'
import type { CheckContext, CheckTerms, Verdict } from './admission-checks.js'
import type { ShardState } from './state.js'

/** Questions of one shard that are in flight at a time: bounds the load on the checks. */
const MAX_QUESTIONS_IN_FLIGHT = 8

/** The backoff after unsure answers starts at this many ms and doubles with each in a row. */
const MIN_BACKOFF_MS = 500

/** The backoff grows up to this many ms, so that a check that recovers is noticed soon. */
const MAX_BACKOFF_MS = 30_000

/** Doublings of the backoff are counted up to this, far beyond the longest backoff, so that it stays finite. */
const MAX_BACKOFF_DOUBLINGS = 10

/** Jobs that join a question have it asked earlier, but no oftener than once in this many ms. */
const MIN_EARLY_INTERVAL_MS = 1000

/** Why a check counts as passed that is not configured on this controller. */
export const NO_SUCH_CHECK = 'there is no such check here'

/** A job that may not start yet. */
export interface PendingJob {
	uid: string
	spec: JobSpec
	/** wall-clock time in ms */
	acceptedAtMs: number
	/** checks that have not released it yet */
	pendingChecks: Set<string>
}

/** What one check is asked about: a job, or all jobs of a class and team that wait for it. */
interface Question {
	checkName: string
	jobs: Set<PendingJob>
	/** steady time in ms */
	askAt: number
	askedCount: number
	/** steady time in ms */
	lastAskedAt: number
	/** asked, and not answered yet */
	isInFlight: boolean
	/** unsure answers in a row */
	unsureCount: number
	/** no job is left, or another question has taken its place */
	isWithdrawn: boolean
}

/** What the questions report to the gate that holds the jobs. */
export interface CheckQuestionsListener {
	/** Is the job still held by the gate? */
	isHeld(job: PendingJob): boolean
	/** A check has released a job, for the reason given. */
	onCheckPassed(job: PendingJob, checkName: string, reason: string): void
	/** An answer was taken into account; called after the `onCheckPassed` that it led to. */
	onAnswered(now: number): void
}

const groupKey = (checkName: string, { spec }: PendingJob): string =>
	`${checkName} ${spec.jobClass} ${spec.team}`

const jobKey = (checkName: string, { uid }: PendingJob): string => `${checkName} ${uid}`

const questionKey = (checkName: string, job: PendingJob, terms: CheckTerms): string =>
	terms.grouped ? groupKey(checkName, job) : jobKey(checkName, job)

/**
 * The open questions of one shard, asked in the order in which they are due. Questions are not durable: a successor asks
 * again.
 */
export class CheckQuestions {
	private readonly questionsByKey = new Map<string, Question>()
	/** withdrawn questions stay in the queue until they are due */
	private readonly dueQueue = new TinyQueue<Question>([], (a, b) => a.askAt - b.askAt)
	private inFlightCount = 0

	constructor(
		private readonly state: ShardState,
		private readonly listener: CheckQuestionsListener,
	) {}

	/** Adds a job to the question for a check, a new one if there is none. */
	add(job: PendingJob, checkName: string, terms: CheckTerms, now: number): void {
		const key = questionKey(checkName, job, terms)
		const previous = this.questionsByKey.get(key)
		previous?.jobs.add(job)
		// In flight: when the answer comes it is asked again for the jobs that came meanwhile.
		if (previous?.isInFlight === true) return
		const lastAskedAt = previous?.lastAskedAt ?? Number.NEGATIVE_INFINITY
		// The last answer was about the other jobs, not about this one; jobs of a burst are asked about together.
		const earliestAt = Math.max(now, lastAskedAt + MIN_EARLY_INTERVAL_MS)
		// A question in the queue cannot be moved ahead: a new one takes its place.
		if (previous !== undefined) previous.isWithdrawn = true
		const question: Question = {
			checkName,
			jobs: previous?.jobs ?? new Set([job]),
			askAt: Math.min(previous?.askAt ?? now, earliestAt),
			askedCount: previous?.askedCount ?? 0,
			lastAskedAt,
			isInFlight: false,
			unsureCount: previous?.unsureCount ?? 0,
			isWithdrawn: false,
		}
		this.questionsByKey.set(key, question)
		this.dueQueue.push(question)
	}

	/** Asks nothing about the job any more. */
	remove(job: PendingJob): void {
		for (const [key, question] of this.questionsAbout(job)) this.withdraw(job, key, question)
	}

	/** Does not ask this check about the job any more. */
	removeFrom(checkName: string, job: PendingJob): void {
		for (const [key, question] of this.questionsAbout(job))
			if (question.checkName === checkName) this.withdraw(job, key, question)
	}

	/** Asks the questions that are due, as many as may be in flight. */
	askDue(now: number): void {
		for (let next = this.dueQueue.peek(); next !== undefined; next = this.dueQueue.peek()) {
			if (next.askAt > now) return
			if (this.inFlightCount >= MAX_QUESTIONS_IN_FLIGHT && !next.isWithdrawn) return
			this.dueQueue.pop()
			if (!next.isWithdrawn) this.ask(next)
		}
	}

	private *questionsAbout(job: PendingJob): Iterable<[string, Question]> {
		for (const checkName of job.pendingChecks)
			for (const key of [jobKey(checkName, job), groupKey(checkName, job)]) {
				const question = this.questionsByKey.get(key)
				if (question?.jobs.has(job)) yield [key, question]
			}
	}

	private withdraw(job: PendingJob, key: string, question: Question): void {
		question.jobs.delete(job)
		if (question.jobs.size > 0) return
		question.isWithdrawn = true
		this.questionsByKey.delete(key)
	}

	private ask(question: Question): void {
		const { dependencies } = this.state
		const terms = dependencies.checks().terms(question.checkName)
		const jobs = [...question.jobs]
		if (terms === null) {
			for (const job of jobs) this.listener.onCheckPassed(job, question.checkName, NO_SUCH_CHECK)
			return
		}
		const [firstJob] = jobs
		const context = this.contextOf(question, firstJob, terms)
		question.askedCount++
		question.lastAskedAt = dependencies.now()
		question.isInFlight = true
		this.inFlightCount++
		let isAnswered = false
		dependencies.checks().ask(question.checkName, firstJob.spec, context, (verdict) => {
			if (isAnswered) return
			isAnswered = true
			question.isInFlight = false
			this.inFlightCount--
			if (this.state.stopped) return
			this.onVerdict(question, jobs, verdict, terms)
		})
	}

	private contextOf(question: Question, firstJob: PendingJob, terms: CheckTerms): CheckContext {
		const waitedMs = this.state.dependencies.wallClockMs() - firstJob.acceptedAtMs
		return {
			waitedS: waitedMs / 1000,
			leftS: Math.max(0, terms.atMostMs - waitedMs) / 1000,
			asked: question.askedCount,
			waiting: question.jobs.size,
		}
	}

	/** `askedJobs`: the jobs that were part of the question when it was asked. */
	private onVerdict(
		question: Question,
		askedJobs: readonly PendingJob[],
		verdict: Verdict,
		terms: CheckTerms,
	): void {
		const now = this.state.dependencies.now()
		if (verdict.kind === 'release') this.release(question, askedJobs, 'released')
		else if (verdict.kind === 'hold') this.hold(question, verdict, now)
		else if (terms.whenUnsure === 'release') this.release(question, askedJobs, `unsure: ${verdict.why}`)
		else this.backOff(question, verdict, now)
		if (!question.isWithdrawn) {
			const joinedMeanwhile = askedJobs.length < question.jobs.size
			const askedAreGone = !askedJobs.some((job) => question.jobs.has(job))
			if (joinedMeanwhile || askedAreGone) question.askAt = now
			this.dueQueue.push(question)
		}
		this.listener.onAnswered(now)
	}

	private release(question: Question, jobs: readonly PendingJob[], reason: string): void {
		for (const job of jobs)
			if (this.listener.isHeld(job)) this.listener.onCheckPassed(job, question.checkName, reason)
	}

	private hold(question: Question, verdict: Extract<Verdict, { kind: 'hold' }>, now: number): void {
		question.unsureCount = 0
		question.askAt = now + verdict.againMs
		this.log(question, 'job held', verdict.why)
	}

	private backOff(question: Question, verdict: Extract<Verdict, { kind: 'unsure' }>, now: number): void {
		const doublings = Math.min(MAX_BACKOFF_DOUBLINGS, question.unsureCount++)
		const backoffMs = Math.max(verdict.againMs, MIN_BACKOFF_MS * 2 ** doublings)
		question.askAt = now + Math.min(MAX_BACKOFF_MS, backoffMs)
		this.log(question, 'job held without an answer', verdict.why)
	}

	private log(question: Question, event: LogEvent, why: string): void {
		const [firstJob] = question.jobs
		if (firstJob === undefined) return
		this.state.dependencies.log('info', event, {
			uid: firstJob.uid,
			check: question.checkName,
			jobs: question.jobs.size,
			why,
		})
	}
}
