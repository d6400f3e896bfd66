/** Registry of the attempts that are, or may be, on machines, and of the resources that they hold. */
import { hourlyPrice, machineFraction } from '@heathroad/policy'
import type { JobQueue } from './job-queue.js'
import { recomputeFreeResources } from './machine-resources.js'
import type { Attempt, JobRun, Machine } from './model.js'
import type { TeamUsage } from './team-usage.js'

const SECONDS_PER_HOUR = 3600

/** State of the shard that the registry keeps up to date besides attempts and machines. */
export interface AttemptRegistryDependencies {
	jobs: Map<string, JobRun>
	teams: TeamUsage
	queue: JobQueue
	/** monotonic time in ms */
	now(): number
}

/**
 * Keeps machines, jobs and team usage consistent with each other. A task has at most one placement; all its other
 * attempts are orphaned. It is ready only while it has neither a placement nor orphaned attempts.
 */
export class AttemptRegistry {
	constructor(private readonly dependencies: AttemptRegistryDependencies) {}

	/** Adds an attempt that is planned for a machine or was found on it. */
	add(machine: Machine, attempt: Attempt): void {
		machine.attempts.set(attempt.key, attempt)
		const { job, taskIndex, resources } = attempt
		if (job !== null && !attempt.orphaned) {
			job.placements.set(taskIndex, attempt)
			job.taskCountByZone.set(machine.zone, (job.taskCountByZone.get(machine.zone) ?? 0) + 1)
		} else if (job !== null) {
			// This owner did not start it, but it counts as present until proven absent (incident 26).
			job.orphanCounts.set(taskIndex, (job.orphanCounts.get(taskIndex) ?? 0) + 1)
			job.readyTasks.delete(taskIndex)
		}
		this.dependencies.teams.add(resources.team, resources)
		machine.freeResources.cpus -= resources.cpus
		machine.freeResources.gpus -= resources.gpus
		machine.freeResources.ramGb -= resources.ramGb
		machine.idleSince = null
	}

	/** Frees the resources of an attempt that has exited or is absent from its machine; idempotent. */
	free(machine: Machine, attempt: Attempt): void {
		if (attempt.exitProcessed) return
		attempt.exitProcessed = true
		this.dependencies.teams.subtract(attempt.resources.team, attempt.resources)
		const { job, taskIndex } = attempt
		if (job === null) return
		if (attempt.orphaned) this.decrementOrphans(job, taskIndex)
		if (job.placements.get(taskIndex) !== attempt) return
		job.placements.delete(taskIndex)
		job.taskCountByZone.set(machine.zone, (job.taskCountByZone.get(machine.zone) ?? 1) - 1)
		if (job.isTerminal && job.placements.size === 0) this.dependencies.jobs.delete(attempt.uid)
	}

	private decrementOrphans(job: JobRun, taskIndex: number): void {
		const count = job.orphanCounts.get(taskIndex) ?? 0
		if (count > 1) job.orphanCounts.set(taskIndex, count - 1)
		else job.orphanCounts.delete(taskIndex)
	}

	/** Removes an attempt that is absent from its machine; requeues its task unless its exit was already processed. */
	remove(machine: Machine, attempt: Attempt): void {
		const wasExitProcessed = attempt.exitProcessed
		machine.attempts.delete(attempt.key)
		this.free(machine, attempt)
		recomputeFreeResources(machine)
		if (!wasExitProcessed) this.requeueTask(attempt)
	}

	/** Makes the attempt's task ready again if it is not done and is proven absent from all machines. */
	requeueTask(attempt: Attempt): void {
		const { job, taskIndex } = attempt
		if (job === null || job.isTerminal || job.doneTasks.has(taskIndex)) return
		if (job.placements.has(taskIndex) || job.orphanCounts.has(taskIndex)) return
		if (attempt.state !== 'exited' && !attempt.orphaned)
			job.budget.refundTask(attempt.uid, attempt.budgetShare, this.cost(attempt))
		if (!job.isReconciled) return
		if (job.readyTasks.add(taskIndex) && job.readyTasks.size === 1) this.dependencies.queue.isDirty = true
	}

	/** Cost of the attempt so far: its share of the machine's price; 0 before it starts. */
	cost(attempt: Attempt): number {
		const { machine, startedAt, resources } = attempt
		if (startedAt === null) return 0
		const seconds = (this.dependencies.now() - startedAt) / 1000
		return (seconds * hourlyPrice(machine) * machineFraction(resources, machine.type)) / SECONDS_PER_HOUR
	}
}
