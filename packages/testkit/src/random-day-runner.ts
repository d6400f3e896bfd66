/** Runs days that follow from a seed, by kind, and reports what went wrong. */
import { randomDoubleOutageDay } from './double-outage.js'
import { runPluginDay } from './plugin-days.js'
import { randomCompoundFaultDay } from './random-compound-faults.js'
import { randomDay } from './random-days.js'
import { randomMigrationDay } from './random-migration-days.js'
import { randomPluginDay } from './random-plugin-days.js'
import { Simulation } from './simulation.js'
import type { TracedMessage } from './trace.js'

/**
 * Kinds of days: of any random faults, those with plug-ins, double outages (`gap`), compound faults (`meetings`), and a
 * late change of the record format (`migration`).
 */
export type RandomDayKind = 'any' | 'plugins' | 'gap' | 'meetings' | 'migration'

/** What observes a day while it runs. */
export interface DayObservers {
	/** takes the controllers' log lines */
	tell?: (line: string) => void
	/** takes every message that a controller sends or receives */
	trace?: (message: TracedMessage) => void
}

/** What came of a day. */
export interface RandomDayResult {
	/** violations, and reasons why the day fails without one */
	violations: string[]
	/** jobs that never ended */
	unfinished: string[]
	/** number of task placements */
	started: number
	/** how often the controllers logged each event that was to be counted */
	eventCounts: Record<string, number>
}

/** Runs the day of a kind that follows from a seed. */
export const runRandomDay = async (
	seed: number,
	kind: RandomDayKind,
	{ tell = () => {}, trace }: DayObservers = {},
): Promise<Simulation> => {
	if (kind === 'plugins') return (await runPluginDay(randomPluginDay(seed), tell, trace)).simulation
	const createDay = {
		any: randomDay,
		gap: randomDoubleOutageDay,
		meetings: randomCompoundFaultDay,
		migration: randomMigrationDay,
	}[kind]
	const simulation = new Simulation(createDay(seed))
	simulation.tell = tell
	simulation.trace = trace ?? null
	await simulation.run()
	return simulation
}

/** Runs such a day and checks it; `countedEvents`: log events that are counted. */
export const checkRandomDay = async (
	seed: number,
	countedEvents: readonly string[] = [],
	kind: RandomDayKind = 'any',
): Promise<RandomDayResult> => {
	const eventCounts: Record<string, number> = Object.fromEntries(countedEvents.map((event) => [event, 0]))
	const tell = (line: string) => {
		for (const event of countedEvents) if (line.includes(` ${event} {`)) eventCounts[event]++
	}
	const { invariants } = await runRandomDay(seed, kind, { tell })
	return {
		violations: [...invariants.violations, ...invariants.failures()],
		unfinished: invariants.unfinished(),
		started: invariants.started,
		eventCounts,
	}
}
