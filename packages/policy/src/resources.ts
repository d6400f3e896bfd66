/** Arithmetic on the resources of tasks and machines. */
import { AMOUNT_TOLERANCE } from './tolerances.js'

/** Resources that a task needs, or that a machine has in total or free. */
export interface Resources {
	cpus: number
	gpus: number
	ramGb: number
}

/** Whether one task fits into the free resources. */
export const fits = (spec: Resources, free: Resources): boolean =>
	spec.cpus <= free.cpus + AMOUNT_TOLERANCE &&
	spec.gpus <= free.gpus + AMOUNT_TOLERANCE &&
	spec.ramGb <= free.ramGb + AMOUNT_TOLERANCE

const countThatFits = (need: number, free: number): number =>
	need > 0 ? Math.floor((free + AMOUNT_TOLERANCE) / need) : Number.POSITIVE_INFINITY

/** How many tasks fit at the same time; 1 for a task that needs no resources. */
export const tasksThatFit = (spec: Resources, free: Resources): number => {
	const count = Math.min(
		countThatFits(spec.cpus, free.cpus),
		countThatFits(spec.gpus, free.gpus),
		countThatFits(spec.ramGb, free.ramGb),
	)
	return Number.isFinite(count) ? Math.max(0, count) : 1
}

const fractionOf = (need: number, total: number): number => (total > 0 ? need / total : 0)

/** The fraction of a machine that a task uses, by its dominant resource; at most 1. */
export const machineFraction = (spec: Resources, type: Resources): number =>
	Math.min(
		1,
		Math.max(
			fractionOf(spec.cpus, type.cpus),
			fractionOf(spec.gpus, type.gpus),
			fractionOf(spec.ramGb, type.ramGb),
		),
	)

/** Adds `amount` to free resources in place. */
export const addResources = (free: Resources, amount: Resources): void => {
	free.cpus += amount.cpus
	free.gpus += amount.gpus
	free.ramGb += amount.ramGb
}

/** Subtracts `amount` from free resources in place. */
export const subtractResources = (free: Resources, amount: Resources): void => {
	free.cpus -= amount.cpus
	free.gpus -= amount.gpus
	free.ramGb -= amount.ramGb
}
