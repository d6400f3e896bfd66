/** Writes durable release marks for jobs that have passed their admission checks. */
import { markReleased } from '@heathroad/cluster'
import { maxValueChars } from '@heathroad/config'
import { type TransactionContent, WritePriority, type WriteResult } from '@heathroad/store'
import type { PendingJob } from './check-queries.js'
import type { ShardState } from './state.js'

/** Maximum number of release pages in one write: keeps it small next to the other writes of a transaction. */
const MAX_PAGES_PER_WRITE = 4

/** Writes release marks, one write at a time; each includes all jobs released since the previous one was built. */
export class ReleaseWriter {
	private readonly releasedJobs = new Set<PendingJob>()
	private isWriting = false

	constructor(private readonly state: ShardState) {}

	/** Adds a job that has passed all its checks; `flush` writes its mark. */
	add(job: PendingJob): void {
		this.releasedJobs.add(job)
	}

	/** Removes a job whose mark is durable or no longer needed. */
	remove(job: PendingJob): void {
		this.releasedJobs.delete(job)
	}

	/** Starts a write of the marks that are not durable yet, unless one is in flight. Requires the controller lease. */
	flush(): void {
		if (this.isWriting || this.releasedJobs.size === 0 || this.state.stopped) return
		if (this.state.dependencies.leadership() !== 'lease') return
		this.isWriting = true
		let content: TransactionContent | null = null
		this.state.dependencies.enqueueWrite({
			// Users wait for the start of a released job as they do for outcomes.
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
		const { config, dependencies, records, shardId } = this.state
		const uids = [...this.releasedJobs].map((job) => job.uid)
		const { txn_ops } = config.settings.deployment.state
		const limits = {
			maxPageChars: maxValueChars(config.settings),
			maxPages: Math.min(MAX_PAGES_PER_WRITE, txn_ops),
		}
		return markReleased(records, shardId, uids, (uid) => dependencies.keepsReleaseMark(uid), limits).content
	}

	private onWritten({ mutations }: TransactionContent, result: WriteResult): void {
		if (result.kind === 'ok') {
			// The pages determine which jobs may start; a job that did not fit on them is part of the next write.
			this.state.applyOwnMutations(mutations, result.revision)
			this.flush()
		} else if (result.kind !== 'refused') this.state.dependencies.refreshCache(() => this.flush())
	}
}
