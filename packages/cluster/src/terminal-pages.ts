/**
 * Pages of terminal states: the compact form in which a shard's records keep the jobs that are over, many to a key, until
 * they are archived.
 */
import { isMap } from '@heathroad/wire'
import { closedPageKey, terminalPageKey } from './record-keys.js'
import type { JobRecord } from './records.js'

/** A job that is over, with what is needed for as long as some machine may still run a task of it. */
export interface TerminalJob {
	uid: string
	finalState: 'done' | 'aborted'
	taskCount: number
	doneCount: number
	resources: { team: string; cpus: number; gpus: number; ramGb: number }
}

/** Terminal states that became durable together. */
export interface TerminalBatch {
	/** null: the mod revision of the page's key */
	revision: number | null
	jobs: TerminalJob[]
}

/** Terminal states of one shard's jobs, in the order in which they became durable. */
export interface TerminalPage {
	shardId: number
	batches: TerminalBatch[]
}

/** A state's index here is its stored form. */
const STATES = ['done', 'aborted'] as const

/** The stored form of a job: uid, state, tasks, done tasks, team, CPUs, GPUs, GB of memory. */
type JobRow = unknown[]

const encodeJobRow = ({ uid, finalState, taskCount, doneCount, resources }: TerminalJob): JobRow => [
	uid,
	STATES.indexOf(finalState),
	taskCount,
	doneCount,
	resources.team,
	resources.cpus,
	resources.gpus,
	resources.ramGb,
]

const decodeJobRow = ([uid, state, tasks, done, team, cpus, gpus, ramGb]: JobRow): TerminalJob => ({
	uid: String(uid),
	finalState: STATES[Number(state)],
	taskCount: Number(tasks),
	doneCount: Number(done),
	resources: { team: String(team), cpus: Number(cpus), gpus: Number(gpus), ramGb: Number(ramGb) },
})

const isEncodedBatch = (item: unknown): item is [revision: number, rows: JobRow[]] =>
	Array.isArray(item) && typeof item[0] === 'number' && Array.isArray(item[1]) && item[1].every(Array.isArray)

/** Decodes a page; null: it is absent or malformed. */
export const decodeTerminalPage = (data: unknown): TerminalPage | null => {
	if (!isMap(data) || typeof data.part !== 'number' || !Array.isArray(data.over)) return null
	// Validated as a whole: every controller follows all pages, and none may fail over one that is malformed.
	if (!data.over.every(isEncodedBatch)) return null
	return {
		shardId: data.part,
		batches: data.over.map(([revision, rows]) => ({
			revision: revision > 0 ? revision : null,
			jobs: rows.map(decodeJobRow),
		})),
	}
}

/** The stored form of a page. */
export const encodeTerminalPage = (page: TerminalPage): unknown => ({
	part: page.shardId,
	over: page.batches.map((batch) => [batch.revision ?? 0, batch.jobs.map(encodeJobRow)]),
})

/** The record that the job had under a key of its own in the first format. */
export const terminalJobRecord = (shardId: number, job: TerminalJob): JobRecord => ({
	shardId,
	finalState: job.finalState,
	taskCount: job.taskCount,
	...(job.finalState === 'aborted' ? { doneCount: job.doneCount } : {}),
	resources: job.resources,
})

/** The fields of a job's specification that its terminal state keeps. */
type TerminalJobSpec = { tasks: number; team: string; cpus: number; gpus: number; ramGb: number }

/** What a job's record becomes when the job is over. `doneCount`: its done tasks, for display. */
export const toTerminalJob = (
	uid: string,
	finalState: TerminalJob['finalState'],
	spec: TerminalJobSpec | undefined,
	doneCount: number,
): TerminalJob => ({
	uid,
	finalState,
	taskCount: spec?.tasks ?? 0,
	doneCount,
	resources: {
		team: spec?.team ?? '',
		cpus: spec?.cpus ?? 0,
		gpus: spec?.gpus ?? 0,
		ramGb: spec?.ramGb ?? 0,
	},
})

/** What one page holds at most. */
export interface PageLimits {
	/** Characters of its encoded value. */
	maxValueChars: number
	maxJobs: number
}

/** The page with a revision for every batch; `modRevision`: of the page's key. */
export const withRevisions = (page: TerminalPage, modRevision: number): TerminalPage => ({
	shardId: page.shardId,
	batches: page.batches.map(({ revision, jobs }) => ({ revision: revision ?? modRevision, jobs })),
})

/** Room that a page's content takes. */
interface PageUsage {
	chars: number
	jobs: number
}

/** Characters of an encoded page without batches; rounded up. */
const EMPTY_PAGE_CHARS = 40
/** Characters of an encoded batch without jobs; rounded up. */
const EMPTY_BATCH_CHARS = 24

const EMPTY_PAGE: PageUsage = { chars: EMPTY_PAGE_CHARS, jobs: 0 }

const pageUsage = (page: TerminalPage): PageUsage => ({
	chars: JSON.stringify(encodeTerminalPage(page)).length,
	jobs: page.batches.reduce((count, batch) => count + batch.jobs.length, 0),
})

/** How many of the jobs, from the first on, fit into a page as one more batch. */
const countFitting = (jobs: readonly TerminalJob[], used: PageUsage, limits: PageLimits): number => {
	let chars = used.chars + EMPTY_BATCH_CHARS
	let count = 0
	for (const job of jobs) {
		if (used.jobs + count >= limits.maxJobs) break
		chars += JSON.stringify(encodeJobRow(job)).length + 1
		if (chars > limits.maxValueChars) break
		count++
	}
	return count
}

/** Writes to pages, and how many of the given jobs they hold. */
export interface PageAppend {
	changes: { key: string; data: unknown }[]
	taken: number
}

/**
 * Adds terminal states to a shard's open page, as many as fit. The content of a page that is full goes under a key of its
 * own, which is never written again, in the same transaction and before the new page.
 *
 * @param before the open page; undefined: there is none
 * @param revision of states that are durable already, under keys of their own; null: they become durable with this write
 */
export const appendToPage = (
	shardId: number,
	before: { data: unknown; modRevision: number } | undefined,
	jobs: readonly TerminalJob[],
	limits: PageLimits,
	revision: number | null = null,
): PageAppend => {
	const changes: PageAppend['changes'] = []
	const close = (modRevision: number, data: unknown) =>
		changes.push({ key: closedPageKey(shardId, modRevision), data })
	const decoded = decodeTerminalPage(before?.data)
	const page = before === undefined || decoded === null ? null : withRevisions(decoded, before.modRevision)
	// A malformed page is set aside unchanged: it may hold terminal states that an operator can still recover.
	if (before !== undefined && page === null) close(before.modRevision, before.data)
	let batches = page?.batches ?? []
	let taken = countFitting(jobs, page === null ? EMPTY_PAGE : pageUsage(page), limits)
	if (before !== undefined && page !== null && taken === 0 && batches.length > 0) {
		close(before.modRevision, encodeTerminalPage(page))
		batches = []
		taken = countFitting(jobs, EMPTY_PAGE, limits)
	}
	const appended = { shardId, batches: [...batches, { revision, jobs: jobs.slice(0, taken) }] }
	changes.push({ key: terminalPageKey(shardId), data: encodeTerminalPage(appended) })
	return { changes, taken }
}
