/** Writes the terminal states of completed jobs to shared pages. */
import { recordTerminalJobs, toTerminalJob } from '@heathroad/cluster'
import { type QueuedWrite, type TransactionContent, WritePriority } from '@heathroad/store'
import type { JobRun } from './model.js'
import type { ShardState } from './state.js'

/** The transaction sent to the state service, and the jobs whose terminal states it contains. */
interface SentWrite {
	jobs: readonly JobRun[]
	content: TransactionContent
}

/**
 * Makes terminal states durable. Jobs that complete during one write are batched into the next; there is one write at a
 * time, as each is based on the page that the previous one wrote.
 */
export class TerminalStateWriter {
	private readonly pendingJobs = new Set<JobRun>()
	private write: QueuedWrite | null = null

	constructor(private readonly state: ShardState) {}

	/** Adds a job whose tasks are all done. May be called repeatedly until its terminal state is durable. */
	add(job: JobRun): void {
		this.pendingJobs.add(job)
		this.flush()
	}

	/** Returns the pending jobs without a recorded terminal state, and removes the others from the set. */
	private openJobs(): JobRun[] {
		for (const job of this.pendingJobs)
			if (job.isTerminal || this.state.dependencies.job(job.spec.uid)?.record.finalState !== undefined)
				this.pendingJobs.delete(job)
		return [...this.pendingJobs]
	}

	private buildWrite(): SentWrite | null {
		if (this.state.stopped) return null
		const openJobs = this.openJobs()
		if (openJobs.length === 0) return null
		const { records, shardId, pageLimits } = this.state
		const terminalJobs = openJobs.map(({ spec }) => toTerminalJob(spec.uid, 'done', spec, spec.tasks))
		const { content, taken } = recordTerminalJobs(records, shardId, terminalJobs, pageLimits)
		return {
			jobs: openJobs.slice(0, taken),
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
