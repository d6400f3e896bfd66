/** Spare capacity for waiting tasks on a shard's machines and pending rentals. */
import { type InstanceOffer, machineFraction, offerKey, scaleOutWeight } from '@heathroad/policy'
import type { MachineType } from '@heathroad/wire'
import type { Machine } from './model.js'
import type { ShardState } from './state.js'

/** Spare capacity in machines of one offer. */
export interface SpareCapacity {
	/** in machines; may be fractional */
	machines: number
	type: MachineType
	zone: string
	spot: boolean
}

/** Machines requested by one rental whose result is not recorded yet. */
export interface PendingRental {
	offer: InstanceOffer
	count: number
}

/** Returns whether the machine counts as capacity for waiting tasks. */
export const isUsable = (state: ShardState, machine: Machine, now: number): boolean => {
	if (machine.drainReason !== null || machine.releasing) return false
	if (!machine.booted) return now - machine.discoveredAt <= state.bootTimes.giveUpAfterMs(machine.type)
	// After a lease without heartbeats its tasks are requeued, and it may be long before it takes new ones.
	return now - machine.lastHeartbeatAt <= state.config.limits.agentLeaseMs
}

/** Share of the machine that its tasks will still use while another machine boots. */
const busyShare = (state: ShardState, machine: Machine, now: number): number => {
	let busy = 0
	for (const attempt of machine.attempts.values()) {
		if (attempt.state === 'exited' || attempt.job === null || attempt.orphaned) continue
		const remainingS = state.remainingRunS(attempt, attempt.job, now)
		busy += machineFraction(attempt.resources, machine.type) * scaleOutWeight(remainingS, machine.type.bootS)
	}
	return busy
}

/**
 * Computes spare capacity by offer key. Capacity is counted in machines: a running task uses the share of its slot that
 * it will still need while another machine boots; machines of pending rentals are entirely spare.
 */
export const computeSpareCapacity = (
	state: ShardState,
	pendingRentals: Iterable<PendingRental>,
	now: number,
): Map<string, SpareCapacity> => {
	const spareByOffer = new Map<string, SpareCapacity>()
	const add = ({ type, zone, spot }: InstanceOffer, machines: number): void => {
		const key = offerKey({ type, zone, spot })
		const spare = spareByOffer.get(key)
		if (spare === undefined) spareByOffer.set(key, { machines, type, zone, spot })
		else spare.machines += machines
	}
	for (const machine of state.machines.values())
		if (isUsable(state, machine, now)) add(machine, Math.max(0, 1 - busyShare(state, machine, now)))
	for (const { offer, count } of pendingRentals) add(offer, count)
	return spareByOffer
}
