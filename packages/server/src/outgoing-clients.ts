/** The clients and the write queue through which one controller calls the state service, the cloud, peers and machines. */
import { CloudClient } from '@heathroad/cloud'
import type { Config } from '@heathroad/config'
import { createStoreClient, type StoreClient, WriteQueue } from '@heathroad/store'
import { createHttpClient, type HttpClient } from '@heathroad/wire'

/** Kept connections to one host of the services and peers: this fraction of the sockets, but not fewer than the minimum. */
const SOCKETS_PER_KEPT_CONNECTION = 16
const MIN_KEPT_CONNECTIONS = 4
/** Connections to one machine; they are not kept, see `workerClient`. */
const CONNECTIONS_PER_WORKER = 2
/** Time limit of a call to the state service in controller leases: a lease has room for three attempts to renew it. */
const STORE_TIMEOUT_LEASES = 0.3
/** Time limit of a call to the cloud in controller leases. */
const CLOUD_TIMEOUT_LEASES = 2
/** Bytes of one transaction at most. */
const MAX_TRANSACTION_BYTES = 48 * 1024

/** Everything through which a controller calls others. */
export interface OutgoingClients {
	/** for the state service, the cloud and peers */
	httpClient: HttpClient
	/** for machines, which are called once in a while each: connections kept to hundreds would use up the sockets */
	workerClient: HttpClient
	storeClient: StoreClient
	writeQueue: WriteQueue
	cloud: CloudClient
}

/**
 * Creates a controller's clients.
 *
 * @param now steady clock, in ms
 * @param replacement client for all calls, as simulations have it
 * @param onStoreContact called after each call to the state service with whether it answered
 */
export const createOutgoingClients = (
	{ settings, limits }: Config,
	now: () => number,
	replacement: HttpClient | undefined,
	onStoreContact: (ok: boolean) => void,
): OutgoingClients => {
	const keptConnections = Math.max(
		MIN_KEPT_CONNECTIONS,
		Math.floor(limits.maxSockets / SOCKETS_PER_KEPT_CONNECTION),
	)
	const httpClient = replacement ?? createHttpClient(keptConnections)
	const workerClient = replacement ?? createHttpClient(CONNECTIONS_PER_WORKER, false)
	const storeTimeoutMs = limits.controllerLeaseMs * STORE_TIMEOUT_LEASES
	const storeClient = createStoreClient(httpClient, settings.services.state, storeTimeoutMs, onStoreContact)
	const { write_rps, txn_ops } = settings.deployment.state
	const writeLimits = {
		writesPerS: limits.writesPerS,
		burst: write_rps,
		maxOperations: txn_ops,
		maxBytes: MAX_TRANSACTION_BYTES,
	}
	const writeQueue = new WriteQueue(storeClient, writeLimits, now)
	const cloudTimeoutMs = limits.controllerLeaseMs * CLOUD_TIMEOUT_LEASES
	const cloud = new CloudClient(
		httpClient,
		settings.services.cloud,
		limits.cloudCallsPerS,
		cloudTimeoutMs,
		now,
	)
	return { httpClient, workerClient, storeClient, writeQueue, cloud }
}
