/** The packed form of archived jobs: columns as JSON, deflated, as base64 text. */

import { deflateRawSync, inflateRawSync } from 'node:zlib'
import type { ArchivedJob } from './archived-job.js'
import { ordinalDigits, ordinalPrefix, ordinalWidth } from './ordinals.js'

/** A page of the archive that this program cannot read. */
export class InvalidArchivePage extends Error {}

/** What is packed, by columns, since similar numbers compress well together. The names are those of the stored form. */
export interface Columns {
	/** by width of the ids: the width, and the numbers as differences, each from the number before it */
	ids: [width: number, differences: string][]
	/** done tasks of each job */
	done: number[]
	/** of the aborted jobs: index and number of tasks; all tasks of the other jobs are done */
	aborted: [index: number, taskCount: number][]
	/** least revision */
	epoch: number
	/** of each job: its revision less the least one */
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

/** Packs jobs, which must be sorted and distinct. */
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

/** Reads the columns of packed jobs. Throws whatever inflating or parsing throws. */
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

/** Unpacks jobs, sorted. Throws `InvalidArchivePage`. */
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
			throw new Error('columns that do not fit together')
		return jobs
	} catch (error) {
		throw new InvalidArchivePage((error as Error).message)
	}
}
