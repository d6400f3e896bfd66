/** Records that controllers store in the state service, and their codecs. */
import { isMap, type JobSpec } from '@heathroad/wire'
import { fieldNameCodec } from './field-names.js'
import { progressChunkKey } from './record-keys.js'

/** Owner of a shard. */
export interface ShardOwnerRecord {
	owner: string
	/** Id of one run of the controller. */
	incarnation: string
}

/**
 * Machines of one shard that were rented or registered together. They share one key because the state service limits
 * changes per second, and a machine with a key of its own would need three changes.
 */
export interface MachineGroupRecord {
	shardId: number
	machineType: string
	zone: string
	spot: boolean
	/** Machines requested under the group's name whose rental is not recorded yet; 0 if none. */
	requestedCount: number
	/** Machine -> its address; null until it may have received start commands. */
	addresses: Record<string, string | null>
}

/** A job that is not terminal, or the compact form of a terminal job, which is kept indefinitely. */
export interface JobRecord {
	shardId: number
	spec?: JobSpec
	/** Wall-clock time of its acceptance, in ms. */
	acceptedAtMs?: number
	/** Done tasks among the first `TASKS_PER_CHUNK`, as flat ranges: from, to, from, to; other chunks have their own keys. */
	doneRanges?: number[]
	/** Admission checks that must release the job before its first start; fixed at its acceptance. */
	requiredChecks?: readonly string[]
	/** The job has moved between shards: its own key outlives its terminal state until a new archival epoch begins. */
	moved?: true
	finalState?: 'done' | 'aborted'
	taskCount?: number
	doneCount?: number
	resources?: { team: string; cpus: number; gpus: number; ramGb: number }
}

/** The newest record format that this version supports. */
export const RECORD_FORMAT = 2

/** Value of `HISTORY_KEY`: the record format and the archival epoch. */
export interface HistoryRecord {
	format: number
	archivalEpoch: number
	/** Whether there may be terminal states under keys of their own, as in the first format. */
	legacy: boolean
}

/** Decodes a history record; null if it is absent or malformed. */
export const decodeHistoryRecord = (data: unknown): HistoryRecord | null =>
	isMap(data) && typeof data.form === 'number' && typeof data.turn === 'number'
		? { format: data.form, archivalEpoch: data.turn, legacy: data.legacy !== false }
		: null

/** Encodes a history record for storage. */
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

/** Encodes a job's record for storage. */
export const encodeJobRecord = (record: JobRecord): Record<string, unknown> => jobRecordCodec.encode(record)

/** Decodes a job's record; null if it is absent or malformed. */
export const decodeJobRecord = (data: unknown): JobRecord | null =>
	isMap(data) && typeof data.part === 'number' ? jobRecordCodec.decode(data) : null

/** A job's record as it was accepted, with the full specification. */
export type AcceptedJobRecord = JobRecord & { spec: JobSpec }

const hasSpec = (record: JobRecord | null): record is AcceptedJobRecord => record?.spec !== undefined

/** Decoded batches by stored object: batches are read far more often than they change. */
const acceptedBatches = new WeakMap<object, AcceptedJobRecord[]>()

/** Decodes an accepted batch: one key for jobs accepted together, until each has its own; null if absent or malformed. */
export const decodeAcceptedBatch = (data: unknown): AcceptedJobRecord[] | null => {
	if (!isMap(data) || !Array.isArray(data.jobs)) return null
	const cached = acceptedBatches.get(data)
	if (cached !== undefined) return cached
	const records: AcceptedJobRecord[] = []
	for (const item of data.jobs) {
		const record = decodeJobRecord(item)
		if (!hasSpec(record)) return null
		records.push(record)
	}
	acceptedBatches.set(data, records)
	return records
}

/** Encodes an accepted batch for storage. */
export const encodeAcceptedBatch = (jobs: readonly JobRecord[]): unknown => ({
	jobs: jobs.map(encodeJobRecord),
})

/** Number of tasks whose completion one key records: at worst 512 ranges, well below the smallest value limit. */
export const TASKS_PER_CHUNK = 1024

const shardOwnerCodec = fieldNameCodec<ShardOwnerRecord>({ incarnation: 'life' })

/** Encodes a shard's owner for storage. */
export const encodeShardOwner = (record: ShardOwnerRecord): unknown => shardOwnerCodec.encode(record)

/** Decodes a shard's owner; null if the shard has none or the record is malformed. */
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

/** Encodes a machine group for storage. */
export const encodeMachineGroup = (record: MachineGroupRecord): unknown => machineGroupCodec.encode(record)

/** Decodes a machine group; null if it is absent or malformed. */
export const decodeMachineGroup = (data: unknown): MachineGroupRecord | null =>
	isMap(data) && typeof data.part === 'number' && isMap(data.hosts) ? machineGroupCodec.decode(data) : null

/** Number of tasks in flat ranges; 0 for anything but an array. */
const countInRanges = (flatRanges: unknown): number => {
	if (!Array.isArray(flatRanges)) return 0
	let count = 0
	for (let index = 0; index + 1 < flatRanges.length; index += 2)
		count += Number(flatRanges[index + 1]) - Number(flatRanges[index])
	return count
}

/**
 * Number of done tasks in the records of a job that is not terminal. `read` returns the value of a key; the tasks after
 * the first chunk are recorded under keys of their own.
 */
export const countRecordedDone = (uid: string, record: JobRecord, read: (key: string) => unknown): number => {
	let count = countInRanges(record.doneRanges)
	for (let chunk = 1; chunk * TASKS_PER_CHUNK < (record.spec?.tasks ?? 0); chunk++)
		count += countInRanges(read(progressChunkKey(uid, chunk)))
	return count
}

/** Number of done tasks of a terminal job, for display. */
export const terminalDoneCount = ({ finalState, taskCount, doneCount }: JobRecord): number =>
	(finalState === 'done' ? taskCount : doneCount) ?? 0
