/** One reader's position in the events of its selection. */
import { comparePositions, type LogPosition, REVISION_END, type TerminalState } from '@heathroad/cluster'
import type { CursorCodec, Selection, StreamPosition } from './cursor.js'
import type { JobState } from './job-records.js'
import { NamedJobsFeed, type SelectionFeed, type SubscriptionSource, TeamFeed } from './selection-feed.js'

/** A state of a job with the cursor at which a stream resumes after it. */
export interface JobEvent extends JobState {
	cursor: string
}

/** Why a stream ended before it delivered everything. Its reader may resume at another controller, at its cursor. */
export type StreamEndReason =
	/** this controller cannot answer users any more */
	| 'not serving'
	/** the reader was slower than the events for too long */
	| 'too slow'
	/** terminal states between the reader's position and the present are not retained any more */
	| 'too far behind'

/** What a subscription reports to whoever opened it. */
export interface SubscriptionListener {
	/** new events may be there */
	onEventsAvailable(): void
	/** called once, unless the subscription ended without a reason */
	onEnd(reason: StreamEndReason): void
	/** called once, on every end, before `onEnd` */
	onClose(subscription: Subscription): void
}

/** Where a subscription begins and how its cursors are encoded. */
export interface SubscriptionStart {
	selection: Selection
	position: StreamPosition
	cursors: CursorCodec
}

/** The position after which live events follow: for a snapshot, the end of its revision. */
export const livePosition = (position: StreamPosition): LogPosition =>
	position.phase === 'live' ? position : { revision: position.revision, uid: REVISION_END }

const toJobState = (terminal: TerminalState): JobState => ({
	uid: terminal.uid,
	state: terminal.state === 'done' ? 'done' : 'cancelled',
	done: terminal.doneCount,
	running: 0,
	tasks: terminal.taskCount,
})

const createFeed = (source: SubscriptionSource, { selection, position }: SubscriptionStart): SelectionFeed =>
	'team' in selection
		? new TeamFeed(source, selection.team)
		: new NamedJobsFeed(source, selection.uids, position)

/**
 * A reader's position. It buffers no events: the next one is looked up when the reader takes it, so a stalled reader
 * costs no more than one that keeps up, and of the states that it missed only the latest is delivered.
 *
 * Terminal states are delivered in the order in which they became durable, each exactly once over a stream and all that
 * resume it: the cursor of an event is the position in that order.
 */
export class Subscription {
	/** why it ended; null while it is open */
	endReason: StreamEndReason | null = null
	readonly selection: Selection
	private readonly feed: SelectionFeed
	private readonly cursors: CursorCodec
	private position: StreamPosition
	/** the next id of the feed's initial jobs, for the snapshot or for the states of open jobs after a resume */
	private nextInitialJob = 0
	private encodedCursor: { position: StreamPosition; text: string } | null = null

	constructor(
		private readonly source: SubscriptionSource,
		start: SubscriptionStart,
		private readonly listener: SubscriptionListener,
	) {
		this.selection = start.selection
		this.cursors = start.cursors
		this.position = start.position
		this.feed = createFeed(source, start)
	}

	/** Called by the hub when a terminal state of a named job was recorded. */
	terminalStateRecorded(state: TerminalState): void {
		this.feed.terminalStateRecorded(state)
	}

	/** Called by the hub when a named job changed that is not terminal. */
	jobChanged(uid: string): void {
		this.feed.jobChanged(uid)
	}

	/** Called by the hub when new events may be there. */
	notify(): void {
		if (this.endReason === null) this.listener.onEventsAvailable()
	}

	/** No event can follow: the terminal state of every named job was delivered. */
	get isComplete(): boolean {
		return this.feed.isComplete
	}

	/** Number of terminal states that wait for the reader. */
	backlog(): number {
		return this.feed.backlogAfter(livePosition(this.position))
	}

	/** The cursor at which a later stream resumes this one. */
	cursor(): string {
		if (this.encodedCursor === null || this.encodedCursor.position !== this.position)
			this.encodedCursor = { position: this.position, text: this.cursors.encode(this.position) }
		return this.encodedCursor.text
	}

	/** The next event; null: there is none for now, or the subscription has ended. */
	next(): JobEvent | null {
		if (this.endReason !== null) return null
		if (!this.feed.retainsAllAfter(livePosition(this.position))) {
			this.end('too far behind')
			return null
		}
		const state = this.nextOfSnapshot() ?? this.nextTerminalState() ?? this.nextOpenState()
		return state === null ? null : { ...state, cursor: this.cursor() }
	}

	/** Ends the subscription; `reason`: null if its reader needs no word of it. */
	end(reason: StreamEndReason | null): void {
		if (this.endReason !== null) return
		this.endReason = reason ?? 'not serving'
		this.listener.onClose(this)
		if (reason !== null) this.listener.onEnd(reason)
	}

	/** The next state of the initial snapshot; afterwards the position becomes a live one. */
	private nextOfSnapshot(): JobState | null {
		if (this.position.phase !== 'present') return null
		const { revision, uid: deliveredUpTo } = this.position
		const { initialJobIds } = this.feed
		while (this.nextInitialJob < initialJobIds.length) {
			const uid = initialJobIds[this.nextInitialJob++]
			if (uid <= deliveredUpTo) continue
			const state = this.snapshotState(uid)
			if (state === null) continue
			this.position = { phase: 'present', revision, uid }
			return state
		}
		this.position = { phase: 'live', revision, uid: REVISION_END }
		return null
	}

	/** A job's state in the snapshot; null: it is not part of it. */
	private snapshotState(uid: string): JobState | null {
		const terminal = this.feed.takeFromSnapshot(uid)
		// Of a job that became terminal later there is no current state: it is delivered at its position in the order.
		return terminal === null ? this.source.currentState(uid) : toJobState(terminal)
	}

	private nextTerminalState(): JobState | null {
		const terminal = this.feed.takeTerminalState(this.position)
		if (terminal !== null) {
			this.advanceTo({ phase: 'live', revision: terminal.revision, uid: terminal.uid })
			return toJobState(terminal)
		}
		// Everything up to the present revision is delivered: the cursor advances, so that it does not become too old to
		// resume while the selected jobs are quiet.
		const revision = this.source.revision()
		if (revision > this.position.revision) this.position = { phase: 'live', revision, uid: REVISION_END }
		return null
	}

	/** A terminal state that became known late does not take the position back: what lies between was delivered. */
	private advanceTo(position: StreamPosition): void {
		if (comparePositions(position, this.position) > 0) this.position = position
	}

	/** The next state of a job that is not terminal. */
	private nextOpenState(): JobState | null {
		const { initialJobIds } = this.feed
		// After a resume every open job is delivered once in its present state.
		while (this.nextInitialJob < initialJobIds.length) {
			const state = this.source.currentState(initialJobIds[this.nextInitialJob++])
			if (state !== null) return state
		}
		for (;;) {
			const uid = this.feed.takeChangedJob()
			if (uid === null) return null
			const state = this.source.currentState(uid)
			if (state !== null) return state
		}
	}
}
