/** The archive: packing, pages, archiver and reader, with an in-memory store. */

import assert from 'node:assert/strict'
import { test } from 'node:test'
import {
	type ArchivedJob,
	type ArchiveLookup,
	ArchiveReader,
	Archiver,
	archivePageKey,
	ConflictingTerminalStates,
	decodeArchivePage,
	encodeArchivePage,
	findByOrdinal,
	findInPacked,
	InvalidArchivePage,
	jobIdOf,
	maxDepth,
	mergeArchivedJobs,
	ordinalOf,
	packJobs,
	unpackJobs,
} from '@heathroad/history'
import {
	type RangePage,
	RequestPacer,
	RequestRejected,
	type StoreClient,
	type WriteResult,
} from '@heathroad/store'
import { FakeStateStore, VirtualClock } from '@heathroad/testkit'
import { type Condition, encodeTransaction, type Mutation, parseRangeResponse } from '@heathroad/wire'
import { Effect } from 'effect'
import * as fc from 'fast-check'

const SEED = { seed: 20_261_201 }

/** Job ids as users choose them: of any width, with leading zeros, scattered or consecutive. */
const jobIds = fc
	.tuple(fc.integer({ min: 6, max: 20 }), fc.bigInt({ min: 0n, max: 10n ** 20n - 1n }))
	.map(([width, value]) => `job-${String(value % 10n ** BigInt(width)).padStart(width, '0')}`)
const archivedJobs = fc.record({
	ordinal: jobIds.map(ordinalOf),
	aborted: fc.boolean(),
	doneCount: fc.integer({ min: 0, max: 100_000 }),
	revision: fc.integer({ min: 1, max: 2 ** 40 }),
	taskCount: fc.constant(0),
})
const withTaskCount = (job: ArchivedJob): ArchivedJob => ({
	...job,
	taskCount: job.aborted ? job.doneCount + 5 : job.doneCount,
})
const sortedDistinct = (jobs: readonly ArchivedJob[]): ArchivedJob[] =>
	[...new Map(jobs.map((job) => [job.ordinal, withTaskCount(job)])).values()].sort((a, b) =>
		a.ordinal < b.ordinal ? -1 : 1,
	)

/** A store client backed by the fake state service, in memory. */
const createStore = () => {
	const state = new FakeStateStore(new VirtualClock(1))
	const call = (method: string, path: string, body?: unknown) => {
		let reply = { status: 0, body: {} as Record<string, unknown> }
		state.handle(method, path, body, (received) => {
			reply = received as typeof reply
		})
		return reply
	}
	const list: StoreClient['list'] = (prefix, from, pageSize) =>
		Effect.sync(() => {
			const after = from === null ? '' : `&from=${from}`
			const { body } = call('GET', `/store?under=${prefix}${after}&page=${pageSize}`)
			return parseRangeResponse(body) as RangePage
		})
	const write = (conditions: readonly Condition[], mutations: readonly Mutation[]): WriteResult => {
		const { status, body } = call('POST', '/txn', encodeTransaction(conditions, mutations))
		return status === 200 ? { kind: 'ok', revision: Number(body.epoch) } : { kind: 'conflict' }
	}
	const entries = (prefix: string) => Effect.runSync(list(prefix, null, 100_000)).entries
	return { list, write, entries }
}

const createUnlimitedPacer = () => new RequestPacer(0, () => 0)
const hasLevels = () => true

/** Looks up all jobs concurrently. */
const lookUpAll = (reader: ArchiveReader, uids: readonly string[]): Promise<ArchiveLookup[]> =>
	Effect.runPromise(Effect.forEach(uids, (uid) => reader.lookUp(uid), { concurrency: 'unbounded' }))
const idsOf = (jobs: readonly ArchivedJob[]): string[] => jobs.map((job) => jobIdOf(job.ordinal))

test('ordinals keep the order of ids and their leading zeros; packed jobs are unpacked unchanged', () => {
	fc.assert(
		fc.property(fc.array(archivedJobs, { maxLength: 60 }), jobIds, jobIds, (arbitrary, firstId, secondId) => {
			assert.equal(jobIdOf(ordinalOf(firstId)), firstId)
			assert.equal(ordinalOf(firstId) === ordinalOf(secondId), firstId === secondId)
			const jobs = sortedDistinct(arbitrary)
			assert.deepEqual(unpackJobs(packJobs(jobs)), jobs)
			for (const job of jobs) assert.deepEqual(findInPacked(packJobs(jobs), job.ordinal), job)
			const ordinal = ordinalOf(firstId)
			assert.deepEqual(findInPacked(packJobs(jobs), ordinal), findByOrdinal(jobs, ordinal))
			assert.deepEqual(mergeArchivedJobs(jobs.slice(0, 30), jobs.slice(20)), jobs)
		}),
		SEED,
	)
	const job = withTaskCount({
		ordinal: ordinalOf('job-000001'),
		aborted: true,
		doneCount: 3,
		taskCount: 0,
		revision: 9,
	})
	assert.throws(() => mergeArchivedJobs([job], [{ ...job, aborted: false }]), ConflictingTerminalStates)
})

test('an invalid page is reported with its key', () => {
	const packedJobs = packJobs(
		sortedDistinct([
			withTaskCount({
				ordinal: ordinalOf('job-000007'),
				aborted: false,
				doneCount: 3,
				taskCount: 3,
				revision: 9,
			}),
		]),
	)
	const key = archivePageKey(1, '~')
	for (const [description, data] of [
		['not an object', 7],
		['a range that ends before it begins', { from: '~~', depth: 0, deeper: false, packed: packedJobs }],
		['no depth', { from: '', deeper: false, packed: packedJobs }],
	] as const)
		assert.throws(
			() => decodeArchivePage(1, key, data, 1),
			{ message: `${key}: is no record of the archive` },
			description,
		)
	const truncated = packedJobs.slice(0, 10)
	const overwritten = `${packedJobs.slice(0, 8)}AAAA${packedJobs.slice(12)}`
	for (const packed of [truncated, overwritten, 'x'])
		assert.throws(() => unpackJobs(packed), InvalidArchivePage)
})

const MODEL_VALUE_CHARS = 420

type Write = [conditions: readonly Condition[], mutations: readonly Mutation[]]

/** An archiver whose writes are lost, delayed or applied without a response, as `draw` (0 to 9) decides. */
const createUnreliableArchiver = (store: ReturnType<typeof createStore>, draw: () => number) => {
	const delayedWrites: Write[] = []
	const ownership = { owner: true }
	const write = (...request: Write): WriteResult => {
		const outcome = draw()
		// Lost; applied without a response; applied much later; an earlier one applied now; ownership lost.
		if (outcome === 0) return { kind: 'unknown' }
		if (outcome === 1) {
			store.write(...request)
			return { kind: 'unknown' }
		}
		if (outcome === 2) {
			delayedWrites.push(request)
			return { kind: 'unknown' }
		}
		if (outcome === 3 && delayedWrites.length > 0) store.write(...delayedWrites.splice(0, 1)[0])
		if (outcome === 4 && draw() === 0) ownership.owner = false
		return store.write(...request)
	}
	const archiver = new Archiver({
		client: store,
		write: (conditions, mutations) => Effect.sync(() => write(conditions, mutations)),
		pace: () => (draw() < 5 ? Effect.promise(() => Promise.resolve()) : Effect.void),
		isOwner: () => ownership.owner,
		limits: { maxOperations: 4, maxValueChars: MODEL_VALUE_CHARS, maxBytes: 1200 },
	})
	/** Archives jobs from two controllers at once, and retries until one of them succeeds. */
	const insert = async (jobs: readonly ArchivedJob[]): Promise<void> => {
		for (let done = false; !done; ) {
			ownership.owner = true
			const results = await Effect.runPromise(
				Effect.all([archiver.insert(1, jobs), archiver.insert(1, jobs)], { concurrency: 2 }),
			)
			done = results.includes(true)
		}
	}
	const applyDelayedWrites = () => {
		for (const request of delayedWrites) store.write(...request)
	}
	return { insert, applyDelayedWrites }
}

/** Checks that the pages of a level cover all of it without gaps or overlaps, and that none exceeds the value limit. */
const checkLevel = (store: ReturnType<typeof createStore>, level: number): void => {
	let end = ''
	for (const { key, data, modRevision } of store.entries(`heathroad-past/${level}/`)) {
		const page = decodeArchivePage(level, key, data, modRevision)
		assert.equal(page.from, end, key)
		assert.ok(page.depth <= maxDepth(level) && JSON.stringify(data).length <= MODEL_VALUE_CHARS, key)
		end = page.to
	}
	if (end !== '') assert.equal(end, '~')
}

test('the archive agrees with a map: splits, levels, interrupted, repeated or concurrent moves, delayed writes', async () => {
	await fc.assert(
		fc.asyncProperty(
			fc.array(fc.array(archivedJobs, { minLength: 1, maxLength: 25 }), { minLength: 4, maxLength: 14 }),
			fc.array(fc.integer({ min: 0, max: 9 }), { minLength: 200, maxLength: 200 }),
			fc.array(jobIds, { maxLength: 10 }),
			async (batches, draws, otherIds) => {
				const store = createStore()
				const expected = new Map<string, ArchivedJob>()
				let drawCount = 0
				const archiver = createUnreliableArchiver(store, () => draws[drawCount++ % draws.length])
				const reader = new ArchiveReader(store, hasLevels, createUnlimitedPacer(), {
					maxCacheChars: 1500,
					maxPendingLookups: 1000,
					maxPagesPerRead: 4,
				})
				for (const batch of batches) {
					const jobs = sortedDistinct(batch).filter((job) => !expected.has(job.ordinal))
					await archiver.insert(jobs)
					for (const job of jobs) expected.set(job.ordinal, job)
					reader.onJobsLeftMemory(
						idsOf(jobs),
						Math.max(...store.entries('').map((entry) => entry.modRevision)),
					)
					const sample = [...expected.values()].filter((_, i) => i % 3 === drawCount % 3)
					assert.deepEqual(await lookUpAll(reader, idsOf(sample)), sample)
				}
				archiver.applyDelayedWrites()
				reader.reset(0)
				const all = [...expected.values()]
				const unknownIds = otherIds.filter((uid) => !expected.has(ordinalOf(uid)))
				const found = await lookUpAll(reader, [...idsOf(all), ...unknownIds])
				assert.deepEqual(found.slice(0, all.length), all)
				assert.ok(found.slice(all.length).every((result) => result === 'absent'))
				for (const level of [1, 2, 3]) checkLevel(store, level)
			},
		),
		{ ...SEED, numRuns: 60 },
	)
})

test('the jobs of a full page move down a level, and are found there', async () => {
	const store = createStore()
	const archiver = new Archiver({
		client: store,
		write: (conditions, mutations) => Effect.sync(() => store.write(conditions, mutations)),
		pace: () => Effect.void,
		isOwner: () => true,
		limits: { maxOperations: 8, maxValueChars: 430, maxBytes: 4000 },
	})
	// Far more than fit on 64 pages of a dozen jobs.
	const jobs = Array.from({ length: 3000 }, (_, i) =>
		withTaskCount({
			ordinal: ordinalOf(`job-${String((i * 7919) % 1_000_000).padStart(6, '0')}`),
			aborted: i % 9 === 0,
			doneCount: i,
			taskCount: 0,
			revision: i,
		}),
	)
	for (let i = 0; i < jobs.length; i += 100)
		assert.equal(await Effect.runPromise(archiver.insert(1, sortedDistinct(jobs.slice(i, i + 100)))), true)
	const levels = [1, 2].map((level) => store.entries(`heathroad-past/${level}/`))
	assert.ok(levels[0].length <= 64, `${levels[0].length} pages of the first level`)
	assert.ok(levels[1].length > 64, `${levels[1].length} pages of the second level`)
	const reader = new ArchiveReader(store, hasLevels, createUnlimitedPacer(), {
		maxCacheChars: 40_000,
		maxPendingLookups: 10_000,
		maxPagesPerRead: 16,
	})
	assert.deepEqual(await lookUpAll(reader, idsOf(jobs)), jobs)
	assert.ok(reader.reads < 400, `${reader.reads} reads for 3,000 concurrent lookups`)
	assert.equal(await Effect.runPromise(reader.lookUp('job-999999999')), 'absent')
})

test('lookups beyond the limit of pending lookups are unsure at once', async () => {
	const store = createStore()
	const unresponsive: Pick<StoreClient, 'list'> = { list: () => Effect.never }
	const reader = new ArchiveReader(unresponsive, hasLevels, createUnlimitedPacer(), {
		maxCacheChars: 1000,
		maxPendingLookups: 3,
		maxPagesPerRead: 4,
	})
	const results: ArchiveLookup[] = []
	for (let i = 0; i < 5; i++)
		Effect.runFork(Effect.map(reader.lookUp(`job-00000${i}`), (result) => void results.push(result)))
	await new Promise((done) => setTimeout(done, 20))
	assert.deepEqual(results, ['unsure', 'unsure'])
	assert.equal(store.entries('').length, 0)
})

test('lookups in an invalid page are unsure, those in other pages are resolved', async () => {
	const store = createStore()
	const middle = ordinalOf('job-500000')
	const jobs = [
		withTaskCount({
			ordinal: ordinalOf('job-700000'),
			aborted: false,
			doneCount: 2,
			taskCount: 2,
			revision: 3,
		}),
	]
	const page = { from: '', to: middle, depth: 1, deeper: false, modRevision: 0 }
	const put = (to: string, data: unknown) => store.write([], [{ set: archivePageKey(1, to), data }])
	put(middle, encodeArchivePage({ ...page, packed: 'AAAA' }))
	put('~', encodeArchivePage({ ...page, from: middle, to: '~', packed: packJobs(jobs) }))
	const failures: unknown[] = []
	const reader = new ArchiveReader(
		store,
		hasLevels,
		createUnlimitedPacer(),
		{ maxCacheChars: 10_000, maxPendingLookups: 9, maxPagesPerRead: 4 },
		(failure) => failures.push(failure),
	)
	for (let repetition = 0; repetition < 2; repetition++) {
		assert.equal(await Effect.runPromise(reader.lookUp('job-100000')), 'unsure')
		assert.deepEqual(await Effect.runPromise(reader.lookUp('job-700000')), jobs[0])
		assert.equal(reader.cached('job-100000'), undefined)
		assert.equal(reader.provesAbsent('job-100000'), false)
	}
	assert.ok(failures.every((failure) => failure instanceof InvalidArchivePage) && failures.length > 0)
	put('~', 7)
	reader.reset(0)
	assert.equal(await Effect.runPromise(reader.lookUp('job-700000')), 'unsure')
})

test('a rate-limited read is retried; any other failed read makes the lookup unsure at once', async () => {
	const store = createStore()
	for (const [status, expectedReads, expectedResult] of [
		[429, 3, 'absent'],
		[503, 1, 'unsure'],
	] as const) {
		let readCount = 0
		const list: StoreClient['list'] = (...args) =>
			++readCount < 3 ? Effect.fail(new RequestRejected({ status })) : store.list(...args)
		const reader = new ArchiveReader({ list }, hasLevels, createUnlimitedPacer(), {
			maxCacheChars: 1000,
			maxPendingLookups: 3,
			maxPagesPerRead: 4,
		})
		assert.equal(await Effect.runPromise(reader.lookUp('job-000001')), expectedResult)
		assert.equal(readCount, expectedReads)
	}
})
