/** State shared by the components of one shard: its jobs, its machines and the attempts on them. */
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

/** Heartbeat intervals without a heartbeat after which a machine gets no new tasks. */
export const MAX_MISSED_HEARTBEATS = 3

/** Jobs, machines and attempts of one shard under one owner. Times are monotonic, in ms. */
export class ShardState {
	/** jobs of this shard that may start or are running, by uid */
	readonly jobs = new Map<string, JobRun>()
	/** machines of this shard, by id */
	readonly machines = new Map<string, Machine>()
	/** every machine that may hold tasks of a former owner is accounted for */
	reconciled = false
	/** since when this controller has received heartbeats without interruption */
	listeningSince = Number.NEGATIVE_INFINITY
	/** the shard is lost or the controller stops: no further commands or writes */
	stopped = false
	readonly bootTimes = new BootTimeEstimator()
	/** reads records for compare-and-swap writes */
	readonly records: RecordReader
	/** size limits of a page of terminal states */
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

	/** Whether terminal states share pages. In the first record format each has a key of its own. */
	get usesTerminalPages(): boolean {
		return this.dependencies.entry(HISTORY_KEY) !== undefined
	}

	/** Condition of every write by an owner: it still owns the shard. */
	ownershipCondition(): { key: string; modRevision: number } {
		return { key: KEY_PREFIX + shardKey(this.shardId), modRevision: this.fencingToken }
	}

	/** Enqueues a write with fixed content; it is sent and applied only while this controller owns the shard. */
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

	/** Adds the values of this owner's transaction, applied at this revision, to the watch cache. */
	applyOwnMutations(mutations: readonly Mutation[], revision: number): void {
		for (const mutation of mutations)
			if ('set' in mutation)
				this.dependencies.applyOwnWrite(mutation.set.slice(KEY_PREFIX.length), mutation.data, revision)
	}

	// ---- machines ----

	/** Returns the machine type of this name, or a placeholder without resources if it is not in the catalog. */
	machineTypeNamed(name: string): MachineType {
		const type = this.dependencies.machineTypes().find((candidate) => candidate.name === name)
		return type ?? unknownMachineType(name, this.config.limits.agentLeaseMs / 1000)
	}

	/** Adds a machine of a machine group's record. `recordedAt`: when the record was received, now by default. */
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

	/** Recomputes the machine's free resources from its attempts. */
	recomputeFreeResources(machine: Machine): void {
		recomputeFreeResources(machine)
	}

	/**
	 * Returns whether new attempts may be planned for the machine. A machine kept although it misses heartbeats gets none
	 * (incident 22): attempts planned for it would be removed at every tick, and meanwhile no other machine would be
	 * chosen or rented for the task.
	 */
	isSchedulable(machine: Machine, now: number): boolean {
		if (!machine.booted || !machine.reconciled || !machine.addressRecorded) return false
		if (machine.drainReason !== null || machine.releasing || machine.cordonedUntil > now) return false
		const silentMs = now - Math.max(machine.lastHeartbeatAt, this.listeningSince)
		return silentMs <= this.config.limits.heartbeatMs * MAX_MISSED_HEARTBEATS
	}

	/** Records the job's image as cached on the machine. */
	recordCachedImage(machine: Machine, spec: JobSpec): void {
		recordCachedImage(machine, spec)
	}

	// ---- attempts: see `AttemptRegistry` ----

	/** Adds an attempt that is planned for a machine or was found on it. */
	addAttempt(machine: Machine, attempt: Attempt): void {
		this.attempts.add(machine, attempt)
	}

	/** Releases the resources of an attempt that has exited or is not on its machine. Has an effect once per attempt. */
	releaseResources(machine: Machine, attempt: Attempt): void {
		this.attempts.free(machine, attempt)
	}

	/** Removes an attempt that is not on its machine; requeues its task unless its exit was already processed. */
	removeAttempt(machine: Machine, attempt: Attempt): void {
		this.attempts.remove(machine, attempt)
	}

	/** Requeues the attempt's task if it is not done and proven absent from all machines. */
	requeueTask(attempt: Attempt): void {
		this.attempts.requeueTask(attempt)
	}

	/** Cost of the attempt so far: its share of the machine's price; 0 before its start. */
	attemptCost(attempt: Attempt): number {
		return this.attempts.cost(attempt)
	}

	// ---- run times ----

	/** Estimated run time of a task of the job, in seconds. */
	estimatedRunS(spec: JobSpec): number {
		return this.runTimes.estimateS(spec)
	}

	/** Estimated remaining run time of an attempt, in seconds. */
	remainingRunS(attempt: Attempt, job: JobRun, now: number): number {
		const ranS = attempt.startedAt === null ? 0 : (now - attempt.startedAt) / 1000
		return Math.max(0, this.estimatedRunS(job.spec) - (job.checkpointedS.get(attempt.taskIndex) ?? 0) - ranS)
	}

	/** Records that a task of the job ran for `seconds` in total. */
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

	/** Returns whether one more task of this size stays within the team's guarantee, which holds over all shards. */
	isWithinGuarantee(spec: { team: string; cpus: number; gpus: number }): boolean {
		return this.teams.isWithinGuarantee(spec)
	}

	/** Returns whether the team uses more than its guarantee; true for teams without one. */
	exceedsGuarantee(team: string): boolean {
		return this.teams.exceedsGuarantee(team)
	}

	// ---- job queue ----

	/** Whether the queue must be sorted again before its next use. */
	get queueDirty(): boolean {
		return this.queue.isDirty
	}

	set queueDirty(isDirty: boolean) {
		this.queue.isDirty = isDirty
	}

	/** Seconds since any owner accepted the job. */
	jobAgeS(job: JobRun): number {
		return this.queue.ageS(job)
	}

	/** Jobs with tasks that may start now, in queue order. */
	waitingJobs(now: number): Iterable<JobRun> {
		return this.queue.waiting(now)
	}

	/** Returns whether any job that is not quarantined is waiting. */
	hasWaitingJobs(now: number): boolean {
		return this.queue.hasWaiting(now)
	}

	/** Waiting jobs that are not quarantined: a job that fails everywhere gets only leftover resources. */
	waitingHealthyJobs(now: number): Iterable<JobRun> {
		return this.queue.waitingHealthy(now)
	}
}
