/** Boots that began before this controller read the records, so that their age is unknown. */
import { fits, isAllowedOn } from '@heathroad/policy'
import type { JobRun, Machine } from './model.js'
import { isUsable } from './spare-capacity.js'
import type { ShardState } from './state.js'

/**
 * Machines that were booting when this controller first read the records, which do not hold the start of a boot. Each
 * new owner would wait the full boot time again for a machine that never boots. Only the age of a job outlives all
 * owners: it bounds how long the job can have waited for these machines.
 */
export class InheritedBoots {
	private readonly machines = new Set<Machine>()

	constructor(private readonly state: ShardState) {}

	/** Adds a machine that has not booted and was in the records when this controller first read them. */
	add(machine: Machine): void {
		this.machines.add(machine)
	}

	/**
	 * Whether the job depends on inherited boots alone and has waited long enough for each of them to have failed, one
	 * after the other. With this bound, a rapid succession of owners rents no more machines than a single owner would.
	 */
	mayHaveFailed(job: JobRun, now: number): boolean {
		let longestWaitMs = 0
		for (const machine of this.state.machines.values()) {
			const isSuitable = fits(job.spec, machine.type) && isAllowedOn(job.spec, machine)
			if (!isSuitable || !isUsable(this.state, machine, now)) continue
			if (machine.booted || !this.machines.has(machine)) return false
			longestWaitMs += this.state.bootTimes.releaseAfterMs(machine.type)
		}
		return longestWaitMs > 0 && this.state.jobAgeS(job) * 1000 > longestWaitMs
	}
}
