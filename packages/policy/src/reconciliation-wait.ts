/** How long a shard's reconciliation waits for machines that do not report. */

/** If more than this fraction of a shard's machines is missing, this controller is probably the partitioned one. */
const MAX_MISSING_FRACTION = 1 / 4
/** A live machine answers within this fraction of the longest wait, whatever the load of this controller. */
const MIN_WAIT_FRACTION = 0.3

/**
 * How long reconciliation waits for machines that neither answer nor report before they are released to the cloud, in
 * ms after the takeover; null: they are not released, and their leases must expire.
 *
 * All work of the shard waits meanwhile, while a mistaken release loses only the work of that machine. So the wait
 * grows with the number of missing machines, up to `maxWaitMs` for a quarter of them. With a fixed wait, every takeover
 * took the full time for one failed machine among two hundred, and at these sizes there is nearly always one.
 */
export const reconciliationWaitMs = (missing: number, machines: number, maxWaitMs: number): number | null => {
	if (missing > machines * MAX_MISSING_FRACTION) return null
	const waitFraction = missing / Math.max(1, machines) / MAX_MISSING_FRACTION
	return maxWaitMs * Math.max(MIN_WAIT_FRACTION, waitFraction)
}
