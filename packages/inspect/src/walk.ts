/** Reads all keys of the state service at a limited rate, while the service is in use. */

import { RevisionCompacted, type StoreClient, type StoreFailure } from '@heathroad/store'
import type { KeyValue } from '@heathroad/wire'
import { Effect } from 'effect'

/** Prefix of all keys of the service, the archive included. */
export const ROOT_PREFIX = 'heathroad'

/** Maximum number of keys that one request reads. */
const KEYS_PER_REQUEST = 200

/** Delay before a failed request is retried. */
const RETRY_DELAY_MS = 1000

/** Limits on the requests to the state service. */
export interface WalkLimits {
	/** requests a second */
	requestsPerS: number
	/** attempts of one request */
	maxTries: number
}

/** A service rejected a request or did not respond, in every attempt. */
export class ServiceUnavailable extends Error {}

/** Sends a request at the limited rate, and retries it when it fails. */
const withRetries = <A>(
	request: Effect.Effect<A, StoreFailure>,
	limits: WalkLimits,
): Effect.Effect<A, ServiceUnavailable> => {
	const pacedRequest = Effect.sleep(1000 / limits.requestsPerS).pipe(Effect.andThen(request))
	const attempt = (triesLeft: number): Effect.Effect<A, ServiceUnavailable> =>
		pacedRequest.pipe(
			Effect.catch((failure) =>
				triesLeft > 1
					? Effect.sleep(RETRY_DELAY_MS).pipe(Effect.andThen(Effect.suspend(() => attempt(triesLeft - 1))))
					: Effect.fail(new ServiceUnavailable(`the state does not answer (${failure._tag})`)),
			),
		)
	return attempt(limits.maxTries)
}

/** Reads all keys in order and passes them to `onEntries` page by page; returns the revision of the first page. */
export const walk = (
	client: Pick<StoreClient, 'list'>,
	limits: WalkLimits,
	onEntries: (entries: readonly KeyValue[]) => void,
	prefix = ROOT_PREFIX,
): Effect.Effect<number, ServiceUnavailable> =>
	Effect.gen(function* () {
		let from: string | null = null
		let firstRevision: number | null = null
		for (;;) {
			const page: { entries: KeyValue[]; more: boolean; revision: number } = yield* withRetries(
				client.list(prefix, from, KEYS_PER_REQUEST),
				limits,
			)
			firstRevision ??= page.revision
			onEntries(page.entries)
			if (!page.more || page.entries.length === 0) return firstRevision
			from = page.entries[page.entries.length - 1].key
		}
	})

/**
 * Reads the changes since a revision, which bring pages that were read at different revisions to a common one. Fails if
 * the revision is compacted, as reading took too long for the rate of changes.
 */
export const changesSince = (
	client: Pick<StoreClient, 'watch'>,
	revision: number,
	limits: WalkLimits,
): Effect.Effect<{ revision: number; log: KeyValue[] }, ServiceUnavailable> =>
	withRetries(
		client
			.watch(revision, 0, ROOT_PREFIX)
			.pipe(
				Effect.catch((failure) =>
					failure instanceof RevisionCompacted ? Effect.succeed(null) : Effect.fail(failure),
				),
			),
		limits,
	).pipe(
		Effect.flatMap((changes) =>
			changes === null
				? Effect.fail(
						new ServiceUnavailable(
							'the state changed more than it keeps while it was read: try at a quieter time',
						),
					)
				: Effect.succeed(changes),
		),
	)
