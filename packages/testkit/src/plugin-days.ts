import type { PluginSettings } from '@heathroad/config'
import type { PluginHost } from '@heathroad/plugins'
import { type FakeCall, type FakeDirectory, type FakeVersion, fakePlugins } from './fake-plugins.js'
import type { SimulatedDay } from './simulated-day.js'
import { Simulation } from './simulation.js'
import type { TracedMessage } from './trace.js'

/** What came of a day with plug-ins. */
export interface PluginDayResult {
	world: Simulation
	/** broken rules, and starts that neither a plug-in nor the operator's settings allowed */
	broken: string[]
	/** questions, and of them those about jobs that had started well before */
	asked: number
	late: number
	/** starts of checked jobs, by what allowed them */
	starts: { released: number; limit: number; unsure: number }
	/** when each job's first task was placed, in ms */
	firstStart: Map<string, number>
	hosts: (PluginHost | null)[]
}

/** Questions that were under way when their job started are no fault. */
const UNDER_WAY_MS = 5000

/** Notes what a version answers before it is sent. */
const watched = (
	v: FakeVersion | null,
	note: (call: FakeCall, value: unknown) => void,
): FakeVersion | null =>
	v === null
		? null
		: {
				...v,
				behave:
					v.behave === null
						? null
						: (call) => {
								note(call, undefined)
								v.behave!({
									...call,
									answer: (value, afterMs) => {
										note(call, value)
										call.answer(value, afterMs)
									},
								})
							},
			}

/** A call of a plug-in, or with a value what it answers. */
const pluginMessage = (call: FakeCall, value: unknown): TracedMessage => ({
	atMs: call.nowMs,
	controller: `ctl-${call.controller}`,
	other: 'plug-in',
	direction: value === undefined ? 'out' : 'in',
	kind: value === undefined ? 'request' : 'answer',
	head: call.hook,
	body: value === undefined ? { job: call.job, facts: call.facts } : value,
})

export interface PluginDay extends SimulatedDay {
	plugins: Record<string, PluginSettings>
	directory: FakeDirectory
	/** each controller sees a change of its directory so many seconds after the one before it */
	lagS?: number
	/** at so many seconds the directory holds another version */
	upgrades?: readonly { atS: number; name: string; to: FakeVersion | null }[]
}

/** Jobs of this class have to pass the day's plug-ins. */
export const CHECKED = 'checked'

/**
 * Plays a day whose controllers have plug-ins, and compares every start of a checked job with what was answered: a job may
 * start once a version released it, once its time is over, or where the operator lets unsure ones go.
 */
export const playPluginDay = async (
	day: PluginDay,
	tell: (line: string) => void = () => {},
	trace: ((message: TracedMessage) => void) | null = null,
): Promise<PluginDayResult> => {
	const simulation = new Simulation(day)
	simulation.tell = tell
	simulation.trace = trace
	const released = new Set<string>()
	const submitted = new Map(day.jobs.map((j) => [j.spec.uid, j]))
	const directories = Array.from({ length: day.controllers ?? 3 }, (): FakeDirectory => ({}))
	const out: PluginDayResult = {
		world: simulation,
		broken: simulation.invariants.violations,
		asked: 0,
		late: 0,
		starts: { released: 0, limit: 0, unsure: 0 },
		firstStart: new Map(),
		hosts: [],
	}
	const note = (call: FakeCall, value: unknown) => {
		const { uid } = call.job
		trace?.(pluginMessage(call, value))
		if (value === undefined && call.hook === 'release') {
			out.asked++
			if (call.nowMs - (out.firstStart.get(uid) ?? Number.POSITIVE_INFINITY) > UNDER_WAY_MS) out.late++
		} else if (typeof value === 'object' && value !== null && 'release' in value) released.add(uid)
	}
	for (const [i, directory] of directories.entries()) {
		const put = (name: string, v: FakeVersion | null) => {
			directory[name] = watched(v, note)
		}
		for (const [name, v] of Object.entries(day.directory)) put(name, v)
		for (const u of day.upgrades ?? [])
			simulation.clock.after((u.atS + i * (day.lagS ?? 0)) * 1000, () => put(u.name, u.to))
	}
	const limitMs = Math.min(...Object.values(day.plugins).map((p) => p.holdAtMostS * 1000))
	const unsure = Object.values(day.plugins).some((p) => p.whenUnsure === 'release')
	const grouped = Object.values(day.directory).some((v) => v?.ask === 'class')
	const { mayWait } = simulation.invariants
	simulation.invariants.mayWait = (spec) => spec.jobClass === CHECKED || mayWait(spec)
	const placed = simulation.invariants.taskPlaced.bind(simulation.invariants)
	simulation.invariants.taskPlaced = (task, machine, type, zone, spot) => {
		const uid = task.split('/')[0]
		const job = submitted.get(uid)
		const first = !out.firstStart.has(uid)
		if (first) out.firstStart.set(uid, simulation.clock.nowMs)
		if (first && job?.spec.jobClass === CHECKED) {
			// A controller's time of day may be behind by what its clock drifts.
			const over = simulation.clock.nowMs >= (job.atS * 1000 + limitMs) * 0.999 - 100
			if (released.has(uid) || (grouped && released.size > 0)) out.starts.released++
			else if (over) out.starts.limit++
			else if (unsure) out.starts.unsure++
			else
				simulation.invariants.violations.push(
					`wrong_release at ${Math.round(simulation.clock.nowMs)} ms: ${uid}`,
				)
		}
		placed(task, machine, type, zone, spot)
	}
	simulation.started = (i, node) => {
		const host = fakePlugins(simulation.clock, i, node, directories[i], day.plugins)
		out.hosts[i] = host
		node.checks = host
	}
	simulation.ended = (i) => {
		out.hosts[i]?.stop()
		out.hosts[i] = null
	}
	await simulation.play()
	for (const host of out.hosts) host?.stop()
	return out
}
