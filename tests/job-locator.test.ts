/** What a search for a job does next, given what memory shows and what was read, and when it ends without a result. */
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

const NOWHERE: SearchScope = { ownKeys: false, hasOmittedStates: true, archive: false }
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

const STEPS: readonly [what: string, memory: MemoryView, ownKeyEmptyAt: number | null, step: SearchStep][] = [
	['what memory names is located', memory({ location: known }), null, { kind: 'located', location: known }],
	[
		'what memory names is located, also before the wait is over',
		memory({ location: known }),
		12,
		{ kind: 'located', location: known },
	],
	['before the first read nothing is known', memory({ revision: -1, scope: NOWHERE }), null, UNKNOWN],
	['before the first read nothing is known, wherever states may be', memory({ revision: -1 }), null, UNKNOWN],
	['all states are in memory', memory({ scope: NOWHERE }), null, absent(10)],
	['states may be archived', memory({ scope: ARCHIVE }), null, { kind: 'search archive', asOf: 10 }],
	['states may be under own keys', memory({ scope: OWN_KEYS }), null, { kind: 'read own key' }],
	['states may be under own keys and archived', memory(), null, { kind: 'read own key' }],
	['the own key was read after what memory shows', memory(), 11, { kind: 'refresh memory', revision: 11 }],
	[
		'the own key was read after what memory shows, and nothing is archived',
		memory({ scope: OWN_KEYS }),
		11,
		{ kind: 'refresh memory', revision: 11 },
	],
	[
		'the own key was read after what memory shows, and no full read has left a state out',
		memory({ scope: { ...EVERYWHERE, hasOmittedStates: false } }),
		11,
		{ kind: 'search archive', asOf: 10 },
	],
	['the own key was read when memory was the same', memory(), 10, { kind: 'search archive', asOf: 10 }],
	['the own key was read before what memory shows', memory(), 7, { kind: 'search archive', asOf: 7 }],
	[
		'the own key was read before what memory shows, and nothing is archived',
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
		'no states are left under own keys since the key was read',
		memory({ scope: ARCHIVE }),
		12,
		{ kind: 'search archive', asOf: 10 },
	],
	[
		'the record of the format appeared since the key was read',
		memory(),
		9,
		{ kind: 'search archive', asOf: 9 },
	],
]

for (const [what, view, ownKeyEmptyAt, step] of STEPS)
	test(`the next step of a search: ${what}`, () => {
		assert.deepEqual(nextSearchStep(view, ownKeyEmptyAt), step)
	})

/** A search that takes longer ends, in ms. */
const TIMEOUT_MS = 30
/** Longer than any search of these tests takes. */
const LONG_MS = 60_000

interface World {
	revision: number
	fullReadRevision: number
	scope: SearchScope
	records: Map<string, { record: JobRecord }>
	cached: typeof ARCHIVED_JOB | undefined
	readOwnKey: () => Effect.Effect<LegacyRead>
	lookUp: () => Effect.Effect<ArchiveLookup>
	isCurrent: boolean
	linearizableRead: JobLocatorDependencies['linearizableRead']
	/** what was asked of the store, in order */
	asked: string[]
}

/** A locator whose memory, reads and waits the test controls. */
const createLocator = (changes: Partial<World>, timeoutMs = LONG_MS) => {
	const world: World = {
		revision: 10,
		fullReadRevision: 4,
		scope: EVERYWHERE,
		records: new Map(),
		cached: undefined,
		readOwnKey: () => Effect.succeed({ kind: 'not found', readAt: 8 }),
		lookUp: () => Effect.succeed('absent'),
		isCurrent: true,
		linearizableRead: () => Effect.succeed(world.isCurrent),
		asked: [],
		...changes,
	}
	const ports: JobLocatorDependencies = {
		jobs: { get: (uid) => world.records.get(uid) },
		cache: {
			get revision() {
				return world.revision
			},
		},
		archive: {
			searchScope: () => world.scope,
			fullReadRevision: () => world.fullReadRevision,
			readOwnKey: () => {
				world.asked.push('own key')
				return world.readOwnKey()
			},
			cached: () => world.cached,
			provesAbsent: () => false,
			lookUp: () => {
				world.asked.push('archive')
				return world.lookUp()
			},
		},
		linearizableRead: () => world.linearizableRead(),
	}
	return { world, locator: new JobLocator(ports, timeoutMs) }
}

const locate = (locator: JobLocator) => Effect.runPromise(locator.locate(JOB))

test('a job that is nowhere is absent as of the read of its own key', async () => {
	const { locator, world } = createLocator({})
	assert.deepEqual(await locate(locator), { kind: 'absent', asOf: 8 })
	assert.deepEqual(world.asked, ['own key', 'archive'])
})

test('a state that moves from the own key to memory is found once memory shows the move', async () => {
	const { locator, world } = createLocator({
		readOwnKey: () => Effect.succeed({ kind: 'not found', readAt: 12 }),
		linearizableRead: () =>
			Effect.sync(() => {
				world.asked.push('memory')
				world.revision = 12
				world.records.set(JOB, { record: TERMINAL_RECORD })
				return true
			}),
	})
	assert.deepEqual(await locate(locator), { kind: 'terminal', record: TERMINAL_RECORD })
	assert.deepEqual(world.asked, ['own key', 'memory'])
})

test('the own key is read again after a full read that may have left its state out', async () => {
	const reads: LegacyRead[] = [
		{ kind: 'not found', readAt: 12 },
		{ kind: 'found', job: ARCHIVED_JOB },
	]
	const { locator, world } = createLocator({
		readOwnKey: () => Effect.succeed(reads.shift() ?? { kind: 'unreadable' }),
		linearizableRead: () =>
			Effect.sync(() => {
				world.asked.push('memory')
				world.revision = 14
				world.fullReadRevision = 14
				return true
			}),
	})
	assert.deepEqual(await locate(locator), { kind: 'archived', job: ARCHIVED_JOB })
	assert.deepEqual(world.asked, ['own key', 'memory', 'own key'])
})

/** Whatever stops a search, memory and reads prove nothing. */
const STOPPED: readonly [what: string, world: Partial<World>, timeoutMs?: number][] = [
	['nothing was read yet', { revision: -1, fullReadRevision: -1 }],
	[
		'nothing was read yet, and states are in no other place',
		{ revision: -1, fullReadRevision: -1, scope: NOWHERE },
	],
	['the own key cannot be read', { readOwnKey: () => Effect.succeed({ kind: 'unreadable' }) }],
	['the archive cannot be read', { lookUp: () => Effect.succeed('unsure') }],
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
	['the read of the own key takes too long', { readOwnKey: () => Effect.never }, TIMEOUT_MS],
	['the search of the archive takes too long', { lookUp: () => Effect.never }, TIMEOUT_MS],
	[
		'it takes too long until memory reaches the revision of the read',
		{
			readOwnKey: () => Effect.succeed({ kind: 'not found', readAt: 12 }),
			linearizableRead: () => Effect.never,
		},
		TIMEOUT_MS,
	],
]

for (const [what, changes, timeoutMs] of STOPPED)
	test(`a search ends as unknown: ${what}`, async () => {
		const { locator } = createLocator(changes, timeoutMs)
		assert.deepEqual(await locate(locator), { kind: 'unknown' })
	})

test('full reads during each read of the own key end a search as unknown after its time', async () => {
	const { locator, world } = createLocator(
		{
			readOwnKey: () =>
				Effect.as(Effect.sleep(1), { kind: 'not found', readAt: world.fullReadRevision } as const).pipe(
					Effect.tap(() =>
						Effect.sync(() => {
							world.revision += 1
							world.fullReadRevision = world.revision
						}),
					),
				),
		},
		TIMEOUT_MS,
	)
	assert.deepEqual(await locate(locator), { kind: 'unknown' })
	assert.ok(world.asked.length > 1)
})

test('without a read that is new enough only a terminal state is an answer', async () => {
	const locateNow = (locator: JobLocator) => Effect.runPromise(locator.locateNow(JOB))
	const { locator, world } = createLocator({ isCurrent: false })
	assert.deepEqual(await locateNow(locator), { kind: 'unknown' })
	world.records.set(JOB, { record: OPEN_RECORD })
	assert.deepEqual(await locateNow(locator), { kind: 'unknown' })
	world.records.set(JOB, { record: TERMINAL_RECORD })
	assert.deepEqual(await locateNow(locator), { kind: 'terminal', record: TERMINAL_RECORD })
	world.records.clear()
	world.cached = ARCHIVED_JOB
	assert.deepEqual(await locateNow(locator), { kind: 'archived', job: ARCHIVED_JOB })
	assert.deepEqual(world.asked, [])
})
