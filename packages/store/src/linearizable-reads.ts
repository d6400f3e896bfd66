/** Linearizable reads that share requests to the state service. */
import { Effect } from 'effect'
import { isRateLimited, type RevisionCompacted, type StoreClient, type StoreFailure } from './client.js'
import type { RequestPacer } from './request-pacer.js'

type ReadOutcome = 'succeeded' | 'failed' | 'retry'
type PendingRead = (succeeded: boolean) => void

/**
 * Callers that arrive while a read is in flight share the next one: however often users ask, there is one read an interval
 * at most.
 */
export class LinearizableReads {
	private pending: PendingRead[] = []
	private inFlight = false

	/** `readLatest`: brings the local copy up to date. */
	constructor(
		private readonly pacer: RequestPacer,
		private readonly readLatest: (
			client: StoreClient,
		) => Effect.Effect<void, StoreFailure | RevisionCompacted>,
	) {}

	/** Succeeds with true once a read that began after this call has been applied, and with false if it failed. */
	request(client: StoreClient): Effect.Effect<boolean> {
		return Effect.callback<boolean>((resume) => {
			this.pending.push((succeeded) => resume(Effect.succeed(succeeded)))
			this.startNext(client)
		})
	}

	private startNext(client: StoreClient): void {
		if (this.inFlight || this.pending.length === 0) return
		this.inFlight = true
		Effect.runFork(
			Effect.sleep(this.pacer.reserveDelayMs()).pipe(
				Effect.andThen(Effect.suspend(() => this.readForPending(client))),
			),
		)
	}

	/** One read for all callers that wait by now. */
	private readForPending(client: StoreClient): Effect.Effect<void> {
		const callers = this.pending
		this.pending = []
		return this.readLatest(client).pipe(
			Effect.match({
				// Too many requests are no outage: the callers share the next read.
				onFailure: (error): ReadOutcome => (isRateLimited(error) ? 'retry' : 'failed'),
				onSuccess: (): ReadOutcome => 'succeeded',
			}),
			Effect.map((outcome) => {
				this.inFlight = false
				if (outcome === 'retry') this.pending.unshift(...callers)
				else for (const resume of callers) resume(outcome === 'succeeded')
				this.startNext(client)
			}),
		)
	}
}
