/**
 * The simulated days whose traffic is recorded: short, with fixed seeds, and chosen so that every kind of record and
 * message occurs on at least one of them.
 */
import type { PluginHost } from '@heathroad/plugins'
import {
	arrayJob,
	FAKE_PLUGIN_SETTINGS,
	type FakePluginDirectory,
	type SimulatedDay,
	Simulation,
	startFakePlugins,
} from '@heathroad/testkit'
import type { JobSpec } from '@heathroad/wire'
import type { Recorder } from './recorder.js'

/** A simulated day with a fixed seed. */
export interface GoldenDay {
	/** the name of its fixture */
	name: string
	run(recorder: Recorder): Promise<Simulation>
}

const uidOf = (number: number): string => `job-${String(number).padStart(6, '0')}`

/** Jobs of every kind and priority and with every constraint; some are cancelled. */
const variedJobs = (): SimulatedDay['jobs'] => {
	const variants: Partial<JobSpec>[] = [
		{},
		{ priority: 'urgent', spot: false },
		{ zone: 'a', priority: 'idle' },
		{ types: ['box'], checkpointS: 3, saveS: 1 },
		{ kind: 'gang', tasks: 4, samePlace: true },
		{ apart: true, dueS: 90.5, team: 'team-a' },
		{ kind: 'daemon', tasks: 2, priority: 'production', expectedS: 300 },
		{ jobClass: 'broken', tasks: 3, expectedS: 300 },
		{ cpus: 99 },
		{ team: 'team-unknown' },
	]
	return Array.from({ length: 70 }, (_, number) => {
		const variant = variants[number % variants.length]
		const isLong = (variant.expectedS ?? 0) >= 300
		const atS = 1 + number * 1.2
		return {
			atS,
			spec: arrayJob(uidOf(number), {
				tasks: 2 + (number % 7),
				expectedS: 5 + (number % 4) * 3,
				image: `img-${number % 3}`,
				...variant,
			}),
			...(isLong || number % 11 === 4 ? { cancelAtS: atS + 25 } : {}),
		}
	})
}

/** An array with so many tasks that its progress is stored under separate keys. */
const wideJob: SimulatedDay['jobs'][number] = {
	atS: 3,
	spec: arrayJob('job-00000000000000000007', { tasks: 2500, cpus: 0.05, ramGb: 0.1, expectedS: 25 }),
}

/** Terminal states under separate keys, as in the first record format. */
const FIRST_FORMAT_RECORDS: Readonly<Record<string, unknown>> = {
	'heathroad/job/job-500001': {
		part: 0,
		final: 'done',
		tasks: 4,
		need: { team: 'core', cpus: 1, gpus: 0, ramGb: 1 },
	},
	'heathroad/job/job-500002': {
		part: 1,
		final: 'aborted',
		tasks: 9,
		need: { team: 'core', cpus: 2, gpus: 0, ramGb: 4.5 },
		count: 3,
	},
}

const runRecorded = async (
	day: SimulatedDay,
	recorder: Recorder,
	prepare: (simulation: Simulation) => void = () => {},
) => {
	const simulation = new Simulation(day)
	prepare(simulation)
	recorder.attach(simulation)
	await simulation.run()
	return simulation
}

/** Many faults at once, with terminal-state pages, the archive, and the migration from the first format. */
export const runArchivedDay = (recorder: Recorder, seed: number): Promise<Simulation> =>
	runRecorded(
		{
			seed,
			untilS: 420,
			jobs: [...variedJobs(), wideJob],
			faults: [
				{ atS: 15, kind: 'spotNotice', forS: 6 },
				{ atS: 22, kind: 'closeLooks', share: 0.5, forS: 30 },
				{ atS: 25, kind: 'oddRequests', forS: 40 },
				{ atS: 30, kind: 'machineFaulty' },
				{ atS: 40, kind: 'stateDown', forS: 14 },
				{ atS: 62, kind: 'cut', who: [1], from: 'workers', forS: 15 },
				{ atS: 70, kind: 'cancelNow', count: 4 },
				{ atS: 85, kind: 'drain', who: [2], forS: 4 },
				{ atS: 110, kind: 'crash', who: [0], forS: 6 },
				{ atS: 125, kind: 'cut', who: [1], from: 'state', forS: 14 },
				{ atS: 150, kind: 'machineDies' },
			],
			up: 5,
			guarantees: new Map([['team-a', 16]]),
			limits: new Map([['core', 64]]),
			balanced: true,
		},
		recorder,
		(simulation) => {
			for (const [key, data] of Object.entries(FIRST_FORMAT_RECORDS)) simulation.state.put(key, data)
		},
	)

export const ARCHIVED_DAY_SEED = 11

const archivedDay: GoldenDay = {
	name: 'archived',
	run: (recorder) => runArchivedDay(recorder, ARCHIVED_DAY_SEED),
}

/** Records stay in the first format: terminal states under separate keys. */
const firstFormatDay: GoldenDay = {
	name: 'first-form',
	run: (recorder) =>
		runRecorded(
			{
				seed: 12,
				untilS: 120,
				jobs: variedJobs().slice(0, 20),
				faults: [{ atS: 30, kind: 'crash', who: [1], forS: 5 }],
				history: null,
			},
			recorder,
		),
}

/** Jobs that plug-ins hold for some time, queried one by one or by class. */
const pluginsDay: GoldenDay = {
	name: 'plugins',
	run: async (recorder) => {
		const directory: FakePluginDirectory = {
			single: {
				version: '1',
				ask: 'job',
				classes: ['checked'],
				hooks: ['admit', 'release'],
				behave: (call) => {
					const args = call.hook === 'admit' ? [call.job] : [call.job, call.facts]
					recorder.recordJson(`plug-in call ${call.hook}`, call.hook, JSON.stringify(args))
					if (call.hook === 'admit') return call.answer({ pass: true })
					call.answer(call.facts.waitedS < 4 ? { hold: 'not yet', againS: 2 } : { release: true })
				},
			},
			grouped: {
				version: '1',
				ask: 'class',
				classes: ['grouped'],
				behave: (call) => {
					recorder.recordJson('plug-in call release', call.hook, JSON.stringify([call.job, call.facts]))
					call.answer(call.facts.waitedS < 6 ? { hold: 'not yet' } : { release: true })
				},
			},
		}
		const classes = ['checked', 'grouped', 'any']
		const jobs = Array.from({ length: 18 }, (_, number) => ({
			atS: 2 + number,
			spec: arrayJob(uidOf(number), { tasks: 2, expectedS: 5, jobClass: classes[number % 3] }),
		}))
		const hosts: PluginHost[] = []
		const simulation = await runRecorded(
			{ seed: 13, untilS: 120, jobs, faults: [] },
			recorder,
			(simulation) => {
				simulation.onStarted = (index, node) => {
					const settings = { single: FAKE_PLUGIN_SETTINGS, grouped: FAKE_PLUGIN_SETTINGS }
					const host = startFakePlugins(simulation.clock, index, node, directory, settings)
					hosts.push(host)
					node.checks = host
				}
			},
		)
		for (const host of hosts) host.stop()
		return simulation
	},
}

export const GOLDEN_DAYS: readonly GoldenDay[] = [archivedDay, firstFormatDay, pluginsDay]
