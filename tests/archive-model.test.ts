/**
 * Model of jobs that become terminal and move from memory to the archive: guards against accepted jobs that get lost,
 * and terminal states that change or are reopened, through transactions that are applied late. Two controllers may
 * accept, cancel and finish one job; a second job fills the page when it finishes; controller 0 accepts a third one,
 * overwriting an obsolete batch of its own if it has one. Every transaction may be applied at any later moment or
 * never. Controller 0 owns the shard. The writes and the condition for archiving a page are the service's own code.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import {
	type AcceptedJobRecord,
	acceptJobs,
	advanceArchivalEpoch,
	cancelJob,
	deletePages,
	encodeAcceptedBatch,
	HISTORY_KEY,
	type KnownJob,
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
	type Records,
	refreshView,
	type View,
	withoutCondition,
} from './models/records.js'

const JOB = 'job-000001'
const OTHER_JOB = 'job-000002'
const NEXT_JOB = 'job-000003'
const PAGE_LIMITS = { maxValueChars: 8000, maxJobs: 1 }
/** Accepted batch of controller 0, which initially holds OTHER_JOB. */
const BATCH_KEY = 'intake/before'
const CONTROLLERS = [0, 1] as const

/** The transactions of the model, each with the controller that submits it. */
const WRITERS = {
	accept0: 0,
	accept1: 1,
	next0: 0,
	cancel1: 1,
	done: 0,
	other: 0,
	progress: 0,
	epoch: 0,
	cleanup: 0,
	archive: 0,
} as const
type WriteName = keyof typeof WRITERS

/** How often each write may be submitted, in the order in which they are tried; bounds the model. */
type Budget = Partial<Record<WriteName, number>>

type Fault =
	| 'epoch condition of acceptances'
	| 'mod revision condition of the batch'
	| 'page condition'
	| 'epoch check before archiving'
	| 'check for records that name the job'
	| 'none'

interface State {
	revision: number
	records: Records
	views: View[]
	pending: { name: WriteName; content: TransactionContent }[]
	archive: string[]
	/** A user was notified that JOB is accepted. */
	accepted: boolean
	/** The terminal state of JOB that was reported; null: none yet. */
	terminalState: string | null
	budget: Budget
	violation: string | null
}

type Action =
	| { kind: 'submit'; name: WriteName }
	| { kind: 'receive changes'; controller: number }
	| { kind: 'apply'; index: number }

/** A transaction to submit; `archives`: jobs that are copied to the archive before it. */
interface Write {
	content: TransactionContent
	archives?: string[]
}

const acceptedJob = (uid: string): AcceptedJobRecord => ({
	shardId: 0,
	spec: arrayJob(uid, { tasks: 1 }),
	acceptedAtMs: 0,
})

const createStart = (budget: Budget): State => {
	const records: Records = {
		[shardKey(0)]: { data: { owner: 'ctl-0', life: 'a' }, modRevision: 1 },
		[HISTORY_KEY]: { data: { form: 2, turn: 1, legacy: false }, modRevision: 2 },
		[BATCH_KEY]: { data: encodeAcceptedBatch([acceptedJob(OTHER_JOB)]), modRevision: 3 },
	}
	return {
		revision: 3,
		records,
		views: CONTROLLERS.map(() => ({ revision: 3, records })),
		pending: [],
		archive: [],
		accepted: false,
		terminalState: null,
		budget,
		violation: null,
	}
}

const ifOwned = ({ cache }: KnownRecords, content: TransactionContent): TransactionContent => {
	const ownership = { key: KEY_PREFIX + shardKey(0), modRevision: cache.modRevision(shardKey(0)) }
	return { ...content, conditions: [ownership, ...content.conditions] }
}

const acceptWrite = (known: KnownRecords, name: WriteName, uid: string, fault: Fault): Write => {
	const { cache, registry } = known
	const batch = cache.get(BATCH_KEY)
	const obsolete =
		WRITERS[name] === 0 && batch !== undefined && registry.isObsoleteBatch(batch.data) ? batch : null
	const key = obsolete === null ? `intake/${name}` : BATCH_KEY
	const content = acceptJobs(cache, key, [acceptedJob(uid)], obsolete?.modRevision ?? 0)
	if (fault === 'mod revision condition of the batch') return { content: withoutCondition(content, key) }
	if (fault === 'epoch condition of acceptances') return { content: withoutCondition(content, HISTORY_KEY) }
	return { content }
}

const withoutPageCondition = (content: TransactionContent, fault: Fault): TransactionContent =>
	fault === 'page condition' ? withoutCondition(content, terminalPageKey(0)) : content

const outcomeWrite = (
	{ cache }: KnownRecords,
	uid: string,
	known: KnownJob,
	fault: Fault,
): TransactionContent => {
	const job = toTerminalJob(uid, 'done', acceptedJob(uid).spec, 1)
	return withoutPageCondition(recordTerminalJobs(cache, [{ job, known }], PAGE_LIMITS).content, fault)
}

/** The record of JOB; null: unknown or terminal. */
const openJob = ({ registry }: KnownRecords) => {
	const job = registry.get(JOB)
	return job === undefined || job.record.finalState !== undefined ? null : job
}

const cancelWrite = (known: KnownRecords, fault: Fault): Write | null => {
	const job = openJob(known)
	if (job === null) return null
	const cancelled = toTerminalJob(JOB, 'aborted', acceptedJob(JOB).spec, 1)
	const content = cancelJob(known.cache, { job: cancelled, known: job }, PAGE_LIMITS)
	return { content: withoutPageCondition(content, fault) }
}

const completionWrite = (known: KnownRecords, uid: string, fault: Fault): Write | null => {
	const job = known.registry.get(uid)
	if (job === undefined || job.record.finalState !== undefined) return null
	return { content: ifOwned(known, outcomeWrite(known, uid, job, fault)) }
}

const progressWrite = (known: KnownRecords): Write | null => {
	const job = openJob(known)
	if (job === null) return null
	const record = { ...job.record, doneRanges: [] }
	return { content: ifOwned(known, putJobRecord(known.cache, JOB, job.modRevision, record)) }
}

const cleanupWrite = ({ registry }: KnownRecords): Write | null => {
	const obsolete = [...registry.obsoleteEntries()]
	if (obsolete.length === 0) return null
	return {
		content: {
			conditions: obsolete.map(([key, { modRevision }]) => ({ key: KEY_PREFIX + key, modRevision })),
			mutations: obsolete.map(([key]) => ({ delete: KEY_PREFIX + key })),
		},
	}
}

const archiveWrite = ({ cache, registry }: KnownRecords, fault: Fault): Write | null => {
	const pages = [...cache.withPrefix('over/0/')].map(([key, { modRevision }]) => ({
		key,
		modRevision,
		jobs: [...registry.terminalJobsOnPage(key)],
	}))
	const epochRevision =
		fault === 'epoch check before archiving' ? Number.POSITIVE_INFINITY : cache.modRevision(HISTORY_KEY)
	const referenced =
		fault === 'check for records that name the job' ? new Set<string>() : registry.referencedIds()
	const ready = archivablePages(pages, epochRevision, referenced, new Set(), 1)
	if (ready.length === 0) return null
	const keys = ready.map(({ key }) => key)
	return {
		content: deletePages(cache, 0, keys),
		archives: ready.flatMap(({ jobs }) => jobs.map(({ uid }) => uid)),
	}
}

/** Builds the write of a controller with the service's own code; null: there is nothing to write. */
const createWrite = (state: State, name: WriteName, fault: Fault): Write | null => {
	const known = knownRecords(state.views[WRITERS[name]])
	switch (name) {
		case 'accept0':
		case 'accept1': {
			const isKnown = known.registry.get(JOB) !== undefined || state.archive.includes(JOB)
			return isKnown ? null : acceptWrite(known, name, JOB, fault)
		}
		case 'next0':
			return known.registry.get(NEXT_JOB) === undefined ? acceptWrite(known, name, NEXT_JOB, fault) : null
		case 'cancel1':
			return cancelWrite(known, fault)
		case 'done':
			return completionWrite(known, JOB, fault)
		case 'other':
			return completionWrite(known, OTHER_JOB, fault)
		case 'progress':
			return progressWrite(known)
		case 'epoch': {
			const next = { format: 2, archivalEpoch: 2, legacy: false }
			return { content: advanceArchivalEpoch(known.cache, next) }
		}
		case 'cleanup':
			return cleanupWrite(known)
		case 'archive':
			return archiveWrite(known, fault)
	}
}

/** Describes how the records contradict what users were notified of; null: they do not. */
const findViolation = (state: State): string | null => {
	const { registry } = knownRecords(state)
	const recorded = registry.terminalRecord(JOB)?.record.finalState ?? null
	const isMissing = registry.get(JOB) === undefined && !state.archive.includes(JOB)
	if (state.accepted && isMissing) return 'an accepted job is unknown'
	if (state.terminalState === null) return null
	if (registry.openJobs.has(JOB)) return `${state.terminalState}, then open again`
	if (recorded !== null && recorded !== state.terminalState) return `${state.terminalState}, then ${recorded}`
	return null
}

function* possibleActions(state: State, fault: Fault): Iterable<Action> {
	for (const name of Object.keys(state.budget) as WriteName[]) {
		const isAllowed = (state.budget[name] ?? 0) > 0
		if (isAllowed && createWrite(state, name, fault) !== null) yield { kind: 'submit', name }
	}
	for (const controller of CONTROLLERS)
		if (state.views[controller].revision < state.revision) yield { kind: 'receive changes', controller }
	for (const index of state.pending.keys()) yield { kind: 'apply', index }
}

const submitWrite = (state: State, name: WriteName, fault: Fault): State => {
	const write = createWrite(state, name, fault)
	if (write === null) throw new Error(`the model submitted ${name} although there is nothing to write`)
	return {
		...state,
		budget: { ...state.budget, [name]: (state.budget[name] ?? 0) - 1 },
		pending: [...state.pending, { name, content: write.content }],
		archive: [...new Set([...state.archive, ...(write.archives ?? [])])],
	}
}

/** The terminal state of JOB that a successful write reports; null: none. */
const reportedState = (name: WriteName): string | null => {
	if (name === 'done') return 'done'
	return name === 'cancel1' ? 'aborted' : null
}

const applyPending = (state: State, index: number): State => {
	const { name, content } = state.pending[index]
	const pending = state.pending.filter((_, other) => other !== index)
	const revision = state.revision + 1
	const records = applyTransaction(state.records, content, revision)
	if (records === null) return { ...state, pending }
	const terminalState = reportedState(name) ?? state.terminalState
	const accepted = state.accepted || name.startsWith('accept')
	const next = { ...state, revision, records, pending, terminalState, accepted }
	const contradiction =
		state.terminalState !== null && terminalState !== state.terminalState
			? `${state.terminalState}, then ${terminalState}`
			: null
	return { ...next, violation: state.violation ?? contradiction ?? findViolation(next) }
}

const nextState = (state: State, action: Action, fault: Fault): State => {
	switch (action.kind) {
		case 'submit':
			return submitWrite(state, action.name, fault)
		case 'receive changes':
			return { ...state, views: refreshView(state.views, action.controller, state) }
		case 'apply':
			return applyPending(state, action.index)
	}
}

const createModel = (fault: Fault, budget: Budget) => ({
	start: createStart(budget),
	actions: (state: State) => possibleActions(state, fault),
	step: (state: State, action: Action) => nextState(state, action, fault),
	violatedInvariant: (state: State) => state.violation,
	key: (state: State) => JSON.stringify(state),
})

const DELAYED_WRITES = { accept0: 1, accept1: 1, done: 1, other: 1, epoch: 1, cleanup: 1, archive: 1 }
const WITHOUT_CLEANUP = { accept0: 1, done: 1, other: 1, epoch: 1, archive: 1 }
const REUSED_BATCH = { accept0: 1, next0: 1, done: 1, other: 1, cleanup: 1, epoch: 1 }
const CANCEL_AND_COMPLETION = { accept0: 1, cancel1: 1, done: 1, other: 1, progress: 1 }

const CASES: { fault: Fault; budget: Budget }[] = [
	{ fault: 'none', budget: DELAYED_WRITES },
	{ fault: 'none', budget: CANCEL_AND_COMPLETION },
	{ fault: 'none', budget: REUSED_BATCH },
	{ fault: 'epoch condition of acceptances', budget: DELAYED_WRITES },
	{ fault: 'page condition', budget: CANCEL_AND_COMPLETION },
	{ fault: 'mod revision condition of the batch', budget: REUSED_BATCH },
	{ fault: 'epoch check before archiving', budget: DELAYED_WRITES },
	{ fault: 'check for records that name the job', budget: WITHOUT_CLEANUP },
]

for (const { fault, budget } of CASES) {
	const expected = fault === 'none' ? 'none violates a rule' : `without the ${fault} one does`
	test(`every interleaving of ${Object.keys(budget).join(', ')}: ${expected}`, () => {
		const { states, violation: found } = explore(createModel(fault, budget), 400_000)
		if (fault !== 'none') assert.ok(found !== null, `${states} states without a violation`)
		else assert.deepEqual(found, null)
		assert.ok(fault !== 'none' || states > 1000, `${states} states`)
	})
}
