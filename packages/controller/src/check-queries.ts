/** Queries to admission checks: when each check is queried about which pending jobs, and how its verdicts apply. */
import type { LogEvent } from '@heathroad/logging'
import type { JobSpec } from '@heathroad/wire'
import TinyQueue from 'tinyqueue'
import type { CheckContext, CheckSettings, Verdict } from './admission-checks.js'
import type { ShardState } from './state.js'

/** Queries of one shard that may be in flight at the same time: limits the load on the checks. */
const MAX_QUERIES_IN_FLIGHT = 8

/** Initial backoff after an unsure verdict, in ms; doubles with each further consecutive one. */
const MIN_BACKOFF_MS = 500

/** Maximum backoff in ms, short enough that the recovery of a check is noticed soon. */
const MAX_BACKOFF_MS = 30_000

/** Limits the exponent of the backoff, far beyond its maximum, so that the result stays finite. */
const MAX_BACKOFF_DOUBLINGS = 10

/** A job that joins a query brings its next sending forward, but no closer than this to the previous one, in ms. */
const MIN_RESEND_INTERVAL_MS = 1000

/** Logged reason why a check that is not configured on this controller counts as passed. */
export const NO_SUCH_CHECK = 'there is no such check here'

/** A job that is pending release. */
export interface PendingJob {
	uid: string
	spec: JobSpec
	/** wall-clock time in ms */
	acceptedAtMs: number
	/** checks that have not released it yet */
	pendingChecks: Set<string>
}

/** A recurring query to one check: about one job, or about all waiting jobs of a class and team. */
interface CheckQuery {
	checkName: string
	jobs: Set<PendingJob>
	/** monotonic time in ms */
	dueAt: number
	sentCount: number
	/** monotonic time in ms */
	lastSentAt: number
	/** sent, but not answered yet */
	isInFlight: boolean
	/** consecutive unsure verdicts */
	unsureCount: number
	/** it has no jobs left, or another query has replaced it */
	isWithdrawn: boolean
}

/** Callbacks to the admission gate that holds the jobs. */
export interface CheckQueryListener {
	/** Whether the job is still held by the gate. */
	isHeld(job: PendingJob): boolean
	/** Called when a check has released a job, with the reason. */
	onCheckPassed(job: PendingJob, checkName: string, reason: string): void
	/** Called when a verdict has been applied, after the `onCheckPassed` calls that it caused. */
	onVerdictApplied(now: number): void
}

const groupKey = (checkName: string, { spec }: PendingJob): string =>
	`${checkName} ${spec.jobClass} ${spec.team}`

const jobKey = (checkName: string, { uid }: PendingJob): string => `${checkName} ${uid}`

const queryKey = (checkName: string, job: PendingJob, settings: CheckSettings): string =>
	settings.grouped ? groupKey(checkName, job) : jobKey(checkName, job)

/**
 * The open queries of one shard, sent in the order in which they are due. Queries are not durable: the next owner sends
 * its own.
 */
export class CheckQueries {
	private readonly queriesByKey = new Map<string, CheckQuery>()
	/** withdrawn queries stay in the queue until they are due */
	private readonly dueQueue = new TinyQueue<CheckQuery>([], (a, b) => a.dueAt - b.dueAt)
	private inFlightCount = 0

	constructor(
		private readonly state: ShardState,
		private readonly listener: CheckQueryListener,
	) {}

	/** Adds a job to the query to a check; creates the query if there is none. */
	add(job: PendingJob, checkName: string, settings: CheckSettings, now: number): void {
		const key = queryKey(checkName, job, settings)
		const previous = this.queriesByKey.get(key)
		previous?.jobs.add(job)
		// A query in flight is sent again after its verdict for the jobs that joined meanwhile.
		if (previous?.isInFlight === true) return
		const lastSentAt = previous?.lastSentAt ?? Number.NEGATIVE_INFINITY
		// The last verdict did not cover this job, so it is queried soon; the interval batches the jobs of a burst.
		const earliestAt = Math.max(now, lastSentAt + MIN_RESEND_INTERVAL_MS)
		// A query cannot be moved within the queue: a new one replaces it.
		if (previous !== undefined) previous.isWithdrawn = true
		const query: CheckQuery = {
			checkName,
			jobs: previous?.jobs ?? new Set([job]),
			dueAt: Math.min(previous?.dueAt ?? now, earliestAt),
			sentCount: previous?.sentCount ?? 0,
			lastSentAt,
			isInFlight: false,
			unsureCount: previous?.unsureCount ?? 0,
			isWithdrawn: false,
		}
		this.queriesByKey.set(key, query)
		this.dueQueue.push(query)
	}

	/** Removes the job from all queries. */
	remove(job: PendingJob): void {
		for (const [key, query] of this.queriesAbout(job)) this.withdraw(job, key, query)
	}

	/** Removes the job from the queries to one check. */
	removeFrom(checkName: string, job: PendingJob): void {
		for (const [key, query] of this.queriesAbout(job))
			if (query.checkName === checkName) this.withdraw(job, key, query)
	}

	/** Sends the queries that are due, within the limit of queries in flight. */
	sendDue(now: number): void {
		for (let next = this.dueQueue.peek(); next !== undefined; next = this.dueQueue.peek()) {
			if (next.dueAt > now) return
			if (this.inFlightCount >= MAX_QUERIES_IN_FLIGHT && !next.isWithdrawn) return
			this.dueQueue.pop()
			if (!next.isWithdrawn) this.send(next)
		}
	}

	private *queriesAbout(job: PendingJob): Iterable<[string, CheckQuery]> {
		for (const checkName of job.pendingChecks)
			for (const key of [jobKey(checkName, job), groupKey(checkName, job)]) {
				const query = this.queriesByKey.get(key)
				if (query?.jobs.has(job)) yield [key, query]
			}
	}

	private withdraw(job: PendingJob, key: string, query: CheckQuery): void {
		query.jobs.delete(job)
		if (query.jobs.size > 0) return
		query.isWithdrawn = true
		this.queriesByKey.delete(key)
	}

	private send(query: CheckQuery): void {
		const { dependencies } = this.state
		const settings = dependencies.checks().checkSettings(query.checkName)
		const jobs = [...query.jobs]
		if (settings === null) {
			for (const job of jobs) this.listener.onCheckPassed(job, query.checkName, NO_SUCH_CHECK)
			return
		}
		const [firstJob] = jobs
		const context = this.contextOf(query, firstJob, settings)
		query.sentCount++
		query.lastSentAt = dependencies.now()
		query.isInFlight = true
		this.inFlightCount++
		let isAnswered = false
		dependencies.checks().requestVerdict(query.checkName, firstJob.spec, context, (verdict) => {
			if (isAnswered) return
			isAnswered = true
			query.isInFlight = false
			this.inFlightCount--
			if (this.state.stopped) return
			this.onVerdict(query, jobs, verdict, settings)
		})
	}

	private contextOf(query: CheckQuery, firstJob: PendingJob, settings: CheckSettings): CheckContext {
		const waitedMs = this.state.dependencies.wallClockMs() - firstJob.acceptedAtMs
		return {
			waitedS: waitedMs / 1000,
			leftS: Math.max(0, settings.maxHoldMs - waitedMs) / 1000,
			asked: query.sentCount,
			waiting: query.jobs.size,
		}
	}

	/** `queriedJobs`: the jobs that were part of the query when it was sent. */
	private onVerdict(
		query: CheckQuery,
		queriedJobs: readonly PendingJob[],
		verdict: Verdict,
		settings: CheckSettings,
	): void {
		const now = this.state.dependencies.now()
		if (verdict.kind === 'release') this.release(query, queriedJobs, 'released')
		else if (verdict.kind === 'hold') this.hold(query, verdict, now)
		else if (settings.whenUnsure === 'release') this.release(query, queriedJobs, `unsure: ${verdict.why}`)
		else this.backOff(query, verdict, now)
		if (!query.isWithdrawn) {
			const joinedMeanwhile = queriedJobs.length < query.jobs.size
			const areQueriedJobsGone = !queriedJobs.some((job) => query.jobs.has(job))
			if (joinedMeanwhile || areQueriedJobsGone) query.dueAt = now
			this.dueQueue.push(query)
		}
		this.listener.onVerdictApplied(now)
	}

	private release(query: CheckQuery, jobs: readonly PendingJob[], reason: string): void {
		for (const job of jobs)
			if (this.listener.isHeld(job)) this.listener.onCheckPassed(job, query.checkName, reason)
	}

	private hold(query: CheckQuery, verdict: Extract<Verdict, { kind: 'hold' }>, now: number): void {
		query.unsureCount = 0
		query.dueAt = now + verdict.againMs
		this.log(query, 'job held', verdict.why)
	}

	private backOff(query: CheckQuery, verdict: Extract<Verdict, { kind: 'unsure' }>, now: number): void {
		const doublings = Math.min(MAX_BACKOFF_DOUBLINGS, query.unsureCount++)
		const backoffMs = Math.max(verdict.againMs, MIN_BACKOFF_MS * 2 ** doublings)
		query.dueAt = now + Math.min(MAX_BACKOFF_MS, backoffMs)
		this.log(query, 'job held without an answer', verdict.why)
	}

	private log(query: CheckQuery, event: LogEvent, why: string): void {
		const [firstJob] = query.jobs
		if (firstJob === undefined) return
		this.state.dependencies.log('info', event, {
			uid: firstJob.uid,
			check: query.checkName,
			jobs: query.jobs.size,
			why,
		})
	}
}
