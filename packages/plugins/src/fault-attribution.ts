/** Attributes failed calls either to the plug-in or to the job (the subject) that they were about. */

/** Maximum number of subjects kept; beyond it, the one with the least recent failure is dropped. */
const MAX_SUBJECTS = 1000
/** Number of a subject's failures after which further ones may be attributed to it. */
const FAILURES_OF_SUBJECT = 2

interface SubjectFailures {
	count: number
	/** number of successes of all subjects before the first of these failures */
	successesBefore: number
}

/**
 * Attributes failures. A plug-in that hangs for one job must stay available for all others, so a subject is considered
 * at fault if its calls fail repeatedly while calls about other subjects succeed.
 */
export class FaultAttribution {
	private readonly failures = new Map<string, SubjectFailures>()
	private successes = 0

	/** Returns whether a failure now is attributed to the subject instead of the plug-in. */
	isSubjectAtFault(subject: string): boolean {
		const failures = this.failures.get(subject)
		if (failures === undefined) return false
		return failures.count >= FAILURES_OF_SUBJECT && this.successes > failures.successesBefore
	}

	/** Returns the number of the subject's failures since its latest success. */
	failureCount(subject: string): number {
		return this.failures.get(subject)?.count ?? 0
	}

	recordSuccess(subject: string): void {
		this.successes++
		this.failures.delete(subject)
	}

	recordFailure(subject: string): void {
		const { count, successesBefore } = this.failures.get(subject) ?? {
			count: 0,
			successesBefore: this.successes,
		}
		// Deleted first, to move the subject to the end of the map's insertion order.
		this.failures.delete(subject)
		this.failures.set(subject, { count: count + 1, successesBefore })
		if (this.failures.size > MAX_SUBJECTS) this.forgetOldest()
	}

	private forgetOldest(): void {
		for (const [oldest] of this.failures) {
			this.failures.delete(oldest)
			return
		}
	}
}
