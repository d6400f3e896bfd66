/** Resource usage of teams, compared with their guarantees (quotas) and limits. */
import type { TeamLimit } from '@heathroad/policy'
import type { ShardDependencies } from './shard-dependencies.js'

/** CPUs and GPUs in use. */
export interface TeamResources {
	cpus: number
	gpus: number
}

/** Counts the resources that attempts in this shard hold by team, and compares usage with the teams' guarantees. */
export class TeamUsage {
	private readonly usageByTeam = new Map<string, TeamResources>()
	private readonly limitsByTeam: ReadonlyMap<string, TeamLimit>

	constructor(
		private readonly shardId: number,
		teams: readonly TeamLimit[],
		private readonly dependencies: Pick<ShardDependencies, 'usageInOtherShards'>,
	) {
		this.limitsByTeam = new Map(teams.map((team) => [team.name, team]))
	}

	/** The team's guarantee and limit; undefined for a team that is not configured. */
	limitOf(team: string): TeamLimit | undefined {
		return this.limitsByTeam.get(team)
	}

	/** Resources that the team's attempts hold in this shard. */
	inShard(team: string): TeamResources {
		return this.usageByTeam.get(team) ?? { cpus: 0, gpus: 0 }
	}

	/** Adds the resources of an attempt of the team. */
	add(team: string, resources: TeamResources): void {
		const used = this.inShard(team)
		used.cpus += resources.cpus
		used.gpus += resources.gpus
		this.usageByTeam.set(team, used)
	}

	/** Subtracts the resources of an attempt of the team. */
	subtract(team: string, resources: TeamResources): void {
		const used = this.usageByTeam.get(team)
		if (used === undefined) return
		used.cpus -= resources.cpus
		used.gpus -= resources.gpus
	}

	/** Usage in all shards, for other shards as last reported by their owners: guarantees hold cluster-wide. */
	private inAllShards(team: string): TeamResources {
		const here = this.inShard(team)
		const elsewhere = this.dependencies.usageInOtherShards(this.shardId, team)
		return { cpus: here.cpus + elsewhere.cpus, gpus: here.gpus + elsewhere.gpus }
	}

	/** The team's limit if it includes a guarantee. */
	private guaranteeOf(team: string): TeamLimit | null {
		const limit = this.limitOf(team)
		return limit === undefined || (limit.cpus <= 0 && limit.gpus <= 0) ? null : limit
	}

	/** Returns whether one more task of this size stays within the team's guarantee. */
	isWithinGuarantee(task: TeamResources & { team: string }): boolean {
		const guarantee = this.guaranteeOf(task.team)
		if (guarantee === null) return false
		const used = this.inAllShards(task.team)
		return used.cpus + task.cpus <= guarantee.cpus && used.gpus + task.gpus <= guarantee.gpus
	}

	/** Returns whether the team uses more than its guarantee; true for teams without one. */
	exceedsGuarantee(team: string): boolean {
		const guarantee = this.guaranteeOf(team)
		if (guarantee === null) return true
		const used = this.inAllShards(team)
		return used.cpus > guarantee.cpus || used.gpus > guarantee.gpus
	}
}
