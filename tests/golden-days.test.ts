/**
 * Runs the simulated days of `tests/golden/days.ts` and compares what was stored and sent on them with the fixtures
 * `tests/fixtures/golden/day-*.json`: every format has the same features, and every value of the fixture occurs again,
 * byte for byte.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { FakeStateStore, VirtualClock } from '@heathroad/testkit'
import { decode } from '@heathroad/wire'
import { ARCHIVED_DAY_SEED, GOLDEN_DAYS, runArchivedDay } from './golden/days.js'
import { bytesOf, fixtureText, isUpdating, readFixture, writeFixture } from './golden/fixtures.js'
import { type FormatRecording, Recorder } from './golden/recorder.js'
import { checkImported, snapshotOf } from './golden/snapshots.js'

const isJsonFormat = (format: string): boolean => format.startsWith('plug-in call')

/**
 * The day "archived" with the current code. Issue 32 changed its course from e499f66: after a takeover, machines are kept
 * while a job waits for them, the removal of a machine is written sooner, and lookups precede some acceptances. Issue 39
 * changed it from 575715b: a job lookup may read the records once more, and waiting jobs stay beside machines that look
 * up their owner. Issue 56 changed it from 84b59ae: every write of a terminal state has more conditions, and the record of
 * a job that has moved says so. The fixtures of all three versions are kept: their formats are still read and written
 * unchanged, and the current days show all of them.
 */
const CURRENT_ARCHIVED_DAY = 'archived-present'
const EARLIER_ARCHIVED_DAYS = ['archived', 'archived-575715b', 'archived-84b59ae']
const fixtureName = (dayName: string): string => (dayName === 'archived' ? CURRENT_ARCHIVED_DAY : dayName)
const FIXTURE_DAYS = [
	...new Set([...GOLDEN_DAYS.map((day) => day.name), ...EARLIER_ARCHIVED_DAYS, CURRENT_ARCHIVED_DAY]),
]

for (const day of GOLDEN_DAYS)
	test(`the day "${day.name}" stores and sends the same formats as before`, async (t) => {
		const recorder = new Recorder()
		const simulation = await day.run(recorder)
		assert.deepEqual(simulation.invariants.violations, [])
		const name = `day-${fixtureName(day.name)}.json`
		const result = recorder.result()
		if (isUpdating) writeFixture(name, fixtureText(result))
		const golden = JSON.parse(readFixture(name)) as Record<string, FormatRecording>
		assert.deepEqual(Object.keys(result), Object.keys(golden), 'the formats of the day')
		for (const [format, { features, samples }] of Object.entries(golden)) {
			assert.deepEqual(result[format].features, features, format)
			for (const sample of samples)
				assert.ok(
					recorder.hasRecorded(format, sample),
					`${format}: ${sample.about}: ${JSON.stringify(sample.view)}`,
				)
		}
		await t.test('its stored state as a snapshot', async () => {
			const file = `snapshot-${fixtureName(day.name)}.jsonl`
			const text = await snapshotOf(simulation.state)
			if (isUpdating) writeFixture(file, text)
			assert.equal(text, readFixture(file))
		})
	})

/** Seed of another day "archived", on which a heartbeat reaches a controller while its shard has no owner. */
const OTHER_SEED = 13

test('the current days show every path and type that the day "archived" showed on earlier versions', async () => {
	const recorder = new Recorder()
	const simulation = await runArchivedDay(recorder, OTHER_SEED)
	assert.deepEqual(simulation.invariants.violations, [])
	const otherDay = recorder.result()
	const current = GOLDEN_DAYS.map(
		(day) => JSON.parse(readFixture(`day-${fixtureName(day.name)}.json`)) as Record<string, FormatRecording>,
	)
	for (const name of EARLIER_ARCHIVED_DAYS) {
		const earlier = JSON.parse(readFixture(`day-${name}.json`)) as Record<string, FormatRecording>
		for (const [format, { features }] of Object.entries(earlier)) {
			const shown = new Set([...current, otherDay].flatMap((day) => day[format]?.features ?? []))
			assert.deepEqual(
				features.filter((feature) => !shown.has(feature)),
				[],
				`${name}: ${format}`,
			)
		}
	}
})

/**
 * The formats in which the day "archived" differs from e499f66, with the lost and new features of each. These formats
 * depend on which requests occur on a day. No feature is lost. Most new ones were valid on e499f66 too: optional fields of
 * a submission that are null. `moved` is a new field of the records of jobs, which e499f66 ignores.
 */
const CHANGED_FORMATS: Record<string, { lost: string[]; found: string[] }> = {
	'controller answer POST /checkin': { lost: [], found: [] },
	'controller answer POST /v<n>/runs': { lost: [], found: [] },
	'controller request POST /checkin': { lost: [], found: [] },
	'controller request POST /v<n>/runs': {
		lost: [],
		found: ['.ramGb: null', '.samePlace: null', '.snapshotEveryS: null'],
	},
	'peer answer /peer/news': { lost: [], found: [] },
	'peer request /peer/news': { lost: [], found: [] },
	'peer request /peer/promise': { lost: [], found: [] },
	'state key heathroad-past/<n>/<end>': { lost: [], found: [] },
	'state key heathroad/done/<job>/<n>': { lost: [], found: [] },
	'state key heathroad/intake/<name>': { lost: [], found: [] },
	'state key heathroad/job/<job>': { lost: [], found: ['.moved: boolean'] },
	'state key heathroad/over/<n>/<n>': { lost: [], found: [] },
	'state request POST /txn': { lost: [], found: [] },
	'worker answer /commands': { lost: [], found: [] },
	'worker request /commands': { lost: [], found: [] },
}

test('the day "archived" differs from that of e499f66 only in the listed formats and features', async () => {
	const recorder = new Recorder()
	await runArchivedDay(recorder, ARCHIVED_DAY_SEED)
	const current = recorder.result()
	const earlier = JSON.parse(readFixture('day-archived.json')) as Record<string, FormatRecording>
	assert.deepEqual(Object.keys(current), Object.keys(earlier), 'the formats of the day')
	const changedFormats: typeof CHANGED_FORMATS = {}
	for (const [format, { features, samples }] of Object.entries(earlier)) {
		const lost = features.filter((feature) => !current[format].features.includes(feature))
		const found = current[format].features.filter((feature) => !features.includes(feature))
		const hasAllValues = samples.every((sample) => recorder.hasRecorded(format, sample))
		if (lost.length + found.length > 0 || !hasAllValues) changedFormats[format] = { lost, found }
	}
	assert.deepEqual(changedFormats, CHANGED_FORMATS)
})

for (const name of FIXTURE_DAYS)
	test(`the recorded values of the day "${name}" decode to their views`, () => {
		const golden = JSON.parse(readFixture(`day-${name}.json`)) as Record<string, FormatRecording>
		for (const [format, { samples }] of Object.entries(golden))
			for (const sample of samples.filter(() => !isJsonFormat(format))) {
				const value = decode(Buffer.from(sample.bytes, 'hex'))
				assert.deepEqual(value, sample.view, format)
				assert.equal(bytesOf(value), sample.bytes, format)
			}
	})

for (const name of FIXTURE_DAYS)
	test(`the snapshot of the day "${name}" is read, checked, imported and exported again`, async () => {
		const { findings, imported } = await checkImported(`snapshot-${name}.jsonl`)
		assert.deepEqual(findings, [])
		const file = `snapshot-${name}-imported.jsonl`
		if (isUpdating) writeFixture(file, imported)
		assert.equal(imported, readFixture(file))
	})

test('a snapshot of a state that changes during the export', async () => {
	const state = new FakeStateStore(new VirtualClock(1))
	for (const key of ['heathroad/a', 'heathroad/b', 'heathroad/c']) state.put(key, { of: key })
	const apply = [{ set: 'heathroad/b', data: 'later' }, { delete: 'heathroad/c' }]
	const text = await snapshotOf(state, () => state.handle('POST', '/txn', { if: [], apply }, () => {}))
	if (isUpdating) writeFixture('snapshot-late.jsonl', text)
	assert.equal(text, readFixture('snapshot-late.jsonl'))
})
