/** Generates simulated days of any kind from a seed, runs them and reports what went wrong. */
import { randomDoubleOutageDay } from './double-outage.js'
import { runPluginDay } from './plugin-days.js'
import { randomCompoundFaultDay } from './random-compound-faults.js'
import { randomDay } from './random-days.js'
import { randomMigrationDay } from './random-migration-days.js'
import { randomPluginDay } from './random-plugin-days.js'
import { Simulation } from './simulation.js'
import type { TracedMessage } from './trace.js'

/**
 * Kinds of days: random faults (`any`), random faults with plug-ins, double outages (`gap`), compound faults
 * (`meetings`), and a late change of the record format (`migration`).
 */
export type RandomDayKind = 'any' | 'plugins' | 'gap' | 'meetings' | 'migration'

/** Observers of a simulated day. */
export interface DayObservers {
	/** takes the controllers' log lines */
	onLogLine?: (line: string) => void
	/** takes every message that a controller sends or receives */
	trace?: (message: TracedMessage) => void
}

/** Result of a day. */
export interface RandomDayResult {
	/** violations of invariants, and other failures */
	violations: string[]
	/** jobs that reached no terminal state */
	unfinished: string[]
	/** number of task placements */
	started: number
	/** number of occurrences of each counted event in the controllers' logs */
	eventCounts: Record<string, number>
}

/** Generates the day of this seed and kind, and runs it. */
export const runRandomDay = async (
	seed: number,
	kind: RandomDayKind,
	{ onLogLine = () => {}, trace }: DayObservers = {},
): Promise<Simulation> => {
	if (kind === 'plugins') return (await runPluginDay(randomPluginDay(seed), onLogLine, trace)).simulation
	const createDay = {
		any: randomDay,
		gap: randomDoubleOutageDay,
		meetings: randomCompoundFaultDay,
		migration: randomMigrationDay,
	}[kind]
	const simulation = new Simulation(createDay(seed))
	simulation.onLogLine = onLogLine
	simulation.trace = trace ?? null
	await simulation.run()
	return simulation
}

/** Generates a day, runs it and checks it. `countedEvents`: log events to count. */
export const checkRandomDay = async (
	seed: number,
	countedEvents: readonly string[] = [],
	kind: RandomDayKind = 'any',
): Promise<RandomDayResult> => {
	const eventCounts: Record<string, number> = Object.fromEntries(countedEvents.map((event) => [event, 0]))
	const onLogLine = (line: string) => {
		for (const event of countedEvents) if (line.includes(` ${event} {`)) eventCounts[event]++
	}
	const { invariants } = await runRandomDay(seed, kind, { onLogLine })
	return {
		violations: [...invariants.violations, ...invariants.failures()],
		unfinished: invariants.unfinishedJobs(),
		started: invariants.taskPlacements,
		eventCounts,
	}
}
