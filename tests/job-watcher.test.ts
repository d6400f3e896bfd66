/**
 * The client's watcher began anew without a delay as often as a server rejected its cursor: against a server that keeps
 * answering OUT_OF_RANGE, as one with too short a history for a busy team does, it sent calls as fast as they were answered.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { JobWatcher } from '../packages/client/src/job-watcher.js'
import type { RetryingCaller } from '../packages/client/src/retrying-caller.js'
import type { JobEvent, StreamEnd, Transport } from '../packages/client/src/transport.js'
import { fakeTransportPool } from './fake-transport-pool.js'

const REJECTED: StreamEnd = { kind: 'restart', text: 'what follows it is not kept any more' }
/** The connection broke, as it does when a controller crashes. */
const LOST: StreamEnd = {
	kind: 'retryable',
	text: 'UNAVAILABLE: Connection dropped',
	retryAfterMs: null,
	mayBeAccepted: true,
	isUnreachable: false,
	isConnectionLost: true,
}
const event = (uid: string, state: JobEvent['state']): JobEvent => ({
	uid,
	state,
	done: 0,
	running: 0,
	tasks: 1,
	cursor: `after ${uid} ${state}`,
	afterGap: false,
})

/** A watcher at a server whose streams deliver what `streams` says, one after the other; the last one is repeated. */
const createWatcher = (streams: readonly { events: JobEvent[]; end: StreamEnd; begins?: boolean }[]) => {
	const cursors: string[] = []
	const watchIds: string[] = []
	const transport: Pick<Transport, 'watch'> = {
		async *watch({ cursor, watchId }, _signal, onStart) {
			watchIds.push(watchId)
			const { events, end, begins } = streams[Math.min(cursors.length, streams.length - 1)]
			cursors.push(cursor)
			await new Promise(setImmediate)
			if (begins) onStart(cursor)
			yield* events
			return end
		},
	}
	return {
		cursors,
		watchIds,
		watcher: new JobWatcher(fakeTransportPool([transport]), {} as RetryingCaller, 1000, () => 0.5),
	}
}

test('a watcher whose cursor is rejected again and again backs off', async () => {
	const { cursors, watcher } = createWatcher([{ events: [], end: REJECTED }])
	const abort = new AbortController()
	setTimeout(() => abort.abort(), 1000)
	await assert.rejects(async () => {
		for await (const _ of watcher.watch({ team: 'a' }, { signal: abort.signal, cursor: 'old' }));
	}, /interrupted/)
	// The first time at once; then after 200 ms, 400 ms and so on, each with jitter.
	assert.ok(cursors.length >= 2 && cursors.length <= 8, `${cursors.length} streams in a second`)
})

test('a watcher whose cursor is rejected once begins anew at once, and says that there was a gap', async () => {
	const { cursors, watcher } = createWatcher([
		{ events: [], end: REJECTED },
		{ events: [event('job-000001', 'done')], end: { kind: 'complete' } },
	])
	const begunAt = performance.now()
	const events: JobEvent[] = []
	for await (const received of watcher.watch({ uids: ['job-000001'] }, { cursor: 'old' }))
		events.push(received)
	assert.deepEqual(cursors, ['old', ''])
	assert.deepEqual(events, [{ ...event('job-000001', 'done'), afterGap: true }])
	assert.ok(performance.now() - begunAt < 100, 'no delay')
})

/**
 * Guards against readers that stay away while controllers serve. In runs of the check of streams all jobs were over after
 * 18 s and a reader missed 11 of them at the deadline of 60 s: streams began and broke without an event, since controllers
 * crashed each second, and the delay before the next try grew to 10 s.
 */
test('a watcher whose streams begin and break without an event does not wait longer each time', async () => {
	const { cursors, watcher } = createWatcher([{ events: [], end: LOST, begins: true }])
	const abort = new AbortController()
	setTimeout(() => abort.abort(), 1500)
	await assert.rejects(async () => {
		for await (const _ of watcher.watch({ uids: ['job-000001'] }, { signal: abort.signal, cursor: 'same' }));
	}, /interrupted/)
	// 150 ms apart; with doubled delays the sixth would begin after 2.25 s.
	assert.ok(cursors.length >= 6, `${cursors.length} streams in 1.5 s`)
})

test('all streams of a watch carry one id, and another watch has another', async () => {
	const { watchIds, watcher } = createWatcher([
		{ events: [], end: REJECTED },
		{ events: [event('job-000001', 'done')], end: { kind: 'complete' } },
	])
	for (const _ of [1, 2])
		for await (const _event of watcher.watch({ uids: ['job-000001'] }, { cursor: 'old' }));
	assert.equal(watchIds.length, 3)
	assert.equal(watchIds[0], watchIds[1])
	assert.notEqual(watchIds[1], watchIds[2])
})

/**
 * A watch by ids begins anew with the present state after each break. If every stream breaks after its first events, it must
 * come to the jobs named last all the same. The cursors that its caller gets must fit the whole selection.
 */
test('a watch by ids comes to all of its jobs though every stream breaks after a few events', async () => {
	const uids = ['job-000001', 'job-000002', 'job-000003', 'job-000004', 'job-000005']
	for (const eventsPerStream of [1, 2]) {
		const asked: string[] = []
		const transport: Pick<Transport, 'watch'> = {
			async *watch({ selection }, _signal, onStart) {
				const selected = 'uids' in selection ? selection.uids : []
				asked.push(selected.join())
				await new Promise(setImmediate)
				onStart(`start of ${selected.length}`)
				for (const uid of selected.slice(0, eventsPerStream))
					yield { ...event(uid, 'done'), cursor: `${uid} of ${selected.length}` }
				return selected.length <= eventsPerStream ? { kind: 'complete' } : LOST
			},
		}
		const watcher = new JobWatcher(fakeTransportPool([transport]), {} as RetryingCaller, 1000, () => 0)
		const told: string[] = []
		const cursors = new Set<string>()
		for await (const { uid, cursor } of watcher.watch({ uids }, {})) {
			told.push(uid)
			cursors.add(cursor)
		}
		assert.deepEqual(told, uids, `${eventsPerStream} events a stream`)
		assert.ok(asked.length <= uids.length + 2, `${asked.length} streams`)
		for (const cursor of cursors) assert.match(cursor, / of 5$/)
	}
})
