import type { Manifest } from './manifest.js'

export const MANIFEST = 'plugin.json'
/** Bytes of the module, and of the manifest. */
export const MOST_BYTES = 512 * 1024

/** What is wrong with a manifest: the field, null for the whole, and why. */
export class BadManifest {
	constructor(
		readonly field: string | null,
		readonly why: string,
	) {}

	toString(): string {
		return this.field === null ? this.why : `${this.field}: ${this.why}`
	}
}

/** Reads a manifest. Whoever has the schemas loaded hands this to those who have not: a second copy is 0.6 MB of program. */
export type ReadManifest = (text: string) => Manifest | BadManifest

/** Is this plug-in asked about jobs of that class and team? */
export const concerns = (m: Manifest, job: { jobClass: string; team: string }): boolean =>
	(m.classes?.includes(job.jobClass) ?? true) && (m.teams?.includes(job.team) ?? true)
