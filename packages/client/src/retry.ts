/** Delays between the tries of a call. */
import type { RetryableFailure } from './transport.js'

/** The first delay, in ms; it doubles with each try. */
const FIRST_DELAY_MS = 200
/** The longest delay that the client chooses itself, in ms; the service may ask for a longer one. */
const MAX_DELAY_MS = 10_000
/** The longest delay after a try that no controller served, in ms; a controller that needs a longer one asks for it. */
const MAX_UNSERVED_DELAY_MS = 2_000
/** Keeps the doubled delay a number that can be represented. */
const MAX_DOUBLINGS = 16
/** Share of the first delay before the next address, if nobody was reached at this one. */
const NEXT_ADDRESS_SHARE = 0.1
/** A delay is drawn from its upper half. */
const MIN_JITTER = 0.5
/** Share by which the delay that the service asked for is exceeded at most. */
const RETRY_AFTER_JITTER = 0.25

/** What the delay before the next try depends on. */
export interface RetryContext {
	/** number of tries so far, over all addresses, from 1 */
	tries: number
	/** how the latest try failed */
	failure: RetryableFailure
	/** number of addresses that are tried in turn */
	addressCount: number
	/** random numbers from 0 to 1 */
	random: () => number
}

/** Whether the try failed because no controller served it, and not because there are too many calls. */
const wasUnserved = ({ isUnreachable, isConnectionLost, isNotServing }: RetryableFailure): boolean =>
	isUnreachable || isConnectionLost === true || isNotServing === true

/**
 * The delay before the next try, in ms. It doubles and has jitter, so that clients which lost the same controller at one
 * moment do not reconnect together. A delay that the service asked for is the least, with up to a quarter more.
 */
export const retryDelayMs = ({ tries, failure, addressCount, random }: RetryContext): number => {
	// In every round all addresses are tried before any longer delay.
	const hasUntriedAddress = failure.isUnreachable && tries % addressCount !== 0
	if (hasUntriedAddress) return FIRST_DELAY_MS * NEXT_ADDRESS_SHARE * random()
	const rounds = failure.isUnreachable ? Math.floor(tries / addressCount) : tries
	const doublings = Math.min(MAX_DOUBLINGS, Math.max(0, rounds - 1))
	const maxDelayMs = wasUnserved(failure) ? MAX_UNSERVED_DELAY_MS : MAX_DELAY_MS
	const backoffMs = Math.min(maxDelayMs, FIRST_DELAY_MS * 2 ** doublings)
	const delayMs = backoffMs * (MIN_JITTER + random() * (1 - MIN_JITTER))
	if (failure.retryAfterMs === null) return delayMs
	return Math.max(delayMs, failure.retryAfterMs * (1 + random() * RETRY_AFTER_JITTER))
}

/** Whether a try after the delay would begin before the deadline; all times in ms. */
export const hasTimeForRetry = (now: number, delayMs: number, deadline: number): boolean =>
	now + delayMs < deadline
