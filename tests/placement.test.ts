import assert from 'node:assert/strict'
import { test } from 'node:test'
import { BootTimeEstimator } from '@heathroad/controller'
import {
	type Candidate,
	canEverRun,
	chooseMachinesToDrain,
	chooseOffer,
	chooseVictims,
	type InstanceOffer,
	isWithinLimit,
	isZoneAllowed,
	type PackingMachine,
	priorityRank,
	queueRank,
	rankCandidates,
	scaleOutWeight,
	startDeadlines,
	tasksThatFit,
	type Victim,
} from '@heathroad/policy'
import { arrayJob } from '@heathroad/testkit'
import type { MachineType } from '@heathroad/wire'

const candidate = (id: string, more: Partial<Candidate>): Candidate => ({
	id,
	hasParentOutput: false,
	hasImage: false,
	seconds: 10,
	cost: 1,
	slack: 4,
	...more,
})

test('machines for the tasks of a job, in the order in which they take them', () => {
	const cases: { name: string; machines: Candidate[]; rentable?: boolean; want: string }[] = [
		{
			name: "a parent's output before the image, the image before any",
			machines: [
				candidate('a', {}),
				candidate('b', { hasImage: true }),
				candidate('c', { hasParentOutput: true }),
			],
			want: 'cba',
		},
		{
			name: 'the image even where another is faster',
			machines: [candidate('a', { seconds: 5 }), candidate('b', { hasImage: true })],
			want: 'ba',
		},
		{
			name: 'the fastest within the share, then those beyond it by price',
			machines: [
				candidate('a', { seconds: 5, cost: 3 }),
				candidate('b', { seconds: 8 }),
				candidate('c', {}),
				candidate('d', { cost: 2 }),
			],
			want: 'bcda',
		},
		{
			name: 'beyond the share only if none could be rented within it',
			machines: [candidate('a', { cost: 2 }), candidate('b', {})],
			rentable: true,
			want: 'b',
		},
		{
			name: 'the fuller one of two equals',
			machines: [candidate('a', { slack: 6 }), candidate('b', { slack: 2 })],
			want: 'ba',
		},
	]
	for (const testCase of cases) {
		const order = rankCandidates(testCase.machines, 1, () => testCase.rentable === true).map((m) => m.id)
		assert.equal(order.join(''), testCase.want, testCase.name)
	}
})

const machineType = (name: string, price: number, more: Partial<MachineType> = {}): MachineType => ({
	name,
	cpus: 8,
	gpus: 0,
	ramGb: 32,
	cacheGb: 10,
	fetchGbPerS: 1,
	price,
	spotPrice: price / 3,
	bootS: 30,
	zones: ['a'],
	...more,
})
const offer = (type: MachineType, spot = false): InstanceOffer => ({ type, zone: 'a', spot })

test('offer to rent', () => {
	const slow = machineType('slow', 1)
	const quick = machineType('quick', 3, { bootS: 10 })
	const spec = arrayJob('job-000001')
	const cases: { name: string; share: number; offers: InstanceOffer[]; want: string | undefined }[] = [
		{
			name: 'the fastest that the share covers',
			share: 1,
			offers: [offer(slow), offer(quick)],
			want: 'quick',
		},
		{ name: 'a small share', share: 0.0015, offers: [offer(slow), offer(quick)], want: 'slow' },
		{
			name: 'nothing fits the share: the cheapest',
			share: 0,
			offers: [offer(slow), offer(quick)],
			want: 'slow',
		},
		{
			name: 'near-ties by price',
			share: 1,
			offers: [offer(slow), offer(machineType('same', 0.5))],
			want: 'same',
		},
		{
			name: 'nothing large enough',
			share: 1,
			offers: [offer(machineType('tiny', 1, { cpus: 0.5 }))],
			want: undefined,
		},
	]
	for (const testCase of cases)
		assert.equal(
			chooseOffer(spec, 10, testCase.share, testCase.offers)?.type.name,
			testCase.want,
			testCase.name,
		)
})

test('order of ready tasks (incident 1)', () => {
	const bounds = startDeadlines({ jobClass: 'low', dueS: null }, 20, [
		{ kind: 'wait', class: 'low', within_s: 100 },
		{ kind: 'finished', class: 'low', within_s: 320 },
		{ kind: 'wait', class: 'other', within_s: 1 },
		{ kind: 'deadline', class: 'low', times: 1 },
	])
	assert.deepEqual(bounds, [100, 300])
	const cases = [
		{ name: 'young', age: 10, lifted: false },
		{ name: 'halfway to the first bound', age: 50, lifted: true },
		{ name: 'past the first, not yet halfway to the second', age: 120, lifted: false },
		{ name: 'halfway to the second', age: 200, lifted: true },
		{ name: 'past all of them', age: 300, lifted: false },
	]
	for (const testCase of cases) {
		const rank = queueRank('idle', testCase.age, bounds)
		assert.equal(
			rank > priorityRank('normal') && rank < priorityRank('urgent'),
			testCase.lifted,
			testCase.name,
		)
	}
	assert.equal(queueRank('urgent', 50, bounds), priorityRank('urgent'), 'urgent jobs are never lowered')
})

test('zones, team limits and resources', () => {
	const zones = new Map([
		['a', 2],
		['b', 0],
	])
	const zoneCases = [
		{ name: 'free', spec: arrayJob('job-000001'), zone: 'b', want: true },
		{
			name: 'same place, elsewhere',
			spec: arrayJob('job-000001', { samePlace: true }),
			zone: 'b',
			want: false,
		},
		{ name: 'same place, there', spec: arrayJob('job-000001', { samePlace: true }), zone: 'a', want: true },
		{
			name: 'apart: 2 of 4 are full',
			spec: arrayJob('job-000001', { apart: true, tasks: 4 }),
			zone: 'a',
			want: false,
		},
		{
			name: 'apart: 3 of 5 may be',
			spec: arrayJob('job-000001', { apart: true, tasks: 5 }),
			zone: 'a',
			want: true,
		},
	]
	for (const testCase of zoneCases)
		assert.equal(isZoneAllowed(testCase.spec, testCase.zone, zones), testCase.want, testCase.name)
	const team = { name: 't', cpus: 0, gpus: 0, cpus_max: 8, gpus_max: 0 }
	assert.equal(
		isWithinLimit(team, { cpus: 6, gpus: 0 }, { cpus: 2, gpus: 1, ramGb: 0 }),
		true,
		'0 means no limit',
	)
	assert.equal(isWithinLimit(team, { cpus: 7, gpus: 0 }, { cpus: 2, gpus: 0, ramGb: 0 }), false)
	assert.equal(
		tasksThatFit({ cpus: 2, gpus: 0, ramGb: 10 }, { cpus: 8, gpus: 0, ramGb: 32 }),
		3,
		'memory decides',
	)
	assert.equal(canEverRun(arrayJob('job-000001', { cpus: 9 }), [machineType('slow', 1)]), false)
	assert.equal(canEverRun(arrayJob('job-000001', { zone: 'z' }), [machineType('slow', 1)]), false)
})

test('tasks to preempt on one machine', () => {
	const victim = (key: string, priority: Victim['priority'], team: string, lostS: number): Victim => ({
		key,
		priority,
		team,
		cpus: 2,
		gpus: 0,
		ramGb: 1,
		lostWorkS: lostS,
	})
	const running = [
		victim('low9', 'idle', 't', 9),
		victim('low1', 'idle', 't', 1),
		victim('norm', 'normal', 'u', 0),
	]
	const free = { cpus: 1, gpus: 0, ramGb: 9 }
	const need = (priority: Victim['priority'], cpus: number, team = 't') => ({
		priority,
		cpus,
		gpus: 0,
		ramGb: 1,
		team,
	})
	const cases: { name: string; need: ReturnType<typeof need>; entitled: boolean; want: string[] | null }[] = [
		{ name: 'the least lost work', need: need('urgent', 3), entitled: false, want: ['low1'] },
		{ name: 'lower priorities only', need: need('normal', 7), entitled: false, want: null },
		{ name: 'as many as it takes', need: need('urgent', 7), entitled: false, want: ['low1', 'low9', 'norm'] },
		{ name: 'nothing equal', need: need('idle', 3), entitled: false, want: null },
		{ name: "another team's beyond its guarantee", need: need('idle', 3), entitled: true, want: ['norm'] },
	]
	for (const testCase of cases) {
		const victims = chooseVictims(testCase.need, free, running, testCase.entitled, (team) => team === 'u')
		assert.deepEqual(victims === null ? null : victims.map((task) => task.key), testCase.want, testCase.name)
	}
})

test('share of a slot that a waiting task asks to have rented', () => {
	const cases = [
		{ name: 'no bounds: run against boot and run', run: 20, boot: 20, age: 0, bounds: [], want: 0.5 },
		{ name: 'a far bound changes nothing', run: 20, boot: 20, age: 0, bounds: [200], want: 0.5 },
		{ name: 'a near bound: one slot serves two', run: 20, boot: 60, age: 0, bounds: [80], want: 0.5 },
		{ name: 'waiting makes it ask for more', run: 20, boot: 60, age: 20, bounds: [80], want: 1 },
		{
			name: 'a bound that no new machine can meet does not count',
			run: 20,
			boot: 60,
			age: 30,
			bounds: [80],
			want: 0.25,
		},
	]
	for (const testCase of cases)
		assert.equal(
			scaleOutWeight(testCase.run, testCase.boot, testCase.age, testCase.bounds),
			testCase.want,
			testCase.name,
		)
})

test('machines to consolidate: emptied by moving tasks that save checkpoints', () => {
	const machine = (
		id: string,
		price: number,
		tasks: readonly [cpus: number, leftS: number, moveS: number | null][],
	) => ({
		id,
		price,
		cpus: 8,
		free: { cpus: 8 - tasks.reduce((sum, [cpus]) => sum + cpus, 0), gpus: 0, ramGb: 32 },
		tasks: tasks.map(([cpus, leftS, moveS]) => ({ need: { cpus, gpus: 0, ramGb: 1 }, leftS, moveS })),
	})
	const cases: { name: string; machines: PackingMachine[]; most?: number; want: string }[] = [
		{
			name: 'a task alone goes to a machine that stays longer',
			machines: [machine('a', 1, [[2, 90, 10]]), machine('b', 1, [[2, 200, null]])],
			want: 'a',
		},
		{
			name: 'not where little is left, nor what cannot save',
			machines: [
				machine('a', 1, [[2, 30, 10]]),
				machine('b', 1, [[2, 200, null]]),
				machine('c', 1, [[2, 90, null]]),
			],
			want: '',
		},
		{
			name: 'all of a machine or nothing',
			machines: [
				machine('a', 1, [
					[2, 90, 10],
					[2, 90, null],
				]),
				machine('b', 1, [[2, 200, null]]),
			],
			want: '',
		},
		{
			name: 'never onto a machine that would have to stay for it, unless it is much cheaper',
			machines: [machine('a', 1, [[2, 200, 10]]), machine('b', 1, [[2, 40, null]])],
			want: '',
		},
		{
			name: 'the dear one onto the cheap one',
			machines: [machine('a', 3, [[2, 200, 10]]), machine('b', 1, [[2, 40, null]])],
			want: 'a',
		},
		{
			name: 'two never swap: what takes a task stays',
			machines: [machine('a', 1, [[2, 90, 10]]), machine('b', 1, [[2, 90, 10]])],
			want: 'a',
		},
		{
			name: 'no more than is asked for',
			machines: [
				machine('a', 1, [[1, 90, 10]]),
				machine('b', 2, [[1, 90, 10]]),
				machine('c', 1, [[1, 200, null]]),
				machine('d', 1, [[1, 200, null]]),
			],
			most: 1,
			want: 'b',
		},
	]
	for (const testCase of cases) {
		const chosen = chooseMachinesToDrain(testCase.machines, testCase.most ?? 4, () => true).map((m) => m.id)
		assert.equal(chosen.join(''), testCase.want, testCase.name)
	}
})

test('time after which a booting machine is given up, and returned', () => {
	const boxType = machineType('box', 1, { bootS: 10 })
	const cases: { name: string; bootedAfterMs: number[]; want: number }[] = [
		{ name: 'nothing seen yet: a little beyond the longest usual boot', bootedAfterMs: [], want: 18 },
		{ name: 'quick boots do not shorten it', bootedAfterMs: Array(9).fill(500), want: 18 },
		{ name: 'slow ones lengthen it', bootedAfterMs: Array(9).fill(25_000), want: 30 },
		{ name: 'a single slow one does not', bootedAfterMs: [...Array(12).fill(9000), 70_000], want: 18 },
	]
	for (const testCase of cases) {
		const bootTimes = new BootTimeEstimator()
		for (const afterMs of testCase.bootedAfterMs) bootTimes.observe(boxType, afterMs)
		assert.equal(Math.round(bootTimes.giveUpAfterMs(boxType) / 1000), testCase.want, testCase.name)
		assert.ok(bootTimes.returnAfterMs(boxType) > bootTimes.giveUpAfterMs(boxType), testCase.name)
	}
})
