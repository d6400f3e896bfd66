import type { CacheEntry, WatchCache } from '@heathroad/store'
import type { CancelledJob } from './cancellation-log.js'
import { decodeTerminalPage, type TerminalJob, terminalJobRecord, toTerminalJob } from './pages.js'
import { countRecordedDone, decodeAcceptedBatch, decodeJobRecord, type JobRecord, jobKey } from './records.js'

/** A job that is over, on a page. */
interface Over {
	record: JobRecord
	/** of the change that made it durable */
	revision: number
	/** the page's key */
	key: string
}

/**
 * The jobs as the records tell them. Jobs are accepted several to a record, and get a key of their own with their
 * first progress; the own key then counts. Final states stand on pages of their parts, and count more than anything.
 * If two records accept the same job, because a user's retry met another controller, the earlier one counts for
 * everybody: changes are seen in the order of their revisions, and nobody acts on an acceptance before having seen all
 * that came earlier.
 */
export class JobRegistry {
	private readonly accepted = new Map<string, JobRecord>()
	private readonly terminalJobs = new Map<string, Over>()
	/**
	 * cancelled by changes that are durable and that our copy of the records has yet to tell: a read that is older than
	 * what a peer told must not open the job again
	 */
	private readonly cancelledByPeers = new Map<string, number>()
	/** no longer on the page where they were: moved to another one by the same change, or archived */
	private leftPages: { uid: string; key: string }[] = []
	/** jobs not in a final state */
	readonly openJobs = new Set<string>()

	constructor(private readonly cache: WatchCache) {}

	/** A job's record, and the modRevision that its own key must still have for a write. */
	get(uid: string): { record: JobRecord; modRevision: number } | undefined {
		const own = this.cache.get(jobKey(uid))
		const record = this.terminalJobs.get(uid)?.record ?? decodeJobRecord(own?.data) ?? this.accepted.get(uid)
		if (record === undefined) return undefined
		const known =
			record.finalState === undefined && this.cancelledByPeers.has(uid) ? this.cancelled(uid, record) : record
		return { record: known, modRevision: own?.modRevision ?? 0 }
	}

	private cancelled(uid: string, record: JobRecord): JobRecord {
		const done = countRecordedDone(uid, record, (key) => this.cache.get(key)?.data)
		return {
			...terminalJobRecord(record.shardId, toTerminalJob(uid, 'aborted', record.spec, done)),
			spec: record.spec,
		}
	}

	/** Peers tell of cancellations that our copy of the records may not hold yet: the jobs that this ends here. */
	applyPeerCancellations(all: readonly CancelledJob[]): string[] {
		const news = all.filter(
			({ uid, revision }) => revision > this.cache.revision && !this.cancelledByPeers.has(uid),
		)
		for (const { uid, revision } of news) {
			this.cancelledByPeers.set(uid, revision)
			this.openJobs.delete(uid)
		}
		return news.map(({ uid }) => uid)
	}

	/** A job that is over, and the revision of the change that made that durable. */
	terminalRecord(uid: string): { record: JobRecord; revision: number } | undefined {
		const over = this.terminalJobs.get(uid)
		if (over !== undefined) return over
		const own = this.cache.get(jobKey(uid))
		const record = decodeJobRecord(own?.data)
		return record?.finalState === undefined ? undefined : { record, revision: own!.modRevision }
	}

	/** Ids of all jobs that the records in memory tell of. */
	*knownIds(): Iterable<string> {
		for (const [key] of this.cache.withPrefix('job/')) {
			const uid = key.slice('job/'.length)
			if (!this.terminalJobs.has(uid)) yield uid
		}
		yield* this.accepted.keys()
		yield* this.terminalJobs.keys()
	}

	/** Does a page hold its final state? */
	isOnTerminalPage(uid: string): boolean {
		return this.terminalJobs.has(uid)
	}

	/** How many final states are held in memory. */
	get terminalCount(): number {
		return this.terminalJobs.size
	}

	/** A job's own key changed. False: it is over all the same. */
	onJobRecordChanged(uid: string, record: JobRecord): boolean {
		this.accepted.delete(uid)
		if (this.terminalJobs.has(uid)) return false
		if (record.finalState === undefined && this.cancelledByPeers.has(uid)) return false
		if (record.finalState === undefined) this.openJobs.add(uid)
		else this.openJobs.delete(uid)
		return true
	}

	/** A record of accepted jobs appeared: those that nobody accepted before. */
	onBatchAccepted(data: unknown): JobRecord[] {
		const fresh: JobRecord[] = []
		for (const record of decodeAcceptedBatch(data) ?? []) {
			const uid = record.spec!.uid
			if (this.get(uid) !== undefined) continue
			this.accepted.set(uid, record)
			if (this.cancelledByPeers.has(uid)) continue
			this.openJobs.add(uid)
			fresh.push(record)
		}
		return fresh
	}

	/**
	 * A page of final states changed: those that are new. `since`: the revision up to which everything is known already, so
	 * that states which only moved here are no news.
	 */
	onTerminalPageChanged(
		key: string,
		entry: CacheEntry | undefined,
		before: CacheEntry | undefined,
		since: number,
	): { uid: string; record: JobRecord }[] {
		const page = decodeTerminalPage(entry?.data)
		const here = new Set<string>()
		const fresh: { uid: string; record: JobRecord }[] = []
		for (const { revision, jobs } of page?.batches ?? [])
			for (const job of jobs) {
				here.add(job.uid)
				const at = revision ?? entry!.modRevision
				const known = this.terminalJobs.get(job.uid)
				if (known !== undefined) known.key = key
				else {
					const record = terminalJobRecord(page!.shardId, job)
					const was = this.terminalRecord(job.uid) !== undefined
					this.terminalJobs.set(job.uid, { record, revision: at, key })
					this.accepted.delete(job.uid)
					this.openJobs.delete(job.uid)
					if (!was && at > since) fresh.push({ uid: job.uid, record })
				}
			}
		for (const { jobs } of decodeTerminalPage(before?.data)?.batches ?? [])
			for (const { uid } of jobs) if (!here.has(uid)) this.leftPages.push({ uid, key })
		return fresh
	}

	/** Everything up to an revision is applied: the final states that are in memory no longer. */
	dropJobsThatLeftPages(): string[] {
		for (const [uid, revision] of this.cancelledByPeers)
			if (revision <= this.cache.revision) this.cancelledByPeers.delete(uid)
		if (this.leftPages.length === 0) return []
		const left = this.leftPages
			.filter(({ uid, key }) => this.terminalJobs.get(uid)?.key === key)
			.map((m) => m.uid)
		this.leftPages = []
		for (const uid of left) this.terminalJobs.delete(uid)
		return left
	}

	/** Final states of one page. */
	*terminalJobsOnPage(key: string): Iterable<TerminalJob & { revision: number }> {
		const entry = this.cache.get(key)
		for (const { revision, jobs } of decodeTerminalPage(entry?.data)?.batches ?? [])
			for (const job of jobs) yield { ...job, revision: revision ?? entry!.modRevision }
	}

	/** Ids of jobs that records other than pages name, and would bring back if their final states were gone. */
	referencedIds(): Set<string> {
		const out = new Set<string>()
		for (const [, e] of this.cache.withPrefix('intake/'))
			for (const r of decodeAcceptedBatch(e.data) ?? []) out.add(r.spec!.uid)
		for (const [key] of this.cache.withPrefix('job/')) out.add(key.slice('job/'.length))
		for (const [key] of this.cache.withPrefix('done/')) out.add(key.split('/')[1])
		return out
	}

	/**
	 * Records that say nothing any more: of accepted jobs that have all ended or have keys of their own, and the
	 * progress of ended jobs.
	 */
	*obsoleteEntries(): Iterable<[string, CacheEntry]> {
		for (const [key, e] of this.cache.withPrefix('done/'))
			if (!this.openJobs.has(key.split('/')[1])) yield [key, e]
		for (const [key, e] of this.cache.withPrefix('job/'))
			if (this.terminalJobs.has(key.slice('job/'.length))) yield [key, e]
		for (const [key, e] of this.cache.withPrefix('intake/')) if (this.isObsoleteBatch(e.data)) yield [key, e]
	}

	/** Does a record of accepted jobs say nothing any more? */
	isObsoleteBatch(data: unknown): boolean {
		return (decodeAcceptedBatch(data) ?? []).every((r) => !this.accepted.has(r.spec!.uid))
	}

	/**
	 * Jobs that are not over and share their record of acceptance with jobs that are: until they have keys of their
	 * own it cannot be removed. One that runs for weeks would keep a dozen others in memory.
	 */
	*jobsPinningBatches(until: number): Iterable<[string, JobRecord]> {
		for (const [, e] of this.cache.withPrefix('intake/')) {
			const records = decodeAcceptedBatch(e.data) ?? []
			if (!records.some((r) => (this.terminalJobs.get(r.spec!.uid)?.revision ?? until) < until)) continue
			for (const r of records) {
				const uid = r.spec!.uid
				const first = this.accepted.get(uid)
				if (first !== undefined && this.openJobs.has(uid)) yield [uid, first]
			}
		}
	}
}
