import { arrayJob, type Fault } from './simulated-day.js'
import { Simulation } from './simulation.js'

/** What a history has cost at one moment of it. */
export interface MonthSample {
	jobs: number
	/** keys that controllers follow, and those of the archive */
	followed: number
	archived: number
	/** changes of keys so far, by what they are for */
	changes: { outcomes: number; archive: number; all: number }
	/** final states that a controller holds in memory */
	held: number
}

export interface Month {
	marks: MonthSample[]
	broken: string[]
	unfinished: number
}

/**
 * Jobs upon jobs in virtual time, with a crash, a cut or an outage every ten minutes: what grows with them and what
 * does not. `marks`: how often it is looked at.
 */
export const playMonth = async (jobs: number, perS: number, marks: number, seed: number): Promise<Month> => {
	const untilS = jobs / perS + 300
	const troubles: Fault[] = []
	for (let atS = 300, i = 0; atS < untilS - 200; atS += 600, i++) {
		const who = [i % 3]
		if (i % 4 === 0) troubles.push({ atS, kind: 'crash', who })
		else if (i % 4 === 1) troubles.push({ atS, kind: 'cut', who, from: 'state', forS: 15 })
		else if (i % 4 === 2) troubles.push({ atS, kind: 'stateDown', forS: 8 })
		else troubles.push({ atS, kind: 'freeze', who, forS: 8 })
	}
	const simulation = new Simulation({
		seed,
		untilS,
		capacity: 6,
		history: { batch: 100, share: 0.3, cacheMb: 1 },
		jobs: Array.from({ length: jobs }, (_, i) => ({
			atS: 1 + i / perS,
			spec: arrayJob(`job-${String(((i + 1) * 7_919_317) % 1_000_003).padStart(6 + (i % 8), '0')}`, {
				tasks: 1 + (i % 2),
				cpus: 0.5,
				expectedS: 4,
			}),
			...(i % 20 === 7 ? { cancelAtS: 3 + i / perS } : {}),
		})),
		faults: troubles,
	})
	const changes = { outcomes: 0, archive: 0, all: 0 }
	simulation.state.changed = (key) => {
		changes.all++
		if (key.startsWith('heathroad/over/')) changes.outcomes++
		else if (key.startsWith('heathroad-past/') || key === 'heathroad/history') changes.archive++
	}
	const out: MonthSample[] = []
	for (let k = 1; k <= marks; k++)
		simulation.clock.after(((untilS - 250) * 1000 * k) / marks, () => {
			out.push({
				jobs: Math.round((jobs * k) / marks),
				followed: simulation.state.count('heathroad/'),
				archived: simulation.state.count('heathroad-past/'),
				changes: { ...changes },
				held: simulation.held(),
			})
		})
	await simulation.play()
	return {
		marks: out,
		broken: simulation.invariants.violations,
		unfinished: simulation.invariants.unfinished().length,
	}
}
