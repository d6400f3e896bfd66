/** Looks up jobs whose terminal states are in the archive. */

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

/** Limits on memory and reads. */
export interface ArchiveReaderLimits {
	/** of all cached pages' packed texts, in characters */
	maxCacheChars: number
	/** look-ups that may be pending at a time */
	maxPendingLookups: number
	/** pages that one request reads at most, where many look-ups are pending */
	maxPagesPerRead: number
}

/** A revision before every other. */
const NO_REVISION = -1

/** The latest revision of the states on stored pages; infinite if a page is invalid. */
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
 * Answers look-ups of jobs that are terminal and not in memory: reads pages on demand, shares them between look-ups
 * and caches some.
 *
 * Within the archive, terminal states never change and only ever move down the levels, so whatever is found anywhere is
 * true, and whoever reads from the top down misses none. Absence from the archive is proven only by pages that are new
 * enough: on the first level, as new as the last time a state of their range left memory, which the caller reports
 * (`onJobsLeftMemory`); on each further level, as new as the page above, since what that page handed down is then in it.
 *
 * Absence from the archive does not prove that a job was never accepted. Terminal states also move up: the record
 * migration moves them from jobs' own keys to pages in memory. `JobLocator` looks at all places in a sound order.
 */
export class ArchiveReader {
	private readonly cache: PageCache
	private readonly queue: LookupQueue
	/** reads before this revision may lack states that have left memory since */
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

	/** Reads so far, for measurements. */
	get reads(): number {
		return this.queue.reads
	}

	/** The job's terminal state, if a cached page holds it. */
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

	/** Do the cached pages prove, without any read, that the job is not archived? */
	provesAbsent(uid: string): boolean {
		return !this.hasLevels() || this.advance(this.firstStep(uid, () => {})) === 'absent'
	}

	/** The job's archived terminal state; may take several reads. */
	lookUp(uid: string): Effect.Effect<ArchiveLookup> {
		return Effect.callback<ArchiveLookup>((resume) => {
			const resolve = (result: ArchiveLookup) => resume(Effect.succeed(result))
			if (!this.hasLevels()) return resolve('absent')
			const lookup = this.firstStep(uid, resolve)
			const immediate = this.advance(lookup)
			if (immediate !== null) return resolve(immediate)
			// A look-up that would wait for longer than any caller does is answered at once.
			if (this.queue.size >= this.limits.maxPendingLookups) return resolve('unsure')
			this.queue.add(lookup)
			return Effect.sync(() => this.queue.remove(lookup))
		})
	}

	private firstStep(uid: string, resolve: (result: ArchiveLookup) => void): PendingLookup {
		return { uid, ordinal: ordinalOf(uid), level: FIRST_LEVEL, minRevision: NO_REVISION, resolve }
	}

	/**
	 * The latest revision at which an archived state became durable: -1 if nothing is archived, infinite if the archive is
	 * too large to be read for that; null: it could not be read. States that are archived meanwhile may be left out.
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

	/** These jobs left memory with the change of this revision: pages read earlier may lack them. */
	onJobsLeftMemory(uids: Iterable<string>, revision: number): void {
		this.minFirstLevelRevision = Math.max(this.minFirstLevelRevision, revision)
		for (const uid of uids) {
			const cachedPage = this.cache.find(FIRST_LEVEL, ordinalOf(uid))
			if (cachedPage !== undefined && cachedPage.readAt < revision)
				this.cache.remove(FIRST_LEVEL, cachedPage.page.to)
		}
	}

	/** Changes up to this revision may have been missed: drops the cache. */
	reset(revision: number): void {
		this.minFirstLevelRevision = Math.max(this.minFirstLevelRevision, revision)
		this.cache.clear()
	}

	/** What a cached page holds of a job; an invalid page proves neither presence nor absence. */
	private findInPage(cachedPage: CachedPage, ordinal: string): ArchivedJob | 'unsure' | undefined {
		try {
			return findInPacked(cachedPage.page.packed, ordinal)
		} catch (error) {
			this.onFailure(error)
			return 'unsure'
		}
	}

	/** Continues a look-up through the cached pages; null: it needs a read at its level. */
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
		// A state that left memory after this read may be missing in it: such pages are not cached and are read again.
		const isFresh = level > FIRST_LEVEL || revision >= this.minFirstLevelRevision
		if (!isFresh) return
		// The first page is added last: where the cache is small, its neighbours must not push it out.
		for (const page of pages.reverse()) this.cache.add(level, page, revision)
	}
}
