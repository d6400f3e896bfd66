/** HTTP listener that reads whole requests within limits and keeps sockets free for machines' heartbeats. */
import * as http from 'node:http'
import type { Socket } from 'node:net'
import { type HttpReply, MAX_BODY_BYTES, readBody, sendReply, sendReplyAndClose } from '@heathroad/wire'

/** A request with its decoded body, if it has one. */
export interface HttpRequest {
	method: string
	path: string
	body: unknown
}

/** Sends the reply to one request; must be called once. */
export type Respond = (reply: HttpReply) => void
/** Handles one request and responds to it synchronously or later. */
export type RequestHandler = (request: HttpRequest, respond: Respond) => void

/** Limits of one listening address. */
export interface ListenerLimits {
	/** idle connections are closed after this time */
	idleTimeoutMs: number
	/** time within which a request must be complete */
	requestTimeoutMs: number
	/** maximum number of open connections */
	maxSockets: number
	/** matches paths whose connections are closed first when there are many */
	isLowPriorityPath?: (path: string) => boolean
}

/** Of an oversized body, up to this many times the size limit is discarded, so that the sender gets the reply. */
const DISCARD_LIMIT_FACTOR = 64
/** Share of the sockets in use from which connections of low-priority paths are closed after their response. */
const CLOSE_AFTER_RESPONSE_SHARE = 0.75
/** Share of the sockets in use from which each new connection closes the one that has been idle longest. */
const EVICT_IDLE_SHARE = 0.9
/** Maximum number of connections that wait to be accepted by the process. */
const LISTEN_BACKLOG = 511

/**
 * Keeps users' idle connections from using up the sockets that machines need: a refused heartbeat costs a machine a
 * second, and some machines their lease. Above `CLOSE_AFTER_RESPONSE_SHARE` of the sockets, users' connections are closed
 * after each response; above `EVICT_IDLE_SHARE`, each new connection evicts the one that has been idle longest.
 */
class ConnectionLimiter {
	private openCount = 0
	/** idle connections of low-priority paths, longest idle first */
	private readonly idleSockets = new Set<Socket>()

	constructor(private readonly limits: ListenerLimits) {}

	onConnection(socket: Socket): void {
		this.openCount++
		socket.once('close', () => {
			this.openCount--
			this.idleSockets.delete(socket)
		})
		const [longestIdle] = this.idleSockets
		if (this.openCount > this.limits.maxSockets * EVICT_IDLE_SHARE && longestIdle !== undefined)
			longestIdle.destroy()
	}

	onRequest(path: string, socket: Socket, response: http.ServerResponse): void {
		this.idleSockets.delete(socket)
		if (this.limits.isLowPriorityPath?.(path) !== true) return
		if (this.openCount > this.limits.maxSockets * CLOSE_AFTER_RESPONSE_SHARE)
			response.setHeader('connection', 'close')
		response.once('finish', () => {
			if (!socket.destroyed) this.idleSockets.add(socket)
		})
	}
}

/** Reads the request's body, if its method has one, and calls the handler, or responds with 400. */
const readRequest = (
	request: http.IncomingMessage,
	{ method, path }: { method: string; path: string },
	limits: ListenerLimits,
	handler: RequestHandler,
	respond: Respond,
): void => {
	if (method === 'GET' || method === 'HEAD') {
		request.resume()
		handler({ method, path, body: undefined }, respond)
		return
	}
	readBody(request, (body, failure) => {
		if (failure === null) return handler({ method, path, body }, respond)
		if (failure === 'not MessagePack')
			return respond({ status: 400, body: { error: 'the body is not MessagePack' } })
		const error = `the body is longer than ${MAX_BODY_BYTES / 1024} KiB`
		const discard = { ms: limits.requestTimeoutMs, bytes: MAX_BODY_BYTES * DISCARD_LIMIT_FACTOR }
		sendReplyAndClose(request, { status: 400, body: { error } }, discard)
	})
}

const listen = (server: http.Server, address: string): Promise<http.Server> => {
	const colon = address.lastIndexOf(':')
	const host = address.slice(0, colon)
	const port = Number(address.slice(colon + 1))
	return new Promise((resolve, reject) => {
		server.once('error', reject)
		server.listen({ host, port, backlog: LISTEN_BACKLOG }, () => resolve(server))
	})
}

/**
 * Listens on one address (`host:port`). The handler is called once a request's whole body has been read, within limits.
 * Rejects if the address cannot be listened on.
 */
export const startHttpServer = (
	address: string,
	limits: ListenerLimits,
	handler: RequestHandler,
): Promise<http.Server> => {
	const connectionLimiter = new ConnectionLimiter(limits)
	const server = http.createServer(
		{ connectionsCheckingInterval: limits.requestTimeoutMs / 4, noDelay: true },
		(request, response) => {
			const path = (request.url ?? '/').split('?', 1)[0]
			const method = request.method ?? 'GET'
			connectionLimiter.onRequest(path, request.socket, response)
			// An error of the response means that the client has disconnected.
			response.on('error', () => {})
			readRequest(request, { method, path }, limits, handler, (reply) => sendReply(response, reply))
		},
	)
	server.on('connection', (socket) => connectionLimiter.onConnection(socket))
	server.keepAliveTimeout = limits.idleTimeoutMs
	server.requestTimeout = limits.requestTimeoutMs
	server.headersTimeout = limits.requestTimeoutMs
	server.maxConnections = limits.maxSockets
	return listen(server, address)
}
