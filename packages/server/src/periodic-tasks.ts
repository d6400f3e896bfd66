/** The periodic tasks of a controller. Their intervals derive from configured times and scale with them. */
import type { DerivedLimits } from '@heathroad/config'

/** Maximum interval of the main tick in ms, within which membership and shards react. */
const MAX_TICK_MS = 250
/** Minimum number of main ticks per heartbeat interval, so that each heartbeat gets the decisions of a recent tick. */
const TICKS_PER_HEARTBEAT = 4
/** Gossip interval in controller leases: several messages per lease, so that losing one does not look like a crash. */
const GOSSIP_LEASES = 0.15
/** Clean-up interval in controller leases. It is not urgent: obsolete records take memory but are no longer read. */
const CLEAN_UP_LEASES = 2
/** Probe interval in controller leases: three probes within a lease show that machines are reachable again. */
const PROBE_LEASES = 0.2

/** The tasks, in the order in which their timers are started; timers that are due together fire in this order. */
export interface PeriodicTasks {
	/** membership, handoff and shards */
	tick(): void
	gossip(): void
	/** deletion of obsolete records and archival */
	cleanUp(): void
	/** probe of unreachable machines */
	probeMachines(): void
}

/** Starts the timers; the caller clears them. */
export const startPeriodicTasks = (
	{ heartbeatMs, controllerLeaseMs }: DerivedLimits,
	tasks: PeriodicTasks,
): ReturnType<typeof setInterval>[] => [
	setInterval(() => tasks.tick(), Math.min(MAX_TICK_MS, heartbeatMs / TICKS_PER_HEARTBEAT)),
	setInterval(() => tasks.gossip(), controllerLeaseMs * GOSSIP_LEASES),
	setInterval(() => tasks.cleanUp(), controllerLeaseMs * CLEAN_UP_LEASES),
	setInterval(() => tasks.probeMachines(), controllerLeaseMs * PROBE_LEASES),
]
