/** A TCP proxy on the loopback whose connections can be cut. */
import * as net from 'node:net'

type Connection = [client: net.Socket, server: net.Socket]

/** Forwards connections to one port; they can die, and responses can be lost after their requests went through. */
export class FlakyProxy {
	/** number of connections that were cut, including those on which a response was lost */
	cuts = 0
	private readonly connections = new Set<Connection>()
	private readonly server: net.Server
	private losesResponses = false

	/** `targetPort`: the present port of the server behind the proxy. */
	constructor(private readonly targetPort: () => number) {
		this.server = net.createServer({ noDelay: true }, (client) => this.connect(client))
	}

	/** Cuts every connection now. */
	cutAll(): void {
		for (const connection of [...this.connections]) this.cut(connection)
	}

	/** While this is on, whatever the server responds is lost, and its connection with it. */
	lose(on: boolean): void {
		this.losesResponses = on
	}

	/** Begins to accept connections; returns the port. */
	listen(): Promise<number> {
		return new Promise((resolve) => {
			this.server.listen(0, '127.0.0.1', () => resolve((this.server.address() as net.AddressInfo).port))
		})
	}

	/** Accepts no more connections, and cuts all there are. */
	close(): void {
		this.server.close()
		this.cutAll()
	}

	private connect(client: net.Socket): void {
		const server = net.connect({ host: '127.0.0.1', port: this.targetPort(), noDelay: true })
		const connection: Connection = [client, server]
		this.connections.add(connection)
		client.on('data', (chunk) => server.write(chunk))
		server.on('data', (chunk) => {
			if (this.losesResponses) this.cut(connection)
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

	private cut(connection: Connection): void {
		this.cuts++
		for (const socket of connection) socket.resetAndDestroy()
	}
}
