import assert from 'node:assert/strict'
import { test } from 'node:test'
import { Membership, type MembershipEvents } from '@heathroad/cluster'
import { derive } from '@heathroad/config'
import { Mirror, ROOT, type StoreClient } from '@heathroad/store'
import { plainSettings } from '@heathroad/testkit'
import type { Caller, Condition } from '@heathroad/wire'
import { Effect } from 'effect'

const settings = plainSettings('c-1', ['c-0', 'c-2'])

/** c-1 of three, whose takes go unanswered. */
const member = () => {
	let now = 0
	const takes: (readonly Condition[])[] = []
	const client = {
		grant: () => Effect.succeed(7),
		extend: () => Effect.void,
		revoke: () => Effect.void,
		watch: (epoch: number) => Effect.succeed({ epoch, log: [] }),
		txn: (conditions: readonly Condition[]) => {
			takes.push(conditions)
			return Effect.never
		},
	} as unknown as StoreClient
	const events: MembershipEvents = {
		took: () => {},
		lost: () => {},
		quiet: () => true,
		unheard: () => 0,
		news: () => ({
			running: {},
			ready: true,
			empty: {},
			suspect: [],
			sought: {},
			stranded: [],
			used: {},
			history: false,
		}),
		heard: () => {},
		cancelled: () => [],
		applyCancelled: () => {},
		log: () => {},
	}
	const mirror = new Mirror(
		(key) => {
			if (key.startsWith('part/')) m.partChanged(Number(key.slice(5)))
		},
		1,
		() => now,
	)
	const caller: Caller = { call: () => Effect.never }
	const m: Membership = new Membership(derive(settings), mirror, client, caller, () => now, events)
	/** Time passes as it does for a process that is looked at every quarter of a second, or that stands still. */
	const pass = (ms: number, still = false) => {
		for (const until = now + ms; now < until; ) {
			now += still ? ms : Math.min(250, until - now)
			m.pulse()
		}
	}
	return {
		m,
		mirror,
		client,
		takes,
		pass,
		set: (key: string, data: unknown, stamp: number) => mirror.wrote(key, data, stamp),
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
		{ name: 'not if it reaches the state', play: (w) => w.m.stateHeard(true), want: false },
		{
			name: 'not if it has only just resumed: it heard nothing because it stood still',
			play: (w) => {
				w.m.stateHeard(true)
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
		const answer = w.m.answer('/peer/promise', { name: 'c-0', owned: { 0: c.token ?? 9 }, epoch: 9 })
		assert.equal((answer as { promised: boolean }).promised, c.want, c.name)
	}
})

test('a take that goes unanswered can no longer be applied once its part had another owner', async () => {
	const w = member()
	w.set('last/0', owner('c-2'), 3)
	w.mirror.epoch = 3
	w.pass(20_000)
	await Effect.runPromise(w.mirror.fresh(w.client))
	// With a grant it takes what has been absent for long; then it sleeps until its next extend.
	const keeping = Effect.runFork(w.m.keepGrant())
	await new Promise((done) => setImmediate(done))
	keeping.interruptUnsafe()
	const take = w.takes.find((t) => t.some((c) => c.key === `${ROOT}part/0`))
	if (take === undefined) assert.fail('it never tried to take the part')
	// c-0 was quicker: both keys are at 9. c-0 loses the part again: part/0 is absent, as the late take demands.
	const stamps: Record<string, number> = { [`${ROOT}part/0`]: 0, [`${ROOT}last/0`]: 9 }
	assert.ok(
		take.some((c) => c.stamp !== stamps[c.key]),
		'the late take would be applied under a promise',
	)
})

test('a grant that is extended is of no use without the records', async () => {
	const w = member()
	w.mirror.epoch = 3
	const keeping = Effect.runFork(w.m.keepGrant())
	await new Promise((done) => setImmediate(done))
	keeping.interruptUnsafe()
	const { staleMs, grantMs } = derive(settings)
	const cases: [name: string, passMs: number, read: boolean, right: string][] = [
		['nothing was ever read', 0, false, 'none'],
		['the records were read', 0, true, 'grant'],
		['lately', grantMs * 0.9, false, 'grant'],
	]
	for (const [name, passMs, read, right] of cases) {
		w.pass(passMs)
		if (read) await Effect.runPromise(w.mirror.fresh(w.client))
		assert.equal(w.m.right(), right, name)
	}
	// As if the extend went through all the time: nothing else than the records' age ends the right.
	Object.assign(w.m, { rightUntil: Number.POSITIVE_INFINITY })
	w.pass(staleMs - grantMs * 0.9 - 1)
	assert.equal(w.m.right(), 'grant', 'just before')
	w.pass(2)
	assert.equal(w.m.right(), 'none', 'too long ago')
	await Effect.runPromise(w.mirror.fresh(w.client))
	assert.equal(w.m.right(), 'grant', 'read again')
})
