/** Machine reservation: reserves some machines for waiting urgent jobs, so that jobs of lower rank cannot fill them. */
import { fits, isAllowedOn, isZoneAllowed, RAISED_RANK } from '@heathroad/policy'
import type { JobSpec } from '@heathroad/wire'
import type { JobRun, Machine } from './model.js'
import { queueWaitThresholdS } from './queue-wait-threshold.js'
import type { ShardState } from './state.js'

/** Up to one in this many schedulable machines is reserved: the others keep serving the whole queue. */
const MACHINES_PER_RESERVATION = 8

/** Removes all reservations; returns the schedulable machines. */
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

/** Sum of the CPUs and memory that the machine lacks for one more task, each as a share of the machine's total. */
const missingShare = (spec: JobSpec, { freeResources, type }: Machine): number =>
	Math.max(0, spec.cpus - freeResources.cpus) / Math.max(1, type.cpus) +
	Math.max(0, spec.ramGb - freeResources.ramGb) / Math.max(1, type.ramGb)

/** Machines that can be reserved for the job, those with the least missing resources first. */
const rankReservableMachines = (job: JobRun, machines: readonly Machine[]): readonly Machine[] =>
	machines
		.filter((machine) => isReservable(machine, job))
		.map((machine) => ({ machine, missing: missingShare(job.spec, machine) }))
		.sort((a, b) => a.missing - b.missing)
		.map(({ machine }) => machine)

/**
 * Recomputes the reservations for urgent jobs, and for jobs promoted to just below them, that have waited beyond their
 * threshold. Without reservations, on a full fleet, small tasks of jobs later in the queue take every slot that is
 * freed, and a task that needs two slots of one machine starves. One machine is reserved for each waiting task.
 */
export const reserveMachines = (state: ShardState, now: number): void => {
	const machines = clearReservations(state, now)
	let remaining = Math.ceil(machines.length / MACHINES_PER_RESERVATION)
	for (const job of state.waitingHealthyJobs(now)) {
		if (remaining <= 0 || job.rank < RAISED_RANK) return
		if (job.spec.kind === 'gang' || state.jobAgeS(job) < queueWaitThresholdS(state, job)) continue
		const count = Math.min(remaining, job.readyTasks.size)
		for (const machine of rankReservableMachines(job, machines).slice(0, count)) {
			machine.reservedFor = job
			remaining--
		}
	}
}
