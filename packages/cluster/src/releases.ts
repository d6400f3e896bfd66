import { type Content, ROOT } from '@heathroad/store'
import type { Change, Condition } from '@heathroad/wire'
import { isMap } from '@heathroad/wire'
import type { JobRecord } from './records.js'
import type { Known } from './writes.js'

/**
 * Jobs that checks have released. A mark of its own for each would cost a change a job; so they share pages of their part,
 * as many in one change as were released together. A job leaves its page when it is over, or its own record shows progress.
 */
export const releasedKey = (part: number, page: number): string => `released/${part}/${page}`

export const asReleased = (data: unknown): string[] | null =>
	isMap(data) && Array.isArray(data.uids) && data.uids.every((u) => typeof u === 'string')
		? (data.uids as string[])
		: null

/** Has the job to be released before its first start, as far as its record tells? Progress shows that it was. */
export const awaits = (record: JobRecord): boolean =>
	record.final === undefined && (record.checks?.length ?? 0) > 0 && (record.done?.length ?? 0) === 0

/** The marks, as the records tell them. */
export class ReleaseBook {
	private readonly pages = new Map<string, readonly string[]>()
	/** on how many pages a job is marked */
	private readonly marks = new Map<string, number>()

	has(uid: string): boolean {
		return this.marks.has(uid)
	}

	/** A page changed: the jobs that are released since. */
	changed(key: string, data: unknown): string[] {
		const uids = asReleased(data) ?? []
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
	holds(uid: string, record: JobRecord): boolean {
		return awaits(record) && !this.has(uid)
	}
}

/**
 * Marks jobs as released, those first that come first, on the first pages with room. `open`: must a job that is marked
 * already stay so? `room`: characters of a value. Conditional on the pages' stamps and, by the caller, on the ownership:
 * a release told to an owner that has lost its part counts for nothing.
 */
export const release = (
	known: Known,
	part: number,
	uids: readonly string[],
	stays: (uid: string) => boolean,
	limits: { room: number; ops: number },
): { content: Content; taken: readonly string[] } => {
	const conditions: Condition[] = []
	const changes: Change[] = []
	let left = 0
	const size = (list: readonly string[]) => list.reduce((n, u) => n + u.length + 3, 16)
	for (let page = 0; left < uids.length && changes.length < limits.ops; page++) {
		const key = releasedKey(part, page)
		const held = asReleased(known.get(key)?.data) ?? []
		const kept = held.filter(stays)
		let room = limits.room - size(kept)
		const from = left
		while (left < uids.length && room > uids[left].length + 3) room -= uids[left++].length + 3
		if (left === from) continue
		conditions.push({ key: ROOT + key, stamp: known.stamp(key) })
		changes.push({ set: ROOT + key, data: { uids: [...kept, ...uids.slice(from, left)] } })
	}
	return { content: { conditions, changes }, taken: uids.slice(0, left) }
}
