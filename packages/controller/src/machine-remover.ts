/** Removes machines from a shard: after their record is removed, or by releasing them to the cloud (scale-in). */

import type { HeartbeatHandler } from './heartbeat-handler.js'
import type { MachineGroupWriter } from './machine-group-writer.js'
import type { Machine } from './model.js'
import type { Scheduler } from './scheduler.js'
import type { ShardState } from './state.js'
import type { TakeoverReconciler } from './takeover-reconciler.js'

/** Maximum number of machines in one release call to the cloud (protocol). */
const MAX_MACHINES_PER_RELEASE = 100

/** Delay before an unconfirmed release is retried, in controller leases: leaves call rate for others after an outage. */
const RELEASE_RETRY_CONTROLLER_LEASES = 0.5

/** Components of the shard that take part in removing a machine. */
export interface MachineRemoverDependencies {
	heartbeats: HeartbeatHandler
	takeover: TakeoverReconciler
	machineGroups: MachineGroupWriter
	scheduler: Scheduler
}

/** Releases machines to the cloud, and removes machines that are gone from the shard's state and records. */
export class MachineRemover {
	constructor(
		private readonly state: ShardState,
		private readonly dependencies: MachineRemoverDependencies,
	) {}

	/** Removes a machine that is gone or belongs to another shard; its tasks may start elsewhere. */
	remove(machine: Machine): void {
		this.dependencies.heartbeats.onMachineRemoved(machine)
		for (const attempt of [...machine.attempts.values()]) this.state.removeAttempt(machine, attempt)
		this.state.machines.delete(machine.id)
		this.dependencies.takeover.onMachineRemoved(machine)
	}

	/** Releases machines to the cloud, up to the maximum of one call. A machine being released is never used again. */
	release(requested: readonly Machine[]): void {
		const machines = requested.slice(0, MAX_MACHINES_PER_RELEASE)
		for (const machine of machines) {
			machine.releasing = true
			machine.retryReleaseAt = Number.POSITIVE_INFINITY
		}
		this.state.dependencies.log('info', 'machines releasing', {
			machines: machines.map((machine) => `${machine.id} (${machine.drainReason})`),
		})
		this.state.dependencies.releaseMachines(
			machines.map((machine) => machine.id),
			(gone) => this.onReleaseAnswered(machines, gone),
		)
	}

	private onReleaseAnswered(machines: readonly Machine[], gone: boolean): void {
		if (this.state.stopped) return
		const remaining = machines.filter((machine) => this.state.machines.get(machine.id) === machine)
		if (!gone) {
			// The cloud may still apply the release, so the machines stay marked as releasing and the call is retried.
			const delayMs = this.state.config.limits.controllerLeaseMs * RELEASE_RETRY_CONTROLLER_LEASES
			for (const machine of remaining) machine.retryReleaseAt = this.state.dependencies.now() + delayMs
			return
		}
		for (const machine of remaining) {
			this.remove(machine)
			this.dependencies.machineGroups.removeMachine(machine.groupName, machine.id)
		}
		this.dependencies.scheduler.placeTasks(this.state.machines.values())
	}
}
