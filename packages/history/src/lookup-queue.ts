/** Queue of lookups that need a read of the state service; reads are made one at a time, within the request rate. */

import { isRateLimited, type RequestPacer, type StoreClient, type StoreFailure } from '@heathroad/store'
import { Effect } from 'effect'
import { archivePageKey, levelPrefix } from './archive-keys.js'
import { type ArchivePage, decodeArchivePage, emptyLevelPage } from './archive-page.js'
import type { ArchivedJob } from './archived-job.js'
import { SerialReads } from './serial-reads.js'

/** Result of looking up a job in the archive. */
export type ArchiveLookup =
	| ArchivedJob
	/** the job was proven not to be in the archive when the lookup began */
	| 'absent'
	/** neither presence nor absence can be determined now */
	| 'unsure'

/** The first level of the archive. */
export const FIRST_LEVEL = 1

/** A lookup that is descending the levels of the archive. */
export interface PendingLookup {
	uid: string
	ordinal: string
	/** the level at which it continues */
	level: number
	/** a page of this level proves absence only if it was read at this revision or later */
	minRevision: number
	/** called once with the result */
	resolve: (result: ArchiveLookup) => void
}

/** What the queue needs from the reader that owns it. */
export interface LookupQueueDependencies {
	client: Pick<StoreClient, 'list'>
	pacer: RequestPacer
	/** maximum number of pages that one request reads */
	maxPagesPerRead: number
	/** continues a lookup through the cached pages; null: it needs a read at the level that it has reached */
	advance(lookup: PendingLookup): ArchiveLookup | null
	/** receives the pages of one read; the first page covers the lookup for which the read was made */
	onPagesRead(level: number, pages: ArchivePage[], revision: number): void
	/** reports a failed read or an invalid page */
	onFailure(cause: unknown): void
}

/** Queue of pending lookups. Each read serves all of them that are at the same level as the first one. */
export class LookupQueue {
	private pending: PendingLookup[] = []
	private readonly serialReads: SerialReads

	constructor(private readonly dependencies: LookupQueueDependencies) {
		this.serialReads = new SerialReads(
			dependencies.pacer,
			() => this.pending.length > 0,
			() => (this.pending.length === 0 ? null : this.readPages(this.pending[0])),
			// Only unexpected errors arrive here: failed reads and invalid pages are handled in `readPages`.
			(cause) => dependencies.onFailure(cause),
		)
	}

	/** Number of pending lookups. */
	get size(): number {
		return this.pending.length
	}

	/** Number of reads since the start, for measurements. */
	get reads(): number {
		return this.serialReads.count
	}

	/** Adds a lookup, which is resolved by a read in its turn. */
	add(lookup: PendingLookup): void {
		this.pending.push(lookup)
		this.serialReads.start()
	}

	/** Removes a lookup without resolving it. */
	remove(lookup: PendingLookup): void {
		this.pending = this.pending.filter((other) => other !== lookup)
	}

	/** Reads the page that the first lookup needs, and following pages if more lookups are pending at its level. */
	private readPages(first: PendingLookup): Effect.Effect<void> {
		const { level } = first
		const sameLevel = this.pending.filter((lookup) => lookup.level === level)
		const pageCount = Math.max(1, Math.min(this.dependencies.maxPagesPerRead, sameLevel.length))
		return this.dependencies.client
			.list(levelPrefix(level), archivePageKey(level, first.ordinal), pageCount)
			.pipe(
				Effect.map(({ entries, revision }) => {
					const pages =
						entries.length === 0
							? [emptyLevelPage()]
							: entries.map((entry) => decodeArchivePage(level, entry.key, entry.data, entry.modRevision))
					this.dependencies.onPagesRead(level, pages, revision)
					for (const lookup of sameLevel) this.advance(lookup)
				}),
				Effect.catch((failure) => Effect.sync(() => this.onReadFailed(sameLevel, failure))),
				Effect.catchDefect((defect) =>
					Effect.sync(() => {
						this.dependencies.onFailure(defect)
						for (const lookup of sameLevel) this.resolve(lookup, 'unsure')
					}),
				),
			)
	}

	private advance(lookup: PendingLookup): void {
		const result = this.dependencies.advance(lookup)
		if (result !== null) this.resolve(lookup, result)
	}

	private resolve(lookup: PendingLookup, result: ArchiveLookup): void {
		this.remove(lookup)
		lookup.resolve(result)
	}

	/** After a rejection by the rate limit the lookups stay pending and the read is retried in a later turn. */
	private onReadFailed(lookups: readonly PendingLookup[], failure: StoreFailure): void {
		if (isRateLimited(failure)) return
		for (const lookup of lookups) this.resolve(lookup, 'unsure')
	}
}
