/**
 * Guards against finished jobs that are reported as unknown because their terminal states move during the lookup.
 *
 * A terminal state may be in memory (on a page, or under its own key), only in the store under its own key (first record
 * format, which full reads leave out of memory), or in an archive level. A lookup checks memory first; the migration of
 * the first format moves states the other way, from their own keys to pages in memory. A controller that checked memory
 * before the move and the own key after it found neither, and took that as proof that the job never existed.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { status } from '@grpc/grpc-js'
import { NO_CHECKS } from '@heathroad/controller'
import { CursorCodec, EventHub, type Selection, type Subscription } from '@heathroad/events'
import { ServiceRecords } from '@heathroad/grpc'
import { type JobMessage, toSubmitRequest } from '@heathroad/proto'
import type { Service } from '@heathroad/server'
import { KEY_PREFIX } from '@heathroad/store'
import { arrayJob, Simulation } from '@heathroad/testkit'
import { encodeSubmission, type HttpClient } from '@heathroad/wire'
import { Effect } from 'effect'
import { HttpTransport } from '../packages/client/src/http.js'
import { RetryingCaller } from '../packages/client/src/retrying-caller.js'
import type { TransportPool } from '../packages/client/src/transport-pool.js'
import { UnaryCalls } from '../packages/grpc/src/unary-calls.js'
import {
	ACCEPTANCE_INTERLEAVINGS,
	FINISHED,
	INTERLEAVINGS,
	type Interleaving,
	MovingStateScenario,
} from './absence-interleavings.js'
import { crashDay } from './crash-days.js'

/**
 * On seed 2025, job-302508 is done at 5.5 s. At 71.46 s a user queries a controller that has restarted since, without
 * the state in memory. Memory at revision 157 has no state; the own key, read at revision 158, has just moved to a page.
 */
test('a job is queried while its state moves, on a simulated day of crashes and a migration', async () => {
	const simulation = crashDay(2025)
	await simulation.run()
	assert.deepEqual(simulation.invariants.violations, [])
})

const STATUS_PATH = `/v2/runs/${FINISHED}`
/** Correct answers over HTTP, or one after which the user retries. */
const ALLOWED_ANSWERS = ['200 done', '503']
/** Time after a request by which it is answered and all changes are known, in ms. */
const SETTLED_MS = 3000

for (const interleaving of INTERLEAVINGS)
	test(`a finished job is not answered as unknown: ${interleaving.name}`, async () => {
		const scenario = new MovingStateScenario(interleaving)
		const laterAnswers: string[] = []
		await scenario.run(() => {
			scenario.request('GET', STATUS_PATH)
			scenario.simulation.clock.after(SETTLED_MS, () =>
				scenario.request('GET', STATUS_PATH, undefined, (answer) => void laterAnswers.push(answer)),
			)
		})
		assert.ok(scenario.isKeyRead, 'the key was read')
		assert.deepEqual(laterAnswers, ['200 done'], 'after the moves')
		assert.equal(scenario.answers.length, 1)
		assert.ok(ALLOWED_ANSWERS.includes(scenario.answers[0]), scenario.answers[0])
	})

type UnaryName = 'submit' | 'get' | 'cancel'

/** Makes a gRPC call without the network; the answer is the state, or the status code of the failure. */
const callUnary = (scenario: MovingStateScenario, name: UnaryName, request: object): void => {
	const calls = new UnaryCalls(scenario.node, () => false)
	calls[name]({ request } as never, (error, message) =>
		scenario.answers.push(
			error === null ? String((message as JobMessage).state) : status[error.code ?? status.UNKNOWN],
		),
	)
}

/** The finished job as it was submitted, and the same with resources that no machine has. */
const SPEC = arrayJob(FINISHED, { tasks: 4 })
const UNPLACEABLE_SPEC = { ...SPEC, cpus: 1000 }
const JOBS_PATH = '/v2/runs'
const ALLOWED_GRPC_ANSWERS = ['STATE_DONE', 'UNAVAILABLE']

/** Queries through the client library, without the network and with one attempt. */
const callClient = (scenario: MovingStateScenario): void => {
	const request: HttpClient['request'] = (_, method, path, body) =>
		Effect.promise(() => scenario.simulation.sendRequest(0, method, path, body)).pipe(
			Effect.map((response) => ({ status: response?.status ?? 0, body: response?.body, retryAfterS: null })),
		)
	const transport = Object.assign(new HttpTransport('10.0.0.1:8080'), { httpClient: { request } })
	const pool = { choose: async () => ({ transport, candidateCount: 1 }), advance: () => {} }
	new RetryingCaller(pool as unknown as TransportPool, { deadlineMs: 1, tryMs: 1 }, () => 0)
		.call(FINISHED, {}, (chosen, timeoutMs, signal) => chosen.get(FINISHED, timeoutMs, signal))
		.then(
			({ state }) => scenario.answers.push(state),
			(error: Error) => scenario.answers.push(error.constructor.name),
		)
}

interface Caller {
	name: string
	send(scenario: MovingStateScenario): void
	/** correct answers, or those after which the user retries */
	allowed: readonly string[]
}

/** Other calls that depend on whether a job is known. */
const CALLERS: readonly Caller[] = [
	{ name: 'status by the client library', send: callClient, allowed: ['done', 'DeadlineOver'] },
	{
		name: 'status over gRPC',
		send: (scenario) => callUnary(scenario, 'get', { uid: FINISHED }),
		allowed: ALLOWED_GRPC_ANSWERS,
	},
	{
		name: 'cancellation over HTTP',
		send: (scenario) => scenario.request('POST', `${STATUS_PATH}/withdraw`, {}),
		allowed: ALLOWED_ANSWERS,
	},
	{
		name: 'cancellation over gRPC',
		send: (scenario) => callUnary(scenario, 'cancel', { uid: FINISHED }),
		allowed: ALLOWED_GRPC_ANSWERS,
	},
	{
		name: 'a submission that can never run',
		send: (scenario) => scenario.request('POST', JOBS_PATH, encodeSubmission(UNPLACEABLE_SPEC)),
		allowed: ALLOWED_ANSWERS,
	},
	{
		name: 'a submission that a plug-in refuses',
		send: (scenario) => {
			scenario.node.checks = { ...NO_CHECKS, admit: (_, done) => done('not today', []) }
			scenario.request('POST', JOBS_PATH, encodeSubmission(SPEC))
		},
		allowed: ALLOWED_ANSWERS,
	},
]

/** The only answer to the request. */
const onlyAnswer = ({ answers }: MovingStateScenario): string =>
	answers.length === 1 ? answers[0] : `${answers.length} answers`

/** Runs every interleaving and returns the wrong answers, each with the name of its interleaving. */
const wrongAnswers = async (
	interleavings: readonly Interleaving[],
	{ send, allowed }: Caller,
): Promise<string[]> => {
	const wrong: string[] = []
	for (const interleaving of interleavings) {
		const scenario = new MovingStateScenario(interleaving)
		await scenario.run(send)
		assert.ok(scenario.isKeyRead, interleaving.name)
		const answer = onlyAnswer(scenario)
		if (!allowed.includes(answer)) wrong.push(`${answer}: ${interleaving.name}`)
	}
	return wrong
}

for (const caller of CALLERS)
	test(`a finished job is known while its state moves: ${caller.name}`, async () => {
		assert.deepEqual(await wrongAnswers(INTERLEAVINGS, caller), [])
	})

/** By then, a job that is accepted again has run, in s. */
const RERUN_UNTIL_S = 45

const SUBMISSIONS: readonly Caller[] = [
	{
		name: 'over HTTP',
		send: (scenario) => scenario.request('POST', JOBS_PATH, encodeSubmission(SPEC)),
		allowed: [...ALLOWED_ANSWERS, '429'],
	},
	{
		name: 'over gRPC',
		send: (scenario) => callUnary(scenario, 'submit', toSubmitRequest(SPEC)),
		allowed: [...ALLOWED_GRPC_ANSWERS, 'RESOURCE_EXHAUSTED'],
	},
]

/** A second controller, which applies the changes one by one, may consider a job open that the first one does not. */
const REPEATED_SUBMISSIONS = [1, 2].flatMap((controllers) =>
	ACCEPTANCE_INTERLEAVINGS.map((interleaving) => ({ interleaving, controllers })),
)

for (const { name, send, allowed } of SUBMISSIONS)
	test(`a finished job that is submitted again while its state moves is not accepted: ${name}`, async () => {
		const wrong: string[] = []
		for (const { interleaving, controllers } of REPEATED_SUBMISSIONS) {
			const scenario = new MovingStateScenario(interleaving, { untilS: RERUN_UNTIL_S, controllers })
			await scenario.run(send)
			assert.ok(scenario.isKeyRead, interleaving.name)
			const events = ['accepted', 'terminal'].filter((event) =>
				scenario.log.some((line) => line.includes(`job ${event} `) && line.includes(FINISHED)),
			)
			const runs = [
				...(scenario.wasOpenAgain ? ['open again'] : []),
				...(scenario.hasRunAgain ? ['runs again'] : []),
			]
			const answers = allowed.includes(onlyAnswer(scenario)) ? [] : [onlyAnswer(scenario)]
			const faults = [...answers, ...events, ...runs]
			if (faults.length > 0)
				wrong.push(`${faults.join(', ')}: ${interleaving.name}; ${controllers} controllers`)
		}
		assert.deepEqual(wrong, [])
	})

/** Interval at which a reader polls for events and its hub for changes, in ms. */
const STREAM_POLL_INTERVAL_MS = 100
const INSTALLATION = 'here'
const TEAM = { team: 'core' }
/** Terminal states kept for streams: so few that the finished job's is not among them. */
const FEW_STATES = 2
const ALL_STATES = 1000

/** Reads events from the queried controller, retrying until a stream starts; uses the hub as the gRPC server does. */
class EventReader {
	readonly received: string[] = []
	/** state of the latest stream */
	streamState = 'not started'
	private readonly records: ServiceRecords
	private readonly hub: EventHub
	private subscription: Subscription | null = null

	/** `retained`: terminal states that the controller keeps for streams. */
	constructor(
		private readonly scenario: MovingStateScenario,
		private readonly node: Service,
		retained: number,
	) {
		this.records = new ServiceRecords(node, retained)
		this.hub = new EventHub(this.records, INSTALLATION, STREAM_POLL_INTERVAL_MS, node.now)
		this.records.hub = this.hub
	}

	/** Starts a stream; retries after a poll interval if that fails. */
	open(selection: Selection, cursor = ''): void {
		const onPrepared = (isComplete: boolean) => {
			if (isComplete) this.subscribe(selection, cursor)
			else this.scenario.simulation.clock.after(STREAM_POLL_INTERVAL_MS, () => this.open(selection, cursor))
		}
		this.node.afterLinearizableRead((isFresh) => {
			if (isFresh) this.records.prepare(selection, onPrepared)
			else onPrepared(false)
		})
	}

	private subscribe(selection: Selection, cursor: string): void {
		const listener = { onEventsAvailable: () => {}, onEnd: () => {} }
		const opened = this.hub.subscribe(selection, cursor, listener)
		if (typeof opened === 'string') {
			this.streamState = opened
			return
		}
		this.subscription = opened
		this.poll()
	}

	private poll(): void {
		this.hub.publishChanges()
		for (let event = this.subscription?.next(); event; event = this.subscription?.next())
			if (event.uid === FINISHED) this.received.push(event.state)
		this.streamState = this.subscription?.isComplete === true ? 'complete' : 'open'
		this.scenario.simulation.clock.after(STREAM_POLL_INTERVAL_MS, () => this.poll())
	}
}

/** Runs every interleaving with a reader; returns the states it received in each, and the final state of its stream. */
const observeInterleavings = async (
	retained: number,
	send: (scenario: MovingStateScenario, reader: EventReader) => void,
): Promise<{ interleaving: string; outcome: string }[]> => {
	const outcomes: { interleaving: string; outcome: string }[] = []
	for (const interleaving of INTERLEAVINGS) {
		const readers: EventReader[] = []
		const scenario = new MovingStateScenario(interleaving, {
			onStarted: (started, node) => void readers.push(new EventReader(started, node, retained)),
		})
		const [reader] = await scenario.run(() => send(scenario, readers[0])).then(() => readers)
		assert.ok(scenario.isKeyRead, interleaving.name)
		outcomes.push({
			interleaving: interleaving.name,
			outcome: [...reader.received, reader.streamState].join(', '),
		})
	}
	return outcomes
}

const assertOutcomes = (
	results: { interleaving: string; outcome: string }[],
	allowed: readonly string[],
): void => {
	const wrong = results.filter(({ outcome }) => !allowed.includes(outcome))
	assert.deepEqual(
		wrong.map(({ interleaving, outcome }) => `${outcome}: ${interleaving}`),
		[],
	)
}

test('a stream of a finished job delivers its terminal state and completes, though the state moves while it starts', async () => {
	const outcomes = await observeInterleavings(FEW_STATES, (_, reader) => reader.open({ uids: [FINISHED] }))
	assertOutcomes(outcomes, ['done, complete'])
})

/** A team stream looks up no single job, so a status request does at the same time. */
const openTeamStream = (scenario: MovingStateScenario, reader: EventReader, cursor: string): void => {
	reader.open(TEAM, cursor)
	scenario.request('GET', STATUS_PATH)
}

test('a team stream that resumes from before a job was done delivers its state once, or reports out of range', async () => {
	const cursor = new CursorCodec(INSTALLATION, TEAM).encode({ phase: 'live', revision: 0, uid: '' })
	for (const retained of [FEW_STATES, ALL_STATES])
		assertOutcomes(
			await observeInterleavings(retained, (scenario, reader) => openTeamStream(scenario, reader, cursor)),
			['done, open', 'out of range'],
		)
})

test('a team stream that starts at the current state delivers nothing when a state only moves', async () => {
	for (const retained of [FEW_STATES, ALL_STATES])
		assertOutcomes(
			await observeInterleavings(retained, (scenario, reader) => openTeamStream(scenario, reader, '')),
			['open'],
		)
})

/** A job that was never submitted before. */
const NEW_JOB = 'job-000002'

/**
 * A proof of absence is invalid once a new archival epoch starts. The submission then waited for a write that was never
 * requested: neither its user nor anyone who repeated it at the same controller got an answer.
 */
test('a submission is answered though an archival epoch starts during its lookup', async () => {
	const interleaving: Interleaving = {
		name: 'an archival epoch starts',
		onKeyRead: (scenario, read) => {
			const revision = scenario.startEpoch()
			read.serve((response) =>
				scenario.once(
					() => scenario.node.archive.archivalEpoch() === revision,
					() => read.reply(response),
				),
			)
		},
	}
	const scenario = new MovingStateScenario(interleaving, { uid: NEW_JOB })
	await scenario.run(() => scenario.request('POST', JOBS_PATH, encodeSubmission({ ...SPEC, uid: NEW_JOB })))
	assert.ok(scenario.isKeyRead)
	assert.ok(['201 pending', '503', '429'].includes(onlyAnswer(scenario)), onlyAnswer(scenario))
})

/** Time at which states are moved, long before they are requested, in ms. */
const PREPARED_AT_MS = 3000
const UNKNOWN_JOB = 'job-000003'
const NO_MOVE: Interleaving = { name: 'nothing moves', onKeyRead: (_, read) => read.serve() }

/** Answers when nothing moves during the lookup, and the reads of the state service that each needs. */
const STATUS_READ_COSTS: readonly {
	name: string
	uid?: string
	isCold?: boolean
	prepare?: (scenario: MovingStateScenario) => void
	answer: string
	reads: number
}[] = [
	{ name: 'under its own key', answer: '200 done', reads: 2 },
	{ name: 'on a page', prepare: (scenario) => scenario.move(), answer: '200 done', reads: 0 },
	{
		name: 'in the archive, during the migration',
		prepare: (scenario) => {
			scenario.move()
			scenario.archive()
		},
		answer: '200 done',
		reads: 0,
	},
	{
		name: 'in the archive, during the migration, with no page in memory',
		isCold: true,
		prepare: (scenario) => {
			scenario.move()
			scenario.archive()
		},
		answer: '200 done',
		reads: 3,
	},
	{
		name: 'in the archive',
		prepare: (scenario) => scenario.completeMigration(),
		answer: '200 done',
		reads: 0,
	},
	{
		name: 'in the archive, with no page in memory',
		isCold: true,
		prepare: (scenario) => scenario.completeMigration(),
		answer: '200 done',
		reads: 2,
	},
	{ name: 'unknown, during the migration', uid: UNKNOWN_JOB, answer: '404', reads: 2 },
	{
		name: 'unknown, during the migration, with no page in memory',
		uid: UNKNOWN_JOB,
		isCold: true,
		answer: '404',
		reads: 3,
	},
	{
		name: 'unknown',
		uid: UNKNOWN_JOB,
		prepare: (scenario) => scenario.completeMigration(),
		answer: '404',
		reads: 1,
	},
	{
		name: 'unknown, with no page in memory',
		uid: UNKNOWN_JOB,
		isCold: true,
		prepare: (scenario) => scenario.completeMigration(),
		answer: '404',
		reads: 2,
	},
]

test('a status request needs no more reads of the state service than before lookups handled moving states', async () => {
	const costs: string[] = []
	for (const { name, uid = FINISHED, isCold = false, prepare = () => {} } of STATUS_READ_COSTS) {
		const scenario = new MovingStateScenario({ ...NO_MOVE, isCold }, { uid })
		scenario.simulation.clock.after(PREPARED_AT_MS, () => prepare(scenario))
		await scenario.run(() => {
			const before = scenario.reads.length
			scenario.request('GET', `${JOBS_PATH}/${uid}`, undefined, (answer) => {
				costs.push(`${name}: ${answer}, ${scenario.reads.length - before} reads`)
			})
		})
	}
	assert.deepEqual(
		costs,
		STATUS_READ_COSTS.map(({ name, answer, reads }) => `${name}: ${answer}, ${reads} reads`),
	)
})

/** Terminal states of the first format, and the rate of requests for those that the real migration is about to move. */
const MIGRATION_LOAD = {
	states: 150,
	fromS: 8,
	untilS: 170,
	requestIntervalMs: 60,
	nextStates: 6,
	submittedShare: 0.2,
}

/** Runs a day of migration and archival while users query the next states to move; returns the wrong answers. */
const queryStatesAboutToMove = async (seed: number) => {
	const simulation = new Simulation({
		seed,
		untilS: MIGRATION_LOAD.untilS,
		jobs: [],
		faults: [],
		up: 4,
		capacity: 0,
	})
	const { clock, state } = simulation
	const uids = Array.from({ length: MIGRATION_LOAD.states }, (_, index) => `job-${700_000 + index}`)
	const need = { team: 'core', cpus: 1, gpus: 0, ramGb: 1 }
	for (const [index, uid] of uids.entries())
		state.put(`${KEY_PREFIX}job/${uid}`, { part: index % 3, final: 'done', tasks: 4, need })
	state.put(`${KEY_PREFIX}history`, { form: 2, turn: 1, legacy: true })
	const unmoved = new Set(uids)
	state.onChanged = (key) => void unmoved.delete(key.slice(`${KEY_PREFIX}job/`.length))
	const log: string[] = []
	simulation.onLogLine = (line) => void log.push(line)
	const wrong: string[] = []
	let answers = 0
	const sendNext = () => {
		const nextStates = [...unmoved].slice(0, MIGRATION_LOAD.nextStates)
		if (nextStates.length === 0) return
		const uid = nextStates[Math.floor(clock.random() * nextStates.length)]
		const isSubmitted = clock.random() < MIGRATION_LOAD.submittedShare
		const spec = encodeSubmission(arrayJob(uid, { tasks: 4 }))
		const controller = Math.floor(clock.random() * 3)
		const sentAt = Math.round(clock.nowMs)
		const answer = isSubmitted
			? simulation.sendRequest(controller, 'POST', JOBS_PATH, spec)
			: simulation.sendRequest(controller, 'GET', `${JOBS_PATH}/${uid}`, undefined)
		void answer.then((reply) => {
			const { status: jobStatus } = (reply?.body ?? {}) as { status?: string }
			const isKnown = reply?.status === 200 && jobStatus === 'done'
			if (isKnown) answers++
			else if (reply?.status !== 503 && reply?.status !== 429)
				wrong.push(
					`${isSubmitted ? 'submitted' : 'queried'} at ${sentAt}: ${reply?.status} ${jobStatus ?? ''}`,
				)
		})
		clock.after(MIGRATION_LOAD.requestIntervalMs, sendNext)
	}
	clock.after(MIGRATION_LOAD.fromS * 1000, sendNext)
	await simulation.run()
	const repeatedEvents = log.filter((line) => / job (accepted|terminal) /.test(line))
	return {
		wrong,
		repeatedEvents,
		answers,
		unmovedCount: unmoved.size,
		violations: simulation.invariants.violations,
	}
}

test('every state that the migration is about to move is found by users who query it', async () => {
	const faults: string[] = []
	for (const seed of [2101, 2102, 2103]) {
		const { wrong, repeatedEvents, answers, unmovedCount, violations } = await queryStatesAboutToMove(seed)
		assert.equal(unmovedCount, 0, `seed ${seed}: all states have moved`)
		assert.ok(answers > 300, `seed ${seed}: ${answers} answers`)
		if (wrong.length > 0)
			faults.push(`seed ${seed}: ${wrong.length} wrong and ${answers} correct answers, ${wrong[0]}`)
		for (const fault of [...repeatedEvents, ...violations]) faults.push(`seed ${seed}: ${fault}`)
	}
	assert.deepEqual(faults, [])
})
