import { Nonsense, readAdmission, readRelease } from './answers.js'
import { type Admission, API, type Facts, type Job, type Plugin, type Release } from './types.js'

/** A job for trying a plug-in: an ordinary small one, with what matters to the test changed. */
export const sampleJob = (more: Partial<Job> = {}): Job => ({
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
	...more,
})

export const sampleFacts = (more: Partial<Facts> = {}): Facts => ({
	api: API,
	waitedS: 0,
	leftS: 300,
	asked: 0,
	team: { name: 'core', cpus: 0, gpus: 0, cpusMax: 0, gpusMax: 0 },
	waiting: 1,
	...more,
})

const told = <A>(answer: A | Nonsense): A => {
	if (answer instanceof Nonsense) throw new Error(answer.why)
	return answer
}

/**
 * Calls a plug-in as a controller would, and reads its answers as strictly: what a controller could not act on is
 * thrown. For a plug-in's own tests.
 */
export const tryPlugin = (plugin: Plugin) => ({
	admit: async (job: Partial<Job> = {}): Promise<Admission> =>
		told(readAdmission(await plugin.admit?.(sampleJob(job)))),
	release: async (job: Partial<Job> = {}, facts: Partial<Facts> = {}): Promise<Release> =>
		told(readRelease(await plugin.release?.(sampleJob(job), sampleFacts(facts)))),
})
