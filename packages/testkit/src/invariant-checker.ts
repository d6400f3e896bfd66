/**
 * Checks the protocol's invariants from outside: what runs on the machines, and what users observe. Records a violation
 * for each broken rule; knows nothing of the controllers' internals.
 */
import type { JobSpec } from '@heathroad/wire'
import { UnansweredJobCheck } from './unanswered-job-check.js'
import { type MachineCapacity, WaitingJobCheck } from './waiting-job-check.js'

export type { MachineCapacity } from './waiting-job-check.js'

/** A job counts as forgotten when queries stay unanswered for so long after all faults. */
const UNANSWERED_LIMIT_MS = 75_000
/** The largest jobs of a class have to begin within that time. */
const LARGE_JOB_BEGIN_LIMIT_MS = 240_000
/** Share of the jobs that a team and a class need to have served for a day to pass. */
const SERVED_SHARE = 0.5
/** The largest tenth of a class's jobs counts as large. */
const LARGE_JOBS_DIVISOR = 10

/** How many tasks a response calls done, and how many an earlier one had when the query was sent. */
export interface DoneCounts {
	now: number
	before: number
}

/** What the checker knows of a submitted job. */
interface ObservedJob {
	spec: JobSpec
	cancelRequested: boolean
	/** latest state that a user observed; null: none yet, the job is not accepted for certain */
	state: string | null
	/** when a user first observed that the job is cancelled */
	cancelledAt: number
	submittedAt: number
	/** when its first task was placed */
	begunAt: number | null
	/** since when queries about it have no answer; null: the latest had one */
	unansweredSince: number | null
	/** largest number of done tasks that a user observed */
	doneCount: number
}

const isTerminal = (state: string | null): boolean => state === 'done' || state === 'aborted'

/** The id of a task's job. */
const jobOf = (task: string): string => task.split('/')[0]

/** Observes machines and users, and records every violation of the protocol. */
export class InvariantChecker {
	/** one line for each violation: the rule, the time and what happened */
	readonly violations: string[] = []
	/** when all faults are over; some rules hold only from then on */
	faultsEndMs = Number.POSITIVE_INFINITY
	/** number of task placements */
	started = 0
	/** tasks placed after users observed the cancellation, early enough to break no rule */
	startedCancelled = 0
	/** called when a user observes that a job is accepted or terminal */
	onNewState: (uid: string, state: string) => void = () => {}
	/** called when a job's last task has completed */
	onLastTaskCompleted: (uid: string) => void = () => {}
	/** jobs that may wait beside free capacity: they fail everywhere, or admission checks hold them */
	mayWait: (spec: JobSpec) => boolean = () => false
	/** task -> machines that it is on; only tasks that are on one */
	private readonly machinesByTask = new Map<string, Set<string>>()
	private readonly jobs = new Map<string, ObservedJob>()
	/** indexes of the completed tasks, by job */
	private readonly completedTasks = new Map<string, Set<number>>()
	/** submissions that must never be accepted */
	private readonly invalid = new Set<string>()
	private readonly waitingJobCheck = new WaitingJobCheck()
	private readonly unansweredJobCheck = new UnansweredJobCheck()

	/** `cancelMs`: how long tasks of a cancelled job may still run; `limits`: CPUs by team. */
	constructor(
		private readonly now: () => number,
		private readonly cancelMs: number,
		private readonly limits: ReadonlyMap<string, number>,
	) {}

	/** A job is submitted, for the first time or again. */
	jobSubmitted(spec: JobSpec): void {
		if (this.jobs.has(spec.uid) || this.invalid.has(spec.uid)) return
		this.jobs.set(spec.uid, {
			spec,
			cancelRequested: false,
			state: null,
			cancelledAt: 0,
			submittedAt: this.now(),
			begunAt: null,
			unansweredSince: null,
			doneCount: 0,
		})
	}

	/** A user requests a job's cancellation. */
	cancelRequested(uid: string): void {
		const job = this.jobs.get(uid)
		if (job) job.cancelRequested = true
	}

	/** A submission that must not be accepted is about to be sent. */
	expectRejection(uid: string): void {
		this.invalid.add(uid)
	}

	/** The response to such a submission has to be `expected`, unless the controller could not decide. */
	checkRejection(uid: string, status: number, expected: number): void {
		if (status === expected || status === 429 || status === 503) return
		const rule = status < 300 ? 'accepted_invalid' : 'wrong_refusal'
		this.violation(rule, `${uid}: ${status}, not ${expected}`)
	}

	/** A user observes that a job can never run. */
	observeRejection(uid: string): void {
		const state = this.jobs.get(uid)?.state ?? null
		if (state !== null) this.violation('forgotten', `${uid} is refused, and was ${state}`)
	}

	/** A user's query about a job got a response that says what becomes of it, or none. */
	observeQuery(uid: string, answered: boolean): void {
		const job = this.jobs.get(uid)
		if (job === undefined || job.state === null) return
		if (this.unansweredJobCheck.observe(uid, answered, this.now()))
			this.violation('unanswered', `${uid}, while most questions about other jobs are answered`)
		if (answered) {
			job.unansweredSince = null
			return
		}
		job.unansweredSince ??= this.now()
		const since = Math.max(job.unansweredSince, this.faultsEndMs)
		if (this.now() - since < UNANSWERED_LIMIT_MS) return
		this.violation('forgotten', `${uid} has been asked about in vain since ${Math.round(since)} ms`)
		job.unansweredSince = Number.POSITIVE_INFINITY
	}

	/**
	 * A user observes a response about a job. `knownState`: what any user had observed when the query was sent;
	 * `counts`: how many tasks the response calls done, where it says so.
	 */
	observeStatus(
		uid: string,
		status: number,
		state: string | null,
		knownState: string | null,
		counts?: DoneCounts,
	): void {
		const accepted = status === 200 || status === 201
		if (this.invalid.has(uid)) {
			if (accepted) this.violation('accepted_invalid', `${uid} is called ${state}`)
			return
		}
		const job = this.jobs.get(uid)
		if (job === undefined) {
			if (status === 200) this.violation('invented', `${uid} is called ${state}`)
			return
		}
		if (status === 404 && knownState !== null) {
			this.violation('forgotten', uid)
			return
		}
		if (!accepted) return
		if (status === 201 && knownState !== null) this.violation('accepted_again', `${uid} was ${knownState}`)
		if (isTerminal(knownState) && state !== knownState) {
			this.violation('went_back', `${uid} was ${knownState}, now ${state}`)
			return
		}
		if (state === 'aborted' && !job.cancelRequested)
			this.violation('went_back', `${uid} is cancelled, nobody asked`)
		if (counts !== undefined) this.checkDoneCounts(job, counts)
		this.recordState(job, state)
	}

	/** A task takes its place on a machine. */
	taskPlaced(task: string, machine: string, type: string, zone: string, spot: boolean): void {
		this.started++
		const machines = this.machinesByTask.get(task) ?? new Set()
		if (machines.size > 0 && !machines.has(machine))
			this.violation('ran_twice', `${task} on ${machine} and ${[...machines]}`)
		machines.add(machine)
		this.machinesByTask.set(task, machines)
		const job = this.jobs.get(jobOf(task))
		if (job === undefined) {
			this.violation('invented', `${task} was never submitted`)
			return
		}
		job.begunAt ??= this.now()
		if (job.state === 'done') this.violation('ran_again', `${task} on ${machine}, its job is done`)
		const { spec } = job
		const wrongPlace =
			(spec.types !== null && !spec.types.includes(type)) ||
			(spec.zone !== null && spec.zone !== zone) ||
			(spot && !spec.spot)
		if (wrongPlace) this.violation('wrong_place', `${task} on ${type} in ${zone}`)
		this.waitingJobCheck.reset(spec.uid)
		if (job.state === 'aborted') {
			if (this.now() - job.cancelledAt > this.cancelMs) this.violation('ran_cancelled', task)
			else this.startedCancelled++
		}
		this.checkLimit(spec.team)
	}

	/** A task has left a machine. */
	taskGone(task: string, machine: string): void {
		const machines = this.machinesByTask.get(task)
		if (machines?.delete(machine) && machines.size === 0) this.machinesByTask.delete(task)
	}

	/** A task has completed. */
	taskCompleted(task: string): void {
		const [uid, index] = task.split('/')
		const completed = this.completedTasks.get(uid) ?? new Set()
		completed.add(Number(index))
		this.completedTasks.set(uid, completed)
		if (completed.size === this.jobs.get(uid)?.spec.tasks) this.onLastTaskCompleted(uid)
	}

	/** Checks that tasks of cancelled jobs end in time. */
	checkCancelledTasks(): void {
		for (const [task, machines] of this.machinesByTask) {
			const job = this.jobs.get(jobOf(task))
			if (job?.state === 'aborted' && this.now() - job.cancelledAt > this.cancelMs)
				this.violation('ran_cancelled', `${task} on ${[...machines]}`)
		}
	}

	/**
	 * Once all faults are over: does a job wait while a machine that fits has free capacity and its team is under its
	 * limit? Called once a second; a machine has the capacity that was free at each of the last `samples` calls, as a
	 * place between two tasks is empty until the next heartbeat.
	 */
	checkWaitingJobs(machines: readonly MachineCapacity[], samples: number): void {
		if (this.now() < this.faultsEndMs) return
		const usedByTeam = this.waitingJobCheck.sample(
			machines,
			samples,
			[...this.machinesByTask].flatMap(([task, on]) => {
				const spec = this.jobs.get(jobOf(task))?.spec
				return spec === undefined ? [] : [{ spec, machines: on }]
			}),
		)
		for (const { spec, machines: placedOn } of this.runningJobs()) {
			const waiting = placedOn.length + this.completedCount(spec.uid) < spec.tasks
			const limit = this.limits.get(spec.team) ?? Number.POSITIVE_INFINITY
			const overLimit = (usedByTeam.get(spec.team) ?? 0) + spec.cpus > limit
			if (!waiting || this.mayWait(spec) || overLimit) {
				this.waitingJobCheck.reset(spec.uid)
				continue
			}
			const machine = this.waitingJobCheck.overdue(spec, machines, samples, this.now())
			if (machine !== null) this.violation('left_waiting', `${spec.uid} beside ${machine.id}`)
		}
	}

	/** Jobs that are accepted, not terminal and not to be cancelled, with the machines of their tasks in task order. */
	runningJobs(): { spec: JobSpec; machines: string[] }[] {
		const tasksByJob = new Map<string, { index: number; machines: ReadonlySet<string> }[]>()
		for (const [task, machines] of this.machinesByTask) {
			const [uid, index] = task.split('/')
			const tasks = tasksByJob.get(uid) ?? []
			tasks.push({ index: Number(index), machines })
			tasksByJob.set(uid, tasks)
		}
		const running: { spec: JobSpec; machines: string[] }[] = []
		for (const { spec, state, cancelRequested } of this.jobs.values()) {
			if (state === null || isTerminal(state) || cancelRequested) continue
			const tasks = (tasksByJob.get(spec.uid) ?? []).sort((a, b) => a.index - b.index)
			running.push({ spec, machines: tasks.flatMap((task) => [...task.machines]) })
		}
		return running
	}

	/** Why the day fails though it broke no rule: less than half of a group is served, or large jobs begin late. */
	failures(): string[] {
		const failures: string[] = []
		const groups = this.groupWantedJobs()
		for (const [name, jobs] of [...groups]) {
			if (!name.startsWith('class ')) continue
			const large = largestJobs(jobs)
			groups.set(`largest of ${name}`, large)
			const late = large.filter(beginsLate)
			if (late.length > 0) failures.push(`${late.length} of the largest of ${name} begin late`)
		}
		for (const [name, jobs] of groups) {
			const served = jobs.filter((job) => job.state === 'done').length
			if (served < jobs.length * SERVED_SHARE) failures.push(`${served} of ${jobs.length} of ${name} served`)
		}
		return failures
	}

	/** Jobs that a user observed in a terminal state, in the order of their submission. */
	finishedJobs(): string[] {
		return [...this.jobs].filter(([, job]) => isTerminal(job.state)).map(([uid]) => uid)
	}

	/** The latest state of a job that a user observed; null: none. */
	observedState(uid: string): string | null {
		return this.jobs.get(uid)?.state ?? null
	}

	/** The largest number of done tasks of a job that a user observed. */
	observedDoneCount(uid: string): number {
		return this.jobs.get(uid)?.doneCount ?? 0
	}

	/** Jobs that no user has observed in a terminal state. */
	unfinished(): string[] {
		return [...this.jobs].filter(([, job]) => !isTerminal(job.state)).map(([uid]) => uid)
	}

	private violation(rule: string, what: string): void {
		this.violations.push(`${rule} at ${Math.round(this.now())} ms: ${what}`)
	}

	private completedCount(uid: string): number {
		return this.completedTasks.get(uid)?.size ?? 0
	}

	private checkDoneCounts(job: ObservedJob, counts: DoneCounts): void {
		const { uid } = job.spec
		if (counts.now < counts.before)
			this.violation('went_back', `${uid} had ${counts.before} tasks done, now ${counts.now}`)
		if (counts.now > this.completedCount(uid)) this.violation('not_done', `${uid}: ${counts.now} tasks`)
		job.doneCount = Math.max(job.doneCount, counts.now)
	}

	private recordState(job: ObservedJob, state: string | null): void {
		const { uid, tasks } = job.spec
		if (state === 'done' && this.completedCount(uid) < tasks)
			this.violation('not_done', `${uid}: ${this.completedCount(uid)} of ${tasks}`)
		if (isTerminal(job.state)) return
		const first = job.state === null
		job.state = state
		if (state === 'aborted') job.cancelledAt = this.now()
		if (state !== null && (first || isTerminal(state))) this.onNewState(uid, state)
	}

	private checkLimit(team: string): void {
		const limit = this.limits.get(team)
		if (limit === undefined) return
		let used = 0
		for (const task of this.machinesByTask.keys()) {
			const spec = this.jobs.get(jobOf(task))?.spec
			if (spec?.team === team) used += spec.cpus
		}
		if (used > limit) this.violation('quota', `${team} uses ${used} of ${limit}`)
	}

	/** Accepted jobs that nobody cancels, by team and by class. */
	private groupWantedJobs(): Map<string, ObservedJob[]> {
		const groups = new Map<string, ObservedJob[]>()
		const add = (name: string, job: ObservedJob) => groups.set(name, [...(groups.get(name) ?? []), job])
		for (const job of this.jobs.values()) {
			if (job.cancelRequested || job.state === null) continue
			add(`team ${job.spec.team}`, job)
			add(`class ${job.spec.jobClass}`, job)
		}
		return groups
	}
}

/** Those that are as large as the smallest of the largest tenth. */
const largestJobs = (jobs: readonly ObservedJob[]): ObservedJob[] => {
	const sizes = jobs.map((job) => job.spec.tasks).sort((a, b) => b - a)
	const least = sizes[Math.floor((sizes.length - 1) / LARGE_JOBS_DIVISOR)]
	return jobs.filter((job) => job.spec.tasks >= least)
}

const beginsLate = (job: ObservedJob): boolean =>
	(job.begunAt ?? Number.POSITIVE_INFINITY) - job.submittedAt > LARGE_JOB_BEGIN_LIMIT_MS
