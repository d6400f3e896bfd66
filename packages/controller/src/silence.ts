import type { LeadershipStatus } from '@heathroad/cluster'
import type { Machine } from './model.js'
import type { ShardState } from './state.js'

/** Where many machines are silent together they are returned only after so many leases. */
const MANY_SILENT_LEASES = 3

/** Two fifths of a part's machines silent at once are many: that is rather a cut, which ends, than so many deaths. */
const isMany = (silent: number, machines: number): boolean => silent * 2.5 > machines

/** What the silence of a part's machines says, and what it does not. */
export class FailureDetector {
	private readonly takenAt: number
	/** the last moment at which many were silent together */
	private manyAt = Number.NEGATIVE_INFINITY
	private lastLook: number

	constructor(private readonly state: ShardState) {
		this.takenAt = state.ports.now()
		this.state.listeningSince = this.takenAt
		this.lastLook = this.takenAt
	}

	/** The regular look. */
	tick(now: number, leadership: LeadershipStatus): void {
		// While the process stood still it heard nobody: that is no silence of the machines'.
		if (leadership === 'none' || now - this.lastLook > this.state.config.limits.controllerLeaseMs * 0.2)
			this.state.listeningSince = now
		this.lastLook = now
		if (isMany(this.missedHeartbeats(now), this.state.machines.size)) this.manyAt = now
	}

	/**
	 * Is a machine to be returned? After half its lease of silence if few are silent, since the confirmed release proves
	 * its tasks absent sooner than the lease. Much later if many are: what is returned has to be rented, booted and filled
	 * with images again (incident 15). Half a lease counts from the end of such a time: as the first come back those
	 * that have yet to report are few all at once, and each would be returned as it comes (incident 19).
	 */
	shouldReturn(machine: Machine, now: number): boolean {
		const { heartbeatMs: reportMs, agentLeaseMs: leaseMs } = this.state.config.limits
		const heard = Math.max(machine.lastHeartbeatAt, this.state.listeningSince)
		if (now - heard >= leaseMs * MANY_SILENT_LEASES) return true
		return now - Math.max(heard, this.manyAt) >= Math.max(reportMs * 3, leaseMs * 0.5)
	}

	/** Machines that missed a report. */
	missedHeartbeats(now: number): number {
		const before = now - this.state.config.limits.heartbeatMs * 1.5
		let n = 0
		for (const machine of this.state.machines.values())
			if (machine.addressRecorded && machine.lastHeartbeatAt < before) n++
		return n
	}

	/** Machines that missed two reports while we listened, if they are two thirds of the part at least; else 0. */
	unreachableMachines(): number {
		return this.state.reconciled ? this.most(() => false) : 0
	}

	/**
	 * Are most of the machines out of reach: not accounted for since the part was taken, or silent? Not right after the
	 * take, when all of them are still to be asked.
	 */
	isPartitioned(unconfirmed: ReadonlySet<string>): boolean {
		if (this.state.ports.now() - this.takenAt < this.state.config.limits.controllerLeaseMs * 0.4) return false
		return this.most((machine) => unconfirmed.has(machine.id)) > 0
	}

	private most(or: (machine: Machine) => boolean): number {
		const before = this.state.ports.now() - this.state.config.limits.heartbeatMs * 2.5
		let used = 0
		let away = 0
		for (const machine of this.state.machines.values()) {
			if (!machine.addressRecorded) continue
			used++
			if (or(machine) || Math.max(machine.lastHeartbeatAt, this.state.listeningSince) < before) away++
		}
		return away >= 2 && away * 3 >= used * 2 ? away : 0
	}
}
