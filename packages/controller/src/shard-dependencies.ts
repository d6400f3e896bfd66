/** Functions that a shard calls in the rest of the controller, by role. None blocks; any may fail or reply late. */
import type { RentalRequest, RentResult } from '@heathroad/cloud'
import type { JobRecord, LeadershipStatus } from '@heathroad/cluster'
import type { Log } from '@heathroad/logging'
import type { CacheEntry, QueuedWrite } from '@heathroad/store'
import type { DirectCommand, Heartbeat, JobSpec, MachineType, WireInteger } from '@heathroad/wire'
import type { AdmissionChecks } from './admission-checks.js'
import type { OfferAvailability } from './offer-availability.js'

/** Clocks. */
export interface Clocks {
	/** monotonic time in ms */
	now(): number
	/** wall-clock time in ms, for ages that span several owners */
	wallClockMs(): number
}

/** Access to the records in the state service: reads from the watch cache, writes through the write queue. */
export interface StoreAccess {
	/** whether this controller may act for the shard */
	leadership(): LeadershipStatus
	entry(key: string): CacheEntry | undefined
	withPrefix(prefix: string): Iterable<[string, CacheEntry]>
	/** a job's record, and the mod revision of its key for compare-and-swap */
	job(uid: string): { record: JobRecord; modRevision: number } | undefined
	/** uids of jobs without a terminal state */
	openJobs(): Iterable<string>
	/** adds the result of this controller's write to the watch cache before the watch delivers it */
	applyOwnWrite(key: string, data: unknown, modRevision: number): void
	enqueueWrite(write: Omit<QueuedWrite, 'deadline'>): QueuedWrite
	/** raises the priority of a queued write */
	raisePriority(write: QueuedWrite, priority: number): void
	/** updates the watch cache to the current revision, then calls `done` */
	refreshCache(done: () => void): void
	/** calls `done` once all writes durable before the call are in the cache; `ok` is false if not confirmed in time */
	linearizableRead(done: (ok: boolean) => void): void
	/** revision of the state service that the watch cache has reached */
	revision(): number
}

/** Information about other shards and from other controllers. */
export interface PeerKnowledge {
	/** whether the job was quarantined in the last peer status of a former owner */
	wasQuarantined(uid: string): boolean
	/** resources that a team with a guarantee uses in the other shards */
	usageInOtherShards(shardId: number, team: string): { cpus: number; gpus: number }
	/**
	 * Returns a function that selects, for a waiting job of this shard, another shard that would suit it much better, or
	 * null. `leaving`: jobs that are already migrating to other shards.
	 */
	migrationPlanner(
		shardId: number,
		leaving: readonly { spec: JobSpec; to: number }[],
	): (spec: JobSpec) => number | null
}

/** Admission checks, and the release marks of jobs that have passed them. */
export interface AdmissionAccess {
	checks(): AdmissionChecks
	/** whether the job must pass admission checks before any of its tasks may start */
	isPendingRelease(uid: string, record: JobRecord): boolean
	/** whether the job's release mark must stay recorded: the job is open and has no progress that implies the release */
	keepsReleaseMark(uid: string): boolean
}

/** Commands sent directly to machines, outside heartbeat responses. */
export interface MachineAccess {
	/** Never sends starts, see `DirectCommand`. `done` receives the HTTP status and the heartbeat in the machine's response; null without a response */
	sendCommands(
		address: string,
		fencingToken: number,
		agentEpoch: WireInteger,
		commands: DirectCommand[],
		done: (status: number, heartbeat: Heartbeat | null) => void,
	): void
}

/** Access to the cloud that machines are rented from. */
export interface CloudAccess {
	rent(request: RentalRequest, done: (result: RentResult) => void): void
	/** `gone`: the cloud has confirmed the release */
	releaseMachines(ids: string[], done: (gone: boolean) => void): void
	/** number of cloud calls that the rate limit permits right now */
	availableCloudCalls(): number
	machineTypes(): readonly MachineType[]
	offerAvailability: OfferAvailability
}

/** All functions that a shard calls in the rest of the controller. */
export interface ShardDependencies
	extends Clocks,
		StoreAccess,
		PeerKnowledge,
		AdmissionAccess,
		MachineAccess,
		CloudAccess {
	log: Log
}
