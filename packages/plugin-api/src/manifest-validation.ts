/** Helpers for manifests that do not import the schema library, which would add 0.6 MB to a bundle. */
import type { Manifest } from './manifest-schema.js'

/** File name of the manifest in a plug-in's folder. */
export const MANIFEST_FILE = 'plugin.json'
/** Maximum size of a module or a manifest, in bytes. */
export const MAX_FILE_BYTES = 512 * 1024

/** Why a manifest is invalid. */
export class InvalidManifest {
	constructor(
		/** path of the invalid field; null if the whole manifest is invalid */
		readonly field: string | null,
		readonly why: string,
	) {}

	toString(): string {
		return this.field === null ? this.why : `${this.field}: ${this.why}`
	}
}

/** Reads a manifest. Passed as a function, so that its caller need not load the schema library. */
export type ReadManifest = (text: string) => Manifest | InvalidManifest

/** Returns whether the plug-in checks jobs of that class and team. */
export const coversJob = (manifest: Manifest, job: { jobClass: string; team: string }): boolean =>
	(manifest.classes?.includes(job.jobClass) ?? true) && (manifest.teams?.includes(job.team) ?? true)
