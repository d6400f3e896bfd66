/** Injects the faults of a simulated day, with one handler for each kind of fault. */
import type { Clock } from './clock.js'
import { VirtualClock } from './clock.js'
import type { FakeCloud } from './fake-cloud.js'
import type { FakeStateStore } from './fake-state-store.js'
import type { RandomFaults } from './random-faults.js'
import { INJECTED_ERROR, type SimulatedControllers } from './simulated-controllers.js'
import { DEFAULT_FAULT_S, type Fault, type FaultKind } from './simulated-day.js'
import type { SimulatedMachines } from './simulated-machines.js'
import { ALL_LINKS, type MessageFault, type SimulatedNetwork } from './simulated-network.js'
import type { UserWorkload } from './user-workload.js'

/** The parts of a simulation that faults act on. */
export interface FaultTargets {
	clock: Clock
	controllers: SimulatedControllers
	machines: SimulatedMachines
	network: SimulatedNetwork
	/** faults that affect each message or transaction with a probability */
	messageFaults: RandomFaults<MessageFault>
	state: FakeStateStore
	cloud: FakeCloud
	workload: UserWorkload
	/** controllers whose reads from the state service get no response */
	stateReadsLost: Set<number>
	/** controllers that receive the responses to their watches late */
	lateWatchers: Set<number>
}

/** A fault whose optional fields have their defaults. */
interface InjectedFault extends Fault {
	who: readonly number[]
	forMs: number
}

type FaultHandler = (targets: FaultTargets, fault: InjectedFault) => void

/** Default fraction of machines, messages or transactions that a fault affects. */
const DEFAULT_SHARE = 0.5
/** Default factor on the users' polling rate during a `pollStorm`. */
const DEFAULT_POLL_FACTOR = 8
/** Default number of jobs that `cancelNow` cancels. */
const DEFAULT_CANCELLED_JOBS = 10
/** Extra latency of every message on slow links, in ms; multiplied by the fault's factor. */
const SLOW_LINK_MS = 300
/** Extra latency of requests to a slow state service, in ms. */
const SLOW_STATE_MS = 150

/** Adds `members` to `set` for `forMs`. */
const addFor = <T>({ clock }: FaultTargets, set: Set<T>, members: readonly T[], forMs: number): void => {
	for (const member of members) set.add(member)
	clock.after(forMs, () => {
		for (const member of members) set.delete(member)
	})
}

/** Picks a random element; undefined if there is none. Draws one random number in either case. */
const pick = <T>({ clock }: FaultTargets, items: readonly T[]): T | undefined =>
	items[Math.floor(clock.random() * items.length)]

/** Picks each machine with probability `share`; returns their ids. */
const someMachines = ({ clock, machines }: FaultTargets, share = DEFAULT_SHARE): string[] =>
	[...machines.workers.keys()].filter(() => clock.random() < share)

const beginMessageFault =
	(kind: MessageFault): FaultHandler =>
	({ messageFaults }, fault) =>
		messageFaults.begin(kind, fault.share ?? DEFAULT_SHARE, fault.forMs)

const beginUserBehaviour =
	(kind: 'cancelAtCompletion' | 'closeLooks'): FaultHandler =>
	({ workload }, fault) =>
		workload.randomFaults.begin(kind, fault.share ?? 1, fault.forMs)

const controllerFaults = {
	crash: ({ controllers }, { who, forS }) => {
		for (const index of who) controllers.crash(index, forS ?? DEFAULT_FAULT_S)
	},
	drain: ({ controllers }, { who, forS }) => {
		for (const index of who) controllers.drain(index, forS ?? DEFAULT_FAULT_S)
	},
	freeze: ({ clock }, { who, forMs }) => {
		for (const index of who) if (clock instanceof VirtualClock) clock.freeze(index, forMs)
	},
	internalError: ({ controllers }, { who }) => {
		for (const index of who) controllers.get(index)?.recoverFromError(INJECTED_ERROR)
	},
} satisfies Partial<Record<FaultKind, FaultHandler>>

const networkFaults = {
	cut: ({ clock, network }, { who, from, forMs }) => {
		const links = from === undefined ? ALL_LINKS : [from].flat()
		for (const index of who) {
			network.partitionedLinks.set(index, new Set(links))
			clock.after(forMs, () => network.partitionedLinks.delete(index))
		}
	},
	zoneCut: ({ clock, network }, { zone, who, forMs }) => {
		network.partitionedZone = { zone: zone ?? 'a', controllers: who }
		clock.after(forMs, () => {
			network.partitionedZone = null
		})
	},
	slowNetwork: ({ clock, network }, { factor, forMs }) => {
		network.linkLatencyMs = (factor ?? 1) * SLOW_LINK_MS
		clock.after(forMs, () => {
			network.linkLatencyMs = 0
		})
	},
	delayedTransactions: beginMessageFault('delayedTransactions'),
	lostTransactionResponses: beginMessageFault('lostTransactionResponses'),
	duplicatedHeartbeats: beginMessageFault('duplicatedHeartbeats'),
	heldHeartbeats: beginMessageFault('heldHeartbeats'),
	duplicatedCommands: beginMessageFault('duplicatedCommands'),
	duplicatedResponses: beginMessageFault('duplicatedResponses'),
	delayedWorkerMessages: beginMessageFault('delayedWorkerMessages'),
} satisfies Partial<Record<FaultKind, FaultHandler>>

const serviceFaults = {
	stateDown: ({ clock, state }, { forMs }) => {
		state.down = true
		clock.after(forMs, () => state.recover())
	},
	stateRejects: (targets, { who, forMs }) => addFor(targets, targets.state.rejectedClients, who, forMs),
	watchLost: (targets, { who, forMs }) => addFor(targets, targets.stateReadsLost, who, forMs),
	lateWatch: (targets, { who, forMs }) => addFor(targets, targets.lateWatchers, who, forMs),
	slowState: ({ clock, network }, { forMs }) => {
		network.stateLatencyMs = SLOW_STATE_MS
		clock.after(forMs, () => {
			network.stateLatencyMs = 0
		})
	},
	cloudDown: ({ clock, cloud }, { forMs }) => {
		cloud.down = true
		clock.after(forMs, () => {
			cloud.down = false
		})
	},
	bootTimes: ({ clock, cloud }, { factor, forMs }) => {
		cloud.bootFactor = factor ?? 1
		clock.after(forMs, () => {
			cloud.bootFactor = 1
		})
	},
} satisfies Partial<Record<FaultKind, FaultHandler>>

const machineFaults = {
	machineInboundLoss: (targets, { share, forMs }) =>
		addFor(targets, targets.machines.inboundPartitioned, someMachines(targets, share), forMs),
	machineOutboundLoss: (targets, { share, forMs }) =>
		addFor(targets, targets.machines.outboundPartitioned, someMachines(targets, share), forMs),
	machinesCut: (targets, { forMs }) => {
		const everyOther = [...targets.machines.workers.keys()].filter((_, index) => index % 2 === 0)
		addFor(targets, targets.machines.disconnected, everyOther, forMs)
	},
	machinesHang: ({ clock, machines }, { share, forMs }) => {
		for (const worker of machines.workers.values())
			if (clock.random() < (share ?? DEFAULT_SHARE)) worker.hang(forMs)
	},
	machineDies: (targets) => pick(targets, targets.machines.alive())?.stop(),
	machineFaulty: (targets) => {
		const worker = pick(targets, targets.machines.alive())
		if (worker === undefined) return
		worker.faulty = true
		targets.machines.faulty.add(worker.id)
	},
	spotNotice: (targets, { forMs }) => {
		const spotMachines = targets.machines.alive().filter((worker) => worker.spot)
		pick(targets, spotMachines)?.announcePreemption(forMs)
	},
} satisfies Partial<Record<FaultKind, FaultHandler>>

const userFaults = {
	cancelNow: ({ workload }, { count, hangS }) =>
		workload.cancelNow(count ?? DEFAULT_CANCELLED_JOBS, (hangS ?? 0) * 1000),
	cancelAtCompletion: beginUserBehaviour('cancelAtCompletion'),
	closeLooks: beginUserBehaviour('closeLooks'),
	oddRequests: ({ workload }, { forMs }) => workload.sendOddRequests(forMs),
	finishedJobRequests: ({ workload }, { forMs }) => workload.requestFinishedJobs(forMs),
	pollStorm: ({ clock, workload }, { factor, forMs }) => {
		workload.pollFactor = factor ?? DEFAULT_POLL_FACTOR
		clock.after(forMs, () => {
			workload.pollFactor = 1
		})
	},
} satisfies Partial<Record<FaultKind, FaultHandler>>

const HANDLERS: Record<FaultKind, FaultHandler> = {
	...controllerFaults,
	...networkFaults,
	...serviceFaults,
	...machineFaults,
	...userFaults,
}

/** Starts a fault now and schedules its end on the clock. */
export const injectFault = (targets: FaultTargets, fault: Fault): void =>
	HANDLERS[fault.kind](targets, {
		...fault,
		who: fault.who ?? [0],
		forMs: (fault.forS ?? DEFAULT_FAULT_S) * 1000,
	})
