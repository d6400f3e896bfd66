/** Pipeline budgets: the default budget, its split over jobs, and what remains for unstarted tasks. */
import { executionOrder, type PipelineJob, type PricedOption } from './pipeline.js'
import { required } from './required.js'

/** An upgrade may exceed the remaining budget by this much: the rounding error of the sums. */
const UPGRADE_TOLERANCE = 1e-12

const lowestCost = (job: PipelineJob): number => Math.min(...job.options.map((option) => option.cost))

/** The fastest option; ties go to the one with the highest cost. */
const fastestOption = (job: PipelineJob): PricedOption =>
	job.options.reduce((best, option) => {
		const isFaster = option.seconds < best.seconds
		const isDearer = option.seconds === best.seconds && option.cost > best.cost
		return isFaster || isDearer ? option : best
	})

/** Default budget, interpolated between the cheapest sequential cost (`mix` 0) and the parallel cost (`mix` 1). */
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

/** The fastest option to which the remaining budget can upgrade all tasks of a job from `share`. */
const bestUpgrade = (job: PipelineJob, share: number, left: number): PricedOption | undefined => {
	const covered = job.options.filter(
		(option) => option.cost >= share && (option.cost - share) * job.tasks <= left + UPGRADE_TOLERANCE,
	)
	const [best] = covered.sort((a, b) => a.seconds - b.seconds || a.cost - b.cost)
	return best
}

/**
 * Slowest-first split (Algorithm 1 and SFTD). Each job first gets the cost of its cheapest option. The remainder then
 * upgrades jobs, in execution order, to the fastest option that it covers; the rest is spread evenly over all tasks.
 * Returns the share of a single task of each job, by job uid.
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

/** Budget of one pipeline: the shares of its unstarted tasks, split again whenever a task finishes (Algorithm 3). */
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

	/** Budget share of a single unstarted task of a job. */
	share(uid: string): number {
		return this.shares.get(uid) ?? 0
	}

	/** Removes the share of a task that starts from the pool and returns that share. */
	startTask(uid: string): number {
		const share = this.share(uid)
		this.unstarted.set(uid, Math.max(0, (this.unstarted.get(uid) ?? 0) - 1))
		this.pool -= share
		return share
	}

	/** Returns the share of a requeued task to the pool, less what the task has cost so far (`spent`). */
	refundTask(uid: string, share: number, spent: number): void {
		this.unstarted.set(uid, (this.unstarted.get(uid) ?? 0) + 1)
		this.pool += share - spent
		this.updateShares()
	}

	/** Spreads the difference between a finished task's share and its cost over the unstarted tasks. */
	finishTask(share: number, cost: number): void {
		this.pool += share - cost
		this.updateShares()
	}

	private updateShares(): void {
		const unstartedJobs = this.jobs.map((job) => ({ ...job, tasks: this.unstarted.get(job.uid) ?? 0 }))
		this.shares = splitBudget(unstartedJobs, Math.max(0, this.pool))
	}
}
