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

const candidate = (id: string, overrides: Partial<Candidate>): Candidate => ({
	id,
	hasParentOutput: false,
	hasImage: false,
	seconds: 10,
	cost: 1,
	slack: 4,
	...overrides,
})

test('machines are ranked by cached data, speed, price and free resources', () => {
	const cases: { name: string; machines: Candidate[]; rentable?: boolean; want: string }[] = [
		{
			name: "a parent's output before the image, the image before neither",
			machines: [
				candidate('a', {}),
				candidate('b', { hasImage: true }),
				candidate('c', { hasParentOutput: true }),
			],
			want: 'cba',
		},
		{
			name: 'the image even if another machine is faster',
			machines: [candidate('a', { seconds: 5 }), candidate('b', { hasImage: true })],
			want: 'ba',
		},
		{
			name: 'machines within the share by speed, then those beyond it by price',
			machines: [
				candidate('a', { seconds: 5, cost: 3 }),
				candidate('b', { seconds: 8 }),
				candidate('c', {}),
				candidate('d', { cost: 2 }),
			],
			want: 'bcda',
		},
		{
			name: 'none beyond the share if a machine within it could be rented',
			machines: [candidate('a', { cost: 2 }), candidate('b', {})],
			rentable: true,
			want: 'b',
		},
		{
			name: 'the fuller of two otherwise equal machines',
			machines: [candidate('a', { slack: 6 }), candidate('b', { slack: 2 })],
			want: 'ba',
		},
	]
	for (const testCase of cases) {
		const order = rankCandidates(testCase.machines, 1, () => testCase.rentable === true).map((m) => m.id)
		assert.equal(order.join(''), testCase.want, testCase.name)
	}
})

const machineType = (name: string, price: number, overrides: Partial<MachineType> = {}): MachineType => ({
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
	...overrides,
})
const offer = (type: MachineType, spot = false): InstanceOffer => ({ type, zone: 'a', spot })

test('the instance offer to rent', () => {
	const slow = machineType('slow', 1)
	const quick = machineType('quick', 3, { bootS: 10 })
	const spec = arrayJob('job-000001')
	const cases: { name: string; share: number; offers: InstanceOffer[]; want: string | undefined }[] = [
		{
			name: 'the fastest within the share',
			share: 1,
			offers: [offer(slow), offer(quick)],
			want: 'quick',
		},
		{ name: 'a small share', share: 0.0015, offers: [offer(slow), offer(quick)], want: 'slow' },
		{
			name: 'no offer within the share: the cheapest',
			share: 0,
			offers: [offer(slow), offer(quick)],
			want: 'slow',
		},
		{
			name: 'nearly equally fast offers by price',
			share: 1,
			offers: [offer(slow), offer(machineType('same', 0.5))],
			want: 'same',
		},
		{
			name: 'no offer is large enough',
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

test('a job moves up in the queue halfway to each start deadline (incident 1)', () => {
	const deadlines = startDeadlines({ jobClass: 'low', dueS: null }, 20, [
		{ kind: 'wait', class: 'low', within_s: 100 },
		{ kind: 'finished', class: 'low', within_s: 320 },
		{ kind: 'wait', class: 'other', within_s: 1 },
		{ kind: 'deadline', class: 'low', times: 1 },
	])
	assert.deepEqual(deadlines, [100, 300])
	const cases = [
		{ name: 'recently accepted', age: 10, raised: false },
		{ name: 'halfway to the first deadline', age: 50, raised: true },
		{ name: 'past the first deadline, not yet halfway to the second', age: 120, raised: false },
		{ name: 'halfway to the second deadline', age: 200, raised: true },
		{ name: 'past all deadlines', age: 300, raised: false },
	]
	for (const testCase of cases) {
		const rank = queueRank('idle', testCase.age, deadlines)
		assert.equal(
			rank > priorityRank('normal') && rank < priorityRank('urgent'),
			testCase.raised,
			testCase.name,
		)
	}
	assert.equal(
		queueRank('urgent', 50, deadlines),
		priorityRank('urgent'),
		'the rank of urgent jobs is never lowered',
	)
})

test('zones, team limits and resources', () => {
	const zones = new Map([
		['a', 2],
		['b', 0],
	])
	const zoneCases = [
		{ name: 'no zone constraint', spec: arrayJob('job-000001'), zone: 'b', want: true },
		{
			name: 'same place: not in another zone',
			spec: arrayJob('job-000001', { samePlace: true }),
			zone: 'b',
			want: false,
		},
		{
			name: 'same place: in the zone of its other tasks',
			spec: arrayJob('job-000001', { samePlace: true }),
			zone: 'a',
			want: true,
		},
		{
			name: 'apart: the zone already has half of the 4 tasks',
			spec: arrayJob('job-000001', { apart: true, tasks: 4 }),
			zone: 'a',
			want: false,
		},
		{
			name: 'apart: up to 3 of 5 tasks in one zone',
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
		'limited by memory',
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
		{ name: 'only tasks of lower priority', need: need('normal', 7), entitled: false, want: null },
		{
			name: 'several tasks if one does not free enough',
			need: need('urgent', 7),
			entitled: false,
			want: ['low1', 'low9', 'norm'],
		},
		{ name: 'no task of equal priority', need: need('idle', 3), entitled: false, want: null },
		{
			name: "another team's task beyond that team's guarantee",
			need: need('idle', 3),
			entitled: true,
			want: ['norm'],
		},
	]
	for (const testCase of cases) {
		const victims = chooseVictims(testCase.need, free, running, testCase.entitled, (team) => team === 'u')
		assert.deepEqual(victims === null ? null : victims.map((task) => task.key), testCase.want, testCase.name)
	}
})

test('the fraction of a slot that is rented for a waiting task', () => {
	const cases = [
		{
			name: 'no deadlines: run time over boot plus run time',
			run: 20,
			boot: 20,
			age: 0,
			deadlines: [],
			want: 0.5,
		},
		{ name: 'a distant deadline changes nothing', run: 20, boot: 20, age: 0, deadlines: [200], want: 0.5 },
		{
			name: 'a near deadline: one slot serves two tasks',
			run: 20,
			boot: 60,
			age: 0,
			deadlines: [80],
			want: 0.5,
		},
		{ name: 'the fraction grows while the task waits', run: 20, boot: 60, age: 20, deadlines: [80], want: 1 },
		{
			name: 'a deadline that no new machine can meet is ignored',
			run: 20,
			boot: 60,
			age: 30,
			deadlines: [80],
			want: 0.25,
		},
	]
	for (const testCase of cases)
		assert.equal(
			scaleOutWeight(testCase.run, testCase.boot, testCase.age, testCase.deadlines),
			testCase.want,
			testCase.name,
		)
})

test('machines to drain by moving tasks that can save a checkpoint', () => {
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
	const cases: { name: string; machines: PackingMachine[]; maxMachines?: number; want: string }[] = [
		{
			name: 'a machine with one task, which moves to a machine that stays rented longer',
			machines: [machine('a', 1, [[2, 90, 10]]), machine('b', 1, [[2, 200, null]])],
			want: 'a',
		},
		{
			name: 'no machine whose task is nearly done or cannot save a checkpoint',
			machines: [
				machine('a', 1, [[2, 30, 10]]),
				machine('b', 1, [[2, 200, null]]),
				machine('c', 1, [[2, 90, null]]),
			],
			want: '',
		},
		{
			name: 'no machine of which only some tasks can move',
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
			name: 'no move that would keep the target rented for longer, unless the target is much cheaper',
			machines: [machine('a', 1, [[2, 200, 10]]), machine('b', 1, [[2, 40, null]])],
			want: '',
		},
		{
			name: 'the expensive machine, onto the cheap one',
			machines: [machine('a', 3, [[2, 200, 10]]), machine('b', 1, [[2, 40, null]])],
			want: 'a',
		},
		{
			name: 'only one of two equal machines: the target of a move is not drained',
			machines: [machine('a', 1, [[2, 90, 10]]), machine('b', 1, [[2, 90, 10]])],
			want: 'a',
		},
		{
			name: 'up to the requested number of machines',
			machines: [
				machine('a', 1, [[1, 90, 10]]),
				machine('b', 2, [[1, 90, 10]]),
				machine('c', 1, [[1, 200, null]]),
				machine('d', 1, [[1, 200, null]]),
			],
			maxMachines: 1,
			want: 'b',
		},
	]
	for (const testCase of cases) {
		const chosen = chooseMachinesToDrain(testCase.machines, testCase.maxMachines ?? 4, () => true).map(
			(m) => m.id,
		)
		assert.equal(chosen.join(''), testCase.want, testCase.name)
	}
})

test('the times after which a booting machine is given up, and released', () => {
	const boxType = machineType('box', 1, { bootS: 10 })
	const cases: { name: string; bootedAfterMs: number[]; want: number }[] = [
		{ name: 'no boots observed: slightly more than the longest usual boot', bootedAfterMs: [], want: 18 },
		{ name: 'fast boots do not shorten it', bootedAfterMs: Array(9).fill(500), want: 18 },
		{ name: 'slow boots lengthen it', bootedAfterMs: Array(9).fill(25_000), want: 30 },
		{
			name: 'a single slow boot does not lengthen it',
			bootedAfterMs: [...Array(12).fill(9000), 70_000],
			want: 18,
		},
	]
	for (const testCase of cases) {
		const bootTimes = new BootTimeEstimator()
		for (const afterMs of testCase.bootedAfterMs) bootTimes.observe(boxType, afterMs)
		assert.equal(Math.round(bootTimes.giveUpAfterMs(boxType) / 1000), testCase.want, testCase.name)
		assert.ok(bootTimes.releaseAfterMs(boxType) > bootTimes.giveUpAfterMs(boxType), testCase.name)
	}
})
