/** Admission checks: what a shard needs from the operators' own checks, whoever implements them. */
import type { JobSpec } from '@heathroad/wire'

/** A check's answer about a job that is pending release. Times are in ms. */
export type Verdict =
	| { kind: 'release' }
	| { kind: 'hold'; why: string; againMs: number }
	/** no answer that can be acted on */
	| { kind: 'unsure'; why: string; againMs: number }

/** An operator's settings for a check. */
export interface CheckTerms {
	/** ms from the job's acceptance; then the job is released whatever the check answers */
	atMostMs: number
	/** what an unsure answer means */
	whenUnsure: 'release' | 'hold'
	/** one question for all jobs of a class and team */
	grouped: boolean
}

/** What a check learns beside the job's spec. */
export interface CheckContext {
	/** seconds since the job's acceptance */
	waitedS: number
	/** seconds until the job is released whatever the check answers */
	leftS: number
	/** how often the check has been asked this question before */
	asked: number
	/** jobs that wait for the answer */
	waiting: number
}

/** The operators' own checks, before jobs are accepted and before they first start. No method blocks. */
export interface AdmissionChecks {
	/** Names of the checks that a job accepted now has to pass before its first start. */
	required(spec: JobSpec): readonly string[]
	/**
	 * Checks a job before it is accepted. `done` is called at once or within the budget that operators set: with the
	 * reason of a refusal, or null; and with the checks that release the job already, so that its acceptance records that
	 * and no separate write has to.
	 */
	admit(spec: JobSpec, done: (refusal: string | null, released: readonly string[]) => void): void
	/** The settings of a check; null if there is no such check here. */
	terms(name: string): CheckTerms | null
	/** Asks a check about a job that is pending release. */
	ask(name: string, spec: JobSpec, seen: CheckContext, done: (verdict: Verdict) => void): void
}

/** For clusters without checks: jobs that were accepted elsewhere with some are released. */
export const NO_CHECKS: AdmissionChecks = {
	required: () => [],
	admit: (_spec, done) => done(null, []),
	terms: () => null,
	ask: (_name, _spec, _seen, done) => done({ kind: 'release' }),
}
