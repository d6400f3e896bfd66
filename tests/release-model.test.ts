/**
 * Model of releases across a takeover: a started job must stay released, and a delayed write of the previous owner
 * must not release a job that the new owner holds. Controller 0 owns shard 0 with two jobs that wait for an admission
 * check, and marks those as released that pass its check; controller 1 may take over the shard, and its check may
 * decide otherwise. Transactions are applied at any later moment or never, responses are lost, and each controller
 * receives changes at any later moment. The transaction is the service's own code.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { decodeReleasePage, markReleased, releasePageKey, shardKey } from '@heathroad/cluster'
import { KEY_PREFIX, type TransactionContent } from '@heathroad/store'
import { explore } from '@heathroad/testkit'
import {
	applyTransaction,
	ownerNumber,
	type Records,
	refreshView,
	type View,
	withoutCondition,
} from './models/records.js'

const JOBS = ['job-000001', 'job-000002'] as const
const CONTROLLERS = [0, 1] as const
const MAX_TRANSACTIONS = 3

type Pair<T> = [T, T]
type Fault = 'none' | 'ownership condition' | 'page condition'

interface State {
	revision: number
	records: Records
	views: View[]
	pending: TransactionContent[]
	/** Jobs that have passed the admission check, by controller. */
	passed: Pair<string[]>
	/** Jobs held by controller 1's admission check. */
	held: string[]
	/** Whether the controller waits for a response. */
	waiting: Pair<boolean>
	transactionCount: number
	takenOver: boolean
	started: string[]
}

type Action =
	| { kind: 'pass' | 'hold' | 'start'; controller: number; job: string }
	| { kind: 'submit' | 'lose answer' | 'receive changes'; controller: number }
	| { kind: 'apply'; index: number }
	| { kind: 'take over' }

const releasedJobs = (records: Records): string[] =>
	decodeReleasePage(records[releasePageKey(0, 0)]?.data) ?? []
const fencingToken = (view: View) => view.records[shardKey(0)].modRevision
const owns = (state: State, controller: number) =>
	ownerNumber(state.views[controller].records, 0) === controller
/** Returns whether the controller owns the shard and has received all changes from before its acquisition. */
const ownsWithRecords = (state: State, controller: number) =>
	owns(state, controller) && state.views[controller].revision >= fencingToken(state.views[controller])
const unmarkedJobs = (state: State, controller: number) =>
	state.passed[controller].filter((job) => !releasedJobs(state.views[controller].records).includes(job))

const withReplaced = <T>(pair: Pair<T>, controller: number, value: T): Pair<T> =>
	controller === 0 ? [value, pair[1]] : [pair[0], value]

const createStart = (): State => {
	const records: Records = { [shardKey(0)]: { data: { owner: '0', life: 'a' }, modRevision: 1 } }
	return {
		revision: 1,
		records,
		views: CONTROLLERS.map(() => ({ revision: 1, records })),
		pending: [],
		passed: [[], []],
		held: [],
		waiting: [false, false],
		transactionCount: 0,
		takenOver: false,
		started: [],
	}
}

const releaseTransaction = (state: State, controller: number, fault: Fault): TransactionContent => {
	const view = state.views[controller]
	const reader = {
		get: (key: string) => view.records[key],
		modRevision: (key: string) => view.records[key]?.modRevision ?? 0,
	}
	const limits = { maxPageChars: 1000, maxPages: 1 }
	const { content } = markReleased(reader, 0, unmarkedJobs(state, controller), () => true, limits)
	const ownership = { key: KEY_PREFIX + shardKey(0), modRevision: fencingToken(view) }
	const complete = { ...content, conditions: [ownership, ...content.conditions] }
	if (fault === 'ownership condition') return withoutCondition(complete, shardKey(0))
	if (fault === 'page condition') return withoutCondition(complete, releasePageKey(0, 0))
	return complete
}

function* jobActions(state: State, controller: number, job: string): Iterable<Action> {
	const isMarked = releasedJobs(state.views[controller].records).includes(job)
	const isDecided = state.passed[controller].includes(job) || (controller === 1 && state.held.includes(job))
	if (ownsWithRecords(state, controller) && !isMarked && !isDecided) {
		yield { kind: 'pass', controller, job }
		if (controller === 1) yield { kind: 'hold', controller, job }
	}
	// An owner's lease expires before another controller can take over the shard.
	const mayStart = ownsWithRecords(state, controller) && ownerNumber(state.records, 0) === controller
	if (mayStart && isMarked && !state.started.includes(job)) yield { kind: 'start', controller, job }
}

function* possibleActions(state: State): Iterable<Action> {
	for (const controller of CONTROLLERS) {
		if (!owns(state, controller)) continue
		for (const job of JOBS) yield* jobActions(state, controller, job)
		const canSubmit = !state.waiting[controller] && state.transactionCount < MAX_TRANSACTIONS
		if (canSubmit && unmarkedJobs(state, controller).length > 0) yield { kind: 'submit', controller }
	}
	for (const index of state.pending.keys()) yield { kind: 'apply', index }
	for (const controller of CONTROLLERS) {
		if (state.waiting[controller]) yield { kind: 'lose answer', controller }
		if (state.views[controller].revision < state.revision) yield { kind: 'receive changes', controller }
	}
	if (!state.takenOver) yield { kind: 'take over' }
}

const submitTransaction = (state: State, controller: number, fault: Fault): State => ({
	...state,
	transactionCount: state.transactionCount + 1,
	waiting: withReplaced(state.waiting, controller, true),
	pending: [...state.pending, releaseTransaction(state, controller, fault)],
})

const applyPending = (state: State, index: number): State => {
	const pending = state.pending.filter((_, other) => other !== index)
	const revision = state.revision + 1
	const records = applyTransaction(state.records, state.pending[index], revision)
	return records === null ? { ...state, pending } : { ...state, revision, pending, records }
}

const takeOver = (state: State): State => {
	const revision = state.revision + 1
	const owner = { [shardKey(0)]: { data: { owner: '1', life: 'b' }, modRevision: revision } }
	// Controller 1 knows its own acquisition before it has received earlier changes.
	const views = state.views.map((view, index) =>
		index === 1 ? { ...view, records: { ...view.records, ...owner } } : view,
	)
	return { ...state, revision, takenOver: true, views, records: { ...state.records, ...owner } }
}

const nextState = (state: State, action: Action, fault: Fault): State => {
	switch (action.kind) {
		case 'pass': {
			const passed = [...state.passed[action.controller], action.job].sort()
			return { ...state, passed: withReplaced(state.passed, action.controller, passed) }
		}
		case 'hold':
			return { ...state, held: [...state.held, action.job].sort() }
		case 'start':
			return { ...state, started: [...state.started, action.job].sort() }
		case 'receive changes':
			return { ...state, views: refreshView(state.views, action.controller, state) }
		case 'lose answer': {
			// A linearizable read shows the current records, and jobs that are not marked are submitted again.
			const views = refreshView(state.views, action.controller, state)
			return { ...state, waiting: withReplaced(state.waiting, action.controller, false), views }
		}
		case 'submit':
			return submitTransaction(state, action.controller, fault)
		case 'take over':
			return takeOver(state)
		case 'apply':
			return applyPending(state, action.index)
	}
}

const violation = (state: State): string | null => {
	const released = releasedJobs(state.records)
	if (state.started.some((job) => !released.includes(job)))
		return 'a started job is no longer marked as released'
	const isReleasedDespiteHold = state.held.some((job) => released.includes(job))
	return isReleasedDespiteHold ? "a job is marked as released although its owner's check held it" : null
}

const createModel = (fault: Fault) => ({
	start: createStart(),
	actions: possibleActions,
	step: (state: State, action: Action) => nextState(state, action, fault),
	violatedInvariant: violation,
	key: (state: State) => JSON.stringify(state),
})

for (const fault of ['none', 'ownership condition', 'page condition'] as const) {
	const expected = fault === 'none' ? 'none violates a rule' : `without the ${fault} one does`
	test(`releases across a takeover, every interleaving: ${expected}`, () => {
		const { states, violation: found } = explore(createModel(fault), 400_000)
		if (fault === 'none') {
			assert.deepEqual(found, null)
			assert.ok(states > 1000, `${states} states`)
		} else assert.ok(found !== null, `${states} states without a violation`)
	})
}
