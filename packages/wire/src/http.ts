import * as http from 'node:http'
import { Data, Effect } from 'effect'
import { decode, encode, MAX_BODY_BYTES } from './codec.js'

/** A request that got no usable answer. It may have been carried out, or may be later. */
export class NoResponse extends Data.TaggedError('NoResponse')<{ readonly reason: string }> {}

export interface HttpResponse {
	status: number
	body: unknown
	retryAfter: number | null
}

export interface HttpClient {
	request(
		address: string,
		method: string,
		path: string,
		body: unknown,
		timeoutMs: number,
	): Effect.Effect<HttpResponse, NoResponse>
}

export interface ClosableHttpClient extends HttpClient {
	/** Lets idle connections go. */
	close(): void
}

/**
 * HTTP client, over kept-alive connections where the same address is called again and again. `sockets` bounds the
 * connections to one address, so that a silent peer cannot use up the process's sockets.
 */
export const createHttpClient = (sockets: number, keepAlive = true): ClosableHttpClient => {
	const agent = new http.Agent({ keepAlive, maxSockets: sockets, maxFreeSockets: 2 })
	return {
		close: () => agent.destroy(),
		request: (address, method, path, body, timeoutMs) =>
			Effect.callback<HttpResponse, NoResponse>((resume) => {
				const colon = address.lastIndexOf(':')
				const payload = body === undefined ? null : encode(body)
				const headers: Record<string, string | number> = payload
					? { 'content-type': 'application/msgpack', 'content-length': payload.length }
					: {}
				let settled = false
				const finish = (result: Effect.Effect<HttpResponse, NoResponse>) => {
					if (settled) return
					settled = true
					clearTimeout(timer)
					resume(result)
				}
				const fail = (reason: string) => finish(Effect.fail(new NoResponse({ reason })))
				const request = http.request(
					{
						agent,
						host: address.slice(0, colon),
						port: Number(address.slice(colon + 1)),
						method,
						path,
						headers,
					},
					(response) => {
						const chunks: Buffer[] = []
						response.on('data', (c: Buffer) => chunks.push(c))
						response.on('error', (e) => fail(e.message))
						response.on('aborted', () => fail('aborted'))
						response.on('end', () => {
							let value: unknown = null
							const raw = chunks.length === 1 ? chunks[0] : Buffer.concat(chunks)
							if (raw.length > 0) {
								try {
									value = decode(raw)
								} catch {
									return fail('the answer is not MessagePack')
								}
							}
							const after = Number(response.headers['retry-after'])
							finish(
								Effect.succeed({
									status: response.statusCode ?? 0,
									body: value,
									retryAfter: Number.isFinite(after) ? after : null,
								}),
							)
						})
					},
				)
				const timer = setTimeout(() => {
					fail('no answer in time')
					request.destroy()
				}, timeoutMs)
				request.on('error', (e) => fail(e.message))
				request.end(payload ?? undefined)
				return Effect.sync(() => {
					settled = true
					clearTimeout(timer)
					request.destroy()
				})
			}),
	}
}

export interface HttpReply {
	status: number
	body?: unknown
	retryAfterS?: number
}

type Headers = Record<string, string | number>

const written = (reply: HttpReply): { headers: Headers; payload: Buffer } => {
	const payload = encode(reply.body ?? {})
	const headers: Headers = { 'content-type': 'application/msgpack', 'content-length': payload.length }
	if (reply.retryAfterS !== undefined) headers['retry-after'] = Math.max(1, Math.ceil(reply.retryAfterS))
	return { headers, payload }
}

export const sendReply = (response: http.ServerResponse, reply: HttpReply): void => {
	if (response.headersSent || response.destroyed) return
	const { headers, payload } = written(reply)
	response.writeHead(reply.status, headers)
	response.end(payload)
}

/**
 * Answers a request whose body is still under way, and closes. Closed with bytes unread, a connection is reset, and
 * the client, which is still writing, never sees the answer: so our side ends first, and what comes meanwhile is
 * dropped, for `limits.ms` and `limits.bytes` at most.
 */
export const sendReplyAndClose = (
	request: http.IncomingMessage,
	reply: HttpReply,
	limits: { ms: number; bytes: number },
): void => {
	const { socket } = request
	if (socket.destroyed) return
	const { headers, payload } = written(reply)
	const lines = Object.entries({ ...headers, connection: 'close' }).map(([k, v]) => `${k}: ${v}\r\n`)
	const head = `HTTP/1.1 ${reply.status} ${http.STATUS_CODES[reply.status]}\r\n${lines.join('')}\r\n`
	// Not through the response: Node would close the connection as soon as that is written.
	socket.end(Buffer.concat([Buffer.from(head), payload]))
	const close = () => socket.destroy()
	const timer = setTimeout(close, limits.ms)
	socket.once('close', () => clearTimeout(timer))
	let dropped = 0
	request.on('data', (c: Buffer) => {
		dropped += c.length
		if (dropped > limits.bytes) close()
	})
	request.once('end', close)
	request.once('error', close)
	request.resume()
}

/** Why a body was not read. */
export type UnreadableBody = 'too long' | 'not MessagePack'

/** Collects a request's body. One that is longer than any interface takes is not waited for. */
export const readBody = (
	request: http.IncomingMessage,
	done: (body: unknown, unread: UnreadableBody | null) => void,
): void => {
	if (Number(request.headers['content-length'] ?? 0) > MAX_BODY_BYTES) return done(null, 'too long')
	const chunks: Buffer[] = []
	let size = 0
	let over = false
	request.on('data', (c: Buffer) => {
		size += c.length
		if (size <= MAX_BODY_BYTES) chunks.push(c)
		else if (!over) {
			// The rest is not waited for: a body that never ends must not hold a socket.
			over = true
			chunks.length = 0
			done(null, 'too long')
		}
	})
	request.on('end', () => {
		if (over) return
		// A cancellation has nothing to say in its body and may leave it out.
		if (size === 0) return done(undefined, null)
		// Only the decoding is guarded: an error of the handler's own is no fault of the client's.
		let body: unknown
		try {
			body = decode(chunks.length === 1 ? chunks[0] : Buffer.concat(chunks))
		} catch {
			return done(null, 'not MessagePack')
		}
		done(body, null)
	})
}
