/** The network between the simulated hosts: latency, loss, cuts and partitions. */
import type { Clock } from './clock.js'
import type { FakeResponse } from './fake-response.js'
import type { RandomFaults } from './random-faults.js'

/** What is at the other end of a controller's link. */
export type LinkKind = 'state' | 'cloud' | 'workers' | 'peers' | 'users'

/** All links of a controller. */
export const ALL_LINKS: readonly LinkKind[] = ['state', 'cloud', 'workers', 'peers', 'users']

/** Faults that affect each message or transaction with a probability. */
export type MessageFault =
	| 'delayedTransactions'
	| 'lostTransactionResponses'
	| 'duplicatedHeartbeats'
	| 'heldHeartbeats'
	| 'delayedWorkerMessages'

/** One request over the network and its response. */
export interface Delivery {
	/** the kind of the link, and the controller at one end of it */
	link: { kind: LinkKind; controller: number }
	/** the controller processes at both ends that run `reply` and `serve`; null: not a controller */
	ends: { from: number | null; to: number | null }
	/** does the process that the request or response arrives at still run? */
	isAlive: () => boolean
	/** handles the request at its destination; null: no response */
	serve: () => Promise<FakeResponse | null>
	/** takes the response; not called if a message is lost */
	reply: (response: FakeResponse | null) => void
	/** zone of the machine, or index of the controller, at the other end; null: in no zone */
	otherEnd?: string | number | null
}

/** One-way latency of a healthy link, in ms. */
const LATENCY_MS = { min: 1, max: 5 }
/** Extra latency of a message that is delivered late, in ms. */
const LATE_MS = { min: 1000, max: 20_000 }
/** Extra latency of a message that is held up, in ms. */
const HELD_UP_MS = { min: 500, max: 6000 }
/** Slow links and a slow state service vary around their mean latency by these factors. */
const JITTER = { min: 0.5, max: 1.5 }

/** Delivers messages between the simulated hosts; all delays and losses are drawn from the clock's seed. */
export class SimulatedNetwork {
	/** links that are cut, by controller */
	readonly cutLinks = new Map<number, ReadonlySet<string>>()
	/** a zone without connection to the rest, with the controllers inside; hosts inside reach one another */
	partitionedZone: { zone: string; controllers: readonly number[] } | null = null
	/** mean extra latency of requests to the state service, in ms */
	stateLatencyMs = 0
	/** mean extra latency of every message, in ms */
	linkLatencyMs = 0

	constructor(
		private readonly clock: Clock,
		private readonly faults: RandomFaults<MessageFault>,
		private readonly loss: { share: number; untilMs: number },
	) {}

	/**
	 * Delivers a request and its response. Each may be lost or late, and neither crosses a cut that exists when it
	 * arrives. The order of the random draws is part of what a day follows from.
	 */
	deliver({ link, ends, isAlive, serve, reply, otherEnd = null }: Delivery): void {
		const { clock } = this
		const loss = clock.nowMs < this.loss.untilMs ? this.loss.share : 0
		const isCut = () => this.isCut(link.kind, link.controller, otherEnd)
		const heldUp = link.kind === 'workers' && this.faults.happens('delayedWorkerMessages')
		const lateMs = clock.random() < loss ? clock.between(LATE_MS.min, LATE_MS.max) : 0
		const stateMs = link.kind === 'state' ? this.stateLatencyMs * this.jitter() : 0
		const respond = (response: FakeResponse | null) => {
			if (response === null || clock.random() < loss) return
			const arrive = () => {
				if (!isCut() && isAlive()) clock.after(0, () => reply(response), ends.from)
			}
			clock.after(this.latencyMs() + this.heldUpMs(heldUp) + this.linkDelayMs(), arrive, null)
		}
		const arrive = () => {
			if (isCut() || clock.random() < loss || !isAlive()) return
			clock.after(0, () => void serve().then(respond), ends.to)
		}
		const delayMs = this.latencyMs() + lateMs + stateMs + this.heldUpMs(heldUp) + this.linkDelayMs()
		clock.after(delayMs, arrive, null)
	}

	private isCut(kind: LinkKind, controller: number, otherEnd: string | number | null): boolean {
		return this.cutLinks.get(controller)?.has(kind) === true || this.isPartitioned(controller, otherEnd)
	}

	private isPartitioned(controller: number, otherEnd: string | number | null): boolean {
		if (this.partitionedZone === null) return false
		const { zone, controllers } = this.partitionedZone
		const otherInside = typeof otherEnd === 'number' ? controllers.includes(otherEnd) : otherEnd === zone
		return controllers.includes(controller) !== otherInside
	}

	private latencyMs(): number {
		return this.clock.between(LATENCY_MS.min, LATENCY_MS.max)
	}

	private heldUpMs(heldUp: boolean): number {
		return heldUp ? this.clock.between(HELD_UP_MS.min, HELD_UP_MS.max) : 0
	}

	private linkDelayMs(): number {
		return this.linkLatencyMs > 0 ? this.linkLatencyMs * this.jitter() : 0
	}

	private jitter(): number {
		return this.clock.between(JITTER.min, JITTER.max)
	}
}
