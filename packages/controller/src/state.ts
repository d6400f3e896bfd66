import {
	HISTORY_KEY,
	type MachineGroupRecord,
	type PageLimits,
	type RecordReader,
	shardKey,
} from '@heathroad/cluster'
import { type Config, terminalPageLimits } from '@heathroad/config'
import { hourlyPrice, machineFraction, orderRank, startBounds, type TeamLimit } from '@heathroad/policy'
import { KEY_PREFIX, type WriteResult } from '@heathroad/store'
import type { Condition, JobSpec, MachineType, Mutation } from '@heathroad/wire'
import { BootTimeEstimator } from './boot-time-estimator.js'
import type { Attempt, JobRun, Machine, ShardPorts } from './model.js'

/** What the concerns of one part share: its jobs, its machines and the books of what is, or may be, where. */
export class ShardState {
	readonly jobs = new Map<string, JobRun>()
	readonly machines = new Map<string, Machine>()
	/** every machine that may hold tasks of a former owner's is accounted for */
	reconciled = false
	/** since when we have listened to the machines without a break, steady time in ms */
	listeningSince = Number.NEGATIVE_INFINITY
	stopped = false
	queueDirty = true
	private queue: JobRun[] = []
	private readonly usage = new Map<string, { cpus: number; gpus: number }>()
	/** actual against estimated run time, by class */
	private readonly runTimeRatios = new Map<string, { ratio: number; n: number }>()
	readonly bootTimes = new BootTimeEstimator()
	private readonly teams: ReadonlyMap<string, TeamLimit>
	/** the records, for writes that are conditional on them */
	readonly records: RecordReader
	/** what a page of final states holds */
	readonly pageLimits: PageLimits

	constructor(
		readonly shardId: number,
		readonly fencingToken: number,
		readonly config: Config,
		readonly ports: ShardPorts,
	) {
		this.teams = new Map(config.settings.deployment.teams.map((t) => [t.name, t]))
		this.records = {
			get: (key) => ports.entry(key),
			modRevision: (key) => ports.entry(key)?.modRevision ?? 0,
		}
		this.pageLimits = terminalPageLimits(config)
	}

	/** Do final states share pages, or has each a key of its own, as in the first form of the records? */
	get usesTerminalPages(): boolean {
		return this.ports.entry(HISTORY_KEY) !== undefined
	}

	/** Every write of an owner holds only while its ownership does. */
	ownershipCondition(): { key: string; modRevision: number } {
		return { key: KEY_PREFIX + shardKey(this.shardId), modRevision: this.fencingToken }
	}

	/** A write whose content is known now; it goes out while the part is ours. */
	enqueueOwnedWrite(
		priority: number,
		conditions: readonly Condition[],
		mutations: readonly Mutation[],
		done: (result: WriteResult) => void = () => {},
	): void {
		const content = { conditions: [this.ownershipCondition(), ...conditions], mutations }
		this.ports.enqueueWrite({
			priority: priority,
			build: () => (this.stopped ? null : content),
			onResult: done,
		})
	}

	// ---- machines ----

	machineTypeNamed(name: string): MachineType {
		const known = this.ports.machineTypes().find((t) => t.name === name)
		// Without a catalog nothing is placed there; the machine's tasks are still looked after.
		return (
			known ?? {
				name,
				cpus: 0,
				gpus: 0,
				ramGb: 0,
				cacheGb: 0,
				fetchGbPerS: 0.1,
				price: 0,
				spotPrice: 0,
				bootS: this.config.limits.agentLeaseMs / 1000,
				zones: [],
			}
		)
	}

	addMachine(id: string, fleet: string, r: MachineGroupRecord): Machine {
		const now = this.ports.now()
		const address = r.addresses[id] ?? null
		const machine: Machine = {
			id,
			type: this.machineTypeNamed(r.machineType),
			zone: r.zone,
			spot: r.spot,
			address: address,
			fencingToken: this.fencingToken,
			groupName: fleet,
			addressRecorded: address !== null,
			reconciled: address === null,
			booted: address !== null,
			agentEpoch: 0,
			heartbeatSequence: 0,
			lastHeartbeatAt: now,
			discoveredAt: now,
			attempts: new Map(),
			cachedImages: new Map(),
			preemptionDeadline: null,
			drainReason: null,
			releasing: false,
			retryReleaseAt: 0,
			idleSince: null,
			cordonedUntil: 0,
			reservedFor: null,
			failuresByJob: new Map(),
			probing: false,
			freeResources: { cpus: 0, gpus: 0, ramGb: 0 },
		}
		this.machines.set(id, machine)
		this.recomputeFreeResources(machine)
		return machine
	}

	/** What is free, counted anew from what is there. */
	recomputeFreeResources(machine: Machine): void {
		const free = { cpus: machine.type.cpus, gpus: machine.type.gpus, ramGb: machine.type.ramGb }
		for (const attempt of machine.attempts.values()) {
			if (attempt.state === 'ended') continue
			free.cpus -= attempt.resources.cpus
			free.gpus -= attempt.resources.gpus
			free.ramGb -= attempt.resources.ramGb
		}
		machine.freeResources = free
	}

	/**
	 * A machine that is kept although it is silent takes nothing new (incident 22): what is planned for it is given up at
	 * every look, and meanwhile neither another machine has it nor is one rented for it.
	 */
	isSchedulable(machine: Machine, now: number): boolean {
		if (
			!machine.booted ||
			!machine.reconciled ||
			!machine.addressRecorded ||
			machine.drainReason !== null ||
			machine.releasing ||
			machine.cordonedUntil > now
		)
			return false
		return now - Math.max(machine.lastHeartbeatAt, this.listeningSince) <= this.config.limits.heartbeatMs * 3
	}

	recordCachedImage(machine: Machine, spec: JobSpec): void {
		// Re-inserted at the end: the map keeps the order of last use.
		machine.cachedImages.delete(spec.image)
		machine.cachedImages.set(spec.image, spec.imageGb)
		let total = 0
		for (const gb of machine.cachedImages.values()) total += gb
		for (const [image, gb] of machine.cachedImages) {
			if (total <= machine.type.cacheGb || image === spec.image) break
			machine.cachedImages.delete(image)
			total -= gb
		}
	}

	// ---- attempts ----

	addAttempt(machine: Machine, attempt: Attempt): void {
		machine.attempts.set(attempt.key, attempt)
		if (attempt.job !== null && !attempt.orphaned) {
			attempt.job.placements.set(attempt.taskIndex, attempt)
			attempt.job.taskCountByZone.set(machine.zone, (attempt.job.taskCountByZone.get(machine.zone) ?? 0) + 1)
		} else if (attempt.job !== null) {
			// Nobody may have started it by our leave, but it is there until that is proven wrong (incident 26).
			attempt.job.orphanCounts.set(
				attempt.taskIndex,
				(attempt.job.orphanCounts.get(attempt.taskIndex) ?? 0) + 1,
			)
			attempt.job.readyTasks.delete(attempt.taskIndex)
		}
		const used = this.usage.get(attempt.resources.team) ?? { cpus: 0, gpus: 0 }
		used.cpus += attempt.resources.cpus
		used.gpus += attempt.resources.gpus
		this.usage.set(attempt.resources.team, used)
		machine.freeResources.cpus -= attempt.resources.cpus
		machine.freeResources.gpus -= attempt.resources.gpus
		machine.freeResources.ramGb -= attempt.resources.ramGb
		machine.idleSince = null
	}

	/** It no longer takes room: ended, or not there any more. */
	freeResourcesOf(machine: Machine, attempt: Attempt): void {
		if (attempt.accountedFor) return
		attempt.accountedFor = true
		const used = this.usage.get(attempt.resources.team)
		if (used) {
			used.cpus -= attempt.resources.cpus
			used.gpus -= attempt.resources.gpus
		}
		const strays = attempt.orphaned ? (attempt.job?.orphanCounts.get(attempt.taskIndex) ?? 0) : 0
		if (strays > 1) attempt.job?.orphanCounts.set(attempt.taskIndex, strays - 1)
		else if (strays > 0) attempt.job?.orphanCounts.delete(attempt.taskIndex)
		if (attempt.job !== null && attempt.job.placements.get(attempt.taskIndex) === attempt) {
			attempt.job.placements.delete(attempt.taskIndex)
			attempt.job.taskCountByZone.set(machine.zone, (attempt.job.taskCountByZone.get(machine.zone) ?? 1) - 1)
			if (attempt.job.isTerminal && attempt.job.placements.size === 0) this.jobs.delete(attempt.uid)
		}
	}

	removeAttempt(machine: Machine, attempt: Attempt): void {
		const wasHandled = attempt.accountedFor
		machine.attempts.delete(attempt.key)
		this.freeResourcesOf(machine, attempt)
		this.recomputeFreeResources(machine)
		if (!wasHandled) this.requeueTask(attempt)
	}

	/** Proven absent and not done: the task may be started elsewhere. */
	requeueTask(attempt: Attempt): void {
		const job = attempt.job
		if (job === null || job.isTerminal || job.doneTasks.has(attempt.taskIndex)) return
		if (job.placements.has(attempt.taskIndex) || job.orphanCounts.has(attempt.taskIndex)) return
		if (attempt.state !== 'ended' && !attempt.orphaned)
			job.budget.restart(
				attempt.uid,
				attempt.budgetShare,
				attempt.startedAt === null ? 0 : this.attemptCost(attempt),
			)
		if (!job.isReconciled) return
		if (job.readyTasks.add(attempt.taskIndex) && job.readyTasks.size === 1) this.queueDirty = true
	}

	attemptCost(attempt: Attempt): number {
		const machine = attempt.machine
		if (attempt.startedAt === null) return 0
		const seconds = (this.ports.now() - attempt.startedAt) / 1000
		return (seconds * hourlyPrice(machine) * machineFraction(attempt.resources, machine.type)) / 3600
	}

	// ---- run times ----

	estimatedRunS(spec: JobSpec): number {
		const p = this.runTimeRatios.get(spec.jobClass)
		return Math.max(0.1, spec.expectedS * (p !== undefined && p.n >= 3 ? p.ratio : 1))
	}

	/** How long an attempt will still run, by the estimate. */
	remainingRunS(attempt: Attempt, job: JobRun, now: number): number {
		const ranS = attempt.startedAt === null ? 0 : (now - attempt.startedAt) / 1000
		return Math.max(0, this.estimatedRunS(job.spec) - (job.checkpointedS.get(attempt.taskIndex) ?? 0) - ranS)
	}

	observeRunTime(spec: JobSpec, seconds: number): void {
		if (spec.expectedS <= 0) return
		const ratio = Math.min(5, Math.max(0.1, seconds / spec.expectedS))
		const p = this.runTimeRatios.get(spec.jobClass) ?? { ratio: 1, n: 0 }
		p.n = Math.min(p.n + 1, 50)
		p.ratio += (ratio - p.ratio) / (p.n + 1)
		this.runTimeRatios.set(spec.jobClass, p)
	}

	// ---- teams and order ----

	teamLimit(name: string): TeamLimit | undefined {
		return this.teams.get(name)
	}

	teamUsage(team: string): { cpus: number; gpus: number } {
		return this.usage.get(team) ?? { cpus: 0, gpus: 0 }
	}

	/** What a team's tasks use in all parts, the others' as they last told: a guarantee is the whole service's. */
	private usedInAll(team: string): { cpus: number; gpus: number } {
		const here = this.teamUsage(team)
		const elsewhere = this.ports.usageInOtherShards(this.shardId, team)
		return { cpus: here.cpus + elsewhere.cpus, gpus: here.gpus + elsewhere.gpus }
	}

	/** Would one more task of this size still lie within what the team is guaranteed? */
	isWithinGuarantee(spec: { team: string; cpus: number; gpus: number }): boolean {
		const t = this.teamLimit(spec.team)
		if (t === undefined || (t.cpus <= 0 && t.gpus <= 0)) return false
		const u = this.usedInAll(spec.team)
		return u.cpus + spec.cpus <= t.cpus && u.gpus + spec.gpus <= t.gpus
	}

	exceedsGuarantee(team: string): boolean {
		const t = this.teamLimit(team)
		if (t === undefined || (t.cpus <= 0 && t.gpus <= 0)) return true
		const u = this.usedInAll(team)
		return u.cpus > t.cpus || u.gpus > t.gpus
	}

	jobAgeS(job: JobRun): number {
		return (this.ports.wallClockMs() - job.acceptedAtMs) / 1000
	}

	/** Open jobs in the order in which they are served. */
	jobsInOrder(): readonly JobRun[] {
		if (this.queueDirty) {
			this.queueDirty = false
			const objectives = this.config.settings.deployment.objectives ?? []
			const queue: { job: JobRun; entitled: number }[] = []
			for (const job of this.jobs.values()) {
				if (job.isTerminal || !job.isReconciled) continue
				job.startBounds = startBounds(job.spec, this.estimatedRunS(job.spec), objectives)
				job.rank = job.isQuarantined ? -1 : orderRank(job.spec.priority, this.jobAgeS(job), job.startBounds)
				queue.push({ job, entitled: Number(this.isWithinGuarantee(job.spec)) })
			}
			queue.sort(
				(a, b) =>
					b.entitled - a.entitled || b.job.rank - a.job.rank || a.job.acceptedAtMs - b.job.acceptedAtMs,
			)
			this.queue = queue.map((q) => q.job)
		}
		return this.queue
	}

	/** Ordered jobs with tasks that may start now. */
	*waitingJobs(now: number): Iterable<JobRun> {
		for (const job of this.jobsInOrder())
			if (job.readyTasks.size > 0 && !job.isTerminal && !job.migrating && job.retryNotBefore <= now) yield job
	}

	/** Does anything wait that room is made for? */
	hasWaitingJobs(now: number): boolean {
		return this.waitingHealthyJobs(now)[Symbol.iterator]().next().done !== true
	}

	/** Those of them that room is made for: a job that fails everywhere takes only what is left over. */
	*waitingHealthyJobs(now: number): Iterable<JobRun> {
		for (const job of this.waitingJobs(now)) if (!job.isQuarantined) yield job
	}
}
