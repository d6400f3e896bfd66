/** Admission gate: holds the jobs of one shard that are pending release until their admission checks have passed. */
import type { JobRecord } from '@heathroad/cluster'
import type { JobSpec } from '@heathroad/wire'
import TinyQueue from 'tinyqueue'
import { CheckQueries, NO_SUCH_CHECK, type PendingJob } from './check-queries.js'
import { ReleaseWriter } from './release-writer.js'
import type { ShardState } from './state.js'

/** The time at which a check that has not released a job counts as passed. */
interface CheckTimeout {
	job: PendingJob
	checkName: string
	/** monotonic time in ms */
	at: number
}

/**
 * Holds jobs that may not start yet. The scheduler does not see them: nothing is placed, rented, reserved or preempted
 * for them. Checks can be queried again, also by the next owner; only the release is made durable, before any task of
 * the job starts and conditional on the ownership. So verdicts for an owner that has lost the shard have no effect, and
 * a job that has started is never held again.
 */
export class AdmissionGate {
	private readonly jobsByUid = new Map<string, PendingJob>()
	private readonly timeouts = new TinyQueue<CheckTimeout>([], (a, b) => a.at - b.at)
	private readonly queries: CheckQueries
	private readonly releaseWriter: ReleaseWriter

	constructor(
		private readonly state: ShardState,
		/** called when a job may start: its release is durable, or one of its tasks was seen on a machine */
		private readonly onReleased: (uid: string) => void,
	) {
		this.releaseWriter = new ReleaseWriter(state)
		this.queries = new CheckQueries(state, {
			isHeld: (job) => this.isHeld(job),
			onCheckPassed: (job, checkName, reason) => this.onCheckPassed(job, checkName, reason),
			onVerdictApplied: (now) => this.tick(now),
		})
	}

	/** Number of jobs that are pending release. */
	get size(): number {
		return this.jobsByUid.size
	}

	/** Whether the job is pending release in this shard. */
	has(uid: string): boolean {
		return this.jobsByUid.has(uid)
	}

	/** Holds a job until all checks that its record requires have released it. */
	hold(spec: JobSpec, record: JobRecord): void {
		const job: PendingJob = {
			uid: spec.uid,
			spec,
			acceptedAtMs: record.acceptedAtMs ?? 0,
			pendingChecks: new Set(record.requiredChecks ?? []),
		}
		this.jobsByUid.set(job.uid, job)
		const now = this.state.dependencies.now()
		const waitedMs = this.state.dependencies.wallClockMs() - job.acceptedAtMs
		for (const checkName of [...job.pendingChecks]) {
			const settings = this.state.dependencies.checks().checkSettings(checkName)
			if (settings === null) {
				this.onCheckPassed(job, checkName, NO_SUCH_CHECK)
				continue
			}
			this.timeouts.push({ job, checkName, at: now + settings.maxHoldMs - waitedMs })
			this.queries.add(job, checkName, settings, now)
		}
		this.tick(now)
	}

	/** Removes a job that is terminal, belongs to another shard or may start, and stops querying checks about it. */
	drop(uid: string): void {
		const job = this.jobsByUid.get(uid)
		if (job === undefined) return
		this.jobsByUid.delete(uid)
		this.releaseWriter.remove(job)
		this.queries.remove(job)
	}

	/** A task of the job is on a machine: if the job is held, its release is durable but not in this watch cache yet. */
	onTaskSeen(uid: string): void {
		this.release(uid)
	}

	/** Called when releases have become durable, also those that this shard wrote. */
	onJobsReleased(uids: readonly string[]): void {
		for (const uid of uids) this.release(uid)
	}

	/** Passes timed-out checks, sends the queries that are due and writes releases. `now`: monotonic time in ms. */
	tick(now: number): void {
		if (this.state.stopped || this.jobsByUid.size === 0) return
		this.passTimedOutChecks(now)
		this.queries.sendDue(now)
		this.releaseWriter.flush()
	}

	private release(uid: string): void {
		if (!this.jobsByUid.has(uid)) return
		this.drop(uid)
		this.onReleased(uid)
	}

	private isHeld(job: PendingJob): boolean {
		return this.jobsByUid.get(job.uid) === job
	}

	private passTimedOutChecks(now: number): void {
		for (let next = this.timeouts.peek(); next !== undefined; next = this.timeouts.peek()) {
			if (next.at > now) return
			this.timeouts.pop()
			const { job, checkName } = next
			if (this.isHeld(job) && job.pendingChecks.has(checkName))
				this.onCheckPassed(job, checkName, 'its time is over')
		}
	}

	private onCheckPassed(job: PendingJob, checkName: string, reason: string): void {
		this.queries.removeFrom(checkName, job)
		job.pendingChecks.delete(checkName)
		this.state.dependencies.log('info', 'admission check passed', {
			uid: job.uid,
			check: checkName,
			why: reason,
		})
		if (job.pendingChecks.size === 0) this.releaseWriter.add(job)
	}
}
