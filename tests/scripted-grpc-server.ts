/** A gRPC server whose streams a test scripts, over real sockets; it records the requests as they arrive. */
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

/** One stream: the cursor that its headers tell, its events, and how it ends. */
export interface ScriptedStream {
	headers: string
	events: readonly Partial<EventMessage>[]
	/** `broken`: as a crash of the controller looks to its readers */
	end: 'complete' | 'broken' | 'cursor rejected'
}

/** What the server answers to a request; `stream`: number of the stream, from 0. */
export type Serve = (request: WatchMessage, stream: number) => Promise<ScriptedStream> | ScriptedStream

type WatchCall = ServerWritableStream<WatchMessage, Partial<EventMessage>>

const send = (call: WatchCall, { headers, events, end }: ScriptedStream): void => {
	if (end === 'cursor rejected') {
		call.emit('error', { code: status.OUT_OF_RANGE, details: 'not kept any more' })
		return
	}
	const metadata = new Metadata()
	metadata.set('cursor', headers)
	call.sendMetadata(metadata)
	for (const event of events) call.write(event)
	if (end === 'complete') call.end()
	else call.emit('error', { code: status.UNAVAILABLE, details: 'Connection dropped' })
}

/** Serves Watch calls as scripted, and no others. */
export class ScriptedGrpcServer {
	/** bytes of each request message */
	readonly requests: string[] = []
	/** names of the headers of each request */
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

	/** Listens on a port of its own choosing. */
	async start(): Promise<this> {
		const port = await new Promise<number>((resolve, reject) =>
			this.server.bindAsync('127.0.0.1:0', ServerCredentials.createInsecure(), (error, bound) =>
				error === null ? resolve(bound) : reject(error),
			),
		)
		this.address = `127.0.0.1:${port}`
		return this
	}

	/** Closes all connections. */
	stop(): void {
		this.server.forceShutdown()
	}
}
