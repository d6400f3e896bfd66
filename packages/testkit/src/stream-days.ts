/**
 * Days on which readers follow jobs over the controllers' event streams: in virtual time, so without the network. What
 * the readers get goes through the same records, hubs and subscriptions as behind the gRPC face.
 */
import { EventHub, type JobEvent, type Selection, type Subscription } from '@heathroad/events'
import { eventMessage, ServiceRecords } from '@heathroad/grpc'
import { jobsPackage, jobsService } from '@heathroad/proto'
import type { Service } from '@heathroad/server'
import type { DayObservers } from './random-day-runner.js'
import { randomDay } from './random-days.js'
import { DEFAULT_CONTROLLERS } from './simulated-day.js'
import { Simulation } from './simulation.js'

/** How often a hub looks for changes, in ms. */
const CHECK_MS = 500
/** How many terminal states a controller keeps for its streams. */
const KEPT_TERMINAL_STATES = 1000
/** Probability that a reader's stream breaks at a step. */
const BREAK_SHARE = 0.02
/** How many events a reader takes at one step. */
const EVENTS_PER_STEP = 5
/** When the readers begin, in ms. */
const READERS_FROM_MS = 3000
/** Number of readers on a day that follows from a seed. */
const READERS = 12

/** The event streams of one incarnation of a controller, as its gRPC server runs them, without the network. */
export class ControllerStreams {
	readonly records: ServiceRecords
	/** null: the installation has no id yet */
	hub: EventHub | null = null
	/** the incarnation has ended */
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
		this.simulation.clock.after(CHECK_MS, () => this.check(), this.controller)
	}

	private check(): void {
		if (this.ended) return
		const id = this.records.installationId()
		if (id === null) this.records.proposeInstallationId(`by ${this.controller}`)
		else if (this.hub === null) {
			this.hub = new EventHub(this.records, id, CHECK_MS, this.node.now)
			this.records.hub = this.hub
		}
		if (!this.node.isHealthy()) this.hub?.endAll('not serving')
		this.hub?.publishChanges()
		this.scheduleCheck()
	}
}

/** Gives every controller of a simulation its streams; returns those of the present incarnations, by controller. */
export const streamsOf = (simulation: Simulation): readonly (ControllerStreams | null)[] => {
	const streams: (ControllerStreams | null)[] = []
	simulation.started = (controller, node) => {
		streams[controller] = new ControllerStreams(node, simulation, controller)
	}
	simulation.ended = (controller) => {
		const previous = streams[controller]
		if (previous) previous.ended = true
		streams[controller] = null
	}
	return streams
}

/** Observes a reader. */
export interface ReaderObserver {
	/** a stream begins at this cursor */
	begun(controller: number, cursor: string): void
	/** a stream was rejected */
	refused(controller: number, why: string): void
	/** an event arrived */
	heard(controller: number, event: JobEvent): void
	/** the stream ended as complete: it has delivered the terminal state of every named job */
	completed?(controller: number): void
}

/** A reader that follows its selection over one stream after the other; its streams break at any moment. */
export class StreamReader {
	private cursor = ''
	/** where the present stream comes from */
	private source: { controller: number; streams: ControllerStreams } | null = null
	private subscription: Subscription | null = null
	/** a stream is being opened */
	private opening = false

	constructor(
		private readonly simulation: Simulation,
		private readonly streams: readonly (ControllerStreams | null)[],
		private readonly controllers: number,
		private readonly selection: Selection,
		private readonly observer: ReaderObserver,
	) {
		simulation.clock.after(READERS_FROM_MS, () => this.step(), null)
	}

	private step(): void {
		if (this.source?.streams.ended === true || this.subscription?.endReason) this.subscription = null
		if (this.subscription !== null && this.simulation.clock.random() < BREAK_SHARE) {
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
		this.observer.begun(controller, this.cursor)
		const opened = streams.hub.subscribe(this.selection, this.cursor, {
			onEventsAvailable: () => {},
			onEnd: () => {},
		})
		if (typeof opened === 'string') {
			this.observer.refused(controller, opened)
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
			this.observer.heard(source.controller, event)
			this.cursor = event.cursor
		}
	}
}

/** An observer that traces what a reader sends and receives. */
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
		begun: (controller, cursor) =>
			trace?.({
				...message(controller),
				direction: 'in',
				kind: 'request',
				body: { ...selection, cursor },
			}),
		refused: (controller, why) =>
			trace?.({ ...message(controller), direction: 'out', kind: 'answer', body: why }),
		heard: (controller, event) =>
			trace?.({
				...message(controller),
				direction: 'out',
				kind: 'event',
				body: responseSerialize(eventMessage(event)),
			}),
	}
}

/** Runs the day of random faults that follows from a seed, with readers who follow a team or half of the jobs. */
export const runStreamDay = async (
	seed: number,
	{ tell = () => {}, trace }: DayObservers = {},
): Promise<Simulation> => {
	const day = randomDay(seed)
	const simulation = new Simulation(day)
	simulation.tell = tell
	simulation.trace = trace ?? null
	const streams = streamsOf(simulation)
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
