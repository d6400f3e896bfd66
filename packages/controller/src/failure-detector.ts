/** Failure detection: what missed heartbeats say about machines, and what they say about this controller's network. */
import type { LeadershipStatus } from '@heathroad/cluster'
import type { Machine } from './model.js'
import { MAX_MISSED_HEARTBEATS, type ShardState } from './state.js'

/** Agent leases of silence after which a machine is returned in any case, also when many are silent. */
const MAX_SILENT_LEASES = 3

/** Agent leases of silence after which a machine is returned when few are silent. */
const MIN_SILENT_LEASES = 0.5

/** More than one machine in 2.5 silent at once are many: rather a network partition, which ends, than so many failures. */
const MACHINES_PER_SILENT_ONE = 2.5

/** Heartbeat intervals without a heartbeat from which on a machine has missed one. */
const MISSED_HEARTBEAT_INTERVALS = 1.5

/** Heartbeat intervals without a heartbeat from which on a machine counts as unreachable. */
const UNREACHABLE_INTERVALS = 2.5

/** Fewer unreachable machines than these are no partition. */
const MIN_PARTITIONED_MACHINES = 2

/** A tick later than this share of a controller lease means that the process was paused and received nothing. */
const PAUSE_CONTROLLER_LEASES = 0.2

/**
 * What an agent takes to find a new owner at the longest, in ms (protocol): it gives up the former one after 4 s, tries the
 * next controller 1 s later, and follows that one's redirect within 0.5 s.
 */
const MAX_OWNER_SEARCH_MS = 4000 + 1000 + 500

/** Share of a controller lease after a takeover in which unconfirmed machines do not count as unreachable. */
const TAKEOVER_GRACE_CONTROLLER_LEASES = 0.4

/** Decides from missed heartbeats which machines are to be returned, and whether the shard is partitioned. */
export class FailureDetector {
	private readonly takenOverAt: number
	/** the latest time at which many machines were silent together */
	private manySilentAt = Number.NEGATIVE_INFINITY
	private lastTickAt: number

	constructor(private readonly state: ShardState) {
		this.takenOverAt = state.dependencies.now()
		this.state.listeningSince = this.takenOverAt
		this.lastTickAt = this.takenOverAt
	}

	/** To be called at every tick of the shard, with or without leadership. */
	tick(now: number, leadership: LeadershipStatus): void {
		const maxIntervalMs = this.state.config.limits.controllerLeaseMs * PAUSE_CONTROLLER_LEASES
		// A paused process received no heartbeats: the machines are not silent for that.
		if (leadership === 'none' || now - this.lastTickAt > maxIntervalMs) this.state.listeningSince = now
		this.lastTickAt = now
		const areManySilent = this.missedHeartbeats(now) * MACHINES_PER_SILENT_ONE > this.state.machines.size
		if (areManySilent) this.manySilentAt = now
	}

	/**
	 * Is a machine to be returned? If few are silent, after half an agent lease, since the confirmed release proves its
	 * tasks absent sooner than the lease does. If many are, much later: what is returned has to be rented, booted and
	 * filled with images again (incident 15). The half lease counts from the end of such a time: as the first machines
	 * return, the rest are suddenly few, and each would be returned to the cloud just before its heartbeat (incident 19).
	 */
	shouldReturn(machine: Machine, now: number): boolean {
		const { heartbeatMs, agentLeaseMs } = this.state.config.limits
		const lastSignAt = Math.max(machine.lastHeartbeatAt, this.state.listeningSince)
		if (now - lastSignAt >= agentLeaseMs * MAX_SILENT_LEASES) return true
		const minSilenceMs = Math.max(heartbeatMs * MAX_MISSED_HEARTBEATS, agentLeaseMs * MIN_SILENT_LEASES)
		return now - Math.max(lastSignAt, this.manySilentAt) >= minSilenceMs
	}

	/** Are there machines that answered a probe since the takeover, and whose agents may still look for this owner? */
	mayAgentsSearchOwner(now: number): boolean {
		if (now - this.takenOverAt >= MAX_OWNER_SEARCH_MS) return false
		for (const { addressRecorded, reconciled, heartbeatReceived } of this.state.machines.values())
			if (addressRecorded && reconciled && !heartbeatReceived) return true
		return false
	}

	/** Count of machines that missed a heartbeat. */
	missedHeartbeats(now: number): number {
		const dueSince = now - this.state.config.limits.heartbeatMs * MISSED_HEARTBEAT_INTERVALS
		let count = 0
		for (const machine of this.state.machines.values())
			if (machine.addressRecorded && machine.lastHeartbeatAt < dueSince) count++
		return count
	}

	/**
	 * Count of machines that missed two heartbeats while this controller received, if these are two thirds of the shard
	 * at least; else 0. Also 0 while the shard is being rebuilt.
	 */
	unreachableMachines(): number {
		if (!this.state.reconciled) return 0
		const now = this.state.dependencies.now()
		return this.countIfMost((machine) => this.isUnreachable(machine, now))
	}

	/**
	 * Are most of the machines unreachable: silent, or not accounted for since the takeover? False for a while after the
	 * takeover, when all of them are still to be probed.
	 */
	isPartitioned(unconfirmed: ReadonlySet<string>): boolean {
		const graceMs = this.state.config.limits.controllerLeaseMs * TAKEOVER_GRACE_CONTROLLER_LEASES
		const now = this.state.dependencies.now()
		if (now - this.takenOverAt < graceMs) return false
		return this.countIfMost((machine) => unconfirmed.has(machine.id) || this.isUnreachable(machine, now)) > 0
	}

	private isUnreachable(machine: Machine, now: number): boolean {
		const dueSince = now - this.state.config.limits.heartbeatMs * UNREACHABLE_INTERVALS
		return Math.max(machine.lastHeartbeatAt, this.state.listeningSince) < dueSince
	}

	/** Count of the machines that satisfy the condition, if two thirds of those in use do, and two at least; else 0. */
	private countIfMost(condition: (machine: Machine) => boolean): number {
		let used = 0
		let matching = 0
		for (const machine of this.state.machines.values()) {
			if (!machine.addressRecorded) continue
			used++
			if (condition(machine)) matching++
		}
		return matching >= MIN_PARTITIONED_MACHINES && matching * 3 >= used * 2 ? matching : 0
	}
}
