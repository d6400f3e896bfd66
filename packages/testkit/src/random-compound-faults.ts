/** Simulated days with compound faults: two or three faults at about the same time, generated from a seed. */
import { seededDraws } from './random-faults.js'
import { arrayJob, type Fault, type SimulatedDay } from './simulated-day.js'

/** Generators of the faults that are combined; the order of their random draws determines the day of a seed. */
const COMPOUND_FAULTS: readonly ((random: () => number, who: number[]) => Omit<Fault, 'atS'>)[] = [
	(random, who) => ({ kind: 'cut', who, from: ['state', 'peers'], forS: 2 + random() * 45 }),
	(random) => ({ kind: 'delayedWorkerMessages', forS: 5 + random() * 30, share: 0.2 + random() * 0.5 }),
	(random) => ({ kind: 'delayedTransactions', forS: 3 + random() * 30, share: 0.1 + random() * 0.5 }),
	(random) => ({ kind: 'machineInboundLoss', forS: 2 + random() * 40, share: 0.2 + random() * 0.6 }),
	(random) => ({ kind: 'duplicatedHeartbeats', forS: 5 + random() * 40, share: 0.2 + random() * 0.5 }),
	(random, who) => ({ kind: 'crash', who, forS: 0.1 + random() * random() * 10 }),
	(random) => ({ kind: 'crash', who: [0, 1, 2], forS: 0.1 + random() }),
	(random, who) => ({ kind: 'drain', who, forS: 0.1 + random() * 3 }),
	(random, who) => ({ kind: 'stateRejects', who, forS: 1 + random() * 20 }),
	(random) => ({ kind: 'stateDown', forS: 1 + random() * 50 }),
	(random) => ({ kind: 'slowState', forS: 5 + random() * 30 }),
	(random, who) => ({ kind: 'freeze', who, forS: 0.5 + random() * 20 }),
	(random) => ({ kind: 'machinesCut', forS: 2 + random() * 30 }),
	(random, who) => ({ kind: 'cut', who, from: 'workers', forS: 5 + random() * 25 }),
	(_, who) => ({ kind: 'internalError', who }),
	(random, who) => ({ kind: 'watchLost', who, forS: 5 + random() * 20 }),
	(random) => ({ kind: 'lostTransactionResponses', forS: 3 + random() * 30, share: 0.1 + random() * 0.5 }),
	(random) => ({ kind: 'heldHeartbeats', forS: 5 + random() * 40, share: 0.2 + random() * 0.5 }),
	(random) => ({ kind: 'machineOutboundLoss', forS: 2 + random() * 40, share: 0.2 + random() * 0.6 }),
	(random) => ({ kind: 'machinesHang', forS: 1 + random() * 20, share: 0.1 + random() * 0.5 }),
	(random) => ({
		kind: 'cancelNow',
		forS: 1,
		count: 3 + Math.floor(random() * 10),
		hangS: random() < 0.5 ? 0 : random() * 20,
	}),
	(random) => ({ kind: 'cancelAtCompletion', forS: 5 + random() * 40, share: 0.3 + random() * 0.7 }),
	(random) => ({ kind: 'closeLooks', forS: 5 + random() * 40, share: 0.5 + random() * 0.5 }),
	(random) => ({ kind: 'oddRequests', forS: 5 + random() * 40 }),
	(random) => ({ kind: 'bootTimes', forS: 10 + random() * 30, factor: 0.1 }),
	(random) => ({ kind: 'slowNetwork', forS: 5 + random() * 40, factor: 0.3 + random() * 2 }),
]

const JOBS = 40

/** Generates a day of compound faults; its jobs finish at very different times, and many are cancelled. */
export const randomCompoundFaultDay = (seed: number): SimulatedDay => {
	// The offset keeps the seeds apart from those of other kinds of days.
	const { random, pick } = seededDraws(seed + 3_000_000)
	const controllers = pick([3, 3, 5])
	const randomControllers = () => {
		const who = Array.from({ length: controllers }, (_, index) => index).filter(() => random() < 0.35)
		return who.length > 0 ? who : [Math.floor(random() * controllers)]
	}
	// A team with a limit gets only as much work as it can finish within minutes.
	const limited = random() < 0.2
	const faults: Fault[] = []
	for (let atS = 20; atS < 150; atS += 25 + random() * 30)
		for (let count = 2 + Math.floor(random() * 2); count > 0; count--)
			faults.push({
				atS: atS + random() * random() * 15,
				...pick(COMPOUND_FAULTS)(random, randomControllers()),
			})
	const jobs = Array.from({ length: JOBS }, (_, index) => {
		const atS = 1 + index * (1 + random() * 4)
		const long = random() < 0.3
		return {
			atS,
			spec: arrayJob(`job-${String(index).padStart(6, '0')}`, {
				tasks: random() < 0.5 ? 2 + Math.floor(random() * 2) : 4 + Math.floor(random() * (limited ? 4 : 25)),
				image: `img-${index % 3}`,
				priority: pick(['urgent', 'normal', 'idle'] as const),
				spot: random() < 0.8,
				checkpointS: random() < 0.3 ? 3 : 0,
				saveS: 1,
				expectedS: long ? 300 : 4 + random() * 40,
			}),
			...(long || random() < 0.2 ? { cancelAtS: atS + 5 + random() * 60 } : {}),
		}
	})
	return {
		seed,
		untilS: 900,
		jobs,
		faults,
		loss: pick([0, 0, 0.01]),
		lossUntilS: 220,
		controllers,
		up: pick([0, 6]),
		drift: random() < 0.5,
		capacity: 3 + Math.floor(random() * 6),
		history: random() < 0.4 ? null : undefined,
		...(limited ? { limits: new Map([['core', 24]]) } : {}),
		stateLimits: random() < 0.5,
	}
}
