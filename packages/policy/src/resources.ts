/** Resources of tasks and machines. */
import { AMOUNT_TOLERANCE } from './tolerances.js'

/** What a task needs, or what a machine has or has free. */
export interface Resources {
	cpus: number
	gpus: number
	ramGb: number
}

/** Does one task fit into the free resources? */
export const fits = (spec: Resources, free: Resources): boolean =>
	spec.cpus <= free.cpus + AMOUNT_TOLERANCE &&
	spec.gpus <= free.gpus + AMOUNT_TOLERANCE &&
	spec.ramGb <= free.ramGb + AMOUNT_TOLERANCE

const countThatFits = (need: number, free: number): number =>
	need > 0 ? Math.floor((free + AMOUNT_TOLERANCE) / need) : Number.POSITIVE_INFINITY

/** How many tasks fit side by side; 1 for a task that needs nothing. */
export const tasksThatFit = (spec: Resources, free: Resources): number => {
	const count = Math.min(
		countThatFits(spec.cpus, free.cpus),
		countThatFits(spec.gpus, free.gpus),
		countThatFits(spec.ramGb, free.ramGb),
	)
	return Number.isFinite(count) ? Math.max(0, count) : 1
}

const fractionOf = (need: number, total: number): number => (total > 0 ? need / total : 0)

/** The fraction of a machine that a task uses, by its scarcest resource; 1 at most. */
export const machineFraction = (spec: Resources, type: Resources): number =>
	Math.min(
		1,
		Math.max(
			fractionOf(spec.cpus, type.cpus),
			fractionOf(spec.gpus, type.gpus),
			fractionOf(spec.ramGb, type.ramGb),
		),
	)

/** Adds to free resources in place. */
export const addResources = (free: Resources, amount: Resources): void => {
	free.cpus += amount.cpus
	free.gpus += amount.gpus
	free.ramGb += amount.ramGb
}

/** Subtracts from free resources in place. */
export const subtractResources = (free: Resources, amount: Resources): void => {
	free.cpus -= amount.cpus
	free.gpus -= amount.gpus
	free.ramGb -= amount.ramGb
}
