/** Feeds from which a subscription takes the states of its selection: named jobs, or the jobs of a team. */
import { comparePositions, type LogPosition, type TerminalState } from '@heathroad/cluster'
import type { ChangeEntry } from './change-log.js'
import type { StreamPosition } from './cursor.js'
import type { JobState } from './job-records.js'

/** The open jobs of a team at one moment, shared by the streams that start within one publish interval. */
export interface TeamSnapshot {
	/** monotonic time in ms */
	takenAt: number
	/** changes after this sequence number are not part of the snapshot */
	sequence: number
	/** ids, sorted */
	uids: readonly string[]
}

/** The data that subscriptions read from their hub. */
export interface SubscriptionSource {
	/** every terminal state up to this revision may be delivered */
	revision(): number
	/** the state of a job to deliver to all of its subscribers; null: the job is terminal or unknown */
	currentState(uid: string): JobState | null
	terminalState(uid: string): TerminalState | undefined
	/** a team's next terminal state after a position; null: there is none yet that may be delivered */
	nextTerminalState(team: string, after: LogPosition): TerminalState | null
	/** number of a team's terminal states after a position */
	countTerminalStatesAfter(team: string, after: LogPosition): number
	/** whether every terminal state of a team after a position is still retained */
	retainsAllAfter(team: string, after: LogPosition): boolean
	snapshotTeam(team: string): TeamSnapshot
	/** the next changed job of a team after a sequence number; null: there is none */
	nextChange(team: string, after: number): ChangeEntry | null
}

/** The states that one subscription has to deliver; the implementation depends on the kind of selection. */
export interface SelectionFeed {
	/** ids of the initial snapshot, sorted */
	readonly initialJobIds: readonly string[]
	/** whether the terminal state of every named job was delivered; always false for a team */
	readonly isComplete: boolean
	/** whether every terminal state after a position can still be delivered */
	retainsAllAfter(position: LogPosition): boolean
	/** number of terminal states that wait for the reader */
	backlogAfter(position: LogPosition): number
	/** the next terminal state after a position, in the order in which they became durable; null: none for now */
	takeTerminalState(after: LogPosition): TerminalState | null
	/** id of the next changed job; null: none changed */
	takeChangedJob(): string | null
	/** takes a job's terminal state from the initial snapshot; null: it is not part of it or was delivered */
	takeFromSnapshot(uid: string): TerminalState | null
	/** must be called when a terminal state of a selected job was recorded */
	terminalStateRecorded(state: TerminalState): void
	/** must be called when a selected job changed that is not terminal */
	jobChanged(uid: string): void
}

/** Feed of a team. The hub keeps the team's terminal states and changes; the feed keeps only a sequence number. */
export class TeamFeed implements SelectionFeed {
	readonly initialJobIds: readonly string[]
	readonly isComplete = false
	private sequence: number

	constructor(
		private readonly source: SubscriptionSource,
		private readonly team: string,
	) {
		const snapshot = source.snapshotTeam(team)
		this.sequence = snapshot.sequence
		this.initialJobIds = snapshot.uids
	}

	retainsAllAfter(position: LogPosition): boolean {
		return this.source.retainsAllAfter(this.team, position)
	}

	backlogAfter(position: LogPosition): number {
		return this.source.countTerminalStatesAfter(this.team, position)
	}

	takeTerminalState(after: LogPosition): TerminalState | null {
		return this.source.nextTerminalState(this.team, after)
	}

	takeChangedJob(): string | null {
		const change = this.source.nextChange(this.team, this.sequence)
		if (change === null) return null
		this.sequence = change.sequence
		return change.uid
	}

	/** The snapshot of a team contains only open jobs. */
	takeFromSnapshot(): null {
		return null
	}

	/** Does nothing: terminal states are read from the hub. */
	terminalStateRecorded(): void {}

	/** Does nothing: changed jobs are read from the hub's change log. */
	jobChanged(): void {}
}

/** Feed of named jobs. It keeps their undelivered terminal states and the ids of changed jobs. */
export class NamedJobsFeed implements SelectionFeed {
	readonly initialJobIds: readonly string[]
	/**
	 * Undelivered terminal states that belong to the initial snapshot. They are kept from the start, since the records may
	 * drop them from memory before a slow reader takes them.
	 */
	private readonly snapshotStates = new Map<string, TerminalState>()
	/** undelivered terminal states that follow the initial snapshot, in the order in which they became durable */
	private readonly terminalStates: TerminalState[] = []
	/** jobs that changed and were not terminal at that time */
	private readonly changedJobs = new Set<string>()
	/**
	 * Jobs whose terminal state was not delivered yet. These are ids instead of a count, because a record of a delivered
	 * job may change again and its terminal state must neither be delivered nor counted twice.
	 */
	private readonly undelivered = new Set<string>()

	constructor(
		private readonly source: SubscriptionSource,
		uids: readonly string[],
		start: StreamPosition,
	) {
		this.initialJobIds = [...new Set(uids)].sort()
		for (const uid of this.initialJobIds) {
			const terminal = source.terminalState(uid)
			if (terminal !== undefined && wasDeliveredBefore(start, terminal)) continue
			this.undelivered.add(uid)
			if (terminal === undefined) continue
			if (isInSnapshot(start, terminal)) this.snapshotStates.set(uid, terminal)
			else this.terminalStateRecorded(terminal)
		}
	}

	get isComplete(): boolean {
		return this.undelivered.size === 0
	}

	/** Always true: the records keep the terminal state of a named job, however old it is. */
	retainsAllAfter(): boolean {
		return true
	}

	backlogAfter(): number {
		return this.terminalStates.length
	}

	takeTerminalState(): TerminalState | null {
		for (;;) {
			const [first] = this.terminalStates
			if (first === undefined || first.revision > this.source.revision()) return null
			this.terminalStates.shift()
			// A state that was recorded again may have been delivered by the snapshot meanwhile: it is skipped.
			if (this.undelivered.delete(first.uid)) return first
		}
	}

	takeChangedJob(): string | null {
		for (const uid of this.changedJobs) {
			this.changedJobs.delete(uid)
			return uid
		}
		return null
	}

	takeFromSnapshot(uid: string): TerminalState | null {
		const state = this.snapshotStates.get(uid)
		this.snapshotStates.delete(uid)
		return state !== undefined && this.undelivered.delete(uid) ? state : null
	}

	/**
	 * Inserts the state at its position in the order, unless it was delivered or is in the feed already. A state that
	 * becomes known only after the stream has passed its position is delivered nevertheless.
	 */
	terminalStateRecorded(state: TerminalState): void {
		if (!this.undelivered.has(state.uid) || this.snapshotStates.has(state.uid)) return
		let index = this.terminalStates.length
		while (index > 0 && comparePositions(this.terminalStates[index - 1], state) > 0) index--
		if (index > 0 && this.terminalStates[index - 1].uid === state.uid) return
		this.terminalStates.splice(index, 0, state)
		this.changedJobs.delete(state.uid)
	}

	jobChanged(uid: string): void {
		this.changedJobs.add(uid)
	}
}

/** Returns whether an earlier stream, which this one resumes at its start position, delivered the terminal state. */
const wasDeliveredBefore = (start: StreamPosition, terminal: TerminalState): boolean => {
	if (start.phase === 'live') return comparePositions(terminal, start) <= 0
	return terminal.revision <= start.revision && terminal.uid <= start.uid
}

/** Returns whether the terminal state is delivered as part of the initial snapshot. */
const isInSnapshot = (start: StreamPosition, terminal: TerminalState): boolean =>
	start.phase === 'present' && terminal.revision <= start.revision
