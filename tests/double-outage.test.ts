import assert from 'node:assert/strict'
import { test } from 'node:test'
import {
	CancellationLog,
	decodeCancellations,
	decodeJobRecord,
	decodePromiseRequest,
	encodeCancellations,
	JobRegistry,
} from '@heathroad/cluster'
import { deriveLimits, parseSettings } from '@heathroad/config'
import { WatchCache } from '@heathroad/store'
import { arrayJob, type DoubleOutage, doubleOutageDay, plainSettings, Simulation } from '@heathroad/testkit'

const five = { controllers: 5, report: { reportS: 4, leaseS: 26, cancelS: 46 } }
const still = { atS: -0.6, kind: 'freeze', who: [0], forS: 50 } as const

const cases: { name: string; outage: Partial<DoubleOutage>; seed: number }[] = [
	{ name: 'as it was met', outage: {}, seed: 1 },
	{ name: 'refused long before the outage', outage: { beforeS: 30, outageS: 60 }, seed: 2 },
	{ name: 'an outage shorter than a cancellation may take', outage: { beforeS: 4, outageS: 20 }, seed: 3 },
	{
		name: 'two refused in turn, one of five left',
		outage: { ...five, refused: [0, 3], apartS: 3, beforeS: 4 },
		seed: 4,
	},
	{
		name: 'the others end right after they confirmed, and are back at once',
		outage: { more: [1, 2].map((i) => ({ atS: -0.5, kind: 'crash', who: [i], forS: 0.3 })) },
		seed: 5,
	},
	{
		name: 'peers cut as well',
		outage: { more: [{ atS: -1, kind: 'cut', who: [1], from: 'peers', forS: 30 }] },
		seed: 6,
	},
	// Its workers' leases run out meanwhile; it would start the tasks anew.
	{
		name: 'the old leader stands still meanwhile',
		outage: { outageS: 110, beforeS: 3, more: [still] },
		seed: 1,
	},
	{
		name: 'the same, first form',
		outage: { outageS: 110, beforeS: 3, archives: false, more: [still] },
		seed: 1,
	},
	{
		name: 'a leader whose grant is extended while it hears of no change',
		outage: { outageS: 0, refused: [], more: [{ atS: -20, kind: 'watchLost', who: [0], forS: 90 }] },
		seed: 7,
	},
	{
		name: 'only a leader without state and peers is reached by the workers, and no machine can be returned',
		outage: {
			outageS: 0,
			refused: [],
			more: [
				{ atS: -2, kind: 'cut', who: [0], from: ['state', 'peers'], forS: 80 },
				{ atS: -2, kind: 'cut', who: [1, 2], from: 'workers', forS: 80 },
				{ atS: -2, kind: 'cloudDown', forS: 80 },
			],
		},
		seed: 9,
	},
]

for (const { name, outage, seed } of cases)
	test(`double outage: ${name}`, async () => {
		const simulation = new Simulation(doubleOutageDay(seed, outage))
		await simulation.run()
		assert.deepEqual(simulation.invariants.violations, [])
		assert.deepEqual(simulation.invariants.unfinished(), [], 'every job ends')
		assert.ok(simulation.invariants.started > 50, `only ${simulation.invariants.started} tasks started`)
	})

test('a cancellation is confirmed at once, or later where its tasks might not be gone in time otherwise', async () => {
	for (const [cancelS, leastMs, mostMs] of [
		[30, 0, 500],
		[10.5, 1800, 4000],
	]) {
		const outage = { refused: [], outageS: 0, report: { reportS: 1, leaseS: 10, cancelS }, archives: false }
		const simulation = new Simulation(doubleOutageDay(8, outage))
		const durable = new Map<string, number>()
		simulation.state.durable = (key, data) => {
			const uid = /job\/(.*)$/.exec(key)?.[1]
			if (uid !== undefined && (data as { final?: string }).final === 'aborted')
				durable.set(uid, simulation.clock.nowMs)
		}
		const waited: number[] = []
		const { observeStatus } = simulation.invariants
		simulation.invariants.observeStatus = (uid, status, state, known) => {
			if (status === 200 && state === 'aborted' && simulation.invariants.observedState(uid) !== 'aborted')
				waited.push(simulation.clock.nowMs - durable.get(uid)!)
			observeStatus.call(simulation.invariants, uid, status, state, known)
		}
		await simulation.run()
		assert.deepEqual(simulation.invariants.violations, [])
		assert.ok(waited.length > 20)
		const least = Math.min(...waited)
		assert.ok(least >= leastMs && least < mostMs, `${cancelS} s: confirmed after ${least} ms at the earliest`)
	}
})

test('how long after it is durable a cancellation is confirmed', () => {
	const base = plainSettings('c-0', ['c-1', 'c-2'])
	const cases: [leaseS: number, cancelS: number, mostMs: number][] = [
		[10, 30, 0],
		[15.25, 35.25, 0],
		[26, 46, 0],
		[10, 12, 350],
		[10, 10.1, 2300],
	]
	for (const [lease_s, cancel_s, mostMs] of cases) {
		const { deployment } = base
		const workers = { ...deployment.workers, lease_s, cancel_s }
		const d = deriveLimits(parseSettings({ ...base, deployment: { ...deployment, workers } }))
		const {
			maxStalenessMs: staleMs,
			takeoverPromiseMs: promiseMs,
			controllerLeaseMs: grantMs,
			agentLeaseMs: leaseMs,
			cancellationConfirmDelayMs: confirmAfterMs,
		} = d
		const at = `lease ${lease_s} s, cancellation ${cancel_s} s`
		// Whatever an owner acts on ends by then unless it hears of the cancellation.
		assert.ok(grantMs <= staleMs && promiseMs * 1.002 <= staleMs, at)
		assert.ok(staleMs + leaseMs <= cancel_s * 1000 + confirmAfterMs, at)
		assert.ok(confirmAfterMs <= mostMs, `${at}: ${confirmAfterMs} ms`)
	}
})

test('cancellations by revision, however long ago they were', () => {
	let now = 0
	const c = new CancellationLog(4, () => now)
	for (const revision of [3, 5, 8]) c.record(`job-00000${revision}`, revision)
	now = 1e9
	assert.deepEqual(
		c.since(4)?.map((x) => x.revision),
		[5, 8],
	)
	assert.equal(c.knownForMs('job-000005'), 1e9)
	c.markIncompleteUpTo(4)
	assert.equal(c.since(3), null, 'something may have been left out')
	for (const revision of [9, 11, 12, 13]) c.record(`job-0000${revision}`, revision)
	assert.equal(c.since(4), null, 'too many to be kept')
	const told = c.since(9)
	assert.deepEqual(
		told?.map((x) => x.revision),
		[11, 12, 13],
	)
	assert.equal(c.knownForMs('job-000003'), Number.POSITIVE_INFINITY)
	assert.deepEqual(decodeCancellations(encodeCancellations(told!)), told)
	assert.equal(decodeCancellations(['job-000001']), null, 'as an older version tells them')
	assert.equal(decodePromiseRequest({ name: 'c-0', owned: { 0: 9 } }), null, 'as an older version asks')
})

test('a cancellation that a peer told holds against every read that is older', () => {
	const uid = 'job-000001'
	const open = { part: 0, spec: arrayJob(uid), at: 1 }
	const cases: { name: string; before?: [string, unknown]; after: [string, unknown, number][] }[] = [
		{ name: 'its record is known', before: ['intake/a', { jobs: [open] }], after: [] },
		{ name: 'its record comes later', after: [['intake/a', { jobs: [open] }, 11]] },
		{
			name: 'progress comes later',
			before: ['intake/a', { jobs: [open] }],
			after: [[`job/${uid}`, open, 12]],
		},
		{
			name: 'it moved',
			before: ['intake/a', { jobs: [open] }],
			after: [[`job/${uid}`, { ...open, part: 1 }, 12]],
		},
	]
	for (const c of cases) {
		const opened: string[] = []
		const cache: WatchCache = new WatchCache(
			(key, entry) => {
				if (key.startsWith('intake/'))
					for (const r of book.onBatchAccepted(entry?.data)) opened.push(r.spec!.uid)
				else if (key.startsWith('job/') && book.onJobRecordChanged(uid, decodeJobRecord(entry?.data)!))
					opened.push(uid)
			},
			1,
			() => 0,
		)
		const book = new JobRegistry(cache)
		cache.onRevisionAdvanced = () => book.dropJobsRemovedFromPages()
		const apply = (revision: number, log: [string, unknown][]) =>
			cache.applyEvents(
				revision,
				log.map(([key, data]) => ({ key: `heathroad/${key}`, data, modRevision: revision })),
			)
		apply(10, c.before === undefined ? [] : [c.before])
		opened.length = 0
		assert.deepEqual(book.applyPeerCancellations([{ uid, revision: 20 }]), [uid], c.name)
		assert.deepEqual(book.applyPeerCancellations([{ uid, revision: 20 }]), [], 'once')
		for (const [key, data, revision] of c.after) apply(revision, [[key, data]])
		assert.deepEqual(opened, [], c.name)
		assert.equal(book.openJobs.has(uid), false, c.name)
		assert.equal(book.get(uid)?.record.finalState, 'aborted', c.name)
		assert.equal(book.terminalRecord(uid), undefined, `${c.name}: streams wait for the records`)
		apply(20, [[`job/${uid}`, { part: 0, final: 'aborted' }]])
		assert.equal(book.get(uid)?.record.finalState, 'aborted', c.name)
		assert.deepEqual(book.applyPeerCancellations([{ uid, revision: 20 }]), [], 'known by now')
	}
})
