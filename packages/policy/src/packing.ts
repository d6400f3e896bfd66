/** Bin packing: which machines to drain by moving their tasks to others, so that they can be released to the cloud. */
import { required } from './required.js'
import { addResources, fits, type Resources, subtractResources } from './resources.js'

/** A running task on a machine that may be drained. */
export interface PackingTask {
	need: Resources
	/** estimated remaining run time, in seconds */
	leftS: number
	/**
	 * cost of a move in seconds: saving a checkpoint, delivering the commands, fetching the image again; null: the task
	 * cannot save a checkpoint, at least not now
	 */
	moveS: number | null
}

/** A machine with its running tasks, as input of the packing. */
export interface PackingMachine {
	id: string
	/** hourly price */
	price: number
	cpus: number
	free: Resources
	tasks: readonly PackingTask[]
}

/** A task moves only if its remaining run time is this multiple of the move's cost: estimates are often off by half. */
const MIN_GAIN_TO_COST_RATIO = 4
/** A target stays rented anyway if its own tasks run for at least this fraction of the moved task's remaining time. */
const MIN_TARGET_REMAINING_FRACTION = 0.75

const usedCpus = (machine: PackingMachine): number => machine.cpus - machine.free.cpus

/** Seconds until the last task of a machine finishes. */
const remainingS = (machine: PackingMachine): number =>
	Math.max(0, ...machine.tasks.map((task) => task.leftS))

/** Money that draining a machine saves per CPU moved. */
const gainPerCpu = (machine: PackingMachine): number =>
	(machine.price * remainingS(machine)) / usedCpus(machine)

const isWorthMoving = (task: PackingTask): boolean =>
	task.moveS !== null && task.leftS >= task.moveS * MIN_GAIN_TO_COST_RATIO

const isMovable = (machine: PackingMachine): boolean =>
	machine.tasks.length > 0 && machine.tasks.every(isWorthMoving)

/** Whether the target stays rented for its own tasks anyway, or costs at most half as much per CPU. */
const isGoodTarget = (from: PackingMachine, task: PackingTask, to: PackingMachine): boolean =>
	remainingS(to) >= task.leftS * MIN_TARGET_REMAINING_FRACTION ||
	to.price / to.cpus <= from.price / from.cpus / 2

interface Move<M extends PackingMachine> {
	to: M
	need: Resources
}

/** The machines chosen for draining so far, and the capacity that the planned moves leave on the others. */
class PackingPlan<M extends PackingMachine> {
	readonly machinesToDrain = new Set<M>()
	private readonly chosenTargets = new Set<M>()
	private readonly free: Map<M, Resources>
	/** all machines with tasks, the one with the longest remaining run time first */
	private readonly targets: M[]
	/** CPUs that moved tasks may still use: half of the free ones, so that moved tasks do not wait */
	private freeCpus: number

	constructor(
		machines: readonly M[],
		private readonly mayMove: (from: M, task: PackingTask, to: M) => boolean,
	) {
		this.free = new Map(machines.map((machine) => [machine, { ...machine.free }]))
		this.targets = machines
			.filter((machine) => machine.tasks.length > 0)
			.sort((a, b) => remainingS(b) - remainingS(a))
		this.freeCpus = this.targets.reduce((sum, machine) => sum + machine.free.cpus, 0) / 2
	}

	/** Plans to drain a machine if all of its tasks fit on others. */
	tryDrain(machine: M): void {
		if (!this.isCandidate(machine)) return
		const moves: Move<M>[] = []
		for (const task of machine.tasks) {
			const to = this.findTarget(machine, task)
			if (to === undefined) {
				this.undo(moves)
				return
			}
			subtractResources(required(this.free, to), task.need)
			moves.push({ to, need: task.need })
		}
		this.machinesToDrain.add(machine)
		for (const { to } of moves) this.chosenTargets.add(to)
		this.freeCpus -= usedCpus(machine) + machine.free.cpus / 2
	}

	/** Whether the machine is no target of a move, is at most half used, and its tasks fit into others' free CPUs. */
	private isCandidate(machine: M): boolean {
		if (this.chosenTargets.has(machine)) return false
		if (usedCpus(machine) * 2 > machine.cpus) return false
		return usedCpus(machine) <= this.freeCpus - machine.free.cpus / 2
	}

	private findTarget(from: M, task: PackingTask): M | undefined {
		return this.targets.find((to) => {
			if (to === from || this.machinesToDrain.has(to)) return false
			if (!fits(task.need, required(this.free, to))) return false
			return this.mayMove(from, task, to) && isGoodTarget(from, task, to)
		})
	}

	private undo(moves: readonly Move<M>[]): void {
		for (const { to, need } of moves) addResources(required(this.free, to), need)
	}
}

/**
 * Chooses up to `maxMachines` machines to drain, those that save the most per CPU moved first. All of their tasks can
 * save a checkpoint and move to machines that stay rented anyway or cost at most half as much per CPU. Moves use up to
 * half of the free CPUs, so that moved tasks do not wait.
 */
export const chooseMachinesToDrain = <M extends PackingMachine>(
	machines: readonly M[],
	maxMachines: number,
	mayMove: (from: M, task: PackingTask, to: M) => boolean,
): M[] => {
	const movable = machines.filter(isMovable)
	movable.sort((a, b) => gainPerCpu(b) - gainPerCpu(a))
	const plan = new PackingPlan(machines, mayMove)
	for (const machine of movable) {
		if (plan.machinesToDrain.size >= maxMachines) break
		plan.tryDrain(machine)
	}
	return [...plan.machinesToDrain]
}
