/** Delays between the tries of a call. */
import type { RetryableFailure } from './transport.js'

/** The first retry delay, in ms; it doubles with each try. */
const FIRST_DELAY_MS = 200
/** The longest delay that the client chooses by itself, in ms; the service may request a longer one. */
const MAX_DELAY_MS = 10_000
/** The longest delay after a try that no controller served, in ms; a controller that needs a longer one requests it. */
const MAX_UNSERVED_DELAY_MS = 2_000
/** Limit of the exponent, so that the delay stays a finite number. */
const MAX_DOUBLINGS = 16
/** Fraction of the first delay before the next address is tried, if the current one is unreachable. */
const NEXT_ADDRESS_DELAY_FACTOR = 0.1
/** Jitter multiplies a delay by a random factor from this to 1. */
const MIN_JITTER = 0.5
/** Largest fraction that jitter adds to the delay that the service requested. */
const RETRY_AFTER_JITTER = 0.25

/** Input for the delay before the next try. */
export interface RetryContext {
	/** number of tries so far, over all addresses, from 1 */
	tries: number
	/** failure of the latest try */
	failure: RetryableFailure
	/** number of addresses that are tried in turn */
	addressCount: number
	/** returns random numbers from 0 to 1 */
	random: () => number
}

/** Whether the try failed because no controller served it, rather than because of too many calls. */
const wasUnserved = ({ isUnreachable, isConnectionLost, isNotServing }: RetryableFailure): boolean =>
	isUnreachable || isConnectionLost === true || isNotServing === true

/**
 * Returns the delay before the next try, in ms: exponential backoff with jitter, so that clients that lost the same
 * controller do not all reconnect at the same moment. It is at least the delay that the service requested, with up to a
 * quarter added.
 */
export const retryDelayMs = ({ tries, failure, addressCount, random }: RetryContext): number => {
	// In each round all addresses are tried in quick succession before a longer delay.
	const hasUntriedAddress = failure.isUnreachable && tries % addressCount !== 0
	if (hasUntriedAddress) return FIRST_DELAY_MS * NEXT_ADDRESS_DELAY_FACTOR * random()
	const rounds = failure.isUnreachable ? Math.floor(tries / addressCount) : tries
	const doublings = Math.min(MAX_DOUBLINGS, Math.max(0, rounds - 1))
	const maxDelayMs = wasUnserved(failure) ? MAX_UNSERVED_DELAY_MS : MAX_DELAY_MS
	const backoffMs = Math.min(maxDelayMs, FIRST_DELAY_MS * 2 ** doublings)
	const delayMs = backoffMs * (MIN_JITTER + random() * (1 - MIN_JITTER))
	if (failure.retryAfterMs === null) return delayMs
	return Math.max(delayMs, failure.retryAfterMs * (1 + random() * RETRY_AFTER_JITTER))
}

/** Whether a try after the delay would start before the deadline; all times in ms. */
export const hasTimeForRetry = (now: number, delayMs: number, deadline: number): boolean =>
	now + delayMs < deadline
