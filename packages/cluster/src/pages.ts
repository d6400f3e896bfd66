import { isMap } from '@heathroad/wire'
import { closedKey, type JobRecord, overKey } from './records.js'

/** A job that is over, with what is needed for as long as attempts of it may be somewhere. */
export interface Ended {
	uid: string
	final: 'done' | 'aborted'
	tasks: number
	done: number
	need: { team: string; cpus: number; gpus: number; ramGb: number }
}

/** Final states that became durable together; null: with the page's latest change. */
export interface Batch {
	epoch: number | null
	jobs: Ended[]
}

/** Final states of jobs of one part, in the order in which they became durable. */
export interface Page {
	part: number
	batches: Batch[]
}

const STATES = ['done', 'aborted'] as const

export const asPage = (data: unknown): Page | null => {
	if (!isMap(data) || typeof data.part !== 'number' || !Array.isArray(data.over)) return null
	// Checked whole: every controller follows pages, and none may stumble over one that is not as it should be.
	const fits = (item: unknown) =>
		Array.isArray(item) &&
		typeof item[0] === 'number' &&
		Array.isArray(item[1]) &&
		item[1].every(Array.isArray)
	if (!data.over.every(fits)) return null
	const batches: Batch[] = []
	for (const item of data.over as [number, unknown[][]][]) {
		const [epoch, rows] = item
		const jobs = rows.map(([uid, state, tasks, done, team, cpus, gpus, ramGb]) => ({
			uid: String(uid),
			final: STATES[Number(state)],
			tasks: Number(tasks),
			done: Number(done),
			need: { team: String(team), cpus: Number(cpus), gpus: Number(gpus), ramGb: Number(ramGb) },
		}))
		batches.push({ epoch: epoch > 0 ? epoch : null, jobs })
	}
	return { part: data.part, batches }
}

const row = (j: Ended): unknown[] => [
	j.uid,
	STATES.indexOf(j.final),
	j.tasks,
	j.done,
	j.need.team,
	j.need.cpus,
	j.need.gpus,
	j.need.ramGb,
]

export const writePage = (page: Page): unknown => ({
	part: page.part,
	over: page.batches.map((b) => [b.epoch ?? 0, b.jobs.map(row)]),
})

/** The record that such a job had under a key of its own. */
export const endedRecord = (part: number, j: Ended): JobRecord => ({
	part,
	final: j.final,
	tasks: j.tasks,
	...(j.final === 'aborted' ? { count: j.done } : {}),
	need: j.need,
})

/** What a job's record becomes when it is over. `done`: its done tasks, for display. */
export const ended = (
	uid: string,
	final: Ended['final'],
	spec: { tasks: number; team: string; cpus: number; gpus: number; ramGb: number } | undefined,
	done: number,
): Ended => ({
	uid,
	final,
	tasks: spec?.tasks ?? 0,
	done,
	need: { team: spec?.team ?? '', cpus: spec?.cpus ?? 0, gpus: spec?.gpus ?? 0, ramGb: spec?.ramGb ?? 0 },
})

/** What one page holds at most: characters of its value, and jobs. */
export interface Roll {
	value: number
	jobs: number
}

/** Every batch with its epoch: that of the last one is the stamp of the page's key. */
export const dated = (page: Page, stamp: number): Page => ({
	part: page.part,
	batches: page.batches.map((b) => ({ epoch: b.epoch ?? stamp, jobs: b.jobs })),
})

/**
 * A part's page with more final states, as many of them as fit. What a full page held
 * goes under a key of its own, which nobody writes again, in the same transaction and first. `epoch`: of states that
 * are durable already, under keys of their own.
 */
export const append = (
	part: number,
	before: { data: unknown; stamp: number } | undefined,
	jobs: readonly Ended[],
	room: Roll,
	epoch: number | null = null,
): { changes: { key: string; data: unknown }[]; taken: number } => {
	const held = asPage(before?.data)
	const known = held === null ? null : dated(held, before!.stamp)
	let size = known === null ? 40 : JSON.stringify(writePage(known)).length
	const most = (from: number, held: number): number => {
		let n = 0
		for (let sum = from + 24; n < jobs.length && held + n < room.jobs; n++) {
			sum += JSON.stringify(row(jobs[n])).length + 1
			if (sum > room.value) break
		}
		return n
	}
	const changes: { key: string; data: unknown }[] = []
	// What cannot be read is set aside as it is: it may hold final states that somebody can still save.
	if (before !== undefined && held === null)
		changes.push({ key: closedKey(part, before.stamp), data: before.data })
	let batches = known?.batches ?? []
	let taken = most(
		size,
		batches.reduce((n, b) => n + b.jobs.length, 0),
	)
	if (taken === 0 && known !== null && known.batches.length > 0) {
		changes.push({ key: closedKey(part, before!.stamp), data: writePage(known) })
		batches = []
		size = 40
		taken = most(size, 0)
	}
	const page = { part, batches: [...batches, { epoch, jobs: jobs.slice(0, taken) }] }
	changes.push({ key: overKey(part), data: writePage(page) })
	return { changes, taken }
}
