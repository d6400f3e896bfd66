/**
 * Terminal pages: the compact form of a shard's terminal jobs, many per key, in which they are stored until they are
 * archived.
 */
import { isMap } from '@heathroad/wire'
import { closedPageKey, terminalPageKey } from './record-keys.js'
import type { JobRecord } from './records.js'

/** A terminal job, with the data needed while a machine may still run one of its tasks. */
export interface TerminalJob {
	uid: string
	finalState: 'done' | 'aborted'
	taskCount: number
	doneCount: number
	resources: { team: string; cpus: number; gpus: number; ramGb: number }
}

/** Terminal states that became durable together. */
export interface TerminalBatch {
	/** null stands for the mod revision of the page's key */
	revision: number | null
	jobs: TerminalJob[]
}

/** Terminal states of one shard's jobs, in the order in which they became durable. */
export interface TerminalPage {
	shardId: number
	batches: TerminalBatch[]
}

/** Terminal states are stored as their index in this array. */
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

/** Decodes a page; null if it is absent or malformed. */
export const decodeTerminalPage = (data: unknown): TerminalPage | null => {
	if (!isMap(data) || typeof data.part !== 'number' || !Array.isArray(data.over)) return null
	// Fully validated: every controller reads all pages, and a malformed one must not make any of them fail.
	if (!data.over.every(isEncodedBatch)) return null
	return {
		shardId: data.part,
		batches: data.over.map(([revision, rows]) => ({
			revision: revision > 0 ? revision : null,
			jobs: rows.map(decodeJobRow),
		})),
	}
}

/** Encodes a page for storage. */
export const encodeTerminalPage = (page: TerminalPage): unknown => ({
	part: page.shardId,
	over: page.batches.map((batch) => [batch.revision ?? 0, batch.jobs.map(encodeJobRow)]),
})

/** The job's record in the first format, which stored it under a key of its own. */
export const terminalJobRecord = (shardId: number, job: TerminalJob): JobRecord => ({
	shardId,
	finalState: job.finalState,
	taskCount: job.taskCount,
	...(job.finalState === 'aborted' ? { doneCount: job.doneCount } : {}),
	resources: job.resources,
})

/** The fields of a job's specification that its terminal state keeps. */
type TerminalJobSpec = { tasks: number; team: string; cpus: number; gpus: number; ramGb: number }

/** Creates a job's terminal state. `doneCount`: number of its done tasks, for display. */
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

/** Maximum size of one page. */
export interface PageLimits {
	/** Characters of its encoded value. */
	maxValueChars: number
	maxJobs: number
}

/** Fills in the missing revisions of batches; `modRevision`: of the page's key. */
export const withRevisions = (page: TerminalPage, modRevision: number): TerminalPage => ({
	shardId: page.shardId,
	batches: page.batches.map(({ revision, jobs }) => ({ revision: revision ?? modRevision, jobs })),
})

/** Size of a page's content. */
interface PageUsage {
	chars: number
	jobs: number
}

/** Characters of an encoded page without batches, rounded up. */
const EMPTY_PAGE_CHARS = 40
/** Characters of an encoded batch without jobs, rounded up. */
const EMPTY_BATCH_CHARS = 24

const EMPTY_PAGE: PageUsage = { chars: EMPTY_PAGE_CHARS, jobs: 0 }

const pageUsage = (page: TerminalPage): PageUsage => ({
	chars: JSON.stringify(encodeTerminalPage(page)).length,
	jobs: page.batches.reduce((count, batch) => count + batch.jobs.length, 0),
})

/** Number of jobs, from the start of the list, that fit into a page as one more batch. */
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

/** Writes to pages, and the number of given jobs that they contain. */
export interface PageAppend {
	changes: { key: string; data: unknown }[]
	taken: number
}

/**
 * Appends terminal states to a shard's open page, up to its limits. The content of a full page moves to a key of its own,
 * which is never written again; that write comes before the new page in the same transaction.
 *
 * @param openPage the current open page; undefined if there is none
 * @param revision of states that are already durable under keys of their own; null if this write makes them durable
 */
export const appendToPage = (
	shardId: number,
	openPage: { data: unknown; modRevision: number } | undefined,
	jobs: readonly TerminalJob[],
	limits: PageLimits,
	revision: number | null = null,
): PageAppend => {
	const changes: PageAppend['changes'] = []
	const close = (modRevision: number, data: unknown) =>
		changes.push({ key: closedPageKey(shardId, modRevision), data })
	const decoded = decodeTerminalPage(openPage?.data)
	const page =
		openPage === undefined || decoded === null ? null : withRevisions(decoded, openPage.modRevision)
	// A malformed page is moved unchanged: it may contain terminal states that an operator can still recover.
	if (openPage !== undefined && page === null) close(openPage.modRevision, openPage.data)
	let batches = page?.batches ?? []
	let taken = countFitting(jobs, page === null ? EMPTY_PAGE : pageUsage(page), limits)
	if (openPage !== undefined && page !== null && taken === 0 && batches.length > 0) {
		close(openPage.modRevision, encodeTerminalPage(page))
		batches = []
		taken = countFitting(jobs, EMPTY_PAGE, limits)
	}
	const appended = { shardId, batches: [...batches, { revision, jobs: jobs.slice(0, taken) }] }
	changes.push({ key: terminalPageKey(shardId), data: encodeTerminalPage(appended) })
	return { changes, taken }
}
