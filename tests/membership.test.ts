/** Takeover promises, acquisitions that the state service applies late, and leadership with outdated records. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { Membership, type MembershipEvents } from '@heathroad/cluster'
import { deriveLimits } from '@heathroad/config'
import { KEY_PREFIX, type StoreClient, WatchCache } from '@heathroad/store'
import { plainSettings } from '@heathroad/testkit'
import type { Condition, HttpClient } from '@heathroad/wire'
import { Effect } from 'effect'

const settings = plainSettings('c-1', ['c-0', 'c-2'])

/** Interval between calls of `detectStandstill`. */
const TICK_MS = 250

const noEvents: MembershipEvents = {
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

/** Creates the membership of c-1, one of three controllers, whose transactions are never answered. */
const createMember = () => {
	let now = 0
	const transactions: (readonly Condition[])[] = []
	const client = {
		grantLease: () => Effect.succeed(7),
		renewLease: () => Effect.void,
		revokeLease: () => Effect.void,
		watch: (revision: number) => Effect.succeed({ revision, log: [] }),
		transact: (conditions: readonly Condition[]) => {
			transactions.push(conditions)
			return Effect.never
		},
	} as unknown as StoreClient
	const cache = new WatchCache(
		(key) => {
			if (key.startsWith('part/')) membership.onShardKeyChanged(Number(key.slice('part/'.length)))
		},
		1,
		() => now,
	)
	const httpClient: HttpClient = { request: () => Effect.never }
	const limits = deriveLimits(settings)
	const membership: Membership = new Membership(limits, cache, client, httpClient, () => now, noEvents)
	/** Advances the clock with regular ticks, or with a single tick after a standstill. */
	const advance = (ms: number, { standstill } = { standstill: false }) => {
		for (const until = now + ms; now < until; ) {
			now += standstill ? ms : Math.min(TICK_MS, until - now)
			membership.detectStandstill()
		}
	}
	const set = (key: string, data: unknown, modRevision: number) => cache.applyOwnWrite(key, data, modRevision)
	return { membership, cache, client, transactions, advance, set }
}

const ownerRecord = (name: string) => ({ owner: name, life: `${name}:x` })

test('when a member promises not to take over a shard', () => {
	const cases: {
		name: string
		arrange: (member: ReturnType<typeof createMember>) => void
		fencingToken?: number
		promises: boolean
	}[] = [
		{
			name: 'it has not reached the state service for a while, and its record of the shard matches the request',
			arrange: () => {},
			promises: true,
		},
		{
			name: 'not if it reaches the state service',
			arrange: (member) => member.membership.onStoreContact(true),
			promises: false,
		},
		{
			name: 'not if it has just resumed: it received nothing because of its own standstill',
			arrange: (member) => {
				member.membership.onStoreContact(true)
				member.advance(8000, { standstill: true })
			},
			promises: false,
		},
		{
			name: 'not for a fencing token other than the one on record',
			arrange: () => {},
			fencingToken: 8,
			promises: false,
		},
		{
			name: 'not for a shard that another member owns now',
			arrange: (member) => member.set('part/0', ownerRecord('c-2'), 12),
			promises: false,
		},
	]
	for (const { name, arrange, fencingToken, promises } of cases) {
		const member = createMember()
		member.set('part/0', ownerRecord('c-0'), 9)
		member.advance(20_000)
		arrange(member)
		const answer = member.membership.handlePeerRequest('/peer/promise', {
			name: 'c-0',
			owned: { 0: fencingToken ?? 9 },
			epoch: 9,
		})
		assert.equal((answer as { promised: boolean }).promised, promises, name)
	}
})

/** Obtains the controller lease, and interrupts the fiber while it sleeps until the renewal. */
const grantLease = async (membership: Membership) => {
	const fiber = Effect.runFork(membership.maintainLease())
	await new Promise((done) => setImmediate(done))
	fiber.interruptUnsafe()
}

test('an unanswered acquisition can no longer be applied once the shard has had another owner', async () => {
	const member = createMember()
	member.set('last/0', ownerRecord('c-2'), 3)
	member.cache.revision = 3
	member.advance(20_000)
	await Effect.runPromise(member.cache.linearizableRead(member.client))
	// With a lease, the member acquires a shard that has long been unowned.
	await grantLease(member.membership)
	const acquisition = member.transactions.find((conditions) =>
		conditions.some(({ key }) => key === `${KEY_PREFIX}part/0`),
	)
	if (acquisition === undefined) assert.fail('the member did not try to acquire the shard')
	// c-0 acquires the shard first, which sets both keys at revision 9, and loses it again: part/0 is absent, as the
	// late acquisition requires.
	const modRevisions: Record<string, number> = { [`${KEY_PREFIX}part/0`]: 0, [`${KEY_PREFIX}last/0`]: 9 }
	assert.ok(
		acquisition.some(({ key, modRevision }) => modRevision !== modRevisions[key]),
		'the late acquisition would be applied under a promise',
	)
})

test('a renewed lease gives no leadership without up-to-date records', async () => {
	const member = createMember()
	member.cache.revision = 3
	await grantLease(member.membership)
	const { maxStalenessMs, controllerLeaseMs } = deriveLimits(settings)
	const cases: [name: string, passedMs: number, read: boolean, leadership: string][] = [
		['the records were never read', 0, false, 'none'],
		['the records were just read', 0, true, 'lease'],
		['the records were read recently', controllerLeaseMs * 0.9, false, 'lease'],
	]
	for (const [name, passedMs, read, leadership] of cases) {
		member.advance(passedMs)
		if (read) await Effect.runPromise(member.cache.linearizableRead(member.client))
		assert.equal(member.membership.leadership(), leadership, name)
	}
	// As if every renewal succeeded: only the age of the records can end the leadership.
	Object.assign(member.membership.lease, { validUntil: Number.POSITIVE_INFINITY })
	member.advance(maxStalenessMs - controllerLeaseMs * 0.9 - 1)
	assert.equal(member.membership.leadership(), 'lease', 'the records are barely recent enough')
	member.advance(2)
	assert.equal(member.membership.leadership(), 'none', 'the records are outdated')
	await Effect.runPromise(member.cache.linearizableRead(member.client))
	assert.equal(member.membership.leadership(), 'lease', 'the records were read again')
})
