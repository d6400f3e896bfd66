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

const fiveControllers = { controllers: 5, workerTimes: { heartbeatIntervalS: 4, leaseS: 26, cancelS: 46 } }
const standstill = { atS: -0.6, kind: 'freeze', who: [0], forS: 50 } as const

const cases: { name: string; outage: Partial<DoubleOutage>; seed: number }[] = [
	{ name: 'as it was first seen', outage: {}, seed: 1 },
	{
		name: 'an owner is rejected by the state service long before the outage',
		outage: { rejectionLeadS: 30, outageS: 60 },
		seed: 2,
	},
	{
		name: 'an outage shorter than a cancellation may take',
		outage: { rejectionLeadS: 4, outageS: 20 },
		seed: 3,
	},
	{
		name: 'two controllers are rejected in turn, one of five is left',
		outage: { ...fiveControllers, rejectedControllers: [0, 3], rejectionIntervalS: 3, rejectionLeadS: 4 },
		seed: 4,
	},
	{
		name: 'the other controllers crash right after they confirmed, and restart at once',
		outage: { furtherFaults: [1, 2].map((i) => ({ atS: -0.5, kind: 'crash', who: [i], forS: 0.3 })) },
		seed: 5,
	},
	{
		name: 'a controller is partitioned from its peers as well',
		outage: { furtherFaults: [{ atS: -1, kind: 'cut', who: [1], from: 'peers', forS: 30 }] },
		seed: 6,
	},
	// The agent leases of its machines expire meanwhile: it would start their tasks again.
	{
		name: 'the previous owner stands still meanwhile',
		outage: { outageS: 110, rejectionLeadS: 3, furtherFaults: [standstill] },
		seed: 1,
	},
	{
		name: 'the previous owner stands still meanwhile, first record format',
		outage: { outageS: 110, rejectionLeadS: 3, archivesJobs: false, furtherFaults: [standstill] },
		seed: 1,
	},
	{
		name: 'an owner renews its lease while its watch delivers nothing',
		outage: {
			outageS: 0,
			rejectedControllers: [],
			furtherFaults: [{ atS: -20, kind: 'watchLost', who: [0], forS: 90 }],
		},
		seed: 7,
	},
	{
		name: 'machines reach only an owner partitioned from state service and peers, and none can be released',
		outage: {
			outageS: 0,
			rejectedControllers: [],
			furtherFaults: [
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
		assert.deepEqual(simulation.invariants.unfinishedJobs(), [], 'every job reaches a terminal state')
		assert.ok(
			simulation.invariants.taskPlacements > 50,
			`only ${simulation.invariants.taskPlacements} tasks started`,
		)
	})

test('a cancellation is confirmed at once, or later where its tasks might otherwise still run after the deadline', async () => {
	for (const [cancelS, minMs, maxMs] of [
		[30, 0, 500],
		[10.5, 1800, 4000],
	]) {
		const outage = {
			rejectedControllers: [],
			outageS: 0,
			workerTimes: { heartbeatIntervalS: 1, leaseS: 10, cancelS },
			archivesJobs: false,
		}
		const simulation = new Simulation(doubleOutageDay(8, outage))
		const durable = new Map<string, number>()
		simulation.state.onDurable = (key, data) => {
			const uid = /job\/(.*)$/.exec(key)?.[1]
			if (uid !== undefined && (data as { final?: string }).final === 'aborted')
				durable.set(uid, simulation.clock.nowMs)
		}
		const confirmationDelaysMs: number[] = []
		const { observeStatus } = simulation.invariants
		simulation.invariants.observeStatus = (uid, status, state, known) => {
			if (status === 200 && state === 'aborted' && simulation.invariants.observedState(uid) !== 'aborted')
				confirmationDelaysMs.push(simulation.clock.nowMs - durable.get(uid)!)
			observeStatus.call(simulation.invariants, uid, status, state, known)
		}
		await simulation.run()
		assert.deepEqual(simulation.invariants.violations, [])
		assert.ok(confirmationDelaysMs.length > 20)
		const earliestMs = Math.min(...confirmationDelaysMs)
		assert.ok(
			earliestMs >= minMs && earliestMs < maxMs,
			`cancellation ${cancelS} s: the earliest was confirmed after ${earliestMs} ms`,
		)
	}
})

test('the delay between a durable cancellation and its confirmation', () => {
	const base = plainSettings('c-0', ['c-1', 'c-2'])
	const cases: [leaseS: number, cancelS: number, maxMs: number][] = [
		[10, 30, 0],
		[15.25, 35.25, 0],
		[26, 46, 0],
		[10, 12, 350],
		[10, 10.1, 2300],
	]
	for (const [lease_s, cancel_s, maxMs] of cases) {
		const { deployment } = base
		const workers = { ...deployment.workers, lease_s, cancel_s }
		const limits = deriveLimits(parseSettings({ ...base, deployment: { ...deployment, workers } }))
		const {
			maxStalenessMs: staleMs,
			takeoverPromiseMs: promiseMs,
			controllerLeaseMs: ownerLeaseMs,
			agentLeaseMs: leaseMs,
			cancellationConfirmDelayMs: confirmAfterMs,
		} = limits
		const label = `lease ${lease_s} s, cancellation ${cancel_s} s`
		// An owner that does not learn of the cancellation acts for up to `staleMs`: then its lease or promise has ended.
		assert.ok(ownerLeaseMs <= staleMs && promiseMs * 1.002 <= staleMs, label)
		assert.ok(staleMs + leaseMs <= cancel_s * 1000 + confirmAfterMs, label)
		assert.ok(confirmAfterMs <= maxMs, `${label}: ${confirmAfterMs} ms`)
	}
})

test('cancellations since a revision are found however old they are', () => {
	let now = 0
	const cancellations = new CancellationLog(4, () => now)
	for (const revision of [3, 5, 8]) cancellations.record(`job-00000${revision}`, revision)
	now = 1e9
	assert.deepEqual(
		cancellations.since(4)?.map((cancellation) => cancellation.revision),
		[5, 8],
	)
	assert.equal(cancellations.knownForMs('job-000005'), 1e9)
	cancellations.markIncompleteUpTo(4)
	assert.equal(cancellations.since(3), null, 'the log may be incomplete')
	for (const revision of [9, 11, 12, 13]) cancellations.record(`job-0000${revision}`, revision)
	assert.equal(cancellations.since(4), null, 'more than the log keeps')
	const sent = cancellations.since(9)
	assert.deepEqual(
		sent?.map((cancellation) => cancellation.revision),
		[11, 12, 13],
	)
	assert.equal(cancellations.knownForMs('job-000003'), Number.POSITIVE_INFINITY)
	assert.deepEqual(decodeCancellations(encodeCancellations(sent!)), sent)
	assert.equal(decodeCancellations(['job-000001']), null, 'as an older version sends them')
	assert.equal(
		decodePromiseRequest({ name: 'c-0', owned: { 0: 9 } }),
		null,
		'as an older version requests it',
	)
})

test('a cancellation received from a peer is kept over every older read', () => {
	const uid = 'job-000001'
	const open = { part: 0, spec: arrayJob(uid), at: 1 }
	const cases: { name: string; before?: [string, unknown]; after: [string, unknown, number][] }[] = [
		{ name: 'its accepted batch is known', before: ['intake/a', { jobs: [open] }], after: [] },
		{ name: 'its accepted batch arrives later', after: [['intake/a', { jobs: [open] }, 11]] },
		{
			name: 'progress arrives later',
			before: ['intake/a', { jobs: [open] }],
			after: [[`job/${uid}`, open, 12]],
		},
		{
			name: 'the job moved to another shard',
			before: ['intake/a', { jobs: [open] }],
			after: [[`job/${uid}`, { ...open, part: 1 }, 12]],
		},
	]
	for (const testCase of cases) {
		const opened: string[] = []
		const cache: WatchCache = new WatchCache(
			(key, entry) => {
				if (key.startsWith('intake/'))
					for (const r of registry.onBatchAccepted(entry?.data)) opened.push(r.spec!.uid)
				else if (key.startsWith('job/') && registry.onJobRecordChanged(uid, decodeJobRecord(entry?.data)!))
					opened.push(uid)
			},
			1,
			() => 0,
		)
		const registry = new JobRegistry(cache)
		cache.onRevisionAdvanced = () => registry.dropJobsRemovedFromPages()
		const apply = (revision: number, log: [string, unknown][]) =>
			cache.applyEvents(
				revision,
				log.map(([key, data]) => ({ key: `heathroad/${key}`, data, modRevision: revision })),
			)
		apply(10, testCase.before === undefined ? [] : [testCase.before])
		opened.length = 0
		assert.deepEqual(registry.applyPeerCancellations([{ uid, revision: 20 }]), [uid], testCase.name)
		assert.deepEqual(registry.applyPeerCancellations([{ uid, revision: 20 }]), [], 'applied once only')
		for (const [key, data, revision] of testCase.after) apply(revision, [[key, data]])
		assert.deepEqual(opened, [], testCase.name)
		assert.equal(registry.openJobs.has(uid), false, testCase.name)
		assert.equal(registry.get(uid)?.record.finalState, 'aborted', testCase.name)
		assert.equal(registry.terminalRecord(uid), undefined, `${testCase.name}: streams wait for the records`)
		apply(20, [[`job/${uid}`, { part: 0, final: 'aborted' }]])
		assert.equal(registry.get(uid)?.record.finalState, 'aborted', testCase.name)
		assert.deepEqual(registry.applyPeerCancellations([{ uid, revision: 20 }]), [], 'already known')
	}
})
