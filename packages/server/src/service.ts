import type * as http from 'node:http'
import { CloudClient } from '@heathroad/cloud'
import {
	CATALOG_KEY,
	CancellationLog,
	type CancelledJob,
	decodeJobRecord,
	decodeShardOwner,
	HISTORY_KEY,
	hashName,
	type JobRecord,
	JobRegistry,
	type LeadershipStatus,
	MachineGroups,
	Membership,
	ReleaseRegistry,
	requiresRelease,
} from '@heathroad/cluster'
import type { Config } from '@heathroad/config'
import {
	type AdmissionChecks,
	NO_CHECKS,
	OfferAvailability,
	Shard,
	type ShardPorts,
} from '@heathroad/controller'
import type { Log } from '@heathroad/logging'
import {
	type CacheEntry,
	createStoreClient,
	KEY_PREFIX,
	type StoreClient,
	WatchCache,
	WritePriority,
	WriteQueue,
} from '@heathroad/store'
import {
	createHttpClient,
	encodeCommands,
	type Heartbeat,
	type HttpClient,
	type HttpReply,
	type MachineType,
	parseHeartbeat,
} from '@heathroad/wire'
import { Effect, Fiber } from 'effect'
import { type ControllerContext, type RecordObserver, USER_ANSWER_TIMEOUT_MS } from './core.js'
import { ArchivalController } from './history.js'
import { type HttpRequest, type Respond, startHttpServer } from './http.js'
import { ShardRouter } from './parting.js'
import { isUserPath, UserApi } from './users.js'

/** How many cancellations are kept for owners that are cut off, and told in one message. */
const CANCELLATIONS = 2000

/** How operators' figures and metrics name the leadership status. */
const LEADERSHIP_LABELS: Record<LeadershipStatus, string> = {
	lease: 'grant',
	promise: 'promise',
	none: 'none',
}

const RETRY_LATER: HttpReply = { status: 503, retryAfterS: 1 }

/** One controller: composes the parts it owns with the state, the cloud, its peers and its HTTP faces. */
export class Service implements ControllerContext {
	private readonly shards = new Map<number, Shard>()
	private readonly httpClient: HttpClient
	/** workers are called once in a while each: connections kept to hundreds of them would use up the sockets */
	private readonly workerClient: HttpClient
	private readonly storeClient: StoreClient
	readonly cache: WatchCache
	readonly writeQueue: WriteQueue
	readonly membership: Membership
	private readonly cloud: CloudClient
	readonly offerAvailability = new OfferAvailability()
	private knownMachineTypes: readonly MachineType[] = []
	readonly jobs: JobRegistry
	/** which jobs checks have released */
	private readonly releases = new ReleaseRegistry()
	checks: AdmissionChecks = NO_CHECKS
	/** as the operator's drain has it: `leaving`: the balancer is told so, `handing`: parts go to other controllers */
	private drainPhase: 'serving' | 'leaving' | 'handing' = 'serving'
	/** operators' calls from other processes, at the internal address; nobody answers them unless a daemon does */
	adminHandler: ((path: string, body: unknown, respond: Respond) => void) | null = null
	readonly archive: ArchivalController
	/** the records are of a form that this program does not know; nothing may be done with them */
	onUnsupportedFormat: (why: string) => void = () => {}
	readonly cancellations: CancellationLog
	/** where every recorded machine belongs */
	readonly machineGroups = new MachineGroups()
	/** reports of machines that are proven to have no record, about to be claimed together */
	private unregisteredMachines: { report: Heartbeat; reply: Respond }[] = []
	/** machines of parts that are not ours and asked here for their owner */
	private readonly ownerLookups = new Map<string, { part: number; at: number }>()
	/** who waits for the mirror to reach an revision */
	private readonly revisionWaiters = new Set<{ revision: number; done: (ok: boolean) => void }>()
	private handOffAtOnce = false
	private workerProbesAnswered = 0
	private gossipScheduled = false
	private fibers: Fiber.Fiber<unknown, unknown>[] = []
	private timers: ReturnType<typeof setInterval>[] = []
	private servers: http.Server[] = []
	readonly shardRouter: ShardRouter
	private readonly userApi: UserApi
	/** follows the records for others; nobody does unless settings ask for it */
	recordObserver: RecordObserver | null = null

	constructor(
		readonly config: Config,
		readonly log: Log,
		readonly now: () => number = () => performance.now(),
		caller?: HttpClient,
	) {
		const { settings, limits: derived } = config
		this.httpClient = caller ?? createHttpClient(Math.max(4, Math.floor(derived.maxSockets / 16)))
		this.workerClient = caller ?? createHttpClient(2, false)
		const timeoutMs = derived.controllerLeaseMs * 0.3
		this.storeClient = createStoreClient(this.httpClient, settings.services.state, timeoutMs, (ok) => {
			this.membership.onStoreContact(ok)
		})
		// A third of our share each for what follows the changes and for questions; writes and grants have the rest.
		const gapMs = 3000 / derived.readsPerS
		this.cache = new WatchCache((key, entry, before) => this.onRecordChanged(key, entry, before), gapMs, now)
		this.jobs = new JobRegistry(this.cache)
		this.cancellations = new CancellationLog(CANCELLATIONS, now)
		this.cache.retains = (key, data) => this.archive.retains(key, data)
		this.cache.onFullRead = (revision) => this.archive.onFullRead(revision)
		this.cache.onRevisionAdvanced = () => {
			this.archive.onRevisionAdvanced()
			this.notifyRevisionWaiters()
			this.recordObserver?.onRevisionAdvanced()
		}
		const limits = settings.deployment.state
		this.writeQueue = new WriteQueue(
			this.storeClient,
			{
				writesPerS: derived.writesPerS,
				burst: limits.write_rps,
				maxOperations: limits.txn_ops,
				maxBytes: 48 * 1024,
			},
			this.now,
		)
		this.cloud = new CloudClient(
			this.httpClient,
			settings.services.cloud,
			derived.cloudCallsPerS,
			derived.controllerLeaseMs * 2,
			this.now,
		)
		this.membership = new Membership(derived, this.cache, this.storeClient, this.httpClient, this.now, {
			onShardAcquired: (shardId, fencingToken) => this.onShardAcquired(shardId, fencingToken),
			onShardLost: (shardId, why) => this.onShardLost(shardId, why),
			isQuiescent: (shardId) => this.shards.get(shardId)?.isQuiescent() ?? true,
			unreachableMachines: (shardId) => this.shards.get(shardId)?.unreachableMachines() ?? 0,
			localStatus: () => this.localStatus(),
			onPeerStatus: (news) => this.offerAvailability.mergeFromPeer(news.exhaustedOffers, this.now()),
			cancellationsSince: (revision) => this.cancellations.since(revision),
			applyCancellations: (all) => this.applyCancellations(all),
			log,
		})
		this.archive = new ArchivalController(this, this.storeClient, {
			ownedShards: () => this.shards.keys(),
			jobsOnMachines: (shardId) => this.shards.get(shardId)?.jobsOnMachines() ?? null,
			onUnsupportedFormat: (form) => {
				const why = `the state is of form ${form}, which this version does not know`
				this.log('error', 'unsupported record format', { why })
				this.onUnsupportedFormat(why)
			},
		})
		this.shardRouter = new ShardRouter(this)
		this.userApi = new UserApi(this)
	}

	/** Listens on both addresses and begins. */
	async start(): Promise<void> {
		const { settings, limits: derived } = this.config
		const limits = { idleMs: derived.agentLeaseMs * 2, requestMs: 5000, sockets: derived.maxSockets }
		this.servers = [
			await startHttpServer(settings.bind, { ...limits, yields: isUserPath }, (request, respond) =>
				this.handleRequest(request, respond),
			),
			await startHttpServer(settings.internal_addr, limits, (request, respond) => {
				if (request.method === 'POST' && request.path.startsWith('/admin/') && this.adminHandler !== null)
					return this.adminHandler(request.path, request.body, respond)
				const body =
					request.method === 'POST' ? this.membership.handlePeerRequest(request.path, request.body) : null
				respond(body === null ? { status: 404 } : { status: 200, body })
			}),
		]
		this.begin()
	}

	/** Everything but listening. */
	begin(): void {
		const { limits } = this.config
		this.fibers = [
			Effect.runFork(
				this.cache.follow(this.storeClient, limits.watchTimeoutMs, limits.controllerLeaseMs * 0.06),
			),
			Effect.runFork(this.membership.maintainLease()),
			Effect.runFork(this.watchCatalog()),
		]
		const every = (ms: number, what: () => void) => this.timers.push(setInterval(what, ms))
		every(Math.min(250, limits.heartbeatMs / 4), () => this.tick())
		every(limits.controllerLeaseMs * 0.15, () => this.membership.gossip())
		every(limits.controllerLeaseMs * 2, () => {
			this.deleteObsoleteRecords()
			this.archive.tick()
		})
		every(limits.controllerLeaseMs * 0.2, () => this.probeWorkers())
		this.membership.gossip()
		const teams = this.config.settings.deployment.teams
		this.log('info', 'controller started', { name: limits.self, upMs: Math.round(performance.now()), teams })
	}

	async stop(): Promise<void> {
		for (const t of this.timers) clearInterval(t)
		for (const f of this.fibers) Effect.runFork(Fiber.interrupt(f))
		for (const shard of this.shards.values()) shard.stop()
		this.archive.stop()
		for (const s of this.servers) {
			s.closeAllConnections()
			await new Promise((done) => s.close(done))
		}
	}

	/** Users go elsewhere as soon as the balancer has noticed; those who still come are served. */
	beginDrain(): void {
		this.drainPhase = 'leaving'
	}

	/** Parts go to other controllers; `atOnce`: those too whose machines are not all accounted for. */
	handOffShards(atOnce: boolean): void {
		this.drainPhase = 'handing'
		this.handOffAtOnce = atOnce
		this.membership.draining = true
	}

	get acceptsJobs(): boolean {
		return this.drainPhase !== 'handing'
	}

	/** What is still to be handed over or answered before this controller can end without anybody noticing. */
	get pendingWork(): { parts: number; submissions: number } {
		return { parts: this.shards.size, submissions: this.userApi.pendingSubmissions }
	}

	/** Figures for operators, counted when asked for. */
	figures() {
		const shards = [...this.shards.values()]
		const sum = (of: (shard: Shard) => number) => shards.reduce((n, shard) => n + of(shard), 0)
		return {
			parts: shards.length,
			openJobs: this.jobs.openJobs.size,
			ownJobs: sum((shard) => shard.jobs.size),
			heldJobs: sum((shard) => shard.pendingReleaseCount),
			machines: sum((shard) => shard.machines.size),
			endedInMemory: this.jobs.terminalCount,
			epoch: this.cache.revision,
			right: LEADERSHIP_LABELS[this.membership.leadership()],
			healthy: this.isHealthy(),
			course: this.drainPhase,
		}
	}

	/** No checks are left: what was held is released, as where there never were any. */
	disableChecks(): void {
		this.checks = NO_CHECKS
	}

	/** Ids of a team's jobs that are not over, the oldest first. */
	openJobsOfTeam(team: string): string[] {
		const out: { uid: string; at: number }[] = []
		for (const uid of this.jobs.openJobs) {
			const record = this.jobs.get(uid)?.record
			if (record?.spec?.team === team) out.push({ uid, at: record.acceptedAtMs ?? 0 })
		}
		return out.sort((a, b) => a.at - b.at).map((o) => o.uid)
	}

	/** Gives our grant up, once nothing of ours acts any more: what is still in our name is free at once. */
	async revokeLease(): Promise<void> {
		const { leaseId: grant } = this.membership
		if (grant === null) return
		await Effect.runPromise(Effect.ignore(this.storeClient.revokeLease(grant)))
	}

	/** After an error of our own a part's picture may be half changed: it is taken anew and rebuilt. */
	recoverFromError(error: unknown): void {
		this.log('error', 'unexpected error', { error: error instanceof Error ? error.stack : String(error) })
		this.membership.reacquireAll()
	}

	private tick(): void {
		this.membership.detectStandstill()
		this.membership.acquireFreeShards()
		this.membership.failBack()
		this.membership.handOffUnreachableShards()
		if (this.drainPhase === 'handing') this.membership.handOffAll(this.handOffAtOnce)
		for (const shard of this.shards.values()) shard.tick()
	}

	/** Cut from the workers, we ask one of them now and then whether that is over. */
	private probeWorkers(): void {
		if (!this.membership.cutFromWorkers) return
		const addresses = [...this.machineGroups.records.values()].flatMap((r) => Object.values(r.addresses))
		const known = addresses.filter((a) => a !== null)
		const heard = (ok: boolean) => {
			this.workerProbesAnswered = ok ? this.workerProbesAnswered + 1 : 0
			if (this.workerProbesAnswered < 3) return
			this.workerProbesAnswered = 0
			this.membership.cutFromWorkers = false
			this.log('info', 'workers reachable again')
		}
		if (known.length === 0) return heard(true)
		const address = known[Math.floor(Math.random() * known.length)]
		const asked = this.workerClient.request(
			address,
			'GET',
			'/inspect',
			undefined,
			this.config.limits.controllerLeaseMs * 0.2,
		)
		const answered = Effect.match(asked, { onFailure: () => false, onSuccess: (a) => a.status === 200 })
		Effect.runFork(Effect.map(answered, heard))
	}

	/**
	 * Records that say nothing any more are removed by the owner of the part that their name falls to. As many at a time as
	 * half of our share of the changes takes until the next look: a vast array leaves a hundred of them, and what gave
	 * up waiting for its turn stayed for ever.
	 */
	private deleteObsoleteRecords(): void {
		const { writesPerS, controllerLeaseMs: grantMs } = this.config.limits
		let left = Math.ceil((writesPerS * grantMs) / 1000)
		for (const [key, { modRevision }] of this.jobs.obsoleteEntries()) {
			if (!this.shards.has(hashName(key) % this.config.limits.controllerNames.length)) continue
			if (left-- <= 0) return
			const content = {
				conditions: [{ key: KEY_PREFIX + key, modRevision }],
				mutations: [{ delete: KEY_PREFIX + key }],
			}
			const until = this.now() + grantMs
			this.writeQueue.enqueue({
				priority: WritePriority.progress,
				build: () => content,
				deadline: until,
				onResult: () => {},
			})
		}
	}

	// ---- catalog ----

	machineTypes(): readonly MachineType[] {
		return this.knownMachineTypes
	}

	private setCatalog(types: readonly MachineType[]): void {
		if (types.length === 0) return
		const first = this.knownMachineTypes.length === 0
		this.knownMachineTypes = types
		if (first) for (const shard of this.shards.values()) shard.onMachineTypesChanged()
	}

	private watchCatalog(): Effect.Effect<never> {
		const limits = this.config.limits
		const step = Effect.suspend(() => this.cloud.fetchMachineTypes()).pipe(
			Effect.flatMap((types) => {
				if (types === null || types.length === 0) return Effect.sleep(limits.controllerLeaseMs * 0.2)
				this.setCatalog(types)
				// Kept in the state too, so that a controller that starts while the cloud is down knows the types.
				if (this.cache.revision >= 0 && this.cache.get(CATALOG_KEY) === undefined)
					this.writeQueue.enqueue({
						priority: WritePriority.progress,
						build: () => ({
							conditions: [{ key: KEY_PREFIX + CATALOG_KEY, modRevision: 0 }],
							mutations: [{ set: KEY_PREFIX + CATALOG_KEY, data: types }],
						}),
						deadline: this.now() + limits.controllerLeaseMs,
						onResult: () => {},
					})
				return Effect.sleep(limits.controllerLeaseMs * 8)
			}),
		)
		return Effect.forever(step)
	}

	// ---- changes of the records ----

	private onRecordChanged(key: string, entry: CacheEntry | undefined, before: CacheEntry | undefined): void {
		const slash = key.indexOf('/')
		const [kind, id] = slash < 0 ? [key, ''] : [key.slice(0, slash), key.slice(slash + 1)]
		if (kind === 'part') {
			this.membership.onShardKeyChanged(Number(id))
			this.recordObserver?.onShardChanged(Number(id))
		} else if (kind === 'done') this.recordObserver?.onJobChanged(id.split('/')[0])
		else if (kind === 'job') {
			const record = decodeJobRecord(entry?.data)
			if (record !== null && this.jobs.onJobRecordChanged(id, record)) this.onJobChanged(id, record)
		} else if (kind === 'over') {
			const fresh = this.jobs.onTerminalPageChanged(key, entry, before, this.cache.revision)
			for (const { uid, record } of fresh) this.onJobChanged(uid, record)
		} else if (kind === HISTORY_KEY) {
			this.archive.onHistoryRecordChanged()
		} else if (kind === 'intake') {
			for (const record of this.jobs.onBatchAccepted(entry?.data)) {
				this.shards.get(record.shardId)?.onJobChanged(record.spec!.uid, record)
				this.recordObserver?.onJobChanged(record.spec!.uid)
			}
		} else if (kind === 'released') {
			const uids = this.releases.onPageChanged(key, entry?.data)
			for (const shard of this.shards.values()) shard.onJobsReleased(uids)
		} else if (kind === 'fleet') {
			this.machineGroups.onRecordChanged(id, entry?.data)
			for (const shard of this.shards.values()) shard.onMachineGroupChanged(id, entry?.data, before?.data)
		} else if (kind === CATALOG_KEY && this.knownMachineTypes.length === 0 && Array.isArray(entry?.data))
			this.setCatalog(entry.data as MachineType[])
	}

	/** What peers know of cancellations while we are cut off: from now on those jobs are over here, whatever is read. */
	private applyCancellations(all: readonly CancelledJob[]): void {
		for (const uid of this.jobs.applyPeerCancellations(all))
			for (const shard of this.shards.values()) shard.applyCancellation(uid)
	}

	private onJobChanged(uid: string, record: JobRecord): void {
		if (record.finalState === 'aborted')
			this.cancellations.record(uid, this.jobs.terminalRecord(uid)!.revision)
		// The part that it was in, too, if it moved.
		for (const shard of this.shards.values()) shard.onJobChanged(uid, record)
		this.recordObserver?.onJobChanged(uid)
	}

	private onShardAcquired(shardId: number, fencingToken: number): void {
		this.shards.set(shardId, new Shard(shardId, fencingToken, this.config, this.shardPorts()))
	}

	private onShardLost(shardId: number, why: string): void {
		this.shards.get(shardId)?.stop()
		this.shards.delete(shardId)
		this.log('info', 'shard lost', { part: shardId, why })
	}

	/** Running tasks of the jobs in our parts. */
	localRunningTasks(): Record<string, number> {
		const running: Record<string, number> = {}
		for (const shard of this.shards.values())
			for (const [uid, job] of shard.jobs) {
				const n = job.isTerminal ? 0 : job.runningCount()
				if (n > 0) running[uid] = n
			}
		return running
	}

	private localStatus() {
		return {
			runningTasks: this.localRunningTasks(),
			quarantinedJobs: this.localQuarantinedJobs(),
			ownerLookups: this.countOwnerLookups(),
			partitionedShards: this.localPartitionedShards(),
			teamUsage: this.localTeamUsage(),
			ready: this.cache.revision >= 0 && this.isStoreReachable(),
			exhaustedOffers: this.offerAvailability.exhaustedForMs(this.now()),
			supportsArchive: this.config.history !== null || this.archive.archivalEpoch() > 0,
		}
	}

	/** How many machines asked here for the owner of a part, of those that may still have a lease. */
	private countOwnerLookups(): Record<string, number> {
		const out: Record<string, number> = {}
		const since = this.now() - this.config.limits.agentLeaseMs * 0.6
		for (const [id, { part: shardId, at }] of this.ownerLookups)
			if (at < since || this.shards.has(shardId)) this.ownerLookups.delete(id)
			else out[shardId] = (out[shardId] ?? 0) + 1
		return out
	}

	/** What teams with a guarantee use in our parts, but for one of them. */
	private localTeamUsage(without?: number): Record<string, { cpus: number; gpus: number }> {
		const out: Record<string, { cpus: number; gpus: number }> = {}
		for (const { name, cpus, gpus } of this.config.settings.deployment.teams) {
			if (cpus <= 0 && gpus <= 0) continue
			const sum = { cpus: 0, gpus: 0 }
			for (const [shardId, shard] of this.shards) {
				if (shardId === without) continue
				const used = shard.teamUsage(name)
				sum.cpus += used.cpus
				sum.gpus += used.gpus
			}
			out[name] = sum
		}
		return out
	}

	private usageInOtherShards(shardId: number, team: string): { cpus: number; gpus: number } {
		const out = { ...(this.localTeamUsage(shardId)[team] ?? { cpus: 0, gpus: 0 }) }
		for (const peer of this.membership.peers) {
			const used = this.membership.isAlive(peer.name) ? peer.status?.teamUsage[team] : undefined
			out.cpus += used?.cpus ?? 0
			out.gpus += used?.gpus ?? 0
		}
		return out
	}

	private localQuarantinedJobs(): string[] {
		const out: string[] = []
		for (const shard of this.shards.values())
			for (const [uid, job] of shard.jobs) if (job.isQuarantined && !job.isTerminal) out.push(uid)
		return out
	}

	/** Jobs that fail wherever they are tried, as their owners tell, or told before they were lost. */
	quarantinedJobs(): Set<string> {
		return new Set([
			...this.localQuarantinedJobs(),
			...this.membership.peers.flatMap((p) => p.status?.quarantinedJobs ?? []),
		])
	}

	/** Parts most of whose machines are out of their owners' reach, as those see it or told last. */
	partitionedShards(): Set<number> {
		const told = this.membership.peers.flatMap((p) =>
			this.membership.isAlive(p.name) ? (p.status?.partitionedShards ?? []) : [],
		)
		return new Set([...told.filter((shardId) => !this.shards.has(shardId)), ...this.localPartitionedShards()])
	}

	private localPartitionedShards(): number[] {
		return [...this.shards].filter(([, shard]) => shard.isPartitioned()).map(([shardId]) => shardId)
	}

	isPendingRelease(uid: string, record: JobRecord): boolean {
		return this.releases.isPending(uid, record)
	}

	/** Has a mark of the job's release to stay? */
	private keepsReleaseMark(uid: string): boolean {
		const record = this.jobs.get(uid)?.record
		return record !== undefined && requiresRelease(record)
	}

	isStoreReachable(): boolean {
		return this.membership.reachedStoreWithin(this.config.limits.controllerLeaseMs * 0.6)
	}

	private shardPorts(): ShardPorts {
		const limits = this.config.limits
		const run = <A>(effect: Effect.Effect<A>, done: (a: A) => void) => {
			Effect.runFork(effect.pipe(Effect.map((a) => done(a))))
		}
		return {
			now: this.now,
			wallClockMs: () => Date.now(),
			leadership: () => this.membership.leadership(),
			entry: (key) => this.cache.get(key),
			withPrefix: (prefix) => this.cache.withPrefix(prefix),
			applyOwnWrite: (key, data, modRevision) => this.cache.applyOwnWrite(key, data, modRevision),
			enqueueWrite: (w) => {
				const write = { ...w, deadline: this.now() + limits.controllerLeaseMs * 2 }
				this.writeQueue.enqueue(write)
				return write
			},
			raisePriority: (write, priority) => this.writeQueue.raisePriority(write, priority),
			job: (uid) => this.jobs.get(uid),
			usageInOtherShards: (shardId, team) => this.usageInOtherShards(shardId, team),
			migrationPlanner: (shardId, leaving) => this.shardRouter.migrationPlanner(shardId, leaving),
			wasQuarantined: (uid) => this.membership.peers.some((p) => p.status?.quarantinedJobs.includes(uid)),
			checks: () => this.checks,
			isPendingRelease: (uid, record) => this.isPendingRelease(uid, record),
			keepsReleaseMark: (uid) => this.keepsReleaseMark(uid),
			openJobs: () => this.jobs.openJobs,
			refreshCache: (done) => this.refreshCache(done),
			linearizableRead: (done) => this.afterLinearizableRead(done),
			revision: () => this.cache.revision,
			sendCommands: (addr, fencingToken, agentEpoch, commands, done) =>
				run(
					this.workerClient
						.request(
							addr,
							'POST',
							'/commands',
							encodeCommands(fencingToken, commands, agentEpoch),
							limits.heartbeatMs * 2,
						)
						.pipe(Effect.match({ onFailure: () => null, onSuccess: (a) => a })),
					(a) => done(a?.status ?? 0, a === null ? null : parseHeartbeat(a.body)),
				),
			rent: (request, done) => run(this.cloud.rent(request), done),
			releaseMachines: (ids, done) => run(this.cloud.release(ids), done),
			availableCloudCalls: () => this.cloud.availableCalls(),
			machineTypes: () => this.knownMachineTypes,
			offerAvailability: this.offerAvailability,
			log: this.log,
		}
	}

	/** Brings the mirror up to date, then calls back; without an answer after a pause. */
	refreshCache(done: () => void): void {
		const then = (ok: boolean) => {
			if (ok) done()
			else setTimeout(done, this.config.limits.controllerLeaseMs * 0.1)
		}
		Effect.runFork(this.cache.linearizableRead(this.storeClient).pipe(Effect.map(then)))
	}

	shard(shardId: number): Shard | undefined {
		return this.shards.get(shardId)
	}

	/** True once everything durable before the call is in the mirror; false if that takes too long. */
	linearizableRead(): Effect.Effect<boolean> {
		return this.cache.linearizableRead(this.storeClient).pipe(
			Effect.timeoutOption(USER_ANSWER_TIMEOUT_MS),
			Effect.map((o) => o._tag === 'Some' && o.value),
		)
	}

	waitForRevision(revision: number, done: (ok: boolean) => void): void {
		if (this.cache.revision >= revision) return done(true)
		const one = { revision, done }
		this.revisionWaiters.add(one)
		setTimeout(() => {
			if (this.revisionWaiters.delete(one)) done(false)
		}, USER_ANSWER_TIMEOUT_MS)
	}

	private notifyRevisionWaiters(): void {
		for (const one of this.revisionWaiters)
			if (one.revision <= this.cache.revision) {
				this.revisionWaiters.delete(one)
				one.done(true)
			}
	}

	/** Calls back once everything durable before the call is in the mirror, or with false. */
	afterLinearizableRead(done: (ok: boolean) => void): void {
		Effect.runFork(this.linearizableRead().pipe(Effect.map(done)))
	}

	// ---- HTTP ----

	/** The face to users, workers and the balancer. */
	handleRequest(request: HttpRequest, respond: Respond): void {
		if (request.path === '/checkin') {
			if (request.method !== 'POST') return respond({ status: 405 })
			return this.handleHeartbeat(request.body, respond)
		}
		if (request.path === '/healthz') {
			if (request.method !== 'GET') return respond({ status: 405 })
			return respond(
				this.isHealthy() ? { status: 200, body: { status: 'ok' } } : { status: 503, retryAfterS: 1 },
			)
		}
		this.userApi.handle(request, respond)
	}

	/**
	 * Healthy: users' requests can be answered. In an outage that every member sees, leaving the balancer would
	 * only delay the return; a member that alone cannot reach the state leaves the users to the others.
	 */
	isHealthy(): boolean {
		if (this.drainPhase !== 'serving' || this.cache.revision < 0 || this.knownMachineTypes.length === 0)
			return false
		if (this.isStoreReachable()) return true
		const heard = this.membership.peers.filter((p) => this.membership.isAlive(p.name))
		return heard.length > 0 && heard.every((p) => p.status?.ready === false)
	}

	private handleHeartbeat(body: unknown, respond: Respond): void {
		const report = parseHeartbeat(body)
		if (report === null) return respond({ status: 400, body: { error: 'not a report' } })
		if (this.cache.revision < 0) return respond(RETRY_LATER)
		const shardId = this.shardIdOf(report)
		const shard = this.shards.get(shardId)
		if (shard === undefined) {
			this.ownerLookups.set(report.machineId, { part: shardId, at: this.now() })
			const owner = this.membership.ownerOf(shardId)
			// Sent back to an owner that cannot hear it, it would wait there for most of its lease.
			const known = owner?.alive && owner.hears && owner.name !== this.config.limits.self
			if (owner?.alive && !owner.hears) this.gossipSoon()
			return respond({ status: 421, body: known ? { overseer: owner.name } : {} })
		}
		if (this.machineGroups.groupOf(report.machineId) === undefined)
			this.handleUnregisteredMachine(report, respond)
		else this.forwardHeartbeat(report, respond)
	}

	/** Peers hear at once that machines seek an owner here, many reports sharing one message. */
	private gossipSoon(): void {
		if (this.gossipScheduled) return
		this.gossipScheduled = true
		setTimeout(() => {
			this.gossipScheduled = false
			this.membership.gossip()
		}, this.config.limits.controllerLeaseMs * 0.04)
	}

	private shardIdOf(heartbeat: Heartbeat): number {
		return (
			this.machineGroups.groupOf(heartbeat.machineId)?.shardId ??
			hashName(heartbeat.machineId) % this.config.limits.controllerNames.length
		)
	}

	private forwardHeartbeat(heartbeat: Heartbeat, respond: Respond): void {
		const shard = this.shards.get(this.shardIdOf(heartbeat))
		if (shard === undefined || this.membership.leadership() === 'none') return respond(RETRY_LATER)
		shard.handleHeartbeat(heartbeat, (answer) =>
			respond(
				answer === null ? RETRY_LATER : { status: 200, body: encodeCommands(answer.token, answer.orders) },
			),
		)
	}

	/**
	 * A machine without a record was up before us, or was rented by a call that was carried out late. It is claimed
	 * by the part that its name falls to, once a read begun after its report shows neither a record of it nor a
	 * rental whose answer could still bring one: two parts must never hold the same machine.
	 */
	private handleUnregisteredMachine(heartbeat: Heartbeat, respond: Respond): void {
		const proven = (ok: boolean) => {
			if (!ok) return respond(RETRY_LATER)
			this.unregisteredMachines.push({ report: heartbeat, reply: respond })
			// Reports that shared the read are claimed together.
			if (this.unregisteredMachines.length === 1) queueMicrotask(() => this.adoptUnregisteredMachines())
		}
		this.afterLinearizableRead(proven)
	}

	private adoptUnregisteredMachines(): void {
		const all = this.unregisteredMachines
		this.unregisteredMachines = []
		const alike = new Map<string, typeof all>()
		for (const s of all) {
			const heartbeat = s.report
			const shardId = this.shardIdOf(heartbeat)
			if (this.machineGroups.groupOf(heartbeat.machineId) !== undefined)
				this.forwardHeartbeat(heartbeat, s.reply)
			else if (this.machineGroups.hasPendingRental(heartbeat) || !this.shards.has(shardId))
				s.reply(RETRY_LATER)
			else {
				const key = `${shardId}/${heartbeat.machineType}/${heartbeat.zone}/${heartbeat.spot}`
				alike.set(key, [...(alike.get(key) ?? []), s])
			}
		}
		for (const group of alike.values()) {
			const reports = group.map((s) => s.report)
			this.shards.get(this.shardIdOf(reports[0]))!.adoptMachines(reports, () => {
				for (const s of group) this.forwardHeartbeat(s.report, s.reply)
			})
		}
	}

	/** Who owns a part, for a status that its owner knows best. */
	ownerName(shardId: number): string | undefined {
		return decodeShardOwner(this.cache.get(`part/${shardId}`)?.data)?.owner
	}
}
