/** Packing: which machines to empty by moving their tasks to others, so that they can be returned to the cloud. */
import { required } from './required.js'
import { addResources, fits, type Resources, subtractResources } from './resources.js'

/** A running task of a machine that may be emptied. */
export interface PackedTask {
	need: Resources
	/** estimated run time that is left, in seconds */
	leftS: number
	/**
	 * what a move costs, in seconds: saving a checkpoint, the command, fetching the image anew; null: it cannot save a
	 * checkpoint, or not now
	 */
	moveS: number | null
}

/** A machine with its tasks. */
export interface PackedMachine {
	id: string
	/** price an hour */
	price: number
	cpus: number
	free: Resources
	tasks: readonly PackedTask[]
}

/** A move must save this many times what it costs: estimates are often wrong by half. */
const MIN_GAIN_PER_MOVE = 4
/** A receiver stays for other tasks anyway if they run for at least this fraction of the moved task's time. */
const RECEIVER_STAYS_FRACTION = 0.75

const usedCpus = (machine: PackedMachine): number => machine.cpus - machine.free.cpus

/** Time until the last task of a machine ends, in seconds. */
const remainingS = (machine: PackedMachine): number => Math.max(0, ...machine.tasks.map((task) => task.leftS))

/** Money that emptying a machine saves for each CPU that is moved. */
const gainPerCpu = (machine: PackedMachine): number =>
	(machine.price * remainingS(machine)) / usedCpus(machine)

const isWorthMoving = (task: PackedTask): boolean =>
	task.moveS !== null && task.leftS >= task.moveS * MIN_GAIN_PER_MOVE

const isMovable = (machine: PackedMachine): boolean =>
	machine.tasks.length > 0 && machine.tasks.every(isWorthMoving)

/** Does the machine stay for other tasks anyway, or cost at most half as much for the same CPUs? */
const isGoodReceiver = (from: PackedMachine, task: PackedTask, to: PackedMachine): boolean =>
	remainingS(to) >= task.leftS * RECEIVER_STAYS_FRACTION || to.price / to.cpus <= from.price / from.cpus / 2

interface Move<M extends PackedMachine> {
	to: M
	need: Resources
}

/** The machines that are chosen so far, and the room that the moves leave. */
class PackingPlan<M extends PackedMachine> {
	readonly emptied = new Set<M>()
	private readonly receiving = new Set<M>()
	private readonly free: Map<M, Resources>
	/** all machines with tasks, the one that stays longest first */
	private readonly receivers: M[]
	/** CPUs that moved tasks may still use: half of the free ones, so that they do not wait */
	private freeCpus: number

	constructor(
		machines: readonly M[],
		private readonly mayMove: (from: M, task: PackedTask, to: M) => boolean,
	) {
		this.free = new Map(machines.map((machine) => [machine, { ...machine.free }]))
		this.receivers = machines
			.filter((machine) => machine.tasks.length > 0)
			.sort((a, b) => remainingS(b) - remainingS(a))
		this.freeCpus = this.receivers.reduce((sum, machine) => sum + machine.free.cpus, 0) / 2
	}

	/** Plans to empty a machine if all of its tasks find room elsewhere. */
	tryEmpty(machine: M): void {
		if (!this.isCandidate(machine)) return
		const moves: Move<M>[] = []
		for (const task of machine.tasks) {
			const to = this.findReceiver(machine, task)
			if (to === undefined) {
				this.undo(moves)
				return
			}
			subtractResources(required(this.free, to), task.need)
			moves.push({ to, need: task.need })
		}
		this.emptied.add(machine)
		for (const { to } of moves) this.receiving.add(to)
		this.freeCpus -= usedCpus(machine) + machine.free.cpus / 2
	}

	/** A machine that receives no tasks, is at most half used, and whose tasks fit into the free CPUs of the others. */
	private isCandidate(machine: M): boolean {
		if (this.receiving.has(machine)) return false
		if (usedCpus(machine) * 2 > machine.cpus) return false
		return usedCpus(machine) <= this.freeCpus - machine.free.cpus / 2
	}

	private findReceiver(from: M, task: PackedTask): M | undefined {
		return this.receivers.find((to) => {
			if (to === from || this.emptied.has(to)) return false
			if (!fits(task.need, required(this.free, to))) return false
			return this.mayMove(from, task, to) && isGoodReceiver(from, task, to)
		})
	}

	private undo(moves: readonly Move<M>[]): void {
		for (const { to, need } of moves) addResources(required(this.free, to), need)
	}
}

/**
 * Which machines to empty by moving their tasks, all of which can save a checkpoint, to machines that stay for other
 * tasks anyway or cost at most half as much for the same CPUs. Those with the largest gain per moved CPU go first; at
 * most `maxMachines` of them, and only into half of the free room, so that the moved tasks do not wait.
 */
export const choosePacking = <M extends PackedMachine>(
	machines: readonly M[],
	maxMachines: number,
	mayMove: (from: M, task: PackedTask, to: M) => boolean,
): M[] => {
	const movable = machines.filter(isMovable)
	movable.sort((a, b) => gainPerCpu(b) - gainPerCpu(a))
	const plan = new PackingPlan(machines, mayMove)
	for (const machine of movable) {
		if (plan.emptied.size >= maxMachines) break
		plan.tryEmpty(machine)
	}
	return [...plan.emptied]
}
