/** Runs an experiment: real controller processes with fake services and machines over sockets. */
import { mkdtempSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import type { ArchivedJob } from '@heathroad/history'
import { arrayJob, InvariantChecker, RealClock, type WorkerTimes } from '@heathroad/testkit'
import type { JobSpec } from '@heathroad/wire'
import type { Histogram } from 'hdr-histogram-js'
import { type Build, type ControllerProcess, createControllers } from './controller-process.js'
import type { Experiment, LabFault } from './experiment.js'
import { putArchive } from './generated-history.js'
import { LabFleet } from './lab-fleet.js'
import { LabUsers } from './lab-users.js'
import { jobClassOf, PluginDirectory } from './plugin-directory.js'
import { type RequestCounts, type RequestKind, RequestRecorder } from './request-recorder.js'

export type { RequestKind } from './request-recorder.js'

const WORKER_TIMES: WorkerTimes = { heartbeatIntervalS: 1, leaseS: 10, cancelS: 30 }
/** Maximum size of an archive page's value, in bytes. */
const ARCHIVE_VALUE_BYTES = 8192
/** Number of archived jobs that users poll. */
const ARCHIVE_SAMPLES = 5000
/** Interval between a user's polls in ms: `plain` without plug-ins, `plugins` with them. */
const POLL_INTERVAL_MS = { plain: 2000, plugins: 500 }
/** Distance, in the list of archived jobs, between two jobs that are polled in succession. */
const ARCHIVE_POLL_STEP = 31

/** Load and memory in one second of an experiment. */
export interface SecondSample extends RequestCounts {
	atS: number
	/** memory of each controller, in MB */
	memoryMb: number[]
	/** requests to the state service */
	requests: number
	/** requests that it answered with 429 */
	refused: number
	/** sets and deletions */
	changes: number
	/** number of keys in the state service that controllers watch */
	keys: number
}

/** Result of an experiment. */
export interface ExperimentResult {
	build: Build
	seconds: SecondSample[]
	latencies: Record<RequestKind, Histogram>
	/** violations of the protocol, and wrong states of archived jobs in responses */
	violations: string[]
	jobs: { accepted: number; finished: number }
	/** by job class: time in ms from a job's acceptance until its user observed that it was done */
	classes: Record<string, Histogram>
	/** exit codes or signals of controllers that were neither drained nor killed */
	unexpectedExits: string[]
	/** for each fault: seconds from its start until each kind of request was answered after it; null: never */
	recoveries: { atS: number; kind: string; after: Record<string, number | null> }[]
}

const sleep = (ms: number): Promise<void> => new Promise((done) => setTimeout(done, ms))

/** A running experiment. */
class ExperimentRun {
	private readonly clock: RealClock
	private readonly invariants: InvariantChecker
	private readonly recorder: RequestRecorder
	private readonly users: LabUsers
	private readonly fleet: LabFleet
	private readonly dir = mkdtempSync(join(tmpdir(), 'heathroad-lab-'))
	private readonly plugins: PluginDirectory | null
	private readonly archived: ArchivedJob[]
	private controllers: ControllerProcess[] = []
	/** reset just before the controllers start, as generating a long history takes seconds */
	private startedMs = performance.now()

	constructor(
		private readonly experiment: Experiment,
		private readonly build: Build,
	) {
		const { seed, plugins, history } = experiment
		this.clock = new RealClock(seed)
		this.plugins =
			plugins.kinds.length === 0 ? null : new PluginDirectory(this.dir, plugins.kinds, plugins.maxHoldS)
		this.invariants = new InvariantChecker(() => this.elapsedMs(), WORKER_TIMES.cancelS * 1000, new Map())
		this.recorder = new RequestRecorder(() => this.elapsedMs() / 1000)
		this.users = new LabUsers({
			invariants: this.invariants,
			recorder: this.recorder,
			randomControllerAddress: () =>
				this.controllers[Math.floor(this.clock.random() * this.controllers.length)].address,
			hasEnded: () => this.elapsedMs() > experiment.forS * 1000,
			pollMs: this.plugins === null ? POLL_INTERVAL_MS.plain : POLL_INTERVAL_MS.plugins,
		})
		this.fleet = new LabFleet({
			clock: this.clock,
			invariants: this.invariants,
			recorder: this.recorder,
			times: WORKER_TIMES,
			specs: this.users.specs,
			controllerAddresses: () => this.controllers.map((controller) => controller.address),
		})
		const sampleEvery = Math.max(1, Math.floor(history / ARCHIVE_SAMPLES))
		this.archived = putArchive(this.fleet.state, history, ARCHIVE_VALUE_BYTES, seed, sampleEvery)
	}

	async run(): Promise<ExperimentResult> {
		await this.start()
		this.scheduleLoad()
		for (const fault of this.experiment.faults) setTimeout(() => this.inject(fault), fault.atS * 1000)
		const seconds = await this.sampleSeconds()
		this.close()
		return this.result(seconds)
	}

	private elapsedMs(): number {
		return performance.now() - this.startedMs
	}

	private async start(): Promise<void> {
		const { experiment, plugins, dir } = this
		const ports = await this.fleet.serve(experiment.state)
		const build = plugins === null ? this.build : { ...this.build, ini: plugins.ini }
		this.controllers = await createControllers(experiment.controllers, build, {
			dir,
			...ports,
			limits: experiment.state,
			workers: WORKER_TIMES,
		})
		this.fleet.bootMachines(experiment.machines)
		this.startedMs = performance.now()
		for (const controller of this.controllers) controller.start()
	}

	private scheduleLoad(): void {
		const { load } = this.experiment
		const { archived } = this
		this.repeat(load.jobsPerS, (index) => void this.users.run(this.jobSpec(index)))
		this.repeat(archived.length === 0 ? 0 : load.oldPollsPerS, (index) => {
			void this.users.pollArchived(archived[(index * ARCHIVE_POLL_STEP) % archived.length])
		})
	}

	/** Returns the spec of the next job; with plug-ins, every second job is checked by one, each kind in turn. */
	private jobSpec(index: number): JobSpec {
		const { load, plugins } = this.experiment
		const checked = this.plugins !== null && index % 2 === 1
		return arrayJob(`job-7${String(index * 7919 + 10 ** 9)}`, {
			tasks: load.tasks,
			expectedS: load.runS,
			spot: true,
			...(checked ? { jobClass: jobClassOf(plugins.kinds[(index >> 1) % plugins.kinds.length]) } : {}),
		})
	}

	/** Calls `action` `perS` times a second until the experiment ends. */
	private repeat(perS: number, action: (index: number) => void): void {
		if (perS <= 0) return
		let index = 0
		const timer = setInterval(() => {
			if (this.elapsedMs() < this.experiment.forS * 1000) action(index++)
			else clearInterval(timer)
		}, 1000 / perS)
	}

	private inject({ kind, who, forS }: LabFault): void {
		const affected = who.map((index) => this.controllers[index])
		const restart = (controller: ControllerProcess) => setTimeout(() => controller.start(), forS * 1000)
		switch (kind) {
			case 'upgrade':
				for (let second = 0; second < forS; second++) setTimeout(() => this.plugins?.upgrade(), second * 1000)
				break
			case 'drain':
				for (const controller of affected) controller.drain(() => restart(controller))
				break
			case 'outage':
				this.fleet.state.down = true
				setTimeout(() => this.fleet.state.recover(), forS * 1000)
				break
			case 'kill':
				for (const controller of affected) {
					controller.kill()
					restart(controller)
				}
		}
	}

	private async sampleSeconds(): Promise<SecondSample[]> {
		const seconds: SecondSample[] = []
		let before = this.fleet.stateLoad()
		for (let atS = 1; atS <= this.experiment.forS; atS++) {
			await sleep(Math.max(0, atS * 1000 - this.elapsedMs()))
			const load = this.fleet.stateLoad()
			seconds.push({
				atS,
				...this.recorder.takeCounts(),
				memoryMb: this.controllers.map((controller) => controller.sample()),
				requests: load.requests - before.requests,
				refused: load.refused - before.refused,
				changes: load.changes - before.changes,
				keys: this.fleet.state.countKeys('heathroad/'),
			})
			before = load
			this.invariants.checkCancelledTasks()
		}
		return seconds
	}

	private close(): void {
		for (const controller of this.controllers) controller.kill()
		this.clock.stop()
		this.fleet.close()
		this.recorder.close()
	}

	private result(seconds: SecondSample[]): ExperimentResult {
		const { invariants, users, recorder, experiment } = this
		const unfinished = new Set(invariants.unfinishedJobs())
		const finished = [...users.specs.keys()].filter((uid) => !unfinished.has(uid)).length
		const wrongAnswers = users.wrongAnswers.map((answer) => `an old job is answered wrongly: ${answer}`)
		return {
			build: this.build,
			seconds,
			latencies: recorder.latencies,
			violations: [...invariants.violations, ...wrongAnswers],
			jobs: { accepted: users.accepted, finished },
			classes: users.classes,
			unexpectedExits: this.controllers.flatMap((controller) => controller.unexpectedExits),
			recoveries: experiment.faults.map((fault) => this.recovery(fault)),
		}
	}

	private recovery({ atS, kind, forS }: LabFault): ExperimentResult['recoveries'][number] {
		const first = Object.entries(this.recorder.firstAnswersAfter(atS + forS))
		const after = Object.fromEntries(
			first.map(([request, answeredS]) => [request, answeredS === null ? null : answeredS - atS]),
		)
		return { atS, kind, after }
	}
}

/** Runs an experiment with one build of the service. */
export const runExperiment = (experiment: Experiment, build: Build): Promise<ExperimentResult> =>
	new ExperimentRun(experiment, build).run()
