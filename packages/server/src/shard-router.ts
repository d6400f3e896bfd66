/** Chooses shards for new jobs and for waiting jobs that another shard would serve better. */
import { countRecordedDone, hashName, type JobRecord } from '@heathroad/cluster'
import {
	allOffers,
	isAllowedOn,
	isWorthMigrating,
	leastLoadedShard,
	offerKey,
	priorityRank,
	type ShardLoad,
} from '@heathroad/policy'
import { type JobSpec, PRIORITIES } from '@heathroad/wire'
import type { ControllerContext, JobRouting, MigratingJob } from './controller-context.js'

/** Minimum CPUs that a task counts for, so that tasks requesting almost none still count as work. */
const MIN_TASK_CPUS = 0.1
/** Minimum run time in seconds that a task counts for. */
const MIN_TASK_SECONDS = 1

/** Returns the work of a number of a job's tasks, in CPU seconds. */
const workOf = (spec: JobSpec, tasks: number): number =>
	tasks * Math.max(MIN_TASK_CPUS, spec.cpus) * Math.max(MIN_TASK_SECONDS, spec.expectedS)

/** A shard's unfinished work in CPU seconds, by rank of priority. */
interface WorkByRank {
	all: number[]
	/** half of the work of running tasks: on average the other half is done */
	running: number[]
}

/** CPUs and unfinished work of every shard, computed once for several choices. */
interface ClusterLoad {
	/** by shard */
	cpus: number[]
	/** by shard */
	work: WorkByRank[]
	partitionedShards: Set<number>
}

/** Routes jobs to shards by the load of all shards according to the records and the peers' statuses. */
export class ShardRouter implements JobRouting {
	constructor(private readonly context: ControllerContext) {}

	/** Returns the shard for a new job. */
	chooseShard(spec: JobSpec): number {
		const fixedShard = this.fixedShard(spec)
		if (fixedShard !== null) return fixedShard
		// Ties are broken by a hash of the job id, so that the first jobs of several controllers spread.
		const preferred = hashName(spec.uid) % this.shardCount()
		return this.leastLoaded(spec, this.shardLoads(spec, this.clusterLoad(), null), preferred)
	}

	/**
	 * Returns a function to call with each of a shard's waiting jobs in turn. It returns the shard that would serve the job
	 * far better, given the targets of the jobs before it; null: the job stays.
	 */
	migrationPlanner(shardId: number, leaving: readonly MigratingJob[]): (spec: JobSpec) => number | null {
		const load = this.clusterLoad()
		const moveWork = (spec: JobSpec, to: number) => {
			load.work[to].all[priorityRank(spec.priority)] += workOf(spec, spec.tasks)
			load.work[shardId].all[priorityRank(spec.priority)] -= workOf(spec, spec.tasks)
		}
		for (const job of leaving) moveWork(job.spec, job.to)
		return (spec) => {
			if (this.fixedShard(spec) !== null) return null
			const loads = this.shardLoads(spec, load, shardId)
			const target = this.leastLoaded(spec, loads, shardId)
			if (target === shardId) return null
			if (!isWorthMigrating(loads[shardId], loads[target], this.largestMachineCpus())) return null
			moveWork(spec, target)
			return target
		}
	}

	/** Returns the number of an open job's running tasks, as its owner knows or last reported it. */
	runningTaskCount(uid: string, record: JobRecord): number {
		const job = this.context.shard(record.shardId)?.jobs.get(uid)
		if (job !== undefined) return job.isTerminal ? 0 : job.runningCount()
		const owner = this.context.membership.peers.find(
			(peer) => peer.name === this.context.ownerName(record.shardId),
		)
		return Number(owner?.status?.runningTasks[uid] ?? 0)
	}

	private shardCount(): number {
		return this.context.config.limits.controllerNames.length
	}

	private largestMachineCpus(): number {
		return Math.max(1, ...this.context.machineTypes().map((type) => type.cpus))
	}

	/** Returns the one shard that runs all jobs of a team with a limit and enforces it; null for other teams. */
	private fixedShard(spec: JobSpec): number | null {
		const team = this.context.config.settings.deployment.teams.find(({ name }) => name === spec.team)
		const hasLimit = team !== undefined && (team.cpus_max > 0 || team.gpus_max > 0)
		return hasLimit ? hashName(spec.team) % this.shardCount() : null
	}

	private leastLoaded(spec: JobSpec, loads: readonly ShardLoad[], preferred: number): number {
		const canScaleOut = allOffers(this.context.machineTypes()).some(
			(offer) => isAllowedOn(spec, offer) && !this.context.offerAvailability.wasRefusedLast(offerKey(offer)),
		)
		return leastLoadedShard(loads, this.largestMachineCpus(), canScaleOut, preferred)
	}

	private clusterLoad(): ClusterLoad {
		const cpus = this.cpusByShard()
		const work = this.workByShard()
		return { cpus, work, partitionedShards: this.context.partitionedShards() }
	}

	/** Returns the CPUs of the machines that each shard has rented or requested. */
	private cpusByShard(): number[] {
		const shardCount = this.shardCount()
		const types = this.context.machineTypes()
		const cpus = new Array<number>(shardCount).fill(0)
		for (const group of this.context.machineGroups.records.values()) {
			if (group.shardId >= shardCount) continue
			const machines = group.requestedCount + Object.keys(group.addresses).length
			cpus[group.shardId] += machines * (types.find((type) => type.name === group.machineType)?.cpus ?? 0)
		}
		return cpus
	}

	private workByShard(): WorkByRank[] {
		const shardCount = this.shardCount()
		const zeros = () => PRIORITIES.map(() => 0)
		const work = Array.from({ length: shardCount }, () => ({ all: zeros(), running: zeros() }))
		const quarantinedJobs = this.context.quarantinedJobs()
		for (const uid of this.context.jobs.openJobs) {
			// A quarantined job runs one task at a time: its work is negligible.
			if (quarantinedJobs.has(uid)) continue
			const record = this.context.jobs.get(uid)?.record
			if (record?.spec === undefined || record.shardId >= shardCount) continue
			if (this.context.isPendingRelease(uid, record)) continue
			const rank = priorityRank(record.spec.priority)
			const doneCount = countRecordedDone(uid, record, (key) => this.context.cache.get(key)?.data)
			const shardWork = work[record.shardId]
			shardWork.all[rank] += workOf(record.spec, record.spec.tasks - doneCount)
			shardWork.running[rank] += workOf(record.spec, this.runningTaskCount(uid, record) / 2)
		}
		return work
	}

	/**
	 * Returns each shard's load for a job: its CPUs, and the unfinished work ahead of the job plus the job itself, which
	 * `homeShard` already includes. Work of lower priority counts only where it runs: a huge `idle` job array waits
	 * behind the job, and counting it in full would send all new work to the one shard without it, however few machines
	 * that shard has (incident 12).
	 */
	private shardLoads(spec: JobSpec, load: ClusterLoad, homeShard: number | null): ShardLoad[] {
		const ownRank = priorityRank(spec.priority)
		return load.cpus.map((cpus, shardId) => {
			const { all, running } = load.work[shardId]
			let work = shardId === homeShard ? 0 : workOf(spec, spec.tasks)
			for (let rank = 0; rank < PRIORITIES.length; rank++) work += rank >= ownRank ? all[rank] : running[rank]
			return { cpus, workCpuS: work, partitioned: load.partitionedShards.has(shardId) }
		})
	}
}
