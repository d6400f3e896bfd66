import { arrayJob, type Fault, type SimulatedDay } from '@heathroad/testkit'

/** Jobs of two or three tasks that end far apart, some of many, a third cancelled; long ones end in no other way. */
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

/** A controller is cut from the state service and its peers. */
export const cut = (atS: number, who: number, forS: number): Fault => ({
	atS,
	kind: 'cut',
	who: [who],
	from: ['state', 'peers'],
	forS,
})
/** Controllers crash and boot again after `forS`. */
export const crash = (atS: number, who: number[], forS: number): Fault => ({ atS, kind: 'crash', who, forS })
