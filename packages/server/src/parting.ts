import { countRecordedDone, hashName, type JobRecord } from '@heathroad/cluster'
import {
	allOffers,
	isAllowedOn,
	leastLoadedShard,
	offerKey,
	priorityRank,
	type ShardLoad,
	worthMigrating,
} from '@heathroad/policy'
import { type JobSpec, PRIORITIES } from '@heathroad/wire'
import type { ControllerContext } from './core.js'

const amount = (s: JobSpec, tasks: number): number => tasks * Math.max(0.1, s.cpus) * Math.max(1, s.expectedS)

/** The unfinished work of every part, by the priority of its jobs, counted once for several choices. */
interface Load {
	cpus: number[]
	/** by part, by rank: all of it, and of what runs half */
	work: { all: number[]; running: number[] }[]
	stranded: Set<number>
}

/** Which part a job goes to: a new one, and one that its part cannot serve. */
export class ShardRouter {
	constructor(private readonly context: ControllerContext) {}

	/** The part for a new job. */
	chooseShard(spec: JobSpec): number {
		const fixed = this.fixed(spec)
		if (fixed !== null) return fixed
		// Ties are broken by the job's name, so that first jobs at several controllers spread.
		return this.roomiest(spec, this.rooms(spec, this.load(), null), hashName(spec.uid) % this.parts())
	}

	/**
	 * For jobs that wait in a part, one after the other: where each would be served better by far, given where those before
	 * it go; null: it stays. `leaving`: jobs on their way already.
	 */
	migrationPlanner(
		shardId: number,
		leaving: readonly { spec: JobSpec; to: number }[],
	): (spec: JobSpec) => number | null {
		const load = this.load()
		const move = (spec: JobSpec, to: number) => {
			load.work[to].all[priorityRank(spec.priority)] += amount(spec, spec.tasks)
			load.work[shardId].all[priorityRank(spec.priority)] -= amount(spec, spec.tasks)
		}
		for (const l of leaving) move(l.spec, l.to)
		return (spec) => {
			if (this.fixed(spec) !== null) return null
			const rooms = this.rooms(spec, load, shardId)
			const to = this.roomiest(spec, rooms, shardId)
			if (to === shardId || !worthMigrating(rooms[shardId], rooms[to], this.largest())) return null
			move(spec, to)
			return to
		}
	}

	/** Tasks of an open job that run, as its owner knows or last told. */
	runningTaskCount(uid: string, record: JobRecord): number {
		const job = this.context.shard(record.shardId)?.jobs.get(uid)
		if (job !== undefined) return job.isTerminal ? 0 : job.runningCount()
		const owner = this.context.membership.peers.find((p) => p.name === this.context.ownerName(record.shardId))
		return Number(owner?.status?.runningTasks[uid] ?? 0)
	}

	private parts(): number {
		return this.context.config.limits.controllerNames.length
	}

	private largest(): number {
		return Math.max(1, ...this.context.machineTypes().map((t) => t.cpus))
	}

	/** A team with a limit stays in one part, which then keeps it. */
	private fixed(spec: JobSpec): number | null {
		const team = this.context.config.settings.deployment.teams.find((t) => t.name === spec.team)
		return team !== undefined && (team.cpus_max > 0 || team.gpus_max > 0)
			? hashName(spec.team) % this.parts()
			: null
	}

	private roomiest(spec: JobSpec, rooms: readonly ShardLoad[], first: number): number {
		const grows = allOffers(this.context.machineTypes()).some(
			(offer) => isAllowedOn(spec, offer) && !this.context.offerAvailability.wasRefusedLast(offerKey(offer)),
		)
		return leastLoadedShard(rooms, this.largest(), grows, first)
	}

	private load(): Load {
		const parts = this.parts()
		const types = this.context.machineTypes()
		const cpus = new Array<number>(parts).fill(0)
		for (const f of this.context.machineGroups.records.values()) {
			const machines = f.requestedCount + Object.keys(f.addresses).length
			if (f.shardId < parts)
				cpus[f.shardId] += machines * (types.find((t) => t.name === f.machineType)?.cpus ?? 0)
		}
		const ranks = () => PRIORITIES.map(() => 0)
		const work = cpus.map(() => ({ all: ranks(), running: ranks() }))
		const suspects = this.context.quarantinedJobs()
		for (const uid of this.context.jobs.openJobs) {
			// It gets one trial at a time: no work to speak of.
			if (suspects.has(uid)) continue
			const record = this.context.jobs.get(uid)?.record
			if (record?.spec === undefined || record.shardId >= parts) continue
			if (this.context.isPendingRelease(uid, record)) continue
			const r = priorityRank(record.spec.priority)
			const done = countRecordedDone(uid, record, (key) => this.context.cache.get(key)?.data)
			work[record.shardId].all[r] += amount(record.spec, record.spec.tasks - done)
			work[record.shardId].running[r] += amount(record.spec, this.runningTaskCount(uid, record) / 2)
		}
		return { cpus, work, stranded: this.context.partitionedShards() }
	}

	/**
	 * What each part has for a job: its CPUs, and the unfinished work that goes before the job, with the job itself, which
	 * `home` has already. Work of lower priority counts only where it runs: a guest's vast idle array waits behind the
	 * job, and counted in full it would send all new work to the one part that has none of it, however few machines
	 * that has (incident 12).
	 */
	private rooms(spec: JobSpec, load: Load, home: number | null): ShardLoad[] {
		const own = priorityRank(spec.priority)
		return load.cpus.map((cpus, shardId) => {
			let work = shardId === home ? 0 : amount(spec, spec.tasks)
			for (let r = 0; r < PRIORITIES.length; r++)
				work += r >= own ? load.work[shardId].all[r] : load.work[shardId].running[r]
			return { cpus, work, partitioned: load.stranded.has(shardId) }
		})
	}
}
