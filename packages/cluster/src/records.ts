import { isMap, type JobSpec } from '@heathroad/wire'

/** Keys below the root, and what they hold. */
export const partKey = (k: number): string => `part/${k}`
export const lastOwnerKey = (k: number): string => `last/${k}`
export const fleetKey = (name: string): string => `fleet/${name}`
export const jobKey = (uid: string): string => `job/${uid}`
export const chunkKey = (uid: string, c: number): string => `done/${uid}/${c}`
/** final states of a part's jobs that became durable lately: each of them changes this key */
export const overKey = (k: number): string => `over/${k}`
/** those that were there before, as of an epoch */
export const closedKey = (k: number, epoch: number): string => `over/${k}/${epoch}`
/** the form of the records, and the latest turn; without it they are of the first form */
export const HISTORY = 'history'
export const CATALOG = 'catalog'
/** a name of the whole installation that nobody else has, once something needs it */
export const INSTALLATION = 'installation'

export interface PartRecord {
	owner: string
	/** tells two lives of one controller apart */
	life: string
}

/**
 * Machines of one part that came together: a rental's, or those claimed at one time. One key for many machines,
 * since the state service counts changes and a machine would need three of its own.
 */
export interface FleetRecord {
	part: number
	type: string
	zone: string
	spot: boolean
	/** machines asked for under the record's name while the answer is not recorded yet; else 0 */
	asked: number
	/** machine -> its address from when it may have had start commands; null before */
	hosts: Record<string, string | null>
}

/** An unfinished job, or the compact form of its final state that is kept for ever. */
export interface JobRecord {
	part: number
	spec?: JobSpec
	/** time of day of its acceptance, in ms */
	at?: number
	/** done tasks among the first CHUNK, as flat ranges; further chunks have keys of their own */
	done?: number[]
	/** checks that have to release it before its first start, settled when it was accepted */
	checks?: readonly string[]
	final?: 'done' | 'aborted'
	tasks?: number
	count?: number
	need?: { team: string; cpus: number; gpus: number; ramGb: number }
}

/** The newest form of the records that this program knows. */
export const FORM = 2

export interface HistoryRecord {
	form: number
	turn: number
	/** may there be final states in keys of their own, as the first form has them? */
	legacy: boolean
}

export const asHistory = (data: unknown): HistoryRecord | null =>
	isMap(data) && typeof data.form === 'number' && typeof data.turn === 'number'
		? { form: data.form, turn: data.turn, legacy: data.legacy !== false }
		: null

/** Jobs accepted together, in one key of their own until each has one. */
export const asIntake = (data: unknown): JobRecord[] | null =>
	isMap(data) && Array.isArray(data.jobs) && data.jobs.every((r) => asJob(r)?.spec !== undefined)
		? (data.jobs as JobRecord[])
		: null

/** Tasks whose completion one key records: at worst 512 ranges, well below the smallest value limit. */
export const CHUNK = 1024

export const asPart = (data: unknown): PartRecord | null =>
	isMap(data) && typeof data.owner === 'string' && typeof data.life === 'string'
		? (data as unknown as PartRecord)
		: null

export const asFleet = (data: unknown): FleetRecord | null =>
	isMap(data) && typeof data.part === 'number' && isMap(data.hosts) ? (data as unknown as FleetRecord) : null

export const asJob = (data: unknown): JobRecord | null =>
	isMap(data) && typeof data.part === 'number' ? (data as unknown as JobRecord) : null

/** Tasks that an unfinished job's records call done; those of a wide array have keys of their own. */
export const recordedDone = (uid: string, record: JobRecord, read: (key: string) => unknown): number => {
	let count = 0
	const add = (flat: unknown) => {
		if (!Array.isArray(flat)) return
		for (let i = 0; i + 1 < flat.length; i += 2) count += Number(flat[i + 1]) - Number(flat[i])
	}
	add(record.done)
	for (let c = 1; c * CHUNK < (record.spec?.tasks ?? 0); c++) add(read(chunkKey(uid, c)))
	return count
}

/** Done tasks of a job that is over, for display. */
export const doneTasks = ({ final, tasks, count }: JobRecord): number =>
	(final === 'done' ? tasks : count) ?? 0

/** A stable number for a name, to spread unclaimed machines and limited teams over parts. */
export const hash = (name: string): number => {
	let h = 2166136261
	for (let i = 0; i < name.length; i++) h = Math.imul(h ^ name.charCodeAt(i), 16777619)
	return h >>> 0
}
