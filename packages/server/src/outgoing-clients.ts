/** The clients and the write queue with which a controller calls the state service, the cloud, peers and machines. */
import { CloudClient } from '@heathroad/cloud'
import type { Config } from '@heathroad/config'
import { createStoreClient, type StoreClient, WriteQueue } from '@heathroad/store'
import { createHttpClient, type HttpClient } from '@heathroad/wire'

/** Keep-alive connections to one service or peer: one in this many sockets, but at least the minimum. */
const SOCKETS_PER_KEEP_ALIVE_CONNECTION = 16
const MIN_KEEP_ALIVE_CONNECTIONS = 4
/** Maximum number of connections to one machine; they are not kept alive, see `machineClient`. */
const CONNECTIONS_PER_MACHINE = 2
/** Timeout of a call to the state service in controller leases: a lease has time for three attempts to renew it. */
const STORE_TIMEOUT_LEASES = 0.3
/** Timeout of a call to the cloud in controller leases. */
const CLOUD_TIMEOUT_LEASES = 2
/** Maximum size of one transaction in bytes. */
const MAX_TRANSACTION_BYTES = 48 * 1024

/** The clients for a controller's outgoing calls. */
export interface OutgoingClients {
	/** for the state service, the cloud and peers */
	httpClient: HttpClient
	/** for machines, each of which is called rarely: keep-alive connections to hundreds would use up the sockets */
	machineClient: HttpClient
	storeClient: StoreClient
	writeQueue: WriteQueue
	cloud: CloudClient
}

/**
 * Creates a controller's clients.
 *
 * @param now monotonic clock, in ms
 * @param replacement client used for all calls, such as the simulation's
 * @param onStoreContact called after each call to the state service; `ok`: whether it responded
 */
export const createOutgoingClients = (
	{ settings, limits }: Config,
	now: () => number,
	replacement: HttpClient | undefined,
	onStoreContact: (ok: boolean) => void,
): OutgoingClients => {
	const keepAliveConnections = Math.max(
		MIN_KEEP_ALIVE_CONNECTIONS,
		Math.floor(limits.maxSockets / SOCKETS_PER_KEEP_ALIVE_CONNECTION),
	)
	const httpClient = replacement ?? createHttpClient(keepAliveConnections)
	const machineClient = replacement ?? createHttpClient(CONNECTIONS_PER_MACHINE, false)
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
	return { httpClient, machineClient: machineClient, storeClient, writeQueue, cloud }
}
