/** Cost budget of a job, from the offers that its tasks could run on. */
import { BudgetLedger, defaultBudget, type InstanceOffer, offerCost, offerKey } from '@heathroad/policy'
import type { JobSpec } from '@heathroad/wire'

/**
 * Budget between the cheapest way to run the job and the parallel way, in which every task pays for the boot of a
 * machine of its own, as in the paper. `budgetMix` is the share of the difference that is granted (0: cheapest).
 */
export const createBudgetLedger = (
	spec: JobSpec,
	offers: readonly InstanceOffer[],
	budgetMix: number,
): BudgetLedger => {
	const options = offers.map((offer) => ({
		key: offerKey(offer),
		...offerCost(spec, spec.expectedS, offer, true, false),
		full: offerCost(spec, spec.expectedS, offer, false, false),
	}))
	const node = { uid: spec.uid, parents: [], tasks: spec.tasks, options }
	const parallelNode = { ...node, options: options.map((option) => ({ ...option, ...option.full })) }
	const cheapest = defaultBudget([node], 0)
	const parallel = defaultBudget([parallelNode], 1)
	return new BudgetLedger([node], cheapest + budgetMix * Math.max(0, parallel - cheapest))
}
