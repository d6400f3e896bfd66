/** Scale-out of one shard: when to rent machines for waiting work, in turn with returning them. */
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

/** The most machines that one call to the cloud may ask for (protocol). */
const MAX_MACHINES_PER_CALL = 50

/** Bytes of a machine group's value that are not entries of machines, estimated amply. */
const GROUP_OVERHEAD_BYTES = 256

/** Bytes of one machine's entry in a machine group: its name and its address, estimated amply. */
const GROUP_ENTRY_BYTES = 64

/** Rents machines for waiting work. Calls to the cloud are limited, and shared with the release of machines. */
export class ScaleOut {
	private readonly rentals: RentalExecutor
	/** the last round wanted more rentals than there were calls */
	private lackedCalls = false
	/** the last call that was taken from the shared limit went to a rental */
	private lastCallWasRental = false

	constructor(
		private readonly state: ShardState,
		machineGroups: MachineGroupWriter,
		private readonly inheritedBoots: InheritedBoots,
	) {
		this.rentals = new RentalExecutor(state, machineGroups)
	}

	/** Offers that can run a task of the job; with `nowOpen` only those that were not refused just now. */
	suitableOffers(spec: JobSpec, nowOpen: boolean): InstanceOffer[] {
		return nowOpen ? availableOffers(this.state, spec) : suitableOffers(this.state, spec)
	}

	/** Could a machine be rented within the task's share of the budget? If so it need not take one beyond it. */
	canAffordNewMachine(job: JobRun, runS: number): boolean {
		const budgetShare = job.budget.share(job.spec.uid)
		return availableOffers(this.state, job.spec).some(
			(offer) => offerCost(job.spec, runS, offer, false, false).cost <= budgetShare,
		)
	}

	/**
	 * Rents for the work that machines here, and those being rented, will not take. `now` is steady time in ms;
	 * `releasesWait`: machines are to be returned in this tick.
	 */
	scaleOut(now: number, releasesWait: boolean): void {
		const freeCalls = this.freeCalls()
		if (this.state.dependencies.leadership() !== 'lease' || freeCalls < 1) return
		// A release's turn: releasing a silent machine frees its tasks, which else wait for as long as rentals lack calls.
		if (releasesWait && this.lastCallWasRental && this.lackedCalls) return
		const wanted = this.plan(now).rentals()
		for (const rental of wanted.slice(0, freeCalls)) this.rentals.start(rental)
		this.lackedCalls = wanted.length > freeCalls
		if (wanted.length > 0) this.lastCallWasRental = true
	}

	/** May a call be spent on a release? Takes turns with rentals while those lack calls. */
	mayScaleIn(): boolean {
		if (this.freeCalls() < 1 || (this.lackedCalls && !this.lastCallWasRental)) return false
		this.lastCallWasRental = false
		return true
	}

	/** Carries out the recorded intent of a rental, also one of a former owner. */
	resumeRental(name: string, record: MachineGroupRecord): void {
		this.rentals.rentRecordedGroup(name, record)
	}

	/** A machine group of this shard changed. */
	onGroupRecorded(name: string, record: MachineGroupRecord): void {
		this.rentals.onGroupRecorded(name, record)
	}

	/** A machine group of this shard was removed. */
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

	/** Does the job need one more machine, though there are machines that would seem to do for it? */
	private needsTrial(job: JobRun, now: number): boolean {
		return job.isQuarantined ? !this.hasUntriedMachine(job) : this.inheritedBoots.mayHaveFailed(job, now)
	}

	/** Machines that one machine group, and so one rental, can hold. */
	private maxMachinesPerRental(): number {
		const valueBytes = this.state.config.settings.deployment.state.value_kb * 1024
		const entries = (valueBytes - GROUP_OVERHEAD_BYTES) / GROUP_ENTRY_BYTES
		return Math.max(1, Math.min(MAX_MACHINES_PER_CALL, Math.floor(entries)))
	}

	/**
	 * Calls that a rental or a release started now would not wait for. A rental is not started before its call can go out:
	 * its count is fixed while it waits, so that it would ask for what was wanted seconds ago. In the first seconds of a day
	 * most calls went to one or two machines while a hundred were wanted.
	 */
	private freeCalls(): number {
		return this.state.dependencies.availableCloudCalls() - this.rentals.unwrittenCount
	}

	/**
	 * Is there a machine that can show whether the job or its machines are at fault, one on which the job has not failed?
	 * Where all machines of a shard are faulty, every job looks broken; without a machine rented for a trial none of them
	 * would ever run again.
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
