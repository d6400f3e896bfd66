/** The service's records as event streams read them, and the id of the installation. */
import {
	countRecordedDone,
	INSTALLATION_KEY,
	type JobRecord,
	type TerminalState,
	TerminalStateLog,
	toTerminalState,
} from '@heathroad/cluster'
import type { EventHub, JobRecords, OpenJob, Selection } from '@heathroad/events'
import { type ArchivedJob, jobIdOf } from '@heathroad/history'
import type { JobLocation, RecordObserver, Service } from '@heathroad/server'
import { KEY_PREFIX, WritePriority } from '@heathroad/store'
import { Effect } from 'effect'

/** A shard's new owner has complete numbers of running tasks after so many heartbeat intervals. */
const HEARTBEATS_AFTER_TAKEOVER = 2

const NO_STATES: ReadonlyMap<string, TerminalState> = new Map()

const toArchivedState = ({
	ordinal,
	aborted,
	taskCount,
	doneCount,
	revision,
}: ArchivedJob): TerminalState => ({
	uid: jobIdOf(ordinal),
	team: '',
	state: aborted ? 'aborted' : 'done',
	revision,
	taskCount,
	doneCount,
})

/** Observes the records of a service from its construction on, and passes changes to the hub. */
export class ServiceRecords implements JobRecords, RecordObserver {
	readonly terminalStates: TerminalStateLog
	/** set once the installation's id is known */
	hub: EventHub | null = null
	/** shards with a new owner, whose numbers of running tasks may be incomplete until this time, steady ms */
	private readonly incompleteUntil = new Map<number, number>()
	/** terminal states of the stream that is being subscribed */
	private preparedStates: ReadonlyMap<string, TerminalState> = NO_STATES
	/** terminal states from the archive, the latest ones that streams asked for */
	private readonly archivedStates = new Map<string, TerminalState>()
	/** a full read was not followed by a check yet whether the archive holds states that the log lacks */
	private mayLackArchivedStates = true
	/** archival epoch at the latest full read: states that were archived by then are older; null: it is being applied */
	private epochAtFullRead: number | null = null

	/** `retained`: terminal states that are kept for streams, of all teams together and from the archive. */
	constructor(
		private readonly service: Service,
		private readonly retained: number,
	) {
		this.terminalStates = new TerminalStateLog(
			retained,
			(uid) => this.recordedState(uid) ?? this.preparedStates.get(uid) ?? this.archivedStates.get(uid),
		)
		for (const uid of service.jobs.knownIds()) this.addTerminalState(uid)
		// What an earlier full read left out of memory is not known here.
		if (service.cache.revision >= 0) {
			this.terminalStates.markIncompleteUpTo(service.cache.revision)
			this.mayLackArchivedStates = false
		}
		service.recordObserver = this
	}

	// ---- observer of the service ----

	onJobChanged(uid: string): void {
		this.addTerminalState(uid)
		this.hub?.jobChanged(uid)
	}

	onShardChanged(shardId: number): void {
		const { heartbeatMs } = this.service.config.limits
		this.incompleteUntil.set(shardId, this.service.now() + heartbeatMs * HEARTBEATS_AFTER_TAKEOVER)
	}

	onRevisionAdvanced(): void {
		this.epochAtFullRead ??= this.service.archive.archivalEpoch()
		this.hub?.revisionAdvanced()
	}

	/** The log keeps omitted states too, within its bound: a reader of their team may not have them yet. */
	onTerminalStateOmitted(uid: string, record: JobRecord, revision: number): void {
		const state = toTerminalState(uid, record, revision)
		if (state === null) return
		this.terminalStates.add(state)
		if (revision > this.revision()) this.hub?.jobChanged(uid)
	}

	/** States may have become terminal and left the records unseen: streams end, and begin anew where readers come back. */
	onFullRead(): void {
		this.mayLackArchivedStates = true
		this.epochAtFullRead = null
		this.hub?.endAll('not serving')
	}

	private addTerminalState(uid: string): void {
		const state = this.recordedState(uid)
		if (state !== undefined) this.terminalStates.add(state)
	}

	private recordedState(uid: string): TerminalState | undefined {
		const terminal = this.service.jobs.terminalRecord(uid)
		if (terminal === undefined) return undefined
		return toTerminalState(uid, terminal.record, terminal.revision) ?? undefined
	}

	/**
	 * Reads what a stream needs that is not in memory: terminal states of named jobs, or whether a team's states may be
	 * archived. To be called after a linearizable read; calls back with false if not everything could be read. A stream must
	 * be subscribed within the callback, as long as the states that were read are at hand.
	 */
	prepare(selection: Selection, done: (isComplete: boolean) => void): void {
		if ('team' in selection) {
			Effect.runFork(Effect.map(this.checkArchive(), done))
			return
		}
		const onFound = (states: ReadonlyMap<string, TerminalState> | null) => {
			this.preparedStates = states ?? NO_STATES
			done(states !== null)
			this.preparedStates = NO_STATES
		}
		Effect.runFork(Effect.map(this.findTerminalStates(selection.uids), onFound))
	}

	/**
	 * After a full read the log lacks the states that were archived before: streams cannot resume from before the latest of
	 * them.
	 */
	private checkArchive(): Effect.Effect<boolean> {
		const { archive } = this.service
		const epoch = this.epochAtFullRead
		if (!this.mayLackArchivedStates) return Effect.succeed(true)
		if (epoch === null) return Effect.succeed(false)
		return Effect.map(archive.latestRevision(), (latestRevision) => {
			if (latestRevision === null || this.epochAtFullRead !== epoch) return false
			// What was archived by then is older than the epoch.
			this.terminalStates.markIncompleteUpTo(Math.min(latestRevision, epoch - 1))
			this.mayLackArchivedStates = false
			return true
		})
	}

	/** The terminal states of named jobs; null: for some job nothing is proven. */
	private findTerminalStates(
		uids: readonly string[],
	): Effect.Effect<ReadonlyMap<string, TerminalState> | null> {
		const found = new Map<string, TerminalState>()
		for (const uid of uids) {
			const state = this.terminalStates.get(uid)
			if (state !== undefined) found.set(uid, state)
		}
		const searchedIds = new Set(uids.filter((uid) => !found.has(uid) && this.needsSearch(uid)))
		const { jobLocator } = this.service
		return Effect.forEach(searchedIds, (uid) => jobLocator.locate(uid), { concurrency: 'unbounded' }).pipe(
			Effect.map((locations) => {
				for (const location of locations)
					if (location.kind === 'archived') this.retainArchived(toArchivedState(location.job), found)
				// A job may have left memory during the searches for others.
				const isKnown = (uid: string) => found.has(uid) || searchedIds.has(uid) || !this.needsSearch(uid)
				const isComplete = locations.every((location) => this.isCurrent(location)) && uids.every(isKnown)
				return isComplete ? found : null
			}),
		)
	}

	/** Tells whether it takes a search to know a job's terminal state, or that the job was never accepted. */
	private needsSearch(uid: string): boolean {
		const { jobs, jobLocator } = this.service
		const isKnown = jobs.get(uid) !== undefined || this.terminalStates.get(uid) !== undefined
		return !isKnown && jobLocator.absentAsOf(uid) === null
	}

	/** A job that was absent before a full read may have been accepted and archived by then. */
	private isCurrent(location: JobLocation): boolean {
		if (location.kind === 'absent') return location.asOf >= this.service.archive.fullReadRevision()
		return location.kind !== 'unknown'
	}

	/** Keeps a state that a stream asked for, for it and for further streams; of these the longest kept ones are dropped. */
	private retainArchived(state: TerminalState, found: Map<string, TerminalState>): void {
		const { uid } = state
		found.set(uid, state)
		// Deleted first, so that it becomes the latest in the order of the map.
		this.archivedStates.delete(uid)
		this.archivedStates.set(uid, state)
		for (const oldest of this.archivedStates.keys()) {
			if (this.archivedStates.size <= this.retained) break
			this.archivedStates.delete(oldest)
		}
	}

	// ---- records for streams ----

	revision(): number {
		return this.service.cache.revision
	}

	openJob(uid: string): OpenJob | undefined {
		const record = this.service.jobs.get(uid)?.record
		if (record?.spec === undefined || record.finalState !== undefined) return undefined
		const { team, tasks: taskCount } = record.spec
		const doneCount = countRecordedDone(uid, record, (key) => this.service.cache.get(key)?.data)
		return { team, taskCount, doneCount, runningCount: this.runningCountOf(uid, record.shardId) }
	}

	private runningCountOf(uid: string, shardId: number): number | null {
		const shard = this.service.shard(shardId)
		if (shard !== undefined) {
			if (!shard.isReconciled) return null
			return shard.jobs.get(uid)?.runningCount() ?? 0
		}
		const { membership } = this.service
		const owner = membership.ownerOf(shardId)
		if (owner?.alive !== true || this.service.now() < (this.incompleteUntil.get(shardId) ?? 0)) return null
		const status = membership.peers.find((peer) => peer.name === owner.name)?.status ?? null
		return status === null ? null : Number(status.runningTasks[uid] ?? 0)
	}

	*openJobsOfTeam(team: string): Iterable<string> {
		const { jobs } = this.service
		for (const uid of jobs.openJobs) if (jobs.get(uid)?.record.spec?.team === team) yield uid
	}

	*runningTasks(): Iterable<[string, number]> {
		yield* Object.entries(this.service.localRunningTasks())
		const { membership } = this.service
		for (const { name, status } of membership.peers) {
			if (status === null || !membership.isAlive(name)) continue
			for (const [uid, count] of Object.entries(status.runningTasks)) yield [uid, Number(count)]
		}
	}

	// ---- id of the installation ----

	/** The id that signs this installation's cursors; null: it is not known yet. */
	installationId(): string | null {
		const data = this.service.cache.get(INSTALLATION_KEY)?.data
		return typeof data === 'string' ? data : null
	}

	/** Proposes an id; it is stored only if the installation has none, and never changes afterwards. */
	proposeInstallationId(id: string): void {
		if (this.service.cache.revision < 0 || this.installationId() !== null) return
		const key = KEY_PREFIX + INSTALLATION_KEY
		this.service.writeQueue.enqueue({
			priority: WritePriority.progress,
			build: () =>
				this.installationId() === null
					? { conditions: [{ key, modRevision: 0 }], mutations: [{ set: key, data: id }] }
					: null,
			deadline: this.service.now() + this.service.config.limits.controllerLeaseMs,
			onResult: () => {},
		})
	}
}
