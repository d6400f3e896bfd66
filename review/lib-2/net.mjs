// HTTP with MessagePack on loopback addresses, as in the protocol, for the stand-ins of this review.
import http from 'node:http'
import net from 'node:net'
import { Packr } from 'msgpackr'

const packr = new Packr({
	useRecords: false,
	mapsAsObjects: true,
	int64AsType: 'auto',
	encodeUndefinedAsNil: true,
	variableMapSize: true,
})
export const encode = (value) => packr.pack(value)
export const decode = (bytes) => packr.unpack(bytes)

/** An integer that is encoded as an integer, however large it is. */
export const int = (value) => (typeof value === 'number' && value > 0xffffffff ? BigInt(value) : value)

export const sleep = (ms) => new Promise((done) => setTimeout(done, ms))

/** Returns free ports of the loopback interface. */
export const freePorts = async (count) => {
	const servers = new Map()
	while (servers.size < count) {
		// Below the ports that the system gives out by itself, so that no connection takes one before its node listens.
		const port = 12_000 + Math.floor(Math.random() * 18_000)
		if (servers.has(port)) continue
		const server = net.createServer()
		const isFree = await new Promise((done) => {
			server.once('error', () => done(false))
			server.listen(port, '127.0.0.1', () => done(true))
		})
		if (isFree) servers.set(port, server)
	}
	await Promise.all([...servers.values()].map((server) => new Promise((done) => server.close(done))))
	return [...servers.keys()]
}

/** Listens on a free port. `handle` gets {method, path, query, body}; it returns {status, body}, or null for no answer. */
export const serve = async (handle) => {
	const server = http.createServer((request, response) => {
		const chunks = []
		request.on('data', (chunk) => chunks.push(chunk))
		request.on('end', async () => {
			const url = new URL(request.url, 'http://loopback')
			let body
			try {
				if (chunks.length > 0) body = decode(Buffer.concat(chunks))
			} catch {
				response.writeHead(400).end()
				return
			}
			const answer = await handle({
				method: request.method,
				path: decodeURIComponent(url.pathname),
				query: url.searchParams,
				body,
			})
			if (answer === null || response.destroyed) return
			const payload = encode(answer.body ?? {})
			response.writeHead(answer.status, {
				'content-type': 'application/msgpack',
				'content-length': payload.length,
			})
			response.end(payload)
		})
	})
	server.keepAliveTimeout = 60_000
	await new Promise((done) => server.listen(0, '127.0.0.1', done))
	return {
		port: server.address().port,
		close: () => {
			server.closeAllConnections()
			server.close()
		},
	}
}

const agent = new http.Agent({ keepAlive: true })

/** Sends one request; resolves with {status, body, retryAfterS}, or null without an answer in time. */
export const call = (port, method, path, body, timeoutMs) =>
	new Promise((done) => {
		const payload = body === undefined ? null : encode(body)
		let settled = false
		const settle = (answer) => {
			if (settled) return
			settled = true
			clearTimeout(timer)
			done(answer)
		}
		const headers = payload ? { 'content-type': 'application/msgpack', 'content-length': payload.length } : {}
		const request = http.request(
			{ host: '127.0.0.1', port, method, path, agent, headers },
			(response) => {
				const chunks = []
				response.on('data', (chunk) => chunks.push(chunk))
				response.on('error', () => settle(null))
				response.on('aborted', () => settle(null))
				response.on('end', () => {
					let decoded = null
					try {
						const bytes = Buffer.concat(chunks)
						if (bytes.length > 0) decoded = decode(bytes)
					} catch {
						return settle(null)
					}
					settle({
						status: response.statusCode,
						body: decoded,
						retryAfterS: Number(response.headers['retry-after'] ?? 0),
					})
				})
			},
		)
		const timer = setTimeout(() => {
			settle(null)
			request.destroy()
		}, timeoutMs)
		request.on('error', () => settle(null))
		request.end(payload ?? undefined)
	})
