/** Scale-out plan: how many machines of which offers the waiting tasks of a shard ask for. */
import {
	allOffers,
	chooseOffer,
	fits,
	type InstanceOffer,
	isAllowedOn,
	isZoneAllowed,
	offerCost,
	offerKey,
	priorityRank,
	scaleOutWeight,
	tasksThatFit,
} from '@heathroad/policy'
import type { JobSpec, MachineType } from '@heathroad/wire'
import type { JobRun } from './model.js'
import type { PendingRental, SpareCapacity } from './spare-capacity.js'
import type { ShardState } from './state.js'

/** How many times the price of the best offer another one may cost that is asked at the same time. */
const MAX_PRICE_RATIO = 1.5

/** Fewer tasks, or fewer machines of room, than this are rounding errors. */
const COUNT_EPSILON = 1e-6

/** A fraction of a machine up to this is not rented: the tasks behind it find room on machines that become free. */
const IGNORED_MACHINE_FRACTION = 0.5

/** Stands for a resource that a team's limit does not bound, in CPUs, GPUs or GB. */
const UNBOUNDED = 1e9

/** Demand for machines of one offer. */
interface OfferDemand {
	offer: InstanceOffer
	/** also fractions of a machine */
	machines: number
	/** rent at least one, however little it would have to do */
	isForced: boolean
}

/** Waiting tasks for which machines are wanted. */
interface TaskDemand {
	job: JobRun
	/** also fractions of a task */
	tasks: number
	/** estimated run time of a task, in seconds */
	runS: number
	/** rent at least one machine, however little it would have to do */
	isForced: boolean
}

/** The offers of the catalog that can run a task of the job. */
export const suitableOffers = (state: ShardState, spec: JobSpec): InstanceOffer[] =>
	// Each shard begins with another zone, so that they do not all ask for the last machines of the same one.
	allOffers(state.ports.machineTypes(), state.shardId).filter(
		(offer) => fits(spec, offer.type) && isAllowedOn(spec, offer),
	)

/** The suitable offers that have not been refused for want of capacity just now. */
export const availableOffers = (state: ShardState, spec: JobSpec): InstanceOffer[] => {
	const now = state.ports.now()
	return suitableOffers(state, spec).filter((offer) =>
		state.ports.offerAvailability.isAvailable(offerKey(offer), now),
	)
}

/** The job's ready tasks, at most as many as its team's CPU limit lets start. */
const countStartableTasks = (state: ShardState, job: JobRun): number => {
	const { spec, readyTasks } = job
	const team = state.teamLimit(spec.team)
	if (team === undefined || team.cpus_max <= 0 || spec.cpus <= 0) return readyTasks.size
	const freeCpus = team.cpus_max - state.teamUsage(spec.team).cpus
	return Math.min(readyTasks.size, tasksThatFit(spec, { cpus: freeCpus, gpus: UNBOUNDED, ramGb: UNBOUNDED }))
}

/** Can spare machines of this offer run a task of the job, once they have room? */
const canRunOn = ({ spec, taskCountByZone }: JobRun, spare: SpareCapacity): boolean =>
	fits(spec, spare.type) && isAllowedOn(spec, spare) && isZoneAllowed(spec, spare.zone, taskCountByZone)

/**
 * The share of a machine of this type that one waiting task asks to have rented. Urgent tasks do not wait in line for a
 * slot, and a gang's tasks all run at once: they ask for a whole slot.
 */
const machinesPerTask = (state: ShardState, job: JobRun, runS: number, type: MachineType): number => {
	const { spec } = job
	const needsWholeSlot = spec.kind === 'gang' || priorityRank(spec.priority) >= priorityRank('urgent')
	const weight = needsWholeSlot ? 1 : scaleOutWeight(runS, type.bootS, state.jobAgeS(job), job.startDeadlines)
	return weight / Math.max(1, tasksThatFit(spec, type))
}

/** Collects what waiting jobs ask for, job by job in the order of the queue, in one round of scale-out. */
export class ScaleOutPlan {
	private readonly demandByOffer = new Map<string, OfferDemand>()

	constructor(
		private readonly state: ShardState,
		private readonly spareByOffer: ReadonlyMap<string, SpareCapacity>,
		private readonly pendingRentals: ReadonlyMap<string, PendingRental>,
		/** the most machines that one rental can ask for */
		private readonly maxMachinesPerRental: number,
	) {}

	/** Is no machine wanted? */
	get isEmpty(): boolean {
		return this.demandByOffer.size === 0
	}

	/** Gives spare capacity to the job's waiting tasks; machines are wanted for the others. */
	addJob(job: JobRun): void {
		const runS = this.state.estimatedRunS(job.spec)
		let tasks = countStartableTasks(this.state, job)
		let isReachable = false
		for (const spare of this.spareByOffer.values()) {
			if (tasks <= 0) break
			if (!canRunOn(job, spare)) continue
			isReachable = true
			const perTask = machinesPerTask(this.state, job, runS, spare.type)
			const placed = Math.min(tasks, spare.machines / perTask)
			spare.machines -= placed * perTask
			tasks -= placed
		}
		this.addDemand({ job, tasks, runS, isForced: !isReachable })
	}

	/** Wants one machine for a trial: of a quarantined job, or of one whose machines may never boot. */
	addTrial(job: JobRun): void {
		this.addDemand({ job, tasks: 1, runS: this.state.estimatedRunS(job.spec), isForced: true })
	}

	/** What to rent, the largest rentals by CPUs first. */
	rentals(): readonly PendingRental[] {
		return [...this.demandByOffer.values()]
			.map(({ offer, machines, isForced }) => ({
				offer,
				count: Math.max(isForced ? 1 : 0, Math.ceil(machines - IGNORED_MACHINE_FRACTION)),
			}))
			.filter(({ count }) => count >= 1)
			.sort((a, b) => b.count * b.offer.type.cpus - a.count * a.offer.type.cpus)
	}

	/**
	 * Distributes the demand over offers. A rental asks for a limited number of machines, and one is pending per offer:
	 * what does not fit goes to the next best offer at once, since a fleet that starts from nothing would otherwise be
	 * asked for rental by rental. Only offers of a similar price are used: a far dearer machine is not worth a second's
	 * wait.
	 */
	private addDemand({ job, tasks, runS, isForced }: TaskDemand): void {
		const budgetShare = job.budget.share(job.spec.uid)
		const offers = this.candidateOffers(job, runS)
		let remaining = tasks
		while (remaining > COUNT_EPSILON) {
			const withRoom = offers.filter((offer) => this.roomFor(offer) > COUNT_EPSILON)
			const offer = chooseOffer(job.spec, runS, budgetShare, withRoom)
			if (offer === undefined) return
			const perTask = machinesPerTask(this.state, job, runS, offer.type)
			const machines = Math.min(remaining * perTask, this.roomFor(offer))
			this.addMachines(offer, machines, isForced)
			remaining -= machines / perTask
		}
	}

	/** Available offers without a pending rental whose price is near that of the cheapest available one. */
	private candidateOffers(job: JobRun, runS: number): readonly InstanceOffer[] {
		const { spec } = job
		const cost = (offer: InstanceOffer) => offerCost(spec, runS, offer, false, false).cost
		const offers = availableOffers(this.state, spec).filter((offer) =>
			isZoneAllowed(spec, offer.zone, job.taskCountByZone),
		)
		const maxCost = Math.min(...offers.map(cost)) * MAX_PRICE_RATIO
		const pendingOffers = new Set([...this.pendingRentals.values()].map(({ offer }) => offerKey(offer)))
		return offers.filter((offer) => !pendingOffers.has(offerKey(offer)) && cost(offer) <= maxCost)
	}

	/** Machines of the offer that a rental can still ask for, beside those wanted already. */
	private roomFor(offer: InstanceOffer): number {
		return this.maxMachinesPerRental - (this.demandByOffer.get(offerKey(offer))?.machines ?? 0)
	}

	private addMachines(offer: InstanceOffer, machines: number, isForced: boolean): void {
		const key = offerKey(offer)
		const demand = this.demandByOffer.get(key) ?? { offer, machines: 0, isForced: false }
		demand.machines += machines
		demand.isForced ||= isForced
		this.demandByOffer.set(key, demand)
	}
}
