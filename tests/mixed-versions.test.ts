/**
 * Clients and servers of before (575715b) beside present ones, as in a rolling upgrade. Readers of named jobs resumed at a
 * cursor then; now each of their streams begins with the present state, and the servers deliver what becomes known late.
 *
 * What holds: a present client gets each terminal event once from any mix of servers, as soon as one stream that has them
 * all lasts for that long. A client of before gets each one once as long as its streams are at present servers. What can't
 * hold: a cursor that a server of before gave out claims the states that this server lacked, and a client of before trusts
 * it; no later server can tell that from a cursor whose states were told.
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
import { ScriptedGrpcServer, type ScriptedStream, type Serve } from './scripted-grpc-server.js'
import { INSTALLATION, Records, SteppedController, Stream } from './stepped-controller.js'
import { LOST, NAMED, OPEN, ORDERS, playOrder } from './stream-orders.js'
import { ReaderOfBefore, ServerOfBefore } from './versions-of-before.js'

const delay = (ms: number): Promise<void> => new Promise((done) => setTimeout(done, ms))
const TEAM = { team: 'core' }
const DEADLINE_MS = 30_000
const TEARDOWN_MS = 10_000

/** A deadline that begins now and ends with the test. */
const startDeadline = (t: TestContext, ms: number): Deadline => {
	const deadline = new Deadline(ms)
	t.after(() => deadline.clear())
	return deadline
}

/** A client of the service's calls; it is closed after the test. */
const callsAt = (t: TestContext, address: string): JobsClient => {
	const client = new (jobsClient())(address, credentials.createInsecure())
	t.after(() => client.close())
	return client
}

const startServer = async (t: TestContext, serve: Serve): Promise<ScriptedGrpcServer> => {
	const server = await new ScriptedGrpcServer(serve).start()
	t.after(() => server.stop())
	return server
}

/** The jobs of the terminal events that a present client passes on until its watch ends. */
const readWithPresentClient = async (
	t: TestContext,
	address: string,
	options: ClientOptions = {},
): Promise<string[]> => {
	const client = new Client({ ...options, grpc: [address] }, () => 0)
	t.after(() => client.close())
	const told: string[] = []
	const signal = AbortSignal.timeout(DEADLINE_MS)
	for await (const { uid, state } of client.watch(NAMED, { signal })) if (state === 'done') told.push(uid)
	return told
}

// ---- servers ----

/** Revisions of `endBoth`. */
const ENDED = new Map([
	[LOST, 3],
	[OPEN, 4],
])
const LAST_REVISION = 4

/** Both named jobs are accepted, and end. */
const endBoth = (): Records => {
	const records = new Records()
	records.accept(OPEN)
	records.accept(LOST)
	for (const uid of [LOST, OPEN]) assert.equal(records.endOnPage(uid), ENDED.get(uid))
	return records
}

/** Serves one stream of a present controller; it breaks after so many events, or where it would wait. */
const servePresent = async (
	controller: SteppedController,
	{ uids, cursor }: WatchMessage,
	breaksAfter = Number.POSITIVE_INFINITY,
): Promise<ScriptedStream> => {
	const stream = await controller.open({ uids }, cursor)
	if (!(stream instanceof Stream)) return { headers: '', events: [], end: 'cursor rejected' }
	const { subscription, cursor: headers } = stream
	const events = takeEvents(subscription, breaksAfter).map(eventMessage)
	const end = subscription.isComplete && events.length < breaksAfter ? 'complete' : 'broken'
	subscription.end(null)
	return { headers, events, end }
}

// ---- clients of before, present servers ----

/** So many events are taken before the connection breaks. */
const BREAKS = [0, 1, 2, 3]

for (const order of ORDERS)
	test(`a client of before gets each terminal event once from present servers, wherever its stream breaks: ${order.name}`, async () => {
		for (const breaksAfter of BREAKS) {
			const { records, stream } = await playOrder(order, breaksAfter)
			records.endOnPage(OPEN)
			const selection: Selection = stream?.subscription.selection ?? NAMED
			assert.ok('uids' in selection)
			const next = await new SteppedController(records).open(selection, stream?.cursor)
			assert.ok(next instanceof Stream, String(next))
			const told = [...(stream?.terminalJobs ?? []), ...next.take().terminalJobs]
			assert.deepEqual(
				{ told: told.sort(), isComplete: next.subscription.isComplete },
				{ told: [...selection.uids].sort(), isComplete: true },
				`broken after ${breaksAfter} events`,
			)
		}
	})

const CONTROLLERS = 3
/** Each stream is cut after so many events, in turn. */
const CUTS = [1, 0, 2, 1, 3]
/** After these streams a controller crashes, and boots again. */
const CRASHES_AFTER = [5, 15]
const RESTART_S = 0.5
const PAUSE_MS = 60

test('a client of before gets each terminal event once from real servers that restart, though each stream is cut', async (t) => {
	const clock = new RealClock(1)
	const report = { reportS: 0.5, leaseS: 6, cancelS: 14 }
	const simulation = new Simulation(
		{ seed: 1, untilS: 0, jobs: [], faults: [], report, up: 8, capacity: 0 },
		clock,
	)
	const servers = new GrpcServers(simulation, CONTROLLERS)
	// Before the servers' teardown, so that what is left of a failed test ends first.
	const deadline = startDeadline(t, 2 * DEADLINE_MS)
	t.after(async () => {
		clock.stop()
		const teardown = new Deadline(TEARDOWN_MS)
		const stopped = teardown.within(() => 'the servers stop', servers.stopAll())
		await Promise.allSettled([stopped])
		// Also if a server doesn't stop: a controller that still runs would keep the process from ending.
		const ended = teardown.within(() => 'the controllers end', simulation.end())
		await Promise.allSettled([ended])
		teardown.clear()
		await stopped
		await ended
	})
	simulation.begin()
	const uids = Array.from({ length: 6 }, (_, index) => `job-00100${index}`)
	const reader = new ReaderOfBefore(uids)
	const lastCrashAfter = Math.max(...CRASHES_AFTER)
	let streams = 0
	const describe = (what: string) => `${what}; ${streams} streams, told: ${reader.told.join(' ')}`
	const submitJobs = async (): Promise<void> => {
		const client = new Client({ grpc: servers.ports.map((port) => `127.0.0.1:${port}`) })
		try {
			for (const uid of uids) {
				// However slow the machine is, the watch is not over before the last crash.
				if (uid === uids.at(-1))
					await deadline.until(
						() => describe('the last crash'),
						() => streams > lastCrashAfter,
						PAUSE_MS,
					)
				const job = arrayJob(uid, { tasks: 2, cpus: 0.5, expectedS: 0.3, imageGb: 0.05, spot: false })
				const submitted = client.submit(job, { signal: deadline.signal })
				await deadline.within(() => describe(`${uid} is accepted`), submitted)
			}
		} finally {
			client.close()
		}
	}
	/** No event can come before the last job is submitted, and that is submitted only after the last crash. */
	const isIdle = (): boolean => reader.told.length === uids.length - 1 && streams <= lastCrashAfter
	const readStream = async (port: number): Promise<boolean> => {
		const calls = new (jobsClient())(`127.0.0.1:${port}`, credentials.createInsecure())
		const options = {
			// A stream that would wait for the last job is cut, so that the crashes come all the same.
			cutAfter: () => (isIdle() ? 0 : CUTS[streams % CUTS.length]),
			signal: deadline.signal,
		}
		try {
			const read = reader.read(calls, options)
			return (await deadline.within(() => describe(`the stream at port ${port} ends`), read)) === 'complete'
		} finally {
			calls.close()
		}
	}
	const readStreams = async (): Promise<void> => {
		for (let isOver = false; !isOver; streams++) {
			const port = servers.ports[streams % CONTROLLERS]
			if (CRASHES_AFTER.includes(streams)) simulation.crash((streams + 1) % CONTROLLERS, RESTART_S)
			await deadline.within(() => describe('a complete stream'), delay(PAUSE_MS))
			if (port !== 0) isOver = await readStream(port)
		}
	}
	// From here on each crash is one of a server that the reader reads at.
	await deadline.until(
		() => describe(`each server listens, ports ${servers.ports}`),
		() => !servers.ports.includes(0),
		PAUSE_MS,
	)
	await Promise.all([submitJobs(), readStreams()])
	assert.deepEqual([...reader.told].sort(), uids, `${streams} streams`)
	assert.deepEqual(reader.dropped, [], 'no server told an event again')
	assert.ok(streams > lastCrashAfter, `${streams} streams`)
})

// ---- the present client, servers of before ----

/** Bytes of the requests that the client of 575715b sent, as recorded with its code: the first stream, and the next one. */
const REQUESTS_OF_BEFORE = {
	named: '0a0a6a6f622d3030303130300a0a6a6f622d3030303230301a00',
	namedAtCursor: '0a0a6a6f622d3030303130300a0a6a6f622d3030303230301a0761667465722031',
	team: '1204636f72651a00',
	teamAtCursor: '1204636f72651a0761667465722031',
}
/** Requests of one job alone have the form of any first stream: its id, and an empty cursor. */
const FIRST_STREAM_OF: Readonly<Record<string, string>> = {
	[OPEN]: '0a0a6a6f622d3030303130301a00',
	[LOST]: '0a0a6a6f622d3030303230301a00',
}
const HEADERS_OF_BEFORE = ['user-agent', 'watch-id']

test('the requests of the present client are those of before, and of named jobs each is one of a first stream', async (t) => {
	const event = { uid: OPEN, state: 'STATE_DONE', done: 1, running: 0, tasks: 1, cursor: 'after 1' } as const
	const last = { ...event, uid: LOST }
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
		await deadline.within(() => `the end of a watch of ${JSON.stringify(selection)}`, watchAll())
		assert.deepEqual(server.headerNames, [HEADERS_OF_BEFORE, HEADERS_OF_BEFORE, HEADERS_OF_BEFORE])
		return server.requests
	}
	const { named, namedAtCursor, team, teamAtCursor } = REQUESTS_OF_BEFORE
	// After a stream that brought nothing new, only what is outstanding is asked for.
	assert.deepEqual(await watch(NAMED), [named, named, FIRST_STREAM_OF[LOST]])
	assert.deepEqual(await watch(TEAM), [team, teamAtCursor, teamAtCursor])
	assert.deepEqual(await watch(NAMED, 'after 1'), [namedAtCursor, namedAtCursor, namedAtCursor])
	// The stand-in for the client of before sends what that sent.
	const server = await startServer(t, () => ({ headers: 'present', events: [event], end: 'broken' }))
	const reader = new ReaderOfBefore(NAMED.uids)
	for (const stream of [1, 2])
		await deadline.within(() => `stream ${stream} ends`, reader.read(callsAt(t, server.address), { signal }))
	assert.deepEqual(server.requests, [named, namedAtCursor])
	assert.deepEqual(server.headerNames, [HEADERS_OF_BEFORE, HEADERS_OF_BEFORE])
})

test('the present client gets each terminal event once, though servers of before call its streams complete too early', async (t) => {
	const whole = new ServerOfBefore(ENDED, [], LAST_REVISION)
	for (const lost of NAMED.uids) {
		const lacking = new ServerOfBefore(ENDED, [lost], LAST_REVISION)
		const server = await startServer(t, (request, stream) =>
			stream < 2 ? { ...lacking.serve(request), end: 'complete' } : whole.serve(request),
		)
		const warnings: WatchWarning[] = []
		const onWarning = (warning: WatchWarning) => void warnings.push(warning)
		const told = await readWithPresentClient(t, server.address, { onWarning })
		assert.deepEqual(told.sort(), NAMED.uids, `${lost} is lacking`)
		assert.deepEqual(
			warnings.map(({ kind, address, uids }) => ({ kind, address, uids })),
			[1, 2].map(() => ({ kind: 'complete too early', address: server.address, uids: [lost] })),
		)
	}
})

// ---- a rolling upgrade ----

/** One stream of a reader: at a server of before, which lacks a state, or at a present one. */
interface StreamPlan {
	version: 'before' | 'present'
	breaksAfter: number
}

const PLANS: readonly StreamPlan[] = (['before', 'present'] as const).flatMap((version) =>
	[0, 1, 2].map((breaksAfter) => ({ version, breaksAfter })),
)
/** All of up to this many broken streams. */
const BROKEN_STREAMS = 2

const sequencesOf = (length: number): StreamPlan[][] =>
	length === 0
		? [[]]
		: sequencesOf(length - 1).flatMap((sequence) => [sequence, ...PLANS.map((plan) => [...sequence, plan])])

/** All sequences; each is once here, and shorter ones are among them. */
const SEQUENCES = [
	...new Map(
		sequencesOf(BROKEN_STREAMS).map((sequence) => [
			sequence.map(({ version, breaksAfter }) => `${version} until ${breaksAfter}`).join(', '),
			sequence,
		]),
	),
]

/** Serves the streams of a sequence, and all further ones at a present controller that has every state. */
const serveSequence =
	(sequence: readonly StreamPlan[], before: ServerOfBefore, present: SteppedController): Serve =>
	(request, stream) => {
		const { version, breaksAfter } = sequence[stream] ?? { version: 'present' }
		return version === 'before'
			? before.serve(request, breaksAfter)
			: servePresent(present, request, breaksAfter)
	}

test('a rolling upgrade: the present client gets each terminal event once, whatever servers of before lack', async (t) => {
	const present = new SteppedController(endBoth())
	for (const lost of NAMED.uids) {
		const before = new ServerOfBefore(ENDED, [lost], LAST_REVISION)
		const results = SEQUENCES.map(async ([name, sequence]) => {
			const server = await startServer(t, serveSequence(sequence, before, present))
			const told = await readWithPresentClient(t, server.address)
			assert.deepEqual(told.sort(), NAMED.uids, `${lost} is lacking: ${name}`)
			const ofFirstStreams = [REQUESTS_OF_BEFORE.named, ...Object.values(FIRST_STREAM_OF)]
			assert.deepEqual(
				server.requests.filter((request) => !ofFirstStreams.includes(request)),
				[],
			)
		})
		await Promise.all(results)
	}
})

test('a rolling upgrade: a client of before loses an event only behind a stream at a server that lacks it', async (t) => {
	const present = new SteppedController(endBoth())
	let losses = 0
	for (const lost of NAMED.uids) {
		const deadline = startDeadline(t, 2 * DEADLINE_MS)
		const { signal } = deadline
		const before = new ServerOfBefore(ENDED, [lost], LAST_REVISION)
		const results = SEQUENCES.map(async ([name, sequence]) => {
			const server = await startServer(t, serveSequence(sequence, before, present))
			const calls = callsAt(t, server.address)
			const reader = new ReaderOfBefore(NAMED.uids)
			const context = `${lost} is lacking: ${name}`
			const readNext = () =>
				deadline.within(() => `the stream ends, ${context}`, reader.read(calls, { signal }))
			while ((await readNext()) !== 'complete');
			const told = [...reader.told].sort()
			const hasLost = told.length < NAMED.uids.length
			assert.deepEqual(reader.dropped, [], context)
			assert.deepEqual(told, hasLost ? NAMED.uids.filter((uid) => uid !== lost) : NAMED.uids, context)
			// The cursor that claims the state is of an event that a server of before told.
			if (hasLost)
				assert.ok(
					sequence.some(({ version, breaksAfter }) => version === 'before' && breaksAfter > 0),
					context,
				)
			if (hasLost) losses++
		})
		await Promise.all(results)
	}
	assert.ok(losses > 0, 'the stand-in for the client of before trusts cursors')
})

// ---- cursors ----

/** Cursors that the code of 575715b wrote, of `NAMED` in the installation of the tests' controllers. */
const CURSORS_OF_BEFORE = [
	{
		text: '1.p.3..DXQ_DmOKXApkHUyi',
		position: { phase: 'present', revision: 3, uid: '' },
		follows: [LOST, OPEN],
	},
	{
		text: '1.p.3.job-000100.wvZIIbJJYhhEWW8X',
		position: { phase: 'present', revision: 3, uid: OPEN },
		follows: [LOST, OPEN],
	},
	{ text: '1.l.3.~.-__HZh8HuefEJYR0', position: { phase: 'live', revision: 3, uid: '~' }, follows: [OPEN] },
	{
		text: '1.l.4.job-000200._Qh8raPKiBNq4bus',
		position: { phase: 'live', revision: 4, uid: LOST },
		follows: [],
	},
] as const

test('cursors of before are accepted by present servers, and present ones have the same text', async () => {
	const controller = new SteppedController(endBoth())
	for (const { text, position, follows } of CURSORS_OF_BEFORE) {
		const cursors = new CursorCodec(INSTALLATION, NAMED)
		assert.equal(cursors.encode(position), text)
		assert.deepEqual(cursors.decode(text), position)
		const stream = await controller.open(NAMED, text)
		assert.ok(stream instanceof Stream, `${text}: ${stream}`)
		assert.equal(stream.cursor, text)
		assert.deepEqual(stream.take().terminalJobs, follows, text)
		assert.equal(stream.subscription.isComplete, true, text)
	}
	const anew = await controller.open(NAMED)
	assert.ok(anew instanceof Stream)
	assert.equal(
		anew.cursor,
		new CursorCodec(INSTALLATION, NAMED).encode({ phase: 'present', revision: 4, uid: '' }),
	)
})
