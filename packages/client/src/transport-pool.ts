/** The transports to an installation's addresses, tried in turn. */
import { HttpTransport } from './http.js'
import type { Transport } from './transport.js'

/** Addresses by protocol, as IP:PORT. */
export interface Addresses {
	grpc: readonly string[]
	http: readonly string[]
}

/** The transport for a try, and the number of transports that are tried in turn. */
export interface TransportChoice {
	transport: Transport
	candidateCount: number
}

const canStream = (transport: Transport): boolean => transport.watch !== undefined

/** The transports that support streams, or all if none does. */
const preferredOf = (transports: readonly Transport[]): readonly Transport[] => {
	const streaming = transports.filter(canStream)
	return streaming.length > 0 ? streaming : transports
}

/** Creates the transports on first use and rotates over them, starting at a random one. */
export class TransportPool {
	private transports: readonly Transport[] | null = null
	private nextIndex = 0

	constructor(
		private readonly addresses: Addresses,
		private readonly random: () => number,
	) {}

	/** Returns the current transport: an HTTP one after as many `failedGrpcTries` as there are gRPC addresses. */
	async choose(failedGrpcTries: number): Promise<TransportChoice> {
		const transports = await this.load()
		const http = transports.filter((transport) => !canStream(transport))
		const isGrpcUnavailable = failedGrpcTries >= this.addresses.grpc.length
		const candidates = isGrpcUnavailable && http.length > 0 ? http : preferredOf(transports)
		return {
			transport: candidates[this.nextIndex % candidates.length],
			candidateCount: candidates.length,
		}
	}

	/** Moves on to the next transport. */
	advance(): void {
		this.nextIndex++
	}

	/** Closes all connections; later calls open new ones. */
	close(): void {
		for (const transport of this.transports ?? []) transport.close()
		this.transports = null
	}

	/** Creates the transports, gRPC ones first; the gRPC library is loaded only if there are any. */
	private async load(): Promise<readonly Transport[]> {
		if (this.transports !== null) return this.transports
		const http = this.addresses.http.map((address) => new HttpTransport(address))
		if (this.addresses.grpc.length === 0) {
			this.transports = http
		} else {
			const { GrpcTransport } = await import('./grpc.js')
			this.transports ??= [...this.addresses.grpc.map((address) => new GrpcTransport(address)), ...http]
		}
		this.nextIndex = Math.floor(this.random() * preferredOf(this.transports).length)
		return this.transports
	}
}
