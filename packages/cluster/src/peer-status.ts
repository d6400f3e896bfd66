/** The status that controllers send each other several times within the duration of a lease, and its message. */
import { isMap } from '@heathroad/wire'
import { fieldNameCodec } from './field-names.js'

/** A controller's status as it tells its peers. Shards and jobs are those that it owns. */
export interface PeerStatus {
	name: string
	incarnation: string
	/** null: it holds no lease */
	leaseId: number | null
	/** For how long it has run without standing still. */
	uptimeMs: number
	/** May it own more shards? */
	ready: boolean
	/** Job -> how many of its tasks run. */
	runningTasks: Record<string, number>
	/** Instance offer without capacity -> ms for which no controller need try it. */
	exhaustedOffers: Record<string, number>
	/** Jobs that fail wherever they are tried. */
	quarantinedJobs: string[]
	/** Team with a guarantee -> what it uses. */
	teamUsage: Record<string, { cpus: number; gpus: number }>
	/** Shards most of whose machines it receives no heartbeats from. */
	unreachableShards: number[]
	/** Shards most of whose machines are unreachable, including shards that are being rebuilt after a takeover. */
	partitionedShards: number[]
	/** Shard that it does not own -> machines of the shard that lately asked it for their owner. */
	ownerLookups: Record<string, number>
	/** Can it read the format of the records that has an archive? */
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
	// Peers of an older version, during a rolling restart, send no partitioned shards and have no archive.
	return { ...{ partitionedShards: [], supportsArchive: false }, ...statusCodec.decode(message) }
}
