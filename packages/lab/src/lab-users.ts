/** Users of the lab, who submit jobs and poll them until they are done, and poll archived jobs. */
import { type ArchivedJob, jobIdOf } from '@heathroad/history'
import type { InvariantChecker } from '@heathroad/testkit'
import { encodeSubmission, type HttpResponse, isMap, type JobSpec } from '@heathroad/wire'
import type { Histogram } from 'hdr-histogram-js'
import { latencyHistogram, type RequestRecorder } from './request-recorder.js'

/** Timeouts of requests, and the delay before a submission is retried, in ms. */
const SUBMIT_TIMEOUT_MS = 5000
const POLL_TIMEOUT_MS = 2000
const RETRY_DELAY_MS = 1000
/** Longest time until a job is done that can be recorded, in ms. */
const MAX_COMPLETION_MS = 600_000

/** Collaborators and parameters of the users. */
export interface LabUsersDependencies {
	invariants: InvariantChecker
	recorder: RequestRecorder
	/** returns the address of a random controller */
	randomControllerAddress(): string
	/** returns whether the experiment has ended */
	hasEnded(): boolean
	/** interval between polls, in ms */
	pollMs: number
}

const sleep = (ms: number): Promise<void> => new Promise((done) => setTimeout(done, ms))

const isAccepted = (response: HttpResponse | null): boolean =>
	response?.status === 200 || response?.status === 201

/** The users of an experiment. */
export class LabUsers {
	/** specs of the submitted jobs by id */
	readonly specs = new Map<string, JobSpec>()
	/** by job class: time in ms from a job's acceptance until its user observed that it was done */
	readonly classes: Record<string, Histogram> = {}
	/** descriptions of responses with a wrong state of an archived job */
	readonly wrongAnswers: string[] = []
	/** number of accepted jobs */
	accepted = 0

	constructor(private readonly dependencies: LabUsersDependencies) {}

	/** Acts as one user: submits a job and polls it until it is done. */
	async run(spec: JobSpec): Promise<void> {
		this.specs.set(spec.uid, spec)
		this.dependencies.invariants.jobSubmitted(spec)
		if (!(await this.submit(spec))) return
		this.accepted++
		const acceptedMs = performance.now()
		if (!(await this.pollUntilDone(spec))) return
		this.classes[spec.jobClass] ??= latencyHistogram(MAX_COMPLETION_MS)
		this.classes[spec.jobClass].recordValue(Math.round(performance.now() - acceptedMs))
	}

	/** Polls an archived job and checks the response. */
	async pollArchived(job: ArchivedJob): Promise<void> {
		const uid = jobIdOf(job.ordinal)
		const response = await this.dependencies.recorder.send({
			kind: 'old poll',
			to: this.dependencies.randomControllerAddress(),
			method: 'GET',
			path: `/v2/runs/${uid}`,
			body: undefined,
			timeoutMs: POLL_TIMEOUT_MS,
		})
		if (response === null || response.status === 503) return
		const status = isMap(response.body) ? response.body.status : null
		if (response.status !== 200 || status !== (job.aborted ? 'aborted' : 'done'))
			this.wrongAnswers.push(`${uid}: ${response.status} ${status}`)
	}

	/** Submits the job until it is accepted; returns false if the experiment ends first. */
	private async submit(spec: JobSpec): Promise<boolean> {
		const { invariants, recorder } = this.dependencies
		for (;;) {
			if (this.dependencies.hasEnded()) return false
			const knownState = invariants.observedState(spec.uid)
			const response = await recorder.send({
				kind: 'submit',
				to: this.dependencies.randomControllerAddress(),
				method: 'POST',
				path: '/v2/runs',
				body: encodeSubmission(spec),
				timeoutMs: SUBMIT_TIMEOUT_MS,
			})
			this.observe(spec.uid, response, knownState)
			if (isAccepted(response)) return true
			await sleep(RETRY_DELAY_MS)
		}
	}

	/** Polls the job until it is done; returns false if the experiment ends first. */
	private async pollUntilDone(spec: JobSpec): Promise<boolean> {
		const { invariants, recorder, pollMs } = this.dependencies
		for (;;) {
			await sleep(pollMs)
			if (this.dependencies.hasEnded()) return false
			const knownState = invariants.observedState(spec.uid)
			if (knownState === 'done') return true
			const response = await recorder.send({
				kind: 'poll',
				to: this.dependencies.randomControllerAddress(),
				method: 'GET',
				path: `/v2/runs/${spec.uid}`,
				body: undefined,
				timeoutMs: POLL_TIMEOUT_MS,
			})
			this.observe(spec.uid, response, knownState)
		}
	}

	private observe(uid: string, response: HttpResponse | null, knownState: string | null): void {
		if (response === null) return
		const state = isMap(response.body) ? ((response.body.status as string) ?? null) : null
		this.dependencies.invariants.observeStatus(uid, response.status, state, knownState)
	}
}
