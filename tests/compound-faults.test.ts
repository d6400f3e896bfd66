import assert from 'node:assert/strict'
import { test } from 'node:test'
import { type Fault, randomCompoundFaultDay, Simulation } from '@heathroad/testkit'
import { crash, mixedLengthJobs, partition } from './compound-fault-days.js'

const cases: { name: string; faults: Fault[]; controllers?: number }[] = [
	{
		name: 'an owner partitioned from state service and peers keeps its machines and users; jobs are cancelled at the new owner',
		faults: [partition(30, 0, 40), partition(80, 1, 12), partition(100, 2, 60)],
	},
	{
		name: 'commands and responses are delayed, machines continue afterwards, owners change meanwhile',
		faults: [
			{ atS: 20, kind: 'delayedWorkerMessages', share: 0.4, forS: 40 },
			crash(40, [0], 3),
			{ atS: 75, kind: 'delayedWorkerMessages', share: 0.7, forS: 30 },
			partition(80, 1, 20),
		],
	},
	{
		name: 'transactions without a response are executed after newer ones',
		faults: [
			{ atS: 10, kind: 'delayedTransactions', share: 0.4, forS: 60 },
			crash(35, [1], 0.3),
			{ atS: 90, kind: 'delayedTransactions', share: 0.6, forS: 30 },
			{ atS: 100, kind: 'drain', who: [2], forS: 1 },
		],
	},
	{
		name: 'owners crash while machines with long tasks receive nothing or are unreachable',
		faults: [
			{ atS: 38, kind: 'machineInboundLoss', share: 0.6, forS: 25 },
			crash(40, [0, 1], 2),
			{ atS: 90, kind: 'machinesCut', forS: 18 },
			crash(92, [2], 0.5),
			{ atS: 125, kind: 'machineInboundLoss', share: 1, forS: 9 },
			crash(126, [0, 1, 2], 0.4),
		],
	},
	{
		name: 'old heartbeats arrive after newer ones, across changes of owners and incarnations',
		faults: [
			{ atS: 10, kind: 'duplicatedHeartbeats', share: 0.5, forS: 140 },
			crash(40, [0], 1),
			{ atS: 60, kind: 'machinesCut', forS: 14 },
			crash(90, [0, 1, 2], 0.5),
		],
	},
	{
		name: 'within a second, shards are handed over and back, all controllers crash and one restarts',
		faults: [
			{ atS: 30, kind: 'drain', who: [0], forS: 0.2 },
			crash(45, [0], 0.2),
			crash(45.5, [1], 0.3),
			crash(46, [0, 1], 0.1),
			crash(70, [0, 1, 2], 0.3),
			crash(70.2, [1, 2], 20),
			crash(100, [0, 1, 2], 0.2),
			crash(101, [0, 1, 2], 0.2),
		],
	},
	{
		name: 'the state service responds slowly, then rejects one owner, then is down for all',
		faults: [
			{ atS: 30, kind: 'slowState', forS: 20 },
			{ atS: 46, kind: 'stateRejects', who: [1], forS: 10 },
			{ atS: 49, kind: 'stateDown', forS: 40 },
			{ atS: 110, kind: 'slowState', forS: 30 },
			{ atS: 112, kind: 'stateRejects', who: [0, 2], forS: 9 },
		],
	},
	{
		name: 'five controllers: two are partitioned from state service and peers while the others crash',
		faults: [
			partition(35, 0, 30),
			partition(35, 3, 45),
			crash(40, [1, 2, 4], 1),
			crash(95, [0, 3], 0.4),
			partition(96, 2, 25),
		],
		controllers: 5,
	},
]

for (const [i, { name, faults, controllers }] of cases.entries())
	test(`compound faults: ${name}`, async () => {
		const simulation = new Simulation({
			seed: i + 1,
			untilS: 340,
			jobs: mixedLengthJobs,
			faults,
			controllers,
			// Alternates between the second and the first record format.
			history: i % 2 === 0 ? undefined : null,
			drift: true,
			capacity: 5,
			up: 5,
		})
		await simulation.run()
		assert.deepEqual(simulation.invariants.violations, [])
		assert.deepEqual(simulation.invariants.failures(), [])
		assert.deepEqual(simulation.invariants.unfinishedJobs(), [], 'every job reaches a terminal state')
		const tasks = mixedLengthJobs.reduce((sum, job) => sum + job.spec.tasks, 0)
		assert.ok(
			simulation.invariants.taskPlacements >= tasks * 0.7,
			`${simulation.invariants.taskPlacements} starts of ${tasks} tasks`,
		)
	})

test('compound faults generated from a seed', async () => {
	const simulation = new Simulation(randomCompoundFaultDay(1))
	await simulation.run()
	assert.deepEqual(simulation.invariants.violations, [])
	assert.deepEqual(simulation.invariants.unfinishedJobs(), [])
})
