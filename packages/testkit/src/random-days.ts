/** Simulated days of random jobs and faults, generated from a seed. */
import { seededDraws } from './random-faults.js'
import { arrayJob, type Fault, type FaultKind, type SimulatedDay } from './simulated-day.js'
import type { DayJob } from './user-workload.js'

/** The kinds of faults that are drawn; their order determines the day of a seed. */
const KINDS: readonly FaultKind[] = [
	'crash',
	'drain',
	'stateDown',
	'slowState',
	'cloudDown',
	'cut',
	'machineDies',
	'machinesCut',
	'spotNotice',
	'internalError',
	'freeze',
	'bootTimes',
	'pollStorm',
	'zoneCut',
	'machineFaulty',
]

const JOBS = 30
/** Period in which faults begin, in seconds. */
const FAULTS = { fromS: 15, untilS: 160 }

type Draws = ReturnType<typeof seededDraws>

/** Draws a fault. */
const randomFault = ({ random, pick }: Draws, atS: number, controllers: number): Fault => {
	const kind = pick(KINDS)
	const affected = Array.from({ length: controllers }, (_, index) => index).filter(() => random() < 0.4)
	const from = pick([undefined, 'state', 'workers', 'peers'] as const)
	return {
		atS,
		kind,
		who: affected.length > 0 ? affected : [Math.floor(random() * controllers)],
		forS: 1 + random() * random() * 60,
		zone: pick(['a', 'b']),
		factor: kind === 'bootTimes' ? pick([0.1, 4]) : 6,
		...(from === undefined ? {} : { from }),
	}
}

/** Draws a job. Every ninth takes so long that a cancellation is expected to end it. */
const randomJob = ({ random, pick }: Draws, index: number): DayJob => {
	const long = index % 9 === 3
	const atS = 1 + index * (1 + random() * 4)
	return {
		atS,
		spec: arrayJob(`job-${String(index).padStart(6, '0')}`, {
			tasks: 2 + Math.floor(random() * 30),
			image: `img-${index % 3}`,
			priority: pick(['urgent', 'normal', 'idle'] as const),
			spot: random() < 0.8,
			zone: random() < 0.1 ? 'a' : null,
			checkpointS: random() < 0.3 ? 3 : 0,
			saveS: 1,
			expectedS: long ? 300 : 4 + random() * 20,
		}),
		...(long ? { cancelAtS: atS + 20 + random() * 60 } : {}),
	}
}

/** Generates the day of random faults of a seed. */
export const randomDay = (seed: number): SimulatedDay => {
	const draws = seededDraws(seed)
	const { random, pick } = draws
	const controllers = pick([3, 3, 5])
	const faults: Fault[] = []
	for (let atS = FAULTS.fromS; atS < FAULTS.untilS; atS += 3 + random() * 12)
		faults.push(randomFault(draws, atS, controllers))
	const jobs = Array.from({ length: JOBS }, (_, index) => randomJob(draws, index))
	return {
		seed,
		untilS: 900,
		jobs,
		faults,
		loss: pick([0, 0.005, 0.02]),
		lossUntilS: 250,
		controllers,
		up: pick([0, 0, 6]),
		drift: random() < 0.5,
		capacity: 2 + Math.floor(random() * 6),
		...(random() < 0.2 ? { limits: new Map([['core', 24]]) } : {}),
	}
}
