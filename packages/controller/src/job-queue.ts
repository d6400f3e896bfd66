/** Queue order of a shard's jobs. */
import type { Config } from '@heathroad/config'
import { queueRank, startDeadlines } from '@heathroad/policy'
import type { JobRun } from './model.js'
import type { RunTimeEstimator } from './run-time-estimator.js'
import type { TeamUsage } from './team-usage.js'

/** Rank of quarantined jobs, below all others, whose ranks are not negative. */
const QUARANTINED_RANK = -1

/** State and settings that determine the order of jobs. */
export interface JobQueueInputs {
	jobs: ReadonlyMap<string, JobRun>
	config: Config
	teams: TeamUsage
	runTimes: RunTimeEstimator
	/** wall-clock time in ms */
	wallClockMs(): number
}

/** Open jobs by team guarantee, rank and age. The order is recomputed on access if it is marked as dirty. */
export class JobQueue {
	/** the order must be recomputed before it is next used */
	isDirty = true
	private ordered: readonly JobRun[] = []

	constructor(private readonly inputs: JobQueueInputs) {}

	/** Seconds since the job was accepted, possibly by a former owner. */
	ageS(job: JobRun): number {
		return (this.inputs.wallClockMs() - job.acceptedAtMs) / 1000
	}

	/** Open jobs in queue order: those within their team's guarantee first. */
	inOrder(): readonly JobRun[] {
		if (!this.isDirty) return this.ordered
		this.isDirty = false
		const queue: { job: JobRun; isGuaranteed: boolean }[] = []
		for (const job of this.inputs.jobs.values()) {
			if (job.isTerminal || !job.isReconciled) continue
			this.updateRank(job)
			queue.push({ job, isGuaranteed: this.inputs.teams.isWithinGuarantee(job.spec) })
		}
		queue.sort(
			(a, b) =>
				Number(b.isGuaranteed) - Number(a.isGuaranteed) ||
				b.job.rank - a.job.rank ||
				a.job.acceptedAtMs - b.job.acceptedAtMs,
		)
		this.ordered = queue.map(({ job }) => job)
		return this.ordered
	}

	private updateRank(job: JobRun): void {
		const objectives = this.inputs.config.settings.deployment.objectives ?? []
		job.startDeadlines = startDeadlines(job.spec, this.inputs.runTimes.estimateS(job.spec), objectives)
		job.rank = job.isQuarantined
			? QUARANTINED_RANK
			: queueRank(job.spec.priority, this.ageS(job), job.startDeadlines)
	}

	/** Jobs with tasks that may start now, in queue order. */
	*waiting(now: number): Iterable<JobRun> {
		for (const job of this.inOrder())
			if (job.readyTasks.size > 0 && !job.isTerminal && !job.migrating && job.pausedUntil <= now) yield job
	}

	/** Waiting jobs that are not quarantined: only for these are tasks preempted and machines reserved or rented. */
	*waitingHealthy(now: number): Iterable<JobRun> {
		for (const job of this.waiting(now)) if (!job.isQuarantined) yield job
	}

	/** Whether any job that is not quarantined is waiting. */
	hasWaiting(now: number): boolean {
		for (const _job of this.waitingHealthy(now)) return true
		return false
	}
}
