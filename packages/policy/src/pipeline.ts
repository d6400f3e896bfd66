/**
 * Pipelines: jobs that depend on other jobs. The protocol has no job dependencies yet, so each submission is a pipeline
 * of one job.
 * Equation and algorithm numbers in this package refer to the paper named in docs/design.md.
 */
import { required } from './required.js'

/** One way to run a task of a job: a machine type in a zone, spot or not, with the run time and cost of the task. */
export interface PricedOption {
	key: string
	seconds: number
	cost: number
}

/** A job of a pipeline. */
export interface PipelineJob {
	uid: string
	/** uids of the jobs that have to finish first; those outside the pipeline are ignored */
	parents: readonly string[]
	tasks: number
	options: readonly PricedOption[]
}

const jobsById = (jobs: readonly PipelineJob[]): Map<string, PipelineJob> =>
	new Map(jobs.map((job) => [job.uid, job]))

/** Level of each job: 0 without parents, else one above its deepest parent (Eq. 7). Throws if there is a cycle. */
export const levels = (jobs: readonly PipelineJob[]): Map<string, number> => {
	const byId = jobsById(jobs)
	const levelOf = new Map<string, number>()
	const visit = (uid: string, path: Set<string>): number => {
		const visited = levelOf.get(uid)
		if (visited !== undefined) return visited
		if (path.has(uid)) throw new Error(`the pipeline has a cycle through ${uid}`)
		path.add(uid)
		const parents = (byId.get(uid)?.parents ?? []).filter((parent) => byId.has(parent))
		const level = parents.length === 0 ? 0 : Math.max(...parents.map((parent) => visit(parent, path))) + 1
		path.delete(uid)
		levelOf.set(uid, level)
		return level
	}
	for (const job of jobs) visit(job.uid, new Set())
	return levelOf
}

const fastestSeconds = (job: PipelineJob): number => Math.min(...job.options.map((option) => option.seconds))

/** Earliest finish of each job, in seconds: its latest parent's finish plus its own fastest run time (Eq. 8). */
export const earliestFinish = (jobs: readonly PipelineJob[]): Map<string, number> => {
	const byId = jobsById(jobs)
	const levelOf = levels(jobs)
	const finishOf = new Map<string, number>()
	const parentsFirst = [...jobs].sort((a, b) => required(levelOf, a.uid) - required(levelOf, b.uid))
	for (const job of parentsFirst) {
		const parents = job.parents.filter((parent) => byId.has(parent))
		const parentFinishes = parents.map((parent) => finishOf.get(parent) ?? 0)
		finishOf.set(job.uid, Math.max(0, ...parentFinishes) + fastestSeconds(job))
	}
	return finishOf
}

/** Jobs sorted by level, earliest finish and uid: the order in which the budget is assigned. */
export const executionOrder = (jobs: readonly PipelineJob[]): PipelineJob[] => {
	const levelOf = levels(jobs)
	const finishOf = earliestFinish(jobs)
	return [...jobs].sort(
		(a, b) =>
			required(levelOf, a.uid) - required(levelOf, b.uid) ||
			required(finishOf, a.uid) - required(finishOf, b.uid) ||
			(a.uid < b.uid ? -1 : 1),
	)
}
