/** The jobs of all shards, as the records in the watch cache tell them. */
import type { CacheEntry, WatchCache } from '@heathroad/store'
import type { CancelledJob } from './cancellation-log.js'
import {
	ACCEPTED_BATCH_PREFIX,
	JOB_PREFIX,
	jobKey,
	PROGRESS_PREFIX,
	uidOfJobKey,
	uidOfProgressKey,
} from './record-keys.js'
import {
	type AcceptedJobRecord,
	countRecordedDone,
	decodeAcceptedBatch,
	decodeJobRecord,
	type JobRecord,
} from './records.js'
import { decodeTerminalPage, type TerminalJob, terminalJobRecord, toTerminalJob } from './terminal-pages.js'

/** A job whose terminal state is on a page. */
interface JobOnPage {
	record: JobRecord
	/** Revision of the change that made the state durable. */
	revision: number
	/** Key of the page. */
	key: string
}

/** Jobs on a page in their order; `revision`: of the change that made the job's state durable. */
function* jobsOnPage(
	entry: CacheEntry | undefined,
): Iterable<{ job: TerminalJob; shardId: number; revision: number }> {
	if (entry === undefined) return
	const page = decodeTerminalPage(entry.data)
	if (page === null) return
	for (const { revision, jobs } of page.batches)
		for (const job of jobs) yield { job, shardId: page.shardId, revision: revision ?? entry.modRevision }
}

/**
 * Jobs are accepted in batches, and get a key of their own with their first progress, which then takes precedence.
 * Terminal states are on pages of their shards, and take precedence over everything. If two batches accept the same job,
 * because a user's retry reached another controller, every controller follows the earlier one: changes are seen in the
 * order of their revisions, and nobody acts on an acceptance before having seen all that came earlier.
 */
export class JobRegistry {
	private readonly accepted = new Map<string, AcceptedJobRecord>()
	private readonly terminalJobs = new Map<string, JobOnPage>()
	/**
	 * Job -> revision of its cancellation, of which peers informed this controller and which the watch cache has yet to
	 * show: a read that is older must not open the job again.
	 */
	private readonly cancelledByPeers = new Map<string, number>()
	/** Jobs that are no longer on a page: moved to another one by the same change, or archived. */
	private leftPages: { uid: string; key: string }[] = []
	/** Ids of jobs that are not over. */
	readonly openJobs = new Set<string>()

	constructor(private readonly cache: WatchCache) {}

	/** A job's record, and the mod revision that its own key must still have for a write. */
	get(uid: string): { record: JobRecord; modRevision: number } | undefined {
		const ownEntry = this.cache.get(jobKey(uid))
		const record =
			this.terminalJobs.get(uid)?.record ?? decodeJobRecord(ownEntry?.data) ?? this.accepted.get(uid)
		if (record === undefined) return undefined
		const isCancelled = record.finalState === undefined && this.cancelledByPeers.has(uid)
		return {
			record: isCancelled ? this.cancelledRecord(uid, record) : record,
			modRevision: ownEntry?.modRevision ?? 0,
		}
	}

	private cancelledRecord(uid: string, record: JobRecord): JobRecord {
		const doneCount = countRecordedDone(uid, record, (key) => this.cache.get(key)?.data)
		const terminalJob = toTerminalJob(uid, 'aborted', record.spec, doneCount)
		return { ...terminalJobRecord(record.shardId, terminalJob), spec: record.spec }
	}

	/**
	 * Peers informed this controller of cancellations that the watch cache may not show yet; returns the jobs that are
	 * cancelled here by that.
	 */
	applyPeerCancellations(cancellations: readonly CancelledJob[]): string[] {
		const unknown = cancellations.filter(
			({ uid, revision }) => revision > this.cache.revision && !this.cancelledByPeers.has(uid),
		)
		for (const { uid, revision } of unknown) {
			this.cancelledByPeers.set(uid, revision)
			this.openJobs.delete(uid)
		}
		return unknown.map(({ uid }) => uid)
	}

	/** The record of a job that is over, and the revision of the change that made its state durable. */
	terminalRecord(uid: string): { record: JobRecord; revision: number } | undefined {
		const onPage = this.terminalJobs.get(uid)
		if (onPage !== undefined) return onPage
		const ownEntry = this.cache.get(jobKey(uid))
		if (ownEntry === undefined) return undefined
		const record = decodeJobRecord(ownEntry.data)
		if (record?.finalState === undefined) return undefined
		return { record, revision: ownEntry.modRevision }
	}

	/** Ids of all jobs that the records in memory hold. */
	*knownIds(): Iterable<string> {
		for (const [key] of this.cache.withPrefix(JOB_PREFIX)) {
			const uid = uidOfJobKey(key)
			if (!this.terminalJobs.has(uid)) yield uid
		}
		yield* this.accepted.keys()
		yield* this.terminalJobs.keys()
	}

	/** Does a page hold its terminal state? */
	isOnTerminalPage(uid: string): boolean {
		return this.terminalJobs.has(uid)
	}

	/** How many terminal states are held in memory. */
	get terminalCount(): number {
		return this.terminalJobs.size
	}

	/** A job's own key changed. Returns false if the job is over by other records and the change has no effect. */
	onJobRecordChanged(uid: string, record: JobRecord): boolean {
		this.accepted.delete(uid)
		if (this.terminalJobs.has(uid)) return false
		if (record.finalState === undefined && this.cancelledByPeers.has(uid)) return false
		if (record.finalState === undefined) this.openJobs.add(uid)
		else this.openJobs.delete(uid)
		return true
	}

	/** A batch of accepted jobs appeared; returns those that were not known before. */
	onBatchAccepted(data: unknown): JobRecord[] {
		const added: JobRecord[] = []
		for (const record of decodeAcceptedBatch(data) ?? []) {
			const { uid } = record.spec
			if (this.get(uid) !== undefined) continue
			this.accepted.set(uid, record)
			if (this.cancelledByPeers.has(uid)) continue
			this.openJobs.add(uid)
			added.push(record)
		}
		return added
	}

	/**
	 * A page of terminal states changed; returns the jobs that memory did not know for over before, with the revisions at
	 * which their states became durable. These may be much older than the change: states move to pages from own keys that a
	 * full read left out.
	 */
	onTerminalPageChanged(
		key: string,
		entry: CacheEntry | undefined,
		before: CacheEntry | undefined,
	): { uid: string; record: JobRecord; revision: number }[] {
		const uidsOnPage = new Set<string>()
		const newlyOver: { uid: string; record: JobRecord; revision: number }[] = []
		for (const { job, shardId, revision } of jobsOnPage(entry)) {
			uidsOnPage.add(job.uid)
			const record = this.putOnPage(job, { shardId, revision, key })
			if (record !== null) newlyOver.push({ uid: job.uid, record, revision })
		}
		for (const { jobs } of decodeTerminalPage(before?.data)?.batches ?? [])
			for (const { uid } of jobs) if (!uidsOnPage.has(uid)) this.leftPages.push({ uid, key })
		return newlyOver
	}

	/** Returns the job's record if it was not over before; else null. */
	private putOnPage(
		job: TerminalJob,
		{ shardId, revision, key }: { shardId: number; revision: number; key: string },
	): JobRecord | null {
		const onPage = this.terminalJobs.get(job.uid)
		if (onPage !== undefined) {
			onPage.key = key
			return null
		}
		const wasOver = this.terminalRecord(job.uid) !== undefined
		const record = terminalJobRecord(shardId, job)
		this.terminalJobs.set(job.uid, { record, revision, key })
		this.accepted.delete(job.uid)
		this.openJobs.delete(job.uid)
		return wasOver ? null : record
	}

	/** Must be called when everything up to a revision is applied; returns the jobs whose states left memory. */
	dropJobsThatLeftPages(): string[] {
		for (const [uid, revision] of this.cancelledByPeers)
			if (revision <= this.cache.revision) this.cancelledByPeers.delete(uid)
		if (this.leftPages.length === 0) return []
		const dropped = this.leftPages
			.filter(({ uid, key }) => this.terminalJobs.get(uid)?.key === key)
			.map(({ uid }) => uid)
		this.leftPages = []
		for (const uid of dropped) this.terminalJobs.delete(uid)
		return dropped
	}

	/**
	 * Must be called when a full read is applied; returns the ids of open jobs that no record names any more. An acceptance is
	 * removed only once the job is over or has a key of its own, and that key only once the job is over: such a job is over,
	 * and its terminal state left the records while changes were missed here.
	 */
	dropUnnamedJobs(): string[] {
		const uidsInBatches = this.uidsInBatches()
		const unnamed = [...this.openJobs].filter((uid) =>
			this.accepted.has(uid) ? !uidsInBatches.has(uid) : this.get(uid) === undefined,
		)
		for (const uid of unnamed) {
			this.accepted.delete(uid)
			this.openJobs.delete(uid)
		}
		return unnamed
	}

	private uidsInBatches(): Set<string> {
		const uids = new Set<string>()
		for (const [, entry] of this.cache.withPrefix(ACCEPTED_BATCH_PREFIX))
			for (const { spec } of decodeAcceptedBatch(entry.data) ?? []) uids.add(spec.uid)
		return uids
	}

	/** Terminal states of one page, each with the revision of the change that made it durable. */
	*terminalJobsOnPage(key: string): Iterable<TerminalJob & { revision: number }> {
		for (const { job, revision } of jobsOnPage(this.cache.get(key))) yield { ...job, revision }
	}

	/** Ids of jobs that records other than pages name, and would bring back if their terminal states were gone. */
	referencedIds(): Set<string> {
		const uids = this.uidsInBatches()
		for (const [key] of this.cache.withPrefix(JOB_PREFIX)) uids.add(uidOfJobKey(key))
		for (const [key] of this.cache.withPrefix(PROGRESS_PREFIX)) uids.add(uidOfProgressKey(key))
		return uids
	}

	/**
	 * Records without effect: progress of jobs that are over, own records of jobs that are on pages, and batches whose jobs
	 * are all over or have keys of their own.
	 */
	*obsoleteEntries(): Iterable<[string, CacheEntry]> {
		for (const [key, entry] of this.cache.withPrefix(PROGRESS_PREFIX))
			if (!this.openJobs.has(uidOfProgressKey(key))) yield [key, entry]
		for (const [key, entry] of this.cache.withPrefix(JOB_PREFIX))
			if (this.terminalJobs.has(uidOfJobKey(key))) yield [key, entry]
		for (const [key, entry] of this.cache.withPrefix(ACCEPTED_BATCH_PREFIX))
			if (this.isObsoleteBatch(entry.data)) yield [key, entry]
	}

	/** Are all jobs of a batch over, or have keys of their own? */
	isObsoleteBatch(data: unknown): boolean {
		return (decodeAcceptedBatch(data) ?? []).every(({ spec }) => !this.accepted.has(spec.uid))
	}

	/**
	 * Jobs that are not over and are in a batch with jobs that are over since before a revision: the batch cannot be removed
	 * until they have keys of their own. One that runs for weeks would keep a dozen others in memory.
	 */
	*jobsPinningBatches(untilRevision: number): Iterable<[string, JobRecord]> {
		const isOver = ({ spec }: AcceptedJobRecord) => {
			const onPage = this.terminalJobs.get(spec.uid)
			return onPage !== undefined && onPage.revision < untilRevision
		}
		for (const [, entry] of this.cache.withPrefix(ACCEPTED_BATCH_PREFIX)) {
			const records = decodeAcceptedBatch(entry.data) ?? []
			if (!records.some(isOver)) continue
			for (const { spec } of records) {
				const accepted = this.accepted.get(spec.uid)
				if (accepted !== undefined && this.openJobs.has(spec.uid)) yield [spec.uid, accepted]
			}
		}
	}
}
