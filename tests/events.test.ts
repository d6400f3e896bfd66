import assert from 'node:assert/strict'
import { test } from 'node:test'
import { comparePositions } from '@heathroad/cluster'
import { CursorCodec, type JobEvent, type Selection, SendScheduler, StreamAdmission } from '@heathroad/events'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { FakeController, RecordLog, summaries, takeEvents } from './fake-event-controller.js'

test('a stream delivers a snapshot, then the latest change of each job, and terminal states in order', () => {
	const records = new RecordLog()
	records.change('job-000002', 'a', 0)
	records.change('job-000001', 'a', 5, 'done')
	records.change('job-000003', 'a', 0)
	const controller = new FakeController(records)
	controller.read()
	const uids = ['job-000003', 'job-000001', 'job-000002', 'job-000009']
	const named = controller.subscribe({ uids })
	const team = controller.subscribe({ team: 'a' })
	assert.deepEqual(summaries(takeEvents(named)), [
		'job-000001 done 5',
		'job-000002 pending 0',
		'job-000003 pending 0',
	])
	assert.deepEqual(
		summaries(takeEvents(team)),
		['job-000002 pending 0', 'job-000003 pending 0'],
		'jobs that are not terminal',
	)
	controller.setRunning('job-000002', 2)
	controller.hub.publishChanges()
	controller.setRunning('job-000002', 3)
	records.change('job-000002', 'a', 1)
	controller.read()
	controller.hub.publishChanges()
	assert.deepEqual(
		summaries(takeEvents(team)),
		['job-000002 running 1'],
		'only the latest unread state of a job is delivered',
	)
	// After a takeover the number of running tasks is unknown for a while, which does not count as a change.
	controller.setRunning('job-000002', null)
	controller.hub.publishChanges()
	assert.deepEqual(takeEvents(team), [])
	records.change('job-000003', 'a', 2, 'aborted')
	records.change('job-000002', 'a', 5, 'done', true)
	records.change('job-000009', 'b', 0)
	controller.read()
	controller.hub.publishChanges()
	assert.deepEqual(summaries(takeEvents(team)), ['job-000002 done 5', 'job-000003 cancelled 2'])
	assert.deepEqual(summaries(takeEvents(named)), [
		'job-000002 done 5',
		'job-000003 cancelled 2',
		'job-000009 pending 0',
	])
	assert.equal(named.isComplete, false)
	records.change('job-000009', 'b', 5, 'done')
	controller.read()
	assert.deepEqual(summaries(takeEvents(named)), ['job-000009 done 5'])
	assert.equal(named.isComplete, true, 'no event can follow')
})

test('a terminal state is delivered only once all earlier records are visible', () => {
	const records = new RecordLog()
	records.change('job-000001', 'a', 0)
	records.change('job-000002', 'a', 0)
	const controller = new FakeController(records)
	controller.read()
	for (const selection of [{ team: 'a' }, { uids: ['job-000001', 'job-000002'] }] as Selection[]) {
		takeEvents(controller.subscribe(selection))
	}
	const streams = [
		controller.subscribe({ team: 'a' }),
		controller.subscribe({ uids: ['job-000001', 'job-000002'] }),
	]
	for (const stream of streams) takeEvents(stream)
	records.change('job-000002', 'a', 5, 'done')
	records.change('job-000001', 'a', 5, 'done')
	// Its own, later write is confirmed before the watch delivers the earlier one.
	controller.apply(records.entries[records.entries.length - 1])
	controller.hub.revisionAdvanced()
	for (const stream of streams) assert.deepEqual(takeEvents(stream), [])
	controller.read()
	for (const stream of streams)
		assert.deepEqual(summaries(takeEvents(stream)), ['job-000002 done 5', 'job-000001 done 5'])
})

test('with interruptions at any time each terminal state is delivered exactly once and no state goes back', () => {
	for (let seed = 1; seed <= 60; seed++) {
		const rng = xoroshiro128plus(seed)
		const randomBelow = (bound: number) => uniformInt(rng, 0, bound - 1)
		const records = new RecordLog()
		const controllers = [
			new FakeController(records),
			new FakeController(records),
			new FakeController(records),
		]
		const uids = Array.from(
			{ length: 30 },
			(_, index) => `job-${String(100_000 + index * 7919).padStart(6, '0')}`,
		)
		const openJobs = new Map<string, number>()
		const selection: Selection = seed % 2 === 0 ? { team: 'a' } : { uids: uids.slice(0, 25) }
		const selectedIds = new Set('team' in selection ? uids : selection.uids)
		let controller = controllers[0]
		let cursor = ''
		let subscription = controller.subscribe(selection)
		const terminalStates = new Map<string, string>()
		const doneCounts = new Map<string, number>()
		const started = new Set<string>()
		const receive = (event: JobEvent) => {
			assert.ok(selectedIds.has(event.uid), 'only selected jobs')
			assert.ok(
				!terminalStates.has(event.uid),
				`seed ${seed}: ${event.uid} delivered as ${event.state} after ${terminalStates.get(event.uid)}`,
			)
			assert.ok(event.done >= (doneCounts.get(event.uid) ?? 0), `seed ${seed}: ${event.uid} went back`)
			doneCounts.set(event.uid, event.done)
			if (event.state === 'done' || event.state === 'cancelled') terminalStates.set(event.uid, event.state)
			cursor = event.cursor
		}
		const resume = () => {
			controller = controllers[randomBelow(3)]
			// Controllers do a linearizable read before they resume a stream.
			controller.read()
			if (cursor === '') for (const uid of terminalStates.keys()) terminalStates.delete(uid)
			subscription = controller.subscribe(selection, cursor)
		}
		for (let step = 0; step < 400; step++) {
			const uid = uids[randomBelow(uids.length)]
			const action = randomBelow(10)
			if (action < 3) {
				const doneCount = openJobs.get(uid)
				if (doneCount === undefined && !started.has(uid)) {
					started.add(uid)
					openJobs.set(uid, 0)
					records.change(uid, 'a', 0)
				} else if (doneCount !== undefined && doneCount < 4) {
					openJobs.set(uid, doneCount + 1)
					records.change(uid, 'a', doneCount + 1)
				} else if (doneCount !== undefined) {
					openJobs.delete(uid)
					// Several terminal states may share one transaction, and with it a revision.
					records.change(
						uid,
						'a',
						5,
						randomBelow(4) === 0 ? 'aborted' : 'done',
						randomBelow(2) === 0 && records.revision > controller.revision(),
					)
				}
			} else if (action < 5) controllers[randomBelow(3)].read(records.revision - randomBelow(3))
			else if (action < 6) for (const each of controllers) each.hub.publishChanges()
			else if (action < 7) controller.setRunning(uid, [null, 0, 1, 2][randomBelow(4)])
			else if (action < 9) for (const event of takeEvents(subscription, 1 + randomBelow(4))) receive(event)
			else {
				if (randomBelow(2) === 0) subscription.end(null)
				else controller.hub.endAll('not serving')
				resume()
			}
		}
		resume()
		for (const each of controllers) {
			each.read()
			each.hub.publishChanges()
		}
		for (const event of takeEvents(subscription)) receive(event)
		const finished = records.entries.filter(
			(recordChange) => recordChange.final !== undefined && selectedIds.has(recordChange.uid),
		)
		// A team's stream starts with the open jobs: those terminal before its first event are not delivered.
		if ('uids' in selection)
			assert.deepEqual(
				[...terminalStates.keys()].sort(),
				finished.map((recordChange) => recordChange.uid).sort(),
				`seed ${seed}`,
			)
		else
			for (const entry of finished)
				if (doneCounts.has(entry.uid))
					assert.ok(terminalStates.has(entry.uid), `seed ${seed}: ${entry.uid} lost`)
	}
})

test('a cursor is valid at every controller of its installation, and only for its own selection', () => {
	const records = new RecordLog()
	records.change('job-000001', 'a', 0)
	const [one, other] = [new FakeController(records), new FakeController(records)]
	const otherInstallation = new FakeController(records, 1000, 'there')
	for (const controller of [one, other, otherInstallation]) controller.read()
	const [{ cursor }] = takeEvents(one.subscribe({ team: 'a' }), 1)
	other.subscribe({ team: 'a' }, cursor)
	const later = new CursorCodec('here', { team: 'a' }).encode({ phase: 'live', revision: 99, uid: '~' })
	const cases: [
		name: string,
		controller: FakeController,
		selection: Selection,
		cursor: string,
		expectedError: string,
	][] = [
		['another installation', otherInstallation, { team: 'a' }, cursor, 'invalid cursor'],
		['another team', other, { team: 'b' }, cursor, 'invalid cursor'],
		['jobs instead of the team', other, { uids: ['job-000001'] }, cursor, 'invalid cursor'],
		['forged', other, { team: 'a' }, '1.l.zz.~.aaaaaaaaaaaaaaaa', 'invalid cursor'],
		['one character changed', other, { team: 'a' }, cursor.replace('.p.', '.l.'), 'invalid cursor'],
		['truncated', other, { team: 'a' }, cursor.slice(0, -1), 'invalid cursor'],
		['not in the cursor format', other, { team: 'a' }, 'x'.repeat(5000), 'invalid cursor'],
		['a future revision', other, { team: 'a' }, later, 'out of range'],
	]
	for (const [name, controller, selection, text, expectedError] of cases)
		assert.equal(
			controller.hub.subscribe(selection, text, { onEventsAvailable: () => {}, onEnd: () => {} }),
			expectedError,
			name,
		)
})

test('a stream that breaks before its first event resumes where it started', () => {
	for (const selection of [{ team: 'a' }, { uids: ['job-000001'] }] as Selection[]) {
		const records = new RecordLog()
		records.change('job-000001', 'a', 0)
		const [one, other] = [new FakeController(records), new FakeController(records)]
		one.read()
		const subscription = one.subscribe(selection)
		const cursor = subscription.cursor()
		subscription.end(null)
		records.change('job-000001', 'a', 5, 'done')
		other.read()
		assert.deepEqual(summaries(takeEvents(other.subscribe(selection, cursor))), ['job-000001 done 5'])
	}
})

test('a reader behind the retained terminal states must restart, any other may resume', () => {
	const records = new RecordLog()
	for (let i = 0; i < 40; i++) records.change(`job-00${1000 + i}`, i < 20 ? 'a' : 'b', 0)
	const controller = new FakeController(records, 8)
	controller.read()
	const streams = [controller.subscribe({ team: 'a' }), controller.subscribe({ team: 'b' })]
	const cursors = streams.map((stream) => takeEvents(stream).pop()!.cursor)
	for (let i = 0; i < 20; i++) records.change(`job-00${1000 + i}`, 'a', 5, 'done')
	controller.read()
	assert.deepEqual(takeEvents(streams[0]), [], 'the reader is too far behind')
	assert.equal(streams[0].endReason, 'too far behind')
	assert.equal(
		controller.hub.subscribe({ team: 'a' }, cursors[0], { onEventsAvailable: () => {}, onEnd: () => {} }),
		'out of range',
	)
	// No terminal state of this team was evicted, however many the other team had.
	records.change('job-001020', 'b', 5, 'done')
	controller.read()
	assert.deepEqual(summaries(takeEvents(controller.subscribe({ team: 'b' }, cursors[1]), 1)), [
		'job-001020 done 5',
	])
	// A stream by ids finds a terminal state however old it is.
	assert.deepEqual(summaries(takeEvents(controller.subscribe({ uids: ['job-001000'] }))), [
		'job-001000 done 5',
	])
})

test('the cost of a change does not depend on the number of streams, nor on how many are stalled', () => {
	const measureCost = (streams: number, stalled: boolean) => {
		const records = new RecordLog()
		for (let i = 0; i < 200; i++) records.change(`job-00${1000 + i}`, 'a', 0)
		const controller = new FakeController(records)
		controller.read()
		const subscriptions = Array.from({ length: streams }, () => controller.subscribe({ team: 'a' }))
		for (const subscription of subscriptions) takeEvents(subscription)
		let jobReads = 0
		const readJob = controller.openJob.bind(controller)
		controller.openJob = (uid) => {
			jobReads++
			return readJob(uid)
		}
		for (let round = 0; round < 50; round++) {
			for (let i = 0; i < 10; i++) records.change(`job-00${1000 + i}`, 'a', round)
			controller.read()
			controller.hub.publishChanges()
			if (!stalled) for (const subscription of subscriptions) takeEvents(subscription)
		}
		const readsWhileChanging = jobReads
		const left = stalled ? takeEvents(subscriptions[0]).length : 0
		return { reads: readsWhileChanging, left }
	}
	const [one, many] = [measureCost(1, true), measureCost(500, true)]
	assert.equal(many.reads, one.reads, 'the work per change does not depend on the streams')
	assert.equal(one.left, 10, 'a reader that read nothing during 500 changes gets ten states')
})

test('streams are admitted within limits, and refused readers get distinct retry delays', () => {
	let now = 0
	const limits = { streams: 10, streamsPerTeam: 6, jobIdsPerStream: 4, jobIds: 12, opensPerSecond: 5 }
	const admission = new StreamAdmission(limits, () => now)
	assert.equal(admission.admit('a', 5)?.reason, 'too many ids')
	for (let i = 0; i < 5; i++) assert.equal(admission.admit('a', 0), null)
	const refusals = Array.from({ length: 40 }, () => admission.admit('b', 0))
	assert.ok(refusals.every((refusal) => refusal?.reason === 'too many begin'))
	const delaysMs = refusals.map((refusal) => refusal!.retryAfterMs)
	assert.ok(delaysMs.every((ms) => ms >= 1000 && ms <= 30_000))
	assert.equal(new Set(delaysMs).size, delaysMs.length, 'each has a distinct retry delay')
	now += 1000
	assert.equal(admission.admit('a', 0), null)
	assert.equal(admission.admit('a', 0)?.reason, 'too many streams', 'the limit per team')
	for (const idCount of [4, 4, 4]) assert.equal(admission.admit('b', idCount), null)
	assert.equal(admission.admit('c', 1)?.reason, 'too many streams', 'the limit of ids of all streams')
	assert.equal(admission.admit('c', 0), null)
	assert.equal(admission.admit('c', 0)?.reason, 'too many streams', 'the limit of streams of all teams')
	admission.release('b', 4)
	now += 1000
	assert.equal(admission.admit('c', 4), null, 'a released stream frees its ids')
})

test('a burst for many readers is sent in turns of bounded length', () => {
	const turns: (() => void)[] = []
	const scheduler = new SendScheduler(10, (run) => turns.push(run))
	const sent: number[] = []
	const senders = Array.from({ length: 5 }, (_, index) => {
		let left = index === 0 ? 1000 : 4
		return {
			send: () => {
				sent.push(index)
				return --left > 0
			},
		}
	})
	for (const sender of senders) scheduler.enqueue(sender)
	let longest = 0
	for (let turn = 0; turn < 3; turn++) {
		const before = sent.length
		turns.shift()!()
		longest = Math.max(longest, sent.length - before)
	}
	assert.equal(longest, 10, 'no turn exceeds its bound')
	for (let senderIndex = 1; senderIndex < 5; senderIndex++)
		assert.equal(
			sent.filter((sentBy) => sentBy === senderIndex).length,
			4,
			'the busy sender delays no other sender',
		)
	assert.ok(comparePositions({ revision: 1, uid: 'b' }, { revision: 1, uid: 'a' }) > 0)
})
