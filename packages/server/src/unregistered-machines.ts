/** Adopts machines that send heartbeats but have no record. */
import type { Shard } from '@heathroad/controller'
import type { Heartbeat } from '@heathroad/wire'
import type { ControllerContext } from './controller-context.js'
import { UNAVAILABLE } from './http-replies.js'
import type { Respond } from './http-server.js'

/** A heartbeat that waits for its answer. */
interface PendingHeartbeat {
	heartbeat: Heartbeat
	respond: Respond
}

/** What adoption needs of the heartbeats' router. */
export interface AdoptionPorts {
	/** Calls back once everything durable before the call is in the watch cache, or with false. */
	afterLinearizableRead(done: (ok: boolean) => void): void
	/** Returns the shard that a machine belongs to. */
	shardIdOf(heartbeat: Heartbeat): number
	/** Has the heartbeat of a registered machine answered by its shard. */
	forward(heartbeat: Heartbeat, respond: Respond): void
}

/**
 * A machine without a record was up before this controller, or was rented by a call that was carried out late. It is
 * adopted by the shard that its name falls to, once a read begun after its heartbeat shows neither a record of it nor a
 * rental whose answer could still bring one: two shards must never have the same machine.
 */
export class UnregisteredMachines {
	/** heartbeats of machines that are proven to have no record, about to be adopted together */
	private provenUnregistered: PendingHeartbeat[] = []

	constructor(
		private readonly context: ControllerContext,
		private readonly ports: AdoptionPorts,
	) {}

	/** Handles the heartbeat of a machine that has no record as far as is known here. */
	handleHeartbeat(heartbeat: Heartbeat, respond: Respond): void {
		this.ports.afterLinearizableRead((isCurrent) => {
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

	/** Adds a machine to others of its shard, type and zone, unless it is registered by now or may yet be. */
	private assignToGroup(pending: PendingHeartbeat, groups: Map<string, PendingHeartbeat[]>): void {
		const { heartbeat, respond } = pending
		const { machineGroups } = this.context
		const shardId = this.ports.shardIdOf(heartbeat)
		if (machineGroups.groupOf(heartbeat.machineId) !== undefined) {
			this.ports.forward(heartbeat, respond)
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
			for (const { heartbeat, respond } of group) this.ports.forward(heartbeat, respond)
		})
	}

	private owningShard(heartbeat: Heartbeat): Shard {
		const shardId = this.ports.shardIdOf(heartbeat)
		const shard = this.context.shard(shardId)
		// Only machines of shards that are ours are grouped, in the same step.
		if (shard === undefined) throw new Error(`shard ${shardId} is not owned here`)
		return shard
	}
}
