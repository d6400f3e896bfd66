import assert from 'node:assert/strict'
import { test } from 'node:test'
import {
	arrayJob,
	CHECKED_CLASS,
	type FakeCall,
	type FakeVersion,
	type Fault,
	PLUGIN,
	type PluginDay,
	runPluginDay,
} from '@heathroad/testkit'

const release = { release: true }
const hold = (againS = 2) => ({ hold: 'not yet', againS })
/** Releases a job some seconds after it was accepted. */
const patient =
	(afterS: number): NonNullable<FakeVersion['behave']> =>
	(c) =>
		c.answer(c.facts.waitedS < afterS ? hold() : release, 5)
const version = (
	name: string,
	behave: FakeVersion['behave'],
	more: Partial<FakeVersion> = {},
): FakeVersion => ({
	version: name,
	behave,
	classes: [CHECKED_CLASS],
	...more,
})

const UNTIL_S = 300
const jobs = (n: number): PluginDay['jobs'] =>
	Array.from({ length: n }, (_, i) => ({
		atS: 1 + i * 1.5,
		spec: arrayJob(`job-00${String(i).padStart(4, '0')}`, {
			jobClass: i % 2 === 0 ? CHECKED_CLASS : 'any',
			tasks: 6,
			expectedS: 6,
		}),
		...(i % 10 === 4 ? { cancelAtS: 4 + i * 1.5 } : {}),
	}))

const day = (more: Partial<PluginDay>): PluginDay => ({
	seed: 51,
	untilS: UNTIL_S,
	jobs: jobs(40),
	faults: [],
	plugins: { one: PLUGIN },
	directory: { one: version('1', patient(8)) },
	...more,
})

const mixedFaults: readonly Fault[] = [
	{ atS: 20, kind: 'crash', who: [0] },
	{ atS: 33, kind: 'stateDown', forS: 12 },
	{ atS: 50, kind: 'cut', who: [1], forS: 14 },
	{ atS: 66, kind: 'freeze', who: [2], forS: 9 },
	{ atS: 80, kind: 'crash', who: [0, 1, 2] },
	{ atS: 95, kind: 'machinesCut', forS: 12 },
]

const days: { name: string; day: Partial<PluginDay>; starts?: 'released' | 'limit' | 'unsure' }[] = [
	{ name: 'a check that takes its time', day: {}, starts: 'released' },
	{
		name: 'over crashes, outages, cuts and standstills',
		day: { faults: mixedFaults, loss: 0.01, drift: true },
	},
	{
		name: 'the same for a whole class at a time',
		day: { faults: mixedFaults, directory: { one: version('1', patient(8), { ask: 'class' }) } },
	},
	{
		name: 'controllers with different versions of one plug-in for a while, over drains and crashes',
		day: {
			lagS: 25,
			upgrades: [{ atS: 15, name: 'one', to: version('2', patient(2)) }],
			faults: [...mixedFaults, { atS: 28, kind: 'drain', who: [1], forS: 4 }],
		},
	},
	{
		name: 'two checks, both of which must release',
		day: {
			faults: mixedFaults,
			plugins: { one: PLUGIN, two: PLUGIN },
			directory: { one: version('1', patient(4)), two: version('1', patient(12)) },
		},
	},
	{
		name: 'it never answers, and what is unsure is held until the limit',
		day: { directory: { one: version('1', () => {}) } },
		starts: 'limit',
	},
	{
		name: 'it crashes, and what is unsure goes',
		day: {
			plugins: { one: { ...PLUGIN, whenUnsure: 'release' } },
			directory: { one: version('1', (c) => c.crash('gone')) },
		},
		starts: 'unsure',
	},
	{
		name: 'it holds for ever: the limit ends it',
		day: {
			plugins: { one: { ...PLUGIN, maxHoldS: 30 } },
			directory: { one: version('1', (c) => c.answer(hold(600))) },
		},
		starts: 'limit',
	},
	{
		name: 'it lies nowhere, and its section names the class',
		day: {
			plugins: { one: { ...PLUGIN, maxHoldS: 20, classes: [CHECKED_CLASS] } },
			directory: { one: null },
		},
		starts: 'limit',
	},
]

for (const row of days)
	test(`checked jobs: ${row.name}`, async () => {
		const { simulation, violations, starts, lateChecks } = await runPluginDay(day(row.day))
		assert.deepEqual(violations, [])
		assert.deepEqual(simulation.invariants.unfinished(), [], 'every job ends')
		assert.equal(lateChecks, 0, 'nothing is asked about a job that has started')
		const all = starts.released + starts.limit + starts.unsure
		assert.ok(all >= 12, `${all} checked jobs started`)
		if (row.starts !== undefined) assert.equal(starts[row.starts], all, JSON.stringify(starts))
	})

test('a version every few seconds all day, some of them broken, over crashes and drains', async () => {
	const faults: FakeVersion['behave'][] = [
		null,
		() => {},
		(c: FakeCall) => c.crash('no'),
		(c: FakeCall) => c.answer({ release: 'perhaps' }),
	]
	const upgrades = Array.from({ length: 60 }, (_, i) => ({
		atS: 5 + i * 2.5,
		name: 'one',
		to: version(`${i + 2}`, i % 3 === 1 ? faults[(i / 3) & 3] : patient(6)),
	}))
	const drains: Fault[] = [
		{ atS: 40, kind: 'drain', who: [1], forS: 4 },
		{ atS: 110, kind: 'drain', who: [2], forS: 4 },
	]
	const { simulation, violations, starts, hosts } = await runPluginDay(
		day({ upgrades, faults: [...mixedFaults, ...drains], drift: true }),
	)
	assert.deepEqual(violations, [])
	assert.deepEqual(simulation.invariants.unfinished(), [])
	assert.equal(starts.unsure, 0)
	assert.ok(starts.released > starts.limit, JSON.stringify(starts))
	const seen = hosts.flatMap((h) => h?.list() ?? [])
	assert.ok(seen.length > 0)
})

test('jobs without a check are not delayed by one that is at fault', async () => {
	const meanMs = ({ firstStart }: { firstStart: Map<string, number> }) => {
		const own = [...firstStart].filter(([uid]) => Number(uid.slice(-4)) % 2 === 1)
		return own.reduce((sum, [uid, ms]) => sum + ms - (1 + Number(uid.slice(-4)) * 1.5) * 1000, 0) / own.length
	}
	const without = await runPluginDay(day({ plugins: {}, directory: {} }))
	for (const behave of [() => {}, (c: FakeCall) => c.crash('no'), (c: FakeCall) => c.answer(hold(1))]) {
		const ratio =
			meanMs(await runPluginDay(day({ directory: { one: version('1', behave) } }))) / meanMs(without)
		assert.ok(ratio < 1.2, `${ratio.toFixed(2)} of the wait without plug-ins`)
	}
})

test('before acceptance: a refusal reaches its user, and a plug-in that hangs refuses nobody', async () => {
	const admit: NonNullable<FakeVersion['behave']> = (c) =>
		c.hook === 'release'
			? c.answer(release)
			: c.answer(Number(c.job.uid.slice(-4)) % 4 === 0 ? { refuse: 'no cut-off today' } : { pass: true })
	const refused = jobs(40).filter((j) => Number(j.spec.uid.slice(-4)) % 4 === 0).length
	const hooks = ['admit', 'release'] as const
	const one = await runPluginDay(
		day({ directory: { one: version('1', admit, { hooks }) }, faults: mixedFaults }),
	)
	assert.deepEqual(one.violations, [])
	assert.equal(one.simulation.workload.submissions.get(422), refused)
	const hung = await runPluginDay(day({ directory: { one: version('1', () => {}, { hooks }) } }))
	assert.deepEqual(hung.violations, [])
	assert.equal(hung.simulation.workload.submissions.get(422), undefined)
	assert.deepEqual(hung.simulation.invariants.unfinished(), [])
})
