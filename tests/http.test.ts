/** The HTTP server: replies while the state service is out of reach, limits on bodies, and sockets kept for machines. */
import assert from 'node:assert/strict'
import * as http from 'node:http'
import type { AddressInfo } from 'node:net'
import * as net from 'node:net'
import { test } from 'node:test'
import { DEFAULT_OPERATOR_SETTINGS, deriveLimits } from '@heathroad/config'
import { Service, startHttpServer } from '@heathroad/server'
import { arrayJob, plainSettings } from '@heathroad/testkit'
import { encode, encodeSubmission, NoResponse } from '@heathroad/wire'
import { Effect } from 'effect'

const MIB = 1024 * 1024
/** For one answer; a longer one fails with an `AbortError`. */
const ANSWER_MS = 30_000

const portOf = (server: http.Server): number => (server.address() as AddressInfo).port

test('answers over HTTP while the state service cannot be reached', async () => {
	const settings = plainSettings('c-0')
	const config = {
		settings,
		...DEFAULT_OPERATOR_SETTINGS,
		limits: deriveLimits(settings),
	}
	const service = new Service(config, () => {}, undefined, {
		request: () => Effect.fail(new NoResponse({ reason: 'nobody there' })),
	})
	const limits = { idleTimeoutMs: 1000, requestTimeoutMs: 1000, maxSockets: 50 }
	const server = await startHttpServer('127.0.0.1:0', limits, (request, respond) =>
		service.handleRequest(request, respond),
	)
	const port = portOf(server)
	const ask = (method: string, path: string, body?: Buffer): Promise<http.IncomingMessage> =>
		new Promise((resolve, reject) => {
			const request = http.request(
				{ port, method, path, agent: false, signal: AbortSignal.timeout(ANSWER_MS) },
				(response) => resolve(response.resume()),
			)
			request.on('error', reject)
			request.end(body)
		})
	const job = encode(encodeSubmission(arrayJob('job-000412')))
	const cases: [name: string, method: string, path: string, body: Buffer | undefined, status: number][] = [
		['an unknown path', 'GET', '/v3/runs', undefined, 404],
		['a path too long', 'GET', '/v2/runs/job-000001/withdraw/now', undefined, 404],
		['a wrong method', 'PUT', '/v2/runs', job, 405],
		['a heartbeat by GET', 'GET', '/checkin', undefined, 405],
		['no MessagePack', 'POST', '/v2/runs', Buffer.from([0xc1]), 400],
		['cut short', 'POST', '/v2/runs', job.subarray(0, 20), 400],
		['over 64 KiB', 'POST', '/v2/runs', Buffer.alloc(70_000, 1), 400],
		['a job before the first full read', 'POST', '/v2/runs', job, 503],
		['a status without a linearizable read', 'GET', '/v2/runs/job-000412', undefined, 503],
		['a cancellation without a linearizable read', 'POST', '/v2/runs/job-000412/withdraw', undefined, 503],
		['health', 'GET', '/healthz', undefined, 503],
	]
	try {
		for (const [name, method, path, body, status] of cases) {
			const response = await ask(method, path, body)
			assert.equal(response.statusCode, status, name)
			if (status === 503)
				assert.ok(Number(response.headers['retry-after']) >= 1, `${name}: says when to retry`)
		}
	} finally {
		server.closeAllConnections()
		server.close()
		await service.stop()
	}
})

interface RawReply {
	text: string
	/** code of the socket's error, if it had one */
	error: string | null
}

/** Writes a POST with a body of `bytes` in pieces, reading all the while, until the connection is closed. */
const postRaw = (port: number, path: string, headers: string, bytes: number): Promise<RawReply> =>
	new Promise((resolve) => {
		const socket = net.connect({ port, allowHalfOpen: true, signal: AbortSignal.timeout(ANSWER_MS) })
		let text = ''
		let error: string | null = null
		let bytesLeft = bytes
		const isChunked = headers.includes('chunked')
		const writeBody = () => {
			while (bytesLeft > 0 && !socket.destroyed) {
				const size = Math.min(bytesLeft, 16 * 1024)
				bytesLeft -= size
				const piece = isChunked ? `${size.toString(16)}\r\n${'x'.repeat(size)}\r\n` : 'x'.repeat(size)
				if (!socket.write(piece)) return socket.once('drain', writeBody)
			}
			if (!socket.destroyed) socket.end(isChunked ? '0\r\n\r\n' : '')
		}
		socket.on('data', (chunk) => {
			text += chunk.toString('latin1')
		})
		socket.on('error', (cause) => {
			error = (cause as NodeJS.ErrnoException).code ?? cause.message
		})
		socket.on('close', () => resolve({ text, error }))
		socket.write(`POST ${path} HTTP/1.1\r\nhost: x\r\n${headers}\r\n\r\n`)
		writeBody()
	})

test('a body that is too long gets its 400 while the client still writes', async () => {
	const limits = { idleTimeoutMs: 1000, requestTimeoutMs: 1000, maxSockets: 50 }
	const server = await startHttpServer('127.0.0.1:0', limits, (_, respond) =>
		respond({ status: 200, body: {} }),
	)
	const port = portOf(server)
	const cases: [name: string, path: string, headers: string, bytes: number][] = [
		['a length just over the limit', '/v2/runs', 'content-length: 65537', 65_537],
		['a long one on a path that does not exist', '/nowhere', `content-length: ${MIB}`, MIB],
		['a long one on the path of heartbeats', '/checkin', `content-length: ${3 * MIB}`, 3 * MIB],
		['pieces without a length', '/v2/runs', 'transfer-encoding: chunked', MIB],
	]
	try {
		for (const [name, path, headers, bytes] of cases)
			for (let attempt = 0; attempt < 5; attempt++) {
				const { text, error } = await postRaw(port, path, headers, bytes)
				assert.equal(error, null, `${name}: not reset`)
				assert.match(text, /^HTTP\/1\.1 400 Bad Request\r\n/, name)
				assert.match(text, /connection: close/, name)
				assert.match(text, /longer than 64 KiB/, name)
			}
		// A body without an end does not keep its connection open, whether its sender goes on writing or is silent.
		const startedAt = Date.now()
		const endless = await postRaw(port, '/v2/runs', `content-length: ${64 * MIB}`, 64 * MIB)
		assert.match(endless.text, /^HTTP\/1\.1 400 /, 'answered first')
		const silent = await postRaw(port, '/v2/runs', `content-length: ${MIB}`, 0)
		assert.match(silent.text, /^HTTP\/1\.1 400 /, 'answered though nothing of the body came')
		assert.ok(Date.now() - startedAt < limits.requestTimeoutMs * 4, 'and closed in time')
	} finally {
		server.closeAllConnections()
		server.close()
	}
})

test("idle and half-open connections of users leave the workers' sockets free", async () => {
	const sockets = 20
	const limits = {
		idleTimeoutMs: 60_000,
		requestTimeoutMs: 400,
		maxSockets: sockets,
		isLowPriorityPath: (path: string) => path === '/user',
	}
	const server = await startHttpServer('127.0.0.1:0', limits, (_, respond) =>
		respond({ status: 200, body: {} }),
	)
	const port = portOf(server)
	const agents: http.Agent[] = []
	const ask = (path: string): Promise<string> => {
		const agent = new http.Agent({ keepAlive: true })
		agents.push(agent)
		return new Promise((resolve) => {
			const request = http.get({ port, path, agent, signal: AbortSignal.timeout(ANSWER_MS) }, (response) => {
				response.resume().on('end', () => resolve(String(response.headers.connection)))
			})
			request.on('error', () => resolve('refused'))
		})
	}
	const halfOpen: net.Socket[] = []
	try {
		const workers = []
		for (let i = 0; i < 10; i++) workers.push(await ask('/worker'))
		const users = []
		for (let i = 0; i < 30; i++) users.push(await ask('/user'))
		assert.deepEqual(new Set(workers), new Set(['keep-alive']), 'workers stay')
		assert.ok(!users.includes('refused'), 'every user is answered')
		assert.equal(users[0], 'keep-alive', 'while there is room users stay too')
		assert.equal(users[29], 'close', 'then they are answered and disconnected')
		// Connections without any request take all that is left, but not for long.
		for (let i = 0; i < sockets; i++) halfOpen.push(net.connect(port).on('error', () => {}))
		await new Promise((done) => setTimeout(done, limits.requestTimeoutMs * 3))
		assert.equal(await ask('/worker'), 'keep-alive', 'a worker gets in')
	} finally {
		for (const agent of agents) agent.destroy()
		for (const socket of halfOpen) socket.destroy()
		server.closeAllConnections()
		server.close()
	}
})
