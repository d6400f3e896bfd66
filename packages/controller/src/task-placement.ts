/** Task placement: assigns the ready tasks of waiting jobs to machines with free resources. */
import {
	type Candidate,
	fits,
	isAllowedOn,
	isWithinLimit,
	isZoneAllowed,
	offerCost,
	rankCandidates,
} from '@heathroad/policy'
import type { JobSpec } from '@heathroad/wire'
import type { JobRun, Machine } from './model.js'
import type { ScaleOut } from './scale-out.js'
import type { ShardState } from './state.js'

/**
 * Attempt numbers per owner. An attempt's number is `fencingToken * ATTEMPTS_PER_FENCING_TOKEN + counter`, which is
 * unique across owners and restarts, and exact in a double.
 */
const ATTEMPTS_PER_FENCING_TOKEN = 2 ** 20

/** Amounts up to this are rounding errors, not free resources. */
const RESOURCE_EPSILON = 1e-9

interface PlacementCandidate extends Candidate {
	machine: Machine
}

/** Returns whether the machine has both processors (CPUs or GPUs) and memory free. */
const hasFreeResources = ({ freeResources }: Machine): boolean =>
	freeResources.cpus + freeResources.gpus > RESOURCE_EPSILON && freeResources.ramGb > RESOURCE_EPSILON

/** Returns whether one more task of the job fits on the machine and may run in the machine's zone. */
const hasRoomFor = (job: JobRun, machine: Machine): boolean =>
	fits(job.spec, machine.freeResources) && isZoneAllowed(job.spec, machine.zone, job.taskCountByZone)

/** Returns whether the machine is reserved for a job of higher rank that is still waiting. */
const isReservedForHigherRank = ({ reservedFor }: Machine, job: JobRun): boolean =>
	reservedFor !== null && reservedFor.rank > job.rank && reservedFor.readyTasks.size > 0

/** Returns whether the job's next task may be placed on this machine at `now` (monotonic time in ms). */
const isCandidate = (job: JobRun, machine: Machine, now: number): boolean => {
	if (!hasRoomFor(job, machine) || !isAllowedOn(job.spec, machine)) return false
	if (job.failedMachineIds.has(machine.id) && now < job.retryFailedMachinesAt) return false
	return !isReservedForHigherRank(machine, job)
}

/** A gang may start only if none of its tasks is placed and every unfinished task is ready. */
const isGangReady = (job: JobRun): boolean =>
	job.placements.size === 0 && job.readyTasks.size >= job.spec.tasks - job.doneTasks.size

/** A quarantined job runs one task at a time; a gang can only run as a whole. */
const isLimitedByQuarantine = (job: JobRun): boolean =>
	job.isQuarantined && job.spec.kind !== 'gang' && job.placements.size > 0

/** Places ready tasks on machines as `planned` attempts, which start with the machines' next heartbeats. */
export class TaskPlacer {
	private attemptCounter = 0

	constructor(
		private readonly state: ShardState,
		private readonly scaleOut: ScaleOut,
	) {}

	/** Runs one placement round over these machines, job by job in queue order. */
	placeTasks(machines: Iterable<Machine>): void {
		const now = this.state.dependencies.now()
		if (!this.mayStartTasks()) return
		let openMachines: Machine[] = []
		for (const machine of machines)
			if (hasFreeResources(machine) && this.state.isSchedulable(machine, now)) openMachines.push(machine)
		for (const job of this.state.waitingJobs(now)) {
			if (openMachines.length === 0) return
			if (job.spec.kind === 'gang') this.placeGang(job, openMachines)
			else this.placeReadyTasks(job, openMachines)
			openMachines = openMachines.filter(hasFreeResources)
		}
	}

	/** Only an owner whose watch cache has reached the revision of its takeover may start tasks. */
	private mayStartTasks(): boolean {
		if (this.state.stopped || this.state.dependencies.leadership() === 'none') return false
		// Writes before the takeover that are not in the watch cache yet may have moved jobs to other shards.
		return this.state.dependencies.revision() >= this.state.fencingToken
	}

	/** Places all remaining tasks of a gang or none. */
	private placeGang(job: JobRun, openMachines: readonly Machine[]): void {
		if (!isGangReady(job)) return
		this.placeReadyTasks(job, openMachines)
		if (job.readyTasks.size === 0) return
		for (const attempt of [...job.placements.values()]) this.state.removeAttempt(attempt.machine, attempt)
	}

	/**
	 * Places a job's ready tasks. They are identical, so the machines are ranked once for all of them: a machine with a
	 * placed task will have the image, and stays the best choice until it is full.
	 */
	private placeReadyTasks(job: JobRun, openMachines: readonly Machine[]): void {
		if (!this.isWithinTeamLimit(job.spec)) return
		const runS = this.state.estimatedRunS(job.spec)
		const candidates = this.findCandidates(job, runS, openMachines)
		if (candidates.length === 0) return
		const budgetShare = job.budget.share(job.spec.uid)
		const canAffordNewMachine = () => this.scaleOut.canAffordNewMachine(job, runS)
		for (const { machine } of rankCandidates(candidates, budgetShare, canAffordNewMachine))
			while (hasRoomFor(job, machine)) {
				const taskIndex = job.readyTasks.first()
				if (taskIndex === undefined || !this.isWithinTeamLimit(job.spec)) return
				if (isLimitedByQuarantine(job)) return
				this.placeTask(job, taskIndex, machine)
			}
	}

	/** Machines on which the job's next task may be placed, with the values that placement policy ranks them by. */
	private findCandidates(
		job: JobRun,
		runS: number,
		openMachines: readonly Machine[],
	): readonly PlacementCandidate[] {
		const now = this.state.dependencies.now()
		return openMachines
			.filter((machine) => isCandidate(job, machine, now))
			.map((machine) => {
				const hasImage = machine.cachedImages.has(job.spec.image)
				const { seconds, cost } = offerCost(job.spec, runS, machine, true, hasImage)
				const slack = machine.freeResources.cpus
				return { id: machine.id, hasParentOutput: false, hasImage, seconds, cost, slack, machine }
			})
	}

	/** Returns whether one more task of the job stays within its team's limit. */
	private isWithinTeamLimit(spec: JobSpec): boolean {
		const team = this.state.teamLimit(spec.team)
		if (team === undefined) return false
		// Machines that have not reported yet may hold an unknown number of the team's tasks.
		if (!this.state.reconciled && (team.cpus_max > 0 || team.gpus_max > 0)) return false
		return isWithinLimit(team, this.state.teamUsage(spec.team), spec)
	}

	private placeTask(job: JobRun, taskIndex: number, machine: Machine): void {
		const { spec } = job
		const taskName = `${spec.uid}/${taskIndex}`
		const attempt = this.nextAttemptNumber(job)
		job.readyTasks.delete(taskIndex)
		this.state.addAttempt(machine, {
			key: `${taskName}#${attempt}`,
			taskName,
			uid: spec.uid,
			machine,
			taskIndex,
			attempt,
			job,
			state: 'planned',
			exitReason: null,
			exitProcessed: false,
			orphaned: false,
			stopGracePeriodS: null,
			startedAt: null,
			budgetShare: job.budget.startTask(spec.uid),
			resources: { cpus: spec.cpus, gpus: spec.gpus, ramGb: spec.ramGb, team: spec.team },
		})
		this.state.recordCachedImage(machine, spec)
	}

	/** All tasks of a gang's start share one attempt number, by which they find each other. */
	private nextAttemptNumber(job: JobRun): number {
		const joinsGang = job.spec.kind === 'gang' && job.placements.size > 0
		if (!joinsGang) this.attemptCounter++
		return this.state.fencingToken * ATTEMPTS_PER_FENCING_TOKEN + this.attemptCounter
	}
}
