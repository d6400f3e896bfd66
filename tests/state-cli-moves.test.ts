/**
 * `heathroad state` while terminal states move. `check` and `export` read all keys in several requests, the archive
 * before the other records. A state that moves from its own key to a page, from a page to the archive or down a level
 * between two requests must not be reported as a finding, and must be in the export.
 */
import assert from 'node:assert/strict'
import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { after, test } from 'node:test'
import {
	type ArchivedJob,
	archivePageKey,
	encodeArchivePage,
	ORDINAL_END,
	ordinalOf,
	packJobs,
} from '@heathroad/history'
import { Checker, entriesOf, exportState, IdSet, importState, openSnapshot, walk } from '@heathroad/inspect'
import { createStoreClient, KEY_PREFIX, type StoreClient } from '@heathroad/store'
import { arrayJob, FakeStateStore, VirtualClock } from '@heathroad/testkit'
import type { HttpClient, HttpResponse } from '@heathroad/wire'
import { Effect } from 'effect'
import { OtherController } from './held-requests.js'

const directory = mkdtempSync(join(tmpdir(), 'heathroad-moves-'))
after(() => rmSync(directory, { recursive: true }))

const LIMITS = { requestsPerS: 100_000, maxTries: 1 }
const IMPORT_LIMITS = { ...LIMITS, changesPerS: 1e6, maxOperations: 8, maxTransactionBytes: 48 * 1024 }
const SHARDS = 3
const SHARD = 0
/** Finished jobs under their own keys, and one on the first level of the archive. */
const FINISHED = ['job-400001', 'job-400002', 'job-400003']
const ARCHIVED = 'job-900001'
/** Open jobs with keys between those of the archive and of the finished jobs: more than fit in one response. */
const OPEN_JOBS = Array.from({ length: 450 }, (_, index) => `job-${300_000 + index}`)
/** Ends of second-level pages, more than fit in one response; all are below the first of two first-level pages. */
const PAGE_ENDS = Array.from({ length: 250 }, (_, index) => ordinalOf(`job-${100_000 + index}`))
const MIDDLE = ordinalOf('job-800000')
const NEED = { team: 'core', cpus: 1, gpus: 0, ramGb: 1 }

const archivedJob: ArchivedJob = {
	ordinal: ordinalOf(ARCHIVED),
	aborted: false,
	taskCount: 4,
	doneCount: 4,
	revision: 1,
}

const archivePage = (from: string, jobs: ArchivedJob[], deeper: boolean): unknown =>
	encodeArchivePage({ from, to: '', depth: 1, deeper, packed: packJobs(jobs), modRevision: 0 })

/** A state with finished jobs under their own keys and in the archive; reading it takes more than three requests. */
const makeState = () => {
	const state = new FakeStateStore(new VirtualClock(1))
	state.put(archivePageKey(1, MIDDLE), archivePage('', [], true))
	state.put(archivePageKey(1, ORDINAL_END), archivePage(MIDDLE, [archivedJob], false))
	for (const [index, to] of [...PAGE_ENDS, ORDINAL_END].entries())
		state.put(archivePageKey(2, to), archivePage(PAGE_ENDS[index - 1] ?? '', [], false))
	state.put(`${KEY_PREFIX}history`, { form: 2, turn: 1, legacy: true })
	for (const uid of OPEN_JOBS)
		state.put(`${KEY_PREFIX}job/${uid}`, { part: SHARD, spec: arrayJob(uid), at: 0 })
	for (const uid of FINISHED)
		state.put(`${KEY_PREFIX}job/${uid}`, { part: SHARD, final: 'done', tasks: 4, need: NEED })
	return { state, otherController: new OtherController(state.handle.bind(state), SHARD) }
}

/** A client that calls `beforeList` with the number of each request for keys before executing it. */
const clientOf = (state: FakeStateStore, beforeList: (request: number) => void = () => {}): StoreClient => {
	const httpClient: HttpClient = {
		request: (_, method, path, body) =>
			Effect.sync(() => {
				let response: HttpResponse = { status: 0, body: null, retryAfterS: null }
				const decoded = body === undefined ? undefined : JSON.parse(JSON.stringify(body))
				state.handle(method, path, decoded, (reply) => {
					response = { ...reply, retryAfterS: null }
				})
				return response
			}),
	}
	const client = createStoreClient(httpClient, 'state:1', 1000, () => {})
	let requests = 0
	return {
		...client,
		list: (...request) =>
			Effect.suspend(() => {
				beforeList(++requests)
				return client.list(...request)
			}),
	}
}

type Step = (otherController: OtherController) => void

const set =
	(key: string, data: unknown): Step =>
	(otherController) => {
		otherController.write({ conditions: [], mutations: [{ set: key, data }] })
	}
const moveToPage =
	(uid: string): Step =>
	(otherController) =>
		otherController.moveToPage(uid)
const archivePages: Step = (otherController) => {
	otherController.archivePages()
}
/** How the archiver moves a full page down: it writes the lower level before it empties the upper one. */
const MOVE_DOWN: readonly Step[] = [
	set(archivePageKey(2, ORDINAL_END), archivePage(PAGE_ENDS[PAGE_ENDS.length - 1], [archivedJob], false)),
	set(archivePageKey(1, ORDINAL_END), archivePage(MIDDLE, [], true)),
]
const [FIRST, SECOND, THIRD] = FINISHED

/** The moves that take place while keys are read. */
const MOVES: readonly { name: string; before?: readonly Step[]; steps: readonly Step[] }[] = [
	{ name: 'own key to page', steps: [moveToPage(FIRST), moveToPage(SECOND)] },
	{
		name: 'page to archive',
		before: [moveToPage(FIRST), moveToPage(SECOND)],
		steps: [archivePages],
	},
	{
		name: 'own key to page to archive',
		before: [moveToPage(FIRST)],
		steps: [moveToPage(SECOND), moveToPage(THIRD), archivePages],
	},
	{ name: 'level to the next one, for the first time', steps: MOVE_DOWN },
	{ name: 'level to the next one, half done throughout', before: [MOVE_DOWN[0]], steps: [] },
]
/** The request for keys before which the moves start; `isSpread`: one step per request, else all steps at once. */
const TIMINGS = [1, 2, 3, 4].flatMap((request) =>
	[true, false].map((isSpread) => ({
		request,
		isSpread,
		name: `${isSpread ? 'from' : 'at'} request ${request}`,
	})),
)

/** A state, and a client that makes the moves before the given requests. */
const movingState = (
	{ before = [], steps }: (typeof MOVES)[number],
	{ request, isSpread }: (typeof TIMINGS)[number],
) => {
	const { state, otherController } = makeState()
	for (const step of before) step(otherController)
	let done = 0
	const client = clientOf(state, (number) => {
		const due = isSpread ? number - request + 1 : steps.length
		while (number >= request && done < Math.min(due, steps.length)) steps[done++](otherController)
	})
	return { state, client }
}

const findingsOf = async (client: StoreClient): Promise<string[]> => {
	const checker = new Checker(SHARDS, await IdSet.create())
	const walkAll = (check: 'checkEntry' | 'compareEntry') =>
		Effect.runPromise(
			walk(client, LIMITS, (entries) => {
				for (const entry of entries) checker[check](entry)
			}),
		)
	await walkAll('checkEntry')
	checker.finish()
	await walkAll('compareEntry')
	return checker.findings.map(({ key, what }) => `${key}: ${what}`)
}

for (const move of MOVES)
	test(`check has no findings while a state moves: ${move.name}`, async () => {
		const findings: string[] = []
		for (const timing of TIMINGS)
			for (const finding of await findingsOf(movingState(move, timing).client))
				findings.push(`${timing.name}: ${finding}`)
		assert.deepEqual(findings, [])
	})

/** All keys and their data. */
const contentOf = (state: FakeStateStore): Promise<Map<string, unknown>> => {
	const content = new Map<string, unknown>()
	const collect = walk(clientOf(state), LIMITS, (entries) => {
		for (const { key, data } of entries) content.set(key, data)
	})
	return Effect.runPromise(collect).then(() => content)
}

for (const move of MOVES)
	test(`an export contains every state while one moves, and so does its import: ${move.name}`, async () => {
		for (const timing of TIMINGS) {
			const { state, client } = movingState(move, timing)
			const path = join(directory, 'moving')
			await Effect.runPromise(exportState(client, path, LIMITS))
			const snapshot = await openSnapshot(path)
			const exported = new Map<string, unknown>()
			for await (const { key, data } of entriesOf(snapshot)) {
				assert.ok(!exported.has(key), `${timing.name}: ${key} twice`)
				exported.set(key, data)
			}
			assert.deepEqual(
				new Map([...exported].sort()),
				new Map([...(await contentOf(state))].sort()),
				timing.name,
			)
			const target = new FakeStateStore(new VirtualClock(1))
			await importState(clientOf(target), snapshot, IMPORT_LIMITS)
			assert.deepEqual([...(await contentOf(target)).keys()].sort(), [...exported.keys()].sort(), timing.name)
		}
	})
