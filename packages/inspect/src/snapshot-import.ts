/** Writes a snapshot into an empty state service. */

import { decodeTerminalPage, encodeTerminalPage } from '@heathroad/cluster'
import {
	ARCHIVE_PREFIX,
	decodeArchivePage,
	encodeArchivePage,
	packJobs,
	unpackJobs,
} from '@heathroad/history'
import { KEY_PREFIX, type StoreClient } from '@heathroad/store'
import type { Condition, Mutation } from '@heathroad/wire'
import { Effect } from 'effect'
import { levelOfKey } from './archive-checker.js'
import { entriesOf, type Snapshot } from './snapshot-file.js'
import { InvalidSnapshot } from './snapshot-format.js'
import { ROOT_PREFIX, ServiceUnavailable, type WalkLimits } from './walk.js'

/** Key of the import's progress, outside the service's own keys; deleted when the import is complete. */
const PROGRESS_KEY = 'heathroad-import'

/** Revision of imported terminal states: older than any change after the import. */
const FIRST_REVISION = 1

/** Characters that a mutation takes in a transaction, in addition to its key and value. */
const CHANGE_OVERHEAD_CHARS = 20

/** Delay before the first retry of a rejected transaction; each further delay is longer by the same amount. */
const RETRY_STEP_MS = 500

const sleep = (ms: number): Promise<void> => new Promise((done) => setTimeout(done, ms))

const withFirstRevision = <Item extends object>(item: Item) => ({ ...item, revision: FIRST_REVISION })

/**
 * Returns the data to write for a key; undefined: the key is omitted. The other state service starts its revisions
 * again, so jobs that became terminal before the import get the first revision, which is older than all later changes.
 * Shard owners are omitted, and so is the installation's name, which invalidates cursors with the old revisions.
 */
const importedData = (key: string, data: unknown): unknown => {
	if (key.startsWith(ARCHIVE_PREFIX)) {
		const page = decodeArchivePage(levelOfKey(key), key, data, 0)
		const jobs = unpackJobs(page.packed).map(withFirstRevision)
		return encodeArchivePage({ ...page, packed: packJobs(jobs) })
	}
	const name = key.slice(KEY_PREFIX.length)
	if (/^(part|last)\/|^installation$/.test(name)) return undefined
	const page = name.startsWith('over/') ? decodeTerminalPage(data) : null
	if (page === null) return data
	return encodeTerminalPage({ ...page, batches: page.batches.map(withFirstRevision) })
}

/** Limits on an import's requests. */
export interface ImportLimits extends WalkLimits {
	/** mutations a second */
	changesPerS: number
	/** mutations in one transaction */
	maxOperations: number
	/** size of one transaction, in bytes */
	maxTransactionBytes: number
}

/** Data of the progress key. */
interface ImportProgress {
	/** checksum of the snapshot */
	sha256: string
	/** number of the snapshot's keys that are written */
	keys: number
}

/** Where an import starts: at the first key, or where an earlier run stopped. */
interface StartingPoint {
	/** mod revision of the progress key; 0: there is none */
	modRevision: number
	/** number of keys that earlier runs wrote */
	keys: number
}

const findStartingPoint = async (
	client: Pick<StoreClient, 'list'>,
	snapshot: Snapshot,
): Promise<StartingPoint> => {
	// The progress key sorts before the keys that an import writes.
	const { entries } = await Effect.runPromise(client.list(ROOT_PREFIX, null, 2))
	const entry = entries.find(({ key }) => key === PROGRESS_KEY)
	const progress = entry?.data as ImportProgress | undefined
	if (entry === undefined || progress === undefined) {
		if (entries.length > 0)
			throw new InvalidSnapshot(`the state is not empty (${entries[0].key}): nothing was written`)
		return { modRevision: 0, keys: 0 }
	}
	if (progress.sha256 !== snapshot.sha256)
		throw new InvalidSnapshot(
			'the state holds the beginning of an import of another snapshot: nothing was written',
		)
	return { modRevision: entry.modRevision, keys: progress.keys ?? 0 }
}

/** Writes the entries of a snapshot in batches, one transaction each. */
class SnapshotImport {
	private mutations: Mutation[] = []
	/** approximate size of the pending mutations */
	private bytes = 0
	/** number of the snapshot's keys read so far */
	private keysRead = 0
	private progressRevision: number
	/** number of the snapshot's keys written so far, including those of earlier runs */
	private keysWritten: number

	constructor(
		private readonly client: Pick<StoreClient, 'transact'>,
		private readonly snapshot: Snapshot,
		private readonly limits: ImportLimits,
		start: StartingPoint,
		private readonly onProgress: (keys: number) => void,
	) {
		this.progressRevision = start.modRevision
		this.keysWritten = start.keys
	}

	async run(): Promise<{ keys: number }> {
		for await (const { key, data } of entriesOf(this.snapshot)) await this.add(key, importedData(key, data))
		await this.flush()
		if (this.progressRevision > 0) await this.transact([{ delete: PROGRESS_KEY }], [this.unchangedProgress()])
		return { keys: this.keysRead }
	}

	private async add(key: string, data: unknown): Promise<void> {
		const size = data === undefined ? 0 : JSON.stringify(data).length + key.length + CHANGE_OVERHEAD_CHARS
		// Leaves room for this mutation and for that of the progress key.
		const operations = this.mutations.length + 2
		if (operations > this.limits.maxOperations || this.bytes + size > this.limits.maxTransactionBytes)
			await this.flush()
		this.keysRead++
		if (this.keysRead <= this.keysWritten || data === undefined) return
		this.mutations.push({ set: key, data })
		this.bytes += size
	}

	private async flush(): Promise<void> {
		if (this.mutations.length === 0) return
		const progress: ImportProgress = { sha256: this.snapshot.sha256, keys: this.keysRead }
		this.progressRevision = await this.transact(
			[...this.mutations, { set: PROGRESS_KEY, data: progress }],
			[this.unchangedProgress()],
		)
		this.keysWritten = this.keysRead
		this.onProgress(this.keysWritten)
		this.mutations = []
		this.bytes = 0
	}

	private unchangedProgress(): Condition {
		return { key: PROGRESS_KEY, modRevision: this.progressRevision }
	}

	/** Writes at a limited rate and returns the revision; retries what the state service rejects for its rate limit. */
	private async transact(mutations: readonly Mutation[], conditions: readonly Condition[]): Promise<number> {
		await sleep((mutations.length / this.limits.changesPerS) * 1000)
		for (let tries = 1; ; tries++) {
			const result = await Effect.runPromise(
				this.client.transact(conditions, mutations).pipe(Effect.catch((failure) => Effect.succeed(failure))),
			)
			if ('ok' in result && result.ok) return result.revision
			if ('ok' in result)
				throw new InvalidSnapshot(
					`${result.failedKeys.join(', ')} changed meanwhile: does something else write there?`,
				)
			// A transaction without a response may have been applied: the next run learns that from the progress key.
			if (result._tag !== 'RequestRejected' || tries >= this.limits.maxTries)
				throw new ServiceUnavailable(
					`stopped behind ${this.keysWritten} keys (${result._tag}); the same import goes on from there`,
				)
			await sleep(RETRY_STEP_MS * tries)
		}
	}
}

/**
 * Writes a snapshot into an empty state service. Each transaction records the progress: wherever an import stops,
 * repeating it continues from there. Rejects with `InvalidSnapshot` if the state is not empty or another program
 * writes to it, and with `ServiceUnavailable` if the state service does not answer.
 */
export const importState = async (
	client: Pick<StoreClient, 'list' | 'transact'>,
	snapshot: Snapshot,
	limits: ImportLimits,
	onProgress: (keys: number) => void = () => {},
): Promise<{ keys: number }> => {
	const start = await findStartingPoint(client, snapshot)
	return new SnapshotImport(client, snapshot, limits, start, onProgress).run()
}
