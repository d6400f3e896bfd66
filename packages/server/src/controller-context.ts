/** What the modules of one controller share: its context, its shard router, its archive and observers of its records. */
import type { CancellationLog, JobRecord, JobRegistry, MachineGroups, Membership } from '@heathroad/cluster'
import type { Config } from '@heathroad/config'
import type { AdmissionChecks, OfferAvailability, Shard } from '@heathroad/controller'
import type { Log } from '@heathroad/logging'
import type { WatchCache, WriteQueue } from '@heathroad/store'
import type { JobSpec, MachineType } from '@heathroad/wire'
import type { Effect } from 'effect'
import type { JobLocator } from './job-locator.js'

/** Time limit in ms for whatever a user's question waits for: users wait 2 s for the answer (protocol). */
export const USER_ANSWER_TIMEOUT_MS = 1700

/** How far archival has come. */
export interface ArchivalStatus {
	/** Returns the revision of the latest archival epoch; 0: nothing is archived. */
	archivalEpoch(): number
	/**
	 * Returns the latest revision at which an archived state became durable; -1: nothing is archived; infinite: the archive
	 * is too large to tell; null: it could not be read.
	 */
	latestRevision(): Effect.Effect<number | null>
}

/** A waiting job that is already on its way to another shard. */
export interface MigratingJob {
	spec: JobSpec
	/** target shard */
	to: number
}

/** Chooses shards for jobs; implemented by `ShardRouter`. */
export interface JobRouting {
	/** Returns the shard for a new job. */
	chooseShard(spec: JobSpec): number
	/** Returns a function that names the better shard for one waiting job after the other; null: the job stays. */
	migrationPlanner(shardId: number, leaving: readonly MigratingJob[]): (spec: JobSpec) => number | null
	/** Returns the number of an open job's running tasks, as its owner knows it or reported it last. */
	runningTaskCount(uid: string, record: JobRecord): number
}

/** What the modules of one controller use of each other. */
export interface ControllerContext {
	readonly config: Config
	readonly log: Log
	/** steady clock, in ms */
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
	/** the operators' admission checks; none unless settings ask for them */
	readonly checks: AdmissionChecks
	/** Returns the machine types that the cloud offers; empty until they are known. */
	machineTypes(): readonly MachineType[]
	/** Returns a shard if this controller owns it. */
	shard(shardId: number): Shard | undefined
	/** Returns the name of a shard's owner according to the records. */
	ownerName(shardId: number): string | undefined
	/** Returns the ids of quarantined jobs, those of other owners included. */
	quarantinedJobs(): Set<string>
	/** Returns the shards most of whose machines are out of their owners' reach. */
	partitionedShards(): Set<number>
	/** Tells whether admission checks still hold the job back, so that it counts as no load. */
	isPendingRelease(uid: string, record: JobRecord): boolean
	/** whether this controller still accepts new jobs; it does not while it hands its shards off */
	readonly acceptsJobs: boolean
	/** Tells whether the state service has answered lately. */
	isStoreReachable(): boolean
	/** Returns true once everything durable before the call is in the watch cache; false if that takes too long. */
	linearizableRead(): Effect.Effect<boolean>
	/** Calls back once the watch cache holds everything up to a revision; with false after `USER_ANSWER_TIMEOUT_MS`. */
	waitForRevision(revision: number, done: (ok: boolean) => void): void
	/** Brings the watch cache up to date, then calls back; without an answer it calls back after a pause. */
	refreshCache(done: () => void): void
}

/** Is notified of changes in the records, in the order in which they become known here. */
export interface RecordObserver {
	/** A job's records changed, those of its progress included. */
	onJobChanged(uid: string): void
	/** A shard has another owner, or none. */
	onShardChanged(shardId: number): void
	/** Every change up to a later revision is known. */
	onRevisionAdvanced(): void
	/** A full read leaves a terminal state out of memory; `revision`: of the change that made it durable. */
	onTerminalStateOmitted(uid: string, record: JobRecord, revision: number): void
	/** A full read is about to be applied: changes since the latest read may never be reported one by one. */
	onFullRead(): void
}
