/** Policy functions: pipelines and budgets, range sets, reconciliation waits and the choice of a shard. */
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
	reconciliationWaitMs,
	type ShardLoad,
	splitBudget,
} from '@heathroad/policy'

const option = (seconds: number, cost: number) => ({ key: `${seconds}s`, seconds, cost })
const job = (
	uid: string,
	parents: string[],
	tasks: number,
	options = [option(20, 1), option(10, 3)],
): PipelineJob => ({
	uid,
	parents,
	tasks,
	options,
})

test('levels and earliest finishes of jobs in a pipeline', () => {
	const cases: {
		name: string
		jobs: PipelineJob[]
		level: Record<string, number>
		finish: Record<string, number>
	}[] = [
		{ name: 'one level', jobs: [job('a', [], 1)], level: { a: 0 }, finish: { a: 10 } },
		{
			name: 'a diamond with one long branch',
			jobs: [
				job('d', ['b', 'c'], 1),
				job('b', ['a'], 1, [option(50, 1)]),
				job('c', ['a'], 1),
				job('a', [], 1),
			],
			level: { a: 0, b: 1, c: 1, d: 2 },
			finish: { a: 10, b: 60, c: 20, d: 70 },
		},
		{
			name: 'one level after the deepest parent',
			jobs: [job('a', [], 1), job('b', ['a'], 1), job('c', ['a', 'b'], 1)],
			level: { a: 0, b: 1, c: 2 },
			finish: { a: 10, b: 20, c: 30 },
		},
	]
	for (const { name, jobs, level, finish } of cases) {
		assert.deepEqual(Object.fromEntries(levels(jobs)), level, name)
		assert.deepEqual(Object.fromEntries(earliestFinish(jobs)), finish, name)
	}
	const orderedUids = executionOrder(cases[1].jobs).map(({ uid }) => uid)
	assert.deepEqual(orderedUids, ['a', 'c', 'b', 'd'], 'by level, then by earliest finish')
	assert.throws(() => levels([job('a', ['b'], 1), job('b', ['a'], 1)]), /cycle/)
})

test('slowest-first split of a budget', () => {
	const twoJobs = [job('a', [], 1), job('b', ['a'], 1)]
	const cases: { name: string; jobs: PipelineJob[]; budget: number; shares: Record<string, number> }[] = [
		{ name: 'exactly the cheapest options', jobs: twoJobs, budget: 2, shares: { a: 1, b: 1 } },
		{ name: 'the earliest job is upgraded first', jobs: twoJobs, budget: 4, shares: { a: 3, b: 1 } },
		{
			name: 'fastest options for all, the rest spread over tasks',
			jobs: twoJobs,
			budget: 8,
			shares: { a: 4, b: 4 },
		},
		{
			name: 'too little: the earliest job is served first',
			jobs: twoJobs,
			budget: 1.5,
			shares: { a: 1, b: 0.5 },
		},
		{ name: 'evenly over tasks', jobs: [job('a', [], 4, [option(5, 1)])], budget: 8, shares: { a: 2 } },
	]
	for (const { name, jobs, budget, shares } of cases)
		assert.deepEqual(Object.fromEntries(splitBudget(jobs, budget)), shares, name)
})

test('unspent budget and overruns are spread over unstarted tasks', () => {
	const cases = [
		{ name: 'less than the share', cost: 1, shareAfter: 2.5 },
		{ name: 'exactly the share', cost: 2, shareAfter: 2 },
		{ name: 'more than the share', cost: 4, shareAfter: 1 },
	]
	for (const { name, cost, shareAfter } of cases) {
		const ledger = new BudgetLedger([job('a', [], 3, [option(5, 1)])], 6)
		const share = ledger.startTask('a')
		assert.equal(share, 2)
		ledger.finishTask(share, cost)
		assert.equal(ledger.share('a'), shareAfter, name)
	}
})

test('a range set behaves like a set of its indexes', () => {
	type Operation = { add: number } | { addRange: [from: number, to: number] } | { delete: number }
	const cases: { operations: Operation[]; pairs: number[]; size: number }[] = [
		{
			operations: [{ add: 3 }, { add: 4 }, { add: 2 }],
			pairs: [2, 5],
			size: 3,
		},
		{
			operations: [{ addRange: [0, 10] }, { delete: 5 }],
			pairs: [0, 5, 6, 10],
			size: 9,
		},
		{
			operations: [{ addRange: [0, 3] }, { addRange: [6, 9] }, { addRange: [2, 7] }],
			pairs: [0, 9],
			size: 9,
		},
		{
			operations: [{ addRange: [0, 100_000] }, { delete: 0 }, { delete: 99_999 }],
			pairs: [1, 99_999],
			size: 99_998,
		},
		{
			operations: [{ add: 1 }, { add: 1 }, { delete: 2 }],
			pairs: [1, 2],
			size: 1,
		},
	]
	for (const { operations, pairs, size } of cases) {
		const set = new RangeSet()
		for (const operation of operations) {
			if ('add' in operation) set.add(operation.add)
			else if ('delete' in operation) set.delete(operation.delete)
			else set.addRange(...operation.addRange)
		}
		assert.deepEqual([set.flatBounds(), set.size], [pairs, size])
	}
	assert.deepEqual(new RangeSet([0, 5, 8, 20]).slice(4, 10), [0, 1, 4, 6])
})

test('how long reconciliation waits for machines that do not respond', () => {
	const cases: [name: string, missing: number, machines: number, expectedWaitMs: number | null][] = [
		['one of two hundred', 1, 200, 1500],
		['one of ten', 1, 10, 2000],
		['an eighth', 25, 200, 2500],
		['a quarter', 50, 200, 5000],
		['more than a quarter: this controller is more likely the partitioned one', 51, 200, null],
		['the only one', 1, 1, null],
	]
	for (const [name, missing, machines, expectedWaitMs] of cases)
		assert.equal(reconciliationWaitMs(missing, machines, 5000), expectedWaitMs, name)
})

test('which shard a new job goes to', () => {
	const shard = (cpus: number, work: number, partitioned = false) => ({ cpus, workCpuS: work, partitioned })
	const cases: [
		name: string,
		shards: ShardLoad[],
		canScaleOut: boolean,
		preferredShardId: number,
		chosenShardId: number,
	][] = [
		['the least work for its CPUs', [shard(100, 500), shard(200, 800), shard(100, 600)], false, 0, 1],
		['a tie goes to the preferred shard', [shard(100, 500), shard(100, 500)], false, 1, 1],
		[
			'a shard without machines counts as having one, since it can rent one',
			[shard(80, 800), shard(0, 60)],
			false,
			0,
			1,
		],
		[
			'while the cloud has capacity, a shard without machines counts as having an equal share',
			[shard(300, 900), shard(0, 300)],
			true,
			0,
			1,
		],
		[
			'new jobs avoid a shard with unreachable machines (incident 17)',
			[shard(400, 100, true), shard(100, 500)],
			true,
			0,
			1,
		],
		[
			'a partitioned shard does not count as having an equal share either',
			[shard(0, 200, true), shard(100, 500), shard(100, 700)],
			true,
			0,
			1,
		],
		[
			'if all shards are partitioned, they compare as if none were',
			[shard(100, 500, true), shard(100, 400, true)],
			true,
			0,
			1,
		],
	]
	for (const [name, shards, canScaleOut, preferredShardId, chosenShardId] of cases)
		assert.equal(leastLoadedShard(shards, 8, canScaleOut, preferredShardId), chosenShardId, name)
})
