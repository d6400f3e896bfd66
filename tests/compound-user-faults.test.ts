import assert from 'node:assert/strict'
import { test } from 'node:test'
import { arrayJob, type Fault, type SimulatedDay, Simulation } from '@heathroad/testkit'
import { crash, mixedLengthJobs, partition } from './compound-fault-days.js'

/** Two teams that always want more than their limits; every third job is too long to finish and is cancelled. */
const jobsOverLimits: SimulatedDay['jobs'] = Array.from({ length: 36 }, (_, i) => {
	const atS = 1 + i * 4
	const long = i % 3 === 2
	const team = i % 2 === 0 ? 'core' : 'guest'
	const spec = arrayJob(`job-${String(i).padStart(6, '0')}`, {
		team,
		jobClass: team,
		tasks: 2 + (i % 3),
		cpus: 2,
		expectedS: long ? 300 : 6 + ((i * 7) % 20),
	})
	return { atS, spec, ...(long ? { cancelAtS: atS + 30 + ((i * 5) % 20) } : {}) }
})

/** More work than fits, of all priorities; a third is bound to one zone, and some jobs have 60 tasks. */
const jobsBeyondCapacity: SimulatedDay['jobs'] = Array.from({ length: 40 }, (_, i) => ({
	atS: 1 + i * 2,
	spec: arrayJob(`job-${String(i).padStart(6, '0')}`, {
		tasks: i % 7 === 3 ? 60 : 3 + (i % 6),
		expectedS: 8 + ((i * 11) % 25),
		priority: i % 4 === 0 ? 'urgent' : i % 4 === 1 ? 'idle' : 'normal',
		zone: i % 3 === 0 ? 'b' : null,
		spot: i % 5 !== 0,
	}),
}))

/** Jobs of 60 tasks that complete a few at a time. */
const wideJobs: SimulatedDay['jobs'] = Array.from({ length: 10 }, (_, i) => ({
	atS: 1 + i * 6,
	spec: arrayJob(`job-${String(i).padStart(6, '0')}`, { tasks: 60, expectedS: 4 + i }),
}))

/** Bursts far enough apart that idle machines are released in between: each burst finds machines that still boot. */
const jobBursts: SimulatedDay['jobs'] = Array.from({ length: 48 }, (_, i) => ({
	atS: 10 + Math.floor(i / 4) * 22 + (i % 4) * 0.2,
	spec: arrayJob(`job-${String(i).padStart(6, '0')}`, { tasks: 8, expectedS: 7 }),
}))

/** Four jobs per second, each of one task. */
const oneTaskJobs: SimulatedDay['jobs'] = Array.from({ length: 240 }, (_, i) => ({
	atS: 10 + i / 4,
	spec: arrayJob(`job-${String((i * 7919 + 13) % 1_000_003).padStart(6, '0')}`, { tasks: 1, expectedS: 5 }),
}))

const queryClosely = (forS: number): Fault => ({ atS: 10, kind: 'closeLooks', forS, share: 1 })
const cancelNow = (atS: number, count: number, hangS = 0): Fault => ({
	atS,
	kind: 'cancelNow',
	count,
	hangS,
})
const drain = (atS: number, who: number[], forS: number): Fault => ({ atS, kind: 'drain', who, forS })

/** `day` replaces defaults of the simulated day; `minStartedShare` is the least share of its tasks that must start. */
const cases: { name: string; day: Partial<SimulatedDay>; minStartedShare?: number }[] = [
	{
		name: 'users query all controllers and resubmit within milliseconds of each new state they receive',
		day: { faults: [queryClosely(200), crash(50, [0], 2), drain(80, [1], 1), partition(110, 2, 15)] },
	},
	{
		name: 'users poll any controller ten times as often while wide jobs complete a few tasks at a time and owners change',
		day: {
			jobs: wideJobs,
			faults: [
				{ atS: 5, kind: 'pollStorm', factor: 10, forS: 200 },
				crash(40, [0], 2),
				drain(70, [1], 1),
				{ atS: 80, kind: 'lostTransactionResponses', share: 0.3, forS: 30 },
			],
		},
	},
	{
		name: 'transactions are executed at once and only their responses are lost, while others read what they wrote',
		day: {
			faults: [
				queryClosely(200),
				{ atS: 10, kind: 'lostTransactionResponses', share: 0.5, forS: 150 },
				crash(70, [1], 1),
			],
		},
	},
	{
		name: 'a cancellation, a query and a repeated submission reach other controllers as the last task completes; no other fault',
		day: { faults: [{ atS: 1, kind: 'cancelAtCompletion', share: 1, forS: 250 }] },
	},
	{
		name: 'a cancellation, a query and a repeated submission as the last task completes, with lost transaction responses and close queries',
		day: {
			faults: [
				{ atS: 1, kind: 'cancelAtCompletion', share: 0.7, forS: 250 },
				{ atS: 5, kind: 'lostTransactionResponses', share: 0.4, forS: 150 },
				{ atS: 5, kind: 'slowState', forS: 180 },
				queryClosely(200),
			],
		},
	},
	{
		name: 'one-task jobs complete and are cancelled at the same moments, while the state service responds slowly',
		day: {
			jobs: oneTaskJobs,
			capacity: 10,
			// With terminal-state pages, which completions and cancellations share.
			history: undefined,
			faults: [
				{ atS: 5, kind: 'cancelAtCompletion', share: 0.6, forS: 100 },
				{ atS: 5, kind: 'slowState', forS: 100 },
				{ atS: 5, kind: 'closeLooks', share: 0.2, forS: 100 },
			],
		},
	},
	{
		name: 'jobs are cancelled during the seconds of a handoff and of the failback',
		day: {
			faults: [30, 62, 95, 128].flatMap((atS, i) => [
				drain(atS, [i % 3], 0.3),
				...[0.1, 0.4, 0.9, 1.6, 3].map((s) => cancelNow(atS + s, 2)),
			]),
		},
	},
	{
		name: 'jobs move between shards while they are cancelled',
		day: {
			faults: [
				{ atS: 40, kind: 'zoneCut', zone: 'a', who: [0], forS: 40 },
				...[41, 44, 47, 50, 53, 56, 80, 81, 82].map((atS) => cancelNow(atS, 1)),
				{ atS: 40, kind: 'closeLooks', share: 1, forS: 60 },
			],
		},
	},
	{
		name: 'every team is at its limit, machines with cancelled jobs are partitioned or hang, and owners change',
		day: {
			jobs: jobsOverLimits,
			untilS: 600,
			limits: new Map([
				['core', 12],
				['guest', 8],
			]),
			guarantees: new Map([['guest', 4]]),
			faults: [
				{ atS: 40, kind: 'machinesCut', forS: 14 },
				cancelNow(41, 4, 8),
				crash(42, [0, 1], 1),
				{ atS: 75, kind: 'machinesHang', share: 0.6, forS: 9 },
				cancelNow(76, 4),
				crash(77, [0, 1, 2], 0.3),
				{ atS: 110, kind: 'machineInboundLoss', share: 0.6, forS: 20 },
				cancelNow(111, 4, 6),
				drain(112, [0], 0.5),
				crash(118, [1, 2], 1),
			],
		},
	},
	{
		name: 'new machines boot within two seconds and get work at once while writes are delayed and owners crash',
		day: {
			jobs: jobBursts,
			up: 0,
			untilS: 500,
			faults: [
				{ atS: 1, kind: 'bootTimes', factor: 0.1, forS: 270 },
				{ atS: 5, kind: 'delayedTransactions', share: 0.4, forS: 265 },
				{ atS: 6, kind: 'slowState', forS: 264 },
				...Array.from({ length: 12 }, (_, i) => 10 + i * 22 + 1.6 + (i % 6) * 0.4).flatMap((atS): Fault[] => [
					{ atS: atS - 0.1, kind: 'machinesCut', forS: 7 },
					crash(atS, [0, 1, 2], 0.3),
				]),
			],
		},
	},
	{
		name: 'old heartbeats reach every controller just as a new owner takes over',
		day: {
			faults: [
				{ atS: 10, kind: 'heldHeartbeats', share: 0.2, forS: 140 },
				...[30, 50, 72, 95, 121].flatMap((atS, i): Fault[] => [
					{ atS: atS - 0.1, kind: 'machinesCut', forS: 6 },
					crash(atS, [i % 3, (i + 1) % 3], 0.5),
				]),
				crash(140, [0, 1, 2], 0.3),
			],
		},
	},
	{
		name: 'machines send nothing but receive commands, their jobs are cancelled and owners crash',
		day: {
			faults: [
				{ atS: 30, kind: 'machineOutboundLoss', share: 0.7, forS: 25 },
				cancelNow(31, 5),
				crash(33, [0], 0.5),
				{ atS: 80, kind: 'machineOutboundLoss', share: 1, forS: 14 },
				cancelNow(82, 5),
				{ atS: 120, kind: 'machineOutboundLoss', share: 0.5, forS: 40 },
				crash(121, [0, 1, 2], 1),
				cancelNow(123, 5),
			],
		},
	},
	{
		name: 'owners change ten times in two minutes, also during an outage of the state service',
		day: {
			faults: [
				...Array.from({ length: 10 }, (_, i) => crash(30 + i * 12, [i % 3], 1)),
				{ atS: 70, kind: 'stateDown', forS: 22 },
				cancelNow(65, 3),
				cancelNow(94, 3),
				queryClosely(150),
			],
		},
	},
	{
		name: 'all controllers are down for longer than a lease, and a zone with a controller and machines is partitioned for longer',
		day: {
			faults: [
				crash(35, [0, 1, 2], 16),
				{ atS: 80, kind: 'zoneCut', zone: 'a', who: [0], forS: 28 },
				cancelNow(82, 3),
				crash(90, [1], 0.5),
				{ atS: 130, kind: 'zoneCut', zone: 'b', who: [2], forS: 16 },
			],
		},
	},
	{
		name: 'there is more work than capacity, the network is slow, and jobs bound to one zone lose machines',
		day: {
			jobs: jobsBeyondCapacity,
			untilS: 700,
			up: 0,
			capacity: 3,
			faults: [
				{ atS: 10, kind: 'slowNetwork', factor: 1.5, forS: 80 },
				...[30, 34, 38, 42, 60, 64, 68].map((atS): Fault => ({ atS, kind: 'machineDies' })),
				crash(50, [1], 1),
			],
		},
		minStartedShare: 1,
	},
	{
		name: 'users send invalid requests: repeated, for terminal jobs, for jobs that can never run, with a missing field',
		day: { faults: [{ atS: 5, kind: 'oddRequests', forS: 200 }, crash(60, [0, 1], 1), queryClosely(100)] },
	},
]

for (const [i, { name, day, minStartedShare }] of cases.entries())
	test(`compound faults: ${name}`, async () => {
		const dayJobs = day.jobs ?? mixedLengthJobs
		const simulation = new Simulation({
			seed: i + 1,
			untilS: 340,
			jobs: dayJobs,
			faults: [],
			history: i % 2 === 0 ? undefined : null,
			drift: true,
			capacity: 5,
			up: 5,
			stateLimits: true,
			...day,
		})
		await simulation.run()
		assert.deepEqual(simulation.invariants.violations, [])
		assert.deepEqual(simulation.invariants.failures(), [])
		assert.deepEqual(simulation.invariants.unfinishedJobs(), [], 'every job reaches a terminal state')
		const tasks = dayJobs.reduce((sum, job) => sum + job.spec.tasks, 0)
		assert.ok(
			simulation.invariants.taskPlacements >= tasks * (minStartedShare ?? 0.6),
			`${simulation.invariants.taskPlacements} starts of ${tasks} tasks`,
		)
	})

test('four one-task jobs per second, a quarter cancelled: changes stay within the write rate, accepted batches do not pile up', async () => {
	const forS = 150
	const oneTaskJobs: SimulatedDay['jobs'] = Array.from({ length: 4 * forS }, (_, i) => ({
		atS: 15 + i / 4,
		spec: arrayJob(`job-${String((i * 7919 + 13) % 1_000_003).padStart(6, '0')}`, { tasks: 1, expectedS: 6 }),
		...(i % 4 === 1 ? { cancelAtS: 15 + i / 4 + 0.5 + ((i * 13) % 9) } : {}),
	}))
	const simulation = new Simulation({
		seed: 3,
		untilS: 260,
		jobs: oneTaskJobs,
		faults: [],
		capacity: 12,
		up: 4,
		stateLimits: true,
	})
	let changes = 0
	simulation.state.onChanged = (key) => {
		if (!key.startsWith('heathroad-past/')) changes++
	}
	const batchCounts: number[] = []
	let longestAcceptanceMs = 0
	const submittedMs = new Map(oneTaskJobs.map((job) => [job.spec.uid, job.atS * 1000]))
	simulation.invariants.onNewState = (uid, state) => {
		if (state === 'pending')
			longestAcceptanceMs = Math.max(longestAcceptanceMs, simulation.clock.nowMs - submittedMs.get(uid)!)
	}
	for (let s = 45; s < 15 + forS; s += 5)
		simulation.clock.after(s * 1000, () => batchCounts.push(simulation.state.countKeys('heathroad/intake/')))
	await simulation.run()
	assert.deepEqual(simulation.invariants.violations, [])
	assert.deepEqual(simulation.invariants.unfinishedJobs(), [])
	assert.ok(changes / oneTaskJobs.length < 3.2, `${changes} changes for ${oneTaskJobs.length} jobs`)
	assert.ok(
		simulation.state.rejectedRequests < 20,
		`${simulation.state.rejectedRequests} requests above the rate limit`,
	)
	assert.ok(longestAcceptanceMs < 2000, `accepted after ${longestAcceptanceMs} ms`)
	// The number of accepted batches does not grow under load.
	const [early, late] = [batchCounts.slice(0, 5), batchCounts.slice(-5)].map((counts) => Math.max(...counts))
	assert.ok(late <= early * 1.3, `accepted batches: ${batchCounts}`)
})
