/** Days on which a controller crashes about each second and many small jobs are submitted at their beginning. */
import { arrayJob, type Fault, Simulation, VirtualClock } from '@heathroad/testkit'

const MACHINES = 12
const FIRST_JOB = 100_000
const JOBS_PER_SEED = 100
/** The crashes, in seconds: from when until when, their distance, and how long a controller is down. */
const CRASHES = { from: 2.5, until: 65, minDistance: 0.5, minDown: 0.4 }
const UNTIL_S = 75

/** Controllers and jobs of every such day. */
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

/** The day of a seed, ready to be played. */
export const crashDay = (seed: number): Simulation =>
	new Simulation({
		seed,
		untilS: UNTIL_S,
		jobs: jobsOf(seed),
		faults: crashesOf(seed),
		report: { reportS: 0.5, leaseS: 6, cancelS: 14 },
		up: MACHINES,
		capacity: 0,
	})
