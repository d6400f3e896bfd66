/**
 * Days with two overlapping outages: the state service rejects single leaders while other controllers confirm
 * cancellations; then it is down for all while machines still send heartbeats to the old leaders (incident 21).
 */
import { seededDraws } from './random-faults.js'
import { arrayJob, type Fault, type SimulatedDay, type WorkerTimes } from './simulated-day.js'
import type { DayJob } from './user-workload.js'

/** Parameters of such a day. */
export interface DoubleOutage {
	controllers: number
	/** indexes of the controllers that the state service rejects, one after the other */
	refused: readonly number[]
	/** how long before the outage the first rejection begins */
	beforeS: number
	/** pause between the beginnings of two rejections */
	apartS: number
	/** how long a rejection lasts beyond the beginning of the outage */
	refusedS: number
	outageS: number
	/** further faults; their times count from the beginning of the outage */
	more: readonly Fault[]
	drift: boolean
	/** terminal jobs are archived */
	archives: boolean
	report: WorkerTimes
}

/** The values with which the fault was first seen. */
const AS_FIRST_SEEN: DoubleOutage = {
	controllers: 3,
	refused: [0],
	beforeS: 2,
	apartS: 1,
	refusedS: 12,
	outageS: 47.2,
	more: [],
	drift: true,
	archives: true,
	report: { reportS: 2.5, leaseS: 15.25, cancelS: 35.25 },
}

/** When the outage begins, in seconds. */
const OUTAGE_S = 45
/** Time after the outage in which every job has to end, in seconds. */
const RECOVERY_S = 330
const JOBS = 48
const JOB_INTERVAL_S = 0.95
const MACHINES = 12
/** Jobs that are cancelled run so long that nothing else ends them within the outage. */
const CANCELLED_RUN_S = 200
const RUN_S = 25

/** A day with a double outage and long jobs, most of which are cancelled around it. */
export const doubleOutageDay = (seed: number, overrides: Partial<DoubleOutage> = {}): SimulatedDay => {
	const outage = { ...AS_FIRST_SEEN, ...overrides }
	const { random } = seededDraws(seed)
	return {
		seed,
		untilS: OUTAGE_S + outage.outageS + RECOVERY_S,
		jobs: Array.from({ length: JOBS }, (_, index) => outageJob(outage, index, random)),
		faults: outageFaults(outage),
		controllers: outage.controllers,
		drift: outage.drift,
		report: outage.report,
		history: outage.archives ? undefined : null,
		capacity: MACHINES,
		up: MACHINES,
	}
}

const outageFaults = (outage: DoubleOutage): Fault[] => [
	...outage.refused.map(
		(controller, index): Fault => ({
			atS: OUTAGE_S - outage.beforeS + index * outage.apartS,
			kind: 'stateRejects',
			who: [controller],
			forS: outage.beforeS + outage.refusedS,
		}),
	),
	{ atS: OUTAGE_S, kind: 'stateDown', forS: outage.outageS },
	...outage.more.map((fault) => ({ ...fault, atS: OUTAGE_S + fault.atS })),
]

/**
 * Most cancellations come as the outage begins, some long before or after: while the state service rejects one
 * controller alone, others can confirm them.
 */
const outageJob = (outage: DoubleOutage, index: number, random: () => number): DayJob => {
	const { beforeS, outageS } = outage
	const atS = 1 + index * JOB_INTERVAL_S
	const nearOutageS = OUTAGE_S - beforeS - 1 + random() * (beforeS + 1)
	const cancelled = random() < 0.8
	const near = random() < 0.8
	const cancelAtS = Math.max(atS + 1, near ? nearOutageS : OUTAGE_S + random() * (outageS + 20))
	const spec = arrayJob(`job-${String(index).padStart(6, '0')}`, {
		tasks: 1 + Math.floor(random() * 3),
		expectedS: cancelled ? CANCELLED_RUN_S : RUN_S,
	})
	return { atS, spec, ...(cancelled ? { cancelAtS } : {}) }
}

/** A day with a double outage of which everything follows from the seed. */
export const randomDoubleOutageDay = (seed: number): SimulatedDay => {
	// Other seeds than those of the other kinds of days.
	const { random, pick } = seededDraws(seed + 2_000_000)
	const controllers = pick([3, 3, 5])
	const indexes = Array.from({ length: controllers }, (_, index) => index)
	const refused = indexes.filter(() => random() < 0.35)
	const beforeS = pick([1, 2, 4, 8, 15, 30]) * (0.7 + random() * 0.6)
	const more = Array.from({ length: Math.floor(random() * 4) }, (): Fault => {
		const kind = pick([
			'crash',
			'cut',
			'freeze',
			'slowState',
			'internalError',
			'stateRejects',
			'machinesCut',
		] as const)
		return {
			atS: -beforeS + random() * (beforeS + 12),
			kind,
			who: [pick(indexes)],
			from: pick(['peers', 'peers', 'state', 'workers'] as const),
			forS: kind === 'crash' ? 0.2 + random() * 3 : random() * random() * 40,
		}
	})
	return doubleOutageDay(seed, {
		controllers,
		refused: refused.length > 0 ? refused : [pick(indexes)],
		beforeS,
		apartS: random() * 5,
		refusedS: random() * 30,
		outageS: pick([10, 25, 47.2, 70]),
		more,
		archives: random() < 0.5,
		report: pick([
			{ reportS: 2.5, leaseS: 15.25, cancelS: 35.25 },
			{ reportS: 1, leaseS: 10, cancelS: 30 },
			{ reportS: 4, leaseS: 26, cancelS: 46 },
		]),
	})
}
