import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { JobRecord } from '@heathroad/cluster'
import { DEFAULT_OPERATOR_SETTINGS, deriveLimits } from '@heathroad/config'
import { type ControllerContext, type SubmissionOutcome, SubmissionQueue } from '@heathroad/server'
import { KEY_PREFIX, type QueuedWrite, type WriteResult } from '@heathroad/store'
import { arrayJob, plainSettings } from '@heathroad/testkit'
import { Effect } from 'effect'

/** An intake over records that the test holds. */
const bench = () => {
	const settings = plainSettings('ctl-0')
	const known = new Map<string, JobRecord>()
	const writes: QueuedWrite[] = []
	const seen: { revision: number; done: (ok: boolean) => void }[] = []
	const at = { revision: 5, turn: 3, proves: true }
	const found: ((f: 'absent' | 'unsure') => void)[] = []
	const entries = new Map<string, { data: unknown; modRevision: number }>()
	const core = {
		config: { settings, ...DEFAULT_OPERATOR_SETTINGS, limits: deriveLimits(settings) },
		now: () => 0,
		membership: { incarnation: 'a' },
		cache: {
			get: (key: string) => entries.get(KEY_PREFIX + key),
			modRevision: (key: string) => (key === 'history' ? at.turn : 0),
			get revision() {
				return at.revision
			},
		},
		jobs: {
			get: (uid: string) => (known.has(uid) ? { record: known.get(uid), modRevision: 0 } : undefined),
			isObsoleteBatch: (data: unknown) => data !== 'open',
		},
		archive: {
			archivalEpoch: () => at.turn,
			provesAbsent: () => at.proves,
			lookUp: () => Effect.callback((resume) => void found.push((f) => resume(Effect.succeed(f)))),
		},
		writeQueue: { enqueue: (w: QueuedWrite) => void writes.push(w) },
		waitForRevision: (revision: number, done: (ok: boolean) => void) => void seen.push({ revision, done }),
		refreshCache: (done: () => void) => done(),
	} as unknown as ControllerContext
	const told: Record<string, SubmissionOutcome> = {}
	const intake = new SubmissionQueue(core)
	const accept = (uid: string) =>
		intake.enqueue({ shardId: 0, spec: arrayJob(uid), acceptedAtMs: 0 }, 3000, (how) => {
			told[uid] = how
		})
	/** the write under way has its turn, and this result */
	const write = (result: WriteResult) => {
		const w = writes.shift()!
		const content = w.build()
		w.onResult(content === null ? { kind: 'refused' } : result)
		return content
	}
	return { accept, write, told, known, writes, seen, at, found, entries }
}
const OVER: JobRecord = { shardId: 1, finalState: 'done', taskCount: 1 }

test('an acceptance is told once all that came before it is known, and as what the job is by then', () => {
	const b = bench()
	for (let n = 1; n <= 5; n++) b.accept(`job-00000${n}`)
	b.write({ kind: 'ok', revision: 7 })
	assert.deepEqual(b.told, {}, 'not before')
	// The records up to there hold what was written.
	for (const uid of ['job-000001', 'job-000003'])
		b.known.set(uid, { shardId: 0, spec: arrayJob(uid), acceptedAtMs: 0 })
	// Another controller accepted it too, earlier, and it has ended.
	b.known.set('job-000002', OVER)
	// The same, and it has not: it was known already.
	b.known.set('job-000004', { shardId: 1, spec: arrayJob('job-000004'), acceptedAtMs: 5 })
	// The fifth has left memory: it is over, and archived.
	for (const s of b.seen) s.done(true)
	assert.deepEqual(b.told, {
		'job-000001': 'accepted',
		'job-000002': 'unclear',
		'job-000003': 'accepted',
		'job-000004': 'unclear',
		'job-000005': 'unclear',
	})
	assert.equal(b.seen[0].revision, 7)
	b.accept('job-000006')
	b.write({ kind: 'ok', revision: 11 })
	b.seen.at(-1)!.done(false)
	assert.equal(b.told['job-000006'], 'unclear', 'the records cannot be followed')
})

test('a record of ours that says nothing any more is written over, once it is seen as it was written last', () => {
	const b = bench()
	const keyOf = (content: ReturnType<typeof b.write>) => {
		const [change] = content!.mutations
		return 'set' in change ? change.set : ''
	}
	const next = (uid: string, revision: number) => {
		b.accept(uid)
		const content = b.write({ kind: 'ok', revision })
		return { key: keyOf(content), modRevision: content!.conditions[0].modRevision }
	}
	const first = next('job-000001', 7)
	assert.equal(first.modRevision, 0, 'a new name')
	b.at.revision = 6
	b.entries.set(first.key, { data: { jobs: [] }, modRevision: 4 })
	const second = next('job-000002', 8)
	assert.notEqual(second.key, first.key, 'our last change of it is not seen yet')
	b.at.revision = 8
	b.entries.set(first.key, { data: 'open', modRevision: 7 })
	const third = next('job-000003', 9)
	assert.ok(third.key !== first.key && third.key !== second.key, 'one says something, one was removed')
	b.entries.set(first.key, { data: { jobs: [] }, modRevision: 7 })
	assert.deepEqual(next('job-000004', 10), { key: first.key, modRevision: 7 }, 'on condition of its revision')
	b.accept('job-000005')
	const unsure = keyOf(b.write({ kind: 'unknown' }))
	b.at.revision = 12
	b.entries.clear()
	b.entries.set(unsure, { data: { jobs: [] }, modRevision: 11 })
	assert.notEqual(next('job-000006', 12).key, unsure, 'nothing is written over what may yet be applied')
})

test('what became known while it waited is not written again', () => {
	const b = bench()
	b.accept('job-000001')
	b.known.set('job-000001', OVER)
	assert.equal(b.write({ kind: 'ok', revision: 7 }), null)
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
	assert.equal(b.write({ kind: 'ok', revision: 7 }), null, 'the proof is of the turn before')
	b.at.revision = 8
	assert.equal(b.found.length, 1)
	b.found.shift()!('unsure')
	await Promise.resolve()
	assert.deepEqual(b.told, { 'job-000001': 'refused' })
})
