/** An open Watch call: sends the events of a subscription under the reader's flow control. */
import { Metadata, type ServerWritableStream, status } from '@grpc/grpc-js'
import type { Sender, SendScheduler, StreamEndReason, Subscription } from '@heathroad/events'
import type { EventMessage, WatchMessage } from '@heathroad/proto'
import { eventMessage } from './event-message.js'
import { type Failure, failure } from './status.js'

export type WatchCall = ServerWritableStream<WatchMessage, Partial<EventMessage>>

const END_FAILURES: Readonly<Record<StreamEndReason, () => Failure>> = {
	// The delay is short because the client's own jitter spreads the reconnects further.
	'not serving': () => failure(status.UNAVAILABLE, 'this controller cannot tell any more', 100),
	'too slow': () => failure(status.RESOURCE_EXHAUSTED, 'the reader takes less than comes', 1000),
	'too far behind': () => failure(status.OUT_OF_RANGE, 'what comes next is not kept any more'),
}

/** Maximum length of a watch's id, in characters. */
const MAX_WATCH_ID_CHARS = 40

/** Limits above which a reader whose flow control blocks counts as stalled. */
export interface StallLimits {
	/** longest time without reading, in ms */
	stallMs: number
	/** maximum number of terminal states waiting to be sent */
	maxBacklog: number
}

/** Dependencies of a stream. */
export interface WatchStreamContext {
	scheduler: SendScheduler
	/** monotonic time in ms */
	now: () => number
	/** called once, when the stream has ended for any reason; `isComplete`: everything it can deliver was sent */
	onEnd: (outcome: { isComplete: boolean; cursor: string }) => void
}

/** The event stream of one reader. */
export class WatchStream implements Sender {
	/** whether the call's status has reached the reader, or its connection is closed */
	isClosed = false
	private subscription: Subscription | null = null
	private hasEnded = false
	/** monotonic time in ms since which the reader's flow control blocks; null: it does not block */
	private blockedSince: number | null = null

	constructor(
		private readonly call: WatchCall,
		private readonly context: WatchStreamContext,
	) {
		const closed = () => {
			this.isClosed = true
			this.finish()
		}
		call.once('cancelled', closed)
		call.once('close', closed)
		call.once('finish', closed)
	}

	/** The reader's IP:PORT. */
	get peer(): string {
		return this.call.getPeer()
	}

	/** The id that the client gave to its watch, shared by all streams of the watch; empty: none was given. */
	get watchId(): string {
		return String(this.call.metadata.get('watch-id')[0] ?? '').slice(0, MAX_WATCH_ID_CHARS)
	}

	/** Starts sending the events of a subscription; ends the subscription if the call has ended in the meantime. */
	start(subscription: Subscription): void {
		if (this.hasEnded) {
			subscription.end(null)
			return
		}
		this.subscription = subscription
		// The headers are sent first: a stream that breaks before its first event, possibly after a long time, must resume
		// where it started, or jobs that became terminal in the meantime would never be delivered.
		const headers = new Metadata()
		headers.set('cursor', subscription.cursor())
		this.call.sendMetadata(headers)
		this.enqueue()
	}

	/** Schedules the stream for sending, unless its reader's flow control blocks. */
	enqueue(): void {
		if (!this.hasEnded && this.blockedSince === null) this.context.scheduler.enqueue(this)
	}

	send(): boolean {
		const { subscription } = this
		if (this.hasEnded || subscription === null || this.blockedSince !== null) return false
		const event = subscription.next()
		if (event === null) {
			if (subscription.isComplete && !this.hasEnded) this.complete()
			return false
		}
		if (this.call.write(eventMessage(event))) return true
		this.blockedSince = this.context.now()
		this.call.once('drain', () => {
			this.blockedSince = null
			this.enqueue()
		})
		return false
	}

	/** Whether the reader has read nothing for too long, or is too far behind while it does not read. */
	isStalled({ stallMs, maxBacklog }: StallLimits): boolean {
		if (this.hasEnded || this.blockedSince === null) return false
		if (this.context.now() - this.blockedSince > stallMs) return true
		return (this.subscription?.backlog() ?? 0) > maxBacklog
	}

	/** Ends the stream and its subscription; the reader may resume at its cursor. */
	endSubscription(reason: StreamEndReason): void {
		this.subscription?.end(reason)
	}

	/** Fails the call because its subscription ended; the trailers carry the cursor at which to resume. */
	subscriptionEnded(reason: StreamEndReason): void {
		if (this.hasEnded) return
		const cursor = this.subscription?.cursor() ?? ''
		const ended = END_FAILURES[reason]()
		const metadata = ended.metadata ?? new Metadata()
		if (cursor !== '') metadata.set('cursor', cursor)
		this.fail({ ...ended, metadata })
	}

	/** Ends the call with a failure. */
	fail(callFailure: Failure): void {
		if (this.hasEnded) return
		this.finish()
		this.call.emit('error', callFailure)
	}

	/** Ends the call with OK: the terminal state of every named job was sent. */
	private complete(): void {
		this.finish()
		this.call.end()
	}

	private finish(): void {
		if (this.hasEnded) return
		this.hasEnded = true
		this.context.scheduler.remove(this)
		const { subscription } = this
		const outcome = { isComplete: subscription?.isComplete ?? false, cursor: subscription?.cursor() ?? '' }
		subscription?.end(null)
		this.context.onEnd(outcome)
	}
}
