/** Fills a fake state service with records of generated terminal jobs. */
import {
	type ArchivedJob,
	type ArchivePage,
	archivePageKey,
	encodeArchivePage,
	jobIdOf,
	ORDINAL_END,
	packJobs,
} from '@heathroad/history'
import { KEY_PREFIX } from '@heathroad/store'
import { type FakeStateStore, VirtualClock } from '@heathroad/testkit'

/** Fraction of jobs by the number of digits of their ids; most ids are longer than six digits, which allow a million. */
const WIDTH_SHARES: readonly { width: number; share: number }[] = [
	{ width: 6, share: 0.02 },
	{ width: 9, share: 0.38 },
	{ width: 12, share: 0.4 },
	{ width: 20, share: 0.2 },
]
/** Leading digits of an id that are spread evenly; the others are random. Numbers of 15 digits are exact. */
const SPREAD_DIGITS = 15
/** Random part of the distance between two ids; below 1, so that ids are distinct. */
const JITTER = 0.99
/** A page's size is checked from `fromJobs` jobs on, at every `everyJobs`-th job. */
const PAGE_CHECK = { fromJobs: 500, everyJobs: 50 }
/** Fraction to which pages are filled: pages that are split in halves are three quarters full on average. */
const PAGE_FILL = 0.72
/** Ratio of the number of pages of a level to that of the level above. */
const PAGES_PER_LEVEL = 64
/** Number of times that a page's range is split per level: each level divides ordinals by this number of bits. */
const DEPTH_PER_LEVEL = 6

/**
 * Generates ordinals of job ids like those of many users, with 6 to 20 digits. They come in order, so that ten million
 * need no sorting.
 */
export function* generateOrdinals(count: number, seed: number): Iterable<string> {
	const clock = new VirtualClock(seed)
	let remaining = count
	for (const [index, { width, share }] of WIDTH_SHARES.entries()) {
		const isLast = index === WIDTH_SHARES.length - 1
		const ofWidth = isLast ? remaining : Math.min(remaining, Math.round(count * share), 10 ** width / 2)
		remaining -= ofWidth
		yield* generateOrdinalsOfWidth(clock, width, ofWidth)
	}
}

function* generateOrdinalsOfWidth(clock: VirtualClock, width: number, count: number): Iterable<string> {
	const digits = Math.min(width, SPREAD_DIGITS)
	const step = 10 ** digits / Math.max(1, count)
	for (let index = 0; index < count; index++) {
		const value = Math.floor(step * (index + clock.random() * JITTER))
		const randomDigits =
			width > digits ? String(Math.floor(clock.random() * 1e5)).padStart(width - digits, '0') : ''
		yield String(width).padStart(2, '0') + String(value).padStart(digits, '0') + randomDigits
	}
}

/** Generates the terminal job with this ordinal; every eleventh is cancelled. */
const generateJob = (ordinal: string, index: number): ArchivedJob => {
	const aborted = index % 11 === 0
	const taskCount = 1 + ((index * 37) % 400)
	return {
		ordinal,
		aborted,
		taskCount,
		doneCount: aborted ? index % taskCount : taskCount,
		revision: 1 + ((index * 7919) % 9_000_000),
	}
}

/** Writes terminal jobs in the first record format, which has no archive: each job under its own key, permanently. */
export const putFirstFormatRecords = (
	state: FakeStateStore,
	count: number,
	shards: number,
	seed: number,
): void => {
	let index = 0
	for (const ordinal of generateOrdinals(count, seed)) {
		const { aborted, taskCount, doneCount } = generateJob(ordinal, index)
		state.put(`${KEY_PREFIX}job/${jobIdOf(ordinal)}`, {
			part: index % shards,
			final: aborted ? 'aborted' : 'done',
			tasks: taskCount,
			need: { team: 'core', cpus: 1, gpus: 0, ramGb: 2 },
			...(aborted ? { count: doneCount } : {}),
		})
		index++
	}
}

/**
 * Writes archive pages of terminal jobs. All jobs are on the first level with enough pages; the pages of the levels above
 * it are empty. `valueBytes`: maximum size of a value. Returns every `sampleEvery`-th job.
 */
export const putArchive = (
	state: FakeStateStore,
	count: number,
	valueBytes: number,
	seed: number,
	sampleEvery: number,
): ArchivedJob[] => {
	state.put(`${KEY_PREFIX}history`, { form: 2, turn: 1, legacy: false })
	if (count === 0) return []
	const samples: ArchivedJob[] = []
	const leaves: ArchivePage[] = []
	let jobs: ArchivedJob[] = []
	let from = ''
	const closePage = (to: string) => {
		leaves.push({ from, to, depth: 0, deeper: false, packed: packJobs(jobs), modRevision: 0 })
		from = to
		jobs = []
	}
	let index = 0
	for (const ordinal of generateOrdinals(count, seed)) {
		const job = generateJob(ordinal, index)
		if (index++ % sampleEvery === 0) samples.push(job)
		if (isPageFull(jobs, valueBytes)) closePage(ordinal)
		jobs.push(job)
	}
	closePage(ORDINAL_END)
	putPages(state, leaves)
	return samples
}

const isPageFull = (jobs: readonly ArchivedJob[], valueBytes: number): boolean =>
	jobs.length >= PAGE_CHECK.fromJobs &&
	jobs.length % PAGE_CHECK.everyJobs === 0 &&
	packJobs(jobs).length > valueBytes * PAGE_FILL

/** Writes the pages with jobs to the lowest level, and empty pages to the levels above it. */
const putPages = (state: FakeStateStore, leaves: readonly ArchivePage[]): void => {
	let lowest = 1
	while (leaves.length > PAGES_PER_LEVEL ** lowest) lowest++
	for (let level = 1; level < lowest; level++) {
		const leavesPerPage = Math.ceil(leaves.length / PAGES_PER_LEVEL ** level)
		for (let first = 0; first < leaves.length; first += leavesPerPage) {
			const { from } = leaves[first]
			const { to } = leaves[Math.min(first + leavesPerPage, leaves.length) - 1]
			const depth = level * DEPTH_PER_LEVEL
			const page = { from, to, depth, deeper: true, packed: '', modRevision: 0 }
			state.put(archivePageKey(level, to), encodeArchivePage(page))
		}
	}
	const depth = lowest * DEPTH_PER_LEVEL
	for (const leaf of leaves) state.put(archivePageKey(lowest, leaf.to), encodeArchivePage({ ...leaf, depth }))
}
