/** Archival of one controller: retains terminal states in memory, moves them to the archive and looks them up there. */
import { HISTORY_KEY, RECORD_FORMAT } from '@heathroad/cluster'
import { defaultHistorySettings } from '@heathroad/config'
import {
	type ArchivedJob,
	type ArchiveLookup,
	ArchiveReader,
	type LegacyRead,
	LegacyRecordReader,
} from '@heathroad/history'
import type { FullReadFilter, StoreClient } from '@heathroad/store'
import { Effect } from 'effect'
import { ArchivalLoop } from './archival-loop.js'
import { type ArchivalDependencies, ArchivalWriter } from './archival-writer.js'
import { type ArchivalStatus, type ControllerContext, USER_REQUEST_TIMEOUT_MS } from './controller-context.js'
import type { SearchScope, TerminalStateArchive } from './job-locator.js'
import { RecordMigration } from './record-migration.js'
import { historyRecord, TerminalStateRetention } from './terminal-state-retention.js'

/** Lookups get one in three of this controller's reads; the others are for the watch and linearizable reads. */
const READS_PER_LOOKUP_READ = 3
/** Longest time that a lookup waits for its read, and with it a user for the response; bounds the pending lookups. */
const MAX_LOOKUP_WAIT_S = 3
/** Maximum number of archive pages that one request reads while many lookups wait. */
const MAX_PAGES_PER_READ = 16
const CHARS_PER_MB = 1e6

/**
 * Composes archival: retention at full reads, lookups, the archival loop and the migration of the first record format.
 * Its decisions are made in `archival-policy.ts`; `@heathroad/history` writes the archive.
 */
export class ArchivalController implements TerminalStateArchive, ArchivalStatus {
	readonly reader: ArchiveReader
	private readonly legacyReader: LegacyRecordReader
	private readonly retention: TerminalStateRetention
	private readonly writer: ArchivalWriter
	private readonly loop: ArchivalLoop
	private readonly migration: RecordMigration

	constructor(
		private readonly context: ControllerContext,
		client: StoreClient,
		private readonly dependencies: ArchivalDependencies,
	) {
		const { limits, history } = context.config
		const settings = history ?? defaultHistorySettings
		const lookupReadsPerS = limits.readsPerS / READS_PER_LOOKUP_READ
		const maxPendingLookups = Math.ceil(lookupReadsPerS * MAX_LOOKUP_WAIT_S)
		const onReadFailed = (error: unknown) => this.writer.logError('archive read failed', error)
		this.retention = new TerminalStateRetention(context, dependencies.onTerminalStateOmitted)
		this.writer = new ArchivalWriter(context, dependencies, settings.writeRateShare)
		this.loop = new ArchivalLoop(context, client, dependencies, this.writer, settings)
		this.migration = new RecordMigration(context, client, dependencies, this.writer)
		this.reader = new ArchiveReader(
			client,
			() => this.retention.searchScope().archive,
			context.cache.readPacer,
			{
				maxCacheChars: settings.pageCacheMb * CHARS_PER_MB,
				maxPendingLookups,
				maxPagesPerRead: MAX_PAGES_PER_READ,
			},
			onReadFailed,
		)
		this.legacyReader = new LegacyRecordReader(
			client,
			context.cache.readPacer,
			maxPendingLookups,
			onReadFailed,
		)
	}

	/** Starts no new work; work in flight stops at its next step. */
	stop(): void {
		this.writer.stopped = true
	}

	archivalEpoch(): number {
		return this.context.cache.modRevision(HISTORY_KEY)
	}

	/** Called when a full read begins; returns the filter that decides which records it keeps in memory. */
	beginFullRead(): FullReadFilter {
		return this.retention.beginFullRead()
	}

	/** Called when the record of the format and the archival epoch has changed. */
	onHistoryRecordChanged(): void {
		this.loop.onEpochChanged()
		const record = historyRecord(this.context)
		if (record !== null && record.format > RECORD_FORMAT) this.dependencies.onUnsupportedFormat(record.format)
	}

	/** Called once a full read is applied: states may have moved to the archive unnoticed before or during the read. */
	onFullReadApplied(): void {
		this.reader.reset(this.context.cache.revision)
	}

	/** Called once every change up to the watch cache's revision is applied. */
	onRevisionAdvanced(): void {
		const droppedJobs = this.context.jobs.dropJobsRemovedFromPages()
		if (droppedJobs.length > 0) this.reader.onJobsLeftMemory(droppedJobs, this.context.cache.revision)
	}

	searchScope(): SearchScope {
		return this.retention.searchScope()
	}

	fullReadRevision(): number {
		return this.retention.fullReadRevision
	}

	readOwnKey(uid: string): Effect.Effect<LegacyRead> {
		return this.legacyReader.read(uid)
	}

	cached(uid: string): ArchivedJob | undefined {
		return this.reader.cached(uid)
	}

	lookUp(uid: string): Effect.Effect<ArchiveLookup> {
		return this.reader.lookUp(uid)
	}

	provesAbsent(uid: string): boolean {
		const { ownKeys, hasOmittedStates, archive } = this.retention.searchScope()
		if (!archive && !hasOmittedStates) return true
		return !ownKeys && this.reader.provesAbsent(uid)
	}

	latestRevision(): Effect.Effect<number | null> {
		return this.reader.latestRevision().pipe(
			Effect.timeoutOption(USER_REQUEST_TIMEOUT_MS),
			Effect.map((found) => (found._tag === 'Some' ? found.value : null)),
		)
	}

	/** The periodic step of archival; does nothing while the state service is unreachable. */
	tick(): void {
		if (this.context.cache.revision < 0 || this.writer.stopped) return
		const record = historyRecord(this.context)
		if (record === null) {
			this.migration.begin()
			return
		}
		if (record.format > RECORD_FORMAT || !this.context.isStoreReachable()) return
		this.loop.tick(record)
		if (record.legacy) this.migration.startPass()
	}
}
