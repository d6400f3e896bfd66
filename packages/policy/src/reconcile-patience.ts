/** How long the reconciliation of a shard waits for machines that do not report. */

/** If more than this fraction of a shard's machines is missing, it is rather this controller that is cut off. */
const MAX_MISSING_FRACTION = 1 / 4
/** Within this fraction of the longest wait a live machine has answered, whatever the load of this controller. */
const MIN_WAIT_FRACTION = 0.3

/**
 * How long reconciliation waits for machines that neither answer nor report before they are returned to the cloud, in ms
 * after the takeover; null: they are not returned, and their leases must expire.
 *
 * All work of the shard waits for them, and what is lost by a mistaken return is that one machine's work: so the wait
 * grows with how many are missing, up to `maxWaitMs` for a quarter of them. With a fixed wait, one dead machine among two
 * hundred, of which there is nearly always one at these sizes, made every takeover cost the whole time.
 */
export const reconcilePatienceMs = (missing: number, machines: number, maxWaitMs: number): number | null => {
	if (missing > machines * MAX_MISSING_FRACTION) return null
	const waitFraction = missing / Math.max(1, machines) / MAX_MISSING_FRACTION
	return maxWaitMs * Math.max(MIN_WAIT_FRACTION, waitFraction)
}
