/** Registry of the jobs of all shards, built from the records in the watch cache. */
import type { CacheEntry, WatchCache } from '@heathroad/store'
import type { CancelledJob } from './cancellation-log.js'
import {
	ACCEPTED_BATCH_PREFIX,
	HISTORY_KEY,
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
import type { KnownJob } from './transactions.js'

/** A job whose terminal state is on a terminal page. */
interface JobOnPage {
	record: JobRecord
	/** Revision at which the state became durable. */
	revision: number
	/** Key of the page. */
	key: string
}

/** Jobs on a page in their stored order; `revision`: at which the job's state became durable. */
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
 * Jobs are accepted in batches and get a key of their own with their first progress, which then takes precedence. Terminal
 * states are on pages of their shards and take precedence over all other records. If two batches accept the same job,
 * because a user's retry reached another controller, every controller uses the earlier one: changes are applied in the
 * order of their revisions, and no controller acts on an acceptance before it has applied all earlier changes.
 */
export class JobRegistry {
	private readonly accepted = new Map<string, AcceptedJobRecord>()
	private readonly terminalJobs = new Map<string, JobOnPage>()
	/**
	 * Job -> key of the page that holds a second, later terminal state of it. Versions before incident 37 could write one; it
	 * has no effect.
	 */
	private readonly ineffectiveStates = new Map<string, string>()
	/**
	 * Job -> revision of its cancellation, as reported by peers and not yet shown by the watch cache. An older read must
	 * not reopen the job.
	 */
	private readonly peerCancellations = new Map<string, number>()
	/** Jobs that were removed from a page: moved to another one by the same change, or archived. */
	private removedFromPages: { uid: string; key: string }[] = []
	/** Ids of jobs that are not terminal. */
	readonly openJobs = new Set<string>()

	constructor(private readonly cache: WatchCache) {}

	/** A job's record, and the mod revision of its own key on which a write must be conditional. */
	get(uid: string): KnownJob | undefined {
		const ownEntry = this.cache.get(jobKey(uid))
		const record =
			this.terminalJobs.get(uid)?.record ?? decodeJobRecord(ownEntry?.data) ?? this.accepted.get(uid)
		if (record === undefined) return undefined
		const isCancelled = record.finalState === undefined && this.peerCancellations.has(uid)
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
	 * Applies cancellations that peers reported and that the watch cache may not show yet; returns the ids of the jobs that
	 * were not known to be cancelled.
	 */
	applyPeerCancellations(cancellations: readonly CancelledJob[]): string[] {
		const unknown = cancellations.filter(
			({ uid, revision }) => revision > this.cache.revision && !this.peerCancellations.has(uid),
		)
		for (const { uid, revision } of unknown) {
			this.peerCancellations.set(uid, revision)
			this.openJobs.delete(uid)
		}
		return unknown.map(({ uid }) => uid)
	}

	/** The record of a terminal job, and the revision at which its state became durable. */
	terminalRecord(uid: string): { record: JobRecord; revision: number } | undefined {
		const onPage = this.terminalJobs.get(uid)
		if (onPage !== undefined) return onPage
		const ownEntry = this.cache.get(jobKey(uid))
		if (ownEntry === undefined) return undefined
		const record = decodeJobRecord(ownEntry.data)
		if (record?.finalState === undefined) return undefined
		return { record, revision: ownEntry.modRevision }
	}

	/** Ids of all jobs that are in the records in memory. */
	*knownIds(): Iterable<string> {
		for (const [key] of this.cache.withPrefix(JOB_PREFIX)) {
			const uid = uidOfJobKey(key)
			if (!this.terminalJobs.has(uid)) yield uid
		}
		yield* this.accepted.keys()
		yield* this.terminalJobs.keys()
	}

	/** Whether the job's terminal state is on a page. */
	isOnTerminalPage(uid: string): boolean {
		return this.terminalJobs.has(uid)
	}

	/** Number of terminal states on pages in memory. */
	get terminalCount(): number {
		return this.terminalJobs.size
	}

	/** Handles a change of a job's own key; returns false if other records make the job terminal and it has no effect. */
	onJobRecordChanged(uid: string, record: JobRecord): boolean {
		this.accepted.delete(uid)
		if (this.terminalJobs.has(uid)) return false
		if (record.finalState === undefined && this.peerCancellations.has(uid)) return false
		if (record.finalState === undefined) this.openJobs.add(uid)
		else this.openJobs.delete(uid)
		return true
	}

	/** Handles a new accepted batch; returns the jobs in it that were not known before. */
	onBatchAccepted(data: unknown): JobRecord[] {
		const added: JobRecord[] = []
		for (const record of decodeAcceptedBatch(data) ?? []) {
			const { uid } = record.spec
			if (this.get(uid) !== undefined) continue
			this.accepted.set(uid, record)
			if (this.peerCancellations.has(uid)) continue
			this.openJobs.add(uid)
			added.push(record)
		}
		return added
	}

	/**
	 * Handles a change of a terminal page; returns the jobs that were not known to be terminal, with the revisions at which
	 * their states became durable. These may be much older than the change, since pages also receive states from jobs' own
	 * keys, which a full read may have omitted.
	 */
	onTerminalPageChanged(
		key: string,
		entry: CacheEntry | undefined,
		previous: CacheEntry | undefined,
	): { uid: string; record: JobRecord; revision: number }[] {
		const uidsOnPage = new Set<string>()
		const newlyTerminal: { uid: string; record: JobRecord; revision: number }[] = []
		for (const { job, shardId, revision } of jobsOnPage(entry)) {
			uidsOnPage.add(job.uid)
			const record = this.putOnPage(job, { shardId, revision, key })
			if (record !== null) newlyTerminal.push({ uid: job.uid, record, revision })
		}
		for (const { jobs } of decodeTerminalPage(previous?.data)?.batches ?? [])
			for (const { uid } of jobs) if (!uidsOnPage.has(uid)) this.onRemovedFromPage(uid, key)
		return newlyTerminal
	}

	private onRemovedFromPage(uid: string, key: string): void {
		this.removedFromPages.push({ uid, key })
		if (this.ineffectiveStates.get(uid) === key) this.ineffectiveStates.delete(uid)
	}

	/**
	 * Returns the job's record if it was not terminal before; else null. Of two terminal states the earlier one counts, in
	 * whatever order the pages are read.
	 */
	private putOnPage(
		job: TerminalJob,
		{ shardId, revision, key }: { shardId: number; revision: number; key: string },
	): JobRecord | null {
		const onPage = this.terminalJobs.get(job.uid)
		if (onPage?.revision === revision) {
			onPage.key = key
			return null
		}
		if (onPage !== undefined)
			this.ineffectiveStates.set(job.uid, onPage.revision < revision ? key : onPage.key)
		if (onPage !== undefined && onPage.revision < revision) return null
		const wasTerminal = this.terminalRecord(job.uid) !== undefined
		const record = terminalJobRecord(shardId, job)
		this.terminalJobs.set(job.uid, { record, revision, key })
		this.accepted.delete(job.uid)
		this.openJobs.delete(job.uid)
		return wasTerminal ? null : record
	}

	/** Must be called once everything up to a revision is applied; returns the jobs whose states were dropped from memory. */
	dropJobsRemovedFromPages(): string[] {
		for (const [uid, revision] of this.peerCancellations)
			if (revision <= this.cache.revision) this.peerCancellations.delete(uid)
		if (this.removedFromPages.length === 0) return []
		const dropped = this.removedFromPages
			.filter(({ uid, key }) => this.terminalJobs.get(uid)?.key === key)
			.map(({ uid }) => uid)
		this.removedFromPages = []
		for (const uid of dropped) this.terminalJobs.delete(uid)
		return dropped
	}

	/**
	 * Must be called when a full read is applied; drops the open jobs that are no longer in any record and returns their ids.
	 * An acceptance is removed only once the job is terminal or has a key of its own, and that key only once the job is
	 * terminal: such a job is terminal, and its state was archived while this controller missed changes.
	 */
	dropUnrecordedJobs(): string[] {
		const uidsInBatches = this.uidsInBatches()
		const unrecorded = [...this.openJobs].filter((uid) =>
			this.accepted.has(uid) ? !uidsInBatches.has(uid) : this.get(uid) === undefined,
		)
		for (const uid of unrecorded) {
			this.accepted.delete(uid)
			this.openJobs.delete(uid)
		}
		return unrecorded
	}

	private uidsInBatches(): Set<string> {
		const uids = new Set<string>()
		for (const [, entry] of this.cache.withPrefix(ACCEPTED_BATCH_PREFIX))
			for (const { spec } of decodeAcceptedBatch(entry.data) ?? []) uids.add(spec.uid)
		return uids
	}

	/** Terminal states of one page that have an effect, each with the revision at which it became durable. */
	*terminalJobsOnPage(key: string): Iterable<TerminalJob & { revision: number }> {
		for (const { job, revision } of jobsOnPage(this.cache.get(key))) {
			const effective = this.terminalJobs.get(job.uid)
			if (effective === undefined || effective.revision === revision) yield { ...job, revision }
		}
	}

	/**
	 * Ids of jobs in other records, which would reopen the jobs, or give them another terminal state, if their terminal states
	 * were deleted.
	 */
	referencedIds(): Set<string> {
		const uids = this.uidsInBatches()
		for (const uid of this.ineffectiveStates.keys()) uids.add(uid)
		for (const [key] of this.cache.withPrefix(JOB_PREFIX)) uids.add(uidOfJobKey(key))
		for (const [key] of this.cache.withPrefix(PROGRESS_PREFIX)) uids.add(uidOfProgressKey(key))
		return uids
	}

	/**
	 * Records without effect: progress of terminal jobs, own records of jobs that are on pages, and batches whose jobs are
	 * all terminal or have keys of their own. The own record of a job that has moved stays until an archival epoch has begun
	 * after the terminal state: until then a late write could take its absence for that of a job that has not moved
	 * (`transitionConditions`).
	 */
	*obsoleteEntries(): Iterable<[string, CacheEntry]> {
		for (const [key, entry] of this.cache.withPrefix(PROGRESS_PREFIX))
			if (!this.openJobs.has(uidOfProgressKey(key))) yield [key, entry]
		for (const [key, entry] of this.cache.withPrefix(JOB_PREFIX))
			if (this.isObsoleteOwnRecord(uidOfJobKey(key), entry)) yield [key, entry]
		for (const [key, entry] of this.cache.withPrefix(ACCEPTED_BATCH_PREFIX))
			if (this.isObsoleteBatch(entry.data)) yield [key, entry]
	}

	private isObsoleteOwnRecord(uid: string, entry: CacheEntry): boolean {
		const onPage = this.terminalJobs.get(uid)
		if (onPage === undefined) return false
		const hasMoved = decodeJobRecord(entry.data)?.moved === true
		return !hasMoved || onPage.revision < this.cache.modRevision(HISTORY_KEY)
	}

	/** Whether all jobs of a batch are terminal or have keys of their own. */
	isObsoleteBatch(data: unknown): boolean {
		return (decodeAcceptedBatch(data) ?? []).every(({ spec }) => !this.accepted.has(spec.uid))
	}

	/**
	 * Open jobs in batches with other jobs that became terminal before a revision. Such a batch cannot be removed until the
	 * open jobs have keys of their own: one that runs for weeks would keep a dozen others in memory.
	 */
	*jobsPinningBatches(untilRevision: number): Iterable<[string, JobRecord]> {
		const isTerminal = ({ spec }: AcceptedJobRecord) => {
			const onPage = this.terminalJobs.get(spec.uid)
			return onPage !== undefined && onPage.revision < untilRevision
		}
		for (const [, entry] of this.cache.withPrefix(ACCEPTED_BATCH_PREFIX)) {
			const records = decodeAcceptedBatch(entry.data) ?? []
			if (!records.some(isTerminal)) continue
			for (const { spec } of records) {
				const accepted = this.accepted.get(spec.uid)
				if (accepted !== undefined && this.openJobs.has(spec.uid)) yield [spec.uid, accepted]
			}
		}
	}
}
