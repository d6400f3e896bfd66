// Route plans are released together: a few more bookings may come in the first seconds, and a crew gets one route.
const GATHER_S = 5
const ENOUGH = 20

/** Held for some seconds, unless many plans of the class wait already. */
export const release = (_job, facts) =>
	facts.waitedS < GATHER_S && facts.waiting < ENOUGH
		? { hold: 'gathering the plans of this minute', againS: GATHER_S - facts.waitedS }
		: { release: true }
