/** Submit, Get and Cancel, handled by the same service code as over HTTP. */
import { type ServerUnaryCall, type sendUnaryData, status } from '@grpc/grpc-js'
import { fieldName, type JobMessage, type SubmitMessage, stateName, toHttpSubmission } from '@heathroad/proto'
import type { HttpRequest, Service } from '@heathroad/server'
import { type HttpReply, isMap, JOB_ID_FORMAT, JOB_ID_PATTERN, type JobStatusResponse } from '@heathroad/wire'
import { type Failure, failure, replyFailure } from './status.js'

const JOBS_PATH = '/v2/runs'
/** Retry delay while this controller shuts down, in ms; short, because other controllers can answer immediately. */
const SHUTDOWN_RETRY_MS = 100

type UnaryHandler<Request> = (
	call: ServerUnaryCall<Request, JobMessage>,
	done: sendUnaryData<JobMessage>,
) => void
type JobReference = { uid: string }

/** The error text of a reply, with the field renamed to its name in the gRPC definition. */
const errorText = (body: unknown): string => {
	if (!isMap(body)) return ''
	const text = String(body.error ?? '')
	return typeof body.field === 'string' ? fieldName(body.field) + text.slice(body.field.length) : text
}

/** Handlers of the unary calls. */
export class UnaryCalls {
	/** `isDraining`: whether the server is shutting down and rejects new calls. */
	constructor(
		private readonly service: Service,
		private readonly isDraining: () => boolean,
	) {}

	readonly submit: UnaryHandler<SubmitMessage> = (call, done) => {
		const { tasks } = call.request
		this.handle(
			{ method: 'POST', path: JOBS_PATH, body: toHttpSubmission(call.request) },
			done,
			(response) => {
				const job = this.jobMessage(response)
				return { ...job, tasks: job.tasks || tasks }
			},
		)
	}

	readonly get: UnaryHandler<JobReference> = (call, done) => {
		const { uid } = call.request
		if (!this.checkJobId(uid, done)) return
		this.handle({ method: 'GET', path: `${JOBS_PATH}/${uid}`, body: undefined }, done, this.jobMessage)
	}

	readonly cancel: UnaryHandler<JobReference> = (call, done) => {
		const { uid } = call.request
		if (!this.checkJobId(uid, done)) return
		this.handle({ method: 'POST', path: `${JOBS_PATH}/${uid}/withdraw`, body: {} }, done, this.jobMessage)
	}

	private handle(
		request: HttpRequest,
		done: sendUnaryData<JobMessage>,
		toMessage: (response: JobStatusResponse) => JobMessage,
	): void {
		if (this.isDraining()) {
			done(failure(status.UNAVAILABLE, 'this controller is ending', SHUTDOWN_RETRY_MS))
			return
		}
		this.service.handleRequest(request, (reply: HttpReply) => {
			const isJob = reply.status === 200 || reply.status === 201
			if (isJob) return done(null, toMessage(reply.body as JobStatusResponse))
			done(replyFailure(reply, errorText(reply.body)))
		})
	}

	private readonly jobMessage = (response: JobStatusResponse): JobMessage => ({
		uid: response.uid,
		state: stateName(response.status),
		done: response.done ?? 0,
		running: response.running ?? 0,
		tasks: this.taskCountOf(response.uid),
	})

	/** A job's number of tasks, from its records or its cached archive page; 0: neither has it. */
	private taskCountOf(uid: string): number {
		const location = this.service.jobLocator.inMemory(uid)
		if (location === null) return 0
		if ('record' in location) return location.record.spec?.tasks ?? location.record.taskCount ?? 0
		return location.kind === 'archived' ? location.job.taskCount : 0
	}

	/** Fails the call unless the id is well-formed: only then may it become part of a path. */
	private checkJobId(uid: string, fail: (callFailure: Failure) => void): boolean {
		if (JOB_ID_PATTERN.test(uid)) return true
		fail(failure(status.INVALID_ARGUMENT, `uid: Expected ${JOB_ID_FORMAT}`))
		return false
	}
}
