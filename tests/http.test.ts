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

const settings = plainSettings('c-0')

test('answers over HTTP while the state cannot be reached', async () => {
	const config = {
		settings,
		...DEFAULT_OPERATOR_SETTINGS,
		limits: deriveLimits(settings),
	}
	const service = new Service(config, () => {}, undefined, {
		request: () => Effect.fail(new NoResponse({ reason: 'nobody there' })),
	})
	const limits = { idleMs: 1000, requestMs: 1000, sockets: 50 }
	const server = await startHttpServer('127.0.0.1:0', limits, (call, reply) =>
		service.handleRequest(call, reply),
	)
	const { port } = server.address() as AddressInfo
	const ask = (method: string, path: string, body?: Buffer): Promise<http.IncomingMessage> =>
		new Promise((resolve, reject) => {
			const request = http.request({ port, method, path, agent: false }, (r) => resolve(r.resume()))
			request.on('error', reject)
			request.end(body)
		})
	const job = encode(encodeSubmission(arrayJob('job-000412')))
	const cases: [name: string, method: string, path: string, body: Buffer | undefined, status: number][] = [
		['an unknown path', 'GET', '/v3/runs', undefined, 404],
		['a path too long', 'GET', '/v2/runs/job-000001/withdraw/now', undefined, 404],
		['a wrong method', 'PUT', '/v2/runs', job, 405],
		['a report by GET', 'GET', '/checkin', undefined, 405],
		['no MessagePack', 'POST', '/v2/runs', Buffer.from([0xc1]), 400],
		['cut short', 'POST', '/v2/runs', job.subarray(0, 20), 400],
		['over 64 KiB', 'POST', '/v2/runs', Buffer.alloc(70_000, 1), 400],
		['a job while nothing is known', 'POST', '/v2/runs', job, 503],
		['a status without a fresh read', 'GET', '/v2/runs/job-000412', undefined, 503],
		['a cancellation without a fresh read', 'POST', '/v2/runs/job-000412/withdraw', undefined, 503],
		['health', 'GET', '/healthz', undefined, 503],
	]
	try {
		for (const [name, method, path, body, status] of cases) {
			const r = await ask(method, path, body)
			assert.equal(r.statusCode, status, name)
			if (status === 503) assert.ok(Number(r.headers['retry-after']) >= 1, `${name}: says when to come back`)
		}
	} finally {
		server.closeAllConnections()
		server.close()
		await service.stop()
	}
})

test('a body that is too long gets its 400 while the client still writes', async () => {
	const limits = { idleMs: 1000, requestMs: 1000, sockets: 50 }
	const server = await startHttpServer('127.0.0.1:0', limits, (_, reply) => reply({ status: 200, body: {} }))
	const { port } = server.address() as AddressInfo
	const mib = 1024 * 1024
	/** Writes a body of so many bytes in pieces, reading all the while. */
	const send = (
		path: string,
		headers: string,
		bytes: number,
	): Promise<{ text: string; error: string | null }> =>
		new Promise((resolve) => {
			const socket = net.connect({ port, allowHalfOpen: true })
			let text = ''
			let error: string | null = null
			let left = bytes
			const chunked = headers.includes('chunked')
			const write = () => {
				while (left > 0 && !socket.destroyed) {
					const n = Math.min(left, 16 * 1024)
					left -= n
					const piece = chunked ? `${n.toString(16)}\r\n${'x'.repeat(n)}\r\n` : 'x'.repeat(n)
					if (!socket.write(piece)) return socket.once('drain', write)
				}
				if (!socket.destroyed) socket.end(chunked ? '0\r\n\r\n' : '')
			}
			socket.on('data', (c) => {
				text += c.toString('latin1')
			})
			socket.on('error', (e) => {
				error = (e as NodeJS.ErrnoException).code ?? e.message
			})
			socket.on('close', () => resolve({ text, error }))
			socket.write(`POST ${path} HTTP/1.1\r\nhost: x\r\n${headers}\r\n\r\n`)
			write()
		})
	const cases: [name: string, path: string, headers: string, bytes: number][] = [
		['a length just over the limit', '/v2/runs', 'content-length: 65537', 65_537],
		['a long one on a path that does not exist', '/nowhere', `content-length: ${mib}`, mib],
		['a long one on the path of reports', '/checkin', `content-length: ${3 * mib}`, 3 * mib],
		['pieces without a length', '/v2/runs', 'transfer-encoding: chunked', mib],
	]
	try {
		for (const [name, path, headers, bytes] of cases)
			for (let i = 0; i < 5; i++) {
				const { text, error } = await send(path, headers, bytes)
				assert.equal(error, null, `${name}: not reset`)
				assert.match(text, /^HTTP\/1\.1 400 Bad Request\r\n/, name)
				assert.match(text, /connection: close/, name)
				assert.match(text, /longer than 64 KiB/, name)
			}
		// Without an end the connection is not kept: neither for as long as somebody writes, nor for as long as nobody does.
		const begun = Date.now()
		const endless = await send('/v2/runs', `content-length: ${64 * mib}`, 64 * mib)
		assert.match(endless.text, /^HTTP\/1\.1 400 /, 'answered first')
		const silent = await send('/v2/runs', `content-length: ${mib}`, 0)
		assert.match(silent.text, /^HTTP\/1\.1 400 /, 'answered though nothing of the body came')
		assert.ok(Date.now() - begun < limits.requestMs * 4, 'and closed in time')
	} finally {
		server.closeAllConnections()
		server.close()
	}
})

test("idle and half-open connections of users leave the workers' sockets free", async () => {
	const sockets = 20
	const limits = { idleMs: 60_000, requestMs: 400, sockets, yields: (path: string) => path === '/user' }
	const server = await startHttpServer('127.0.0.1:0', limits, (_, reply) => reply({ status: 200, body: {} }))
	const { port } = server.address() as AddressInfo
	const agents: http.Agent[] = []
	const ask = (path: string): Promise<string> => {
		const agent = new http.Agent({ keepAlive: true })
		agents.push(agent)
		return new Promise((resolve) => {
			const request = http.get({ port, path, agent }, (r) => {
				r.resume().on('end', () => resolve(String(r.headers.connection)))
			})
			request.on('error', () => resolve('refused'))
		})
	}
	const half: net.Socket[] = []
	try {
		const workers = []
		for (let i = 0; i < 10; i++) workers.push(await ask('/worker'))
		const users = []
		for (let i = 0; i < 30; i++) users.push(await ask('/user'))
		assert.deepEqual(new Set(workers), new Set(['keep-alive']), 'workers stay')
		assert.ok(!users.includes('refused'), 'every user is answered')
		assert.equal(users[0], 'keep-alive', 'while there is room users stay too')
		assert.equal(users[29], 'close', 'then they are answered and let go')
		// Connections on which nothing is ever asked take all that is left, but not for long.
		for (let i = 0; i < sockets; i++) half.push(net.connect(port).on('error', () => {}))
		await new Promise((done) => setTimeout(done, limits.requestMs * 3))
		assert.equal(await ask('/worker'), 'keep-alive', 'a worker gets in')
	} finally {
		for (const a of agents) a.destroy()
		for (const h of half) h.destroy()
		server.closeAllConnections()
		server.close()
	}
})
