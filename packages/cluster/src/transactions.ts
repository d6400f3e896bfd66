/** Transactions that change job records, with conditions that keep each of them safe even if it is applied late. */
import { KEY_PREFIX, type TransactionContent } from '@heathroad/store'
import type { Condition, Mutation } from '@heathroad/wire'
import { HISTORY_KEY, jobKey, shardKey } from './record-keys.js'
import {
	type AcceptedJobRecord,
	encodeAcceptedBatch,
	encodeHistoryRecord,
	encodeJobRecord,
	type HistoryRecord,
	type JobRecord,
} from './records.js'

/** Read access to the records, as in the watch cache. */
export interface RecordReader {
	get(key: string): { data: unknown; modRevision: number } | undefined
	/** 0 if the key is absent */
	modRevision(key: string): number
}

/** A job's record as a writer has read it, and the mod revision of its own key; 0: an accepted batch holds the record. */
export interface KnownJob {
	record: JobRecord
	modRevision: number
}

/** Condition that a key has not changed since it was read. */
export const unchanged = (records: RecordReader, key: string): Condition => ({
	key: KEY_PREFIX + key,
	modRevision: records.modRevision(key),
})

/**
 * Condition of every write of a job's record or terminal state: the archival epoch in which the write was made has not
 * ended. A terminal state is dropped from memory, and the own key of a job that has moved is deleted, only when an epoch
 * began after the state, so a write for its job either was made with knowledge of the state, or fails, however late it
 * arrives.
 */
export const archivalEpochCondition = (records: RecordReader): Condition => unchanged(records, HISTORY_KEY)

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

/** Deletes pages whose terminal states are all in the archive. */
export const deletePages = (
	records: RecordReader,
	shardId: number,
	keys: readonly string[],
): TransactionContent => ({
	conditions: [unchanged(records, shardKey(shardId)), ...keys.map((key) => unchanged(records, key))],
	mutations: keys.map((key) => ({ delete: KEY_PREFIX + key })),
})

/**
 * Starts the next archival epoch, or changes the record format. Its writer must learn of the new epoch from the watch, after
 * all earlier changes, and not from the answer: a write of the new epoch has to be based on all terminal states before it.
 */
export const advanceArchivalEpoch = (records: RecordReader, next: HistoryRecord): TransactionContent => ({
	conditions: [archivalEpochCondition(records)],
	mutations: [{ set: KEY_PREFIX + HISTORY_KEY, data: encodeHistoryRecord(next) }],
})
