/** Scale-out plan: how many machines of which offers to rent for the waiting tasks of a shard. */
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

/** Maximum cost of an offer used in the same round, as a multiple of the cheapest offer's. */
const MAX_PRICE_RATIO = 1.5

/** Numbers of tasks or machines below this are rounding errors. */
const COUNT_EPSILON = 1e-6

/** No machine is rented for a fraction up to this: such tasks will fit on machines that become free. */
const IGNORED_MACHINE_FRACTION = 0.5

/** Amount of a resource without a team limit, in CPUs, GPUs or GB. */
const UNBOUNDED = 1e9

/** Demand for machines of one offer. */
interface OfferDemand {
	offer: InstanceOffer
	/** may be fractional */
	machines: number
	/** rent at least one machine, however little work there is for it */
	needsAtLeastOne: boolean
}

/** Waiting tasks for which machines are to be rented. */
interface TaskDemand {
	job: JobRun
	/** may be fractional */
	tasks: number
	/** estimated run time of a task, in seconds */
	runS: number
	/** rent at least one machine, however little work there is for it */
	needsAtLeastOne: boolean
}

/** The offers of the catalog that can run a task of the job. */
export const suitableOffers = (state: ShardState, spec: JobSpec): InstanceOffer[] =>
	// Each shard starts at a different zone, so that they do not all request the last machines of the same one.
	allOffers(state.dependencies.machineTypes(), state.shardId).filter(
		(offer) => fits(spec, offer.type) && isAllowedOn(spec, offer),
	)

/** The suitable offers that are not in backoff after a refusal for lack of capacity. */
export const availableOffers = (state: ShardState, spec: JobSpec): InstanceOffer[] => {
	const now = state.dependencies.now()
	return suitableOffers(state, spec).filter((offer) =>
		state.dependencies.offerAvailability.isAvailable(offerKey(offer), now),
	)
}

/** Number of the job's ready tasks, bounded by its team's CPU limit. */
const countStartableTasks = (state: ShardState, job: JobRun): number => {
	const { spec, readyTasks } = job
	const team = state.teamLimit(spec.team)
	if (team === undefined || team.cpus_max <= 0 || spec.cpus <= 0) return readyTasks.size
	const freeCpus = team.cpus_max - state.teamUsage(spec.team).cpus
	return Math.min(readyTasks.size, tasksThatFit(spec, { cpus: freeCpus, gpus: UNBOUNDED, ramGb: UNBOUNDED }))
}

/** Returns whether machines of this offer can run a task of the job, once they have free resources. */
const canRunOn = ({ spec, taskCountByZone }: JobRun, spare: SpareCapacity): boolean =>
	fits(spec, spare.type) && isAllowedOn(spec, spare) && isZoneAllowed(spec, spare.zone, taskCountByZone)

/**
 * Fraction of a machine of this type to rent for one waiting task. Urgent tasks do not queue for a slot, and a gang's
 * tasks all run at once: these require a whole slot each.
 */
const machinesPerTask = (state: ShardState, job: JobRun, runS: number, type: MachineType): number => {
	const { spec } = job
	const needsWholeSlot = spec.kind === 'gang' || priorityRank(spec.priority) >= priorityRank('urgent')
	const weight = needsWholeSlot ? 1 : scaleOutWeight(runS, type.bootS, state.jobAgeS(job), job.startDeadlines)
	return weight / Math.max(1, tasksThatFit(spec, type))
}

/** Collects the demand of waiting jobs, job by job in queue order, in one round of scale-out. */
export class ScaleOutPlan {
	private readonly demandByOffer = new Map<string, OfferDemand>()

	constructor(
		private readonly state: ShardState,
		private readonly spareByOffer: ReadonlyMap<string, SpareCapacity>,
		private readonly pendingRentals: ReadonlyMap<string, PendingRental>,
		/** maximum number of machines in one rental */
		private readonly maxMachinesPerRental: number,
	) {}

	/** Whether the plan contains no demand. */
	get isEmpty(): boolean {
		return this.demandByOffer.size === 0
	}

	/** Assigns spare capacity to the job's waiting tasks, and adds demand for the others. */
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
		this.addDemand({ job, tasks, runS, needsAtLeastOne: !isReachable })
	}

	/** Adds demand for one trial machine: for a quarantined job, or one whose machines may never boot. */
	addTrial(job: JobRun): void {
		this.addDemand({ job, tasks: 1, runS: this.state.estimatedRunS(job.spec), needsAtLeastOne: true })
	}

	/** Rentals to start, the largest by CPUs first. */
	rentals(): readonly PendingRental[] {
		return [...this.demandByOffer.values()]
			.map(({ offer, machines, needsAtLeastOne }) => ({
				offer,
				count: Math.max(needsAtLeastOne ? 1 : 0, Math.ceil(machines - IGNORED_MACHINE_FRACTION)),
			}))
			.filter(({ count }) => count >= 1)
			.sort((a, b) => b.count * b.offer.type.cpus - a.count * a.offer.type.cpus)
	}

	/**
	 * Distributes the demand over offers. A rental has a limited number of machines, and an offer has one pending rental:
	 * the excess goes to the next best offer at once, since an empty fleet would otherwise grow one rental at a time.
	 * Only offers of a similar price are used: a much more expensive machine is not worth saving a wait of a second.
	 */
	private addDemand({ job, tasks, runS, needsAtLeastOne }: TaskDemand): void {
		const budgetShare = job.budget.share(job.spec.uid)
		const offers = this.candidateOffers(job, runS)
		let remaining = tasks
		while (remaining > COUNT_EPSILON) {
			const withRoom = offers.filter((offer) => this.roomFor(offer) > COUNT_EPSILON)
			const offer = chooseOffer(job.spec, runS, budgetShare, withRoom)
			if (offer === undefined) return
			const perTask = machinesPerTask(this.state, job, runS, offer.type)
			const machines = Math.min(remaining * perTask, this.roomFor(offer))
			this.addMachines(offer, machines, needsAtLeastOne)
			remaining -= machines / perTask
		}
	}

	/** Available offers without a pending rental that cost at most `MAX_PRICE_RATIO` times the cheapest. */
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

	/** Number of machines that can still be added to the planned rental of the offer. */
	private roomFor(offer: InstanceOffer): number {
		return this.maxMachinesPerRental - (this.demandByOffer.get(offerKey(offer))?.machines ?? 0)
	}

	private addMachines(offer: InstanceOffer, machines: number, needsAtLeastOne: boolean): void {
		const key = offerKey(offer)
		const demand = this.demandByOffer.get(key) ?? { offer, machines: 0, needsAtLeastOne: false }
		demand.machines += machines
		demand.needsAtLeastOne ||= needsAtLeastOne
		this.demandByOffer.set(key, demand)
	}
}
