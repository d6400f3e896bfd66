/** Runs a long job history in virtual time and samples which quantities grow with it. */
import { arrayJob, type Fault, type SimulatedDay } from './simulated-day.js'
import { Simulation } from './simulation.js'

/** Keys, writes and memory in use at one time in a history. */
export interface HistorySample {
	/** jobs submitted so far */
	jobs: number
	/** number of keys that controllers watch */
	watchedKeys: number
	/** number of keys in the archive */
	archiveKeys: number
	/** key changes so far: those of terminal states, those of the archive, and all */
	changes: { outcomes: number; archive: number; all: number }
	/** largest number of terminal states that any controller holds in memory */
	heldTerminalStates: number
}

/** Result of a history. */
export interface HistoryGrowth {
	samples: HistorySample[]
	violations: string[]
	/** number of jobs that are not terminal */
	unfinished: number
}

/** Parameters of a history. */
export interface HistoryGrowthOptions {
	jobs: number
	/** jobs submitted per second */
	jobsPerS: number
	/** number of samples */
	samples: number
	seed: number
}

/** Time after the last submission within which every job must become terminal, in seconds. */
const RECOVERY_S = 300
/** Time of the first fault, interval between faults, and minimum time from the last one to the end, in seconds. */
const FAULTS = { fromS: 300, everyS: 600, beforeEndS: 200 }
/** Time from the last sample to the end, in seconds. */
const LAST_SAMPLE_BEFORE_END_S = 250

/** Every ten minutes a crash, a network partition, an outage or a freeze in turn, each at the next controller. */
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

/** Jobs of one or two short tasks; ids are unordered and of several widths, and every twentieth job is cancelled. */
const historyJobs = (jobs: number, jobsPerS: number): SimulatedDay['jobs'] =>
	Array.from({ length: jobs }, (_, index) => {
		const number = ((index + 1) * 7_919_317) % 1_000_003
		return {
			atS: 1 + index / jobsPerS,
			spec: arrayJob(`job-${String(number).padStart(6 + (index % 8), '0')}`, {
				tasks: 1 + (index % 2),
				cpus: 0.5,
				expectedS: 4,
			}),
			...(index % 20 === 7 ? { cancelAtS: 3 + index / jobsPerS } : {}),
		}
	})

/** Returns counters of key changes that are updated as the simulation runs. */
const countChanges = (simulation: Simulation): HistorySample['changes'] => {
	const changes = { outcomes: 0, archive: 0, all: 0 }
	simulation.state.onChanged = (key) => {
		changes.all++
		if (key.startsWith('heathroad/over/')) changes.outcomes++
		else if (key.startsWith('heathroad-past/') || key === 'heathroad/history') changes.archive++
	}
	return changes
}

/** Runs a history of jobs with a fault every ten minutes. */
export const measureHistoryGrowth = async (options: HistoryGrowthOptions): Promise<HistoryGrowth> => {
	const { jobs, jobsPerS, samples: sampleCount, seed } = options
	const untilS = jobs / jobsPerS + RECOVERY_S
	const simulation = new Simulation({
		seed,
		untilS,
		capacity: 6,
		history: { archiveBatchSize: 100, writeRateShare: 0.3, pageCacheMb: 1 },
		jobs: historyJobs(jobs, jobsPerS),
		faults: historyFaults(untilS),
	})
	const changes = countChanges(simulation)
	const samples: HistorySample[] = []
	for (let number = 1; number <= sampleCount; number++) {
		const atMs = ((untilS - LAST_SAMPLE_BEFORE_END_S) * 1000 * number) / sampleCount
		simulation.clock.after(atMs, () => {
			samples.push({
				jobs: Math.round((jobs * number) / sampleCount),
				watchedKeys: simulation.state.countKeys('heathroad/'),
				archiveKeys: simulation.state.countKeys('heathroad-past/'),
				changes: { ...changes },
				heldTerminalStates: simulation.maxTerminalCount(),
			})
		})
	}
	await simulation.run()
	const { invariants } = simulation
	return { samples, violations: invariants.violations, unfinished: invariants.unfinishedJobs().length }
}
