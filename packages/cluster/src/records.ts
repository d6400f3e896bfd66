import { isMap, type JobSpec } from '@heathroad/wire'
import { fieldNameCodec } from './field-names.js'

/** Keys below the root, and what they hold. */
export const shardKey = (shardId: number): string => `part/${shardId}`
export const lastOwnerKey = (shardId: number): string => `last/${shardId}`
export const machineGroupKey = (name: string): string => `fleet/${name}`
export const jobKey = (uid: string): string => `job/${uid}`
export const progressChunkKey = (uid: string, c: number): string => `done/${uid}/${c}`
/** final states of a part's jobs that became durable lately: each of them changes this key */
export const terminalPageKey = (shardId: number): string => `over/${shardId}`
/** those that were there before, as of an revision */
export const closedPageKey = (shardId: number, revision: number): string => `over/${shardId}/${revision}`
/** the form of the records, and the latest turn; without it they are of the first form */
export const HISTORY_KEY = 'history'
export const CATALOG_KEY = 'catalog'
/** a name of the whole installation that nobody else has, once something needs it */
export const INSTALLATION_KEY = 'installation'

export interface ShardOwnerRecord {
	owner: string
	/** tells two lives of one controller apart */
	incarnation: string
}

/**
 * Machines of one part that came together: a rental's, or those claimed at one time. One key for many machines,
 * since the state service counts changes and a machine would need three of its own.
 */
export interface MachineGroupRecord {
	shardId: number
	machineType: string
	zone: string
	spot: boolean
	/** machines asked for under the record's name while the answer is not recorded yet; else 0 */
	requestedCount: number
	/** machine -> its address from when it may have had start commands; null before */
	addresses: Record<string, string | null>
}

/** An unfinished job, or the compact form of its final state that is kept for ever. */
export interface JobRecord {
	shardId: number
	spec?: JobSpec
	/** time of day of its acceptance, in ms */
	acceptedAtMs?: number
	/** done tasks among the first CHUNK, as flat ranges; further chunks have keys of their own */
	doneRanges?: number[]
	/** checks that have to release it before its first start, settled when it was accepted */
	requiredChecks?: readonly string[]
	finalState?: 'done' | 'aborted'
	taskCount?: number
	doneCount?: number
	resources?: { team: string; cpus: number; gpus: number; ramGb: number }
}

/** The newest form of the records that this program knows. */
export const RECORD_FORMAT = 2

export interface HistoryRecord {
	format: number
	archivalEpoch: number
	/** may there be final states in keys of their own, as the first form has them? */
	legacy: boolean
}

/** Decodes the record of the form; null: it is absent or malformed. */
export const decodeHistoryRecord = (data: unknown): HistoryRecord | null =>
	isMap(data) && typeof data.form === 'number' && typeof data.turn === 'number'
		? { format: data.form, archivalEpoch: data.turn, legacy: data.legacy !== false }
		: null

/** The stored form of a history record. */
export const encodeHistoryRecord = ({ format, archivalEpoch, legacy }: HistoryRecord): unknown => ({
	form: format,
	turn: archivalEpoch,
	legacy,
})

const jobRecordCodec = fieldNameCodec<JobRecord>({
	shardId: 'part',
	acceptedAtMs: 'at',
	doneRanges: 'done',
	requiredChecks: 'checks',
	finalState: 'final',
	taskCount: 'tasks',
	doneCount: 'count',
	resources: 'need',
})

/** The stored form of a job's record. */
export const encodeJobRecord = (record: JobRecord): Record<string, unknown> => jobRecordCodec.encode(record)

/** Decodes a job's record; null: it is absent or malformed. */
export const decodeJobRecord = (data: unknown): JobRecord | null =>
	isMap(data) && typeof data.part === 'number' ? jobRecordCodec.decode(data) : null

/** A job's record as it was accepted: it names the whole specification. */
export type AcceptedJobRecord = JobRecord & { spec: JobSpec }

const acceptedBatches = new WeakMap<object, AcceptedJobRecord[]>()

/** Decodes a batch of jobs accepted together, in one key of their own until each has one; null: absent or malformed. */
export const decodeAcceptedBatch = (data: unknown): AcceptedJobRecord[] | null => {
	if (!isMap(data) || !Array.isArray(data.jobs)) return null
	const known = acceptedBatches.get(data)
	if (known !== undefined) return known
	const records: AcceptedJobRecord[] = []
	for (const item of data.jobs) {
		const record = decodeJobRecord(item)
		if (record?.spec === undefined) return null
		records.push(record as AcceptedJobRecord)
	}
	acceptedBatches.set(data, records)
	return records
}

/** The stored form of a batch of jobs accepted together. */
export const encodeAcceptedBatch = (jobs: readonly JobRecord[]): unknown => ({
	jobs: jobs.map(encodeJobRecord),
})

/** Tasks whose completion one key records: at worst 512 ranges, well below the smallest value limit. */
export const TASKS_PER_CHUNK = 1024

const shardOwnerCodec = fieldNameCodec<ShardOwnerRecord>({ incarnation: 'life' })

/** The stored form of a shard's owner. */
export const encodeShardOwner = (record: ShardOwnerRecord): unknown => shardOwnerCodec.encode(record)

/** Decodes the owner of a shard; null: the shard has none, or the record is malformed. */
export const decodeShardOwner = (data: unknown): ShardOwnerRecord | null =>
	isMap(data) && typeof data.owner === 'string' && typeof data.life === 'string'
		? shardOwnerCodec.decode(data)
		: null

const machineGroupCodec = fieldNameCodec<MachineGroupRecord>({
	shardId: 'part',
	machineType: 'type',
	requestedCount: 'asked',
	addresses: 'hosts',
})

/** The stored form of a machine group. */
export const encodeMachineGroup = (record: MachineGroupRecord): unknown => machineGroupCodec.encode(record)

/** Decodes a machine group; null: it is absent or malformed. */
export const decodeMachineGroup = (data: unknown): MachineGroupRecord | null =>
	isMap(data) && typeof data.part === 'number' && isMap(data.hosts) ? machineGroupCodec.decode(data) : null

/** Tasks that an unfinished job's records call done; those of a wide array have keys of their own. */
export const countRecordedDone = (uid: string, record: JobRecord, read: (key: string) => unknown): number => {
	let count = 0
	const add = (flat: unknown) => {
		if (!Array.isArray(flat)) return
		for (let i = 0; i + 1 < flat.length; i += 2) count += Number(flat[i + 1]) - Number(flat[i])
	}
	add(record.doneRanges)
	for (let c = 1; c * TASKS_PER_CHUNK < (record.spec?.tasks ?? 0); c++) add(read(progressChunkKey(uid, c)))
	return count
}

/** Done tasks of a job that is over, for display. */
export const terminalDoneCount = ({
	finalState: final,
	taskCount: tasks,
	doneCount: count,
}: JobRecord): number => (final === 'done' ? tasks : count) ?? 0

/** A stable number for a name, to spread unclaimed machines and limited teams over parts. */
export const hashName = (name: string): number => {
	let h = 2166136261
	for (let i = 0; i < name.length; i++) h = Math.imul(h ^ name.charCodeAt(i), 16777619)
	return h >>> 0
}
