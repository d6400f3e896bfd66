/** Unary calls that are retried until they are answered or their deadline has passed. */
import { DeadlineOver, type JobError, MalformedJob, NeverRuns, UnknownJob } from './errors.js'
import { callSignal, delay, throwIfInterrupted } from './interruption.js'
import { hasTimeForRetry, retryDelayMs } from './retry.js'
import type { JobInfo, Outcome, Rejection, Transport } from './transport.js'
import type { TransportPool } from './transport-pool.js'

/** Options of one call. */
export interface CallOptions {
	/** timeout of the call including all its retries, in ms */
	deadlineMs?: number
	/** aborts the call */
	signal?: AbortSignal
}

/** Timeouts of calls, in ms. */
export interface CallTimes {
	/** timeout of a call including all its retries, unless its options set one */
	deadlineMs: number
	/** timeout of one try */
	tryMs: number
}

/** One try of a call at one address. */
export type CallAttempt = (transport: Transport, timeoutMs: number, signal: AbortSignal) => Promise<Outcome>

const REJECTION_ERRORS = {
	malformed: MalformedJob,
	'never runs': NeverRuns,
	'unknown job': UnknownJob,
} as const

/** Creates the error for a rejected call. `mayBeAccepted`: an earlier try may have been accepted. */
export const rejectionError = (rejection: Rejection, uid: string, mayBeAccepted: boolean): JobError => {
	const RejectionError = REJECTION_ERRORS[rejection.reason]
	return new RejectionError(rejection.text, uid, mayBeAccepted)
}

/** Tries calls at one address after the other, with a delay between tries. */
export class RetryingCaller {
	constructor(
		private readonly transports: TransportPool,
		private readonly times: CallTimes,
		private readonly random: () => number,
	) {}

	/** Makes a call that concerns job `uid`. Errors: those of a rejection, `DeadlineOver`, `Interrupted`. */
	async call(uid: string, options: CallOptions, attempt: CallAttempt): Promise<JobInfo> {
		const call = { uid, signal: callSignal(options.signal), mayBeAccepted: false }
		const deadline = performance.now() + (options.deadlineMs ?? this.times.deadlineMs)
		let failedGrpcTries = 0
		for (let tries = 1; ; tries++) {
			throwIfInterrupted(call)
			const { transport, candidateCount } = await this.transports.choose(failedGrpcTries)
			const outcome = await attempt(transport, this.tryTimeoutMs(deadline), call.signal)
			if (outcome.kind === 'job') return outcome.job
			if (outcome.kind === 'rejected') {
				// A rejection does not undo an earlier try that was accepted; only an unknown job was certainly never accepted.
				throw rejectionError(outcome, uid, call.mayBeAccepted && outcome.reason !== 'unknown job')
			}
			call.mayBeAccepted ||= outcome.mayBeAccepted
			throwIfInterrupted(call)
			if (outcome.lacksGrpc) failedGrpcTries++
			this.transports.advance()
			const retryContext = { tries, failure: outcome, addressCount: candidateCount, random: this.random }
			const delayMs = retryDelayMs(retryContext)
			if (!hasTimeForRetry(performance.now(), delayMs, deadline))
				throw new DeadlineOver(`no answer in time; last: ${outcome.text}`, uid, call.mayBeAccepted)
			await delay(delayMs, call)
		}
	}

	private tryTimeoutMs(deadline: number): number {
		const remainingMs = deadline - performance.now()
		return Math.max(1, Math.min(this.times.tryMs, remainingMs))
	}
}
