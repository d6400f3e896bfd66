/** Life cycle of a controller's gRPC server: listening, health, periodic work and shutdown. */
import { type ConnectionInjector, Server, ServerCredentials } from '@grpc/grpc-js'
import { ReflectionService } from '@grpc/reflection'
import type { GrpcSettings } from '@heathroad/config'
import { JOBS_SERVICE_NAME, jobsPackage, jobsService } from '@heathroad/proto'
import type { Service } from '@heathroad/server'
import { MAX_BODY_BYTES } from '@heathroad/wire'
import { HealthImplementation } from 'grpc-health-check'
import { Connections } from './connections.js'
import { ServiceRecords } from './service-records.js'
import { UnaryCalls } from './unary-calls.js'
import { WatchCalls } from './watch-calls.js'

/** Time within which a connection must send the HTTP/2 preface, in ms. */
const PREFACE_TIMEOUT_MS = 5000
/** Number of unary calls that one connection may have open in addition to its streams. */
const UNARY_CALLS_PER_CONNECTION = 100
/** An idle connection is closed after this multiple of the stall timeout, to make room for others. */
const IDLE_TIMEOUT_IN_STALL_TIMEOUTS = 10
/** Minimum time to wait for the response to a keepalive ping, in ms. */
const MIN_KEEPALIVE_TIMEOUT_MS = 4000
/** Memory limit of one HTTP/2 session, in MB. */
const SESSION_MEMORY_MB = 1
/** Without a setting, one in this many sockets of the process may be a gRPC connection. */
const SOCKETS_PER_CONNECTION = 8
/** Lower bound of that default. */
const MIN_CONNECTIONS = 4
/** Maximum time that a shutdown waits for the last statuses to be sent, in ms. */
const MAX_FLUSH_MS = 200

const createServer = (settings: GrpcSettings, heartbeatMs: number): Server =>
	new Server({
		'grpc.max_receive_message_length': MAX_BODY_BYTES,
		'grpc.max_send_message_length': MAX_BODY_BYTES,
		// One connection may carry all streams of the controller, and unary calls in addition.
		'grpc.max_concurrent_streams': settings.maxStreams + UNARY_CALLS_PER_CONNECTION,
		// Detects peers that disappeared without closing their connection.
		'grpc.keepalive_time_ms': settings.stallTimeoutS * 1000,
		'grpc.keepalive_timeout_ms': Math.max(MIN_KEEPALIVE_TIMEOUT_MS, heartbeatMs * 2),
		'grpc.keepalive_permit_without_calls': 1,
		'grpc.max_connection_idle_ms': settings.stallTimeoutS * 1000 * IDLE_TIMEOUT_IN_STALL_TIMEOUTS,
		'grpc-node.max_session_memory': SESSION_MEMORY_MB,
	})

/**
 * The gRPC server of a controller. Submissions, queries and cancellations run the same code as over HTTP. Streams
 * deliver job states from the controller's records, and only while it may answer users.
 */
export class GrpcServer {
	private readonly server: Server
	private readonly injector: ConnectionInjector
	private readonly connections: Connections
	private readonly records: ServiceRecords
	private readonly watchCalls: WatchCalls
	private readonly health = new HealthImplementation({
		'': 'NOT_SERVING',
		[JOBS_SERVICE_NAME]: 'NOT_SERVING',
	})
	private timer: ReturnType<typeof setInterval> | null = null
	private isServing = false
	private isDraining = false

	constructor(
		private readonly service: Service,
		private readonly settings: GrpcSettings,
	) {
		const { maxSockets, heartbeatMs } = service.config.limits
		const isDraining = () => this.isDraining
		this.records = new ServiceRecords(service, settings.resumeHistorySize)
		this.watchCalls = new WatchCalls(service, this.records, settings, {
			isDraining,
			disconnect: (peer) => this.connections.disconnect(peer),
		})
		this.server = createServer(settings, heartbeatMs)
		this.addServices(new UnaryCalls(service, isDraining))
		this.injector = this.server.createConnectionInjector(ServerCredentials.createInsecure())
		const defaultMaxConnections = Math.max(MIN_CONNECTIONS, Math.floor(maxSockets / SOCKETS_PER_CONNECTION))
		this.connections = new Connections(
			{
				maxConnections: settings.maxConnections || defaultMaxConnections,
				prefaceTimeoutMs: PREFACE_TIMEOUT_MS,
				onError: (error) => service.log('error', 'gRPC listener failed', { error: error.message }),
			},
			(socket) => this.injector.injectConnection(socket),
		)
	}

	/** Listens on the configured address; resolves with the port, which the system chooses if the setting is 0. */
	async start(): Promise<number> {
		const { port } = await this.connections.listen(this.settings.listen)
		this.timer = setInterval(() => this.runPeriodicWork(), this.settings.minUpdateIntervalS * 1000)
		this.service.log('info', 'gRPC server listening', { listen: this.settings.listen, port })
		return port
	}

	/** Rejects new calls, ends all streams, and ends open calls within `graceMs`; 0: immediately, as a crash does. */
	async stop(graceMs = 1000): Promise<void> {
		this.isDraining = true
		if (this.timer !== null) clearInterval(this.timer)
		if (this.service.recordObserver === this.records) this.service.recordObserver = null
		this.connections.close()
		if (graceMs > 0) {
			this.setHealth(false)
			this.watchCalls.endAll()
			this.injector.drain(graceMs)
			// Gives the last events and statuses time to be sent before the connections close.
			await new Promise((done) => setTimeout(done, Math.min(graceMs, MAX_FLUSH_MS)))
		}
		this.connections.destroy()
		this.server.forceShutdown()
	}

	/** Number of open streams, for logs and tests. */
	get openStreamCount(): number {
		return this.watchCalls.openCount
	}

	private addServices(unaryCalls: UnaryCalls): void {
		const definition = jobsPackage()
		this.server.addService(jobsService(definition), {
			Submit: unaryCalls.submit,
			Get: unaryCalls.get,
			Cancel: unaryCalls.cancel,
			Watch: this.watchCalls.watch,
		})
		new ReflectionService(definition).addToServer(this.server)
		this.health.addToServer(this.server)
	}

	private runPeriodicWork(): void {
		this.watchCalls.openHub()
		const isReady = this.watchCalls.isReady()
		if (isReady !== this.isServing) this.setHealth(isReady)
		this.watchCalls.publish()
	}

	private setHealth(isServing: boolean): void {
		this.isServing = isServing
		for (const name of ['', JOBS_SERVICE_NAME])
			this.health.setStatus(name, isServing ? 'SERVING' : 'NOT_SERVING')
	}
}
