/**
 * Messages of the state service, a consensus-backed key-value store: transactions (`/txn`), watches (`/watch`) and key
 * ranges. On the wire its revision is `epoch`, a key's mod revision `stamp`, and a lease `grant`; the names are mapped
 * only here.
 */
import { isMap } from './codec.js'

/** A precondition of a transaction: the key must have this mod revision; 0: the key must be absent. */
export interface Condition {
	key: string
	modRevision: number
}

/** A change of one key. A key attached to a lease is deleted when the lease expires. */
export type Mutation = { set: string; data: unknown; leaseId?: number } | { delete: string }

/** A key with its value and the revision of its latest change. */
export interface KeyValue {
	key: string
	/** value; undefined: the key was deleted */
	data: unknown
	modRevision: number
}

/** Changes after the requested revision, in the order of their application, up to and including `revision`. */
export interface WatchResponse {
	revision: number
	log: KeyValue[]
}

/** A page of keys in key order, as of `revision`. */
export interface RangeResponse {
	entries: KeyValue[]
	/** whether further keys follow the last one */
	more: boolean
	revision: number
}

/** A condition in its wire format. */
export interface WireCondition {
	key: string
	stamp: number
}

/** A mutation in its wire format. */
export type WireMutation = { set: string; data: unknown; grant?: number } | { delete: string }

/** A transaction in its wire format. */
export interface WireTransaction {
	if: WireCondition[]
	apply: WireMutation[]
}

const encodeMutation = (mutation: Mutation): WireMutation => {
	if ('delete' in mutation) return mutation
	const { set, data, leaseId } = mutation
	return leaseId === undefined ? { set, data } : { set, data, grant: leaseId }
}

/** Encodes the body of a transaction request. */
export const encodeTransaction = (
	conditions: readonly Condition[],
	mutations: readonly Mutation[],
): WireTransaction => ({
	if: conditions.map(({ key, modRevision }) => ({ key, stamp: modRevision })),
	apply: mutations.map(encodeMutation),
})

/** Parses the response to a watch request; null: it is malformed. */
export const parseWatchResponse = (body: unknown): WatchResponse | null => {
	if (!isMap(body) || typeof body.epoch !== 'number' || !Array.isArray(body.log)) return null
	const log: KeyValue[] = []
	for (const event of body.log) {
		if (!isMap(event) || typeof event.stamp !== 'number') return null
		const modRevision = event.stamp
		if (typeof event.set === 'string') log.push({ key: event.set, data: event.data ?? null, modRevision })
		else if (typeof event.delete === 'string') log.push({ key: event.delete, data: undefined, modRevision })
	}
	return { revision: body.epoch, log }
}

/** Parses the response to a range request; null: it is malformed. */
export const parseRangeResponse = (body: unknown): RangeResponse | null => {
	if (!isMap(body) || typeof body.epoch !== 'number' || !Array.isArray(body.entries)) return null
	const entries: KeyValue[] = []
	for (const entry of body.entries) {
		if (!isMap(entry) || typeof entry.key !== 'string' || typeof entry.stamp !== 'number') return null
		entries.push({ key: entry.key, data: entry.data ?? null, modRevision: entry.stamp })
	}
	return { entries, more: body.truncated === true, revision: body.epoch }
}
