/** Fake plug-ins for simulated days; they run without threads, on the simulation's clock. */
import type { PluginSettings } from '@heathroad/config'
import type { Facts, Hook, Job } from '@heathroad/plugin-api'
import { type LoadedPlugin, PluginHost, type RuntimeFactory, type RuntimeListener } from '@heathroad/plugins'
import type { Service } from '@heathroad/server'
import type { Clock } from './clock.js'

/** One call to a fake plug-in, which may answer at once, later, twice or never. */
export interface FakePluginCall {
	hook: Hook
	job: Job
	facts: Facts
	/** index of the calling controller */
	controller: number
	nowMs: number
	/** answers the call after `afterMs`, by default 1 ms */
	answer(value: unknown, afterMs?: number): void
	/** makes the call throw */
	fail(why: string): void
	/** crashes the plug-in's thread */
	crash(why: string): void
}

/** One version of a fake plug-in. */
export interface FakePluginVersion {
	version: string
	/** handles a call; null if the version cannot be loaded */
	behave: ((call: FakePluginCall) => void) | null
	/** whether it is queried for each job, or once for each class */
	ask?: 'job' | 'class'
	classes?: readonly string[]
	hooks?: readonly Hook[]
}

/** A directory of fake plug-ins with their current versions; null if the folder was deleted. */
export type FakePluginDirectory = Record<string, FakePluginVersion | null>

/** Operator settings of a plug-in whose unsure results hold the job. */
export const FAKE_PLUGIN_SETTINGS: PluginSettings = {
	maxHoldS: 60,
	whenUnsure: 'hold',
	admissionTimeoutMs: 500,
	callTimeoutMs: 200,
	memoryMb: 8,
	classes: null,
	teams: null,
	permissions: [],
}

/** Time that loading a fake plug-in takes, in ms. */
const LOAD_MS = 20
/** Default time until a call has an effect, in ms. */
const CALL_MS = 1

/** A version as the directory scan returns it. */
const loadedPlugin = (name: string, version: FakePluginVersion): LoadedPlugin => ({
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

/** Creates a runtime factory without threads. `find` returns a plug-in by its name and version. */
export const fakeRuntimeFactory =
	(
		clock: Clock,
		controller: number,
		find: (name: string, version: string) => FakePluginVersion,
	): RuntimeFactory =>
	(plugin: LoadedPlugin, _permissions, listener: RuntimeListener) => {
		const { behave } = find(plugin.manifest.name, plugin.manifest.version)
		const after = (ms: number, run: () => void) => clock.after(ms, run, controller)
		let ended = false
		after(LOAD_MS, () => {
			if (ended) return
			if (behave === null) listener.ended('does not load')
			else listener.ready()
		})
		return {
			call: (id, hook, args) =>
				behave?.({
					hook,
					job: args[0] as Job,
					facts: args[1] as Facts,
					controller,
					nowMs: clock.nowMs,
					answer: (value, afterMs = CALL_MS) => after(afterMs, () => listener.answer(id, value)),
					fail: (why) => after(CALL_MS, () => listener.failed(id, why)),
					crash: (why) =>
						after(CALL_MS, () => {
							if (!ended) listener.ended(why)
						}),
				}),
			end: () => {
				ended = true
			},
		}
	}

/** Starts a controller's plug-in host on a fake directory, which may change at any time. */
export const startFakePlugins = (
	clock: Clock,
	controller: number,
	node: Service,
	directory: FakePluginDirectory,
	settings: Record<string, PluginSettings>,
	scanIntervalS = 1,
): PluginHost => {
	const versions = new Map<string, FakePluginVersion>()
	const find = (name: string, version: string): FakePluginVersion => {
		const found = versions.get(`${name} ${version}`)
		if (found === undefined) throw new Error(`${name} ${version} was never in the directory`)
		return found
	}
	const host = new PluginHost(
		{ directory: '/plugins', scanIntervalS: scanIntervalS, plugins: settings },
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
			startRuntime: fakeRuntimeFactory(clock, controller, find),
			// Plug-in errors are injected by the simulated day, so they are not logged as errors of the controller.
			log: (_level, event, fields) => node.log('info', event, fields),
			team: (name) => ({ name, cpus: 0, gpus: 0, cpusMax: 0, gpusMax: 0 }),
			teamJobs: (name) => node.openJobsOfTeam(name),
		},
	)
	void host.start()
	return host
}
