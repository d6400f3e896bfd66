import type { Entry, Mirror } from '@heathroad/store'
import type { Cancelled } from './cancellations.js'
import { asPage, type Ended, ended, endedRecord } from './pages.js'
import { asIntake, asJob, type JobRecord, jobKey, recordedDone } from './records.js'

/** A job that is over, on a page. */
interface Over {
	record: JobRecord
	/** of the change that made it durable */
	epoch: number
	/** the page's key */
	key: string
}

/**
 * The jobs as the records tell them. Jobs are accepted several to a record, and get a key of their own with their
 * first progress; the own key then counts. Final states stand on pages of their parts, and count more than anything.
 * If two records accept the same job, because a user's retry met another controller, the earlier one counts for
 * everybody: changes are seen in the order of their epochs, and nobody acts on an acceptance before having seen all
 * that came earlier.
 */
export class JobBook {
	private readonly accepted = new Map<string, JobRecord>()
	private readonly over = new Map<string, Over>()
	/**
	 * cancelled by changes that are durable and that our copy of the records has yet to tell: a read that is older than
	 * what a peer told must not open the job again
	 */
	private readonly ahead = new Map<string, number>()
	/** no longer on the page where they were: moved to another one by the same change, or archived */
	private missing: { uid: string; key: string }[] = []
	/** jobs not in a final state */
	readonly open = new Set<string>()

	constructor(private readonly mirror: Mirror) {}

	/** A job's record, and the stamp that its own key must still have for a write. */
	get(uid: string): { record: JobRecord; stamp: number } | undefined {
		const own = this.mirror.get(jobKey(uid))
		const record = this.over.get(uid)?.record ?? asJob(own?.data) ?? this.accepted.get(uid)
		if (record === undefined) return undefined
		const known = record.final === undefined && this.ahead.has(uid) ? this.cancelled(uid, record) : record
		return { record: known, stamp: own?.stamp ?? 0 }
	}

	private cancelled(uid: string, record: JobRecord): JobRecord {
		const done = recordedDone(uid, record, (key) => this.mirror.get(key)?.data)
		return { ...endedRecord(record.part, ended(uid, 'aborted', record.spec, done)), spec: record.spec }
	}

	/** Peers tell of cancellations that our copy of the records may not hold yet: the jobs that this ends here. */
	told(all: readonly Cancelled[]): string[] {
		const news = all.filter(({ uid, epoch }) => epoch > this.mirror.epoch && !this.ahead.has(uid))
		for (const { uid, epoch } of news) {
			this.ahead.set(uid, epoch)
			this.open.delete(uid)
		}
		return news.map(({ uid }) => uid)
	}

	/** A job that is over, and the epoch of the change that made that durable. */
	final(uid: string): { record: JobRecord; epoch: number } | undefined {
		const over = this.over.get(uid)
		if (over !== undefined) return over
		const own = this.mirror.get(jobKey(uid))
		const record = asJob(own?.data)
		return record?.final === undefined ? undefined : { record, epoch: own!.stamp }
	}

	/** Ids of all jobs that the records in memory tell of. */
	*known(): Iterable<string> {
		for (const [key] of this.mirror.under('job/')) {
			const uid = key.slice('job/'.length)
			if (!this.over.has(uid)) yield uid
		}
		yield* this.accepted.keys()
		yield* this.over.keys()
	}

	/** Does a page hold its final state? */
	onPage(uid: string): boolean {
		return this.over.has(uid)
	}

	/** How many final states are held in memory. */
	get ended(): number {
		return this.over.size
	}

	/** A job's own key changed. False: it is over all the same. */
	changed(uid: string, record: JobRecord): boolean {
		this.accepted.delete(uid)
		if (this.over.has(uid)) return false
		if (record.final === undefined && this.ahead.has(uid)) return false
		if (record.final === undefined) this.open.add(uid)
		else this.open.delete(uid)
		return true
	}

	/** A record of accepted jobs appeared: those that nobody accepted before. */
	arrived(data: unknown): JobRecord[] {
		const fresh: JobRecord[] = []
		for (const record of asIntake(data) ?? []) {
			const uid = record.spec!.uid
			if (this.get(uid) !== undefined) continue
			this.accepted.set(uid, record)
			if (this.ahead.has(uid)) continue
			this.open.add(uid)
			fresh.push(record)
		}
		return fresh
	}

	/**
	 * A page of final states changed: those that are new. `since`: the epoch up to which everything is known already, so
	 * that states which only moved here are no news.
	 */
	paged(
		key: string,
		entry: Entry | undefined,
		before: Entry | undefined,
		since: number,
	): { uid: string; record: JobRecord }[] {
		const page = asPage(entry?.data)
		const here = new Set<string>()
		const fresh: { uid: string; record: JobRecord }[] = []
		for (const { epoch, jobs } of page?.batches ?? [])
			for (const job of jobs) {
				here.add(job.uid)
				const at = epoch ?? entry!.stamp
				const known = this.over.get(job.uid)
				if (known !== undefined) known.key = key
				else {
					const record = endedRecord(page!.part, job)
					const was = this.final(job.uid) !== undefined
					this.over.set(job.uid, { record, epoch: at, key })
					this.accepted.delete(job.uid)
					this.open.delete(job.uid)
					if (!was && at > since) fresh.push({ uid: job.uid, record })
				}
			}
		for (const { jobs } of asPage(before?.data)?.batches ?? [])
			for (const { uid } of jobs) if (!here.has(uid)) this.missing.push({ uid, key })
		return fresh
	}

	/** Everything up to an epoch is applied: the final states that are in memory no longer. */
	settle(): string[] {
		for (const [uid, epoch] of this.ahead) if (epoch <= this.mirror.epoch) this.ahead.delete(uid)
		if (this.missing.length === 0) return []
		const left = this.missing.filter(({ uid, key }) => this.over.get(uid)?.key === key).map((m) => m.uid)
		this.missing = []
		for (const uid of left) this.over.delete(uid)
		return left
	}

	/** Final states of one page. */
	*on(key: string): Iterable<Ended & { epoch: number }> {
		const entry = this.mirror.get(key)
		for (const { epoch, jobs } of asPage(entry?.data)?.batches ?? [])
			for (const job of jobs) yield { ...job, epoch: epoch ?? entry!.stamp }
	}

	/** Ids of jobs that records other than pages name, and would bring back if their final states were gone. */
	named(): Set<string> {
		const out = new Set<string>()
		for (const [, e] of this.mirror.under('intake/'))
			for (const r of asIntake(e.data) ?? []) out.add(r.spec!.uid)
		for (const [key] of this.mirror.under('job/')) out.add(key.slice('job/'.length))
		for (const [key] of this.mirror.under('done/')) out.add(key.split('/')[1])
		return out
	}

	/**
	 * Records that say nothing any more: of accepted jobs that have all ended or have keys of their own, and the
	 * progress of ended jobs.
	 */
	*spent(): Iterable<[string, Entry]> {
		for (const [key, e] of this.mirror.under('done/')) if (!this.open.has(key.split('/')[1])) yield [key, e]
		for (const [key, e] of this.mirror.under('job/'))
			if (this.over.has(key.slice('job/'.length))) yield [key, e]
		for (const [key, e] of this.mirror.under('intake/')) if (this.isSpent(e.data)) yield [key, e]
	}

	/** Does a record of accepted jobs say nothing any more? */
	isSpent(data: unknown): boolean {
		return (asIntake(data) ?? []).every((r) => !this.accepted.has(r.spec!.uid))
	}

	/**
	 * Jobs that are not over and share their record of acceptance with jobs that are: until they have keys of their
	 * own it cannot be removed. One that runs for weeks would keep a dozen others in memory.
	 */
	*pinning(until: number): Iterable<[string, JobRecord]> {
		for (const [, e] of this.mirror.under('intake/')) {
			const records = asIntake(e.data) ?? []
			if (!records.some((r) => (this.over.get(r.spec!.uid)?.epoch ?? until) < until)) continue
			for (const r of records) {
				const uid = r.spec!.uid
				const first = this.accepted.get(uid)
				if (first !== undefined && this.open.has(uid)) yield [uid, first]
			}
		}
	}
}
