import type { JobSpec } from '@heathroad/wire'

/** The version of everything in this package that plug-ins see. Later versions add fields and never change a meaning. */
export const API = 1

/** A job as it was submitted. */
export type Job = Readonly<JobSpec>

/** What is known of a job beside its description. */
export interface Facts {
	/** `API` of the controller */
	readonly api: number
	/** seconds since the job was accepted, by the time of day (off by the bound of the installation's clocks) */
	readonly waitedS: number
	/** seconds after which it is released whatever is answered */
	readonly leftS: number
	/** how often this plug-in has been asked about it by this controller before */
	readonly asked: number
	/** the job's team: its guarantee and its limit in CPUs and GPUs; 0: none */
	readonly team: {
		readonly name: string
		readonly cpus: number
		readonly gpus: number
		readonly cpusMax: number
		readonly gpusMax: number
	}
	/** jobs of the same team and class that wait for this plug-in too, this one counted */
	readonly waiting: number
	/**
	 * ids of the team's jobs that are accepted and not over, the oldest first, at most 500; only for a plug-in that needs
	 * `team-jobs` and was granted it
	 */
	readonly teamJobs?: readonly string[]
}

/** Before acceptance: a refusal reaches the user, with its reason. */
export type Admission = { readonly pass: true } | { readonly refuse: string }

/** Before the first start: a job that is held is asked about again, after `againS` seconds if that is given. */
export type Release = { readonly release: true } | { readonly hold: string; readonly againS?: number }

/** What a plug-in's module exports; a hook may be left out if the manifest does not name it. Promises are waited for. */
export interface Plugin {
	admit?(job: Job): Admission | Promise<Admission>
	release?(job: Job, facts: Facts): Release | Promise<Release>
}

export type Hook = 'admit' | 'release'
