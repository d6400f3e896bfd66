/**
 * The fixed days whose traffic is recorded: short, on fixed seeds, and made so that every kind of record and message
 * appears on one of them.
 */
import type { PluginHost } from '@heathroad/plugins'
import {
	arrayJob,
	type FakeDirectory,
	fakePlugins,
	PLUGIN,
	type SimulatedDay,
	Simulation,
} from '@heathroad/testkit'
import type { JobSpec } from '@heathroad/wire'
import type { Recorder } from './recorder.js'

/** One fixed day. */
export interface GoldenDay {
	/** the name of its fixture */
	name: string
	play(recorder: Recorder): Promise<Simulation>
}

const uidOf = (number: number): string => `job-${String(number).padStart(6, '0')}`

/** Jobs of every kind, priority and wish, of which some are cancelled. */
const variedJobs = (): SimulatedDay['jobs'] => {
	const wishes: Partial<JobSpec>[] = [
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
		const wish = wishes[number % wishes.length]
		const long = (wish.expectedS ?? 0) >= 300
		const atS = 1 + number * 1.2
		return {
			atS,
			spec: arrayJob(uidOf(number), {
				tasks: 2 + (number % 7),
				expectedS: 5 + (number % 4) * 3,
				image: `img-${number % 3}`,
				...wish,
			}),
			...(long || number % 11 === 4 ? { cancelAtS: atS + 25 } : {}),
		}
	})
}

/** An array so wide that its progress has keys of its own. */
const wideJob: SimulatedDay['jobs'][number] = {
	atS: 3,
	spec: arrayJob('job-00000000000000000007', { tasks: 2500, cpus: 0.05, ramGb: 0.1, expectedS: 25 }),
}

/** Final states under keys of their own, as the first form of the records had them. */
const FIRST_FORM_KEYS: Readonly<Record<string, unknown>> = {
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

const playRecorded = async (
	day: SimulatedDay,
	recorder: Recorder,
	prepare: (world: Simulation) => void = () => {},
) => {
	const world = new Simulation(day)
	prepare(world)
	recorder.attach(world)
	await world.run()
	return world
}

/** Everything at once, with final states on pages, the archive, and the move from the first form. */
export const playArchivedDay = (recorder: Recorder, seed: number): Promise<Simulation> =>
	playRecorded(
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
		(world) => {
			for (const [key, data] of Object.entries(FIRST_FORM_KEYS)) world.state.put(key, data)
		},
	)

export const ARCHIVED_DAY_SEED = 11

const archivedDay: GoldenDay = {
	name: 'archived',
	play: (recorder) => playArchivedDay(recorder, ARCHIVED_DAY_SEED),
}

/** Records stay of the first form: final states under keys of their own. */
const firstFormDay: GoldenDay = {
	name: 'first-form',
	play: (recorder) =>
		playRecorded(
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

/** Jobs that plug-ins hold for a while, asked about one by one or by class. */
const pluginsDay: GoldenDay = {
	name: 'plugins',
	play: async (recorder) => {
		const directory: FakeDirectory = {
			single: {
				version: '1',
				ask: 'job',
				classes: ['checked'],
				hooks: ['admit', 'release'],
				behave: (call) => {
					const args = call.hook === 'admit' ? [call.job] : [call.job, call.facts]
					recorder.noteJson(`plug-in call ${call.hook}`, call.hook, JSON.stringify(args))
					if (call.hook === 'admit') return call.answer({ pass: true })
					call.answer(call.facts.waitedS < 4 ? { hold: 'not yet', againS: 2 } : { release: true })
				},
			},
			grouped: {
				version: '1',
				ask: 'class',
				classes: ['grouped'],
				behave: (call) => {
					recorder.noteJson('plug-in call release', call.hook, JSON.stringify([call.job, call.facts]))
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
		const world = await playRecorded({ seed: 13, untilS: 120, jobs, faults: [] }, recorder, (world) => {
			world.onStarted = (index, node) => {
				const settings = { single: PLUGIN, grouped: PLUGIN }
				const host = fakePlugins(world.clock, index, node, directory, settings)
				hosts.push(host)
				node.checks = host
			}
		})
		for (const host of hosts) host.stop()
		return world
	},
}

export const GOLDEN_DAYS: readonly GoldenDay[] = [archivedDay, firstFormDay, pluginsDay]
