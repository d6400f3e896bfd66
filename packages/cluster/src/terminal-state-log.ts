/** Terminal states of jobs in the order in which they became durable, for clients that watch a team's jobs. */
import { type JobRecord, terminalDoneCount } from './records.js'

/** A job's terminal state, and the revision at which it became durable. */
export interface TerminalState {
	uid: string
	team: string
	state: 'done' | 'aborted'
	revision: number
	/** Number of tasks of the job. */
	taskCount: number
	/** Number of its tasks that were done. */
	doneCount: number
}

/** Position in the order in which terminal states became durable; those of one transaction are ordered by job id. */
export interface LogPosition {
	revision: number
	uid: string
}

/** As a position's `uid`: sorts after all terminal states of the revision. */
export const REVISION_END = '~'

const compareIds = (left: string, right: string): number => {
	if (left === right) return 0
	return left < right ? -1 : 1
}

/** Comparator of positions for `Array.sort`. */
export const comparePositions = (left: LogPosition, right: LogPosition): number =>
	left.revision - right.revision || compareIds(left.uid, right.uid)

/** Read access to terminal states, independent of where they are stored. */
export interface TerminalStateSource {
	/** A job's terminal state, regardless of its age; undefined if none is known. */
	get(uid: string): TerminalState | undefined
	/** A team's first state after a position, up to and including a revision; null if there is none yet. */
	next(team: string, after: LogPosition, revision: number): TerminalState | null
	/** Number of a team's states after a position that are still kept. */
	countAfter(team: string, after: LogPosition): number
	/** Whether all of a team's states after a position are still kept. */
	retainsAllAfter(team: string, after: LogPosition): boolean
}

/** The terminal state in a job's record; null if the job is not terminal. */
export const toTerminalState = (uid: string, record: JobRecord, revision: number): TerminalState | null => {
	if (record.finalState === undefined) return null
	return {
		uid,
		team: record.resources?.team ?? '',
		state: record.finalState,
		revision,
		taskCount: record.taskCount ?? 0,
		doneCount: terminalDoneCount(record),
	}
}

/** A position before all states. */
const BEFORE_ALL: LogPosition = { revision: -1, uid: '' }

/** The log is trimmed once it exceeds the maximum by this factor: trimming sorts, so it is done in batches. */
const TRIM_THRESHOLD = 1.25

/** One team's terminal states. */
interface TeamLog {
	/** In the order of their positions. */
	states: TerminalState[]
	/** Position of the last state that is no longer kept. */
	trimmedUpTo: LogPosition
}

/** Index of the first state after a position, by binary search. */
const firstIndexAfter = (states: readonly TerminalState[], after: LogPosition): number => {
	let from = 0
	let to = states.length
	while (from < to) {
		const middle = (from + to) >> 1
		if (comparePositions(states[middle], after) > 0) to = middle
		else from = middle + 1
	}
	return from
}

/**
 * The latest terminal states, up to a maximum number. A client that has fallen further behind must restart from the current
 * state.
 */
export class TerminalStateLog implements TerminalStateSource {
	private readonly teamLogs = new Map<string, TeamLog>()
	/** In order of arrival, which is nearly the order of positions. */
	private readonly retained: TerminalState[] = []
	private readonly byUid = new Map<string, TerminalState>()
	/** Position up to which states of any team may be missing from the log. */
	private incompleteUpTo: LogPosition = BEFORE_ALL

	/**
	 * @param maxStates number of states that are kept
	 * @param readOlder looks up the state of a job that is not in the log
	 */
	constructor(
		private readonly maxStates: number,
		private readonly readOlder: (uid: string) => TerminalState | undefined,
	) {}

	private teamLog(team: string): TeamLog {
		const existing = this.teamLogs.get(team)
		if (existing !== undefined) return existing
		const created: TeamLog = { states: [], trimmedUpTo: BEFORE_ALL }
		this.teamLogs.set(team, created)
		return created
	}

	/** Inserts a state at its position: this controller's own writes are known before the watch reports earlier changes. */
	add(state: TerminalState): void {
		const { states } = this.teamLog(state.team)
		const index = firstIndexAfter(states, state)
		if (index > 0 && comparePositions(states[index - 1], state) === 0) return
		states.splice(index, 0, state)
		this.retained.push(state)
		this.byUid.set(state.uid, state)
		if (this.retained.length > this.maxStates * TRIM_THRESHOLD) this.trim()
	}

	/** Marks that states up to and including a revision may be missing: clients before it must restart their watch. */
	markIncompleteUpTo(revision: number): void {
		const position = { revision, uid: REVISION_END }
		if (comparePositions(position, this.incompleteUpTo) > 0) this.incompleteUpTo = position
	}

	private trim(): void {
		this.retained.sort(comparePositions)
		const removed = this.retained.splice(0, this.retained.length - this.maxStates)
		for (const state of removed) {
			const log = this.teamLog(state.team)
			// Old states may be added after later ones were trimmed.
			if (comparePositions(state, log.trimmedUpTo) > 0) log.trimmedUpTo = state
			this.byUid.delete(state.uid)
		}
		for (const { states, trimmedUpTo } of this.teamLogs.values())
			states.splice(0, firstIndexAfter(states, trimmedUpTo))
	}

	get(uid: string): TerminalState | undefined {
		return this.byUid.get(uid) ?? this.readOlder(uid)
	}

	next(team: string, after: LogPosition, revision: number): TerminalState | null {
		const states = this.teamLogs.get(team)?.states ?? []
		const state = states.at(firstIndexAfter(states, after))
		return state !== undefined && state.revision <= revision ? state : null
	}

	countAfter(team: string, after: LogPosition): number {
		const states = this.teamLogs.get(team)?.states ?? []
		return states.length - firstIndexAfter(states, after)
	}

	retainsAllAfter(team: string, after: LogPosition): boolean {
		if (comparePositions(this.incompleteUpTo, after) > 0) return false
		return comparePositions(this.teamLog(team).trimmedUpTo, after) <= 0
	}
}
