/** Keys of the records, below the root that all of them share. Stored data depends on every name here. */

/** The owner of a shard; attached to the owner's lease. */
export const shardKey = (shardId: number): string => `part/${shardId}`

/** The latest owner of a shard; stays when the shard has none. */
export const lastOwnerKey = (shardId: number): string => `last/${shardId}`

/** A group of machines that were rented or registered together. */
export const machineGroupKey = (name: string): string => `fleet/${name}`

/** All keys of jobs' own records begin with it. */
export const JOB_PREFIX = 'job/'

/** A job's own record. */
export const jobKey = (uid: string): string => JOB_PREFIX + uid

/** The id of the job whose own record has the key. */
export const uidOfJobKey = (key: string): string => key.slice(JOB_PREFIX.length)

/** All keys of progress chunks begin with it. */
export const PROGRESS_PREFIX = 'done/'

/** Done tasks of one chunk of a wide job. */
export const progressChunkKey = (uid: string, chunk: number): string => `${PROGRESS_PREFIX}${uid}/${chunk}`

/** The id of the job whose progress has the key. */
export const uidOfProgressKey = (key: string): string => key.split('/')[1]

/** All keys of accepted batches begin with it. */
export const ACCEPTED_BATCH_PREFIX = 'intake/'

/** A shard's open page: terminal states of its jobs that became durable lately; each of them changes this key. */
export const terminalPageKey = (shardId: number): string => `over/${shardId}`

/** A page that was full; `revision`: that of its last state. */
export const closedPageKey = (shardId: number, revision: number): string => `over/${shardId}/${revision}`

/** The form of the records and the archival epoch; if it is absent, the records are of the first form. */
export const HISTORY_KEY = 'history'

/** The cloud's catalog of machine types. */
export const CATALOG_KEY = 'catalog'

/** A unique name of the whole installation, written when something first needs it. */
export const INSTALLATION_KEY = 'installation'
