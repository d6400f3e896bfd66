/** The service's records, as event streams read them. */
import type { TerminalStateSource } from '@heathroad/cluster'

/** The state of a job that streams deliver. */
export type State = 'pending' | 'running' | 'done' | 'cancelled'

/** A job's state and its numbers of tasks. The field names are those in the events sent to users. */
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
	/** number of done tasks that is recorded durably, so that every controller delivers the same one */
	doneCount: number
	/** number of running tasks; null: neither this controller nor the job's owner has a complete one */
	runningCount: number | null
}

/**
 * The records from which streams are delivered. Everything except the number of running tasks is durable, so a
 * delivered state is never revoked.
 */
export interface JobRecords {
	/** The revision up to which every change is visible here; -1: no change is. */
	revision(): number
	/** Returns an accepted job that is not terminal; undefined: there is none with this id. */
	openJob(uid: string): OpenJob | undefined
	/** Ids of a team's jobs that are not terminal. */
	openJobsOfTeam(team: string): Iterable<string>
	/** The jobs that have running tasks according to their owners' latest status, with the number of these tasks. */
	runningTasks(): Iterable<[uid: string, count: number]>
	readonly terminalStates: TerminalStateSource
}
