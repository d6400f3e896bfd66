import type { CancellationLog, JobRecord, JobRegistry, MachineGroups, Membership } from '@heathroad/cluster'
import type { Config } from '@heathroad/config'
import type { AdmissionChecks, OfferAvailability, Shard } from '@heathroad/controller'
import type { ArchivedJob, ArchiveLookup } from '@heathroad/history'
import type { Log } from '@heathroad/logging'
import type { WatchCache, WriteQueue } from '@heathroad/store'
import type { MachineType } from '@heathroad/wire'
import type { Effect } from 'effect'
import type { ShardRouter } from './parting.js'

/** What takes longer is given up: users wait 2 s for an answer to a question (protocol). */
export const USER_ANSWER_TIMEOUT_MS = 1700

/** Jobs that are over and in memory no longer. */
export interface TerminalStateArchive {
	/** A final state that takes no read; the id must be of the right form. */
	cached(uid: string): ArchivedJob | undefined
	/** A final state where no record in memory names the job. */
	lookUp(uid: string): Effect.Effect<ArchiveLookup>
	/** Needs an acceptance no proof that its job was not archived, or is there one without a read? */
	provesAbsent(uid: string): boolean
	/** revision of the latest turn; 0: nothing is archived */
	archivalEpoch(): number
}

/** What the faces of one controller use of it. */
export interface ControllerContext {
	readonly config: Config
	readonly log: Log
	readonly now: () => number
	readonly cache: WatchCache
	readonly writeQueue: WriteQueue
	readonly membership: Membership
	readonly jobs: JobRegistry
	/** what the records tell of cancellations */
	readonly cancellations: CancellationLog
	readonly machineGroups: MachineGroups
	readonly offerAvailability: OfferAvailability
	readonly archive: TerminalStateArchive
	readonly shardRouter: ShardRouter
	/** the operators' own checks; none unless settings ask for them */
	readonly checks: AdmissionChecks
	machineTypes(): readonly MachineType[]
	/** the parts that this controller owns */
	shard(shardId: number): Shard | undefined
	ownerName(shardId: number): string | undefined
	/** jobs that fail wherever they are tried */
	quarantinedJobs(): Set<string>
	/** parts most of whose machines are out of their owners' reach */
	partitionedShards(): Set<number>
	/** do checks still hold the job back, so that it weighs nothing? */
	isPendingRelease(uid: string, record: JobRecord): boolean
	/** does this controller still take new jobs? not while it hands its parts over */
	readonly acceptsJobs: boolean
	/** has the state answered lately? */
	isStoreReachable(): boolean
	/** True once everything durable before the call is in the mirror; false if that takes too long. */
	linearizableRead(): Effect.Effect<boolean>
	/** Calls back once the mirror holds everything up to an revision; false: not within the time that users wait. */
	waitForRevision(revision: number, done: (ok: boolean) => void): void
	/** Brings the mirror up to date, then calls back; without an answer after a pause. */
	refreshCache(done: () => void): void
}

/** Told of what changes in the records, in the order in which it becomes known here. */
export interface RecordObserver {
	/** a job's records, those of its progress included */
	onJobChanged(uid: string): void
	/** a part has another owner, or none */
	onShardChanged(shardId: number): void
	/** every change up to a later revision is known */
	onRevisionAdvanced(): void
}
