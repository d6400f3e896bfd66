/**
 * Simulated days on which the record format changes while controllers crash, generated from a seed. While one controller
 * is down, the first record format stays in use and jobs finish; crashes then remove their terminal states from the other
 * controllers' memory, since a full read omits them. Once all controllers are up, the states move from the jobs' own keys
 * to pages, and on some days to the archive, while users query the jobs, submit them again and cancel them.
 */
import type { HistorySettings } from '@heathroad/config'
import { seededDraws } from './random-faults.js'
import { arrayJob, DEFAULT_WORKER_TIMES, type Fault, type SimulatedDay } from './simulated-day.js'
import type { DayJob } from './user-workload.js'

type Draws = ReturnType<typeof seededDraws>

/** A period of virtual time, in seconds. */
interface Span {
	fromS: number
	untilS: number
}

/** Keeps the seeds apart from those of other kinds of days. */
const SEED_OFFSET = 4_000_000
/** Crash and restart times of the controller whose absence delays the format change, in seconds. */
const BLOCKING_OUTAGE = { fromS: 0.6, upS: { min: 55, max: 85 } }
/** Jobs are submitted until this long before the migration, in seconds, so that they finish before it. */
const LAST_JOB_LEAD_S = 25
/** Number of jobs of a day. */
const JOBS = { min: 30, max: 60 }
/** Fraction of the jobs that run until they are cancelled. */
const CANCELLED_SHARE = 0.2
/** Their run time in seconds if the cancellation is lost: one that precedes the acceptance of the job is not repeated. */
const CANCELLED_RUN_S = 40
/** Crashes start this long before the migration, in seconds: by then most jobs are terminal. */
const CRASHES_LEAD_S = 22
/** Time in which a controller boots and reads the records, in seconds. */
const BOOT_S = 2
/** How long users send requests about finished jobs after the last controller's start, in seconds. */
const REQUEST_PERIOD_S = 60
/** Time after the last fault for jobs to finish and for unanswered queries to be detected, in seconds. */
const QUIET_PERIOD_S = 100
/** Short agent leases, and so short controller leases: archival epochs last only seconds. */
const SHORT_WORKER_TIMES = { heartbeatIntervalS: 0.5, leaseS: 6, cancelS: 14 }
/** A batch of this few states is archived as soon as the archival rules permit. */
const SMALL_ARCHIVE_BATCH = 4

const between = ({ random }: Draws, min: number, max: number): number => min + random() * (max - min)

/** Draws a job that takes a few seconds or runs until its user cancels it; it is submitted within `span`. */
const shortJob = (draws: Draws, index: number, span: Span): DayJob => {
	const { random } = draws
	const atS = between(draws, span.fromS, span.untilS)
	const cancelled = random() < CANCELLED_SHARE
	return {
		atS,
		spec: arrayJob(`job-${String(index).padStart(6, '0')}`, {
			tasks: 1 + Math.floor(random() * 3),
			expectedS: cancelled ? CANCELLED_RUN_S : between(draws, 1, 5),
			imageGb: 0.05,
			spot: false,
		}),
		...(cancelled ? { cancelAtS: atS + between(draws, 1, 12) } : {}),
	}
}

/** Draws successive crashes of a controller within a period, at whose end it has had time to boot. */
const crashesOf = (draws: Draws, controller: number, { fromS, untilS }: Span, pauseS: number): Fault[] => {
	const crashes: Fault[] = []
	let atS = fromS + draws.random() * pauseS
	for (;;) {
		const forS = between(draws, 0.3, 3)
		if (atS + forS + BOOT_S > untilS) return crashes
		crashes.push({ atS, kind: 'crash', who: [controller], forS })
		atS += forS + BOOT_S + draws.random() * pauseS
	}
}

/** Draws the faults that occur while the terminal states move. */
const faultsOfMigration = (draws: Draws, controllers: readonly number[], span: Span): Fault[] => {
	const { random, pick } = draws
	const length = span.untilS - span.fromS
	const later = (share: number) => span.fromS + random() * length * share
	const faults: Fault[] = []
	if (random() < 0.5)
		faults.push({ atS: later(0.3), kind: 'slowState', forS: between(draws, 10, length * 0.6) })
	if (random() < 0.6)
		for (const controller of controllers)
			if (random() < 0.5)
				faults.push({ atS: later(0.5), kind: 'lateWatch', who: [controller], forS: between(draws, 5, 30) })
	if (random() < 0.4)
		faults.push({ atS: later(0.7), kind: 'watchLost', who: [pick(controllers)], forS: between(draws, 2, 15) })
	if (random() < 0.2) faults.push({ atS: later(0.5), kind: 'lostTransactionResponses', forS: 10, share: 0.3 })
	if (random() < 0.5)
		for (const controller of controllers) faults.push(...crashesOf(draws, controller, span, length))
	return faults
}

/** Draws the archival settings: a slow or fast write rate, and small batches on half of the days. */
const historyOf = ({ random, pick }: Draws): HistorySettings => ({
	archiveBatchSize: random() < 0.5 ? SMALL_ARCHIVE_BATCH : 10,
	writeRateShare: pick([0.2, 0.5, 0.8]),
	pageCacheMb: 0.1,
})

/** Generates the day of a seed on which the record format changes late. */
export const randomMigrationDay = (seed: number): SimulatedDay => {
	const draws = seededDraws(seed + SEED_OFFSET)
	const { random, pick } = draws
	const controllers = Array.from({ length: pick([3, 3, 4, 5]) }, (_, index) => index)
	const blockingController = pick(controllers)
	const upS = between(draws, BLOCKING_OUTAGE.upS.min, BLOCKING_OUTAGE.upS.max)
	const others = controllers.filter((controller) => controller !== blockingController)
	const requests: Span = { fromS: upS - 1, untilS: upS + REQUEST_PERIOD_S }
	const jobs = Array.from({ length: Math.floor(between(draws, JOBS.min, JOBS.max)) }, (_, index) =>
		shortJob(draws, index, { fromS: 1, untilS: upS - LAST_JOB_LEAD_S }),
	)
	const crashesBefore = others.flatMap((controller) =>
		crashesOf(draws, controller, { fromS: upS - CRASHES_LEAD_S, untilS: upS }, 8),
	)
	return {
		seed,
		untilS: requests.untilS + QUIET_PERIOD_S,
		jobs,
		faults: [
			{
				atS: BLOCKING_OUTAGE.fromS,
				kind: 'crash',
				who: [blockingController],
				forS: upS - BLOCKING_OUTAGE.fromS,
			},
			...crashesBefore,
			{ atS: requests.fromS, kind: 'finishedJobRequests', forS: REQUEST_PERIOD_S },
			...faultsOfMigration(draws, controllers, { fromS: upS + BOOT_S, untilS: requests.untilS }),
		],
		controllers: controllers.length,
		capacity: 6,
		up: 6,
		drift: random() < 0.5,
		workerTimes: random() < 0.5 ? SHORT_WORKER_TIMES : DEFAULT_WORKER_TIMES,
		history: historyOf(draws),
	}
}
