/** Memory of instance offers whose capacity is exhausted. */

interface Refusal {
	/** steady time in ms */
	retryAt: number
	/** length of the latest pause */
	pauseMs: number
}

/** How long a refused offer is not asked for again. */
export interface RefusalPause {
	/** pause after the first refusal, or after an answer with some of the machines */
	firstPauseMs: number
	/** longest pause after several refusals in a row */
	maxPauseMs: number
	/** some of the machines were rented */
	isPartlyFilled: boolean
}

/**
 * Offers that were refused for want of capacity, and when to ask again; times are steady time in ms. There is one of these
 * per controller, merged with what its peers learnt: otherwise every shard spends its slice of the call rate on the same
 * exhausted offers.
 */
export class OfferAvailability {
	private readonly refusalsByOffer = new Map<string, Refusal>()

	/** May the offer be asked for now? */
	isAvailable(offer: string, now: number): boolean {
		return (this.refusalsByOffer.get(offer)?.retryAt ?? 0) <= now
	}

	/** Was the offer refused the last time that any controller asked for it, however long ago? */
	wasRefusedLast(offer: string): boolean {
		return this.refusalsByOffer.has(offer)
	}

	/** Records that an offer was refused, or filled in part. Each refusal in a row doubles the pause. */
	recordRefusal(offer: string, now: number, pause: RefusalPause): void {
		const previous = this.refusalsByOffer.get(offer)
		const isFirst = previous === undefined || pause.isPartlyFilled
		const pauseMs = Math.min(pause.maxPauseMs, isFirst ? pause.firstPauseMs : previous.pauseMs * 2)
		this.refusalsByOffer.set(offer, { retryAt: now + pauseMs, pauseMs })
	}

	/** Records that all machines asked for were rented. */
	recordSuccess(offer: string): void {
		this.refusalsByOffer.delete(offer)
	}

	/** For the peers: exhausted offers, each with the ms for which it need not be asked for. */
	exhaustedForMs(now: number): Record<string, number> {
		const remainingMsByOffer: Record<string, number> = {}
		for (const [offer, { retryAt }] of this.refusalsByOffer)
			if (retryAt > now) remainingMsByOffer[offer] = Math.round(retryAt - now)
		return remainingMsByOffer
	}

	/** Merges a peer's `exhaustedForMs`; it never shortens a pause. Values that are not positive numbers are ignored. */
	mergeFromPeer(remainingMsByOffer: Record<string, unknown>, now: number): void {
		for (const [offer, remainingMs] of Object.entries(remainingMsByOffer)) {
			if (typeof remainingMs !== 'number' || !(remainingMs > 0)) continue
			const retryAt = now + remainingMs
			const refusal = this.refusalsByOffer.get(offer)
			if (refusal === undefined) this.refusalsByOffer.set(offer, { retryAt, pauseMs: remainingMs })
			else refusal.retryAt = Math.max(refusal.retryAt, retryAt)
		}
	}
}
