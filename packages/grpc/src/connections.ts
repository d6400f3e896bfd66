/** TCP connections of the gRPC server. */
import * as net from 'node:net'

/** Size of the HTTP/2 connection preface with an empty SETTINGS frame, in bytes; every client sends at least these. */
const PREFACE_BYTES = 24 + 9
/** Number of connections that the kernel queues before they are accepted. */
const LISTEN_BACKLOG = 128

/** Limits of the connections, and the callback for listener errors. */
export interface ConnectionLimits {
	/** maximum number of open connections; further ones are refused */
	maxConnections: number
	/** time after which a connection that has not sent the HTTP/2 preface is closed, in ms */
	prefaceTimeoutMs: number
	/** called with errors of the listener after it has opened */
	onError: (error: Error) => void
}

/**
 * Accepts connections and passes them to the gRPC library. Adds what the library lacks: a limit on the number of
 * connections, a timeout for the HTTP/2 preface, and a way to close the connection of a peer that does not read.
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

	/** Listens on IP:PORT; resolves with the bound address, or rejects with the socket's error. */
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

	/** Closes a peer's connection immediately, which ends all calls on it. */
	disconnect(peer: string): void {
		this.socketsByPeer.get(peer)?.destroy()
	}

	/** Stops accepting connections. */
	close(): void {
		this.server.close()
	}

	/** Stops accepting connections, and closes the open ones immediately. */
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
		// Without a listener an 'error' event would crash the process; 'close' follows every error.
		socket.on('error', () => {})
		this.onConnection(socket)
	}
}
