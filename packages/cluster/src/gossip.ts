/** Regular exchange of status messages between controllers, and what follows from it: who is alive and who may own shards. */
import { Effect } from 'effect'
import type { MembershipContext } from './membership-context.js'
import { LIVENESS_TIMEOUT } from './membership-ratios.js'
import { postToPeer, STATUS_PATH } from './peer-client.js'
import { decodePeerStatus, encodePeerStatus, type PeerStatus } from './peer-status.js'

/** Another controller. */
export interface Peer {
	name: string
	address: string
	/** Steady time of its latest message. */
	lastSeen: number
	/** Its latest status; null: none was received. */
	status: PeerStatus | null
}

/** Status of a peer that could own one more shard right now. */
export type EligibleStatus = PeerStatus & { leaseId: number }

const holdsLease = (status: PeerStatus): status is EligibleStatus => status.leaseId !== null

/** Exchanges statuses with all peers and keeps their latest. */
export class Gossip {
	readonly peers: Peer[]

	/** `localStatus`: this controller's own status at the moment. */
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

	/** Sends this controller's status to every peer; each answers with its own. */
	sendStatus(): void {
		const message = encodePeerStatus(this.localStatus())
		for (const peer of this.peers)
			Effect.runFork(
				postToPeer(this.context, peer.address, STATUS_PATH, message).pipe(
					Effect.map((answer) => this.onStatusMessage(answer)),
				),
			)
	}

	/** Answers a peer's status message with this controller's own status. */
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

	/** Failure detection: was the peer heard from lately? */
	isAlive(name: string): boolean {
		const peer = this.find(name)
		const timeoutMs = this.context.limits.controllerLeaseMs * LIVENESS_TIMEOUT
		return peer !== undefined && this.context.now() - peer.lastSeen < timeoutMs
	}

	/** Is a shard among those whose machines the named controller does not hear? */
	reportsUnreachable(name: string, shardId: number): boolean {
		return this.find(name)?.status?.unreachableShards.includes(shardId) ?? false
	}

	/** A peer's status if it could own one more shard right now. */
	eligibleStatus(name: string): EligibleStatus | null {
		const status = this.find(name)?.status
		if (!status?.ready || !holdsLease(status) || !this.isAlive(status.name)) return null
		return status
	}

	/** Statuses of all peers that could own one more shard right now. */
	eligibleStatuses(): EligibleStatus[] {
		return this.peers
			.map((peer) => this.eligibleStatus(peer.name))
			.filter((status): status is EligibleStatus => status !== null)
	}
}
