/** Interfaces shared by the modules of one controller: its context, job routing, archival status and record observers. */
import type { CancellationLog, JobRecord, JobRegistry, MachineGroups, Membership } from '@heathroad/cluster'
import type { Config } from '@heathroad/config'
import type { AdmissionChecks, OfferAvailability, Shard } from '@heathroad/controller'
import type { Log } from '@heathroad/logging'
import type { WatchCache, WriteQueue } from '@heathroad/store'
import type { JobSpec, MachineType } from '@heathroad/wire'
import type { Effect } from 'effect'
import type { JobLocator } from './job-locator.js'

/** Timeout in ms of reads that a user's request waits for: users wait 2 s for the response (protocol). */
export const USER_REQUEST_TIMEOUT_MS = 1700

/** The progress of archival. */
export interface ArchivalStatus {
	/** Returns the revision of the latest archival epoch; 0: nothing is archived. */
	archivalEpoch(): number
	/**
	 * Returns the latest revision at which an archived state became durable; -1: nothing is archived; infinite: the archive
	 * is too large to determine it; null: it could not be read.
	 */
	latestRevision(): Effect.Effect<number | null>
}

/** A waiting job that is already being migrated to another shard. */
export interface MigratingJob {
	spec: JobSpec
	/** target shard */
	to: number
}

/** Chooses shards for jobs; implemented by `ShardRouter`. */
export interface JobRouting {
	/** Returns the shard for a new job. */
	chooseShard(spec: JobSpec): number
	/** Returns a function that returns the better shard for each waiting job in turn; null: the job stays. */
	migrationPlanner(shardId: number, leaving: readonly MigratingJob[]): (spec: JobSpec) => number | null
	/** Returns the number of an open job's running tasks, as its owner knows or last reported it. */
	runningTaskCount(uid: string, record: JobRecord): number
}

/** The components and state of one controller that its modules use. */
export interface ControllerContext {
	readonly config: Config
	readonly log: Log
	/** monotonic clock, in ms */
	readonly now: () => number
	readonly cache: WatchCache
	readonly writeQueue: WriteQueue
	readonly membership: Membership
	readonly jobs: JobRegistry
	/** cancellations found in the records */
	readonly cancellations: CancellationLog
	readonly machineGroups: MachineGroups
	readonly offerAvailability: OfferAvailability
	readonly archive: ArchivalStatus
	readonly jobLocator: JobLocator
	readonly shardRouter: JobRouting
	/** the operators' admission checks; none unless configured */
	readonly checks: AdmissionChecks
	/** Returns the machine types that the cloud offers; empty until they are known. */
	machineTypes(): readonly MachineType[]
	/** Returns a shard if this controller owns it. */
	shard(shardId: number): Shard | undefined
	/** Returns the name of a shard's owner according to the records. */
	ownerName(shardId: number): string | undefined
	/** Returns the ids of quarantined jobs, including those of other owners. */
	quarantinedJobs(): Set<string>
	/** Returns the shards whose owners cannot reach most of the shard's machines. */
	partitionedShards(): Set<number>
	/** Returns whether the job is pending release by admission checks, so that it does not count as load. */
	isPendingRelease(uid: string, record: JobRecord): boolean
	/** whether this controller accepts new jobs; false while it hands off its shards */
	readonly acceptsJobs: boolean
	/** Returns whether the state service has responded recently. */
	isStoreReachable(): boolean
	/** Succeeds with true once everything durable before the call is in the watch cache; false after a timeout. */
	linearizableRead(): Effect.Effect<boolean>
	/** Calls back once the watch cache holds everything up to a revision; with false after `USER_REQUEST_TIMEOUT_MS`. */
	waitForRevision(revision: number, done: (ok: boolean) => void): void
	/** Brings the watch cache up to date, then calls back; if the read fails, calls back after a delay. */
	refreshCache(done: () => void): void
}

/** Is notified of changes of the records in the order in which this controller receives them. */
export interface RecordObserver {
	/** A job's records changed, including those of its progress. */
	onJobChanged(uid: string): void
	/** A shard has another owner, or none. */
	onShardChanged(shardId: number): void
	/** The watch cache has advanced: every change up to a later revision is known. */
	onRevisionAdvanced(): void
	/** A full read left a terminal state out of memory; `revision`: of the change that made it durable. */
	onTerminalStateOmitted(uid: string, record: JobRecord, revision: number): void
	/** A full read is about to be applied: changes since the last read may not be reported individually. */
	onFullRead(): void
}
