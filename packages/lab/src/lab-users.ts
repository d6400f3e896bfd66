/** The lab's users: they submit jobs and poll them until they are done, and ask about archived jobs. */
import { type ArchivedJob, jobIdOf } from '@heathroad/history'
import type { InvariantChecker } from '@heathroad/testkit'
import { encodeSubmission, type HttpResponse, isMap, type JobSpec } from '@heathroad/wire'
import type { Histogram } from 'hdr-histogram-js'
import { latencyHistogram, type RequestRecorder } from './request-recorder.js'

/** Timeouts of requests, and pauses between them, in ms. */
const SUBMIT_TIMEOUT_MS = 5000
const POLL_TIMEOUT_MS = 2000
const RETRY_MS = 1000
/** Largest time until a job is done that can be recorded, in ms. */
const MAX_DONE_MS = 600_000

/** What users need of the experiment. */
export interface LabUsersPorts {
	invariants: InvariantChecker
	recorder: RequestRecorder
	/** the address of a random controller */
	someController(): string
	/** has the experiment ended? */
	hasEnded(): boolean
	/** pause between polls, in ms */
	pollMs: number
}

const wait = (ms: number): Promise<void> => new Promise((done) => setTimeout(done, ms))

const isAccepted = (response: HttpResponse | null): boolean =>
	response?.status === 200 || response?.status === 201

/** The users of an experiment. */
export class LabUsers {
	/** specs of the submitted jobs by id */
	readonly specs = new Map<string, JobSpec>()
	/** by class: time from a job's acceptance until its user observed that it is done, in ms */
	readonly classes: Record<string, Histogram> = {}
	/** archived jobs about which a controller answered wrongly */
	readonly wrongAnswers: string[] = []
	/** number of accepted jobs */
	accepted = 0

	constructor(private readonly ports: LabUsersPorts) {}

	/** One user: submits a job and polls it until it is done. */
	async run(spec: JobSpec): Promise<void> {
		this.specs.set(spec.uid, spec)
		this.ports.invariants.jobSubmitted(spec)
		if (!(await this.submit(spec))) return
		this.accepted++
		const acceptedMs = performance.now()
		if (!(await this.pollUntilDone(spec))) return
		this.classes[spec.jobClass] ??= latencyHistogram(MAX_DONE_MS)
		this.classes[spec.jobClass].recordValue(Math.round(performance.now() - acceptedMs))
	}

	/** Asks about an archived job and checks the answer. */
	async pollArchived(job: ArchivedJob): Promise<void> {
		const uid = jobIdOf(job.ordinal)
		const response = await this.ports.recorder.send({
			kind: 'old poll',
			to: this.ports.someController(),
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

	/** Submits until the job is accepted; false: the experiment ended before. */
	private async submit(spec: JobSpec): Promise<boolean> {
		const { invariants, recorder } = this.ports
		for (;;) {
			if (this.ports.hasEnded()) return false
			const knownState = invariants.observedState(spec.uid)
			const response = await recorder.send({
				kind: 'submit',
				to: this.ports.someController(),
				method: 'POST',
				path: '/v2/runs',
				body: encodeSubmission(spec),
				timeoutMs: SUBMIT_TIMEOUT_MS,
			})
			this.observe(spec.uid, response, knownState)
			if (isAccepted(response)) return true
			await wait(RETRY_MS)
		}
	}

	/** Polls until the job is done; false: the experiment ended before. */
	private async pollUntilDone(spec: JobSpec): Promise<boolean> {
		const { invariants, recorder, pollMs } = this.ports
		for (;;) {
			await wait(pollMs)
			if (this.ports.hasEnded()) return false
			const knownState = invariants.observedState(spec.uid)
			if (knownState === 'done') return true
			const response = await recorder.send({
				kind: 'poll',
				to: this.ports.someController(),
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
		this.ports.invariants.observeStatus(uid, response.status, state, knownState)
	}
}
