/** Job submissions: default values and generated ids. */
import { randomInt } from 'node:crypto'
import type { JobSpec } from '@heathroad/wire'

/** A job to submit; omitted fields get default values. */
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

/** Generates a job id of 18 random digits, drawn in two halves of nine. */
export const newUid = (): string => {
	const nineDigits = () => String(randomInt(1_000_000_000)).padStart(9, '0')
	return `job-${nineDigits()}${nineDigits()}`
}

/** Completes a submission with default values, and with a new id if it has none. */
export const toJobSpec = (submission: Submission): JobSpec => ({
	...DEFAULTS,
	...submission,
	uid: submission.uid ?? newUid(),
})
