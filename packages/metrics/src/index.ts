/** Serves the metrics page for Prometheus at a separate address. */

import * as http from 'node:http'
import type { AddressInfo } from 'node:net'
import { ControllerGauges, type MetricsSource } from './gauges.js'

export type { MetricsSource } from './gauges.js'

const PATH = '/metrics'

/** A scraper needs one connection; a few more are allowed for other clients. */
const MAX_CONNECTIONS = 8

const listenAt = (server: http.Server, address: string): Promise<void> => {
	const colon = address.lastIndexOf(':')
	return new Promise((resolve, reject) => {
		server.once('error', reject)
		server.listen(Number(address.slice(colon + 1)), address.slice(0, colon), () => resolve())
	})
}

/**
 * Serves the page at an address, as IP:PORT; values are computed only on request. Rejects if it cannot listen at the
 * address. The server does not keep the process alive.
 */
export const serveMetrics = async (
	listen: string,
	source: MetricsSource,
): Promise<{ close(): void; port: number }> => {
	const gauges = new ControllerGauges(source)
	const server = http.createServer((request, response) => {
		if (request.method !== 'GET' || request.url?.split('?', 1)[0] !== PATH) {
			response.writeHead(404).end()
			return
		}
		void gauges.render().then((text) => {
			response.writeHead(200, { 'content-type': gauges.contentType }).end(text)
		})
	})
	server.maxConnections = MAX_CONNECTIONS
	server.unref()
	await listenAt(server, listen)
	const { port } = server.address() as AddressInfo
	return {
		port,
		close: () => {
			server.close()
			server.closeAllConnections()
		},
	}
}
