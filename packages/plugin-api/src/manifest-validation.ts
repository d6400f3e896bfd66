/** What users of manifests need without the schema library, which would add 0.6 MB to their bundle. */
import type { Manifest } from './manifest-schema.js'

/** Name of the manifest's file in a plug-in's folder. */
export const MANIFEST_FILE = 'plugin.json'
/** The largest module or manifest, in bytes. */
export const MAX_FILE_BYTES = 512 * 1024

/** Why a manifest is invalid. */
export class InvalidManifest {
	constructor(
		/** path of the invalid field; null: the whole manifest */
		readonly field: string | null,
		readonly why: string,
	) {}

	toString(): string {
		return this.field === null ? this.why : `${this.field}: ${this.why}`
	}
}

/** Reads a manifest. Programs that have the schema loaded pass this function to those that have not. */
export type ReadManifest = (text: string) => Manifest | InvalidManifest

/** Whether the manifest covers jobs of that class and team. */
export const coversJob = (manifest: Manifest, job: { jobClass: string; team: string }): boolean =>
	(manifest.classes?.includes(job.jobClass) ?? true) && (manifest.teams?.includes(job.team) ?? true)
