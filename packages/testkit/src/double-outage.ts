/**
 * Simulated days with two overlapping outages: the state service first rejects individual shard owners while other
 * controllers confirm cancellations, then is down for all while machines still send heartbeats to the previous owners
 * (incident 21).
 */
import { seededDraws } from './random-faults.js'
import { arrayJob, type Fault, type SimulatedDay, type WorkerTimes } from './simulated-day.js'
import type { DayJob } from './user-workload.js'

/** Parameters of a day with a double outage. */
export interface DoubleOutage {
	controllers: number
	/** indexes of the controllers that the state service starts to reject, one after the other */
	rejectedControllers: readonly number[]
	/** how long before the outage the first rejection begins */
	rejectionLeadS: number
	/** time between the starts of two rejections */
	rejectionIntervalS: number
	/** how long the first rejection continues after the start of the outage */
	rejectionOverlapS: number
	outageS: number
	/** further faults, with times relative to the start of the outage */
	furtherFaults: readonly Fault[]
	drift: boolean
	/** whether terminal jobs are archived */
	archivesJobs: boolean
	workerTimes: WorkerTimes
}

/** Parameters that reproduce the fault of incident 21. */
const INCIDENT_21: DoubleOutage = {
	controllers: 3,
	rejectedControllers: [0],
	rejectionLeadS: 2,
	rejectionIntervalS: 1,
	rejectionOverlapS: 12,
	outageS: 47.2,
	furtherFaults: [],
	drift: true,
	archivesJobs: true,
	workerTimes: { heartbeatIntervalS: 2.5, leaseS: 15.25, cancelS: 35.25 },
}

/** Start of the outage, in seconds. */
const OUTAGE_S = 45
/** Time after the outage within which every job must become terminal, in seconds. */
const RECOVERY_S = 330
const JOBS = 48
const JOB_INTERVAL_S = 0.95
const MACHINES = 12
/** Run time of jobs that are cancelled: too long for them to complete during the outage, in seconds. */
const CANCELLED_RUN_S = 200
const RUN_S = 25

/** A day with a double outage and long jobs, most of which are cancelled around it. */
export const doubleOutageDay = (seed: number, overrides: Partial<DoubleOutage> = {}): SimulatedDay => {
	const outage = { ...INCIDENT_21, ...overrides }
	const { random } = seededDraws(seed)
	return {
		seed,
		untilS: OUTAGE_S + outage.outageS + RECOVERY_S,
		jobs: Array.from({ length: JOBS }, (_, index) => outageJob(outage, index, random)),
		faults: outageFaults(outage),
		controllers: outage.controllers,
		drift: outage.drift,
		workerTimes: outage.workerTimes,
		history: outage.archivesJobs ? undefined : null,
		capacity: MACHINES,
		up: MACHINES,
	}
}

const outageFaults = (outage: DoubleOutage): Fault[] => [
	...outage.rejectedControllers.map(
		(controller, index): Fault => ({
			atS: OUTAGE_S - outage.rejectionLeadS + index * outage.rejectionIntervalS,
			kind: 'stateRejects',
			who: [controller],
			forS: outage.rejectionLeadS + outage.rejectionOverlapS,
		}),
	),
	{ atS: OUTAGE_S, kind: 'stateDown', forS: outage.outageS },
	...outage.furtherFaults.map((fault) => ({ ...fault, atS: OUTAGE_S + fault.atS })),
]

/**
 * Most cancellations arrive shortly before the outage, while the state service rejects only some controllers, so that
 * others can confirm them; the others arrive during or after it.
 */
const outageJob = (outage: DoubleOutage, index: number, random: () => number): DayJob => {
	const { rejectionLeadS, outageS } = outage
	const atS = 1 + index * JOB_INTERVAL_S
	const nearOutageS = OUTAGE_S - rejectionLeadS - 1 + random() * (rejectionLeadS + 1)
	const cancelled = random() < 0.8
	const near = random() < 0.8
	const cancelAtS = Math.max(atS + 1, near ? nearOutageS : OUTAGE_S + random() * (outageS + 20))
	const spec = arrayJob(`job-${String(index).padStart(6, '0')}`, {
		tasks: 1 + Math.floor(random() * 3),
		expectedS: cancelled ? CANCELLED_RUN_S : RUN_S,
	})
	return { atS, spec, ...(cancelled ? { cancelAtS } : {}) }
}

/** Creates a day with a double outage whose parameters all follow from the seed. */
export const randomDoubleOutageDay = (seed: number): SimulatedDay => {
	// Offset so that the seeds differ from those of the other kinds of days.
	const { random, pick } = seededDraws(seed + 2_000_000)
	const controllers = pick([3, 3, 5])
	const indexes = Array.from({ length: controllers }, (_, index) => index)
	const rejected = indexes.filter(() => random() < 0.35)
	const rejectionLeadS = pick([1, 2, 4, 8, 15, 30]) * (0.7 + random() * 0.6)
	const furtherFaults = Array.from({ length: Math.floor(random() * 4) }, (): Fault => {
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
			atS: -rejectionLeadS + random() * (rejectionLeadS + 12),
			kind,
			who: [pick(indexes)],
			from: pick(['peers', 'peers', 'state', 'workers'] as const),
			forS: kind === 'crash' ? 0.2 + random() * 3 : random() * random() * 40,
		}
	})
	return doubleOutageDay(seed, {
		controllers,
		rejectedControllers: rejected.length > 0 ? rejected : [pick(indexes)],
		rejectionLeadS,
		rejectionIntervalS: random() * 5,
		rejectionOverlapS: random() * 30,
		outageS: pick([10, 25, 47.2, 70]),
		furtherFaults,
		archivesJobs: random() < 0.5,
		workerTimes: pick([
			{ heartbeatIntervalS: 2.5, leaseS: 15.25, cancelS: 35.25 },
			{ heartbeatIntervalS: 1, leaseS: 10, cancelS: 30 },
			{ heartbeatIntervalS: 4, leaseS: 26, cancelS: 46 },
		]),
	})
}
