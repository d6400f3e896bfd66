/** The status that controllers exchange several times per controller lease, and its codec. */
import { isMap } from '@heathroad/wire'
import { fieldNameCodec } from './field-names.js'

/** A controller's status as sent to its peers. Unless noted otherwise, shards and jobs are those it owns. */
export interface PeerStatus {
	name: string
	incarnation: string
	/** null if it holds no lease */
	leaseId: number | null
	/** Time since its start or its last standstill. */
	uptimeMs: number
	/** Whether it can take more shards. */
	ready: boolean
	/** Job -> number of its running tasks. */
	runningTasks: Record<string, number>
	/** Instance offer without capacity -> time in ms for which controllers should not try it. */
	exhaustedOffers: Record<string, number>
	/** Quarantined jobs: they fail on every machine that runs them. */
	quarantinedJobs: string[]
	/** Team with a guarantee -> its usage. */
	teamUsage: Record<string, { cpus: number; gpus: number }>
	/** Shards for which it receives no heartbeats from most machines. */
	unreachableShards: number[]
	/** Shards with most machines unreachable, including shards that are still in reconciliation after a takeover. */
	partitionedShards: number[]
	/** Shard that it does not own -> number of the shard's machines that recently looked up their owner here. */
	ownerLookups: Record<string, number>
	/** Whether it supports the record format with an archive. */
	supportsArchive: boolean
}

const statusCodec = fieldNameCodec<PeerStatus>({
	incarnation: 'life',
	leaseId: 'grant',
	uptimeMs: 'upMs',
	runningTasks: 'running',
	exhaustedOffers: 'empty',
	quarantinedJobs: 'suspect',
	teamUsage: 'used',
	unreachableShards: 'unheard',
	partitionedShards: 'stranded',
	ownerLookups: 'sought',
	supportsArchive: 'history',
})

/** Encodes a status as a message. */
export const encodePeerStatus = (status: PeerStatus): unknown => statusCodec.encode(status)

/** Decodes a peer's status; null if the message is malformed. */
export const decodePeerStatus = (message: unknown): PeerStatus | null => {
	if (
		!isMap(message) ||
		typeof message.name !== 'string' ||
		!isMap(message.running) ||
		!isMap(message.empty) ||
		!Array.isArray(message.suspect) ||
		!isMap(message.sought) ||
		!isMap(message.used) ||
		!Array.isArray(message.unheard)
	)
		return null
	// During a rolling upgrade, peers of an older version don't report partitioned shards and don't support the archive.
	return { ...{ partitionedShards: [], supportsArchive: false }, ...statusCodec.decode(message) }
}
