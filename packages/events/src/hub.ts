/** Distributes changes of job records to the subscriptions of one controller. */
import type { LogPosition, TerminalState } from '@heathroad/cluster'
import { type ChangeEntry, ChangeLog } from './change-log.js'
import { CursorCodec, type Selection, type StreamPosition } from './cursor.js'
import type { JobRecords, JobState } from './job-records.js'
import type { SubscriptionSource, TeamSnapshot } from './selection-feed.js'
import { livePosition, type StreamEndReason, Subscription } from './subscription.js'
import { SubscriptionIndex } from './subscription-index.js'

/** Why a stream cannot start at its cursor. */
export type SubscribeError =
	/** the cursor is malformed or of another installation or selection */
	| 'invalid cursor'
	/** its revision is later than that of the records, or terminal states after it are not retained any more */
	| 'out of range'

/** Callbacks of the reader of a subscription. */
export interface Subscriber {
	/** new events may be available */
	onEventsAvailable(): void
	/** the stream ended before it delivered all events */
	onEnd(reason: StreamEndReason): void
}

/** A published state with the job's team, which is not part of events. */
type PublishedState = JobState & { team: string }

const isSameState = (first: JobState, second: JobState): boolean =>
	first.state === second.state && first.done === second.done && first.running === second.running

/**
 * Computes the states that subscriptions deliver. A job without subscribers costs nothing. The state of a job with
 * subscribers is computed once for all of them, at most once per publish interval. Terminal states need no computation:
 * every stream keeps its own position in their order.
 */
export class EventHub implements SubscriptionSource {
	private readonly subscriptions = new SubscriptionIndex()
	/** change logs by team, for teams with subscribers */
	private readonly changeLogs = new Map<string, ChangeLog>()
	private readonly snapshots = new Map<string, TeamSnapshot>()
	/** the latest published state of each open job with subscribers */
	private readonly published = new Map<string, PublishedState>()
	/** jobs that have changed since the latest publication */
	private readonly changedJobs = new Set<string>()
	/** number of running tasks of each job at the latest publication */
	private runningTasks = new Map<string, number>()
	/** recorded terminal states with a later revision than the one up to which all records are visible */
	private pendingTerminalStates: TerminalState[] = []
	private sequence = 0

	/**
	 * @param installation id of the installation, with which cursors are signed
	 * @param publishIntervalMs interval between two calls of `publishChanges`
	 * @param now monotonic clock, in ms
	 */
	constructor(
		private readonly records: JobRecords,
		private readonly installation: string,
		private readonly publishIntervalMs: number,
		private readonly now: () => number,
	) {}

	// ---- changes of the records ----

	/** Must be called when a job's records have changed. */
	jobChanged(uid: string): void {
		const terminal = this.records.terminalStates.get(uid)
		// Kept even without subscriptions: one that starts before the state is visible must be notified of it.
		if (terminal !== undefined) this.pendingTerminalStates.push(terminal)
		if (this.subscriptions.isEmpty) return
		this.changedJobs.add(uid)
		if (terminal === undefined) return
		for (const subscription of this.subscriptions.ofJob(uid)) subscription.terminalStateRecorded(terminal)
	}

	/** Must be called when the records have become visible up to a later revision. */
	revisionAdvanced(): void {
		if (this.pendingTerminalStates.length === 0) return
		const revision = this.revision()
		const toNotify = new Set<Subscription>()
		const stillPending: TerminalState[] = []
		for (const terminal of this.pendingTerminalStates) {
			if (terminal.revision > revision) {
				stillPending.push(terminal)
				continue
			}
			for (const subscription of this.subscriptions.ofJob(terminal.uid)) toNotify.add(subscription)
			for (const subscription of this.subscriptions.ofTeam(terminal.team)) toNotify.add(subscription)
		}
		this.pendingTerminalStates = stillPending
		for (const subscription of toNotify) subscription.notify()
	}

	/** Publishes the jobs that have changed since the previous call; must be called once per publish interval. */
	publishChanges(): void {
		if (this.subscriptions.isEmpty) return
		this.findChangedRunningTasks()
		const toNotify = new Set<Subscription>()
		for (const uid of this.changedJobs) this.publish(uid, toNotify)
		this.changedJobs.clear()
		for (const subscription of toNotify) subscription.notify()
	}

	private findChangedRunningTasks(): void {
		const current = new Map<string, number>()
		for (const [uid, count] of this.records.runningTasks()) {
			current.set(uid, count)
			if (this.runningTasks.get(uid) !== count) this.changedJobs.add(uid)
			this.runningTasks.delete(uid)
		}
		// Jobs left in the previous map had running tasks at the latest publication and have none now.
		for (const uid of this.runningTasks.keys()) this.changedJobs.add(uid)
		this.runningTasks = current
	}

	private publish(uid: string, toNotify: Set<Subscription>): void {
		const previous = this.published.get(uid)
		const current = this.computeState(uid)
		if (current === null) {
			this.published.delete(uid)
			if (previous !== undefined) this.changeLogs.get(previous.team)?.forget(uid)
			return
		}
		const ofJob = this.subscriptions.ofJob(uid)
		const ofTeam = this.subscriptions.ofTeam(current.team)
		if (ofJob.size === 0 && ofTeam.size === 0) return
		if (previous !== undefined && isSameState(previous, current)) return
		this.published.set(uid, current)
		this.sequence++
		for (const subscription of ofJob) {
			subscription.jobChanged(uid)
			toNotify.add(subscription)
		}
		if (ofTeam.size === 0) return
		this.changeLogs.get(current.team)?.record(uid, this.sequence)
		for (const subscription of ofTeam) toNotify.add(subscription)
	}

	/**
	 * The state of a job that is not terminal; null: it is terminal or unknown. While the number of running tasks is
	 * unknown, for instance after a takeover, the published number remains valid.
	 */
	private computeState(uid: string): PublishedState | null {
		const job = this.records.openJob(uid)
		if (job === undefined) return null
		const running = job.runningCount ?? this.published.get(uid)?.running ?? 0
		const { team, taskCount: tasks, doneCount: done } = job
		return { uid, team, state: running > 0 ? 'running' : 'pending', done, running, tasks }
	}

	// ---- subscriptions ----

	/**
	 * Opens a subscription at a cursor, or with a snapshot of the current state if the cursor is empty. The caller must
	 * have completed a linearizable read that began after the request, so that no state is delivered that is older than
	 * one that was delivered before.
	 */
	subscribe(selection: Selection, cursor: string, subscriber: Subscriber): Subscription | SubscribeError {
		const cursors = new CursorCodec(this.installation, selection)
		let position: StreamPosition = { phase: 'present', revision: this.revision(), uid: '' }
		if (cursor !== '') {
			const decoded = cursors.decode(cursor)
			if (decoded === null) return 'invalid cursor'
			// After the linearizable read, a valid cursor is ahead of the records only if the stored state was replaced.
			if (decoded.revision > this.revision()) return 'out of range'
			position = decoded
		}
		if ('team' in selection) {
			const { team } = selection
			if (!this.retainsAllAfter(team, livePosition(position))) return 'out of range'
			if (!this.changeLogs.has(team)) this.changeLogs.set(team, new ChangeLog())
		}
		const subscription = new Subscription(
			this,
			{ selection, position, cursors },
			{
				onEventsAvailable: () => subscriber.onEventsAvailable(),
				onEnd: (reason) => subscriber.onEnd(reason),
				onClose: (closed) => this.unsubscribe(closed),
			},
		)
		this.subscriptions.add(subscription)
		return subscription
	}

	/** Ends all subscriptions; their readers resume at other controllers. */
	endAll(reason: StreamEndReason): void {
		for (const subscription of this.subscriptions.list()) subscription.end(reason)
	}

	private unsubscribe(subscription: Subscription): void {
		this.subscriptions.remove(subscription)
		// Changes are not tracked without subscribers: published states would be outdated for the next subscriber.
		if (this.subscriptions.isEmpty) this.clear()
		const { selection } = subscription
		if ('team' in selection && this.subscriptions.ofTeam(selection.team).size === 0) {
			this.changeLogs.delete(selection.team)
			this.snapshots.delete(selection.team)
		}
	}

	private clear(): void {
		this.changedJobs.clear()
		this.published.clear()
		this.runningTasks.clear()
		this.changeLogs.clear()
		this.snapshots.clear()
	}

	// ---- the source that subscriptions read from ----

	revision(): number {
		return this.records.revision()
	}

	currentState(uid: string): JobState | null {
		// If the job became terminal since the latest publication, only its terminal state is delivered from now on.
		if (this.records.openJob(uid) === undefined) return null
		// The current state of a job that changed since the latest publication is delivered, since another controller may
		// have delivered it to a stream that is resumed here. The job stays marked as changed, so that the next
		// publication delivers the state to all other subscriptions.
		const isChanged = this.changedJobs.has(uid)
		const known = isChanged ? undefined : this.published.get(uid)
		const current = known ?? this.computeState(uid)
		if (current === null) return null
		if (known === undefined && !isChanged) this.published.set(uid, current)
		const { team: _, ...state } = current
		return state
	}

	terminalState(uid: string): TerminalState | undefined {
		return this.records.terminalStates.get(uid)
	}

	nextTerminalState(team: string, after: LogPosition): TerminalState | null {
		return this.records.terminalStates.next(team, after, this.revision())
	}

	countTerminalStatesAfter(team: string, after: LogPosition): number {
		return this.records.terminalStates.countAfter(team, after)
	}

	retainsAllAfter(team: string, after: LogPosition): boolean {
		return this.records.terminalStates.retainsAllAfter(team, after)
	}

	snapshotTeam(team: string): TeamSnapshot {
		const known = this.snapshots.get(team)
		if (known !== undefined && this.now() - known.takenAt < this.publishIntervalMs) return known
		const snapshot = {
			takenAt: this.now(),
			sequence: this.sequence,
			uids: [...this.records.openJobsOfTeam(team)].sort(),
		}
		this.snapshots.set(team, snapshot)
		return snapshot
	}

	nextChange(team: string, after: number): ChangeEntry | null {
		return this.changeLogs.get(team)?.nextAfter(after) ?? null
	}
}
