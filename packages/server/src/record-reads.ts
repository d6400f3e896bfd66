/** Waits for the watch cache to reach a revision or the current state of the state service. */
import type { StoreClient, WatchCache } from '@heathroad/store'
import { Effect } from 'effect'
import { USER_REQUEST_TIMEOUT_MS } from './controller-context.js'

/** Delay in controller leases after which `refreshCache` calls back when the read has failed. */
const REFRESH_RETRY_LEASES = 0.1

interface RevisionWaiter {
	revision: number
	timer: ReturnType<typeof setTimeout>
	done: (ok: boolean) => void
}

/** Linearizable reads and revision waits on one watch cache. */
export class RecordReads {
	private readonly revisionWaiters = new Set<RevisionWaiter>()
	private readonly retryTimers = new Set<ReturnType<typeof setTimeout>>()
	private isStopped = false

	constructor(
		private readonly cache: WatchCache,
		private readonly storeClient: StoreClient,
		private readonly controllerLeaseMs: number,
	) {}

	/** Succeeds with true once everything durable before the call is in the cache; false after a timeout. */
	linearizableRead(): Effect.Effect<boolean> {
		return this.cache.linearizableRead(this.storeClient).pipe(
			Effect.timeoutOption(USER_REQUEST_TIMEOUT_MS),
			Effect.map((isCurrent) => isCurrent._tag === 'Some' && isCurrent.value),
		)
	}

	/** Calls back once everything durable before the call is in the cache, or with false. */
	afterLinearizableRead(done: (ok: boolean) => void): void {
		Effect.runFork(this.linearizableRead().pipe(Effect.map(done)))
	}

	/** Brings the cache up to date, then calls back; if the read fails, calls back after a delay. */
	refreshCache(done: () => void): void {
		const onRead = (ok: boolean) => {
			if (ok) done()
			else this.retryLater(done)
		}
		Effect.runFork(this.cache.linearizableRead(this.storeClient).pipe(Effect.map(onRead)))
	}

	private retryLater(done: () => void): void {
		if (this.isStopped) return
		const timer = setTimeout(() => {
			this.retryTimers.delete(timer)
			done()
		}, this.controllerLeaseMs * REFRESH_RETRY_LEASES)
		this.retryTimers.add(timer)
	}

	/** Calls back with true once the cache has reached the revision, or with false after `USER_REQUEST_TIMEOUT_MS`. */
	waitForRevision(revision: number, done: (ok: boolean) => void): void {
		if (this.cache.revision >= revision) {
			done(true)
			return
		}
		if (this.isStopped) {
			done(false)
			return
		}
		const timer = setTimeout(() => this.settle(waiter, false), USER_REQUEST_TIMEOUT_MS)
		const waiter = { revision, done, timer }
		this.revisionWaiters.add(waiter)
	}

	private settle(waiter: RevisionWaiter, ok: boolean): void {
		if (!this.revisionWaiters.delete(waiter)) return
		clearTimeout(waiter.timer)
		waiter.done(ok)
	}

	/** Calls back all waiters with false, cancels retries and clears all timers. */
	stop(): void {
		this.isStopped = true
		for (const timer of this.retryTimers) clearTimeout(timer)
		this.retryTimers.clear()
		for (const waiter of [...this.revisionWaiters]) this.settle(waiter, false)
	}

	/** Called when the cache's revision has advanced: calls back the waiters that it satisfies. */
	onRevisionAdvanced(): void {
		for (const waiter of this.revisionWaiters)
			if (waiter.revision <= this.cache.revision) this.settle(waiter, true)
	}
}
