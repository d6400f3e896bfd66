/** Rebuilds, after a takeover, the knowledge of what runs where: no old task is started again before that is complete. */
import { RangeSet, reconciliationWaitMs } from '@heathroad/policy'
import type { Heartbeat } from '@heathroad/wire'
import type { JobRun, Machine } from './model.js'
import type { Scheduler } from './scheduler.js'
import type { ShardState } from './state.js'

/** Share of the controller's sockets that probes may use: each needs a connection, and the rest is for other work. */
const PROBE_SOCKET_SHARE = 1 / 4

/** Heartbeat intervals after which, at the latest, a few missing machines are released. */
const MAX_PATIENCE_HEARTBEATS = 3

/** What the reconciliation after a takeover asks of other components of the shard. */
export interface TakeoverActions {
	/** takes over a heartbeat that came in the answer to a probe */
	reconcile(machine: Machine, heartbeat: Heartbeat): void
	/** starts to return machines to the cloud */
	release(machines: readonly Machine[]): void
}

/** Tracks the machines that may hold tasks of a former owner until each has reported, or is known to be empty. */
export class TakeoverReconciler {
	/** machines that may hold tasks of a former owner and have not reported under this owner's token yet */
	private readonly unconfirmed = new Set<string>()
	private openProbes = 0
	private readonly takenOverAt: number

	constructor(
		private readonly state: ShardState,
		private readonly scheduler: Scheduler,
		private readonly actions: TakeoverActions,
	) {
		this.takenOverAt = state.ports.now()
	}

	/** Identifiers of the machines that are not accounted for yet. */
	get unconfirmedMachines(): ReadonlySet<string> {
		return this.unconfirmed
	}

	/** All machines of the records are known: those with an address may hold tasks. */
	begin(): void {
		for (const machine of this.state.machines.values())
			if (machine.addressRecorded) this.unconfirmed.add(machine.id)
		this.state.reconciled = this.unconfirmed.size === 0
	}

	/** Asks the unconfirmed machines for their tasks, as many at a time as there are sockets for. */
	probeUnconfirmed(): void {
		for (const id of this.unconfirmed) {
			const machine = this.state.machines.get(id)
			if (machine !== undefined) this.probe(machine)
		}
	}

	private probe(machine: Machine): void {
		const maxProbes = this.state.config.limits.maxSockets * PROBE_SOCKET_SHARE
		// The rest is probed by later ticks.
		if (machine.address === null || machine.probing || this.openProbes >= maxProbes) return
		machine.probing = true
		this.openProbes++
		this.state.ports.sendCommands(
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
		// 409 carries the present agent epoch (or a newer owner's token): the probe is repeated with the right one.
		const isOtherEpoch = status === 409 && heartbeat.agentEpoch !== machine.agentEpoch
		if (isOtherEpoch && heartbeat.fencingToken <= machine.fencingToken) {
			machine.agentEpoch = heartbeat.agentEpoch
			this.probe(machine)
		}
	}

	/** What this machine holds is known, or it holds nothing any more. */
	confirm(machine: Machine): void {
		if (!this.unconfirmed.delete(machine.id) || this.unconfirmed.size > 0) return
		this.complete()
	}

	/** The machine was removed from the shard. */
	onMachineRemoved(machine: Machine): void {
		this.unconfirmed.delete(machine.id)
		if (!this.state.reconciled && this.unconfirmed.size === 0) this.complete()
	}

	/** Every machine is accounted for: tasks that are nowhere become ready. */
	private complete(): void {
		this.state.reconciled = true
		for (const job of this.state.jobs.values()) if (!job.isReconciled) this.completeJob(job)
		this.state.queueDirty = true
		this.state.ports.log('info', 'shard reconciled', {
			part: this.state.shardId,
			afterMs: Math.round(this.state.ports.now() - this.takenOverAt),
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
	 * answer nor send heartbeats. A confirmed release proves them empty sooner than their leases would, the sooner the
	 * fewer they are; if many are missing it is rather this controller that is cut off.
	 */
	tick(now: number): void {
		const missing = [...this.unconfirmed].flatMap((id) => this.state.machines.get(id) ?? [])
		for (const machine of missing) this.probe(machine)
		const { heartbeatMs, controllerLeaseMs } = this.state.config.limits
		const maxPatienceMs = Math.min(heartbeatMs * MAX_PATIENCE_HEARTBEATS, controllerLeaseMs)
		const patienceMs = reconciliationWaitMs(missing.length, this.state.machines.size, maxPatienceMs)
		if (patienceMs === null || now - this.takenOverAt <= patienceMs) return
		if (this.state.ports.leadership() !== 'lease' || this.state.ports.availableCloudCalls() < 1) return
		const blocking = missing.filter((machine) => !machine.releasing)
		if (blocking.length === 0) return
		for (const machine of blocking) machine.drainReason = 'unreachable after a takeover'
		this.actions.release(blocking)
	}
}
