/** Transactions that change job records, with conditions that keep each of them safe even if it is applied late. */
import { KEY_PREFIX, type TransactionContent } from '@heathroad/store'
import type { Condition, Mutation } from '@heathroad/wire'
import { HISTORY_KEY, jobKey, shardKey, terminalPageKey } from './record-keys.js'
import {
	type AcceptedJobRecord,
	encodeAcceptedBatch,
	encodeHistoryRecord,
	encodeJobRecord,
	type HistoryRecord,
	type JobRecord,
} from './records.js'
import { appendToPage, type PageLimits, type TerminalJob } from './terminal-pages.js'

/** Read access to the records, as in the watch cache. */
export interface RecordReader {
	get(key: string): { data: unknown; modRevision: number } | undefined
	/** 0 if the key is absent */
	modRevision(key: string): number
}

/** A transaction, and the number of given jobs that it contains. */
export interface PartialTransaction {
	content: TransactionContent
	taken: number
}

const unchanged = (records: RecordReader, key: string): Condition => ({
	key: KEY_PREFIX + key,
	modRevision: records.modRevision(key),
})

/**
 * Condition of every write that records a job as not terminal: the archival epoch in which the write was made has not ended.
 * A terminal state is dropped from memory only when an epoch began after it, so a write for its job either was made with
 * knowledge of the state, or fails, however late it arrives.
 */
const archivalEpochCondition = (records: RecordReader): Condition => unchanged(records, HISTORY_KEY)

/**
 * Accepts jobs in one batch, under a key that was never used before, or by overwriting an obsolete batch that has the given
 * `modRevision`.
 */
export const acceptJobs = (
	records: RecordReader,
	key: string,
	jobs: readonly AcceptedJobRecord[],
	modRevision = 0,
): TransactionContent => ({
	conditions: [
		{ key: KEY_PREFIX + key, modRevision },
		archivalEpochCondition(records),
		...jobs.map((job) => ({ key: KEY_PREFIX + jobKey(job.spec.uid), modRevision: 0 })),
	],
	mutations: [{ set: KEY_PREFIX + key, data: encodeAcceptedBatch(jobs) }],
})

/** Writes a job's record under its own key, on condition of the key's mod revision. */
export const putJobRecord = (
	records: RecordReader,
	uid: string,
	modRevision: number,
	record: JobRecord,
	more: readonly Mutation[] = [],
): TransactionContent => ({
	conditions: [{ key: KEY_PREFIX + jobKey(uid), modRevision }, archivalEpochCondition(records)],
	mutations: [{ set: KEY_PREFIX + jobKey(uid), data: encodeJobRecord(record) }, ...more],
})

/**
 * Moves a job to another shard. Every other decision about the job changes its own key or the owner of its shard, so a late
 * move cannot undo it.
 */
export const moveJobToShard = (
	records: RecordReader,
	ownership: Condition,
	uid: string,
	job: { record: JobRecord; modRevision: number },
	shardId: number,
): TransactionContent => {
	const { conditions, mutations } = putJobRecord(records, uid, job.modRevision, { ...job.record, shardId })
	return { conditions: [ownership, ...conditions], mutations }
}

/**
 * Records terminal states of a shard's jobs. Outcomes and cancellations both change the shard's page on condition of its
 * mod revision: of two concurrent ones only one is applied, and a late one is never applied.
 */
export const recordTerminalJobs = (
	records: RecordReader,
	shardId: number,
	jobs: readonly TerminalJob[],
	limits: PageLimits,
): PartialTransaction => {
	const pageKey = terminalPageKey(shardId)
	const { changes, taken } = appendToPage(shardId, records.get(pageKey), jobs, limits)
	return {
		content: {
			conditions: [unchanged(records, pageKey)],
			mutations: changes.map(({ key, data }) => ({ set: KEY_PREFIX + key, data })),
		},
		taken,
	}
}

/** Moves terminal states from keys of their own, as in the first format, to a page. */
export const migrateTerminalRecords = (
	records: RecordReader,
	shardId: number,
	jobs: readonly { job: TerminalJob; modRevision: number }[],
	limits: PageLimits,
): PartialTransaction => {
	const pageKey = terminalPageKey(shardId)
	const conditions: Condition[] = [unchanged(records, shardKey(shardId)), unchanged(records, pageKey)]
	const mutations: Mutation[] = []
	const pages = new Map<string, unknown>()
	let openPage = records.get(pageKey)
	let taken = 0
	for (const { job, modRevision } of jobs) {
		// Each state keeps the revision at which it became durable, so each forms a batch of its own.
		const { changes } = appendToPage(shardId, openPage, [job], limits, modRevision)
		const closesPage = changes.length > 1
		if (closesPage && taken > 0) break
		for (const { key, data } of changes) pages.set(key, data)
		openPage = { data: pages.get(pageKey), modRevision: openPage?.modRevision ?? 0 }
		conditions.push({ key: KEY_PREFIX + jobKey(job.uid), modRevision })
		mutations.push({ delete: KEY_PREFIX + jobKey(job.uid) })
		taken++
	}
	for (const [key, data] of pages) mutations.unshift({ set: KEY_PREFIX + key, data })
	return { content: { conditions, mutations }, taken }
}

/** Deletes pages whose terminal states are all in the archive. */
export const deletePages = (
	records: RecordReader,
	shardId: number,
	keys: readonly string[],
): TransactionContent => ({
	conditions: [unchanged(records, shardKey(shardId)), ...keys.map((key) => unchanged(records, key))],
	mutations: keys.map((key) => ({ delete: KEY_PREFIX + key })),
})

/** Starts the next archival epoch, or changes the record format. */
export const advanceArchivalEpoch = (records: RecordReader, next: HistoryRecord): TransactionContent => ({
	conditions: [archivalEpochCondition(records)],
	mutations: [{ set: KEY_PREFIX + HISTORY_KEY, data: encodeHistoryRecord(next) }],
})
