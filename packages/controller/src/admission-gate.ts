/** Admission gate: holds the jobs of one shard that are pending release by admission checks. */
import type { JobRecord } from '@heathroad/cluster'
import type { JobSpec } from '@heathroad/wire'
import TinyQueue from 'tinyqueue'
import { CheckQuestions, NO_SUCH_CHECK, type PendingJob } from './check-questions.js'
import { ReleaseWriter } from './release-writer.js'
import type { ShardState } from './state.js'

/** When a check's time for a job is over. */
interface CheckTimeout {
	job: PendingJob
	checkName: string
	/** steady time in ms */
	at: number
}

/**
 * Holds jobs that may not start yet. They are no jobs of the shard as far as scheduling goes: nothing is placed, rented,
 * reserved or preempted for them, and no scheduling round looks at them. A check can be asked again, by a successor too;
 * only the release is made durable, before anything of the job starts, and conditional on the ownership. So no answer to
 * an owner counts once it has lost the shard, and a job that has started is never held again.
 */
export class AdmissionGate {
	private readonly jobsByUid = new Map<string, PendingJob>()
	private readonly timeouts = new TinyQueue<CheckTimeout>([], (a, b) => a.at - b.at)
	private readonly questions: CheckQuestions
	private readonly releaseWriter: ReleaseWriter

	constructor(
		private readonly state: ShardState,
		/** called when a job may start: its release is durable, or a task of it has been seen */
		private readonly onReleased: (uid: string) => void,
	) {
		this.releaseWriter = new ReleaseWriter(state)
		this.questions = new CheckQuestions(state, {
			isHeld: (job) => this.isHeld(job),
			onCheckPassed: (job, checkName, reason) => this.onCheckPassed(job, checkName, reason),
			onAnswered: (now) => this.tick(now),
		})
	}

	/** Jobs that are pending release. */
	get size(): number {
		return this.jobsByUid.size
	}

	/** Is the job pending release here? */
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
			const terms = this.state.dependencies.checks().terms(checkName)
			if (terms === null) {
				this.onCheckPassed(job, checkName, NO_SUCH_CHECK)
				continue
			}
			this.timeouts.push({ job, checkName, at: now + terms.atMostMs - waitedMs })
			this.questions.add(job, checkName, terms, now)
		}
		this.tick(now)
	}

	/** Removes a job that is terminal, belongs to another shard or may start: no check is asked about it any more. */
	drop(uid: string): void {
		const job = this.jobsByUid.get(uid)
		if (job === undefined) return
		this.jobsByUid.delete(uid)
		this.releaseWriter.remove(job)
		this.questions.remove(job)
	}

	/** A task of the job is on a machine: if it was held here, it was released by a write that is not known here yet. */
	onTaskSeen(uid: string): void {
		this.release(uid)
	}

	/** Releases became durable, this shard's own among them. */
	onJobsReleased(uids: readonly string[]): void {
		for (const uid of uids) this.release(uid)
	}

	/** Passes checks whose time is over, asks the questions that are due and writes releases. `now`: steady time in ms. */
	tick(now: number): void {
		if (this.state.stopped || this.jobsByUid.size === 0) return
		this.passTimedOutChecks(now)
		this.questions.askDue(now)
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
		this.questions.removeFrom(checkName, job)
		job.pendingChecks.delete(checkName)
		this.state.dependencies.log('info', 'admission check passed', {
			uid: job.uid,
			check: checkName,
			why: reason,
		})
		if (job.pendingChecks.size === 0) this.releaseWriter.add(job)
	}
}
