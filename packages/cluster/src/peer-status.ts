/** What a controller tells its peers of itself, several times within the time of a lease, and the message that carries it. */
import { isMap } from '@heathroad/wire'
import { fieldNameCodec } from './field-names.js'

/** A controller's status as it tells its peers. Shards and jobs are those that it owns. */
export interface PeerStatus {
	name: string
	incarnation: string
	leaseId: number | null
	uptimeMs: number
	ready: boolean
	/** tasks running, by job, of the parts it owns */
	runningTasks: Record<string, number>
	/** offers of the cloud found empty: ms for which nobody need ask */
	exhaustedOffers: Record<string, number>
	/** jobs of the parts it owns that fail wherever they are tried */
	quarantinedJobs: string[]
	/** what teams with a guarantee use in the parts it owns */
	teamUsage: Record<string, { cpus: number; gpus: number }>
	/** parts it owns most of whose machines it does not hear */
	unreachableShards: number[]
	/** parts it owns most of whose machines are out of its reach, those being rebuilt included */
	partitionedShards: number[]
	/** machines of parts it does not own that reported to it lately, by part */
	ownerLookups: Record<string, number>
	/** may the records move to a form that archives jobs which are over? */
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

/** The message that carries a status. */
export const encodePeerStatus = (status: PeerStatus): unknown => statusCodec.encode(status)

/** Reads a peer's status; null: the message is malformed. */
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
	// Peers of an older version, during a rolling restart, say nothing of partitioned shards and know no archive.
	return { ...{ partitionedShards: [], supportsArchive: false }, ...statusCodec.decode(message) }
}
