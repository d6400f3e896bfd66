/** Boots that began before this controller did, so that it does not know how old they are. */
import { fits, isAllowedOn } from '@heathroad/policy'
import type { JobRun, Machine } from './model.js'
import { isUsable } from './spare-capacity.js'
import type { ShardState } from './state.js'

/**
 * Machines that were booting when this controller first read the records, which do not tell since when. One that never
 * boots would be waited for anew by every owner that is not older than its rental. Only the age of a job outlives all
 * owners: it tells for how long the job may have waited for them.
 */
export class InheritedBoots {
	private readonly machines = new Set<Machine>()

	constructor(private readonly state: ShardState) {}

	/** Adds a machine that has not booted, and was on record before this controller read the records. */
	add(machine: Machine): void {
		this.machines.add(machine)
	}

	/**
	 * Does the job depend on inherited boots alone, and has it waited so long that each of them could have failed, one after
	 * the other? Owners that follow each other rapidly then rent no more machines than one owner would.
	 */
	mayHaveFailed(job: JobRun, now: number): boolean {
		let longestWaitMs = 0
		for (const machine of this.state.machines.values()) {
			const isSuitable = fits(job.spec, machine.type) && isAllowedOn(job.spec, machine)
			if (!isSuitable || !isUsable(this.state, machine, now)) continue
			if (machine.booted || !this.machines.has(machine)) return false
			longestWaitMs += this.state.bootTimes.returnAfterMs(machine.type)
		}
		return longestWaitMs > 0 && this.state.jobAgeS(job) * 1000 > longestWaitMs
	}
}
