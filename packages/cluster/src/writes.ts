import { type Content, ROOT } from '@heathroad/store'
import type { Change, Condition } from '@heathroad/wire'
import { append, type Ended, type Roll } from './pages.js'
import { HISTORY, type JobRecord, jobKey, overKey, partKey } from './records.js'

/** What the writes below read of the records. */
export interface Known {
	get(key: string): { data: unknown; stamp: number } | undefined
	stamp(key: string): number
}

const at = (known: Known, key: string): Condition => ({ key: ROOT + key, stamp: known.stamp(key) })

/**
 * Every write that makes a record name a job which is not over holds only for the turn in which it was made. A final
 * state leaves memory only when a turn began after it, so whatever names its job was either made knowing it, or is no
 * longer carried out, however late it comes.
 */
export const thisTurn = (known: Known): Condition => at(known, HISTORY)

/**
 * Jobs accepted together, under a key that nobody used before, or over a record that says nothing any more and has this
 * `stamp`.
 */
export const acceptance = (known: Known, key: string, jobs: readonly JobRecord[], stamp = 0): Content => ({
	conditions: [
		{ key: ROOT + key, stamp },
		thisTurn(known),
		...jobs.map((r) => ({ key: ROOT + jobKey(r.spec!.uid), stamp: 0 })),
	],
	changes: [{ set: ROOT + key, data: { jobs } }],
})

/** A job's record under its own key, which must not have changed. */
export const ownRecord = (
	known: Known,
	uid: string,
	stamp: number,
	data: JobRecord,
	more: readonly Change[] = [],
): Content => ({
	conditions: [{ key: ROOT + jobKey(uid), stamp }, thisTurn(known)],
	changes: [{ set: ROOT + jobKey(uid), data }, ...more],
})

/**
 * A job goes to another part. Whatever else decides about it changes its own key or who owns its part, so one that is
 * carried out late undoes nothing.
 */
export const relocation = (
	known: Known,
	owning: Condition,
	uid: string,
	job: { record: JobRecord; stamp: number },
	to: number,
): Content => {
	const { conditions, changes } = ownRecord(known, uid, job.stamp, { ...job.record, part: to })
	return { conditions: [owning, ...conditions], changes }
}

/**
 * Final states of a part's jobs. Outcomes and cancellations alike change the part's page on condition of its stamp:
 * of two that were made without knowing each other only one is carried out, and none that is late.
 */
export const finalStates = (
	known: Known,
	part: number,
	jobs: readonly Ended[],
	room: Roll,
): { content: Content; taken: number } => {
	const { changes, taken } = append(part, known.get(overKey(part)), jobs, room)
	return {
		content: {
			conditions: [at(known, overKey(part))],
			changes: changes.map((c) => ({ set: ROOT + c.key, data: c.data })),
		},
		taken,
	}
}

/** Final states under keys of their own, as the first form has them, move to a page. */
export const migration = (
	known: Known,
	part: number,
	jobs: readonly { job: Ended; stamp: number }[],
	room: Roll,
): { content: Content; taken: number } => {
	const conditions: Condition[] = [at(known, partKey(part)), at(known, overKey(part))]
	const changes: Change[] = []
	// Each keeps the epoch at which it became final, so each is a batch of its own.
	let held = known.get(overKey(part))
	let taken = 0
	const pages = new Map<string, unknown>()
	for (const { job, stamp } of jobs) {
		const one = append(part, held, [job], room, stamp)
		if (one.changes.length > 1 && taken > 0) break
		for (const c of one.changes) pages.set(c.key, c.data)
		held = { data: pages.get(overKey(part)), stamp: held?.stamp ?? 0 }
		conditions.push({ key: ROOT + jobKey(job.uid), stamp })
		changes.push({ delete: ROOT + jobKey(job.uid) })
		taken++
	}
	for (const [key, data] of pages) changes.unshift({ set: ROOT + key, data })
	return { content: { conditions, changes }, taken }
}

/** Pages whose final states are all in the archive are removed. */
export const leave = (known: Known, part: number, keys: readonly string[]): Content => ({
	conditions: [at(known, partKey(part)), ...keys.map((key) => at(known, key))],
	changes: keys.map((key) => ({ delete: ROOT + key })),
})

/** The next turn. */
export const nextTurn = (known: Known, data: { form: number; turn: number; legacy: boolean }): Content => ({
	conditions: [thisTurn(known)],
	changes: [{ set: ROOT + HISTORY, data }],
})
