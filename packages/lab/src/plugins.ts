import { mkdirSync, renameSync, rmSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { digestOf } from '@heathroad/plugins'

/** Stand-in plug-ins: what each does to the jobs of its class. `v`: its version's number. */
const SOURCES: Record<string, (v: number) => string> = {
	good: (v) => `export const release = () => ({ release: true }) // ${v}`,
	holds: (v) =>
		`export const release = (job, facts) => facts.waitedS < 3 ? { hold: 'version ${v}', againS: 1 } : { release: true }`,
	loops: (v) => `export const release = () => { for (;;); } // ${v}`,
	allocates: (v) =>
		`export const release = () => { const a = []; for (;;) a.push(new Array(1000).fill(${v})) }`,
	throws: (v) => `export const release = () => { throw new Error('version ${v}') }`,
	nonsense: (v) => `export const release = () => ({ release: 'version ${v}' })`,
	alternates: (v) =>
		`let n = ${v}\nexport const release = () => { if (n++ % 2) throw new Error('every other'); return { release: true } }`,
	ends: (v) => `export const release = () => process.exit(${v})`,
	singular: (v) =>
		`export const release = (job) => { if (job.uid.endsWith('7')) for (;;); return { release: true } } // ${v}`,
}
export const PLUGIN_KINDS = Object.keys(SOURCES)

/** Jobs of this class are the business of the plug-in of that kind. */
export const classOf = (kind: string): string => `checked-${kind}`

/** A directory of stand-in plug-ins, replaced version by version while controllers look at it. */
export class PluginDirectory {
	private version = 0
	readonly ini: string
	private readonly dir: string

	constructor(
		private readonly base: string,
		private readonly kinds: readonly string[],
		holdAtMostS: number,
	) {
		this.dir = join(base, 'plugins')
		mkdirSync(this.dir)
		this.upgrade()
		this.ini = join(base, 'lab.ini')
		const sections = kinds.map(
			(k) => `[plugin.${k}]\nhold_at_most_s = ${holdAtMostS}\nwhen_unsure = hold-until-limit\ncall_ms = 100`,
		)
		const text = `[plugins]\ndir = ${this.dir}\nlook_s = 0.5\n[history]\n[daemon]\nbalancer_s = 2\n${sections.join('\n')}\n`
		writeFileSync(this.ini, text)
	}

	/** Puts the next version of each plug-in there; the folder changes at once, as an operator's rename would. */
	upgrade(): void {
		this.version++
		for (const kind of this.kinds) {
			const source = SOURCES[kind](this.version)
			const fresh = join(this.base, `${kind}-${this.version}`)
			mkdirSync(fresh)
			writeFileSync(join(fresh, 'index.js'), source)
			const manifest = {
				name: kind,
				version: `1.0.${this.version}`,
				api: 1,
				main: 'index.js',
				digest: digestOf(Buffer.from(source)),
				hooks: ['release'],
				classes: [classOf(kind)],
			}
			writeFileSync(join(fresh, 'plugin.json'), JSON.stringify(manifest))
			const place = join(this.dir, kind)
			rmSync(place, { recursive: true, force: true })
			renameSync(fresh, place)
		}
	}
}
