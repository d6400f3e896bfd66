/** Records of the state service as immutable values, for models that explore every interleaving. */
import { decodeJobRecord, decodeShardOwner, JobRegistry, shardKey } from '@heathroad/cluster'
import { KEY_PREFIX, type TransactionContent, WatchCache } from '@heathroad/store'

/** Records by key, without the prefix that all keys share. Never modified in place. */
export type Records = Readonly<Record<string, { data: unknown; modRevision: number }>>

/** What a controller knows of the records. May contain its own writes before it has received earlier changes. */
export interface View {
	revision: number
	records: Records
}

const JOB_PREFIX = 'job/'

const withoutPrefix = (key: string) => key.slice(KEY_PREFIX.length)

/** The records after a transaction that is applied at a revision; null: a condition is not met. */
export const applyTransaction = (
	records: Records,
	{ conditions, mutations }: TransactionContent,
	revision: number,
): Records | null => {
	const isMet = ({ key, modRevision }: TransactionContent['conditions'][number]) =>
		(records[withoutPrefix(key)]?.modRevision ?? 0) === modRevision
	if (!conditions.every(isMet)) return null
	const after: Record<string, Records[string]> = { ...records }
	for (const mutation of mutations)
		if ('set' in mutation) after[withoutPrefix(mutation.set)] = { data: mutation.data, modRevision: revision }
		else delete after[withoutPrefix(mutation.delete)]
	return after
}

/** A transaction without its condition on one key: the fault that a model injects. */
export const withoutCondition = (content: TransactionContent, key: string): TransactionContent => ({
	...content,
	conditions: content.conditions.filter((condition) => condition.key !== KEY_PREFIX + key),
})

/** The number of the controller that owns a shard; -1: none. */
export const ownerNumber = (records: Records, shardId: number): number =>
	Number(decodeShardOwner(records[shardKey(shardId)]?.data)?.owner ?? -1)

/** The views after one controller has received all changes. */
export const refreshView = (views: readonly View[], controller: number, latest: View): View[] =>
	views.map((view, index) =>
		index === controller ? { revision: latest.revision, records: latest.records } : view,
	)

/** The watch cache and the job registry of a controller with this view. */
export interface KnownRecords {
	cache: WatchCache
	registry: JobRegistry
}

const readKnownRecords = ({ revision, records }: View): KnownRecords => {
	const cache: WatchCache = new WatchCache(
		(key, entry, before) => {
			if (key.startsWith('over/')) registry.onTerminalPageChanged(key, entry, before)
			else if (key.startsWith('intake/')) registry.onBatchAccepted(entry?.data)
			else if (key.startsWith(JOB_PREFIX)) {
				const record = decodeJobRecord(entry?.data)
				if (record !== null) registry.onJobRecordChanged(key.slice(JOB_PREFIX.length), record)
			}
		},
		0,
		() => 0,
	)
	const registry = new JobRegistry(cache)
	const entries = Object.entries(records).map(([key, entry]) => ({ key: KEY_PREFIX + key, ...entry }))
	cache.replaceAll(Math.max(revision, ...entries.map(({ modRevision }) => modRevision)), entries)
	registry.dropJobsRemovedFromPages()
	return { cache, registry }
}

const knownRecordsCache = new WeakMap<Records, KnownRecords>()

/** Decodes a view with the service's own code; the result is cached by records. */
export const knownRecords = (view: View): KnownRecords => {
	const known = knownRecordsCache.get(view.records) ?? readKnownRecords(view)
	knownRecordsCache.set(view.records, known)
	return known
}
