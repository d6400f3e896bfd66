/**
 * Days on which readers follow jobs over the controllers' event streams: in virtual time, so without the network. What
 * the readers hear goes through the same records, hubs and subscriptions as behind the gRPC face.
 */
import { Hub, type JobEvent, type Selection, type Subscription } from '@heathroad/events'
import { eventMessage, ServiceRecords } from '@heathroad/grpc'
import { jobsPackage, jobsService } from '@heathroad/proto'
import type { Service } from '@heathroad/server'
import { type DayObservers, randomDay } from './random-days.js'
import { Simulation } from './simulation.js'

/** How often a hub looks at what changed. */
const LOOK_MS = 500
/** How many final states a controller keeps for its streams. */
const KEPT_FINALS = 1000
/** Share of a reader's steps at which its stream breaks. */
const BREAK_SHARE = 0.02
/** How many events a reader takes at once. */
const EVENTS_PER_STEP = 5
/** When the readers begin. */
const READERS_FROM_MS = 3000
/** How many readers there are on a day that follows from a seed. */
const READERS = 12

/** The event streams of one life of a controller, as its face for gRPC runs them, without the network. */
export class ControllerStreams {
	readonly records: ServiceRecords
	hub: Hub | null = null
	over = false

	constructor(
		readonly node: Service,
		private readonly world: Simulation,
		private readonly controller: number,
	) {
		this.records = new ServiceRecords(node, KEPT_FINALS)
		this.lookLater()
	}

	private lookLater(): void {
		this.world.clock.after(LOOK_MS, () => this.look(), this.controller)
	}

	private look(): void {
		if (this.over) return
		const id = this.records.installation()
		if (id === null) this.records.nameInstallation(`by ${this.controller}`)
		else if (this.hub === null) {
			this.hub = new Hub(this.records, id, LOOK_MS, this.node.now)
			this.records.hub = this.hub
		}
		if (!this.node.isHealthy()) this.hub?.endAll('not serving')
		this.hub?.look()
		this.lookLater()
	}
}

/** Gives every controller of a world its streams; returns those of its present lives, by controller. */
export const streamsOf = (simulation: Simulation): readonly (ControllerStreams | null)[] => {
	const streams: (ControllerStreams | null)[] = []
	simulation.started = (i, node) => {
		streams[i] = new ControllerStreams(node, simulation, i)
	}
	simulation.ended = (i) => {
		const ended = streams[i]
		if (ended) ended.over = true
		streams[i] = null
	}
	return streams
}

/** What a reader tells of itself. */
export interface ReaderObserver {
	/** a stream begins at this cursor */
	begun(controller: number, cursor: string): void
	/** a stream was refused */
	refused(controller: number, why: string): void
	heard(controller: number, event: JobEvent): void
}

/** A reader that follows its selection over one stream after the other; its streams break at any moment. */
export class StreamReader {
	private cursor = ''
	private at: { controller: number; streams: ControllerStreams } | null = null
	private subscription: Subscription | null = null
	private asking = false

	constructor(
		private readonly world: Simulation,
		private readonly streams: readonly (ControllerStreams | null)[],
		private readonly controllers: number,
		private readonly selection: Selection,
		private readonly observer: ReaderObserver,
	) {
		world.clock.after(READERS_FROM_MS, () => this.step(), null)
	}

	private step(): void {
		if (this.at?.streams.over === true || this.subscription?.ended) this.subscription = null
		if (this.subscription !== null && this.world.clock.random() < BREAK_SHARE) {
			this.subscription.end(null)
			this.subscription = null
		}
		if (this.subscription === null && !this.asking) this.begin()
		this.takeEvents()
		this.world.clock.after(this.world.clock.between(100, 600), () => this.step(), null)
	}

	private begin(): void {
		const controller = Math.floor(this.world.clock.random() * this.controllers)
		const streams = this.streams[controller] ?? null
		if (streams === null || streams.hub === null || !streams.node.isHealthy()) return
		this.asking = true
		streams.node.afterLinearizableRead((fresh) => {
			this.asking = false
			if (!fresh || streams.over || streams.hub === null) return
			this.observer.begun(controller, this.cursor)
			const begun = streams.hub.subscribe(this.selection, this.cursor, { wake: () => {}, ended: () => {} })
			if (typeof begun === 'string') return this.observer.refused(controller, begun)
			this.at = { controller, streams }
			this.subscription = begun
		})
	}

	private takeEvents(): void {
		for (let taken = 0; this.subscription !== null && taken < EVENTS_PER_STEP; taken++) {
			const event = this.subscription.next()
			if (event === null) return
			this.observer.heard(this.at!.controller, event)
			this.cursor = event.cursor
		}
	}
}

/** Plays the day of any troubles that follows from a seed, with readers who follow a team or half of the jobs. */
export const playStreamDay = async (
	seed: number,
	{ tell = () => {}, trace }: DayObservers = {},
): Promise<Simulation> => {
	const day = randomDay(seed)
	const simulation = new Simulation(day)
	simulation.tell = tell
	simulation.trace = trace ?? null
	const streams = streamsOf(simulation)
	const { responseSerialize } = jobsService(jobsPackage()).Watch
	const halves = [0, 1].map((half) => day.jobs.flatMap((j, i) => (i % 2 === half ? [j.spec.uid] : [])))
	for (let reader = 0; reader < READERS; reader++) {
		const selection: Selection = reader % 2 === 0 ? { team: 'core' } : { uids: halves[(reader >> 1) % 2] }
		const message = (controller: number) => ({
			atMs: simulation.clock.nowMs,
			controller: `ctl-${controller}`,
			other: `reader-${reader}`,
		})
		new StreamReader(simulation, streams, day.controllers ?? 3, selection, {
			begun: (controller, cursor) =>
				trace?.({
					...message(controller),
					direction: 'in',
					kind: 'request',
					head: 'Watch',
					body: { ...selection, cursor },
				}),
			refused: (controller, why) =>
				trace?.({ ...message(controller), direction: 'out', kind: 'answer', head: 'Watch', body: why }),
			heard: (controller, event) =>
				trace?.({
					...message(controller),
					direction: 'out',
					kind: 'event',
					head: 'Watch',
					body: responseSerialize(eventMessage(event)),
				}),
		})
	}
	await simulation.play()
	return simulation
}
