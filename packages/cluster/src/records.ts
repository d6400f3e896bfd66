/** Records that controllers keep at the state service, and the codecs of their stored forms. */
import { isMap, type JobSpec } from '@heathroad/wire'
import { fieldNameCodec } from './field-names.js'
import { progressChunkKey } from './record-keys.js'

/** The owner of a shard. */
export interface ShardOwnerRecord {
	owner: string
	/** Tells two runs of one controller apart. */
	incarnation: string
}

/**
 * Machines of one shard that were rented or registered together. One key holds many machines, since the state service
 * limits changes per second and a machine with a key of its own would need three of them.
 */
export interface MachineGroupRecord {
	shardId: number
	machineType: string
	zone: string
	spot: boolean
	/** Machines requested under the group's name whose rental is not recorded yet; else 0. */
	requestedCount: number
	/** Machine -> its address, once it may have received start commands; null before. */
	addresses: Record<string, string | null>
}

/** A job that is not over, or the compact form of one that is, which is kept for ever. */
export interface JobRecord {
	shardId: number
	spec?: JobSpec
	/** Wall-clock time of its acceptance, in ms. */
	acceptedAtMs?: number
	/** Done tasks among the first `TASKS_PER_CHUNK`, as flat ranges: from, to, from, to; further chunks have keys of their own. */
	doneRanges?: number[]
	/** Admission checks that have to release it before its first start, fixed at its acceptance. */
	requiredChecks?: readonly string[]
	finalState?: 'done' | 'aborted'
	taskCount?: number
	doneCount?: number
	resources?: { team: string; cpus: number; gpus: number; ramGb: number }
}

/** The newest format of the records that this program knows. */
export const RECORD_FORMAT = 2

/** What `HISTORY_KEY` holds: the format of the records, and the archival epoch. */
export interface HistoryRecord {
	format: number
	archivalEpoch: number
	/** May there be terminal states in keys of their own, as in the first format? */
	legacy: boolean
}

/** Decodes the record of the format; null: it is absent or malformed. */
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

const hasSpec = (record: JobRecord | null): record is AcceptedJobRecord => record?.spec !== undefined

/** Batches by their stored form: they are read far more often than they change. */
const acceptedBatches = new WeakMap<object, AcceptedJobRecord[]>()

/** Decodes a batch of jobs accepted together, in one key of their own until each has one; null: absent or malformed. */
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

/** How many tasks flat ranges hold; anything but an array holds none. */
const countInRanges = (flatRanges: unknown): number => {
	if (!Array.isArray(flatRanges)) return 0
	let count = 0
	for (let index = 0; index + 1 < flatRanges.length; index += 2)
		count += Number(flatRanges[index + 1]) - Number(flatRanges[index])
	return count
}

/**
 * Tasks that the records of a job that is not over call done. Those of a wide job have keys of their own, which `read`
 * gets the content of.
 */
export const countRecordedDone = (uid: string, record: JobRecord, read: (key: string) => unknown): number => {
	let count = countInRanges(record.doneRanges)
	for (let chunk = 1; chunk * TASKS_PER_CHUNK < (record.spec?.tasks ?? 0); chunk++)
		count += countInRanges(read(progressChunkKey(uid, chunk)))
	return count
}

/** Done tasks of a job that is over, for display. */
export const terminalDoneCount = ({ finalState, taskCount, doneCount }: JobRecord): number =>
	(finalState === 'done' ? taskCount : doneCount) ?? 0
