/** The users of a simulated day: they submit jobs, poll them and cancel them; some query closely or make errors. */
import { encodeSubmission, isMap, type JobSpec } from '@heathroad/wire'
import type { Clock } from './clock.js'
import type { FakeResponse } from './fake-response.js'
import type { InvariantChecker } from './invariant-checker.js'
import { oddSubmission } from './odd-submission.js'
import { RandomFaults } from './random-faults.js'

/** A job of the day: when its user submits it, and when it is cancelled. */
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

/** What users need of the simulation. */
export interface UserWorkloadPorts {
	clock: Clock
	invariants: InvariantChecker
	/** number of controllers */
	controllers: number
	/** the controller that the load balancer gives a user; null: none is healthy */
	someController(): number | null
	/** sends a request to a controller; the response comes once, late or never */
	send(controller: number, request: UserRequest, reply: (response: FakeResponse | null) => void): void
	/** a machine hangs for a while */
	hang(machine: string, forMs: number): void
}

const RUNS = '/v2/runs'
/** A user gives up a request after that time. */
const REQUEST_TIMEOUT_MS = 4000
/** Interval of polls. */
const POLL_MS = 3000
/** Interval of retries. */
const RETRY_MS = 1000
/** Terminal states are queried again after that time. */
const TERMINAL_POLL_MS = 20_000
/** Queries at all controllers come within so many ms of one another. */
const CLOSE_MS = 30
/** How often a user who looks closely queries all controllers. */
const CLOSE_ROUNDS = 3
/** Every round of close queries lasts longer than the one before by this factor. */
const CLOSE_ROUND_FACTOR = 4
/** Share of a close user's requests that repeat the submission. */
const RESUBMIT_SHARE = 0.4
/** Share of close users who cancel the job. */
const CLOSE_CANCEL_SHARE = 0.15
/** How long it takes until a job's end is reported and written. */
const END_MS = 1200
/** Jobs that are cancelled together are cancelled within so many ms. */
const CANCEL_SPREAD_MS = 200
/** Largest number of machines that hang with the jobs that are cancelled on them. */
const MAX_HUNG_MACHINES = 8
/** Pause between odd requests. */
const ODD_PAUSE_MS = { min: 100, max: 500 }
/** Distance of two requests about finished jobs. */
const FINISHED_JOB_PAUSE_MS = { min: 20, max: 100 }
/** Shares of the requests about finished jobs that repeat the submission or cancel the job; the others are questions. */
const FINISHED_JOB_SHARES = { resubmit: 0.35, cancel: 0.1 }
/** Number in the id of the first odd job; no other job has these. */
const FIRST_ODD_JOB = 800_000

const isTerminal = (state: string | null): boolean => state === 'done' || state === 'aborted'

/** The users of a day. */
export class UserWorkload {
	/** number of submissions by the status of their response; 0: no response, or no healthy controller */
	readonly submissions = new Map<number, number>()
	/** how much oftener than usual users poll */
	pollFactor = 1
	/** shares of jobs that are cancelled as their last task ends, and of new states that are queried closely */
	readonly chances: RandomFaults<'cancelAtCompletion' | 'closeLooks'>
	private sendsOddRequests = false
	private oddRequests = 0
	private readonly specs = new Map<string, JobSpec>()
	private readonly cancelling = new Set<string>()

	constructor(private readonly ports: UserWorkloadPorts) {
		this.chances = new RandomFaults(ports.clock)
		ports.invariants.onNewState = (uid, state) => this.queryClosely(uid, state)
		ports.invariants.onLastTaskCompleted = (uid) => {
			if (this.chances.happens('cancelAtCompletion')) this.cancelAtEnd(uid)
		}
	}

	/** Adds a user and their job. */
	add({ atS, spec, cancelAtS }: DayJob): void {
		const { clock } = this.ports
		this.specs.set(spec.uid, spec)
		clock.after(atS * 1000, () => this.submit(spec))
		if (cancelAtS !== undefined) clock.after(cancelAtS * 1000, () => this.cancel(spec.uid))
	}

	/** Users cancel the `count` running jobs that take longest, nearly at once; `hangMs`: machines hang with them. */
	cancelNow(count: number, hangMs: number): void {
		const { clock, invariants } = this.ports
		const jobs = invariants
			.activeJobs()
			.filter((job) => job.machines.length > 0)
			.sort((a, b) => b.spec.expectedS - a.spec.expectedS || (a.spec.uid < b.spec.uid ? -1 : 1))
			.slice(0, count)
		const machines = [...new Set(jobs.flatMap((job) => job.machines))].slice(0, MAX_HUNG_MACHINES)
		if (hangMs > 0) for (const machine of machines) this.ports.hang(machine, hangMs)
		for (const { spec } of jobs) clock.after(clock.between(0, CANCEL_SPREAD_MS), () => this.cancel(spec.uid))
	}

	/** For a while users repeat submissions, cancel terminal jobs, and send submissions that must be rejected. */
	sendOddRequests(forMs: number): void {
		const { clock } = this.ports
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

	/** For a while requests about finished jobs go to any controllers, at short distances. */
	requestFinishedJobs(forMs: number): void {
		const { clock } = this.ports
		const untilMs = clock.nowMs + forMs
		const next = () => {
			if (clock.nowMs >= untilMs) return
			this.requestFinishedJob()
			clock.after(clock.between(FINISHED_JOB_PAUSE_MS.min, FINISHED_JOB_PAUSE_MS.max), next)
		}
		next()
	}

	/** Sends a request about a job and reports what the user observes; null as controller: none is healthy. */
	private request(
		uid: string,
		controller: number | null,
		request: UserRequest,
		reply: (response: FakeResponse | null) => void = () => {},
	): void {
		const { clock, invariants } = this.ports
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
		this.ports.send(controller, request, finish)
		clock.after(REQUEST_TIMEOUT_MS, () => finish(null))
	}

	/** `known`: what users had observed when the request was sent. */
	private observe(
		uid: string,
		request: UserRequest,
		response: FakeResponse,
		known: { knownState: string | null; doneBefore: number },
	): void {
		const { invariants } = this.ports
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
		if (!this.cancelling.has(uid)) this.ports.invariants.cancelRequested(uid)
		this.cancelling.add(uid)
		return { method: 'POST', path: `${RUNS}/${uid}/withdraw`, body: {} }
	}

	/** Cancels a job; retries until there is a response. */
	private cancel(uid: string): void {
		this.request(uid, this.ports.someController(), this.cancellation(uid), (response) => {
			if (response?.status !== 200 && response?.status !== 404)
				this.ports.clock.after(RETRY_MS, () => this.cancel(uid))
		})
	}

	private poll(uid: string): void {
		const { clock, invariants } = this.ports
		const terminal = isTerminal(invariants.observedState(uid))
		const query = () =>
			this.request(uid, this.ports.someController(), this.query(uid), () => {
				if (terminal) this.poll(uid)
				else clock.after(POLL_MS / this.pollFactor, () => this.poll(uid))
			})
		if (terminal) clock.after(TERMINAL_POLL_MS, query)
		else query()
	}

	private submit(spec: JobSpec): void {
		const { clock, invariants } = this.ports
		invariants.jobSubmitted(spec)
		this.request(spec.uid, this.ports.someController(), this.submission(spec), (response) => {
			const status = response?.status ?? 0
			this.submissions.set(status, (this.submissions.get(status) ?? 0) + 1)
			// Not retried (protocol).
			if (status === 422) return
			if (status === 200 || status === 201) this.poll(spec.uid)
			else clock.after(RETRY_MS, () => this.submit(spec))
		})
	}

	/** A user observed a new state: queries all controllers within ms, submits again, may cancel the job. */
	private queryClosely(uid: string, state: string): void {
		const spec = this.specs.get(uid)
		if (spec === undefined || !this.chances.happens('closeLooks')) return
		const { clock } = this.ports
		const cancels = !isTerminal(state) && clock.random() < CLOSE_CANCEL_SHARE
		for (let round = 0; round < CLOSE_ROUNDS; round++)
			for (let controller = 0; controller < this.ports.controllers; controller++) {
				const request = clock.random() < RESUBMIT_SHARE ? this.submission(spec) : this.query(uid)
				const delayMs = clock.between(0, CLOSE_MS) * (1 + round * CLOSE_ROUND_FACTOR)
				clock.after(delayMs, () => this.request(uid, controller, request))
			}
		if (cancels) clock.after(clock.between(0, CLOSE_MS), () => this.cancel(uid))
	}

	/**
	 * A cancellation, queries and a repeated submission reach different controllers as the last task ends, or as that is
	 * being written.
	 */
	private cancelAtEnd(uid: string): void {
		const spec = this.specs.get(uid)
		if (spec === undefined) return
		const { clock } = this.ports
		clock.after(clock.between(0, END_MS), () => this.cancel(uid))
		for (const request of [this.query(uid), this.submission(spec), this.query(uid)]) {
			const controller = this.randomController()
			clock.after(clock.between(0, END_MS), () => this.request(uid, controller, request))
		}
	}

	/** By turns: a repeated submission, the cancellation of a done job, a submission that must be rejected. */
	private sendOddRequest(): void {
		const { clock, invariants } = this.ports
		const specs = [...this.specs.values()]
		const spec = specs[Math.floor(clock.random() * specs.length)]
		const controller = this.randomController()
		if (spec === undefined) return
		const { uid } = spec
		const state = invariants.observedState(uid)
		const turn = this.oddRequests++
		if (turn % 3 === 0 && state !== null) {
			this.request(uid, controller, this.submission(spec))
			return
		}
		if (turn % 3 === 1 && state === 'done') {
			this.request(uid, controller, this.cancellation(uid))
			return
		}
		this.sendInvalidSubmission(spec, turn, controller)
	}

	/** A question, a repeated submission or a cancellation of any finished job. */
	private requestFinishedJob(): void {
		const { clock, invariants } = this.ports
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

	private sendInvalidSubmission(spec: JobSpec, turn: number, controller: number): void {
		const { clock, invariants } = this.ports
		const uid = `job-${FIRST_ODD_JOB + turn}`
		invariants.expectRejection(uid)
		const { body, expectedStatus } = oddSubmission({ ...spec, uid }, turn)
		this.ports.send(controller, { method: 'POST', path: RUNS, body }, (response) => {
			if (response !== null) invariants.checkRejection(uid, response.status, expectedStatus)
		})
		// No user observed an acceptance: it must stay unknown.
		clock.after(RETRY_MS, () => this.request(uid, controller, this.query(uid)))
	}

	private randomController(): number {
		return Math.floor(this.ports.clock.random() * this.ports.controllers)
	}
}
