/** Findings of the state check. */

/** An inconsistency, printed as `key: what`. */
export interface Finding {
	/** key of the record, or id of a machine without a record */
	key: string
	/** description of the inconsistency */
	what: string
}

/** Adds a finding. */
export type Report = (key: string, what: string) => void
