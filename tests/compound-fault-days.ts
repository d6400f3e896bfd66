import { arrayJob, type Fault, type SimulatedDay } from '@heathroad/testkit'

/** Jobs of 2 or 3 tasks that finish far apart, every fourth of 20 tasks; a third run too long to finish and are cancelled. */
export const mixedLengthJobs: SimulatedDay['jobs'] = Array.from({ length: 30 }, (_, i) => {
	const atS = 1 + i * 4
	const cancelled = i % 3 === 1
	const spec = arrayJob(`job-${String(i).padStart(6, '0')}`, {
		tasks: i % 4 === 0 ? 20 : 2 + (i % 2),
		expectedS: cancelled ? 300 : 5 + ((i * 17) % 60),
		image: `img-${i % 3}`,
		priority: i % 5 === 0 ? 'urgent' : 'normal',
		checkpointS: i % 6 === 1 ? 5 : 0,
		saveS: 6,
	})
	return { atS, spec, ...(cancelled ? { cancelAtS: atS + 8 + ((i * 11) % 50) } : {}) }
})

/** Partitions a controller from the state service and its peers for `forS` seconds. */
export const partition = (atS: number, who: number, forS: number): Fault => ({
	atS,
	kind: 'cut',
	who: [who],
	from: ['state', 'peers'],
	forS,
})
/** Crashes controllers, which restart after `forS` seconds. */
export const crash = (atS: number, who: number[], forS: number): Fault => ({ atS, kind: 'crash', who, forS })
