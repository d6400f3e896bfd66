/** Writes the terminal states of completed jobs to shared pages. */
import {
	recordTerminalJobs,
	SHARED_OUTCOME_CONDITIONS,
	type TerminalWrite,
	toTerminalJob,
} from '@heathroad/cluster'
import {
	CONDITIONS_PER_OPERATION,
	type QueuedWrite,
	type TransactionContent,
	WritePriority,
} from '@heathroad/store'
import type { JobRun } from './model.js'
import type { ShardState } from './state.js'

/** The transaction sent to the state service, and the jobs whose terminal states it contains. */
interface SentWrite {
	jobs: readonly JobRun[]
	content: TransactionContent
}

/** A completed job, and the write of its terminal state. */
interface PendingOutcome {
	job: JobRun
	write: TerminalWrite
}

/**
 * Makes terminal states durable. Jobs that complete during one write are batched into the next; there is one write at a
 * time, as each is based on the page that the previous one wrote.
 */
export class TerminalStateWriter {
	private readonly pendingJobs = new Set<JobRun>()
	private write: QueuedWrite | null = null
	/** Each terminal state needs a condition on its job's own key. */
	private readonly maxStatesPerWrite: number

	constructor(private readonly state: ShardState) {
		const { txn_ops } = state.config.settings.deployment.state
		this.maxStatesPerWrite = Math.max(1, txn_ops * CONDITIONS_PER_OPERATION - SHARED_OUTCOME_CONDITIONS)
	}

	/** Adds a job whose tasks are all done. May be called repeatedly until its terminal state is durable. */
	add(job: JobRun): void {
		this.pendingJobs.add(job)
		this.flush()
	}

	/**
	 * Returns the writes of pending jobs that can be sent now, and removes jobs from the set that are terminal or have left
	 * this shard. While another write of a job's own key is in flight, the job waits: its terminal state would conflict.
	 */
	private writableOutcomes(): PendingOutcome[] {
		const writable: PendingOutcome[] = []
		for (const job of this.pendingJobs) {
			const { spec } = job
			const known = this.state.dependencies.job(spec.uid)
			const isOpenHere =
				!job.isTerminal &&
				known?.record.finalState === undefined &&
				known?.record.shardId === this.state.shardId
			if (!isOpenHere) this.pendingJobs.delete(job)
			else if (!job.migrating && !job.isRecordWriteInFlight)
				writable.push({ job, write: { job: toTerminalJob(spec.uid, 'done', spec, spec.tasks), known } })
		}
		return writable.slice(0, this.maxStatesPerWrite)
	}

	private buildWrite(): SentWrite | null {
		if (this.state.stopped) return null
		const outcomes = this.writableOutcomes()
		if (outcomes.length === 0) return null
		const { records, pageLimits } = this.state
		const writes = outcomes.map(({ write }) => write)
		const { content, taken } = recordTerminalJobs(records, writes, pageLimits)
		return {
			jobs: outcomes.slice(0, taken).map(({ job }) => job),
			content: {
				conditions: [this.state.ownershipCondition(), ...content.conditions],
				mutations: content.mutations,
			},
		}
	}

	private flush(): void {
		if (this.write !== null || this.pendingJobs.size === 0 || this.state.stopped) return
		let sent: SentWrite | null = null
		this.write = this.state.dependencies.enqueueWrite({
			priority: WritePriority.outcome,
			build: () => {
				sent = this.buildWrite()
				return sent === null ? null : sent.content
			},
			onResult: (result) => {
				this.write = null
				if (this.state.stopped || sent === null) return
				if (result.kind === 'ok') {
					for (const job of sent.jobs) this.pendingJobs.delete(job)
					this.state.applyOwnMutations(sent.content.mutations, result.revision)
					this.flush()
				} else if (result.kind !== 'refused') this.state.dependencies.refreshCache(() => this.flush())
			},
		})
	}
}
