/**
 * Guards against a job with two terminal states: a job that moved to another shard while its user cancelled it was
 * `aborted` at one controller and `done` at another, for good (incident 37). Real controllers, with the requests to the
 * state service held back so that the move, the cancellation and the outcome are applied in a chosen order.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import {
	decodeTerminalPage,
	encodeAcceptedBatch,
	moveJobToShard,
	shardKey,
	terminalPageKey,
} from '@heathroad/cluster'
import type { Service } from '@heathroad/server'
import { KEY_PREFIX } from '@heathroad/store'
import { arrayJob, type FakeResponse, Simulation } from '@heathroad/testkit'
import { encodeSubmission, isMap } from '@heathroad/wire'
import { type HeldRequest, holdRequests, OtherController } from './held-requests.js'

const JOB = 'job-000001'
const CONTROLLERS = [0, 1, 2] as const
const CLOUD_DOWN_AT_MS = 3000
const SUBMIT_AT_MS = 4000
const CANCEL_AT_MS = 6000
/** The steps of a race follow each other at this interval: longer than a watch takes to deliver a change. */
const STEP_MS = 500
const TOO_MANY_REQUESTS: FakeResponse = { status: 429, body: {} }
/** Within this time after an outcome the own key of an obsolete record is deleted, if it is to be deleted at all. */
const CLEANUP_MS = 30_000
const UNTIL_S = 90

/** One order of the writes. */
interface Order {
	/** when the cancellation is built: before the move, or, at its second turn in the write queue, with knowledge of the move */
	built: 'before the move' | 'after the move'
	/** when the cancellation is applied */
	applied: 'before the outcome' | 'after the outcome' | 'after the outcome and the cleanup'
	/** whether the controller receives the answer to the cancellation */
	isAnswered: boolean
}

type TerminalState = 'done' | 'aborted'

/** The state in which a transaction's pages show JOB; null: they do not. */
const stateInTransaction = (body: unknown): TerminalState | null => {
	if (!isMap(body) || !Array.isArray(body.apply)) return null
	for (const { set, data } of body.apply)
		if (String(set).startsWith(`${KEY_PREFIX}over/`))
			for (const { jobs } of decodeTerminalPage(data)?.batches ?? [])
				for (const { uid, finalState } of jobs) if (uid === JOB) return finalState
	return null
}

/** Runs one order and observes the terminal states of JOB. */
class Race {
	readonly simulation = new Simulation({ seed: 5, untilS: UNTIL_S, jobs: [], faults: [] })
	/** answers of users' requests about JOB, by controller */
	readonly answers: { controller: number; status: number; state: string | undefined }[] = []
	readonly cancelAnswers: { status: number; state: string | undefined }[] = []
	private readonly nodes = new Map<number, Service>()
	private readonly handle: ReturnType<typeof holdRequests>
	/** the state service rejects the cancellation, which is then built again for another attempt */
	private isRejecting = false
	private cancellation: HeldRequest | null = null
	private outcome: HeldRequest | null = null
	private isOver = false

	constructor(private readonly order: Order) {
		const { simulation } = this
		simulation.state.put(`${KEY_PREFIX}history`, { form: 2, turn: 1, legacy: false })
		simulation.onStarted = (controller, node) => this.nodes.set(controller, node)
		this.handle = holdRequests(simulation.state, (request) => this.onRequest(request))
	}

	/** The shard that accepted JOB, the shard that it moves to, and the controller that cancels it, which owns neither. */
	private roles(): { from: number; to: number; canceller: number } {
		const from = this.node(0).jobs.get(JOB)?.record.shardId
		assert.ok(from !== undefined, 'the job is accepted')
		return { from, to: (from + 1) % CONTROLLERS.length, canceller: (from + 2) % CONTROLLERS.length }
	}

	private node(controller: number): Service {
		const node = this.nodes.get(controller)
		assert.ok(node !== undefined)
		return node
	}

	private onRequest(request: HeldRequest): void {
		if (request.path !== '/txn' || this.isOver) {
			request.serve()
			return
		}
		const state = stateInTransaction(request.body)
		if (state === 'aborted' && this.isRejecting) request.reply(TOO_MANY_REQUESTS)
		else if (state === 'aborted') this.cancellation = request
		else if (state === 'done') this.onOutcome(request)
		else request.serve()
	}

	/** The outcome is sent: both terminal states are applied in the chosen order. */
	private onOutcome(outcome: HeldRequest): void {
		assert.equal(this.outcome, null, 'one outcome')
		this.outcome = outcome
		this.isOver = true
		if (this.order.applied === 'before the outcome') this.applyCancellation()
		outcome.serve()
		if (this.order.applied === 'after the outcome') this.applyCancellation()
		if (this.order.applied === 'after the outcome and the cleanup')
			this.simulation.clock.after(CLEANUP_MS, () => this.applyCancellation())
	}

	private applyCancellation(): void {
		assert.ok(this.cancellation !== null, 'the cancellation was sent')
		if (this.order.isAnswered) this.cancellation.serve()
		else this.cancellation.serve(() => {})
	}

	private async request(controller: number, method: string, path: string, body?: unknown) {
		const response = await this.simulation.sendRequest(controller, method, path, body)
		return { status: response?.status ?? 0, state: (response?.body as { status?: string })?.status }
	}

	private submit(): void {
		const spec = arrayJob(JOB, { tasks: 1, expectedS: 1, imageGb: 0.05 })
		void this.request(0, 'POST', '/v2/runs', encodeSubmission(spec))
	}

	private cancel(): void {
		const { canceller } = this.roles()
		void this.request(canceller, 'POST', `/v2/runs/${JOB}/withdraw`, {}).then((answer) => {
			this.cancelAnswers.push(answer)
		})
	}

	/** Moves JOB with the service's own transaction, as the owner of its shard does. */
	private move(): void {
		const { from, to } = this.roles()
		const owner = new OtherController(this.handle, from)
		const known = this.node(from).jobs.get(JOB)
		assert.ok(known !== undefined)
		const ownership = { key: KEY_PREFIX + shardKey(from), modRevision: owner.modRevision(shardKey(from)) }
		owner.write(moveJobToShard(owner, ownership, JOB, known, to))
	}

	private start(): void {
		const { clock, cloud } = this.simulation
		this.isRejecting = this.order.built === 'after the move'
		this.cancel()
		clock.after(STEP_MS, () => this.move())
		clock.after(2 * STEP_MS, () => {
			this.isRejecting = false
			cloud.down = false
		})
	}

	async run(): Promise<void> {
		const { clock, cloud } = this.simulation
		clock.after(CLOUD_DOWN_AT_MS, () => {
			cloud.down = true
		})
		clock.after(SUBMIT_AT_MS, () => this.submit())
		clock.after(CANCEL_AT_MS, () => this.start())
		clock.after((UNTIL_S - 2) * 1000, () => {
			for (const controller of CONTROLLERS)
				void this.request(controller, 'GET', `/v2/runs/${JOB}`).then((answer) =>
					this.answers.push({ controller, ...answer }),
				)
		})
		await this.simulation.run()
	}

	/** Every terminal state of JOB on the shards' pages. */
	recordedStates(): TerminalState[] {
		const records = new OtherController(this.handle, 0)
		return CONTROLLERS.flatMap((shardId) =>
			(decodeTerminalPage(records.get(terminalPageKey(shardId))?.data)?.batches ?? []).flatMap(({ jobs }) =>
				jobs.filter(({ uid }) => uid === JOB).map(({ finalState }) => finalState),
			),
		)
	}
}

const ORDERS: { order: Order; expected: TerminalState }[] = (
	['before the move', 'after the move'] as const
).flatMap((built) =>
	(['before the outcome', 'after the outcome', 'after the outcome and the cleanup'] as const).flatMap(
		(applied) =>
			[true, false].map((isAnswered) => ({
				order: { built, applied, isAnswered },
				expected:
					built === 'after the move' && applied === 'before the outcome'
						? ('aborted' as const)
						: ('done' as const),
			})),
	),
)

for (const { order, expected } of ORDERS) {
	const { built, applied, isAnswered } = order
	const answer = isAnswered ? 'answered' : 'without an answer'
	test(`a moved job has one terminal state: cancellation built ${built}, applied ${applied}, ${answer}`, async () => {
		const race = new Race(order)
		await race.run()
		assert.deepEqual(race.recordedStates(), [expected])
		assert.deepEqual(
			race.answers.map(({ status, state }) => `${status} ${state}`),
			CONTROLLERS.map(() => `200 ${expected}`),
		)
		for (const { status, state } of race.cancelAnswers) if (status === 200) assert.equal(state, expected)
		assert.deepEqual(race.simulation.invariants.violations, [])
	})
}

/** Index of the controller that owns the shard of the jobs below, and runs the migration pass. */
const OWNER = 0
const CANCELLER = 1
/** A job that finished in the first record format: the migration pass has something to move. */
const FINISHED_JOB = 'job-000021'
const FINISHED_RECORD = {
	part: OWNER,
	final: 'done',
	tasks: 4,
	need: { team: 'core', cpus: 1, gpus: 0, ramGb: 1 },
}

/**
 * The migration pass takes the own key of a cancelled job for a state of the first format, if the controller has not
 * received the cancellation when it reads the own keys; when it writes the page, it has.
 */
test('a cancelled job is on one page only: cancelled before a migration pass reads its own key', async () => {
	const simulation = new Simulation({ seed: 5, untilS: UNTIL_S, jobs: [], faults: [] })
	const { state } = simulation
	state.put(`${KEY_PREFIX}history`, { form: 2, turn: 1, legacy: true })
	state.put(`${KEY_PREFIX}job/${FINISHED_JOB}`, FINISHED_RECORD)
	const accepted = { shardId: OWNER, spec: arrayJob(JOB, { tasks: 1 }), acceptedAtMs: 0 }
	state.put(`${KEY_PREFIX}intake/a-1`, encodeAcceptedBatch([accepted]))
	simulation.cloud.down = true
	let cancelAnswer: number | null = null
	let isWatchHeld = false
	const heldWatches: (() => void)[] = []
	const cancelBeforeRead = async (read: HeldRequest) => {
		isWatchHeld = true
		const answer = await simulation.sendRequest(CANCELLER, 'POST', `/v2/runs/${JOB}/withdraw`, {})
		cancelAnswer = answer?.status ?? 0
		read.serve((response) => {
			read.reply(response)
			simulation.clock.after(STEP_MS / 2, () => {
				isWatchHeld = false
				for (const deliver of heldWatches) deliver()
			})
		})
	}
	const handle = holdRequests(state, (request) => {
		const isPass = request.path.startsWith(`/store?under=${KEY_PREFIX}job/&`) && request.client === OWNER
		if (isPass && cancelAnswer === null && !isWatchHeld) void cancelBeforeRead(request)
		else if (request.path.startsWith('/watch') && request.client === OWNER)
			request.serve((response) => {
				if (isWatchHeld) heldWatches.push(() => request.reply(response))
				else request.reply(response)
			})
		else request.serve()
	})
	await simulation.run()
	assert.equal(cancelAnswer, 200)
	const page = decodeTerminalPage(new OtherController(handle, OWNER).get(terminalPageKey(OWNER))?.data)
	const uids = (page?.batches ?? []).flatMap(({ jobs }) => jobs.map(({ uid }) => uid))
	assert.deepEqual(uids.sort(), [JOB, FINISHED_JOB])
})
