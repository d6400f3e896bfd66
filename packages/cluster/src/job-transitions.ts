/**
 * Transitions of jobs: the writes that make jobs terminal (outcomes, cancellations, and moves of the first format's states to
 * pages) or move open jobs between shards. All of them have the `transitionConditions`, so that a job has at most one
 * terminal state, whichever controllers write, and whenever their writes are applied.
 */
import { KEY_PREFIX, type TransactionContent } from '@heathroad/store'
import type { Condition, Mutation } from '@heathroad/wire'
import { HISTORY_KEY, jobKey, shardKey, terminalPageKey } from './record-keys.js'
import type { JobRecord } from './records.js'
import { appendToPage, type PageLimits, type TerminalJob } from './terminal-pages.js'
import {
	archivalEpochCondition,
	type KnownJob,
	putJobRecord,
	type RecordReader,
	unchanged,
} from './transactions.js'

/** A transaction, and the number of given jobs that it contains. */
export interface PartialTransaction {
	content: TransactionContent
	taken: number
}

/** A terminal state to write, and the open record of the job on which it is based. */
export interface TerminalWrite {
	job: TerminalJob
	known: KnownJob
}

/** Number of conditions of an outcome that do not belong to one of its jobs: the shard's owner, its page and the epoch. */
export const SHARED_OUTCOME_CONDITIONS = 3

/**
 * The conditions of every transition of jobs out of the open state in their shard: becoming terminal, and moving to another
 * shard.
 *
 * - The shard's open page is unchanged. A job becomes terminal on the page of its shard, so a transition after that either was
 *   made with knowledge of the terminal state, or fails.
 * - Each job's own key has the mod revision of the record that assigned the job to this shard. A move changes the own key, so
 *   a transition in the shard that a job has left fails.
 * - The archival epoch has not ended. Within one epoch no terminal state leaves the pages, and the own key of a job that has
 *   moved is not deleted: an own key that is absent, as it was when the writer read the job's record, means that the job has
 *   not moved since.
 *
 * @param shardId the shard to which the records assign the jobs
 * @param jobs `modRevision`: of the job's own key, when the record was read that assigns it to the shard
 */
export const transitionConditions = (
	records: RecordReader,
	shardId: number,
	jobs: readonly { uid: string; modRevision: number }[],
): Condition[] => [
	unchanged(records, terminalPageKey(shardId)),
	archivalEpochCondition(records),
	...jobs.map(({ uid, modRevision }) => ({ key: KEY_PREFIX + jobKey(uid), modRevision })),
]

/** Moves an open job to another shard. A move always changes the job's own key: `transitionConditions` relies on it. */
export const moveJobToShard = (
	records: RecordReader,
	ownership: Condition,
	uid: string,
	{ record, modRevision }: KnownJob,
	shardId: number,
): TransactionContent => {
	// In the first record format own keys are not deleted, so that the mark is not needed.
	const mark = records.get(HISTORY_KEY) === undefined ? {} : { moved: true as const }
	const moved: JobRecord = { ...record, shardId, ...mark }
	return {
		conditions: [ownership, ...transitionConditions(records, record.shardId, [{ uid, modRevision }])],
		mutations: putJobRecord(records, uid, modRevision, moved).mutations,
	}
}

/**
 * Records terminal states of jobs of one shard, as many from the start of the list as fit on a page.
 * @throws RangeError if the records assign the jobs to different shards, or show one of them as terminal
 */
export const recordTerminalJobs = (
	records: RecordReader,
	writes: readonly TerminalWrite[],
	limits: PageLimits,
): PartialTransaction => {
	const { shardId } = writes[0].known.record
	for (const { job, known } of writes)
		if (known.record.shardId !== shardId || known.record.finalState !== undefined)
			throw new RangeError(`${job.uid} is terminal or not in shard ${shardId}`)
	const jobs = writes.map(({ job }) => job)
	const { changes, taken } = appendToPage(shardId, records.get(terminalPageKey(shardId)), jobs, limits)
	const revisions = writes
		.slice(0, taken)
		.map(({ job, known }) => ({ uid: job.uid, modRevision: known.modRevision }))
	return {
		content: {
			conditions: transitionConditions(records, shardId, revisions),
			mutations: changes.map(({ key, data }) => ({ set: KEY_PREFIX + key, data })),
		},
		taken,
	}
}

/**
 * Cancels a job. In the second record format the job's own key is written too, until it is deleted as obsolete: an owner
 * that has not received the cancellation must not write progress or move the job after it.
 */
export const cancelJob = (
	records: RecordReader,
	{ job, known }: TerminalWrite,
	limits: PageLimits,
): TransactionContent => {
	const cancelled: JobRecord = {
		shardId: known.record.shardId,
		finalState: 'aborted',
		taskCount: job.taskCount,
		resources: job.resources,
		doneCount: job.doneCount,
		...(known.record.moved === undefined ? {} : { moved: known.record.moved }),
	}
	const ownKey = putJobRecord(records, job.uid, known.modRevision, cancelled)
	if (records.get(HISTORY_KEY) === undefined) return ownKey
	const { content } = recordTerminalJobs(records, [{ job, known }], limits)
	return { conditions: content.conditions, mutations: [...content.mutations, ...ownKey.mutations] }
}

/**
 * Moves terminal states from keys of their own, as in the first format, to a page. Those keys were written before the first
 * archival epoch, so deleting them cannot make a write of a later epoch take them for keys that never existed.
 * @param jobs must not be on a page already; `modRevision`: of the own key that holds the state
 */
export const migrateTerminalRecords = (
	records: RecordReader,
	shardId: number,
	jobs: readonly { job: TerminalJob; modRevision: number }[],
	limits: PageLimits,
): PartialTransaction => {
	const pageKey = terminalPageKey(shardId)
	const moved: { uid: string; modRevision: number }[] = []
	const pages = new Map<string, unknown>()
	let openPage = records.get(pageKey)
	for (const { job, modRevision } of jobs) {
		// Each state keeps the revision at which it became durable, so each forms a batch of its own.
		const { changes } = appendToPage(shardId, openPage, [job], limits, modRevision)
		const closesPage = changes.length > 1
		if (closesPage && moved.length > 0) break
		for (const { key, data } of changes) pages.set(key, data)
		openPage = { data: pages.get(pageKey), modRevision: openPage?.modRevision ?? 0 }
		moved.push({ uid: job.uid, modRevision })
	}
	const mutations: Mutation[] = moved.map(({ uid }) => ({ delete: KEY_PREFIX + jobKey(uid) }))
	for (const [key, data] of pages) mutations.unshift({ set: KEY_PREFIX + key, data })
	const conditions = [unchanged(records, shardKey(shardId)), ...transitionConditions(records, shardId, moved)]
	return { content: { conditions, mutations }, taken: moved.length }
}
