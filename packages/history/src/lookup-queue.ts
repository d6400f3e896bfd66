/** Look-ups that wait for a read of the store, and the reads that serve them, one at a time and within the rate. */

import { isRateLimited, type RequestPacer, type StoreClient, type StoreFailure } from '@heathroad/store'
import { Effect } from 'effect'
import { archivePageKey, levelPrefix } from './archive-keys.js'
import { type ArchivePage, decodeArchivePage, emptyLevel } from './archive-page.js'
import type { ArchivedJob } from './archived-job.js'
import { SerialReads } from './serial-reads.js'

/** What the archive holds of a job. */
export type ArchiveLookup =
	| ArchivedJob
	/** proven: the job was not in the archive when the look-up began */
	| 'absent'
	/** cannot be determined now */
	| 'unsure'

/** The first level of the archive. */
export const FIRST_LEVEL = 1

/** A look-up on its way down the levels. */
export interface PendingLookup {
	uid: string
	ordinal: string
	/** where it continues */
	level: number
	/** a page proves absence only if it was read at this revision or later */
	minRevision: number
	/** called once, with the result */
	resolve: (result: ArchiveLookup) => void
}

/** What the queue needs of the reader that owns it. */
export interface LookupQueuePorts {
	client: Pick<StoreClient, 'list'>
	pacer: RequestPacer
	/** pages that one request reads at most */
	maxPagesPerRead: number
	/** continues a look-up through the cached pages; null: it needs a read at its level */
	advance(lookup: PendingLookup): ArchiveLookup | null
	/** takes the pages of one read, the first of which covers the look-up that asked for it */
	onPagesRead(level: number, pages: ArchivePage[], revision: number): void
	/** reports a failed read or an invalid page */
	onFailure(cause: unknown): void
}

/** A queue of look-ups. One read serves all pending look-ups of the level of the first one. */
export class LookupQueue {
	private pending: PendingLookup[] = []
	private readonly serialReads: SerialReads

	constructor(private readonly ports: LookupQueuePorts) {
		this.serialReads = new SerialReads(
			ports.pacer,
			() => this.pending.length > 0,
			() => (this.pending.length === 0 ? null : this.readPages(this.pending[0])),
			// A failed read or an invalid record resolves no look-up.
			(cause) => ports.onFailure(cause),
		)
	}

	/** Look-ups that wait. */
	get size(): number {
		return this.pending.length
	}

	/** Reads so far, for measurements. */
	get reads(): number {
		return this.serialReads.count
	}

	/** Adds a look-up and reads for it in its turn. */
	add(lookup: PendingLookup): void {
		this.pending.push(lookup)
		this.serialReads.start()
	}

	/** Removes a look-up without resolving it. */
	remove(lookup: PendingLookup): void {
		this.pending = this.pending.filter((other) => other !== lookup)
	}

	/** Reads the page that the first look-up needs, and following ones if more look-ups wait at its level. */
	private readPages(first: PendingLookup): Effect.Effect<void> {
		const { level } = first
		const sameLevel = this.pending.filter((lookup) => lookup.level === level)
		const pageCount = Math.max(1, Math.min(this.ports.maxPagesPerRead, sameLevel.length))
		return this.ports.client.list(levelPrefix(level), archivePageKey(level, first.ordinal), pageCount).pipe(
			Effect.map(({ entries, revision }) => {
				const pages =
					entries.length === 0
						? [emptyLevel()]
						: entries.map((entry) => decodeArchivePage(level, entry.key, entry.data, entry.modRevision))
				this.ports.onPagesRead(level, pages, revision)
				for (const lookup of sameLevel) this.advance(lookup)
			}),
			Effect.catch((failure) => Effect.sync(() => this.onReadFailed(sameLevel, failure))),
			Effect.catchDefect((defect) =>
				Effect.sync(() => {
					this.ports.onFailure(defect)
					for (const lookup of sameLevel) this.resolve(lookup, 'unsure')
				}),
			),
		)
	}

	private advance(lookup: PendingLookup): void {
		const result = this.ports.advance(lookup)
		if (result !== null) this.resolve(lookup, result)
	}

	private resolve(lookup: PendingLookup, result: ArchiveLookup): void {
		this.remove(lookup)
		lookup.resolve(result)
	}

	/** A read refused for its rate is no outage: the look-ups stay pending and are read for in a later turn. */
	private onReadFailed(lookups: readonly PendingLookup[], failure: StoreFailure): void {
		if (isRateLimited(failure)) return
		for (const lookup of lookups) this.resolve(lookup, 'unsure')
	}
}
