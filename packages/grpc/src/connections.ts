/** TCP connections of the gRPC server. */
import * as net from 'node:net'

/** The connection preface of HTTP/2 and an empty SETTINGS frame, in bytes: the least that every client sends first. */
const PREFACE_BYTES = 24 + 9
/** Connections that the kernel queues before they are accepted. */
const LISTEN_BACKLOG = 128

/** Bounds of the connections, and who hears of errors. */
export interface ConnectionLimits {
	/** open connections at most; further ones are refused */
	maxConnections: number
	/** a connection without the preface of HTTP/2 is closed after this time, in ms */
	prefaceTimeoutMs: number
	/** called with errors of the listener after it has opened */
	onError: (error: Error) => void
}

/**
 * Accepts connections and hands them to the gRPC library. Their number is bounded, one without a preface of HTTP/2 is
 * closed, and one whose reader does not read can be closed from here; the library offers none of this.
 */
export class Connections {
	private readonly socketsByPeer = new Map<string, net.Socket>()
	private readonly server: net.Server

	/** `onConnection` takes over each accepted socket. */
	constructor(
		private readonly limits: ConnectionLimits,
		private readonly onConnection: (socket: net.Socket) => void,
	) {
		this.server = net.createServer({ noDelay: true }, (socket) => this.accept(socket))
		this.server.maxConnections = limits.maxConnections
	}

	/** Listens at IP:PORT; answers with the address in use, or rejects with the error of the socket. */
	listen(address: string): Promise<net.AddressInfo> {
		const colon = address.lastIndexOf(':')
		const options = {
			host: address.slice(0, colon),
			port: Number(address.slice(colon + 1)),
			backlog: LISTEN_BACKLOG,
		}
		return new Promise((resolve, reject) => {
			this.server.once('error', reject)
			this.server.listen(options, () => {
				this.server.off('error', reject)
				this.server.on('error', this.limits.onError)
				resolve(this.server.address() as net.AddressInfo)
			})
		})
	}

	/** Closes a peer's connection at once, with all calls on it. */
	disconnect(peer: string): void {
		this.socketsByPeer.get(peer)?.destroy()
	}

	/** Accepts no further connections. */
	close(): void {
		this.server.close()
	}

	/** Closes all connections at once, and accepts no further ones. */
	destroy(): void {
		this.close()
		for (const socket of this.socketsByPeer.values()) socket.destroy()
	}

	private accept(socket: net.Socket): void {
		const peer = `${socket.remoteAddress}:${socket.remotePort}`
		this.socketsByPeer.set(peer, socket)
		const prefaceTimer = setTimeout(() => {
			if (socket.bytesRead < PREFACE_BYTES) socket.destroy()
		}, this.limits.prefaceTimeoutMs)
		socket.once('close', () => {
			clearTimeout(prefaceTimer)
			if (this.socketsByPeer.get(peer) === socket) this.socketsByPeer.delete(peer)
		})
		// Without a listener an error would end the process; 'close' follows every error.
		socket.on('error', () => {})
		this.onConnection(socket)
	}
}
