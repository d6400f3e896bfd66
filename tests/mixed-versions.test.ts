/**
 * Clients and servers of the previous version (575715b) next to current ones, as in a rolling upgrade. Previous readers
 * by ids resume at a cursor; current ones start each stream with the current state, and current servers deliver late
 * states.
 *
 * The current client gets each terminal event once from any mix of servers, as soon as one stream that has them all
 * lasts long enough. The previous client gets each one once as long as all its streams are at current servers. It can
 * lose an event after a stream at a previous server: that server's cursor also covers states that it did not know, the
 * previous client trusts the cursor, and no later server can tell it from one whose states were all delivered.
 */
import assert from 'node:assert/strict'
import { type TestContext, test } from 'node:test'
import { credentials } from '@grpc/grpc-js'
import { Client, type ClientOptions, type Selection, type WatchWarning } from '@heathroad/client'
import { CursorCodec } from '@heathroad/events'
import { eventMessage } from '@heathroad/grpc'
import { type JobsClient, jobsClient, type WatchMessage } from '@heathroad/proto'
import { arrayJob, RealClock, Simulation } from '@heathroad/testkit'
import { GrpcServers } from '../packages/testkit/src/grpc-servers.js'
import { Deadline } from './deadline.js'
import { takeEvents } from './fake-event-controller.js'
import { PreviousVersionReader, PreviousVersionServer } from './previous-versions.js'
import { ScriptedGrpcServer, type ScriptedStream, type Serve } from './scripted-grpc-server.js'
import { INSTALLATION_ID, Records, SteppedController, Stream } from './stepped-controller.js'
import { INTERLEAVINGS, LOST_JOB, NAMED_JOBS, OPEN_JOB, runInterleaving } from './stream-interleavings.js'

const delay = (ms: number): Promise<void> => new Promise((done) => setTimeout(done, ms))
const TEAM = { team: 'core' }
const DEADLINE_MS = 30_000
const TEARDOWN_MS = 10_000

/** Starts a deadline that is cleared after the test. */
const startDeadline = (t: TestContext, ms: number): Deadline => {
	const deadline = new Deadline(ms)
	t.after(() => deadline.clear())
	return deadline
}

/** A gRPC client of the jobs service, closed after the test. */
const connectJobsClient = (t: TestContext, address: string): JobsClient => {
	const client = new (jobsClient())(address, credentials.createInsecure())
	t.after(() => client.close())
	return client
}

const startServer = async (t: TestContext, serve: Serve): Promise<ScriptedGrpcServer> => {
	const server = await new ScriptedGrpcServer(serve).start()
	t.after(() => server.stop())
	return server
}

/** The jobs of the terminal events that the current client delivers until its watch ends. */
const readWithCurrentClient = async (
	t: TestContext,
	address: string,
	options: ClientOptions = {},
): Promise<string[]> => {
	const client = new Client({ ...options, grpc: [address] }, () => 0)
	t.after(() => client.close())
	const delivered: string[] = []
	const signal = AbortSignal.timeout(DEADLINE_MS)
	for await (const { uid, state } of client.watch(NAMED_JOBS, { signal }))
		if (state === 'done') delivered.push(uid)
	return delivered
}

// ---- servers ----

/** Revisions at which `finishBothJobs` writes the terminal states. */
const TERMINAL_REVISIONS = new Map([
	[LOST_JOB, 3],
	[OPEN_JOB, 4],
])
const LAST_REVISION = 4

/** Accepts and finishes both jobs. */
const finishBothJobs = (): Records => {
	const records = new Records()
	records.accept(OPEN_JOB)
	records.accept(LOST_JOB)
	for (const uid of [LOST_JOB, OPEN_JOB]) assert.equal(records.finishOnPage(uid), TERMINAL_REVISIONS.get(uid))
	return records
}

/** Serves one stream of a current controller; it breaks after the given number of events, or where it would wait. */
const serveCurrentVersion = async (
	controller: SteppedController,
	{ uids, cursor }: WatchMessage,
	eventsBeforeBreak = Number.POSITIVE_INFINITY,
): Promise<ScriptedStream> => {
	const stream = await controller.open({ uids }, cursor)
	if (!(stream instanceof Stream)) return { headers: '', events: [], end: 'cursor rejected' }
	const { subscription, cursor: headers } = stream
	const events = takeEvents(subscription, eventsBeforeBreak).map(eventMessage)
	const end = subscription.isComplete && events.length < eventsBeforeBreak ? 'complete' : 'broken'
	subscription.end(null)
	return { headers, events, end }
}

// ---- the previous client, current servers ----

/** Numbers of events that are read before the connection breaks. */
const EVENTS_BEFORE_BREAK = [0, 1, 2, 3]

for (const interleaving of INTERLEAVINGS)
	test(`the previous client gets each terminal event once from current servers, wherever its stream breaks: ${interleaving.name}`, async () => {
		for (const eventsBeforeBreak of EVENTS_BEFORE_BREAK) {
			const { records, stream } = await runInterleaving(interleaving, eventsBeforeBreak)
			records.finishOnPage(OPEN_JOB)
			const selection: Selection = stream?.subscription.selection ?? NAMED_JOBS
			assert.ok('uids' in selection)
			const next = await new SteppedController(records).open(selection, stream?.cursor)
			assert.ok(next instanceof Stream, String(next))
			const delivered = [...(stream?.terminalJobs ?? []), ...next.take().terminalJobs]
			assert.deepEqual(
				{ delivered: delivered.sort(), isComplete: next.subscription.isComplete },
				{ delivered: [...selection.uids].sort(), isComplete: true },
				`broken after ${eventsBeforeBreak} events`,
			)
		}
	})

const CONTROLLERS = 3
/** Numbers of events after which the reader cancels its streams, in turn. */
const CANCEL_AFTER_EVENTS = [1, 0, 2, 1, 3]
/** Numbers of streams after which a controller crashes and restarts. */
const CRASHES_AFTER_STREAMS = [5, 15]
const RESTART_S = 0.5
const PAUSE_MS = 60

test('the previous client gets each terminal event once from real servers that restart, though each stream is interrupted', async (t) => {
	const clock = new RealClock(1)
	const workerTimes = { heartbeatIntervalS: 0.5, leaseS: 6, cancelS: 14 }
	const simulation = new Simulation(
		{ seed: 1, untilS: 0, jobs: [], faults: [], workerTimes, up: 8, capacity: 0 },
		clock,
	)
	const servers = new GrpcServers(simulation, CONTROLLERS)
	// Registered before the servers' teardown, so that pending waits of a failed test end first.
	const deadline = startDeadline(t, 2 * DEADLINE_MS)
	t.after(async () => {
		clock.stop()
		const teardown = new Deadline(TEARDOWN_MS)
		const stopped = teardown.within(() => 'the servers to stop', servers.stopAll())
		await Promise.allSettled([stopped])
		// Even if a server does not stop: a controller that still runs would keep the process from exiting.
		const ended = teardown.within(() => 'the controllers to stop', simulation.end())
		await Promise.allSettled([ended])
		teardown.clear()
		await stopped
		await ended
	})
	simulation.begin()
	const uids = Array.from({ length: 6 }, (_, index) => `job-00100${index}`)
	const reader = new PreviousVersionReader(uids)
	const lastCrashAfter = Math.max(...CRASHES_AFTER_STREAMS)
	let streams = 0
	const describe = (what: string) => `${what}; ${streams} streams, delivered: ${reader.delivered.join(' ')}`
	const submitJobs = async (): Promise<void> => {
		const client = new Client({ grpc: servers.ports.map((port) => `127.0.0.1:${port}`) })
		try {
			for (const uid of uids) {
				// So that, even on a slow machine, the watch does not end before the last crash.
				if (uid === uids.at(-1))
					await deadline.until(
						() => describe('the last crash'),
						() => streams > lastCrashAfter,
						PAUSE_MS,
					)
				const job = arrayJob(uid, { tasks: 2, cpus: 0.5, expectedS: 0.3, imageGb: 0.05, spot: false })
				const submitted = client.submit(job, { signal: deadline.signal })
				await deadline.within(() => describe(`${uid} to be accepted`), submitted)
			}
		} finally {
			client.close()
		}
	}
	/** No event can arrive until the last job is submitted, which happens only after the last crash. */
	const isWaitingForLastJob = (): boolean =>
		reader.delivered.length === uids.length - 1 && streams <= lastCrashAfter
	const readStream = async (port: number): Promise<boolean> => {
		const grpcClient = new (jobsClient())(`127.0.0.1:${port}`, credentials.createInsecure())
		const options = {
			// A stream that would wait for the last job is cancelled, so that the crashes still happen.
			cancelAfter: () =>
				isWaitingForLastJob() ? 0 : CANCEL_AFTER_EVENTS[streams % CANCEL_AFTER_EVENTS.length],
			signal: deadline.signal,
		}
		try {
			const read = reader.read(grpcClient, options)
			return (await deadline.within(() => describe(`the stream at port ${port} to end`), read)) === 'complete'
		} finally {
			grpcClient.close()
		}
	}
	const readStreams = async (): Promise<void> => {
		for (let isWatchComplete = false; !isWatchComplete; streams++) {
			const port = servers.ports[streams % CONTROLLERS]
			if (CRASHES_AFTER_STREAMS.includes(streams)) simulation.crash((streams + 1) % CONTROLLERS, RESTART_S)
			await deadline.within(() => describe('a complete stream'), delay(PAUSE_MS))
			if (port !== 0) isWatchComplete = await readStream(port)
		}
	}
	// Wait for all servers, so that each crash hits a server that the reader uses.
	await deadline.until(
		() => describe(`each server to listen, ports ${servers.ports}`),
		() => !servers.ports.includes(0),
		PAUSE_MS,
	)
	await Promise.all([submitJobs(), readStreams()])
	assert.deepEqual([...reader.delivered].sort(), uids, `${streams} streams`)
	assert.deepEqual(reader.duplicates, [], 'no server delivered an event again')
	assert.ok(streams > lastCrashAfter, `${streams} streams`)
})

// ---- the current client, previous servers ----

/** Request bytes of the client of 575715b, recorded with its code: of the first stream and of the next one. */
const PREVIOUS_VERSION_REQUESTS = {
	named: '0a0a6a6f622d3030303130300a0a6a6f622d3030303230301a00',
	namedAtCursor: '0a0a6a6f622d3030303130300a0a6a6f622d3030303230301a0761667465722031',
	team: '1204636f72651a00',
	teamAtCursor: '1204636f72651a0761667465722031',
}
/** Requests for one job have the same format as any first request: its id and an empty cursor. */
const FIRST_REQUEST_BY_JOB: Readonly<Record<string, string>> = {
	[OPEN_JOB]: '0a0a6a6f622d3030303130301a00',
	[LOST_JOB]: '0a0a6a6f622d3030303230301a00',
}
const PREVIOUS_VERSION_HEADERS = ['user-agent', 'watch-id']

test('the current client sends the same requests as the previous one, and by ids each is that of a first stream', async (t) => {
	const event = {
		uid: OPEN_JOB,
		state: 'STATE_DONE',
		done: 1,
		running: 0,
		tasks: 1,
		cursor: 'after 1',
	} as const
	const last = { ...event, uid: LOST_JOB }
	const deadline = startDeadline(t, DEADLINE_MS)
	const { signal } = deadline
	const watch = async (selection: Selection, cursor?: string): Promise<string[]> => {
		const server = await startServer(t, (_, stream) =>
			stream < 2
				? { headers: 'present', events: [event], end: 'broken' }
				: { headers: 'present', events: [event, last], end: 'complete' },
		)
		const client = new Client({ grpc: [server.address] }, () => 0)
		t.after(() => client.close())
		const watchAll = async () => {
			for await (const _ of client.watch(selection, { cursor, signal }));
		}
		await deadline.within(() => `the watch of ${JSON.stringify(selection)} to end`, watchAll())
		assert.deepEqual(server.headerNames, [
			PREVIOUS_VERSION_HEADERS,
			PREVIOUS_VERSION_HEADERS,
			PREVIOUS_VERSION_HEADERS,
		])
		return server.requests
	}
	const { named, namedAtCursor, team, teamAtCursor } = PREVIOUS_VERSION_REQUESTS
	// After a stream without new events, only the outstanding job is requested.
	assert.deepEqual(await watch(NAMED_JOBS), [named, named, FIRST_REQUEST_BY_JOB[LOST_JOB]])
	assert.deepEqual(await watch(TEAM), [team, teamAtCursor, teamAtCursor])
	assert.deepEqual(await watch(NAMED_JOBS, 'after 1'), [namedAtCursor, namedAtCursor, namedAtCursor])
	// The fake previous client sends the same requests as the real one.
	const server = await startServer(t, () => ({ headers: 'present', events: [event], end: 'broken' }))
	const reader = new PreviousVersionReader(NAMED_JOBS.uids)
	for (const stream of [1, 2])
		await deadline.within(
			() => `stream ${stream} to end`,
			reader.read(connectJobsClient(t, server.address), { signal }),
		)
	assert.deepEqual(server.requests, [named, namedAtCursor])
	assert.deepEqual(server.headerNames, [PREVIOUS_VERSION_HEADERS, PREVIOUS_VERSION_HEADERS])
})

test('the current client gets each terminal event once, though previous servers complete its streams too early', async (t) => {
	const complete = new PreviousVersionServer(TERMINAL_REVISIONS, [], LAST_REVISION)
	for (const lost of NAMED_JOBS.uids) {
		const incomplete = new PreviousVersionServer(TERMINAL_REVISIONS, [lost], LAST_REVISION)
		const server = await startServer(t, (request, stream) =>
			stream < 2 ? { ...incomplete.serve(request), end: 'complete' } : complete.serve(request),
		)
		const warnings: WatchWarning[] = []
		const onWarning = (warning: WatchWarning) => void warnings.push(warning)
		const delivered = await readWithCurrentClient(t, server.address, { onWarning })
		assert.deepEqual(delivered.sort(), NAMED_JOBS.uids, `${lost} is missing`)
		assert.deepEqual(
			warnings.map(({ kind, address, uids }) => ({ kind, address, uids })),
			[1, 2].map(() => ({ kind: 'complete too early', address: server.address, uids: [lost] })),
		)
	}
})

// ---- a rolling upgrade ----

/** One stream of a reader: at a previous server, which lacks a state, or at a current one. */
interface StreamPlan {
	version: 'previous' | 'current'
	eventsBeforeBreak: number
}

const STREAM_PLANS: readonly StreamPlan[] = (['previous', 'current'] as const).flatMap((version) =>
	[0, 1, 2].map((eventsBeforeBreak) => ({ version, eventsBeforeBreak })),
)
/** Sequences have up to this many broken streams. */
const MAX_BROKEN_STREAMS = 2

const sequencesOf = (length: number): StreamPlan[][] =>
	length === 0
		? [[]]
		: sequencesOf(length - 1).flatMap((sequence) => [
				sequence,
				...STREAM_PLANS.map((plan) => [...sequence, plan]),
			])

/** All sequences of up to `MAX_BROKEN_STREAMS` streams, each once. */
const SEQUENCES = [
	...new Map(
		sequencesOf(MAX_BROKEN_STREAMS).map((sequence) => [
			sequence
				.map(
					({ version, eventsBeforeBreak }) => `${version} server, broken after ${eventsBeforeBreak} events`,
				)
				.join(', '),
			sequence,
		]),
	),
]

/** Serves the streams of a sequence, and all further ones from a current controller that has every state. */
const serveSequence =
	(sequence: readonly StreamPlan[], previous: PreviousVersionServer, current: SteppedController): Serve =>
	(request, stream) => {
		const { version, eventsBeforeBreak } = sequence[stream] ?? { version: 'current' }
		return version === 'previous'
			? previous.serve(request, eventsBeforeBreak)
			: serveCurrentVersion(current, request, eventsBeforeBreak)
	}

test('a rolling upgrade: the current client gets each terminal event once, whatever previous servers lack', async (t) => {
	const current = new SteppedController(finishBothJobs())
	for (const lost of NAMED_JOBS.uids) {
		const previous = new PreviousVersionServer(TERMINAL_REVISIONS, [lost], LAST_REVISION)
		const results = SEQUENCES.map(async ([name, sequence]) => {
			const server = await startServer(t, serveSequence(sequence, previous, current))
			const delivered = await readWithCurrentClient(t, server.address)
			assert.deepEqual(delivered.sort(), NAMED_JOBS.uids, `${lost} is missing: ${name}`)
			const firstStreamRequests = [PREVIOUS_VERSION_REQUESTS.named, ...Object.values(FIRST_REQUEST_BY_JOB)]
			assert.deepEqual(
				server.requests.filter((request) => !firstStreamRequests.includes(request)),
				[],
			)
		})
		await Promise.all(results)
	}
})

test('a rolling upgrade: the previous client loses an event only after a stream at a server that lacks it', async (t) => {
	const current = new SteppedController(finishBothJobs())
	let losses = 0
	for (const lost of NAMED_JOBS.uids) {
		const deadline = startDeadline(t, 2 * DEADLINE_MS)
		const { signal } = deadline
		const previous = new PreviousVersionServer(TERMINAL_REVISIONS, [lost], LAST_REVISION)
		const results = SEQUENCES.map(async ([name, sequence]) => {
			const server = await startServer(t, serveSequence(sequence, previous, current))
			const grpcClient = connectJobsClient(t, server.address)
			const reader = new PreviousVersionReader(NAMED_JOBS.uids)
			const context = `${lost} is missing: ${name}`
			const readNext = () =>
				deadline.within(() => `the stream to end, ${context}`, reader.read(grpcClient, { signal }))
			while ((await readNext()) !== 'complete');
			const delivered = [...reader.delivered].sort()
			const hasLost = delivered.length < NAMED_JOBS.uids.length
			assert.deepEqual(reader.duplicates, [], context)
			assert.deepEqual(
				delivered,
				hasLost ? NAMED_JOBS.uids.filter((uid) => uid !== lost) : NAMED_JOBS.uids,
				context,
			)
			// The cursor that covers the lost state belongs to an event that a previous server delivered.
			if (hasLost)
				assert.ok(
					sequence.some(({ version, eventsBeforeBreak }) => version === 'previous' && eventsBeforeBreak > 0),
					context,
				)
			if (hasLost) losses++
		})
		await Promise.all(results)
	}
	assert.ok(losses > 0, 'the fake previous client trusts cursors')
})

// ---- cursors ----

/** Cursors of `NAMED_JOBS` that the code of 575715b wrote, in the installation of the tests' controllers. */
const PREVIOUS_VERSION_CURSORS = [
	{
		text: '1.p.3..DXQ_DmOKXApkHUyi',
		position: { phase: 'present', revision: 3, uid: '' },
		remainingJobs: [LOST_JOB, OPEN_JOB],
	},
	{
		text: '1.p.3.job-000100.wvZIIbJJYhhEWW8X',
		position: { phase: 'present', revision: 3, uid: OPEN_JOB },
		remainingJobs: [LOST_JOB, OPEN_JOB],
	},
	{
		text: '1.l.3.~.-__HZh8HuefEJYR0',
		position: { phase: 'live', revision: 3, uid: '~' },
		remainingJobs: [OPEN_JOB],
	},
	{
		text: '1.l.4.job-000200._Qh8raPKiBNq4bus',
		position: { phase: 'live', revision: 4, uid: LOST_JOB },
		remainingJobs: [],
	},
] as const

test('current servers accept cursors of the previous version, and encode the same text', async () => {
	const controller = new SteppedController(finishBothJobs())
	for (const { text, position, remainingJobs } of PREVIOUS_VERSION_CURSORS) {
		const cursors = new CursorCodec(INSTALLATION_ID, NAMED_JOBS)
		assert.equal(cursors.encode(position), text)
		assert.deepEqual(cursors.decode(text), position)
		const stream = await controller.open(NAMED_JOBS, text)
		assert.ok(stream instanceof Stream, `${text}: ${stream}`)
		assert.equal(stream.cursor, text)
		assert.deepEqual(stream.take().terminalJobs, remainingJobs, text)
		assert.equal(stream.subscription.isComplete, true, text)
	}
	const restarted = await controller.open(NAMED_JOBS)
	assert.ok(restarted instanceof Stream)
	assert.equal(
		restarted.cursor,
		new CursorCodec(INSTALLATION_ID, NAMED_JOBS).encode({ phase: 'present', revision: 4, uid: '' }),
	)
})
