/** One way to run a task of a job: a machine type and kind, with how long it takes and what that costs. */
export interface PricedOption {
	key: string
	seconds: number
	cost: number
}

/** A node of a pipeline. The wire has no parents today, so a submission is a pipeline of one node. */
export interface PipelineJob {
	uid: string
	parents: readonly string[]
	tasks: number
	options: readonly PricedOption[]
}

/** Level of each job: 0 without parents, else one above the deepest parent (paper, Eq. 7). */
export const levels = (jobs: readonly PipelineJob[]): Map<string, number> => {
	const byId = new Map(jobs.map((j) => [j.uid, j]))
	const out = new Map<string, number>()
	const visit = (uid: string, path: Set<string>): number => {
		const known = out.get(uid)
		if (known !== undefined) return known
		if (path.has(uid)) throw new Error(`the pipeline has a cycle through ${uid}`)
		path.add(uid)
		const parents = (byId.get(uid)?.parents ?? []).filter((p) => byId.has(p))
		const level = parents.length === 0 ? 0 : Math.max(...parents.map((p) => visit(p, path))) + 1
		path.delete(uid)
		out.set(uid, level)
		return level
	}
	for (const j of jobs) visit(j.uid, new Set())
	return out
}

const fastest = (j: PipelineJob): number => Math.min(...j.options.map((o) => o.seconds))

/** Earliest finish of each job: the latest parent's finish plus its own processing time (paper, Eq. 8). */
export const earliestFinish = (jobs: readonly PipelineJob[]): Map<string, number> => {
	const byId = new Map(jobs.map((j) => [j.uid, j]))
	const level = levels(jobs)
	const out = new Map<string, number>()
	for (const j of [...jobs].sort((a, b) => level.get(a.uid)! - level.get(b.uid)!)) {
		const parents = j.parents.filter((p) => byId.has(p)).map((p) => out.get(p) ?? 0)
		out.set(j.uid, Math.max(0, ...parents) + fastest(j))
	}
	return out
}

/** Jobs by level, then by earliest finish: the order in which budget is handed out. */
export const executionOrder = (jobs: readonly PipelineJob[]): PipelineJob[] => {
	const level = levels(jobs)
	const eft = earliestFinish(jobs)
	return [...jobs].sort(
		(a, b) =>
			level.get(a.uid)! - level.get(b.uid)! || eft.get(a.uid)! - eft.get(b.uid)! || (a.uid < b.uid ? -1 : 1),
	)
}

/** The default budget lies between the cheapest sequential cost (mix 0) and the parallel cost (mix 1). */
export const defaultBudget = (jobs: readonly PipelineJob[], mix: number): number => {
	let sequential = 0
	let parallel = 0
	for (const j of jobs) {
		if (j.options.length === 0) continue
		sequential += j.tasks * Math.min(...j.options.map((o) => o.cost))
		const quick = j.options.reduce((a, b) =>
			b.seconds < a.seconds || (b.seconds === a.seconds && b.cost > a.cost) ? b : a,
		)
		parallel += j.tasks * quick.cost
	}
	return sequential + mix * Math.max(0, parallel - sequential)
}

/**
 * Slowest-first split (paper, Algorithm 1 and SFTD): every job gets its cheapest option, then what is left
 * upgrades jobs from the earliest to the fastest option it still covers. What remains is spread over tasks.
 * Returns the share of one task of each job.
 */
export const splitBudget = (jobs: readonly PipelineJob[], budget: number): Map<string, number> => {
	const order = executionOrder(jobs.filter((j) => j.tasks > 0 && j.options.length > 0))
	const shares = new Map<string, number>()
	let left = budget
	for (const j of order) {
		const cheapest = Math.min(...j.options.map((o) => o.cost))
		const share = Math.max(0, Math.min(cheapest, left / j.tasks))
		shares.set(j.uid, share)
		left -= share * j.tasks
	}
	for (const j of order) {
		const have = shares.get(j.uid)!
		const best = [...j.options]
			.filter((o) => o.cost >= have && (o.cost - have) * j.tasks <= left + 1e-12)
			.sort((a, b) => a.seconds - b.seconds || a.cost - b.cost)[0]
		if (best === undefined) continue
		left -= (best.cost - have) * j.tasks
		shares.set(j.uid, best.cost)
	}
	const tasks = order.reduce((n, j) => n + j.tasks, 0)
	if (left > 0 && tasks > 0) for (const [uid, share] of shares) shares.set(uid, share + left / tasks)
	return shares
}

/** The money of one pipeline: shares of unstarted tasks, re-split whenever a task finishes (Algorithm 3). */
export class BudgetLedger {
	private shares: Map<string, number>
	private readonly unstarted = new Map<string, number>()
	private pool: number

	constructor(
		private readonly jobs: readonly PipelineJob[],
		budget: number,
	) {
		for (const j of jobs) this.unstarted.set(j.uid, j.tasks)
		this.pool = budget
		this.shares = splitBudget(jobs, budget)
	}

	share(uid: string): number {
		return this.shares.get(uid) ?? 0
	}

	/** A task starts: its share leaves the pool with it. */
	start(uid: string): number {
		const share = this.share(uid)
		this.unstarted.set(uid, Math.max(0, (this.unstarted.get(uid) ?? 0) - 1))
		this.pool -= share
		return share
	}

	/** A task that had started goes back among the unstarted; what it cost so far stays spent. */
	restart(uid: string, share: number, spent: number): void {
		this.unstarted.set(uid, (this.unstarted.get(uid) ?? 0) + 1)
		this.pool += share - spent
		this.resplit()
	}

	/** A task finished: leftover is banked as spare, overrun as debt, and the unstarted jobs are re-split. */
	finish(share: number, cost: number): void {
		this.pool += share - cost
		this.resplit()
	}

	private resplit(): void {
		const rest = this.jobs.map((j) => ({ ...j, tasks: this.unstarted.get(j.uid) ?? 0 }))
		this.shares = splitBudget(rest, Math.max(0, this.pool))
	}
}
