/** The queue that makes accepted jobs durable: when it reports outcomes, its keys, and proofs of absence. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { JobRecord } from '@heathroad/cluster'
import { DEFAULT_OPERATOR_SETTINGS, deriveLimits } from '@heathroad/config'
import {
	type ControllerContext,
	JobLocator,
	type JobLocatorDependencies,
	type SubmissionOutcome,
	SubmissionQueue,
} from '@heathroad/server'
import { KEY_PREFIX, type QueuedWrite, type TransactionContent, type WriteResult } from '@heathroad/store'
import { arrayJob, plainSettings } from '@heathroad/testkit'
import { Effect } from 'effect'

type LookupResult = 'absent' | 'unsure'

/** Timeout of a search for a job, which no search of these tests reaches. */
const SEARCH_TIMEOUT_MS = 60_000

/** A submission queue whose records, writes and lookups the test controls. */
const createHarness = () => {
	const settings = plainSettings('ctl-0')
	const knownJobs = new Map<string, JobRecord>()
	const queuedWrites: QueuedWrite[] = []
	const revisionWaiters: { revision: number; done: (ok: boolean) => void }[] = []
	const state = { revision: 5, archivalEpoch: 3, provesAbsent: true }
	const pendingLookups: ((result: LookupResult) => void)[] = []
	const entries = new Map<string, { data: unknown; modRevision: number }>()
	const dependencies = {
		config: { settings, ...DEFAULT_OPERATOR_SETTINGS, limits: deriveLimits(settings) },
		now: () => 0,
		membership: { incarnation: 'a' },
		cache: {
			get: (key: string) => entries.get(KEY_PREFIX + key),
			modRevision: (key: string) => (key === 'history' ? state.archivalEpoch : 0),
			get revision() {
				return state.revision
			},
		},
		jobs: {
			get: (uid: string) => (knownJobs.has(uid) ? { record: knownJobs.get(uid), modRevision: 0 } : undefined),
			isObsoleteBatch: (data: unknown) => data !== 'open',
		},
		archive: {
			archivalEpoch: () => state.archivalEpoch,
			searchScope: () => ({ ownKeys: false, hasOmittedStates: false, archive: true }),
			fullReadRevision: () => 1,
			cached: () => undefined,
			provesAbsent: () => state.provesAbsent,
			lookUp: () =>
				Effect.callback((resume) => void pendingLookups.push((result) => resume(Effect.succeed(result)))),
		},
		writeQueue: { enqueue: (write: QueuedWrite) => void queuedWrites.push(write) },
		waitForRevision: (revision: number, done: (ok: boolean) => void) =>
			void revisionWaiters.push({ revision, done }),
		refreshCache: (done: () => void) => done(),
	}
	const jobLocator = new JobLocator(dependencies as unknown as JobLocatorDependencies, SEARCH_TIMEOUT_MS)
	const context = { ...dependencies, jobLocator } as unknown as ControllerContext
	const outcomes: Record<string, SubmissionOutcome> = {}
	const queue = new SubmissionQueue(context)
	const submit = (uid: string) =>
		queue.enqueue({ shardId: 0, spec: arrayJob(uid), acceptedAtMs: 0 }, 3000, (outcome) => {
			outcomes[uid] = outcome
		})
	/** Builds the oldest queued write and completes it with the result; returns its content. */
	const completeWrite = (result: WriteResult): TransactionContent | null => {
		const write = queuedWrites.shift()!
		const content = write.build()
		write.onResult(content === null ? { kind: 'refused' } : result)
		return content
	}
	return {
		submit,
		completeWrite,
		outcomes,
		knownJobs,
		queuedWrites,
		revisionWaiters,
		state,
		pendingLookups,
		entries,
	}
}

const TERMINAL_RECORD: JobRecord = { shardId: 1, finalState: 'done', taskCount: 1 }

/** The key that a batch is written to. */
const keyOf = (content: TransactionContent | null): string => {
	const [mutation] = content!.mutations
	return 'set' in mutation ? mutation.set : ''
}

test('an outcome is reported once every earlier change is known, and reflects the state of the job by then', () => {
	const harness = createHarness()
	for (let number = 1; number <= 5; number++) harness.submit(`job-00000${number}`)
	harness.completeWrite({ kind: 'ok', revision: 7 })
	assert.deepEqual(harness.outcomes, {}, 'no outcome before the earlier changes are known')
	// The records at that revision contain these two jobs as written.
	for (const uid of ['job-000001', 'job-000003'])
		harness.knownJobs.set(uid, { shardId: 0, spec: arrayJob(uid), acceptedAtMs: 0 })
	// Another controller accepted this one earlier, and it is terminal.
	harness.knownJobs.set('job-000002', TERMINAL_RECORD)
	// Another controller accepted this one earlier, and it is still open.
	harness.knownJobs.set('job-000004', { shardId: 1, spec: arrayJob('job-000004'), acceptedAtMs: 5 })
	// The fifth is no longer in memory: it is terminal and archived.
	for (const waiter of harness.revisionWaiters) waiter.done(true)
	assert.deepEqual(harness.outcomes, {
		'job-000001': 'accepted',
		'job-000002': 'unclear',
		'job-000003': 'accepted',
		'job-000004': 'unclear',
		'job-000005': 'unclear',
	})
	assert.equal(harness.revisionWaiters[0].revision, 7)
	harness.submit('job-000006')
	harness.completeWrite({ kind: 'ok', revision: 11 })
	harness.revisionWaiters.at(-1)!.done(false)
	assert.equal(harness.outcomes['job-000006'], 'unclear', 'the cache cannot catch up with the revision')
})

test('the controller overwrites its own obsolete batch once it has received its latest write of that batch', () => {
	const harness = createHarness()
	const submitAndWrite = (uid: string, revision: number) => {
		harness.submit(uid)
		const content = harness.completeWrite({ kind: 'ok', revision })
		return { key: keyOf(content), modRevision: content!.conditions[0].modRevision }
	}
	const first = submitAndWrite('job-000001', 7)
	assert.equal(first.modRevision, 0, 'a new key')
	harness.state.revision = 6
	harness.entries.set(first.key, { data: { jobs: [] }, modRevision: 4 })
	const second = submitAndWrite('job-000002', 8)
	assert.notEqual(second.key, first.key, 'the latest write of the first batch is not in the cache yet')
	harness.state.revision = 8
	harness.entries.set(first.key, { data: 'open', modRevision: 7 })
	const third = submitAndWrite('job-000003', 9)
	assert.ok(
		third.key !== first.key && third.key !== second.key,
		'one batch is not obsolete, the other was removed',
	)
	harness.entries.set(first.key, { data: { jobs: [] }, modRevision: 7 })
	assert.deepEqual(
		submitAndWrite('job-000004', 10),
		{ key: first.key, modRevision: 7 },
		'on condition of its mod revision',
	)
	harness.submit('job-000005')
	const unconfirmedKey = keyOf(harness.completeWrite({ kind: 'unknown' }))
	harness.state.revision = 12
	harness.entries.clear()
	harness.entries.set(unconfirmedKey, { data: { jobs: [] }, modRevision: 11 })
	assert.notEqual(
		submitAndWrite('job-000006', 12).key,
		unconfirmedKey,
		'a batch whose write may still be applied is not overwritten',
	)
})

test('a submission is not written if its job became known while it was queued', () => {
	const harness = createHarness()
	harness.submit('job-000001')
	harness.knownJobs.set('job-000001', TERMINAL_RECORD)
	assert.equal(harness.completeWrite({ kind: 'ok', revision: 7 }), null)
	assert.deepEqual(harness.outcomes, { 'job-000001': 'unclear' })
})

test('a proof of absence is valid for one archival epoch: in the next one the job is searched again before any write', async () => {
	const harness = createHarness()
	harness.state.provesAbsent = false
	harness.submit('job-000001')
	assert.equal(harness.queuedWrites.length, 0, 'the absence is not proven yet')
	harness.pendingLookups.shift()!('absent')
	await Promise.resolve()
	assert.equal(harness.queuedWrites.length, 1)
	harness.state.archivalEpoch = 6
	assert.equal(
		harness.completeWrite({ kind: 'ok', revision: 7 }),
		null,
		'the proof is of the previous archival epoch',
	)
	harness.state.revision = 8
	assert.equal(harness.pendingLookups.length, 1)
	harness.pendingLookups.shift()!('unsure')
	await Promise.resolve()
	assert.deepEqual(harness.outcomes, { 'job-000001': 'refused' })
})
