/** The archive: old terminal states of jobs, stored in pages at the state service and not kept in memory. */

export { ARCHIVE_PREFIX, archivePageKey, maxDepth } from './archive-keys.js'
export {
	type ArchivePage,
	covers,
	decodeArchivePage,
	encodeArchivePage,
} from './archive-page.js'
export { ArchiveReader, type ArchiveReaderLimits } from './archive-reader.js'
export {
	type ArchivedJob,
	ConflictingTerminalStates,
	findByOrdinal,
	mergeArchivedJobs,
} from './archived-job.js'
export { Archiver, type ArchiverDependencies } from './archiver.js'
export { type LegacyRead, LegacyRecordReader } from './legacy-record-reader.js'
export type { ArchiveLookup } from './lookup-queue.js'
export type { ArchiveWriteLimits } from './merge-step.js'
export { jobIdOf, ORDINAL_END, ORDINAL_WIDTH_CHARS, ordinalOf } from './ordinals.js'
export { InvalidArchivePage, packJobs, unpackJobs } from './packed-jobs.js'
export { findInPacked } from './packed-lookup.js'
