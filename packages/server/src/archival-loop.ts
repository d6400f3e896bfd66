/** Moves pages of terminal states from memory into the archive, one archival epoch after another. */
import {
	advanceArchivalEpoch,
	deletePages,
	type HistoryRecord,
	putJobRecord,
	shardKey,
	type TerminalJob,
} from '@heathroad/cluster'
import { type HistorySettings, maxValueChars } from '@heathroad/config'
import { type ArchivedJob, Archiver, ordinalOf } from '@heathroad/history'
import { KEY_PREFIX, type StoreClient, type TransactionContent } from '@heathroad/store'
import { Effect } from 'effect'
import { archivablePages, type ClosedPage, mayAdvanceArchivalEpoch } from './archival-policy.js'
import type { ArchivalDependencies, ArchivalWriter } from './archival-writer.js'
import type { ControllerContext } from './controller-context.js'
import { prefixOf, RecordKind } from './record-kinds.js'

/** Level of the archive that receives the states that leave memory. */
const FIRST_ARCHIVE_LEVEL = 1
/** Maximum size in bytes of one transaction of a move, without what the write queue adds. */
const MAX_MOVE_BYTES = 40 * 1024
/** Interval between two ticks in controller leases; unpinning may use archival's share of the writes within it. */
const TICK_INTERVAL_LEASES = 2

type PageOfJobs = ClosedPage<TerminalJob & { revision: number }>

const toArchivedJob = (job: TerminalJob & { revision: number }): ArchivedJob => ({
	ordinal: ordinalOf(job.uid),
	aborted: job.finalState === 'aborted',
	taskCount: job.taskCount,
	doneCount: job.doneCount,
	revision: job.revision,
})

/** The periodic work of archival on the pages of the shards that this controller owns. */
export class ArchivalLoop {
	/** monotonic time in ms at which this controller received the latest archival epoch */
	private epochKnownSince: number
	private moveInFlight = false

	constructor(
		private readonly context: ControllerContext,
		private readonly client: StoreClient,
		private readonly dependencies: ArchivalDependencies,
		private readonly writer: ArchivalWriter,
		private readonly settings: HistorySettings,
	) {
		this.epochKnownSince = context.now()
	}

	/** Called when the record that holds the archival epoch has changed. */
	onEpochChanged(): void {
		this.epochKnownSince = this.context.now()
	}

	/** Advances the archival epoch, unpins accepted batches and starts a move, each if it is due. */
	tick(record: HistoryRecord): void {
		this.advanceEpoch(record)
		this.unpinBatches()
		if (!this.moveInFlight) this.startMove()
	}

	private advanceEpoch(record: HistoryRecord): void {
		const { jobs, cache, config, archive } = this.context
		const waitingRevisions = this.closedPages().flatMap(({ key }) =>
			[...jobs.terminalJobsOnPage(key)].map((job) => job.revision),
		)
		const epoch = archive.archivalEpoch()
		const elapsedMs = this.context.now() - this.epochKnownSince
		const { archiveBatchSize: batch } = this.settings
		if (!mayAdvanceArchivalEpoch(waitingRevisions, epoch, elapsedMs, config.limits.cancelMs, batch)) return
		this.writer.submit(() =>
			archive.archivalEpoch() === epoch
				? advanceArchivalEpoch(cache, { ...record, archivalEpoch: record.archivalEpoch + 1 })
				: null,
		)
	}

	/** Returns the pages of this controller's shards that receive no more states, oldest first. */
	private closedPages(): { shardId: number; key: string }[] {
		const pages: { shardId: number; key: string }[] = []
		for (const [key] of this.context.cache.withPrefix(prefixOf(RecordKind.terminalPage))) {
			const [, shard, closedAtRevision] = key.split('/')
			const shardId = Number(shard)
			if (closedAtRevision === undefined) continue
			if (this.writer.owns(this.writer.responsibleShard(shardId))) pages.push({ shardId, key })
		}
		// Keys end in an increasing number, so shorter ones are older.
		return pages.sort((a, b) => a.key.length - b.key.length || (a.key < b.key ? -1 : 1))
	}

	/** Writes own keys for open jobs whose accepted batches cannot be deleted because of them, a few per tick. */
	private unpinBatches(): void {
		const { jobs, config, archive } = this.context
		const tickIntervalS = (config.limits.controllerLeaseMs * TICK_INTERVAL_LEASES) / 1000
		let remaining = Math.ceil(this.writer.writesPerS * tickIntervalS)
		for (const [uid, record] of jobs.jobsPinningBatches(archive.archivalEpoch())) {
			if (!this.writer.owns(record.shardId)) continue
			if (remaining-- <= 0) return
			this.writer.submit(() => this.ownKeyFor(uid, record.shardId))
		}
	}

	/** Builds the write of a job's own key, conditional on its shard's owner; null: it has one, or is terminal. */
	private ownKeyFor(uid: string, shardId: number): TransactionContent | null {
		const { jobs, cache } = this.context
		const known = jobs.get(uid)
		if (known === undefined || known.modRevision !== 0 || known.record.finalState !== undefined) return null
		const { conditions, mutations } = putJobRecord(cache, uid, 0, known.record)
		return { conditions: [this.ownershipCondition(shardId), ...conditions], mutations }
	}

	private ownershipCondition(shardId: number) {
		const key = shardKey(shardId)
		return { key: KEY_PREFIX + key, modRevision: this.context.cache.modRevision(key) }
	}

	/** Starts moving the closed pages of the first shard that has enough of them. */
	private startMove(): void {
		const closed = this.closedPages()
		if (closed.length === 0) return
		const referencedJobs = this.context.jobs.referencedIds()
		for (const shardId of new Set(closed.map((page) => page.shardId))) {
			const keys = closed.filter((page) => page.shardId === shardId).map((page) => page.key)
			const pages = this.movablePages(shardId, keys, referencedJobs)
			if (pages.length === 0) continue
			this.moveInFlight = true
			this.writer.run(this.movePages(shardId, pages), () => {
				this.moveInFlight = false
			})
			return
		}
	}

	private movablePages(
		shardId: number,
		keys: readonly string[],
		referencedJobs: ReadonlySet<string>,
	): PageOfJobs[] {
		const { jobs, cache, archive } = this.context
		const jobsOnMachines = this.dependencies.jobsOnMachines(this.writer.responsibleShard(shardId))
		if (jobsOnMachines === null) return []
		const pages = keys.map((key) => ({
			key,
			modRevision: cache.modRevision(key),
			jobs: [...jobs.terminalJobsOnPage(key)],
		}))
		return archivablePages(
			pages,
			archive.archivalEpoch(),
			referencedJobs,
			jobsOnMachines,
			this.settings.archiveBatchSize,
		)
	}

	private createArchiver(responsibleShard: number, isOwner: () => boolean): Archiver {
		const { settings } = this.context.config
		return new Archiver({
			client: this.client,
			write: (conditions, mutations) => {
				const content = {
					conditions: [this.ownershipCondition(responsibleShard), ...conditions],
					mutations,
				}
				return this.writer.write(() => content)
			},
			pace: (changes) => this.writer.pace(changes),
			isOwner,
			limits: {
				maxOperations: settings.deployment.state.txn_ops,
				maxValueChars: maxValueChars(settings),
				maxBytes: MAX_MOVE_BYTES,
			},
		})
	}

	private movePages(shardId: number, pages: readonly PageOfJobs[]): Effect.Effect<void, unknown> {
		const responsibleShard = this.writer.responsibleShard(shardId)
		const isOwner = () => !this.writer.stopped && this.writer.owns(responsibleShard)
		const archiver = this.createArchiver(responsibleShard, isOwner)
		const archivedJobs = pages
			.flatMap((page) => page.jobs)
			.map(toArchivedJob)
			.sort((a, b) => (a.ordinal < b.ordinal ? -1 : 1))
		return Effect.gen({ self: this }, function* () {
			if (!(yield* archiver.insert(FIRST_ARCHIVE_LEVEL, archivedJobs))) return
			// The pages are deleted last, so that the states are always in memory or in the archive.
			if (!(yield* this.deleteMovedPages(responsibleShard, pages, isOwner))) return
			const counts = { jobs: archivedJobs.length, pages: pages.length }
			this.context.log('info', 'jobs archived', { part: shardId, ...counts })
		})
	}

	/** Deletes pages whose states are in the archive; false: the shard or a page has changed, and the rest stays. */
	private deleteMovedPages(
		responsibleShard: number,
		pages: readonly PageOfJobs[],
		isOwner: () => boolean,
	): Effect.Effect<boolean> {
		const { cache, config } = this.context
		const { txn_ops } = config.settings.deployment.state
		return Effect.gen({ self: this }, function* () {
			for (let start = 0; start < pages.length; start += txn_ops) {
				const group = pages.slice(start, start + txn_ops)
				yield* this.writer.pace(group.length)
				const isUnchanged = group.every((page) => cache.modRevision(page.key) === page.modRevision)
				if (!isOwner() || !isUnchanged) return false
				const keys = group.map((page) => page.key)
				const content = deletePages(cache, responsibleShard, keys)
				yield* this.writer.write(() => content)
			}
			return true
		})
	}
}
