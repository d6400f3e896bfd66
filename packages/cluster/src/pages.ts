import { isMap } from '@heathroad/wire'
import { closedPageKey, type JobRecord, terminalPageKey } from './records.js'

/** A job that is over, with what is needed for as long as attempts of it may be somewhere. */
export interface TerminalJob {
	uid: string
	finalState: 'done' | 'aborted'
	taskCount: number
	doneCount: number
	resources: { team: string; cpus: number; gpus: number; ramGb: number }
}

/** Final states that became durable together; null: with the page's latest change. */
export interface TerminalBatch {
	revision: number | null
	jobs: TerminalJob[]
}

/** Final states of jobs of one part, in the order in which they became durable. */
export interface TerminalPage {
	shardId: number
	batches: TerminalBatch[]
}

const STATES = ['done', 'aborted'] as const

export const decodeTerminalPage = (data: unknown): TerminalPage | null => {
	if (!isMap(data) || typeof data.part !== 'number' || !Array.isArray(data.over)) return null
	// Checked whole: every controller follows pages, and none may stumble over one that is not as it should be.
	const fits = (item: unknown) =>
		Array.isArray(item) &&
		typeof item[0] === 'number' &&
		Array.isArray(item[1]) &&
		item[1].every(Array.isArray)
	if (!data.over.every(fits)) return null
	const batches: TerminalBatch[] = []
	for (const item of data.over as [number, unknown[][]][]) {
		const [revision, rows] = item
		const jobs = rows.map(([uid, state, tasks, done, team, cpus, gpus, ramGb]) => ({
			uid: String(uid),
			finalState: STATES[Number(state)],
			taskCount: Number(tasks),
			doneCount: Number(done),
			resources: { team: String(team), cpus: Number(cpus), gpus: Number(gpus), ramGb: Number(ramGb) },
		}))
		batches.push({ revision: revision > 0 ? revision : null, jobs })
	}
	return { shardId: data.part, batches }
}

const row = (j: TerminalJob): unknown[] => [
	j.uid,
	STATES.indexOf(j.finalState),
	j.taskCount,
	j.doneCount,
	j.resources.team,
	j.resources.cpus,
	j.resources.gpus,
	j.resources.ramGb,
]

export const encodeTerminalPage = (page: TerminalPage): unknown => ({
	part: page.shardId,
	over: page.batches.map((b) => [b.revision ?? 0, b.jobs.map(row)]),
})

/** The record that such a job had under a key of its own. */
export const terminalJobRecord = (shardId: number, j: TerminalJob): JobRecord => ({
	shardId: shardId,
	finalState: j.finalState,
	taskCount: j.taskCount,
	...(j.finalState === 'aborted' ? { doneCount: j.doneCount } : {}),
	resources: j.resources,
})

/** What a job's record becomes when it is over. `done`: its done tasks, for display. */
export const toTerminalJob = (
	uid: string,
	final: TerminalJob['finalState'],
	spec: { tasks: number; team: string; cpus: number; gpus: number; ramGb: number } | undefined,
	done: number,
): TerminalJob => ({
	uid,
	finalState: final,
	taskCount: spec?.tasks ?? 0,
	doneCount: done,
	resources: {
		team: spec?.team ?? '',
		cpus: spec?.cpus ?? 0,
		gpus: spec?.gpus ?? 0,
		ramGb: spec?.ramGb ?? 0,
	},
})

/** What one page holds at most: characters of its value, and jobs. */
export interface PageLimits {
	maxValueChars: number
	maxJobs: number
}

/** Every batch with its revision: that of the last one is the modRevision of the page's key. */
export const withRevisions = (page: TerminalPage, modRevision: number): TerminalPage => ({
	shardId: page.shardId,
	batches: page.batches.map((b) => ({ revision: b.revision ?? modRevision, jobs: b.jobs })),
})

/**
 * A part's page with more final states, as many of them as fit. What a full page held
 * goes under a key of its own, which nobody writes again, in the same transaction and first. `revision`: of states that
 * are durable already, under keys of their own.
 */
export const appendToPage = (
	shardId: number,
	before: { data: unknown; modRevision: number } | undefined,
	jobs: readonly TerminalJob[],
	room: PageLimits,
	revision: number | null = null,
): { changes: { key: string; data: unknown }[]; taken: number } => {
	const held = decodeTerminalPage(before?.data)
	const known = held === null ? null : withRevisions(held, before!.modRevision)
	let size = known === null ? 40 : JSON.stringify(encodeTerminalPage(known)).length
	const most = (from: number, held: number): number => {
		let n = 0
		for (let sum = from + 24; n < jobs.length && held + n < room.maxJobs; n++) {
			sum += JSON.stringify(row(jobs[n])).length + 1
			if (sum > room.maxValueChars) break
		}
		return n
	}
	const changes: { key: string; data: unknown }[] = []
	// What cannot be read is set aside as it is: it may hold final states that somebody can still save.
	if (before !== undefined && held === null)
		changes.push({ key: closedPageKey(shardId, before.modRevision), data: before.data })
	let batches = known?.batches ?? []
	let taken = most(
		size,
		batches.reduce((n, b) => n + b.jobs.length, 0),
	)
	if (taken === 0 && known !== null && known.batches.length > 0) {
		changes.push({ key: closedPageKey(shardId, before!.modRevision), data: encodeTerminalPage(known) })
		batches = []
		size = 40
		taken = most(size, 0)
	}
	const page = { shardId: shardId, batches: [...batches, { revision, jobs: jobs.slice(0, taken) }] }
	changes.push({ key: terminalPageKey(shardId), data: encodeTerminalPage(page) })
	return { changes, taken }
}
