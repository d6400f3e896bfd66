/**
 * Offers that were refused for want of capacity, and when to ask again. One book per controller, merged with what
 * its peers learnt: otherwise every part spends its slice of the call rate on the same empty offers.
 */
export class OfferAvailability {
	private readonly book = new Map<string, { until: number; ms: number }>()

	isAvailable(offer: string, now: number): boolean {
		return (this.book.get(offer)?.until ?? 0) <= now
	}

	/** Was it refused the last time that anybody asked, however long ago? */
	wasRefusedLast(offer: string): boolean {
		return this.book.has(offer)
	}

	/** Refused or filled in part. Each refusal in a row doubles the wait, up to `maxMs`. */
	recordRefusal(offer: string, now: number, firstMs: number, maxMs: number, partly: boolean): void {
		const known = this.book.get(offer)
		const ms = Math.min(maxMs, known === undefined || partly ? firstMs : known.ms * 2)
		this.book.set(offer, { until: now + ms, ms })
	}

	recordSuccess(offer: string): void {
		this.book.delete(offer)
	}

	/** What to tell the peers: offer -> ms for which it need not be asked. */
	exhaustedForMs(now: number): Record<string, number> {
		const out: Record<string, number> = {}
		for (const [offer, { until }] of this.book) if (until > now) out[offer] = Math.round(until - now)
		return out
	}

	/** What a peer told; it never shortens what we found ourselves. */
	mergeFromPeer(news: Record<string, unknown>, now: number): void {
		for (const [offer, left] of Object.entries(news)) {
			if (typeof left !== 'number' || !(left > 0)) continue
			const known = this.book.get(offer)
			if (known === undefined) this.book.set(offer, { until: now + left, ms: left })
			else known.until = Math.max(known.until, now + left)
		}
	}
}
