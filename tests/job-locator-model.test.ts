/**
 * Model of a job that is looked for while its terminal state moves. Controller 0 looks for it, for a user or for a
 * submission, with a view that lags and that a full read may replace; controller 1 owns the shard, changes the format of
 * the records, migrates them, and archives; it may accept the job and finish it. Every transaction that the search could
 * meet on its way may be applied at any later moment or never. The decisions of the search, what the controllers write, and
 * when a page may be archived, are the service's own code.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import {
	type AcceptedJobRecord,
	acceptJobs,
	advanceArchivalEpoch,
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
	EMPTY_READER,
	isCached,
	type LevelPage,
	lookAtMemory,
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
/** A job whose end fills the page. */
const OTHER_JOB = 'job-000002'
const SHARD = 0
const PAGE_LIMITS = { maxValueChars: 8000, maxJobs: 1 }
const CLOSED_PAGES = 'over/0/'
/** The pages of the archive that cover the job; controllers do not follow them. */
const LEVEL_KEYS = ['past/1', 'past/2'] as const

/** What the model may do, besides applying what was submitted and showing changes. */
type Name =
	/** a user asks controller 0 */
	| 'ask'
	/** a submission of the job reaches controller 0 */
	| 'prove'
	| 'full read'
	/** controller 0 writes what the submission asks for */
	| 'accept'
	| 'other accept'
	| 'end'
	/** a user cancels the job at controller 1 */
	| 'cancel'
	| 'tidy'
	/** the record of the format appears */
	| 'format'
	| 'migrate'
	/** no terminal states are left under own keys */
	| 'migrated'
	| 'close page'
	| 'epoch'
	| 'archive'
	| 'merge'

/** How often each may happen, in the order in which they are tried; bounds the model. */
type Budget = Partial<Record<Name, number>>

type Fault = SearchFault | 'epoch of acceptances' | 'proof as of the epoch' | 'own key of acceptances'

/** A history that must not be. */
type Violation =
	| 'a known job is answered as absent'
	| 'a finished job is accepted anew'
	| 'a job is absent as of a revision at which it was known'

interface PendingWrite {
	name: 'accept' | 'other accept' | 'end' | 'move'
	content: TransactionContent
}

/** What controller 0 keeps. */
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
	/** the records after every change that controller 0 does not know yet */
	unseen: readonly View[]
	searcher: Searcher
	ownerView: View
	pending: readonly PendingWrite[]
	search: Search | null
	/** revision as of which a submission has proof that the job is absent */
	provenAbsentAt: number | null
	/** revision at which the submission's batch was applied, until its outcome is reported */
	acceptedAt: number | null
	/** first revision at which a record named the job */
	knownSince: number | null
	endedAt: number | null
	budget: Budget
	violation: Violation | null
}

type Action =
	| { kind: 'begin'; name: Name }
	| { kind: 'apply'; index: number }
	| { kind: 'see all' | 'see next' | 'owner sees' }
	| { kind: 'look' | 'read own key' | 'read level' | 'take page' | 'report' }

/** Which condition is left out, and which histories end an exploration. */
interface Rules {
	fault: Fault | null
	forbidden: readonly Violation[]
}

const knownByText = new Map<string, object>()
const numbers = new WeakMap<object, number>()

/** The same object for all values that are alike. */
const interned = <T extends object>(value: T): T => {
	const text = JSON.stringify(value)
	const known = knownByText.get(text)
	if (known !== undefined) return known as T
	knownByText.set(text, value)
	numbers.set(value, knownByText.size)
	return value
}

/** A number that is the same for all values that are alike. */
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
/** How the two acceptances differ. */
const OTHER_ACCEPTED_AT_MS = 0
const ACCEPTED_AT_MS = 1

const FINISHED: JobRecord = {
	shardId: SHARD,
	finalState: 'done',
	taskCount: 1,
	resources: { team: 'core', cpus: 1, gpus: 0, ramGb: 1 },
}

const EMPTY_LEVEL = { holdsJob: false, deeper: false }

/** Where a history begins. */
interface Start {
	/** the job has ended, in the first format, and its state was left out of memory */
	hasFinishedJob: boolean
	/** null: no record of the format exists */
	history: { legacy: boolean } | null
	/** controller 0 has left terminal states out, of this job or of others */
	hasOmittedStates: boolean
	/** the first level has handed states of other jobs down */
	hasSecondLevel: boolean
	/** controller 0 has read the pages of the levels for another job */
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
		unseen: [],
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
		endedAt: start.hasFinishedJob ? FINISHED_REVISION : null,
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

/** What a controller knows of the records if it has left out the own key of a revision. */
const withoutOmitted = (records: Records, omittedRevision: number): Records =>
	records[jobKey(JOB)]?.modRevision === omittedRevision ? withoutOwnKey(records) : records

const withViolation = (state: State, rules: Rules, violation: Violation): State =>
	state.violation === null && rules.forbidden.includes(violation) ? { ...state, violation } : state

const isOpen = (view: View): boolean => knownRecords(view).registry.openJobs.has(JOB)

/** A finished job must not be open, neither by all records nor to a controller that knows those of its end. */
const withOpenJobsChecked = (state: State, rules: Rules): State => {
	const { endedAt } = state
	if (endedAt === null) return state
	const views = [state, state.searcher.view, state.ownerView]
	const isOpenAgain = views.some((view) => view.revision >= endedAt && isOpen(view))
	return isOpenAgain ? withViolation(state, rules, 'a finished job is accepted anew') : state
}

/** The state after a transaction that is applied now; null: a condition does not hold. */
const afterTransaction = (state: State, content: TransactionContent): State | null => {
	const revision = state.revision + 1
	const applied = applyTransaction(state.records, content, revision)
	if (applied === null) return null
	const records = interned(applied)
	return { ...state, revision, records, unseen: [...state.unseen, { revision, records }] }
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
		case 'end':
			return { ...after, endedAt: after.endedAt ?? revision }
		case 'other accept':
			return { ...after, knownSince: after.knownSince ?? revision }
		case 'accept':
			return { ...after, knownSince: after.knownSince ?? revision, acceptedAt: revision }
	}
}

/** Shows changes to controller 0, up to the one of an index. */
const showChanges = (state: State, lastIndex: number, { fault }: Rules): State => {
	const { searcher, unseen } = state
	const seen = unseen.slice(0, lastIndex + 1).map(({ revision, records }) => ({
		revision,
		records: withoutOmitted(records, searcher.omittedRevision),
	}))
	const view = seen[lastIndex]
	const isOnPage = (known: View) => knownRecords(known).registry.isOnTerminalPage(JOB)
	const hasLeftMemory = [searcher.view, ...seen].some(isOnPage) && !isOnPage(view)
	const isReported = hasLeftMemory && fault !== 'first level after what left memory'
	const reader = isReported ? afterJobLeftMemory(searcher.reader, view.revision) : searcher.reader
	return { ...state, unseen: unseen.slice(lastIndex + 1), searcher: { ...searcher, view, reader } }
}

/** Would a full read by controller 0 keep the job's own key? */
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
		unseen: [],
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
		case 'epoch of acceptances':
		case 'proof as of the epoch':
		case 'own key of acceptances':
			return null
		default:
			return fault
	}
}

/** The state after a step of the search. */
const afterSearchStep = (state: State, search: Search, outcome: SearchOutcome, rules: Rules): State => {
	if (outcome.kind === 'goes on') return { ...state, search: outcome.search }
	const ended = { ...state, search: null }
	if (outcome.kind === 'no proof') return ended
	const { asOf } = outcome
	const proven = search.isForSubmission ? { ...ended, provenAbsentAt: asOf } : ended
	if (search.mustFind) return withViolation(proven, rules, 'a known job is answered as absent')
	const isWrong = state.knownSince !== null && state.knownSince <= asOf
	return isWrong
		? withViolation(proven, rules, 'a job is absent as of a revision at which it was known')
		: proven
}

const look = (state: State, search: Search, rules: Rules): State => {
	const { progress } = search
	const ownKeyEmptyAt = progress.kind === 'own key' ? progress.readAt : search.ownKeyEmptyAt
	const { searcher } = state
	const memory = memoryView(searcher)
	const outcome = lookAtMemory({ ...search, ownKeyEmptyAt }, memory, searcher.reader, searchFault(rules))
	return afterSearchStep(state, search, outcome, rules)
}

/** A user's question waits for what was durable before it; a submission begins with what is known. */
const beginSearch = (state: State, isForSubmission: boolean, rules: Rules): State => {
	const search: Search = {
		isForSubmission,
		mustFind: !isForSubmission && state.knownSince !== null,
		ownKeyEmptyAt: null,
		archiveSearched: false,
		progress: { kind: 'wait', revision: isForSubmission ? -1 : state.revision },
	}
	return isForSubmission ? look(state, search, rules) : { ...state, search }
}

/** Reads the job's own key: only a terminal state is found there. */
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

/** Tells the user what became of the submission, as `SubmissionQueue` does. */
const report = (state: State, rules: Rules): State => {
	const record = knownRecords(state.searcher.view).registry.get(JOB)?.record
	const isOurs = record?.finalState === undefined && record?.acceptedAtMs === ACCEPTED_AT_MS
	const hadEnded = state.endedAt !== null && state.acceptedAt !== null && state.endedAt < state.acceptedAt
	const reported = { ...state, acceptedAt: null }
	return isOurs && hadEnded ? withViolation(reported, rules, 'a finished job is accepted anew') : reported
}

const ifOwned = ({ cache }: KnownRecords, content: TransactionContent): TransactionContent => {
	const ownership = { key: KEY_PREFIX + shardKey(SHARD), modRevision: cache.modRevision(shardKey(SHARD)) }
	return { ...content, conditions: [ownership, ...content.conditions] }
}

const acceptWrite = (state: State, { fault }: Rules): TransactionContent | null => {
	const { cache, registry } = knownRecords(state.searcher.view)
	const { provenAbsentAt } = state
	if (provenAbsentAt === null || registry.get(JOB) !== undefined) return null
	if (fault !== 'proof as of the epoch' && provenAbsentAt < cache.modRevision(HISTORY_KEY)) return null
	const content = acceptJobs(cache, 'intake/0', [acceptedJob(ACCEPTED_AT_MS)])
	if (fault === 'epoch of acceptances') return withoutCondition(content, HISTORY_KEY)
	return fault === 'own key of acceptances' ? withoutCondition(content, jobKey(JOB)) : content
}

const isArchived = (state: State): boolean =>
	LEVEL_KEYS.some((_, index) => levelPage(state, index as 0 | 1).holdsJob)

/** The other controller accepts the job after a search of its own, which is taken to be right. */
const otherAcceptWrite = (state: State): TransactionContent | null => {
	const { cache, registry } = knownRecords(state.ownerView)
	const isFinished = state.records[jobKey(JOB)] !== undefined || isArchived(state)
	if (isFinished || registry.get(JOB) !== undefined) return null
	return acceptJobs(cache, 'intake/1', [acceptedJob(OTHER_ACCEPTED_AT_MS)])
}

const terminalJob = (uid: string) => toTerminalJob(uid, 'done', arrayJob(uid, { tasks: 1 }), 1)

/** The job's end: under its own key in the first format, on a page in the second. */
const endWrite = (state: State): TransactionContent | null => {
	const known = knownRecords(state.ownerView)
	const job = known.registry.get(JOB)
	if (job === undefined || job.record.finalState !== undefined) return null
	if (known.cache.get(HISTORY_KEY) === undefined)
		return ifOwned(known, putJobRecord(known.cache, JOB, job.modRevision, FINISHED))
	return ifOwned(known, recordTerminalJobs(known.cache, SHARD, [terminalJob(JOB)], PAGE_LIMITS).content)
}

/** A cancellation in the second format: on a page, and under the own key until that is deleted as obsolete. */
const cancelWrite = (state: State): TransactionContent | null => {
	const { cache, registry } = knownRecords(state.ownerView)
	const job = registry.get(JOB)
	if (job === undefined || job.record.finalState !== undefined) return null
	const cancelled = toTerminalJob(JOB, 'aborted', job.record.spec, 0)
	const page = recordTerminalJobs(cache, SHARD, [cancelled], PAGE_LIMITS).content
	const own = putJobRecord(cache, JOB, job.modRevision, { ...FINISHED, finalState: 'aborted' })
	return {
		conditions: [...page.conditions, ...own.conditions],
		mutations: [...page.mutations, ...own.mutations],
	}
}

const tidyWrite = (state: State): TransactionContent | null => {
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

/** The terminal state under the job's own key that a pass of the migration reads; null: there is none. */
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

/** Another job ends, so the page that the job is on is closed. */
const closePageWrite = (state: State): TransactionContent | null => {
	const known = knownRecords(state.ownerView)
	const hasOpenPage = [...known.registry.terminalJobsOnPage(`over/${SHARD}`)].some(({ uid }) => uid === JOB)
	if (!hasOpenPage) return null
	return ifOwned(known, recordTerminalJobs(known.cache, SHARD, [terminalJob(OTHER_JOB)], PAGE_LIMITS).content)
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

/** Writes the page of a level on condition that it is as it was read. */
const levelWrite = (index: 0 | 1, before: LevelPage, data: typeof EMPTY_LEVEL): TransactionContent => ({
	conditions: [{ key: KEY_PREFIX + LEVEL_KEYS[index], modRevision: before.modRevision }],
	mutations: [{ set: KEY_PREFIX + LEVEL_KEYS[index], data }],
})

/** A copy below, which is done at once, and the removal above, which may come later. */
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

/** Writes that are submitted, and applied at any later moment. */
const PENDING: Partial<
	Record<
		Name,
		{ name: PendingWrite['name']; build: (state: State, rules: Rules) => TransactionContent | null }
	>
> = {
	accept: { name: 'accept', build: acceptWrite },
	'other accept': { name: 'other accept', build: otherAcceptWrite },
	end: { name: 'end', build: endWrite },
	cancel: { name: 'end', build: cancelWrite },
	migrate: { name: 'move', build: migrateWrite },
}

/** Writes that are applied when they are made, if at all: a later moment is as if they were made later. */
const IMMEDIATE: Partial<Record<Name, (state: State) => TransactionContent | null>> = {
	tidy: tidyWrite,
	format: formatWrite,
	migrated: migratedWrite,
	'close page': closePageWrite,
	epoch: epochWrite,
}

const MOVES: Partial<Record<Name, (state: State) => Move | null>> = { archive: archiveMove, merge: mergeMove }

const submit = (state: State, name: PendingWrite['name'], content: TransactionContent): State => ({
	...state,
	pending: [...state.pending, interned({ name, content })],
})

const afterMove = (state: State, move: Move | null): State | null => {
	const copied = move === null ? null : afterTransaction(state, move.copy)
	return move === null || copied === null ? null : submit(copied, 'move', move.removal)
}

/** The state after the beginning of what has the name; null: there is no cause for it. */
const begin = (state: State, name: Name, rules: Rules): State | null => {
	if (name === 'ask' || name === 'prove')
		return state.search === null ? beginSearch(state, name === 'prove', rules) : null
	if (name === 'full read') return state.unseen.length > 0 ? readFully(state) : null
	const pending = PENDING[name]
	if (pending !== undefined) {
		const content = pending.build(state, rules)
		return content === null ? null : submit(state, pending.name, content)
	}
	const move = MOVES[name]
	if (move !== undefined) return afterMove(state, move(state))
	const content = IMMEDIATE[name]?.(state) ?? null
	return content === null ? null : afterTransaction(state, content)
}

interface Beginning {
	state: State
	name: Name
	rules: Rules
	after: State | null
}

let latestBeginning: Beginning | null = null

/** As `begin`; an exploration takes an action right after it is offered, so what was computed for that is used again. */
const beginOnce = (state: State, name: Name, rules: Rules): State | null => {
	const latest = latestBeginning
	if (latest?.state === state && latest.name === name && latest.rules === rules) return latest.after
	const after = begin(state, name, rules)
	latestBeginning = { state, name, rules, after }
	return after
}

function* searchActions({ search, searcher }: State): Iterable<Action> {
	const progress = search?.progress
	if (progress === undefined) return
	if (progress.kind === 'wait') {
		if (searcher.view.revision >= progress.revision) yield { kind: 'look' }
	} else if (progress.kind === 'own key') yield { kind: progress.readAt === null ? 'read own key' : 'look' }
	else yield { kind: progress.page === null ? 'read level' : 'take page' }
}

function* possibleActions(state: State, rules: Rules): Iterable<Action> {
	for (const name of Object.keys(state.budget) as Name[])
		if ((state.budget[name] ?? 0) > 0 && beginOnce(state, name, rules) !== null) yield { kind: 'begin', name }
	if (state.unseen.length > 0) yield { kind: 'see all' }
	if (state.unseen.length > 1) yield { kind: 'see next' }
	if (state.ownerView.revision < state.revision) yield { kind: 'owner sees' }
	yield* searchActions(state)
	const { acceptedAt, searcher } = state
	if (acceptedAt !== null && searcher.view.revision >= acceptedAt) yield { kind: 'report' }
	for (const index of state.pending.keys()) yield { kind: 'apply', index }
}

const beginNamed = (state: State, name: Name, rules: Rules): State => {
	const budget = { ...state.budget, [name]: (state.budget[name] ?? 0) - 1 }
	const after = beginOnce(state, name, rules)
	if (after === null) throw new Error(`the model began ${name} without a cause`)
	return { ...after, budget }
}

const currentSearch = ({ search }: State): Search => {
	if (search === null) throw new Error('there is no search')
	return search
}

const afterAction = (state: State, action: Action, rules: Rules): State => {
	switch (action.kind) {
		case 'begin':
			return beginNamed(state, action.name, rules)
		case 'apply':
			return applyPending(state, action.index)
		case 'see all':
			return showChanges(state, state.unseen.length - 1, rules)
		case 'see next':
			return showChanges(state, 0, rules)
		case 'owner sees':
			return { ...state, ownerView: { revision: state.revision, records: state.records } }
		case 'look':
			return look(state, currentSearch(state), rules)
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
		`unseen ${state.unseen.map(viewKey)}`,
		...searcherKey(state.searcher),
		viewKey(state.ownerView),
		// In whatever order they were submitted, each may be applied next.
		`pending ${state.pending.map(numberOf).sort()}`,
		state.search === null ? 0 : numberOf(state.search),
		`proof ${state.provenAbsentAt}`,
		state.acceptedAt,
		state.knownSince,
		state.endedAt,
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

const TOLD_ABSENT: Violation = 'a known job is answered as absent'
const ACCEPTED_ANEW: Violation = 'a finished job is accepted anew'
const WRONG_PROOF: Violation = 'a job is absent as of a revision at which it was known'
const ALL_VIOLATIONS: readonly Violation[] = [TOLD_ABSENT, ACCEPTED_ANEW, WRONG_PROOF]

/** Where histories begin, and what may happen in them. */
interface Scenario {
	name: string
	start: Start
	budget: Budget
}

const MOVED_ON: Budget = { migrate: 1, 'close page': 1, archive: 1 }
const ENDED_AND_ARCHIVED: Budget = {
	'other accept': 1,
	end: 1,
	'close page': 1,
	epoch: 1,
	tidy: 1,
	archive: 1,
}

const ASKED_IN_MIGRATION: Scenario = {
	name: 'a user asks for a finished job while its state moves',
	start: MIGRATION_BEGUN,
	budget: { ask: 1, 'full read': 1, ...MOVED_ON, merge: 1 },
}
const ASKED_WITH_PAGES_CACHED: Scenario = {
	name: 'a user asks for a finished job while its state moves, and pages of the archive are cached',
	start: PAGES_CACHED,
	budget: { ask: 1, ...MOVED_ON, merge: 1 },
}
const ASKED_AS_MIGRATION_ENDS: Scenario = {
	name: 'a user asks for a finished job while its state moves, and no states are left under own keys',
	start: MIGRATION_BEGUN,
	budget: { ask: 1, migrated: 1, ...MOVED_ON },
}
const ASKED_AS_MOVE_REPEATS: Scenario = {
	name: 'a user asks for a finished job whose state is archived twice',
	start: MIGRATION_BEGUN,
	budget: { ask: 1, ...MOVED_ON, archive: 2, merge: 1 },
}
const ASKED_AS_FORMAT_CHANGES: Scenario = {
	name: 'a user asks for a finished job while the format of the records changes',
	start: FIRST_FORMAT,
	budget: { ask: 1, 'full read': 1, format: 1, ...MOVED_ON, merge: 1 },
}
const ASKED_AS_JOB_ENDS: Scenario = {
	name: 'a user asks for a job that ends in the first format and is migrated',
	start: NEW_JOB_IN_FIRST_FORMAT,
	budget: { ask: 1, 'full read': 1, 'other accept': 1, end: 1, tidy: 1, format: 1, migrate: 1 },
}
const ASKED_AS_JOB_IS_CANCELLED: Scenario = {
	name: 'a user asks for a job that is cancelled and archived',
	start: NEW_JOB_IN_MIGRATION,
	budget: {
		ask: 1,
		'full read': 1,
		'other accept': 1,
		cancel: 1,
		tidy: 2,
		'close page': 1,
		epoch: 1,
		archive: 1,
	},
}
const FINISHED_SUBMITTED: Scenario = {
	name: 'a finished job is submitted while its state moves',
	start: MIGRATION_BEGUN,
	budget: { prove: 1, accept: 1, 'full read': 1, epoch: 1, ...MOVED_ON, merge: 1 },
}
const SUBMITTED_IN_FIRST_FORMAT: Scenario = {
	name: 'a job is submitted to both controllers in the first format',
	start: NEW_JOB_IN_FIRST_FORMAT,
	budget: { prove: 1, 'full read': 2, accept: 1, 'other accept': 1, end: 1, tidy: 1 },
}
const SUBMITTED_BEFORE_OMISSIONS: Scenario = {
	name: 'a job is submitted to both controllers in the first format, and no states were left out before',
	start: { ...NEW_JOB_IN_FIRST_FORMAT, hasOmittedStates: false },
	budget: { prove: 1, 'full read': 1, accept: 1, 'other accept': 1, end: 1, tidy: 1, format: 1 },
}
const SUBMITTED_AS_FORMAT_CHANGES: Scenario = {
	name: 'a job is submitted to both controllers while the format of the records changes',
	start: NEW_JOB_IN_FIRST_FORMAT,
	budget: {
		prove: 1,
		'full read': 1,
		accept: 1,
		'other accept': 1,
		end: 1,
		tidy: 1,
		format: 1,
		...MOVED_ON,
	},
}
const SUBMITTED_IN_MIGRATION: Scenario = {
	name: 'a job is submitted to both controllers during the migration',
	start: NEW_JOB_IN_MIGRATION,
	budget: { prove: 1, accept: 1, 'full read': 1, ...ENDED_AND_ARCHIVED },
}
const SUBMITTED_IN_SECOND_FORMAT: Scenario = {
	name: 'a job is submitted to both controllers in the second format',
	start: NEW_JOB,
	budget: { prove: 1, accept: 1, ...ENDED_AND_ARCHIVED },
}

const SCENARIOS: readonly Scenario[] = [
	ASKED_IN_MIGRATION,
	ASKED_WITH_PAGES_CACHED,
	ASKED_AS_MIGRATION_ENDS,
	ASKED_AS_MOVE_REPEATS,
	ASKED_AS_FORMAT_CHANGES,
	ASKED_AS_JOB_ENDS,
	ASKED_AS_JOB_IS_CANCELLED,
	FINISHED_SUBMITTED,
	SUBMITTED_IN_FIRST_FORMAT,
	SUBMITTED_BEFORE_OMISSIONS,
	SUBMITTED_AS_FORMAT_CHANGES,
	SUBMITTED_IN_MIGRATION,
	SUBMITTED_IN_SECOND_FORMAT,
]

/** What is found in a scenario with one condition left out. */
const FAULTS: readonly { fault: Fault; found: Violation; scenario: Scenario }[] = [
	{ fault: 'wait for the revision of the read', found: TOLD_ABSENT, scenario: ASKED_IN_MIGRATION },
	{ fault: 'wait for the revision of the read', found: ACCEPTED_ANEW, scenario: FINISHED_SUBMITTED },
	{ fault: 'memory after the own key', found: TOLD_ABSENT, scenario: ASKED_IN_MIGRATION },
	{ fault: 'memory after the own key', found: ACCEPTED_ANEW, scenario: FINISHED_SUBMITTED },
	{ fault: 'own key after a full read', found: WRONG_PROOF, scenario: SUBMITTED_IN_FIRST_FORMAT },
	{ fault: 'memory before the archive', found: TOLD_ABSENT, scenario: ASKED_AS_MIGRATION_ENDS },
	{ fault: 'first level after what left memory', found: TOLD_ABSENT, scenario: ASKED_WITH_PAGES_CACHED },
	{ fault: 'second level after the first', found: TOLD_ABSENT, scenario: ASKED_WITH_PAGES_CACHED },
	{ fault: 'epoch of acceptances', found: ACCEPTED_ANEW, scenario: SUBMITTED_IN_SECOND_FORMAT },
	{ fault: 'proof as of the epoch', found: ACCEPTED_ANEW, scenario: SUBMITTED_IN_SECOND_FORMAT },
	{ fault: 'own key of acceptances', found: ACCEPTED_ANEW, scenario: SUBMITTED_IN_FIRST_FORMAT },
]

const MAX_STATES = 400_000
/** An exploration of fewer states has not met what its scenario is about. */
const MIN_STATES = 1000

for (const { name, start, budget } of SCENARIOS)
	test(`every history in which ${name}: none is forbidden`, () => {
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
