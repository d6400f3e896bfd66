/**
 * Durations, rates and bounds that the service derives from the platform's settings. Nearly all are computed by ratios,
 * so that they scale with a deployment's leases and rates.
 */
import { controllerHostNames, type Settings } from './settings.js'

/** Limits of one controller; times are in ms, rates are this controller's share of the deployment's. */
export interface DerivedLimits {
	/** names of all controllers, sorted: the home of shard N is the controller with index N */
	controllerNames: string[]
	/** this controller's name */
	self: string
	peers: { name: string; address: string }[]
	/** interval of a machine's heartbeats */
	heartbeatMs: number
	/** duration of an agent's lease, plus the possible drift between two clocks and a margin for late timers */
	agentLeaseMs: number
	/** time within which a cancelled job's tasks must have stopped */
	cancelMs: number
	/** duration of a controller's lease at the state service */
	controllerLeaseMs: number
	/** duration of one takeover promise */
	takeoverPromiseMs: number
	/** subtracted from every lease or promise whose end is measured on this controller's clock */
	clockMarginMs: number
	/** longest time that one watch request waits for a change */
	watchTimeoutMs: number
	/** age of its copy of the records beyond which an owner no longer acts on its lease */
	maxStalenessMs: number
	/** delay between a cancellation's write and its confirmation to the user; 0 unless `cancel_s` is very short */
	cancellationConfirmDelayMs: number
	writesPerS: number
	readsPerS: number
	cloudCallsPerS: number
	/** submissions per second that this controller's write rate can make durable, with several in one value */
	submissionsPerS: number
	/** maximum number of submissions that wait for their write */
	maxPendingSubmissions: number
	maxSockets: number
}

/** A controller's lease as a share of an agent's lease. */
const CONTROLLER_LEASE_PER_AGENT_LEASE = 0.5
/**
 * A controller's lease and a takeover promise as shares of the slack, which is the time that a cancellation may take
 * beyond an agent's lease: all three together must be shorter than the time that a cancellation may take.
 */
const CONTROLLER_LEASE_PER_SLACK = 0.25
const TAKEOVER_PROMISE_PER_SLACK = 0.15
/** Lower bound of the slack, in seconds, for settings that leave hardly any. */
const MIN_SLACK_S = 0.5
/** Bounds of a controller's lease in deployments with very short or very long agent leases. */
const MIN_CONTROLLER_LEASE_MS = 1000
const MAX_CONTROLLER_LEASE_MS = 600_000
/** The clock margin as a share of a controller's lease. */
const CLOCK_MARGIN_PER_LEASE = 0.06
/** Factor by which an agent's lease may appear longer on a clock that drifts against the agent's. */
const AGENT_CLOCK_DRIFT = 1.002
/** How late an agent's timers may fire after its lease expires. */
const AGENT_TIMER_MARGIN_MS = 300
/** The maximum staleness leaves time for two consecutive watch requests without a change and for a failed one. */
const WATCH_TIMEOUT_PER_LEASE = 0.5
const MAX_STALENESS_PER_LEASE = 2
/** A job's record takes up about half a KiB. */
const JOB_RECORDS_PER_KIB = 2
/** Longest wait of a pending submission for its write: well within the time that a user waits for the response. */
const PENDING_SUBMISSIONS_S = 2
const MIN_PENDING_SUBMISSIONS = 8
/** Share of the process's file descriptors that sockets may use. */
const SOCKETS_PER_FILE_DESCRIPTOR = 0.8

/**
 * How long a cancellation must have been durable before it is confirmed to the user. Within `maxStalenessMs` each owner
 * receives it, from the records or from the next takeover promise that it receives, or stops acting: without
 * up-to-date records it does not act on its lease for longer than that, and a promise is no longer than a lease. From
 * then on agents receive commands to stop, or their leases expire. If all of this may take longer than `cancelMs` after
 * the confirmation, the confirmation is delayed by the difference.
 */
const confirmDelayMs = (cancelMs: number, maxStalenessMs: number, agentLeaseMs: number): number =>
	Math.max(0, maxStalenessMs + agentLeaseMs - cancelMs)

/** Duration of a controller's lease in ms, before rounding. */
const controllerLease = (agentLeaseS: number, slackS: number): number => {
	const leaseMs =
		1000 * Math.min(agentLeaseS * CONTROLLER_LEASE_PER_AGENT_LEASE, slackS * CONTROLLER_LEASE_PER_SLACK)
	return Math.min(MAX_CONTROLLER_LEASE_MS, Math.max(MIN_CONTROLLER_LEASE_MS, leaseMs))
}

/** Time that a cancellation may take beyond an agent's lease, in seconds. */
const cancellationSlackS = ({ cancel_s, lease_s }: Settings['deployment']['workers']): number =>
	Math.max(MIN_SLACK_S, cancel_s - lease_s)

type LeaseLimits = Pick<
	DerivedLimits,
	| 'agentLeaseMs'
	| 'cancelMs'
	| 'controllerLeaseMs'
	| 'takeoverPromiseMs'
	| 'clockMarginMs'
	| 'watchTimeoutMs'
	| 'maxStalenessMs'
	| 'cancellationConfirmDelayMs'
>

const deriveLeaseLimits = (workers: Settings['deployment']['workers']): LeaseLimits => {
	const slackS = cancellationSlackS(workers)
	const leaseMs = controllerLease(workers.lease_s, slackS)
	const agentLeaseMs = workers.lease_s * 1000 * AGENT_CLOCK_DRIFT + AGENT_TIMER_MARGIN_MS
	const cancelMs = workers.cancel_s * 1000
	const maxStalenessMs = leaseMs * MAX_STALENESS_PER_LEASE
	return {
		agentLeaseMs,
		cancelMs,
		controllerLeaseMs: Math.round(leaseMs),
		takeoverPromiseMs: Math.min(leaseMs, 1000 * slackS * TAKEOVER_PROMISE_PER_SLACK),
		clockMarginMs: leaseMs * CLOCK_MARGIN_PER_LEASE,
		watchTimeoutMs: leaseMs * WATCH_TIMEOUT_PER_LEASE,
		maxStalenessMs,
		cancellationConfirmDelayMs: confirmDelayMs(cancelMs, maxStalenessMs, agentLeaseMs),
	}
}

type RateLimits = Pick<
	DerivedLimits,
	'writesPerS' | 'readsPerS' | 'cloudCallsPerS' | 'submissionsPerS' | 'maxPendingSubmissions'
>

/** This controller's equal share of each rate of the deployment. */
const deriveRateLimits = ({ state, cloud }: Settings['deployment'], controllerCount: number): RateLimits => {
	const writesPerS = state.write_rps / controllerCount
	// One record fewer than would fit leaves room for the encoding around them in the value.
	const jobsPerValue = Math.max(1, state.value_kb * JOB_RECORDS_PER_KIB - 1)
	const submissionsPerS = writesPerS * jobsPerValue
	return {
		writesPerS,
		readsPerS: state.rps / controllerCount,
		cloudCallsPerS: cloud.rps / controllerCount,
		submissionsPerS,
		maxPendingSubmissions: Math.max(
			MIN_PENDING_SUBMISSIONS,
			Math.ceil(submissionsPerS * PENDING_SUBMISSIONS_S),
		),
	}
}

/** Derives a controller's limits from the platform's settings. */
export const deriveLimits = (settings: Settings): DerivedLimits => {
	const { deployment } = settings
	const controllerNames = controllerHostNames(settings).sort()
	return {
		controllerNames,
		self: settings.host_name,
		peers: settings.members.map((member) => ({ name: member.host_name, address: member.peer_addr })),
		heartbeatMs: deployment.workers.report_s * 1000,
		...deriveLeaseLimits(deployment.workers),
		...deriveRateLimits(deployment, controllerNames.length),
		maxSockets: Math.floor(deployment.resources.fd_limit * SOCKETS_PER_FILE_DESCRIPTOR),
	}
}

/** The limits as the command `check-config` prints them, under the names that operators know. */
export const printedLimits = (limits: DerivedLimits): Record<string, unknown> => ({
	names: limits.controllerNames,
	self: limits.self,
	peers: limits.peers,
	reportMs: limits.heartbeatMs,
	leaseMs: limits.agentLeaseMs,
	cancelMs: limits.cancelMs,
	grantMs: limits.controllerLeaseMs,
	promiseMs: limits.takeoverPromiseMs,
	marginMs: limits.clockMarginMs,
	watchMs: limits.watchTimeoutMs,
	staleMs: limits.maxStalenessMs,
	confirmAfterMs: limits.cancellationConfirmDelayMs,
	writesPerS: limits.writesPerS,
	readsPerS: limits.readsPerS,
	cloudPerS: limits.cloudCallsPerS,
	intakePerS: limits.submissionsPerS,
	intakeLimit: limits.maxPendingSubmissions,
	sockets: limits.maxSockets,
})
