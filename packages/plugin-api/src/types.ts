/** What plug-ins receive, answer and export. */
import type { JobSpec } from '@heathroad/wire'

/** Version of the types that plug-ins see. Later versions add fields and never change the meaning of one. */
export const API = 1

/** A job as submitted. */
export type Job = Readonly<JobSpec>

/** Facts about a job beside its specification. */
export interface Facts {
	/** `API` of the controller */
	readonly api: number
	/** seconds since the job was accepted, by the wall clock, so as precise as the installation's clocks agree */
	readonly waitedS: number
	/** seconds until the job is released whatever the plug-in answers */
	readonly leftS: number
	/** number of earlier calls of this plug-in for the job by this controller */
	readonly asked: number
	/** the job's team: its guarantee (`cpus`, `gpus`) and its limit (`cpusMax`, `gpusMax`); 0: none */
	readonly team: {
		readonly name: string
		readonly cpus: number
		readonly gpus: number
		readonly cpusMax: number
		readonly gpusMax: number
	}
	/** jobs of the same team and class that are pending release by this plug-in, including this one */
	readonly waiting: number
	/**
	 * ids of the team's accepted jobs that are not terminal, the oldest first, at most 500; only for a plug-in whose
	 * manifest needs `team-jobs` and which was granted it
	 */
	readonly teamJobs?: readonly string[]
}

/** Answer before a job is accepted: a refusal reaches the user with its reason. */
export type Admission = { readonly pass: true } | { readonly refuse: string }

/** Answer before a job first starts: a held job is checked again, after `againS` seconds if given. */
export type Release = { readonly release: true } | { readonly hold: string; readonly againS?: number }

/** Exports of a plug-in's module. A hook that the manifest does not name may be left out; promises are awaited. */
export interface Plugin {
	admit?(job: Job): Admission | Promise<Admission>
	release?(job: Job, facts: Facts): Release | Promise<Release>
}

/** A function that a plug-in may export. */
export type Hook = 'admit' | 'release'
