/** What a stream needs to know of terminal states outside memory before it may begin. */
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

/** Prepares the streams of one controller. */
export class StreamPreparation {
	/** terminal states of the stream that is being subscribed */
	private preparedStates = NO_STATES
	/** terminal states from outside memory, the latest ones that streams asked for */
	private readonly foundStates = new Map<string, TerminalState>()
	/** a full read was not followed by a check yet whether the archive holds states that the log lacks */
	private mayLackArchivedStates = true
	/** archival epoch at the latest full read: states that were archived by then are older; null: it is being applied */
	private epochAtFullRead: number | null = null

	/** `retained`: states found outside memory that are kept for further streams. */
	constructor(
		private readonly service: Service,
		private readonly terminalStates: TerminalStateLog,
		private readonly retained: number,
	) {}

	/** Returns a job's terminal state that was found outside memory. */
	stateOf(uid: string): TerminalState | undefined {
		return this.preparedStates.get(uid) ?? this.foundStates.get(uid)
	}

	/** A full read is about to be applied. */
	onFullRead(): void {
		this.mayLackArchivedStates = true
		this.epochAtFullRead = null
	}

	/** Every change up to a later revision is applied. */
	onRevisionAdvanced(): void {
		this.epochAtFullRead ??= this.service.archive.archivalEpoch()
	}

	/** The log of terminal states is marked as incomplete for whatever the archive may hold. */
	markArchiveChecked(): void {
		this.mayLackArchivedStates = false
	}

	/**
	 * Reads what a stream needs that is not in memory: terminal states of named jobs, or whether a team's states may be
	 * archived. To be called after a linearizable read; calls back with false if not everything could be read. A stream must
	 * be subscribed within the callback, as long as the states that were read are at hand.
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
	 * After a full read the log lacks the states that were archived before: streams cannot resume from before the latest of
	 * them.
	 */
	private checkArchive(): Effect.Effect<boolean> {
		const { archive } = this.service
		const epoch = this.epochAtFullRead
		if (!this.mayLackArchivedStates) return Effect.succeed(true)
		if (epoch === null) return Effect.succeed(false)
		return Effect.map(archive.latestRevision(), (latestRevision) => {
			if (latestRevision === null || this.epochAtFullRead !== epoch) return false
			// What was archived by then is older than the epoch.
			this.terminalStates.markIncompleteUpTo(Math.min(latestRevision, epoch - 1))
			this.mayLackArchivedStates = false
			return true
		})
	}

	/** The terminal states of named jobs; null: for some job nothing is proven. */
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
				// A job may have come to memory, or left it, during the searches for others. One that was absent before a full
				// read may have been accepted and archived by then.
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

	/** Tells whether it takes a search to know a job's terminal state, or that the job was never accepted. */
	private needsSearch(uid: string): boolean {
		const { jobs, jobLocator } = this.service
		const isKnown = jobs.get(uid) !== undefined || this.terminalStates.get(uid) !== undefined
		return !isKnown && jobLocator.absentAsOf(uid) === null
	}

	/** Keeps a state for further streams; the longest kept ones are dropped. */
	private retain(state: TerminalState): TerminalState {
		// Deleted first, so that it becomes the latest in the order of the map.
		this.foundStates.delete(state.uid)
		this.foundStates.set(state.uid, state)
		for (const oldest of this.foundStates.keys()) {
			if (this.foundStates.size <= this.retained) break
			this.foundStates.delete(oldest)
		}
		return state
	}
}
