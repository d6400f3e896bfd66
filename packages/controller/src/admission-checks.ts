/** Admission checks: the interface between a shard and checks that operators configure (plug-ins implement it). */
import type { JobSpec } from '@heathroad/wire'

/** A check's verdict on a job that is pending release. `againMs`: ms until the next query. */
export type Verdict =
	| { kind: 'release' }
	| { kind: 'hold'; why: string; againMs: number }
	/** the check failed or gave no usable answer */
	| { kind: 'unsure'; why: string; againMs: number }

/** An operator's settings for a check. */
export interface CheckSettings {
	/** ms after the job's acceptance at which the check counts as passed, whatever it answers */
	maxHoldMs: number
	/** how an `unsure` verdict is treated */
	whenUnsure: 'release' | 'hold'
	/** one query covers all jobs of a class and team */
	grouped: boolean
}

/** What a check receives in addition to the job's spec. */
export interface CheckContext {
	/** seconds since the job's acceptance */
	waitedS: number
	/** seconds until the check counts as passed, whatever it answers */
	leftS: number
	/** number of earlier queries about the same subject */
	asked: number
	/** number of jobs that wait for the verdict */
	waiting: number
}

/** Checks that operators configure, run before jobs are accepted and before they first start. No method blocks. */
export interface AdmissionChecks {
	/** Names of the checks that a job accepted now must pass before its first start. */
	required(spec: JobSpec): readonly string[]
	/**
	 * Checks a job before it is accepted. Calls `done`, at once or within the time that operators allow, with the reason
	 * for a rejection or null, and with the checks that release the job already: recording these with the acceptance saves
	 * a separate write.
	 */
	admit(spec: JobSpec, done: (rejection: string | null, released: readonly string[]) => void): void
	/** The settings of a check; null if it is not configured on this controller. */
	checkSettings(name: string): CheckSettings | null
	/** Requests a check's verdict on a job that is pending release. */
	requestVerdict(name: string, spec: JobSpec, context: CheckContext, done: (verdict: Verdict) => void): void
}

/** For clusters without checks: also releases jobs that were accepted elsewhere with required checks. */
export const NO_CHECKS: AdmissionChecks = {
	required: () => [],
	admit: (_spec, done) => done(null, []),
	checkSettings: () => null,
	requestVerdict: (_name, _spec, _context, done) => done({ kind: 'release' }),
}
