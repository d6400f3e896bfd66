/** Simulated days with plug-ins: checks each start of a job of the checked class against the plug-ins' verdicts. */
import type { PluginSettings } from '@heathroad/config'
import type { PluginHost } from '@heathroad/plugins'
import {
	type FakePluginCall,
	type FakePluginDirectory,
	type FakePluginVersion,
	startFakePlugins,
} from './fake-plugins.js'
import { DEFAULT_CONTROLLERS, type SimulatedDay } from './simulated-day.js'
import { Simulation } from './simulation.js'
import type { TracedMessage } from './trace.js'
import type { DayJob } from './user-workload.js'

/** Description of a simulated day with plug-ins. */
export interface PluginDay extends SimulatedDay {
	/** the operator's settings of the plug-ins, by name */
	plugins: Record<string, PluginSettings>
	directory: FakePluginDirectory
	/** seconds between the times at which successive controllers see an upgrade */
	lagS?: number
	/** changes of the directory, `atS` seconds after the start; `to` is the new version, or null to remove it */
	upgrades?: readonly { atS: number; name: string; to: FakePluginVersion | null }[]
}

/** Result of a simulated day with plug-ins. */
export interface PluginDayResult {
	simulation: Simulation
	/** violations, including starts that neither a plug-in nor the operator's settings allowed */
	violations: string[]
	/** number of release checks */
	releaseChecks: number
	/** number of release checks of jobs that had started more than 5 s before */
	lateChecks: number
	/** starts of checked jobs, by what permitted them: a verdict, the time limit, or the setting for unsure plug-ins */
	starts: { released: number; limit: number; unsure: number }
	/** time at which each job's first task was placed, in ms */
	firstStart: Map<string, number>
	/** the plug-in hosts of the controllers' last incarnations; null: the controller is down */
	hosts: (PluginHost | null)[]
}

/** Class of the jobs that need the plug-ins' permission to start. */
export const CHECKED_CLASS = 'checked'

/** A check that begins up to this long after its job's start may have been in flight, and doesn't count as late. */
const IN_FLIGHT_CHECK_MS = 5000
/** Slowest rate of a controller's clock relative to virtual time, on days with drift. */
const DRIFT_FACTOR = 0.999
/** Tolerance of the comparison of start times with the limit, in ms. */
const LIMIT_TOLERANCE_MS = 100

/** Receives each call with `answer` undefined, and again with each answer of the plug-in. */
type CallObserver = (call: FakePluginCall, answer: unknown) => void

/** Wraps a version so that its calls and answers are observed before they take effect. */
const observedVersion = (
	version: FakePluginVersion | null,
	observe: CallObserver,
): FakePluginVersion | null => {
	if (version === null) return null
	const { behave } = version
	if (behave === null) return { ...version }
	return {
		...version,
		behave: (call) => {
			observe(call, undefined)
			behave({
				...call,
				answer: (value, afterMs) => {
					observe(call, value)
					call.answer(value, afterMs)
				},
			})
		},
	}
}

/** The traced message of a call (`answer` is undefined) or of an answer. */
const pluginMessage = (call: FakePluginCall, answer: unknown): TracedMessage => ({
	atMs: call.nowMs,
	controller: `ctl-${call.controller}`,
	other: 'plug-in',
	direction: answer === undefined ? 'out' : 'in',
	kind: answer === undefined ? 'request' : 'answer',
	head: call.hook,
	body: answer === undefined ? { job: call.job, facts: call.facts } : answer,
})

/** Checks each start of a checked job against the verdicts and settings that permit it. */
class ReleaseChecker {
	private readonly released = new Set<string>()
	private readonly jobs: ReadonlyMap<string, DayJob>
	/** the shortest hold limit of all plug-ins, after which a job may start whatever the verdicts */
	private readonly limitMs: number
	/** whether jobs may start while their plug-in is unsure */
	private readonly unsureStarts: boolean
	/** whether a verdict applies to all jobs of a class */
	private readonly perClass: boolean

	constructor(
		day: PluginDay,
		private readonly result: PluginDayResult,
	) {
		const settings = Object.values(day.plugins)
		this.jobs = new Map(day.jobs.map((job) => [job.spec.uid, job]))
		this.limitMs = Math.min(...settings.map((plugin) => plugin.maxHoldS * 1000))
		this.unsureStarts = settings.some((plugin) => plugin.whenUnsure === 'release')
		this.perClass = Object.values(day.directory).some((version) => version?.ask === 'class')
	}

	/** Counts release checks and records which jobs were released. */
	observeCall(call: FakePluginCall, answer: unknown): void {
		const { result } = this
		const { uid } = call.job
		if (answer === undefined && call.hook === 'release') {
			result.releaseChecks++
			const startedMs = result.firstStart.get(uid) ?? Number.POSITIVE_INFINITY
			if (call.nowMs - startedMs > IN_FLIGHT_CHECK_MS) result.lateChecks++
		} else if (typeof answer === 'object' && answer !== null && 'release' in answer) this.released.add(uid)
	}

	/** Handles the placement of a task; a checked job's first start must be permitted. */
	observeStart(task: string): void {
		const { result } = this
		const uid = task.split('/')[0]
		if (result.firstStart.has(uid)) return
		const { nowMs } = result.simulation.clock
		result.firstStart.set(uid, nowMs)
		const job = this.jobs.get(uid)
		if (job?.spec.jobClass !== CHECKED_CLASS) return
		const limitAtMs = (job.atS * 1000 + this.limitMs) * DRIFT_FACTOR - LIMIT_TOLERANCE_MS
		if (this.released.has(uid) || (this.perClass && this.released.size > 0)) result.starts.released++
		else if (nowMs >= limitAtMs) result.starts.limit++
		else if (this.unsureStarts) result.starts.unsure++
		else result.violations.push(`wrong_release at ${Math.round(nowMs)} ms: ${uid}`)
	}
}

/** Creates each controller's plug-in directory and schedules its upgrades. */
const createDirectories = (
	day: PluginDay,
	simulation: Simulation,
	observe: CallObserver,
): FakePluginDirectory[] => {
	const directories = Array.from(
		{ length: day.controllers ?? DEFAULT_CONTROLLERS },
		(): FakePluginDirectory => ({}),
	)
	for (const [index, directory] of directories.entries()) {
		const put = (name: string, version: FakePluginVersion | null) => {
			directory[name] = observedVersion(version, observe)
		}
		for (const [name, version] of Object.entries(day.directory)) put(name, version)
		for (const { atS, name, to } of day.upgrades ?? [])
			simulation.clock.after((atS + index * (day.lagS ?? 0)) * 1000, () => put(name, to))
	}
	return directories
}

/** Calls `observe` with every task that is placed, before the invariant checker sees it. */
const observeStarts = (simulation: Simulation, observe: (task: string) => void): void => {
	const { invariants } = simulation
	const taskPlaced = invariants.taskPlaced.bind(invariants)
	invariants.taskPlaced = (task, machine, type, zone, spot) => {
		observe(task)
		taskPlaced(task, machine, type, zone, spot)
	}
}

/**
 * Runs a simulated day with plug-ins. A checked job may start once a version released it, once its hold limit has
 * passed, or if the operator's settings release jobs whose plug-in is unsure.
 */
export const runPluginDay = async (
	day: PluginDay,
	onLogLine: (line: string) => void = () => {},
	trace: ((message: TracedMessage) => void) | null = null,
): Promise<PluginDayResult> => {
	const simulation = new Simulation(day)
	simulation.onLogLine = onLogLine
	simulation.trace = trace
	const { invariants, clock } = simulation
	const result: PluginDayResult = {
		simulation,
		violations: invariants.violations,
		releaseChecks: 0,
		lateChecks: 0,
		starts: { released: 0, limit: 0, unsure: 0 },
		firstStart: new Map(),
		hosts: [],
	}
	const checker = new ReleaseChecker(day, result)
	const directories = createDirectories(day, simulation, (call, answer) => {
		trace?.(pluginMessage(call, answer))
		checker.observeCall(call, answer)
	})
	const { mayWait } = invariants
	invariants.mayWait = (spec) => spec.jobClass === CHECKED_CLASS || mayWait(spec)
	observeStarts(simulation, (task) => checker.observeStart(task))
	simulation.onStarted = (controller, node) => {
		const host = startFakePlugins(clock, controller, node, directories[controller], day.plugins)
		result.hosts[controller] = host
		node.checks = host
	}
	simulation.onEnded = (controller) => {
		result.hosts[controller]?.stop()
		result.hosts[controller] = null
	}
	await simulation.run()
	for (const host of result.hosts) host?.stop()
	return result
}
