import assert from 'node:assert/strict'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { after, test } from 'node:test'
import { encodeTerminalPage, toTerminalJob } from '@heathroad/cluster'
import { type ArchivedJob, archivePageKey, encodeArchivePage, ordinalOf, packJobs } from '@heathroad/history'
import {
	BadSnapshot,
	Checker,
	compareMachines,
	diffStates,
	entriesOf,
	exportState,
	IdSet,
	importState,
	listMachines,
	openSnapshot,
	Unreadable,
	walk,
} from '@heathroad/inspect'
import { createStoreClient, KEY_PREFIX, type StoreClient } from '@heathroad/store'
import { arrayJob, FakeStateStore, VirtualClock } from '@heathroad/testkit'
import { type HttpClient, type HttpResponse, NoResponse } from '@heathroad/wire'
import { Effect } from 'effect'

const dir = mkdtempSync(join(tmpdir(), 'heathroad-'))
after(() => rmSync(dir, { recursive: true }))
const LIMITS = { perS: 100_000, tries: 1 }
const IMPORT = { ...LIMITS, changesPerS: 1e6, ops: 8, bytes: 48 * 1024 }

const past = (uid: string, more: Partial<ArchivedJob> = {}): ArchivedJob => ({
	ordinal: ordinalOf(uid),
	aborted: false,
	taskCount: 4,
	doneCount: 4,
	revision: 700,
	...more,
})
const leaf = (from: string, to: string, items: ArchivedJob[], more: object = {}) =>
	encodeArchivePage({ from, to, depth: 1, deeper: false, packed: packJobs(items), modRevision: 0, ...more })
const job = (uid: string) => ({ part: 0, spec: arrayJob(uid), at: 0 })
const page = (...uids: string[]) =>
	encodeTerminalPage({
		shardId: 0,
		batches: [
			{ revision: null, jobs: uids.map((u) => toTerminalJob(u, 'done', arrayJob(u, { tasks: 4 }), 4)) },
		],
	})
const MIDDLE = ordinalOf('job-500000')

/** A state in which everything fits. */
const good = (): Record<string, unknown> => ({
	[archivePageKey(1, MIDDLE)]: leaf('', MIDDLE, [
		past('job-100000'),
		past('job-200000', { aborted: true, doneCount: 1 }),
	]),
	[archivePageKey(1, '~')]: leaf(MIDDLE, '~', [
		past('job-00000000000000000001'),
		past('job-99999999999999999999'),
	]),
	[`${KEY_PREFIX}history`]: { form: 2, turn: 4, legacy: false },
	[`${KEY_PREFIX}installation`]: 'here',
	[`${KEY_PREFIX}intake/a`]: { jobs: [job('job-300001'), job('job-300002')] },
	[`${KEY_PREFIX}job/job-300001`]: { ...job('job-300001'), done: [0, 2] },
	[`${KEY_PREFIX}fleet/r0`]: { part: 0, type: 't', zone: 'a', spot: false, asked: 0, hosts: { 'i-1': null } },
	[`${KEY_PREFIX}over/0`]: page('job-400000'),
	[`${KEY_PREFIX}part/0`]: { owner: 'a', life: 'b' },
})

const serve = (keys: Record<string, unknown>) => {
	const state = new FakeStateStore(new VirtualClock(1))
	for (const [key, data] of Object.entries(keys)) state.put(key, data)
	let refuse = Number.POSITIVE_INFINITY
	const caller: HttpClient = {
		request: (_, method, path, body) => {
			if (method === 'POST' && --refuse < 0) return Effect.fail(new NoResponse({ reason: 'cut' }))
			let answer: HttpResponse = { status: 0, body: null, retryAfter: null }
			state.handle(method, path, body === undefined ? undefined : JSON.parse(JSON.stringify(body)), (r) => {
				answer = { ...r, retryAfter: null }
			})
			return Effect.succeed(answer)
		},
	}
	const client: StoreClient = createStoreClient(caller, 'state:1', 1000, () => {})
	return {
		state,
		client,
		refuseAfter: (posts: number) => {
			refuse = posts
		},
	}
}

const examine = async (keys: Record<string, unknown>): Promise<string[]> => {
	const { client } = serve(keys)
	const checker = new Checker(3, await IdSet.make())
	await Effect.runPromise(walk(client, LIMITS, (es) => es.forEach((e) => checker.entry(e))))
	checker.finish()
	await Effect.runPromise(walk(client, LIMITS, (es) => es.forEach((e) => checker.again(e))))
	return checker.findings.map((f) => `${f.key}: ${f.what}`)
}

test('check: what does not fit is named, and nothing else is', async () => {
	const upper = archivePageKey(1, MIDDLE)
	const last = archivePageKey(1, '~')
	for (const [why, change, said] of [
		['all fits', {}, []],
		[
			'a state in the middle of a move down is in two places',
			{
				[archivePageKey(2, '~')]: leaf('', '~', [past('job-100000')]),
				[upper]: leaf('', MIDDLE, [past('job-100000'), past('job-200000', { aborted: true, doneCount: 1 })], {
					deeper: true,
				}),
			},
			[],
		],
		[
			'a leaf that does not parse',
			{ [upper]: { from: '', depth: 1, deeper: false, packed: 'AAAA' } },
			[/1\/.*: cannot be unpacked/],
		],
		['an overlap', { [last]: leaf(ordinalOf('job-400000'), '~', []) }, [/1\/~: overlaps/]],
		['a gap', { [last]: leaf(ordinalOf('job-600000'), '~', []) }, [/1\/~: leaves a gap/]],
		['no end', { [last]: undefined }, [/past\/1\/: its last record is missing/]],
		[
			'out of range',
			{ [upper]: leaf('', MIDDLE, [past('job-700000')]) },
			[/job-700000, which is not of its range/],
		],
		[
			'where nobody looks',
			{ [archivePageKey(2, '~')]: leaf('', '~', [past('job-100001')]) },
			[/job-100001, which nobody looks for/],
		],
		[
			'over twice, in two ways',
			{ [`${KEY_PREFIX}over/1`]: { ...(page('job-200000') as object), part: 1 } },
			[/over\/1: job-200000 ended another way/],
		],
		[
			'archived and open',
			{ [`${KEY_PREFIX}intake/b`]: { jobs: [job('job-100000')] } },
			[/intake\/b: job-100000 is open there/],
		],
		[
			'progress of a job that is over',
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
			'a part that is not there',
			{ [`${KEY_PREFIX}part/7`]: { owner: 'a', life: 'b' } },
			[/part\/7: there are 3 parts/],
		],
		['a later form', { [`${KEY_PREFIX}history`]: { form: 3, turn: 1 } }, [/history: is of form 3/]],
		[
			'a page of another make',
			{ [`${KEY_PREFIX}over/0`]: { part: 0, over: [[1], 7] } },
			[/over\/0: does not parse/],
		],
		[
			'none of ours',
			{ [`${KEY_PREFIX}what`]: 1, 'heathroad.x': 1 },
			[/heathroad\.x: is none/, /what: is of no kind/],
		],
		[
			'garbage',
			{
				[`${KEY_PREFIX}over/0`]: 7,
				[`${KEY_PREFIX}intake/a`]: { jobs: 1 },
				[`${KEY_PREFIX}job/job-300001`]: [],
			},
			[/intake\/a: does not parse/, /job-300001: does not parse/, /over\/0: does not parse/],
		],
	] as const) {
		const keys = Object.fromEntries(
			Object.entries({ ...good(), ...change }).filter(([, v]) => v !== undefined),
		)
		const found = await examine(keys)
		assert.equal(found.length, said.length, `${why}: ${found.join('; ')}`)
		for (const [i, pattern] of said.entries()) assert.match(found[i], pattern, why)
	}
})

test('ids of every width are told apart in a set', async () => {
	const ids = await IdSet.make()
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

const saved = async (name: string, keys: Record<string, unknown>): Promise<string> => {
	const path = join(dir, name)
	await Effect.runPromise(exportState(serve(keys).client, path, LIMITS))
	return path
}
const many = (n: number): Record<string, unknown> => ({
	...good(),
	...Object.fromEntries(
		Array.from({ length: n }, (_, i) => [
			`${KEY_PREFIX}intake/m${String(i).padStart(4, '0')}`,
			{ jobs: [job(`job-${800_000 + i}`)] },
		]),
	),
})

test('export is of one moment: what changes while it reads is told as it is at the end', async () => {
	const { client, state } = serve(many(450))
	let pages = 0
	const moving: StoreClient = {
		...client,
		list: (...args) =>
			client.list(...args).pipe(
				Effect.tap(() =>
					Effect.sync(() => {
						if (++pages !== 1) return
						// Both a key that was read and one that was not yet.
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
	const path = join(dir, 'moving')
	await Effect.runPromise(exportState(moving, path, LIMITS))
	const got = new Map<string, unknown>()
	for await (const { key, data } of entriesOf(await openSnapshot(path))) {
		assert.ok(!got.has(key), key)
		got.set(key, data)
	}
	assert.equal(got.get(`${KEY_PREFIX}fleet/r0`), 'new')
	assert.equal(got.get(`${KEY_PREFIX}a`), 1)
	assert.ok(!got.has(`${KEY_PREFIX}intake/m0440`))
	assert.equal(got.size, Object.keys(many(450)).length)
})

test('bad snapshots: each is named, and nothing is written', async () => {
	const path = await saved('good', many(30))
	const text = readFileSync(path, 'utf8')
	const turned = Buffer.from(text)
	turned[text.indexOf('"hosts"') + 10] ^= 1
	for (const [name, content, said] of [
		['cut short', text.slice(0, text.length / 2).replace(/[^\n]*$/, ''), /is cut short/],
		['cut in a line', text.slice(0, 900), /cannot be read/],
		[
			'of another version',
			text.replace('"version":1', '"version":9'),
			/is of version 9; this program reads version 1/,
		],
		['with a bit turned', turned, /checksum does not fit|cannot be read/],
		['with a line too many', text.replace('\n{"end"', '\n{"key":"x","data":1}\n{"end"'), /lines, not/],
		['of something else', '{"a":1}\n', /is no snapshot/],
		['empty', '', /is cut short/],
	] as const) {
		const bad = join(dir, 'bad')
		writeFileSync(bad, content)
		await assert.rejects(
			openSnapshot(bad),
			(e: Error) => e instanceof BadSnapshot && said.test(e.message),
			name,
		)
	}
	await assert.rejects(openSnapshot(join(dir, 'nowhere')), /cannot be read \(ENOENT\)/)
	const used = serve({ [`${KEY_PREFIX}history`]: { form: 2, turn: 1 } })
	await assert.rejects(importState(used.client, await openSnapshot(path), IMPORT), /is not empty/)
	assert.equal(used.state.count(''), 1)
})

test('import goes on where it was stopped, however often; what it brought fits and differs in nothing that counts', async () => {
	const path = await saved('whole', many(60))
	const snapshot = await openSnapshot(path)
	const target = serve({})
	let stops = 0
	for (;;) {
		target.refuseAfter(3)
		try {
			await importState(target.client, snapshot, IMPORT)
			break
		} catch (e) {
			assert.ok(e instanceof Unreadable, String(e))
			stops++
		}
		const other = await openSnapshot(await saved('other', good()))
		if (stops === 1) await assert.rejects(importState(target.client, other, IMPORT), /of another snapshot/)
	}
	assert.ok(stops >= 2, `${stops} stops`)
	const back = join(dir, 'back')
	await Effect.runPromise(exportState(target.client, back, LIMITS))
	const differences = await diffStates(snapshot, await openSnapshot(back))
	// Epochs begin anew, owners and the installation's name stay behind.
	assert.deepEqual(differences, [
		`~ ${archivePageKey(1, MIDDLE)}`,
		`~ ${archivePageKey(1, '~')}`,
		`- ${KEY_PREFIX}installation`,
		`~ ${KEY_PREFIX}over/0`,
		`- ${KEY_PREFIX}part/0`,
	])
	const restored: Record<string, unknown> = {}
	for await (const { key, data } of entriesOf(await openSnapshot(back))) restored[key] = data
	assert.deepEqual(await examine(restored), [])
})

test("the cloud's list: pages, refusals and lag; only what two lists say is told", async () => {
	const all = Array.from({ length: 1200 }, (_, i) => ({
		uid: `i-${String(i).padStart(6, '0')}`,
		status: i === 7 ? 'failed' : 'running',
		heldS: i === 8 ? 2 : 600,
	}))
	let calls = 0
	const caller: HttpClient = {
		request: (_, __, path) => {
			if (++calls % 2 === 0) return Effect.succeed({ status: 429, body: {}, retryAfter: null })
			const from = new URLSearchParams(path.split('?')[1]).get('from') ?? ''
			const rest = all.filter((m) => m.uid > from)
			return Effect.succeed({
				status: 200,
				body: { hosts: rest.slice(0, 500), truncated: rest.length > 500 },
				retryAfter: null,
			})
		},
	}
	const listed = await Effect.runPromise(listMachines(caller, 'cloud:1', 10_000, 100))
	assert.equal(listed.length, 1200)
	const known = new Map(
		listed
			.filter((m) => !['i-000007', 'i-000008', 'i-000009', 'i-000010'].includes(m.id))
			.map((m) => [m.id, 'fleet/x']),
	)
	known.set('i-gone', 'fleet/y')
	const later = listed.filter((m) => m.id !== 'i-000010')
	const said = compareMachines([listed, later], known, 3).map((f) => `${f.key}: ${f.what}`)
	assert.deepEqual(said, [
		'i-000009: is charged since 600 s, and no record knows it',
		'fleet/y: holds machine i-gone, which the cloud does not list',
	])
	const deaf: HttpClient = { request: () => Effect.succeed({ status: 503, body: {}, retryAfter: null }) }
	await assert.rejects(Effect.runPromise(listMachines(deaf, 'cloud:1', 10_000, 100)), /cloud does not answer/)
})
