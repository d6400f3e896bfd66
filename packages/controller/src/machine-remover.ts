/** Removes machines from a shard: after their record went, or by returning them to the cloud (scale-in). */

import type { HeartbeatHandler } from './heartbeat-handler.js'
import type { MachineGroupWriter } from './machine-group-writer.js'
import type { Machine } from './model.js'
import type { Scheduler } from './scheduler.js'
import type { ShardState } from './state.js'
import type { TakeoverReconciler } from './takeover-reconciler.js'

/** The most machines that one call to the cloud may release (protocol). */
const MAX_MACHINES_PER_RELEASE = 100

/** Pause before an unconfirmed release is repeated, in controller leases: the call rate stays free after an outage. */
const RELEASE_RETRY_CONTROLLER_LEASES = 0.5

/** The other components of a shard that removing a machine involves. */
export interface MachineRemoverDependencies {
	heartbeats: HeartbeatHandler
	takeover: TakeoverReconciler
	machineGroups: MachineGroupWriter
	scheduler: Scheduler
}

/** Releases machines to the cloud and removes all that the shard has on record of machines that are gone. */
export class MachineRemover {
	constructor(
		private readonly state: ShardState,
		private readonly dependencies: MachineRemoverDependencies,
	) {}

	/** Removes a machine that is gone, or is another shard's: its tasks may be started elsewhere. */
	remove(machine: Machine): void {
		this.dependencies.heartbeats.onMachineRemoved(machine)
		for (const attempt of [...machine.attempts.values()]) this.state.removeAttempt(machine, attempt)
		this.state.machines.delete(machine.id)
		this.dependencies.takeover.onMachineRemoved(machine)
	}

	/** Returns machines to the cloud, as many of them as one call takes. A machine in release is never used again. */
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
			// The release may still be carried out late, so the machines stay in release and it is only repeated.
			const pauseMs = this.state.config.limits.controllerLeaseMs * RELEASE_RETRY_CONTROLLER_LEASES
			for (const machine of remaining) machine.retryReleaseAt = this.state.dependencies.now() + pauseMs
			return
		}
		for (const machine of remaining) {
			this.remove(machine)
			this.dependencies.machineGroups.removeMachine(machine.groupName, machine.id)
		}
		this.dependencies.scheduler.placeTasks(this.state.machines.values())
	}
}
