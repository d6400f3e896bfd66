/** Adoption of machines that send heartbeats but have no record. */
import type { Shard } from '@heathroad/controller'
import type { Heartbeat } from '@heathroad/wire'
import type { ControllerContext } from './controller-context.js'
import { UNAVAILABLE } from './http-replies.js'
import type { Respond } from './http-server.js'

/** A heartbeat that waits for its response. */
interface PendingHeartbeat {
	heartbeat: Heartbeat
	respond: Respond
}

/** Functions that adoption calls on the heartbeat router. */
export interface AdoptionDependencies {
	/** Calls back once everything durable before the call is in the watch cache, or with false. */
	afterLinearizableRead(done: (ok: boolean) => void): void
	/** Returns the shard that a machine belongs to. */
	shardIdOf(heartbeat: Heartbeat): number
	/** Forwards the heartbeat of a registered machine to its shard, which responds. */
	forward(heartbeat: Heartbeat, respond: Respond): void
}

/**
 * Adopts unregistered machines. A machine without a record was up before this controller, or was rented by a call that
 * was executed late. The shard that its id hashes to adopts it once a read that started after its heartbeat shows neither
 * its record nor a pending rental that could still add one: two shards must never have the same machine.
 */
export class UnregisteredMachines {
	/** heartbeats of machines that are proven to have no record, to be adopted together */
	private provenUnregistered: PendingHeartbeat[] = []

	constructor(
		private readonly context: ControllerContext,
		private readonly dependencies: AdoptionDependencies,
	) {}

	/** Handles the heartbeat of a machine that has no record in the watch cache. */
	handleHeartbeat(heartbeat: Heartbeat, respond: Respond): void {
		this.dependencies.afterLinearizableRead((isCurrent) => {
			if (!isCurrent) return respond(UNAVAILABLE)
			this.provenUnregistered.push({ heartbeat, respond })
			// Heartbeats that shared the read are handled together.
			if (this.provenUnregistered.length === 1) queueMicrotask(() => this.adoptProven())
		})
	}

	private adoptProven(): void {
		const pending = this.provenUnregistered
		this.provenUnregistered = []
		const groups = new Map<string, PendingHeartbeat[]>()
		for (const pendingHeartbeat of pending) this.assignToGroup(pendingHeartbeat, groups)
		for (const group of groups.values()) this.adoptGroup(group)
	}

	/** Groups a machine with others of its shard, type and zone, unless it is registered by now or may still be. */
	private assignToGroup(pending: PendingHeartbeat, groups: Map<string, PendingHeartbeat[]>): void {
		const { heartbeat, respond } = pending
		const { machineGroups } = this.context
		const shardId = this.dependencies.shardIdOf(heartbeat)
		if (machineGroups.groupOf(heartbeat.machineId) !== undefined) {
			this.dependencies.forward(heartbeat, respond)
			return
		}
		if (machineGroups.hasPendingRental(heartbeat) || this.context.shard(shardId) === undefined) {
			respond(UNAVAILABLE)
			return
		}
		const key = `${shardId}/${heartbeat.machineType}/${heartbeat.zone}/${heartbeat.spot}`
		groups.set(key, [...(groups.get(key) ?? []), pending])
	}

	private adoptGroup(group: readonly PendingHeartbeat[]): void {
		const heartbeats = group.map(({ heartbeat }) => heartbeat)
		this.owningShard(heartbeats[0]).adoptMachines(heartbeats, () => {
			for (const { heartbeat, respond } of group) this.dependencies.forward(heartbeat, respond)
		})
	}

	private owningShard(heartbeat: Heartbeat): Shard {
		const shardId = this.dependencies.shardIdOf(heartbeat)
		const shard = this.context.shard(shardId)
		// Machines are grouped in the same synchronous step, and only those of owned shards.
		if (shard === undefined) throw new Error(`shard ${shardId} is not owned here`)
		return shard
	}
}
