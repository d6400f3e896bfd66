import { type Failure, type StoreClient, TooOld } from '@heathroad/store'
import type { LogEntry } from '@heathroad/wire'
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

const asked = <A>(effect: Effect.Effect<A, Failure>, limits: WalkLimits): Effect.Effect<A, Unreadable> => {
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

/** Tells every key in order, page by page; the epoch of the first page. */
export const walk = (
	client: Pick<StoreClient, 'page'>,
	limits: WalkLimits,
	tell: (entries: readonly LogEntry[]) => void,
	under = ALL,
): Effect.Effect<number, Unreadable> =>
	Effect.gen(function* () {
		let from: string | null = null
		let first = -1
		for (;;) {
			const page: { entries: LogEntry[]; more: boolean; epoch: number } = yield* asked(
				client.page(under, from, PAGE),
				limits,
			)
			if (first < 0) first = page.epoch
			tell(page.entries)
			if (!page.more || page.entries.length === 0) return first
			from = page.entries[page.entries.length - 1].key
		}
	})

/**
 * What changed since an epoch, to bring pages that were read one after the other to one common epoch. Fails if the
 * service does not keep that much any more: the reading took too long for the rate of changes.
 */
export const since = (
	client: Pick<StoreClient, 'watch'>,
	epoch: number,
	limits: WalkLimits,
): Effect.Effect<{ epoch: number; log: LogEntry[] }, Unreadable> =>
	asked(
		client
			.watch(epoch, 0, ALL)
			.pipe(Effect.catch((e) => (e instanceof TooOld ? Effect.succeed(null) : Effect.fail(e)))),
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
