import { KEY_PREFIX, type TransactionContent } from '@heathroad/store'
import type { Condition, Mutation } from '@heathroad/wire'
import { isMap } from '@heathroad/wire'
import type { JobRecord } from './records.js'
import type { RecordReader } from './writes.js'

/**
 * Jobs that checks have released. A mark of its own for each would cost a change a job; so they share pages of their part,
 * as many in one change as were released together. A job leaves its page when it is over, or its own record shows progress.
 */
export const releasePageKey = (shardId: number, page: number): string => `released/${shardId}/${page}`

export const decodeReleasePage = (data: unknown): string[] | null =>
	isMap(data) && Array.isArray(data.uids) && data.uids.every((u) => typeof u === 'string')
		? (data.uids as string[])
		: null

/** Has the job to be released before its first start, as far as its record tells? Progress shows that it was. */
export const requiresRelease = (record: JobRecord): boolean =>
	record.finalState === undefined &&
	(record.requiredChecks?.length ?? 0) > 0 &&
	(record.doneRanges?.length ?? 0) === 0

/** The marks, as the records tell them. */
export class ReleaseRegistry {
	private readonly pages = new Map<string, readonly string[]>()
	/** on how many pages a job is marked */
	private readonly marks = new Map<string, number>()

	isReleased(uid: string): boolean {
		return this.marks.has(uid)
	}

	/** A page changed: the jobs that are released since. */
	onPageChanged(key: string, data: unknown): string[] {
		const uids = decodeReleasePage(data) ?? []
		const before = this.pages.get(key) ?? []
		const fresh = uids.filter((uid) => !this.marks.has(uid))
		for (const uid of uids) this.marks.set(uid, (this.marks.get(uid) ?? 0) + 1)
		for (const uid of before) {
			const left = (this.marks.get(uid) ?? 0) - 1
			if (left > 0) this.marks.set(uid, left)
			else this.marks.delete(uid)
		}
		if (uids.length > 0) this.pages.set(key, uids)
		else this.pages.delete(key)
		return fresh
	}

	/** Is it still to be released, so that nothing of it may start and it weighs nothing? */
	isPending(uid: string, record: JobRecord): boolean {
		return requiresRelease(record) && !this.isReleased(uid)
	}
}

/**
 * Marks jobs as released, those first that come first, on the first pages with room. `open`: must a job that is marked
 * already stay so? `room`: characters of a value. Conditional on the pages' mod revisions and, by the caller, on the ownership:
 * a release told to an owner that has lost its part counts for nothing.
 */
export const markReleased = (
	known: RecordReader,
	shardId: number,
	uids: readonly string[],
	stays: (uid: string) => boolean,
	limits: { room: number; ops: number },
): { content: TransactionContent; taken: readonly string[] } => {
	const conditions: Condition[] = []
	const mutations: Mutation[] = []
	let left = 0
	const size = (list: readonly string[]) => list.reduce((n, u) => n + u.length + 3, 16)
	for (let page = 0; left < uids.length && mutations.length < limits.ops; page++) {
		const key = releasePageKey(shardId, page)
		const held = decodeReleasePage(known.get(key)?.data) ?? []
		const kept = held.filter(stays)
		let room = limits.room - size(kept)
		const from = left
		while (left < uids.length && room > uids[left].length + 3) room -= uids[left++].length + 3
		if (left === from) continue
		conditions.push({ key: KEY_PREFIX + key, modRevision: known.modRevision(key) })
		mutations.push({ set: KEY_PREFIX + key, data: { uids: [...kept, ...uids.slice(from, left)] } })
	}
	return { content: { conditions, mutations: mutations }, taken: uids.slice(0, left) }
}
