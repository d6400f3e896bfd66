import type { PluginSettings } from '@heathroad/config'
import type { Facts, Hook, Job } from '@heathroad/plugin-api'
import { type Hearing, type Loaded, PluginHost, type Seating } from '@heathroad/plugins'
import type { Service } from '@heathroad/server'
import type { Clock } from './clock.js'

/** One call as a stand-in plug-in sees it; it may answer at once, later, twice or never. */
export interface FakeCall {
	hook: Hook
	job: Job
	facts: Facts
	controller: number
	nowMs: number
	answer(value: unknown, afterMs?: number): void
	fail(why: string): void
	crash(why: string): void
}

/** One version of a stand-in plug-in. */
export interface FakeVersion {
	version: string
	/** null: it cannot be loaded */
	behave: ((call: FakeCall) => void) | null
	ask?: 'job' | 'class'
	classes?: readonly string[]
	hooks?: readonly Hook[]
}

/** A directory of stand-in plug-ins, each with its present version; null: its folder is gone. */
export type FakeDirectory = Record<string, FakeVersion | null>

export const PLUGIN: PluginSettings = {
	holdAtMostS: 60,
	whenUnsure: 'hold',
	admitMs: 500,
	callMs: 200,
	memoryMb: 8,
	classes: null,
	teams: null,
	permissions: [],
}

const load = (name: string, v: FakeVersion): Loaded => ({
	manifest: {
		name,
		version: v.version,
		api: 1,
		main: 'index.js',
		digest: `sha256-${v.version}`,
		hooks: [...(v.hooks ?? ['release'])],
		...(v.classes === undefined ? {} : { classes: v.classes }),
		...(v.ask === undefined ? {} : { ask: v.ask }),
	},
	source: v.version,
	folder: name,
})

/** Seats without threads: time passes there as in the rest of the simulation. */
export const fakeSeating =
	(clock: Clock, controller: number, find: (name: string, version: string) => FakeVersion): Seating =>
	(plugin: Loaded, _rights, hear: Hearing) => {
		const { behave } = find(plugin.manifest.name, plugin.manifest.version)
		const later = (ms: number, what: () => void) => clock.after(ms, what, controller)
		let gone = false
		later(20, () => {
			if (!gone) behave === null ? hear.ended('does not load') : hear.ready()
		})
		return {
			call: (id, hook, args) =>
				behave?.({
					hook,
					job: args[0] as Job,
					facts: args[1] as Facts,
					controller,
					nowMs: clock.nowMs,
					answer: (value, afterMs = 1) => later(afterMs, () => hear.answer(id, value)),
					fail: (why) => later(1, () => hear.failed(id, why)),
					crash: (why) =>
						later(1, () => {
							if (!gone) hear.ended(why)
						}),
				}),
			end: () => {
				gone = true
			},
		}
	}

/** The plug-ins of one controller of a simulated day. `directory` may change at any time. */
export const fakePlugins = (
	clock: Clock,
	controller: number,
	node: Service,
	directory: FakeDirectory,
	settings: Record<string, PluginSettings>,
	lookS = 1,
): PluginHost => {
	const versions = new Map<string, FakeVersion>()
	const host = new PluginHost(
		{ dir: '/plugins', lookS, plugins: settings },
		{
			now: node.now,
			scan: () => {
				const found = Object.entries(directory).flatMap(([name, v]) => {
					if (v === null) return []
					versions.set(`${name} ${v.version}`, v)
					return [load(name, v)]
				})
				return Promise.resolve({ found, problems: [] })
			},
			seating: fakeSeating(clock, controller, (name, version) => versions.get(`${name} ${version}`)!),
			// What a plug-in does wrong is the day's doing, and no error of the controller's.
			log: (_level, event, fields) => node.log('info', event, fields),
			team: (name) => ({ name, cpus: 0, gpus: 0, cpusMax: 0, gpusMax: 0 }),
			teamJobs: (name) => node.openJobsOfTeam(name),
		},
	)
	void host.start()
	return host
}
