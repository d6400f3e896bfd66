/** Budgets of pipelines: the default, its split over jobs, and the account of what is left for unstarted tasks. */
import { executionOrder, type PipelineJob, type PricedOption } from './pipeline.js'
import { required } from './required.js'

/** An upgrade may exceed what is left by this much, the rounding error of the sums. */
const UPGRADE_TOLERANCE = 1e-12

const lowestCost = (job: PipelineJob): number => Math.min(...job.options.map((option) => option.cost))

/** The fastest option; of several the one with the highest cost. */
const fastestOption = (job: PipelineJob): PricedOption =>
	job.options.reduce((best, option) => {
		const isFaster = option.seconds < best.seconds
		const isDearer = option.seconds === best.seconds && option.cost > best.cost
		return isFaster || isDearer ? option : best
	})

/** The default budget lies between the cheapest sequential cost (`mix` 0) and the parallel cost (`mix` 1). */
export const defaultBudget = (jobs: readonly PipelineJob[], mix: number): number => {
	let sequential = 0
	let parallel = 0
	for (const job of jobs) {
		if (job.options.length === 0) continue
		sequential += job.tasks * lowestCost(job)
		parallel += job.tasks * fastestOption(job).cost
	}
	return sequential + mix * Math.max(0, parallel - sequential)
}

/** The fastest option to which all tasks of a job can be upgraded from `share` with what is left of the budget. */
const bestUpgrade = (job: PipelineJob, share: number, left: number): PricedOption | undefined => {
	const covered = job.options.filter(
		(option) => option.cost >= share && (option.cost - share) * job.tasks <= left + UPGRADE_TOLERANCE,
	)
	const [best] = covered.sort((a, b) => a.seconds - b.seconds || a.cost - b.cost)
	return best
}

/**
 * Slowest-first split (Algorithm 1 and SFTD): every job gets the cost of its cheapest option; then what is left upgrades
 * jobs, in their order, to the fastest option that it still covers. What remains is spread over all tasks. Returns the
 * share of one task of each job.
 */
export const splitBudget = (jobs: readonly PipelineJob[], budget: number): Map<string, number> => {
	const ordered = executionOrder(jobs.filter((job) => job.tasks > 0 && job.options.length > 0))
	const shares = new Map<string, number>()
	let left = budget
	for (const job of ordered) {
		const share = Math.max(0, Math.min(lowestCost(job), left / job.tasks))
		shares.set(job.uid, share)
		left -= share * job.tasks
	}
	for (const job of ordered) {
		const share = required(shares, job.uid)
		const upgrade = bestUpgrade(job, share, left)
		if (upgrade === undefined) continue
		left -= (upgrade.cost - share) * job.tasks
		shares.set(job.uid, upgrade.cost)
	}
	const taskCount = ordered.reduce((sum, job) => sum + job.tasks, 0)
	if (left > 0 && taskCount > 0) for (const [uid, share] of shares) shares.set(uid, share + left / taskCount)
	return shares
}

/** Budget of one pipeline: shares of its unstarted tasks, split anew whenever a task finishes (Algorithm 3). */
export class BudgetLedger {
	private shares: Map<string, number>
	private readonly unstarted = new Map<string, number>()
	private pool: number

	constructor(
		private readonly jobs: readonly PipelineJob[],
		budget: number,
	) {
		for (const job of jobs) this.unstarted.set(job.uid, job.tasks)
		this.pool = budget
		this.shares = splitBudget(jobs, budget)
	}

	/** The share of one unstarted task of a job. */
	share(uid: string): number {
		return this.shares.get(uid) ?? 0
	}

	/** A task starts: its share, which is returned, leaves the pool. */
	start(uid: string): number {
		const share = this.share(uid)
		this.unstarted.set(uid, Math.max(0, (this.unstarted.get(uid) ?? 0) - 1))
		this.pool -= share
		return share
	}

	/** A started task becomes unstarted again; its share returns to the pool, less what the task cost so far. */
	restart(uid: string, share: number, spent: number): void {
		this.unstarted.set(uid, (this.unstarted.get(uid) ?? 0) + 1)
		this.pool += share - spent
		this.resplit()
	}

	/** A task finished: the difference between its share and its cost is spread over the unstarted tasks. */
	finish(share: number, cost: number): void {
		this.pool += share - cost
		this.resplit()
	}

	private resplit(): void {
		const unstartedJobs = this.jobs.map((job) => ({ ...job, tasks: this.unstarted.get(job.uid) ?? 0 }))
		this.shares = splitBudget(unstartedJobs, Math.max(0, this.pool))
	}
}
