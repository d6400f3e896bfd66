/** Helpers for testing a plug-in. */
import { InvalidAnswer, readAdmission, readRelease } from './answers.js'
import { type Admission, API, type Facts, type Job, type Plugin, type Release } from './types.js'

/** Returns a small job with default values, overridden by the given fields. */
export const sampleJob = (changes: Partial<Job> = {}): Job => ({
	uid: 'job-000001',
	jobClass: 'any',
	team: 'core',
	kind: 'sweep',
	priority: 'normal',
	tasks: 4,
	cpus: 1,
	gpus: 0,
	ramGb: 1,
	types: null,
	zone: null,
	samePlace: false,
	apart: false,
	spot: false,
	image: 'base',
	imageGb: 1,
	expectedS: 60,
	checkpointS: 0,
	saveS: 0,
	dueS: null,
	...changes,
})

/** Returns the facts of a job that was just accepted, overridden by the given fields. */
export const sampleFacts = (changes: Partial<Facts> = {}): Facts => ({
	api: API,
	waitedS: 0,
	leftS: 300,
	asked: 0,
	team: { name: 'core', cpus: 0, gpus: 0, cpusMax: 0, gpusMax: 0 },
	waiting: 1,
	...changes,
})

const requireValid = <Answer>(answer: Answer | InvalidAnswer): Answer => {
	if (answer instanceof InvalidAnswer) throw new Error(answer.why)
	return answer
}

/**
 * Calls a plug-in's hooks and validates the answers as a controller does. Throws an error for an answer that a
 * controller would reject.
 */
export const tryPlugin = (plugin: Plugin) => ({
	admit: async (job: Partial<Job> = {}): Promise<Admission> =>
		requireValid(readAdmission(await plugin.admit?.(sampleJob(job)))),
	release: async (job: Partial<Job> = {}, facts: Partial<Facts> = {}): Promise<Release> =>
		requireValid(readRelease(await plugin.release?.(sampleJob(job), sampleFacts(facts)))),
})
