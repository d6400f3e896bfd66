/** Simulated days on which a controller crashes about once a second, after a burst of small jobs at the beginning. */
import { arrayJob, type Fault, Simulation, VirtualClock } from '@heathroad/testkit'

const MACHINES = 12
const FIRST_JOB = 100_000
const JOBS_PER_SEED = 100
/** When crashes begin and end, the least time between two of them, and the least downtime of a controller, in seconds. */
const CRASHES = { from: 2.5, until: 65, minDistance: 0.5, minDown: 0.4 }
const UNTIL_S = 75

/** Number of controllers and jobs of every such day. */
export const CRASH_DAY = { controllers: 3, jobs: 30 }

const crashesOf = (seed: number): Fault[] => {
	const generator = new VirtualClock(seed)
	const faults: Fault[] = []
	for (let atS = CRASHES.from; atS < CRASHES.until; atS += CRASHES.minDistance + generator.random())
		faults.push({
			atS,
			kind: 'crash',
			who: [Math.floor(generator.random() * CRASH_DAY.controllers)],
			forS: CRASHES.minDown + generator.random(),
		})
	return faults
}

const jobsOf = (seed: number) =>
	Array.from({ length: CRASH_DAY.jobs }, (_, index) => ({
		atS: 2 + index * 0.025,
		spec: arrayJob(`job-${FIRST_JOB + seed * JOBS_PER_SEED + index}`, {
			tasks: 1 + (index % 3),
			cpus: 0.5,
			expectedS: 0.3,
			imageGb: 0.05,
			spot: false,
		}),
	}))

/** Returns the simulated day of a seed, ready to run. */
export const crashDay = (seed: number): Simulation =>
	new Simulation({
		seed,
		untilS: UNTIL_S,
		jobs: jobsOf(seed),
		faults: crashesOf(seed),
		workerTimes: { heartbeatIntervalS: 0.5, leaseS: 6, cancelS: 14 },
		up: MACHINES,
		capacity: 0,
	})
