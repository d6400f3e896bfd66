/** HTTP client for MessagePack messages. */
import * as http from 'node:http'
import { Data, Effect } from 'effect'
import { CONTENT_TYPE, decode, encode } from './codec.js'

/** A request got no usable response. It may have been executed, or may be executed later. */
export class NoResponse extends Data.TaggedError('NoResponse')<{ readonly reason: string }> {}

/** A response, with any status. */
export interface HttpResponse {
	status: number
	/** decoded body; null: empty */
	body: unknown
	/** value of the header `retry-after`, in seconds; null: absent or not a number */
	retryAfterS: number | null
}

/** Sends requests; replaced by a fake in the simulation. */
export interface HttpClient {
	/**
	 * Sends one request and waits up to `timeoutMs` for its whole response. `address` is IP:PORT; a `body` of `undefined`
	 * sends none. Interrupting the effect closes the connection.
	 */
	request(
		address: string,
		method: string,
		path: string,
		body: unknown,
		timeoutMs: number,
	): Effect.Effect<HttpResponse, NoResponse>
}

/** A client that owns its connections. */
export interface ClosableHttpClient extends HttpClient {
	/** Closes all connections. */
	close(): void
}

/** Maximum number of idle keep-alive connections to one address. */
const MAX_IDLE_SOCKETS = 2

type Outcome = Effect.Effect<HttpResponse, NoResponse>

const noResponse = (reason: string): Outcome => Effect.fail(new NoResponse({ reason }))

const readRetryAfter = (response: http.IncomingMessage): number | null => {
	const seconds = Number(response.headers['retry-after'])
	return Number.isFinite(seconds) ? seconds : null
}

/** The outcome of a request whose response has arrived completely. */
const decodeResponse = (response: http.IncomingMessage, chunks: readonly Buffer[]): Outcome => {
	const bytes = chunks.length === 1 ? chunks[0] : Buffer.concat(chunks)
	let body: unknown = null
	if (bytes.length > 0) {
		try {
			body = decode(bytes)
		} catch {
			return noResponse('the answer is not MessagePack')
		}
	}
	return Effect.succeed({
		status: response.statusCode ?? 0,
		body,
		retryAfterS: readRetryAfter(response),
	})
}

const collectResponse = (response: http.IncomingMessage, settle: (outcome: Outcome) => void): void => {
	const chunks: Buffer[] = []
	response.on('data', (chunk: Buffer) => chunks.push(chunk))
	response.on('error', (error) => settle(noResponse(error.message)))
	response.on('aborted', () => settle(noResponse('aborted')))
	response.on('end', () => settle(decodeResponse(response, chunks)))
}

const requestOptions = (
	agent: http.Agent,
	address: string,
	method: string,
	path: string,
	payload: Buffer | null,
): http.RequestOptions => {
	const portSeparator = address.lastIndexOf(':')
	return {
		agent,
		host: address.slice(0, portSeparator),
		port: Number(address.slice(portSeparator + 1)),
		method,
		path,
		headers: payload ? { 'content-type': CONTENT_TYPE, 'content-length': payload.length } : {},
	}
}

/**
 * Creates a client, by default with keep-alive connections. `socketsPerAddress` limits the connections to one address,
 * so that an unresponsive peer cannot exhaust the process's sockets.
 */
export const createHttpClient = (socketsPerAddress: number, keepAlive = true): ClosableHttpClient => {
	const agent = new http.Agent({ keepAlive, maxSockets: socketsPerAddress, maxFreeSockets: MAX_IDLE_SOCKETS })
	return {
		close: () => agent.destroy(),
		request: (address, method, path, body, timeoutMs) =>
			Effect.callback<HttpResponse, NoResponse>((resume) => {
				const payload = body === undefined ? null : encode(body)
				let settled = false
				const settle = (outcome: Outcome) => {
					if (settled) return
					settled = true
					clearTimeout(timer)
					resume(outcome)
				}
				const request = http.request(requestOptions(agent, address, method, path, payload), (response) =>
					collectResponse(response, settle),
				)
				const timer = setTimeout(() => {
					settle(noResponse('no answer in time'))
					request.destroy()
				}, timeoutMs)
				request.on('error', (error) => settle(noResponse(error.message)))
				request.end(payload ?? undefined)
				return Effect.sync(() => {
					settled = true
					clearTimeout(timer)
					request.destroy()
				})
			}),
	}
}
