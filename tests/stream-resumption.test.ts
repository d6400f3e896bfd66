/**
 * Terminal events that a reader misses since a stream goes on from one position, and takes everything before it for told.
 *
 * A cursor says: every terminal state up to this revision was told. A server that lacks one state moves the position past
 * it all the same. If the state becomes known there later, the stream does not tell it. At the next server the state lies
 * before the cursor: it counts as told, and the stream ends as complete. That is what all traces of missed events have in
 * common (incidents 27, 30 and 32; the entry in KNOWN-RED.txt).
 *
 * No test here waits for an unlucky moment. Servers are scripted, or are controllers of the real service that read the
 * state service only when the test says so, while the test writes the records in the order that it names.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { JobWatcher } from '../packages/client/src/job-watcher.js'
import type { RetryingCaller } from '../packages/client/src/retrying-caller.js'
import type { JobEvent, StreamEnd, Transport } from '../packages/client/src/transport.js'
import { poolOf } from './fake-transport-pool.js'
import { Records, SteppedController, Stream } from './stepped-controller.js'
import {
	changePageDuringFullRead,
	LOST,
	MISSED_CHANGES,
	NAMED,
	OPEN,
	ORDERS,
	type Order,
	OTHER,
	playOrder,
} from './stream-interleavings.js'

const TEAM = { team: 'core' }

// ---- the client ----

const COMPLETE: StreamEnd = { kind: 'complete' }
/** The connection broke, as it does when a controller crashes. */
const BROKEN: StreamEnd = {
	kind: 'retryable',
	text: 'UNAVAILABLE: Connection dropped',
	retryAfterMs: null,
	mayBeAccepted: true,
	isUnreachable: false,
	isConnectionLost: true,
}

const done = (uid: string, cursor: string): JobEvent => ({
	uid,
	state: 'done',
	done: 1,
	running: 0,
	tasks: 1,
	cursor,
	afterGap: false,
})

/** One stream of a server: the cursor that its headers tell, its events, and how it ends. */
interface ScriptedStream {
	headers: string
	events: JobEvent[]
	end: StreamEnd
}
/** What a server answers to a cursor. */
type Server = (cursor: string) => ScriptedStream

/** It has every terminal state; of those before a cursor it holds that an earlier server told them. */
const whole: Server = (cursor) =>
	cursor === ''
		? { headers: 'present', events: [done(OPEN, 'after 1'), done(LOST, 'after 2')], end: COMPLETE }
		: { headers: cursor, events: [], end: COMPLETE }

/** A watcher whose streams go to these servers, one after the other; the last one serves all further streams. */
const watcherAt = (servers: readonly Server[]) => {
	const cursors: string[] = []
	const transport: Pick<Transport, 'watch'> = {
		async *watch({ cursor }, _signal, onStart) {
			const server = servers[Math.min(cursors.length, servers.length - 1)]
			cursors.push(cursor)
			await new Promise(setImmediate)
			const { headers, events, end } = server(cursor)
			onStart(headers)
			yield* events
			return end
		},
	}
	return { cursors, watcher: new JobWatcher(poolOf([transport]), {} as RetryingCaller, 1000, () => 0.5) }
}

const ranFor = async (servers: readonly Server[], maxMs: number) => {
	const { cursors, watcher } = watcherAt(servers)
	const abort = new AbortController()
	const timer = setTimeout(() => abort.abort(), maxMs)
	const told: string[] = []
	let end = 'complete'
	try {
		for await (const { uid } of watcher.watch(NAMED, { signal: abort.signal })) told.push(uid)
	} catch (error) {
		end = abort.signal.aborted ? 'still watching' : String(error)
	} finally {
		clearTimeout(timer)
	}
	return { cursors, told, end }
}

/**
 * Guards against a watch by ids that ends without a named job's terminal event: it must begin anew with the present state,
 * drop what it was told before, and end only once it has one terminal event of each job.
 */
const LACKING_SERVERS: { name: string; servers: Server[] }[] = [
	{
		name: 'the first server tells one job, lacks the other, and breaks',
		servers: [() => ({ headers: 'present', events: [done(OPEN, 'after 3')], end: BROKEN }), whole],
	},
	{
		name: 'the first server lacks both jobs and breaks before its first event',
		servers: [() => ({ headers: 'after 3', events: [], end: BROKEN }), whole],
	},
	{
		name: 'the first server tells one job, lacks the other, and calls the stream complete',
		servers: [() => ({ headers: 'present', events: [done(OPEN, 'after 3')], end: COMPLETE }), whole],
	},
	{
		name: 'two servers lack a job in turn',
		servers: [
			() => ({ headers: 'present', events: [done(OPEN, 'after 3')], end: BROKEN }),
			(cursor) => ({ headers: cursor || 'present', events: [], end: BROKEN }),
			whole,
		],
	},
	{
		name: 'the position was rejected, and the server at which the watch began anew lacks a job',
		servers: [
			() => ({ headers: 'present', events: [], end: BROKEN }),
			() => ({ headers: '', events: [], end: { kind: 'restart', text: 'not kept any more' } }),
			() => ({ headers: 'present', events: [done(OPEN, 'after 3')], end: BROKEN }),
			whole,
		],
	},
]

for (const { name, servers } of LACKING_SERVERS)
	test(`a watch by ids does not end without a terminal event of each job: ${name}`, async () => {
		const { told, end, cursors } = await ranFor(servers, 10_000)
		assert.deepEqual(
			{ told: told.sort(), end },
			{ told: [OPEN, LOST], end: 'complete' },
			`streams at ${JSON.stringify(cursors)}`,
		)
	})

/**
 * Guards against the two wrong ends of a watch at a server that calls streams complete while a job is outstanding: that the
 * watch ends, or that it asks again as fast as it is answered.
 */
test('a watch by ids goes on at a server that always calls it complete too early, and asks less and less often', async () => {
	const lacking: Server = () => ({ headers: 'present', events: [done(OPEN, 'after 3')], end: COMPLETE })
	const { told, end, cursors } = await ranFor([lacking], 1000)
	assert.deepEqual({ told, end }, { told: [OPEN], end: 'still watching' })
	assert.ok(cursors.length >= 2 && cursors.length <= 8, `${cursors.length} streams in a second`)
})

// ---- the server ----

/** What a reader of the stream experiences, as long as its connection holds. */
const outcomeOf = (stream: Stream | null): string => {
	if (stream === null) return 'does not begin'
	if (stream.terminalJobs.includes(LOST)) return 'told'
	if (stream.ends.length > 0) return 'ends'
	return stream.subscription.isComplete ? 'complete without it' : 'waits for ever'
}

/**
 * Guards against a stream that stays open and never tells a terminal state that is durable: whoever waits for the event
 * waits for ever. The stream may not begin, or may end so that its reader comes back.
 */
for (const order of ORDERS)
	test(`an open stream by ids tells each durable terminal state, or ends: ${order.name}`, async () => {
		const outcome = outcomeOf((await playOrder(order)).stream)
		assert.ok(['told', 'ends', 'does not begin'].includes(outcome), outcome)
	})

/**
 * Guards against a cursor that claims what was not told: the stream breaks before it tells the state, and the next
 * controller, which knows every state, must not end the stream as complete without it.
 */
for (const order of ORDERS)
	test(`a cursor of a stream by ids claims no terminal state that was not told: ${order.name}`, async () => {
		const { records, stream } = await playOrder(order)
		if (stream === null || stream.terminalJobs.includes(LOST)) return
		const { subscription } = stream
		records.endOnPage(OPEN)
		const nextController = new SteppedController(records)
		const anew = await nextController.open(subscription.selection)
		assert.ok(anew instanceof Stream && anew.take().terminalJobs.includes(LOST), 'the next controller has it')
		const next = await nextController.open(subscription.selection, subscription.cursor())
		assert.ok(next instanceof Stream, String(next))
		next.take()
		assert.deepEqual(
			{ tells: next.terminalJobs.filter((uid) => uid === LOST), isComplete: next.subscription.isComplete },
			{ tells: [LOST], isComplete: true },
			`resumed at ${subscription.cursor()}`,
		)
	})

/**
 * Guards against a team's stream that goes on over a state which it never told: it must tell the state, or say that there
 * is a gap, so that its reader begins anew.
 */
const TEAM_ORDERS: Order[] = [
	{
		name: 'a job ends on a page while changes are missed',
		watchLog: MISSED_CHANGES.watchLog,
		play: async (records, controller) => {
			records.accept(LOST)
			const stream = await controller.open(TEAM)
			assert.ok(stream instanceof Stream)
			stream.take()
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
			for (const uid of [LOST, OTHER]) records.accept(uid)
			const stream = await controller.open(TEAM)
			assert.ok(stream instanceof Stream)
			stream.take()
			records.endOnPage(LOST)
			records.makeChanges(MISSED_CHANGES.count)
			changePageDuringFullRead(records, controller)
			return stream
		},
	},
	{
		name: 'a job ends and is archived while changes are missed',
		watchLog: MISSED_CHANGES.watchLog,
		play: async (records, controller) => {
			records.setFormat(false)
			records.accept(LOST)
			const stream = await controller.open(TEAM)
			assert.ok(stream instanceof Stream)
			stream.take()
			records.endOnPage(LOST)
			records.archive()
			records.removeAcceptance(LOST)
			records.makeChanges(MISSED_CHANGES.count)
			return stream
		},
	},
]

/** What a reader by team experiences: if its stream ended, it resumes at the same controller. */
const teamOutcome = async (controller: SteppedController, stream: Stream): Promise<string> => {
	const outcome = outcomeOf(stream)
	if (outcome !== 'ends' || stream.ends.includes('too far behind')) return outcome
	const resumed = await controller.open(TEAM, stream.subscription.cursor())
	if (resumed instanceof Stream)
		return resumed.take().terminalJobs.includes(LOST) ? 'told' : 'resumed without it'
	return String(resumed)
}

for (const order of TEAM_ORDERS)
	test(`an open stream of a team tells each terminal state, or that there is a gap: ${order.name}`, async () => {
		const { controller, stream } = await playOrder(order)
		assert.ok(stream !== null)
		const outcome = await teamOutcome(controller, stream)
		// 'ends': the reader is too far behind.
		assert.ok(['told', 'ends', 'out of range'].includes(outcome), outcome)
	})

/** A reader of a team goes from a controller that knows everything to one that has just booted. */
const resumeTeamAt = async (
	records: Records,
	prepareNext: (next: SteppedController) => void,
	{ retained, after }: { retained?: number; after: () => void },
): Promise<{ outcome: string; told: string[] }> => {
	const first = await new SteppedController(records).open(TEAM)
	assert.ok(first instanceof Stream)
	const cursor = first.take().subscription.cursor()
	after()
	const controller = new SteppedController(records, retained)
	prepareNext(controller)
	const next = await controller.open(TEAM, cursor)
	if (!(next instanceof Stream)) return { outcome: String(next), told: [] }
	next.take()
	return { outcome: next.ends.join() || 'open', told: next.terminalJobs }
}

/** Guards against a page that changes during the first full read: no state on it was put into the log of its team. */
test('a resumed stream of a team tells what ended meanwhile or is rejected: a page changed during the first full read', async () => {
	const records = new Records()
	records.fillFirstPage()
	for (const uid of [LOST, OTHER]) records.accept(uid)
	const { outcome, told } = await resumeTeamAt(records, (next) => changePageDuringFullRead(records, next), {
		after: () => records.endOnPage(LOST),
	})
	if (outcome !== 'out of range') assert.deepEqual(told, [LOST, OTHER], `the stream is ${outcome}`)
})

/**
 * Guards against a log that forgets how far it was trimmed: states of long ago that a full read meets last are trimmed
 * last, and the log claimed to keep everything after those.
 */
test('a resumed stream of a team tells what ended meanwhile or is rejected: a full read meets the oldest states last', async () => {
	const records = new Records()
	for (let job = 0; job < 6; job++) records.endUnderOwnKey(`job-0009${String(job).padStart(2, '0')}`)
	const ended = Array.from({ length: 10 }, (_, job) => `job-0005${String(job).padStart(2, '0')}`)
	const { outcome, told } = await resumeTeamAt(records, () => {}, {
		retained: 4,
		after: () => {
			for (const uid of ended) records.endUnderOwnKey(uid)
		},
	})
	if (outcome !== 'out of range') assert.deepEqual(told, ended, `the stream is ${outcome}`)
})
