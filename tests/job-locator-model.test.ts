/**
 * Model of a search for a job whose terminal state moves meanwhile: a search that misses it reports a known job as
 * absent, or lets a finished job be accepted again. Controller 0 searches, for a user or for a submission, with a view
 * that lags and that a full read may replace. Controller 1 owns the shard, upgrades the record format, migrates
 * records and archives them; it may also accept and finish the job. Every transaction that can interfere with the
 * search may be applied at any later moment or never. The search decisions, the writes and the condition for archiving
 * a page are the service's own code.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import {
	type AcceptedJobRecord,
	acceptJobs,
	advanceArchivalEpoch,
	cancelJob,
	decodeHistoryRecord,
	decodeJobRecord,
	deletePages,
	encodeHistoryRecord,
	encodeJobRecord,
	HISTORY_KEY,
	type JobRecord,
	jobKey,
	migrateTerminalRecords,
	putJobRecord,
	recordTerminalJobs,
	shardKey,
	toTerminalJob,
} from '@heathroad/cluster'
import {
	archivablePages,
	type JobLocation,
	type MemoryView,
	mayAdvanceArchivalEpoch,
} from '@heathroad/server'
import { KEY_PREFIX, type TransactionContent } from '@heathroad/store'
import { arrayJob, explore } from '@heathroad/testkit'
import {
	afterFullRead,
	afterJobLeftMemory,
	checkMemory,
	EMPTY_READER,
	isCached,
	type LevelPage,
	type ReaderState,
	type Search,
	type SearchFault,
	type SearchOutcome,
	takePage,
} from './models/job-search.js'
import {
	applyTransaction,
	type KnownRecords,
	knownRecords,
	type Records,
	type View,
	withoutCondition,
} from './models/records.js'

const JOB = 'job-000001'
/** A job whose terminal state fills the page. */
const OTHER_JOB = 'job-000002'
const SHARD = 0
const PAGE_LIMITS = { maxValueChars: 8000, maxJobs: 1 }
const CLOSED_PAGES = 'over/0/'
/** The archive pages that cover the job; controllers do not watch them. */
const LEVEL_KEYS = ['past/1', 'past/2'] as const

/** Operations of the model, besides applying submitted writes and delivering changes. */
type OperationName =
	/** a user queries the job at controller 0 */
	| 'query'
	/** a submission reaches controller 0, which searches for proof that the job is absent */
	| 'prove'
	| 'full read'
	/** controller 0 submits the write that accepts the job */
	| 'accept'
	| 'other accept'
	| 'finish'
	/** a user cancels the job at controller 1 */
	| 'cancel'
	| 'cleanup'
	/** the format record is created: the upgrade to the second format begins */
	| 'format'
	| 'migrate'
	/** the migration completes: no terminal states are left under own keys */
	| 'migrated'
	| 'close page'
	| 'epoch'
	| 'archive'
	| 'merge'

/** How often each operation may happen, in the order in which they are tried; bounds the model. */
type Budget = Partial<Record<OperationName, number>>

type Fault =
	| SearchFault
	| 'epoch condition of acceptances'
	| 'check of the proof against the epoch'
	| 'own-key condition of acceptances'

/** An outcome that must not occur. */
type Violation =
	| 'a known job is reported absent'
	| 'a finished job is accepted again'
	| 'a job is proven absent as of a revision at which it was known'

interface PendingWrite {
	name: 'accept' | 'other accept' | 'finish' | 'move'
	content: TransactionContent
}

/** The state that controller 0 keeps. */
interface Searcher {
	view: View
	fullReadRevision: number
	hasOmittedStates: boolean
	/** mod revision of the job's own key that a full read left out; -1: none */
	omittedRevision: number
	reader: ReaderState
}

interface State {
	revision: number
	records: Records
	/** the records after each change that controller 0 has not received yet */
	undelivered: readonly View[]
	searcher: Searcher
	ownerView: View
	pending: readonly PendingWrite[]
	search: Search | null
	/** revision as of which the job is proven absent for the submission */
	provenAbsentAt: number | null
	/** revision at which the submission's batch was applied, until its outcome is reported */
	acceptedAt: number | null
	/** first revision at which a record contained the job */
	knownSince: number | null
	finishedAt: number | null
	budget: Budget
	violation: Violation | null
}

type Action =
	| { kind: 'begin'; name: OperationName }
	| { kind: 'apply'; index: number }
	| { kind: 'receive all' | 'receive next' | 'owner receives' }
	| { kind: 'check memory' | 'read own key' | 'read level' | 'take page' | 'report' }

/** The condition that is left out, and the violations that end an exploration. */
interface Rules {
	fault: Fault | null
	forbidden: readonly Violation[]
}

const internedByText = new Map<string, object>()
const numbers = new WeakMap<object, number>()

/** Returns the same object for all equal values. */
const interned = <T extends object>(value: T): T => {
	const text = JSON.stringify(value)
	const known = internedByText.get(text)
	if (known !== undefined) return known as T
	internedByText.set(text, value)
	numbers.set(value, internedByText.size)
	return value
}

/** Returns a number that is the same for all equal values. */
const numberOf = (value: object): number => {
	const known = numbers.get(value)
	if (known !== undefined) return known
	const number = numbers.get(interned(value)) ?? 0
	numbers.set(value, number)
	return number
}

const acceptedJob = (acceptedAtMs: number): AcceptedJobRecord => ({
	shardId: SHARD,
	spec: arrayJob(JOB, { tasks: 1 }),
	acceptedAtMs,
})
/** Acceptance times, by which the two acceptances differ. */
const OTHER_ACCEPTED_AT_MS = 0
const ACCEPTED_AT_MS = 1

const FINISHED: JobRecord = {
	shardId: SHARD,
	finalState: 'done',
	taskCount: 1,
	resources: { team: 'core', cpus: 1, gpus: 0, ramGb: 1 },
}

const EMPTY_LEVEL = { holdsJob: false, deeper: false }

/** Initial state of an exploration. */
interface Start {
	/** the job is terminal, in the first format, and a full read left its state out of memory */
	hasFinishedJob: boolean
	/** null: there is no format record */
	history: { legacy: boolean } | null
	/** full reads of controller 0 have left out terminal states, of this job or of others */
	hasOmittedStates: boolean
	/** states of other jobs have moved down from the first level */
	hasSecondLevel: boolean
	/** controller 0 has cached the pages of both levels for another job */
	hasPagesCached: boolean
}

const MIGRATION_BEGUN: Start = {
	hasFinishedJob: true,
	history: { legacy: true },
	hasOmittedStates: true,
	hasSecondLevel: false,
	hasPagesCached: false,
}
const FIRST_FORMAT: Start = { ...MIGRATION_BEGUN, history: null }
const PAGES_CACHED: Start = { ...MIGRATION_BEGUN, hasSecondLevel: true, hasPagesCached: true }
const NEW_JOB_IN_FIRST_FORMAT: Start = { ...FIRST_FORMAT, hasFinishedJob: false }
const NEW_JOB_IN_MIGRATION: Start = { ...MIGRATION_BEGUN, hasFinishedJob: false }
const NEW_JOB: Start = {
	hasFinishedJob: false,
	history: { legacy: false },
	hasOmittedStates: false,
	hasSecondLevel: false,
	hasPagesCached: false,
}

const START_REVISION = 4
const FINISHED_REVISION = 2

const startRecords = ({ hasFinishedJob, history, hasSecondLevel }: Start): Records => {
	const format = { format: 2, archivalEpoch: 1 }
	return {
		[shardKey(SHARD)]: { data: { owner: 'ctl-1', life: 'a' }, modRevision: 1 },
		...(hasFinishedJob
			? { [jobKey(JOB)]: { data: encodeJobRecord(FINISHED), modRevision: FINISHED_REVISION } }
			: {}),
		...(history === null
			? {}
			: { [HISTORY_KEY]: { data: encodeHistoryRecord({ ...format, ...history }), modRevision: 3 } }),
		...(hasSecondLevel
			? { [LEVEL_KEYS[0]]: { data: { ...EMPTY_LEVEL, deeper: true }, modRevision: START_REVISION } }
			: {}),
	}
}

const CACHED_PAGES: ReaderState = {
	pages: [
		{ holdsJob: false, deeper: true, modRevision: START_REVISION, readAt: START_REVISION },
		{ holdsJob: false, deeper: false, modRevision: 0, readAt: START_REVISION },
	],
	minFirstLevelRevision: -1,
}

const createStart = (start: Start, budget: Budget): State => {
	const records = interned(startRecords(start))
	const omittedRevision = start.hasFinishedJob ? FINISHED_REVISION : -1
	const view = { revision: START_REVISION, records: withoutOmitted(records, omittedRevision) }
	return {
		revision: START_REVISION,
		records,
		undelivered: [],
		searcher: {
			view,
			fullReadRevision: START_REVISION,
			hasOmittedStates: start.hasOmittedStates,
			omittedRevision,
			reader: start.hasPagesCached ? CACHED_PAGES : EMPTY_READER,
		},
		ownerView: view,
		pending: [],
		search: null,
		provenAbsentAt: null,
		acceptedAt: null,
		knownSince: start.hasFinishedJob ? FINISHED_REVISION : null,
		finishedAt: start.hasFinishedJob ? FINISHED_REVISION : null,
		budget,
		violation: null,
	}
}

const recordsWithoutOwnKey = new WeakMap<Records, Records>()

const withoutOwnKey = (records: Records): Records => {
	const { [jobKey(JOB)]: _ownKey, ...others } = records
	const known = recordsWithoutOwnKey.get(records) ?? interned(others)
	recordsWithoutOwnKey.set(records, known)
	return known
}

/** What a controller knows of the records if a full read has left out the job's own key at a revision. */
const withoutOmitted = (records: Records, omittedRevision: number): Records =>
	records[jobKey(JOB)]?.modRevision === omittedRevision ? withoutOwnKey(records) : records

const withViolation = (state: State, rules: Rules, violation: Violation): State =>
	state.violation === null && rules.forbidden.includes(violation) ? { ...state, violation } : state

const isOpen = (view: View): boolean => knownRecords(view).registry.openJobs.has(JOB)

/** A finished job must be open neither in the records nor for a controller that has received its terminal state. */
const withOpenJobsChecked = (state: State, rules: Rules): State => {
	const { finishedAt } = state
	if (finishedAt === null) return state
	const views = [state, state.searcher.view, state.ownerView]
	const isOpenAgain = views.some((view) => view.revision >= finishedAt && isOpen(view))
	return isOpenAgain ? withViolation(state, rules, 'a finished job is accepted again') : state
}

/** The state after applying a transaction; null: a condition does not hold. */
const afterTransaction = (state: State, content: TransactionContent): State | null => {
	const revision = state.revision + 1
	const applied = applyTransaction(state.records, content, revision)
	if (applied === null) return null
	const records = interned(applied)
	return { ...state, revision, records, undelivered: [...state.undelivered, { revision, records }] }
}

const applyPending = (before: State, index: number): State => {
	const { name, content } = before.pending[index]
	const state = { ...before, pending: before.pending.filter((_, other) => other !== index) }
	const after = afterTransaction(state, content)
	if (after === null) return state
	const { revision } = after
	switch (name) {
		case 'move':
			return after
		case 'finish':
			return { ...after, finishedAt: after.finishedAt ?? revision }
		case 'other accept':
			return { ...after, knownSince: after.knownSince ?? revision }
		case 'accept':
			return { ...after, knownSince: after.knownSince ?? revision, acceptedAt: revision }
	}
}

/** Delivers changes to controller 0, up to and including the given index. */
const deliverChanges = (state: State, lastIndex: number, { fault }: Rules): State => {
	const { searcher, undelivered } = state
	const delivered = undelivered.slice(0, lastIndex + 1).map(({ revision, records }) => ({
		revision,
		records: withoutOmitted(records, searcher.omittedRevision),
	}))
	const view = delivered[lastIndex]
	const isOnPage = (known: View) => knownRecords(known).registry.isOnTerminalPage(JOB)
	const hasLeftMemory = [searcher.view, ...delivered].some(isOnPage) && !isOnPage(view)
	const isReported = hasLeftMemory && fault !== 'first-level read after the job left memory'
	const reader = isReported ? afterJobLeftMemory(searcher.reader, view.revision) : searcher.reader
	return { ...state, undelivered: undelivered.slice(lastIndex + 1), searcher: { ...searcher, view, reader } }
}

/** Returns whether a full read by controller 0 would keep the job's own key. */
const isRetained = (state: State): boolean => {
	const ownKey = state.records[jobKey(JOB)]
	const { view } = state.searcher
	if (ownKey === undefined || view.records[jobKey(JOB)] !== undefined || isOpen(view)) return true
	const isLegacy = decodeHistoryRecord(state.records[HISTORY_KEY]?.data)?.legacy ?? true
	const isTerminal = decodeJobRecord(ownKey.data)?.finalState !== undefined
	const isNamed = Object.keys(state.records).some((key) => key.startsWith('intake/'))
	return !isLegacy || !isTerminal || isNamed
}

const readFully = (state: State): State => {
	const { revision, records, searcher } = state
	const retained = isRetained(state)
	const omittedRevision = retained ? -1 : records[jobKey(JOB)].modRevision
	return {
		...state,
		undelivered: [],
		searcher: {
			view: { revision, records: withoutOmitted(records, omittedRevision) },
			fullReadRevision: revision,
			hasOmittedStates: searcher.hasOmittedStates || !retained,
			omittedRevision,
			reader: afterFullRead(searcher.reader, revision),
		},
	}
}

const locationInMemory = ({ view, reader }: Searcher): JobLocation | null => {
	const record = knownRecords(view).registry.get(JOB)?.record
	if (record !== undefined) return { kind: record.finalState === undefined ? 'open' : 'terminal', record }
	if (decodeHistoryRecord(view.records[HISTORY_KEY]?.data) === null || !isCached(reader)) return null
	return { kind: 'archived', job: { ordinal: '', aborted: false, taskCount: 1, doneCount: 1, revision: 0 } }
}

const memoryView = (searcher: Searcher): MemoryView => {
	const history = decodeHistoryRecord(searcher.view.records[HISTORY_KEY]?.data)
	return {
		location: locationInMemory(searcher),
		revision: searcher.view.revision,
		fullReadRevision: searcher.fullReadRevision,
		scope: {
			ownKeys: history?.legacy ?? true,
			hasOmittedStates: searcher.hasOmittedStates,
			archive: history !== null,
		},
	}
}

const searchFault = ({ fault }: Rules): SearchFault | null => {
	switch (fault) {
		case 'epoch condition of acceptances':
		case 'check of the proof against the epoch':
		case 'own-key condition of acceptances':
			return null
		default:
			return fault
	}
}

/** The state after a search step. */
const afterSearchStep = (state: State, search: Search, outcome: SearchOutcome, rules: Rules): State => {
	if (outcome.kind === 'continues') return { ...state, search: outcome.search }
	const ended = { ...state, search: null }
	if (outcome.kind === 'no proof') return ended
	const { asOf } = outcome
	const proven = search.isForSubmission ? { ...ended, provenAbsentAt: asOf } : ended
	if (search.mustFind) return withViolation(proven, rules, 'a known job is reported absent')
	const isWrong = state.knownSince !== null && state.knownSince <= asOf
	return isWrong
		? withViolation(proven, rules, 'a job is proven absent as of a revision at which it was known')
		: proven
}

const checkSearcherMemory = (state: State, search: Search, rules: Rules): State => {
	const { progress } = search
	const ownKeyEmptyAt = progress.kind === 'own key' ? progress.readAt : search.ownKeyEmptyAt
	const { searcher } = state
	const memory = memoryView(searcher)
	const outcome = checkMemory({ ...search, ownKeyEmptyAt }, memory, searcher.reader, searchFault(rules))
	return afterSearchStep(state, search, outcome, rules)
}

/** A user's query first waits for the changes durable before it; a submission starts with the current view. */
const beginSearch = (state: State, isForSubmission: boolean, rules: Rules): State => {
	const search: Search = {
		isForSubmission,
		mustFind: !isForSubmission && state.knownSince !== null,
		ownKeyEmptyAt: null,
		archiveSearched: false,
		progress: { kind: 'wait', revision: isForSubmission ? -1 : state.revision },
	}
	return isForSubmission ? checkSearcherMemory(state, search, rules) : { ...state, search }
}

/** Reads the job's own key; only a terminal state there counts as found. */
const readOwnKey = (state: State, search: Search): State => {
	const record = decodeJobRecord(state.records[jobKey(JOB)]?.data)
	if (record?.finalState !== undefined) return { ...state, search: null }
	return { ...state, search: { ...search, progress: { kind: 'own key', readAt: state.revision } } }
}

const levelPage = (state: State, index: 0 | 1): LevelPage => {
	const entry = state.records[LEVEL_KEYS[index]]
	const { holdsJob, deeper } = (entry?.data ?? EMPTY_LEVEL) as typeof EMPTY_LEVEL
	return { holdsJob, deeper, modRevision: entry?.modRevision ?? 0, readAt: state.revision }
}

const readLevel = (state: State, search: Search): State => {
	const { progress } = search
	if (progress.kind !== 'archive') throw new Error('the search does not read the archive')
	const page = levelPage(state, progress.lookup.level)
	return { ...state, search: { ...search, progress: { ...progress, page } } }
}

const takeLevelPage = (state: State, search: Search, rules: Rules): State => {
	const { reader, outcome } = takePage(search, state.searcher.reader, searchFault(rules))
	return afterSearchStep({ ...state, searcher: { ...state.searcher, reader } }, search, outcome, rules)
}

/** Reports the outcome of the submission to the user, as `SubmissionQueue` does. */
const report = (state: State, rules: Rules): State => {
	const record = knownRecords(state.searcher.view).registry.get(JOB)?.record
	const isOurs = record?.finalState === undefined && record?.acceptedAtMs === ACCEPTED_AT_MS
	const wasFinished =
		state.finishedAt !== null && state.acceptedAt !== null && state.finishedAt < state.acceptedAt
	const reported = { ...state, acceptedAt: null }
	return isOurs && wasFinished ? withViolation(reported, rules, 'a finished job is accepted again') : reported
}

const ifOwned = ({ cache }: KnownRecords, content: TransactionContent): TransactionContent => {
	const ownership = { key: KEY_PREFIX + shardKey(SHARD), modRevision: cache.modRevision(shardKey(SHARD)) }
	return { ...content, conditions: [ownership, ...content.conditions] }
}

const acceptWrite = (state: State, { fault }: Rules): TransactionContent | null => {
	const { cache, registry } = knownRecords(state.searcher.view)
	const { provenAbsentAt } = state
	if (provenAbsentAt === null || registry.get(JOB) !== undefined) return null
	if (fault !== 'check of the proof against the epoch' && provenAbsentAt < cache.modRevision(HISTORY_KEY))
		return null
	const content = acceptJobs(cache, 'intake/0', [acceptedJob(ACCEPTED_AT_MS)])
	if (fault === 'epoch condition of acceptances') return withoutCondition(content, HISTORY_KEY)
	return fault === 'own-key condition of acceptances' ? withoutCondition(content, jobKey(JOB)) : content
}

const isArchived = (state: State): boolean =>
	LEVEL_KEYS.some((_, index) => levelPage(state, index as 0 | 1).holdsJob)

/** The other controller accepts the job after a search of its own, which is assumed to be correct. */
const otherAcceptWrite = (state: State): TransactionContent | null => {
	const { cache, registry } = knownRecords(state.ownerView)
	const isFinished = state.records[jobKey(JOB)] !== undefined || isArchived(state)
	if (isFinished || registry.get(JOB) !== undefined) return null
	return acceptJobs(cache, 'intake/1', [acceptedJob(OTHER_ACCEPTED_AT_MS)])
}

const terminalJob = (uid: string) => toTerminalJob(uid, 'done', arrayJob(uid, { tasks: 1 }), 1)

/** Writes the terminal state: under the job's own key in the first format, on a page in the second. */
const finishWrite = (state: State): TransactionContent | null => {
	const known = knownRecords(state.ownerView)
	const job = known.registry.get(JOB)
	if (job === undefined || job.record.finalState !== undefined) return null
	if (known.cache.get(HISTORY_KEY) === undefined)
		return ifOwned(known, putJobRecord(known.cache, JOB, job.modRevision, FINISHED))
	return ifOwned(
		known,
		recordTerminalJobs(known.cache, [{ job: terminalJob(JOB), known: job }], PAGE_LIMITS).content,
	)
}

/** Writes a cancellation in the second format: on a page, and under the own key until that is deleted as obsolete. */
const cancelWrite = (state: State): TransactionContent | null => {
	const { cache, registry } = knownRecords(state.ownerView)
	const job = registry.get(JOB)
	if (job === undefined || job.record.finalState !== undefined) return null
	const cancelled = toTerminalJob(JOB, 'aborted', job.record.spec, 0)
	return cancelJob(cache, { job: cancelled, known: job }, PAGE_LIMITS)
}

const cleanupWrite = (state: State): TransactionContent | null => {
	const obsolete = [...knownRecords(state.ownerView).registry.obsoleteEntries()]
	if (obsolete.length === 0) return null
	return {
		conditions: obsolete.map(([key, { modRevision }]) => ({ key: KEY_PREFIX + key, modRevision })),
		mutations: obsolete.map(([key]) => ({ delete: KEY_PREFIX + key })),
	}
}

const formatWrite = (state: State): TransactionContent | null => {
	const { cache } = knownRecords(state.ownerView)
	if (cache.get(HISTORY_KEY) !== undefined) return null
	return advanceArchivalEpoch(cache, { format: 2, archivalEpoch: 1, legacy: true })
}

/** The terminal state that a migration pass reads under the job's own key; null: there is none. */
const legacyState = (state: State) => {
	const ownKey = state.records[jobKey(JOB)]
	const isTerminal = decodeJobRecord(ownKey?.data)?.finalState !== undefined
	if (!isTerminal || knownRecords(state.ownerView).registry.isOnTerminalPage(JOB)) return null
	return { job: terminalJob(JOB), modRevision: ownKey.modRevision }
}

const legacyHistory = (state: State) => {
	const history = decodeHistoryRecord(state.ownerView.records[HISTORY_KEY]?.data)
	return history?.legacy === true ? history : null
}

const migrateWrite = (state: State): TransactionContent | null => {
	const { cache } = knownRecords(state.ownerView)
	const found = legacyState(state)
	if (found === null || legacyHistory(state) === null) return null
	return migrateTerminalRecords(cache, SHARD, [found], PAGE_LIMITS).content
}

const migratedWrite = (state: State): TransactionContent | null => {
	const history = legacyHistory(state)
	if (history === null || legacyState(state) !== null) return null
	return advanceArchivalEpoch(knownRecords(state.ownerView).cache, { ...history, legacy: false })
}

/** Another job finishes, which closes the page that the job is on. */
const closePageWrite = (state: State): TransactionContent | null => {
	const known = knownRecords(state.ownerView)
	const hasOpenPage = [...known.registry.terminalJobsOnPage(`over/${SHARD}`)].some(({ uid }) => uid === JOB)
	if (!hasOpenPage) return null
	const other = { job: terminalJob(OTHER_JOB), known: { record: { shardId: SHARD }, modRevision: 0 } }
	return ifOwned(known, recordTerminalJobs(known.cache, [other], PAGE_LIMITS).content)
}

const closedPages = ({ cache, registry }: KnownRecords) =>
	[...cache.withPrefix(CLOSED_PAGES)].map(([key, { modRevision }]) => ({
		key,
		modRevision,
		jobs: [...registry.terminalJobsOnPage(key)],
	}))

const epochWrite = (state: State): TransactionContent | null => {
	const known = knownRecords(state.ownerView)
	const history = decodeHistoryRecord(known.cache.get(HISTORY_KEY)?.data)
	const revisions = closedPages(known).flatMap(({ jobs }) => jobs.map(({ revision }) => revision))
	const epoch = known.cache.modRevision(HISTORY_KEY)
	if (history === null || !mayAdvanceArchivalEpoch(revisions, epoch, 0, 0, 1)) return null
	return advanceArchivalEpoch(known.cache, { ...history, archivalEpoch: history.archivalEpoch + 1 })
}

/** Writes the page of a level on condition that it is unchanged since it was read. */
const levelWrite = (index: 0 | 1, before: LevelPage, data: typeof EMPTY_LEVEL): TransactionContent => ({
	conditions: [{ key: KEY_PREFIX + LEVEL_KEYS[index], modRevision: before.modRevision }],
	mutations: [{ set: KEY_PREFIX + LEVEL_KEYS[index], data }],
})

/** A copy to the level below, applied at once, and the removal above, which may be applied later. */
interface Move {
	copy: TransactionContent
	removal: TransactionContent
}

const archiveMove = (state: State): Move | null => {
	const known = knownRecords(state.ownerView)
	const epoch = known.cache.modRevision(HISTORY_KEY)
	const ready = archivablePages(closedPages(known), epoch, known.registry.referencedIds(), new Set(), 1)
	if (ready.length === 0) return null
	const first = levelPage(state, 0)
	const keys = ready.map(({ key }) => key)
	return {
		copy: levelWrite(0, first, { holdsJob: true, deeper: first.deeper }),
		removal: deletePages(known.cache, SHARD, keys),
	}
}

const mergeMove = (state: State): Move | null => {
	const [first, second] = [levelPage(state, 0), levelPage(state, 1)]
	if (!first.holdsJob) return null
	return {
		copy: levelWrite(1, second, { holdsJob: true, deeper: false }),
		removal: levelWrite(0, first, { holdsJob: false, deeper: true }),
	}
}

/** Writes that are submitted now and applied at any later moment. */
const PENDING_WRITES: Partial<
	Record<
		OperationName,
		{ name: PendingWrite['name']; build: (state: State, rules: Rules) => TransactionContent | null }
	>
> = {
	accept: { name: 'accept', build: acceptWrite },
	'other accept': { name: 'other accept', build: otherAcceptWrite },
	finish: { name: 'finish', build: finishWrite },
	cancel: { name: 'finish', build: cancelWrite },
	migrate: { name: 'move', build: migrateWrite },
}

/** Writes that are applied at once or not at all: applying one later is the same as submitting it later. */
const IMMEDIATE_WRITES: Partial<Record<OperationName, (state: State) => TransactionContent | null>> = {
	cleanup: cleanupWrite,
	format: formatWrite,
	migrated: migratedWrite,
	'close page': closePageWrite,
	epoch: epochWrite,
}

const MOVES: Partial<Record<OperationName, (state: State) => Move | null>> = {
	archive: archiveMove,
	merge: mergeMove,
}

const submit = (state: State, name: PendingWrite['name'], content: TransactionContent): State => ({
	...state,
	pending: [...state.pending, interned({ name, content })],
})

const afterMove = (state: State, move: Move | null): State | null => {
	const copied = move === null ? null : afterTransaction(state, move.copy)
	return move === null || copied === null ? null : submit(copied, 'move', move.removal)
}

/** The state after an operation begins; null: it is not possible now. */
const begin = (state: State, name: OperationName, rules: Rules): State | null => {
	if (name === 'query' || name === 'prove')
		return state.search === null ? beginSearch(state, name === 'prove', rules) : null
	if (name === 'full read') return state.undelivered.length > 0 ? readFully(state) : null
	const pending = PENDING_WRITES[name]
	if (pending !== undefined) {
		const content = pending.build(state, rules)
		return content === null ? null : submit(state, pending.name, content)
	}
	const move = MOVES[name]
	if (move !== undefined) return afterMove(state, move(state))
	const content = IMMEDIATE_WRITES[name]?.(state) ?? null
	return content === null ? null : afterTransaction(state, content)
}

interface BegunOperation {
	state: State
	name: OperationName
	rules: Rules
	after: State | null
}

let latestOperation: BegunOperation | null = null

/** As `begin`, with the latest result cached: an exploration takes an action right after it is offered. */
const beginCached = (state: State, name: OperationName, rules: Rules): State | null => {
	const latest = latestOperation
	if (latest?.state === state && latest.name === name && latest.rules === rules) return latest.after
	const after = begin(state, name, rules)
	latestOperation = { state, name, rules, after }
	return after
}

function* searchActions({ search, searcher }: State): Iterable<Action> {
	const progress = search?.progress
	if (progress === undefined) return
	if (progress.kind === 'wait') {
		if (searcher.view.revision >= progress.revision) yield { kind: 'check memory' }
	} else if (progress.kind === 'own key')
		yield { kind: progress.readAt === null ? 'read own key' : 'check memory' }
	else yield { kind: progress.page === null ? 'read level' : 'take page' }
}

function* possibleActions(state: State, rules: Rules): Iterable<Action> {
	for (const name of Object.keys(state.budget) as OperationName[])
		if ((state.budget[name] ?? 0) > 0 && beginCached(state, name, rules) !== null)
			yield { kind: 'begin', name }
	if (state.undelivered.length > 0) yield { kind: 'receive all' }
	if (state.undelivered.length > 1) yield { kind: 'receive next' }
	if (state.ownerView.revision < state.revision) yield { kind: 'owner receives' }
	yield* searchActions(state)
	const { acceptedAt, searcher } = state
	if (acceptedAt !== null && searcher.view.revision >= acceptedAt) yield { kind: 'report' }
	for (const index of state.pending.keys()) yield { kind: 'apply', index }
}

const beginOperation = (state: State, name: OperationName, rules: Rules): State => {
	const budget = { ...state.budget, [name]: (state.budget[name] ?? 0) - 1 }
	const after = beginCached(state, name, rules)
	if (after === null) throw new Error(`the model began ${name} although it is not possible`)
	return { ...after, budget }
}

const currentSearch = ({ search }: State): Search => {
	if (search === null) throw new Error('there is no search')
	return search
}

const afterAction = (state: State, action: Action, rules: Rules): State => {
	switch (action.kind) {
		case 'begin':
			return beginOperation(state, action.name, rules)
		case 'apply':
			return applyPending(state, action.index)
		case 'receive all':
			return deliverChanges(state, state.undelivered.length - 1, rules)
		case 'receive next':
			return deliverChanges(state, 0, rules)
		case 'owner receives':
			return { ...state, ownerView: { revision: state.revision, records: state.records } }
		case 'check memory':
			return checkSearcherMemory(state, currentSearch(state), rules)
		case 'read own key':
			return readOwnKey(state, currentSearch(state))
		case 'read level':
			return readLevel(state, currentSearch(state))
		case 'take page':
			return takeLevelPage(state, currentSearch(state), rules)
		case 'report':
			return report(state, rules)
	}
}

const viewKey = ({ revision, records }: View) => `${revision}:${numberOf(records)}`

const searcherKey = (searcher: Searcher) => [
	viewKey(searcher.view),
	searcher.fullReadRevision,
	searcher.hasOmittedStates,
	searcher.omittedRevision,
	numberOf(searcher.reader),
]

const stateKey = (state: State): string =>
	[
		viewKey(state),
		`undelivered ${state.undelivered.map(viewKey)}`,
		...searcherKey(state.searcher),
		viewKey(state.ownerView),
		// Sorted: any of them may be applied next, whatever the order of their submission.
		`pending ${state.pending.map(numberOf).sort()}`,
		state.search === null ? 0 : numberOf(state.search),
		`proof ${state.provenAbsentAt}`,
		state.acceptedAt,
		state.knownSince,
		state.finishedAt,
		numberOf(state.budget),
		state.violation,
	].join()

const createModel = (start: Start, budget: Budget, rules: Rules) => ({
	start: createStart(start, budget),
	actions: (state: State) => possibleActions(state, rules),
	step: (state: State, action: Action) => withOpenJobsChecked(afterAction(state, action, rules), rules),
	violatedInvariant: (state: State) => state.violation,
	key: stateKey,
})

const REPORTED_ABSENT: Violation = 'a known job is reported absent'
const ACCEPTED_AGAIN: Violation = 'a finished job is accepted again'
const WRONG_PROOF: Violation = 'a job is proven absent as of a revision at which it was known'
const ALL_VIOLATIONS: readonly Violation[] = [REPORTED_ABSENT, ACCEPTED_AGAIN, WRONG_PROOF]

/** An initial state, and the operations that may follow. */
interface Scenario {
	name: string
	start: Start
	budget: Budget
}

const MIGRATED_AND_ARCHIVED: Budget = { migrate: 1, 'close page': 1, archive: 1 }
const FINISHED_AND_ARCHIVED: Budget = {
	'other accept': 1,
	finish: 1,
	'close page': 1,
	epoch: 1,
	cleanup: 1,
	archive: 1,
}

const QUERIED_IN_MIGRATION: Scenario = {
	name: 'a user queries a finished job while its state moves',
	start: MIGRATION_BEGUN,
	budget: { query: 1, 'full read': 1, ...MIGRATED_AND_ARCHIVED, merge: 1 },
}
const QUERIED_WITH_PAGES_CACHED: Scenario = {
	name: 'a user queries a finished job while its state moves, and archive pages are cached',
	start: PAGES_CACHED,
	budget: { query: 1, ...MIGRATED_AND_ARCHIVED, merge: 1 },
}
const QUERIED_AS_MIGRATION_COMPLETES: Scenario = {
	name: 'a user queries a finished job while its state moves, and the migration completes',
	start: MIGRATION_BEGUN,
	budget: { query: 1, migrated: 1, ...MIGRATED_AND_ARCHIVED },
}
const QUERIED_AS_MOVE_REPEATS: Scenario = {
	name: 'a user queries a finished job whose state is archived twice',
	start: MIGRATION_BEGUN,
	budget: { query: 1, ...MIGRATED_AND_ARCHIVED, archive: 2, merge: 1 },
}
const QUERIED_AS_FORMAT_CHANGES: Scenario = {
	name: 'a user queries a finished job while the record format is upgraded',
	start: FIRST_FORMAT,
	budget: { query: 1, 'full read': 1, format: 1, ...MIGRATED_AND_ARCHIVED, merge: 1 },
}
const QUERIED_AS_JOB_FINISHES: Scenario = {
	name: 'a user queries a job that finishes in the first format and is migrated',
	start: NEW_JOB_IN_FIRST_FORMAT,
	budget: { query: 1, 'full read': 1, 'other accept': 1, finish: 1, cleanup: 1, format: 1, migrate: 1 },
}
const QUERIED_AS_JOB_IS_CANCELLED: Scenario = {
	name: 'a user queries a job that is cancelled and archived',
	start: NEW_JOB_IN_MIGRATION,
	budget: {
		query: 1,
		'full read': 1,
		'other accept': 1,
		cancel: 1,
		cleanup: 2,
		'close page': 1,
		epoch: 1,
		archive: 1,
	},
}
const FINISHED_SUBMITTED: Scenario = {
	name: 'a finished job is submitted while its state moves',
	start: MIGRATION_BEGUN,
	budget: { prove: 1, accept: 1, 'full read': 1, epoch: 1, ...MIGRATED_AND_ARCHIVED, merge: 1 },
}
const SUBMITTED_IN_FIRST_FORMAT: Scenario = {
	name: 'a job is submitted to both controllers in the first format',
	start: NEW_JOB_IN_FIRST_FORMAT,
	budget: { prove: 1, 'full read': 2, accept: 1, 'other accept': 1, finish: 1, cleanup: 1 },
}
const SUBMITTED_BEFORE_OMISSIONS: Scenario = {
	name: 'a job is submitted to both controllers in the first format, before any full read left states out',
	start: { ...NEW_JOB_IN_FIRST_FORMAT, hasOmittedStates: false },
	budget: { prove: 1, 'full read': 1, accept: 1, 'other accept': 1, finish: 1, cleanup: 1, format: 1 },
}
const SUBMITTED_AS_FORMAT_CHANGES: Scenario = {
	name: 'a job is submitted to both controllers while the record format is upgraded',
	start: NEW_JOB_IN_FIRST_FORMAT,
	budget: {
		prove: 1,
		'full read': 1,
		accept: 1,
		'other accept': 1,
		finish: 1,
		cleanup: 1,
		format: 1,
		...MIGRATED_AND_ARCHIVED,
	},
}
const SUBMITTED_IN_MIGRATION: Scenario = {
	name: 'a job is submitted to both controllers during the migration',
	start: NEW_JOB_IN_MIGRATION,
	budget: { prove: 1, accept: 1, 'full read': 1, ...FINISHED_AND_ARCHIVED },
}
const SUBMITTED_IN_SECOND_FORMAT: Scenario = {
	name: 'a job is submitted to both controllers in the second format',
	start: NEW_JOB,
	budget: { prove: 1, accept: 1, ...FINISHED_AND_ARCHIVED },
}

const SCENARIOS: readonly Scenario[] = [
	QUERIED_IN_MIGRATION,
	QUERIED_WITH_PAGES_CACHED,
	QUERIED_AS_MIGRATION_COMPLETES,
	QUERIED_AS_MOVE_REPEATS,
	QUERIED_AS_FORMAT_CHANGES,
	QUERIED_AS_JOB_FINISHES,
	QUERIED_AS_JOB_IS_CANCELLED,
	FINISHED_SUBMITTED,
	SUBMITTED_IN_FIRST_FORMAT,
	SUBMITTED_BEFORE_OMISSIONS,
	SUBMITTED_AS_FORMAT_CHANGES,
	SUBMITTED_IN_MIGRATION,
	SUBMITTED_IN_SECOND_FORMAT,
]

/** The violation that a scenario leads to with one condition left out. */
const FAULTS: readonly { fault: Fault; found: Violation; scenario: Scenario }[] = [
	{
		fault: 'wait for the revision of the own-key read',
		found: REPORTED_ABSENT,
		scenario: QUERIED_IN_MIGRATION,
	},
	{ fault: 'wait for the revision of the own-key read', found: ACCEPTED_AGAIN, scenario: FINISHED_SUBMITTED },
	{ fault: 'memory check after the own-key read', found: REPORTED_ABSENT, scenario: QUERIED_IN_MIGRATION },
	{ fault: 'memory check after the own-key read', found: ACCEPTED_AGAIN, scenario: FINISHED_SUBMITTED },
	{ fault: 'own-key read after a full read', found: WRONG_PROOF, scenario: SUBMITTED_IN_FIRST_FORMAT },
	{
		fault: 'memory check before the archive search',
		found: REPORTED_ABSENT,
		scenario: QUERIED_AS_MIGRATION_COMPLETES,
	},
	{
		fault: 'first-level read after the job left memory',
		found: REPORTED_ABSENT,
		scenario: QUERIED_WITH_PAGES_CACHED,
	},
	{
		fault: 'second-level read after the first-level read',
		found: REPORTED_ABSENT,
		scenario: QUERIED_WITH_PAGES_CACHED,
	},
	{ fault: 'epoch condition of acceptances', found: ACCEPTED_AGAIN, scenario: SUBMITTED_IN_SECOND_FORMAT },
	{
		fault: 'check of the proof against the epoch',
		found: ACCEPTED_AGAIN,
		scenario: SUBMITTED_IN_SECOND_FORMAT,
	},
	{ fault: 'own-key condition of acceptances', found: ACCEPTED_AGAIN, scenario: SUBMITTED_IN_FIRST_FORMAT },
]

const MAX_STATES = 400_000
/** An exploration of fewer states does not exercise its scenario. */
const MIN_STATES = 1000

for (const { name, start, budget } of SCENARIOS)
	test(`every interleaving in which ${name}: none violates a rule`, () => {
		const rules = { fault: null, forbidden: ALL_VIOLATIONS }
		const { states, violation: fault } = explore(createModel(start, budget, rules), MAX_STATES)
		assert.deepEqual(fault, null)
		assert.ok(states > MIN_STATES, `${states} states`)
	})

for (const { fault, found, scenario } of FAULTS)
	test(`without the ${fault}, ${found}: ${scenario.name}`, () => {
		const model = createModel(scenario.start, scenario.budget, { fault, forbidden: [found] })
		const exploration = explore(model, MAX_STATES)
		assert.equal(exploration.violation?.what, found, `${exploration.states} states`)
	})
