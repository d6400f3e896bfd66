/** A subscription: one reader's position in the events of its selection. */
import { comparePositions, type LogPosition, REVISION_END, type TerminalState } from '@heathroad/cluster'
import type { CursorCodec, Selection, StreamPosition } from './cursor.js'
import type { JobState } from './job-records.js'
import { NamedJobsFeed, type SelectionFeed, type SubscriptionSource, TeamFeed } from './selection-feed.js'

/** A state of a job, with the cursor at which a stream resumes after this event. */
export interface JobEvent extends JobState {
	cursor: string
}

/** Why a stream ended before it delivered all events. Its reader may resume at its cursor at another controller. */
export type StreamEndReason =
	/** this controller can no longer serve users */
	| 'not serving'
	/** the reader was too slow for too long */
	| 'too slow'
	/** terminal states after the reader's position are not retained any more */
	| 'too far behind'

/** Callbacks of the hub that opened a subscription. */
export interface SubscriptionListener {
	/** new events may be available */
	onEventsAvailable(): void
	/** called once on the end, unless the subscription ended without a reason */
	onEnd(reason: StreamEndReason): void
	/** called once on every end, before `onEnd` */
	onClose(subscription: Subscription): void
}

/** Where a subscription starts and how its cursors are encoded. */
export interface SubscriptionStart {
	selection: Selection
	position: StreamPosition
	cursors: CursorCodec
}

/** The position after which live events follow; for a snapshot this is the end of its revision. */
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
 * A reader's position. Events are not buffered: the next one is looked up when the reader takes it, so a stalled reader
 * costs no more than one that keeps up, and receives only the latest of the states that it missed.
 *
 * Terminal states are delivered in the order in which they became durable, each exactly once over a stream and all
 * streams that resume it: the cursor of an event is the position in that order.
 */
export class Subscription {
	/** why the subscription ended; null while it is open */
	endReason: StreamEndReason | null = null
	readonly selection: Selection
	private readonly feed: SelectionFeed
	private readonly cursors: CursorCodec
	private position: StreamPosition
	/** index of the next initial job to deliver, in the snapshot or, after a resume, among the open jobs */
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

	/** Must be called by the hub when a terminal state of a named job was recorded. */
	terminalStateRecorded(state: TerminalState): void {
		this.feed.terminalStateRecorded(state)
	}

	/** Must be called by the hub when a named job changed that is not terminal. */
	jobChanged(uid: string): void {
		this.feed.jobChanged(uid)
	}

	/** Must be called by the hub when new events may be available. */
	notify(): void {
		if (this.endReason === null) this.listener.onEventsAvailable()
	}

	/** Whether no event can follow because the terminal state of every named job was delivered. */
	get isComplete(): boolean {
		return this.feed.isComplete
	}

	/** The number of terminal states that wait for the reader. */
	backlog(): number {
		return this.feed.backlogAfter(livePosition(this.position))
	}

	/** The cursor with which another stream resumes this one. */
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
		const state = this.nextSnapshotState() ?? this.nextTerminalState() ?? this.nextOpenJobState()
		return state === null ? null : { ...state, cursor: this.cursor() }
	}

	/** Ends the subscription; `reason`: null if its reader need not be notified. */
	end(reason: StreamEndReason | null): void {
		if (this.endReason !== null) return
		this.endReason = reason ?? 'not serving'
		this.listener.onClose(this)
		if (reason !== null) this.listener.onEnd(reason)
	}

	/** The next state of the initial snapshot; null: it is complete, and the position is a live one. */
	private nextSnapshotState(): JobState | null {
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

	/** A job's state in the snapshot; null: the job is not part of it. */
	private snapshotState(uid: string): JobState | null {
		const terminal = this.feed.takeFromSnapshot(uid)
		// A job that became terminal after the snapshot has no current state: it is delivered at its position in the order.
		return terminal === null ? this.source.currentState(uid) : toJobState(terminal)
	}

	private nextTerminalState(): JobState | null {
		const terminal = this.feed.takeTerminalState(this.position)
		if (terminal !== null) {
			this.advanceTo({ phase: 'live', revision: terminal.revision, uid: terminal.uid })
			return toJobState(terminal)
		}
		// Everything up to the current revision is delivered. The cursor advances to it, so that it does not become too old
		// to resume at while no selected job changes.
		const revision = this.source.revision()
		if (revision > this.position.revision) this.position = { phase: 'live', revision, uid: REVISION_END }
		return null
	}

	/** Never moves the position back to a terminal state that became known late: the later states were delivered. */
	private advanceTo(position: StreamPosition): void {
		if (comparePositions(position, this.position) > 0) this.position = position
	}

	/** The next state of a job that is not terminal. */
	private nextOpenJobState(): JobState | null {
		const { initialJobIds } = this.feed
		// After a resume the current state of every open job is delivered once.
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
