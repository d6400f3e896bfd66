import * as net from 'node:net'

/** A network of one address that can fail: connections die, answers are lost after the request went through. */
export class FlakyProxy {
	private readonly pairs = new Set<[net.Socket, net.Socket]>()
	private readonly server: net.Server
	private losing = false
	/** connections that were cut, those on which an answer was lost included */
	cuts = 0

	constructor(private readonly to: () => number) {
		this.server = net.createServer({ noDelay: true }, (client) => this.join(client))
	}

	private join(client: net.Socket): void {
		const server = net.connect({ host: '127.0.0.1', port: this.to(), noDelay: true })
		const pair: [net.Socket, net.Socket] = [client, server]
		this.pairs.add(pair)
		client.on('data', (c) => server.write(c))
		server.on('data', (c) => {
			if (this.losing) this.cut(pair)
			else client.write(c)
		})
		for (const s of pair) {
			s.on('error', () => {})
			s.on('close', () => {
				this.pairs.delete(pair)
				client.destroy()
				server.destroy()
			})
		}
	}

	private cut(pair: [net.Socket, net.Socket]): void {
		this.cuts++
		for (const s of pair) s.resetAndDestroy()
	}

	/** Every connection dies now. */
	cutAll(): void {
		for (const pair of [...this.pairs]) this.cut(pair)
	}

	/** For a while whatever a controller answers is lost, and its connection with it. */
	lose(on: boolean): void {
		this.losing = on
	}

	listen(): Promise<number> {
		return new Promise((resolve) => {
			this.server.listen(0, '127.0.0.1', () => resolve((this.server.address() as net.AddressInfo).port))
		})
	}

	close(): void {
		this.server.close()
		this.cutAll()
	}
}
