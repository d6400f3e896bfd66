/** The packed encoding of archived jobs: their columns as JSON, compressed with deflate, as base64 text. */

import { deflateRawSync, inflateRawSync } from 'node:zlib'
import type { ArchivedJob } from './archived-job.js'
import { ordinalDigits, ordinalPrefix, ordinalWidth } from './ordinals.js'

/** An archive page is malformed or cannot be decoded. */
export class InvalidArchivePage extends Error {}

/** The packed data, in columns because similar numbers compress well together. Field names are those of stored data. */
export interface Columns {
	/** one entry for each width of ids: the width, and the numbers, each as the difference from the one before */
	ids: [width: number, differences: string][]
	/** done tasks of each job */
	done: number[]
	/** index and number of tasks of each aborted job; all tasks of the other jobs are done */
	aborted: [index: number, taskCount: number][]
	/** the lowest revision of all jobs */
	epoch: number
	/** each job's revision, less `epoch` */
	epochs: number[]
}

const packIds = (jobs: readonly ArchivedJob[]): Columns['ids'] => {
	const groups: { width: number; previous: bigint; differences: string[] }[] = []
	for (const { ordinal } of jobs) {
		const width = ordinalWidth(ordinal)
		const value = BigInt(ordinalDigits(ordinal))
		let group = groups.at(-1)
		if (group?.width !== width) {
			group = { width, previous: 0n, differences: [] }
			groups.push(group)
		}
		group.differences.push(String(value - group.previous))
		group.previous = value
	}
	return groups.map(({ width, differences }) => [width, differences.join(',')])
}

/** Packs jobs, which must be sorted by ordinal without duplicates. */
export const packJobs = (jobs: readonly ArchivedJob[]): string => {
	if (jobs.length === 0) return ''
	const leastRevision = jobs.reduce((least, job) => Math.min(least, job.revision), Number.POSITIVE_INFINITY)
	const columns: Columns = {
		ids: packIds(jobs),
		done: jobs.map((job) => job.doneCount),
		aborted: jobs.flatMap((job, index): Columns['aborted'] => (job.aborted ? [[index, job.taskCount]] : [])),
		epoch: leastRevision,
		epochs: jobs.map((job) => job.revision - leastRevision),
	}
	return deflateRawSync(JSON.stringify(columns)).toString('base64')
}

/** Decodes the columns of packed jobs; throws the error of the decompression or of the JSON parser. */
export const readColumns = (packed: string): Columns =>
	JSON.parse(inflateRawSync(Buffer.from(packed, 'base64')).toString()) as Columns

const unpackIds = (ids: Columns['ids']): string[] => {
	const ordinals: string[] = []
	for (const [width, differences] of ids) {
		const prefix = ordinalPrefix(width)
		let value = 0n
		for (const difference of differences.split(',')) {
			value += BigInt(difference)
			ordinals.push(prefix + String(value).padStart(width, '0'))
		}
	}
	return ordinals
}

const isComplete = (jobs: readonly ArchivedJob[]): boolean =>
	jobs.every(
		(job, index) =>
			Number.isFinite(job.doneCount) &&
			Number.isFinite(job.revision) &&
			(index === 0 || jobs[index - 1].ordinal < job.ordinal),
	)

/** Unpacks jobs, sorted by ordinal; throws `InvalidArchivePage` if the text is malformed. */
export const unpackJobs = (packed: string): ArchivedJob[] => {
	if (packed === '') return []
	try {
		const columns = readColumns(packed)
		const jobs = unpackIds(columns.ids).map(
			(ordinal, index): ArchivedJob => ({
				ordinal,
				aborted: false,
				taskCount: columns.done[index],
				doneCount: columns.done[index],
				revision: columns.epoch + columns.epochs[index],
			}),
		)
		for (const [index, taskCount] of columns.aborted) {
			jobs[index].aborted = true
			jobs[index].taskCount = taskCount
		}
		if (!isComplete(jobs) || columns.done.length !== jobs.length)
			throw new Error('columns are incomplete, unsorted or of different lengths')
		return jobs
	} catch (error) {
		throw new InvalidArchivePage((error as Error).message)
	}
}
