/** Submissions of jobs: default values and new ids. */
import { randomInt } from 'node:crypto'
import type { JobSpec } from '@heathroad/wire'

/** A submission; fields that are left out have their default values. */
export type Submission = Pick<JobSpec, 'jobClass' | 'team' | 'image'> & Partial<JobSpec>

const DEFAULTS: Omit<JobSpec, 'uid' | 'jobClass' | 'team' | 'image'> = {
	kind: 'sweep',
	priority: 'normal',
	tasks: 1,
	cpus: 1,
	gpus: 0,
	ramGb: 1,
	types: null,
	zone: null,
	samePlace: false,
	apart: false,
	spot: false,
	imageGb: 0,
	expectedS: 60,
	checkpointS: 0,
	saveS: 0,
	dueS: null,
}

/** A new id of 18 random digits, drawn in two halves of nine. */
export const newUid = (): string => {
	const nineDigits = () => String(randomInt(1_000_000_000)).padStart(9, '0')
	return `job-${nineDigits()}${nineDigits()}`
}

/** The whole specification; without an id it gets a new one. */
export const toJobSpec = (submission: Submission): JobSpec => ({
	...DEFAULTS,
	...submission,
	uid: submission.uid ?? newUid(),
})
