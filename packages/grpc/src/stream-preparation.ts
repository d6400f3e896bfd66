/** Reads terminal states that are not in memory before a stream starts. */
import type { TerminalState, TerminalStateLog } from '@heathroad/cluster'
import type { Selection } from '@heathroad/events'
import { type ArchivedJob, jobIdOf } from '@heathroad/history'
import type { Service } from '@heathroad/server'
import { Effect } from 'effect'

type StatesById = ReadonlyMap<string, TerminalState>

const NO_STATES: StatesById = new Map()

const toTerminalState = (job: ArchivedJob): TerminalState => ({
	uid: jobIdOf(job.ordinal),
	team: '',
	state: job.aborted ? 'aborted' : 'done',
	revision: job.revision,
	taskCount: job.taskCount,
	doneCount: job.doneCount,
})

/** Prepares the streams of one controller for their subscription. */
export class StreamPreparation {
	/** terminal states read for the stream that is being subscribed */
	private preparedStates = NO_STATES
	/** terminal states found outside memory, limited to the ones most recently requested by streams */
	private readonly foundStates = new Map<string, TerminalState>()
	/** whether the archive may hold states that the log lacks, because it was not checked since the latest full read */
	private mayLackArchivedStates = true
	/** archival epoch at the latest full read: states archived by then are older; null: the read is being applied */
	private epochAtFullRead: number | null = null

	/** `maxRetained`: number of states found outside memory that are kept for later streams. */
	constructor(
		private readonly service: Service,
		private readonly terminalStates: TerminalStateLog,
		private readonly maxRetained: number,
	) {}

	/** Returns a job's terminal state if it was found outside memory. */
	stateOf(uid: string): TerminalState | undefined {
		return this.preparedStates.get(uid) ?? this.foundStates.get(uid)
	}

	/** Called before a full read is applied. */
	onFullRead(): void {
		this.mayLackArchivedStates = true
		this.epochAtFullRead = null
	}

	/** Called when every change up to a later revision has been applied. */
	onRevisionAdvanced(): void {
		this.epochAtFullRead ??= this.service.archive.archivalEpoch()
	}

	/** Records that the log of terminal states is marked as incomplete for everything that the archive may hold. */
	markArchiveChecked(): void {
		this.mayLackArchivedStates = false
	}

	/**
	 * Reads what a stream needs that is not in memory: terminal states of named jobs, or whether a team's states may be
	 * archived. Must be called after a linearizable read. Calls back with false if not everything could be read. The stream
	 * must be subscribed within the callback: the states that were read are dropped when it returns.
	 */
	prepare(selection: Selection, done: (isComplete: boolean) => void): void {
		if ('team' in selection) {
			Effect.runFork(Effect.map(this.checkArchive(), done))
			return
		}
		const onFound = (states: StatesById | null) => {
			this.preparedStates = states ?? NO_STATES
			done(states !== null)
			this.preparedStates = NO_STATES
		}
		Effect.runFork(Effect.map(this.findTerminalStates(selection.uids), onFound))
	}

	/**
	 * After a full read, marks the log as incomplete up to the latest archived state: the log lacks states archived before
	 * the read, so streams cannot resume at earlier cursors.
	 */
	private checkArchive(): Effect.Effect<boolean> {
		const { archive } = this.service
		const epoch = this.epochAtFullRead
		if (!this.mayLackArchivedStates) return Effect.succeed(true)
		if (epoch === null) return Effect.succeed(false)
		return Effect.map(archive.latestRevision(), (latestRevision) => {
			if (latestRevision === null || this.epochAtFullRead !== epoch) return false
			// States that were archived by the full read are older than the epoch.
			this.terminalStates.markIncompleteUpTo(Math.min(latestRevision, epoch - 1))
			this.mayLackArchivedStates = false
			return true
		})
	}

	/** The terminal states of named jobs; null: some job's state could not be determined. */
	private findTerminalStates(uids: readonly string[]): Effect.Effect<StatesById | null> {
		const states = this.knownStates(uids)
		const searchedIds = uids.filter((uid) => !states.has(uid) && this.needsSearch(uid))
		const absentAsOf = new Map<string, number>()
		const search = (uid: string) =>
			Effect.map(this.service.jobLocator.locate(uid), (location) => {
				if (location.kind === 'absent') absentAsOf.set(uid, location.asOf)
				if (location.kind === 'archived') states.set(uid, this.retain(toTerminalState(location.job)))
			})
		return Effect.forEach(searchedIds, search, { concurrency: 'unbounded', discard: true }).pipe(
			Effect.map(() => {
				// A job may have entered or left memory during the searches for others. A job that was absent before a full
				// read may have been accepted and archived before that read.
				const fullReadRevision = this.service.archive.fullReadRevision()
				const isAbsent = (uid: string) => (absentAsOf.get(uid) ?? -1) >= fullReadRevision
				const isProven = (uid: string) => states.has(uid) || isAbsent(uid) || !this.needsSearch(uid)
				return uids.every(isProven) ? states : null
			}),
		)
	}

	private knownStates(uids: readonly string[]): Map<string, TerminalState> {
		const states = new Map<string, TerminalState>()
		for (const uid of uids) {
			const state = this.terminalStates.get(uid)
			if (state !== undefined) states.set(uid, state)
		}
		return states
	}

	/** Returns whether a search is needed to determine a job's terminal state, or that the job was never accepted. */
	private needsSearch(uid: string): boolean {
		const { jobs, jobLocator } = this.service
		const isKnown = jobs.get(uid) !== undefined || this.terminalStates.get(uid) !== undefined
		return !isKnown && jobLocator.absentAsOf(uid) === null
	}

	/** Keeps a state for later streams; drops the least recently kept ones above the limit. */
	private retain(state: TerminalState): TerminalState {
		// Deleted first, so that it moves to the end of the map's insertion order.
		this.foundStates.delete(state.uid)
		this.foundStates.set(state.uid, state)
		for (const oldest of this.foundStates.keys()) {
			if (this.foundStates.size <= this.maxRetained) break
			this.foundStates.delete(oldest)
		}
		return state
	}
}
