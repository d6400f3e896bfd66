/** Context shared by the modules of a controller's membership: configuration, clients, clock, callbacks and flags. */
import type { DerivedLimits } from '@heathroad/config'
import type { Log } from '@heathroad/logging'
import type { StoreClient, WatchCache } from '@heathroad/store'
import type { HttpClient } from '@heathroad/wire'
import type { CancelledJob } from './cancellation-log.js'
import type { PeerStatus } from './peer-status.js'

/**
 * Basis on which a controller may currently act for its shards. `lease`: it holds a valid lease and its copy of the records
 * is recent enough; `promise`: all peers have promised not to take over its shards; `none`: it must not act.
 */
export type LeadershipStatus = 'lease' | 'promise' | 'none'

/** The fields of a controller's status that its service provides. */
export type ServiceStatus = Pick<
	PeerStatus,
	| 'runningTasks'
	| 'ready'
	| 'exhaustedOffers'
	| 'quarantinedJobs'
	| 'ownerLookups'
	| 'partitionedShards'
	| 'teamUsage'
	| 'supportsArchive'
>

/** Callbacks to the service that the membership belongs to. */
export interface MembershipEvents {
	onShardAcquired(shardId: number, fencingToken: number): void
	onShardLost(shardId: number, why: string): void
	/** Whether the shard is reconciled and none of its machines is missing heartbeats, so that a handoff is cheap. */
	isQuiescent(shardId: number): boolean
	/** Number of the shard's machines whose heartbeat is long overdue, if they are the majority; else 0. */
	unreachableMachines(shardId: number): number
	localStatus(): ServiceStatus
	onPeerStatus(status: PeerStatus): void
	/** Jobs cancelled after a revision, for a peer partitioned from the state service; null if some may be missing. */
	cancellationsSince(revision: number): CancelledJob[] | null
	/** A peer sent the cancellations it knows, while this controller is partitioned from the state service. */
	applyCancellations(cancellations: readonly CancelledJob[]): void
	log: Log
}

/** Conditions under which a controller does not receive shards. */
export interface Availability {
	/** A shard was handed off because its machines reach a peer but not this controller; none has responded since. */
	partitionedFromMachines: boolean
	/** The controller is shutting down: it hands off its shards and acquires none. */
	draining: boolean
}

/** Dependencies of all modules of a membership. */
export interface MembershipContext {
	readonly limits: DerivedLimits
	readonly cache: WatchCache
	readonly client: StoreClient
	readonly httpClient: HttpClient
	/** Monotonic clock, in ms. */
	readonly now: () => number
	readonly events: MembershipEvents
	readonly incarnation: string
	readonly availability: Availability
}
