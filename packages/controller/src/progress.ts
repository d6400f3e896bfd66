import { type JobRecord, progressChunkKey, putJobRecord, TASKS_PER_CHUNK } from '@heathroad/cluster'
import type { RangeSet } from '@heathroad/policy'
import { KEY_PREFIX, type TransactionContent, WritePriority } from '@heathroad/store'
import type { Mutation } from '@heathroad/wire'
import type { JobRun } from './model.js'
import { TerminalStateWriter } from './outcomes.js'
import type { ShardState } from './state.js'

/** Makes the jobs' progress and outcomes durable. */
export class ProgressWriter {
	private readonly outcomes: TerminalStateWriter

	constructor(private readonly state: ShardState) {
		this.outcomes = new TerminalStateWriter(state)
	}

	private complete(job: JobRun): boolean {
		return job.spec.kind !== 'daemon' && job.doneTasks.size >= job.spec.tasks
	}

	/** What the job's record should say now; null: nothing is to be written here any more. */
	private content(job: JobRun): { snapshot: RangeSet; content: TransactionContent } | null {
		const uid = job.spec.uid
		const known = this.state.ports.job(uid)
		if (job.isTerminal || this.state.stopped || known === undefined || known.record.finalState !== undefined)
			return null
		const complete = this.complete(job)
		if (complete && this.state.usesTerminalPages) return null
		const snapshot = job.doneTasks.copy()
		const more: Mutation[] = []
		let record: JobRecord
		if (complete) {
			const { team, cpus, gpus, ramGb } = job.spec
			record = {
				shardId: this.state.shardId,
				finalState: 'done',
				taskCount: job.spec.tasks,
				resources: { team, cpus, gpus, ramGb },
			}
		} else {
			record = { ...known.record, doneRanges: snapshot.slice(0, TASKS_PER_CHUNK) }
			const ops = this.state.config.settings.deployment.state.txn_ops
			for (let c = 1; c * TASKS_PER_CHUNK < job.spec.tasks; c++) {
				const [from, to] = [c * TASKS_PER_CHUNK, Math.min(job.spec.tasks, (c + 1) * TASKS_PER_CHUNK)]
				const now = snapshot.slice(from, to)
				if (String(now) === String(job.durableDoneTasks.slice(from, to))) continue
				// What does not fit into this transaction is not durable yet and waits for the next one.
				if (more.length + 1 < ops) more.push({ set: KEY_PREFIX + progressChunkKey(uid, c), data: now })
				else for (let n = from; n < to; n++) if (!job.durableDoneTasks.has(n)) snapshot.delete(n)
			}
		}
		const { conditions, mutations } = putJobRecord(this.state.records, uid, known.modRevision, record, more)
		return {
			snapshot,
			content: { conditions: [this.state.ownershipCondition(), ...conditions], mutations: mutations },
		}
	}

	/**
	 * Writes a job's progress, or its final state once all its tasks are done; what waits for its turn then goes
	 * ahead as an outcome. Both contend with a cancellation: on the job's modRevision in the first form of the records, in
	 * the second on that of the page where all final states of the part are.
	 */
	write(job: JobRun): void {
		if (job.isTerminal || this.state.stopped) return
		const complete = this.complete(job)
		if (complete && this.state.usesTerminalPages) return this.outcomes.add(job)
		const urgency = complete ? WritePriority.outcome : WritePriority.progress
		if (job.pendingWrite !== null) return this.state.ports.raisePriority(job.pendingWrite, urgency)
		let sent: ReturnType<ProgressWriter['content']> = null
		job.pendingWrite = this.state.ports.enqueueWrite({
			priority: urgency,
			build: (): TransactionContent | null => {
				sent = this.content(job)
				return sent?.content ?? null
			},
			onResult: (result) => {
				job.pendingWrite = null
				if (this.state.stopped) return
				job.lastWrittenAt = this.state.ports.now()
				const goOn = () => {
					if (job.pendingWrite === null && this.complete(job)) this.write(job)
				}
				if (result.kind === 'ok' && sent !== null) {
					job.durableDoneTasks.addAll(sent.snapshot)
					for (const c of sent.content.mutations)
						if ('set' in c)
							this.state.ports.applyOwnWrite(c.set.slice(KEY_PREFIX.length), c.data, result.revision)
					goOn()
				} else if (result.kind !== 'refused') this.state.ports.refreshCache(goOn)
			},
		})
	}

	/**
	 * The regular look: outcomes at once, progress as often as a share of the change rate lets every open job be
	 * written in turn, sooner where an empty machine waits for it to go back.
	 */
	tick(now: number, wanted: ReadonlySet<JobRun | null>): void {
		const limits = this.state.config.limits
		const least = limits.heartbeatMs * this.state.config.tuning.progressHeartbeats
		const behind: JobRun[] = []
		for (const job of this.state.jobs.values())
			if (!job.isTerminal && job.doneTasks.size > job.durableDoneTasks.size) behind.push(job)
		const share = (behind.length / (limits.writesPerS * 0.4)) * 1000
		for (const job of behind)
			if (this.complete(job) || now - job.lastWrittenAt > (wanted.has(job) ? share : Math.max(least, share)))
				this.write(job)
	}
}
