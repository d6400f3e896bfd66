/** Transport over HTTP: unary calls only. */
import {
	createHttpClient,
	encodeSubmission,
	type HttpResponse,
	isMap,
	type JobSpec,
	type JobStatus,
} from '@heathroad/wire'
import { Effect, Exit } from 'effect'
import { type Outcome, type RejectionReason, stateFrom, type Transport } from './transport.js'

const JOBS_PATH = '/v2/runs'
/** Maximum number of connections to one address. */
const MAX_CONNECTIONS = 8
const TOO_MANY_REQUESTS = 429
const SERVICE_UNAVAILABLE = 503
const REJECTION_BY_STATUS: Readonly<Record<number, RejectionReason>> = {
	400: 'malformed',
	404: 'unknown job',
	422: 'never runs',
}

const errorText = ({ status, body }: HttpResponse): string => {
	const error = isMap(body) && typeof body.error === 'string' ? `: ${body.error}` : ''
	return `${status}${error}`
}

/** Converts a response to the outcome of a try. */
export const toOutcome = (response: HttpResponse): Outcome => {
	const { status, body, retryAfterS: retryAfter } = response
	if ((status === 200 || status === 201) && isMap(body) && typeof body.uid === 'string') {
		const job = {
			uid: body.uid,
			state: stateFrom(body.status as JobStatus),
			done: Number(body.done ?? 0),
			running: Number(body.running ?? 0),
		}
		return { kind: 'job', job }
	}
	const reason = REJECTION_BY_STATUS[status]
	if (reason !== undefined) return { kind: 'rejected', reason, text: errorText(response) }
	return {
		kind: 'retryable',
		text: errorText(response),
		retryAfterMs: retryAfter === null ? null : retryAfter * 1000,
		// A call refused with 429 was not executed. Any other response may come from a controller that stopped waiting for
		// its write, which may still be executed.
		mayBeAccepted: status !== TOO_MANY_REQUESTS,
		isUnreachable: false,
		isNotServing: status === SERVICE_UNAVAILABLE,
	}
}

const transportFailure = (reason: string): Outcome => {
	const isUnreachable = /ECONNREFUSED|EHOSTUNREACH|ENETUNREACH/.test(reason)
	return {
		kind: 'retryable',
		text: reason,
		retryAfterMs: null,
		mayBeAccepted: !isUnreachable,
		isUnreachable,
		isConnectionLost: /ECONNRESET|EPIPE|socket hang up/.test(reason),
	}
}

const INTERRUPTED: Outcome = {
	kind: 'retryable',
	text: 'interrupted',
	retryAfterMs: null,
	mayBeAccepted: true,
	isUnreachable: false,
}

interface HttpCall {
	method: 'GET' | 'POST'
	path: string
	body: unknown
	timeoutMs: number
	signal: AbortSignal
}

/** Transport to the HTTP address of a controller. */
export class HttpTransport implements Transport {
	private readonly httpClient = createHttpClient(MAX_CONNECTIONS)

	constructor(readonly address: string) {}

	submit(job: JobSpec, timeoutMs: number, signal: AbortSignal): Promise<Outcome> {
		return this.call({ method: 'POST', path: JOBS_PATH, body: encodeSubmission(job), timeoutMs, signal })
	}

	get(uid: string, timeoutMs: number, signal: AbortSignal): Promise<Outcome> {
		const path = `${JOBS_PATH}/${encodeURIComponent(uid)}`
		return this.call({ method: 'GET', path, body: undefined, timeoutMs, signal })
	}

	cancel(uid: string, timeoutMs: number, signal: AbortSignal): Promise<Outcome> {
		const path = `${JOBS_PATH}/${encodeURIComponent(uid)}/withdraw`
		return this.call({ method: 'POST', path, body: {}, timeoutMs, signal })
	}

	close(): void {
		this.httpClient.close()
	}

	private async call({ method, path, body, timeoutMs, signal }: HttpCall): Promise<Outcome> {
		const request = this.httpClient.request(this.address, method, path, body, timeoutMs).pipe(
			Effect.match({
				onFailure: (error) => transportFailure(error.reason),
				onSuccess: toOutcome,
			}),
		)
		const exit = await Effect.runPromiseExit(request, { signal })
		return Exit.isSuccess(exit) ? exit.value : INTERRUPTED
	}
}
