/** HTTP client of the state service: a key-value store with transactions, watches and leases. */
import type {
	Condition,
	HttpClient,
	HttpResponse,
	Mutation,
	NoResponse,
	RangeResponse,
	WatchResponse,
} from '@heathroad/wire'
import { encodeTransaction, isMap, parseRangeResponse, parseWatchResponse } from '@heathroad/wire'
import { Data, Effect } from 'effect'

/** The request was not executed, because of a rate limit or an outage. Safe to retry. */
export class RequestRejected extends Data.TaggedError('RequestRejected')<{ readonly status: number }> {}
/** The lease has expired; keys can no longer be attached to it. */
export class LeaseExpired extends Data.TaggedError('LeaseExpired') {}
/** The watch's starting revision has been compacted; all keys must be read again. */
export class RevisionCompacted extends Data.TaggedError('RevisionCompacted') {}

/** Result of a transaction. `failedKeys`: keys whose conditions did not hold. */
export type TransactionResult =
	| { ok: true; revision: number }
	| { ok: false; failedKeys: string[]; revision: number }

/** Errors of all requests. `NoResponse`: the request may have been executed, or may be executed later. */
export type StoreFailure = NoResponse | RequestRejected

/** Prefix of all keys of heathroad, so that one watch receives all changes in order. */
export const KEY_PREFIX = 'heathroad/'

/** One page of a range read. */
export type RangePage = RangeResponse

/** Requests to the state service. Each is sent once; retries are up to the caller. */
export interface StoreClient {
	/** Applies all mutations if all conditions hold, else none. */
	transact(
		conditions: readonly Condition[],
		mutations: readonly Mutation[],
	): Effect.Effect<TransactionResult, StoreFailure | LeaseExpired>
	/**
	 * Reads keys with a prefix in key order, after the given key (null: from the start). A page has up to `size` keys, limited
	 * to 1,000 keys and 512 KiB.
	 */
	list(prefix: string, after: string | null, size: number): Effect.Effect<RangePage, StoreFailure>
	/** Reads changes after a revision to keys with a prefix (default `KEY_PREFIX`); waits up to `blockMs` for the first. */
	watch(
		afterRevision: number,
		blockMs: number,
		prefix?: string,
	): Effect.Effect<WatchResponse, StoreFailure | RevisionCompacted>
	/** Creates a lease and returns its id. */
	grantLease(durationMs: number): Effect.Effect<number, StoreFailure>
	renewLease(leaseId: number): Effect.Effect<void, StoreFailure | LeaseExpired>
	/** Revokes the lease immediately, which deletes the keys attached to it. */
	revokeLease(leaseId: number): Effect.Effect<void, StoreFailure>
}

const OK = 200
const BAD_REQUEST = 400
const NOT_FOUND = 404
const CONFLICT = 409
const GONE = 410
const TOO_MANY_REQUESTS = 429

/** Whether the state service rejected a request because of its rate limit, which does not indicate an outage. */
export const isRateLimited = (failure: { readonly _tag: string; readonly status?: number }): boolean =>
	failure._tag === 'RequestRejected' && failure.status === TOO_MANY_REQUESTS
const SERVER_ERROR = 500

/** Treats a response that can't be decoded as a rejection. */
const malformed = ({ status }: HttpResponse) => Effect.fail(new RequestRejected({ status }))

const decodeTransactionResult = (
	response: HttpResponse,
): Effect.Effect<TransactionResult, StoreFailure | LeaseExpired> => {
	const { status, body } = response
	const revision = isMap(body) ? Number(body.epoch) : Number.NaN
	if (status === OK && Number.isFinite(revision)) return Effect.succeed({ ok: true, revision })
	if (status === CONFLICT && isMap(body)) {
		const failedKeys = Array.isArray(body.failed) ? body.failed.map(String) : []
		return Effect.succeed({ ok: false, failedKeys, revision })
	}
	if (status === BAD_REQUEST && isMap(body) && String(body.error).includes('lease'))
		return Effect.fail(new LeaseExpired())
	return malformed(response)
}

const decodeRange = (response: HttpResponse): Effect.Effect<RangePage, StoreFailure> => {
	const page = response.status === OK ? parseRangeResponse(response.body) : null
	return page === null ? malformed(response) : Effect.succeed(page)
}

const decodeWatch = (
	response: HttpResponse,
): Effect.Effect<WatchResponse, StoreFailure | RevisionCompacted> => {
	if (response.status === GONE) return Effect.fail(new RevisionCompacted())
	const changes = response.status === OK ? parseWatchResponse(response.body) : null
	return changes === null ? malformed(response) : Effect.succeed(changes)
}

const decodeGrantedLease = (response: HttpResponse): Effect.Effect<number, StoreFailure> => {
	const { status, body } = response
	if (status === OK && isMap(body) && typeof body.grant === 'number') return Effect.succeed(body.grant)
	return malformed(response)
}

const decodeRenewal = (response: HttpResponse): Effect.Effect<void, StoreFailure | LeaseExpired> => {
	if (response.status === OK) return Effect.void
	return response.status === NOT_FOUND ? Effect.fail(new LeaseExpired()) : malformed(response)
}

const decodeRevocation = (response: HttpResponse): Effect.Effect<void, StoreFailure> =>
	response.status === OK || response.status === NOT_FOUND ? Effect.void : malformed(response)

/**
 * Creates a client of the state service at `address`.
 *
 * @param timeoutMs timeout of a request that neither blocks nor reads a page; reading a page may take twice as long
 * @param onContact called after each request; `answered`: the service responded, and not with a server error
 */
export const createStoreClient = (
	httpClient: HttpClient,
	address: string,
	timeoutMs: number,
	onContact: (answered: boolean) => void,
): StoreClient => {
	const request = (method: string, path: string, body: unknown, requestTimeoutMs = timeoutMs) =>
		httpClient.request(address, method, path, body, requestTimeoutMs).pipe(
			Effect.tapError(() => Effect.sync(() => onContact(false))),
			Effect.flatMap((response) => {
				const { status } = response
				// A service that responds with 429 is up; only a 5xx indicates an outage.
				onContact(status < SERVER_ERROR)
				const isRejected = status === TOO_MANY_REQUESTS || status >= SERVER_ERROR
				return isRejected ? Effect.fail(new RequestRejected({ status })) : Effect.succeed(response)
			}),
		)
	return {
		transact: (conditions, mutations) =>
			request('POST', '/txn', encodeTransaction(conditions, mutations)).pipe(
				Effect.flatMap(decodeTransactionResult),
			),
		list: (prefix, after, size) => {
			const from = after === null ? '' : `&from=${after}`
			const path = `/store?under=${prefix}${from}&page=${size}`
			return request('GET', path, undefined, timeoutMs * 2).pipe(Effect.flatMap(decodeRange))
		},
		watch: (afterRevision, blockMs, prefix = KEY_PREFIX) => {
			const path = `/watch?under=${prefix}&from=${afterRevision}&blockMs=${blockMs}`
			return request('GET', path, undefined, blockMs + timeoutMs).pipe(Effect.flatMap(decodeWatch))
		},
		grantLease: (durationMs) =>
			request('POST', '/grants', { lifeMs: durationMs }).pipe(Effect.flatMap(decodeGrantedLease)),
		renewLease: (leaseId) =>
			request('POST', `/grants/${leaseId}/extend`, {}).pipe(Effect.flatMap(decodeRenewal)),
		revokeLease: (leaseId) =>
			request('DELETE', `/grants/${leaseId}`, undefined).pipe(Effect.flatMap(decodeRevocation)),
	}
}
