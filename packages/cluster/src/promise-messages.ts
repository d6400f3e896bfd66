/** Messages by which controllers ask each other for takeover promises, and their codecs. */
import { isMap } from '@heathroad/wire'
import type { CancelledJob } from './cancellation-log.js'

/** A member's request that its shards are not taken over for a short while. */
export interface TakeoverPromiseRequest {
	member: string
	/** Shard -> fencing token by which the member acts for it. */
	ownedShards: ReadonlyMap<number, number>
	/** Up to where the member knows the records. */
	revision: number
}

/** The message that carries a request. */
export const encodePromiseRequest = ({ member, ownedShards, revision }: TakeoverPromiseRequest): unknown => ({
	name: member,
	owned: Object.fromEntries(ownedShards),
	epoch: revision,
})

/** Reads a request; null: it is malformed, or of an older version that names no revision. */
export const decodePromiseRequest = (message: unknown): TakeoverPromiseRequest | null => {
	if (!isMap(message) || typeof message.name !== 'string' || typeof message.epoch !== 'number') return null
	const owned = isMap(message.owned) ? Object.entries(message.owned) : []
	return {
		member: message.name,
		ownedShards: new Map(owned.map(([shardId, token]) => [Number(shardId), Number(token)])),
		revision: message.epoch,
	}
}

/** The answer that refuses a promise. */
export const PROMISE_REFUSED = { promised: false } as const

/** The answer that gives a promise, with the cancellations that the requester may not know. */
export const encodePromise = (cancellations: readonly CancelledJob[]): unknown => ({
	promised: true,
	cancelled: encodeCancellations(cancellations),
})

/** Reads an answer; null: the promise is refused, or the answer malformed. */
export const decodePromiseAnswer = (message: unknown): CancelledJob[] | null =>
	isMap(message) && message.promised === true ? decodeCancellations(message.cancelled) : null

/** Cancellations as controllers send them to each other. */
export const encodeCancellations = (cancellations: readonly CancelledJob[]): unknown =>
	cancellations.map((job) => [job.uid, job.revision])

/** Reads cancellations; null: malformed, or absent, as from a controller of an older version. */
export const decodeCancellations = (data: unknown): CancelledJob[] | null => {
	if (!Array.isArray(data)) return null
	const cancellations: CancelledJob[] = []
	for (const item of data) {
		if (!Array.isArray(item) || typeof item[0] !== 'string' || typeof item[1] !== 'number') return null
		cancellations.push({ uid: item[0], revision: item[1] })
	}
	return cancellations
}
