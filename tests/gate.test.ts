import assert from 'node:assert/strict'
import { test } from 'node:test'
import { type JobRecord, release, releasedKey } from '@heathroad/cluster'
import { DEFAULTS, derive } from '@heathroad/config'
import { type Checks, Part, type Ports, type Verdict } from '@heathroad/controller'
import { idlePorts, plainSettings, sweep } from '@heathroad/testkit'

interface Scene {
	part: Part
	ports: Ports
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
	const config = { settings, ...DEFAULTS, derived: derive(settings) }
	const jobs = new Map<string, { record: JobRecord; stamp: number }>()
	const keys = new Map<string, { data: unknown; stamp: number }>()
	const released = new Set<string>()
	const checks: Checks = {
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
		wallClock: () => 1_700_000_000_000 + s.nowMs,
		entry: (key) => keys.get(key),
		job: (uid) => jobs.get(uid),
		checks: () => checks,
		heldBack: (uid, record) => (record.checks?.length ?? 0) > 0 && !released.has(uid),
		marked: () => true,
		openJobs: () => jobs.keys(),
		wrote: (key, data, stamp) => {
			keys.set(key, { data, stamp })
			const { uids } = data as { uids: string[] }
			s.written.push(uids)
			for (const uid of uids) released.add(uid)
			s.part.released(uids)
		},
		write: (w) => {
			const content = w.build()
			w.done(content === null ? { kind: 'refused' } : { kind: 'ok', epoch: 9 })
			return { ...w, until: 0 }
		},
	})
	const ports = new Proxy(plain, {
		get: (target, name) => {
			const f = target[name as keyof Ports]
			if (typeof f !== 'function') return f
			return (...args: unknown[]) => {
				s.calls++
				return (f as (...all: unknown[]) => unknown)(...args)
			}
		},
	})
	const s: Scene = {
		part: undefined as unknown as Part,
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
				const spec = sweep(`job-${String(i).padStart(6, '0')}`, { tasks: 2 })
				const record = { part: 0, spec, at: 1_700_000_000_000 + s.nowMs, checks: list }
				jobs.set(spec.uid, { record, stamp: 0 })
				s.part.jobChanged(spec.uid, record)
			}
		},
	}
	s.part = new Part(0, 3, config, ports)
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
		assert.equal(s.part.heldJobs, held)
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
	assert.equal(s.part.heldJobs, 0)
	assert.equal(s.part.jobs.size, 200)
})

test('one question for a class: hundreds of jobs, a few questions', () => {
	const s = scene((_uid, asked) => (asked < 6 ? hold(5) : { kind: 'release' }), true)
	for (let i = 0; i < 10; i++) {
		s.add(50, i * 50, ['one'])
		s.pass(500)
	}
	s.pass(40_000)
	assert.equal(s.part.heldJobs, 0)
	assert.ok(s.asked.length < 25, `${s.asked.length} questions`)
})

test('a job waits for all its checks, and every job is marked once', () => {
	const s = scene((uid, asked) => (Number(uid.slice(-1)) > asked ? hold(1) : { kind: 'release' }))
	s.add(100, 0, ['one', 'two'])
	s.pass(60_000)
	assert.equal(s.part.heldJobs, 0)
	const last = s.written.at(-1)!
	assert.equal(new Set(last).size, 100)
	assert.equal(last.length, 100)
})

test('marks share pages: those that stay, then new ones, as many as fit', () => {
	const uid = (i: number) => `job-${String(i).padStart(6, '0')}`
	const uids = (from: number, to: number) => Array.from({ length: to - from }, (_, i) => uid(from + i))
	const page = (n: number, list: string[], stamp: number) =>
		[releasedKey(0, n), { data: { uids: list }, stamp }] as const
	const known = (...pages: ReturnType<typeof page>[]) => {
		const map = new Map<string, { data: unknown; stamp: number }>(pages)
		return { get: (key: string) => map.get(key), stamp: (key: string) => map.get(key)?.stamp ?? 0 }
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
		const { content, taken } = release(known(...pages), 0, uids(0, n), () => stays, limits)
		const sizes = content.changes.map((c) => ('set' in c ? (c.data as { uids: string[] }).uids.length : 0))
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
		assert.equal(content.conditions.length, content.changes.length, name)
	}
})
