/** Records at the state service as values, for models whose every history is explored. */
import { decodeJobRecord, decodeShardOwner, JobRegistry, shardKey } from '@heathroad/cluster'
import { KEY_PREFIX, type TransactionContent, WatchCache } from '@heathroad/store'

/** Records by key, without the prefix that all keys share. Never changed in place. */
export type Records = Readonly<Record<string, { data: unknown; modRevision: number }>>

/** What a controller knows of the records. Its own writes are in it before changes that came earlier. */
export interface View {
	revision: number
	records: Records
}

const JOB_PREFIX = 'job/'

const withoutPrefix = (key: string) => key.slice(KEY_PREFIX.length)

/** The records after a transaction that changes them at a revision; null: a condition does not hold. */
export const applyTransaction = (
	records: Records,
	{ conditions, mutations }: TransactionContent,
	revision: number,
): Records | null => {
	const holds = ({ key, modRevision }: TransactionContent['conditions'][number]) =>
		(records[withoutPrefix(key)]?.modRevision ?? 0) === modRevision
	if (!conditions.every(holds)) return null
	const after: Record<string, Records[string]> = { ...records }
	for (const mutation of mutations)
		if ('set' in mutation) after[withoutPrefix(mutation.set)] = { data: mutation.data, modRevision: revision }
		else delete after[withoutPrefix(mutation.delete)]
	return after
}

/** A transaction without its condition on one key: the fault that a model puts into the service. */
export const withoutCondition = (content: TransactionContent, key: string): TransactionContent => ({
	...content,
	conditions: content.conditions.filter((condition) => condition.key !== KEY_PREFIX + key),
})

/** The owner of a shard, by number; -1: none. */
export const ownerNumber = (records: Records, shardId: number): number =>
	Number(decodeShardOwner(records[shardKey(shardId)]?.data)?.owner ?? -1)

/** The views after one controller has received all changes. */
export const refreshView = (views: readonly View[], controller: number, latest: View): View[] =>
	views.map((view, index) =>
		index === controller ? { revision: latest.revision, records: latest.records } : view,
	)

/** The watch cache and the job registry of a controller that knows the view. */
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

const knownByRecords = new WeakMap<Records, KnownRecords>()

/** Reads a view with the service's own code. The same records are read once. */
export const knownRecords = (view: View): KnownRecords => {
	const known = knownByRecords.get(view.records) ?? readKnownRecords(view)
	knownByRecords.set(view.records, known)
	return known
}
