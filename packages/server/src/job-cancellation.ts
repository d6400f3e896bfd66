/** Cancels jobs on users' requests. */
import { cancelJob, toTerminalJob } from '@heathroad/cluster'
import { terminalPageLimits } from '@heathroad/config'
import { KEY_PREFIX, type TransactionContent, WritePriority, type WriteResult } from '@heathroad/store'
import type { HttpReply } from '@heathroad/wire'
import { Effect } from 'effect'
import type { ControllerContext } from './controller-context.js'
import { retryLater } from './http-replies.js'
import type { JobStatusReader } from './job-status.js'

/** Maximum number of writes of one cancellation; a write that conflicts with other changes of the job is retried. */
const MAX_CANCEL_ATTEMPTS = 3
/** A cancellation that is not durable within this time is given up; users wait 5 s for a response (protocol). */
const CANCEL_TIMEOUT_MS = 3000

/** Makes cancellations durable and responds with the job's status. */
export class JobCanceller {
	constructor(
		private readonly context: ControllerContext,
		private readonly statusReader: JobStatusReader,
	) {}

	/** Cancels a job unless it is terminal; responds with its status, or 503 if the outcome is unknown. */
	cancel(uid: string, attemptsLeft = MAX_CANCEL_ATTEMPTS): Effect.Effect<HttpReply> {
		return this.statusReader.read(uid).pipe(
			Effect.flatMap((status) => {
				const record = this.statusReader.record(uid)
				if (status.status !== 200 || record === null || record.finalState !== undefined)
					return Effect.succeed(status)
				return this.write(uid).pipe(Effect.flatMap((result) => this.replyTo(uid, result, attemptsLeft)))
			}),
		)
	}

	private replyTo(uid: string, result: WriteResult, attemptsLeft: number): Effect.Effect<HttpReply> {
		const record = this.statusReader.record(uid)
		if (record?.finalState !== undefined) return Effect.succeed(this.statusReader.statusOf(uid, record))
		if (result.kind === 'conflict' && attemptsLeft > 1) return this.cancel(uid, attemptsLeft - 1)
		return Effect.succeed(retryLater())
	}

	private write(uid: string): Effect.Effect<WriteResult> {
		return Effect.callback<WriteResult>((resume) => {
			let written: TransactionContent | null = null
			this.context.writeQueue.enqueue({
				priority: WritePriority.user,
				build: () => {
					written = this.buildCancellation(uid)
					return written
				},
				deadline: this.context.now() + CANCEL_TIMEOUT_MS,
				onResult: (result) => {
					if (result.kind === 'ok') this.applyToCache(written, result.revision)
					resume(Effect.succeed(result))
				},
			})
		})
	}

	private applyToCache(written: TransactionContent | null, revision: number): void {
		for (const mutation of written?.mutations ?? [])
			if ('set' in mutation)
				this.context.cache.applyOwnWrite(mutation.set.slice(KEY_PREFIX.length), mutation.data, revision)
	}

	/**
	 * Builds the write of a cancellation when its turn comes; null: the job is terminal. The shard and the mod revision come
	 * from one read of the job's record, since the job may have moved since the write was queued.
	 */
	private buildCancellation(uid: string): TransactionContent | null {
		const { cache, config, jobs } = this.context
		const known = jobs.get(uid)
		if (known === undefined || known.record.finalState !== undefined) return null
		const doneCount = this.statusReader.recordedDoneCount(uid, known.record)
		const job = toTerminalJob(uid, 'aborted', known.record.spec, doneCount)
		return cancelJob(cache, { job, known }, terminalPageLimits(config))
	}
}
