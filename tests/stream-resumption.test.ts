/**
 * Guards against terminal events that a reader misses because a cursor stands for every terminal state up to its
 * revision.
 *
 * A server that lacks a state still moves the cursor past it. If the state becomes known there later, the stream does
 * not deliver it; at the next server it is before the cursor, counts as delivered, and the stream ends as complete. All
 * traces of missed events have this in common (incidents 27, 30 and 32; the entry in KNOWN-RED.txt).
 *
 * The tests are deterministic: servers are scripted, or are controllers of the real service that read the state service
 * only when the test says so, while the test writes the records in a fixed order.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { JobWatcher } from '../packages/client/src/job-watcher.js'
import type { RetryingCaller } from '../packages/client/src/retrying-caller.js'
import type { JobEvent, StreamEnd, Transport } from '../packages/client/src/transport.js'
import { fakeTransportPool } from './fake-transport-pool.js'
import { Records, SteppedController, Stream } from './stepped-controller.js'
import {
	changePageDuringFullRead,
	INTERLEAVINGS,
	type Interleaving,
	LOST_JOB,
	MISSED_CHANGES,
	NAMED_JOBS,
	OPEN_JOB,
	OTHER_JOB,
	runInterleaving,
} from './stream-interleavings.js'

const TEAM = { team: 'core' }

// ---- the client ----

const COMPLETE: StreamEnd = { kind: 'complete' }
/** The connection broke, as it does when a controller crashes. */
const CONNECTION_LOST: StreamEnd = {
	kind: 'retryable',
	text: 'UNAVAILABLE: Connection dropped',
	retryAfterMs: null,
	mayBeAccepted: true,
	isUnreachable: false,
	isConnectionLost: true,
}

const doneEvent = (uid: string, cursor: string): JobEvent => ({
	uid,
	state: 'done',
	done: 1,
	running: 0,
	tasks: 1,
	cursor,
	afterGap: false,
})

/** One stream of a server: the cursor in its headers, its events, and how it ends. */
interface ScriptedStream {
	headers: string
	events: JobEvent[]
	end: StreamEnd
}
/** Returns the stream that a server sends for a cursor. */
type Server = (cursor: string) => ScriptedStream

/** Knows every terminal state, and takes those before a cursor as delivered by an earlier server. */
const completeServer: Server = (cursor) =>
	cursor === ''
		? {
				headers: 'present',
				events: [doneEvent(OPEN_JOB, 'after 1'), doneEvent(LOST_JOB, 'after 2')],
				end: COMPLETE,
			}
		: { headers: cursor, events: [], end: COMPLETE }

/** A watcher whose streams go to these servers in turn; the last one serves all further streams. */
const createWatcher = (servers: readonly Server[]) => {
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
	return {
		cursors,
		watcher: new JobWatcher(fakeTransportPool([transport]), {} as RetryingCaller, 1000, () => 0.5),
	}
}

const runWatch = async (servers: readonly Server[], maxMs: number) => {
	const { cursors, watcher } = createWatcher(servers)
	const abort = new AbortController()
	const timer = setTimeout(() => abort.abort(), maxMs)
	const delivered: string[] = []
	let end = 'complete'
	try {
		for await (const { uid } of watcher.watch(NAMED_JOBS, { signal: abort.signal })) delivered.push(uid)
	} catch (error) {
		end = abort.signal.aborted ? 'still watching' : String(error)
	} finally {
		clearTimeout(timer)
	}
	return { cursors, delivered, end }
}

/**
 * Guards against a watch by ids that ends without the terminal event of a job: it must restart with the current state,
 * drop repeated events, and end only once it has one terminal event of each job.
 */
const INCOMPLETE_SERVERS: { name: string; servers: Server[] }[] = [
	{
		name: 'the first server delivers one job, lacks the other, and breaks',
		servers: [
			() => ({ headers: 'present', events: [doneEvent(OPEN_JOB, 'after 3')], end: CONNECTION_LOST }),
			completeServer,
		],
	},
	{
		name: 'the first server lacks both jobs and breaks before its first event',
		servers: [() => ({ headers: 'after 3', events: [], end: CONNECTION_LOST }), completeServer],
	},
	{
		name: 'the first server delivers one job, lacks the other, and completes the stream',
		servers: [
			() => ({ headers: 'present', events: [doneEvent(OPEN_JOB, 'after 3')], end: COMPLETE }),
			completeServer,
		],
	},
	{
		name: 'two servers lack a job in turn',
		servers: [
			() => ({ headers: 'present', events: [doneEvent(OPEN_JOB, 'after 3')], end: CONNECTION_LOST }),
			(cursor) => ({ headers: cursor || 'present', events: [], end: CONNECTION_LOST }),
			completeServer,
		],
	},
	{
		name: 'the cursor was rejected, and the server at which the watch restarted lacks a job',
		servers: [
			() => ({ headers: 'present', events: [], end: CONNECTION_LOST }),
			() => ({ headers: '', events: [], end: { kind: 'restart', text: 'no longer retained' } }),
			() => ({ headers: 'present', events: [doneEvent(OPEN_JOB, 'after 3')], end: CONNECTION_LOST }),
			completeServer,
		],
	},
]

for (const { name, servers } of INCOMPLETE_SERVERS)
	test(`a watch by ids does not end without a terminal event of each job: ${name}`, async () => {
		const { delivered, end, cursors } = await runWatch(servers, 10_000)
		assert.deepEqual(
			{ delivered: delivered.sort(), end },
			{ delivered: [OPEN_JOB, LOST_JOB], end: 'complete' },
			`streams at ${JSON.stringify(cursors)}`,
		)
	})

/**
 * Guards against two faults at a server that completes streams while a job is outstanding: the watch ends, or it
 * retries without a delay.
 */
test('a watch by ids continues at a server that always completes it too early, with growing retry delays', async () => {
	const incompleteServer: Server = () => ({
		headers: 'present',
		events: [doneEvent(OPEN_JOB, 'after 3')],
		end: COMPLETE,
	})
	const { delivered, end, cursors } = await runWatch([incompleteServer], 1000)
	assert.deepEqual({ delivered, end }, { delivered: [OPEN_JOB], end: 'still watching' })
	assert.ok(cursors.length >= 2 && cursors.length <= 8, `${cursors.length} streams in a second`)
})

// ---- the server ----

/** What happens to the event of `LOST_JOB` while the reader's connection lasts. */
const outcomeOf = (stream: Stream | null): string => {
	if (stream === null) return 'not opened'
	if (stream.terminalJobs.includes(LOST_JOB)) return 'delivered'
	if (stream.endReasons.length > 0) return 'ended'
	return stream.subscription.isComplete ? 'complete without it' : 'waits forever'
}

/**
 * Guards against a stream that stays open and never delivers a durable terminal state, so that its reader waits
 * forever. The stream may be refused, or may end so that its reader retries.
 */
for (const interleaving of INTERLEAVINGS)
	test(`an open stream by ids delivers each durable terminal state, or ends: ${interleaving.name}`, async () => {
		const outcome = outcomeOf((await runInterleaving(interleaving)).stream)
		assert.ok(['delivered', 'ended', 'not opened'].includes(outcome), outcome)
	})

/**
 * Guards against a cursor that covers an undelivered state: the stream breaks before it delivers the state, and the
 * next controller, which knows every state, must not complete the stream without it.
 */
for (const interleaving of INTERLEAVINGS)
	test(`a cursor of a stream by ids covers no terminal state that was not delivered: ${interleaving.name}`, async () => {
		const { records, stream } = await runInterleaving(interleaving)
		if (stream === null || stream.terminalJobs.includes(LOST_JOB)) return
		const { subscription } = stream
		records.finishOnPage(OPEN_JOB)
		const nextController = new SteppedController(records)
		const restarted = await nextController.open(subscription.selection)
		assert.ok(
			restarted instanceof Stream && restarted.take().terminalJobs.includes(LOST_JOB),
			'the next controller has it',
		)
		const next = await nextController.open(subscription.selection, subscription.cursor())
		assert.ok(next instanceof Stream, String(next))
		next.take()
		assert.deepEqual(
			{
				eventsOfLostJob: next.terminalJobs.filter((uid) => uid === LOST_JOB),
				isComplete: next.subscription.isComplete,
			},
			{ eventsOfLostJob: [LOST_JOB], isComplete: true },
			`resumed at ${subscription.cursor()}`,
		)
	})

/**
 * Guards against a team's stream that continues past a state that it never delivered: it must deliver the state, or
 * report a gap so that its reader restarts.
 */
const TEAM_INTERLEAVINGS: Interleaving[] = [
	{
		name: 'a terminal state is written to a page while changes are missed',
		retainedChanges: MISSED_CHANGES.retained,
		run: async (records, controller) => {
			records.accept(LOST_JOB)
			const stream = await controller.open(TEAM)
			assert.ok(stream instanceof Stream)
			stream.take()
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
			for (const uid of [LOST_JOB, OTHER_JOB]) records.accept(uid)
			const stream = await controller.open(TEAM)
			assert.ok(stream instanceof Stream)
			stream.take()
			records.finishOnPage(LOST_JOB)
			records.makeUnrelatedChanges(MISSED_CHANGES.count)
			changePageDuringFullRead(records, controller)
			return stream
		},
	},
	{
		name: 'a job finishes and is archived while changes are missed',
		retainedChanges: MISSED_CHANGES.retained,
		run: async (records, controller) => {
			records.setFormat(false)
			records.accept(LOST_JOB)
			const stream = await controller.open(TEAM)
			assert.ok(stream instanceof Stream)
			stream.take()
			records.finishOnPage(LOST_JOB)
			records.archive()
			records.removeAcceptance(LOST_JOB)
			records.makeUnrelatedChanges(MISSED_CHANGES.count)
			return stream
		},
	},
]

/** As `outcomeOf`, for a reader by team that resumes at the same controller if its stream ended. */
const outcomeForTeam = async (controller: SteppedController, stream: Stream): Promise<string> => {
	const outcome = outcomeOf(stream)
	if (outcome !== 'ended' || stream.endReasons.includes('too far behind')) return outcome
	const resumed = await controller.open(TEAM, stream.subscription.cursor())
	if (resumed instanceof Stream)
		return resumed.take().terminalJobs.includes(LOST_JOB) ? 'delivered' : 'resumed without it'
	return String(resumed)
}

for (const interleaving of TEAM_INTERLEAVINGS)
	test(`an open stream of a team delivers each terminal state or reports a gap: ${interleaving.name}`, async () => {
		const { controller, stream } = await runInterleaving(interleaving)
		assert.ok(stream !== null)
		const outcome = await outcomeForTeam(controller, stream)
		// 'ended': the reader is too far behind.
		assert.ok(['delivered', 'ended', 'out of range'].includes(outcome), outcome)
	})

/** Resumes the stream of a team, opened at a controller that knows every state, at one that has just booted. */
const resumeTeamStream = async (
	records: Records,
	prepareNext: (next: SteppedController) => void,
	{ retainedStates, beforeResuming }: { retainedStates?: number; beforeResuming: () => void },
): Promise<{ outcome: string; delivered: string[] }> => {
	const first = await new SteppedController(records).open(TEAM)
	assert.ok(first instanceof Stream)
	const cursor = first.take().subscription.cursor()
	beforeResuming()
	const controller = new SteppedController(records, retainedStates)
	prepareNext(controller)
	const next = await controller.open(TEAM, cursor)
	if (!(next instanceof Stream)) return { outcome: String(next), delivered: [] }
	next.take()
	return { outcome: next.endReasons.join() || 'open', delivered: next.terminalJobs }
}

/** Guards against states missing from their team's log because their page changed during the first full read. */
test('a resumed stream of a team delivers what finished meanwhile or is rejected: a page changed during the first full read', async () => {
	const records = new Records()
	records.fillFirstPage()
	for (const uid of [LOST_JOB, OTHER_JOB]) records.accept(uid)
	const { outcome, delivered } = await resumeTeamStream(
		records,
		(next) => changePageDuringFullRead(records, next),
		{
			beforeResuming: () => records.finishOnPage(LOST_JOB),
		},
	)
	if (outcome !== 'out of range')
		assert.deepEqual(delivered, [LOST_JOB, OTHER_JOB], `the stream is ${outcome}`)
})

/**
 * Guards against a log that loses track of how far it was trimmed: the oldest states, which a full read returned last,
 * were trimmed last, and the log claimed to retain everything after them.
 */
test('a resumed stream of a team delivers what finished meanwhile or is rejected: a full read returns the oldest states last', async () => {
	const records = new Records()
	for (let job = 0; job < 6; job++) records.finishUnderOwnKey(`job-0009${String(job).padStart(2, '0')}`)
	const finishedJobs = Array.from({ length: 10 }, (_, job) => `job-0005${String(job).padStart(2, '0')}`)
	const { outcome, delivered } = await resumeTeamStream(records, () => {}, {
		retainedStates: 4,
		beforeResuming: () => {
			for (const uid of finishedJobs) records.finishUnderOwnKey(uid)
		},
	})
	if (outcome !== 'out of range') assert.deepEqual(delivered, finishedJobs, `the stream is ${outcome}`)
})
