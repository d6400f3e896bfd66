/**
 * Determines where a job is: open, terminal, archived, or proven never to have been accepted. Callers must
 * not conclude "does not exist" from "not found in memory" but use this module, since terminal states move between memory,
 * jobs' own keys and the archive during a search.
 */
import type { JobRecord } from '@heathroad/cluster'
import type { ArchivedJob, ArchiveLookup, LegacyRead } from '@heathroad/history'
import { Effect } from 'effect'

/** Where this controller can prove a job to be. */
export type JobLocation =
	/** accepted and not terminal, according to the records in memory */
	| { kind: 'open'; record: JobRecord }
	/** terminal, according to the records in memory */
	| { kind: 'terminal'; record: JobRecord }
	/** terminal; the state is in the archive or under the job's own key, not in memory */
	| { kind: 'archived'; job: ArchivedJob }
	/** proven that no record or archived state named the job at revision `asOf` */
	| { kind: 'absent'; asOf: number }
	/** cannot be determined now */
	| { kind: 'unknown' }

/** The places outside memory that may hold terminal states. */
export interface SearchScope {
	/** jobs' own keys, while the first record format is in use */
	ownKeys: boolean
	/** whether full reads have left terminal states under own keys out of memory; otherwise memory holds all of them */
	hasOmittedStates: boolean
	/** the levels of the archive */
	archive: boolean
}

/** A snapshot of what memory shows about a job. */
export interface MemoryView {
	/** the job's location if no read is needed to determine it; null: nothing in memory names the job */
	location: JobLocation | null
	/** every change up to this revision is applied; -1: nothing has been read yet */
	revision: number
	/** revision of the first request of the latest full read, which may have left states under own keys out of memory */
	fullReadRevision: number
	scope: SearchScope
}

const UNKNOWN: JobLocation = { kind: 'unknown' }

/** The next step of a search. */
export type SearchStep =
	| { kind: 'located'; location: JobLocation }
	| { kind: 'read own key' }
	/** memory has not applied every change up to the revision at which the own key was read */
	| { kind: 'refresh memory'; revision: number }
	/** if the archive has no state of the job, the job was absent as of the revision */
	| { kind: 'search archive'; asOf: number }

/**
 * Decides the next step of a search. The order of the places ensures that a search finds a state that moves meanwhile:
 *
 * 1. The job's own key. States move from there to pages in memory (record migration), never back; but a full read may
 *    leave out of memory what was written to an own key before it: then the key is read again.
 * 2. Memory, once it has applied every change up to the read of the own key. States move from there to the archive.
 * 3. The archive, from the first level down (`ArchiveReader`).
 *
 * If no full read has left a state out, memory alone proves absence, and the read of the own key is redundant.
 *
 * @param ownKeyEmptyAt revision at which the job's own key held no terminal state; null: it has not been read yet
 */
export const nextSearchStep = (memory: MemoryView, ownKeyEmptyAt: number | null): SearchStep => {
	const { location, revision, fullReadRevision, scope } = memory
	if (location !== null) return { kind: 'located', location }
	if (revision < 0) return { kind: 'located', location: UNKNOWN }
	let asOf = revision
	if (scope.ownKeys) {
		if (ownKeyEmptyAt === null || ownKeyEmptyAt < fullReadRevision) return { kind: 'read own key' }
		if (scope.hasOmittedStates) {
			if (revision < ownKeyEmptyAt) return { kind: 'refresh memory', revision: ownKeyEmptyAt }
			asOf = ownKeyEmptyAt
		}
	}
	if (scope.archive) return { kind: 'search archive', asOf }
	return { kind: 'located', location: { kind: 'absent', asOf } }
}

/** Finds terminal states that are not in memory. */
export interface TerminalStateArchive {
	/** Returns the places that may hold terminal states. */
	searchScope(): SearchScope
	/** Returns the revision at which the first request of the latest full read was answered; -1: there was none. */
	fullReadRevision(): number
	/** Reads the terminal state under a job's own key. */
	readOwnKey(uid: string): Effect.Effect<LegacyRead>
	/** Returns an archived state if it is cached; the id must match `JOB_ID_PATTERN`. */
	cached(uid: string): ArchivedJob | undefined
	/** Returns, without a read, whether a job that is not in memory is certain not to be terminal. */
	provesAbsent(uid: string): boolean
	/** Searches the archive. */
	lookUp(uid: string): Effect.Effect<ArchiveLookup>
}

/** The sources of records and states that the locator searches. */
export interface JobLocatorDependencies {
	readonly jobs: { get(uid: string): { record: JobRecord } | undefined }
	readonly cache: { readonly revision: number }
	readonly archive: TerminalStateArchive
	/** Succeeds with true once everything durable before the call is in memory; false after a timeout. */
	linearizableRead(): Effect.Effect<boolean>
}

/** Locates jobs in memory, under own keys and in the archive. */
export class JobLocator {
	/** `timeoutMs`: a search that takes longer returns `unknown`. */
	constructor(
		private readonly dependencies: JobLocatorDependencies,
		private readonly timeoutMs: number,
	) {}

	/** Returns a job's location if memory or the cached archive pages show it; null: they do not name the job. */
	inMemory(uid: string): JobLocation | null {
		const record = this.dependencies.jobs.get(uid)?.record
		if (record !== undefined) return { kind: record.finalState === undefined ? 'open' : 'terminal', record }
		const job = this.dependencies.archive.cached(uid)
		return job === undefined ? null : { kind: 'archived', job }
	}

	/** Returns the revision as of which the job is proven absent without a read; null: a search is needed. */
	absentAsOf(uid: string): number | null {
		const { cache, archive } = this.dependencies
		if (cache.revision < 0 || this.inMemory(uid) !== null) return null
		return archive.provesAbsent(uid) ? cache.revision : null
	}

	/** Locates a job as of the revision of the watch cache at the call, or a later one. */
	locate(uid: string): Effect.Effect<JobLocation> {
		return this.search(uid, null).pipe(
			Effect.timeoutOption(this.timeoutMs),
			Effect.map((location) => (location._tag === 'Some' ? location.value : UNKNOWN)),
		)
	}

	/** Locates a job as of a moment after the call. A known terminal state never changes and is returned at once. */
	locateNow(uid: string): Effect.Effect<JobLocation> {
		const known = this.finalLocation(uid)
		if (known !== null) return Effect.succeed(known)
		return Effect.flatMap(this.dependencies.linearizableRead(), (isCurrent) =>
			isCurrent ? this.locate(uid) : Effect.succeed(this.finalLocation(uid) ?? UNKNOWN),
		)
	}

	/** Returns a job's location if it is in memory and final; null: a read is needed. */
	private finalLocation(uid: string): JobLocation | null {
		const known = this.inMemory(uid)
		return known === null || known.kind === 'open' ? null : known
	}

	private memoryView(uid: string): MemoryView {
		const { cache, archive } = this.dependencies
		return {
			location: this.inMemory(uid),
			revision: cache.revision,
			fullReadRevision: archive.fullReadRevision(),
			scope: archive.searchScope(),
		}
	}

	/** Continues a search; `ownKeyEmptyAt`: see `nextSearchStep`. */
	private search(uid: string, ownKeyEmptyAt: number | null): Effect.Effect<JobLocation> {
		const step = nextSearchStep(this.memoryView(uid), ownKeyEmptyAt)
		switch (step.kind) {
			case 'located':
				return Effect.succeed(step.location)
			case 'search archive':
				return this.searchArchive(uid, step.asOf)
			case 'refresh memory':
				return Effect.flatMap(this.dependencies.linearizableRead(), (isCurrent) =>
					isCurrent ? this.search(uid, ownKeyEmptyAt) : Effect.succeed(UNKNOWN),
				)
			case 'read own key':
				return Effect.flatMap(this.dependencies.archive.readOwnKey(uid), (read) =>
					this.afterOwnKey(uid, read),
				)
		}
	}

	private afterOwnKey(uid: string, read: LegacyRead): Effect.Effect<JobLocation> {
		switch (read.kind) {
			case 'found':
				return Effect.succeed({ kind: 'archived', job: read.job })
			case 'unreadable':
				return Effect.succeed(UNKNOWN)
			case 'not terminal':
				// The record of an open job is in memory after the read; any other record is damaged and proves nothing.
				return Effect.map(this.dependencies.linearizableRead(), () => this.inMemory(uid) ?? UNKNOWN)
			case 'not found':
				return this.search(uid, read.readAt)
		}
	}

	private searchArchive(uid: string, asOf: number): Effect.Effect<JobLocation> {
		return Effect.map(this.dependencies.archive.lookUp(uid), (found): JobLocation => {
			if (found === 'unsure') return UNKNOWN
			return found === 'absent' ? { kind: 'absent', asOf } : { kind: 'archived', job: found }
		})
	}
}
