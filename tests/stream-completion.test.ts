/**
 * Guards against terminal events that readers by ids missed and waited for forever.
 *
 * - A record of a terminal job may still change: the progress of a cancelled job is deleted some seconds after it
 *   finished. The hub took each such change for another terminal state: the stream delivered the state again, which
 *   clients drop, and counted one more delivered job. A stream of two jobs was completed after two deliveries of the
 *   same one, seen in the server's trace as `complete` while a job was open.
 * - A controller knows its own write before the watch reports it. A stream opened in between held the terminal state
 *   back until its revision was visible, but was not woken then, since the hub recorded such states only while it had
 *   other streams. Seen as a stream with one queued event and no call of `onEventsAvailable`.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { FakeController, RecordLog, summaries, takeEvents } from './fake-event-controller.js'

const FIRST = 'job-000001'
const SECOND = 'job-000002'

const openTwoJobs = () => {
	const records = new RecordLog()
	records.change(FIRST, 'a', 0)
	records.change(SECOND, 'a', 0)
	const controller = new FakeController(records)
	controller.read()
	return { records, controller }
}

test('a later change of a delivered job neither repeats its terminal state nor completes the stream', () => {
	for (const { name, deliversFirst } of [
		{ name: 'the terminal state was delivered as a live event', deliversFirst: true },
		{ name: 'the terminal state is in the snapshot, not delivered yet', deliversFirst: false },
	]) {
		const { records, controller } = openTwoJobs()
		if (!deliversFirst) {
			records.change(FIRST, 'a', 2, 'aborted')
			controller.read()
		}
		const stream = controller.subscribe({ uids: [FIRST, SECOND] })
		if (deliversFirst) {
			takeEvents(stream)
			records.change(FIRST, 'a', 2, 'aborted')
			controller.read()
			assert.deepEqual(summaries(takeEvents(stream)), [`${FIRST} cancelled 2`], name)
		}
		const cursorBefore = stream.cursor()
		controller.changeOtherRecord(FIRST)
		const expected = deliversFirst ? [] : [`${FIRST} cancelled 2`, `${SECOND} pending 0`]
		assert.deepEqual(summaries(takeEvents(stream)), expected, name)
		if (deliversFirst) assert.equal(stream.cursor(), cursorBefore, `${name}: the cursor does not move back`)
		assert.equal(stream.isComplete, false, `${name}: ${SECOND} is open`)
		records.change(SECOND, 'a', 5, 'done')
		controller.read()
		assert.deepEqual(summaries(takeEvents(stream)), [`${SECOND} done 5`], name)
		assert.equal(stream.isComplete, true, name)
	}
})

test('a stream opened between an own write and the watch that reports it is woken once the state is visible', () => {
	for (const selection of [{ uids: [FIRST] }, { team: 'a' }]) {
		const { records, controller } = openTwoJobs()
		records.change(FIRST, 'a', 5, 'done')
		// Its own write is confirmed before the watch reports it: the records are visible up to the previous revision.
		controller.applyOwnWrite(records.entries[records.entries.length - 1])
		let wakeUps = 0
		const stream = controller.subscribe(selection, '', () => wakeUps++)
		takeEvents(stream)
		assert.equal(wakeUps, 0)
		controller.read()
		assert.equal(wakeUps, 1, `${JSON.stringify(selection)} is woken`)
		assert.deepEqual(summaries(takeEvents(stream)), [`${FIRST} done 5`])
	}
})
