/** Days whose controllers have plug-ins: every start of a checked job is compared with what the plug-ins answered. */
import type { PluginSettings } from '@heathroad/config'
import type { PluginHost } from '@heathroad/plugins'
import { type FakeCall, type FakeDirectory, type FakeVersion, fakePlugins } from './fake-plugins.js'
import { DEFAULT_CONTROLLERS, type SimulatedDay } from './simulated-day.js'
import { Simulation } from './simulation.js'
import type { TracedMessage } from './trace.js'
import type { DayJob } from './user-workload.js'

/** A day with plug-ins. */
export interface PluginDay extends SimulatedDay {
	/** the operator's settings of the plug-ins, by name */
	plugins: Record<string, PluginSettings>
	directory: FakeDirectory
	/** each controller sees an upgrade so many seconds after the one before it */
	lagS?: number
	/** at so many seconds the directory holds another version; null: none */
	upgrades?: readonly { atS: number; name: string; to: FakeVersion | null }[]
}

/** What came of a day with plug-ins. */
export interface PluginDayResult {
	simulation: Simulation
	/** violations, including starts that neither a plug-in nor the operator's settings allowed */
	violations: string[]
	/** number of release checks */
	releaseChecks: number
	/** number of release checks about jobs that had started well before */
	lateChecks: number
	/** starts of checked jobs, by what allowed them */
	starts: { released: number; limit: number; unsure: number }
	/** when each job's first task was placed, in ms */
	firstStart: Map<string, number>
	/** the plug-in hosts of the controllers' last incarnations; null: the controller is down */
	hosts: (PluginHost | null)[]
}

/** Jobs of this class have to pass the day's plug-ins. */
export const CHECKED = 'checked'

/** Checks that were under way when their job started are no fault. */
const UNDER_WAY_MS = 5000
/** A controller's wall clock is behind by this share at the most, on days with drift. */
const DRIFT_FACTOR = 0.999
/** Tolerance of the comparison of start times with the limit, in ms. */
const LIMIT_TOLERANCE_MS = 100

/** Takes a call, or with a value what the plug-in answers to it. */
type CallObserver = (call: FakeCall, answer: unknown) => void

/** A version whose calls and answers are observed before they take effect. */
const observedVersion = (version: FakeVersion | null, observe: CallObserver): FakeVersion | null => {
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

/** A call of a plug-in, or with a value what it answers. */
const pluginMessage = (call: FakeCall, answer: unknown): TracedMessage => ({
	atMs: call.nowMs,
	controller: `ctl-${call.controller}`,
	other: 'plug-in',
	direction: answer === undefined ? 'out' : 'in',
	kind: answer === undefined ? 'request' : 'answer',
	head: call.hook,
	body: answer === undefined ? { job: call.job, facts: call.facts } : answer,
})

/** Compares the starts of checked jobs with the answers. */
class ReleaseChecker {
	private readonly released = new Set<string>()
	private readonly jobs: ReadonlyMap<string, DayJob>
	/** the shortest limit of all plug-ins, after which a job starts whatever they answer */
	private readonly limitMs: number
	/** does the operator let jobs start whose plug-in is unsure? */
	private readonly unsureStarts: boolean
	/** is an answer for the whole class of a job? */
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

	/** A call, or with a value what the plug-in answers. */
	observeCall(call: FakeCall, answer: unknown): void {
		const { result } = this
		const { uid } = call.job
		if (answer === undefined && call.hook === 'release') {
			result.releaseChecks++
			const startedMs = result.firstStart.get(uid) ?? Number.POSITIVE_INFINITY
			if (call.nowMs - startedMs > UNDER_WAY_MS) result.lateChecks++
		} else if (typeof answer === 'object' && answer !== null && 'release' in answer) this.released.add(uid)
	}

	/** A task is placed; the first one of a checked job needs a reason. */
	observeStart(task: string): void {
		const { result } = this
		const uid = task.split('/')[0]
		if (result.firstStart.has(uid)) return
		const { nowMs } = result.simulation.clock
		result.firstStart.set(uid, nowMs)
		const job = this.jobs.get(uid)
		if (job?.spec.jobClass !== CHECKED) return
		const limitAtMs = (job.atS * 1000 + this.limitMs) * DRIFT_FACTOR - LIMIT_TOLERANCE_MS
		if (this.released.has(uid) || (this.perClass && this.released.size > 0)) result.starts.released++
		else if (nowMs >= limitAtMs) result.starts.limit++
		else if (this.unsureStarts) result.starts.unsure++
		else result.violations.push(`wrong_release at ${Math.round(nowMs)} ms: ${uid}`)
	}
}

/** Fills each controller's directory and schedules its upgrades. */
const createDirectories = (
	day: PluginDay,
	simulation: Simulation,
	observe: CallObserver,
): FakeDirectory[] => {
	const directories = Array.from(
		{ length: day.controllers ?? DEFAULT_CONTROLLERS },
		(): FakeDirectory => ({}),
	)
	for (const [index, directory] of directories.entries()) {
		const put = (name: string, version: FakeVersion | null) => {
			directory[name] = observedVersion(version, observe)
		}
		for (const [name, version] of Object.entries(day.directory)) put(name, version)
		for (const { atS, name, to } of day.upgrades ?? [])
			simulation.clock.after((atS + index * (day.lagS ?? 0)) * 1000, () => put(name, to))
	}
	return directories
}

/** Calls `observe` with every task that is placed, before the invariants are checked. */
const observeStarts = (simulation: Simulation, observe: (task: string) => void): void => {
	const { invariants } = simulation
	const taskPlaced = invariants.taskPlaced.bind(invariants)
	invariants.taskPlaced = (task, machine, type, zone, spot) => {
		observe(task)
		taskPlaced(task, machine, type, zone, spot)
	}
}

/**
 * Runs a day with plug-ins. A checked job may start once a version released it, once its time limit is over, or where
 * the operator lets jobs start whose plug-in is unsure.
 */
export const runPluginDay = async (
	day: PluginDay,
	tell: (line: string) => void = () => {},
	trace: ((message: TracedMessage) => void) | null = null,
): Promise<PluginDayResult> => {
	const simulation = new Simulation(day)
	simulation.tell = tell
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
	invariants.mayWait = (spec) => spec.jobClass === CHECKED || mayWait(spec)
	observeStarts(simulation, (task) => checker.observeStart(task))
	simulation.started = (controller, node) => {
		const host = fakePlugins(clock, controller, node, directories[controller], day.plugins)
		result.hosts[controller] = host
		node.checks = host
	}
	simulation.ended = (controller) => {
		result.hosts[controller]?.stop()
		result.hosts[controller] = null
	}
	await simulation.run()
	for (const host of result.hosts) host?.stop()
	return result
}
