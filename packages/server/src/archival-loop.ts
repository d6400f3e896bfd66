/** Moves pages of terminal states from memory into the archive, one archival epoch after the other. */
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
import type { ArchivalPorts, ArchivalWriter } from './archival-writer.js'
import type { ControllerContext } from './controller-context.js'
import { prefixOf, RecordKind } from './record-kinds.js'

/** Level of the archive that receives what leaves memory. */
const FIRST_ARCHIVE_LEVEL = 1
/** Bytes of one transaction of a move at most; what the write queue adds comes on top. */
const MAX_MOVE_BYTES = 40 * 1024
/** Time between two ticks in controller leases, for which unpinning may use archival's share of the changes. */
const TICK_INTERVAL_LEASES = 2

type PageOfJobs = ClosedPage<TerminalJob & { revision: number }>

const toArchivedJob = (job: TerminalJob & { revision: number }): ArchivedJob => ({
	ordinal: ordinalOf(job.uid),
	aborted: job.finalState === 'aborted',
	taskCount: job.taskCount,
	doneCount: job.doneCount,
	revision: job.revision,
})

/** The regular work of archival on the pages of the shards that this controller owns. */
export class ArchivalLoop {
	/** steady time in ms at which the latest archival epoch became known here */
	private epochKnownSince: number
	private moveInFlight = false

	constructor(
		private readonly context: ControllerContext,
		private readonly client: StoreClient,
		private readonly ports: ArchivalPorts,
		private readonly writer: ArchivalWriter,
		private readonly settings: HistorySettings,
	) {
		this.epochKnownSince = context.now()
	}

	/** The record that holds the archival epoch changed. */
	onEpochChanged(): void {
		this.epochKnownSince = this.context.now()
	}

	/** Advances the archival epoch, unpins records and starts a move, each if there is reason to. */
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

	/** Returns the pages of this controller's shards that nothing is added to any more, the oldest first. */
	private closedPages(): { shardId: number; key: string }[] {
		const pages: { shardId: number; key: string }[] = []
		for (const [key] of this.context.cache.withPrefix(prefixOf(RecordKind.terminalPage))) {
			const [, shard, closedAtRevision] = key.split('/')
			const shardId = Number(shard)
			if (closedAtRevision === undefined) continue
			if (this.writer.owns(this.writer.responsibleShard(shardId))) pages.push({ shardId, key })
		}
		// Keys end in a number, so shorter ones are older.
		return pages.sort((a, b) => a.key.length - b.key.length || (a.key < b.key ? -1 : 1))
	}

	/** Gives open jobs that keep the batch records of others in memory keys of their own, a few at a time. */
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

	/** Builds a job's own key, on condition that its shard's owner is unchanged; null: it has one, or is terminal. */
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

	/** Starts to move closed pages of one shard, the first that has enough of them. */
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
		const jobsOnMachines = this.ports.jobsOnMachines(this.writer.responsibleShard(shardId))
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
			// Only now: until here both places hold the states.
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
