/** Machine reservation: keeps jobs of lower rank off some machines until a waiting urgent job fits there. */
import { fits, isAllowedOn, isZoneAllowed, RAISED_RANK } from '@heathroad/policy'
import type { JobSpec } from '@heathroad/wire'
import type { JobRun, Machine } from './model.js'
import { startPatienceS } from './start-patience.js'
import type { ShardState } from './state.js'

/** At most one in so many schedulable machines is reserved: the others go on serving the whole queue. */
const MACHINES_PER_RESERVATION = 8

/** Removes all reservations; returns the machines that take new tasks. */
const clearReservations = (state: ShardState, now: number): readonly Machine[] => {
	const schedulable: Machine[] = []
	for (const machine of state.machines.values()) {
		machine.reservedFor = null
		if (state.isSchedulable(machine, now)) schedulable.push(machine)
	}
	return schedulable
}

const isReservable = (machine: Machine, job: JobRun): boolean =>
	machine.reservedFor === null &&
	fits(job.spec, machine.type) &&
	isAllowedOn(job.spec, machine) &&
	isZoneAllowed(job.spec, machine.zone, job.taskCountByZone) &&
	!job.failedMachineIds.has(machine.id)

/** What the machine lacks for one more task: missing CPUs and memory as shares of the machine's, added up. */
const missingShare = (spec: JobSpec, { freeResources, type }: Machine): number =>
	Math.max(0, spec.cpus - freeResources.cpus) / Math.max(1, type.cpus) +
	Math.max(0, spec.ramGb - freeResources.ramGb) / Math.max(1, type.ramGb)

/** The machines that can be reserved for the job, those that lack least first. */
const rankReservableMachines = (job: JobRun, machines: readonly Machine[]): readonly Machine[] =>
	machines
		.filter((machine) => isReservable(machine, job))
		.map((machine) => ({ machine, missing: missingShare(job.spec, machine) }))
		.sort((a, b) => a.missing - b.missing)
		.map(({ machine }) => machine)

/**
 * Renews the reservations for urgent jobs, and for jobs lifted to just below them, whose tasks have not fitted anywhere
 * for a while. Without reservations, on a full fleet, the small tasks of jobs behind them take every slot that becomes
 * free, and a task that needs two slots of one machine starves. One machine is reserved for each waiting task.
 */
export const reserveMachines = (state: ShardState, now: number): void => {
	const machines = clearReservations(state, now)
	let remaining = Math.ceil(machines.length / MACHINES_PER_RESERVATION)
	for (const job of state.waitingHealthyJobs(now)) {
		if (remaining <= 0 || job.rank < RAISED_RANK) return
		if (job.spec.kind === 'gang' || state.jobAgeS(job) < startPatienceS(state, job)) continue
		const count = Math.min(remaining, job.readyTasks.size)
		for (const machine of rankReservableMachines(job, machines).slice(0, count)) {
			machine.reservedFor = job
			remaining--
		}
	}
}
