/**
 * Determines where a job is: open, terminal, archived, or proven never to have been accepted. Whoever takes "not found
 * here" for "does not exist" asks this module, since terminal states move between memory, jobs' own keys and the archive
 * while they are looked for.
 */
import type { JobRecord } from '@heathroad/cluster'
import type { ArchivedJob, ArchiveLookup, LegacyRead } from '@heathroad/history'
import { Effect } from 'effect'

/** Where a job is, as far as this controller can prove it. */
export type JobLocation =
	/** accepted and not terminal, according to the records in memory */
	| { kind: 'open'; record: JobRecord }
	/** terminal, according to the records in memory */
	| { kind: 'terminal'; record: JobRecord }
	/** terminal; the state is not in memory, but in the archive or under the job's own key */
	| { kind: 'archived'; job: ArchivedJob }
	/** proven: no record and no archived state named the job at revision `asOf` */
	| { kind: 'absent'; asOf: number }
	/** cannot be determined now */
	| { kind: 'unknown' }

/** Places outside memory that may hold terminal states. */
export interface SearchScope {
	/** jobs' own keys, as long as the first record format is in use */
	ownKeys: boolean
	/** whether full reads have left terminal states under own keys out of memory; else memory holds all of them */
	hasOmittedStates: boolean
	/** the levels of the archive */
	archive: boolean
}

/** What memory shows at one moment. */
export interface MemoryView {
	/** where the job is if that takes no read; null: nothing in memory names it */
	location: JobLocation | null
	/** every change up to this revision is applied; -1: nothing was read yet */
	revision: number
	/** revision of the latest full read's first request; that read may have left states under own keys out of memory */
	fullReadRevision: number
	scope: SearchScope
}

const UNKNOWN: JobLocation = { kind: 'unknown' }

/** What a search has to do next. */
export type SearchStep =
	| { kind: 'located'; location: JobLocation }
	| { kind: 'read own key' }
	/** bring memory up to date: it has not applied every change up to the revision at which the own key was read */
	| { kind: 'refresh memory'; revision: number }
	/** search the archive; if it has no state of the job, the job was absent as of the revision */
	| { kind: 'search archive'; asOf: number }

/**
 * Decides the next step of a search. The places are looked at in an order that no move of a terminal state slips through:
 *
 * 1. The job's own key. States leave it for pages in memory (record migration), never the other way round, except that a
 *    full read may leave out of memory what was written to an own key before it: then the key is read again.
 * 2. Memory, once it has applied every change up to the read of the own key. States leave it for the archive.
 * 3. The archive, from the first level down (`ArchiveReader`).
 *
 * Where no full read has left a state out, memory proves absence alone, and the read of the own key is a second look.
 *
 * @param ownKeyEmptyAt revision at which the job's own key held no terminal state; null: it was not read yet
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

/** Terminal states that are not in memory. */
export interface TerminalStateArchive {
	/** Returns the places that may hold some. */
	searchScope(): SearchScope
	/** Returns the revision at which the first request of the latest full read was answered; -1: there was none. */
	fullReadRevision(): number
	/** Reads the terminal state under a job's own key. */
	readOwnKey(uid: string): Effect.Effect<LegacyRead>
	/** Returns an archived state that takes no read; the id must match `JOB_ID_PATTERN`. */
	cached(uid: string): ArchivedJob | undefined
	/** Tells, without a read, whether a job that nothing in memory names is certainly not terminal. */
	provesAbsent(uid: string): boolean
	/** Searches the archive. */
	lookUp(uid: string): Effect.Effect<ArchiveLookup>
}

/** What the locator reads and waits for. */
export interface JobLocatorPorts {
	readonly jobs: { get(uid: string): { record: JobRecord } | undefined }
	readonly cache: { readonly revision: number }
	readonly archive: TerminalStateArchive
	/** Succeeds with true once everything durable before the call is in memory; false if that takes too long. */
	linearizableRead(): Effect.Effect<boolean>
}

/** Locates jobs for one controller. */
export class JobLocator {
	/** `timeoutMs`: a search that takes longer ends as unknown. */
	constructor(
		private readonly ports: JobLocatorPorts,
		private readonly timeoutMs: number,
	) {}

	/** Returns where a job is if that takes no read and no proof of absence; null: nothing in memory names it. */
	inMemory(uid: string): JobLocation | null {
		const record = this.ports.jobs.get(uid)?.record
		if (record !== undefined) return { kind: record.finalState === undefined ? 'open' : 'terminal', record }
		const job = this.ports.archive.cached(uid)
		return job === undefined ? null : { kind: 'archived', job }
	}

	/** Returns the revision as of which the job is proven absent without a read; null: that takes a search. */
	absentAsOf(uid: string): number | null {
		const { cache, archive } = this.ports
		if (cache.revision < 0 || this.inMemory(uid) !== null) return null
		return archive.provesAbsent(uid) ? cache.revision : null
	}

	/** Locates a job as of a moment that is no earlier than this controller's present knowledge of the records. */
	locate(uid: string): Effect.Effect<JobLocation> {
		return this.search(uid, null).pipe(
			Effect.timeoutOption(this.timeoutMs),
			Effect.map((location) => (location._tag === 'Some' ? location.value : UNKNOWN)),
		)
	}

	/** Locates a job as of a moment after the call. A terminal state is answered at once, as it never changes. */
	locateNow(uid: string): Effect.Effect<JobLocation> {
		const known = this.finalLocation(uid)
		if (known !== null) return Effect.succeed(known)
		return Effect.flatMap(this.ports.linearizableRead(), (isCurrent) =>
			isCurrent ? this.locate(uid) : Effect.succeed(this.finalLocation(uid) ?? UNKNOWN),
		)
	}

	/** A job's location if it can't change any more and takes no read; null: it takes a read. */
	private finalLocation(uid: string): JobLocation | null {
		const known = this.inMemory(uid)
		return known === null || known.kind === 'open' ? null : known
	}

	private memoryView(uid: string): MemoryView {
		const { cache, archive } = this.ports
		return {
			location: this.inMemory(uid),
			revision: cache.revision,
			fullReadRevision: archive.fullReadRevision(),
			scope: archive.searchScope(),
		}
	}

	/** Goes on with a search; `ownKeyEmptyAt`: see `nextSearchStep`. */
	private search(uid: string, ownKeyEmptyAt: number | null): Effect.Effect<JobLocation> {
		const step = nextSearchStep(this.memoryView(uid), ownKeyEmptyAt)
		switch (step.kind) {
			case 'located':
				return Effect.succeed(step.location)
			case 'search archive':
				return this.searchArchive(uid, step.asOf)
			case 'refresh memory':
				return Effect.flatMap(this.ports.linearizableRead(), (isCurrent) =>
					isCurrent ? this.search(uid, ownKeyEmptyAt) : Effect.succeed(UNKNOWN),
				)
			case 'read own key':
				return Effect.flatMap(this.ports.archive.readOwnKey(uid), (read) => this.afterOwnKey(uid, read))
		}
	}

	private afterOwnKey(uid: string, read: LegacyRead): Effect.Effect<JobLocation> {
		switch (read.kind) {
			case 'found':
				return Effect.succeed({ kind: 'archived', job: read.job })
			case 'unreadable':
				return Effect.succeed(UNKNOWN)
			case 'not terminal':
				// The record of an open job is in memory, or will be; any other is damaged, and proves nothing.
				return Effect.map(this.ports.linearizableRead(), () => this.inMemory(uid) ?? UNKNOWN)
			case 'not found':
				return this.search(uid, read.readAt)
		}
	}

	private searchArchive(uid: string, asOf: number): Effect.Effect<JobLocation> {
		return Effect.map(this.ports.archive.lookUp(uid), (found): JobLocation => {
			if (found === 'unsure') return UNKNOWN
			return found === 'absent' ? { kind: 'absent', asOf } : { kind: 'archived', job: found }
		})
	}
}
