import assert from 'node:assert/strict'
import { test } from 'node:test'
import { Membership, type MembershipEvents } from '@heathroad/cluster'
import { deriveLimits } from '@heathroad/config'
import { KEY_PREFIX, type StoreClient, WatchCache } from '@heathroad/store'
import { plainSettings } from '@heathroad/testkit'
import type { Condition, HttpClient } from '@heathroad/wire'
import { Effect } from 'effect'

const settings = plainSettings('c-1', ['c-0', 'c-2'])

/** c-1 of three, whose takes go unanswered. */
const member = () => {
	let now = 0
	const takes: (readonly Condition[])[] = []
	const client = {
		grantLease: () => Effect.succeed(7),
		renewLease: () => Effect.void,
		revokeLease: () => Effect.void,
		watch: (revision: number) => Effect.succeed({ revision, log: [] }),
		transact: (conditions: readonly Condition[]) => {
			takes.push(conditions)
			return Effect.never
		},
	} as unknown as StoreClient
	const events: MembershipEvents = {
		onShardAcquired: () => {},
		onShardLost: () => {},
		isQuiescent: () => true,
		unreachableMachines: () => 0,
		localStatus: () => ({
			runningTasks: {},
			ready: true,
			exhaustedOffers: {},
			quarantinedJobs: [],
			ownerLookups: {},
			partitionedShards: [],
			teamUsage: {},
			supportsArchive: false,
		}),
		onPeerStatus: () => {},
		cancellationsSince: () => [],
		applyCancellations: () => {},
		log: () => {},
	}
	const cache = new WatchCache(
		(key) => {
			if (key.startsWith('part/')) m.onShardKeyChanged(Number(key.slice(5)))
		},
		1,
		() => now,
	)
	const caller: HttpClient = { request: () => Effect.never }
	const m: Membership = new Membership(deriveLimits(settings), cache, client, caller, () => now, events)
	/** Time passes as it does for a process that is looked at every quarter of a second, or that stands still. */
	const pass = (ms: number, still = false) => {
		for (const until = now + ms; now < until; ) {
			now += still ? ms : Math.min(250, until - now)
			m.detectStandstill()
		}
	}
	return {
		m,
		mirror: cache,
		client,
		takes,
		pass,
		set: (key: string, data: unknown, modRevision: number) => cache.applyOwnWrite(key, data, modRevision),
	}
}

const owner = (name: string) => ({ owner: name, life: `${name}:x` })

test('when a member promises to leave a part alone', () => {
	const cases: {
		name: string
		play: (w: ReturnType<typeof member>) => void
		token?: number
		want: boolean
	}[] = [
		{
			name: 'it has not reached the state for a while, and knows the part as the asker says',
			play: () => {},
			want: true,
		},
		{ name: 'not if it reaches the state', play: (w) => w.m.onStoreContact(true), want: false },
		{
			name: 'not if it has only just resumed: it heard nothing because it stood still',
			play: (w) => {
				w.m.onStoreContact(true)
				w.pass(8000, true)
			},
			want: false,
		},
		{ name: 'not for a token that it does not know', play: () => {}, token: 8, want: false },
		{
			name: 'not for a part that another member has by now',
			play: (w) => w.set('part/0', owner('c-2'), 12),
			want: false,
		},
	]
	for (const c of cases) {
		const w = member()
		w.set('part/0', owner('c-0'), 9)
		w.pass(20_000)
		c.play(w)
		const answer = w.m.handlePeerRequest('/peer/promise', {
			name: 'c-0',
			owned: { 0: c.token ?? 9 },
			epoch: 9,
		})
		assert.equal((answer as { promised: boolean }).promised, c.want, c.name)
	}
})

test('a take that goes unanswered can no longer be applied once its part had another owner', async () => {
	const w = member()
	w.set('last/0', owner('c-2'), 3)
	w.mirror.revision = 3
	w.pass(20_000)
	await Effect.runPromise(w.mirror.linearizableRead(w.client))
	// With a grant it takes what has been absent for long; then it sleeps until its next extend.
	const keeping = Effect.runFork(w.m.maintainLease())
	await new Promise((done) => setImmediate(done))
	keeping.interruptUnsafe()
	const take = w.takes.find((t) => t.some((c) => c.key === `${KEY_PREFIX}part/0`))
	if (take === undefined) assert.fail('it never tried to take the part')
	// c-0 was quicker: both keys are at 9. c-0 loses the part again: part/0 is absent, as the late take demands.
	const modRevisions: Record<string, number> = { [`${KEY_PREFIX}part/0`]: 0, [`${KEY_PREFIX}last/0`]: 9 }
	assert.ok(
		take.some((c) => c.modRevision !== modRevisions[c.key]),
		'the late take would be applied under a promise',
	)
})

test('a grant that is extended is of no use without the records', async () => {
	const w = member()
	w.mirror.revision = 3
	const keeping = Effect.runFork(w.m.maintainLease())
	await new Promise((done) => setImmediate(done))
	keeping.interruptUnsafe()
	const { maxStalenessMs: staleMs, controllerLeaseMs: grantMs } = deriveLimits(settings)
	const cases: [name: string, passMs: number, read: boolean, right: string][] = [
		['nothing was ever read', 0, false, 'none'],
		['the records were read', 0, true, 'lease'],
		['lately', grantMs * 0.9, false, 'lease'],
	]
	for (const [name, passMs, read, right] of cases) {
		w.pass(passMs)
		if (read) await Effect.runPromise(w.mirror.linearizableRead(w.client))
		assert.equal(w.m.leadership(), right, name)
	}
	// As if the extend went through all the time: nothing else than the records' age ends the right.
	Object.assign(w.m, { leaseValidUntil: Number.POSITIVE_INFINITY })
	w.pass(staleMs - grantMs * 0.9 - 1)
	assert.equal(w.m.leadership(), 'lease', 'just before')
	w.pass(2)
	assert.equal(w.m.leadership(), 'none', 'too long ago')
	await Effect.runPromise(w.mirror.linearizableRead(w.client))
	assert.equal(w.m.leadership(), 'lease', 'read again')
})
