/** Routes machines' heartbeats to their shard, or redirects them to the controller that owns it. */
import { hashName } from '@heathroad/cluster'
import { encodeCommands, type Heartbeat, parseHeartbeat } from '@heathroad/wire'
import type { ControllerContext } from './controller-context.js'
import { UNAVAILABLE } from './http-replies.js'
import type { Respond } from './http-server.js'
import type { LocalStatus } from './local-status.js'
import { UnregisteredMachines } from './unregistered-machines.js'

/** Delay of the extra gossip in controller leases, so that many lookups share one message. */
const GOSSIP_DELAY_LEASES = 0.04

/** Handles the heartbeats of machines of all shards. */
export class HeartbeatRouter {
	private readonly unregisteredMachines: UnregisteredMachines
	private gossipScheduled = false

	constructor(
		private readonly context: ControllerContext,
		private readonly localStatus: LocalStatus,
		afterLinearizableRead: (done: (ok: boolean) => void) => void,
	) {
		this.unregisteredMachines = new UnregisteredMachines(context, {
			afterLinearizableRead,
			shardIdOf: (heartbeat) => this.shardIdOf(heartbeat),
			forward: (heartbeat, respond) => this.forward(heartbeat, respond),
		})
	}

	/**
	 * Handles the body of a heartbeat and responds with 200 and commands, 400 to an invalid heartbeat, 421 with the owner
	 * if that is another controller, or 503 while this cannot be decided.
	 */
	handle(body: unknown, respond: Respond): void {
		const heartbeat = parseHeartbeat(body)
		if (heartbeat === null) {
			respond({ status: 400, body: { error: 'not a report' } })
			return
		}
		if (this.context.cache.revision < 0) {
			respond(UNAVAILABLE)
			return
		}
		const shardId = this.shardIdOf(heartbeat)
		if (this.context.shard(shardId) === undefined) {
			this.redirectToOwner(heartbeat.machineId, shardId, respond)
			return
		}
		if (this.context.machineGroups.groupOf(heartbeat.machineId) === undefined)
			this.unregisteredMachines.handleHeartbeat(heartbeat, respond)
		else this.forward(heartbeat, respond)
	}

	private redirectToOwner(machineId: string, shardId: number, respond: Respond): void {
		const { membership, config } = this.context
		this.localStatus.onOwnerLookup(machineId, shardId)
		const owner = membership.ownerOf(shardId)
		// A machine that is redirected to an owner it cannot reach would wait there for most of its lease.
		const isReachable = owner?.alive && owner.receivesHeartbeats && owner.name !== config.limits.self
		if (owner?.alive && !owner.receivesHeartbeats) this.scheduleGossip()
		respond({ status: 421, body: isReachable ? { overseer: owner.name } : {} })
	}

	/** Schedules an extra gossip that reports owner lookups to peers early. */
	private scheduleGossip(): void {
		if (this.gossipScheduled) return
		this.gossipScheduled = true
		setTimeout(() => {
			this.gossipScheduled = false
			this.context.membership.gossip()
		}, this.context.config.limits.controllerLeaseMs * GOSSIP_DELAY_LEASES)
	}

	/** Returns the shard of the machine's group, or the one that an unregistered machine's id hashes to. */
	private shardIdOf({ machineId }: Heartbeat): number {
		const group = this.context.machineGroups.groupOf(machineId)
		return group?.shardId ?? hashName(machineId) % this.context.config.limits.controllerNames.length
	}

	private forward(heartbeat: Heartbeat, respond: Respond): void {
		const shard = this.context.shard(this.shardIdOf(heartbeat))
		if (shard === undefined || this.context.membership.leadership() === 'none') {
			respond(UNAVAILABLE)
			return
		}
		shard.handleHeartbeat(heartbeat, (answer) => {
			if (answer === null) return respond(UNAVAILABLE)
			respond({ status: 200, body: encodeCommands(answer.fencingToken, answer.commands) })
		})
	}
}
