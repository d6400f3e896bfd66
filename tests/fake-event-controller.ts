/** Fake controllers whose records become visible step by step, for tests of event streams without the service. */
import assert from 'node:assert/strict'
import { type TerminalState, TerminalStateLog } from '@heathroad/cluster'
import {
	EventHub,
	type JobEvent,
	type JobRecords,
	type OpenJob,
	type Selection,
	type Subscription,
} from '@heathroad/events'

/** The durable record changes of an installation, in order. */
export class RecordLog {
	revision = 0
	readonly entries: {
		revision: number
		uid: string
		team: string
		final?: 'done' | 'aborted'
		done: number
	}[] = []

	change(uid: string, team: string, done: number, final?: 'done' | 'aborted', sameRevision = false): void {
		if (!sameRevision) this.revision++
		this.entries.push({ revision: this.revision, uid, team, done, final })
	}
}

/** A controller that sees the records up to its own revision. */
export class FakeController implements JobRecords {
	private visibleRevision = 0
	private nextEntry = 0
	private readonly ownWrites = new Set<RecordLog['entries'][number]>()
	private readonly jobs = new Map<string, OpenJob>()
	private readonly terminal = new Map<string, TerminalState>()
	readonly terminalStates: TerminalStateLog
	readonly hub: EventHub
	now = 0

	constructor(
		private readonly records: RecordLog,
		retainedStates = 1000,
		installationId = 'here',
	) {
		this.terminalStates = new TerminalStateLog(retainedStates, (uid) => this.terminal.get(uid))
		this.hub = new EventHub(this, installationId, 500, () => this.now)
	}

	/** Applies the changes up to a revision. */
	read(revision = this.records.revision): void {
		for (
			;
			this.nextEntry < this.records.entries.length &&
			this.records.entries[this.nextEntry].revision <= revision;
			this.nextEntry++
		)
			if (!this.ownWrites.has(this.records.entries[this.nextEntry]))
				this.apply(this.records.entries[this.nextEntry])
		this.visibleRevision = Math.max(this.visibleRevision, revision)
		this.hub.revisionAdvanced()
	}

	/** Applies its own confirmed write; a later `read` skips it, as the watch reports it without effect. */
	applyOwnWrite(change: RecordLog['entries'][number]): void {
		this.ownWrites.add(change)
		this.apply(change)
	}

	/** Applies one change, for an own write possibly before earlier changes are read. */
	apply(change: RecordLog['entries'][number]): void {
		if (change.final === undefined) {
			const running = this.jobs.get(change.uid)?.runningCount ?? 0
			if (!this.terminal.has(change.uid))
				this.jobs.set(change.uid, {
					team: change.team,
					taskCount: 5,
					doneCount: change.done,
					runningCount: running,
				})
		} else if (!this.terminal.has(change.uid)) {
			this.jobs.delete(change.uid)
			const terminal = {
				uid: change.uid,
				team: change.team,
				state: change.final,
				revision: change.revision,
				taskCount: 5,
				doneCount: change.done,
			}
			this.terminal.set(change.uid, terminal)
			this.terminalStates.add(terminal)
		}
		this.hub.jobChanged(change.uid)
	}

	/** Reports a change of a record other than the job's state, such as progress deleted after the job finished. */
	changeOtherRecord(uid: string): void {
		this.hub.jobChanged(uid)
	}

	setRunning(uid: string, running: number | null): void {
		const job = this.jobs.get(uid)
		if (job !== undefined) job.runningCount = running
	}

	revision(): number {
		return this.visibleRevision
	}

	openJob(uid: string): OpenJob | undefined {
		return this.jobs.get(uid)
	}

	*openJobsOfTeam(team: string): Iterable<string> {
		for (const [uid, job] of this.jobs) if (job.team === team) yield uid
	}

	*runningTasks(): Iterable<[string, number]> {
		for (const [uid, { runningCount }] of this.jobs)
			if (runningCount !== null && runningCount > 0) yield [uid, runningCount]
	}

	subscribe(selection: Selection, cursor = '', onEventsAvailable = () => {}): Subscription {
		const subscription = this.hub.subscribe(selection, cursor, {
			onEventsAvailable,
			onEnd: () => {},
		})
		assert.ok(typeof subscription !== 'string', String(subscription))
		return subscription
	}
}

/** Returns the available events, up to `maxEvents`. */
export const takeEvents = (subscription: Subscription, maxEvents = Number.POSITIVE_INFINITY): JobEvent[] => {
	const events: JobEvent[] = []
	while (events.length < maxEvents) {
		const event = subscription.next()
		if (event === null) break
		events.push(event)
	}
	return events
}
export const summaries = (events: readonly JobEvent[]) =>
	events.map((jobEvent) => `${jobEvent.uid} ${jobEvent.state} ${jobEvent.done}`)
