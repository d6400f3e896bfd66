/** Scale-out of one shard: when to rent machines for waiting work, alternating with scale-in. */
import type { MachineGroupRecord } from '@heathroad/cluster'
import { fits, type InstanceOffer, isAllowedOn, isZoneAllowed, offerCost } from '@heathroad/policy'
import type { JobSpec } from '@heathroad/wire'
import type { InheritedBoots } from './inherited-boots.js'
import type { MachineGroupWriter } from './machine-group-writer.js'
import type { JobRun } from './model.js'
import { RentalExecutor } from './rental-executor.js'
import { availableOffers, ScaleOutPlan, suitableOffers } from './scale-out-plan.js'
import { computeSpareCapacity } from './spare-capacity.js'
import type { ShardState } from './state.js'

/** Maximum number of machines in one rental call to the cloud (protocol). */
const MAX_MACHINES_PER_CALL = 50

/** Upper estimate of the bytes of a machine group's value beyond its machine entries. */
const GROUP_OVERHEAD_BYTES = 256

/** Upper estimate of the bytes of one machine's entry in a machine group: its name and its address. */
const GROUP_ENTRY_BYTES = 64

/** Rents machines for waiting work. Cloud calls are rate-limited and shared with scale-in. */
export class ScaleOut {
	private readonly rentals: RentalExecutor
	/** the last round planned more rentals than there were calls */
	private lackedCalls = false
	/** the last call from the shared limit was used for a rental */
	private lastCallWasRental = false

	constructor(
		private readonly state: ShardState,
		machineGroups: MachineGroupWriter,
		private readonly inheritedBoots: InheritedBoots,
	) {
		this.rentals = new RentalExecutor(state, machineGroups)
	}

	/** Offers that can run a task of the job; with `onlyAvailable`, only those not in backoff after a refusal. */
	suitableOffers(spec: JobSpec, onlyAvailable: boolean): InstanceOffer[] {
		return onlyAvailable ? availableOffers(this.state, spec) : suitableOffers(this.state, spec)
	}

	/** Returns whether a machine within the task's budget share can be rented; if so, it need not exceed its share. */
	canAffordNewMachine(job: JobRun, runS: number): boolean {
		const budgetShare = job.budget.share(job.spec.uid)
		return availableOffers(this.state, job.spec).some(
			(offer) => offerCost(job.spec, runS, offer, false, false).cost <= budgetShare,
		)
	}

	/**
	 * Rents machines for work beyond the capacity of this shard's machines and pending rentals. `now` is monotonic time in
	 * ms; `hasMachinesToRelease`: machines are to be released in this tick.
	 */
	scaleOut(now: number, hasMachinesToRelease: boolean): void {
		const freeCalls = this.freeCalls()
		if (this.state.dependencies.leadership() !== 'lease' || freeCalls < 1) return
		// The release goes first: it frees a silent machine's tasks, which would otherwise wait while rentals lack calls.
		if (hasMachinesToRelease && this.lastCallWasRental && this.lackedCalls) return
		const planned = this.plan(now).rentals()
		for (const rental of planned.slice(0, freeCalls)) this.rentals.start(rental)
		this.lackedCalls = planned.length > freeCalls
		if (planned.length > 0) this.lastCallWasRental = true
	}

	/** Returns whether a call may be used for a release; alternates with rentals while those lack calls. */
	mayScaleIn(): boolean {
		if (this.freeCalls() < 1 || (this.lackedCalls && !this.lastCallWasRental)) return false
		this.lastCallWasRental = false
		return true
	}

	/** Executes the recorded intent of a rental, also one of a former owner. */
	resumeRental(name: string, record: MachineGroupRecord): void {
		this.rentals.rentRecordedGroup(name, record)
	}

	/** Handles a change of a machine group of this shard. */
	onGroupRecorded(name: string, record: MachineGroupRecord): void {
		this.rentals.onGroupRecorded(name, record)
	}

	/** Handles the removal of a machine group of this shard. */
	onGroupRemoved(name: string): void {
		this.rentals.onGroupRemoved(name)
	}

	private plan(now: number): ScaleOutPlan {
		const { pending } = this.rentals
		const spareByOffer = computeSpareCapacity(this.state, pending.values(), now)
		const plan = new ScaleOutPlan(this.state, spareByOffer, pending, this.maxMachinesPerRental())
		for (const job of this.state.waitingHealthyJobs(now)) plan.addJob(job)
		for (const job of this.state.waitingJobs(now)) {
			if (pending.size > 0 || !plan.isEmpty) break
			if (this.needsTrial(job, now)) plan.addTrial(job)
		}
		return plan
	}

	/** Returns whether the job needs a trial machine although existing machines appear suitable. */
	private needsTrial(job: JobRun, now: number): boolean {
		return job.isQuarantined ? !this.hasUntriedMachine(job) : this.inheritedBoots.mayHaveFailed(job, now)
	}

	/** Maximum number of machines in one machine group, and therefore in one rental. */
	private maxMachinesPerRental(): number {
		const valueBytes = this.state.config.settings.deployment.state.value_kb * 1024
		const entries = (valueBytes - GROUP_OVERHEAD_BYTES) / GROUP_ENTRY_BYTES
		return Math.max(1, Math.min(MAX_MACHINES_PER_CALL, Math.floor(entries)))
	}

	/**
	 * Number of cloud calls that can be sent without delay. A rental is not started before its call can be sent: its count
	 * is fixed while it waits, so it would request the demand of seconds ago. In the first seconds of a simulated day most
	 * calls were spent on one or two machines while a hundred were needed.
	 */
	private freeCalls(): number {
		return this.state.dependencies.availableCloudCalls() - this.rentals.unwrittenCount
	}

	/**
	 * Returns whether a suitable machine exists on which the job has not failed; it can show whether the job or its
	 * machines are at fault. If all machines of a shard are faulty, every job appears broken; without a trial machine none
	 * of them would ever run again.
	 */
	private hasUntriedMachine(job: JobRun): boolean {
		for (const machine of this.state.machines.values()) {
			if (machine.drainReason !== null || machine.failuresByJob.has(job)) continue
			if (!isAllowedOn(job.spec, machine) || !isZoneAllowed(job.spec, machine.zone, job.taskCountByZone))
				continue
			if (fits(job.spec, machine.type)) return true
		}
		return false
	}
}
