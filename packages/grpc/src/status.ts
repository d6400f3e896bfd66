import { Metadata, status } from '@grpc/grpc-js'
import type { StreamRefusal } from '@heathroad/events'
import type { HttpReply } from '@heathroad/wire'
import protobuf from 'protobufjs'

/** A call's end without an answer, as the library takes it. */
export interface Failure {
	code: status
	details: string
	metadata?: Metadata
}

const CODES: Readonly<Record<number, status>> = {
	400: status.INVALID_ARGUMENT,
	404: status.NOT_FOUND,
	422: status.FAILED_PRECONDITION,
	429: status.RESOURCE_EXHAUSTED,
}

// google.rpc.Status with a RetryInfo, as clients' libraries expect it in the trailers.
const rpc = protobuf.parse(
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
const Status = rpc.lookupType('google.rpc.Status')
const RetryInfo = rpc.lookupType('google.rpc.RetryInfo')

const details = (code: status, message: string, afterMs: number): Buffer => {
	const retry_delay = { seconds: Math.floor(afterMs / 1000), nanos: (afterMs % 1000) * 1_000_000 }
	const value = RetryInfo.encode({ retry_delay }).finish()
	const any = { type_url: 'type.googleapis.com/google.rpc.RetryInfo', value }
	return Buffer.from(Status.encode({ code, message, details: [any] }).finish())
}

/** `retryAfterMs`: when to come back; it is told as `retry-after-ms` and as google.rpc.RetryInfo. */
export const failure = (code: status, text: string, retryAfterMs?: number): Failure => {
	if (retryAfterMs === undefined) return { code, details: text }
	const metadata = new Metadata()
	const afterMs = Math.max(1, Math.ceil(retryAfterMs))
	metadata.set('retry-after-ms', String(afterMs))
	metadata.set('grpc-status-details-bin', details(code, text, afterMs))
	return { code, details: text, metadata }
}

/** What a reply of the service that is no job means here. What it gave up is UNAVAILABLE, with a time. */
export const replyFailure = (reply: HttpReply, text: string): Failure => {
	const code = CODES[reply.status] ?? status.UNAVAILABLE
	const again = code === status.RESOURCE_EXHAUSTED || code === status.UNAVAILABLE
	return failure(code, text, again ? (reply.retryAfterS ?? 1) * 1000 : undefined)
}

export const refusalFailure = (r: StreamRefusal): Failure =>
	r.reason === 'too many begin'
		? failure(status.UNAVAILABLE, 'too many streams begin at once', r.retryAfterMs)
		: failure(status.RESOURCE_EXHAUSTED, r.reason, r.retryAfterMs)
