/** Estimates run times from users' expectations and the actual run times of jobs of the same class. */
import type { JobSpec } from '@heathroad/wire'

/** Minimum estimate in seconds: jobs may specify an expected run time of zero. */
const MIN_ESTIMATE_S = 0.1

/** Number of observations of a class below which the user's expected run time is used as it is. */
const MIN_OBSERVATIONS = 3

/** Cap on the observation count: each new one weighs at least 1/51, so that estimates follow workload changes. */
const MAX_WEIGHTED_OBSERVATIONS = 50

/** Bounds of one observed ratio: a single outlier must not distort the estimates of its class. */
const MIN_RATIO = 0.1
const MAX_RATIO = 5

interface RunTimeRatio {
	/** actual over expected run time, a moving average */
	ratio: number
	observations: number
}

/** Tracks the ratio of actual to expected run time by job class. */
export class RunTimeEstimator {
	private readonly ratios = new Map<string, RunTimeRatio>()

	/** Estimated run time of a task of this job, in seconds. */
	estimateS(spec: JobSpec): number {
		const average = this.ratios.get(spec.jobClass)
		const ratio = average !== undefined && average.observations >= MIN_OBSERVATIONS ? average.ratio : 1
		return Math.max(MIN_ESTIMATE_S, spec.expectedS * ratio)
	}

	/** Records that a task of this job ran for `seconds` in total. */
	observe(spec: JobSpec, seconds: number): void {
		if (spec.expectedS <= 0) return
		const observed = Math.min(MAX_RATIO, Math.max(MIN_RATIO, seconds / spec.expectedS))
		const average = this.ratios.get(spec.jobClass) ?? { ratio: 1, observations: 0 }
		average.observations = Math.min(average.observations + 1, MAX_WEIGHTED_OBSERVATIONS)
		average.ratio += (observed - average.ratio) / (average.observations + 1)
		this.ratios.set(spec.jobClass, average)
	}
}
