/**
 * Jobs that were finished and yet answered as unknown, because their terminal states moved while they were looked for.
 *
 * A terminal state may be in memory (on a page, or under a key of its own), under its own key in the store only (of the
 * first record format, which full reads leave out of memory), or in a level of the archive. The migration of the first
 * format moves states from their own keys to pages, which are in memory: against the order in which a question looks for
 * them. A controller that looked at memory before the move and at the own key after it found the state in neither, and
 * took that for a proof that the job never was.
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
import { ACCEPTANCE_ORDERS, FINISHED, MovingWorld, ORDERS, type Order } from './absence-orders.js'
import { crashDay } from './crash-days.js'

/**
 * On seed 2025, job-302508 is done at 5.5 s. At 71.46 s a user asks a controller that has restarted since and left the
 * state out. In memory at revision 157 there is none; the read of the own key, at revision 158, meets the move to a page.
 */
test('a day of crashes and a migration on which a job is asked for while its state moves', async () => {
	const simulation = crashDay(2025)
	await simulation.run()
	assert.deepEqual(simulation.invariants.violations, [])
})

const STATUS_PATH = `/v2/runs/${FINISHED}`
/** A user who gets one of these knows the truth, or asks again. */
const TRUE_ANSWERS = ['200 done', '503']
/** When a question has long been answered and all changes are known, in ms after it. */
const SETTLED_MS = 3000

for (const order of ORDERS)
	test(`a finished job is not answered as unknown: ${order.name}`, async () => {
		const world = new MovingWorld(order)
		const later: string[] = []
		await world.play(() => {
			world.request('GET', STATUS_PATH)
			world.simulation.clock.after(SETTLED_MS, () =>
				world.request('GET', STATUS_PATH, undefined, (answer) => void later.push(answer)),
			)
		})
		assert.ok(world.isPlayed, 'the order was played')
		assert.deepEqual(later, ['200 done'], 'once nothing moves')
		assert.equal(world.answers.length, 1)
		assert.ok(TRUE_ANSWERS.includes(world.answers[0]), world.answers[0])
	})

type UnaryName = 'submit' | 'get' | 'cancel'

/** Asks over gRPC, without the network; the answer is the state, or the code of the failure. */
const callUnary = (world: MovingWorld, name: UnaryName, request: object): void => {
	const calls = new UnaryCalls(world.node, () => false)
	calls[name]({ request } as never, (error, message) =>
		world.answers.push(
			error === null ? String((message as JobMessage).state) : status[error.code ?? status.UNKNOWN],
		),
	)
}

/** The finished job as it was submitted, and once more in a form that is refused. */
const SPEC = arrayJob(FINISHED, { tasks: 4 })
const TOO_WIDE = { ...SPEC, cpus: 1000 }
const JOBS_PATH = '/v2/runs'
const TRUE_MESSAGES = ['STATE_DONE', 'UNAVAILABLE']

/** Asks through the client library, whose calls reach the controller without the network; one try. */
const callClient = (world: MovingWorld): void => {
	const request: HttpClient['request'] = (_, method, path, body) =>
		Effect.promise(() => world.simulation.sendRequest(0, method, path, body)).pipe(
			Effect.map((response) => ({ status: response?.status ?? 0, body: response?.body, retryAfterS: null })),
		)
	const transport = Object.assign(new HttpTransport('10.0.0.1:8080'), { httpClient: { request } })
	const pool = { choose: async () => ({ transport, candidateCount: 1 }), advance: () => {} }
	new RetryingCaller(pool as unknown as TransportPool, { deadlineMs: 1, tryMs: 1 }, () => 0)
		.call(FINISHED, {}, (chosen, timeoutMs, signal) => chosen.get(FINISHED, timeoutMs, signal))
		.then(
			({ state }) => world.answers.push(state),
			(error: Error) => world.answers.push(error.constructor.name),
		)
}

interface Caller {
	name: string
	ask(world: MovingWorld): void
	/** a user who gets one of these knows the truth, or asks again */
	allowed: readonly string[]
}

/** Who else asks whether a job is known. */
const CALLERS: readonly Caller[] = [
	{ name: 'status by the client library', ask: callClient, allowed: ['done', 'DeadlineOver'] },
	{
		name: 'status over gRPC',
		ask: (world) => callUnary(world, 'get', { uid: FINISHED }),
		allowed: TRUE_MESSAGES,
	},
	{
		name: 'cancellation over HTTP',
		ask: (world) => world.request('POST', `${STATUS_PATH}/withdraw`, {}),
		allowed: TRUE_ANSWERS,
	},
	{
		name: 'cancellation over gRPC',
		ask: (world) => callUnary(world, 'cancel', { uid: FINISHED }),
		allowed: TRUE_MESSAGES,
	},
	{
		name: 'a submission that can never run',
		ask: (world) => world.request('POST', JOBS_PATH, encodeSubmission(TOO_WIDE)),
		allowed: TRUE_ANSWERS,
	},
	{
		name: 'a submission that a plug-in refuses',
		ask: (world) => {
			world.node.checks = { ...NO_CHECKS, admit: (_, done) => done('not today', []) }
			world.request('POST', JOBS_PATH, encodeSubmission(SPEC))
		},
		allowed: TRUE_ANSWERS,
	},
]

/** The one answer to the question. */
const theAnswer = ({ answers }: MovingWorld): string =>
	answers.length === 1 ? answers[0] : `${answers.length} answers`

/** Plays every order and returns the wrong answers, with the order of each. */
const wrongAnswers = async (orders: readonly Order[], { ask, allowed }: Caller): Promise<string[]> => {
	const wrong: string[] = []
	for (const order of orders) {
		const world = new MovingWorld(order)
		await world.play(ask)
		assert.ok(world.isPlayed, order.name)
		const answer = theAnswer(world)
		if (!allowed.includes(answer)) wrong.push(`${answer}: ${order.name}`)
	}
	return wrong
}

for (const caller of CALLERS)
	test(`a finished job is known while its state moves: ${caller.name}`, async () => {
		assert.deepEqual(await wrongAnswers(ORDERS, caller), [])
	})

/** Until then a job that is accepted anew has run, in s. */
const RUN_AGAIN_UNTIL_S = 45

const SUBMISSIONS: readonly Caller[] = [
	{
		name: 'over HTTP',
		ask: (world) => world.request('POST', JOBS_PATH, encodeSubmission(SPEC)),
		allowed: [...TRUE_ANSWERS, '429'],
	},
	{
		name: 'over gRPC',
		ask: (world) => callUnary(world, 'submit', toSubmitRequest(SPEC)),
		allowed: [...TRUE_MESSAGES, 'RESOURCE_EXHAUSTED'],
	},
]

/** A second controller, which follows the changes one by one, may hold a job for open that the first one does not. */
const REPEATED = [1, 2].flatMap((controllers) => ACCEPTANCE_ORDERS.map((order) => ({ order, controllers })))

for (const { name, ask, allowed } of SUBMISSIONS)
	test(`a finished job that is submitted again while its state moves is not accepted: ${name}`, async () => {
		const wrong: string[] = []
		for (const { order, controllers } of REPEATED) {
			const world = new MovingWorld(order, { untilS: RUN_AGAIN_UNTIL_S, controllers })
			await world.play(ask)
			assert.ok(world.isPlayed, order.name)
			const events = ['accepted', 'terminal'].filter((event) =>
				world.log.some((line) => line.includes(`job ${event} `) && line.includes(FINISHED)),
			)
			const runs = [
				...(world.wasOpenAgain ? ['open again'] : []),
				...(world.hasRunAgain ? ['runs again'] : []),
			]
			const answers = allowed.includes(theAnswer(world)) ? [] : [theAnswer(world)]
			const faults = [...answers, ...events, ...runs]
			if (faults.length > 0) wrong.push(`${faults.join(', ')}: ${order.name}; ${controllers} controllers`)
		}
		assert.deepEqual(wrong, [])
	})

/** How often a reader looks for events and a hub for changes, in ms. */
const STREAM_STEP_MS = 100
const INSTALLATION = 'here'
const TEAM = { team: 'core' }
/** So few terminal states are kept for streams that the finished job's is not among them. */
const FEW_STATES = 2
const ALL_STATES = 1000

/** A reader at the asked controller, over one stream after the other until one begins; the hub runs as behind the gRPC face. */
class EventReader {
	readonly heard: string[] = []
	/** how the latest stream stands */
	outcome = 'not begun'
	private readonly records: ServiceRecords
	private readonly hub: EventHub
	private subscription: Subscription | null = null

	/** `retained`: terminal states that the controller keeps for streams. */
	constructor(
		private readonly world: MovingWorld,
		private readonly node: Service,
		retained: number,
	) {
		this.records = new ServiceRecords(node, retained)
		this.hub = new EventHub(this.records, INSTALLATION, STREAM_STEP_MS, node.now)
		this.records.hub = this.hub
	}

	/** Begins a stream, and again a while later if that fails. */
	open(selection: Selection, cursor = ''): void {
		const onPrepared = (isComplete: boolean) => {
			if (isComplete) this.subscribe(selection, cursor)
			else this.world.simulation.clock.after(STREAM_STEP_MS, () => this.open(selection, cursor))
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
			this.outcome = opened
			return
		}
		this.subscription = opened
		this.step()
	}

	private step(): void {
		this.hub.publishChanges()
		for (let event = this.subscription?.next(); event; event = this.subscription?.next())
			if (event.uid === FINISHED) this.heard.push(event.state)
		this.outcome = this.subscription?.isComplete === true ? 'complete' : 'open'
		this.world.simulation.clock.after(STREAM_STEP_MS, () => this.step())
	}
}

/** Plays every order with a reader, and returns what it heard in each and how its stream stood in the end. */
const hearOrders = async (
	retained: number,
	ask: (world: MovingWorld, reader: EventReader) => void,
): Promise<{ order: string; told: string }[]> => {
	const told: { order: string; told: string }[] = []
	for (const order of ORDERS) {
		const readers: EventReader[] = []
		const world = new MovingWorld(order, {
			onStarted: (started, node) => void readers.push(new EventReader(started, node, retained)),
		})
		const [reader] = await world.play(() => ask(world, readers[0])).then(() => readers)
		assert.ok(world.isPlayed, order.name)
		told.push({ order: order.name, told: [...reader.heard, reader.outcome].join(', ') })
	}
	return told
}

const expectTold = (results: { order: string; told: string }[], allowed: readonly string[]): void => {
	const wrong = results.filter(({ told }) => !allowed.includes(told))
	assert.deepEqual(
		wrong.map(({ order, told }) => `${told}: ${order}`),
		[],
	)
}

test('a stream of a finished job tells its terminal state and ends, though the state moves while it begins', async () => {
	const told = await hearOrders(FEW_STATES, (_, reader) => reader.open({ uids: [FINISHED] }))
	expectTold(told, ['done, complete'])
})

/** Streams of a team ask for no single job, so a status does, at the same time. */
const openTeamStream = (world: MovingWorld, reader: EventReader, cursor: string): void => {
	reader.open(TEAM, cursor)
	world.request('GET', STATUS_PATH)
}

test('a stream of a team that resumes from before a job was done tells it once, or that it is out of range', async () => {
	const cursor = new CursorCodec(INSTALLATION, TEAM).encode({ phase: 'live', revision: 0, uid: '' })
	for (const retained of [FEW_STATES, ALL_STATES])
		expectTold(await hearOrders(retained, (world, reader) => openTeamStream(world, reader, cursor)), [
			'done, open',
			'out of range',
		])
})

test('a stream of a team from the present is not told of a state that only moves', async () => {
	for (const retained of [FEW_STATES, ALL_STATES])
		expectTold(await hearOrders(retained, (world, reader) => openTeamStream(world, reader, '')), ['open'])
})

/** A job that nobody submitted before. */
const NEW_JOB = 'job-000002'

/**
 * A proof of absence from before an archival epoch does not count after it. The submission then waited for a write that
 * nobody asked for: its user had no answer, and neither had whoever repeated it at the same controller.
 */
test('a submission is answered though an archival epoch begins during its look-up', async () => {
	const order: Order = {
		name: 'an archival epoch begins',
		onKeyRead: (world, read) => {
			const revision = world.beginEpoch()
			read.serve((response) =>
				world.once(
					() => world.node.archive.archivalEpoch() === revision,
					() => read.reply(response),
				),
			)
		},
	}
	const world = new MovingWorld(order, { uid: NEW_JOB })
	await world.play(() => world.request('POST', JOBS_PATH, encodeSubmission({ ...SPEC, uid: NEW_JOB })))
	assert.ok(world.isPlayed)
	assert.ok(['201 pending', '503', '429'].includes(theAnswer(world)), theAnswer(world))
})

/** When states are moved that have long been elsewhere when they are asked for, in ms. */
const PREPARED_AT_MS = 3000
const UNKNOWN_JOB = 'job-000003'
const ALREADY_MOVED: Order = { name: 'nothing moves', onKeyRead: (_, read) => read.serve() }

/** Answers in the ordinary case, and the reads of the state service that each takes. */
const COSTS: readonly {
	name: string
	uid?: string
	isCold?: boolean
	prepare?: (world: MovingWorld) => void
	answer: string
	reads: number
}[] = [
	{ name: 'under its own key', answer: '200 done', reads: 2 },
	{ name: 'on a page', prepare: (world) => world.move(), answer: '200 done', reads: 0 },
	{
		name: 'in the archive, during the migration',
		prepare: (world) => {
			world.move()
			world.archive()
		},
		answer: '200 done',
		reads: 0,
	},
	{
		name: 'in the archive, during the migration, with no page in memory',
		isCold: true,
		prepare: (world) => {
			world.move()
			world.archive()
		},
		answer: '200 done',
		reads: 3,
	},
	{
		name: 'in the archive',
		prepare: (world) => world.completeMigration(),
		answer: '200 done',
		reads: 0,
	},
	{
		name: 'in the archive, with no page in memory',
		isCold: true,
		prepare: (world) => world.completeMigration(),
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
		prepare: (world) => world.completeMigration(),
		answer: '404',
		reads: 1,
	},
	{
		name: 'unknown, with no page in memory',
		uid: UNKNOWN_JOB,
		isCold: true,
		prepare: (world) => world.completeMigration(),
		answer: '404',
		reads: 2,
	},
]

test('a status costs no more reads of the state service than before states could move during its look-up', async () => {
	const costs: string[] = []
	for (const { name, uid = FINISHED, isCold = false, prepare = () => {} } of COSTS) {
		const world = new MovingWorld({ ...ALREADY_MOVED, isCold }, { uid })
		world.simulation.clock.after(PREPARED_AT_MS, () => prepare(world))
		await world.play(() => {
			const before = world.reads.length
			world.request('GET', `${JOBS_PATH}/${uid}`, undefined, (answer) => {
				costs.push(`${name}: ${answer}, ${world.reads.length - before} reads`)
			})
		})
	}
	assert.deepEqual(
		costs,
		COSTS.map(({ name, answer, reads }) => `${name}: ${answer}, ${reads} reads`),
	)
})

/** States of the first format on a day with the real migration, and who asks for those that are about to move. */
const MIGRATION = { states: 150, fromS: 8, untilS: 170, questionEveryMs: 60, front: 6, submittedShare: 0.2 }

/** Plays a day of migration and archival on which users ask for the next states to move; returns the wrong answers. */
const askAtTheFront = async (seed: number) => {
	const simulation = new Simulation({
		seed,
		untilS: MIGRATION.untilS,
		jobs: [],
		faults: [],
		up: 4,
		capacity: 0,
	})
	const { clock, state } = simulation
	const uids = Array.from({ length: MIGRATION.states }, (_, index) => `job-${700_000 + index}`)
	const need = { team: 'core', cpus: 1, gpus: 0, ramGb: 1 }
	for (const [index, uid] of uids.entries())
		state.put(`${KEY_PREFIX}job/${uid}`, { part: index % 3, final: 'done', tasks: 4, need })
	state.put(`${KEY_PREFIX}history`, { form: 2, turn: 1, legacy: true })
	const unmoved = new Set(uids)
	state.changed = (key) => void unmoved.delete(key.slice(`${KEY_PREFIX}job/`.length))
	const log: string[] = []
	simulation.onLogLine = (line) => void log.push(line)
	const wrong: string[] = []
	let answers = 0
	const ask = () => {
		const front = [...unmoved].slice(0, MIGRATION.front)
		if (front.length === 0) return
		const uid = front[Math.floor(clock.random() * front.length)]
		const isSubmitted = clock.random() < MIGRATION.submittedShare
		const spec = encodeSubmission(arrayJob(uid, { tasks: 4 }))
		const controller = Math.floor(clock.random() * 3)
		const askedAt = Math.round(clock.nowMs)
		const answer = isSubmitted
			? simulation.sendRequest(controller, 'POST', JOBS_PATH, spec)
			: simulation.sendRequest(controller, 'GET', `${JOBS_PATH}/${uid}`, undefined)
		void answer.then((reply) => {
			const { status: jobStatus } = (reply?.body ?? {}) as { status?: string }
			const isKnown = reply?.status === 200 && jobStatus === 'done'
			if (isKnown) answers++
			else if (reply?.status !== 503 && reply?.status !== 429)
				wrong.push(
					`${isSubmitted ? 'submitted' : 'asked'} at ${askedAt}: ${reply?.status} ${jobStatus ?? ''}`,
				)
		})
		clock.after(MIGRATION.questionEveryMs, ask)
	}
	clock.after(MIGRATION.fromS * 1000, ask)
	await simulation.run()
	const again = log.filter((line) => / job (accepted|terminal) /.test(line))
	return { wrong, again, answers, left: unmoved.size, violations: simulation.invariants.violations }
}

test('no state is missed by users who ask for those that the migration is about to move', async () => {
	const faults: string[] = []
	for (const seed of [2101, 2102, 2103]) {
		const { wrong, again, answers, left, violations } = await askAtTheFront(seed)
		assert.equal(left, 0, `seed ${seed}: all are moved`)
		assert.ok(answers > 300, `seed ${seed}: ${answers} answers`)
		if (wrong.length > 0)
			faults.push(`seed ${seed}: ${wrong.length} beside ${answers} right answers, ${wrong[0]}`)
		for (const fault of [...again, ...violations]) faults.push(`seed ${seed}: ${fault}`)
	}
	assert.deepEqual(faults, [])
})
