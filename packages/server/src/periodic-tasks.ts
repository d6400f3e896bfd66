/** The regular tasks of a controller and their intervals. All are shares of configured times, so they scale with them. */
import type { DerivedLimits } from '@heathroad/config'

/** Longest interval of the main tick in ms: membership and shards react within it. */
const MAX_TICK_MS = 250
/** Main ticks in a heartbeat interval at least, so that each heartbeat finds the decisions of a recent tick. */
const TICKS_PER_HEARTBEAT = 4
/** Peers receive several messages within a lease, so that a lost one does not make this controller look dead. */
const GOSSIP_LEASES = 0.15
/** Clean-up is not urgent: what it removes takes memory, and is no longer read. */
const CLEAN_UP_LEASES = 2
/** A controller that is cut off from machines finds out within a lease whether that is over: three probes are needed. */
const PROBE_LEASES = 0.2

/** The tasks, in the order in which their timers are set: timers that are due together fire in it. */
export interface PeriodicTasks {
	/** membership, handoff and shards */
	tick(): void
	gossip(): void
	/** deletion of obsolete records and archival */
	cleanUp(): void
	/** probe of machines that are out of reach */
	probeWorkers(): void
}

/** Starts the timers; the caller clears them. */
export const startPeriodicTasks = (
	{ heartbeatMs, controllerLeaseMs }: DerivedLimits,
	tasks: PeriodicTasks,
): ReturnType<typeof setInterval>[] => [
	setInterval(() => tasks.tick(), Math.min(MAX_TICK_MS, heartbeatMs / TICKS_PER_HEARTBEAT)),
	setInterval(() => tasks.gossip(), controllerLeaseMs * GOSSIP_LEASES),
	setInterval(() => tasks.cleanUp(), controllerLeaseMs * CLEAN_UP_LEASES),
	setInterval(() => tasks.probeWorkers(), controllerLeaseMs * PROBE_LEASES),
]
