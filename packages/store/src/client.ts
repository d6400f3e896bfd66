import type { Caller, Change, Condition, LogEntry, NoAnswer } from '@heathroad/wire'
import { isMap, readLog, readRange } from '@heathroad/wire'
import { Data, Effect } from 'effect'

/** Not executed: over a limit, or an outage. Safe to send again. */
export class Refused extends Data.TaggedError('Refused')<{ readonly status: number }> {}
/** The grant is over; keys can no longer be attached to it. */
export class GrantOver extends Data.TaggedError('GrantOver') {}
/** The watch's starting point is no longer kept; the keys have to be read again. */
export class TooOld extends Data.TaggedError('TooOld') {}

export type TxnResult = { ok: true; epoch: number } | { ok: false; failed: string[]; epoch: number }
export type Failure = NoAnswer | Refused

/** All keys of the service share one root, so that one watch sees every change in order. */
export const ROOT = 'heathroad/'

export interface Page {
	entries: LogEntry[]
	more: boolean
	epoch: number
}

export interface StoreClient {
	txn(
		conditions: readonly Condition[],
		changes: readonly Change[],
	): Effect.Effect<TxnResult, Failure | GrantOver>
	/** Keys under a prefix in their order, from behind one on, as many as asked for, at most 1,000 and 512 KiB. */
	page(under: string, from: string | null, size: number): Effect.Effect<Page, Failure>
	/** Changes behind an epoch, under a prefix; the service's own keys if none is given. */
	watch(
		from: number,
		blockMs: number,
		under?: string,
	): Effect.Effect<{ epoch: number; log: LogEntry[] }, Failure | TooOld>
	grant(lifeMs: number): Effect.Effect<number, Failure>
	extend(grant: number): Effect.Effect<void, Failure | GrantOver>
	/** Ends it now, with the keys that are attached to it. */
	revoke(grant: number): Effect.Effect<void, Failure>
}

export const makeStoreClient = (
	caller: Caller,
	address: string,
	timeoutMs: number,
	heard: (ok: boolean) => void,
): StoreClient => {
	const call = (method: string, path: string, body: unknown, wait: number) =>
		caller.call(address, method, path, body, wait).pipe(
			Effect.tapError(() => Effect.sync(() => heard(false))),
			Effect.flatMap((answer) => {
				const refused = answer.status === 429 || answer.status >= 500
				// 429 comes from a service that is alive; only a 5xx hints at an outage.
				heard(answer.status < 500)
				return refused ? Effect.fail(new Refused({ status: answer.status })) : Effect.succeed(answer)
			}),
		)
	const unreadable = (status: number) => Effect.fail(new Refused({ status }))
	return {
		txn: (conditions, changes) =>
			call('POST', '/txn', { if: conditions, apply: changes }, timeoutMs).pipe(
				Effect.flatMap(({ status, body }): Effect.Effect<TxnResult, Failure | GrantOver> => {
					const epoch = isMap(body) ? Number(body.epoch) : Number.NaN
					if (status === 200 && Number.isFinite(epoch)) return Effect.succeed({ ok: true, epoch })
					if (status === 409 && isMap(body)) {
						const failed = Array.isArray(body.failed) ? body.failed.map(String) : []
						return Effect.succeed({ ok: false, failed, epoch })
					}
					if (status === 400 && isMap(body) && String(body.error).includes('lease'))
						return Effect.fail(new GrantOver())
					return unreadable(status)
				}),
			),
		page: (under, from, size) => {
			const after = from === null ? '' : `&from=${from}`
			return call('GET', `/store?under=${under}${after}&page=${size}`, undefined, timeoutMs * 2).pipe(
				Effect.flatMap(({ status, body }) => {
					const page = status === 200 ? readRange(body) : null
					return page === null ? unreadable(status) : Effect.succeed(page)
				}),
			)
		},
		watch: (from, blockMs, under = ROOT) =>
			call(
				'GET',
				`/watch?under=${under}&from=${from}&blockMs=${blockMs}`,
				undefined,
				blockMs + timeoutMs,
			).pipe(
				Effect.flatMap(
					({ status, body }): Effect.Effect<{ epoch: number; log: LogEntry[] }, Failure | TooOld> => {
						if (status === 410) return Effect.fail(new TooOld())
						const log = status === 200 ? readLog(body) : null
						return log === null ? unreadable(status) : Effect.succeed(log)
					},
				),
			),
		grant: (lifeMs) =>
			call('POST', '/grants', { lifeMs }, timeoutMs).pipe(
				Effect.flatMap(({ status, body }) =>
					status === 200 && isMap(body) && typeof body.grant === 'number'
						? Effect.succeed(body.grant)
						: unreadable(status),
				),
			),
		extend: (grant) =>
			call('POST', `/grants/${grant}/extend`, {}, timeoutMs).pipe(
				Effect.flatMap(({ status }): Effect.Effect<void, Failure | GrantOver> => {
					if (status === 200) return Effect.void
					return status === 404 ? Effect.fail(new GrantOver()) : unreadable(status)
				}),
			),
		revoke: (grant) =>
			call('DELETE', `/grants/${grant}`, undefined, timeoutMs).pipe(
				Effect.flatMap(({ status }) => (status === 200 || status === 404 ? Effect.void : unreadable(status))),
			),
	}
}
