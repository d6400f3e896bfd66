/** Scheduling of one shard: the entry points of placement, reservation, preemption and consolidation. */
import { Consolidator } from './consolidation.js'
import { reserveMachines } from './machine-reservation.js'
import type { Machine } from './model.js'
import { preemptTasks } from './preemption.js'
import type { ScaleOut } from './scale-out.js'
import type { ShardState } from './state.js'
import { TaskPlacer } from './task-placement.js'

/** Decides which ready task runs on which machine, and which running tasks are stopped to make room. */
export class Scheduler {
	private readonly placer: TaskPlacer
	private readonly consolidator: Consolidator

	constructor(
		private readonly state: ShardState,
		scaleOut: ScaleOut,
	) {
		this.placer = new TaskPlacer(state, scaleOut)
		this.consolidator = new Consolidator(state)
	}

	/** Places ready tasks on these machines; see `TaskPlacer`. */
	placeTasks(machines: Iterable<Machine>): void {
		this.placer.placeTasks(machines)
	}

	/** Reserves machines for urgent jobs that have waited for a while; `now` is steady time in ms. */
	reserveMachines(now: number): void {
		reserveMachines(this.state, now)
	}

	/** Stops running tasks in favour of urgent or guaranteed ones; `now` is steady time in ms. */
	preemptTasks(now: number): void {
		preemptTasks(this.state, now)
	}

	/** Empties machines whose few tasks fit elsewhere; `now` is steady time in ms. */
	consolidate(now: number): void {
		this.consolidator.consolidate(now)
	}
}
