/** Of a part's machines more than this share missing says that it is rather we who are cut off. */
const MOST_MISSING = 1 / 4
/** A machine that lives has answered by this share of the longest patience, whatever our own load. */
const LEAST_PATIENCE = 0.3

/**
 * How long a rebuild waits for machines that neither answer nor report before it returns them, in ms after the take;
 * null: it does not return them, their leases must end.
 *
 * All work of the part waits for them, and what returning one by mistake loses is that one machine's work: so the wait
 * grows with how many are missing, up to `mostMs` for a quarter of them. With one dead machine among two hundred, as
 * there is nearly always at these sizes, every takeover cost the whole time.
 */
export const reconcilePatienceMs = (missing: number, machines: number, mostMs: number): number | null => {
	if (missing > machines * MOST_MISSING) return null
	const share = missing / Math.max(1, machines) / MOST_MISSING
	return mostMs * Math.max(LEAST_PATIENCE, share)
}
