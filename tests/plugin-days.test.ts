import assert from 'node:assert/strict'
import { test } from 'node:test'
import {
	arrayJob,
	CHECKED_CLASS,
	FAKE_PLUGIN_SETTINGS,
	type FakePluginCall,
	type FakePluginVersion,
	type Fault,
	type PluginDay,
	runPluginDay,
} from '@heathroad/testkit'

const release = { release: true }
const hold = (againS = 2) => ({ hold: 'not yet', againS })
/** A plug-in that releases a job `afterS` seconds after it was accepted. */
const releaseAfter =
	(afterS: number): NonNullable<FakePluginVersion['behave']> =>
	(call) =>
		call.answer(call.facts.waitedS < afterS ? hold() : release, 5)
const version = (
	name: string,
	behave: FakePluginVersion['behave'],
	overrides: Partial<FakePluginVersion> = {},
): FakePluginVersion => ({
	version: name,
	behave,
	classes: [CHECKED_CLASS],
	...overrides,
})

const UNTIL_S = 300
const jobs = (count: number): PluginDay['jobs'] =>
	Array.from({ length: count }, (_, i) => ({
		atS: 1 + i * 1.5,
		spec: arrayJob(`job-00${String(i).padStart(4, '0')}`, {
			jobClass: i % 2 === 0 ? CHECKED_CLASS : 'any',
			tasks: 6,
			expectedS: 6,
		}),
		...(i % 10 === 4 ? { cancelAtS: 4 + i * 1.5 } : {}),
	}))

const createDay = (overrides: Partial<PluginDay>): PluginDay => ({
	seed: 51,
	untilS: UNTIL_S,
	jobs: jobs(40),
	faults: [],
	plugins: { one: FAKE_PLUGIN_SETTINGS },
	directory: { one: version('1', releaseAfter(8)) },
	...overrides,
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
	{ name: 'a check that holds each job for some seconds', day: {}, starts: 'released' },
	{
		name: 'crashes, outages, partitions and standstills',
		day: { faults: mixedFaults, loss: 0.01, drift: true },
	},
	{
		name: 'crashes, outages, partitions and standstills, with a check that is queried once per class',
		day: { faults: mixedFaults, directory: { one: version('1', releaseAfter(8), { ask: 'class' }) } },
	},
	{
		name: 'controllers that run different versions of a plug-in for a while, with drains and crashes',
		day: {
			lagS: 25,
			upgrades: [{ atS: 15, name: 'one', to: version('2', releaseAfter(2)) }],
			faults: [...mixedFaults, { atS: 28, kind: 'drain', who: [1], forS: 4 }],
		},
	},
	{
		name: 'two checks, both of which must release',
		day: {
			faults: mixedFaults,
			plugins: { one: FAKE_PLUGIN_SETTINGS, two: FAKE_PLUGIN_SETTINGS },
			directory: { one: version('1', releaseAfter(4)), two: version('1', releaseAfter(12)) },
		},
	},
	{
		name: 'a check that never answers: jobs are held until the limit',
		day: { directory: { one: version('1', () => {}) } },
		starts: 'limit',
	},
	{
		name: 'a check that crashes, with settings that release jobs without a verdict',
		day: {
			plugins: { one: { ...FAKE_PLUGIN_SETTINGS, whenUnsure: 'release' } },
			directory: { one: version('1', (call) => call.crash('gone')) },
		},
		starts: 'unsure',
	},
	{
		name: 'a check that always holds: jobs start at the limit',
		day: {
			plugins: { one: { ...FAKE_PLUGIN_SETTINGS, maxHoldS: 30 } },
			directory: { one: version('1', (call) => call.answer(hold(600))) },
		},
		starts: 'limit',
	},
	{
		name: 'a check that is not installed, with settings that name its class',
		day: {
			plugins: { one: { ...FAKE_PLUGIN_SETTINGS, maxHoldS: 20, classes: [CHECKED_CLASS] } },
			directory: { one: null },
		},
		starts: 'limit',
	},
]

for (const row of days)
	test(`checked jobs: ${row.name}`, async () => {
		const { simulation, violations, starts, lateChecks } = await runPluginDay(createDay(row.day))
		assert.deepEqual(violations, [])
		assert.deepEqual(simulation.invariants.unfinishedJobs(), [], 'every job finishes')
		assert.equal(lateChecks, 0, 'no check is queried about a job that has started')
		const all = starts.released + starts.limit + starts.unsure
		assert.ok(all >= 12, `${all} checked jobs started`)
		if (row.starts !== undefined) assert.equal(starts[row.starts], all, JSON.stringify(starts))
	})

test('a new version every few seconds, some of them faulty, with crashes and drains', async () => {
	const faultyBehaviors: FakePluginVersion['behave'][] = [
		null,
		() => {},
		(call: FakePluginCall) => call.crash('no'),
		(call: FakePluginCall) => call.answer({ release: 'perhaps' }),
	]
	const upgrades = Array.from({ length: 60 }, (_, i) => ({
		atS: 5 + i * 2.5,
		name: 'one',
		to: version(`${i + 2}`, i % 3 === 1 ? faultyBehaviors[(i / 3) & 3] : releaseAfter(6)),
	}))
	const drains: Fault[] = [
		{ atS: 40, kind: 'drain', who: [1], forS: 4 },
		{ atS: 110, kind: 'drain', who: [2], forS: 4 },
	]
	const { simulation, violations, starts, hosts } = await runPluginDay(
		createDay({ upgrades, faults: [...mixedFaults, ...drains], drift: true }),
	)
	assert.deepEqual(violations, [])
	assert.deepEqual(simulation.invariants.unfinishedJobs(), [])
	assert.equal(starts.unsure, 0)
	assert.ok(starts.released > starts.limit, JSON.stringify(starts))
	const listedPlugins = hosts.flatMap((h) => h?.list() ?? [])
	assert.ok(listedPlugins.length > 0)
})

test('jobs without a check are not delayed by a faulty check of other jobs', async () => {
	const meanStartDelayMs = ({ firstStart }: { firstStart: Map<string, number> }) => {
		const uncheckedStarts = [...firstStart].filter(([uid]) => Number(uid.slice(-4)) % 2 === 1)
		return (
			uncheckedStarts.reduce((sum, [uid, ms]) => sum + ms - (1 + Number(uid.slice(-4)) * 1.5) * 1000, 0) /
			uncheckedStarts.length
		)
	}
	const withoutPlugins = await runPluginDay(createDay({ plugins: {}, directory: {} }))
	for (const behave of [
		() => {},
		(call: FakePluginCall) => call.crash('no'),
		(call: FakePluginCall) => call.answer(hold(1)),
	]) {
		const ratio =
			meanStartDelayMs(await runPluginDay(createDay({ directory: { one: version('1', behave) } }))) /
			meanStartDelayMs(withoutPlugins)
		assert.ok(ratio < 1.2, `${ratio.toFixed(2)} times the start delay without plug-ins`)
	}
})

test('a refusal before acceptance reaches the user, and a plug-in that hangs refuses no job', async () => {
	const admit: NonNullable<FakePluginVersion['behave']> = (call) =>
		call.hook === 'release'
			? call.answer(release)
			: call.answer(
					Number(call.job.uid.slice(-4)) % 4 === 0 ? { refuse: 'no cut-off today' } : { pass: true },
				)
	const refused = jobs(40).filter((j) => Number(j.spec.uid.slice(-4)) % 4 === 0).length
	const hooks = ['admit', 'release'] as const
	const refusing = await runPluginDay(
		createDay({ directory: { one: version('1', admit, { hooks }) }, faults: mixedFaults }),
	)
	assert.deepEqual(refusing.violations, [])
	assert.equal(refusing.simulation.workload.submissions.get(422), refused)
	const hanging = await runPluginDay(createDay({ directory: { one: version('1', () => {}, { hooks }) } }))
	assert.deepEqual(hanging.violations, [])
	assert.equal(hanging.simulation.workload.submissions.get(422), undefined)
	assert.deepEqual(hanging.simulation.invariants.unfinishedJobs(), [])
})
