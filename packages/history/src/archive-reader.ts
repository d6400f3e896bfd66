/** Lookup of jobs in the archive. */

import type { RequestPacer, StoreClient } from '@heathroad/store'
import type { KeyValue } from '@heathroad/wire'
import { Effect } from 'effect'
import { ARCHIVE_PREFIX, levelOf } from './archive-keys.js'
import { type ArchivePage, decodeArchivePage } from './archive-page.js'
import type { ArchivedJob } from './archived-job.js'
import { type ArchiveLookup, FIRST_LEVEL, LookupQueue, type PendingLookup } from './lookup-queue.js'
import { ordinalOf } from './ordinals.js'
import { InvalidArchivePage, unpackJobs } from './packed-jobs.js'
import { findInPacked } from './packed-lookup.js'
import { type CachedPage, PageCache } from './page-cache.js'

/** Limits on the reader's memory and on the size of its reads. */
export interface ArchiveReaderLimits {
	/** total size of the cached pages' packed texts, in characters */
	maxCacheChars: number
	/** maximum number of lookups that are pending at a time */
	maxPendingLookups: number
	/** maximum number of pages that one request reads when many lookups are pending */
	maxPagesPerRead: number
}

/** Less than every revision of the state service. */
const NO_REVISION = -1

/** The latest revision of any terminal state on the stored pages; infinity if a page is invalid. */
const latestRevisionOf = (entries: readonly KeyValue[]): number => {
	try {
		const revisions = entries.flatMap(({ key, data, modRevision }) => {
			const { packed } = decodeArchivePage(levelOf(key), key, data, modRevision)
			return unpackJobs(packed).map((job) => job.revision)
		})
		return revisions.reduce((latest, revision) => Math.max(latest, revision), NO_REVISION)
	} catch (error) {
		if (error instanceof InvalidArchivePage) return Number.POSITIVE_INFINITY
		throw error
	}
}

/**
 * Looks up jobs that are terminal and not in memory. It reads pages on demand, shares each read between lookups and
 * caches recently used pages.
 *
 * Within the archive, terminal states never change and only move down the levels. A state that is found is therefore
 * valid on whichever page it is, and a reader that goes from the top level down misses none. Only sufficiently recent
 * pages prove that a job is absent: on the first level, a page read no earlier than a state of its range last left
 * memory, which the caller reports (`onJobsLeftMemory`); on each further level, a page read no earlier than the mod
 * revision of the page above it, as it then contains everything that the page above moved down.
 *
 * Absence from the archive does not prove that a job was never accepted. Terminal states also move up: the record
 * migration moves them from jobs' own keys to pages in memory. `JobLocator` checks all places in a safe order.
 */
export class ArchiveReader {
	private readonly cache: PageCache
	private readonly queue: LookupQueue
	/** first-level pages that were read before this revision may lack states that have left memory since */
	private minFirstLevelRevision = NO_REVISION

	constructor(
		private readonly client: Pick<StoreClient, 'list'>,
		private readonly hasLevels: () => boolean,
		private readonly pacer: RequestPacer,
		private readonly limits: ArchiveReaderLimits,
		private readonly onFailure: (cause: unknown) => void = () => {},
	) {
		this.cache = new PageCache(limits.maxCacheChars)
		this.queue = new LookupQueue({
			client,
			pacer,
			maxPagesPerRead: limits.maxPagesPerRead,
			advance: (lookup) => this.advance(lookup),
			onPagesRead: (level, pages, revision) => this.cachePages(level, pages, revision),
			onFailure,
		})
	}

	/** Number of reads since the start, for measurements. */
	get reads(): number {
		return this.queue.reads
	}

	/** Returns the job's terminal state if a cached page contains it. */
	cached(uid: string): ArchivedJob | undefined {
		if (!this.hasLevels()) return undefined
		const ordinal = ordinalOf(uid)
		for (let level = FIRST_LEVEL; ; level++) {
			const cachedPage = this.cache.find(level, ordinal)
			if (cachedPage === undefined) return undefined
			const found = this.findInPage(cachedPage, ordinal)
			if (found === 'unsure') return undefined
			if (found !== undefined) return found
			if (!cachedPage.page.deeper) return undefined
		}
	}

	/** Returns whether the cached pages prove, without a read, that the job is not archived. */
	provesAbsent(uid: string): boolean {
		return !this.hasLevels() || this.advance(this.createLookup(uid, () => {})) === 'absent'
	}

	/** Looks up the job's archived terminal state, which may take several reads. */
	lookUp(uid: string): Effect.Effect<ArchiveLookup> {
		return Effect.callback<ArchiveLookup>((resume) => {
			const resolve = (result: ArchiveLookup) => resume(Effect.succeed(result))
			if (!this.hasLevels()) return resolve('absent')
			const lookup = this.createLookup(uid, resolve)
			const immediate = this.advance(lookup)
			if (immediate !== null) return resolve(immediate)
			// With this many pending lookups, another one would wait for longer than any caller does.
			if (this.queue.size >= this.limits.maxPendingLookups) return resolve('unsure')
			this.queue.add(lookup)
			return Effect.sync(() => this.queue.remove(lookup))
		})
	}

	private createLookup(uid: string, resolve: (result: ArchiveLookup) => void): PendingLookup {
		return { uid, ordinal: ordinalOf(uid), level: FIRST_LEVEL, minRevision: NO_REVISION, resolve }
	}

	/**
	 * Reads the latest revision at which an archived state became durable: -1 if nothing is archived, infinity if the
	 * archive does not fit into one read, null if the read failed. States archived during the read may be left out.
	 */
	latestRevision(): Effect.Effect<number | null> {
		if (!this.hasLevels()) return Effect.succeed(NO_REVISION)
		const read = Effect.sleep(this.pacer.reserveDelayMs()).pipe(
			Effect.andThen(
				Effect.suspend(() => this.client.list(ARCHIVE_PREFIX, null, this.limits.maxPagesPerRead)),
			),
		)
		return Effect.match(read, {
			onFailure: () => null,
			onSuccess: ({ entries, more }) => (more ? Number.POSITIVE_INFINITY : latestRevisionOf(entries)),
		})
	}

	/** Must be called when jobs left memory with the change of this revision: pages read earlier may lack them. */
	onJobsLeftMemory(uids: Iterable<string>, revision: number): void {
		this.minFirstLevelRevision = Math.max(this.minFirstLevelRevision, revision)
		for (const uid of uids) {
			const cachedPage = this.cache.find(FIRST_LEVEL, ordinalOf(uid))
			if (cachedPage !== undefined && cachedPage.readAt < revision)
				this.cache.remove(FIRST_LEVEL, cachedPage.page.to)
		}
	}

	/** Drops the cache; must be called when changes up to this revision may have been missed. */
	reset(revision: number): void {
		this.minFirstLevelRevision = Math.max(this.minFirstLevelRevision, revision)
		this.cache.clear()
	}

	/** Finds a job in a cached page; 'unsure': the page is invalid and proves neither presence nor absence. */
	private findInPage(cachedPage: CachedPage, ordinal: string): ArchivedJob | 'unsure' | undefined {
		try {
			return findInPacked(cachedPage.page.packed, ordinal)
		} catch (error) {
			this.onFailure(error)
			return 'unsure'
		}
	}

	/** Continues a lookup through the cached pages; null: it needs a read at the level that it has reached. */
	private advance(lookup: PendingLookup): ArchiveLookup | null {
		for (;;) {
			const cachedPage = this.cache.find(lookup.level, lookup.ordinal)
			if (cachedPage === undefined) return null
			const found = this.findInPage(cachedPage, lookup.ordinal)
			if (found !== undefined) return found
			if (cachedPage.readAt < lookup.minRevision) return null
			if (!cachedPage.page.deeper) return 'absent'
			lookup.level++
			lookup.minRevision = cachedPage.page.modRevision
		}
	}

	private cachePages(level: number, pages: ArchivePage[], revision: number): void {
		// Pages read before a state left memory may lack that state, so they are not cached and will be read again.
		const isFresh = level > FIRST_LEVEL || revision >= this.minFirstLevelRevision
		if (!isFresh) return
		// The first page is the requested one. It is added last, so that its neighbours cannot evict it from a small cache.
		for (const page of pages.reverse()) this.cache.add(level, page, revision)
	}
}
