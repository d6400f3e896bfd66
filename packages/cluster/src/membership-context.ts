/** What the parts of a controller's membership share: configuration, clients, clock, callbacks and status flags. */
import type { DerivedLimits } from '@heathroad/config'
import type { Log } from '@heathroad/logging'
import type { StoreClient, WatchCache } from '@heathroad/store'
import type { HttpClient } from '@heathroad/wire'
import type { CancelledJob } from './cancellation-log.js'
import type { PeerStatus } from './peer-status.js'

/**
 * What a controller may do for its shards at this moment. `lease`: it holds a valid lease and knows the records;
 * `promise`: all peers have promised not to take over its shards; `none`: it must not act.
 */
export type LeadershipStatus = 'lease' | 'promise' | 'none'

/** The part of a controller's status that its service supplies. */
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

/** Callbacks of the service to which a membership belongs. */
export interface MembershipEvents {
	onShardAcquired(shardId: number, fencingToken: number): void
	onShardLost(shardId: number, why: string): void
	/** Is the shard quiet enough to change hands? */
	isQuiescent(shardId: number): boolean
	/** Machines of a shard whose heartbeat is long overdue, if they are most of the shard; else 0. */
	unreachableMachines(shardId: number): number
	localStatus(): ServiceStatus
	onPeerStatus(status: PeerStatus): void
	/** Jobs cancelled after a revision, for a peer cut off from the state service; null: not all of them are known. */
	cancellationsSince(revision: number): CancelledJob[] | null
	/** A peer sent the cancellations it knows while this controller is cut off from the state service. */
	applyCancellations(cancellations: readonly CancelledJob[]): void
	log: Log
}

/** Reasons for which a controller does not receive shards. */
export interface Availability {
	/** A shard was handed off because its machines reach others and not this controller, and none has answered since. */
	cutFromWorkers: boolean
	/** The controller is about to end: its shards go to others, and it acquires none. */
	draining: boolean
}

/** Dependencies of every part of a membership. */
export interface MembershipContext {
	readonly limits: DerivedLimits
	readonly cache: WatchCache
	readonly client: StoreClient
	readonly httpClient: HttpClient
	/** Steady clock, in ms. */
	readonly now: () => number
	readonly events: MembershipEvents
	readonly incarnation: string
	readonly availability: Availability
}
