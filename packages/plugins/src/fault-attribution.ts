/** Attribution of failed calls: to a plug-in, or to the job that they were about. */

/** Subjects that are remembered; beyond it the one whose last failure is longest ago is forgotten. */
const MAX_SUBJECTS = 1000
/** Failures of a subject after which further ones may be attributed to it. */
const FAILURES_OF_SUBJECT = 2

interface SubjectFailures {
	count: number
	/** successes of all subjects at the first of these failures */
	successesBefore: number
}

/**
 * Attributes failures. A plug-in that hangs for one job and answers for all others must stay available for those, so a
 * subject that fails repeatedly while calls about others succeed is at fault itself.
 */
export class FaultAttribution {
	private readonly failures = new Map<string, SubjectFailures>()
	private successes = 0

	/** Whether a failure now is attributed to the subject, and not to the plug-in. */
	isSubjectAtFault(subject: string): boolean {
		const failures = this.failures.get(subject)
		if (failures === undefined) return false
		return failures.count >= FAILURES_OF_SUBJECT && this.successes > failures.successesBefore
	}

	/** Number of the subject's failures since its latest success. */
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
		// Deleted first, so that it becomes the latest in the order of the map.
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
