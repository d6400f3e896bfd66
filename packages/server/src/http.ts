import * as http from 'node:http'
import { type Reply, readBody, sendReply } from '@heathroad/wire'

export interface Call {
	method: string
	path: string
	body: unknown
}

export type Tell = (reply: Reply) => void
export type Handler = (call: Call, reply: Tell) => void

export interface ListenerLimits {
	/** silent connections are closed after this long */
	idleMs: number
	/** a request must be complete after this long */
	requestMs: number
	sockets: number
}

/** One listening address. Bodies are read in full, within limits, before the handler sees a request. */
export const listen = (address: string, limits: ListenerLimits, handler: Handler): Promise<http.Server> => {
	const server = http.createServer(
		{ connectionsCheckingInterval: limits.requestMs / 4, noDelay: true },
		(request, response) => {
			const path = (request.url ?? '/').split('?', 1)[0]
			const method = request.method ?? 'GET'
			const reply: Tell = (r) => sendReply(response, r)
			response.on('error', () => {})
			if (method === 'GET' || method === 'HEAD') {
				request.resume()
				handler({ method, path, body: undefined }, reply)
				return
			}
			readBody(request, (body, ok) => {
				if (ok) return handler({ method, path, body }, reply)
				response.setHeader('connection', 'close')
				reply({ status: 400, body: { error: 'the body is not MessagePack of at most 64 KiB' } })
				response.on('finish', () => request.destroy())
			})
		},
	)
	server.keepAliveTimeout = limits.idleMs
	server.requestTimeout = limits.requestMs
	server.headersTimeout = limits.requestMs
	server.maxConnections = limits.sockets
	const colon = address.lastIndexOf(':')
	return new Promise((resolve, reject) => {
		server.once('error', reject)
		server.listen(
			{ host: address.slice(0, colon), port: Number(address.slice(colon + 1)), backlog: 511 },
			() => resolve(server),
		)
	})
}
