/** Failures of gRPC calls: status codes, texts and retry delays. */
import { Metadata, status } from '@grpc/grpc-js'
import type { StreamRefusal } from '@heathroad/events'
import type { HttpReply } from '@heathroad/wire'
import protobuf from 'protobufjs'

/** A failed call, in the form that the gRPC library expects. */
export interface Failure {
	code: status
	details: string
	metadata?: Metadata
}

/** gRPC codes by HTTP status of the service's reply; any other status maps to UNAVAILABLE. */
const CODE_BY_HTTP_STATUS: Readonly<Record<number, status>> = {
	400: status.INVALID_ARGUMENT,
	404: status.NOT_FOUND,
	422: status.FAILED_PRECONDITION,
	429: status.RESOURCE_EXHAUSTED,
}

/** Retry delay for a retryable reply that does not specify one, in seconds. */
const DEFAULT_RETRY_AFTER_S = 1
const NANOS_PER_MS = 1_000_000

// google.rpc.Status with a RetryInfo, as client libraries expect it in the trailers.
const googleRpc = protobuf.parse(
	`
	syntax = "proto3";
	package google.rpc;
	message Any { string type_url = 1; bytes value = 2; }
	message Status { int32 code = 1; string message = 2; repeated Any details = 3; }
	message Duration { int64 seconds = 1; int32 nanos = 2; }
	message RetryInfo { Duration retry_delay = 1; }
`,
	{ keepCase: true },
).root
const Status = googleRpc.lookupType('google.rpc.Status')
const RetryInfo = googleRpc.lookupType('google.rpc.RetryInfo')

/** Encodes google.rpc.Status with a RetryInfo. */
const encodeStatusDetails = (code: status, message: string, retryAfterMs: number): Buffer => {
	const retry_delay = {
		seconds: Math.floor(retryAfterMs / 1000),
		nanos: (retryAfterMs % 1000) * NANOS_PER_MS,
	}
	const value = RetryInfo.encode({ retry_delay }).finish()
	const retryInfo = { type_url: 'type.googleapis.com/google.rpc.RetryInfo', value }
	return Buffer.from(Status.encode({ code, message, details: [retryInfo] }).finish())
}

/** Creates a failure. `retryAfterMs` is sent as the trailer `retry-after-ms` and as google.rpc.RetryInfo. */
export const failure = (code: status, text: string, retryAfterMs?: number): Failure => {
	if (retryAfterMs === undefined) return { code, details: text }
	const metadata = new Metadata()
	const wholeMs = Math.max(1, Math.ceil(retryAfterMs))
	metadata.set('retry-after-ms', String(wholeMs))
	metadata.set('grpc-status-details-bin', encodeStatusDetails(code, text, wholeMs))
	return { code, details: text, metadata }
}

/** Converts an error reply of the service to a failure, with a retry delay if the call may be retried. */
export const replyFailure = (reply: HttpReply, text: string): Failure => {
	const code = CODE_BY_HTTP_STATUS[reply.status] ?? status.UNAVAILABLE
	const isRetryable = code === status.RESOURCE_EXHAUSTED || code === status.UNAVAILABLE
	if (!isRetryable) return failure(code, text)
	return failure(code, text, (reply.retryAfterS ?? DEFAULT_RETRY_AFTER_S) * 1000)
}

/** Converts the refusal of a stream to a failure. */
export const refusalFailure = ({ reason, retryAfterMs }: StreamRefusal): Failure =>
	reason === 'too many begin'
		? failure(status.UNAVAILABLE, 'too many streams begin at once', retryAfterMs)
		: failure(status.RESOURCE_EXHAUSTED, reason, retryAfterMs)
