/** Request and response messages of takeover promises, and their codecs. */
import { isMap } from '@heathroad/wire'
import type { CancelledJob } from './cancellation-log.js'

/** A member's request not to take over its shards for a short time. */
export interface TakeoverPromiseRequest {
	member: string
	/** Shard -> fencing token under which the member acts for it. */
	ownedShards: ReadonlyMap<number, number>
	/** Revision up to which the member has applied the records. */
	revision: number
}

/** Encodes a request as a message. */
export const encodePromiseRequest = ({ member, ownedShards, revision }: TakeoverPromiseRequest): unknown => ({
	name: member,
	owned: Object.fromEntries(ownedShards),
	epoch: revision,
})

/** Decodes a request; null if it is malformed, or from an older version that sends no revision. */
export const decodePromiseRequest = (message: unknown): TakeoverPromiseRequest | null => {
	if (!isMap(message) || typeof message.name !== 'string' || typeof message.epoch !== 'number') return null
	const owned = isMap(message.owned) ? Object.entries(message.owned) : []
	return {
		member: message.name,
		ownedShards: new Map(owned.map(([shardId, token]) => [Number(shardId), Number(token)])),
		revision: message.epoch,
	}
}

/** Response that refuses a promise. */
export const PROMISE_REFUSED = { promised: false } as const

/** Encodes the response that gives a promise, with the cancellations that the requester may not know. */
export const encodePromise = (cancellations: readonly CancelledJob[]): unknown => ({
	promised: true,
	cancelled: encodeCancellations(cancellations),
})

/** Decodes a response into its cancellations; null if the promise is refused or the response malformed. */
export const decodePromiseAnswer = (message: unknown): CancelledJob[] | null =>
	isMap(message) && message.promised === true ? decodeCancellations(message.cancelled) : null

/** Encodes cancellations for messages between controllers. */
export const encodeCancellations = (cancellations: readonly CancelledJob[]): unknown =>
	cancellations.map((job) => [job.uid, job.revision])

/** Decodes cancellations; null if they are malformed, or absent as from a controller of an older version. */
export const decodeCancellations = (data: unknown): CancelledJob[] | null => {
	if (!Array.isArray(data)) return null
	const cancellations: CancelledJob[] = []
	for (const item of data) {
		if (!Array.isArray(item) || typeof item[0] !== 'string' || typeof item[1] !== 'number') return null
		cancellations.push({ uid: item[0], revision: item[1] })
	}
	return cancellations
}
