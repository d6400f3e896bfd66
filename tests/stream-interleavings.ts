/**
 * The forced orders in which the terminal state of a job becomes known, or not, behind a stream's back. Each is played at a
 * controller of the real service that reads the state service only when the order says so.
 */
import assert from 'node:assert/strict'
import { Records, SteppedController, type Stream } from './stepped-controller.js'

/** Named before the job whose state is lost, so that it comes first in the initial snapshot. */
export const OPEN = 'job-000100'
export const LOST = 'job-000200'
export const OTHER = 'job-000300'
export const LATER = 'job-000400'
export const NAMED = { uids: [OPEN, LOST] }

/** An order of events in which the terminal state of `LOST` becomes known, or not, behind a stream's back. */
export interface Order {
	name: string
	/** terminal states that the controller keeps for streams */
	retained?: number
	/** changes that the state service keeps for watches */
	watchLog?: number
	/** Plays everything up to the controller's last read; null: the stream did not begin. */
	play(records: Records, controller: SteppedController): Promise<Stream | null>
}

export const MISSED_CHANGES = { watchLog: 20, count: 40 }

export const openedBy = async (controller: SteppedController, selection = NAMED): Promise<Stream | null> => {
	const stream = await controller.open(selection)
	assert.ok(typeof stream !== 'string', String(stream))
	return stream
}

/** Calls back once, before the first request whose path contains the text, or the one after so many of them. */
const beforeRequest = (controller: SteppedController, text: string, write: () => void, after = 0): void => {
	let skipped = 0
	controller.beforeRequest = (path) => {
		if (!decodeURIComponent(path).includes(text) || skipped++ < after) return
		controller.beforeRequest = () => {}
		write()
	}
}

/** Before the second page of the next full read, another state is put on the page that holds the state of `LOST`. */
export const changePageDuringFullRead = (records: Records, controller: SteppedController): void =>
	beforeRequest(controller, '/store', () => records.endOnPage(OTHER), 1)

/** A terminal state of the first format that a full read left out of memory, and that the log does not keep. */
const leaveOut = async (records: Records, controller: SteppedController): Promise<number> => {
	records.accept(OPEN)
	const revision = records.endUnderOwnKey(LOST)
	records.endUnderOwnKey(OTHER)
	await controller.read()
	return revision
}

export const ORDERS: Order[] = [
	{
		name: 'a state of the first format is found by its look-up, then moved to a page',
		retained: 1,
		play: async (records, controller) => {
			const revision = await leaveOut(records, controller)
			const stream = await openedBy(controller)
			records.moveToPage(LOST, revision)
			await controller.read()
			return stream
		},
	},
	{
		name: 'a state of the first format is moved to a page just before its look-up',
		retained: 1,
		play: async (records, controller) => {
			const revision = await leaveOut(records, controller)
			beforeRequest(controller, `job/${LOST}`, () => records.moveToPage(LOST, revision))
			const stream = await openedBy(controller)
			stream?.take()
			return stream
		},
	},
	{
		name: 'the record of the format appears, and a state is moved and archived, just before its look-up',
		retained: 1,
		play: async (records, controller) => {
			const revision = await leaveOut(records, controller)
			beforeRequest(controller, `job/${LOST}`, () => {
				records.setFormat(true)
				records.moveToPage(LOST, revision)
				records.archive()
			})
			const stream = await openedBy(controller)
			stream?.take()
			return stream
		},
	},
	{
		name: 'the record of the format appears while a job that nobody accepted is awaited',
		play: async (records, controller) => {
			records.accept(OPEN)
			const stream = await openedBy(controller)
			stream?.take()
			records.setFormat(true)
			await controller.read()
			records.accept(LOST)
			records.endOnPage(LOST)
			records.archive()
			records.removeAcceptance(LOST)
			return stream
		},
	},
	{
		name: 'a job ends on a page while changes are missed',
		watchLog: MISSED_CHANGES.watchLog,
		play: async (records, controller) => {
			records.accept(OPEN)
			records.accept(LOST)
			const stream = await openedBy(controller)
			stream?.take()
			records.endOnPage(LOST)
			records.makeChanges(MISSED_CHANGES.count)
			return stream
		},
	},
	{
		name: 'a job ends on a page while changes are missed, and the page changes during the full read',
		watchLog: MISSED_CHANGES.watchLog,
		play: async (records, controller) => {
			records.fillFirstPage()
			for (const uid of [OPEN, LOST, OTHER]) records.accept(uid)
			const stream = await openedBy(controller)
			stream?.take()
			records.endOnPage(LOST)
			records.makeChanges(MISSED_CHANGES.count)
			changePageDuringFullRead(records, controller)
			return stream
		},
	},
	{
		name: 'an open job ends and is archived while changes are missed',
		watchLog: MISSED_CHANGES.watchLog,
		play: async (records, controller) => {
			records.setFormat(false)
			records.accept(OPEN)
			records.accept(LOST)
			const stream = await openedBy(controller)
			stream?.take()
			records.endOnPage(LOST)
			records.archive()
			records.removeAcceptance(LOST)
			records.makeChanges(MISSED_CHANGES.count)
			return stream
		},
	},
	{
		name: 'an awaited job is accepted, ends and is archived while changes are missed',
		watchLog: MISSED_CHANGES.watchLog,
		play: async (records, controller) => {
			records.setFormat(false)
			records.accept(OPEN)
			const stream = await openedBy(controller)
			stream?.take()
			records.accept(LOST)
			records.endOnPage(LOST)
			records.archive()
			records.removeAcceptance(LOST)
			records.makeChanges(MISSED_CHANGES.count)
			return stream
		},
	},
	{
		name: 'of two full reads at the same time the older one is applied last',
		play: async (records, controller) => {
			records.setFormat(false)
			records.accept(OPEN)
			records.accept(LOST)
			let deliver = () => {}
			controller.delayAnswer = () => {
				controller.delayAnswer = () => null
				return new Promise((done) => {
					deliver = done
				})
			}
			const olderRead = controller.readAll()
			records.endOnPage(LOST)
			records.archive()
			records.removeAcceptance(LOST)
			await controller.read()
			deliver()
			await olderRead
			const stream = await openedBy(controller)
			stream?.take()
			return stream
		},
	},
	{
		name: 'a job is archived before a slow reader has taken its state of the snapshot',
		retained: 1,
		play: async (records, controller) => {
			records.setFormat(false)
			for (const uid of [OPEN, LOST, OTHER, LATER]) records.accept(uid)
			records.endOnPage(LOST)
			const stream = await openedBy(controller)
			stream?.take(1)
			records.archive()
			records.removeAcceptance(LOST)
			await controller.read()
			records.endOnPage(OTHER)
			records.endOnPage(LATER)
			return stream
		},
	},
	{
		name: 'look-ups for another stream push an archived state out before it is taken',
		retained: 1,
		play: async (records, controller) => {
			records.setFormat(false)
			records.accept(OPEN)
			records.endOnPage(LOST)
			records.endOnPage(OTHER)
			records.archive()
			const stream = await openedBy(controller)
			stream?.take(1)
			await openedBy(controller, { uids: [OTHER] })
			return stream
		},
	},
	{
		name: 'the stream names more archived jobs than the controller keeps',
		retained: 1,
		play: async (records, controller) => {
			records.setFormat(false)
			records.accept(OPEN)
			records.endOnPage(LOST)
			records.endOnPage(OTHER)
			records.archive()
			return openedBy(controller, { uids: [OPEN, LOST, OTHER] })
		},
	},
]

/** Plays an order, and reads once more; the stream then tells what is there to be told, at most so many events. */
export const playOrder = async ({ retained, watchLog, play }: Order, atMost?: number) => {
	const records = new Records(watchLog)
	const controller = new SteppedController(records, retained)
	const stream = await play(records, controller)
	await controller.read()
	return { records, controller, stream: stream?.take(atMost) ?? null }
}
