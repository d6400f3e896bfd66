/**
 * Model of the writes that make a job terminal: guards against a job with two terminal states. A job of shard 0 may be
 * completed, cancelled and moved to shard 1 and back by three controllers; controller 0 owns shard 0, controller 1 owns
 * shard 1, and controller 2 may take over shard 0. Obsolete records are deleted, pages are closed and archived, and states
 * of the first record format are moved to pages. Every transaction is built from what its writer knows, and applied at any
 * later moment or never, with its answer delivered or lost. The writes are the service's own code.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import {
	type AcceptedJobRecord,
	advanceArchivalEpoch,
	cancelJob,
	decodeJobRecord,
	decodeTerminalPage,
	deletePages,
	encodeAcceptedBatch,
	encodeJobRecord,
	encodeTerminalPage,
	HISTORY_KEY,
	jobKey,
	type KnownJob,
	migrateTerminalRecords,
	moveJobToShard,
	putJobRecord,
	recordTerminalJobs,
	shardKey,
	terminalPageKey,
	toTerminalJob,
} from '@heathroad/cluster'
import { archivablePages } from '@heathroad/server'
import { KEY_PREFIX, type TransactionContent } from '@heathroad/store'
import { arrayJob, explore } from '@heathroad/testkit'
import {
	applyTransaction,
	type KnownRecords,
	knownRecords,
	ownerNumber,
	type Records,
	refreshView,
	type View,
	withoutCondition,
} from './models/records.js'

const JOB = 'job-000001'
/** A job of shard 0 whose terminal state closes the page that holds the state of JOB, and one of shard 1. */
const OTHER_JOBS = ['job-000002', 'job-000003'] as const
const PAGE_LIMITS = { maxValueChars: 8000, maxJobs: 1 }
const CONTROLLERS = [0, 1, 2] as const
const MAX_STATES = 400_000
const FIRST_EPOCH = { form: 2, turn: 1, legacy: false }

/** The transactions of the model, each with the controller that submits it. */
const WRITERS = {
	'done in shard 0': 0,
	'done in shard 1': 1,
	'done after a takeover': 2,
	'cancelled by the owner': 0,
	'cancelled by the next owner': 1,
	'cancelled by another': 2,
	'read and moved to a page': 0,
	'moved to shard 1': 0,
	'moved back to shard 0': 1,
	progress: 0,
	'progress in shard 1': 1,
	'takeover of shard 0': 2,
	'record format': 2,
	epoch: 2,
	'own key deleted': 2,
	'batch deleted': 2,
	'page closed in shard 0': 0,
	'page closed in shard 1': 1,
	'pages of shard 0 archived': 0,
	'pages of shard 1 archived': 1,
} as const
type WriteName = keyof typeof WRITERS

/** Writes whose results their writers apply before earlier changes of others; those of all others come from the watch. */
const APPLIED_EARLY: ReadonlySet<WriteName> = new Set<WriteName>([
	'done in shard 0',
	'done in shard 1',
	'done after a takeover',
	'cancelled by the owner',
	'cancelled by the next owner',
	'cancelled by another',
	'moved to shard 1',
	'moved back to shard 0',
	'progress',
	'progress in shard 1',
	'takeover of shard 0',
	'page closed in shard 0',
	'page closed in shard 1',
])

/** How often each write may be submitted; bounds the model. */
type Budget = Partial<Record<WriteName, number>>

type Fault =
	| 'none'
	/** a cancellation is written to the page of the shard in which the job was when the cancellation was requested */
	| 'shard of an earlier read'
	| 'own-key condition of outcomes'
	| 'page condition'
	| 'page condition of moves'
	| 'epoch condition'
	/** the own key of a job that has moved is deleted in the epoch of its terminal state */
	| 'mark of moved jobs'
	/** a state is moved to a page although the page has received it since the own keys were read */
	| 'check of the page before a move'

interface State {
	revision: number
	records: Records
	views: View[]
	pending: { name: WriteName; content: TransactionContent }[]
	/** The own key of JOB as a migration pass has read it; null: not read. */
	ownKeyRead: Records[string] | null
	/** The first terminal state of JOB; null: none yet. */
	terminalState: string | null
	budget: Budget
	violation: string | null
}

type Action =
	| { kind: 'submit'; name: WriteName }
	| { kind: 'read own keys' }
	| { kind: 'receive changes'; controller: number }
	| { kind: 'apply'; index: number; isAnswered: boolean }

const acceptedJob = (uid: string, shardId: number): AcceptedJobRecord => ({
	shardId,
	spec: arrayJob(uid, { tasks: 1 }),
	acceptedAtMs: 0,
})

/** What differs at the start of a case. */
interface Start {
	/** entries that replace or add to those of an installation in the second format with one open job */
	records?: Record<string, unknown>
	/** keys that are absent */
	without?: readonly string[]
}

const createStart = (budget: Budget, { records = {}, without = [] }: Start): State => {
	const entries: Record<string, unknown> = {
		[shardKey(0)]: { owner: '0', life: 'a' },
		[shardKey(1)]: { owner: '1', life: 'b' },
		[HISTORY_KEY]: FIRST_EPOCH,
		'intake/a-1': encodeAcceptedBatch([acceptedJob(JOB, 0)]),
		'intake/a-2': encodeAcceptedBatch([acceptedJob(OTHER_JOBS[0], 0), acceptedJob(OTHER_JOBS[1], 1)]),
		...records,
	}
	for (const key of without) delete entries[key]
	const written: Records = Object.fromEntries(
		Object.entries(entries).map(([key, data], index) => [key, { data, modRevision: index + 1 }]),
	)
	const revision = Object.keys(written).length
	return {
		revision,
		records: written,
		views: CONTROLLERS.map(() => ({ revision, records: written })),
		pending: [],
		ownKeyRead: null,
		terminalState: terminalStates(written)[0] ?? null,
		budget,
		violation: null,
	}
}

/** The terminal states of JOB in all records, each with its place. */
const terminalStates = (records: Records): string[] => {
	const found: string[] = []
	for (const [key, { data }] of Object.entries(records)) {
		if (!key.startsWith('over/')) continue
		for (const { jobs } of decodeTerminalPage(data)?.batches ?? [])
			for (const { uid, finalState } of jobs) if (uid === JOB) found.push(`${finalState} on ${key}`)
	}
	const ownState = decodeJobRecord(records[jobKey(JOB)]?.data)?.finalState
	// In the second format the own key of a cancelled job repeats the state on the page.
	if (ownState !== undefined && !found.some((state) => state.startsWith(ownState)))
		found.push(`${ownState} under its own key`)
	return found
}

/** The condition that a controller still owns a shard; null: it knows that it does not. */
const ownershipCondition = ({ cache }: KnownRecords, shardId: number, controller: number) => {
	if (ownerNumber(Object.fromEntries(cache.entries) as Records, shardId) !== controller) return null
	return { key: KEY_PREFIX + shardKey(shardId), modRevision: cache.modRevision(shardKey(shardId)) }
}

/** Makes a write conditional on the ownership of the shard, as its owner does; null: the controller is not its owner. */
const ifOwned = (
	known: KnownRecords,
	shardId: number,
	controller: number,
	content: TransactionContent,
): TransactionContent | null => {
	const owner = ownershipCondition(known, shardId, controller)
	return owner === null ? null : { ...content, conditions: [owner, ...content.conditions] }
}

/** What the writer knows of JOB; null: it is unknown or terminal. */
const openJob = ({ registry }: KnownRecords): KnownJob | null => {
	const job = registry.get(JOB)
	return job === undefined || job.record.finalState !== undefined ? null : job
}

const terminalJob = (uid: string, finalState: 'done' | 'aborted') =>
	toTerminalJob(uid, finalState, arrayJob(uid, { tasks: 1 }), 1)

const withFault = (content: TransactionContent, shardId: number, fault: Fault): TransactionContent => {
	if (fault === 'page condition') return withoutCondition(content, terminalPageKey(shardId))
	return fault === 'epoch condition' ? withoutCondition(content, HISTORY_KEY) : content
}

const outcomeWrite = (
	known: KnownRecords,
	shardId: number,
	controller: number,
	fault: Fault,
): TransactionContent | null => {
	const job = openJob(known)
	if (job?.record.shardId !== shardId) return null
	if (known.cache.get(HISTORY_KEY) === undefined) {
		const done: KnownJob['record'] = { shardId, finalState: 'done', taskCount: 1 }
		return ifOwned(known, shardId, controller, putJobRecord(known.cache, JOB, job.modRevision, done))
	}
	const writes = [{ job: terminalJob(JOB, 'done'), known: job }]
	const content = withFault(recordTerminalJobs(known.cache, writes, PAGE_LIMITS).content, shardId, fault)
	const faulty = fault === 'own-key condition of outcomes' ? withoutCondition(content, jobKey(JOB)) : content
	return ifOwned(known, shardId, controller, faulty)
}

const cancelWrite = (known: KnownRecords, fault: Fault): TransactionContent | null => {
	const job = openJob(known)
	if (job === null) return null
	const shardId = fault === 'shard of an earlier read' ? 0 : job.record.shardId
	const write = {
		job: terminalJob(JOB, 'aborted'),
		known: { ...job, record: { ...job.record, shardId } },
	}
	return withFault(cancelJob(known.cache, write, PAGE_LIMITS), shardId, fault)
}

const moveWrite = (
	known: KnownRecords,
	from: number,
	to: number,
	fault: Fault,
): TransactionContent | null => {
	const job = openJob(known)
	if (job?.record.shardId !== from) return null
	const owner = ownershipCondition(known, from, from)
	if (owner === null) return null
	const content = moveJobToShard(known.cache, owner, JOB, job, to)
	return fault === 'page condition of moves' ? withoutCondition(content, terminalPageKey(from)) : content
}

const progressWrite = (known: KnownRecords, shardId: number, controller: number) => {
	const job = openJob(known)
	if (job?.record.shardId !== shardId) return null
	const record = { ...job.record, doneRanges: [] }
	return ifOwned(known, shardId, controller, putJobRecord(known.cache, JOB, job.modRevision, record))
}

const pageClosingWrite = (known: KnownRecords, shardId: 0 | 1): TransactionContent | null => {
	const uid = OTHER_JOBS[shardId]
	const job = known.registry.get(uid)
	if (job === undefined || job.record.finalState !== undefined) return null
	const writes = [{ job: terminalJob(uid, 'done'), known: job }]
	return ifOwned(known, shardId, shardId, recordTerminalJobs(known.cache, writes, PAGE_LIMITS).content)
}

const deletionOf = (known: KnownRecords, prefix: string, fault: Fault): TransactionContent | null => {
	const obsolete = [...known.registry.obsoleteEntries()].filter(([key]) => key.startsWith(prefix))
	const ownEntry = known.cache.get(jobKey(JOB))
	const isDeletedTooEarly =
		fault === 'mark of moved jobs' && ownEntry !== undefined && known.registry.isOnTerminalPage(JOB)
	if (isDeletedTooEarly && obsolete.length === 0 && prefix === 'job/') obsolete.push([jobKey(JOB), ownEntry])
	if (obsolete.length === 0) return null
	return {
		conditions: obsolete.map(([key, { modRevision }]) => ({ key: KEY_PREFIX + key, modRevision })),
		mutations: obsolete.map(([key]) => ({ delete: KEY_PREFIX + key })),
	}
}

const archiveWrite = ({ cache, registry }: KnownRecords, shardId: number): TransactionContent | null => {
	const pages = [...cache.withPrefix(`over/${shardId}/`)].map(([key, { modRevision }]) => ({
		key,
		modRevision,
		jobs: [...registry.terminalJobsOnPage(key)],
	}))
	const epoch = cache.modRevision(HISTORY_KEY)
	const ready = archivablePages(pages, epoch, registry.referencedIds(), new Set(), 1)
	return ready.length === 0
		? null
		: deletePages(
				cache,
				shardId,
				ready.map(({ key }) => key),
			)
}

/** Moves the state that a migration pass has read under the own key of JOB to a page. */
const migrationWrite = (state: State, known: KnownRecords, fault: Fault): TransactionContent | null => {
	const record = decodeJobRecord(state.ownKeyRead?.data)
	if (state.ownKeyRead === null || record?.finalState === undefined) return null
	// Passes begin once the second format is in use.
	if (known.cache.get(HISTORY_KEY) === undefined) return null
	if (fault !== 'check of the page before a move' && known.registry.isOnTerminalPage(JOB)) return null
	const states = [{ job: terminalJob(JOB, record.finalState), modRevision: state.ownKeyRead.modRevision }]
	return migrateTerminalRecords(known.cache, record.shardId, states, PAGE_LIMITS).content
}

const takeoverWrite = ({ cache }: KnownRecords): TransactionContent => ({
	conditions: [{ key: KEY_PREFIX + shardKey(0), modRevision: cache.modRevision(shardKey(0)) }],
	mutations: [{ set: KEY_PREFIX + shardKey(0), data: { owner: '2', life: 'c' } }],
})

/** Builds the write of a controller with the service's own code; null: there is nothing to write. */
const createWrite = (state: State, name: WriteName, fault: Fault): TransactionContent | null => {
	const known = knownRecords(state.views[WRITERS[name]])
	switch (name) {
		case 'done in shard 0':
			return outcomeWrite(known, 0, 0, fault)
		case 'done in shard 1':
			return outcomeWrite(known, 1, 1, fault)
		case 'done after a takeover':
			return outcomeWrite(known, 0, 2, fault)
		case 'cancelled by the owner':
		case 'cancelled by the next owner':
		case 'cancelled by another':
			return cancelWrite(known, fault)
		case 'read and moved to a page':
			return migrationWrite(state, known, fault)
		case 'moved to shard 1':
			return moveWrite(known, 0, 1, fault)
		case 'moved back to shard 0':
			return moveWrite(known, 1, 0, fault)
		case 'progress':
			return progressWrite(known, 0, 0)
		case 'progress in shard 1':
			return progressWrite(known, 1, 1)
		case 'takeover of shard 0':
			return takeoverWrite(known)
		case 'record format':
			return known.cache.get(HISTORY_KEY) === undefined
				? advanceArchivalEpoch(known.cache, { format: 2, archivalEpoch: 1, legacy: true })
				: null
		case 'epoch':
			return advanceArchivalEpoch(known.cache, { format: 2, archivalEpoch: 2, legacy: false })
		case 'own key deleted':
			return deletionOf(known, 'job/', fault)
		case 'batch deleted':
			return deletionOf(known, 'intake/', fault)
		case 'page closed in shard 0':
			return pageClosingWrite(known, 0)
		case 'page closed in shard 1':
			return pageClosingWrite(known, 1)
		case 'pages of shard 0 archived':
			return archiveWrite(known, 0)
		case 'pages of shard 1 archived':
			return archiveWrite(known, 1)
	}
}

function* possibleActions(state: State, fault: Fault): Iterable<Action> {
	for (const name of Object.keys(state.budget) as WriteName[]) {
		const isAllowed = (state.budget[name] ?? 0) > 0
		if (isAllowed && createWrite(state, name, fault) !== null) yield { kind: 'submit', name }
	}
	const mayMigrate = (state.budget['read and moved to a page'] ?? 0) > 0
	if (mayMigrate && state.ownKeyRead === null && state.records[jobKey(JOB)] !== undefined)
		yield { kind: 'read own keys' }
	for (const controller of CONTROLLERS)
		if (state.views[controller].revision < state.revision) yield { kind: 'receive changes', controller }
	for (const [index, { name }] of state.pending.entries()) {
		yield { kind: 'apply', index, isAnswered: false }
		if (APPLIED_EARLY.has(name)) yield { kind: 'apply', index, isAnswered: true }
	}
}

const submitWrite = (state: State, name: WriteName, fault: Fault): State => {
	const content = createWrite(state, name, fault)
	if (content === null) throw new Error(`the model submitted "${name}" although there is nothing to write`)
	return {
		...state,
		budget: { ...state.budget, [name]: (state.budget[name] ?? 0) - 1 },
		pending: [...state.pending, { name, content }],
	}
}

/** The views after a controller has received the answer to its write: it knows the keys that it has set. */
const viewsAfterAnswer = (
	{ views }: State,
	controller: number,
	{ mutations }: TransactionContent,
	modRevision: number,
): View[] =>
	views.map((view, index) => {
		if (index !== controller) return view
		const records: Record<string, Records[string]> = { ...view.records }
		for (const mutation of mutations)
			if ('set' in mutation)
				records[mutation.set.slice(KEY_PREFIX.length)] = { data: mutation.data, modRevision }
		return { ...view, records }
	})

/** Describes how new records contradict the first terminal state; null: they do not. */
const contradiction = (before: State, records: Records): string | null => {
	const states = terminalStates(records)
	if (states.length > 1) return `${states.join(' and ')}`
	if (states.length === 0 || before.terminalState === null) return null
	const isNew = terminalStates(before.records).length === 0
	const isOther = states[0].split(' ')[0] !== before.terminalState.split(' ')[0]
	return isNew || isOther ? `${before.terminalState}, then ${states[0]}` : null
}

const applyPending = (state: State, index: number, isAnswered: boolean): State => {
	const { name, content } = state.pending[index]
	const pending = state.pending.filter((_, other) => other !== index)
	const revision = state.revision + 1
	const records = applyTransaction(state.records, content, revision)
	if (records === null) return { ...state, pending }
	return {
		...state,
		revision,
		records,
		pending,
		views: isAnswered ? viewsAfterAnswer(state, WRITERS[name], content, revision) : state.views,
		terminalState: state.terminalState ?? terminalStates(records)[0] ?? null,
		violation: contradiction(state, records),
	}
}

const nextState = (state: State, action: Action, fault: Fault): State => {
	switch (action.kind) {
		case 'submit':
			return submitWrite(state, action.name, fault)
		case 'read own keys':
			return { ...state, ownKeyRead: state.records[jobKey(JOB)] }
		case 'receive changes':
			return { ...state, views: refreshView(state.views, action.controller, state) }
		case 'apply':
			return applyPending(state, action.index, action.isAnswered)
	}
}

const texts = new WeakMap<object, string>()

/** JSON of a value that is never modified in place and occurs in many states. */
const textOf = (value: object): string => {
	const known = texts.get(value)
	if (known !== undefined) return known
	const text = JSON.stringify(value)
	texts.set(value, text)
	return text
}

const stateKey = ({ revision, records, views, pending, ownKeyRead, terminalState, budget }: State): string =>
	[
		revision,
		textOf(records),
		...views.map((view) => `${view.revision} ${textOf(view.records)}`),
		...pending.map((write) => `${write.name} ${textOf(write.content)}`).sort(),
		ownKeyRead?.modRevision,
		terminalState,
		JSON.stringify(budget),
	].join('\n')

const exploreCase = (fault: Fault, budget: Budget, start: Start = {}) =>
	explore(
		{
			start: createStart(budget, start),
			actions: (state: State) => possibleActions(state, fault),
			step: (state: State, action: Action) => nextState(state, action, fault),
			violatedInvariant: (state: State) => state.violation,
			key: stateKey,
		},
		MAX_STATES,
	)

/** All writes that make JOB terminal in the second format. */
const TERMINAL_WRITES: readonly WriteName[] = [
	'done in shard 0',
	'done in shard 1',
	'done after a takeover',
	'cancelled by the owner',
	'cancelled by the next owner',
	'cancelled by another',
]

/** What may happen to the job and its records between the two terminal writes of a pair. */
const BETWEEN: Record<string, Budget> = {
	'a move': { 'moved to shard 1': 1 },
	'a move and the deletion of its own key': { 'moved to shard 1': 1, 'own key deleted': 1 },
	'a move and a takeover': { 'moved to shard 1': 1, 'takeover of shard 0': 1 },
	'a move and progress': { 'moved to shard 1': 1, 'progress in shard 1': 1 },
	'a move and back': { 'moved to shard 1': 1, 'moved back to shard 0': 1 },
}

for (const [index, first] of TERMINAL_WRITES.entries())
	for (const second of TERMINAL_WRITES.slice(index))
		test(`a job has one terminal state, every interleaving of "${first}" and "${second}" with a move`, () => {
			for (const [between, budget] of Object.entries(BETWEEN)) {
				const both = first === second ? { [first]: 2 } : { [first]: 1, [second]: 1 }
				const { violation } = exploreCase('none', { ...both, ...budget })
				assert.deepEqual(violation, null, between)
			}
		})

/** JOB has finished in the first format; its state is under its own key. */
const FINISHED_IN_FIRST_FORMAT: Start = {
	records: {
		[HISTORY_KEY]: { ...FIRST_EPOCH, legacy: true },
		[jobKey(JOB)]: encodeJobRecord({ shardId: 0, finalState: 'done', taskCount: 1 }),
	},
	without: ['intake/a-1'],
}
const FIRST_FORMAT: Start = { without: [HISTORY_KEY] }
const LEGACY: Start = { records: { [HISTORY_KEY]: { ...FIRST_EPOCH, legacy: true } } }
/** JOB has moved to shard 1, and its accepted batch is deleted. */
const MOVED: Start = {
	records: { [jobKey(JOB)]: encodeJobRecord({ ...acceptedJob(JOB, 1), moved: true }) },
	without: ['intake/a-1'],
}
/** Two controllers accepted JOB, for different shards; the acceptance for shard 0 is the earlier one. */
const ACCEPTED_TWICE: Start = {
	records: { 'intake/b-1': encodeAcceptedBatch([acceptedJob(JOB, 1)]) },
}

interface Case {
	name: string
	budget: Budget
	start?: Start
}

const CANCELLED_WHILE_MOVING: Case = {
	name: 'a move, an outcome and two cancellations',
	budget: { 'moved to shard 1': 1, 'done in shard 1': 1, 'cancelled by another': 2 },
}
const CLEANED_UP: Case = {
	name: 'a move, an outcome, a late cancellation, cleanup and an archival epoch',
	budget: {
		'moved to shard 1': 1,
		'done in shard 1': 1,
		'cancelled by another': 1,
		'own key deleted': 1,
		epoch: 1,
	},
}
const LATE_OUTCOME: Case = {
	name: 'outcomes of both shards and a move whose answer is lost',
	budget: { 'moved to shard 1': 1, 'done in shard 0': 1, 'done in shard 1': 1 },
}
const CANCELLED_AND_MIGRATED: Case = {
	name: 'a cancellation and a migration pass that reads its own key',
	budget: { 'cancelled by another': 1, 'read and moved to a page': 1, progress: 1 },
	start: LEGACY,
}

const CANCELLED_BY_OWNER: Case = {
	name: 'two cancellations, a late move and the deletion of the own key',
	budget: {
		'moved to shard 1': 1,
		'cancelled by another': 1,
		'cancelled by the owner': 1,
		'own key deleted': 1,
	},
}

const CASES: readonly Case[] = [
	CANCELLED_WHILE_MOVING,
	CLEANED_UP,
	LATE_OUTCOME,
	CANCELLED_AND_MIGRATED,
	CANCELLED_BY_OWNER,
	{
		name: 'archiving of a moved job, with a late cancellation',
		budget: {
			'done in shard 1': 1,
			'cancelled by another': 1,
			'page closed in shard 1': 1,
			'own key deleted': 1,
			epoch: 1,
			'pages of shard 1 archived': 1,
		},
		start: MOVED,
	},
	{
		name: 'archiving of a job that has not moved, with a late cancellation',
		budget: {
			'done in shard 0': 1,
			'cancelled by another': 1,
			'page closed in shard 0': 1,
			'batch deleted': 1,
			epoch: 1,
			'pages of shard 0 archived': 1,
		},
	},
	{
		name: 'states of the first format, a migration pass and a cancellation',
		budget: { 'read and moved to a page': 2, 'cancelled by another': 1, 'done in shard 0': 1, epoch: 1 },
		start: FINISHED_IN_FIRST_FORMAT,
	},
	{
		name: 'an upgrade of the record format',
		budget: {
			'record format': 1,
			'done in shard 0': 2,
			'cancelled by another': 2,
			'read and moved to a page': 1,
		},
		start: FIRST_FORMAT,
	},
	{
		name: 'a job that was accepted for two shards',
		budget: {
			'done in shard 0': 1,
			'done in shard 1': 1,
			'cancelled by another': 1,
			'moved to shard 1': 1,
			'batch deleted': 1,
		},
		start: ACCEPTED_TWICE,
	},
]

for (const { name, budget, start } of CASES)
	test(`a job has one terminal state, every interleaving: ${name}`, () => {
		const { states, violation } = exploreCase('none', budget, start)
		assert.deepEqual(violation, null)
		assert.ok(states > 200, `${states} states`)
	})

const FAULTS: { fault: Fault; scenario: Case; found: RegExp }[] = [
	{ fault: 'shard of an earlier read', scenario: CANCELLED_WHILE_MOVING, found: /done.* and aborted/ },
	{ fault: 'own-key condition of outcomes', scenario: LATE_OUTCOME, found: /done.* and done/ },
	{ fault: 'page condition', scenario: CANCELLED_WHILE_MOVING, found: /done.* then aborted/ },
	{ fault: 'page condition of moves', scenario: CANCELLED_BY_OWNER, found: /aborted.* and aborted/ },
	{ fault: 'epoch condition', scenario: CLEANED_UP, found: /done.* and aborted/ },
	{ fault: 'mark of moved jobs', scenario: CLEANED_UP, found: /done.* and aborted/ },
	{
		fault: 'check of the page before a move',
		scenario: CANCELLED_AND_MIGRATED,
		found: /aborted.* and aborted/,
	},
]

for (const { fault, scenario, found } of FAULTS)
	test(`with the fault "${fault}" a job may have two terminal states`, () => {
		const { violation } = exploreCase(fault, scenario.budget, scenario.start)
		assert.match(violation?.what ?? 'none', found)
	})

/** A page of a shard that holds the state of JOB, which became durable at `revision`, and a later state. */
const pageWith = (shardId: 0 | 1, finalState: 'done' | 'aborted', revision: number) =>
	encodeTerminalPage({
		shardId,
		batches: [
			{ revision, jobs: [terminalJob(JOB, finalState)] },
			{ revision: null, jobs: [terminalJob(OTHER_JOBS[shardId], 'done')] },
		],
	})

test('of two terminal states that an earlier version recorded, the first counts at every controller', () => {
	const cases: { name: string; pages: [earlier: number, later: number] }[] = [
		{ name: 'the page of the earlier state changed first', pages: [20, 21] },
		{ name: 'the page of the earlier state changed last', pages: [21, 20] },
	]
	for (const { name, pages } of cases) {
		const records: Records = {
			[terminalPageKey(0)]: { data: pageWith(0, 'aborted', 10), modRevision: pages[0] },
			[terminalPageKey(1)]: { data: pageWith(1, 'done', 12), modRevision: pages[1] },
		}
		const known = knownRecords({ revision: 21, records }).registry.terminalRecord(JOB)
		assert.deepEqual([known?.record.finalState, known?.revision], ['aborted', 10], name)
	}
})
