/** Terminal states of jobs in the order in which they became durable, for those who follow a team's jobs. */
import { type JobRecord, terminalDoneCount } from './records.js'

/** A job's terminal state, and the revision of the change that made it durable. */
export interface TerminalState {
	uid: string
	team: string
	state: 'done' | 'aborted'
	revision: number
	/** Tasks of the job. */
	taskCount: number
	/** How many of its tasks were done. */
	doneCount: number
}

/** A position in the order in which terminal states became durable; those of one transaction are ordered by their ids. */
export interface LogPosition {
	revision: number
	uid: string
}

/** As a position's `uid`: after every terminal state of its revision. */
export const REVISION_END = '~'

const compareIds = (left: string, right: string): number => {
	if (left === right) return 0
	return left < right ? -1 : 1
}

/** Orders positions, as `Array.sort` expects it. */
export const comparePositions = (left: LogPosition, right: LogPosition): number =>
	left.revision - right.revision || compareIds(left.uid, right.uid)

/** How terminal states are read by those who report them, independent of where they are kept. */
export interface TerminalStateSource {
	/** A job's terminal state, however old; undefined: none is known. */
	get(uid: string): TerminalState | undefined
	/** A team's first state after a position, up to and including a revision; null: there is none yet. */
	next(team: string, after: LogPosition, revision: number): TerminalState | null
	/** How many of a team's states lie after a position, as far as they are kept. */
	countAfter(team: string, after: LogPosition): number
	/** Are all of a team's states after a position still kept? */
	retainsAllAfter(team: string, after: LogPosition): boolean
}

/** The terminal state that a job's record tells; null: the job is not over. */
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

/** A position before every state. */
const BEFORE_ALL: LogPosition = { revision: -1, uid: '' }

/** States above the maximum that are kept until the next trim, as a factor: trimming sorts, so it is done in batches. */
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
 * The latest terminal states. A bounded number of them is kept: a follower that is further behind starts again from the
 * present.
 */
export class TerminalStateLog implements TerminalStateSource {
	private readonly teamLogs = new Map<string, TeamLog>()
	/** In the order of their arrival here, which is nearly that of their positions. */
	private readonly retained: TerminalState[] = []
	private readonly byUid = new Map<string, TerminalState>()
	/** Position up to which states of any team may never have been added. */
	private incompleteUpTo: LogPosition = BEFORE_ALL

	/**
	 * @param maxStates how many states are kept
	 * @param readOlder reads the states of jobs that are not among them
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

	/** Adds a state in its order: own writes are known before the watch reports earlier changes. */
	add(state: TerminalState): void {
		const { states } = this.teamLog(state.team)
		const index = firstIndexAfter(states, state)
		if (index > 0 && comparePositions(states[index - 1], state) === 0) return
		states.splice(index, 0, state)
		this.retained.push(state)
		this.byUid.set(state.uid, state)
		if (this.retained.length > this.maxStates * TRIM_THRESHOLD) this.trim()
	}

	/** States up to and including a revision may be missing here: whoever follows from before it begins anew. */
	markIncompleteUpTo(revision: number): void {
		const position = { revision, uid: REVISION_END }
		if (comparePositions(position, this.incompleteUpTo) > 0) this.incompleteUpTo = position
	}

	private trim(): void {
		this.retained.sort(comparePositions)
		const removed = this.retained.splice(0, this.retained.length - this.maxStates)
		for (const state of removed) {
			const log = this.teamLog(state.team)
			// States of long ago may be added after later ones were trimmed.
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
