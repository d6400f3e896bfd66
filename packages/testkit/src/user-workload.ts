/** The users of a simulated day: they submit, poll and cancel jobs; some send bursts of queries or invalid requests. */
import { encodeSubmission, isMap, type JobSpec } from '@heathroad/wire'
import type { Clock } from './clock.js'
import type { FakeResponse } from './fake-response.js'
import { invalidSubmission } from './invalid-submission.js'
import type { InvariantChecker } from './invariant-checker.js'
import { RandomFaults } from './random-faults.js'

/** A job of the day, and when its user submits and cancels it, in seconds. */
export interface DayJob {
	atS: number
	spec: JobSpec
	cancelAtS?: number
}

/** A request to a controller. */
export interface UserRequest {
	method: string
	path: string
	body: unknown
}

/** The collaborators and functions of the user workload. */
export interface UserWorkloadDependencies {
	clock: Clock
	invariants: InvariantChecker
	/** number of controllers */
	controllers: number
	/** returns the controller to which the load balancer directs a user; null: none is healthy */
	someController(): number | null
	/** sends a request to a controller; the response arrives once (maybe late) or never */
	send(controller: number, request: UserRequest, reply: (response: FakeResponse | null) => void): void
	/** makes a machine hang for `forMs` */
	hang(machine: string, forMs: number): void
}

const RUNS = '/v2/runs'
/** Time after which a user gives up on a request. */
const REQUEST_TIMEOUT_MS = 4000
/** Poll interval for jobs that are not terminal. */
const POLL_MS = 3000
/** Retry interval. */
const RETRY_MS = 1000
/** Poll interval for terminal jobs. */
const TERMINAL_POLL_MS = 20_000
/** The first round of a query burst takes up to this time. */
const BURST_SPREAD_MS = 30
/** Number of rounds in a query burst; each round queries all controllers. */
const BURST_ROUNDS = 3
/** Round n of a burst, counted from 0, takes 1 + n times this factor as long as the first. */
const BURST_ROUND_FACTOR = 4
/** Fraction of a burst's requests that repeat the submission. */
const BURST_RESUBMIT_SHARE = 0.4
/** Fraction of the bursts about jobs that are not terminal that also cancel the job. */
const BURST_CANCEL_SHARE = 0.15
/** Time in which the completion of a job is reported and written. */
const COMPLETION_MS = 1200
/** Jobs that are cancelled together are cancelled within this time. */
const CANCEL_SPREAD_MS = 200
/** Maximum number of machines that hang while jobs are cancelled on them. */
const MAX_HUNG_MACHINES = 8
/** Interval of odd requests. */
const ODD_PAUSE_MS = { min: 100, max: 500 }
/** Interval of requests about finished jobs. */
const FINISHED_JOB_PAUSE_MS = { min: 20, max: 100 }
/** Fractions of the requests about finished jobs that repeat the submission or cancel the job; the rest are queries. */
const FINISHED_JOB_SHARES = { resubmit: 0.35, cancel: 0.1 }
/** First number in the ids of jobs in invalid submissions; no other job has such a number. */
const FIRST_ODD_JOB = 800_000

const isTerminal = (state: string | null): boolean => state === 'done' || state === 'aborted'

/** The users of a day. */
export class UserWorkload {
	/** number of submissions by response status; 0: no response or no healthy controller */
	readonly submissions = new Map<number, number>()
	/** factor on the poll rate for jobs that are not terminal */
	pollFactor = 1
	/** probabilities of a cancellation when the last task finishes, and of a query burst (`closeLooks`) after a new state */
	readonly randomFaults: RandomFaults<'cancelAtCompletion' | 'closeLooks'>
	private sendsOddRequests = false
	private oddRequestCount = 0
	private readonly specs = new Map<string, JobSpec>()
	private readonly cancelling = new Set<string>()

	constructor(private readonly dependencies: UserWorkloadDependencies) {
		this.randomFaults = new RandomFaults(dependencies.clock)
		dependencies.invariants.onNewState = (uid, state) => this.sendQueryBurst(uid, state)
		dependencies.invariants.onLastTaskCompleted = (uid) => {
			if (this.randomFaults.happens('cancelAtCompletion')) this.cancelAtCompletion(uid)
		}
	}

	/** Schedules the submission and cancellation of a job. */
	add({ atS, spec, cancelAtS }: DayJob): void {
		const { clock } = this.dependencies
		this.specs.set(spec.uid, spec)
		clock.after(atS * 1000, () => this.submit(spec))
		if (cancelAtS !== undefined) clock.after(cancelAtS * 1000, () => this.cancel(spec.uid))
	}

	/** Cancels the `count` running jobs with the longest expected run time; their machines hang for `hangMs`. */
	cancelNow(count: number, hangMs: number): void {
		const { clock, invariants } = this.dependencies
		const jobs = invariants
			.activeJobs()
			.filter((job) => job.machines.length > 0)
			.sort((a, b) => b.spec.expectedS - a.spec.expectedS || (a.spec.uid < b.spec.uid ? -1 : 1))
			.slice(0, count)
		const machines = [...new Set(jobs.flatMap((job) => job.machines))].slice(0, MAX_HUNG_MACHINES)
		if (hangMs > 0) for (const machine of machines) this.dependencies.hang(machine, hangMs)
		for (const { spec } of jobs) clock.after(clock.between(0, CANCEL_SPREAD_MS), () => this.cancel(spec.uid))
	}

	/** For `forMs`, repeats submissions, cancels done jobs, and sends submissions that must be rejected. */
	sendOddRequests(forMs: number): void {
		const { clock } = this.dependencies
		this.sendsOddRequests = true
		clock.after(forMs, () => {
			this.sendsOddRequests = false
		})
		const next = () => {
			if (!this.sendsOddRequests) return
			this.sendOddRequest()
			clock.after(clock.between(ODD_PAUSE_MS.min, ODD_PAUSE_MS.max), next)
		}
		next()
	}

	/** For `forMs`, sends frequent requests about finished jobs to random controllers. */
	requestFinishedJobs(forMs: number): void {
		const { clock } = this.dependencies
		const untilMs = clock.nowMs + forMs
		const next = () => {
			if (clock.nowMs >= untilMs) return
			this.requestFinishedJob()
			clock.after(clock.between(FINISHED_JOB_PAUSE_MS.min, FINISHED_JOB_PAUSE_MS.max), next)
		}
		next()
	}

	/** Sends a request about a job and reports the result to the invariant checker; null controller: none is healthy. */
	private request(
		uid: string,
		controller: number | null,
		request: UserRequest,
		reply: (response: FakeResponse | null) => void = () => {},
	): void {
		const { clock, invariants } = this.dependencies
		let finished = false
		const knownState = invariants.observedState(uid)
		const doneBefore = invariants.observedDoneCount(uid)
		const finish = (response: FakeResponse | null) => {
			if (finished) return
			finished = true
			if (response !== null) this.observe(uid, request, response, { knownState, doneBefore })
			const status = response?.status
			invariants.observeQuery(uid, status === 200 || status === 201 || status === 404)
			reply(response)
		}
		if (controller === null) {
			clock.after(RETRY_MS, () => finish(null))
			return
		}
		this.dependencies.send(controller, request, finish)
		clock.after(REQUEST_TIMEOUT_MS, () => finish(null))
	}

	/** Reports a response to the invariant checker. `known`: what users had observed when the request was sent. */
	private observe(
		uid: string,
		request: UserRequest,
		response: FakeResponse,
		known: { knownState: string | null; doneBefore: number },
	): void {
		const { invariants } = this.dependencies
		const { status, done } = isMap(response.body) ? response.body : {}
		const counts = typeof done === 'number' ? { now: done, before: known.doneBefore } : undefined
		invariants.observeStatus(uid, response.status, (status as string) ?? null, known.knownState, counts)
		if (request.path === RUNS && (response.status === 400 || response.status === 422))
			invariants.observeRejection(uid)
	}

	private query(uid: string): UserRequest {
		return { method: 'GET', path: `${RUNS}/${uid}`, body: undefined }
	}

	private submission(spec: JobSpec): UserRequest {
		return { method: 'POST', path: RUNS, body: encodeSubmission(spec) }
	}

	private cancellation(uid: string): UserRequest {
		if (!this.cancelling.has(uid)) this.dependencies.invariants.cancelRequested(uid)
		this.cancelling.add(uid)
		return { method: 'POST', path: `${RUNS}/${uid}/withdraw`, body: {} }
	}

	/** Cancels a job; retries until the response is 200 or 404. */
	private cancel(uid: string): void {
		this.request(uid, this.dependencies.someController(), this.cancellation(uid), (response) => {
			if (response?.status !== 200 && response?.status !== 404)
				this.dependencies.clock.after(RETRY_MS, () => this.cancel(uid))
		})
	}

	private poll(uid: string): void {
		const { clock, invariants } = this.dependencies
		const terminal = isTerminal(invariants.observedState(uid))
		const query = () =>
			this.request(uid, this.dependencies.someController(), this.query(uid), () => {
				if (terminal) this.poll(uid)
				else clock.after(POLL_MS / this.pollFactor, () => this.poll(uid))
			})
		if (terminal) clock.after(TERMINAL_POLL_MS, query)
		else query()
	}

	private submit(spec: JobSpec): void {
		const { clock, invariants } = this.dependencies
		invariants.jobSubmitted(spec)
		this.request(spec.uid, this.dependencies.someController(), this.submission(spec), (response) => {
			const status = response?.status ?? 0
			this.submissions.set(status, (this.submissions.get(status) ?? 0) + 1)
			// Not retried (protocol).
			if (status === 422) return
			if (status === 200 || status === 201) this.poll(spec.uid)
			else clock.after(RETRY_MS, () => this.submit(spec))
		})
	}

	/** After a new state: queries all controllers within milliseconds, or repeats the submission there, and may cancel the job. */
	private sendQueryBurst(uid: string, state: string): void {
		const spec = this.specs.get(uid)
		if (spec === undefined || !this.randomFaults.happens('closeLooks')) return
		const { clock } = this.dependencies
		const cancels = !isTerminal(state) && clock.random() < BURST_CANCEL_SHARE
		for (let round = 0; round < BURST_ROUNDS; round++)
			for (let controller = 0; controller < this.dependencies.controllers; controller++) {
				const request = clock.random() < BURST_RESUBMIT_SHARE ? this.submission(spec) : this.query(uid)
				const delayMs = clock.between(0, BURST_SPREAD_MS) * (1 + round * BURST_ROUND_FACTOR)
				clock.after(delayMs, () => this.request(uid, controller, request))
			}
		if (cancels) clock.after(clock.between(0, BURST_SPREAD_MS), () => this.cancel(uid))
	}

	/**
	 * Sends a cancellation, queries and a repeated submission to random controllers while the last task finishes or its
	 * completion is being written.
	 */
	private cancelAtCompletion(uid: string): void {
		const spec = this.specs.get(uid)
		if (spec === undefined) return
		const { clock } = this.dependencies
		clock.after(clock.between(0, COMPLETION_MS), () => this.cancel(uid))
		for (const request of [this.query(uid), this.submission(spec), this.query(uid)]) {
			const controller = this.randomController()
			clock.after(clock.between(0, COMPLETION_MS), () => this.request(uid, controller, request))
		}
	}

	/** Sends in turn a repeated submission, the cancellation of a done job, and a submission that must be rejected. */
	private sendOddRequest(): void {
		const { clock, invariants } = this.dependencies
		const specs = [...this.specs.values()]
		const spec = specs[Math.floor(clock.random() * specs.length)]
		const controller = this.randomController()
		if (spec === undefined) return
		const { uid } = spec
		const state = invariants.observedState(uid)
		const requestIndex = this.oddRequestCount++
		if (requestIndex % 3 === 0 && state !== null) {
			this.request(uid, controller, this.submission(spec))
			return
		}
		if (requestIndex % 3 === 1 && state === 'done') {
			this.request(uid, controller, this.cancellation(uid))
			return
		}
		this.sendInvalidSubmission(spec, requestIndex, controller)
	}

	/** Sends a query, a repeated submission or a cancellation of a random finished job. */
	private requestFinishedJob(): void {
		const { clock, invariants } = this.dependencies
		const uids = invariants.finishedJobs()
		const spec = this.specs.get(uids[Math.floor(clock.random() * uids.length)])
		if (spec === undefined) return
		const { resubmit, cancel } = FINISHED_JOB_SHARES
		const draw = clock.random()
		const controller = this.randomController()
		if (draw < resubmit) this.request(spec.uid, controller, this.submission(spec))
		else if (draw < resubmit + cancel) this.request(spec.uid, controller, this.cancellation(spec.uid))
		else this.request(spec.uid, controller, this.query(spec.uid))
	}

	private sendInvalidSubmission(spec: JobSpec, requestIndex: number, controller: number): void {
		const { clock, invariants } = this.dependencies
		const uid = `job-${FIRST_ODD_JOB + requestIndex}`
		invariants.expectRejection(uid)
		const { body, expectedStatus } = invalidSubmission({ ...spec, uid }, requestIndex)
		this.dependencies.send(controller, { method: 'POST', path: RUNS, body }, (response) => {
			if (response !== null) invariants.checkRejection(uid, response.status, expectedStatus)
		})
		// It was not accepted, so it must stay unknown.
		clock.after(RETRY_MS, () => this.request(uid, controller, this.query(uid)))
	}

	private randomController(): number {
		return Math.floor(this.dependencies.clock.random() * this.dependencies.controllers)
	}
}
