/** What a shard needs from the rest of the controller, by role. All of it may fail or come late; nothing here blocks. */
import type { RentalRequest, RentResult } from '@heathroad/cloud'
import type { JobRecord, LeadershipStatus } from '@heathroad/cluster'
import type { Log } from '@heathroad/logging'
import type { CacheEntry, QueuedWrite } from '@heathroad/store'
import type { Command, Heartbeat, JobSpec, MachineType, WireInteger } from '@heathroad/wire'
import type { AdmissionChecks } from './admission-checks.js'
import type { OfferAvailability } from './offer-availability.js'

/** Clocks. */
export interface Clocks {
	/** steady time in ms */
	now(): number
	/** time of day in ms, for ages that outlive an owner */
	wallClockMs(): number
}

/** The records at the state service: reads from the watch cache, writes through the write queue. */
export interface StoreAccess {
	/** may this controller act for the shard? */
	leadership(): LeadershipStatus
	entry(key: string): CacheEntry | undefined
	withPrefix(prefix: string): Iterable<[string, CacheEntry]>
	/** a job's record, and the mod revision that its own key must still have for a write */
	job(uid: string): { record: JobRecord; modRevision: number } | undefined
	/** jobs without a terminal state */
	openJobs(): Iterable<string>
	/** puts the result of an own write into the watch cache before the watch delivers it */
	applyOwnWrite(key: string, data: unknown, modRevision: number): void
	enqueueWrite(write: Omit<QueuedWrite, 'deadline'>): QueuedWrite
	/** a waiting write moves ahead */
	raisePriority(write: QueuedWrite, priority: number): void
	/** brings the watch cache up to date, then calls back */
	refreshCache(done: () => void): void
	/** calls back once everything durable before the call is in the cache; `ok` is false if that is not proven in time */
	linearizableRead(done: (ok: boolean) => void): void
	/** store revision up to which the records are known */
	revision(): number
}

/** What is known of other shards and from other controllers. */
export interface PeerKnowledge {
	/** was this job quarantined when a former owner last reported its state to its peers? */
	wasQuarantined(uid: string): boolean
	/** what a team with a guarantee uses in the other shards */
	usageInOtherShards(shardId: number, team: string): { cpus: number; gpus: number }
	/**
	 * Returns a function that names, for a waiting job of this shard, another shard which would serve it much better, or
	 * null. `leaving` are the jobs that are on their way to other shards already.
	 */
	migrationPlanner(
		shardId: number,
		leaving: readonly { spec: JobSpec; to: number }[],
	): (spec: JobSpec) => number | null
}

/** Admission checks and the marks of jobs that they have released. */
export interface AdmissionAccess {
	checks(): AdmissionChecks
	/** do admission checks have to release the job before anything of it may start? */
	isPendingRelease(uid: string, record: JobRecord): boolean
	/** does the job's release mark have to stay on record: open, and without progress that would show the release? */
	keepsReleaseMark(uid: string): boolean
}

/** Direct commands to machines. */
export interface MachineAccess {
	/** `done` gets the HTTP status and the machine's heartbeat from the answer; null if there was none */
	sendCommands(
		address: string,
		fencingToken: number,
		agentEpoch: WireInteger,
		commands: Command[],
		done: (status: number, heartbeat: Heartbeat | null) => void,
	): void
}

/** The cloud that machines are rented from. */
export interface CloudAccess {
	rent(request: RentalRequest, done: (result: RentResult) => void): void
	/** `gone`: the release is confirmed */
	releaseMachines(ids: string[], done: (gone: boolean) => void): void
	/** calls to the cloud that would go out at once */
	availableCloudCalls(): number
	machineTypes(): readonly MachineType[]
	offerAvailability: OfferAvailability
}

/** Everything that a shard needs from the rest of the controller. */
export interface ShardDependencies
	extends Clocks,
		StoreAccess,
		PeerKnowledge,
		AdmissionAccess,
		MachineAccess,
		CloudAccess {
	log: Log
}
