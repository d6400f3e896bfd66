/** Scheduling of one shard: entry points for placement, reservation, preemption and consolidation. */
import { Consolidator } from './consolidation.js'
import { reserveMachines } from './machine-reservation.js'
import type { Machine } from './model.js'
import { preemptTasks } from './preemption.js'
import type { ScaleOut } from './scale-out.js'
import type { ShardState } from './state.js'
import { TaskPlacer } from './task-placement.js'

/** Decides which ready task runs on which machine, and which running tasks are stopped to free resources. */
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

	/** Reserves machines for urgent jobs that have waited beyond their threshold; `now` is monotonic time in ms. */
	reserveMachines(now: number): void {
		reserveMachines(this.state, now)
	}

	/** Stops running tasks in favour of urgent or guaranteed ones; `now` is monotonic time in ms. */
	preemptTasks(now: number): void {
		preemptTasks(this.state, now)
	}

	/** Drains machines whose few tasks fit elsewhere; `now` is monotonic time in ms. */
	consolidate(now: number): void {
		this.consolidator.consolidate(now)
	}
}
