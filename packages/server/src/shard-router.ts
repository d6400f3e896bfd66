/** Chooses the shard of a job: of a new one, and of one that its shard cannot serve. */
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

/** CPUs that a task counts for at least, so that tasks which ask for almost none still count as work. */
const MIN_TASK_CPUS = 0.1
/** Seconds that a task counts for at least. */
const MIN_TASK_SECONDS = 1

/** Work of tasks of a job, in CPU seconds. */
const workOf = (spec: JobSpec, tasks: number): number =>
	tasks * Math.max(MIN_TASK_CPUS, spec.cpus) * Math.max(MIN_TASK_SECONDS, spec.expectedS)

/** A shard's unfinished work in CPU seconds, by rank of priority. */
interface WorkByRank {
	all: number[]
	/** half of the work of the tasks that run: on average half of it is done */
	running: number[]
}

/** CPUs and unfinished work of every shard, counted once for several choices. */
interface ClusterLoad {
	/** by shard */
	cpus: number[]
	/** by shard */
	work: WorkByRank[]
	partitionedShards: Set<number>
}

/** Routes jobs to shards by the load of all shards, as the records and the peers' statuses show it. */
export class ShardRouter implements JobRouting {
	constructor(private readonly context: ControllerContext) {}

	/** Returns the shard for a new job. */
	chooseShard(spec: JobSpec): number {
		const fixedShard = this.fixedShard(spec)
		if (fixedShard !== null) return fixedShard
		// Ties are broken by the job's name, so that first jobs at several controllers spread.
		const preferred = hashName(spec.uid) % this.shardCount()
		return this.leastLoaded(spec, this.shardLoads(spec, this.clusterLoad(), null), preferred)
	}

	/**
	 * Returns a function to be called with a shard's waiting jobs, one after the other. It names the shard that would serve
	 * the job far better, given where those before it go; null: the job stays.
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

	/** Returns the number of an open job's running tasks, as its owner knows it or reported it last. */
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

	/** Returns the one shard of a team with a limit, which that shard then enforces; null for other teams. */
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

	/** CPUs of the machines that each shard has rented or asked for. */
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
	 * Returns what each shard has for a job: its CPUs, and the unfinished work that goes before the job, with the job
	 * itself, which `homeShard` has already. Work of lower priority counts only where it runs: a guest's vast idle array
	 * waits behind the job, and counted in full it would send all new work to the one shard that has none of it, however
	 * few machines that has (incident 12).
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
