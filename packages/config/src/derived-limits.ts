/**
 * Durations, rates and bounds that the service derives from the platform's settings. Nearly all are ratios, so that a
 * deployment with other leases or rates gets proportionate behaviour without a change here.
 */
import { controllerHostNames, type Settings } from './settings.js'

/** Limits of one controller; times are in ms, rates are this controller's share of the deployment's. */
export interface DerivedLimits {
	/** all controllers, sorted: shard number N is at home at the name with index N */
	controllerNames: string[]
	/** this controller's name */
	self: string
	peers: { name: string; address: string }[]
	/** interval of a machine's heartbeats */
	heartbeatMs: number
	/** an agent's lease, lengthened by what two clocks may drift apart and a margin for late timers */
	agentLeaseMs: number
	/** time within which a cancelled job's tasks must have stopped */
	cancelMs: number
	/** duration of a controller's lease at the state service */
	controllerLeaseMs: number
	/** duration of one takeover promise */
	takeoverPromiseMs: number
	/** subtracted from every lease or promise whose end is measured on our clock */
	clockMarginMs: number
	/** longest time for which one watch request waits for a change */
	watchTimeoutMs: number
	/** an owner whose copy of the records is older than this no longer acts on its lease */
	maxStalenessMs: number
	/** time between a cancellation's write and its confirmation to the user; 0 unless `cancel_s` is very short */
	cancellationConfirmDelayMs: number
	writesPerS: number
	readsPerS: number
	cloudCallsPerS: number
	/** submissions a second that our share of the write rate can make durable, several in one value */
	submissionsPerS: number
	/** most submissions that may wait for their write */
	maxPendingSubmissions: number
	maxSockets: number
}

/** A controller's lease as a share of the agents' lease. */
const CONTROLLER_LEASE_PER_AGENT_LEASE = 0.5
/**
 * A controller's lease and a takeover promise as shares of the time that a cancellation has beyond an agent's lease:
 * the two and an agent's lease together stay below the time of a cancellation.
 */
const CONTROLLER_LEASE_PER_SLACK = 0.25
const TAKEOVER_PROMISE_PER_SLACK = 0.15
/** Least slack to reckon with, in seconds, for settings that hardly leave any. */
const MIN_SLACK_S = 0.5
/** Bounds of a controller's lease, for deployments with very short or very long agent leases. */
const MIN_CONTROLLER_LEASE_MS = 1000
const MAX_CONTROLLER_LEASE_MS = 600_000
/** Clock margin as a share of a controller's lease. */
const CLOCK_MARGIN_PER_LEASE = 0.06
/** Drift of two clocks against each other over an agent's lease. */
const AGENT_CLOCK_DRIFT = 1.002
/** Delay of an agent's timers beyond the lease's end. */
const AGENT_TIMER_MARGIN_MS = 300
/** Two watch requests in a row without a change, and a failed one, fit into the staleness that an owner may have. */
const WATCH_TIMEOUT_PER_LEASE = 0.5
const MAX_STALENESS_PER_LEASE = 2
/** A job's record takes about half a KiB. */
const JOB_RECORDS_PER_KIB = 2
/** Pending submissions wait at most so long for their write: well within the time for which a user waits. */
const PENDING_SUBMISSIONS_S = 2
const MIN_PENDING_SUBMISSIONS = 8
/** Share of the process's file descriptors that sockets may use. */
const SOCKETS_PER_FILE_DESCRIPTOR = 0.8

/**
 * How long a cancellation must have been durable before it is confirmed to its user. Each owner learns of it from the
 * records or from the next takeover promise that it gets, or it stops acting: a lease is of no use beyond
 * `maxStalenessMs` without the records, and a promise lasts no longer than a lease. From then on agents are commanded to
 * stop, or their leases expire. Where that takes longer than `cancelMs`, counted from the confirmation, the confirmation
 * is delayed by the difference.
 */
const confirmDelayMs = (cancelMs: number, maxStalenessMs: number, agentLeaseMs: number): number =>
	Math.max(0, maxStalenessMs + agentLeaseMs - cancelMs)

/** Duration of a controller's lease before rounding. */
const controllerLease = (agentLeaseS: number, slackS: number): number => {
	const leaseMs =
		1000 * Math.min(agentLeaseS * CONTROLLER_LEASE_PER_AGENT_LEASE, slackS * CONTROLLER_LEASE_PER_SLACK)
	return Math.min(MAX_CONTROLLER_LEASE_MS, Math.max(MIN_CONTROLLER_LEASE_MS, leaseMs))
}

/** Time that a cancellation has beyond an agent's lease, in seconds. */
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
	// One record less than would fit, for what surrounds them in the value.
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

/** The limits as `check-config` prints them, under the names that operators know. */
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
