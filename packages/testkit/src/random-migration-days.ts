/**
 * Days on which the record format changes while controllers crash, all of which follow from a seed. Jobs end while the
 * first format holds, as one controller is down; crashes then leave their states out of the others' memory, since a full
 * read omits them. Once all controllers are up, the states move from jobs' own keys to pages, and on some days on to the
 * archive, while users ask about the jobs, submit them again and cancel them.
 */
import type { HistorySettings } from '@heathroad/config'
import { seededDraws } from './random-faults.js'
import { arrayJob, DEFAULT_WORKER_TIMES, type Fault, type SimulatedDay } from './simulated-day.js'
import type { DayJob } from './user-workload.js'

type Draws = ReturnType<typeof seededDraws>

/** A span of virtual time, in seconds. */
interface Span {
	fromS: number
	untilS: number
}

/** The seeds of other kinds of days are others. */
const SEED_OFFSET = 4_000_000
/** When the controller that holds up the change of format crashes, and when it is up again, in seconds. */
const HOLD_UP = { fromS: 0.6, upS: { min: 55, max: 85 } }
/** The last of the jobs that are over before the migration is submitted so long before it, in seconds. */
const LAST_JOB_BEFORE_S = 25
/** Jobs of a day. */
const JOBS = { min: 30, max: 60 }
/** Share of the jobs that run until they are cancelled. */
const CANCELLED_SHARE = 0.2
/** How long they run if no cancellation reaches them: one may come before the job is accepted, and is not repeated. */
const CANCELLED_RUN_S = 40
/** Crashes before the migration begin so long before it: by then most jobs are over. */
const CRASHES_BEFORE_S = 22
/** Within so many seconds a controller boots and reads the records. */
const BOOT_S = 2
/** How long after the last controller's start users ask about finished jobs, in seconds. */
const REQUESTS_S = 60
/** After the last fault jobs have so long to end, and unanswered questions to be noticed, in seconds. */
const QUIET_END_S = 100
/** Workers whose leases, and with them the controllers', are short: archival epochs follow one another in seconds. */
const SHORT_TIMES = { reportS: 0.5, leaseS: 6, cancelS: 14 }
/** A batch of so few states is archived as soon as it may. */
const SMALL_ARCHIVE_BATCH = 4

const between = ({ random }: Draws, min: number, max: number): number => min + random() * (max - min)

/** A job of a few seconds, or one that runs until its user cancels it, submitted within a span. */
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

/** One crash after the other of a controller within a span; at the span's end it has been up for a while. */
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

/** The faults that may come while the states move. */
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

/** Archiving of a day: slow or fast, of small batches on half of the days. */
const historyOf = ({ random, pick }: Draws): HistorySettings => ({
	archiveBatchSize: random() < 0.5 ? SMALL_ARCHIVE_BATCH : 10,
	writeRateShare: pick([0.2, 0.5, 0.8]),
	pageCacheMb: 0.1,
})

/** A day on which the record format changes late, of which everything follows from the seed. */
export const randomMigrationDay = (seed: number): SimulatedDay => {
	const draws = seededDraws(seed + SEED_OFFSET)
	const { random, pick } = draws
	const controllers = Array.from({ length: pick([3, 3, 4, 5]) }, (_, index) => index)
	const heldDown = pick(controllers)
	const upS = between(draws, HOLD_UP.upS.min, HOLD_UP.upS.max)
	const others = controllers.filter((controller) => controller !== heldDown)
	const requests: Span = { fromS: upS - 1, untilS: upS + REQUESTS_S }
	const jobs = Array.from({ length: Math.floor(between(draws, JOBS.min, JOBS.max)) }, (_, index) =>
		shortJob(draws, index, { fromS: 1, untilS: upS - LAST_JOB_BEFORE_S }),
	)
	const crashesBefore = others.flatMap((controller) =>
		crashesOf(draws, controller, { fromS: upS - CRASHES_BEFORE_S, untilS: upS }, 8),
	)
	return {
		seed,
		untilS: requests.untilS + QUIET_END_S,
		jobs,
		faults: [
			{ atS: HOLD_UP.fromS, kind: 'crash', who: [heldDown], forS: upS - HOLD_UP.fromS },
			...crashesBefore,
			{ atS: requests.fromS, kind: 'finishedJobRequests', forS: REQUESTS_S },
			...faultsOfMigration(draws, controllers, { fromS: upS + BOOT_S, untilS: requests.untilS }),
		],
		controllers: controllers.length,
		capacity: 6,
		up: 6,
		drift: random() < 0.5,
		report: random() < 0.5 ? SHORT_TIMES : DEFAULT_WORKER_TIMES,
		history: historyOf(draws),
	}
}
