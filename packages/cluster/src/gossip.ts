/** Periodic exchange of status messages between controllers, used for failure detection and to find new shard owners. */
import { Effect } from 'effect'
import type { MembershipContext } from './membership-context.js'
import { LIVENESS_TIMEOUT } from './membership-ratios.js'
import { postToPeer, STATUS_PATH } from './peer-client.js'
import { decodePeerStatus, encodePeerStatus, type PeerStatus } from './peer-status.js'

/** Another controller. */
export interface Peer {
	name: string
	address: string
	/** Monotonic time at which its latest message arrived. */
	lastSeen: number
	/** Its latest status; null if none was received. */
	status: PeerStatus | null
}

/** Status of a peer that can take another shard: it holds a lease. */
export type EligibleStatus = PeerStatus & { leaseId: number }

const holdsLease = (status: PeerStatus): status is EligibleStatus => status.leaseId !== null

/** Exchanges statuses with all peers and keeps the latest of each. */
export class Gossip {
	readonly peers: Peer[]

	/** @param localStatus returns this controller's current status */
	constructor(
		private readonly context: MembershipContext,
		private readonly localStatus: () => PeerStatus,
	) {
		this.peers = context.limits.peers.map((peer) => ({
			...peer,
			lastSeen: Number.NEGATIVE_INFINITY,
			status: null,
		}))
	}

	/** Sends this controller's status to every peer; each responds with its own. */
	sendStatus(): void {
		const message = encodePeerStatus(this.localStatus())
		for (const peer of this.peers)
			Effect.runFork(
				postToPeer(this.context, peer.address, STATUS_PATH, message).pipe(
					Effect.map((answer) => this.onStatusMessage(answer)),
				),
			)
	}

	/** Handles a peer's status message; returns this controller's own status as the response. */
	answerStatus(message: unknown): unknown {
		this.onStatusMessage(message)
		return encodePeerStatus(this.localStatus())
	}

	private onStatusMessage(message: unknown): void {
		const status = decodePeerStatus(message)
		const peer = this.find(status?.name)
		if (status === null || peer === undefined) return
		peer.lastSeen = this.context.now()
		peer.status = status
		this.context.events.onPeerStatus(status)
	}

	private find(name: string | undefined): Peer | undefined {
		return this.peers.find((peer) => peer.name === name)
	}

	/** Failure detection: whether a message of the peer arrived within `LIVENESS_TIMEOUT`. */
	isAlive(name: string): boolean {
		const peer = this.find(name)
		const timeoutMs = this.context.limits.controllerLeaseMs * LIVENESS_TIMEOUT
		return peer !== undefined && this.context.now() - peer.lastSeen < timeoutMs
	}

	/** Whether the named controller reports that it receives no heartbeats from most of the shard's machines. */
	reportsUnreachable(name: string, shardId: number): boolean {
		return this.find(name)?.status?.unreachableShards.includes(shardId) ?? false
	}

	/** The peer's status if it is alive, ready and holds a lease, and so can take another shard; else null. */
	eligibleStatus(name: string): EligibleStatus | null {
		const status = this.find(name)?.status
		if (!status?.ready || !holdsLease(status) || !this.isAlive(status.name)) return null
		return status
	}

	/** Statuses of all peers that can take another shard. */
	eligibleStatuses(): EligibleStatus[] {
		return this.peers
			.map((peer) => this.eligibleStatus(peer.name))
			.filter((status): status is EligibleStatus => status !== null)
	}
}
