/** A TCP proxy on the loopback interface that can break its connections. */
import * as net from 'node:net'

type Connection = [client: net.Socket, server: net.Socket]

/** Forwards connections to one port; can break them, or drop responses after forwarding their requests. */
export class FlakyProxy {
	/** number of broken connections, including those on which a response was dropped */
	brokenConnections = 0
	private readonly connections = new Set<Connection>()
	private readonly server: net.Server
	private losesResponses = false

	/** `targetPort`: returns the current port of the server behind the proxy. */
	constructor(private readonly targetPort: () => number) {
		this.server = net.createServer({ noDelay: true }, (client) => this.connect(client))
	}

	/** Breaks all connections. */
	breakAll(): void {
		for (const connection of [...this.connections]) this.breakConnection(connection)
	}

	/** While on, drops every response of the server and breaks its connection. */
	loseResponses(on: boolean): void {
		this.losesResponses = on
	}

	/** Starts to accept connections; returns the port. */
	listen(): Promise<number> {
		return new Promise((resolve) => {
			this.server.listen(0, '127.0.0.1', () => resolve((this.server.address() as net.AddressInfo).port))
		})
	}

	/** Stops accepting connections and breaks the existing ones. */
	close(): void {
		this.server.close()
		this.breakAll()
	}

	private connect(client: net.Socket): void {
		const server = net.connect({ host: '127.0.0.1', port: this.targetPort(), noDelay: true })
		const connection: Connection = [client, server]
		this.connections.add(connection)
		client.on('data', (chunk) => server.write(chunk))
		server.on('data', (chunk) => {
			if (this.losesResponses) this.breakConnection(connection)
			else client.write(chunk)
		})
		for (const socket of connection) {
			socket.on('error', () => {})
			socket.on('close', () => {
				this.connections.delete(connection)
				client.destroy()
				server.destroy()
			})
		}
	}

	private breakConnection(connection: Connection): void {
		this.brokenConnections++
		for (const socket of connection) socket.resetAndDestroy()
	}
}
