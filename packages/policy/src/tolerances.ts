/** Tolerances of comparisons between sums of floating-point numbers. */

/** Two amounts of a resource, or two costs, that differ by less count as equal. */
export const AMOUNT_TOLERANCE = 1e-9

/** Factor by which a cost may exceed a budget share and still count as covered. */
export const SHARE_TOLERANCE = 1 + 1e-6
