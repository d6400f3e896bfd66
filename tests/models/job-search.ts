/**
 * A controller's search for one job as immutable values, for models that explore every interleaving: the steps of
 * `JobLocator`, with the service's own decisions, and the rules by which `ArchiveReader` reads, caches and trusts
 * pages.
 */
import { type MemoryView, nextSearchStep, type SearchStep } from '@heathroad/server'

/** A condition of the search that a model leaves out to show that it is needed. */
export type SearchFault =
	| 'wait for the revision of the own-key read'
	| 'memory check after the own-key read'
	| 'own-key read after a full read'
	| 'memory check before the archive search'
	| 'first-level read after the job left memory'
	| 'second-level read after the first-level read'

/** The page that covers the job on one level of the archive. */
export interface LevelPage {
	holdsJob: boolean
	/** the level below may hold more jobs of this range */
	deeper: boolean
	modRevision: number
	readAt: number
}

/** The state of an archive reader: the cached page of each level. */
export interface ReaderState {
	pages: readonly [LevelPage | null, LevelPage | null]
	minFirstLevelRevision: number
}

export const EMPTY_READER: ReaderState = { pages: [null, null], minFirstLevelRevision: -1 }

/** A lookup on its way down the levels; `level`: index of the page that it needs next. */
export interface Lookup {
	level: 0 | 1
	minRevision: number
}

const FIRST_LOOKUP: Lookup = { level: 0, minRevision: -1 }

/** The reader after the change at a revision removed the job's state from memory. */
export const afterJobLeftMemory = (
	{ pages: [first, second], minFirstLevelRevision }: ReaderState,
	revision: number,
): ReaderState => ({
	pages: [first !== null && first.readAt < revision ? null : first, second],
	minFirstLevelRevision: Math.max(minFirstLevelRevision, revision),
})

/** The reader after a full read. */
export const afterFullRead = (reader: ReaderState, revision: number): ReaderState => ({
	pages: [null, null],
	minFirstLevelRevision: Math.max(reader.minFirstLevelRevision, revision),
})

const afterPageRead = (reader: ReaderState, level: Lookup['level'], page: LevelPage): ReaderState => {
	const [first, second] = reader.pages
	if (level === 1) return { ...reader, pages: [first, page] }
	const isFresh = page.readAt >= reader.minFirstLevelRevision
	return isFresh ? { ...reader, pages: [page, second] } : reader
}

/** Returns whether a cached page shows the job's state without a read. */
export const isCached = ({ pages: [first, second] }: ReaderState): boolean =>
	first !== null && (first.holdsJob || (first.deeper && second?.holdsJob === true))

/** Continues a lookup through the cached pages; returns the lookup of the page to read if they do not suffice. */
const advanceLookup = (
	{ pages }: ReaderState,
	lookup: Lookup,
	fault: SearchFault | null,
): 'found' | 'absent' | Lookup => {
	const page = pages[lookup.level]
	if (page === null) return lookup
	if (page.holdsJob) return 'found'
	if (page.readAt < lookup.minRevision) return lookup
	if (!page.deeper || lookup.level === 1) return 'absent'
	const minRevision = fault === 'second-level read after the first-level read' ? -1 : page.modRevision
	return advanceLookup({ pages, minFirstLevelRevision: -1 }, { level: 1, minRevision }, fault)
}

/** What a search waits for or reads next. */
type Progress =
	/** waits until the controller has received all changes up to the revision, then checks memory */
	| { kind: 'wait'; revision: number }
	/** `readAt`: revision of the read that found nothing; null: not read yet */
	| { kind: 'own key'; readAt: number | null }
	/** `page`: the page read for the lookup; null: not read yet */
	| { kind: 'archive'; asOf: number; lookup: Lookup; page: LevelPage | null }

export interface Search {
	/** the search is for a submission, which needs proof of absence; otherwise for a user's query */
	isForSubmission: boolean
	/** the job was known when the search began: a result of absent is wrong */
	mustFind: boolean
	ownKeyEmptyAt: number | null
	/** set only if the memory check before the archive search is left out */
	archiveSearched: boolean
	progress: Progress
}

/** Result of a search step. */
export type SearchOutcome =
	| { kind: 'continues'; search: Search }
	/** the job is known, or the search has no result */
	| { kind: 'no proof' }
	| { kind: 'absent'; asOf: number }

const NO_PROOF: SearchOutcome = { kind: 'no proof' }

/** The service's decision on the contents of memory, with one condition left out. */
const nextStep = (
	memory: MemoryView,
	{ ownKeyEmptyAt, archiveSearched }: Search,
	fault: SearchFault | null,
): SearchStep => {
	if (fault === 'own-key read after a full read')
		return nextSearchStep({ ...memory, fullReadRevision: -1 }, ownKeyEmptyAt)
	if (fault === 'memory check before the archive search' && archiveSearched)
		return nextSearchStep({ ...memory, scope: { ...memory.scope, archive: false } }, ownKeyEmptyAt)
	if (ownKeyEmptyAt === null) return nextSearchStep(memory, null)
	const withoutWait = { ...memory, revision: Math.max(memory.revision, ownKeyEmptyAt) }
	if (fault === 'wait for the revision of the own-key read') return nextSearchStep(withoutWait, ownKeyEmptyAt)
	if (fault === 'memory check after the own-key read' || fault === 'memory check before the archive search')
		return nextSearchStep({ ...withoutWait, location: null }, ownKeyEmptyAt)
	return nextSearchStep(memory, ownKeyEmptyAt)
}

/** Checks memory and takes the next step. */
export const checkMemory = (
	search: Search,
	memory: MemoryView,
	reader: ReaderState,
	fault: SearchFault | null,
): SearchOutcome => {
	const step = nextStep(memory, search, fault)
	switch (step.kind) {
		case 'located':
			return step.location.kind === 'absent' ? step.location : NO_PROOF
		case 'read own key':
			return continueSearch(search, { kind: 'own key', readAt: null })
		case 'refresh memory':
			return continueSearch(search, { kind: 'wait', revision: step.revision })
		case 'search archive':
			return continueLookup(search, step.asOf, FIRST_LOOKUP, reader, fault)
	}
}

const continueSearch = (search: Search, progress: Progress): SearchOutcome => ({
	kind: 'continues',
	search: { ...search, progress },
})

const continueLookup = (
	search: Search,
	asOf: number,
	lookup: Lookup,
	reader: ReaderState,
	fault: SearchFault | null,
): SearchOutcome => {
	const found = advanceLookup(reader, lookup, fault)
	if (found === 'found') return NO_PROOF
	if (found !== 'absent') return continueSearch(search, { kind: 'archive', asOf, lookup: found, page: null })
	if (fault === 'memory check before the archive search' && !search.archiveSearched)
		return continueSearch({ ...search, archiveSearched: true }, { kind: 'wait', revision: asOf })
	return { kind: 'absent', asOf }
}

/** Continues a search with the page that it has read. */
export const takePage = (
	search: Search,
	reader: ReaderState,
	fault: SearchFault | null,
): { reader: ReaderState; outcome: SearchOutcome } => {
	const { progress } = search
	if (progress.kind !== 'archive' || progress.page === null) throw new Error('the search has not read a page')
	const after = afterPageRead(reader, progress.lookup.level, progress.page)
	return { reader: after, outcome: continueLookup(search, progress.asOf, progress.lookup, after, fault) }
}
