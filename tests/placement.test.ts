import assert from 'node:assert/strict'
import { test } from 'node:test'
import { BootTimeEstimator } from '@heathroad/controller'
import {
	type Candidate,
	canEverRun,
	chooseOffer,
	choosePacking,
	chooseVictims,
	type InstanceOffer,
	isZoneAllowed,
	orderRank,
	type PackedMachine,
	priorityRank,
	rankCandidates,
	scaleOutWeight,
	startBounds,
	tasksThatFit,
	type Victim,
	withinLimit,
} from '@heathroad/policy'
import { arrayJob } from '@heathroad/testkit'
import type { MachineType } from '@heathroad/wire'

const candidate = (id: string, more: Partial<Candidate>): Candidate => ({
	id,
	parentOutput: false,
	image: false,
	seconds: 10,
	cost: 1,
	slack: 4,
	...more,
})

test('machines for the tasks of a job, in the order in which they take them', () => {
	const cases: { name: string; machines: Candidate[]; rentable?: boolean; want: string }[] = [
		{
			name: "a parent's output before the image, the image before any",
			machines: [candidate('a', {}), candidate('b', { image: true }), candidate('c', { parentOutput: true })],
			want: 'cba',
		},
		{
			name: 'the image even where another is faster',
			machines: [candidate('a', { seconds: 5 }), candidate('b', { image: true })],
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
	for (const c of cases) {
		const order = rankCandidates(c.machines, 1, () => c.rentable === true).map((m) => m.id)
		assert.equal(order.join(''), c.want, c.name)
	}
})

const type = (name: string, price: number, more: Partial<MachineType> = {}): MachineType => ({
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
const offer = (t: MachineType, spot = false): InstanceOffer => ({ type: t, zone: 'a', spot })

test('what to rent', () => {
	const slow = type('slow', 1)
	const quick = type('quick', 3, { bootS: 10 })
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
		{ name: 'near-ties by price', share: 1, offers: [offer(slow), offer(type('same', 0.5))], want: 'same' },
		{
			name: 'nothing large enough',
			share: 1,
			offers: [offer(type('tiny', 1, { cpus: 0.5 }))],
			want: undefined,
		},
	]
	for (const c of cases) assert.equal(chooseOffer(spec, 10, c.share, c.offers)?.type.name, c.want, c.name)
})

test('order of ready tasks (incident 1)', () => {
	const bounds = startBounds({ jobClass: 'low', dueS: null }, 20, [
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
	for (const c of cases) {
		const r = orderRank('idle', c.age, bounds)
		assert.equal(r > priorityRank('normal') && r < priorityRank('urgent'), c.lifted, c.name)
	}
	assert.equal(orderRank('urgent', 50, bounds), priorityRank('urgent'), 'urgent jobs are never lowered')
})

test('zones, limits and fits', () => {
	const zones = new Map([
		['a', 2],
		['b', 0],
	])
	const place = [
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
	for (const c of place) assert.equal(isZoneAllowed(c.spec, c.zone, zones), c.want, c.name)
	const team = { name: 't', cpus: 0, gpus: 0, cpus_max: 8, gpus_max: 0 }
	assert.equal(
		withinLimit(team, { cpus: 6, gpus: 0 }, { cpus: 2, gpus: 1, ramGb: 0 }),
		true,
		'0 means no limit',
	)
	assert.equal(withinLimit(team, { cpus: 7, gpus: 0 }, { cpus: 2, gpus: 0, ramGb: 0 }), false)
	assert.equal(
		tasksThatFit({ cpus: 2, gpus: 0, ramGb: 10 }, { cpus: 8, gpus: 0, ramGb: 32 }),
		3,
		'memory decides',
	)
	assert.equal(canEverRun(arrayJob('job-000001', { cpus: 9 }), [type('slow', 1)]), false)
	assert.equal(canEverRun(arrayJob('job-000001', { zone: 'z' }), [type('slow', 1)]), false)
})

test('whom to stop', () => {
	const v = (key: string, priority: Victim['priority'], team: string, lostS: number): Victim => ({
		key,
		priority,
		team,
		cpus: 2,
		gpus: 0,
		ramGb: 1,
		lostS,
	})
	const running = [v('low9', 'idle', 't', 9), v('low1', 'idle', 't', 1), v('norm', 'normal', 'u', 0)]
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
	for (const c of cases) {
		const got = chooseVictims(c.need, free, running, c.entitled, (team) => team === 'u')
		assert.deepEqual(got === null ? null : got.map((x) => x.key), c.want, c.name)
	}
})

test('how much of a slot a waiting task asks for', () => {
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
	for (const c of cases) assert.equal(scaleOutWeight(c.run, c.boot, c.age, c.bounds), c.want, c.name)
})

test('machines that are emptied by moving what can save', () => {
	const machine = (
		id: string,
		price: number,
		tasks: [cpus: number, leftS: number, moveS: number | null][],
	) => ({
		id,
		price,
		cpus: 8,
		free: { cpus: 8 - tasks.reduce((n, t) => n + t[0], 0), gpus: 0, ramGb: 32 },
		tasks: tasks.map(([cpus, leftS, moveS]) => ({ need: { cpus, gpus: 0, ramGb: 1 }, leftS, moveS })),
	})
	const cases: { name: string; machines: PackedMachine[]; most?: number; want: string }[] = [
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
	for (const c of cases) {
		const chosen = choosePacking(c.machines, c.most ?? 4, () => true).map((m) => m.id)
		assert.equal(chosen.join(''), c.want, c.name)
	}
})

test('when a machine that boots is given up, and when it is returned', () => {
	const box = type('box', 1, { bootS: 10 })
	const cases: { name: string; cameMs: number[]; want: number }[] = [
		{ name: 'nothing seen yet: a little beyond the longest usual boot', cameMs: [], want: 18 },
		{ name: 'quick boots do not shorten it', cameMs: Array(9).fill(500), want: 18 },
		{ name: 'slow ones lengthen it', cameMs: Array(9).fill(25_000), want: 30 },
		{ name: 'a single slow one does not', cameMs: [...Array(12).fill(9000), 70_000], want: 18 },
	]
	for (const c of cases) {
		const boots = new BootTimeEstimator()
		for (const ms of c.cameMs) boots.observe(box, ms)
		assert.equal(Math.round(boots.giveUpAfterMs(box) / 1000), c.want, c.name)
		assert.ok(boots.returnAfterMs(box) > boots.giveUpAfterMs(box), c.name)
	}
})
