/**
 * Simulated days with readers of the controllers' event streams. In virtual time there is no gRPC connection: readers use
 * the same records, hubs and subscriptions as the gRPC interface does.
 */
import { EventHub, type JobEvent, type Selection, type Subscription } from '@heathroad/events'
import { eventMessage, ServiceRecords } from '@heathroad/grpc'
import { jobsPackage, jobsService } from '@heathroad/proto'
import type { Service } from '@heathroad/server'
import type { DayObservers } from './random-day-runner.js'
import { randomDay } from './random-days.js'
import { DEFAULT_CONTROLLERS } from './simulated-day.js'
import { Simulation } from './simulation.js'

/** Interval at which a hub checks for changes, in ms. */
const HUB_CHECK_INTERVAL_MS = 500
/** Number of terminal states that a controller keeps for its streams. */
const KEPT_TERMINAL_STATES = 1000
/** Probability that a reader's stream breaks at a step. */
const BREAK_PROBABILITY = 0.02
/** Number of events that a reader takes at each step. */
const EVENTS_PER_STEP = 5
/** When the readers start, in ms. */
const READERS_START_MS = 3000
/** Number of readers on a day of random faults. */
const READERS = 12

/** The event streams of one incarnation of a controller, as its gRPC server runs them, without the network. */
export class ControllerStreams {
	readonly records: ServiceRecords
	/** null: the installation has no id yet */
	hub: EventHub | null = null
	/** whether the incarnation has ended */
	ended = false

	constructor(
		readonly node: Service,
		private readonly simulation: Simulation,
		private readonly controller: number,
	) {
		this.records = new ServiceRecords(node, KEPT_TERMINAL_STATES)
		this.scheduleCheck()
	}

	private scheduleCheck(): void {
		this.simulation.clock.after(HUB_CHECK_INTERVAL_MS, () => this.check(), this.controller)
	}

	private check(): void {
		if (this.ended) return
		const id = this.records.installationId()
		if (id === null) this.records.proposeInstallationId(`by ${this.controller}`)
		else if (this.hub === null) {
			this.hub = new EventHub(this.records, id, HUB_CHECK_INTERVAL_MS, this.node.now)
			this.records.hub = this.hub
		}
		if (!this.node.isHealthy()) this.hub?.endAll('not serving')
		this.hub?.publishChanges()
		this.scheduleCheck()
	}
}

/** Attaches event streams to every controller that boots; returns those of the current incarnations, by controller. */
export const attachStreams = (simulation: Simulation): readonly (ControllerStreams | null)[] => {
	const streams: (ControllerStreams | null)[] = []
	simulation.onStarted = (controller, node) => {
		streams[controller] = new ControllerStreams(node, simulation, controller)
	}
	simulation.onEnded = (controller) => {
		const previous = streams[controller]
		if (previous) previous.ended = true
		streams[controller] = null
	}
	return streams
}

/** Receives the events of a reader. */
export interface ReaderObserver {
	/** a stream is about to open at this cursor */
	opened(controller: number, cursor: string): void
	/** a stream was rejected */
	rejected(controller: number, why: string): void
	/** an event arrived */
	received(controller: number, event: JobEvent): void
	/** the stream is complete: it has delivered the terminal state of every named job */
	completed?(controller: number): void
}

/** A reader that watches its selection over successive streams, which break at random. */
export class StreamReader {
	private cursor = ''
	/** the controller that serves the current stream, and its streams */
	private source: { controller: number; streams: ControllerStreams } | null = null
	private subscription: Subscription | null = null
	/** whether a stream is being opened */
	private opening = false

	constructor(
		private readonly simulation: Simulation,
		private readonly streams: readonly (ControllerStreams | null)[],
		private readonly controllers: number,
		private readonly selection: Selection,
		private readonly observer: ReaderObserver,
	) {
		simulation.clock.after(READERS_START_MS, () => this.step(), null)
	}

	private step(): void {
		if (this.source?.streams.ended === true || this.subscription?.endReason) this.subscription = null
		if (this.subscription !== null && this.simulation.clock.random() < BREAK_PROBABILITY) {
			this.subscription.end(null)
			this.subscription = null
		}
		if (this.subscription === null && !this.opening) this.open()
		this.takeEvents()
		this.simulation.clock.after(this.simulation.clock.between(100, 600), () => this.step(), null)
	}

	private open(): void {
		const controller = Math.floor(this.simulation.clock.random() * this.controllers)
		const streams = this.streams[controller] ?? null
		if (streams === null || streams.hub === null || !streams.node.isHealthy()) return
		this.opening = true
		streams.node.afterLinearizableRead((isCurrent) => {
			if (!isCurrent) {
				this.opening = false
				return
			}
			streams.records.prepare(this.selection, (isComplete) => {
				this.opening = false
				if (isComplete) this.subscribe({ controller, streams })
			})
		})
	}

	private subscribe(source: { controller: number; streams: ControllerStreams }): void {
		const { controller, streams } = source
		if (streams.ended || streams.hub === null) return
		this.observer.opened(controller, this.cursor)
		const opened = streams.hub.subscribe(this.selection, this.cursor, {
			onEventsAvailable: () => {},
			onEnd: () => {},
		})
		if (typeof opened === 'string') {
			this.observer.rejected(controller, opened)
			return
		}
		this.source = source
		this.subscription = opened
	}

	private takeEvents(): void {
		const { source } = this
		if (source === null) return
		for (let taken = 0; this.subscription !== null && taken < EVENTS_PER_STEP; taken++) {
			const event = this.subscription.next()
			if (event === null) {
				if (this.subscription.isComplete) this.observer.completed?.(source.controller)
				return
			}
			this.observer.received(source.controller, event)
			this.cursor = event.cursor
		}
	}
}

/** Creates an observer that traces what a reader sends and receives. */
const tracingObserver = (
	simulation: Simulation,
	reader: number,
	selection: Selection,
	trace: DayObservers['trace'],
): ReaderObserver => {
	const { responseSerialize } = jobsService(jobsPackage()).Watch
	const message = (controller: number) => ({
		atMs: simulation.clock.nowMs,
		controller: `ctl-${controller}`,
		other: `reader-${reader}`,
		head: 'Watch',
	})
	return {
		opened: (controller, cursor) =>
			trace?.({
				...message(controller),
				direction: 'in',
				kind: 'request',
				body: { ...selection, cursor },
			}),
		rejected: (controller, why) =>
			trace?.({ ...message(controller), direction: 'out', kind: 'answer', body: why }),
		received: (controller, event) =>
			trace?.({
				...message(controller),
				direction: 'out',
				kind: 'event',
				body: responseSerialize(eventMessage(event)),
			}),
	}
}

/** Runs the day of random faults of a seed, with readers that watch a team or half of the jobs. */
export const runStreamDay = async (
	seed: number,
	{ onLogLine = () => {}, trace }: DayObservers = {},
): Promise<Simulation> => {
	const day = randomDay(seed)
	const simulation = new Simulation(day)
	simulation.onLogLine = onLogLine
	simulation.trace = trace ?? null
	const streams = attachStreams(simulation)
	const uids = day.jobs.map((job) => job.spec.uid)
	const halves = [0, 1].map((half) => uids.filter((_, index) => index % 2 === half))
	for (let reader = 0; reader < READERS; reader++) {
		const selection: Selection = reader % 2 === 0 ? { team: 'core' } : { uids: halves[(reader >> 1) % 2] }
		const observer = tracingObserver(simulation, reader, selection, trace)
		new StreamReader(simulation, streams, day.controllers ?? DEFAULT_CONTROLLERS, selection, observer)
	}
	await simulation.run()
	return simulation
}
