/**
 * Membership timing, as fractions of configured durations. The durations depend on the deployment (seconds in production,
 * milliseconds in tests); the fractions keep the intervals in proportion.
 */

// ---- fractions of the controller lease (`controllerLeaseMs`) ----

/** Interval of lease renewals: four may fail before the lease expires. */
export const LEASE_RENEWAL_INTERVAL = 0.2
/** Retry interval after a failed renewal, and of attempts to obtain a lease. */
export const LEASE_RETRY_INTERVAL = 0.06
/** Part of the lease in which its holder acts: its clock may run slower than that of the state service. */
export const USABLE_LEASE_FRACTION = 0.999
/** A gap between ticks longer than this counts as a standstill of the process; ticks are far more frequent. */
export const STANDSTILL_THRESHOLD = 0.2
/** A peer is alive if a message of it arrived within this time, which covers several gossip intervals. */
export const LIVENESS_TIMEOUT = 0.6
/** Timeout of a request to a peer. */
export const PEER_REQUEST_TIMEOUT = 0.25
/** Stagger between the controllers that may acquire a shard without an owner. */
export const ACQUIRE_STAGGER = 0.08
/** Delay before the next acquisition after one without a response, which may still be applied. */
export const ACQUIRE_RETRY_DELAY = 0.1
/** Minimum time that the home controller was up, and the current owner has owned the shard, before a failback. */
export const FAILBACK_STABILITY = 0.4
/** A handoff requires a response of the state service within this time. */
export const HANDOFF_STORE_CONTACT_WINDOW = 0.3
/** Time after a handoff in which the former owner does not acquire the shard again. */
export const HANDOFF_SETTLE_DELAY = 0.2
/** A controller that reached the state service within this time refuses takeover promises. */
export const PROMISE_STORE_CONTACT_WINDOW = 0.25

// ---- multiples of ACQUIRE_STAGGER ----

/** Head start of a live home controller when its shard has no owner. */
export const HOME_HEAD_START_STEPS = 6

// ---- fractions of the agent lease (`agentLeaseMs`) ----

/** Longest time after a standstill in which no shard is handed back. */
export const MAX_FAILBACK_SUSPENSION = 2
/** A shard that is never quiescent is handed back after this time regardless. */
export const MAX_WAIT_FOR_QUIESCENCE = 2

// ---- fractions of a takeover promise (`takeoverPromiseMs`) ----

/** Duration on the giving side: longer than on the receiving side, since the rates of their clocks may differ. */
export const GIVEN_PROMISE_DURATION = 1.002
/** Duration on the receiving side, counted from when it sent the request. */
export const RECEIVED_PROMISE_DURATION = 0.998
/** A new incarnation doesn't know the promises of the previous one, so it waits longer than any of them lasts. */
export const PREVIOUS_INCARNATION_PROMISE = 1.01
/** Added to `PREVIOUS_INCARNATION_PROMISE`, in ms: clock resolution and timer delays, which do not scale. */
export const PROMISE_MARGIN_MS = 100

// ---- evidence that a shard's machines reach a peer ----

/** Minimum number of the shard's machines that have looked up their owner at the peer. */
export const MIN_OWNER_LOOKUPS = 2
/** Maximum number of unreachable machines per lookup: only some machines do a lookup within a gossip interval. */
export const UNREACHABLE_PER_LOOKUP = 8
