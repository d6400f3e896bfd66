import { RevisionCompacted, type StoreClient, type StoreFailure } from '@heathroad/store'
import type { KeyValue } from '@heathroad/wire'
import { Effect } from 'effect'

/** All that the service keeps, the archive included, begins with this. */
export const ALL = 'heathroad'

/** Keys that one request reads. */
const PAGE = 200

export interface WalkLimits {
	/** requests a second */
	perS: number
	/** tries of one request */
	tries: number
}

/** A request that goes on being refused or unanswered. */
export class Unreadable extends Error {}

const asked = <A>(
	effect: Effect.Effect<A, StoreFailure>,
	limits: WalkLimits,
): Effect.Effect<A, Unreadable> => {
	const gap = Effect.sleep(1000 / limits.perS)
	const once = gap.pipe(Effect.andThen(effect))
	const again = (left: number): Effect.Effect<A, Unreadable> =>
		once.pipe(
			Effect.catch((e) =>
				left > 1
					? Effect.sleep(1000).pipe(Effect.andThen(Effect.suspend(() => again(left - 1))))
					: Effect.fail(new Unreadable(`the state does not answer (${e._tag})`)),
			),
		)
	return again(limits.tries)
}

/** Tells every key in order, page by page; the revision of the first page. */
export const walk = (
	client: Pick<StoreClient, 'list'>,
	limits: WalkLimits,
	tell: (entries: readonly KeyValue[]) => void,
	under = ALL,
): Effect.Effect<number, Unreadable> =>
	Effect.gen(function* () {
		let from: string | null = null
		let first = -1
		for (;;) {
			const page: { entries: KeyValue[]; more: boolean; revision: number } = yield* asked(
				client.list(under, from, PAGE),
				limits,
			)
			if (first < 0) first = page.revision
			tell(page.entries)
			if (!page.more || page.entries.length === 0) return first
			from = page.entries[page.entries.length - 1].key
		}
	})

/**
 * What changed since an revision, to bring pages that were read one after the other to one common revision. Fails if the
 * service does not keep that much any more: the reading took too long for the rate of changes.
 */
export const since = (
	client: Pick<StoreClient, 'watch'>,
	revision: number,
	limits: WalkLimits,
): Effect.Effect<{ revision: number; log: KeyValue[] }, Unreadable> =>
	asked(
		client
			.watch(revision, 0, ALL)
			.pipe(Effect.catch((e) => (e instanceof RevisionCompacted ? Effect.succeed(null) : Effect.fail(e)))),
		limits,
	).pipe(
		Effect.flatMap((news) =>
			news === null
				? Effect.fail(
						new Unreadable('the state changed more than it keeps while it was read: try at a quieter time'),
					)
				: Effect.succeed(news),
		),
	)
