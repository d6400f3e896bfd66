/** The logic of `heathroad state`: check, export, import and diff, against a fake state service. */

import assert from 'node:assert/strict'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { after, test } from 'node:test'
import { encodeTerminalPage, toTerminalJob } from '@heathroad/cluster'
import { type ArchivedJob, archivePageKey, encodeArchivePage, ordinalOf, packJobs } from '@heathroad/history'
import {
	Checker,
	compareMachines,
	diffStates,
	entriesOf,
	exportState,
	IdSet,
	InvalidSnapshot,
	importState,
	listMachines,
	openSnapshot,
	ServiceUnavailable,
	walk,
} from '@heathroad/inspect'
import { createStoreClient, KEY_PREFIX, type StoreClient } from '@heathroad/store'
import { arrayJob, FakeStateStore, VirtualClock } from '@heathroad/testkit'
import { type HttpClient, type HttpResponse, NoResponse } from '@heathroad/wire'
import { Effect } from 'effect'

const directory = mkdtempSync(join(tmpdir(), 'heathroad-'))
after(() => rmSync(directory, { recursive: true }))
const LIMITS = { requestsPerS: 100_000, maxTries: 1 }
const IMPORT_LIMITS = { ...LIMITS, changesPerS: 1e6, maxOperations: 8, maxTransactionBytes: 48 * 1024 }

const archivedJob = (uid: string, overrides: Partial<ArchivedJob> = {}): ArchivedJob => ({
	ordinal: ordinalOf(uid),
	aborted: false,
	taskCount: 4,
	doneCount: 4,
	revision: 700,
	...overrides,
})
const archivePage = (from: string, to: string, jobs: ArchivedJob[], overrides: object = {}) =>
	encodeArchivePage({
		from,
		to,
		depth: 1,
		deeper: false,
		packed: packJobs(jobs),
		modRevision: 0,
		...overrides,
	})
const storedJob = (uid: string) => ({ part: 0, spec: arrayJob(uid), at: 0 })
const terminalPage = (...uids: string[]) =>
	encodeTerminalPage({
		shardId: 0,
		batches: [
			{ revision: null, jobs: uids.map((uid) => toTerminalJob(uid, 'done', arrayJob(uid, { tasks: 4 }), 4)) },
		],
	})
const MIDDLE = ordinalOf('job-500000')

/** A state in which everything is consistent. */
const consistentState = (): Record<string, unknown> => ({
	[archivePageKey(1, MIDDLE)]: archivePage('', MIDDLE, [
		archivedJob('job-100000'),
		archivedJob('job-200000', { aborted: true, doneCount: 1 }),
	]),
	[archivePageKey(1, '~')]: archivePage(MIDDLE, '~', [
		archivedJob('job-00000000000000000001'),
		archivedJob('job-99999999999999999999'),
	]),
	[`${KEY_PREFIX}history`]: { form: 2, turn: 4, legacy: false },
	[`${KEY_PREFIX}installation`]: 'here',
	[`${KEY_PREFIX}intake/a`]: { jobs: [storedJob('job-300001'), storedJob('job-300002')] },
	[`${KEY_PREFIX}job/job-300001`]: { ...storedJob('job-300001'), done: [0, 2] },
	[`${KEY_PREFIX}fleet/r0`]: { part: 0, type: 't', zone: 'a', spot: false, asked: 0, hosts: { 'i-1': null } },
	[`${KEY_PREFIX}over/0`]: terminalPage('job-400000'),
	[`${KEY_PREFIX}part/0`]: { owner: 'a', life: 'b' },
})

const serveState = (keys: Record<string, unknown>) => {
	const state = new FakeStateStore(new VirtualClock(1))
	for (const [key, data] of Object.entries(keys)) state.put(key, data)
	let postsLeft = Number.POSITIVE_INFINITY
	const httpClient: HttpClient = {
		request: (_, method, path, body) => {
			if (method === 'POST' && --postsLeft < 0)
				return Effect.fail(new NoResponse({ reason: 'connection broken' }))
			let response: HttpResponse = { status: 0, body: null, retryAfterS: null }
			state.handle(
				method,
				path,
				body === undefined ? undefined : JSON.parse(JSON.stringify(body)),
				(reply) => {
					response = { ...reply, retryAfterS: null }
				},
			)
			return Effect.succeed(response)
		},
	}
	const client: StoreClient = createStoreClient(httpClient, 'state:1', 1000, () => {})
	return {
		state,
		client,
		failAfter: (posts: number) => {
			postsLeft = posts
		},
	}
}

const findingsIn = async (keys: Record<string, unknown>): Promise<string[]> => {
	const { client } = serveState(keys)
	const checker = new Checker(3, await IdSet.create())
	await Effect.runPromise(
		walk(client, LIMITS, (entries) =>
			entries.forEach((entry) => {
				checker.checkEntry(entry)
			}),
		),
	)
	checker.finish()
	await Effect.runPromise(
		walk(client, LIMITS, (entries) =>
			entries.forEach((entry) => {
				checker.compareEntry(entry)
			}),
		),
	)
	return checker.findings.map(({ key, what }) => `${key}: ${what}`)
}

const firstPage = archivePageKey(1, MIDDLE)
const lastPage = archivePageKey(1, '~')

/** Changes to the consistent state, and the findings that each leads to. */
const CHANGES = [
	['a consistent state', {}, []],
	[
		'a terminal state that is being moved down is on two levels',
		{
			[archivePageKey(2, '~')]: archivePage('', '~', [archivedJob('job-100000')]),
			[firstPage]: archivePage(
				'',
				MIDDLE,
				[archivedJob('job-100000'), archivedJob('job-200000', { aborted: true, doneCount: 1 })],
				{
					deeper: true,
				},
			),
		},
		[],
	],
	[
		'an invalid page',
		{ [firstPage]: { from: '', depth: 1, deeper: false, packed: 'AAAA' } },
		[/1\/.*: cannot be unpacked/],
	],
	['an overlap', { [lastPage]: archivePage(ordinalOf('job-400000'), '~', []) }, [/1\/~: overlaps/]],
	['a gap', { [lastPage]: archivePage(ordinalOf('job-600000'), '~', []) }, [/1\/~: leaves a gap/]],
	['no end', { [lastPage]: undefined }, [/past\/1\/: its last record is missing/]],
	[
		'out of range',
		{ [firstPage]: archivePage('', MIDDLE, [archivedJob('job-700000')]) },
		[/job-700000, which is not of its range/],
	],
	[
		'on a level where no lookup reaches it',
		{ [archivePageKey(2, '~')]: archivePage('', '~', [archivedJob('job-100001')]) },
		[/job-100001, which nobody looks for/],
	],
	[
		'a terminal state is on two levels while its page moves states down for the first time',
		{ [archivePageKey(2, '~')]: archivePage('', '~', [archivedJob('job-100000')]) },
		[],
	],
	[
		'during the first move down of its page, beside a terminal state that no lookup reaches',
		{
			[archivePageKey(2, '~')]: archivePage('', '~', [archivedJob('job-100000'), archivedJob('job-100001')]),
		},
		[/2\/~: holds job-100001, which nobody looks for/],
	],
	[
		'during the first move down of its page, with a different terminal state',
		{ [archivePageKey(2, '~')]: archivePage('', '~', [archivedJob('job-100000', { doneCount: 3 })]) },
		[/2\/~: job-100000 ended another way/],
	],
	[
		'two terminal states of one job',
		{ [`${KEY_PREFIX}over/1`]: { ...(terminalPage('job-200000') as object), part: 1 } },
		[/over\/1: job-200000 ended another way/],
	],
	[
		'archived and open',
		{ [`${KEY_PREFIX}intake/b`]: { jobs: [storedJob('job-100000')] } },
		[/intake\/b: job-100000 is open there/],
	],
	[
		'progress of a terminal job',
		{ [`${KEY_PREFIX}done/job-400000/1`]: [0, 3] },
		[/done\/job-400000\/1: is progress/],
	],
	[
		'a machine in two records',
		{
			[`${KEY_PREFIX}fleet/r1`]: {
				part: 1,
				type: 't',
				zone: 'a',
				spot: false,
				asked: 0,
				hosts: { 'i-1': null },
			},
		},
		[/fleet\/r1: holds machine i-1/],
	],
	[
		'a shard that does not exist',
		{ [`${KEY_PREFIX}part/7`]: { owner: 'a', life: 'b' } },
		[/part\/7: there are 3 parts/],
	],
	['a later format', { [`${KEY_PREFIX}history`]: { form: 3, turn: 1 } }, [/history: is of form 3/]],
	[
		'a page of another format',
		{ [`${KEY_PREFIX}over/0`]: { part: 0, over: [[1], 7] } },
		[/over\/0: does not parse/],
	],
	[
		'a key of another program',
		{ [`${KEY_PREFIX}what`]: 1, 'heathroad.x': 1 },
		[/heathroad\.x: is none/, /what: is of no kind/],
	],
	[
		'malformed records',
		{
			[`${KEY_PREFIX}over/0`]: 7,
			[`${KEY_PREFIX}intake/a`]: { jobs: 1 },
			[`${KEY_PREFIX}job/job-300001`]: [],
		},
		[/intake\/a: does not parse/, /job-300001: does not parse/, /over\/0: does not parse/],
	],
] as const

test('check: every inconsistency is reported, and nothing else', async () => {
	for (const [description, change, expected] of CHANGES) {
		const keys = Object.fromEntries(
			Object.entries({ ...consistentState(), ...change }).filter(([, data]) => data !== undefined),
		)
		const found = await findingsIn(keys)
		assert.equal(found.length, expected.length, `${description}: ${found.join('; ')}`)
		for (const [i, pattern] of expected.entries()) assert.match(found[i], pattern, description)
	}
})

test('an id set distinguishes ids of every width', async () => {
	const ids = await IdSet.create()
	const all = [
		'job-000001',
		'job-0000001',
		'job-123456789',
		'job-0123456789',
		'job-1123456789',
		'job-00000000000123456789',
		'job-10000000000123456789',
		'job-99999999999999999999',
	]
	for (const uid of all) assert.equal(ids.add(uid), true, uid)
	for (const uid of all) assert.equal(ids.add(uid), false, uid)
	assert.equal(ids.size, all.length)
	ids.dispose()
})

const saveSnapshot = async (name: string, keys: Record<string, unknown>): Promise<string> => {
	const path = join(directory, name)
	await Effect.runPromise(exportState(serveState(keys).client, path, LIMITS))
	return path
}
const largeState = (batches: number): Record<string, unknown> => ({
	...consistentState(),
	...Object.fromEntries(
		Array.from({ length: batches }, (_, i) => [
			`${KEY_PREFIX}intake/m${String(i).padStart(4, '0')}`,
			{ jobs: [storedJob(`job-${800_000 + i}`)] },
		]),
	),
})

test('an export is consistent: keys that change during it have their values of its last revision', async () => {
	const { client, state } = serveState(largeState(450))
	let pages = 0
	const changingClient: StoreClient = {
		...client,
		list: (...args) =>
			client.list(...args).pipe(
				Effect.tap(() =>
					Effect.sync(() => {
						if (++pages !== 1) return
						// Changes a key that was read already, and keys that were not read yet.
						const apply = [
							{ set: `${KEY_PREFIX}fleet/r0`, data: 'new' },
							{ delete: `${KEY_PREFIX}intake/m0440` },
							{ set: `${KEY_PREFIX}a`, data: 1 },
						]
						state.handle('POST', '/txn', { if: [], apply }, () => {})
					}),
				),
			),
	}
	const path = join(directory, 'changing')
	await Effect.runPromise(exportState(changingClient, path, LIMITS))
	const exported = new Map<string, unknown>()
	for await (const { key, data } of entriesOf(await openSnapshot(path))) {
		assert.ok(!exported.has(key), key)
		exported.set(key, data)
	}
	assert.equal(exported.get(`${KEY_PREFIX}fleet/r0`), 'new')
	assert.equal(exported.get(`${KEY_PREFIX}a`), 1)
	assert.ok(!exported.has(`${KEY_PREFIX}intake/m0440`))
	assert.equal(exported.size, Object.keys(largeState(450)).length)
})

test('invalid snapshots are rejected with the reason, and nothing is written', async () => {
	const path = await saveSnapshot('good', largeState(30))
	const text = readFileSync(path, 'utf8')
	const withFlippedBit = Buffer.from(text)
	withFlippedBit[text.indexOf('"hosts"') + 10] ^= 1
	for (const [name, content, pattern] of [
		['truncated', text.slice(0, text.length / 2).replace(/[^\n]*$/, ''), /is cut short/],
		['truncated within a line', text.slice(0, 900), /cannot be read/],
		[
			'of another version',
			text.replace('"version":1', '"version":9'),
			/is of version 9; this program reads version 1/,
		],
		['with a flipped bit', withFlippedBit, /checksum does not fit|cannot be read/],
		['with an extra line', text.replace('\n{"end"', '\n{"key":"x","data":1}\n{"end"'), /lines, not/],
		['of another kind of file', '{"a":1}\n', /is no snapshot/],
		['empty', '', /is cut short/],
	] as const) {
		const invalidPath = join(directory, 'bad')
		writeFileSync(invalidPath, content)
		await assert.rejects(
			openSnapshot(invalidPath),
			(error: Error) => error instanceof InvalidSnapshot && pattern.test(error.message),
			name,
		)
	}
	await assert.rejects(openSnapshot(join(directory, 'nowhere')), /cannot be read \(ENOENT\)/)
	const inUse = serveState({ [`${KEY_PREFIX}history`]: { form: 2, turn: 1 } })
	await assert.rejects(importState(inUse.client, await openSnapshot(path), IMPORT_LIMITS), /is not empty/)
	assert.equal(inUse.state.countKeys(''), 1)
})

test('an interrupted import resumes where it stopped, any number of times; the imported state is consistent and equivalent', async () => {
	const path = await saveSnapshot('whole', largeState(60))
	const snapshot = await openSnapshot(path)
	const target = serveState({})
	let interruptions = 0
	for (;;) {
		target.failAfter(3)
		try {
			await importState(target.client, snapshot, IMPORT_LIMITS)
			break
		} catch (error) {
			assert.ok(error instanceof ServiceUnavailable, String(error))
			interruptions++
		}
		const other = await openSnapshot(await saveSnapshot('other', consistentState()))
		if (interruptions === 1)
			await assert.rejects(importState(target.client, other, IMPORT_LIMITS), /of another snapshot/)
	}
	assert.ok(interruptions >= 2, `${interruptions} interruptions`)
	const exportedAgain = join(directory, 'back')
	await Effect.runPromise(exportState(target.client, exportedAgain, LIMITS))
	const differences = await diffStates(snapshot, await openSnapshot(exportedAgain))
	// Revisions start over; owners and the installation's name are not imported.
	assert.deepEqual(differences, [
		`~ ${archivePageKey(1, MIDDLE)}`,
		`~ ${archivePageKey(1, '~')}`,
		`- ${KEY_PREFIX}installation`,
		`~ ${KEY_PREFIX}over/0`,
		`- ${KEY_PREFIX}part/0`,
	])
	const restored: Record<string, unknown> = {}
	for await (const { key, data } of entriesOf(await openSnapshot(exportedAgain))) restored[key] = data
	assert.deepEqual(await findingsIn(restored), [])
})

/** A cloud that lists machines in pages of 500; `refuses`: the calls, counted from 1, that it answers with 429. */
const createCloud = (machines: readonly { uid: string }[], refuses: (call: number) => boolean) => {
	let calls = 0
	const httpClient: HttpClient = {
		request: (_, __, path) => {
			calls++
			if (refuses(calls)) return Effect.succeed({ status: 429, body: {}, retryAfterS: null })
			const from = new URLSearchParams(path.split('?')[1]).get('from') ?? ''
			const rest = machines.filter((machine) => machine.uid > from)
			return Effect.succeed({
				status: 200,
				body: { hosts: rest.slice(0, 500), truncated: rest.length > 500 },
				retryAfterS: null,
			})
		},
	}
	return { httpClient, calls: () => calls }
}

const REQUEST = { address: 'cloud:1', callsPerS: 10_000, timeoutMs: 100 }

test("the cloud's list of machines: pages, refusals and lag; only differences in both of two lists are reported", async () => {
	const machines = Array.from({ length: 1200 }, (_, i) => ({
		uid: `i-${String(i).padStart(6, '0')}`,
		status: i === 7 ? 'failed' : 'running',
		heldS: i === 8 ? 2 : 600,
	}))
	const cloud = createCloud(machines, (call) => call % 2 === 0)
	const listed = await Effect.runPromise(listMachines(cloud.httpClient, REQUEST))
	assert.equal(listed.length, 1200)
	const recorded = new Map(
		listed
			.filter(({ id }) => !['i-000007', 'i-000008', 'i-000009', 'i-000010'].includes(id))
			.map(({ id }) => [id, 'fleet/x']),
	)
	recorded.set('i-gone', 'fleet/y')
	const later = listed.filter(({ id }) => id !== 'i-000010')
	const findings = compareMachines([listed, later], recorded, 3).map(({ key, what }) => `${key}: ${what}`)
	assert.deepEqual(findings, [
		'i-000009: is charged since 600 s, and no record knows it',
		'fleet/y: holds machine i-gone, which the cloud does not list',
	])
	const unavailable: HttpClient = {
		request: () => Effect.succeed({ status: 503, body: {}, retryAfterS: null }),
	}
	await assert.rejects(Effect.runPromise(listMachines(unavailable, REQUEST)), /cloud does not answer/)
})

test('a long list of machines is read completely though more calls are refused than the limit for one page', async () => {
	const machines = Array.from({ length: 4000 }, (_, i) => ({
		uid: `i-${String(i).padStart(6, '0')}`,
		status: 'running',
		heldS: 600,
	}))
	const cloud = createCloud(machines, (call) => call % 2 === 1)
	const listed = await Effect.runPromise(listMachines(cloud.httpClient, REQUEST))
	assert.equal(listed.length, machines.length)
	assert.equal(cloud.calls(), 16, 'each of eight pages was refused once')
})
