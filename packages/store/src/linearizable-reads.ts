/** Batches linearizable reads, so that concurrent callers share requests to the state service. */
import { Effect } from 'effect'
import { isRateLimited, type RevisionCompacted, type StoreClient, type StoreFailure } from './client.js'
import type { RequestPacer } from './request-pacer.js'

type ReadOutcome = 'succeeded' | 'failed' | 'retry'
type PendingRead = (succeeded: boolean) => void

/**
 * Callers that arrive while a read is in flight share the next one, so there is at most one read per interval, regardless of
 * the rate of user requests.
 */
export class LinearizableReads {
	private pending: PendingRead[] = []
	private inFlight = false

	/** @param readLatest brings the watch cache up to date */
	constructor(
		private readonly pacer: RequestPacer,
		private readonly readLatest: (
			client: StoreClient,
		) => Effect.Effect<void, StoreFailure | RevisionCompacted>,
	) {}

	/** Succeeds with true once a read that began after this call has been applied, or with false if that read failed. */
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

	/** Performs one read for all callers that are currently waiting. */
	private readForPending(client: StoreClient): Effect.Effect<void> {
		const callers = this.pending
		this.pending = []
		return this.readLatest(client).pipe(
			Effect.match({
				// A rate limit is not an outage: the callers share the next read instead.
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
