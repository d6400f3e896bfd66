/** One controller: the composition root of its components. */
import type * as http from 'node:http'
import type { CloudClient } from '@heathroad/cloud'
import {
	CancellationLog,
	decodeShardOwner,
	type JobRecord,
	JobRegistry,
	MachineGroups,
	Membership,
	ReleaseRegistry,
	shardKey,
} from '@heathroad/cluster'
import type { Config } from '@heathroad/config'
import { type AdmissionChecks, NO_CHECKS, OfferAvailability, Shard } from '@heathroad/controller'
import type { Log } from '@heathroad/logging'
import { type StoreClient, WatchCache, type WriteQueue } from '@heathroad/store'
import type { HttpClient, MachineType } from '@heathroad/wire'
import { Effect, Fiber } from 'effect'
import { ArchivalController } from './archival-controller.js'
import { type ControllerContext, type RecordObserver, USER_REQUEST_TIMEOUT_MS } from './controller-context.js'
import { Drain } from './drain.js'
import { isHealthy } from './health.js'
import { HeartbeatRouter } from './heartbeat-router.js'
import { type AdminHandler, internalRequestHandler, publicRequestHandler } from './http-routes.js'
import { type HttpRequest, type RequestHandler, type Respond, startHttpServer } from './http-server.js'
import { JobLocator } from './job-locator.js'
import { LocalStatus } from './local-status.js'
import { MachineProbe } from './machine-probe.js'
import { MachineTypeCatalog } from './machine-type-catalog.js'
import { deleteObsoleteRecords } from './obsolete-records.js'
import { collectOperatorStats, openJobsOfTeam } from './operator-stats.js'
import { createOutgoingClients } from './outgoing-clients.js'
import { startPeriodicTasks } from './periodic-tasks.js'
import { RecordDispatcher } from './record-dispatcher.js'
import { RecordReads } from './record-reads.js'
import { createShardDependencies } from './shard-dependencies.js'
import { ShardRouter } from './shard-router.js'
import { isUserPath, UserApi } from './user-api.js'

/** Number of cancellations kept for owners that cannot reach the state service; they fit in one message. */
const MAX_LOGGED_CANCELLATIONS = 2000
/**
 * Divided by the reads per second, this is the minimum interval between linearizable reads. A third of this controller's
 * reads is for the watch and another third for users' requests; writes and leases have the rest.
 */
const READ_GAP_DIVIDEND_MS = 3000
/** Delay of the next watch after a failed one, in controller leases. */
const WATCH_RETRY_LEASES = 0.06
/** Time in controller leases for which the state service counts as reachable after a response. */
const STORE_REACHABLE_LEASES = 0.6
/** Idle timeout of connections in agent leases, long enough for machines to reuse theirs for the next heartbeat. */
const IDLE_AGENT_LEASES = 2
/** Time in ms within which a request must be received completely. */
const REQUEST_TIMEOUT_MS = 5000

/** One controller: connects the shards it owns to the state service, the cloud, its peers and the HTTP interfaces. */
export class Service implements ControllerContext {
	private readonly shards = new Map<number, Shard>()
	private readonly httpClient: HttpClient
	private readonly machineClient: HttpClient
	private readonly storeClient: StoreClient
	readonly cache: WatchCache
	readonly writeQueue: WriteQueue
	readonly membership: Membership
	private readonly cloud: CloudClient
	readonly offerAvailability = new OfferAvailability()
	readonly jobs: JobRegistry
	/** the jobs that admission checks have released */
	private readonly releases = new ReleaseRegistry()
	/** the operators' admission checks; set by plug-ins before the start */
	checks: AdmissionChecks = NO_CHECKS
	/** handles operators' requests at the internal address; null: the response is 404 */
	adminHandler: AdminHandler | null = null
	readonly archive: ArchivalController
	readonly jobLocator: JobLocator
	/** called if the records have a format that this version does not support; they must not be used */
	onUnsupportedFormat: (why: string) => void = () => {}
	readonly cancellations: CancellationLog
	/** the registered machines by group */
	readonly machineGroups = new MachineGroups()
	readonly shardRouter: ShardRouter
	/** notified of changes of the records; null unless an interface that needs it is configured */
	recordObserver: RecordObserver | null = null
	private readonly catalog: MachineTypeCatalog
	private readonly reads: RecordReads
	private readonly drain: Drain
	private readonly localStatus: LocalStatus
	private readonly recordDispatcher: RecordDispatcher
	private readonly machineProbe: MachineProbe
	private readonly userApi: UserApi
	private readonly handlePublicRequest: RequestHandler
	private fibers: Fiber.Fiber<unknown, unknown>[] = []
	private timers: ReturnType<typeof setInterval>[] = []
	private readonly servers: http.Server[] = []

	/**
	 * @param now monotonic clock, in ms
	 * @param httpClient replaces the client of all outgoing calls, as in simulations
	 */
	constructor(
		readonly config: Config,
		readonly log: Log,
		readonly now: () => number = () => performance.now(),
		httpClient?: HttpClient,
	) {
		const clients = createOutgoingClients(config, now, httpClient, (ok) => this.membership.onStoreContact(ok))
		this.httpClient = clients.httpClient
		this.machineClient = clients.machineClient
		this.storeClient = clients.storeClient
		this.writeQueue = clients.writeQueue
		this.cloud = clients.cloud
		this.cache = this.createCache()
		this.reads = new RecordReads(this.cache, this.storeClient, config.limits.controllerLeaseMs)
		this.jobs = new JobRegistry(this.cache)
		this.cancellations = new CancellationLog(MAX_LOGGED_CANCELLATIONS, now)
		this.catalog = new MachineTypeCatalog(this, this.cloud, () => {
			for (const shard of this.shards.values()) shard.onMachineTypesChanged()
		})
		this.localStatus = new LocalStatus(this, this.shards)
		this.membership = this.createMembership()
		this.drain = new Drain(this.membership)
		this.archive = this.createArchive()
		this.jobLocator = new JobLocator(this, USER_REQUEST_TIMEOUT_MS)
		this.recordDispatcher = this.createRecordDispatcher()
		this.shardRouter = new ShardRouter(this)
		this.machineProbe = new MachineProbe(this, this.machineClient)
		this.userApi = new UserApi(this)
		this.handlePublicRequest = publicRequestHandler({
			heartbeats: new HeartbeatRouter(this, this.localStatus, (done) => this.afterLinearizableRead(done)),
			userApi: this.userApi,
			isHealthy: () => this.isHealthy(),
		})
	}

	private createCache(): WatchCache {
		const gapMs = READ_GAP_DIVIDEND_MS / this.config.limits.readsPerS
		const cache = new WatchCache(
			(key, entry, previous) => this.recordDispatcher.onChange(key, entry, previous),
			gapMs,
			this.now,
		)
		cache.beginFullRead = () => this.archive.beginFullRead()
		cache.onFullRead = () => this.recordObserver?.onFullRead()
		cache.onFullReadApplied = () => {
			this.recordDispatcher.dropUnrecordedJobs()
			this.archive.onFullReadApplied()
		}
		cache.onRevisionAdvanced = () => {
			this.archive.onRevisionAdvanced()
			this.reads.onRevisionAdvanced()
			this.recordObserver?.onRevisionAdvanced()
		}
		return cache
	}

	private createMembership(): Membership {
		const { limits } = this.config
		return new Membership(limits, this.cache, this.storeClient, this.httpClient, this.now, {
			onShardAcquired: (shardId, fencingToken) => this.onShardAcquired(shardId, fencingToken),
			onShardLost: (shardId, why) => this.onShardLost(shardId, why),
			isQuiescent: (shardId) => this.shards.get(shardId)?.isQuiescent() ?? true,
			unreachableMachines: (shardId) => this.shards.get(shardId)?.unreachableMachines() ?? 0,
			localStatus: () => this.localStatus.forPeers(),
			onPeerStatus: (status) => this.offerAvailability.mergeFromPeer(status.exhaustedOffers, this.now()),
			cancellationsSince: (revision) => this.cancellations.since(revision),
			applyCancellations: (cancelledJobs) => this.recordDispatcher.applyPeerCancellations(cancelledJobs),
			log: this.log,
		})
	}

	private createArchive(): ArchivalController {
		return new ArchivalController(this, this.storeClient, {
			ownedShards: () => this.shards.keys(),
			jobsOnMachines: (shardId) => this.shards.get(shardId)?.jobsOnMachines() ?? null,
			onTerminalStateOmitted: (uid, record, revision) =>
				this.recordObserver?.onTerminalStateOmitted(uid, record, revision),
			onUnsupportedFormat: (format) => {
				const why = `the state is of form ${format}, which this version does not know`
				this.log('error', 'unsupported record format', { why })
				this.onUnsupportedFormat(why)
			},
		})
	}

	private createRecordDispatcher(): RecordDispatcher {
		return new RecordDispatcher({
			context: this,
			shards: this.shards,
			archive: this.archive,
			releases: this.releases,
			catalog: this.catalog,
			observer: () => this.recordObserver,
		})
	}

	/** Starts the listeners and then all tasks. Rejects if an address cannot be listened on. */
	async start(): Promise<void> {
		const { settings, limits } = this.config
		const listenerLimits = {
			idleTimeoutMs: limits.agentLeaseMs * IDLE_AGENT_LEASES,
			requestTimeoutMs: REQUEST_TIMEOUT_MS,
			maxSockets: limits.maxSockets,
		}
		const publicServer = await startHttpServer(
			settings.bind,
			{ ...listenerLimits, isLowPriorityPath: isUserPath },
			(request, respond) => this.handleRequest(request, respond),
		)
		this.servers.push(publicServer)
		const internalHandler = internalRequestHandler(this, () => this.adminHandler)
		try {
			this.servers.push(await startHttpServer(settings.internal_addr, listenerLimits, internalHandler))
		} catch (error) {
			await this.closeServers()
			throw error
		}
		this.begin()
	}

	/** Starts all tasks, but no listeners. */
	begin(): void {
		const { limits, settings } = this.config
		const watchRetryMs = limits.controllerLeaseMs * WATCH_RETRY_LEASES
		this.fibers = [
			Effect.runFork(this.cache.follow(this.storeClient, limits.watchTimeoutMs, watchRetryMs)),
			Effect.runFork(this.membership.maintainLease()),
			Effect.runFork(this.catalog.watch()),
		]
		const timers = startPeriodicTasks(limits, {
			tick: () => this.tick(),
			gossip: () => this.membership.gossip(),
			cleanUp: () => {
				deleteObsoleteRecords(this, this.shards)
				this.archive.tick()
			},
			probeMachines: () => this.machineProbe.tick(),
		})
		this.timers.push(...timers)
		this.membership.gossip()
		const { teams } = settings.deployment
		this.log('info', 'controller started', { name: limits.self, upMs: Math.round(performance.now()), teams })
	}

	/** Stops all tasks and closes the listeners and their connections; leases and shard ownership are left to expire. */
	async stop(): Promise<void> {
		for (const timer of this.timers) clearInterval(timer)
		for (const fiber of this.fibers) Effect.runFork(Fiber.interrupt(fiber))
		for (const shard of this.shards.values()) shard.stop()
		this.archive.stop()
		this.reads.stop()
		await this.closeServers()
	}

	private async closeServers(): Promise<void> {
		for (const server of this.servers.splice(0)) {
			server.closeAllConnections()
			await new Promise((done) => server.close(done))
		}
	}

	private tick(): void {
		this.membership.detectStandstill()
		this.membership.acquireFreeShards()
		this.membership.failBack()
		this.membership.handOffUnreachableShards()
		this.drain.tick()
		for (const shard of this.shards.values()) shard.tick()
	}

	/** Begins a drain: the load balancer sends users elsewhere, and requests that still arrive are served. */
	beginDrain(): void {
		this.drain.begin()
	}

	/** Hands shards off to other controllers; `atOnce`: including those whose machines are not all accounted for. */
	handOffShards(atOnce: boolean): void {
		this.drain.handOffShards(atOnce)
	}

	get acceptsJobs(): boolean {
		return this.drain.phase !== 'handing'
	}

	/** The shards to hand off and submissions to answer before this controller can exit without disruption. */
	get pendingWork(): { parts: number; submissions: number } {
		return { parts: this.shards.size, submissions: this.userApi.pendingSubmissions }
	}

	/** Returns statistics for operators; metrics and admin requests read them by their names. */
	operatorStats() {
		const state = { isHealthy: this.isHealthy(), drainPhase: this.drain.phase }
		return collectOperatorStats(this, [...this.shards.values()], state)
	}

	/** Removes all admission checks: jobs pending release can start without them. */
	disableChecks(): void {
		this.checks = NO_CHECKS
	}

	/** Returns the ids of a team's open jobs, oldest first. */
	openJobsOfTeam(team: string): string[] {
		return openJobsOfTeam(this, team)
	}

	/** Revokes the controller lease, which frees the shards still owned at once; call it after all tasks have stopped. */
	async revokeLease(): Promise<void> {
		const { leaseId } = this.membership
		if (leaseId === null) return
		await Effect.runPromise(Effect.ignore(this.storeClient.revokeLease(leaseId)))
	}

	/** Logs an unexpected error and reacquires all shards, since their state in memory may be inconsistent. */
	recoverFromError(error: unknown): void {
		this.log('error', 'unexpected error', { error: error instanceof Error ? error.stack : String(error) })
		this.membership.reacquireAll()
	}

	machineTypes(): readonly MachineType[] {
		return this.catalog.types
	}

	private onShardAcquired(shardId: number, fencingToken: number): void {
		const dependencies = createShardDependencies({
			context: this,
			localStatus: this.localStatus,
			releases: this.releases,
			cloud: this.cloud,
			machineClient: this.machineClient,
			afterLinearizableRead: (done) => this.afterLinearizableRead(done),
		})
		this.shards.set(shardId, new Shard(shardId, fencingToken, this.config, dependencies))
	}

	private onShardLost(shardId: number, why: string): void {
		this.shards.get(shardId)?.stop()
		this.shards.delete(shardId)
		this.log('info', 'shard lost', { part: shardId, why })
	}

	shard(shardId: number): Shard | undefined {
		return this.shards.get(shardId)
	}

	ownerName(shardId: number): string | undefined {
		return decodeShardOwner(this.cache.get(shardKey(shardId))?.data)?.owner
	}

	/** Returns the number of running tasks by job in this controller's shards. */
	localRunningTasks(): Record<string, number> {
		return this.localStatus.runningTasks()
	}

	quarantinedJobs(): Set<string> {
		return this.localStatus.clusterQuarantinedJobs()
	}

	partitionedShards(): Set<number> {
		return this.localStatus.clusterPartitionedShards()
	}

	isPendingRelease(uid: string, record: JobRecord): boolean {
		return this.releases.isPending(uid, record)
	}

	isStoreReachable(): boolean {
		return this.membership.reachedStoreWithin(this.config.limits.controllerLeaseMs * STORE_REACHABLE_LEASES)
	}

	refreshCache(done: () => void): void {
		this.reads.refreshCache(done)
	}

	linearizableRead(): Effect.Effect<boolean> {
		return this.reads.linearizableRead()
	}

	/** Calls back once everything durable before the call is in the watch cache, or with false. */
	afterLinearizableRead(done: (ok: boolean) => void): void {
		this.reads.afterLinearizableRead(done)
	}

	waitForRevision(revision: number, done: (ok: boolean) => void): void {
		this.reads.waitForRevision(revision, done)
	}

	/** Handles a request of a user, a machine or the load balancer. */
	handleRequest(request: HttpRequest, respond: Respond): void {
		this.handlePublicRequest(request, respond)
	}

	/** Returns whether users' requests can be served, as reported to the load balancer. */
	isHealthy(): boolean {
		return isHealthy(this, this.drain)
	}
}
