import assert from 'node:assert/strict'
import { test } from 'node:test'
import { type Fault, randomCompoundFaultDay, Simulation } from '@heathroad/testkit'
import { crash, cut, mixedLengthJobs } from './compound-fault-days.js'

const cases: { name: string; faults: Fault[]; controllers?: number }[] = [
	{
		name: 'a leader without state and peers keeps its workers and users, jobs are cancelled through the new one',
		faults: [cut(30, 0, 40), cut(80, 1, 12), cut(100, 2, 60)],
	},
	{
		name: 'commands and answers are held up, the machines go on afterwards, leaders change meanwhile',
		faults: [
			{ atS: 20, kind: 'delayedWorkerMessages', share: 0.4, forS: 40 },
			crash(40, [0], 3),
			{ atS: 75, kind: 'delayedWorkerMessages', share: 0.7, forS: 30 },
			cut(80, 1, 20),
		],
	},
	{
		name: 'transactions without an answer are carried out after newer ones',
		faults: [
			{ atS: 10, kind: 'delayedTransactions', share: 0.4, forS: 60 },
			crash(35, [1], 0.3),
			{ atS: 90, kind: 'delayedTransactions', share: 0.6, forS: 30 },
			{ atS: 100, kind: 'drain', who: [2], forS: 1 },
		],
	},
	{
		name: 'leaders end while machines with long tasks are deaf or out of reach',
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
		name: 'old reports arrive after newer ones, over changes of leaders and sessions',
		faults: [
			{ atS: 10, kind: 'duplicatedHeartbeats', share: 0.5, forS: 140 },
			crash(40, [0], 1),
			{ atS: 60, kind: 'machinesCut', forS: 14 },
			crash(90, [0, 1, 2], 0.5),
		],
	},
	{
		name: 'parts go there and back, all controllers end and one returns, within a second',
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
		name: 'the state answers slowly, then refuses one leader, then everybody',
		faults: [
			{ atS: 30, kind: 'slowState', forS: 20 },
			{ atS: 46, kind: 'stateRejects', who: [1], forS: 10 },
			{ atS: 49, kind: 'stateDown', forS: 40 },
			{ atS: 110, kind: 'slowState', forS: 30 },
			{ atS: 112, kind: 'stateRejects', who: [0, 2], forS: 9 },
		],
	},
	{
		name: 'five controllers, two without state and peers as the others end',
		faults: [cut(35, 0, 30), cut(35, 3, 45), crash(40, [1, 2, 4], 1), crash(95, [0, 3], 0.4), cut(96, 2, 25)],
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
			// In both forms of the records, by turns.
			history: i % 2 === 0 ? undefined : null,
			drift: true,
			capacity: 5,
			up: 5,
		})
		await simulation.run()
		assert.deepEqual(simulation.invariants.violations, [])
		assert.deepEqual(simulation.invariants.failures(), [])
		assert.deepEqual(simulation.invariants.unfinished(), [], 'every job ends')
		const tasks = mixedLengthJobs.reduce((n, j) => n + j.spec.tasks, 0)
		assert.ok(
			simulation.invariants.started >= tasks * 0.7,
			`${simulation.invariants.started} starts of ${tasks} tasks`,
		)
	})

test('compound faults that follow from a seed', async () => {
	const simulation = new Simulation(randomCompoundFaultDay(1))
	await simulation.run()
	assert.deepEqual(simulation.invariants.violations, [])
	assert.deepEqual(simulation.invariants.unfinished(), [])
})
