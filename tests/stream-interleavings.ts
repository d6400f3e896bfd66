/**
 * Interleavings of state reads, record changes and streams in which a stream may miss the terminal state of a job. Each
 * runs at a controller of the real service that reads the state service only when the interleaving says so.
 */
import assert from 'node:assert/strict'
import { Records, SteppedController, type Stream } from './stepped-controller.js'

/** Its id is less than that of `LOST_JOB`, so that it comes first in the initial snapshot. */
export const OPEN_JOB = 'job-000100'
export const LOST_JOB = 'job-000200'
export const OTHER_JOB = 'job-000300'
export const LATER_JOB = 'job-000400'
export const NAMED_JOBS = { uids: [OPEN_JOB, LOST_JOB] }

/** One interleaving in which a stream may miss the terminal state of `LOST_JOB`. */
export interface Interleaving {
	name: string
	/** number of terminal states that the controller retains for streams */
	retainedStates?: number
	/** number of changes that the state service retains for watches */
	retainedChanges?: number
	/** Runs everything up to the controller's last read; null: the stream was not opened. */
	run(records: Records, controller: SteppedController): Promise<Stream | null>
}

/** More changes than the state service retains, so that the controller has to read all keys. */
export const MISSED_CHANGES = { retained: 20, count: 40 }

export const openStream = async (
	controller: SteppedController,
	selection = NAMED_JOBS,
): Promise<Stream | null> => {
	const stream = await controller.open(selection)
	assert.ok(typeof stream !== 'string', String(stream))
	return stream
}

/** Calls `write` once, before a request whose path contains the text; `skipCount`: such requests to let pass first. */
const beforeRequest = (
	controller: SteppedController,
	text: string,
	write: () => void,
	skipCount = 0,
): void => {
	let skipped = 0
	controller.beforeRequest = (path) => {
		if (!decodeURIComponent(path).includes(text) || skipped++ < skipCount) return
		controller.beforeRequest = () => {}
		write()
	}
}

/** Adds a state to the terminal-state page that holds `LOST_JOB`, before the second page of the next full read. */
export const changePageDuringFullRead = (records: Records, controller: SteppedController): void =>
	beforeRequest(controller, '/store', () => records.finishOnPage(OTHER_JOB), 1)

/** Writes a terminal state in the first record format, neither kept in memory by a full read nor retained by the log. */
const finishOutsideMemory = async (records: Records, controller: SteppedController): Promise<number> => {
	records.accept(OPEN_JOB)
	const revision = records.finishUnderOwnKey(LOST_JOB)
	records.finishUnderOwnKey(OTHER_JOB)
	await controller.read()
	return revision
}

export const INTERLEAVINGS: Interleaving[] = [
	{
		name: 'a state in the first record format is found by its lookup, then moved to a page',
		retainedStates: 1,
		run: async (records, controller) => {
			const revision = await finishOutsideMemory(records, controller)
			const stream = await openStream(controller)
			records.moveToPage(LOST_JOB, revision)
			await controller.read()
			return stream
		},
	},
	{
		name: 'a state in the first record format is moved to a page just before its lookup',
		retainedStates: 1,
		run: async (records, controller) => {
			const revision = await finishOutsideMemory(records, controller)
			beforeRequest(controller, `job/${LOST_JOB}`, () => records.moveToPage(LOST_JOB, revision))
			const stream = await openStream(controller)
			stream?.take()
			return stream
		},
	},
	{
		name: 'the record of the format appears, and a state is moved and archived, just before its lookup',
		retainedStates: 1,
		run: async (records, controller) => {
			const revision = await finishOutsideMemory(records, controller)
			beforeRequest(controller, `job/${LOST_JOB}`, () => {
				records.setFormat(true)
				records.moveToPage(LOST_JOB, revision)
				records.archive()
			})
			const stream = await openStream(controller)
			stream?.take()
			return stream
		},
	},
	{
		name: 'the record of the format appears while a stream waits for a job that is not accepted yet',
		run: async (records, controller) => {
			records.accept(OPEN_JOB)
			const stream = await openStream(controller)
			stream?.take()
			records.setFormat(true)
			await controller.read()
			records.accept(LOST_JOB)
			records.finishOnPage(LOST_JOB)
			records.archive()
			records.removeAcceptance(LOST_JOB)
			return stream
		},
	},
	{
		name: 'a terminal state is written to a page while changes are missed',
		retainedChanges: MISSED_CHANGES.retained,
		run: async (records, controller) => {
			records.accept(OPEN_JOB)
			records.accept(LOST_JOB)
			const stream = await openStream(controller)
			stream?.take()
			records.finishOnPage(LOST_JOB)
			records.makeUnrelatedChanges(MISSED_CHANGES.count)
			return stream
		},
	},
	{
		name: 'a terminal state is written to a page while changes are missed, and the page changes during the full read',
		retainedChanges: MISSED_CHANGES.retained,
		run: async (records, controller) => {
			records.fillFirstPage()
			for (const uid of [OPEN_JOB, LOST_JOB, OTHER_JOB]) records.accept(uid)
			const stream = await openStream(controller)
			stream?.take()
			records.finishOnPage(LOST_JOB)
			records.makeUnrelatedChanges(MISSED_CHANGES.count)
			changePageDuringFullRead(records, controller)
			return stream
		},
	},
	{
		name: 'an open job finishes and is archived while changes are missed',
		retainedChanges: MISSED_CHANGES.retained,
		run: async (records, controller) => {
			records.setFormat(false)
			records.accept(OPEN_JOB)
			records.accept(LOST_JOB)
			const stream = await openStream(controller)
			stream?.take()
			records.finishOnPage(LOST_JOB)
			records.archive()
			records.removeAcceptance(LOST_JOB)
			records.makeUnrelatedChanges(MISSED_CHANGES.count)
			return stream
		},
	},
	{
		name: 'a job that the stream waits for is accepted, finishes and is archived while changes are missed',
		retainedChanges: MISSED_CHANGES.retained,
		run: async (records, controller) => {
			records.setFormat(false)
			records.accept(OPEN_JOB)
			const stream = await openStream(controller)
			stream?.take()
			records.accept(LOST_JOB)
			records.finishOnPage(LOST_JOB)
			records.archive()
			records.removeAcceptance(LOST_JOB)
			records.makeUnrelatedChanges(MISSED_CHANGES.count)
			return stream
		},
	},
	{
		name: 'of two concurrent full reads the older one is applied last',
		run: async (records, controller) => {
			records.setFormat(false)
			records.accept(OPEN_JOB)
			records.accept(LOST_JOB)
			let deliver = () => {}
			controller.delayResponse = () => {
				controller.delayResponse = () => null
				return new Promise((done) => {
					deliver = done
				})
			}
			const olderRead = controller.readAllKeys()
			records.finishOnPage(LOST_JOB)
			records.archive()
			records.removeAcceptance(LOST_JOB)
			await controller.read()
			deliver()
			await olderRead
			const stream = await openStream(controller)
			stream?.take()
			return stream
		},
	},
	{
		name: 'a job is archived before a slow reader has read its state from the snapshot',
		retainedStates: 1,
		run: async (records, controller) => {
			records.setFormat(false)
			for (const uid of [OPEN_JOB, LOST_JOB, OTHER_JOB, LATER_JOB]) records.accept(uid)
			records.finishOnPage(LOST_JOB)
			const stream = await openStream(controller)
			stream?.take(1)
			records.archive()
			records.removeAcceptance(LOST_JOB)
			await controller.read()
			records.finishOnPage(OTHER_JOB)
			records.finishOnPage(LATER_JOB)
			return stream
		},
	},
	{
		name: 'lookups for another stream evict an archived state before it is read',
		retainedStates: 1,
		run: async (records, controller) => {
			records.setFormat(false)
			records.accept(OPEN_JOB)
			records.finishOnPage(LOST_JOB)
			records.finishOnPage(OTHER_JOB)
			records.archive()
			const stream = await openStream(controller)
			stream?.take(1)
			await openStream(controller, { uids: [OTHER_JOB] })
			return stream
		},
	},
	{
		name: 'the stream selects more archived jobs than the controller retains',
		retainedStates: 1,
		run: async (records, controller) => {
			records.setFormat(false)
			records.accept(OPEN_JOB)
			records.finishOnPage(LOST_JOB)
			records.finishOnPage(OTHER_JOB)
			records.archive()
			return openStream(controller, { uids: [OPEN_JOB, LOST_JOB, OTHER_JOB] })
		},
	},
]

/** Runs an interleaving and reads once more; the stream then delivers what is available, up to `maxEvents` events. */
export const runInterleaving = async (
	{ retainedStates, retainedChanges, run }: Interleaving,
	maxEvents?: number,
) => {
	const records = new Records(retainedChanges)
	const controller = new SteppedController(records, retainedStates)
	const stream = await run(records, controller)
	await controller.read()
	return { records, controller, stream: stream?.take(maxEvents) ?? null }
}
