/** Consolidation: drains sparsely used machines so that they become idle and are released to the cloud. */
import {
	chooseMachinesToDrain,
	hourlyPrice,
	isAllowedOn,
	type PackingMachine,
	type PackingTask,
} from '@heathroad/policy'
import { type Attempt, gracePeriodS, type JobRun, type Machine } from './model.js'
import type { ShardState } from './state.js'

/** Up to one in this many machines is drained per round, so that moved tasks find free resources at once. */
const MACHINES_PER_DRAINED_MACHINE = 16

/** Lower bound of the image fetch rate, in GB/s, so that unknown rates cause no division by zero. */
const MIN_FETCH_GB_PER_S = 0.01

/** Heartbeat intervals that a move takes besides saving and fetching: stop command, exit report, start command. */
const HEARTBEATS_PER_MOVE = 3

interface ConsolidationMachine extends PackingMachine {
	machine: Machine
}

/** Input of the packing policy, and the jobs of the tasks that may be moved. */
interface ConsolidationInput {
	machines: readonly ConsolidationMachine[]
	jobsByTask: ReadonlyMap<PackingTask, JobRun>
}

/**
 * Drains sparsely used machines while no job waits. Without it, low-priority work in small tasks of some minutes keeps
 * most of a fleet half used and no machine ever idle.
 */
export class Consolidator {
	/** monotonic time in ms */
	private nextRoundAt = 0

	constructor(private readonly state: ShardState) {}

	/** If a round is due, drains machines whose few tasks can save their progress and fit on other machines. */
	consolidate(now: number): void {
		if (!this.isDue(now)) return
		const { machines, jobsByTask } = this.collectInput(now)
		const mayMove = (from: ConsolidationMachine, task: PackingTask, to: ConsolidationMachine): boolean => {
			const spec = jobsByTask.get(task)?.spec
			// Tasks of unknown jobs have no move cost (null): the policy never moves them.
			if (spec === undefined) return false
			const isZoneBound = spec.samePlace || spec.apart
			return isAllowedOn(spec, to.machine) && (!isZoneBound || from.machine.zone === to.machine.zone)
		}
		const maxDrained = Math.ceil(machines.length / MACHINES_PER_DRAINED_MACHINE)
		for (const { machine } of chooseMachinesToDrain(machines, maxDrained, mayMove)) this.drain(machine)
	}

	/**
	 * A round is due once the queue has been empty for half an agent lease, and again after each such period: machines
	 * drained in the gap between two jobs would be rented again a moment later.
	 */
	private isDue(now: number): boolean {
		if (this.state.dependencies.leadership() !== 'lease' || !this.state.reconciled) return false
		const isWaiting = this.state.hasWaitingJobs(now)
		const hasIntervalElapsed = now >= this.nextRoundAt
		if (isWaiting || hasIntervalElapsed) this.nextRoundAt = now + this.state.config.limits.agentLeaseMs / 2
		return !isWaiting && hasIntervalElapsed
	}

	private collectInput(now: number): ConsolidationInput {
		const machines: ConsolidationMachine[] = []
		const jobsByTask = new Map<PackingTask, JobRun>()
		for (const machine of this.state.machines.values()) {
			if (!this.state.isSchedulable(machine, now)) continue
			const tasks: PackingTask[] = []
			for (const attempt of machine.attempts.values()) {
				if (attempt.state === 'exited') continue
				const task = this.toPackingTask(attempt, now)
				tasks.push(task)
				if (attempt.job !== null) jobsByTask.set(task, attempt.job)
			}
			machines.push({
				id: machine.id,
				price: hourlyPrice(machine),
				cpus: machine.type.cpus,
				free: machine.freeResources,
				tasks,
				machine,
			})
		}
		return { machines, jobsByTask }
	}

	private toPackingTask(attempt: Attempt, now: number): PackingTask {
		const { job, resources } = attempt
		// Nothing is known about a task whose job belongs to another shard: it stays.
		if (job === null) return { need: resources, leftS: 0, moveS: null }
		const isMovable =
			attempt.state === 'running' && attempt.stopGracePeriodS === null && job.spec.checkpointS > 0
		return {
			need: resources,
			leftS: this.state.remainingRunS(attempt, job, now),
			moveS: isMovable ? this.moveCostS(job, attempt.machine) : null,
		}
	}

	/** Seconds that moving a task costs: saving its progress, fetching the image again and delivering the commands. */
	private moveCostS({ spec }: JobRun, machine: Machine): number {
		const fetchS = spec.imageGb / Math.max(MIN_FETCH_GB_PER_S, machine.type.fetchGbPerS)
		return spec.saveS + fetchS + (this.state.config.limits.heartbeatMs * HEARTBEATS_PER_MOVE) / 1000
	}

	private drain(machine: Machine): void {
		machine.drainReason = 'packed'
		for (const attempt of machine.attempts.values())
			if (attempt.state === 'running' && attempt.job !== null)
				attempt.stopGracePeriodS = gracePeriodS(attempt.job.spec)
		this.state.dependencies.log('info', 'machine consolidating', {
			machine: machine.id,
			freeCpus: machine.freeResources.cpus,
		})
	}
}
