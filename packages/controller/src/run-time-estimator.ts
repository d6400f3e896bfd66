/** Estimates of run times, from what users expect and how jobs of the same class actually ran. */
import type { JobSpec } from '@heathroad/wire'

/** The shortest estimate, in seconds: jobs may state that they expect to take no time. */
const MIN_ESTIMATE_S = 0.1

/** Observations of a class below which the user's own figure is taken. */
const MIN_OBSERVATIONS = 3

/** The average forgets: an observation weighs 1/51 at least, so that estimates follow a change of the workload. */
const MAX_WEIGHTED_OBSERVATIONS = 50

/** Bounds of one observed ratio: a single odd task must not spoil the estimates of its class. */
const MIN_RATIO = 0.1
const MAX_RATIO = 5

interface RunTimeRatio {
	/** actual over expected run time, a moving average */
	ratio: number
	observations: number
}

/** Learns, by job class, how actual run times compare with the expected ones. */
export class RunTimeEstimator {
	private readonly ratios = new Map<string, RunTimeRatio>()

	/** Estimated run time of a task of this job, in seconds. */
	estimateS(spec: JobSpec): number {
		const average = this.ratios.get(spec.jobClass)
		const ratio = average !== undefined && average.observations >= MIN_OBSERVATIONS ? average.ratio : 1
		return Math.max(MIN_ESTIMATE_S, spec.expectedS * ratio)
	}

	/** A task of this job ran for so many seconds in all. */
	observe(spec: JobSpec, seconds: number): void {
		if (spec.expectedS <= 0) return
		const observed = Math.min(MAX_RATIO, Math.max(MIN_RATIO, seconds / spec.expectedS))
		const average = this.ratios.get(spec.jobClass) ?? { ratio: 1, observations: 0 }
		average.observations = Math.min(average.observations + 1, MAX_WEIGHTED_OBSERVATIONS)
		average.ratio += (observed - average.ratio) / (average.observations + 1)
		this.ratios.set(spec.jobClass, average)
	}
}
