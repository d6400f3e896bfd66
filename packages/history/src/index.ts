/** The archive: terminal states of jobs of long ago, in pages outside memory. */

export * from './archive-keys.js'
export * from './archive-page.js'
export * from './archive-reader.js'
export * from './archived-job.js'
export * from './archiver.js'
export type { ArchiveLookup } from './lookup-queue.js'
export * from './merge-step.js'
export { jobIdOf, ORDINAL_END, ordinalOf } from './ordinals.js'
export { InvalidArchivePage, packJobs, unpackJobs } from './packed-jobs.js'
export * from './packed-lookup.js'
