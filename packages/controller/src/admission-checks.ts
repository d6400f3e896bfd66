import type { JobSpec } from '@heathroad/wire'

/** What a check says of a job that waits for it. */
export type Verdict =
	| { kind: 'release' }
	| { kind: 'hold'; why: string; againMs: number }
	/** no answer that can be acted on */
	| { kind: 'unsure'; why: string; againMs: number }

/** What an operator has settled for a check. */
export interface CheckTerms {
	/** from its acceptance on; then the job is released whatever the check says */
	atMostMs: number
	whenUnsure: 'release' | 'hold'
	/** one question for all jobs of a class and team */
	grouped: boolean
}

/** What a check is told beside the job. */
export interface CheckContext {
	waitedS: number
	leftS: number
	asked: number
	waiting: number
}

/** Checks of the operators' own, before jobs are accepted and before they first start. Nothing here waits. */
export interface AdmissionChecks {
	/** which of them a job that is accepted now has to pass before its first start */
	required(spec: JobSpec): readonly string[]
	/**
	 * `done`: with the reason of a refusal, or null; at once or within the budget that operators set. `released`: checks that
	 * let the job start already, so that its acceptance settles that and no change of its own has to.
	 */
	admit(spec: JobSpec, done: (refusal: string | null, released: readonly string[]) => void): void
	/** null: there is no such check here */
	terms(name: string): CheckTerms | null
	ask(name: string, spec: JobSpec, seen: CheckContext, done: (verdict: Verdict) => void): void
}

/** What holds where operators have no checks: jobs that were accepted elsewhere with some are released. */
export const NO_CHECKS: AdmissionChecks = {
	required: () => [],
	admit: (_spec, done) => done(null, []),
	terms: () => null,
	ask: (_name, _spec, _seen, done) => done({ kind: 'release' }),
}
