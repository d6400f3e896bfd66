import {
	createHttpClient,
	encodeSubmission,
	type HttpResponse,
	isMap,
	type JobSpec,
	type JobStatus,
} from '@heathroad/wire'
import { Effect, Exit } from 'effect'
import { type Outcome, stateFrom, type Transport } from './transport.js'

const RUNS = '/v2/runs'
const NEVER: Readonly<Record<number, Extract<Outcome, { kind: 'never' }>['why']>> = {
	400: 'malformed',
	404: 'unknown job',
	422: 'never runs',
}

const textOf = (a: HttpResponse): string => {
	const said = isMap(a.body) && typeof a.body.error === 'string' ? `: ${a.body.error}` : ''
	return `${a.status}${said}`
}

const read = (a: HttpResponse): Outcome => {
	if ((a.status === 200 || a.status === 201) && isMap(a.body) && typeof a.body.uid === 'string')
		return {
			kind: 'job',
			job: {
				uid: a.body.uid,
				state: stateFrom(a.body.status as JobStatus),
				done: Number(a.body.done ?? 0),
				running: Number(a.body.running ?? 0),
			},
		}
	const why = NEVER[a.status]
	if (why !== undefined) return { kind: 'never', why, text: textOf(a) }
	const afterMs = a.retryAfter === null ? null : a.retryAfter * 1000
	// 429: refused before anything was done. Any other answer may come from one that gave up waiting for its write.
	return { kind: 'later', text: textOf(a), afterMs, maybe: a.status !== 429, unreached: false }
}

/** A controller's HTTP face. */
export class HttpTransport implements Transport {
	private readonly caller = createHttpClient(8)

	constructor(readonly address: string) {}

	private async call(
		method: string,
		path: string,
		body: unknown,
		timeoutMs: number,
		signal: AbortSignal,
	): Promise<Outcome> {
		const asked = this.caller.request(this.address, method, path, body, timeoutMs).pipe(
			Effect.match({
				onFailure: (e): Outcome => {
					const unreached = /ECONNREFUSED|EHOSTUNREACH|ENETUNREACH/.test(e.reason)
					return { kind: 'later', text: e.reason, afterMs: null, maybe: !unreached, unreached }
				},
				onSuccess: read,
			}),
		)
		const exit = await Effect.runPromiseExit(asked, { signal })
		if (Exit.isSuccess(exit)) return exit.value
		return { kind: 'later', text: 'interrupted', afterMs: null, maybe: true, unreached: false }
	}

	submit(job: JobSpec, timeoutMs: number, signal: AbortSignal): Promise<Outcome> {
		return this.call('POST', RUNS, encodeSubmission(job), timeoutMs, signal)
	}

	get(uid: string, timeoutMs: number, signal: AbortSignal): Promise<Outcome> {
		return this.call('GET', `${RUNS}/${encodeURIComponent(uid)}`, undefined, timeoutMs, signal)
	}

	cancel(uid: string, timeoutMs: number, signal: AbortSignal): Promise<Outcome> {
		return this.call('POST', `${RUNS}/${encodeURIComponent(uid)}/withdraw`, {}, timeoutMs, signal)
	}

	close(): void {
		this.caller.close()
	}
}
