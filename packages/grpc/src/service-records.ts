/** Read access of event streams to the service's job records, and the id of the installation. */
import {
	countRecordedDone,
	INSTALLATION_KEY,
	type JobRecord,
	type TerminalState,
	TerminalStateLog,
	toTerminalState,
} from '@heathroad/cluster'
import type { EventHub, JobRecords, OpenJob, Selection } from '@heathroad/events'
import type { RecordObserver, Service } from '@heathroad/server'
import { KEY_PREFIX, WritePriority } from '@heathroad/store'
import { StreamPreparation } from './stream-preparation.js'

/** Number of heartbeat intervals after which a shard's new owner has complete counts of running tasks. */
const HEARTBEATS_UNTIL_COUNTS_COMPLETE = 2

/** Provides event streams with job records, observes their changes from construction on, and notifies the hub. */
export class ServiceRecords implements JobRecords, RecordObserver {
	readonly terminalStates: TerminalStateLog
	/** null until the installation's id is known */
	hub: EventHub | null = null
	/** by shard with a new owner: monotonic time in ms until which its counts of running tasks may be incomplete */
	private readonly countsIncompleteUntil = new Map<number, number>()
	private readonly preparation: StreamPreparation

	/** `maxRetained`: number of terminal states kept for streams, over all teams; also the limit for archived ones. */
	constructor(
		private readonly service: Service,
		maxRetained: number,
	) {
		this.terminalStates = new TerminalStateLog(
			maxRetained,
			(uid) => this.recordedState(uid) ?? this.preparation.stateOf(uid),
		)
		this.preparation = new StreamPreparation(service, this.terminalStates, maxRetained)
		for (const uid of service.jobs.knownIds()) this.addTerminalState(uid)
		// Terminal states that an earlier full read left out of memory are missing here.
		if (service.cache.revision >= 0) {
			this.terminalStates.markIncompleteUpTo(service.cache.revision)
			this.preparation.markArchiveChecked()
		}
		service.recordObserver = this
	}

	// ---- RecordObserver ----

	onJobChanged(uid: string): void {
		this.addTerminalState(uid)
		this.hub?.jobChanged(uid)
	}

	onShardChanged(shardId: number): void {
		const { heartbeatMs } = this.service.config.limits
		this.countsIncompleteUntil.set(
			shardId,
			this.service.now() + heartbeatMs * HEARTBEATS_UNTIL_COUNTS_COMPLETE,
		)
	}

	onRevisionAdvanced(): void {
		this.preparation.onRevisionAdvanced()
		this.hub?.revisionAdvanced()
	}

	/** Adds the omitted state to the log, up to its limit: a reader of the team may not have received it yet. */
	onTerminalStateOmitted(uid: string, record: JobRecord, revision: number): void {
		const state = toTerminalState(uid, record, revision)
		if (state === null) return
		this.terminalStates.add(state)
		if (revision > this.revision()) this.hub?.jobChanged(uid)
	}

	/** Ends all streams, since jobs may have become terminal and left the records unobserved; readers reconnect. */
	onFullRead(): void {
		this.preparation.onFullRead()
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

	/** Reads the terminal states that a stream needs and memory lacks; see `StreamPreparation.prepare`. */
	prepare(selection: Selection, done: (isComplete: boolean) => void): void {
		this.preparation.prepare(selection, done)
	}

	// ---- JobRecords ----

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
		if (owner?.alive !== true || this.service.now() < (this.countsIncompleteUntil.get(shardId) ?? 0))
			return null
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

	// ---- installation id ----

	/** The installation's id, which signs its cursors; null: not known yet. */
	installationId(): string | null {
		const data = this.service.cache.get(INSTALLATION_KEY)?.data
		return typeof data === 'string' ? data : null
	}

	/** Proposes an id, which is stored only if the installation has none. A stored id never changes. */
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
