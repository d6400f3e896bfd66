import * as http from 'node:http'
import type { Socket } from 'node:net'
import { type HttpReply, MAX_BODY_BYTES, readBody, sendReply, sendReplyAndClose } from '@heathroad/wire'

export interface HttpRequest {
	method: string
	path: string
	body: unknown
}

export type Respond = (reply: HttpReply) => void
export type RequestHandler = (request: HttpRequest, respond: Respond) => void

export interface ListenerLimits {
	/** silent connections are closed after this long */
	idleMs: number
	/** a request must be complete after this long */
	requestMs: number
	sockets: number
	/** connections on which such a path was asked make room for the others when there are many */
	yields?: (path: string) => boolean
}

/** Of a body that is too long so many times the limit is read and dropped, so that its sender sees the answer. */
const DROPPED_BODIES = 64

/**
 * Users' idle connections must not take the sockets that workers need: a refused report costs a worker a second, some of
 * them a lease. From three quarters of the sockets on, users are answered and let go; from nine tenths on, the
 * connection that has been idle longest goes for each that comes.
 */
class ConnectionLimiter {
	private open = 0
	/** idle connections that make room, the longest idle first */
	private readonly idle = new Set<Socket>()

	constructor(private readonly limits: ListenerLimits) {}

	came(socket: Socket): void {
		this.open++
		socket.once('close', () => {
			this.open--
			this.idle.delete(socket)
		})
		const [oldest] = this.idle
		if (this.open > this.limits.sockets * 0.9 && oldest !== undefined) oldest.destroy()
	}

	asked(path: string, socket: Socket, response: http.ServerResponse): void {
		this.idle.delete(socket)
		if (this.limits.yields?.(path) !== true) return
		if (this.open > this.limits.sockets * 0.75) response.setHeader('connection', 'close')
		response.once('finish', () => {
			if (!socket.destroyed) this.idle.add(socket)
		})
	}
}

/** One listening address. Bodies are read in full, within limits, before the handler sees a request. */
export const startHttpServer = (
	address: string,
	limits: ListenerLimits,
	handler: RequestHandler,
): Promise<http.Server> => {
	const crowd = new ConnectionLimiter(limits)
	const server = http.createServer(
		{ connectionsCheckingInterval: limits.requestMs / 4, noDelay: true },
		(request, response) => {
			const path = (request.url ?? '/').split('?', 1)[0]
			const method = request.method ?? 'GET'
			crowd.asked(path, request.socket, response)
			const respond: Respond = (r) => sendReply(response, r)
			response.on('error', () => {})
			if (method === 'GET' || method === 'HEAD') {
				request.resume()
				handler({ method, path, body: undefined }, respond)
				return
			}
			readBody(request, (body, unread) => {
				if (unread === null) return handler({ method, path, body }, respond)
				if (unread === 'not MessagePack')
					return respond({ status: 400, body: { error: 'the body is not MessagePack' } })
				const error = `the body is longer than ${MAX_BODY_BYTES / 1024} KiB`
				const drop = { ms: limits.requestMs, bytes: MAX_BODY_BYTES * DROPPED_BODIES }
				sendReplyAndClose(request, { status: 400, body: { error } }, drop)
			})
		},
	)
	server.on('connection', (socket) => crowd.came(socket))
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
