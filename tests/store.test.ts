/** The write queue, the order of accepted batches, shared linearizable reads, and arrival times in the watch cache. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { type AcceptedJobRecord, decodeJobRecord, encodeAcceptedBatch, JobRegistry } from '@heathroad/cluster'
import {
	type CacheListener,
	KEY_PREFIX,
	type QueuedWrite,
	RequestRejected,
	type StoreClient,
	type TransactionContent,
	type TransactionResult,
	WatchCache,
	WritePriority,
	WriteQueue,
	type WriteResult,
} from '@heathroad/store'
import { arrayJob, VirtualClock } from '@heathroad/testkit'
import { Effect } from 'effect'

/** Waits until all pending microtasks have run. */
const runMicrotasks = () => new Promise((done) => setImmediate(done))

const writtenKeys = ({ mutations }: TransactionContent) =>
	mutations.map((mutation) => ('set' in mutation ? mutation.set : mutation.delete)).join(' ')

const SUCCESS: TransactionResult = { ok: true, revision: 1 }

/** Creates a write queue whose transactions `answer` answers immediately; `sent` holds them in order. */
const createQueue = (answer: (transaction: TransactionContent) => TransactionResult) => {
	const sent: TransactionContent[] = []
	const client: Pick<StoreClient, 'transact'> = {
		transact: (conditions, mutations) => {
			sent.push({ conditions, mutations })
			return Effect.succeed(answer({ conditions, mutations }))
		},
	}
	const limits = { writesPerS: 5, burst: 15, maxOperations: 4, maxBytes: 10_000 }
	return { sent, queue: new WriteQueue(client as StoreClient, limits, () => 0) }
}

/** Creates a write of one key that appends its result to `log`. */
const createWrite = (priority: number, key: string, modRevision: number, log: string[]): QueuedWrite => ({
	priority,
	deadline: 1000,
	build: () => ({ conditions: [{ key, modRevision }], mutations: [{ set: key, data: 1 }] }),
	onResult: (result: WriteResult) => log.push(`${key}: ${result.kind}`),
})

test('which writes share a transaction', async () => {
	const cases: {
		name: string
		writes: [priority: number, key: string, modRevision: number][]
		transactions: string[]
	}[] = [
		{
			name: 'writes that are enqueued together share a transaction, higher priorities first',
			writes: [
				[WritePriority.progress, 'p', 1],
				[WritePriority.user, 'u', 0],
				[WritePriority.rental, 'r', 0],
			],
			transactions: ['r u p'],
		},
		{
			// Both conditions hold at mod revision 7: in one transaction the second would silently undo the first.
			name: 'an outcome and a cancellation of the same job never share a transaction',
			writes: [
				[WritePriority.user, 'job', 7],
				[WritePriority.outcome, 'job', 7],
				[WritePriority.outcome, 'x', 1],
			],
			transactions: ['job x', 'job'],
		},
		{
			name: 'up to the maximum number of operations',
			writes: [1, 2, 3, 4, 5].map((n): [number, string, number] => [WritePriority.user, `k${n}`, 0]),
			transactions: ['k1 k2 k3 k4', 'k5'],
		},
	]
	for (const { name, writes, transactions } of cases) {
		const { queue, sent } = createQueue(() => SUCCESS)
		const log: string[] = []
		for (const [priority, key, modRevision] of writes)
			queue.enqueue(createWrite(priority, key, modRevision, log))
		assert.deepEqual(log, [], 'no write has a result before enqueue returns')
		await runMicrotasks()
		assert.deepEqual(sent.map(writtenKeys), transactions, name)
		assert.equal(log.length, writes.length, name)
	}
})

test('a stale write fails alone, an obsolete write is not sent, a write with raised priority is sent first', async () => {
	const log: string[] = []
	const { queue } = createQueue(({ conditions }) =>
		conditions.some(({ key }) => key === 'stale')
			? { ok: false, failedKeys: ['stale'], revision: 1 }
			: { ok: true, revision: 2 },
	)
	queue.enqueue(createWrite(WritePriority.user, 'good', 0, log))
	queue.enqueue(createWrite(WritePriority.user, 'stale', 3, log))
	queue.enqueue({ ...createWrite(WritePriority.user, 'obsolete', 0, log), build: () => null })
	await runMicrotasks()
	assert.deepEqual([...log].sort(), ['good: ok', 'obsolete: refused', 'stale: conflict'])

	const raising = createQueue(() => SUCCESS)
	const late = createWrite(WritePriority.progress, 'late', 0, log)
	for (let n = 0; n < 4; n++) raising.queue.enqueue(createWrite(WritePriority.outcome, `o${n}`, 0, log))
	raising.queue.enqueue(late)
	raising.queue.raisePriority(late, WritePriority.rental)
	await runMicrotasks()
	assert.match(writtenKeys(raising.sent[0]), /^late /)
})

const acceptedJob = (uid: string, shardId: number): AcceptedJobRecord => ({
	shardId,
	spec: arrayJob(uid),
	acceptedAtMs: 0,
})

/** Creates a job registry fed by a watch cache; `accepted` lists the jobs that it accepted from batches, in order. */
const createRegistry = () => {
	const accepted: string[] = []
	const listener: CacheListener = (key, entry) => {
		if (key.startsWith('intake/')) {
			for (const { spec, shardId } of registry.onBatchAccepted(entry?.data))
				accepted.push(`${spec?.uid} ${shardId}`)
			return
		}
		const record = decodeJobRecord(entry?.data)
		if (record === null) assert.fail(`${key} holds no job record`)
		registry.onJobRecordChanged(key.slice('job/'.length), record)
	}
	const cache = new WatchCache(listener, 1, () => 0)
	const registry = new JobRegistry(cache)
	return { cache, registry, accepted }
}

test('of two batches that accept the same job the earlier one counts, in whatever order they are read', () => {
	const first = {
		key: `${KEY_PREFIX}intake/z`,
		data: encodeAcceptedBatch([acceptedJob('job-000001', 1)]),
		modRevision: 5,
	}
	const second = {
		key: `${KEY_PREFIX}intake/a`,
		data: encodeAcceptedBatch([acceptedJob('job-000001', 2), acceptedJob('job-000002', 2)]),
		modRevision: 6,
	}
	const ownRecord = { key: `${KEY_PREFIX}job/job-000001`, data: { part: 1, final: 'done' }, modRevision: 9 }
	const cases: { name: string; read: (cache: WatchCache) => void }[] = [
		{ name: 'both are watched', read: (cache) => cache.applyEvents(6, [first, second]) },
		{
			name: 'both are read, in the order of their keys',
			read: (cache) => cache.replaceAll(6, [second, first]),
		},
		{
			name: 'the later one was written during a paged read',
			read: (cache) => {
				cache.replaceAll(4, [second])
				cache.applyEvents(6, [first, second])
			},
		},
	]
	for (const { name, read } of cases) {
		const { cache, registry, accepted } = createRegistry()
		read(cache)
		assert.deepEqual(accepted, ['job-000001 1', 'job-000002 2'], name)
		const expected = { record: acceptedJob('job-000001', 1), modRevision: 0 }
		assert.deepEqual(registry.get('job-000001'), expected, name)
		assert.deepEqual([...registry.obsoleteEntries()], [], name)
		cache.applyEvents(9, [ownRecord])
		const own = registry.get('job-000001')
		assert.equal(own?.record.finalState, 'done', 'the job record counts once it exists')
		assert.equal(own?.modRevision, 9)
		const obsoleteKeys = [...registry.obsoleteEntries()].map(([key]) => key)
		assert.deepEqual(obsoleteKeys, ['intake/z'], 'only a batch whose jobs are all terminal is obsolete')
		assert.deepEqual(registry.onBatchAccepted(second.data), [], 'a batch that is delivered again adds no job')
	}
})

/** Creates a state service that answers after 4 ms and rejects every seventh watch request with 429. */
const createBusyService = (clock: VirtualClock) => {
	const state = { revision: 1, readStartTimes: [] as number[] }
	const client: Pick<StoreClient, 'watch'> = {
		watch: () =>
			Effect.suspend(() => {
				state.readStartTimes.push(clock.nowMs)
				const rejected = state.readStartTimes.length % 7 === 0
				return Effect.sleep(4).pipe(
					Effect.andThen(
						rejected
							? Effect.fail(new RequestRejected({ status: 429 }))
							: Effect.succeed({ revision: state.revision, log: [] }),
					),
				)
			}),
	}
	return { state, client: client as StoreClient }
}

test('any number of linearizable reads share requests, and a rate limit fails none of them (incident 9)', async () => {
	const clock = new VirtualClock(1)
	const { state, client } = createBusyService(clock)
	let answered = 0
	const readOnce = (cache: WatchCache) => {
		const requestedAt = clock.nowMs
		state.revision++
		const durableRevision = state.revision
		const onAnswer = (succeeded: boolean) => {
			answered++
			assert.ok(succeeded, 'no read fails')
			assert.ok(cache.revision >= durableRevision, 'the cache holds what was durable before the read')
			const tookMs = clock.nowMs - requestedAt
			assert.ok(tookMs < 320, `an answer after ${tookMs} ms`)
		}
		Effect.runFork(cache.linearizableRead(client).pipe(Effect.map(onAnswer)))
	}
	await clock.run(11_000, () => {
		const cache = new WatchCache(
			() => {},
			100,
			() => clock.nowMs,
		)
		cache.revision = 0
		for (let i = 0; i < 1000; i++) clock.after(i * 10, () => readOnce(cache))
	})
	assert.equal(answered, 1000)
	const requests = state.readStartTimes.length
	assert.ok(requests <= 103, `${requests} requests for 1000 reads in 10 s, at least 100 ms apart`)
})

test('the cache knows when each change arrived, but not the age of the entries of its first read', () => {
	let nowMs = 1000
	const cache = new WatchCache(
		() => {},
		1,
		() => nowMs,
	)
	const change = (key: string, modRevision: number) => ({
		key: KEY_PREFIX + key,
		data: modRevision,
		modRevision,
	})
	cache.replaceAll(2, [change('read', 1), change('changed', 2)])
	nowMs = 2000
	cache.applyEvents(4, [change('changed', 3), change('watched', 4)])
	nowMs = 3000
	cache.applyOwnWrite('written', 5, 5)
	cache.applyEvents(5, [change('written', 5)])
	const arrivals = ['read', 'changed', 'watched', 'written'].map((key) => cache.get(key)?.arrivedAt)
	assert.deepEqual(arrivals, [undefined, 2000, 2000, 3000])
})
