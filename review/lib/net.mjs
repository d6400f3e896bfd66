// MessagePack over HTTP/1.1: a server, a client and free ports. Loopback only.
import * as http from 'node:http'
import * as net from 'node:net'
import { Packr } from 'msgpackr/pack'

const packr = new Packr({ useRecords: false, mapsAsObjects: true, int64AsType: 'auto', encodeUndefinedAsNil: true, variableMapSize: true })
export const encode = (value) => packr.pack(value)
export const decode = (bytes) => packr.unpack(bytes)
/** A loopback address of this process's own, so that concurrent runs cannot reach each other's ports. */
export const HOST = `127.${64 + (process.pid % 64)}.${(process.pid >> 6) % 250}.${((process.pid >> 14) % 250) + 1}`
/** The controllers' own address: no stand-in takes a port there. */
export const NODE_HOST = HOST.replace(/^127\.(\d+)/, (_, part) => `127.${Number(part) + 64}`)
export const sleep = (ms) => new Promise((done) => setTimeout(done, ms))

/** Starts a server; `answer(request, reply)` may reply later or never. `port` 0: a free one. */
export const serve = async (answer, port = 0, host = HOST) => {
	const server = http.createServer({ noDelay: true }, (request, response) => {
		const chunks = []
		request.on('data', (chunk) => chunks.push(chunk))
		request.on('error', () => {})
		response.on('error', () => {})
		request.on('end', () => {
			let body
			try {
				body = chunks.length === 0 ? undefined : decode(Buffer.concat(chunks))
			} catch {
				body = undefined
			}
			const bytes = chunks.reduce((sum, chunk) => sum + chunk.length, 0)
			const reply = (status, data = {}) => {
				if (response.destroyed || response.headersSent) return
				const payload = encode(data)
				response.writeHead(status, { 'content-type': 'application/msgpack', 'content-length': payload.length })
				response.end(payload)
			}
			answer({ method: request.method, path: request.url, body, bytes, socket: request.socket }, reply)
		})
	})
	server.keepAliveTimeout = 120_000
	await new Promise((resolve, reject) => {
		server.once('error', reject)
		server.listen(port, host, resolve)
	})
	return { port: server.address().port, close: () => (server.closeAllConnections(), server.close()) }
}

export const agent = () => new http.Agent({ keepAlive: true, maxSockets: 64 })

/** Sends one request; resolves with `{status, body, retryAfterS}`, or null if there is no response in time. */
export const request = (address, method, path, body, timeoutMs, by = undefined) =>
	new Promise((resolve) => {
		const [host, port] = address.split(':')
		const payload = body === undefined ? null : Buffer.isBuffer(body) ? body : encode(body)
		const headers = payload === null ? {} : { 'content-type': 'application/msgpack', 'content-length': payload.length }
		let settled = false
		const settle = (result) => {
			if (settled) return
			settled = true
			clearTimeout(timer)
			resolve(result)
		}
		const call = http.request({ host, port, method, path, headers, agent: by ?? false }, (response) => {
			const chunks = []
			response.on('data', (chunk) => chunks.push(chunk))
			response.on('error', () => settle(null))
			response.on('aborted', () => settle(null))
			response.on('end', () => {
				try {
					const bytes = Buffer.concat(chunks)
					const retryAfterS = Number(response.headers['retry-after'] ?? 0)
					settle({ status: response.statusCode, body: bytes.length === 0 ? null : decode(bytes), retryAfterS })
				} catch {
					settle(null)
				}
			})
		})
		const timer = setTimeout(() => {
			settle(null)
			call.destroy()
		}, timeoutMs)
		call.on('error', () => settle(null))
		call.end(payload ?? undefined)
	})

export const freePorts = async (count) => {
	const servers = await Promise.all(
		Array.from({ length: count }, () => new Promise((done) => {
			const server = net.createServer()
			server.listen(0, NODE_HOST, () => done(server))
		})),
	)
	const ports = servers.map((server) => server.address().port)
	await Promise.all(servers.map((server) => new Promise((done) => server.close(done))))
	return ports
}
