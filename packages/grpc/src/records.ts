import {
	countRecordedDone,
	INSTALLATION_KEY,
	type TerminalState,
	TerminalStateLog,
	toTerminalState,
} from '@heathroad/cluster'
import type { Hub, OpenJob, JobRecords } from '@heathroad/events'
import { type ArchivedJob, jobIdOf } from '@heathroad/history'
import type { RecordObserver, Service } from '@heathroad/server'
import { KEY_PREFIX, WritePriority } from '@heathroad/store'

/** The service's records as streams read them. */
export class ServiceRecords implements JobRecords, RecordObserver {
	readonly terminalStates: TerminalStateLog
	/** parts that changed hands lately: what their owners tell of running tasks may not be complete, until when */
	private readonly unsure = new Map<number, number>()
	private readonly recalled = new Map<string, TerminalState>()
	hub: Hub | null = null

	constructor(
		private readonly s: Service,
		private readonly history: number,
	) {
		this.terminalStates = new TerminalStateLog(history, (uid) => this.recorded(uid) ?? this.recalled.get(uid))
		for (const uid of s.jobs.knownIds()) this.noteFinal(uid)
		s.recordObserver = this
	}

	// ---- what the service tells ----

	onJobChanged(uid: string): void {
		this.noteFinal(uid)
		this.hub?.jobChanged(uid)
	}

	onShardChanged(shardId: number): void {
		this.unsure.set(shardId, this.s.now() + this.s.config.limits.heartbeatMs * 2)
	}

	onRevisionAdvanced(): void {
		this.hub?.revisionAdvanced()
	}

	private noteFinal(uid: string): void {
		const final = this.recorded(uid)
		if (final !== undefined) this.terminalStates.add(final)
	}

	private recorded(uid: string): TerminalState | undefined {
		const known = this.s.jobs.terminalRecord(uid)
		return known === undefined ? undefined : (toTerminalState(uid, known.record, known.revision) ?? undefined)
	}

	/** Read from the archive for a stream that names the job: the latest of those are kept. */
	recall(past: ArchivedJob): void {
		const uid = jobIdOf(past.ordinal)
		const { aborted, taskCount: tasks, doneCount: done, revision } = past
		this.recalled.delete(uid)
		this.recalled.set(uid, {
			uid,
			team: '',
			state: aborted ? 'aborted' : 'done',
			revision,
			taskCount: tasks,
			doneCount: done,
		})
		for (const oldest of this.recalled.keys()) {
			if (this.recalled.size <= this.history) break
			this.recalled.delete(oldest)
		}
	}

	// ---- what streams read ----

	revision(): number {
		return this.s.cache.revision
	}

	openJob(uid: string): OpenJob | undefined {
		const record = this.s.jobs.get(uid)?.record
		if (record?.spec === undefined || record.finalState !== undefined) return undefined
		const { team, tasks } = record.spec
		const done = countRecordedDone(uid, record, (key) => this.s.cache.get(key)?.data)
		return { team, taskCount: tasks, doneCount: done, runningCount: this.runningOf(uid, record.shardId) }
	}

	private runningOf(uid: string, shardId: number): number | null {
		const shard = this.s.shard(shardId)
		if (shard !== undefined) return shard.isReconciled ? (shard.jobs.get(uid)?.runningCount() ?? 0) : null
		const owner = this.s.membership.ownerOf(shardId)
		if (owner?.alive !== true || this.s.now() < (this.unsure.get(shardId) ?? 0)) return null
		const news = this.s.membership.peers.find((p) => p.name === owner.name)?.status
		return news === null || news === undefined ? null : Number(news.runningTasks[uid] ?? 0)
	}

	*openJobsOfTeam(team: string): Iterable<string> {
		for (const uid of this.s.jobs.openJobs) if (this.s.jobs.get(uid)?.record.spec?.team === team) yield uid
	}

	*runningTasks(): Iterable<[string, number]> {
		for (const [uid, tasks] of Object.entries(this.s.localRunningTasks())) yield [uid, tasks]
		for (const peer of this.s.membership.peers)
			if (peer.status !== null && this.s.membership.isAlive(peer.name))
				for (const [uid, tasks] of Object.entries(peer.status.runningTasks)) yield [uid, Number(tasks)]
	}

	// ---- the installation ----

	/** What tells this installation's cursors from others'; null: it is not known yet. */
	installation(): string | null {
		const data = this.s.cache.get(INSTALLATION_KEY)?.data
		return typeof data === 'string' ? data : null
	}

	/** The first controller that needs it names the installation, once and for ever. */
	nameInstallation(id: string): void {
		if (this.s.cache.revision < 0 || this.installation() !== null) return
		this.s.writeQueue.enqueue({
			priority: WritePriority.progress,
			build: () =>
				this.installation() === null
					? {
							conditions: [{ key: KEY_PREFIX + INSTALLATION_KEY, modRevision: 0 }],
							mutations: [{ set: KEY_PREFIX + INSTALLATION_KEY, data: id }],
						}
					: null,
			deadline: this.s.now() + this.s.config.limits.controllerLeaseMs,
			onResult: () => {},
		})
	}
}
