import { Metadata, type ServerWritableStream, status } from '@grpc/grpc-js'
import type { StreamEndReason, JobEvent, SendScheduler, Sender, Subscription } from '@heathroad/events'
import type { EventMessage, WatchMessage } from '@heathroad/proto'
import { type Failure, failure } from './status.js'

export type WatchCall = ServerWritableStream<WatchMessage, Partial<EventMessage>>

const ENDS: Readonly<Record<StreamEndReason, () => Failure>> = {
	// At once, but not all of them at the same moment: the client's own jitter spreads them further.
	'not serving': () => failure(status.UNAVAILABLE, 'this controller cannot tell any more', 100),
	'too slow': () => failure(status.RESOURCE_EXHAUSTED, 'the reader takes less than comes', 1000),
	'too far behind': () => failure(status.OUT_OF_RANGE, 'what comes next is not kept any more'),
}

/** One reader's call: sends what its subscription has, for as long as the reader takes it. */
export class Stream implements Sender {
	private subscription: Subscription | null = null
	private over = false
	/** nothing of the call is left, its status has reached the reader or its connection is closed */
	gone = false
	/** since when the reader takes nothing; null: it takes what comes */
	private blockedAt: number | null = null

	constructor(
		private readonly call: WatchCall,
		private readonly pump: SendScheduler,
		private readonly now: () => number,
		private readonly message: (e: JobEvent) => Partial<EventMessage>,
		private readonly closed: () => void,
	) {
		const gone = () => {
			this.gone = true
			this.close()
		}
		call.once('cancelled', gone)
		call.once('close', gone)
		call.once('finish', gone)
	}

	get peer(): string {
		return this.call.getPeer()
	}

	begin(subscription: Subscription): void {
		if (this.over) return subscription.end(null)
		this.subscription = subscription
		// Headers first: nothing may come for long, and a stream that dies before its first event must go on from where
		// it began, or what ended meanwhile would never be told.
		const began = new Metadata()
		began.set('cursor', subscription.cursor())
		this.call.sendMetadata(began)
		this.wake()
	}

	wake(): void {
		if (!this.over && this.blockedAt === null) this.pump.enqueue(this)
	}

	send(): boolean {
		const s = this.subscription
		if (this.over || s === null || this.blockedAt !== null) return false
		const event = s.next()
		if (event === null) {
			if (s.isComplete && !this.over) this.finish()
			return false
		}
		if (this.call.write(this.message(event))) return true
		this.blockedAt = this.now()
		this.call.once('drain', () => {
			this.blockedAt = null
			this.wake()
		})
		return false
	}

	/** Every job that it names has ended and was told. */
	private finish(): void {
		this.close()
		this.call.end()
	}

	/** True: its reader has taken nothing for too long, or is further behind than is borne. */
	stalled(stallMs: number, most: number): boolean {
		if (this.over || this.blockedAt === null) return false
		return this.now() - this.blockedAt > stallMs || (this.subscription?.backlog() ?? 0) > most
	}

	ended(why: StreamEndReason): void {
		if (this.over) return
		const cursor = this.subscription?.cursor() ?? ''
		const f = ENDS[why]()
		const metadata = f.metadata ?? new Metadata()
		if (cursor !== '') metadata.set('cursor', cursor)
		this.fail({ ...f, metadata })
	}

	/** Lets the reader go; it may come back with its cursor. */
	letGo(why: StreamEndReason): void {
		this.subscription?.end(why)
	}

	fail(f: Failure): void {
		if (this.over) return
		this.close()
		this.call.emit('error', f)
	}

	private close(): void {
		if (this.over) return
		this.over = true
		this.pump.remove(this)
		this.subscription?.end(null)
		this.closed()
	}
}
