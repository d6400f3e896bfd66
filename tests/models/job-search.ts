/**
 * A controller's search for one job as values, for models whose every history is explored: the steps of `JobLocator`, with
 * its own decisions, and the rules by which `ArchiveReader` reads, caches and believes pages.
 */
import { type MemoryView, nextSearchStep, type SearchStep } from '@heathroad/server'

/** A condition of the search that a model leaves out. */
export type SearchFault =
	| 'wait for the revision of the read'
	| 'memory after the own key'
	| 'own key after a full read'
	| 'memory before the archive'
	| 'first level after what left memory'
	| 'second level after the first'

/** The page of a level of the archive that covers the job. */
export interface LevelPage {
	holdsJob: boolean
	/** the level below may hold more */
	deeper: boolean
	modRevision: number
	readAt: number
}

/** What an archive reader keeps: the cached page of each level. */
export interface ReaderState {
	pages: readonly [LevelPage | null, LevelPage | null]
	minFirstLevelRevision: number
}

export const EMPTY_READER: ReaderState = { pages: [null, null], minFirstLevelRevision: -1 }

/** A look-up on its way down the levels; `level`: index of the page that it needs. */
export interface Lookup {
	level: 0 | 1
	minRevision: number
}

const FIRST_LOOKUP: Lookup = { level: 0, minRevision: -1 }

/** The reader after the job's state left memory with the change of a revision. */
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

/** Does a cached page show the job's state without a read? */
export const isCached = ({ pages: [first, second] }: ReaderState): boolean =>
	first !== null && (first.holdsJob || (first.deeper && second?.holdsJob === true))

/** Continues a look-up through the cached pages; returns what it needs to be read otherwise. */
const advance = (
	{ pages }: ReaderState,
	lookup: Lookup,
	fault: SearchFault | null,
): 'found' | 'absent' | Lookup => {
	const page = pages[lookup.level]
	if (page === null) return lookup
	if (page.holdsJob) return 'found'
	if (page.readAt < lookup.minRevision) return lookup
	if (!page.deeper || lookup.level === 1) return 'absent'
	const minRevision = fault === 'second level after the first' ? -1 : page.modRevision
	return advance({ pages, minFirstLevelRevision: -1 }, { level: 1, minRevision }, fault)
}

/** What a search does next, or waits for. */
type Progress =
	/** until the controller knows everything up to the revision; then memory is looked at */
	| { kind: 'wait'; revision: number }
	/** `readAt`: revision of the read that found nothing; null: it is yet to be read */
	| { kind: 'own key'; readAt: number | null }
	/** `page`: what was read for the look-up; null: it is yet to be read */
	| { kind: 'archive'; asOf: number; lookup: Lookup; page: LevelPage | null }

export interface Search {
	/** a submission waits for the proof; else a user does for the answer */
	isForSubmission: boolean
	/** a user was told of the job, or it ended, before the search began */
	mustFind: boolean
	ownKeyEmptyAt: number | null
	/** only where the condition is left out by which memory is looked at before the archive */
	archiveSearched: boolean
	progress: Progress
}

/** What a search has come to. */
export type SearchOutcome =
	| { kind: 'goes on'; search: Search }
	/** the job is known, or the search has no result */
	| { kind: 'no proof' }
	| { kind: 'absent'; asOf: number }

const NO_PROOF: SearchOutcome = { kind: 'no proof' }

/** The decision about what memory shows, with one condition left out. */
const nextStep = (
	memory: MemoryView,
	{ ownKeyEmptyAt, archiveSearched }: Search,
	fault: SearchFault | null,
): SearchStep => {
	if (fault === 'own key after a full read')
		return nextSearchStep({ ...memory, fullReadRevision: -1 }, ownKeyEmptyAt)
	if (fault === 'memory before the archive' && archiveSearched)
		return nextSearchStep({ ...memory, scope: { ...memory.scope, archive: false } }, ownKeyEmptyAt)
	if (ownKeyEmptyAt === null) return nextSearchStep(memory, null)
	const withoutWait = { ...memory, revision: Math.max(memory.revision, ownKeyEmptyAt) }
	if (fault === 'wait for the revision of the read') return nextSearchStep(withoutWait, ownKeyEmptyAt)
	if (fault === 'memory after the own key' || fault === 'memory before the archive')
		return nextSearchStep({ ...withoutWait, location: null }, ownKeyEmptyAt)
	return nextSearchStep(memory, ownKeyEmptyAt)
}

/** Looks at memory and goes on. */
export const lookAtMemory = (
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
			return goOn(search, { kind: 'own key', readAt: null })
		case 'refresh memory':
			return goOn(search, { kind: 'wait', revision: step.revision })
		case 'search archive':
			return lookUp(search, step.asOf, FIRST_LOOKUP, reader, fault)
	}
}

const goOn = (search: Search, progress: Progress): SearchOutcome => ({
	kind: 'goes on',
	search: { ...search, progress },
})

const lookUp = (
	search: Search,
	asOf: number,
	lookup: Lookup,
	reader: ReaderState,
	fault: SearchFault | null,
): SearchOutcome => {
	const found = advance(reader, lookup, fault)
	if (found === 'found') return NO_PROOF
	if (found !== 'absent') return goOn(search, { kind: 'archive', asOf, lookup: found, page: null })
	if (fault === 'memory before the archive' && !search.archiveSearched)
		return goOn({ ...search, archiveSearched: true }, { kind: 'wait', revision: asOf })
	return { kind: 'absent', asOf }
}

/** Takes the page that a search has read. */
export const takePage = (
	search: Search,
	reader: ReaderState,
	fault: SearchFault | null,
): { reader: ReaderState; outcome: SearchOutcome } => {
	const { progress } = search
	if (progress.kind !== 'archive' || progress.page === null) throw new Error('no page was read')
	const after = afterPageRead(reader, progress.lookup.level, progress.page)
	return { reader: after, outcome: lookUp(search, progress.asOf, progress.lookup, after, fault) }
}
