/** Plays a long history in virtual time, and samples what grows with it and what does not. */
import { arrayJob, type Fault, type SimulatedDay } from './simulated-day.js'
import { Simulation } from './simulation.js'

/** What a history has cost at one moment of it. */
export interface HistorySample {
	/** jobs submitted so far */
	jobs: number
	/** keys that controllers watch */
	followed: number
	/** keys of the archive */
	archived: number
	/** changes of keys so far, by what they are for */
	changes: { outcomes: number; archive: number; all: number }
	/** largest number of terminal states that a controller holds in memory */
	held: number
}

/** What came of a history. */
export interface HistoryGrowth {
	samples: HistorySample[]
	broken: string[]
	/** number of jobs that did not end */
	unfinished: number
}

/** Parameters of a history. */
export interface HistoryGrowthOptions {
	jobs: number
	/** jobs submitted a second */
	perS: number
	/** number of samples */
	samples: number
	seed: number
}

/** Time after the last submission in which every job has to end, in seconds. */
const RECOVERY_S = 300
/** When faults begin, their interval, and how long before the end the last one is, in seconds. */
const FAULTS = { fromS: 300, everyS: 600, beforeEndS: 200 }
/** The last sample is taken so long before the end, in seconds. */
const LAST_SAMPLE_BEFORE_END_S = 250

/** Every ten minutes a crash, a cut, an outage or a freeze by turns, each at the next controller. */
const historyFaults = (untilS: number): Fault[] => {
	const faults: Fault[] = []
	for (let atS = FAULTS.fromS, index = 0; atS < untilS - FAULTS.beforeEndS; atS += FAULTS.everyS, index++) {
		const who = [index % 3]
		if (index % 4 === 0) faults.push({ atS, kind: 'crash', who })
		else if (index % 4 === 1) faults.push({ atS, kind: 'cut', who, from: 'state', forS: 15 })
		else if (index % 4 === 2) faults.push({ atS, kind: 'stateDown', forS: 8 })
		else faults.push({ atS, kind: 'freeze', who, forS: 8 })
	}
	return faults
}

/** Jobs of one or two short tasks with ids of several widths in no order; every twentieth is cancelled. */
const historyJobs = (jobs: number, perS: number): SimulatedDay['jobs'] =>
	Array.from({ length: jobs }, (_, index) => {
		const number = ((index + 1) * 7_919_317) % 1_000_003
		return {
			atS: 1 + index / perS,
			spec: arrayJob(`job-${String(number).padStart(6 + (index % 8), '0')}`, {
				tasks: 1 + (index % 2),
				cpus: 0.5,
				expectedS: 4,
			}),
			...(index % 20 === 7 ? { cancelAtS: 3 + index / perS } : {}),
		}
	})

/** Counts changes of keys by what they are for. */
const countChanges = (simulation: Simulation): HistorySample['changes'] => {
	const changes = { outcomes: 0, archive: 0, all: 0 }
	simulation.state.changed = (key) => {
		changes.all++
		if (key.startsWith('heathroad/over/')) changes.outcomes++
		else if (key.startsWith('heathroad-past/') || key === 'heathroad/history') changes.archive++
	}
	return changes
}

/** Plays a history of jobs with a fault every ten minutes. */
export const measureHistoryGrowth = async (options: HistoryGrowthOptions): Promise<HistoryGrowth> => {
	const { jobs, perS, samples: sampleCount, seed } = options
	const untilS = jobs / perS + RECOVERY_S
	const simulation = new Simulation({
		seed,
		untilS,
		capacity: 6,
		history: { archiveBatchSize: 100, writeRateShare: 0.3, pageCacheMb: 1 },
		jobs: historyJobs(jobs, perS),
		faults: historyFaults(untilS),
	})
	const changes = countChanges(simulation)
	const samples: HistorySample[] = []
	for (let number = 1; number <= sampleCount; number++) {
		const atMs = ((untilS - LAST_SAMPLE_BEFORE_END_S) * 1000 * number) / sampleCount
		simulation.clock.after(atMs, () => {
			samples.push({
				jobs: Math.round((jobs * number) / sampleCount),
				followed: simulation.state.count('heathroad/'),
				archived: simulation.state.count('heathroad-past/'),
				changes: { ...changes },
				held: simulation.maxTerminalCount(),
			})
		})
	}
	await simulation.run()
	const { invariants } = simulation
	return { samples, broken: invariants.violations, unfinished: invariants.unfinished().length }
}
