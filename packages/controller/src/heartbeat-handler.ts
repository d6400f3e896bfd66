/** Answers the heartbeats of a shard's machines; first heartbeats wait until the machine's address is durable. */
import type { Command, Heartbeat } from '@heathroad/wire'
import { isNewerHeartbeat } from './heartbeat-order.js'
import type { HeartbeatReconciler } from './heartbeat-reconciler.js'
import type { MachineCommands } from './machine-commands.js'
import type { MachineGroupWriter } from './machine-group-writer.js'
import type { Machine } from './model.js'
import type { Scheduler } from './scheduler.js'
import type { ShardState } from './state.js'

/** The longest wait of a first heartbeat for its response, in ms: well within the 4 s that an agent waits (protocol). */
const MAX_RESPONSE_DELAY_MS = 2000

/** The same as a share of the heartbeat interval. */
const MAX_RESPONSE_DELAY_HEARTBEATS = 0.5

/** Response to a heartbeat: the fencing token that the machine is to accept, and commands. */
export interface HeartbeatResponse {
	fencingToken: number
	commands: Command[]
}

/** Receives the response to a heartbeat; null if this controller is not the one to answer it. */
export type RespondToHeartbeat = (response: HeartbeatResponse | null) => void

/** The other components of a shard that handling a heartbeat involves. */
export interface HeartbeatHandlerDependencies {
	reconciler: HeartbeatReconciler
	commands: MachineCommands
	scheduler: Scheduler
	machineGroups: MachineGroupWriter
}

/** Handles heartbeats from their arrival to their response. */
export class HeartbeatHandler {
	/** first heartbeats that wait for their response, by machine */
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
		// An old heartbeat is late because packets were delayed: its task list is outdated, and its response is dropped.
		if (!isNewerHeartbeat(heartbeat, machine)) {
			machine.lastHeartbeatAt = now
			respond({ fencingToken: machine.fencingToken, commands: [] })
			return
		}
		this.dependencies.reconciler.reconcile(machine, heartbeat, { followsResponse: true })
		// Counts from its arrival, whenever it is answered: a machine that waits for its first response is not silent.
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
	 * A machine's first heartbeat is answered when the machine may get start commands, that is when its address is
	 * durable: under load that takes a second, and answered at once the machine would be back only a whole heartbeat
	 * interval later.
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

	/** Answers the machine's first heartbeat now if it waits. */
	sendDelayedResponse(machine: Machine): void {
		const respond = this.delayedResponses.get(machine.id)
		if (respond === undefined) return
		this.delayedResponses.delete(machine.id)
		const isCurrent = !this.state.stopped && this.state.machines.get(machine.id) === machine
		if (!isCurrent || this.state.dependencies.leadership() === 'none') respond(null)
		else this.respond(machine, respond)
	}

	/** The machine is removed: its waiting heartbeat, if any, is left to others. */
	onMachineRemoved(machine: Machine): void {
		this.delayedResponses.get(machine.id)?.(null)
		this.delayedResponses.delete(machine.id)
	}

	/** The shard stops: no waiting heartbeat is answered here. */
	stop(): void {
		for (const respond of this.delayedResponses.values()) respond(null)
		this.delayedResponses.clear()
	}
}
