/** A stand-in for the client library's pool of addresses: its transports are made by the test. */
import type { Transport } from '../packages/client/src/transport.js'
import type { TransportPool } from '../packages/client/src/transport-pool.js'

/** What a watcher needs of an address. */
export type WatchTransport = Pick<Transport, 'watch'> & { readonly address?: string }

/** A pool that rotates over the given transports, beginning at an index. */
export const poolOf = (transports: readonly WatchTransport[], first = 0): TransportPool => {
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
