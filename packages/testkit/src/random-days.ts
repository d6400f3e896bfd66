import { randomDoubleOutageDay } from './double-outage.js'
import { type FakeVersion, PLUGIN } from './fake-plugins.js'
import { CHECKED, type PluginDay, playPluginDay } from './plugin-days.js'
import { draws } from './random-faults.js'
import { arrayJob, type Fault, type SimulatedDay } from './simulated-day.js'
import { Simulation } from './simulation.js'
import type { TracedMessage } from './trace.js'

const KINDS: readonly Fault['kind'][] = [
	'crash',
	'drain',
	'stateDown',
	'stateSlow',
	'cloudDown',
	'cut',
	'machineDies',
	'machinesCut',
	'spotNotice',
	'ownError',
	'freeze',
	'boots',
	'pollStorm',
	'zoneCut',
	'machineFaulty',
]

/** A day of troubles that nobody thought of together: everything about it follows from the seed. */
export const randomDay = (seed: number): SimulatedDay => {
	const { random, one } = draws(seed)
	const controllers = one([3, 3, 5])
	const troubles: Fault[] = []
	for (let atS = 15; atS < 160; atS += 3 + random() * 12) {
		const kind = one(KINDS)
		const some = Array.from({ length: controllers }, (_, i) => i).filter(() => random() < 0.4)
		const from = one([undefined, 'state', 'workers', 'peers'] as const)
		troubles.push({
			atS,
			kind,
			who: some.length > 0 ? some : [Math.floor(random() * controllers)],
			forS: 1 + random() * random() * 60,
			zone: one(['a', 'b']),
			factor: kind === 'boots' ? one([0.1, 4]) : 6,
			...(from === undefined ? {} : { from }),
		})
	}
	const jobs = Array.from({ length: 30 }, (_, i) => {
		const long = i % 9 === 3
		const atS = 1 + i * (1 + random() * 4)
		return {
			atS,
			spec: arrayJob(`job-${String(i).padStart(6, '0')}`, {
				tasks: 2 + Math.floor(random() * 30),
				image: `img-${i % 3}`,
				priority: one(['urgent', 'normal', 'idle'] as const),
				spot: random() < 0.8,
				zone: random() < 0.1 ? 'a' : null,
				checkpointS: random() < 0.3 ? 3 : 0,
				saveS: 1,
				// So long that only a cancellation can have ended it.
				expectedS: long ? 300 : 4 + random() * 20,
			}),
			...(long ? { cancelAtS: atS + 20 + random() * 60 } : {}),
		}
	})
	return {
		seed,
		untilS: 900,
		jobs,
		faults: troubles,
		loss: one([0, 0.005, 0.02]),
		lossUntilS: 250,
		controllers,
		up: one([0, 0, 6]),
		drift: random() < 0.5,
		capacity: 2 + Math.floor(random() * 6),
		...(random() < 0.2 ? { limits: new Map([['core', 24]]) } : {}),
	}
}

/** The troubles of which two or three meet, at the same moments. */
const MEETING: readonly ((random: () => number, who: number[]) => Omit<Fault, 'atS'>)[] = [
	(r, who) => ({ kind: 'cut', who, from: ['state', 'peers'], forS: 2 + r() * 45 }),
	(r) => ({ kind: 'heldUp', forS: 5 + r() * 30, share: 0.2 + r() * 0.5 }),
	(r) => ({ kind: 'lateWrites', forS: 3 + r() * 30, share: 0.1 + r() * 0.5 }),
	(r) => ({ kind: 'machineDeaf', forS: 2 + r() * 40, share: 0.2 + r() * 0.6 }),
	(r) => ({ kind: 'lateReports', forS: 5 + r() * 40, share: 0.2 + r() * 0.5 }),
	(r, who) => ({ kind: 'crash', who, forS: 0.1 + r() * r() * 10 }),
	(r) => ({ kind: 'crash', who: [0, 1, 2], forS: 0.1 + r() }),
	(r, who) => ({ kind: 'drain', who, forS: 0.1 + r() * 3 }),
	(r, who) => ({ kind: 'stateRefuses', who, forS: 1 + r() * 20 }),
	(r) => ({ kind: 'stateDown', forS: 1 + r() * 50 }),
	(r) => ({ kind: 'stateSlow', forS: 5 + r() * 30 }),
	(r, who) => ({ kind: 'freeze', who, forS: 0.5 + r() * 20 }),
	(r) => ({ kind: 'machinesCut', forS: 2 + r() * 30 }),
	(r, who) => ({ kind: 'cut', who, from: 'workers', forS: 5 + r() * 25 }),
	(_, who) => ({ kind: 'ownError', who }),
	(r, who) => ({ kind: 'watchLost', who, forS: 5 + r() * 20 }),
	(r) => ({ kind: 'lostAnswers', forS: 3 + r() * 30, share: 0.1 + r() * 0.5 }),
	(r) => ({ kind: 'heldReports', forS: 5 + r() * 40, share: 0.2 + r() * 0.5 }),
	(r) => ({ kind: 'machineMute', forS: 2 + r() * 40, share: 0.2 + r() * 0.6 }),
	(r) => ({ kind: 'machineHang', forS: 1 + r() * 20, share: 0.1 + r() * 0.5 }),
	(r) => ({ kind: 'cancelNow', forS: 1, count: 3 + Math.floor(r() * 10), hangS: r() < 0.5 ? 0 : r() * 20 }),
	(r) => ({ kind: 'cancelAtEnd', forS: 5 + r() * 40, share: 0.3 + r() * 0.7 }),
	(r) => ({ kind: 'closeLooks', forS: 5 + r() * 40, share: 0.5 + r() * 0.5 }),
	(r) => ({ kind: 'oddRequests', forS: 5 + r() * 40 }),
	(r) => ({ kind: 'boots', forS: 10 + r() * 30, factor: 0.1 }),
	(r) => ({ kind: 'slowLinks', forS: 5 + r() * 40, factor: 0.3 + r() * 2 }),
]

/** A day of such meetings, with jobs of few tasks that end far apart, many of them cancelled. */
export const randomCompoundFaultDay = (seed: number): SimulatedDay => {
	const { random, one } = draws(seed + 3_000_000)
	const controllers = one([3, 3, 5])
	const some = () => {
		const who = Array.from({ length: controllers }, (_, i) => i).filter(() => random() < 0.35)
		return who.length > 0 ? who : [Math.floor(random() * controllers)]
	}
	// A team at its limit gets no more work than it can do within minutes.
	const limited = random() < 0.2
	const troubles: Fault[] = []
	for (let atS = 20; atS < 150; atS += 25 + random() * 30)
		for (let n = 2 + Math.floor(random() * 2); n > 0; n--)
			troubles.push({ atS: atS + random() * random() * 15, ...one(MEETING)(random, some()) })
	const jobs = Array.from({ length: 40 }, (_, i) => {
		const atS = 1 + i * (1 + random() * 4)
		const long = random() < 0.3
		return {
			atS,
			spec: arrayJob(`job-${String(i).padStart(6, '0')}`, {
				tasks: random() < 0.5 ? 2 + Math.floor(random() * 2) : 4 + Math.floor(random() * (limited ? 4 : 25)),
				image: `img-${i % 3}`,
				priority: one(['urgent', 'normal', 'idle'] as const),
				spot: random() < 0.8,
				checkpointS: random() < 0.3 ? 3 : 0,
				saveS: 1,
				expectedS: long ? 300 : 4 + random() * 40,
			}),
			...(long || random() < 0.2 ? { cancelAtS: atS + 5 + random() * 60 } : {}),
		}
	})
	return {
		seed,
		untilS: 900,
		jobs,
		faults: troubles,
		loss: one([0, 0, 0.01]),
		lossUntilS: 220,
		controllers,
		up: one([0, 6]),
		drift: random() < 0.5,
		capacity: 3 + Math.floor(random() * 6),
		history: random() < 0.4 ? null : undefined,
		...(limited ? { limits: new Map([['core', 24]]) } : {}),
		stateLimits: random() < 0.5,
	}
}

/** What a version of a plug-in may do to one call, from good to bad. */
const BEHAVIOURS: readonly NonNullable<FakeVersion['behave']>[] = [
	(c) => c.answer({ release: true }),
	(c) => c.answer(c.facts.waitedS < 6 ? { hold: 'not yet', againS: 2 } : { release: true }),
	(c) => c.answer({ hold: 'never', againS: 5 }),
	(c) => c.answer({ release: true }, 150),
	(c) => c.answer({ release: true }, 5000),
	() => {},
	(c) => c.crash('gone'),
	(c) => c.fail('thrown'),
	(c) => c.answer({ release: 1 }),
	(c) => [1, 5, 9].map((ms) => c.answer({ release: true }, ms)),
	(c) => (c.job.uid.endsWith('3') ? undefined : c.answer({ release: true })),
]

/** Such a day on which half of the jobs have to pass plug-ins, which change all the time. */
export const randomPluginDay = (seed: number): PluginDay => {
	const day = randomDay(seed)
	const { random, one } = draws(seed + 1_000_000)
	const names = ['one', 'two'].slice(0, 1 + Math.floor(random() * 2))
	let made = 0
	const version = (): FakeVersion => ({
		version: `${++made}`,
		behave: random() < 0.1 ? null : one(BEHAVIOURS),
		classes: [CHECKED],
		ask: 'job',
	})
	const whenUnsure = one(['release', 'hold'] as const)
	const plugins = Object.fromEntries(
		names.map((n) => [n, { ...PLUGIN, holdAtMostS: 20 + random() * 60, whenUnsure, classes: [CHECKED] }]),
	)
	const upgrades: NonNullable<PluginDay['upgrades']> = Array.from({ length: 50 }, (_, i) => ({
		atS: 2 + i * 4 * random(),
		name: one(names),
		to: random() < 0.1 ? null : version(),
	}))
	return {
		...day,
		jobs: day.jobs.map((j) => (random() < 0.5 ? j : { ...j, spec: { ...j.spec, jobClass: CHECKED } })),
		plugins,
		directory: Object.fromEntries(names.map((n) => [n, version()])),
		upgrades: [...upgrades].sort((a, b) => a.atS - b.atS),
	}
}

export interface HuntResult {
	broken: string[]
	unfinished: string[]
	started: number
	/** how often the controllers said what was asked for */
	said: Record<string, number>
}

/** Days of any troubles, those with plug-ins, meetings of a refusal with an outage, and of any two or three troubles. */
export type HuntKind = 'any' | 'plugins' | 'gap' | 'meetings'

/** What follows such a day as it is played. */
export interface DayObservers {
	/** takes the controllers' logs */
	tell?: (line: string) => void
	/** takes every message that crosses a boundary of a controller */
	trace?: (message: TracedMessage) => void
}

/** Plays the day of a kind that follows from a seed. */
export const playHuntDay = async (
	seed: number,
	kind: HuntKind,
	{ tell = () => {}, trace }: DayObservers = {},
): Promise<Simulation> => {
	if (kind === 'plugins') return (await playPluginDay(randomPluginDay(seed), tell, trace)).world
	const day = { any: randomDay, gap: randomDoubleOutageDay, meetings: randomCompoundFaultDay }[kind]
	const simulation = new Simulation(day(seed))
	simulation.tell = tell
	simulation.trace = trace ?? null
	await simulation.play()
	return simulation
}

/** Plays such a day; `count`: events of the log that are counted. */
export const huntDay = async (
	seed: number,
	count: readonly string[] = [],
	kind: HuntKind = 'any',
): Promise<HuntResult> => {
	const said: Record<string, number> = Object.fromEntries(count.map((event) => [event, 0]))
	const tell = (line: string) => {
		for (const event of count) if (line.includes(` ${event} {`)) said[event]++
	}
	const simulation = await playHuntDay(seed, kind, { tell })
	return {
		broken: [...simulation.invariants.violations, ...simulation.invariants.failures()],
		unfinished: simulation.invariants.unfinished(),
		started: simulation.invariants.started,
		said,
	}
}
