/**
 * Checks the protocol's invariants from outside, by what runs on the machines and what users observe, without access to
 * the controllers' internals. Records each violation.
 */
import type { JobSpec } from '@heathroad/wire'
import { UnansweredJobCheck } from './unanswered-job-check.js'
import { type MachineCapacity, WaitingJobCheck } from './waiting-job-check.js'

export type { MachineCapacity } from './waiting-job-check.js'

/** A job counts as forgotten if queries about it go unanswered for this long after all faults have ended. */
const UNANSWERED_LIMIT_MS = 75_000
/** The largest jobs of a class must start within this time after their submission. */
const LARGE_JOB_START_LIMIT_MS = 240_000
/** Fraction of the jobs of each team and each class that must be done for a day to pass. */
const SERVED_SHARE = 0.5
/** The largest tenth of a class's jobs count as large. */
const LARGE_JOBS_DIVISOR = 10

/** Number of done tasks in a response, and the largest number observed before the query was sent. */
export interface DoneCounts {
	now: number
	before: number
}

/** What the checker has observed of a submitted job. */
interface ObservedJob {
	spec: JobSpec
	cancelRequested: boolean
	/** latest state that a user observed; null if none, when the job may not have been accepted */
	state: string | null
	/** when a user first observed that the job is cancelled */
	cancelledAt: number
	submittedAt: number
	/** when its first task was placed; null if none was */
	firstPlacedAt: number | null
	/** since when queries about it have gone unanswered; null if the latest was answered */
	unansweredSince: number | null
	/** largest number of done tasks that a user observed */
	doneCount: number
}

const isTerminal = (state: string | null): boolean => state === 'done' || state === 'aborted'

/** Returns the id of a task's job. */
const jobOf = (task: string): string => task.split('/')[0]

/** Records every violation of the protocol that shows on the machines or in responses to users. */
export class InvariantChecker {
	/** one line per violation: the rule, the time and the details */
	readonly violations: string[] = []
	/** when all faults have ended; some rules apply only from then on */
	faultsEndMs = Number.POSITIVE_INFINITY
	/** number of task placements */
	taskPlacements = 0
	/** number of tasks placed after users observed the cancellation, but early enough to be allowed */
	placementsAfterCancellation = 0
	/** called when a user first observes that a job is accepted, and that it is terminal */
	onNewState: (uid: string, state: string) => void = () => {}
	/** called when a job's last task has completed */
	onLastTaskCompleted: (uid: string) => void = () => {}
	/** whether a job may wait despite free capacity: it fails on every machine, or admission checks hold it */
	mayWait: (spec: JobSpec) => boolean = () => false
	/** machines of each task that is placed on at least one */
	private readonly machinesByTask = new Map<string, Set<string>>()
	private readonly jobs = new Map<string, ObservedJob>()
	/** indexes of the completed tasks by job */
	private readonly completedTasks = new Map<string, Set<number>>()
	/** submissions that must never be accepted */
	private readonly invalidSubmissions = new Set<string>()
	private readonly waitingJobCheck = new WaitingJobCheck()
	private readonly unansweredJobCheck = new UnansweredJobCheck()

	/** `cancelMs`: how long tasks of a cancelled job may still run; `limits`: CPU limit of each team. */
	constructor(
		private readonly now: () => number,
		private readonly cancelMs: number,
		private readonly limits: ReadonlyMap<string, number>,
	) {}

	/** Records that a user submits a job, for the first time or again. */
	jobSubmitted(spec: JobSpec): void {
		if (this.jobs.has(spec.uid) || this.invalidSubmissions.has(spec.uid)) return
		this.jobs.set(spec.uid, {
			spec,
			cancelRequested: false,
			state: null,
			cancelledAt: 0,
			submittedAt: this.now(),
			firstPlacedAt: null,
			unansweredSince: null,
			doneCount: 0,
		})
	}

	/** Records that a user requests a job's cancellation. */
	cancelRequested(uid: string): void {
		const job = this.jobs.get(uid)
		if (job) job.cancelRequested = true
	}

	/** Records that a submission that must not be accepted is about to be sent. */
	expectRejection(uid: string): void {
		this.invalidSubmissions.add(uid)
	}

	/** Checks that a submission that must be rejected got status `expected`, or 429 or 503 if it was undecided. */
	checkRejection(uid: string, status: number, expected: number): void {
		if (status === expected || status === 429 || status === 503) return
		const rule = status < 300 ? 'accepted_invalid' : 'wrong_refusal'
		this.recordViolation(rule, `${uid}: ${status}, not ${expected}`)
	}

	/** Checks the response that a job was rejected: it must not have been accepted before. */
	observeRejection(uid: string): void {
		const state = this.jobs.get(uid)?.state ?? null
		if (state !== null) this.recordViolation('forgotten', `${uid} was rejected after it was ${state}`)
	}

	/** Records whether a user's query about a job was answered. */
	observeQuery(uid: string, answered: boolean): void {
		const job = this.jobs.get(uid)
		if (job === undefined || job.state === null) return
		if (this.unansweredJobCheck.observe(uid, answered, this.now()))
			this.recordViolation('unanswered', `${uid}, while most queries about other jobs are answered`)
		if (answered) {
			job.unansweredSince = null
			return
		}
		job.unansweredSince ??= this.now()
		const since = Math.max(job.unansweredSince, this.faultsEndMs)
		if (this.now() - since < UNANSWERED_LIMIT_MS) return
		this.recordViolation('forgotten', `${uid}: queries have gone unanswered since ${Math.round(since)} ms`)
		job.unansweredSince = Number.POSITIVE_INFINITY
	}

	/**
	 * Checks a response about a job. `knownState`: latest state that any user had observed when the query was sent;
	 * `counts`: numbers of done tasks, if the response has one.
	 */
	observeStatus(
		uid: string,
		status: number,
		state: string | null,
		knownState: string | null,
		counts?: DoneCounts,
	): void {
		const accepted = status === 200 || status === 201
		if (this.invalidSubmissions.has(uid)) {
			if (accepted) this.recordViolation('accepted_invalid', `${uid} is reported as ${state}`)
			return
		}
		const job = this.jobs.get(uid)
		if (job === undefined) {
			if (status === 200) this.recordViolation('invented', `${uid} is reported as ${state}`)
			return
		}
		if (status === 404 && knownState !== null) {
			this.recordViolation('forgotten', uid)
			return
		}
		if (!accepted) return
		if (status === 201 && knownState !== null)
			this.recordViolation('accepted_again', `${uid} was ${knownState}`)
		if (isTerminal(knownState) && state !== knownState) {
			this.recordViolation('went_back', `${uid} was ${knownState}, now ${state}`)
			return
		}
		if (state === 'aborted' && !job.cancelRequested)
			this.recordViolation('went_back', `${uid} is aborted without a cancellation request`)
		if (counts !== undefined) this.checkDoneCounts(job, counts)
		this.recordState(job, state)
	}

	/** Checks and records that a task is placed on a machine. */
	taskPlaced(task: string, machine: string, type: string, zone: string, spot: boolean): void {
		this.taskPlacements++
		const machines = this.machinesByTask.get(task) ?? new Set()
		if (machines.size > 0 && !machines.has(machine))
			this.recordViolation('ran_twice', `${task} on ${machine} and ${[...machines]}`)
		machines.add(machine)
		this.machinesByTask.set(task, machines)
		const job = this.jobs.get(jobOf(task))
		if (job === undefined) {
			this.recordViolation('invented', `${task} was never submitted`)
			return
		}
		job.firstPlacedAt ??= this.now()
		if (job.state === 'done') this.recordViolation('ran_again', `${task} on ${machine}, its job is done`)
		const { spec } = job
		const wrongPlace =
			(spec.types !== null && !spec.types.includes(type)) ||
			(spec.zone !== null && spec.zone !== zone) ||
			(spot && !spec.spot)
		if (wrongPlace) this.recordViolation('wrong_place', `${task} on ${type} in ${zone}`)
		this.waitingJobCheck.reset(spec.uid)
		if (job.state === 'aborted') {
			if (this.now() - job.cancelledAt > this.cancelMs) this.recordViolation('ran_cancelled', task)
			else this.placementsAfterCancellation++
		}
		this.checkLimit(spec.team)
	}

	/** Records that a task is no longer on a machine. */
	taskRemoved(task: string, machine: string): void {
		const machines = this.machinesByTask.get(task)
		if (machines?.delete(machine) && machines.size === 0) this.machinesByTask.delete(task)
	}

	/** Records that a task has completed. */
	taskCompleted(task: string): void {
		const [uid, index] = task.split('/')
		const completed = this.completedTasks.get(uid) ?? new Set()
		completed.add(Number(index))
		this.completedTasks.set(uid, completed)
		if (completed.size === this.jobs.get(uid)?.spec.tasks) this.onLastTaskCompleted(uid)
	}

	/** Checks that tasks of cancelled jobs have ended in time. */
	checkCancelledTasks(): void {
		for (const [task, machines] of this.machinesByTask) {
			const job = this.jobs.get(jobOf(task))
			if (job?.state === 'aborted' && this.now() - job.cancelledAt > this.cancelMs)
				this.recordViolation('ran_cancelled', `${task} on ${[...machines]}`)
		}
	}

	/**
	 * Once all faults have ended, checks that no job waits while its team is under its limit and a suitable machine has
	 * free capacity. Called once a second. Capacity counts as free if it was free at each of the last `samples` calls,
	 * because the capacity of an ended task stays unused until the next heartbeat.
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
		for (const { spec, machines: placedOn } of this.activeJobs()) {
			const waiting = placedOn.length + this.completedCount(spec.uid) < spec.tasks
			const limit = this.limits.get(spec.team) ?? Number.POSITIVE_INFINITY
			const overLimit = (usedByTeam.get(spec.team) ?? 0) + spec.cpus > limit
			if (!waiting || this.mayWait(spec) || overLimit) {
				this.waitingJobCheck.reset(spec.uid)
				continue
			}
			const machine = this.waitingJobCheck.overdue(spec, machines, samples, this.now())
			if (machine !== null) this.recordViolation('left_waiting', `${spec.uid} beside ${machine.id}`)
		}
	}

	/** Accepted jobs that are neither terminal nor being cancelled, with the machines of their tasks in task order. */
	activeJobs(): { spec: JobSpec; machines: string[] }[] {
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

	/** Why the day fails apart from violations: less than half of a group's jobs are done, or large jobs start late. */
	failures(): string[] {
		const failures: string[] = []
		const groups = this.groupUncancelledJobs()
		for (const [name, jobs] of [...groups]) {
			if (!name.startsWith('class ')) continue
			const large = largestJobs(jobs)
			groups.set(`largest of ${name}`, large)
			const late = large.filter(startsLate)
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

	/** The latest state of a job that a user observed; null if none. */
	observedState(uid: string): string | null {
		return this.jobs.get(uid)?.state ?? null
	}

	/** The largest number of done tasks of a job that a user observed. */
	observedDoneCount(uid: string): number {
		return this.jobs.get(uid)?.doneCount ?? 0
	}

	/** Jobs that no user has observed in a terminal state. */
	unfinishedJobs(): string[] {
		return [...this.jobs].filter(([, job]) => !isTerminal(job.state)).map(([uid]) => uid)
	}

	private recordViolation(rule: string, what: string): void {
		this.violations.push(`${rule} at ${Math.round(this.now())} ms: ${what}`)
	}

	private completedCount(uid: string): number {
		return this.completedTasks.get(uid)?.size ?? 0
	}

	private checkDoneCounts(job: ObservedJob, counts: DoneCounts): void {
		const { uid } = job.spec
		if (counts.now < counts.before)
			this.recordViolation('went_back', `${uid} had ${counts.before} tasks done, now ${counts.now}`)
		if (counts.now > this.completedCount(uid)) this.recordViolation('not_done', `${uid}: ${counts.now} tasks`)
		job.doneCount = Math.max(job.doneCount, counts.now)
	}

	private recordState(job: ObservedJob, state: string | null): void {
		const { uid, tasks } = job.spec
		if (state === 'done' && this.completedCount(uid) < tasks)
			this.recordViolation('not_done', `${uid}: ${this.completedCount(uid)} of ${tasks}`)
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
		if (used > limit) this.recordViolation('quota', `${team} uses ${used} of ${limit}`)
	}

	/** Accepted jobs without a cancellation request, by team and by class. */
	private groupUncancelledJobs(): Map<string, ObservedJob[]> {
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

/** Returns the largest tenth of the jobs, and all others as large as the smallest of these. */
const largestJobs = (jobs: readonly ObservedJob[]): ObservedJob[] => {
	const sizes = jobs.map((job) => job.spec.tasks).sort((a, b) => b - a)
	const minSize = sizes[Math.floor((sizes.length - 1) / LARGE_JOBS_DIVISOR)]
	return jobs.filter((job) => job.spec.tasks >= minSize)
}

const startsLate = (job: ObservedJob): boolean =>
	(job.firstPlacedAt ?? Number.POSITIVE_INFINITY) - job.submittedAt > LARGE_JOB_START_LIMIT_MS
