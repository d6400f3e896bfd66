/** The lab's directory of plug-ins, whose versions are replaced during an experiment. */
import { mkdirSync, renameSync, rmSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { digestOf } from '@heathroad/plugins'

/** Source code of the plug-ins by kind, given a version; each kind behaves well or fails in its own way. */
const SOURCES: Record<string, (version: number) => string> = {
	good: (version) => `export const release = () => ({ release: true }) // ${version}`,
	holds: (version) =>
		`export const release = (job, facts) => facts.waitedS < 3 ? { hold: 'version ${version}', againS: 1 } : { release: true }`,
	loops: (version) => `export const release = () => { for (;;); } // ${version}`,
	allocates: (version) =>
		`export const release = () => { const a = []; for (;;) a.push(new Array(1000).fill(${version})) }`,
	throws: (version) => `export const release = () => { throw new Error('version ${version}') }`,
	nonsense: (version) => `export const release = () => ({ release: 'version ${version}' })`,
	alternates: (version) =>
		`let n = ${version}\nexport const release = () => { if (n++ % 2) throw new Error('every other'); return { release: true } }`,
	ends: (version) => `export const release = () => process.exit(${version})`,
	singular: (version) =>
		`export const release = (job) => { if (job.uid.endsWith('7')) for (;;); return { release: true } } // ${version}`,
}

/** Names of all kinds of plug-ins. */
export const PLUGIN_KINDS = Object.keys(SOURCES)

/** Returns the job class that the plug-in of a kind checks. */
export const jobClassOf = (kind: string): string => `checked-${kind}`

/** A directory of plug-ins that are upgraded while controllers use it. */
export class PluginDirectory {
	private version = 0
	/** path of the operators' settings that configure the plug-ins */
	readonly ini: string
	private readonly dir: string

	constructor(
		private readonly base: string,
		private readonly kinds: readonly string[],
		maxHoldS: number,
	) {
		this.dir = join(base, 'plugins')
		mkdirSync(this.dir)
		this.upgrade()
		this.ini = join(base, 'lab.ini')
		const sections = kinds.map(
			(kind) =>
				`[plugin.${kind}]\nhold_at_most_s = ${maxHoldS}\nwhen_unsure = hold-until-limit\ncall_ms = 100`,
		)
		const text = `[plugins]\ndir = ${this.dir}\nlook_s = 0.5\n[history]\n[daemon]\nbalancer_s = 2\n${sections.join('\n')}\n`
		writeFileSync(this.ini, text)
	}

	/** Installs the next version of each plug-in by a rename, as an operator does. */
	upgrade(): void {
		this.version++
		for (const kind of this.kinds) {
			const source = SOURCES[kind](this.version)
			const staging = join(this.base, `${kind}-${this.version}`)
			mkdirSync(staging)
			writeFileSync(join(staging, 'index.js'), source)
			const manifest = {
				name: kind,
				version: `1.0.${this.version}`,
				api: 1,
				main: 'index.js',
				digest: digestOf(Buffer.from(source)),
				hooks: ['release'],
				classes: [jobClassOf(kind)],
			}
			writeFileSync(join(staging, 'plugin.json'), JSON.stringify(manifest))
			const target = join(this.dir, kind)
			rmSync(target, { recursive: true, force: true })
			renameSync(staging, target)
		}
	}
}
