/** Keys of the records, without their shared prefix. The names are part of the stored format and must not change. */

/** Key of a shard's owner; attached to the owner's lease. */
export const shardKey = (shardId: number): string => `part/${shardId}`

/** Key of a shard's latest owner; it remains while the shard has no owner. */
export const lastOwnerKey = (shardId: number): string => `last/${shardId}`

/** Key of a machine group: machines that were rented or registered together. */
export const machineGroupKey = (name: string): string => `fleet/${name}`

/** Prefix of the keys of jobs' own records. */
export const JOB_PREFIX = 'job/'

/** Key of a job's own record. */
export const jobKey = (uid: string): string => JOB_PREFIX + uid

/** Extracts the job id from the key of a job's own record. */
export const uidOfJobKey = (key: string): string => key.slice(JOB_PREFIX.length)

/** Prefix of the keys of progress chunks. */
export const PROGRESS_PREFIX = 'done/'

/** Key of the done tasks in one chunk of a job with more than `TASKS_PER_CHUNK` tasks. */
export const progressChunkKey = (uid: string, chunk: number): string => `${PROGRESS_PREFIX}${uid}/${chunk}`

/** Extracts the job id from the key of a progress chunk. */
export const uidOfProgressKey = (key: string): string => key.split('/')[1]

/** Prefix of the keys of accepted batches. */
export const ACCEPTED_BATCH_PREFIX = 'intake/'

/** Key of a shard's open page, to which every new terminal state of its jobs is appended. */
export const terminalPageKey = (shardId: number): string => `over/${shardId}`

/** Key of a page that was closed when it was full; `revision`: that of its last state. */
export const closedPageKey = (shardId: number, revision: number): string => `over/${shardId}/${revision}`

/** Key of the record format and the archival epoch; if it is absent, the records have the first format. */
export const HISTORY_KEY = 'history'

/** Key of the cloud's catalog of machine types. */
export const CATALOG_KEY = 'catalog'

/** Key of the installation's unique name, which is written on first use. */
export const INSTALLATION_KEY = 'installation'
