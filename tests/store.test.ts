import assert from 'node:assert/strict'
import { test } from 'node:test'
import { type AcceptedJobRecord, decodeJobRecord, encodeAcceptedBatch, JobRegistry } from '@heathroad/cluster'
import {
	KEY_PREFIX,
	type QueuedWrite,
	RequestRejected,
	type StoreClient,
	WatchCache,
	WritePriority,
	WriteQueue,
	type WriteResult,
} from '@heathroad/store'
import { arrayJob, VirtualClock } from '@heathroad/testkit'
import type { Condition, Mutation } from '@heathroad/wire'
import { Effect } from 'effect'

interface Txn {
	conditions: readonly Condition[]
	changes: readonly Mutation[]
}

const settle = () => new Promise((done) => setImmediate(done))
const keys = (t: Txn) => t.changes.map((c) => ('set' in c ? c.set : c.delete)).join(' ')

const writer = (
	answer: (t: Txn) => { ok: true; revision: number } | { ok: false; failedKeys: string[]; revision: number },
) => {
	const sent: Txn[] = []
	const client = {
		transact: (conditions: readonly Condition[], changes: readonly Mutation[]) => {
			sent.push({ conditions, changes })
			return Effect.succeed(answer({ conditions, changes }))
		},
	} as unknown as StoreClient
	return {
		sent,
		writer: new WriteQueue(client, { writesPerS: 5, burst: 15, maxOperations: 4, maxBytes: 10_000 }, () => 0),
	}
}

const write = (
	urgency: number,
	set: string,
	modRevision: number,
	log: string[],
	data: unknown = 1,
): QueuedWrite => ({
	priority: urgency,
	deadline: 1000,
	build: () => ({ conditions: [{ key: set, modRevision }], mutations: [{ set, data }] }),
	onResult: (r: WriteResult) => log.push(`${set}: ${r.kind}`),
})

test('what a transaction holds', async () => {
	const cases: {
		name: string
		writes: [urgency: number, key: string, modRevision: number][]
		want: string[]
	}[] = [
		{
			name: 'what is submitted together goes together, the urgent first',
			writes: [
				[WritePriority.progress, 'p', 1],
				[WritePriority.user, 'u', 0],
				[WritePriority.rental, 'r', 0],
			],
			want: ['r u p'],
		},
		{
			// Both hold while the key is at 7; in one transaction the second would undo the first unseen.
			name: 'an outcome and a cancellation of one job never share one',
			writes: [
				[WritePriority.user, 'job', 7],
				[WritePriority.outcome, 'job', 7],
				[WritePriority.outcome, 'x', 1],
			],
			want: ['job x', 'job'],
		},
		{
			name: 'no more changes than a transaction may have',
			writes: [1, 2, 3, 4, 5].map((n): [number, string, number] => [WritePriority.user, `k${n}`, 0]),
			want: ['k1 k2 k3 k4', 'k5'],
		},
	]
	for (const c of cases) {
		const w = writer(() => ({ ok: true, revision: 1 }))
		const log: string[] = []
		for (const [urgency, key, modRevision] of c.writes)
			w.writer.enqueue(write(urgency, key, modRevision, log))
		assert.deepEqual(log, [], 'nothing is settled before submit returns')
		await settle()
		assert.deepEqual(w.sent.map(keys), c.want, c.name)
		assert.equal(log.length, c.writes.length, c.name)
	}
})

test('a stale write fails alone, a needless one is not sent, a raised one goes ahead', async () => {
	const log: string[] = []
	const w = writer((t) =>
		t.conditions.some((c) => c.key === 'stale')
			? { ok: false, failedKeys: ['stale'], revision: 1 }
			: { ok: true, revision: 2 },
	)
	w.writer.enqueue(write(WritePriority.user, 'good', 0, log))
	w.writer.enqueue(write(WritePriority.user, 'stale', 3, log))
	w.writer.enqueue({ ...write(WritePriority.user, 'needless', 0, log), build: () => null })
	await settle()
	assert.deepEqual([...log].sort(), ['good: ok', 'needless: refused', 'stale: conflict'])

	const order = writer(() => ({ ok: true, revision: 1 }))
	const late = write(WritePriority.progress, 'late', 0, log)
	for (let n = 0; n < 4; n++) order.writer.enqueue(write(WritePriority.outcome, `o${n}`, 0, log))
	order.writer.enqueue(late)
	order.writer.raisePriority(late, WritePriority.rental)
	await settle()
	assert.match(keys(order.sent[0]), /^late /)
})

const record = (uid: string, part: number): AcceptedJobRecord => ({
	shardId: part,
	spec: arrayJob(uid),
	acceptedAtMs: 0,
})

test('of two records that accept one job the earlier counts, in whatever order they are read', () => {
	const first = {
		key: `${KEY_PREFIX}intake/z`,
		data: encodeAcceptedBatch([record('job-000001', 1)]),
		modRevision: 5,
	}
	const second = {
		key: `${KEY_PREFIX}intake/a`,
		data: encodeAcceptedBatch([record('job-000001', 2), record('job-000002', 2)]),
		modRevision: 6,
	}
	const own = { key: `${KEY_PREFIX}job/job-000001`, data: { part: 1, final: 'done' }, modRevision: 9 }
	const cases = [
		{ name: 'watched', play: (m: WatchCache) => m.applyEvents(6, [first, second]) },
		{ name: 'read in the order of keys', play: (m: WatchCache) => m.replaceAll(6, [second, first]) },
		{
			name: 'the later one was written while the pages were read',
			play: (m: WatchCache) => {
				m.replaceAll(4, [second])
				m.applyEvents(6, [first, second])
			},
		},
	]
	for (const c of cases) {
		const taken: string[] = []
		let book: JobRegistry | null = null
		const changed: ConstructorParameters<typeof WatchCache>[0] = (key, entry) => {
			if (key.startsWith('intake/'))
				for (const r of book!.onBatchAccepted(entry?.data)) taken.push(`${r.spec!.uid} ${r.shardId}`)
			else book!.onJobRecordChanged(key.slice(4), decodeJobRecord(entry!.data)!)
		}
		const cache = new WatchCache(changed, 1, () => 0)
		book = new JobRegistry(cache)
		c.play(cache)
		assert.deepEqual(taken, ['job-000001 1', 'job-000002 2'], c.name)
		assert.deepEqual(book.get('job-000001'), { record: record('job-000001', 1), modRevision: 0 }, c.name)
		assert.deepEqual([...book.obsoleteEntries()], [], c.name)
		cache.applyEvents(9, [own])
		assert.equal(book.get('job-000001')?.record.finalState, 'done', 'its own key counts once it has one')
		assert.equal(book.get('job-000001')?.modRevision, 9)
		assert.deepEqual(
			[...book.obsoleteEntries()].map(([key]) => key),
			['intake/z'],
			'only what has ended is removed',
		)
		assert.deepEqual(book.onBatchAccepted(second.data), [], 'a late copy is no news')
	}
})

test('questions share reads however often they are asked, and too many requests fail none (incident 9)', async () => {
	const clock = new VirtualClock(1)
	let revision = 1
	const begun: number[] = []
	const client = {
		watch: (): ReturnType<StoreClient['watch']> =>
			Effect.suspend(() => {
				begun.push(clock.nowMs)
				const refused = begun.length % 7 === 0
				return Effect.sleep(4).pipe(
					Effect.andThen(
						refused
							? Effect.fail(new RequestRejected({ status: 429 }))
							: Effect.succeed({ revision, log: [] }),
					),
				)
			}),
	} as unknown as StoreClient
	let answered = 0
	await clock.run(11_000, () => {
		const cache = new WatchCache(
			() => {},
			100,
			() => clock.nowMs,
		)
		cache.revision = 0
		for (let i = 0; i < 1000; i++)
			clock.after(i * 10, () => {
				const asked = clock.nowMs
				revision++
				const due = revision
				const tell = (ok: boolean) => {
					answered++
					assert.ok(ok, 'no question fails')
					assert.ok(cache.revision >= due, 'what was durable before the question is known')
					assert.ok(clock.nowMs - asked < 320, `an answer after ${clock.nowMs - asked} ms`)
				}
				Effect.runFork(cache.linearizableRead(client).pipe(Effect.map(tell)))
			})
	})
	assert.equal(answered, 1000)
	assert.ok(begun.length <= 103, `${begun.length} reads for 1000 questions in 10 s, 100 ms apart at least`)
})
