/** The next step of a search for a job, given memory and the reads so far, and when a search ends without a result. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { JobRecord } from '@heathroad/cluster'
import type { ArchiveLookup, LegacyRead } from '@heathroad/history'
import {
	JobLocator,
	type JobLocatorDependencies,
	type MemoryView,
	nextSearchStep,
	type SearchScope,
	type SearchStep,
} from '@heathroad/server'
import { Effect } from 'effect'

const JOB = 'job-000001'
const OPEN_RECORD = { shardId: 0 }
const TERMINAL_RECORD = { shardId: 0, finalState: 'done', taskCount: 1 } as const
const ARCHIVED_JOB = { ordinal: '000001', aborted: false, taskCount: 1, doneCount: 1, revision: 3 }
const UNKNOWN: SearchStep = { kind: 'located', location: { kind: 'unknown' } }

const MEMORY_ONLY: SearchScope = { ownKeys: false, hasOmittedStates: true, archive: false }
const ARCHIVE: SearchScope = { ownKeys: false, hasOmittedStates: true, archive: true }
const OWN_KEYS: SearchScope = { ownKeys: true, hasOmittedStates: true, archive: false }
const EVERYWHERE: SearchScope = { ownKeys: true, hasOmittedStates: true, archive: true }

const memory = (changes: Partial<MemoryView> = {}): MemoryView => ({
	location: null,
	revision: 10,
	fullReadRevision: 4,
	scope: EVERYWHERE,
	...changes,
})
const absent = (asOf: number): SearchStep => ({ kind: 'located', location: { kind: 'absent', asOf } })
const known = { kind: 'open', record: OPEN_RECORD } as const

const STEP_CASES: readonly [
	description: string,
	memory: MemoryView,
	ownKeyEmptyAt: number | null,
	step: SearchStep,
][] = [
	['a job in memory is located', memory({ location: known }), null, { kind: 'located', location: known }],
	[
		'a job in memory is located, even before the wait ends',
		memory({ location: known }),
		12,
		{ kind: 'located', location: known },
	],
	['nothing is known before the first read', memory({ revision: -1, scope: MEMORY_ONLY }), null, UNKNOWN],
	['nothing is known before the first read, whatever the scope', memory({ revision: -1 }), null, UNKNOWN],
	['all states are in memory', memory({ scope: MEMORY_ONLY }), null, absent(10)],
	['states may be archived', memory({ scope: ARCHIVE }), null, { kind: 'search archive', asOf: 10 }],
	['states may be under own keys', memory({ scope: OWN_KEYS }), null, { kind: 'read own key' }],
	['states may be under own keys and archived', memory(), null, { kind: 'read own key' }],
	[
		'the own key was read after the revision of memory',
		memory(),
		11,
		{ kind: 'refresh memory', revision: 11 },
	],
	[
		'the own key was read after the revision of memory, and nothing is archived',
		memory({ scope: OWN_KEYS }),
		11,
		{ kind: 'refresh memory', revision: 11 },
	],
	[
		'the own key was read after the revision of memory, and no full read has left a state out',
		memory({ scope: { ...EVERYWHERE, hasOmittedStates: false } }),
		11,
		{ kind: 'search archive', asOf: 10 },
	],
	['the own key was read at the revision of memory', memory(), 10, { kind: 'search archive', asOf: 10 }],
	['the own key was read before the revision of memory', memory(), 7, { kind: 'search archive', asOf: 7 }],
	[
		'the own key was read before the revision of memory, and nothing is archived',
		memory({ scope: OWN_KEYS }),
		7,
		absent(7),
	],
	['the own key was read at the full read', memory(), 4, { kind: 'search archive', asOf: 4 }],
	['the own key was read before the latest full read', memory(), 3, { kind: 'read own key' }],
	[
		'the own key was read before the latest full read, and nothing is archived',
		memory({ scope: OWN_KEYS }),
		3,
		{ kind: 'read own key' },
	],
	[
		'the migration completed after the own key was read',
		memory({ scope: ARCHIVE }),
		12,
		{ kind: 'search archive', asOf: 10 },
	],
	[
		'the format record was created after the own key was read',
		memory(),
		9,
		{ kind: 'search archive', asOf: 9 },
	],
]

for (const [description, view, ownKeyEmptyAt, step] of STEP_CASES)
	test(`the next step of a search: ${description}`, () => {
		assert.deepEqual(nextSearchStep(view, ownKeyEmptyAt), step)
	})

/** Timeout of a search, in ms. */
const TIMEOUT_MS = 30
/** A timeout that no search of these tests reaches, in ms. */
const LONG_MS = 60_000

interface StubState {
	revision: number
	fullReadRevision: number
	scope: SearchScope
	records: Map<string, { record: JobRecord }>
	cached: typeof ARCHIVED_JOB | undefined
	readOwnKey: () => Effect.Effect<LegacyRead>
	lookUp: () => Effect.Effect<ArchiveLookup>
	isCurrent: boolean
	linearizableRead: JobLocatorDependencies['linearizableRead']
	/** the reads that were requested, in order */
	requested: string[]
}

/** A locator whose memory, reads and waits the test controls. */
const createLocator = (changes: Partial<StubState>, timeoutMs = LONG_MS) => {
	const stubs: StubState = {
		revision: 10,
		fullReadRevision: 4,
		scope: EVERYWHERE,
		records: new Map(),
		cached: undefined,
		readOwnKey: () => Effect.succeed({ kind: 'not found', readAt: 8 }),
		lookUp: () => Effect.succeed('absent'),
		isCurrent: true,
		linearizableRead: () => Effect.succeed(stubs.isCurrent),
		requested: [],
		...changes,
	}
	const dependencies: JobLocatorDependencies = {
		jobs: { get: (uid) => stubs.records.get(uid) },
		cache: {
			get revision() {
				return stubs.revision
			},
		},
		archive: {
			searchScope: () => stubs.scope,
			fullReadRevision: () => stubs.fullReadRevision,
			readOwnKey: () => {
				stubs.requested.push('own key')
				return stubs.readOwnKey()
			},
			cached: () => stubs.cached,
			provesAbsent: () => false,
			lookUp: () => {
				stubs.requested.push('archive')
				return stubs.lookUp()
			},
		},
		linearizableRead: () => stubs.linearizableRead(),
	}
	return { stubs, locator: new JobLocator(dependencies, timeoutMs) }
}

const locate = (locator: JobLocator) => Effect.runPromise(locator.locate(JOB))

test('a job that is found nowhere is absent as of the read of its own key', async () => {
	const { locator, stubs } = createLocator({})
	assert.deepEqual(await locate(locator), { kind: 'absent', asOf: 8 })
	assert.deepEqual(stubs.requested, ['own key', 'archive'])
})

test('a state that moves from the own key to memory is found once memory contains it', async () => {
	const { locator, stubs } = createLocator({
		readOwnKey: () => Effect.succeed({ kind: 'not found', readAt: 12 }),
		linearizableRead: () =>
			Effect.sync(() => {
				stubs.requested.push('memory')
				stubs.revision = 12
				stubs.records.set(JOB, { record: TERMINAL_RECORD })
				return true
			}),
	})
	assert.deepEqual(await locate(locator), { kind: 'terminal', record: TERMINAL_RECORD })
	assert.deepEqual(stubs.requested, ['own key', 'memory'])
})

test('the own key is read again after a full read that may have left its state out', async () => {
	const reads: LegacyRead[] = [
		{ kind: 'not found', readAt: 12 },
		{ kind: 'found', job: ARCHIVED_JOB },
	]
	const { locator, stubs } = createLocator({
		readOwnKey: () => Effect.succeed(reads.shift() ?? { kind: 'unreadable' }),
		linearizableRead: () =>
			Effect.sync(() => {
				stubs.requested.push('memory')
				stubs.revision = 14
				stubs.fullReadRevision = 14
				return true
			}),
	})
	assert.deepEqual(await locate(locator), { kind: 'archived', job: ARCHIVED_JOB })
	assert.deepEqual(stubs.requested, ['own key', 'memory', 'own key'])
})

/** Cases in which memory and reads prove nothing. */
const UNKNOWN_CASES: readonly [description: string, stubs: Partial<StubState>, timeoutMs?: number][] = [
	['before the first read', { revision: -1, fullReadRevision: -1 }],
	[
		'before the first read, and all states would be in memory',
		{ revision: -1, fullReadRevision: -1, scope: MEMORY_ONLY },
	],
	['the read of the own key fails', { readOwnKey: () => Effect.succeed({ kind: 'unreadable' }) }],
	['the archive lookup fails', { lookUp: () => Effect.succeed('unsure') }],
	[
		'memory does not reach the revision of the read',
		{
			readOwnKey: () => Effect.succeed({ kind: 'not found', readAt: 12 }),
			linearizableRead: () => Effect.succeed(false),
		},
	],
	[
		'the own key holds a record that cannot be decoded',
		{ readOwnKey: () => Effect.succeed({ kind: 'not terminal' }) },
	],
	['the read of the own key times out', { readOwnKey: () => Effect.never }, TIMEOUT_MS],
	['the archive lookup times out', { lookUp: () => Effect.never }, TIMEOUT_MS],
	[
		'the wait for memory to reach the revision of the read times out',
		{
			readOwnKey: () => Effect.succeed({ kind: 'not found', readAt: 12 }),
			linearizableRead: () => Effect.never,
		},
		TIMEOUT_MS,
	],
]

for (const [description, changes, timeoutMs] of UNKNOWN_CASES)
	test(`a search ends as unknown: ${description}`, async () => {
		const { locator } = createLocator(changes, timeoutMs)
		assert.deepEqual(await locate(locator), { kind: 'unknown' })
	})

test('a search ends as unknown at its timeout if a full read happens during each read of the own key', async () => {
	const { locator, stubs } = createLocator(
		{
			readOwnKey: () =>
				Effect.as(Effect.sleep(1), { kind: 'not found', readAt: stubs.fullReadRevision } as const).pipe(
					Effect.tap(() =>
						Effect.sync(() => {
							stubs.revision += 1
							stubs.fullReadRevision = stubs.revision
						}),
					),
				),
		},
		TIMEOUT_MS,
	)
	assert.deepEqual(await locate(locator), { kind: 'unknown' })
	assert.ok(stubs.requested.length > 1)
})

test('without a linearizable read, only a terminal state is returned', async () => {
	const locateNow = (locator: JobLocator) => Effect.runPromise(locator.locateNow(JOB))
	const { locator, stubs } = createLocator({ isCurrent: false })
	assert.deepEqual(await locateNow(locator), { kind: 'unknown' })
	stubs.records.set(JOB, { record: OPEN_RECORD })
	assert.deepEqual(await locateNow(locator), { kind: 'unknown' })
	stubs.records.set(JOB, { record: TERMINAL_RECORD })
	assert.deepEqual(await locateNow(locator), { kind: 'terminal', record: TERMINAL_RECORD })
	stubs.records.clear()
	stubs.cached = ARCHIVED_JOB
	assert.deepEqual(await locateNow(locator), { kind: 'archived', job: ARCHIVED_JOB })
	assert.deepEqual(stubs.requested, [])
})
