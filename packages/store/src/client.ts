import type { Condition, HttpClient, KeyValue, Mutation, NoResponse } from '@heathroad/wire'
import { encodeTransaction, isMap, parseRangeResponse, parseWatchResponse } from '@heathroad/wire'
import { Data, Effect } from 'effect'

/** Not executed: over a limit, or an outage. Safe to send again. */
export class RequestRejected extends Data.TaggedError('RequestRejected')<{ readonly status: number }> {}
/** The grant is over; keys can no longer be attached to it. */
export class LeaseExpired extends Data.TaggedError('LeaseExpired') {}
/** The watch's starting point is no longer kept; the keys have to be read again. */
export class RevisionCompacted extends Data.TaggedError('RevisionCompacted') {}

export type TransactionResult =
	| { ok: true; revision: number }
	| { ok: false; failedKeys: string[]; revision: number }
export type StoreFailure = NoResponse | RequestRejected

/** All keys of the service share one root, so that one watch sees every change in order. */
export const KEY_PREFIX = 'heathroad/'

export interface RangePage {
	entries: KeyValue[]
	more: boolean
	revision: number
}

export interface StoreClient {
	transact(
		conditions: readonly Condition[],
		mutations: readonly Mutation[],
	): Effect.Effect<TransactionResult, StoreFailure | LeaseExpired>
	/** Keys under a prefix in their order, from behind one on, as many as asked for, at most 1,000 and 512 KiB. */
	list(under: string, from: string | null, size: number): Effect.Effect<RangePage, StoreFailure>
	/** Changes behind an revision, under a prefix; the service's own keys if none is given. */
	watch(
		from: number,
		blockMs: number,
		under?: string,
	): Effect.Effect<{ revision: number; log: KeyValue[] }, StoreFailure | RevisionCompacted>
	grantLease(lifeMs: number): Effect.Effect<number, StoreFailure>
	renewLease(grant: number): Effect.Effect<void, StoreFailure | LeaseExpired>
	/** Ends it now, with the keys that are attached to it. */
	revokeLease(grant: number): Effect.Effect<void, StoreFailure>
}

export const createStoreClient = (
	httpClient: HttpClient,
	address: string,
	timeoutMs: number,
	heard: (ok: boolean) => void,
): StoreClient => {
	const call = (method: string, path: string, body: unknown, wait: number) =>
		httpClient.request(address, method, path, body, wait).pipe(
			Effect.tapError(() => Effect.sync(() => heard(false))),
			Effect.flatMap((answer) => {
				const refused = answer.status === 429 || answer.status >= 500
				// 429 comes from a service that is alive; only a 5xx hints at an outage.
				heard(answer.status < 500)
				return refused ? Effect.fail(new RequestRejected({ status: answer.status })) : Effect.succeed(answer)
			}),
		)
	const unreadable = (status: number) => Effect.fail(new RequestRejected({ status }))
	return {
		transact: (conditions, mutations) =>
			call('POST', '/txn', encodeTransaction(conditions, mutations), timeoutMs).pipe(
				Effect.flatMap(({ status, body }): Effect.Effect<TransactionResult, StoreFailure | LeaseExpired> => {
					const revision = isMap(body) ? Number(body.epoch) : Number.NaN
					if (status === 200 && Number.isFinite(revision)) return Effect.succeed({ ok: true, revision })
					if (status === 409 && isMap(body)) {
						const failedKeys = Array.isArray(body.failed) ? body.failed.map(String) : []
						return Effect.succeed({ ok: false, failedKeys, revision })
					}
					if (status === 400 && isMap(body) && String(body.error).includes('lease'))
						return Effect.fail(new LeaseExpired())
					return unreadable(status)
				}),
			),
		list: (under, from, size) => {
			const after = from === null ? '' : `&from=${from}`
			return call('GET', `/store?under=${under}${after}&page=${size}`, undefined, timeoutMs * 2).pipe(
				Effect.flatMap(({ status, body }) => {
					const page = status === 200 ? parseRangeResponse(body) : null
					return page === null ? unreadable(status) : Effect.succeed(page)
				}),
			)
		},
		watch: (from, blockMs, under = KEY_PREFIX) =>
			call(
				'GET',
				`/watch?under=${under}&from=${from}&blockMs=${blockMs}`,
				undefined,
				blockMs + timeoutMs,
			).pipe(
				Effect.flatMap(
					({
						status,
						body,
					}): Effect.Effect<{ revision: number; log: KeyValue[] }, StoreFailure | RevisionCompacted> => {
						if (status === 410) return Effect.fail(new RevisionCompacted())
						const log = status === 200 ? parseWatchResponse(body) : null
						return log === null ? unreadable(status) : Effect.succeed(log)
					},
				),
			),
		grantLease: (lifeMs) =>
			call('POST', '/grants', { lifeMs }, timeoutMs).pipe(
				Effect.flatMap(({ status, body }) =>
					status === 200 && isMap(body) && typeof body.grant === 'number'
						? Effect.succeed(body.grant)
						: unreadable(status),
				),
			),
		renewLease: (grant) =>
			call('POST', `/grants/${grant}/extend`, {}, timeoutMs).pipe(
				Effect.flatMap(({ status }): Effect.Effect<void, StoreFailure | LeaseExpired> => {
					if (status === 200) return Effect.void
					return status === 404 ? Effect.fail(new LeaseExpired()) : unreadable(status)
				}),
			),
		revokeLease: (grant) =>
			call('DELETE', `/grants/${grant}`, undefined, timeoutMs).pipe(
				Effect.flatMap(({ status }) => (status === 200 || status === 404 ? Effect.void : unreadable(status))),
			),
	}
}
