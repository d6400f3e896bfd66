import assert from 'node:assert/strict'
import { test } from 'node:test'
import {
	BudgetLedger,
	earliestFinish,
	executionOrder,
	leastLoadedShard,
	levels,
	type PipelineJob,
	RangeSet,
	reconcilePatienceMs,
	type ShardLoad,
	splitBudget,
} from '@heathroad/policy'

const opt = (seconds: number, cost: number) => ({ key: `${seconds}s`, seconds, cost })
const job = (
	uid: string,
	parents: string[],
	tasks: number,
	options = [opt(20, 1), opt(10, 3)],
): PipelineJob => ({
	uid,
	parents,
	tasks,
	options,
})

test('levels and earliest finishes of pipelines', () => {
	const cases: {
		name: string
		jobs: PipelineJob[]
		level: Record<string, number>
		eft: Record<string, number>
	}[] = [
		{ name: 'one level', jobs: [job('a', [], 1)], level: { a: 0 }, eft: { a: 10 } },
		{
			name: 'diamond with a long side',
			jobs: [job('d', ['b', 'c'], 1), job('b', ['a'], 1, [opt(50, 1)]), job('c', ['a'], 1), job('a', [], 1)],
			level: { a: 0, b: 1, c: 1, d: 2 },
			eft: { a: 10, b: 60, c: 20, d: 70 },
		},
		{
			name: 'one above the deepest parent',
			jobs: [job('a', [], 1), job('b', ['a'], 1), job('c', ['a', 'b'], 1)],
			level: { a: 0, b: 1, c: 2 },
			eft: { a: 10, b: 20, c: 30 },
		},
	]
	for (const c of cases) {
		assert.deepEqual(Object.fromEntries(levels(c.jobs)), c.level, c.name)
		assert.deepEqual(Object.fromEntries(earliestFinish(c.jobs)), c.eft, c.name)
	}
	const order = executionOrder(cases[1].jobs).map((j) => j.uid)
	assert.deepEqual(order, ['a', 'c', 'b', 'd'], 'by level, then by earliest finish')
	assert.throws(() => levels([job('a', ['b'], 1), job('b', ['a'], 1)]), /cycle/)
})

test('slowest-first split', () => {
	const two = [job('a', [], 1), job('b', ['a'], 1)]
	const cases: { name: string; jobs: PipelineJob[]; budget: number; shares: Record<string, number> }[] = [
		{ name: 'exactly the cheapest', jobs: two, budget: 2, shares: { a: 1, b: 1 } },
		{ name: 'the earliest is upgraded first', jobs: two, budget: 4, shares: { a: 3, b: 1 } },
		{ name: 'everything fast, the rest spread over tasks', jobs: two, budget: 8, shares: { a: 4, b: 4 } },
		{ name: 'too little: the earliest gets it', jobs: two, budget: 1.5, shares: { a: 1, b: 0.5 } },
		{ name: 'evenly over tasks', jobs: [job('a', [], 4, [opt(5, 1)])], budget: 8, shares: { a: 2 } },
	]
	for (const c of cases) assert.deepEqual(Object.fromEntries(splitBudget(c.jobs, c.budget)), c.shares, c.name)
})

test('spare is banked and debt is borne by unstarted tasks', () => {
	const cases = [
		{ name: 'spare', cost: 1, after: 2.5 },
		{ name: 'as planned', cost: 2, after: 2 },
		{ name: 'debt', cost: 4, after: 1 },
	]
	for (const c of cases) {
		const ledger = new BudgetLedger([job('a', [], 3, [opt(5, 1)])], 6)
		const share = ledger.start('a')
		assert.equal(share, 2)
		ledger.finish(share, c.cost)
		assert.equal(ledger.share('a'), c.after, c.name)
	}
})

test('ranges behave like a set', () => {
	const cases: { ops: [string, number, number?][]; pairs: number[]; size: number }[] = [
		{
			ops: [
				['add', 3],
				['add', 4],
				['add', 2],
			],
			pairs: [2, 5],
			size: 3,
		},
		{
			ops: [
				['range', 0, 10],
				['delete', 5],
			],
			pairs: [0, 5, 6, 10],
			size: 9,
		},
		{
			ops: [
				['range', 0, 3],
				['range', 6, 9],
				['range', 2, 7],
			],
			pairs: [0, 9],
			size: 9,
		},
		{
			ops: [
				['range', 0, 100_000],
				['delete', 0],
				['delete', 99_999],
			],
			pairs: [1, 99_999],
			size: 99_998,
		},
		{
			ops: [
				['add', 1],
				['add', 1],
				['delete', 2],
			],
			pairs: [1, 2],
			size: 1,
		},
	]
	for (const c of cases) {
		const r = new RangeSet()
		for (const [op, a, b] of c.ops) {
			if (op === 'add') r.add(a)
			else if (op === 'delete') r.delete(a)
			else r.addRange(a, b!)
		}
		assert.deepEqual([r.pairs(), r.size], [c.pairs, c.size])
	}
	assert.deepEqual(new RangeSet([0, 5, 8, 20]).slice(4, 10), [0, 1, 4, 6])
})

test('how long a rebuild waits for machines that do not answer', () => {
	const cases: [name: string, missing: number, machines: number, want: number | null][] = [
		['one of two hundred', 1, 200, 1500],
		['one of ten', 1, 10, 2000],
		['an eighth', 25, 200, 2500],
		['a quarter', 50, 200, 5000],
		['more: it is rather we who are cut off', 51, 200, null],
		['the only one', 1, 1, null],
	]
	for (const [name, missing, machines, want] of cases)
		assert.equal(reconcilePatienceMs(missing, machines, 5000), want, name)
})

test('which part a new job goes to', () => {
	const part = (cpus: number, work: number, partitioned = false) => ({ cpus, work, partitioned })
	const cases: [name: string, parts: ShardLoad[], grows: boolean, first: number, want: number][] = [
		['the least work for its CPUs', [part(100, 500), part(200, 800), part(100, 600)], false, 0, 1],
		['a tie goes to the first asked', [part(100, 500), part(100, 500)], false, 1, 1],
		['a part without machines can rent one', [part(80, 800), part(0, 60)], false, 0, 1],
		[
			'while all can rent alike, those that have not yet count as having their share',
			[part(300, 900), part(0, 300)],
			true,
			0,
			1,
		],
		[
			'machines out of reach run nothing new (incident 17)',
			[part(400, 100, true), part(100, 500)],
			true,
			0,
			1,
		],
		['nor does their part rent for it', [part(0, 200, true), part(100, 500), part(100, 700)], true, 0, 1],
		['all of them: as if none were', [part(100, 500, true), part(100, 400, true)], true, 0, 1],
	]
	for (const [name, parts, grows, first, want] of cases)
		assert.equal(leastLoadedShard(parts, 8, grows, first), want, name)
})
