/**
 * Watches of the client library at the controllers of a simulation, in virtual time: the real watcher with its retries
 * and the real hubs and subscriptions, connected by links that break or lose what a controller sends.
 */
import timers from 'node:timers/promises'
import type { JobEvent as ServerEvent, Subscription } from '@heathroad/events'
import { attachStreams, type ControllerStreams, type Simulation } from '@heathroad/testkit'
import { JobWatcher } from '../packages/client/src/job-watcher.js'
import type { RetryingCaller } from '../packages/client/src/retrying-caller.js'
import type {
	JobEvent,
	RetryableFailure,
	StreamEnd,
	Transport,
	WatchRequest,
} from '../packages/client/src/transport.js'
import { fakeTransportPool } from './fake-transport-pool.js'

/** Latency of a message over a link, in ms. */
const LATENCY_MS = { from: 1, to: 5 }
/** Requested delay of a controller that does not serve yet, in ms. */
const NOT_READY_RETRY_MS = 1000

const failure = (text: string, options: Partial<RetryableFailure> = {}): RetryableFailure => ({
	kind: 'retryable',
	text,
	retryAfterMs: null,
	mayBeAccepted: true,
	isUnreachable: false,
	...options,
})
const UNREACHABLE = failure('no connection', { isUnreachable: true })
const CONNECTION_LOST = failure('the connection broke', { isConnectionLost: true })
const NOT_READY = failure('this controller cannot tell now', {
	retryAfterMs: NOT_READY_RETRY_MS,
	isNotServing: true,
})
const NOT_SERVING = failure('this controller cannot tell any more', { retryAfterMs: 100, isNotServing: true })

/** The connection of one stream. */
class Connection {
	isBroken = false
	private wake = () => {}

	break(): void {
		this.isBroken = true
		this.notify()
	}

	notify(): void {
		this.wake()
	}

	/** Resolves at the next call of `notify`. */
	nextNotification(): Promise<void> {
		return new Promise((done) => {
			this.wake = done
		})
	}
}

/** The connections from all readers to one controller. */
export class ReaderLink implements Pick<Transport, 'address' | 'watch'> {
	readonly address: string
	/** drops what the controller sends, and breaks the connection that it was sent on */
	losesResponses = false
	private readonly connections = new Set<Connection>()

	constructor(
		private readonly simulation: Simulation,
		private readonly streams: readonly (ControllerStreams | null)[],
		private readonly controller: number,
	) {
		this.address = `ctl-${controller}`
	}

	/** Breaks all open connections. */
	breakConnections(): void {
		for (const connection of this.connections) connection.break()
	}

	async *watch(
		request: WatchRequest,
		signal: AbortSignal,
		onStart: (cursor: string) => void,
	): AsyncGenerator<JobEvent, StreamEnd> {
		const server = this.streams[this.controller] ?? null
		if (server === null || server.ended) return UNREACHABLE
		const connection = new Connection()
		this.connections.add(connection)
		const abort = () => connection.break()
		signal.addEventListener('abort', abort, { once: true })
		try {
			return yield* this.stream(server, connection, request, onStart)
		} finally {
			signal.removeEventListener('abort', abort)
			this.connections.delete(connection)
		}
	}

	private async *stream(
		server: ControllerStreams,
		connection: Connection,
		request: WatchRequest,
		onStart: (cursor: string) => void,
	): AsyncGenerator<JobEvent, StreamEnd> {
		const subscription = await this.subscribe(server, connection, request)
		if ('kind' in subscription) return subscription
		try {
			if (!(await this.reachesReader(connection))) return CONNECTION_LOST
			onStart(request.cursor === '' ? subscription.cursor() : request.cursor)
			return yield* this.events(subscription, connection)
		} finally {
			subscription.end(null)
		}
	}

	private async *events(
		subscription: Subscription,
		connection: Connection,
	): AsyncGenerator<JobEvent, StreamEnd> {
		for (;;) {
			if (connection.isBroken) return CONNECTION_LOST
			const notice = connection.nextNotification()
			const event: ServerEvent | null = subscription.next()
			const isComplete = event === null && subscription.endReason === null && subscription.isComplete
			if (event === null && !isComplete) {
				if (subscription.endReason === 'too far behind') return { kind: 'restart', text: 'out of range' }
				if (subscription.endReason !== null) return NOT_SERVING
				await notice
				continue
			}
			if (!(await this.reachesReader(connection))) return CONNECTION_LOST
			if (event === null) return { kind: 'complete' }
			yield { ...event, afterGap: false }
		}
	}

	/** The steps of a Watch call at a controller: linearizable read, lookup of states outside memory, subscription. */
	private async subscribe(
		server: ControllerStreams,
		connection: Connection,
		{ selection, cursor }: WatchRequest,
	): Promise<Subscription | StreamEnd> {
		if (server.hub === null || !server.node.isHealthy()) return NOT_READY
		const prepared = new Promise<Subscription | StreamEnd>((done) => {
			server.node.afterLinearizableRead((isFresh) => {
				if (!isFresh) return done(NOT_READY)
				server.records.prepare(selection, (isComplete) => {
					if (!isComplete || server.hub === null || !server.node.isHealthy()) return done(NOT_READY)
					const opened = server.hub.subscribe(selection, cursor, {
						onEventsAvailable: () => connection.notify(),
						onEnd: () => connection.notify(),
					})
					done(typeof opened === 'string' ? { kind: 'restart', text: opened } : opened)
				})
			})
		})
		const opened = await Promise.race([prepared, this.waitUntilBroken(connection)])
		if (opened !== null) return opened
		// The controller still subscribes, and learns later that the connection is gone.
		void prepared.then((late) => ('kind' in late ? undefined : late.end(null)))
		return CONNECTION_LOST
	}

	private async waitUntilBroken(connection: Connection): Promise<null> {
		while (!connection.isBroken) await connection.nextNotification()
		return null
	}

	/** Returns whether a message that the controller sends now reaches the reader, after its latency. */
	private async reachesReader(connection: Connection): Promise<boolean> {
		const { clock } = this.simulation
		if (this.losesResponses) connection.break()
		await new Promise<void>((done) => {
			clock.after(clock.between(LATENCY_MS.from, LATENCY_MS.to), done, null)
		})
		return !connection.isBroken
	}
}

/** Creates a link to each controller of a simulation; a crash breaks the connections to that controller. */
export const createReaderLinks = (simulation: Simulation, controllerCount: number): readonly ReaderLink[] => {
	const streams = attachStreams(simulation)
	const links = Array.from(
		{ length: controllerCount },
		(_, controller) => new ReaderLink(simulation, streams, controller),
	)
	const onEnded = simulation.onEnded
	simulation.onEnded = (controller) => {
		onEnded(controller)
		links[controller].breakConnections()
	}
	return links
}

/** Creates a watcher of the client library; its first address is random. */
export const createWatcher = (simulation: Simulation, links: readonly ReaderLink[]): JobWatcher => {
	const random = () => simulation.clock.random()
	const first = Math.floor(random() * links.length)
	return new JobWatcher(fakeTransportPool(links, first), {} as RetryingCaller, 0, random)
}

/**
 * Runs a simulated day with the timers of the client library in virtual time too. `schedule` is called when the first
 * controller starts.
 */
export const runWithClients = async (simulation: Simulation, schedule: () => void): Promise<void> => {
	const onStarted = simulation.onStarted
	simulation.onStarted = (controller, node) => {
		simulation.onStarted = onStarted
		schedule()
		onStarted(controller, node)
	}
	const realSleep = timers.setTimeout
	const virtualSleep = (ms: number, value: unknown, { signal }: { signal?: AbortSignal } = {}) =>
		new Promise((resolve, reject) => {
			const abort = () => reject(signal?.reason)
			signal?.addEventListener('abort', abort, { once: true })
			const wake = () => {
				signal?.removeEventListener('abort', abort)
				resolve(value)
			}
			simulation.clock.after(ms, wake, null)
		})
	Object.assign(timers, { setTimeout: virtualSleep })
	try {
		await simulation.run()
	} finally {
		Object.assign(timers, { setTimeout: realSleep })
	}
}
