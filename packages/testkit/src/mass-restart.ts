/**
 * Measures a mass restart in virtual time: all controllers crash at one moment while every machine runs tasks, and boot
 * again. Reports what the restart costs the controllers, and when every machine has a response and all waiting jobs run.
 */
import { VirtualClock } from './clock.js'
import { arrayJob, BOX_MACHINE_TYPE, type SimulatedDay, ZONES } from './simulated-day.js'
import { Simulation } from './simulation.js'

/** Size and seed of the simulated installation. */
export interface MassRestartOptions {
	machines: number
	controllers: number
	seed: number
}

/** Cost and duration of a restart; counts and times start when the controllers boot again. */
export interface MassRestartResult {
	machines: number
	/** processor time of all controllers, and of the busiest one, in s */
	totalProcessorS: number
	busiestProcessorS: number
	/** the largest processor time of one controller within a second of virtual time, in s */
	peakProcessorS: number
	/** heap memory per controller, in MB; null: the garbage collector is not exposed */
	controllerMb: number | null
	/** messages between machines and controllers, per machine */
	messagesPerMachine: number
	/** writes to the state service, per machine */
	writesPerMachine: number
	/** time until every machine's heartbeat was answered by its owner, in s; null: not within the measurement */
	allAnsweredS: number | null
	/** time until tasks of every job run, in s; null: not within the measurement */
	allRunningS: number | null
	/** fraction of all tasks that run at the end */
	runningShare: number
	/** violations of the protocol */
	violations: readonly string[]
}

/** Intervals of heartbeats and durations of leases. */
const WORKER_TIMES = { heartbeatIntervalS: 3, leaseS: 15, cancelS: 35 }
/** Machines in a machine group; a scale-out adds no more at once. */
const MACHINES_PER_GROUP = 50
/** Tasks in a job; each uses one CPU. */
const TASKS_PER_JOB = 100
/**
 * Tasks per machine: those that outlast the measurement, those that finish at about the time of the crash, and those that
 * are submitted then and wait for capacity. The running ones leave one of the machine's eight CPUs free.
 */
const TASKS_PER_MACHINE = { lasting: 5, ending: 2, waiting: 2 }
/** Run time of these tasks, in s. */
const RUN_S = { lasting: 10_000, ending: 55, waiting: 10_000 }
/** When the first jobs are submitted, in s: before idle machines are released. */
const SUBMISSION_S = { from: 0.6, until: 3 }
/** Time of the crash and how long the controllers are down, in s. */
const CRASH = { atS: 60, downS: 8 }
/** How long the restart is observed, in s: several agent leases. */
const OBSERVATION_S = 60
const MS_PER_S = 1000
const BYTES_PER_MB = 1e6

const jobId = (index: number): string => `job-${String(400_000 + index)}`

const jobCount = (machines: number, tasksPerMachine: number): number =>
	Math.ceil((machines * tasksPerMachine) / TASKS_PER_JOB)

/** Jobs whose submissions are spread evenly over a period. */
const jobsOf = (
	kind: keyof typeof RUN_S,
	first: number,
	count: number,
	{ from, until }: { from: number; until: number },
): SimulatedDay['jobs'] =>
	Array.from({ length: count }, (_, index) => ({
		atS: from + ((until - from) * index) / count,
		spec: arrayJob(jobId(first + index), { tasks: TASKS_PER_JOB, expectedS: RUN_S[kind], spot: false }),
	}))

/** Adds up the processor time of each controller, and its peak within a second of virtual time. */
class ProcessorTime {
	readonly totalMs: number[]
	peakMs = 0
	private currentSecond = -1
	private readonly currentSecondMs: number[]

	constructor(private readonly controllers: number) {
		this.totalMs = Array.from({ length: controllers }, () => 0)
		this.currentSecondMs = [...this.totalMs]
	}

	add(owner: number | null, realMs: number, nowMs: number): void {
		if (owner === null || owner < 0 || owner >= this.controllers) return
		const second = Math.floor(nowMs / MS_PER_S)
		if (second !== this.currentSecond) this.currentSecondMs.fill(0)
		this.currentSecond = second
		this.totalMs[owner] += realMs
		this.currentSecondMs[owner] += realMs
		this.peakMs = Math.max(this.peakMs, this.currentSecondMs[owner])
	}
}

/** A measurement in progress. */
class MassRestart {
	private readonly clock: VirtualClock
	private readonly simulation: Simulation
	private readonly processorTime: ProcessorTime
	private readonly restartMs = (CRASH.atS + CRASH.downS) * MS_PER_S
	private readonly answeredMachines = new Set<string>()
	/** jobs that outlast the measurement */
	private readonly lastingJobs: readonly string[]
	private messages = 0
	private writes = 0
	private allAnsweredMs: number | null = null
	private allRunningMs: number | null = null
	private runningTasks = 0
	private readonly heapBytes: number[] = []

	constructor(private readonly options: MassRestartOptions) {
		const { machines, controllers, seed } = options
		const lasting = jobCount(machines, TASKS_PER_MACHINE.lasting)
		const ending = jobCount(machines, TASKS_PER_MACHINE.ending)
		const waiting = jobCount(machines, TASKS_PER_MACHINE.waiting)
		const whileDown = { from: CRASH.atS - 1, until: CRASH.atS + CRASH.downS }
		const jobs = [
			...jobsOf('ending', 0, ending, SUBMISSION_S),
			...jobsOf('lasting', ending, lasting, SUBMISSION_S),
			...jobsOf('waiting', ending + lasting, waiting, whileDown),
		]
		this.lastingJobs = jobs.slice(ending).map(({ spec }) => spec.uid)
		this.clock = new VirtualClock(seed)
		const who = Array.from({ length: controllers }, (_, index) => index)
		this.simulation = new Simulation(
			{
				seed,
				untilS: CRASH.atS + CRASH.downS + OBSERVATION_S,
				controllers,
				jobs,
				faults: [{ atS: CRASH.atS, kind: 'crash', who, forS: CRASH.downS }],
				workerTimes: WORKER_TIMES,
				up: machines,
				capacity: 0,
				stateLimits: true,
				balanced: true,
			},
			this.clock,
		)
		this.processorTime = new ProcessorTime(controllers)
	}

	async run(): Promise<MassRestartResult> {
		this.recordMachines()
		this.observe()
		await this.simulation.run()
		return this.result()
	}

	/** Writes the records of the machine groups before the start, as if the machines had been rented long ago. */
	private recordMachines(): void {
		const { machines, controllers } = this.options
		for (let first = 0, group = 0; first < machines; first += MACHINES_PER_GROUP, group++) {
			const count = Math.min(MACHINES_PER_GROUP, machines - first)
			const ids = Array.from({ length: count }, (_, index) => `i-${String(first + index).padStart(6, '0')}`)
			this.simulation.state.put(`heathroad/fleet/g${group}`, {
				part: group % controllers,
				type: BOX_MACHINE_TYPE.name,
				zone: ZONES[0],
				spot: false,
				asked: 0,
				hosts: Object.fromEntries(ids.map((id) => [id, `${id}:1`])),
			})
		}
	}

	private observe(): void {
		const { clock, simulation } = this
		clock.onEventRun = (owner, realMs) => {
			if (this.hasRestarted()) this.processorTime.add(owner, realMs, clock.nowMs)
		}
		simulation.state.onChanged = () => {
			if (this.hasRestarted()) this.writes++
		}
		simulation.trace = ({ kind, direction, other, head }) => {
			if (!this.hasRestarted() || !simulation.workers.has(other.split(':')[0])) return
			this.messages++
			if (kind === 'answer' && direction === 'out' && head.startsWith('200')) this.answeredMachines.add(other)
		}
		clock.after(CRASH.atS * MS_PER_S - 1, () => this.sampleHeap(), null)
		clock.after(this.restartMs - 1, () => this.sampleHeap(), null)
		clock.after(this.restartMs, () => this.checkProgress(), null)
	}

	private hasRestarted(): boolean {
		return this.clock.nowMs >= this.restartMs
	}

	/** Checks twice a second whether every machine has a response and every lasting job runs. */
	private checkProgress(): void {
		const { clock, simulation, answeredMachines } = this
		const runningTasks = [...simulation.workers.values()].flatMap((worker) => [...worker.runningTasks()])
		const runningJobs = new Set(runningTasks.map((task) => task.split('/')[0]))
		this.runningTasks = runningTasks.length
		if (this.lastingJobs.every((uid) => runningJobs.has(uid))) this.allRunningMs ??= clock.nowMs
		if ([...simulation.workers.keys()].every((id) => answeredMachines.has(id)))
			this.allAnsweredMs ??= clock.nowMs
		clock.after(MS_PER_S / 2, () => this.checkProgress(), null)
	}

	private sampleHeap(): void {
		if (globalThis.gc === undefined) return
		globalThis.gc()
		this.heapBytes.push(process.memoryUsage().heapUsed)
	}

	private result(): MassRestartResult {
		const { machines, controllers } = this.options
		const { totalMs, peakMs } = this.processorTime
		const [withControllers, without] = this.heapBytes
		const sinceRestartS = (atMs: number | null) => (atMs === null ? null : (atMs - this.restartMs) / MS_PER_S)
		return {
			machines,
			totalProcessorS: totalMs.reduce((sum, ms) => sum + ms, 0) / MS_PER_S,
			busiestProcessorS: Math.max(...totalMs) / MS_PER_S,
			peakProcessorS: peakMs / MS_PER_S,
			controllerMb: without === undefined ? null : (withControllers - without) / controllers / BYTES_PER_MB,
			messagesPerMachine: this.messages / machines,
			writesPerMachine: this.writes / machines,
			allAnsweredS: sinceRestartS(this.allAnsweredMs),
			allRunningS: sinceRestartS(this.allRunningMs),
			runningShare: this.runningTasks / (this.lastingJobs.length * TASKS_PER_JOB),
			violations: this.simulation.invariants.violations,
		}
	}
}

/** Runs a mass restart and measures it. */
export const measureMassRestart = (options: MassRestartOptions): Promise<MassRestartResult> =>
	new MassRestart(options).run()
