/** Server side of HTTP with MessagePack messages: reads request bodies and writes replies. */
import * as http from 'node:http'
import { CONTENT_TYPE, decode, encode, MAX_BODY_BYTES } from './codec.js'

/** A reply to a request. */
export interface HttpReply {
	status: number
	/** undefined: an empty map is sent */
	body?: unknown
	/** time after which the client should retry, in seconds; sent as a whole number of at least 1 */
	retryAfterS?: number
}

interface EncodedReply {
	headers: Record<string, string | number>
	payload: Buffer
}

const encodeReply = (reply: HttpReply): EncodedReply => {
	const payload = encode(reply.body ?? {})
	const headers: EncodedReply['headers'] = {
		'content-type': CONTENT_TYPE,
		'content-length': payload.length,
	}
	if (reply.retryAfterS !== undefined) headers['retry-after'] = Math.max(1, Math.ceil(reply.retryAfterS))
	return { headers, payload }
}

/** Sends a reply, unless one was sent already or the connection is closed. */
export const sendReply = (response: http.ServerResponse, reply: HttpReply): void => {
	if (response.headersSent || response.destroyed) return
	const { headers, payload } = encodeReply(reply)
	response.writeHead(reply.status, headers)
	response.end(payload)
}

/** Serializes a reply with the header `connection: close`. */
const serializeClosingReply = (reply: HttpReply): Buffer => {
	const { headers, payload } = encodeReply(reply)
	const headerLines = Object.entries({ ...headers, connection: 'close' }).map(
		([name, value]) => `${name}: ${value}\r\n`,
	)
	const head = `HTTP/1.1 ${reply.status} ${http.STATUS_CODES[reply.status]}\r\n${headerLines.join('')}\r\n`
	return Buffer.concat([Buffer.from(head), payload])
}

/**
 * Replies to a request whose body is still being received, and closes the connection. Closing with unread bytes would
 * reset the connection, and the client, which is still writing, would never receive the reply. So only the sending side
 * is closed at first, and further bytes are discarded, for up to `limits.ms` and `limits.bytes`.
 */
export const sendReplyAndClose = (
	request: http.IncomingMessage,
	reply: HttpReply,
	limits: { ms: number; bytes: number },
): void => {
	const { socket } = request
	if (socket.destroyed) return
	// Written to the socket: through the response object, Node would close the connection right after the write.
	socket.end(serializeClosingReply(reply))
	const close = () => socket.destroy()
	const timer = setTimeout(close, limits.ms)
	socket.once('close', () => clearTimeout(timer))
	let discardedBytes = 0
	request.on('data', (chunk: Buffer) => {
		discardedBytes += chunk.length
		if (discardedBytes > limits.bytes) close()
	})
	request.once('end', close)
	request.once('error', close)
	request.resume()
}

/** Why a request body cannot be read. */
export type UnreadableBody = 'too long' | 'not MessagePack'

/**
 * Collects and decodes a request's body, then calls `onBody` once: with the body, `undefined` if it is empty, or with
 * the reason why it cannot be read. A body that exceeds the limit is reported without waiting for the rest of it.
 */
export const readBody = (
	request: http.IncomingMessage,
	onBody: (body: unknown, unreadable: UnreadableBody | null) => void,
): void => {
	if (Number(request.headers['content-length'] ?? 0) > MAX_BODY_BYTES) {
		onBody(null, 'too long')
		return
	}
	const chunks: Buffer[] = []
	let receivedBytes = 0
	let tooLong = false
	request.on('data', (chunk: Buffer) => {
		receivedBytes += chunk.length
		if (receivedBytes <= MAX_BODY_BYTES) {
			chunks.push(chunk)
			return
		}
		if (tooLong) return
		// Reported immediately: an endless body must not occupy a socket.
		tooLong = true
		chunks.length = 0
		onBody(null, 'too long')
	})
	request.on('end', () => {
		if (tooLong) return
		// A cancellation needs no body and may omit it.
		if (receivedBytes === 0) return onBody(undefined, null)
		// Only decoding errors are caught: an error thrown by the handler is not the client's fault.
		let body: unknown
		try {
			body = decode(chunks.length === 1 ? chunks[0] : Buffer.concat(chunks))
		} catch {
			return onBody(null, 'not MessagePack')
		}
		onBody(body, null)
	})
}
