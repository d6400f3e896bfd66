/** A gRPC server over real sockets whose streams are scripted by a test; it records the bytes of each request. */
import {
	Metadata,
	Server,
	ServerCredentials,
	type ServerWritableStream,
	type ServiceDefinition,
	status,
	type UntypedServiceImplementation,
} from '@grpc/grpc-js'
import { type EventMessage, jobsPackage, jobsService, type WatchMessage } from '@heathroad/proto'

/** One stream: the cursor in its headers, its events, and how it ends. */
export interface ScriptedStream {
	headers: string
	events: readonly Partial<EventMessage>[]
	/** `broken`: what readers see when the controller crashes */
	end: 'complete' | 'broken' | 'cursor rejected'
}

/** Returns the stream that the server sends for a request; `stream`: index of the stream, from 0. */
export type Serve = (request: WatchMessage, stream: number) => Promise<ScriptedStream> | ScriptedStream

type WatchCall = ServerWritableStream<WatchMessage, Partial<EventMessage>>

const send = (call: WatchCall, { headers, events, end }: ScriptedStream): void => {
	if (end === 'cursor rejected') {
		call.emit('error', { code: status.OUT_OF_RANGE, details: 'no longer retained' })
		return
	}
	const metadata = new Metadata()
	metadata.set('cursor', headers)
	call.sendMetadata(metadata)
	for (const event of events) call.write(event)
	if (end === 'complete') call.end()
	else call.emit('error', { code: status.UNAVAILABLE, details: 'Connection dropped' })
}

/** Serves scripted Watch calls, and no other methods. */
export class ScriptedGrpcServer {
	/** bytes of each request message, in hex */
	readonly requests: string[] = []
	/** sorted header names of each request */
	readonly headerNames: string[][] = []
	/** IP:PORT */
	address = ''
	private readonly server = new Server()

	constructor(serve: Serve) {
		const { Watch } = jobsService(jobsPackage())
		const requestDeserialize = (bytes: Buffer): WatchMessage => {
			this.requests.push(bytes.toString('hex'))
			return Watch.requestDeserialize(bytes)
		}
		const definition = { Watch: { ...Watch, requestDeserialize } } as unknown as ServiceDefinition
		const handler = (call: WatchCall): void => {
			const stream = this.headerNames.push(Object.keys(call.metadata.getMap()).sort()) - 1
			void Promise.resolve(serve(call.request, stream)).then((scripted) => send(call, scripted))
		}
		this.server.addService(definition, { Watch: handler } as unknown as UntypedServiceImplementation)
	}

	/** Listens on a free port. */
	async start(): Promise<this> {
		const port = await new Promise<number>((resolve, reject) =>
			this.server.bindAsync('127.0.0.1:0', ServerCredentials.createInsecure(), (error, bound) =>
				error === null ? resolve(bound) : reject(error),
			),
		)
		this.address = `127.0.0.1:${port}`
		return this
	}

	/** Stops the server and closes all connections. */
	stop(): void {
		this.server.forceShutdown()
	}
}
