import type { TerminalStateSource } from '@heathroad/cluster'

export type State = 'pending' | 'running' | 'done' | 'cancelled'

/** A job's state as it is told. Counts are of tasks. */
export interface JobState {
	uid: string
	state: State
	done: number
	running: number
	tasks: number
}

/** What is known of a job that is not over. */
export interface OpenJob {
	team: string
	tasks: number
	/** done tasks that are durable: what is told never depends on who was asked */
	done: number
	/** running tasks; null: nobody who could know has told */
	running: number | null
}

/**
 * What the streams read of the service. All of it is durable but the number of running tasks, so that nothing told
 * can turn out not to have been.
 */
export interface Records {
	/** Every change up to this revision is known here; -1: nothing is. */
	revision(): number
	/** A job that is accepted and not over. */
	open(uid: string): OpenJob | undefined
	/** Ids of a team's jobs that are not over. */
	openOf(team: string): Iterable<string>
	/** Jobs of which tasks run, as their owners know or last told, and how many. */
	running(): Iterable<[uid: string, tasks: number]>
	readonly finals: TerminalStateSource
}
