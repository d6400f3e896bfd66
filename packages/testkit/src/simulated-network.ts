/** The network between the simulated hosts: latency, message loss and partitions. */
import type { Clock } from './clock.js'
import type { FakeResponse } from './fake-response.js'
import type { RandomFaults } from './random-faults.js'

/** Kinds of network links, by what is at the other end of a controller's link. */
export type LinkKind = 'state' | 'cloud' | 'workers' | 'peers' | 'users'

/** The kinds of all links of a controller. */
export const ALL_LINKS: readonly LinkKind[] = ['state', 'cloud', 'workers', 'peers', 'users']

/** Faults that affect each message or transaction with some probability. */
export type MessageFault =
	| 'delayedTransactions'
	| 'lostTransactionResponses'
	| 'duplicatedHeartbeats'
	| 'heldHeartbeats'
	| 'duplicatedCommands'
	| 'duplicatedResponses'
	| 'delayedWorkerMessages'

/** A request over the network and the handling of its response. */
export interface Delivery {
	/** the kind of link, and the controller at one of its ends */
	link: { kind: LinkKind; controller: number }
	/** indexes of the controllers that run `reply` (`from`) and `serve` (`to`); null: not a controller */
	ends: { from: number | null; to: number | null }
	/** whether the process at which the request or response arrives still runs */
	isAlive: () => boolean
	/** handles the request at its destination; null: no response */
	serve: () => Promise<FakeResponse | null>
	/** receives the response; not called if a message is lost */
	reply: (response: FakeResponse | null) => void
	/** zone of the machine or index of the controller at the other end; null: neither */
	otherEnd?: string | number | null
}

/** One-way latency of a healthy link, in ms. */
const LATENCY_MS = { min: 1, max: 5 }
/** Extra latency of a message that is delivered late, in ms. */
const LATE_DELIVERY_MS = { min: 1000, max: 20_000 }
/** Extra latency of a message that `delayedWorkerMessages` affects, in ms. */
const WORKER_DELAY_MS = { min: 500, max: 6000 }
/** Bounds of the factor on the mean extra latency of slow links and of a slow state service. */
const JITTER = { min: 0.5, max: 1.5 }

/** Delivers messages between the simulated hosts; the clock's random source determines all delays and losses. */
export class SimulatedNetwork {
	/** kinds of links that are partitioned, by controller */
	readonly partitionedLinks = new Map<number, ReadonlySet<string>>()
	/** a zone partitioned from the rest, and the controllers in it; hosts in the zone can reach one another */
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
	 * Delivers a request and its response. Each may be lost or late, and neither crosses a partition that exists when
	 * it arrives. The order of the random draws must not change: a seed's day depends on it.
	 */
	deliver({ link, ends, isAlive, serve, reply, otherEnd = null }: Delivery): void {
		const { clock } = this
		const loss = clock.nowMs < this.loss.untilMs ? this.loss.share : 0
		const isPartitioned = () => this.isLinkPartitioned(link.kind, link.controller, otherEnd)
		const isDelayed = link.kind === 'workers' && this.faults.happens('delayedWorkerMessages')
		const lateMs = clock.random() < loss ? clock.between(LATE_DELIVERY_MS.min, LATE_DELIVERY_MS.max) : 0
		const stateMs = link.kind === 'state' ? this.stateLatencyMs * this.jitter() : 0
		const respond = (response: FakeResponse | null) => {
			if (response === null || clock.random() < loss) return
			const arrive = () => {
				if (!isPartitioned() && isAlive()) clock.after(0, () => reply(response), ends.from)
			}
			clock.after(this.latencyMs() + this.workerDelayMs(isDelayed) + this.linkDelayMs(), arrive, null)
		}
		const arrive = () => {
			if (isPartitioned() || clock.random() < loss || !isAlive()) return
			clock.after(0, () => void serve().then(respond), ends.to)
		}
		const delayMs = this.latencyMs() + lateMs + stateMs + this.workerDelayMs(isDelayed) + this.linkDelayMs()
		clock.after(delayMs, arrive, null)
	}

	private isLinkPartitioned(kind: LinkKind, controller: number, otherEnd: string | number | null): boolean {
		return (
			this.partitionedLinks.get(controller)?.has(kind) === true ||
			this.isZonePartitioned(controller, otherEnd)
		)
	}

	private isZonePartitioned(controller: number, otherEnd: string | number | null): boolean {
		if (this.partitionedZone === null) return false
		const { zone, controllers } = this.partitionedZone
		const otherInside = typeof otherEnd === 'number' ? controllers.includes(otherEnd) : otherEnd === zone
		return controllers.includes(controller) !== otherInside
	}

	private latencyMs(): number {
		return this.clock.between(LATENCY_MS.min, LATENCY_MS.max)
	}

	private workerDelayMs(isDelayed: boolean): number {
		return isDelayed ? this.clock.between(WORKER_DELAY_MS.min, WORKER_DELAY_MS.max) : 0
	}

	private linkDelayMs(): number {
		return this.linkLatencyMs > 0 ? this.linkLatencyMs * this.jitter() : 0
	}

	private jitter(): number {
		return this.clock.between(JITTER.min, JITTER.max)
	}
}
