import { arrayJob, type SimulatedDay } from '@heathroad/testkit'

/** Job arrays of several sizes, priorities and zones, one submitted every `everyS` seconds; some are cancelled. */
export const mixedJobs = (count: number, everyS = 4): SimulatedDay['jobs'] =>
	Array.from({ length: count }, (_, index) => ({
		atS: 1 + index * everyS,
		spec: arrayJob(`job-${String(index).padStart(6, '0')}`, {
			tasks: 3 + ((index * 7) % 15),
			image: `img-${index % 3}`,
			priority: index % 4 === 0 ? 'urgent' : 'normal',
			zone: index % 5 === 0 ? 'a' : null,
			spot: index % 6 !== 0,
			// Some run so long that only a cancellation ends them within the simulated day.
			expectedS: index % 7 === 3 ? 300 : 6 + (index % 4) * 5,
		}),
		cancelAtS: index % 7 === 3 ? 30 + index * everyS : undefined,
	}))
