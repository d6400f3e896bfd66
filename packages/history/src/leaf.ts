import { deflateRawSync, inflateRawSync } from 'node:zlib'
import { isMap } from '@heathroad/wire'
import { levelPrefix, ORDINAL_END } from './order.js'

/** A job that is over, as it is kept for ever. Counts are of tasks. */
export interface ArchivedJob {
	/** `ordinal` of its id */
	ordinal: string
	aborted: boolean
	taskCount: number
	doneCount: number
	/** of the change that made it durable: streams tell what came before a cursor from what came after it */
	revision: number
}

/** A record of the archive: the final states of one range of ids, packed. */
export interface ArchivePage {
	from: string
	/** not part of it */
	to: string
	/** how often its range was split */
	depth: number
	/** some of its range may lie in the level below */
	deeper: boolean
	packed: string
	/** of its key; 0: the level has no leaf yet, and this one stands for it */
	modRevision: number
}

/** A record of the archive that this program cannot read. */
export class InvalidArchivePage extends Error {}

/** What a packed leaf holds, by columns, since like figures compress well together. */
interface Columns {
	/** by width of the ids: the width, and the numbers, each less the one before it */
	ids: [width: number, steps: string][]
	done: number[]
	/** of those aborted: their index and their tasks; all tasks of the others are done */
	aborted: [index: number, tasks: number][]
	/** least revision, and what each lies above it */
	epoch: number
	epochs: number[]
}

const byPlace = (a: ArchivedJob, b: ArchivedJob): number =>
	a.ordinal < b.ordinal ? -1 : a.ordinal > b.ordinal ? 1 : 0

/** Packs final states, which must be in order and distinct. */
export const packJobs = (items: readonly ArchivedJob[]): string => {
	if (items.length === 0) return ''
	const leastRevision = items.reduce((least, job) => Math.min(least, job.revision), Number.POSITIVE_INFINITY)
	const columns: Columns = { ids: [], done: [], aborted: [], epoch: leastRevision, epochs: [] }
	let width = -1
	let before = 0n
	let steps: string[] = []
	const close = () => {
		if (steps.length > 0) columns.ids.push([width, steps.join(',')])
	}
	for (const [i, job] of items.entries()) {
		const w = Number(job.ordinal.slice(0, 2))
		const n = BigInt(job.ordinal.slice(2))
		if (w !== width) {
			close()
			steps = []
			width = w
			before = 0n
		}
		steps.push(String(n - before))
		before = n
		columns.done.push(job.doneCount)
		if (job.aborted) columns.aborted.push([i, job.taskCount])
		columns.epochs.push(job.revision - leastRevision)
	}
	close()
	return deflateRawSync(JSON.stringify(columns)).toString('base64')
}

/** The final states of a packed leaf, in order. Throws `BadLeaf`. */
export const unpackJobs = (packed: string): ArchivedJob[] => {
	if (packed === '') return []
	try {
		const c = JSON.parse(inflateRawSync(Buffer.from(packed, 'base64')).toString()) as Columns
		const out: ArchivedJob[] = []
		for (const [width, steps] of c.ids) {
			let n = 0n
			const head = String(width).padStart(2, '0')
			for (const step of steps.split(',')) {
				n += BigInt(step)
				const done = c.done[out.length]
				const at = head + String(n).padStart(width, '0')
				out.push({
					ordinal: at,
					aborted: false,
					taskCount: done,
					doneCount: done,
					revision: c.epoch + c.epochs[out.length],
				})
			}
		}
		for (const [i, tasks] of c.aborted) {
			out[i].aborted = true
			out[i].taskCount = tasks
		}
		const whole = out.every(
			(job, i) =>
				Number.isFinite(job.doneCount) &&
				Number.isFinite(job.revision) &&
				(i === 0 || out[i - 1].ordinal < job.ordinal),
		)
		if (!whole || c.done.length !== out.length) throw new Error('columns that do not fit together')
		return out
	} catch (e) {
		throw new InvalidArchivePage((e as Error).message)
	}
}

/** One of a sorted list. */
export const findByOrdinal = (items: readonly ArchivedJob[], at: string): ArchivedJob | undefined => {
	let from = 0
	let to = items.length
	while (from < to) {
		const middle = (from + to) >> 1
		if (items[middle].ordinal < at) from = middle + 1
		else to = middle
	}
	return items[from]?.ordinal === at ? items[from] : undefined
}

/** Numbers of so many digits are exact as they are. */
const EXACT_DIGITS = 15

/**
 * One of a packed leaf, without unpacking the others, in half the time: storms of questions about old jobs are answered
 * on a third of a core. Throws `BadLeaf`.
 */
export const findInPacked = (packed: string, at: string): ArchivedJob | undefined => {
	if (packed === '') return undefined
	try {
		const c = JSON.parse(inflateRawSync(Buffer.from(packed, 'base64')).toString()) as Columns
		const wanted = Number(at.slice(0, 2))
		let before = 0
		for (const [width, steps] of c.ids) {
			const all = steps.split(',')
			if (width === wanted) {
				const i = width <= EXACT_DIGITS ? place(all, Number, at, 0) : place(all, BigInt, at, 0n)
				if (i < 0) return undefined
				const k = before + i
				const own = c.aborted.find(([index]) => index === k)
				const done = c.done[k]
				return {
					ordinal: at,
					aborted: own !== undefined,
					taskCount: own?.[1] ?? done,
					doneCount: done,
					revision: c.epoch + c.epochs[k],
				}
			}
			before += all.length
		}
		return undefined
	} catch (e) {
		throw new InvalidArchivePage((e as Error).message)
	}
}

/** Where steps reach a number; -1: they pass it. */
const place = <N extends number | bigint>(
	steps: readonly string[],
	read: (text: string) => N,
	at: string,
	zero: N,
): number => {
	const wanted = read(at.slice(2))
	let n = zero
	for (let i = 0; i < steps.length; i++) {
		n = ((n as number) + (read(steps[i]) as number)) as N
		if (n >= wanted) return n === wanted ? i : -1
	}
	return -1
}

/** Two final states of one job that differ: something wrote what it must not. */
export class ConflictingTerminalStates extends Error {}

/** Both, in order. What is in both must agree, since a final state never changes. Throws `Disagreement`. */
export const mergeArchivedJobs = (a: readonly ArchivedJob[], b: readonly ArchivedJob[]): ArchivedJob[] => {
	const out: ArchivedJob[] = []
	for (const job of [...a, ...b].sort(byPlace)) {
		const last = out.at(-1)
		if (last?.ordinal !== job.ordinal) out.push(job)
		else if (last.aborted !== job.aborted || last.doneCount !== job.doneCount)
			throw new ConflictingTerminalStates(
				`${job.ordinal}: ${JSON.stringify(last)} and ${JSON.stringify(job)}`,
			)
	}
	return out
}

export const covers = (leaf: ArchivePage, at: string): boolean => leaf.from <= at && at < leaf.to

/** A level without any leaf. */
export const emptyLevel = (): ArchivePage => ({
	from: '',
	to: ORDINAL_END,
	depth: 0,
	deeper: false,
	packed: '',
	modRevision: 0,
})

export const encodeArchivePage = ({ from, depth, deeper, packed }: ArchivePage): unknown => ({
	from,
	depth,
	deeper,
	packed,
})

/** Reads a leaf's record. Throws `BadLeaf`, naming the key. */
export const decodeArchivePage = (
	level: number,
	key: string,
	data: unknown,
	modRevision: number,
): ArchivePage => {
	const to = key.slice(levelPrefix(level).length)
	const fits =
		isMap(data) &&
		typeof data.from === 'string' &&
		typeof data.packed === 'string' &&
		typeof data.depth === 'number' &&
		typeof data.deeper === 'boolean' &&
		data.from < to
	if (!fits) throw new InvalidArchivePage(`${key}: is no record of the archive`)
	const { from, depth, deeper, packed } = data as Record<string, never>
	return { from, to, depth, deeper, packed, modRevision }
}
