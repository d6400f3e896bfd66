/** Dispatches changes of the records, as the watch reports them, to whoever keeps state that depends on them. */
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

/** Ids that one log line names at most. */
const MAX_LOGGED_JOBS = 20

/** One change of a key. */
interface RecordChange {
	key: string
	/** the key without its prefix; empty for keys without one */
	id: string
	entry: CacheEntry | undefined
	previous: CacheEntry | undefined
}

/** Everything that follows the records. */
export interface RecordConsumers {
	context: ControllerContext
	/** shards that this controller owns */
	shards: ReadonlyMap<number, Shard>
	archive: ArchivalController
	releases: ReleaseRegistry
	catalog: MachineTypeCatalog
	/** Returns who follows the records for others; null: nobody does. */
	observer(): RecordObserver | null
}

/** Splits a key at its first slash into the kind of record and the record's id. */
const splitKey = (key: string): { kind: string; id: string } => {
	const slash = key.indexOf('/')
	return slash < 0 ? { kind: key, id: '' } : { kind: key.slice(0, slash), id: key.slice(slash + 1) }
}

/** Notifies each consumer of the changes that concern it; observers are notified last. */
export class RecordDispatcher {
	/** by the kind of record; keys of other kinds concern nobody here */
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

	/** Applies cancellations that peers know while the state service is out of reach: from now on those jobs are terminal. */
	applyPeerCancellations(cancelledJobs: readonly CancelledJob[]): void {
		for (const uid of this.consumers.context.jobs.applyPeerCancellations(cancelledJobs))
			for (const shard of this.consumers.shards.values()) shard.applyCancellation(uid)
	}

	/** A full read is applied: jobs that left the records while changes were missed here are over. */
	dropUnnamedJobs(): void {
		const { context, shards } = this.consumers
		const uids = context.jobs.dropUnrecordedJobs()
		if (uids.length === 0) return
		context.log('info', 'open jobs dropped', {
			count: uids.length,
			uids: uids.slice(0, MAX_LOGGED_JOBS),
			revision: context.cache.revision,
		})
		// Whatever an owner decides about a job is known to it: it was cancelled by another controller.
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
			// The state only moved here, out of what a full read had left out: it is new to those who report it, and no more.
			else this.consumers.observer()?.onJobChanged(uid)
		}
	}

	private onBatchAccepted({ entry }: RecordChange): void {
		for (const record of this.consumers.context.jobs.onBatchAccepted(entry?.data)) {
			const uid = record.spec?.uid
			// The registry returns jobs of an accepted batch, and those have their specifications.
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
		// The registry stores the final state before it reports the change, so it has the job.
		if (terminal === undefined) throw new Error(`no terminal record of the cancelled job ${uid}`)
		cancellations.record(uid, terminal.revision)
	}

	private onJobChanged(uid: string, record: JobRecord): void {
		const { shards, observer } = this.consumers
		if (record.finalState === 'aborted') this.recordCancellation(uid)
		// All shards: the one that the job was in, too, if it moved.
		for (const shard of shards.values()) shard.onJobChanged(uid, record)
		observer()?.onJobChanged(uid)
	}
}
