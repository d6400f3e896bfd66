/**
 * Guards against a client whose watcher restarts without a delay each time a server rejects its cursor. A server that
 * keeps answering OUT_OF_RANGE, as one does whose history is too short for a busy team, got calls as fast as it
 * answered them.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { JobWatcher } from '../packages/client/src/job-watcher.js'
import type { RetryingCaller } from '../packages/client/src/retrying-caller.js'
import type { JobEvent, StreamEnd, Transport } from '../packages/client/src/transport.js'
import { fakeTransportPool } from './fake-transport-pool.js'

const REJECTED: StreamEnd = { kind: 'restart', text: 'the events after it are no longer retained' }
/** The connection broke, as it does when a controller crashes. */
const CONNECTION_LOST: StreamEnd = {
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

/** A watcher at a server that serves `streams` in turn; the last one is repeated. */
const createWatcher = (
	streams: readonly { events: JobEvent[]; end: StreamEnd; sendsHeaders?: boolean }[],
) => {
	const cursors: string[] = []
	const watchIds: string[] = []
	const transport: Pick<Transport, 'watch'> = {
		async *watch({ cursor, watchId }, _signal, onStart) {
			watchIds.push(watchId)
			const { events, end, sendsHeaders } = streams[Math.min(cursors.length, streams.length - 1)]
			cursors.push(cursor)
			await new Promise(setImmediate)
			if (sendsHeaders) onStart(cursor)
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

test('a watcher whose cursor is rejected repeatedly backs off', async () => {
	const { cursors, watcher } = createWatcher([{ events: [], end: REJECTED }])
	const abort = new AbortController()
	setTimeout(() => abort.abort(), 1000)
	await assert.rejects(async () => {
		for await (const _ of watcher.watch({ team: 'a' }, { signal: abort.signal, cursor: 'old' }));
	}, /interrupted/)
	// The first retry has no delay; then 200 ms, 400 ms and so on, each with jitter.
	assert.ok(cursors.length >= 2 && cursors.length <= 8, `${cursors.length} streams in a second`)
})

test('a watcher whose cursor is rejected once restarts without a delay and reports a gap', async () => {
	const { cursors, watcher } = createWatcher([
		{ events: [], end: REJECTED },
		{ events: [event('job-000001', 'done')], end: { kind: 'complete' } },
	])
	const startedAt = performance.now()
	const events: JobEvent[] = []
	for await (const received of watcher.watch({ uids: ['job-000001'] }, { cursor: 'old' }))
		events.push(received)
	assert.deepEqual(cursors, ['old', ''])
	assert.deepEqual(events, [{ ...event('job-000001', 'done'), afterGap: true }])
	assert.ok(performance.now() - startedAt < 100, 'no delay')
})

/**
 * Guards against readers that wait too long while controllers serve. In runs of the check of streams all jobs had
 * finished after 18 s, but at the deadline of 60 s a reader still missed 11 of them: controllers crashed each second,
 * streams broke before their first event, and the retry delay grew to 10 s.
 */
test('the retry delay of a watcher does not grow while its streams start but break before an event', async () => {
	const { cursors, watcher } = createWatcher([{ events: [], end: CONNECTION_LOST, sendsHeaders: true }])
	const abort = new AbortController()
	setTimeout(() => abort.abort(), 1500)
	await assert.rejects(async () => {
		for await (const _ of watcher.watch({ uids: ['job-000001'] }, { signal: abort.signal, cursor: 'same' }));
	}, /interrupted/)
	// Streams start 150 ms apart; with doubling delays the sixth would start after 2.25 s.
	assert.ok(cursors.length >= 6, `${cursors.length} streams in 1.5 s`)
})

test('all streams of a watch have the same watch id, and each watch has its own', async () => {
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
 * Guards against a watch by ids that never gets to its last jobs: it restarts with the current state after each break,
 * and every stream may break after its first events. The cursors that its caller gets must be valid for the whole
 * selection.
 */
test('a watch by ids gets to all of its jobs though every stream breaks after a few events', async () => {
	const uids = ['job-000001', 'job-000002', 'job-000003', 'job-000004', 'job-000005']
	for (const eventsPerStream of [1, 2]) {
		const requestedIds: string[] = []
		const transport: Pick<Transport, 'watch'> = {
			async *watch({ selection }, _signal, onStart) {
				const selected = 'uids' in selection ? selection.uids : []
				requestedIds.push(selected.join())
				await new Promise(setImmediate)
				onStart(`start of ${selected.length}`)
				for (const uid of selected.slice(0, eventsPerStream))
					yield { ...event(uid, 'done'), cursor: `${uid} of ${selected.length}` }
				return selected.length <= eventsPerStream ? { kind: 'complete' } : CONNECTION_LOST
			},
		}
		const watcher = new JobWatcher(fakeTransportPool([transport]), {} as RetryingCaller, 1000, () => 0)
		const delivered: string[] = []
		const cursors = new Set<string>()
		for await (const { uid, cursor } of watcher.watch({ uids }, {})) {
			delivered.push(uid)
			cursors.add(cursor)
		}
		assert.deepEqual(delivered, uids, `${eventsPerStream} events per stream`)
		assert.ok(requestedIds.length <= uids.length + 2, `${requestedIds.length} streams`)
		for (const cursor of cursors) assert.match(cursor, / of 5$/)
	}
})
