/** Reconciliation after a takeover: finds out what runs where; no old task is restarted before it is complete. */
import { RangeSet, reconciliationWaitMs } from '@heathroad/policy'
import type { Heartbeat } from '@heathroad/wire'
import type { JobRun, Machine } from './model.js'
import type { Scheduler } from './scheduler.js'
import type { ShardState } from './state.js'

/** Share of the controller's sockets available for probes: each needs a connection; the rest serves other work. */
const PROBE_SOCKET_SHARE = 1 / 4

/** Maximum wait before a few missing machines are released, in heartbeat intervals. */
const MAX_MISSING_MACHINE_WAIT_HEARTBEATS = 3

/** Actions of other components of the shard that the reconciliation uses. */
export interface TakeoverActions {
	/** reconciles the machine with the heartbeat in its response to a probe */
	reconcile(machine: Machine, heartbeat: Heartbeat): void
	/** starts to release machines to the cloud */
	release(machines: readonly Machine[]): void
}

/** Tracks the machines that may hold tasks of a former owner until each has reported or is known to be empty. */
export class TakeoverReconciler {
	/** ids of machines that may hold tasks of a former owner and have not reported with this owner's token yet */
	private readonly unconfirmed = new Set<string>()
	private openProbes = 0
	private readonly takenOverAt: number

	constructor(
		private readonly state: ShardState,
		private readonly scheduler: Scheduler,
		private readonly actions: TakeoverActions,
	) {
		this.takenOverAt = state.dependencies.now()
	}

	/** Ids of the machines that are not accounted for yet. */
	get unconfirmedMachines(): ReadonlySet<string> {
		return this.unconfirmed
	}

	/** Begins reconciliation once all recorded machines are added: those with an address may hold tasks. */
	begin(): void {
		for (const machine of this.state.machines.values())
			if (machine.addressRecorded) this.unconfirmed.add(machine.id)
		this.state.reconciled = this.unconfirmed.size === 0
	}

	/** Probes the unconfirmed machines for their tasks, up to the number of sockets for probes at a time. */
	probeUnconfirmed(): void {
		for (const id of this.unconfirmed) {
			const machine = this.state.machines.get(id)
			if (machine !== undefined) this.probe(machine)
		}
	}

	private probe(machine: Machine): void {
		const maxProbes = this.state.config.limits.maxSockets * PROBE_SOCKET_SHARE
		// Later ticks probe the remaining machines.
		if (machine.address === null || machine.probing || this.openProbes >= maxProbes) return
		machine.probing = true
		this.openProbes++
		this.state.dependencies.sendCommands(
			machine.address,
			machine.fencingToken,
			machine.agentEpoch > 0 ? machine.agentEpoch : 1,
			[],
			(status, heartbeat) => {
				machine.probing = false
				this.openProbes--
				if (heartbeat !== null) this.onProbeAnswered(machine, status, heartbeat)
			},
		)
	}

	private onProbeAnswered(machine: Machine, status: number, heartbeat: Heartbeat): void {
		const isCurrent = this.state.machines.get(machine.id) === machine
		if (this.state.stopped || machine.reconciled || !isCurrent) return
		if (status === 200) {
			this.actions.reconcile(machine, heartbeat)
			return
		}
		// 409 contains the current agent epoch (or a newer owner's token): the probe is retried with that epoch.
		const isOtherEpoch = status === 409 && heartbeat.agentEpoch !== machine.agentEpoch
		if (isOtherEpoch && heartbeat.fencingToken <= machine.fencingToken) {
			machine.agentEpoch = heartbeat.agentEpoch
			this.probe(machine)
		}
	}

	/** Confirms a machine whose tasks are known or that no longer holds any. */
	confirm(machine: Machine): void {
		if (!this.unconfirmed.delete(machine.id) || this.unconfirmed.size > 0) return
		this.complete()
	}

	/** Handles the removal of a machine from the shard. */
	onMachineRemoved(machine: Machine): void {
		this.unconfirmed.delete(machine.id)
		if (!this.state.reconciled && this.unconfirmed.size === 0) this.complete()
	}

	/** Completes the reconciliation: every machine is accounted for, and tasks that are on none become ready. */
	private complete(): void {
		this.state.reconciled = true
		for (const job of this.state.jobs.values()) if (!job.isReconciled) this.completeJob(job)
		this.state.queueDirty = true
		this.state.dependencies.log('info', 'shard reconciled', {
			part: this.state.shardId,
			afterMs: Math.round(this.state.dependencies.now() - this.takenOverAt),
		})
		this.scheduler.placeTasks(this.state.machines.values())
	}

	private completeJob(job: JobRun): void {
		job.isReconciled = true
		if (job.isTerminal) return
		job.readyTasks = RangeSet.full(job.spec.tasks)
		job.readyTasks.deleteAll(job.doneTasks)
		for (const task of job.placements.keys()) job.readyTasks.delete(task)
		for (const task of job.orphanCounts.keys()) job.readyTasks.delete(task)
	}

	/**
	 * Continues an incomplete reconciliation: probes again, and after some time releases a few machines that neither
	 * respond nor send heartbeats. A confirmed release proves them empty sooner than lease expiry. The fewer are missing,
	 * the shorter the wait; if many are missing, it is more likely that this controller is partitioned.
	 */
	tick(now: number): void {
		const missing = [...this.unconfirmed].flatMap((id) => this.state.machines.get(id) ?? [])
		for (const machine of missing) this.probe(machine)
		const { heartbeatMs, controllerLeaseMs } = this.state.config.limits
		const maxWaitMs = Math.min(heartbeatMs * MAX_MISSING_MACHINE_WAIT_HEARTBEATS, controllerLeaseMs)
		const waitMs = reconciliationWaitMs(missing.length, this.state.machines.size, maxWaitMs)
		if (waitMs === null || now - this.takenOverAt <= waitMs) return
		if (this.state.dependencies.leadership() !== 'lease' || this.state.dependencies.availableCloudCalls() < 1)
			return
		const blocking = missing.filter((machine) => !machine.releasing)
		if (blocking.length === 0) return
		for (const machine of blocking) machine.drainReason = 'unreachable after a takeover'
		this.actions.release(blocking)
	}
}
