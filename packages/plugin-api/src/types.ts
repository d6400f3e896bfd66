/** Types of a plug-in's module, its arguments and its answers. */
import type { JobSpec } from '@heathroad/wire'

/** Version of the plug-in API. Later versions add fields and never change the meaning of an existing one. */
export const API = 1

/** A job as submitted. */
export type Job = Readonly<JobSpec>

/** Facts about a job in addition to its specification. */
export interface Facts {
	/** API version of the controller (`API`) */
	readonly api: number
	/** seconds since the job was accepted, by wall-clock time; only as exact as the clocks of the controllers agree */
	readonly waitedS: number
	/** seconds until the job is released regardless of the plug-in's answers */
	readonly leftS: number
	/** number of earlier calls of this plug-in by this controller for the job */
	readonly asked: number
	/** the job's team with its guarantee (`cpus`, `gpus`) and its limit (`cpusMax`, `gpusMax`); 0 means none */
	readonly team: {
		readonly name: string
		readonly cpus: number
		readonly gpus: number
		readonly cpusMax: number
		readonly gpusMax: number
	}
	/** number of jobs of the same team and class that are pending release by this plug-in, including this one */
	readonly waiting: number
	/**
	 * ids of the team's accepted jobs that are not terminal, oldest first, up to 500; present only if the manifest
	 * needs the permission `team-jobs` and the operator granted it
	 */
	readonly teamJobs?: readonly string[]
}

/** Answer of the hook `admit`, which runs before a job is accepted. The user receives the reason of a refusal. */
export type Admission = { readonly pass: true } | { readonly refuse: string }

/** Answer of the hook `release`, called before a job first starts; `againS`: seconds until a held job is checked again. */
export type Release = { readonly release: true } | { readonly hold: string; readonly againS?: number }

/** Exports of a plug-in's module: the hooks that the manifest names. Returned promises are awaited. */
export interface Plugin {
	admit?(job: Job): Admission | Promise<Admission>
	release?(job: Job, facts: Facts): Release | Promise<Release>
}

/** Name of a function that a plug-in may export. */
export type Hook = 'admit' | 'release'
