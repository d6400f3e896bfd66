/** Subjects that are remembered at most; the longest untouched are forgotten first. */
const MOST = 1000
/** After so many failures of its own, a subject's next ones speak against it and not against the plug-in. */
const ENOUGH = 2

/**
 * Whose fault was a failure? A plug-in that hangs for one job, and answers for all others, must go on answering for
 * those: what fails again and again between successes of others is that job.
 */
export class Blame {
	private readonly failures = new Map<string, { n: number; before: number }>()
	private successes = 0

	/** Does a failure now speak against the subject alone? */
	own(subject: string): boolean {
		const f = this.failures.get(subject)
		return f !== undefined && f.n >= ENOUGH && this.successes > f.before
	}

	/** How often it failed since it last succeeded. */
	times(subject: string): number {
		return this.failures.get(subject)?.n ?? 0
	}

	succeeded(subject: string): void {
		this.successes++
		this.failures.delete(subject)
	}

	failed(subject: string): void {
		const f = this.failures.get(subject) ?? { n: 0, before: this.successes }
		this.failures.delete(subject)
		this.failures.set(subject, { n: f.n + 1, before: f.before })
		if (this.failures.size > MOST)
			for (const [oldest] of this.failures) return void this.failures.delete(oldest)
	}
}
