/** Tolerances of comparisons between sums of floating-point numbers. */

/** Amounts of a resource, or costs, that differ by less than this count as equal. */
export const AMOUNT_TOLERANCE = 1e-9

/** Factor by which a cost may exceed a budget share and still count as covered. */
export const SHARE_TOLERANCE = 1 + 1e-6
