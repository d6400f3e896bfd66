/**
 * Timing of membership, as fractions of configured durations. The durations scale with the deployment (seconds in
 * production, milliseconds in tests); the fractions keep their relations to each other.
 */

// ---- fractions of the controller lease (`controllerLeaseMs`) ----

/** A renewal's interval: four of them may fail before the lease expires. */
export const LEASE_RENEWAL_INTERVAL = 0.2
/** Interval of attempts to get a lease, and of renewals after one that failed. */
export const LEASE_RETRY_INTERVAL = 0.06
/** Part of the lease that its holder relies on: its clock may run slower than that of the state service. */
export const LEASE_RELIED_ON = 0.999
/** A tick that comes later than this means that the process stood still; ticks are far more frequent. */
export const STANDSTILL_THRESHOLD = 0.2
/** A peer is alive if it was heard from within this time: several gossip intervals. */
export const LIVENESS_TIMEOUT = 0.6
/** Timeout of a request to a peer. */
export const PEER_REQUEST_TIMEOUT = 0.25
/** Controllers that may acquire a free shard do so one after the other, this far apart. */
export const ACQUIRE_STEP = 0.08
/** An acquisition that got no answer blocks the next one for this long: it may still be applied. */
export const ACQUIRE_RETRY_DELAY = 0.1
/** The home controller must be up, and the present owner own the shard, for this long before a failback. */
export const FAILBACK_STABILITY = 0.4
/** The state service must have answered within this time for a handoff. */
export const HANDOFF_STORE_CONTACT = 0.3
/** After a handoff the shard is not acquired again for this long. */
export const HANDOFF_SETTLE_DELAY = 0.2
/** A controller that reached the state service within this time makes no takeover promise. */
export const PROMISE_STORE_CONTACT = 0.25

// ---- steps of ACQUIRE_STEP ----

/** Steps for which others leave a free shard to its home controller while that is alive. */
export const HOME_HEAD_START_STEPS = 6

// ---- fractions of the agent lease (`agentLeaseMs`) ----

/** After a standstill, no shard is handed back for at most this long. */
export const MAX_FAILBACK_BLOCK = 2
/** A shard that is never quiescent is handed back after this long all the same. */
export const MAX_WAIT_FOR_QUIESCENCE = 2

// ---- fractions of a takeover promise (`takeoverPromiseMs`) ----

/** For how long the promising peer keeps it: longer than the receiver relies on it, as their clocks may differ in rate. */
export const PROMISE_KEPT = 1.002
/** For how long the receiver relies on it, from when it sent the request. */
export const PROMISE_RELIED_ON = 0.998
/** A new incarnation does not know its predecessor's promises: it waits for longer than any of them lasts. */
export const PROMISE_OF_FORMER_INCARNATION = 1.01
/** Added to that, in ms: resolution of the clocks and delays of timers, which do not scale. */
export const PROMISE_MARGIN_MS = 100

// ---- evidence that a shard's machines reach a peer ----

/** Machines of the shard that must have looked up their owner at the peer. */
export const MIN_OWNER_LOOKUPS = 2
/** One lookup stands for at most this many unreachable machines: only some of them ask within a gossip interval. */
export const UNREACHABLE_PER_LOOKUP = 8
