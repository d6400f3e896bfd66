/** Moves terminal states into the archive and down its levels. */

import type { StoreClient, StoreFailure, WriteResult } from '@heathroad/store'
import type { Condition, Mutation } from '@heathroad/wire'
import { Effect } from 'effect'
import { archivePageKey, levelPrefix } from './archive-keys.js'
import { type ArchivePage, decodeArchivePage, emptyLevelPage, encodeArchivePage } from './archive-page.js'
import type { ArchivedJob } from './archived-job.js'
import { type ArchiveWriteLimits, nextMergeStep } from './merge-step.js'
import { unpackJobs } from './packed-jobs.js'

/** Number of neighbouring pages that one request reads: about as many as one transaction can write. */
const READ_AHEAD_PAGES = 8

/** What the archiver needs from the controller that runs it. */
export interface ArchiverDependencies {
	client: Pick<StoreClient, 'list'>
	/** submits a transaction, which waits for its turn within the request rate */
	write(conditions: readonly Condition[], mutations: readonly Mutation[]): Effect.Effect<WriteResult>
	/** waits until this number of further changes is within the archive's share of the write rate */
	pace(changes: number): Effect.Effect<void>
	/** returns whether this controller still owns the shard whose states are moved */
	isOwner(): boolean
	limits: ArchiveWriteLimits
}

/**
 * Moves terminal states into the archive and down its levels. States are written to the lower level before they are
 * removed from the upper one, and writing them again changes nothing: a move may stop at any moment, be repeated, or be
 * made by two controllers at once, and a reader that goes from the top level down finds every state at any time. Each
 * write of a page is a compare-and-swap on its mod revision, so one that is applied late cannot overwrite newer data.
 */
export class Archiver {
	constructor(private readonly dependencies: ArchiverDependencies) {}

	/** Inserts jobs, which must be sorted, into a level; returns whether all of them are durable there or below. */
	insert(level: number, jobs: readonly ArchivedJob[]): Effect.Effect<boolean, StoreFailure> {
		return Effect.gen({ self: this }, function* () {
			let remaining = jobs
			while (remaining.length > 0) {
				if (!this.dependencies.isOwner()) return false
				const pages = yield* this.readPages(level, remaining[0].ordinal)
				const step = nextMergeStep(level, pages, remaining, this.dependencies.limits)
				if (step.kind === 'move-down') {
					if (!(yield* this.moveDown(level, step.page))) return false
					continue
				}
				yield* this.dependencies.pace(step.pages.length)
				const result = yield* this.writePages(level, step.pages)
				if (result.kind === 'refused') return false
				// Otherwise another controller wrote a page meanwhile, or the result is unknown: the pages are read again,
				// and the jobs that they already contain are kept.
				if (result.kind === 'ok') remaining = remaining.slice(step.jobCount)
			}
			return true
		})
	}

	/** Reads the page that covers an ordinal and some of the following pages. */
	private readPages(level: number, ordinal: string): Effect.Effect<ArchivePage[], StoreFailure> {
		// A range request starts after the key that it names, and a page's key is the exclusive end of its range:
		// the first page of the response is the one that covers the ordinal.
		return this.dependencies.client
			.list(levelPrefix(level), archivePageKey(level, ordinal), READ_AHEAD_PAGES)
			.pipe(
				Effect.map(({ entries }) => {
					if (entries.length === 0) return [emptyLevelPage()]
					return entries.map((entry) => decodeArchivePage(level, entry.key, entry.data, entry.modRevision))
				}),
			)
	}

	private writePages(level: number, pages: readonly ArchivePage[]): Effect.Effect<WriteResult> {
		const entries = pages.map((page) => ({ key: archivePageKey(level, page.to), page }))
		return this.dependencies.write(
			entries.map(({ key, page }) => ({ key, modRevision: page.modRevision })),
			entries.map(({ key, page }) => ({ set: key, data: encodeArchivePage(page) })),
		)
	}

	/** Moves the content of a full page to the level below. */
	private moveDown(level: number, page: ArchivePage): Effect.Effect<boolean, StoreFailure> {
		return Effect.gen({ self: this }, function* () {
			if (!(yield* this.insert(level + 1, unpackJobs(page.packed)))) return false
			yield* this.dependencies.pace(1)
			// If the page was written meanwhile, it keeps its content until a later step finds it full again.
			yield* this.writePages(level, [{ ...page, packed: '', deeper: true }])
			return true
		})
	}
}
