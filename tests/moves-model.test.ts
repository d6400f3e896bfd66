/**
 * Model of a job that moves to another shard: its task must never run in two shards at once, and a cancelled job must
 * stay cancelled. Controller 0 owns shard 0 and moves its job to shard 1, which controller 1 owns; controller 2 may
 * take over shard 0. Transactions are applied at any later moment or never, responses arrive or are lost, and each
 * controller receives changes at any later moment. The transaction is the service's own code.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import {
	type AcceptedJobRecord,
	encodeAcceptedBatch,
	HISTORY_KEY,
	jobKey,
	moveJobToShard,
	shardKey,
} from '@heathroad/cluster'
import { isWorthMigrating } from '@heathroad/policy'
import { KEY_PREFIX, type TransactionContent } from '@heathroad/store'
import { arrayJob, explore } from '@heathroad/testkit'
import {
	applyTransaction,
	knownRecords,
	ownerNumber,
	type Records,
	refreshView,
	type View,
	withoutCondition,
} from './models/records.js'

const JOB = 'job-000001'
/** Limits of the moves that controller 0 begins, and of the transactions that it submits for them. */
const MAX_MOVES = 2
const MAX_ATTEMPTS = 3
const CONTROLLERS = [0, 1, 2] as const
const SHARDS = [0, 1] as const
/** Controllers that may start the task, and in which shard. */
const POSSIBLE_STARTS = [
	{ shardId: 0, controller: 0 },
	{ shardId: 0, controller: 2 },
	{ shardId: 1, controller: 1 },
] as const

type Fault =
	| 'ownership condition'
	| 'own-key condition'
	| 'wait for changes older than the shard acquisition'
	| 'read after a lost answer'
	| 'none'

interface State {
	revision: number
	records: Records
	views: View[]
	/** Transactions of controller 0 in flight, each with the number of its attempt. */
	pending: { attempt: number; content: TransactionContent }[]
	/** Response on its way to controller 0; responses to earlier attempts are ignored. */
	answer: 'ok' | 'conflict' | null
	moving: boolean
	attempts: number
	/** Whether the task runs, by shard. */
	running: [boolean, boolean]
	takeovers: number
	cancelled: boolean
}

type Action =
	| { kind: 'move' | 'receive answer' | 'lose answer' | 'cancel' | 'take over' }
	| { kind: 'apply'; index: number }
	| { kind: 'receive changes'; controller: number }
	| { kind: 'start'; shardId: number; controller: number }
	| { kind: 'end'; shardId: number }

const acceptedJob: AcceptedJobRecord = { shardId: 0, spec: arrayJob(JOB, { tasks: 1 }), acceptedAtMs: 0 }

const createStart = (): State => {
	const records: Records = {
		[shardKey(0)]: { data: { owner: '0', life: 'a' }, modRevision: 1 },
		[shardKey(1)]: { data: { owner: '1', life: 'b' }, modRevision: 2 },
		[HISTORY_KEY]: { data: { form: 2, turn: 1, legacy: false }, modRevision: 3 },
		'intake/a-1': { data: encodeAcceptedBatch([acceptedJob]), modRevision: 4 },
	}
	return {
		revision: 4,
		records,
		views: CONTROLLERS.map(() => ({ revision: 4, records })),
		pending: [],
		answer: null,
		moving: false,
		attempts: 0,
		running: [false, false],
		takeovers: 0,
		cancelled: false,
	}
}

/** The transaction by which controller 0 moves the job; null: it has no job to move. */
const moveTransaction = (state: State, fault: Fault): TransactionContent | null => {
	const { cache, registry } = knownRecords(state.views[0])
	const job = registry.get(JOB)
	if (job?.record.shardId !== 0 || job.record.finalState !== undefined) return null
	const ownership = { key: KEY_PREFIX + shardKey(0), modRevision: 1 }
	const content = moveJobToShard(cache, ownership, JOB, job, 1)
	if (fault === 'ownership condition') return withoutCondition(content, shardKey(0))
	if (fault === 'own-key condition') return withoutCondition(content, jobKey(JOB))
	return content
}

const canStart = (state: State, shardId: number, controller: number, fault: Fault): boolean => {
	const view = state.views[controller]
	const fencingToken = view.records[shardKey(shardId)]?.modRevision ?? 0
	// An owner's lease expires before another controller can take over the shard.
	const isOwner =
		ownerNumber(state.records, shardId) === controller && ownerNumber(view.records, shardId) === controller
	if (!isOwner || state.running[shardId]) return false
	if (fault !== 'wait for changes older than the shard acquisition' && view.revision < fencingToken)
		return false
	if (controller === 0 && state.moving) return false
	return knownRecords(view).registry.get(JOB)?.record.shardId === shardId
}

const canMove = (state: State, fault: Fault): boolean =>
	!state.moving &&
	state.attempts < MAX_MOVES &&
	!state.running[0] &&
	ownerNumber(state.records, 0) === 0 &&
	moveTransaction(state, fault) !== null

function* possibleActions(state: State, fault: Fault): Iterable<Action> {
	if (canMove(state, fault)) yield { kind: 'move' }
	for (const index of state.pending.keys()) yield { kind: 'apply', index }
	if (state.answer !== null) yield { kind: 'receive answer' }
	if (state.moving && state.attempts < MAX_ATTEMPTS) yield { kind: 'lose answer' }
	if (!state.cancelled) yield { kind: 'cancel' }
	if (state.takeovers < 1 && ownerNumber(state.records, 0) === 0) yield { kind: 'take over' }
	for (const controller of CONTROLLERS)
		if (state.views[controller].revision < state.revision) yield { kind: 'receive changes', controller }
	for (const { shardId, controller } of POSSIBLE_STARTS)
		if (canStart(state, shardId, controller, fault)) yield { kind: 'start', shardId, controller }
	for (const shardId of SHARDS) if (state.running[shardId]) yield { kind: 'end', shardId }
}

const submitMove = (state: State, content: TransactionContent): State => {
	const attempt = state.attempts + 1
	const pending = [...state.pending, { attempt, content }]
	return { ...state, attempts: attempt, moving: true, answer: null, pending }
}

/** The state after a linearizable read by controller 0, which shows the current records. */
const afterRead = (state: State, fault: Fault, { retry }: { retry: boolean }): State => {
	const proven = { ...state, views: refreshView(state.views, 0, state), answer: null }
	const content = retry ? moveTransaction(proven, fault) : null
	return content === null ? { ...proven, moving: false } : submitMove(proven, content)
}

const applyPending = (state: State, index: number): State => {
	const { attempt, content } = state.pending[index]
	const isAwaited = state.moving && attempt === state.attempts
	const pending = state.pending.filter((_, other) => other !== index)
	const revision = state.revision + 1
	const records = applyTransaction(state.records, content, revision)
	if (records === null) return { ...state, pending, answer: isAwaited ? 'conflict' : state.answer }
	return { ...state, pending, revision, records, answer: isAwaited ? 'ok' : state.answer }
}

/** A cancellation by a controller with the latest records; it must hold once the user is notified. */
const cancelJob = (state: State): State => {
	const revision = state.revision + 1
	const part = knownRecords(state).registry.get(JOB)?.record.shardId
	const cancelled = { data: { part, final: 'aborted', tasks: 1, count: 0 }, modRevision: revision }
	return { ...state, revision, cancelled: true, records: { ...state.records, [jobKey(JOB)]: cancelled } }
}

const takeOver = (state: State): State => {
	const revision = state.revision + 1
	const owner = { [shardKey(0)]: { data: { owner: '2', life: 'c' }, modRevision: revision } }
	const views = state.views.map((view, index) =>
		index === 2 ? { ...view, records: { ...view.records, ...owner } } : view,
	)
	return { ...state, revision, takeovers: 1, records: { ...state.records, ...owner }, views }
}

const withRunning = (state: State, shardId: number, isRunning: boolean): State => {
	const running: [boolean, boolean] = [...state.running]
	running[shardId] = isRunning
	return { ...state, running }
}

const nextState = (state: State, action: Action, fault: Fault): State => {
	switch (action.kind) {
		case 'move':
			return afterMoveDecision(state, fault)
		case 'apply':
			return applyPending(state, action.index)
		case 'receive answer':
			// If the transaction was applied, controller 0 knows; if it was rejected, a read shows why.
			return afterRead(state, fault, { retry: false })
		case 'lose answer':
			if (fault === 'read after a lost answer') return { ...state, answer: null, moving: false }
			return afterRead(state, fault, { retry: true })
		case 'receive changes':
			return { ...state, views: refreshView(state.views, action.controller, state) }
		case 'cancel':
			return cancelJob(state)
		case 'take over':
			return takeOver(state)
		case 'start':
			return withRunning(state, action.shardId, true)
		case 'end':
			return withRunning(state, action.shardId, false)
	}
}

const afterMoveDecision = (state: State, fault: Fault): State => {
	const content = moveTransaction(state, fault)
	if (content === null) throw new Error('the model moved a job that controller 0 does not have')
	return submitMove(state, content)
}

const violation = (state: State): string | null => {
	if (state.running[0] && state.running[1]) return 'the task runs in both shards'
	const isOpen = knownRecords(state).registry.get(JOB)?.record.finalState === undefined
	return state.cancelled && isOpen ? 'a cancelled job is open again' : null
}

const createModel = (fault: Fault) => ({
	start: createStart(),
	actions: (state: State) => possibleActions(state, fault),
	step: (state: State, action: Action) => nextState(state, action, fault),
	violatedInvariant: violation,
	key: (state: State) => JSON.stringify(state),
})

for (const fault of [
	'none',
	'ownership condition',
	'own-key condition',
	'wait for changes older than the shard acquisition',
	'read after a lost answer',
] as const) {
	const expected = fault === 'none' ? 'none violates a rule' : `without the ${fault} one does`
	test(`a job moves to another shard, every interleaving: ${expected}`, () => {
		const { states, violation: found } = explore(createModel(fault), 400_000)
		if (fault === 'none') assert.deepEqual(found, null)
		else assert.ok(found !== null, `${states} states without a violation`)
		assert.ok(fault !== 'none' || states > 1000, `${states} states`)
	})
}

test('when a waiting job should move to another shard', () => {
	const load = (cpus: number, work: number, partitioned = false) => ({ cpus, workCpuS: work, partitioned })
	const cases: [
		name: string,
		from: Parameters<typeof isWorthMigrating>[0],
		to: Parameters<typeof isWorthMigrating>[1],
		moves: boolean,
	][] = [
		['from unreachable machines to reachable ones', load(800, 100, true), load(800, 9000), true],
		['never to unreachable machines', load(8, 9000), load(800, 0, true), false],
		['not between shards with similar load', load(800, 9000), load(800, 5000), false],
		['to a shard where it waits a small fraction of the time', load(80, 9000), load(800, 9000), true],
		['not to a shard with as much work and no machines either', load(0, 9000), load(0, 9000), false],
	]
	for (const [name, from, to, moves] of cases) assert.equal(isWorthMigrating(from, to, 8), moves, name)
})
