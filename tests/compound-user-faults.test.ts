import assert from 'node:assert/strict'
import { test } from 'node:test'
import { arrayJob, type Fault, type SimulatedDay, Simulation } from '@heathroad/testkit'
import { crash, cut, mixedLengthJobs } from './compound-fault-days.js'

/** Two teams that always want more than their limits; every third job is long, and called off if nothing else is. */
const limited: SimulatedDay['jobs'] = Array.from({ length: 36 }, (_, i) => {
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

/** More than there is room for, urgent and not; a third bound to one zone, some of them wide. */
const crowded: SimulatedDay['jobs'] = Array.from({ length: 40 }, (_, i) => ({
	atS: 1 + i * 2,
	spec: arrayJob(`job-${String(i).padStart(6, '0')}`, {
		tasks: i % 7 === 3 ? 60 : 3 + (i % 6),
		expectedS: 8 + ((i * 11) % 25),
		priority: i % 4 === 0 ? 'urgent' : i % 4 === 1 ? 'idle' : 'normal',
		zone: i % 3 === 0 ? 'b' : null,
		spot: i % 5 !== 0,
	}),
}))

/** Wide jobs that end bit by bit. */
const wide: SimulatedDay['jobs'] = Array.from({ length: 10 }, (_, i) => ({
	atS: 1 + i * 6,
	spec: arrayJob(`job-${String(i).padStart(6, '0')}`, { tasks: 60, expectedS: 4 + i }),
}))

/** Bursts far enough apart that idle machines go back in between: each meets machines that boot. */
const bursts: SimulatedDay['jobs'] = Array.from({ length: 48 }, (_, i) => ({
	atS: 10 + Math.floor(i / 4) * 22 + (i % 4) * 0.2,
	spec: arrayJob(`job-${String(i).padStart(6, '0')}`, { tasks: 8, expectedS: 7 }),
}))

/** Four a second, each of one task. */
const ones: SimulatedDay['jobs'] = Array.from({ length: 240 }, (_, i) => ({
	atS: 10 + i / 4,
	spec: arrayJob(`job-${String((i * 7919 + 13) % 1_000_003).padStart(6, '0')}`, { tasks: 1, expectedS: 5 }),
}))

const closeLooks = (forS: number): Fault => ({ atS: 10, kind: 'closeLooks', forS, share: 1 })
const cancelNow = (atS: number, count: number, hangS = 0): Fault => ({
	atS,
	kind: 'cancelNow',
	count,
	hangS,
})
const drain = (atS: number, who: number[], forS: number): Fault => ({ atS, kind: 'drain', who, forS })

/** Each on jobs and in a simulation of its own; `least`: tasks that start at the least, of those there are. */
const cases: { name: string; day: Partial<SimulatedDay>; least?: number }[] = [
	{
		name: 'users ask at all controllers within milliseconds and submit again, right after each thing they are told',
		day: { faults: [closeLooks(200), crash(50, [0], 2), drain(80, [1], 1), cut(110, 2, 15)] },
	},
	{
		name: 'users ask ten times as often, at any controller, while wide jobs end bit by bit and leaders change',
		day: {
			jobs: wide,
			faults: [
				{ atS: 5, kind: 'pollStorm', factor: 10, forS: 200 },
				crash(40, [0], 2),
				drain(70, [1], 1),
				{ atS: 80, kind: 'lostTransactionResponses', share: 0.3, forS: 30 },
			],
		},
	},
	{
		name: 'transactions are carried out at once and only their answers are lost, while others read what they wrote',
		day: {
			faults: [
				closeLooks(200),
				{ atS: 10, kind: 'lostTransactionResponses', share: 0.5, forS: 150 },
				crash(70, [1], 1),
			],
		},
	},
	{
		name: 'a cancellation, a question and a repeated submission reach others as the last task ends, nothing else happens',
		day: { faults: [{ atS: 1, kind: 'cancelAtCompletion', share: 1, forS: 250 }] },
	},
	{
		name: 'the same, while answers of transactions are lost and users look closely',
		day: {
			faults: [
				{ atS: 1, kind: 'cancelAtCompletion', share: 0.7, forS: 250 },
				{ atS: 5, kind: 'lostTransactionResponses', share: 0.4, forS: 150 },
				{ atS: 5, kind: 'slowState', forS: 180 },
				closeLooks(200),
			],
		},
	},
	{
		name: 'one-task jobs end and are called off at the same moments, while the state answers slowly',
		day: {
			jobs: ones,
			capacity: 10,
			// On pages, which outcomes and cancellations share.
			history: undefined,
			faults: [
				{ atS: 5, kind: 'cancelAtCompletion', share: 0.6, forS: 100 },
				{ atS: 5, kind: 'slowState', forS: 100 },
				{ atS: 5, kind: 'closeLooks', share: 0.2, forS: 100 },
			],
		},
	},
	{
		name: 'jobs are called off in the seconds in which the work of a controller changes hands, and comes back',
		day: {
			faults: [30, 62, 95, 128].flatMap((atS, i) => [
				drain(atS, [i % 3], 0.3),
				...[0.1, 0.4, 0.9, 1.6, 3].map((s) => cancelNow(atS + s, 2)),
			]),
		},
	},
	{
		name: 'jobs move between parts as they are called off',
		day: {
			faults: [
				{ atS: 40, kind: 'zoneCut', zone: 'a', who: [0], forS: 40 },
				...[41, 44, 47, 50, 53, 56, 80, 81, 82].map((atS) => cancelNow(atS, 1)),
				{ atS: 40, kind: 'closeLooks', share: 1, forS: 60 },
			],
		},
	},
	{
		name: 'every team is at its limit, machines are cut off or hang with jobs that are called off, and leaders change',
		day: {
			jobs: limited,
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
		name: 'new machines are up within two seconds and get work at once while writes lag, and leaders end',
		day: {
			jobs: bursts,
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
		name: 'old reports reach every controller just as a new leader begins',
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
		name: 'machines reach no controller while direct commands reach them, jobs on them are called off, leaders end',
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
		name: 'leaders change ten times in two minutes, also inside an outage',
		day: {
			faults: [
				...Array.from({ length: 10 }, (_, i) => crash(30 + i * 12, [i % 3], 1)),
				{ atS: 70, kind: 'stateDown', forS: 22 },
				cancelNow(65, 3),
				cancelNow(94, 3),
				closeLooks(150),
			],
		},
	},
	{
		name: 'all controllers are away for longer than a lease, and a zone with one and its workers is cut off for longer',
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
		name: 'there is more work than room over slow links, and jobs bound to one zone lose machines',
		day: {
			jobs: crowded,
			untilS: 700,
			up: 0,
			capacity: 3,
			faults: [
				{ atS: 10, kind: 'slowNetwork', factor: 1.5, forS: 80 },
				...[30, 34, 38, 42, 60, 64, 68].map((atS): Fault => ({ atS, kind: 'machineDies' })),
				crash(50, [1], 1),
			],
		},
		least: 1,
	},
	{
		name: 'users err all day: they repeat, cancel what is over, send what can never run or lacks a field',
		day: { faults: [{ atS: 5, kind: 'oddRequests', forS: 200 }, crash(60, [0, 1], 1), closeLooks(100)] },
	},
]

for (const [i, { name, day, least }] of cases.entries())
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
		assert.deepEqual(simulation.invariants.unfinished(), [], 'every job ends')
		const tasks = dayJobs.reduce((n, j) => n + j.spec.tasks, 0)
		assert.ok(
			simulation.invariants.started >= tasks * (least ?? 0.6),
			`${simulation.invariants.started} starts of ${tasks} tasks`,
		)
	})

test('one-task jobs, four a second for minutes, a quarter called off: within the change rate, and nothing piles up', async () => {
	const forS = 150
	const ones: SimulatedDay['jobs'] = Array.from({ length: 4 * forS }, (_, i) => ({
		atS: 15 + i / 4,
		spec: arrayJob(`job-${String((i * 7919 + 13) % 1_000_003).padStart(6, '0')}`, { tasks: 1, expectedS: 6 }),
		...(i % 4 === 1 ? { cancelAtS: 15 + i / 4 + 0.5 + ((i * 13) % 9) } : {}),
	}))
	const simulation = new Simulation({
		seed: 3,
		untilS: 260,
		jobs: ones,
		faults: [],
		capacity: 12,
		up: 4,
		stateLimits: true,
	})
	let changes = 0
	simulation.state.changed = (key) => {
		if (!key.startsWith('heathroad-past/')) changes++
	}
	const records: number[] = []
	let longest = 0
	const asked = new Map(ones.map((j) => [j.spec.uid, j.atS * 1000]))
	simulation.invariants.onNewState = (uid, state) => {
		if (state === 'pending') longest = Math.max(longest, simulation.clock.nowMs - asked.get(uid)!)
	}
	for (let s = 45; s < 15 + forS; s += 5)
		simulation.clock.after(s * 1000, () => records.push(simulation.state.count('heathroad/intake/')))
	await simulation.run()
	assert.deepEqual(simulation.invariants.violations, [])
	assert.deepEqual(simulation.invariants.unfinished(), [])
	assert.ok(changes / ones.length < 3.2, `${changes} changes for ${ones.length} jobs`)
	assert.ok(simulation.state.refused < 20, `${simulation.state.refused} requests too many`)
	assert.ok(longest < 2000, `accepted after ${longest} ms`)
	// As many records of acceptances at the end as when the load was young.
	const [early, late] = [records.slice(0, 5), records.slice(-5)].map((some) => Math.max(...some))
	assert.ok(late <= early * 1.3, `records of acceptances: ${records}`)
})
