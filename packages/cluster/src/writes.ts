import { KEY_PREFIX, type TransactionContent } from '@heathroad/store'
import type { Condition, Mutation } from '@heathroad/wire'
import { appendToPage, type PageLimits, type TerminalJob } from './pages.js'
import {
	type AcceptedJobRecord,
	encodeAcceptedBatch,
	encodeHistoryRecord,
	encodeJobRecord,
	HISTORY_KEY,
	type HistoryRecord,
	type JobRecord,
	jobKey,
	shardKey,
	terminalPageKey,
} from './records.js'

/** What the writes below read of the records. */
export interface RecordReader {
	get(key: string): { data: unknown; modRevision: number } | undefined
	modRevision(key: string): number
}

const unchanged = (known: RecordReader, key: string): Condition => ({
	key: KEY_PREFIX + key,
	modRevision: known.modRevision(key),
})

/**
 * Every write that makes a record name a job which is not over holds only for the turn in which it was made. A final
 * state leaves memory only when a turn began after it, so whatever names its job was either made knowing it, or is no
 * longer carried out, however late it comes.
 */
export const archivalEpochCondition = (known: RecordReader): Condition => unchanged(known, HISTORY_KEY)

/**
 * Jobs accepted together, under a key that nobody used before, or over a record that says nothing any more and has this
 * `modRevision`.
 */
export const acceptJobs = (
	known: RecordReader,
	key: string,
	jobs: readonly AcceptedJobRecord[],
	modRevision = 0,
): TransactionContent => ({
	conditions: [
		{ key: KEY_PREFIX + key, modRevision },
		archivalEpochCondition(known),
		...jobs.map((r) => ({ key: KEY_PREFIX + jobKey(r.spec.uid), modRevision: 0 })),
	],
	mutations: [{ set: KEY_PREFIX + key, data: encodeAcceptedBatch(jobs) }],
})

/** A job's record under its own key, which must not have changed. */
export const putJobRecord = (
	known: RecordReader,
	uid: string,
	modRevision: number,
	record: JobRecord,
	more: readonly Mutation[] = [],
): TransactionContent => ({
	conditions: [{ key: KEY_PREFIX + jobKey(uid), modRevision }, archivalEpochCondition(known)],
	mutations: [{ set: KEY_PREFIX + jobKey(uid), data: encodeJobRecord(record) }, ...more],
})

/**
 * A job goes to another part. Whatever else decides about it changes its own key or who owns its part, so one that is
 * carried out late undoes nothing.
 */
export const moveJobToShard = (
	known: RecordReader,
	owning: Condition,
	uid: string,
	job: { record: JobRecord; modRevision: number },
	to: number,
): TransactionContent => {
	const { conditions, mutations } = putJobRecord(known, uid, job.modRevision, { ...job.record, shardId: to })
	return { conditions: [owning, ...conditions], mutations }
}

/**
 * Final states of a part's jobs. Outcomes and cancellations alike change the part's page on condition of its modRevision:
 * of two that were made without knowing each other only one is carried out, and none that is late.
 */
export const recordTerminalJobs = (
	known: RecordReader,
	shardId: number,
	jobs: readonly TerminalJob[],
	room: PageLimits,
): { content: TransactionContent; taken: number } => {
	const { changes, taken } = appendToPage(shardId, known.get(terminalPageKey(shardId)), jobs, room)
	return {
		content: {
			conditions: [unchanged(known, terminalPageKey(shardId))],
			mutations: changes.map((c) => ({ set: KEY_PREFIX + c.key, data: c.data })),
		},
		taken,
	}
}

/** Final states under keys of their own, as the first form has them, move to a page. */
export const migrateTerminalRecords = (
	known: RecordReader,
	shardId: number,
	jobs: readonly { job: TerminalJob; modRevision: number }[],
	room: PageLimits,
): { content: TransactionContent; taken: number } => {
	const conditions: Condition[] = [
		unchanged(known, shardKey(shardId)),
		unchanged(known, terminalPageKey(shardId)),
	]
	const mutations: Mutation[] = []
	// Each keeps the revision at which it became final, so each is a batch of its own.
	let held = known.get(terminalPageKey(shardId))
	let taken = 0
	const pages = new Map<string, unknown>()
	for (const { job, modRevision } of jobs) {
		const one = appendToPage(shardId, held, [job], room, modRevision)
		if (one.changes.length > 1 && taken > 0) break
		for (const c of one.changes) pages.set(c.key, c.data)
		held = { data: pages.get(terminalPageKey(shardId)), modRevision: held?.modRevision ?? 0 }
		conditions.push({ key: KEY_PREFIX + jobKey(job.uid), modRevision })
		mutations.push({ delete: KEY_PREFIX + jobKey(job.uid) })
		taken++
	}
	for (const [key, data] of pages) mutations.unshift({ set: KEY_PREFIX + key, data })
	return { content: { conditions, mutations: mutations }, taken }
}

/** Pages whose final states are all in the archive are removed. */
export const deletePages = (
	known: RecordReader,
	shardId: number,
	keys: readonly string[],
): TransactionContent => ({
	conditions: [unchanged(known, shardKey(shardId)), ...keys.map((key) => unchanged(known, key))],
	mutations: keys.map((key) => ({ delete: KEY_PREFIX + key })),
})

/** The next turn. */
export const advanceArchivalEpoch = (known: RecordReader, record: HistoryRecord): TransactionContent => ({
	conditions: [archivalEpochCondition(known)],
	mutations: [{ set: KEY_PREFIX + HISTORY_KEY, data: encodeHistoryRecord(record) }],
})
