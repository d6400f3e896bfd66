import assert from 'node:assert/strict'
import { test } from 'node:test'
import { type JobRecord, markReleased, releasePageKey } from '@heathroad/cluster'
import { DEFAULT_OPERATOR_SETTINGS, deriveLimits } from '@heathroad/config'
import { type AdmissionChecks, Shard, type ShardPorts, type Verdict } from '@heathroad/controller'
import { arrayJob, idlePorts, plainSettings } from '@heathroad/testkit'

interface Scene {
	part: Shard
	ports: ShardPorts
	nowMs: number
	/** calls of the part to its ports, all of them */
	calls: number
	asked: string[]
	written: string[][]
	pass(ms: number): void
	add(n: number, from: number, checks: readonly string[]): void
}

/** One part alone, with everything it uses counted. `answer`: what a check says of a job. */
const scene = (answer: (uid: string, asked: number) => Verdict, grouped = false): Scene => {
	const settings = plainSettings('a')
	const config = { settings, ...DEFAULT_OPERATOR_SETTINGS, limits: deriveLimits(settings) }
	const jobs = new Map<string, { record: JobRecord; modRevision: number }>()
	const keys = new Map<string, { data: unknown; modRevision: number }>()
	const released = new Set<string>()
	const checks: AdmissionChecks = {
		required: () => [],
		admit: (_spec, done) => done(null, []),
		terms: () => ({ atMostMs: 600_000, whenUnsure: 'hold', grouped }),
		ask: (_name, spec, seen, done) => {
			s.asked.push(spec.uid)
			done(answer(spec.uid, seen.asked))
		},
	}
	const plain = idlePorts({
		now: () => s.nowMs,
		wallClockMs: () => 1_700_000_000_000 + s.nowMs,
		entry: (key) => keys.get(key),
		job: (uid) => jobs.get(uid),
		checks: () => checks,
		isPendingRelease: (uid, record) => (record.requiredChecks?.length ?? 0) > 0 && !released.has(uid),
		keepsReleaseMark: () => true,
		openJobs: () => jobs.keys(),
		applyOwnWrite: (key, data, modRevision) => {
			keys.set(key, { data, modRevision })
			const { uids } = data as { uids: string[] }
			s.written.push(uids)
			for (const uid of uids) released.add(uid)
			s.part.onJobsReleased(uids)
		},
		enqueueWrite: (w) => {
			const content = w.build()
			w.onResult(content === null ? { kind: 'refused' } : { kind: 'ok', revision: 9 })
			return { ...w, deadline: 0 }
		},
	})
	const ports = new Proxy(plain, {
		get: (target, name) => {
			const f = target[name as keyof ShardPorts]
			if (typeof f !== 'function') return f
			return (...args: unknown[]) => {
				s.calls++
				return (f as (...all: unknown[]) => unknown)(...args)
			}
		},
	})
	const s: Scene = {
		part: undefined as unknown as Shard,
		ports,
		nowMs: 0,
		calls: 0,
		asked: [],
		written: [],
		pass: (ms) => {
			for (let t = 0; t < ms; t += 250) {
				s.nowMs += 250
				s.part.tick()
			}
		},
		add: (n, from, list) => {
			for (let i = from; i < from + n; i++) {
				const spec = arrayJob(`job-${String(i).padStart(6, '0')}`, { tasks: 2 })
				const record = { shardId: 0, spec, acceptedAtMs: 1_700_000_000_000 + s.nowMs, requiredChecks: list }
				jobs.set(spec.uid, { record, modRevision: 0 })
				s.part.onJobChanged(spec.uid, record)
			}
		},
	}
	s.part = new Shard(0, 3, config, ports)
	return s
}

const hold = (againS: number): Verdict => ({ kind: 'hold', why: 'not yet', againMs: againS * 1000 })

test('held jobs cost nothing per planning round: 5,000 of them, and none', () => {
	const count = (held: number) => {
		const s = scene(() => hold(600))
		s.add(30, 0, [])
		s.add(held, 1000, ['one'])
		s.pass(1000)
		s.calls = 0
		s.pass(10_000)
		assert.equal(s.part.pendingReleaseCount, held)
		assert.equal(s.part.jobs.size, 30)
		return s.calls
	}
	assert.equal(count(5000), count(0))
})

test('questions are paced by what the check says, and asked in the order in which they are due', () => {
	const s = scene((_uid, asked) => (asked < 3 ? hold(5) : { kind: 'release' }))
	s.add(200, 0, ['one'])
	s.pass(30_000)
	assert.equal(s.asked.length, 800, 'four times each')
	assert.equal(s.part.pendingReleaseCount, 0)
	assert.equal(s.part.jobs.size, 200)
})

test('one question for a class: hundreds of jobs, a few questions', () => {
	const s = scene((_uid, asked) => (asked < 6 ? hold(5) : { kind: 'release' }), true)
	for (let i = 0; i < 10; i++) {
		s.add(50, i * 50, ['one'])
		s.pass(500)
	}
	s.pass(40_000)
	assert.equal(s.part.pendingReleaseCount, 0)
	assert.ok(s.asked.length < 25, `${s.asked.length} questions`)
})

test('a job waits for all its checks, and every job is marked once', () => {
	const s = scene((uid, asked) => (Number(uid.slice(-1)) > asked ? hold(1) : { kind: 'release' }))
	s.add(100, 0, ['one', 'two'])
	s.pass(60_000)
	assert.equal(s.part.pendingReleaseCount, 0)
	const last = s.written.at(-1)!
	assert.equal(new Set(last).size, 100)
	assert.equal(last.length, 100)
})

test('marks share pages: those that stay, then new ones, as many as fit', () => {
	const uid = (i: number) => `job-${String(i).padStart(6, '0')}`
	const uids = (from: number, to: number) => Array.from({ length: to - from }, (_, i) => uid(from + i))
	const page = (n: number, list: string[], modRevision: number) =>
		[releasePageKey(0, n), { data: { uids: list }, modRevision }] as const
	const known = (...pages: ReturnType<typeof page>[]) => {
		const map = new Map<string, { data: unknown; modRevision: number }>(pages)
		return {
			get: (key: string) => map.get(key),
			modRevision: (key: string) => map.get(key)?.modRevision ?? 0,
		}
	}
	const limits = { room: 16 + 9 * 13 + 5, ops: 3 }
	const rows: [
		name: string,
		pages: ReturnType<typeof page>[],
		stays: boolean,
		n: number,
		want: number[][],
	][] = [
		['a first page', [], true, 4, [[0, 4]]],
		['beside those that stay', [page(0, uids(50, 56), 7)], true, 3, [[6, 3]]],
		['instead of those that need not', [page(0, uids(50, 59), 7)], false, 3, [[0, 3]]],
		['on the next page when one is full', [page(0, uids(50, 59), 7)], true, 3, [[0, 3]]],
		[
			'on as many pages as one change may touch',
			[],
			true,
			60,
			[
				[0, 9],
				[0, 9],
				[0, 9],
			],
		],
	]
	for (const [name, pages, stays, n, want] of rows) {
		const { content, taken } = markReleased(known(...pages), 0, uids(0, n), () => stays, limits)
		const sizes = content.mutations.map((c) => ('set' in c ? (c.data as { uids: string[] }).uids.length : 0))
		assert.deepEqual(
			sizes,
			want.map(([kept, fresh]) => kept + fresh),
			name,
		)
		assert.equal(
			taken.length,
			Math.min(
				n,
				want.reduce((sum, [, fresh]) => sum + fresh, 0),
			),
			name,
		)
		assert.equal(content.conditions.length, content.mutations.length, name)
	}
})
