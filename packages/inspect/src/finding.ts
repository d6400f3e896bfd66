/** What the inspection of the state reports. */

/** An inconsistency, as it is printed. */
export interface Finding {
	/** the key of the record, or the id of a machine without one */
	key: string
	what: string
}

/** Adds a finding. */
export type Report = (key: string, what: string) => void
