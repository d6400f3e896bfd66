/** Moves terminal states into the archive and down its levels. */

import type { StoreClient, StoreFailure, WriteResult } from '@heathroad/store'
import type { Condition, Mutation } from '@heathroad/wire'
import { Effect } from 'effect'
import { archivePageKey, levelPrefix } from './archive-keys.js'
import { type ArchivePage, decodeArchivePage, emptyLevel, encodeArchivePage } from './archive-page.js'
import type { ArchivedJob } from './archived-job.js'
import { type ArchiveWriteLimits, nextMergeStep } from './merge-step.js'
import { unpackJobs } from './packed-jobs.js'

/** Neighbouring pages that one request reads: about as many as one transaction can write. */
const READ_AHEAD_PAGES = 8

/** What the archiver needs of the controller that runs it. */
export interface ArchiverPorts {
	client: Pick<StoreClient, 'list'>
	/** writes within the request rate, when its turn comes */
	write(conditions: readonly Condition[], mutations: readonly Mutation[]): Effect.Effect<WriteResult>
	/** waits until this many more changes are within the archive's share of the rate */
	pace(changes: number): Effect.Effect<void>
	/** does this controller still own the shard whose states are moved? */
	isOwner(): boolean
	limits: ArchiveWriteLimits
}

/**
 * Moves terminal states down into the archive and within it. Everything is written below before it is removed above,
 * and what is written again agrees with what is there: a move may stop at any moment, be repeated, or be done by two
 * controllers at once, and whoever reads from the top down finds every state at every moment. Each page is written on
 * condition of its mod revision, so a write that is applied late changes nothing newer than what it was made from.
 */
export class Archiver {
	constructor(private readonly ports: ArchiverPorts) {}

	/** Puts jobs, sorted, into a level; true once all of them are durable there or below. */
	insert(level: number, jobs: readonly ArchivedJob[]): Effect.Effect<boolean, StoreFailure> {
		return Effect.gen({ self: this }, function* () {
			let remaining = jobs
			while (remaining.length > 0) {
				if (!this.ports.isOwner()) return false
				const pages = yield* this.readPages(level, remaining[0].ordinal)
				const step = nextMergeStep(level, pages, remaining, this.ports.limits)
				if (step.kind === 'hand-down') {
					if (!(yield* this.handDown(level, step.page))) return false
					continue
				}
				yield* this.ports.pace(step.pages.length)
				const result = yield* this.writePages(level, step.pages)
				if (result.kind === 'refused') return false
				// Otherwise somebody else wrote a page meanwhile, or the result is unknown: the pages are read again,
				// and what they hold already stays.
				if (result.kind === 'ok') remaining = remaining.slice(step.jobCount)
			}
			return true
		})
	}

	/** Reads the page that covers an ordinal, and some of those after it. */
	private readPages(level: number, ordinal: string): Effect.Effect<ArchivePage[], StoreFailure> {
		// A range request starts after the key it names, and a page's key is its exclusive end: the first key is the page's.
		return this.ports.client.list(levelPrefix(level), archivePageKey(level, ordinal), READ_AHEAD_PAGES).pipe(
			Effect.map(({ entries }) => {
				if (entries.length === 0) return [emptyLevel()]
				return entries.map((entry) => decodeArchivePage(level, entry.key, entry.data, entry.modRevision))
			}),
		)
	}

	private writePages(level: number, pages: readonly ArchivePage[]): Effect.Effect<WriteResult> {
		const entries = pages.map((page) => ({ key: archivePageKey(level, page.to), page }))
		return this.ports.write(
			entries.map(({ key, page }) => ({ key, modRevision: page.modRevision })),
			entries.map(({ key, page }) => ({ set: key, data: encodeArchivePage(page) })),
		)
	}

	/** Empties a full page into the level below. */
	private handDown(level: number, page: ArchivePage): Effect.Effect<boolean, StoreFailure> {
		return Effect.gen({ self: this }, function* () {
			if (!(yield* this.insert(level + 1, unpackJobs(page.packed)))) return false
			yield* this.ports.pace(1)
			// If the page was written meanwhile it keeps its content, and is handed down when it is met again.
			yield* this.writePages(level, [{ ...page, packed: '', deeper: true }])
			return true
		})
	}
}
