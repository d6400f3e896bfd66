/** Dispatches changes of the records from the watch to the components whose state depends on them. */
import {
	CATALOG_KEY,
	type CancelledJob,
	decodeJobRecord,
	HISTORY_KEY,
	type JobRecord,
	type ReleaseRegistry,
} from '@heathroad/cluster'
import type { Shard } from '@heathroad/controller'
import type { CacheEntry } from '@heathroad/store'
import type { ArchivalController } from './archival-controller.js'
import type { ControllerContext, RecordObserver } from './controller-context.js'
import type { MachineTypeCatalog } from './machine-type-catalog.js'
import { RecordKind } from './record-kinds.js'

/** Maximum number of job ids in one log event. */
const MAX_LOGGED_JOBS = 20

/** One change of a key. */
interface RecordChange {
	key: string
	/** the key after its first slash; empty for keys without one */
	id: string
	entry: CacheEntry | undefined
	previous: CacheEntry | undefined
}

/** The components that are notified of changes of the records. */
export interface RecordConsumers {
	context: ControllerContext
	/** shards that this controller owns */
	shards: ReadonlyMap<number, Shard>
	archive: ArchivalController
	releases: ReleaseRegistry
	catalog: MachineTypeCatalog
	/** Returns the observer of the records; null: there is none. */
	observer(): RecordObserver | null
}

/** Splits a key at its first slash into the kind of record and the record's id. */
const splitKey = (key: string): { kind: string; id: string } => {
	const slash = key.indexOf('/')
	return slash < 0 ? { kind: key, id: '' } : { kind: key.slice(0, slash), id: key.slice(slash + 1) }
}

/** Notifies each consumer of the changes that concern it, and the observer last. */
export class RecordDispatcher {
	/** by kind of record; changes of other kinds are ignored */
	private readonly handlers = new Map<string, (change: RecordChange) => void>([
		[RecordKind.shardOwner, (change) => this.onShardKeyChanged(change)],
		[RecordKind.progress, (change) => this.onProgressChanged(change)],
		[RecordKind.job, (change) => this.onJobKeyChanged(change)],
		[RecordKind.terminalPage, (change) => this.onTerminalPageChanged(change)],
		[HISTORY_KEY, () => this.consumers.archive.onHistoryRecordChanged()],
		[RecordKind.acceptedBatch, (change) => this.onBatchAccepted(change)],
		[RecordKind.releasePage, (change) => this.onReleasePageChanged(change)],
		[RecordKind.machineGroup, (change) => this.onMachineGroupChanged(change)],
		[CATALOG_KEY, (change) => this.consumers.catalog.onRecordChanged(change.entry?.data)],
	])

	constructor(private readonly consumers: RecordConsumers) {}

	/** Dispatches the change of one key; `entry` is undefined if it was deleted. */
	onChange(key: string, entry: CacheEntry | undefined, previous: CacheEntry | undefined): void {
		const { kind, id } = splitKey(key)
		this.handlers.get(kind)?.({ key, id, entry, previous })
	}

	/** Applies cancellations that peers report while the state service is unreachable: those jobs are terminal now. */
	applyPeerCancellations(cancelledJobs: readonly CancelledJob[]): void {
		for (const uid of this.consumers.context.jobs.applyPeerCancellations(cancelledJobs))
			for (const shard of this.consumers.shards.values()) shard.applyCancellation(uid)
	}

	/** Called once a full read is applied: jobs that left the records while changes were missed are terminal. */
	dropUnrecordedJobs(): void {
		const { context, shards } = this.consumers
		const uids = context.jobs.dropUnrecordedJobs()
		if (uids.length === 0) return
		context.log('info', 'open jobs dropped', {
			count: uids.length,
			uids: uids.slice(0, MAX_LOGGED_JOBS),
			revision: context.cache.revision,
		})
		// An owner knows its own decisions about a job, so another controller must have cancelled it.
		for (const uid of uids) for (const shard of shards.values()) shard.applyCancellation(uid)
	}

	private onShardKeyChanged({ id }: RecordChange): void {
		this.consumers.context.membership.onShardKeyChanged(Number(id))
		this.consumers.observer()?.onShardChanged(Number(id))
	}

	private onProgressChanged({ id }: RecordChange): void {
		this.consumers.observer()?.onJobChanged(id.split('/')[0])
	}

	private onJobKeyChanged({ id, entry }: RecordChange): void {
		const record = decodeJobRecord(entry?.data)
		if (record !== null && this.consumers.context.jobs.onJobRecordChanged(id, record))
			this.onJobChanged(id, record)
	}

	private onTerminalPageChanged({ key, entry, previous }: RecordChange): void {
		const { jobs, cache } = this.consumers.context
		for (const { uid, record, revision } of jobs.onTerminalPageChanged(key, entry, previous)) {
			if (revision > cache.revision) this.onJobChanged(uid, record)
			// The state moved here from a key that a full read had left out: it is new only to the observer.
			else this.consumers.observer()?.onJobChanged(uid)
		}
	}

	private onBatchAccepted({ entry }: RecordChange): void {
		for (const record of this.consumers.context.jobs.onBatchAccepted(entry?.data)) {
			const uid = record.spec?.uid
			// Cannot happen: records of an accepted batch contain their specifications.
			if (uid === undefined) continue
			this.consumers.shards.get(record.shardId)?.onJobChanged(uid, record)
			this.consumers.observer()?.onJobChanged(uid)
		}
	}

	private onReleasePageChanged({ key, entry }: RecordChange): void {
		const uids = this.consumers.releases.onPageChanged(key, entry?.data)
		for (const shard of this.consumers.shards.values()) shard.onJobsReleased(uids)
	}

	private onMachineGroupChanged({ id, entry, previous }: RecordChange): void {
		this.consumers.context.machineGroups.onRecordChanged(id, entry?.data)
		for (const shard of this.consumers.shards.values())
			shard.onMachineGroupChanged(id, entry?.data, previous?.data)
	}

	private recordCancellation(uid: string): void {
		const { jobs, cancellations } = this.consumers.context
		const terminal = jobs.terminalRecord(uid)
		// The registry stores the terminal state before it reports the change, so the record must exist.
		if (terminal === undefined) throw new Error(`no terminal record of the cancelled job ${uid}`)
		cancellations.record(uid, terminal.revision)
	}

	private onJobChanged(uid: string, record: JobRecord): void {
		const { shards, observer } = this.consumers
		if (record.finalState === 'aborted') this.recordCancellation(uid)
		// All shards are notified, since the job may have migrated from one to another.
		for (const shard of shards.values()) shard.onJobChanged(uid, record)
		observer()?.onJobChanged(uid)
	}
}
