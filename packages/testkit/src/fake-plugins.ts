/** Fake plug-ins for simulated days: they run without threads, in the simulation's time. */
import type { PluginSettings } from '@heathroad/config'
import type { Facts, Hook, Job } from '@heathroad/plugin-api'
import { type LoadedPlugin, PluginHost, type RuntimeFactory, type RuntimeListener } from '@heathroad/plugins'
import type { Service } from '@heathroad/server'
import type { Clock } from './clock.js'

/** One call as a fake plug-in sees it; it may answer at once, later, twice or never. */
export interface FakeCall {
	hook: Hook
	job: Job
	facts: Facts
	/** index of the controller that calls */
	controller: number
	nowMs: number
	/** answers after so many ms; 1 if not given */
	answer(value: unknown, afterMs?: number): void
	/** throws */
	fail(why: string): void
	/** ends the plug-in's thread */
	crash(why: string): void
}

/** One version of a fake plug-in. */
export interface FakeVersion {
	version: string
	/** what it does with a call; null: it cannot be loaded */
	behave: ((call: FakeCall) => void) | null
	/** is it asked about each job, or once for a class? */
	ask?: 'job' | 'class'
	classes?: readonly string[]
	hooks?: readonly Hook[]
}

/** A directory of fake plug-ins, each with its present version; null: its folder is gone. */
export type FakeDirectory = Record<string, FakeVersion | null>

/** Operator's settings of a plug-in that holds what is unsure. */
export const PLUGIN: PluginSettings = {
	maxHoldS: 60,
	whenUnsure: 'hold',
	admissionTimeoutMs: 500,
	callTimeoutMs: 200,
	memoryMb: 8,
	classes: null,
	teams: null,
	permissions: [],
}

/** Time until a fake plug-in is loaded, in ms. */
const LOAD_MS = 20
/** Time until a call has an effect, in ms, where the plug-in does not say. */
const CALL_MS = 1

/** A version as it is found in the directory. */
const loadedPlugin = (name: string, version: FakeVersion): LoadedPlugin => ({
	manifest: {
		name,
		version: version.version,
		api: 1,
		main: 'index.js',
		digest: `sha256-${version.version}`,
		hooks: [...(version.hooks ?? ['release'])],
		...(version.classes === undefined ? {} : { classes: version.classes }),
		...(version.ask === undefined ? {} : { ask: version.ask }),
	},
	source: version.version,
	folder: name,
})

/** Runs plug-ins without threads. `find`: the version of a plug-in by its name and version. */
export const fakeSeating =
	(clock: Clock, controller: number, find: (name: string, version: string) => FakeVersion): RuntimeFactory =>
	(plugin: LoadedPlugin, _rights, hearing: RuntimeListener) => {
		const { behave } = find(plugin.manifest.name, plugin.manifest.version)
		const after = (ms: number, run: () => void) => clock.after(ms, run, controller)
		let ended = false
		after(LOAD_MS, () => {
			if (ended) return
			if (behave === null) hearing.ended('does not load')
			else hearing.ready()
		})
		return {
			call: (id, hook, args) =>
				behave?.({
					hook,
					job: args[0] as Job,
					facts: args[1] as Facts,
					controller,
					nowMs: clock.nowMs,
					answer: (value, afterMs = CALL_MS) => after(afterMs, () => hearing.answer(id, value)),
					fail: (why) => after(CALL_MS, () => hearing.failed(id, why)),
					crash: (why) =>
						after(CALL_MS, () => {
							if (!ended) hearing.ended(why)
						}),
				}),
			end: () => {
				ended = true
			},
		}
	}

/** Starts the plug-in host of one controller. `directory` may change at any time. */
export const fakePlugins = (
	clock: Clock,
	controller: number,
	node: Service,
	directory: FakeDirectory,
	settings: Record<string, PluginSettings>,
	lookS = 1,
): PluginHost => {
	const versions = new Map<string, FakeVersion>()
	const find = (name: string, version: string): FakeVersion => {
		const found = versions.get(`${name} ${version}`)
		if (found === undefined) throw new Error(`${name} ${version} was never in the directory`)
		return found
	}
	const host = new PluginHost(
		{ directory: '/plugins', scanIntervalS: lookS, plugins: settings },
		{
			now: node.now,
			scan: () => {
				const found = Object.entries(directory).flatMap(([name, version]) => {
					if (version === null) return []
					versions.set(`${name} ${version.version}`, version)
					return [loadedPlugin(name, version)]
				})
				return Promise.resolve({ found, problems: [] })
			},
			startRuntime: fakeSeating(clock, controller, find),
			// An error of a plug-in is injected by the day, and is no error of the controller's.
			log: (_level, event, fields) => node.log('info', event, fields),
			team: (name) => ({ name, cpus: 0, gpus: 0, cpusMax: 0, gpusMax: 0 }),
			teamJobs: (name) => node.openJobsOfTeam(name),
		},
	)
	void host.start()
	return host
}
