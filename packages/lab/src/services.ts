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

/** What a stand-in of the state service takes, as the protocol has it. */
export interface StateLimits {
	/** requests, and sets and deletions, a second; bursts of one second */
	rps: number
	writeRps: number
	latencyMs: number
}

const bodyOf = (request: http.IncomingMessage): Promise<unknown> =>
	new Promise((done, no) => {
		const chunks: Buffer[] = []
		request.on('data', (c: Buffer) => chunks.push(c))
		request.on('end', () => done(chunks.length === 0 ? undefined : decode(Buffer.concat(chunks))))
		request.on('error', no)
	})

/** Answers over HTTP on the loopback, on a port of its own choosing. */
export const listenHere = async (
	answer: (
		request: { method: string; path: string; body: unknown; host: string },
		reply: (r: FakeResponse) => void,
	) => void,
	host = '127.0.0.1',
): Promise<{ port: number; close: () => void; bytes: () => number }> => {
	let bytes = 0
	const server = http.createServer((request, response) => {
		const reply = ({ status, body }: FakeResponse) => {
			const payload = encode(body ?? {})
			bytes += payload.length
			response.writeHead(status, { 'content-type': 'application/msgpack', 'content-length': payload.length })
			response.end(payload)
		}
		const to = request.socket.localAddress ?? ''
		bodyOf(request).then(
			(body) => answer({ method: request.method ?? '', path: request.url ?? '', body, host: to }, reply),
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

/** The state service behind a socket, within its limits. */
export const serveState = async (state: FakeStateStore, limits: StateLimits | null) => {
	const requests = limits === null ? null : new TokenBucket(limits.rps, () => performance.now())
	const writes = limits === null ? null : new TokenBucket(limits.writeRps, () => performance.now())
	const seen = { requests: 0, refused: 0, changes: 0 }
	const face = await listenHere(({ method, path, body }, reply) => {
		seen.requests++
		const apply = (body as { apply?: unknown[] } | undefined)?.apply
		const changes = Array.isArray(apply) ? apply.length : 0
		if (requests?.take(1) === false || writes?.take(changes) === false) {
			seen.refused++
			return reply({ status: 429, body: { error: 'too many' } })
		}
		seen.changes += changes
		const serve = () => state.handle(method, path, body, reply)
		if (limits === null) serve()
		else setTimeout(serve, limits.latencyMs * (0.5 + Math.random()))
	})
	return { ...face, seen }
}

export const serveCloud = async (cloud: FakeCloud, perS: number) => {
	const calls = new TokenBucket(perS * 2, () => performance.now())
	return listenHere(({ method, path, body }, reply) => {
		if (!calls.take(1)) return reply({ status: 429, body: {} })
		reply(cloud.handle(method, path, body))
	})
}

/** Every worker of the lab behind one port; each has a loopback address of its own. */
export const serveWorkers = (byHost: ReadonlyMap<string, FakeWorker>) =>
	listenHere(({ path, body, host }, reply) => {
		const worker = byHost.get(host.replace(/^::ffff:/, ''))
		if (worker === undefined || worker.dead) return
		reply(worker.handle(path.split('?')[0], body))
	}, '0.0.0.0')

/** The address of the n-th worker. */
export const workerHost = (n: number): string => `127.1.${Math.floor(n / 250)}.${(n % 250) + 1}`
