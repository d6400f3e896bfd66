/** Kinds of records, by the first segment of their keys as they are stored (see the glossary for the terms). */

/** The first segment of records' keys. */
export const RecordKind = {
	/** the owner of a shard */
	shardOwner: 'part',
	/** an open job, or a terminal state of the first format */
	job: 'job',
	/** progress of a job that its own record does not contain */
	progress: 'done',
	/** jobs accepted together */
	acceptedBatch: 'intake',
	/** terminal states of a shard's jobs */
	terminalPage: 'over',
	/** jobs that admission checks released */
	releasePage: 'released',
	/** machines rented or adopted together */
	machineGroup: 'fleet',
} as const

/** Returns the key prefix of a kind of records. */
export const prefixOf = (kind: (typeof RecordKind)[keyof typeof RecordKind]): string => `${kind}/`
