/** Failure detection: distinguishes failed machines from network partitions by missed heartbeats. */
import type { LeadershipStatus } from '@heathroad/cluster'
import type { Machine } from './model.js'
import { MAX_MISSED_HEARTBEATS, type ShardState } from './state.js'

/** Agent leases of silence after which a machine is released even if many are silent. */
const MAX_SILENCE_AGENT_LEASES = 3

/** Agent leases of silence after which a machine is released if few are silent. */
const MIN_SILENCE_AGENT_LEASES = 0.5

/** Many machines are silent if more than one in 2.5 is: more likely a temporary partition than that many failures. */
const MANY_SILENT_DIVISOR = 2.5

/** Heartbeat intervals of silence after which a machine has missed a heartbeat. */
const MISSED_HEARTBEAT_INTERVALS = 1.5

/** Heartbeat intervals of silence after which a machine counts as unreachable. */
const UNREACHABLE_INTERVALS = 2.5

/** Fewer unreachable machines than this do not count as a partition. */
const MIN_PARTITIONED_MACHINES = 2

/** A gap between ticks above this fraction of a controller lease means that the process was paused. */
const PAUSE_CONTROLLER_LEASES = 0.2

/**
 * Maximum time in ms that an agent needs to find a new owner (protocol): it gives up the former one after 4 s, tries
 * the next controller 1 s later, and follows that one's redirect within 0.5 s.
 */
const MAX_OWNER_SEARCH_MS = 4000 + 1000 + 500

/** Fraction of a controller lease after a takeover during which unconfirmed machines do not count as unreachable. */
const TAKEOVER_GRACE_CONTROLLER_LEASES = 0.4

/** Decides from missed heartbeats which machines to release, and whether the shard is partitioned. */
export class FailureDetector {
	private readonly takenOverAt: number
	/** the latest time at which many machines were silent at once */
	private manySilentAt = Number.NEGATIVE_INFINITY
	private lastTickAt: number

	constructor(private readonly state: ShardState) {
		this.takenOverAt = state.dependencies.now()
		this.state.listeningSince = this.takenOverAt
		this.lastTickAt = this.takenOverAt
	}

	/** Must be called at every tick of the shard, with or without leadership. */
	tick(now: number, leadership: LeadershipStatus): void {
		const maxIntervalMs = this.state.config.limits.controllerLeaseMs * PAUSE_CONTROLLER_LEASES
		// A paused process receives no heartbeats, so the machines do not count as silent.
		if (leadership === 'none' || now - this.lastTickAt > maxIntervalMs) this.state.listeningSince = now
		this.lastTickAt = now
		const areManySilent = this.missedHeartbeats(now) * MANY_SILENT_DIVISOR > this.state.machines.size
		if (areManySilent) this.manySilentAt = now
	}

	/**
	 * Whether a silent machine should be released to the cloud. If few are silent, after half an agent lease: a confirmed
	 * release proves its tasks absent sooner than the lease does. If many are, much later, since replacements have to be
	 * rented, booted and filled with images again (incident 15). The half lease counts from the last time that many were
	 * silent: when the first machines report again, the rest are few, and each would be released to the cloud just before
	 * its heartbeat (incident 19).
	 */
	shouldRelease(machine: Machine, now: number): boolean {
		const { heartbeatMs, agentLeaseMs } = this.state.config.limits
		const lastContactAt = Math.max(machine.lastHeartbeatAt, this.state.listeningSince)
		if (now - lastContactAt >= agentLeaseMs * MAX_SILENCE_AGENT_LEASES) return true
		const minSilenceMs = Math.max(
			heartbeatMs * MAX_MISSED_HEARTBEATS,
			agentLeaseMs * MIN_SILENCE_AGENT_LEASES,
		)
		return now - Math.max(lastContactAt, this.manySilentAt) >= minSilenceMs
	}

	/** Whether some machine answered a probe since the takeover, but its agent may not have found this owner yet. */
	mayAgentsBeSearching(now: number): boolean {
		if (now - this.takenOverAt >= MAX_OWNER_SEARCH_MS) return false
		for (const { addressRecorded, reconciled, heartbeatReceived } of this.state.machines.values())
			if (addressRecorded && reconciled && !heartbeatReceived) return true
		return false
	}

	/** Number of machines that missed a heartbeat. */
	missedHeartbeats(now: number): number {
		const dueSince = now - this.state.config.limits.heartbeatMs * MISSED_HEARTBEAT_INTERVALS
		let count = 0
		for (const machine of this.state.machines.values())
			if (machine.addressRecorded && machine.lastHeartbeatAt < dueSince) count++
		return count
	}

	/**
	 * Number of machines that missed two heartbeats while this controller was receiving, if they are at least two thirds
	 * of the shard; else 0. Also 0 until the shard is reconciled.
	 */
	unreachableMachines(): number {
		if (!this.state.reconciled) return 0
		const now = this.state.dependencies.now()
		return this.countIfMost((machine) => this.isUnreachable(machine, now))
	}

	/**
	 * Whether most of the machines are unreachable, that is silent or not confirmed since the takeover. False shortly
	 * after the takeover, while the machines are still being probed.
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

	/** Number of machines that satisfy the condition if at least two, and two thirds of those in use, do; else 0. */
	private countIfMost(condition: (machine: Machine) => boolean): number {
		let inUse = 0
		let matching = 0
		for (const machine of this.state.machines.values()) {
			if (!machine.addressRecorded) continue
			inUse++
			if (condition(machine)) matching++
		}
		return matching >= MIN_PARTITIONED_MACHINES && matching * 3 >= inUse * 2 ? matching : 0
	}
}
