/** Reads terminal states of the first record format, each under its job's own key, that are not in memory. */

import type { RangePage, RequestPacer, StoreClient, StoreFailure } from '@heathroad/store'
import { isRateLimited, KEY_PREFIX } from '@heathroad/store'
import { Effect } from 'effect'
import type { ArchivedJob } from './archived-job.js'
import { decodeLegacyTerminalState } from './legacy-record.js'
import { ordinalOf } from './ordinals.js'
import { SerialReads } from './serial-reads.js'

/** What a job's own key holds. */
export type LegacyRead =
	| { kind: 'found'; job: ArchivedJob }
	/** the key did not exist at this revision of the store; its state may have moved to a page before */
	| { kind: 'not found'; readAt: number }
	/** the key holds the record of an open job, or one that can't be decoded */
	| { kind: 'not terminal' }
	/** the key could not be read, or too many reads wait */
	| { kind: 'unreadable' }

/** What a read of the keys from a job's own key on tells of the job. */
const resultOf = (uid: string, key: string, { entries, revision }: RangePage): LegacyRead => {
	const entry = entries.find((candidate) => candidate.key === key)
	if (entry === undefined) return { kind: 'not found', readAt: revision }
	const job = decodeLegacyTerminalState(ordinalOf(uid), entry.data, entry.modRevision)
	return job === null ? { kind: 'not terminal' } : { kind: 'found', job }
}

interface PendingRead {
	uid: string
	resolve: (result: LegacyRead) => void
}

/**
 * Reads jobs' own keys on demand. That a key holds no terminal state proves nothing by itself: the record migration moves
 * terminal states from own keys to pages, which controllers hold in memory.
 */
export class LegacyRecordReader {
	private pending: PendingRead[] = []
	private readonly serialReads: SerialReads

	/** `maxPending`: reads that may wait at a time; further ones are answered as unreadable at once. */
	constructor(
		private readonly client: Pick<StoreClient, 'list'>,
		pacer: RequestPacer,
		private readonly maxPending: number,
		onDefect: (cause: unknown) => void = () => {},
	) {
		this.serialReads = new SerialReads(
			pacer,
			() => this.pending.length > 0,
			() => (this.pending.length === 0 ? null : this.readFor(this.pending[0])),
			onDefect,
		)
	}

	/** Reads a job's own key. */
	read(uid: string): Effect.Effect<LegacyRead> {
		return Effect.callback<LegacyRead>((resume) => {
			if (this.pending.length >= this.maxPending) return resume(Effect.succeed({ kind: 'unreadable' }))
			const read = { uid, resolve: (result: LegacyRead) => resume(Effect.succeed(result)) }
			this.pending.push(read)
			this.serialReads.start()
			return Effect.sync(() => this.remove(read))
		})
	}

	private remove(read: PendingRead): void {
		this.pending = this.pending.filter((other) => other !== read)
	}

	private readFor(read: PendingRead): Effect.Effect<void> {
		const key = `${KEY_PREFIX}job/${read.uid}`
		return this.client.list(key, null, 1).pipe(
			Effect.map((page) => this.resolve(read, resultOf(read.uid, key, page))),
			Effect.catch((failure) => Effect.sync(() => this.onReadFailed(read, failure))),
		)
	}

	/** A read refused for its rate is no outage: it is made again in a later turn. */
	private onReadFailed(read: PendingRead, failure: StoreFailure): void {
		if (!isRateLimited(failure)) this.resolve(read, { kind: 'unreadable' })
	}

	private resolve(read: PendingRead, result: LegacyRead): void {
		this.remove(read)
		read.resolve(result)
	}
}
