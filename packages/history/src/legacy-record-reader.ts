/** Reads terminal states in the first record format, each under its job's own key, that are not in memory. */

import type { RangePage, RequestPacer, StoreClient, StoreFailure } from '@heathroad/store'
import { isRateLimited, KEY_PREFIX } from '@heathroad/store'
import { Effect } from 'effect'
import type { ArchivedJob } from './archived-job.js'
import { decodeLegacyTerminalState } from './legacy-record.js'
import { ordinalOf } from './ordinals.js'
import { SerialReads } from './serial-reads.js'

/** Result of reading a job's own key. */
export type LegacyRead =
	| { kind: 'found'; job: ArchivedJob }
	/** the key did not exist at revision `readAt`; the job's state may have moved to a page earlier */
	| { kind: 'not found'; readAt: number }
	/** the key holds the record of an open job or one that cannot be decoded */
	| { kind: 'not terminal' }
	/** the key could not be read, or too many reads are pending */
	| { kind: 'unreadable' }

/** Interprets the range response of a read that starts at a job's own key. */
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
 * Reads jobs' own keys on demand. A key without a terminal state does not prove that the job is not terminal: the
 * record migration moves terminal states from own keys to pages, which controllers hold in memory.
 */
export class LegacyRecordReader {
	private pending: PendingRead[] = []
	private readonly serialReads: SerialReads

	/** @param maxPending maximum number of pending reads; further ones return 'unreadable' at once */
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

	/** A read that was rejected by the rate limit stays pending and is retried in a later turn. */
	private onReadFailed(read: PendingRead, failure: StoreFailure): void {
		if (!isRateLimited(failure)) this.resolve(read, { kind: 'unreadable' })
	}

	private resolve(read: PendingRead, result: LegacyRead): void {
		this.remove(read)
		read.resolve(result)
	}
}
