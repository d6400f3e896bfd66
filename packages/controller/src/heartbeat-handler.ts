/** Answers the heartbeats of a shard's machines; a first heartbeat waits until the machine's address is durable. */
import type { Command, Heartbeat } from '@heathroad/wire'
import { isNewerHeartbeat } from './heartbeat-order.js'
import type { HeartbeatReconciler } from './heartbeat-reconciler.js'
import type { MachineCommands } from './machine-commands.js'
import type { MachineGroupWriter } from './machine-group-writer.js'
import type { Machine } from './model.js'
import type { Scheduler } from './scheduler.js'
import type { ShardState } from './state.js'

/** Maximum delay of the response to a first heartbeat, in ms: well within the 4 s that an agent waits (protocol). */
const MAX_RESPONSE_DELAY_MS = 2000

/** Maximum delay of the response to a first heartbeat, as a fraction of the heartbeat interval. */
const MAX_RESPONSE_DELAY_HEARTBEATS = 0.5

/** Response to a heartbeat: the fencing token that the machine must accept, and commands for it. */
export interface HeartbeatResponse {
	fencingToken: number
	commands: Command[]
}

/** Receives the response to a heartbeat; null if this controller must not answer it. */
export type RespondToHeartbeat = (response: HeartbeatResponse | null) => void

/** The other components of the shard that take part in handling a heartbeat. */
export interface HeartbeatHandlerDependencies {
	reconciler: HeartbeatReconciler
	commands: MachineCommands
	scheduler: Scheduler
	machineGroups: MachineGroupWriter
}

/** Handles heartbeats from their arrival to their response. */
export class HeartbeatHandler {
	/** pending responses to first heartbeats, by machine id */
	private readonly delayedResponses = new Map<string, RespondToHeartbeat>()

	constructor(
		private readonly state: ShardState,
		private readonly dependencies: HeartbeatHandlerDependencies,
	) {}

	/** See `Shard.handleHeartbeat`. */
	handle(heartbeat: Heartbeat, respond: RespondToHeartbeat): void {
		const machine = this.state.machines.get(heartbeat.machineId)
		if (machine === undefined || this.state.stopped || heartbeat.fencingToken > machine.fencingToken) {
			respond(null)
			return
		}
		const now = this.state.dependencies.now()
		// Packets were delayed: the task list of an older heartbeat is outdated, and its response will be dropped.
		if (!isNewerHeartbeat(heartbeat, machine)) {
			machine.lastHeartbeatAt = now
			respond({ fencingToken: machine.fencingToken, commands: [] })
			return
		}
		this.dependencies.reconciler.reconcile(machine, heartbeat, { followsResponse: true })
		// Set at arrival, not at the response: a machine that waits for its first response is not silent.
		machine.lastHeartbeatAt = now
		machine.heartbeatReceived = true
		machine.address = heartbeat.address
		if (machine.drainReason === 'silent' && !machine.releasing) machine.drainReason = null
		if (!machine.booted) this.onBooted(machine, now)
		this.dependencies.scheduler.placeTasks([machine])
		if (machine.addressRecorded || machine.drainReason !== null) {
			this.respond(machine, respond)
			return
		}
		this.dependencies.machineGroups.recordAddress(machine.groupName, machine.id, heartbeat.address)
		this.delayResponse(machine, respond)
	}

	private onBooted(machine: Machine, now: number): void {
		machine.booted = true
		this.state.bootTimes.observe(machine.type, now - machine.discoveredAt)
		this.state.dependencies.log('info', 'machine booted', {
			machine: machine.id,
			type: machine.type.name,
			zone: machine.zone,
			spot: machine.spot,
			afterMs: Math.round(now - machine.discoveredAt),
		})
	}

	private respond(machine: Machine, respond: RespondToHeartbeat): void {
		machine.lastHeartbeatAt = this.state.dependencies.now()
		respond({
			fencingToken: machine.fencingToken,
			commands: this.dependencies.commands.forHeartbeat(machine),
		})
	}

	/**
	 * Delays the response to a machine's first heartbeat until the machine may get start commands, that is until its
	 * address is durable. Under load that takes a second; answered at once, the machine would get its first start commands
	 * a whole heartbeat interval later.
	 */
	private delayResponse(machine: Machine, respond: RespondToHeartbeat): void {
		this.delayedResponses.get(machine.id)?.(null)
		this.delayedResponses.set(machine.id, respond)
		const delayMs = Math.min(
			this.state.config.limits.heartbeatMs * MAX_RESPONSE_DELAY_HEARTBEATS,
			MAX_RESPONSE_DELAY_MS,
		)
		setTimeout(() => {
			if (this.delayedResponses.get(machine.id) === respond) this.sendDelayedResponse(machine)
		}, delayMs)
	}

	/** Sends the delayed response to the machine's first heartbeat now, if there is one. */
	sendDelayedResponse(machine: Machine): void {
		const respond = this.delayedResponses.get(machine.id)
		if (respond === undefined) return
		this.delayedResponses.delete(machine.id)
		const isCurrent = !this.state.stopped && this.state.machines.get(machine.id) === machine
		if (!isCurrent || this.state.dependencies.leadership() === 'none') respond(null)
		else this.respond(machine, respond)
	}

	/** Called when the machine is removed: drops its delayed response, if any, so that another controller answers. */
	onMachineRemoved(machine: Machine): void {
		this.delayedResponses.get(machine.id)?.(null)
		this.delayedResponses.delete(machine.id)
	}

	/** Drops all delayed responses when the shard stops. */
	stop(): void {
		for (const respond of this.delayedResponses.values()) respond(null)
		this.delayedResponses.clear()
	}
}
