import { recordTerminalJobs, toTerminalJob } from '@heathroad/cluster'
import { KEY_PREFIX, type QueuedWrite, type TransactionContent, WritePriority } from '@heathroad/store'
import type { JobRun } from './model.js'
import type { ShardState } from './state.js'

/**
 * Makes outcomes durable, as many in one change as end while an earlier one is under way. One write at a time: each
 * is made from the page that the one before it left.
 */
export class TerminalStateWriter {
	private readonly waiting = new Set<JobRun>()
	private write: QueuedWrite | null = null

	constructor(private readonly state: ShardState) {}

	/** All of the job's tasks are done; asked for again and again until that is durable. */
	add(job: JobRun): void {
		this.waiting.add(job)
		this.flush()
	}

	/** Those that are not over yet, as far as is known. */
	private open(): JobRun[] {
		for (const job of this.waiting)
			if (job.isTerminal || this.state.ports.job(job.spec.uid)?.record.finalState !== undefined)
				this.waiting.delete(job)
		return [...this.waiting]
	}

	private flush(): void {
		if (this.write !== null || this.waiting.size === 0 || this.state.stopped) return
		let sent: { jobs: JobRun[]; content: TransactionContent } | null = null
		this.write = this.state.ports.enqueueWrite({
			priority: WritePriority.outcome,
			build: () => {
				sent = null
				if (this.state.stopped) return null
				const open = this.open()
				if (open.length === 0) return null
				const jobs = open.map((j) => toTerminalJob(j.spec.uid, 'done', j.spec, j.spec.tasks))
				const { content, taken } = recordTerminalJobs(
					this.state.records,
					this.state.shardId,
					jobs,
					this.state.pageLimits,
				)
				sent = {
					jobs: open.slice(0, taken),
					content: {
						conditions: [this.state.ownershipCondition(), ...content.conditions],
						mutations: content.mutations,
					},
				}
				return sent.content
			},
			onResult: (result) => {
				this.write = null
				if (this.state.stopped || sent === null) return
				if (result.kind === 'ok') {
					for (const job of sent.jobs) this.waiting.delete(job)
					for (const c of sent.content.mutations)
						if ('set' in c)
							this.state.ports.applyOwnWrite(c.set.slice(KEY_PREFIX.length), c.data, result.revision)
					this.flush()
				} else if (result.kind !== 'refused') this.state.ports.refreshCache(() => this.flush())
			},
		})
	}
}
