/** HTTP servers on the loopback interface for the fake services. */
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

/** Limits of the fake state service, as in the protocol. */
export interface StateLimits {
	/** requests a second, with bursts of up to one second's worth */
	rps: number
	/** sets and deletions a second, with bursts of up to one second's worth */
	writeRps: number
	/** mean latency in ms */
	latencyMs: number
}

/** A request with its decoded body. */
export interface FakeRequest {
	method: string
	path: string
	body: unknown
	/** local address to which it was sent */
	host: string
}

/** A running HTTP server. */
export interface FakeServer {
	port: number
	/** closes the server and its connections */
	close: () => void
	/** returns the bytes of all response bodies so far */
	bytes: () => number
}

/** Range of the fake state service's latency, as factors of its mean. */
const LATENCY_FACTOR = { min: 0.5, max: 1.5 }
/** The fake cloud accepts this multiple of its nominal rate. */
const CLOUD_RATE_FACTOR = 2
/** Number of agents that share the third byte of their loopback addresses. */
const WORKERS_PER_SUBNET = 250

const bodyOf = (request: http.IncomingMessage): Promise<unknown> =>
	new Promise((resolve, reject) => {
		const chunks: Buffer[] = []
		request.on('data', (chunk: Buffer) => chunks.push(chunk))
		request.on('end', () => resolve(chunks.length === 0 ? undefined : decode(Buffer.concat(chunks))))
		request.on('error', reject)
	})

/** Starts an HTTP server on a free port; `answer` handles the requests. */
export const startFakeServer = async (
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

/** Serves the fake state service with these limits; null: without limits and latency. */
export const serveState = async (state: FakeStateStore, limits: StateLimits | null) => {
	const now = () => performance.now()
	const requests = limits === null ? null : new TokenBucket(limits.rps, now)
	const writes = limits === null ? null : new TokenBucket(limits.writeRps, now)
	/** numbers of requests and changes so far */
	const counts = { requests: 0, refused: 0, changes: 0 }
	const server = await startFakeServer(({ method, path, body }, reply) => {
		counts.requests++
		const mutations = (body as { apply?: unknown[] } | undefined)?.apply
		const changes = Array.isArray(mutations) ? mutations.length : 0
		if (requests?.take(1) === false || writes?.take(changes) === false) {
			counts.refused++
			return reply({ status: 429, body: { error: 'too many' } })
		}
		counts.changes += changes
		const serve = () => state.handle(method, path, body, reply)
		if (limits === null) return serve()
		const factor = LATENCY_FACTOR.min + Math.random() * (LATENCY_FACTOR.max - LATENCY_FACTOR.min)
		setTimeout(serve, limits.latencyMs * factor)
	})
	return { ...server, counts }
}

/** Serves the fake cloud. `perS`: its nominal rate in calls a second. */
export const serveCloud = (cloud: FakeCloud, perS: number): Promise<FakeServer> => {
	const calls = new TokenBucket(perS * CLOUD_RATE_FACTOR, () => performance.now())
	return startFakeServer(({ method, path, body }, reply) => {
		if (!calls.take(1)) return reply({ status: 429, body: {} })
		reply(cloud.handle(method, path, body))
	})
}

/** Serves all agents on one port; each agent has its own loopback address. */
export const serveWorkers = (byHost: ReadonlyMap<string, FakeWorker>): Promise<FakeServer> =>
	startFakeServer(({ path, body, host }, reply) => {
		const worker = byHost.get(host.replace(/^::ffff:/, ''))
		if (worker === undefined || worker.stopped) return
		reply(worker.handle(path.split('?')[0], body))
	}, '0.0.0.0')

/** Returns the loopback address of the agent with this index. */
export const workerHost = (index: number): string =>
	`127.1.${Math.floor(index / WORKERS_PER_SUBNET)}.${(index % WORKERS_PER_SUBNET) + 1}`
