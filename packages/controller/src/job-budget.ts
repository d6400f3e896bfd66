/** Cost budget of a job, computed from the offers that its tasks could run on. */
import { BudgetLedger, defaultBudget, type InstanceOffer, offerCost, offerKey } from '@heathroad/policy'
import type { JobSpec } from '@heathroad/wire'

/**
 * Creates a budget between the cost of the cheapest run and that of a parallel run in which every task pays for booting
 * its own machine, as in the paper. `budgetMix` is the fraction of the difference that is added (0: cheapest).
 */
export const createBudgetLedger = (
	spec: JobSpec,
	offers: readonly InstanceOffer[],
	budgetMix: number,
): BudgetLedger => {
	const options = offers.map((offer) => ({
		key: offerKey(offer),
		...offerCost(spec, spec.expectedS, offer, true, false),
		withBoot: offerCost(spec, spec.expectedS, offer, false, false),
	}))
	const node = { uid: spec.uid, parents: [], tasks: spec.tasks, options }
	const parallelNode = { ...node, options: options.map((option) => ({ ...option, ...option.withBoot })) }
	const cheapest = defaultBudget([node], 0)
	const parallel = defaultBudget([parallelNode], 1)
	return new BudgetLedger([node], cheapest + budgetMix * Math.max(0, parallel - cheapest))
}
