/** Tracks instance offers whose capacity is exhausted. */

interface Refusal {
	/** monotonic time in ms */
	retryAt: number
	/** latest backoff, in ms */
	backoffMs: number
}

/** How long to wait before a refused offer is requested again. */
export interface RefusalBackoff {
	/** backoff after the first refusal, or after a rental with only some of the machines */
	initialBackoffMs: number
	/** maximum backoff after consecutive refusals */
	maxBackoffMs: number
	/** some of the machines were rented */
	isPartlyFilled: boolean
}

/**
 * Offers that were refused for lack of capacity, and when to request them again; times are monotonic, in ms. One per
 * controller, merged with its peers' instances: otherwise every shard would spend its share of the call rate on the
 * same exhausted offers.
 */
export class OfferAvailability {
	private readonly refusalsByOffer = new Map<string, Refusal>()

	/** Returns whether the offer may be requested now. */
	isAvailable(offer: string, now: number): boolean {
		return (this.refusalsByOffer.get(offer)?.retryAt ?? 0) <= now
	}

	/** Returns whether the latest request for the offer by any controller was refused, however long ago. */
	wasRefusedLast(offer: string): boolean {
		return this.refusalsByOffer.has(offer)
	}

	/** Records that an offer was refused or partly filled. Each consecutive refusal doubles the backoff. */
	recordRefusal(offer: string, now: number, limits: RefusalBackoff): void {
		const previous = this.refusalsByOffer.get(offer)
		const isFirst = previous === undefined || limits.isPartlyFilled
		const backoffMs = Math.min(
			limits.maxBackoffMs,
			isFirst ? limits.initialBackoffMs : previous.backoffMs * 2,
		)
		this.refusalsByOffer.set(offer, { retryAt: now + backoffMs, backoffMs })
	}

	/** Records that all requested machines were rented. */
	recordSuccess(offer: string): void {
		this.refusalsByOffer.delete(offer)
	}

	/** Exhausted offers for the peer status, each with the remaining backoff in ms. */
	exhaustedForMs(now: number): Record<string, number> {
		const remainingMsByOffer: Record<string, number> = {}
		for (const [offer, { retryAt }] of this.refusalsByOffer)
			if (retryAt > now) remainingMsByOffer[offer] = Math.round(retryAt - now)
		return remainingMsByOffer
	}

	/** Merges a peer's `exhaustedForMs`; never shortens a backoff. Values that are not positive numbers are ignored. */
	mergeFromPeer(remainingMsByOffer: Record<string, unknown>, now: number): void {
		for (const [offer, remainingMs] of Object.entries(remainingMsByOffer)) {
			if (typeof remainingMs !== 'number' || !(remainingMs > 0)) continue
			const retryAt = now + remainingMs
			const refusal = this.refusalsByOffer.get(offer)
			if (refusal === undefined) this.refusalsByOffer.set(offer, { retryAt, backoffMs: remainingMs })
			else refusal.retryAt = Math.max(refusal.retryAt, retryAt)
		}
	}
}
