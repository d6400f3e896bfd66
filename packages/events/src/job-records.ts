/** What event streams read of the service's records. */
import type { TerminalStateSource } from '@heathroad/cluster'

/** A job's state as streams deliver it. */
export type State = 'pending' | 'running' | 'done' | 'cancelled'

/** A job's state and its numbers of tasks. The field names are those of the events sent to users. */
export interface JobState {
	uid: string
	state: State
	done: number
	running: number
	tasks: number
}

/** A job that is not in a terminal state. */
export interface OpenJob {
	team: string
	taskCount: number
	/** done tasks that are recorded durably, so that every controller delivers the same number */
	doneCount: number
	/** running tasks; null: neither this controller nor the job's owner has a complete number */
	runningCount: number | null
}

/**
 * The records that streams deliver from. All of them but the number of running tasks are durable, so a delivered state
 * is never revoked.
 */
export interface JobRecords {
	/** Every change up to this revision is visible here; -1: none is. */
	revision(): number
	/** An accepted job that is not terminal. */
	openJob(uid: string): OpenJob | undefined
	/** Ids of a team's jobs that are not terminal. */
	openJobsOfTeam(team: string): Iterable<string>
	/** Jobs that have running tasks according to their owners' latest status, with the number of these tasks. */
	runningTasks(): Iterable<[uid: string, count: number]>
	readonly terminalStates: TerminalStateSource
}
