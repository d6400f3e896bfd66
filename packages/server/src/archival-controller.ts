/** Terminal jobs of one controller: which are in memory, where the others are found, and their way into the archive. */
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
import { type ArchivalPorts, ArchivalWriter } from './archival-writer.js'
import { type ArchivalStatus, type ControllerContext, USER_ANSWER_TIMEOUT_MS } from './controller-context.js'
import type { SearchScope, TerminalStateArchive } from './job-locator.js'
import { RecordMigration } from './record-migration.js'
import { historyRecord, TerminalStateRetention } from './terminal-state-retention.js'

/** Look-ups have one in three of this controller's reads; the watch and linearizable reads have the others. */
const READS_PER_LOOKUP_READ = 3
/** As many look-ups may wait as are read within this time, for which users would wait for an answer. */
const MAX_LOOKUP_WAIT_S = 3
/** Archive pages that one request reads at most, where many look-ups wait. */
const MAX_PAGES_PER_READ = 16
const CHARS_PER_MB = 1e6

/**
 * Composes archival: retention at full reads, look-ups, the archival loop and the migration of the first format. What is
 * decided is in `archival-policy.ts`, how the archive is written in `@heathroad/history`.
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
		private readonly ports: ArchivalPorts,
	) {
		const { limits, history } = context.config
		const settings = history ?? defaultHistorySettings
		const lookupReadsPerS = limits.readsPerS / READS_PER_LOOKUP_READ
		const maxPendingLookups = Math.ceil(lookupReadsPerS * MAX_LOOKUP_WAIT_S)
		const onReadFailed = (error: unknown) => this.writer.logError('archive read failed', error)
		this.retention = new TerminalStateRetention(context, ports.onTerminalStateOmitted)
		this.writer = new ArchivalWriter(context, ports, settings.writeRateShare)
		this.loop = new ArchivalLoop(context, client, ports, this.writer, settings)
		this.migration = new RecordMigration(context, client, ports, this.writer)
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

	/** Begins nothing new; what is in flight ends at its next step. */
	stop(): void {
		this.writer.stopped = true
	}

	archivalEpoch(): number {
		return this.context.cache.modRevision(HISTORY_KEY)
	}

	/** A full read begins. */
	beginFullRead(): FullReadFilter {
		return this.retention.beginFullRead()
	}

	/** The record of the format and the archival epoch changed. */
	onHistoryRecordChanged(): void {
		this.loop.onEpochChanged()
		const record = historyRecord(this.context)
		if (record !== null && record.format > RECORD_FORMAT) this.ports.onUnsupportedFormat(record.format)
	}

	/** A full read is applied: states may have left memory for the archive unseen, as late as the changes made during it. */
	onFullReadApplied(): void {
		this.reader.reset(this.context.cache.revision)
	}

	/** Every change up to the watch cache's revision is applied. */
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
			Effect.timeoutOption(USER_ANSWER_TIMEOUT_MS),
			Effect.map((found) => (found._tag === 'Some' ? found.value : null)),
		)
	}

	/** The regular step of archival; does nothing while the state service is out of reach. */
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
