/** State that the parts of one shard share: its jobs, its machines, and which attempts are or may be where. */
import {
	HISTORY_KEY,
	type MachineGroupRecord,
	type PageLimits,
	type RecordReader,
	shardKey,
} from '@heathroad/cluster'
import { type Config, terminalPageLimits } from '@heathroad/config'
import type { TeamLimit } from '@heathroad/policy'
import { KEY_PREFIX, type WriteResult } from '@heathroad/store'
import type { Condition, JobSpec, MachineType, Mutation } from '@heathroad/wire'
import { AttemptRegistry } from './attempt-registry.js'
import { BootTimeEstimator } from './boot-time-estimator.js'
import { JobQueue } from './job-queue.js'
import type { JobRun } from './job-run.js'
import { recomputeFreeResources, recordCachedImage } from './machine-resources.js'
import type { Attempt, Machine } from './model.js'
import { newMachine, unknownMachineType } from './new-machine.js'
import { RunTimeEstimator } from './run-time-estimator.js'
import type { ShardDependencies } from './shard-dependencies.js'
import { TeamUsage } from './team-usage.js'

/** Heartbeat intervals without a heartbeat after which a machine takes nothing new. */
export const MAX_MISSED_HEARTBEATS = 3

/** Jobs, machines and attempts of one shard under one owner. Times are steady time in ms. */
export class ShardState {
	/** jobs of this shard that may start or are running, by uid */
	readonly jobs = new Map<string, JobRun>()
	/** machines of this shard, by identifier */
	readonly machines = new Map<string, Machine>()
	/** every machine that may hold tasks of a former owner is accounted for */
	reconciled = false
	/** since when this controller has received heartbeats without a break */
	listeningSince = Number.NEGATIVE_INFINITY
	/** the shard is lost, or the controller stops: nothing is sent or written any more */
	stopped = false
	readonly bootTimes = new BootTimeEstimator()
	/** the records, for writes that are conditional on them */
	readonly records: RecordReader
	/** what a page of terminal states holds */
	readonly pageLimits: PageLimits
	private readonly runTimes = new RunTimeEstimator()
	private readonly teams: TeamUsage
	private readonly queue: JobQueue
	private readonly attempts: AttemptRegistry

	constructor(
		readonly shardId: number,
		readonly fencingToken: number,
		readonly config: Config,
		readonly dependencies: ShardDependencies,
	) {
		this.teams = new TeamUsage(shardId, config.settings.deployment.teams, dependencies)
		this.queue = new JobQueue({
			jobs: this.jobs,
			config,
			teams: this.teams,
			runTimes: this.runTimes,
			wallClockMs: () => dependencies.wallClockMs(),
		})
		this.attempts = new AttemptRegistry({
			jobs: this.jobs,
			teams: this.teams,
			queue: this.queue,
			now: () => dependencies.now(),
		})
		this.records = {
			get: (key) => dependencies.entry(key),
			modRevision: (key) => dependencies.entry(key)?.modRevision ?? 0,
		}
		this.pageLimits = terminalPageLimits(config)
	}

	// ---- writes ----

	/** Do terminal states share pages? In the first form of the records each has a key of its own. */
	get usesTerminalPages(): boolean {
		return this.dependencies.entry(HISTORY_KEY) !== undefined
	}

	/** Every write of an owner holds only while its ownership does. */
	ownershipCondition(): { key: string; modRevision: number } {
		return { key: KEY_PREFIX + shardKey(this.shardId), modRevision: this.fencingToken }
	}

	/** Enqueues a write whose content is known now; it is sent only while this controller owns the shard. */
	enqueueOwnedWrite(
		priority: number,
		conditions: readonly Condition[],
		mutations: readonly Mutation[],
		done: (result: WriteResult) => void = () => {},
	): void {
		const content = { conditions: [this.ownershipCondition(), ...conditions], mutations }
		this.dependencies.enqueueWrite({
			priority,
			build: () => (this.stopped ? null : content),
			onResult: done,
		})
	}

	/** Puts the values of an own transaction that was applied at this revision into the watch cache. */
	applyOwnMutations(mutations: readonly Mutation[], revision: number): void {
		for (const mutation of mutations)
			if ('set' in mutation)
				this.dependencies.applyOwnWrite(mutation.set.slice(KEY_PREFIX.length), mutation.data, revision)
	}

	// ---- machines ----

	/** The machine type of this name, or a stand-in without resources if the catalog does not have it. */
	machineTypeNamed(name: string): MachineType {
		const type = this.dependencies.machineTypes().find((candidate) => candidate.name === name)
		return type ?? unknownMachineType(name, this.config.limits.agentLeaseMs / 1000)
	}

	/** Adds a machine of a machine group's record, which became known at a time: now if not given. */
	addMachine(id: string, groupName: string, record: MachineGroupRecord, recordedAt?: number): Machine {
		const now = this.dependencies.now()
		const machine = newMachine(id, {
			groupName,
			record,
			type: this.machineTypeNamed(record.machineType),
			fencingToken: this.fencingToken,
			now,
			recordedAt: recordedAt ?? now,
		})
		this.machines.set(id, machine)
		this.recomputeFreeResources(machine)
		return machine
	}

	/** Computes what is free from the attempts that are there. */
	recomputeFreeResources(machine: Machine): void {
		recomputeFreeResources(machine)
	}

	/**
	 * May new attempts be planned for the machine? A machine that is kept although it misses heartbeats takes nothing new
	 * (incident 22): what is planned for it would be withdrawn at every tick, and meanwhile no other machine would be
	 * chosen or rented for the task.
	 */
	isSchedulable(machine: Machine, now: number): boolean {
		if (!machine.booted || !machine.reconciled || !machine.addressRecorded) return false
		if (machine.drainReason !== null || machine.releasing || machine.cordonedUntil > now) return false
		const silentMs = now - Math.max(machine.lastHeartbeatAt, this.listeningSince)
		return silentMs <= this.config.limits.heartbeatMs * MAX_MISSED_HEARTBEATS
	}

	/** The machine has the job's image from now on. */
	recordCachedImage(machine: Machine, spec: JobSpec): void {
		recordCachedImage(machine, spec)
	}

	// ---- attempts: see `AttemptRegistry` ----

	/** An attempt is planned for a machine, or was found on it. */
	addAttempt(machine: Machine, attempt: Attempt): void {
		this.attempts.add(machine, attempt)
	}

	/** The attempt holds no resources any more: it has ended, or is not there. Has an effect once per attempt. */
	freeResourcesOf(machine: Machine, attempt: Attempt): void {
		this.attempts.free(machine, attempt)
	}

	/** The attempt is not on its machine; its task is requeued unless its end was accounted for before. */
	removeAttempt(machine: Machine, attempt: Attempt): void {
		this.attempts.remove(machine, attempt)
	}

	/** The task may be started elsewhere if it is not done and proven absent from all machines. */
	requeueTask(attempt: Attempt): void {
		this.attempts.requeueTask(attempt)
	}

	/** What the attempt has cost so far: its share of the machine's price; 0 before its start. */
	attemptCost(attempt: Attempt): number {
		return this.attempts.cost(attempt)
	}

	// ---- run times ----

	/** Estimated run time of a task of the job, in seconds. */
	estimatedRunS(spec: JobSpec): number {
		return this.runTimes.estimateS(spec)
	}

	/** How long an attempt will still run, by the estimate, in seconds. */
	remainingRunS(attempt: Attempt, job: JobRun, now: number): number {
		const ranS = attempt.startedAt === null ? 0 : (now - attempt.startedAt) / 1000
		return Math.max(0, this.estimatedRunS(job.spec) - (job.checkpointedS.get(attempt.taskIndex) ?? 0) - ranS)
	}

	/** A task of the job ran for so many seconds in all. */
	observeRunTime(spec: JobSpec, seconds: number): void {
		this.runTimes.observe(spec, seconds)
	}

	// ---- teams ----

	/** The team's guarantee and limit; undefined for a team that is not configured. */
	teamLimit(name: string): TeamLimit | undefined {
		return this.teams.limitOf(name)
	}

	/** Resources that the team's attempts hold in this shard. */
	teamUsage(team: string): { cpus: number; gpus: number } {
		return this.teams.inShard(team)
	}

	/** Would one more task of this size still lie within what the team is guaranteed in the whole service? */
	isWithinGuarantee(spec: { team: string; cpus: number; gpus: number }): boolean {
		return this.teams.isWithinGuarantee(spec)
	}

	/** Does the team use more than its guarantee? True for teams without one. */
	exceedsGuarantee(team: string): boolean {
		return this.teams.exceedsGuarantee(team)
	}

	// ---- order of jobs ----

	/** The order of jobs has to be computed anew before it is next used. */
	get queueDirty(): boolean {
		return this.queue.isDirty
	}

	set queueDirty(isDirty: boolean) {
		this.queue.isDirty = isDirty
	}

	/** Seconds since the job was accepted, by any owner. */
	jobAgeS(job: JobRun): number {
		return this.queue.ageS(job)
	}

	/** Jobs with tasks that may start now, in order. */
	waitingJobs(now: number): Iterable<JobRun> {
		return this.queue.waiting(now)
	}

	/** Does any job wait that is not quarantined? */
	hasWaitingJobs(now: number): boolean {
		return this.queue.hasWaiting(now)
	}

	/** Waiting jobs that are not quarantined: a job that fails everywhere takes only what is left over. */
	waitingHealthyJobs(now: number): Iterable<JobRun> {
		return this.queue.waitingHealthy(now)
	}
}
