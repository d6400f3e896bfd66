import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { JobRecord } from '@heathroad/cluster'
import { DEFAULTS, derive } from '@heathroad/config'
import { type Acceptance, type Core, Intake } from '@heathroad/server'
import { ROOT, type Write, type WriteResult } from '@heathroad/store'
import { plainSettings, sweep } from '@heathroad/testkit'
import { Effect } from 'effect'

/** An intake over records that the test holds. */
const bench = () => {
	const settings = plainSettings('ctl-0')
	const known = new Map<string, JobRecord>()
	const writes: Write[] = []
	const seen: { epoch: number; done: (ok: boolean) => void }[] = []
	const at = { epoch: 5, turn: 3, proves: true }
	const found: ((f: 'absent' | 'unsure') => void)[] = []
	const entries = new Map<string, { data: unknown; stamp: number }>()
	const core = {
		config: { settings, ...DEFAULTS, derived: derive(settings) },
		now: () => 0,
		members: { life: 'a' },
		mirror: {
			get: (key: string) => entries.get(ROOT + key),
			stamp: (key: string) => (key === 'history' ? at.turn : 0),
			get epoch() {
				return at.epoch
			},
		},
		jobs: {
			get: (uid: string) => (known.has(uid) ? { record: known.get(uid), stamp: 0 } : undefined),
			isSpent: (data: unknown) => data !== 'open',
		},
		history: {
			turn: () => at.turn,
			proves: () => at.proves,
			find: () => Effect.callback((resume) => void found.push((f) => resume(Effect.succeed(f)))),
		},
		writer: { submit: (w: Write) => void writes.push(w) },
		whenSeen: (epoch: number, done: (ok: boolean) => void) => void seen.push({ epoch, done }),
		refresh: (done: () => void) => done(),
	} as unknown as Core
	const told: Record<string, Acceptance> = {}
	const intake = new Intake(core)
	const accept = (uid: string) =>
		intake.accept({ part: 0, spec: sweep(uid), at: 0 }, 3000, (how) => {
			told[uid] = how
		})
	/** the write under way has its turn, and this result */
	const write = (result: WriteResult) => {
		const w = writes.shift()!
		const content = w.build()
		w.done(content === null ? { kind: 'refused' } : result)
		return content
	}
	return { accept, write, told, known, writes, seen, at, found, entries }
}
const OVER: JobRecord = { part: 1, final: 'done', tasks: 1 }

test('an acceptance is told once all that came before it is known, and as what the job is by then', () => {
	const b = bench()
	for (let n = 1; n <= 5; n++) b.accept(`job-00000${n}`)
	b.write({ kind: 'ok', epoch: 7 })
	assert.deepEqual(b.told, {}, 'not before')
	// The records up to there hold what was written.
	for (const uid of ['job-000001', 'job-000003']) b.known.set(uid, { part: 0, spec: sweep(uid), at: 0 })
	// Another controller accepted it too, earlier, and it has ended.
	b.known.set('job-000002', OVER)
	// The same, and it has not: it was known already.
	b.known.set('job-000004', { part: 1, spec: sweep('job-000004'), at: 5 })
	// The fifth has left memory: it is over, and archived.
	for (const s of b.seen) s.done(true)
	assert.deepEqual(b.told, {
		'job-000001': 'accepted',
		'job-000002': 'unclear',
		'job-000003': 'accepted',
		'job-000004': 'unclear',
		'job-000005': 'unclear',
	})
	assert.equal(b.seen[0].epoch, 7)
	b.accept('job-000006')
	b.write({ kind: 'ok', epoch: 11 })
	b.seen.at(-1)!.done(false)
	assert.equal(b.told['job-000006'], 'unclear', 'the records cannot be followed')
})

test('a record of ours that says nothing any more is written over, once it is seen as it was written last', () => {
	const b = bench()
	const keyOf = (content: ReturnType<typeof b.write>) => {
		const [change] = content!.changes
		return 'set' in change ? change.set : ''
	}
	const next = (uid: string, epoch: number) => {
		b.accept(uid)
		const content = b.write({ kind: 'ok', epoch })
		return { key: keyOf(content), stamp: content!.conditions[0].stamp }
	}
	const first = next('job-000001', 7)
	assert.equal(first.stamp, 0, 'a new name')
	b.at.epoch = 6
	b.entries.set(first.key, { data: { jobs: [] }, stamp: 4 })
	const second = next('job-000002', 8)
	assert.notEqual(second.key, first.key, 'our last change of it is not seen yet')
	b.at.epoch = 8
	b.entries.set(first.key, { data: 'open', stamp: 7 })
	const third = next('job-000003', 9)
	assert.ok(third.key !== first.key && third.key !== second.key, 'one says something, one was removed')
	b.entries.set(first.key, { data: { jobs: [] }, stamp: 7 })
	assert.deepEqual(next('job-000004', 10), { key: first.key, stamp: 7 }, 'on condition of its revision')
	b.accept('job-000005')
	const unsure = keyOf(b.write({ kind: 'unknown' }))
	b.at.epoch = 12
	b.entries.clear()
	b.entries.set(unsure, { data: { jobs: [] }, stamp: 11 })
	assert.notEqual(next('job-000006', 12).key, unsure, 'nothing is written over what may yet be applied')
})

test('what became known while it waited is not written again', () => {
	const b = bench()
	b.accept('job-000001')
	b.known.set('job-000001', OVER)
	assert.equal(b.write({ kind: 'ok', epoch: 7 }), null)
	assert.deepEqual(b.told, { 'job-000001': 'unclear' })
})

test('a proof counts for its turn: after the next one it is made again before anything is written', async () => {
	const b = bench()
	b.at.proves = false
	b.accept('job-000001')
	assert.equal(b.writes.length, 0, 'not proven')
	b.found.shift()!('absent')
	await Promise.resolve()
	assert.equal(b.writes.length, 1)
	b.at.turn = 6
	assert.equal(b.write({ kind: 'ok', epoch: 7 }), null, 'the proof is of the turn before')
	b.at.epoch = 8
	assert.equal(b.found.length, 1)
	b.found.shift()!('unsure')
	await Promise.resolve()
	assert.deepEqual(b.told, { 'job-000001': 'refused' })
})
