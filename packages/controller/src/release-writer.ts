/** Release writing: makes it durable that jobs have passed their admission checks. */
import { markReleased } from '@heathroad/cluster'
import { maxValueChars } from '@heathroad/config'
import { type TransactionContent, WritePriority, type WriteResult } from '@heathroad/store'
import type { PendingJob } from './check-questions.js'
import type { ShardState } from './state.js'

/** Release pages that one write may touch: keeps it small beside the other writes of a transaction. */
const MAX_PAGES_PER_WRITE = 4

/** Writes the marks of released jobs, one write at a time, each with all jobs that were released meanwhile. */
export class ReleaseWriter {
	private readonly releasedJobs = new Set<PendingJob>()
	private isWriting = false

	constructor(private readonly state: ShardState) {}

	/** The job has passed all its checks; `flush` writes that. */
	add(job: PendingJob): void {
		this.releasedJobs.add(job)
	}

	/** The job's mark is durable or not needed any more. */
	remove(job: PendingJob): void {
		this.releasedJobs.delete(job)
	}

	/** Starts a write of what is not durable yet, unless one is under way. Needs the controller's lease. */
	flush(): void {
		if (this.isWriting || this.releasedJobs.size === 0 || this.state.stopped) return
		if (this.state.ports.leadership() !== 'lease') return
		this.isWriting = true
		let content: TransactionContent | null = null
		this.state.ports.enqueueWrite({
			// A user waits for the start, as others do for their outcomes.
			priority: WritePriority.outcome,
			build: () => {
				content = this.buildContent()
				if (content === null) return null
				const conditions = [this.state.ownershipCondition(), ...content.conditions]
				return { conditions, mutations: content.mutations }
			},
			onResult: (result) => {
				this.isWriting = false
				if (this.state.stopped || content === null) return
				this.onWritten(content, result)
			},
		})
	}

	private buildContent(): TransactionContent | null {
		if (this.state.stopped || this.releasedJobs.size === 0) return null
		const { config, ports, records, shardId } = this.state
		const uids = [...this.releasedJobs].map((job) => job.uid)
		const { txn_ops } = config.settings.deployment.state
		const limits = {
			maxPageChars: maxValueChars(config.settings),
			maxPages: Math.min(MAX_PAGES_PER_WRITE, txn_ops),
		}
		return markReleased(records, shardId, uids, (uid) => ports.keepsReleaseMark(uid), limits).content
	}

	private onWritten({ mutations }: TransactionContent, result: WriteResult): void {
		if (result.kind === 'ok') {
			// The pages decide which jobs may start; a job that found no room on them is part of the next write.
			this.state.applyOwnMutations(mutations, result.revision)
			this.flush()
		} else if (result.kind !== 'refused') this.state.ports.refreshCache(() => this.flush())
	}
}
