/** The fake services behind HTTP sockets on the loopback. */
import * as http from 'node:http'
import type { AddressInfo } from 'node:net'
import {
	type FakeCloud,
	type FakeResponse,
	type FakeStateStore,
	type FakeWorker,
	TokenBucket,
} from '@heathroad/testkit'
import { decode, encode } from '@heathroad/wire'

/** Limits of the fake state service, as the protocol has them. */
export interface StateLimits {
	/** requests a second; bursts of one second */
	rps: number
	/** sets and deletions a second; bursts of one second */
	writeRps: number
	/** mean latency */
	latencyMs: number
}

/** A request with its decoded body. */
export interface FakeRequest {
	method: string
	path: string
	body: unknown
	/** the address that it was sent to */
	host: string
}

/** A server that accepts requests. */
export interface FakeServer {
	port: number
	/** ends the server and its connections */
	close: () => void
	/** bytes of all response bodies so far */
	bytes: () => number
}

/** The fake state service's latency varies around its mean by these factors. */
const LATENCY_FACTOR = { min: 0.5, max: 1.5 }
/** The fake cloud accepts so many times its usual rate. */
const CLOUD_RATE_FACTOR = 2
/** Workers with one address of the third byte each. */
const WORKERS_PER_SUBNET = 250

const bodyOf = (request: http.IncomingMessage): Promise<unknown> =>
	new Promise((resolve, reject) => {
		const chunks: Buffer[] = []
		request.on('data', (chunk: Buffer) => chunks.push(chunk))
		request.on('end', () => resolve(chunks.length === 0 ? undefined : decode(Buffer.concat(chunks))))
		request.on('error', reject)
	})

/** Answers requests over HTTP on a free port. */
export const listenHere = async (
	answer: (request: FakeRequest, reply: (response: FakeResponse) => void) => void,
	host = '127.0.0.1',
): Promise<FakeServer> => {
	let bytes = 0
	const server = http.createServer((request, response) => {
		const reply = ({ status, body }: FakeResponse) => {
			const payload = encode(body ?? {})
			bytes += payload.length
			response.writeHead(status, { 'content-type': 'application/msgpack', 'content-length': payload.length })
			response.end(payload)
		}
		const { method = '', url: path = '' } = request
		const localAddress = request.socket.localAddress ?? ''
		bodyOf(request).then(
			(body) => answer({ method, path, body, host: localAddress }, reply),
			() => response.destroy(),
		)
	})
	await new Promise<void>((done) => server.listen(0, host, done))
	const close = () => {
		server.closeAllConnections()
		server.close()
	}
	return { port: (server.address() as AddressInfo).port, close, bytes: () => bytes }
}

/** Serves the fake state service within its limits; null: without limits and latency. */
export const serveState = async (state: FakeStateStore, limits: StateLimits | null) => {
	const now = () => performance.now()
	const requests = limits === null ? null : new TokenBucket(limits.rps, now)
	const writes = limits === null ? null : new TokenBucket(limits.writeRps, now)
	/** what arrived so far */
	const seen = { requests: 0, refused: 0, changes: 0 }
	const server = await listenHere(({ method, path, body }, reply) => {
		seen.requests++
		const mutations = (body as { apply?: unknown[] } | undefined)?.apply
		const changes = Array.isArray(mutations) ? mutations.length : 0
		if (requests?.take(1) === false || writes?.take(changes) === false) {
			seen.refused++
			return reply({ status: 429, body: { error: 'too many' } })
		}
		seen.changes += changes
		const serve = () => state.handle(method, path, body, reply)
		if (limits === null) return serve()
		const factor = LATENCY_FACTOR.min + Math.random() * (LATENCY_FACTOR.max - LATENCY_FACTOR.min)
		setTimeout(serve, limits.latencyMs * factor)
	})
	return { ...server, seen }
}

/** Serves the fake cloud. */
export const serveCloud = (cloud: FakeCloud, perS: number): Promise<FakeServer> => {
	const calls = new TokenBucket(perS * CLOUD_RATE_FACTOR, () => performance.now())
	return listenHere(({ method, path, body }, reply) => {
		if (!calls.take(1)) return reply({ status: 429, body: {} })
		reply(cloud.handle(method, path, body))
	})
}

/** Serves all agents on one port; each has a loopback address of its own. */
export const serveWorkers = (byHost: ReadonlyMap<string, FakeWorker>): Promise<FakeServer> =>
	listenHere(({ path, body, host }, reply) => {
		const worker = byHost.get(host.replace(/^::ffff:/, ''))
		if (worker === undefined || worker.stopped) return
		reply(worker.handle(path.split('?')[0], body))
	}, '0.0.0.0')

/** The loopback address of the agent with this index. */
export const workerHost = (index: number): string =>
	`127.1.${Math.floor(index / WORKERS_PER_SUBNET)}.${(index % WORKERS_PER_SUBNET) + 1}`
