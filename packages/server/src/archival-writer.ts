/** What archival and the migration of the first format share: paced writes, and who may make them. */
import type { JobRecord } from '@heathroad/cluster'
import type { LogEvent } from '@heathroad/logging'
import { type TransactionContent, WritePriority, type WriteResult } from '@heathroad/store'
import { Cause, Effect } from 'effect'
import type { ControllerContext } from './controller-context.js'

/** What archival needs of the controller that it belongs to. */
export interface ArchivalPorts {
	/** Returns the shards that the controller owns. */
	ownedShards(): Iterable<number>
	/** Returns the jobs of which attempts may be on machines of a shard; null: not known. */
	jobsOnMachines(shardId: number): Set<string> | null
	/** A full read leaves a terminal state out of memory; `revision`: of the change that made it durable. */
	onTerminalStateOmitted(uid: string, record: JobRecord, revision: number): void
	/** The records have a format that this program does not know. */
	onUnsupportedFormat(format: number): void
}

/** After this many controller leases a queued write of archival is given up; a later tick begins anew. */
const WRITE_DEADLINE_LEASES = 2

/** Writes for archival within its share of the change rate. */
export class ArchivalWriter {
	/** true once the controller ends: nothing new is begun */
	stopped = false

	constructor(
		private readonly context: ControllerContext,
		private readonly ports: ArchivalPorts,
		/** share of this controller's change rate that archival may use, 0 to 1 */
		private readonly rateShare: number,
	) {}

	/** Changes per second that archival may make. */
	get writesPerS(): number {
		return this.context.config.limits.writesPerS * this.rateShare
	}

	/** Queues a write; `build` makes it when its turn comes, null: it is needless by then. */
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

	/** Waits until this many more changes are within archival's share of the rate. */
	pace(changes: number): Effect.Effect<void> {
		return Effect.sleep((changes / this.writesPerS) * 1000)
	}

	/** Tells whether this controller owns the shard. */
	owns(shardId: number): boolean {
		return [...this.ports.ownedShards()].includes(shardId)
	}

	/** Returns the shard that looks after another one's pages: itself, unless there are fewer shards than there were. */
	responsibleShard(shardId: number): number {
		return shardId % this.context.config.limits.controllerNames.length
	}

	/** Runs a task in the background; `done` is called at its end, also after failures. */
	run(task: Effect.Effect<unknown, unknown>, done: () => void): void {
		const guarded = task.pipe(
			// No answer, or an outage: the next tick begins anew.
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
