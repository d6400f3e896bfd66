/** Queue that makes accepted jobs durable in batches, and manages the batch records that it writes. */
import { type AcceptedJobRecord, acceptJobs, encodeJobRecord } from '@heathroad/cluster'
import { maxValueChars } from '@heathroad/config'
import { priorityRank } from '@heathroad/policy'
import { type QueuedWrite, type TransactionContent, WritePriority, type WriteResult } from '@heathroad/store'
import { Effect } from 'effect'
import type { ControllerContext } from './controller-context.js'
import type { JobLocation } from './job-locator.js'
import { prefixOf, RecordKind } from './record-kinds.js'

/** The outcome of a submission. */
export type SubmissionOutcome =
	| 'accepted'
	/** the job may be known already or may still become durable: its status has to be read */
	| 'unclear'
	/** certainly not accepted */
	| 'refused'

/** Number of this controller's batch records that are examined per write to find an obsolete one to reuse. */
const RECORDS_EXAMINED_PER_WRITE = 4
/** Maximum jobs in one batch, as a multiple of the operations in one transaction; each job adds a condition. */
const JOBS_PER_TRANSACTION_OPERATION = 2
/** `PendingSubmission.provenAbsentAt` before there is any proof. */
const UNPROVEN = -1

interface PendingSubmission {
	record: AcceptedJobRecord
	bytes: number
	/** monotonic time after which it is given up */
	deadline: number
	/** revision as of which it was proven that the job was never accepted, or `UNPROVEN` */
	provenAbsentAt: number
	searchInFlight: boolean
	done: (outcome: SubmissionOutcome) => void
}

/** The key that a batch is written to; `modRevision` 0: a new key. */
interface BatchLocation {
	key: string
	modRevision: number
}

/** Orders submissions fairly: teams in turn; within a team by priority, highest first; within a priority oldest first. */
const inFairOrder = (submissions: readonly PendingSubmission[]): PendingSubmission[] => {
	const turnsTaken = new Map<string, number>()
	return submissions
		.map((submission, index) => ({ submission, index, rank: priorityRank(submission.record.spec.priority) }))
		.sort((a, b) => b.rank - a.rank || a.index - b.index)
		.map((ranked) => {
			const { team } = ranked.submission.record.spec
			const turn = turnsTaken.get(team) ?? 0
			turnsTaken.set(team, turn + 1)
			return { ...ranked, turn }
		})
		.sort((a, b) => a.turn - b.turn || a.index - b.index)
		.map(({ submission }) => submission)
}

/**
 * Makes accepted jobs durable, as many in one write as a value holds: a burst of submissions would otherwise wait for
 * seconds because of the write rate that all controllers share. One write is in flight at a time; submissions that
 * arrive meanwhile are in the next one.
 */
export class SubmissionQueue {
	private pending: PendingSubmission[] = []
	private writeInFlight: QueuedWrite | null = null
	private batchCounter = 0
	/** this controller's batch records, oldest first, and the revisions of their last changes */
	private readonly ownBatches: { key: string; revision: number }[] = []

	constructor(private readonly context: ControllerContext) {}

	/**
	 * Returns whether one more submission of this team may wait. All teams share the bound, but a team with less than an
	 * equal share of it waiting is never rejected: one team's flood must not shut out the other teams.
	 */
	hasCapacity(team: string): boolean {
		const { limits, settings } = this.context.config
		const pendingOfTeam = this.pending.filter(({ record }) => record.spec.team === team).length
		if (this.pending.length < limits.maxPendingSubmissions) return true
		return pendingOfTeam < limits.maxPendingSubmissions / settings.deployment.teams.length
	}

	/** Adds a submission that is given up after `timeoutMs`; `done` is called once with its outcome. */
	enqueue(record: AcceptedJobRecord, timeoutMs: number, done: (outcome: SubmissionOutcome) => void): void {
		const submission: PendingSubmission = {
			record,
			bytes: JSON.stringify(encodeJobRecord(record)).length + 1,
			deadline: this.context.now() + timeoutMs,
			provenAbsentAt: UNPROVEN,
			searchInFlight: false,
			done,
		}
		this.pending.push(submission)
		if (this.isProvenAbsent(submission)) this.flush()
		else this.proveAbsent(submission)
	}

	/**
	 * Returns whether the job is proven never to have been accepted, as of the current archival epoch. A write that accepts
	 * jobs is valid only in the epoch in which it is made. A job that is accepted elsewhere after the proof and becomes
	 * terminal stays on a page in memory until the next epoch.
	 */
	private isProvenAbsent(submission: PendingSubmission): boolean {
		const { archive, jobLocator } = this.context
		const { provenAbsentAt } = submission
		if (provenAbsentAt >= archive.archivalEpoch() && provenAbsentAt >= 0) return true
		const absentAsOf = jobLocator.absentAsOf(submission.record.spec.uid)
		if (absentAsOf === null) return false
		submission.provenAbsentAt = absentAsOf
		return true
	}

	private proveAbsent(submission: PendingSubmission): void {
		if (submission.searchInFlight) return
		submission.searchInFlight = true
		const search = this.context.jobLocator
			.locate(submission.record.spec.uid)
			.pipe(Effect.map((location) => this.onLocated(submission, location)))
		Effect.runFork(search)
	}

	private onLocated(submission: PendingSubmission, location: JobLocation): void {
		submission.searchInFlight = false
		if (!this.pending.includes(submission)) return
		if (location.kind === 'absent') {
			submission.provenAbsentAt = location.asOf
			// An archival epoch that began during the search requires a new proof.
			if (this.isProvenAbsent(submission)) this.flush()
			else this.proveAbsent(submission)
			return
		}
		this.settle(new Set([submission]), location.kind === 'unknown' ? 'refused' : 'unclear')
	}

	private isKnown(submission: PendingSubmission): boolean {
		return this.context.jobs.get(submission.record.spec.uid) !== undefined
	}

	/** Returns the submissions that may be written, in fair order, and starts proofs of absence for the others. */
	private writable(): PendingSubmission[] {
		// Jobs that another controller has accepted since they arrived: their statuses have to be read.
		this.settle(new Set(this.pending.filter((submission) => this.isKnown(submission))), 'unclear')
		const proven: PendingSubmission[] = []
		for (const submission of this.pending)
			if (this.isProvenAbsent(submission)) proven.push(submission)
			else this.proveAbsent(submission)
		return inFairOrder(proven)
	}

	/** Returns as many of the first writable submissions as one value and the conditions of one transaction can hold. */
	private nextBatch(): PendingSubmission[] {
		const { settings } = this.context.config
		const maxJobs = settings.deployment.state.txn_ops * JOBS_PER_TRANSACTION_OPERATION
		let bytesLeft = maxValueChars(settings)
		const batch: PendingSubmission[] = []
		for (const submission of this.writable()) {
			bytesLeft -= submission.bytes
			if (batch.length > 0 && (bytesLeft < 0 || batch.length >= maxJobs)) break
			batch.push(submission)
		}
		return batch
	}

	/**
	 * Returns the key for the next batch: that of an obsolete batch of this controller, which is overwritten, or else a new
	 * key. A new key costs a second write when it is deleted; at four jobs per second, submitted one by one, that used up
	 * the write rate (incident 25).
	 */
	private nextLocation(): BatchLocation {
		const { cache, jobs, membership } = this.context
		const maxExamined = Math.min(RECORDS_EXAMINED_PER_WRITE, this.ownBatches.length)
		for (let examined = 0; examined < maxExamined; examined++) {
			const batch = this.ownBatches.shift()
			if (batch === undefined) break
			const entry = cache.get(batch.key)
			// The cached record may be older than the last write.
			const isCurrent = cache.revision >= batch.revision
			if (isCurrent && entry !== undefined && jobs.isObsoleteBatch(entry.data))
				return { key: batch.key, modRevision: entry.modRevision }
			// A key that its shard's owner has deleted as obsolete is not reused.
			if (!isCurrent || entry !== undefined) this.ownBatches.push(batch)
		}
		return {
			key: `${prefixOf(RecordKind.acceptedBatch)}${membership.incarnation}-${++this.batchCounter}`,
			modRevision: 0,
		}
	}

	private flush(): void {
		if (this.writeInFlight !== null) return
		if (!this.pending.some((submission) => this.isProvenAbsent(submission))) return
		let batch: PendingSubmission[] = []
		let location: BatchLocation | null = null
		this.writeInFlight = {
			priority: WritePriority.user,
			deadline: Math.min(...this.pending.map(({ deadline }) => deadline)),
			// May be called again for the same location; the batch is then chosen again from the pending submissions.
			build: (): TransactionContent | null => {
				batch = this.nextBatch()
				location ??= this.nextLocation()
				if (batch.length === 0) return null
				const records = batch.map(({ record }) => record)
				return acceptJobs(this.context.cache, location.key, records, location.modRevision)
			},
			onResult: (result) => this.onWriteResult(result, batch, location),
		}
		this.context.writeQueue.enqueue(this.writeInFlight)
	}

	private onWriteResult(
		result: WriteResult,
		batch: readonly PendingSubmission[],
		location: BatchLocation | null,
	): void {
		if (result.kind === 'conflict') {
			// At least one job is known already: it leaves the queue, and the others are written again.
			this.context.refreshCache(() => {
				const known = batch.filter((submission) => this.isKnown(submission))
				this.settle(new Set(known), 'unclear')
				this.onWriteFinished()
			})
			return
		}
		if (result.kind === 'ok' && location !== null) {
			this.ownBatches.push({ key: location.key, revision: result.revision })
			this.onBatchDurable(batch, result.revision)
		}
		// The write may still be applied, so the key is not reused; the shard's owner deletes it once obsolete.
		if (result.kind === 'unknown') this.settle(new Set(batch), 'unclear')
		this.onWriteFinished()
	}

	/**
	 * Reports the outcomes once every change before the batch is known. Another controller may have accepted a user's
	 * retry, and the job may be terminal by now: batch records and terminal states share no key that would conflict. A job
	 * that an earlier record accepted was known already.
	 */
	private onBatchDurable(batch: readonly PendingSubmission[], revision: number): void {
		this.pending = this.pending.filter((submission) => !batch.includes(submission))
		this.context.waitForRevision(revision, (isKnownUpTo) => {
			for (const { record, done } of batch) {
				const known = this.context.jobs.get(record.spec.uid)?.record
				const isOurs = known?.finalState === undefined && known?.acceptedAtMs === record.acceptedAtMs
				done(isKnownUpTo && isOurs ? 'accepted' : 'unclear')
			}
		})
	}

	private onWriteFinished(): void {
		this.writeInFlight = null
		const now = this.context.now()
		this.settle(new Set(this.pending.filter(({ deadline }) => deadline <= now)), 'refused')
		this.flush()
	}

	private settle(submissions: ReadonlySet<PendingSubmission>, outcome: SubmissionOutcome): void {
		if (submissions.size === 0) return
		this.pending = this.pending.filter((submission) => !submissions.has(submission))
		for (const submission of submissions) submission.done(outcome)
	}
}
