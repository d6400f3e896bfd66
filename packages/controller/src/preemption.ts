/** Preemption: stops running tasks so that waiting urgent tasks, or those of a guaranteed team, can start. */
import { chooseVictims, isAllowedOn, isZoneAllowed, priorityRank, type Victim } from '@heathroad/policy'
import type { JobSpec } from '@heathroad/wire'
import { type Attempt, gracePeriodS, type JobRun, type Machine } from './model.js'
import { queueWaitThresholdS } from './queue-wait-threshold.js'
import type { ShardState } from './state.js'

/** One round stops tasks on up to one in this many machines: a burst must not empty the fleet. */
const MACHINES_PER_PREEMPTION = 8

interface RunningTask extends Victim {
	attempt: Attempt
	spec: JobSpec
}

/** Machines on which tasks may be stopped; each is used at most once per round and then removed from its list. */
interface PreemptableMachines {
	/** with at least one running task that saves checkpoints */
	withCheckpoints: Machine[]
	/** with at least one running task of a job of this shard */
	withRunningTasks: Machine[]
}

/** A waiting job for which tasks may be preempted. */
interface Preemptor {
	job: JobRun
	/** its team uses less than it is guaranteed */
	isWithinGuarantee: boolean
}

/** Tasks to stop on one machine. */
interface Preemption {
	machineIndex: number
	victims: readonly RunningTask[]
	/** lost work in CPU seconds */
	lostCpuS: number
}

const isBeingStopped = (attempt: Attempt): boolean =>
	attempt.state !== 'exited' && attempt.stopGracePeriodS !== null

/** CPUs of tasks on these machines that are already being stopped. */
const countFreeingCpus = (machines: readonly Machine[]): number => {
	let cpus = 0
	for (const machine of machines)
		for (const attempt of machine.attempts.values())
			if (isBeingStopped(attempt)) cpus += attempt.resources.cpus
	return cpus
}

/** Specs of this shard's jobs with running tasks on the machine. */
const runningSpecs = (machine: Machine): readonly JobSpec[] => {
	const specs: JobSpec[] = []
	for (const { state, job } of machine.attempts.values())
		if (state === 'running' && job !== null) specs.push(job.spec)
	return specs
}

/** Groups the machines on which tasks may be stopped; skips machines where tasks are already being stopped. */
const findPreemptableMachines = (machines: readonly Machine[]): PreemptableMachines => {
	const withCheckpoints: Machine[] = []
	const withRunningTasks: Machine[] = []
	for (const machine of machines) {
		if ([...machine.attempts.values()].some(isBeingStopped)) continue
		const specs = runningSpecs(machine)
		if (specs.some((spec) => spec.checkpointS > 0)) withCheckpoints.push(machine)
		if (specs.length > 0) withRunningTasks.push(machine)
	}
	return { withCheckpoints, withRunningTasks }
}

/** Work that stopping a task now would lose, in seconds. */
const lostWorkS = (attempt: Attempt, spec: JobSpec, now: number): number => {
	if (spec.checkpointS > 0) return spec.saveS
	return attempt.startedAt === null ? 0 : (now - attempt.startedAt) / 1000
}

/** Running tasks on the machine that are not being stopped. */
const findRunningTasks = (machine: Machine, now: number): readonly RunningTask[] => {
	const tasks: RunningTask[] = []
	for (const attempt of machine.attempts.values()) {
		if (attempt.state !== 'running' || attempt.job === null || attempt.stopGracePeriodS !== null) continue
		const { spec } = attempt.job
		const lostS = lostWorkS(attempt, spec, now)
		tasks.push({
			key: attempt.key,
			priority: spec.priority,
			lostWorkS: lostS,
			...attempt.resources,
			attempt,
			spec,
		})
	}
	return tasks
}

/** Selects tasks to stop on a machine for one task of the job; null if that frees too little or none need stop. */
const chooseVictimsOn = (
	state: ShardState,
	machine: Machine,
	{ job, isWithinGuarantee }: Preemptor,
	mayStop: (task: RunningTask) => boolean,
): readonly RunningTask[] | null => {
	if (!isAllowedOn(job.spec, machine) || !isZoneAllowed(job.spec, machine.zone, job.taskCountByZone))
		return null
	const tasks = findRunningTasks(machine, state.dependencies.now()).filter(mayStop)
	const victims = chooseVictims(job.spec, machine.freeResources, tasks, isWithinGuarantee, (team) =>
		state.exceedsGuarantee(team),
	)
	return victims === null || victims.length === 0 ? null : victims
}

const lostCpuS = (victims: readonly RunningTask[]): number =>
	victims.reduce((sum, victim) => sum + victim.lostWorkS * victim.cpus, 0)

/** Finds the first machine where stopping tasks with checkpoints frees enough: they lose little work on any machine. */
const findCheckpointedPreemption = (
	state: ShardState,
	preemptor: Preemptor,
	machines: readonly Machine[],
): Preemption | null => {
	for (const [machineIndex, machine] of machines.entries()) {
		const victims = chooseVictimsOn(state, machine, preemptor, ({ spec }) => spec.checkpointS > 0)
		if (victims !== null) return { machineIndex, victims, lostCpuS: lostCpuS(victims) }
	}
	return null
}

/**
 * Finds the machine on which stopping tasks loses the least work. For an urgent job, a task is stopped only if it loses
 * no more than the urgent task's run time. A team within its guarantee has no such limit: other teams' long tasks would
 * otherwise withhold its guarantee for as long as they run.
 */
const findCheapestPreemption = (
	state: ShardState,
	preemptor: Preemptor,
	machines: readonly Machine[],
): Preemption | null => {
	const maxLostS = preemptor.isWithinGuarantee
		? Number.POSITIVE_INFINITY
		: state.estimatedRunS(preemptor.job.spec)
	let best: Preemption | null = null
	for (const [machineIndex, machine] of machines.entries()) {
		const victims = chooseVictimsOn(state, machine, preemptor, ({ lostWorkS: lostS }) => lostS <= maxLostS)
		if (victims === null) continue
		const lost = lostCpuS(victims)
		if (best === null || lost < best.lostCpuS) best = { machineIndex, victims, lostCpuS: lost }
	}
	return best
}

/** Marks the victims to be stopped and removes their machine from the list; returns the CPUs that will be freed. */
const stopVictims = (state: ShardState, preemption: Preemption, machines: Machine[], job: JobRun): number => {
	machines.splice(preemption.machineIndex, 1)
	for (const { attempt, spec } of preemption.victims) {
		attempt.stopGracePeriodS = gracePeriodS(spec)
		state.dependencies.log('info', 'tasks preempted', {
			task: attempt.taskName,
			machine: attempt.machine.id,
			for: job.spec.uid,
		})
	}
	return preemption.victims.reduce((sum, victim) => sum + victim.cpus, 0)
}

/**
 * Stops tasks on one machine so that a task of the job fits there; returns the CPUs that will be freed, 0 if there is no
 * such machine. Tasks without checkpoints are stopped only if stopping tasks with checkpoints frees enough nowhere.
 */
const preemptFor = (state: ShardState, preemptor: Preemptor, preemptable: PreemptableMachines): number => {
	const { withCheckpoints, withRunningTasks } = preemptable
	const checkpointed = findCheckpointedPreemption(state, preemptor, withCheckpoints)
	if (checkpointed !== null) {
		const freedCpus = stopVictims(state, checkpointed, withCheckpoints, preemptor.job)
		if (freedCpus !== 0) return freedCpus
	}
	const cheapest = findCheapestPreemption(state, preemptor, withRunningTasks)
	return cheapest === null ? 0 : stopVictims(state, cheapest, withRunningTasks, preemptor.job)
}

/** Preempts tasks for urgent jobs, and jobs of teams within their guarantee, that exceed their wait threshold. */
export const preemptTasks = (state: ShardState, now: number): void => {
	const schedulable = [...state.machines.values()].filter((machine) => state.isSchedulable(machine, now))
	const preemptable = findPreemptableMachines(schedulable)
	// CPUs that earlier preemptions are about to free count for the waiting jobs, in queue order.
	let surplusCpus = countFreeingCpus(schedulable)
	let remaining = Math.ceil(state.machines.size / MACHINES_PER_PREEMPTION)
	for (const job of state.waitingHealthyJobs(now)) {
		const isWithinGuarantee = state.isWithinGuarantee(job.spec)
		if (priorityRank(job.spec.priority) < priorityRank('urgent') && !isWithinGuarantee) continue
		if (state.jobAgeS(job) < queueWaitThresholdS(state, job)) continue
		surplusCpus -= job.readyTasks.size * job.spec.cpus
		while (surplusCpus < 0 && remaining > 0) {
			const freedCpus = preemptFor(state, { job, isWithinGuarantee }, preemptable)
			if (freedCpus === 0) break
			surplusCpus += freedCpus
			remaining--
		}
		if (remaining === 0) return
	}
}
