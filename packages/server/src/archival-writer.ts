/** Writes of archival and of the migration of the first record format: pacing and ownership checks. */
import type { JobRecord } from '@heathroad/cluster'
import type { LogEvent } from '@heathroad/logging'
import { type TransactionContent, WritePriority, type WriteResult } from '@heathroad/store'
import { Cause, Effect } from 'effect'
import type { ControllerContext } from './controller-context.js'

/** Functions that archival calls on its controller. */
export interface ArchivalDependencies {
	/** Returns the shards that the controller owns. */
	ownedShards(): Iterable<number>
	/** Returns the jobs that may have attempts on machines of a shard; null: not known. */
	jobsOnMachines(shardId: number): Set<string> | null
	/** A full read left a terminal state out of memory; `revision`: of the change that made it durable. */
	onTerminalStateOmitted(uid: string, record: JobRecord, revision: number): void
	/** The records have a format that this version does not support. */
	onUnsupportedFormat(format: number): void
}

/** A queued archival write expires after this many controller leases; a later tick retries it. */
const WRITE_DEADLINE_LEASES = 2

/** Performs archival's writes within its share of the write rate. */
export class ArchivalWriter {
	/** true once the controller stops: no new work is started */
	stopped = false

	constructor(
		private readonly context: ControllerContext,
		private readonly dependencies: ArchivalDependencies,
		/** share of this controller's write rate that archival may use, 0 to 1 */
		private readonly rateShare: number,
	) {}

	/** Writes per second that archival may make. */
	get writesPerS(): number {
		return this.context.config.limits.writesPerS * this.rateShare
	}

	/** Queues a write; `build` is called when its turn comes and returns null if it is no longer needed. */
	submit(build: () => TransactionContent | null, onResult: (result: WriteResult) => void = () => {}): void {
		const deadline = this.context.now() + this.context.config.limits.controllerLeaseMs * WRITE_DEADLINE_LEASES
		this.context.writeQueue.enqueue({ priority: WritePriority.progress, build, deadline, onResult })
	}

	/** Queues a write and waits for its result. */
	write(build: () => TransactionContent | null): Effect.Effect<WriteResult> {
		return Effect.callback<WriteResult>((resume) => {
			this.submit(build, (result) => resume(Effect.succeed(result)))
		})
	}

	/** Waits until archival's share of the rate allows this many more writes. */
	pace(changes: number): Effect.Effect<void> {
		return Effect.sleep((changes / this.writesPerS) * 1000)
	}

	/** Returns whether this controller owns the shard. */
	owns(shardId: number): boolean {
		return [...this.dependencies.ownedShards()].includes(shardId)
	}

	/** Returns the shard responsible for a shard's pages: itself, unless the number of shards has decreased. */
	responsibleShard(shardId: number): number {
		return shardId % this.context.config.limits.controllerNames.length
	}

	/** Runs a task in the background; calls `done` when it finishes, also after a failure. */
	run(task: Effect.Effect<unknown, unknown>, done: () => void): void {
		const guarded = task.pipe(
			// No response or an outage: the next tick retries.
			Effect.catch(() => Effect.void),
			Effect.catchCause((cause) => Effect.sync(() => this.logError('archival failed', cause))),
			Effect.map(done),
		)
		Effect.runFork(guarded)
	}

	/** Logs a failure or its cause. */
	logError(event: LogEvent, error: unknown): void {
		this.context.log('error', event, {
			error: Cause.isCause(error) ? Cause.pretty(error) : String(error),
		})
	}
}
