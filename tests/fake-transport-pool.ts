/** A fake of the client library's transport pool, with transports that the test provides. */
import type { Transport } from '../packages/client/src/transport.js'
import type { TransportPool } from '../packages/client/src/transport-pool.js'

/** The part of a transport that a watcher uses. */
export type WatchTransport = Pick<Transport, 'watch'> & { readonly address?: string }

/** A pool that rotates over the given transports, starting at index `first`. */
export const fakeTransportPool = (transports: readonly WatchTransport[], first = 0): TransportPool => {
	let next = first
	const pool = {
		choose: async () => ({
			transport: transports[next % transports.length],
			candidateCount: transports.length,
		}),
		advance: () => {
			next++
		},
	}
	return pool as unknown as TransportPool
}
