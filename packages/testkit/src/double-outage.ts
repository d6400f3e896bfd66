import { draws } from './random-faults.js'
import { arrayJob, type Fault, type SimulatedDay } from './simulated-day.js'

/**
 * The state refuses leaders alone, other controllers confirm cancellations, then the state is down for all while
 * workers go on reporting to the old leaders.
 */
export interface DoubleOutage {
	controllers: number
	/** whom the state refuses, one after the other */
	refused: readonly number[]
	/** how long before the outage the first refusal begins, and the pause to the next one */
	beforeS: number
	apartS: number
	/** the refusal's time beyond the beginning of the outage */
	refusedS: number
	outageS: number
	/** troubles in between, their times counted from the outage */
	more: readonly Fault[]
	drift: boolean
	/** jobs that are over are archived */
	archives: boolean
	report: { reportS: number; leaseS: number; cancelS: number }
}

const MET: DoubleOutage = {
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

/** When the first outage of such a day begins, in seconds. */
const OUTAGE_S = 45

/** Such a meeting, with long jobs most of which are cancelled around it. */
export const doubleOutageDay = (seed: number, gap: Partial<DoubleOutage> = {}): SimulatedDay => {
	const g = { ...MET, ...gap }
	const { random } = draws(seed)
	const troubles: Fault[] = [
		...g.refused.map(
			(who, i): Fault => ({
				atS: OUTAGE_S - g.beforeS + i * g.apartS,
				kind: 'stateRefuses',
				who: [who],
				forS: g.beforeS + g.refusedS,
			}),
		),
		{ atS: OUTAGE_S, kind: 'stateDown', forS: g.outageS },
		...g.more.map((fault) => ({ ...fault, atS: OUTAGE_S + fault.atS })),
	]
	const jobs = Array.from({ length: 48 }, (_, i) => {
		const atS = 1 + i * 0.95
		// Most at the meeting, some long before or after: as the state refuses one alone they can be confirmed elsewhere.
		const near = OUTAGE_S - g.beforeS - 1 + random() * (g.beforeS + 1)
		const uid = `job-${String(i).padStart(6, '0')}`
		const cancelled = random() < 0.8
		const cancelAtS = Math.max(atS + 1, random() < 0.8 ? near : OUTAGE_S + random() * (g.outageS + 20))
		return {
			atS,
			spec: arrayJob(uid, { tasks: 1 + Math.floor(random() * 3), expectedS: cancelled ? 200 : 25 }),
			...(cancelled ? { cancelAtS } : {}),
		}
	})
	return {
		seed,
		untilS: OUTAGE_S + g.outageS + 330,
		jobs,
		faults: troubles,
		controllers: g.controllers,
		drift: g.drift,
		report: g.report,
		history: g.archives ? undefined : null,
		capacity: 12,
		up: 12,
	}
}

/** Such a day with everything about it drawn. */
export const randomDoubleOutageDay = (seed: number): SimulatedDay => {
	const { random, one } = draws(seed + 2_000_000)
	const controllers = one([3, 3, 5])
	const all = Array.from({ length: controllers }, (_, i) => i)
	const refused = all.filter(() => random() < 0.35)
	const beforeS = one([1, 2, 4, 8, 15, 30]) * (0.7 + random() * 0.6)
	const more = Array.from({ length: Math.floor(random() * 4) }, (): Fault => {
		const kind = one([
			'crash',
			'cut',
			'freeze',
			'stateSlow',
			'ownError',
			'stateRefuses',
			'machinesCut',
		] as const)
		return {
			atS: -beforeS + random() * (beforeS + 12),
			kind,
			who: [one(all)],
			from: one(['peers', 'peers', 'state', 'workers'] as const),
			forS: kind === 'crash' ? 0.2 + random() * 3 : random() * random() * 40,
		}
	})
	return doubleOutageDay(seed, {
		controllers,
		refused: refused.length > 0 ? refused : [one(all)],
		beforeS,
		apartS: random() * 5,
		refusedS: random() * 30,
		outageS: one([10, 25, 47.2, 70]),
		more,
		archives: random() < 0.5,
		report: one([
			{ reportS: 2.5, leaseS: 15.25, cancelS: 35.25 },
			{ reportS: 1, leaseS: 10, cancelS: 30 },
			{ reportS: 4, leaseS: 26, cancelS: 46 },
		]),
	})
}
