/** Creates the dependencies of shards from the controller's components. */
import type { CloudClient } from '@heathroad/cloud'
import { type JobRegistry, type ReleaseRegistry, requiresRelease } from '@heathroad/cluster'
import type { ShardDependencies } from '@heathroad/controller'
import { encodeCommands, type HttpClient, parseHeartbeat } from '@heathroad/wire'
import { Effect } from 'effect'
import type { ControllerContext } from './controller-context.js'
import type { LocalStatus } from './local-status.js'

/** A shard's queued write expires after this many controller leases; the shard then decides again. */
const WRITE_DEADLINE_LEASES = 2
/** Timeout of commands sent to a machine, in heartbeat intervals. */
const COMMAND_TIMEOUT_HEARTBEATS = 2

/** The controller's components that shards depend on. */
export interface ControllerComponents {
	context: ControllerContext
	localStatus: LocalStatus
	releases: ReleaseRegistry
	cloud: CloudClient
	/** client for calls to machines */
	machineClient: HttpClient
	/** Calls back once everything durable before the call is in the watch cache, or with false. */
	afterLinearizableRead(done: (ok: boolean) => void): void
}

const runThen = <Result>(effect: Effect.Effect<Result>, done: (result: Result) => void): void => {
	Effect.runFork(effect.pipe(Effect.map((result) => done(result))))
}

/** Returns whether the record of a job's release is kept, that is while the job's own record still requires it. */
const keepsReleaseMark = (jobs: JobRegistry, uid: string): boolean => {
	const record = jobs.get(uid)?.record
	return record !== undefined && requiresRelease(record)
}

type RecordDependencies = Pick<
	ShardDependencies,
	| 'entry'
	| 'withPrefix'
	| 'applyOwnWrite'
	| 'enqueueWrite'
	| 'raisePriority'
	| 'refreshCache'
	| 'linearizableRead'
	| 'revision'
>

/** Reads and writes of the records. */
const recordDependencies = ({
	context,
	afterLinearizableRead,
}: ControllerComponents): RecordDependencies => ({
	entry: (key) => context.cache.get(key),
	withPrefix: (prefix) => context.cache.withPrefix(prefix),
	applyOwnWrite: (key, data, modRevision) => context.cache.applyOwnWrite(key, data, modRevision),
	enqueueWrite: (content) => {
		const timeoutMs = context.config.limits.controllerLeaseMs * WRITE_DEADLINE_LEASES
		const write = { ...content, deadline: context.now() + timeoutMs }
		context.writeQueue.enqueue(write)
		return write
	},
	raisePriority: (write, priority) => context.writeQueue.raisePriority(write, priority),
	refreshCache: (done) => context.refreshCache(done),
	linearizableRead: (done) => afterLinearizableRead(done),
	revision: () => context.cache.revision,
})

type JobDependencies = Pick<
	ShardDependencies,
	| 'job'
	| 'openJobs'
	| 'wasQuarantined'
	| 'checks'
	| 'isPendingRelease'
	| 'keepsReleaseMark'
	| 'usageInOtherShards'
	| 'migrationPlanner'
>

/** The controller's knowledge of jobs and of other shards. */
const jobDependencies = ({ context, localStatus, releases }: ControllerComponents): JobDependencies => ({
	job: (uid) => context.jobs.get(uid),
	openJobs: () => context.jobs.openJobs,
	wasQuarantined: (uid) =>
		context.membership.peers.some((peer) => peer.status?.quarantinedJobs.includes(uid)),
	checks: () => context.checks,
	isPendingRelease: (uid, record) => releases.isPending(uid, record),
	keepsReleaseMark: (uid) => keepsReleaseMark(context.jobs, uid),
	usageInOtherShards: (shardId, team) => localStatus.usageInOtherShards(shardId, team),
	migrationPlanner: (shardId, leaving) => context.shardRouter.migrationPlanner(shardId, leaving),
})

type MachineDependencies = Pick<
	ShardDependencies,
	'sendCommands' | 'rent' | 'releaseMachines' | 'availableCloudCalls' | 'machineTypes' | 'offerAvailability'
>

/** Calls to machines and to the cloud. */
const machineDependencies = ({
	context,
	cloud,
	machineClient,
}: ControllerComponents): MachineDependencies => ({
	sendCommands: (address, fencingToken, agentEpoch, commands, done) => {
		const timeoutMs = context.config.limits.heartbeatMs * COMMAND_TIMEOUT_HEARTBEATS
		const body = encodeCommands(fencingToken, commands, agentEpoch)
		const reply = machineClient
			.request(address, 'POST', '/commands', body, timeoutMs)
			.pipe(Effect.match({ onFailure: () => null, onSuccess: (answer) => answer }))
		// Status 0: no response.
		runThen(reply, (answer) =>
			answer === null ? done(0, null) : done(answer.status, parseHeartbeat(answer.body)),
		)
	},
	rent: (request, done) => runThen(cloud.rent(request), done),
	releaseMachines: (ids, done) => runThen(cloud.releaseMachines(ids), done),
	availableCloudCalls: () => cloud.availableCalls(),
	machineTypes: () => context.machineTypes(),
	offerAvailability: context.offerAvailability,
})

/** Returns the dependencies of one shard. */
export const createShardDependencies = (components: ControllerComponents): ShardDependencies => {
	const { context } = components
	return {
		now: context.now,
		wallClockMs: () => Date.now(),
		leadership: () => context.membership.leadership(),
		log: context.log,
		...recordDependencies(components),
		...jobDependencies(components),
		...machineDependencies(components),
	}
}
