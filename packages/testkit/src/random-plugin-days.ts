/** Simulated days of random faults with plug-ins that change and fail, generated from a seed. */
import { FAKE_PLUGIN_SETTINGS, type FakePluginVersion } from './fake-plugins.js'
import { CHECKED_CLASS, type PluginDay } from './plugin-days.js'
import { randomDay } from './random-days.js'
import { seededDraws } from './random-faults.js'

/** How a version of a plug-in handles a call, from correct to faulty: late, never or invalid answers, and errors. */
const BEHAVIOURS: readonly NonNullable<FakePluginVersion['behave']>[] = [
	(call) => call.answer({ release: true }),
	(call) => call.answer(call.facts.waitedS < 6 ? { hold: 'not yet', againS: 2 } : { release: true }),
	(call) => call.answer({ hold: 'never', againS: 5 }),
	(call) => call.answer({ release: true }, 150),
	(call) => call.answer({ release: true }, 5000),
	() => {},
	(call) => call.crash('gone'),
	(call) => call.fail('thrown'),
	(call) => call.answer({ release: 1 }),
	(call) => [1, 5, 9].map((ms) => call.answer({ release: true }, ms)),
	(call) => (call.job.uid.endsWith('3') ? undefined : call.answer({ release: true })),
]

const UPGRADES = 50

/** Generates a day of random faults on which plug-ins check half of the jobs and are upgraded frequently. */
export const randomPluginDay = (seed: number): PluginDay => {
	const day = randomDay(seed)
	// The offset keeps the seeds apart from those of other kinds of days.
	const { random, pick } = seededDraws(seed + 1_000_000)
	const names = ['one', 'two'].slice(0, 1 + Math.floor(random() * 2))
	let versions = 0
	const nextVersion = (): FakePluginVersion => ({
		version: `${++versions}`,
		behave: random() < 0.1 ? null : pick(BEHAVIOURS),
		classes: [CHECKED_CLASS],
		ask: 'job',
	})
	const whenUnsure = pick(['release', 'hold'] as const)
	const plugins = Object.fromEntries(
		names.map((name) => [
			name,
			{ ...FAKE_PLUGIN_SETTINGS, maxHoldS: 20 + random() * 60, whenUnsure, classes: [CHECKED_CLASS] },
		]),
	)
	const upgrades: NonNullable<PluginDay['upgrades']> = Array.from({ length: UPGRADES }, (_, index) => ({
		atS: 2 + index * 4 * random(),
		name: pick(names),
		to: random() < 0.1 ? null : nextVersion(),
	}))
	return {
		...day,
		jobs: day.jobs.map((job) =>
			random() < 0.5 ? job : { ...job, spec: { ...job.spec, jobClass: CHECKED_CLASS } },
		),
		plugins,
		directory: Object.fromEntries(names.map((name) => [name, nextVersion()])),
		upgrades: [...upgrades].sort((a, b) => a.atS - b.atS),
	}
}
