/** Transport over gRPC: unary calls and streams. */
import {
	type ClientReadableStream,
	type ClientUnaryCall,
	credentials,
	Metadata,
	type ServiceError,
	status,
} from '@grpc/grpc-js'
import {
	type EventMessage,
	type JobMessage,
	type JobsClient,
	jobsClient,
	stateOf,
	toSubmitRequest,
} from '@heathroad/proto'
import type { JobSpec } from '@heathroad/wire'
import {
	type JobEvent,
	type JobInfo,
	type Outcome,
	type Rejection,
	type RejectionReason,
	type RetryableFailure,
	type StreamEnd,
	stateFrom,
	type Transport,
	type WatchRequest,
} from './transport.js'

const REJECTION_BY_CODE = new Map<status, RejectionReason>([
	[status.INVALID_ARGUMENT, 'malformed'],
	[status.NOT_FOUND, 'unknown job'],
	[status.FAILED_PRECONDITION, 'never runs'],
])

/** A lost controller is detected within 20 s, even on idle streams; reconnection attempts are at most 2 s apart. */
const CHANNEL_OPTIONS = {
	// The client implements its own retries.
	'grpc.enable_retries': 0,
	'grpc.use_local_subchannel_pool': 1,
	'grpc.keepalive_time_ms': 15_000,
	'grpc.keepalive_timeout_ms': 5_000,
	'grpc.initial_reconnect_backoff_ms': 200,
	'grpc.max_reconnect_backoff_ms': 2_000,
}

/** The retry delay that the service requested, in ms; null: none. */
const retryAfterOf = (metadata: Metadata | undefined): number | null => {
	const text = metadata?.get('retry-after-ms')[0]
	const ms = Number(text)
	return text !== undefined && Number.isFinite(ms) && ms >= 0 ? ms : null
}

/** Classifies the error of a call or stream as a rejection or a retryable failure. */
export const toFailure = ({ code, details, metadata }: ServiceError): Rejection | RetryableFailure => {
	const text = `${status[code]}: ${details}`
	const reason = REJECTION_BY_CODE.get(code)
	if (reason !== undefined) return { kind: 'rejected', reason, text }
	// These details mean that no connection was established; a call that failed otherwise may have been executed.
	const isUnreachable = code === status.UNAVAILABLE && /No connection established|ECONNREFUSED/.test(details)
	const retryAfterMs = retryAfterOf(metadata)
	const isRefused = code === status.RESOURCE_EXHAUSTED && retryAfterMs !== null
	const isUnimplemented = code === status.UNIMPLEMENTED
	// A controller that refuses to serve a call sends a retry delay.
	const isNotServing = code === status.UNAVAILABLE && retryAfterMs !== null
	const isConnectionLost = code === status.UNAVAILABLE && !isUnreachable && !isNotServing
	return {
		kind: 'retryable',
		text,
		retryAfterMs,
		mayBeAccepted: !isUnreachable && !isRefused && !isUnimplemented,
		isUnreachable,
		isConnectionLost,
		isNotServing,
		lacksGrpc: isUnimplemented || isUnreachable,
	}
}

const toJobInfo = (message: JobMessage | EventMessage): JobInfo => ({
	uid: message.uid,
	state: stateFrom(stateOf(message.state) ?? 'pending'),
	done: message.done,
	running: message.running,
})

/** Transport to the gRPC address of a controller. */
export class GrpcTransport implements Transport {
	private readonly client: JobsClient

	constructor(readonly address: string) {
		const JobsClient = jobsClient()
		this.client = new JobsClient(address, credentials.createInsecure(), CHANNEL_OPTIONS)
	}

	private unary(
		signal: AbortSignal,
		start: (done: (error: ServiceError | null, job?: JobMessage) => void) => ClientUnaryCall,
	): Promise<Outcome> {
		return new Promise((resolve) => {
			const call = start((error, job) => {
				signal.removeEventListener('abort', abort)
				if (error !== null) resolve(toFailure(error))
				else if (job !== undefined) resolve({ kind: 'job', job: toJobInfo(job) })
				else throw new Error('gRPC call completed with neither a response nor an error')
			})
			const abort = () => call.cancel()
			signal.addEventListener('abort', abort, { once: true })
			if (signal.aborted) abort()
		})
	}

	submit(job: JobSpec, timeoutMs: number, signal: AbortSignal): Promise<Outcome> {
		const deadline = Date.now() + timeoutMs
		return this.unary(signal, (done) => this.client.Submit(toSubmitRequest(job), { deadline }, done))
	}

	get(uid: string, timeoutMs: number, signal: AbortSignal): Promise<Outcome> {
		const deadline = Date.now() + timeoutMs
		return this.unary(signal, (done) => this.client.Get({ uid }, { deadline }, done))
	}

	cancel(uid: string, timeoutMs: number, signal: AbortSignal): Promise<Outcome> {
		const deadline = Date.now() + timeoutMs
		return this.unary(signal, (done) => this.client.Cancel({ uid }, { deadline }, done))
	}

	async *watch(
		{ selection, cursor, watchId }: WatchRequest,
		signal: AbortSignal,
		onStart: (cursor: string) => void,
	): AsyncGenerator<JobEvent, StreamEnd> {
		const request = 'team' in selection ? { team: selection.team } : { uids: [...selection.uids] }
		const metadata = new Metadata()
		metadata.set('watch-id', watchId)
		const call: ClientReadableStream<EventMessage> = this.client.Watch({ ...request, cursor }, metadata)
		call.on('metadata', (headers: Metadata) => {
			const [startCursor] = headers.get('cursor')
			if (startCursor !== undefined) onStart(String(startCursor))
		})
		const abort = () => call.cancel()
		signal.addEventListener('abort', abort, { once: true })
		if (signal.aborted) abort()
		try {
			// Read one by one, so that flow control limits the stream to the caller's pace.
			for await (const message of call as AsyncIterable<EventMessage>) {
				const { tasks, cursor: eventCursor } = message
				yield { ...toJobInfo(message), tasks, cursor: eventCursor, afterGap: false }
			}
			return { kind: 'complete' }
		} catch (caught) {
			const error = caught as ServiceError
			if (error.code === undefined) throw caught
			const isCursorLost = error.code === status.OUT_OF_RANGE || error.code === status.INVALID_ARGUMENT
			if (cursor !== '' && isCursorLost) return { kind: 'restart', text: error.details }
			return toFailure(error)
		} finally {
			signal.removeEventListener('abort', abort)
			call.cancel()
		}
	}

	close(): void {
		this.client.close()
	}
}
