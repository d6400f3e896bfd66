/**
 * Marks of jobs that admission checks have released. A key per mark would cost one change per job, so the marks of a shard
 * share pages, and one change marks all jobs that were released together. A job is removed from its page once it is terminal
 * or its own record shows progress.
 */
import { KEY_PREFIX, type TransactionContent } from '@heathroad/store'
import { type Condition, isMap, type Mutation } from '@heathroad/wire'
import type { JobRecord } from './records.js'
import type { RecordReader } from './transactions.js'

/** Key of one page of a shard's release marks. */
export const releasePageKey = (shardId: number, page: number): string => `released/${shardId}/${page}`

/** Decodes a page into the ids of its jobs; null if it is absent or malformed. */
export const decodeReleasePage = (data: unknown): string[] | null =>
	isMap(data) && Array.isArray(data.uids) && data.uids.every((uid) => typeof uid === 'string')
		? (data.uids as string[])
		: null

/** Whether the job's record requires a release before the first start; progress implies that it was released. */
export const requiresRelease = (record: JobRecord): boolean =>
	record.finalState === undefined &&
	(record.requiredChecks?.length ?? 0) > 0 &&
	(record.doneRanges?.length ?? 0) === 0

/** Index of all release marks in the records. */
export class ReleaseRegistry {
	/** Key of a page -> its jobs. */
	private readonly pages = new Map<string, readonly string[]>()
	/** Job -> number of pages that mark it. */
	private readonly markCounts = new Map<string, number>()

	/** Whether the job is marked as released. */
	isReleased(uid: string): boolean {
		return this.markCounts.has(uid)
	}

	/** Handles a change of a page; returns the jobs that it newly releases. */
	onPageChanged(key: string, data: unknown): string[] {
		const uids = decodeReleasePage(data) ?? []
		const previous = this.pages.get(key) ?? []
		const newlyReleased = uids.filter((uid) => !this.markCounts.has(uid))
		for (const uid of uids) this.markCounts.set(uid, (this.markCounts.get(uid) ?? 0) + 1)
		for (const uid of previous) this.removeMark(uid)
		if (uids.length > 0) this.pages.set(key, uids)
		else this.pages.delete(key)
		return newlyReleased
	}

	private removeMark(uid: string): void {
		const remaining = (this.markCounts.get(uid) ?? 0) - 1
		if (remaining > 0) this.markCounts.set(uid, remaining)
		else this.markCounts.delete(uid)
	}

	/** Whether the job's release is pending: none of its tasks may start, and it adds no demand. */
	isPending(uid: string, record: JobRecord): boolean {
		return requiresRelease(record) && !this.isReleased(uid)
	}
}

/** Characters per id in an encoded page, besides the id itself: two quotes and a comma. */
const ID_OVERHEAD_CHARS = 3
/** Characters of an encoded page without ids. */
const PAGE_OVERHEAD_CHARS = 16

const idSize = (uid: string): number => uid.length + ID_OVERHEAD_CHARS
const pageSize = (uids: readonly string[]): number =>
	uids.reduce((total, uid) => total + idSize(uid), PAGE_OVERHEAD_CHARS)

/**
 * Marks jobs as released, in the given order, on the first pages with room. The transaction is conditional on the pages' mod
 * revisions and, by a condition that the caller adds, on the shard's ownership: a release decided by an owner that has lost
 * its shard has no effect.
 *
 * @param mustKeep whether a job that is already marked must stay marked
 * @param limits `maxPageChars`: characters of a page's value; `maxPages`: pages written in one transaction
 */
export const markReleased = (
	records: RecordReader,
	shardId: number,
	uids: readonly string[],
	mustKeep: (uid: string) => boolean,
	limits: { maxPageChars: number; maxPages: number },
): { content: TransactionContent; taken: readonly string[] } => {
	const conditions: Condition[] = []
	const mutations: Mutation[] = []
	let takenCount = 0
	for (let page = 0; takenCount < uids.length && mutations.length < limits.maxPages; page++) {
		const key = releasePageKey(shardId, page)
		const kept = (decodeReleasePage(records.get(key)?.data) ?? []).filter(mustKeep)
		const added = takeFitting(uids, takenCount, limits.maxPageChars - pageSize(kept))
		if (added.length === 0) continue
		takenCount += added.length
		conditions.push({ key: KEY_PREFIX + key, modRevision: records.modRevision(key) })
		mutations.push({ set: KEY_PREFIX + key, data: { uids: [...kept, ...added] } })
	}
	return { content: { conditions, mutations }, taken: uids.slice(0, takenCount) }
}

/** Returns the ids, from index `from`, that fit into the room with at least one character to spare. */
const takeFitting = (uids: readonly string[], from: number, roomChars: number): string[] => {
	let end = from
	for (let room = roomChars; end < uids.length && room > idSize(uids[end]); end++) room -= idSize(uids[end])
	return uids.slice(from, end)
}
