/** Writes the progress of jobs, and the terminal states of completed ones in the first record format. */
import { type JobRecord, progressChunkKey, putJobRecord, TASKS_PER_CHUNK } from '@heathroad/cluster'
import type { RangeSet } from '@heathroad/policy'
import { KEY_PREFIX, type TransactionContent, WritePriority } from '@heathroad/store'
import type { Mutation } from '@heathroad/wire'
import type { JobRun } from './model.js'
import type { ShardState } from './state.js'
import { TerminalStateWriter } from './terminal-state-writer.js'

/** Share of this controller's write rate available for progress; the rest is for outcomes and rentals. */
const PROGRESS_WRITE_SHARE = 0.4

/** The transaction sent to the state service, and the done tasks that are durable once it is applied. */
interface SentWrite {
	durableTasks: RangeSet
	content: TransactionContent
}

/** New content of a job's record and its progress chunks. */
interface NewRecord {
	record: JobRecord
	chunkMutations: Mutation[]
	durableTasks: RangeSet
}

/** Makes done tasks durable: the first chunk of tasks in the job's record, further chunks in keys of their own. */
export class ProgressWriter {
	private readonly terminalStates: TerminalStateWriter

	constructor(private readonly state: ShardState) {
		this.terminalStates = new TerminalStateWriter(state)
	}

	private isComplete(job: JobRun): boolean {
		return job.spec.kind !== 'daemon' && job.doneTasks.size >= job.spec.tasks
	}

	/** Builds the transaction that updates the job's record; null if this writer has nothing to write for it. */
	private buildWrite(job: JobRun): SentWrite | null {
		const { uid } = job.spec
		const current = this.state.dependencies.job(uid)
		if (job.isTerminal || this.state.stopped || current === undefined) return null
		if (current.record.finalState !== undefined) return null
		const isComplete = this.isComplete(job)
		if (isComplete && this.state.usesTerminalPages) return null
		const { record, chunkMutations, durableTasks } = isComplete
			? this.terminalRecord(job)
			: this.progressRecord(job, current.record)
		const { conditions, mutations } = putJobRecord(
			this.state.records,
			uid,
			current.modRevision,
			record,
			chunkMutations,
		)
		return {
			durableTasks,
			content: { conditions: [this.state.ownershipCondition(), ...conditions], mutations },
		}
	}

	private terminalRecord(job: JobRun): NewRecord {
		const { team, cpus, gpus, ramGb, tasks } = job.spec
		const record: JobRecord = {
			shardId: this.state.shardId,
			finalState: 'done',
			taskCount: tasks,
			resources: { team, cpus, gpus, ramGb },
		}
		return { record, chunkMutations: [], durableTasks: job.doneTasks.copy() }
	}

	private progressRecord(job: JobRun, current: JobRecord): NewRecord {
		const durableTasks = job.doneTasks.copy()
		const record = { ...current, doneRanges: durableTasks.slice(0, TASKS_PER_CHUNK) }
		const chunkMutations: Mutation[] = []
		const maxMutations = this.state.config.settings.deployment.state.txn_ops
		for (let chunk = 1; chunk * TASKS_PER_CHUNK < job.spec.tasks; chunk++) {
			const from = chunk * TASKS_PER_CHUNK
			const to = Math.min(job.spec.tasks, from + TASKS_PER_CHUNK)
			const ranges = durableTasks.slice(from, to)
			if (String(ranges) === String(job.durableDoneTasks.slice(from, to))) continue
			if (chunkMutations.length + 1 < maxMutations)
				chunkMutations.push({ set: KEY_PREFIX + progressChunkKey(job.spec.uid, chunk), data: ranges })
			else this.deferChunk(job, durableTasks, from, to)
		}
		return { record, chunkMutations, durableTasks }
	}

	/** Excludes a chunk that does not fit into this transaction from its durable tasks; the next transaction writes it. */
	private deferChunk(job: JobRun, durableTasks: RangeSet, from: number, to: number): void {
		for (let task = from; task < to; task++) if (!job.durableDoneTasks.has(task)) durableTasks.delete(task)
	}

	/**
	 * Writes a job's progress, or its terminal state once all its tasks are done; a queued write is then raised to outcome
	 * priority. Both conflict with a cancellation: see `transitionConditions`.
	 */
	write(job: JobRun): void {
		if (job.isTerminal || this.state.stopped) return
		const isComplete = this.isComplete(job)
		if (isComplete && this.state.usesTerminalPages) {
			// A queued progress write becomes obsolete when its turn comes, and the terminal state waits for it.
			if (job.pendingWrite !== null)
				this.state.dependencies.raisePriority(job.pendingWrite, WritePriority.outcome)
			this.terminalStates.add(job)
			return
		}
		const priority = isComplete ? WritePriority.outcome : WritePriority.progress
		if (job.pendingWrite !== null) {
			this.state.dependencies.raisePriority(job.pendingWrite, priority)
			return
		}
		let sent: SentWrite | null = null
		job.pendingWrite = this.state.dependencies.enqueueWrite({
			priority,
			build: () => {
				sent = this.buildWrite(job)
				job.isRecordWriteInFlight = sent !== null
				return sent === null ? null : sent.content
			},
			onResult: (result) => {
				job.pendingWrite = null
				job.isRecordWriteInFlight = false
				if (this.state.stopped) return
				job.lastWrittenAt = this.state.dependencies.now()
				if (result.kind === 'ok' && sent !== null) {
					job.durableDoneTasks.addAll(sent.durableTasks)
					this.state.applyOwnMutations(sent.content.mutations, result.revision)
					this.writeIfCompleted(job)
				} else if (result.kind === 'refused') {
					// In the first format the next tick writes the terminal state; here it may have waited for this write.
					if (this.state.usesTerminalPages) this.writeIfCompleted(job)
				} else this.state.dependencies.refreshCache(() => this.writeIfCompleted(job))
			},
		})
	}

	/** Writes the terminal state if the job completed while an earlier write was in flight. */
	private writeIfCompleted(job: JobRun): void {
		if (job.pendingWrite === null && this.isComplete(job)) this.write(job)
	}

	/**
	 * Writes whatever is due: terminal states at once, progress as often as its share of the write rate permits for every
	 * open job in turn, and sooner for `urgentJobs`, whose outcomes block the release of an empty machine.
	 */
	tick(now: number, urgentJobs: ReadonlySet<JobRun | null>): void {
		const { limits, tuning } = this.state.config
		const jobsToWrite: JobRun[] = []
		for (const job of this.state.jobs.values())
			if (!job.isTerminal && job.doneTasks.size > job.durableDoneTasks.size) jobsToWrite.push(job)
		/** time needed to write each of these jobs once */
		const roundMs = (jobsToWrite.length / (limits.writesPerS * PROGRESS_WRITE_SHARE)) * 1000
		const intervalMs = Math.max(limits.heartbeatMs * tuning.progressHeartbeats, roundMs)
		for (const job of jobsToWrite) {
			const isDue = now - job.lastWrittenAt > (urgentJobs.has(job) ? roundMs : intervalMs)
			if (this.isComplete(job) || isDue) this.write(job)
		}
	}
}
