/** Migrates the records from their first format, where each terminal state has its own key, to pages and archive. */
import {
	advanceArchivalEpoch,
	decodeJobRecord,
	migrateTerminalRecords,
	RECORD_FORMAT,
	type TerminalJob,
	terminalDoneCount,
	toTerminalJob,
} from '@heathroad/cluster'
import { terminalPageLimits } from '@heathroad/config'
import { KEY_PREFIX, type RangePage, type StoreClient } from '@heathroad/store'
import { Effect } from 'effect'
import type { ArchivalDependencies, ArchivalWriter } from './archival-writer.js'
import type { ControllerContext } from './controller-context.js'
import { prefixOf, RecordKind } from './record-kinds.js'
import { historyRecord } from './terminal-state-retention.js'

/** Number of keys that one request of the migration reads. */
const KEYS_PER_READ = 200
/** Operations of a transaction besides the moved states: the page, and the condition on the shard's owner. */
const RESERVED_OPERATIONS = 2
/** Delay between two reads, as a share of the controller lease. */
const READ_PAUSE_LEASE_SHARE = 0.2

/** Prefix of the first format's keys in the state service. */
const JOB_KEY_PREFIX = KEY_PREFIX + prefixOf(RecordKind.job)

/** A terminal state of the first format, and the revision at which it was read. */
interface LegacyState {
	job: TerminalJob
	modRevision: number
}

/** Runs the migration. Any controller starts it; each owner moves the states of its shards. */
export class RecordMigration {
	private inFlight = false

	constructor(
		private readonly context: ControllerContext,
		private readonly client: StoreClient,
		private readonly dependencies: ArchivalDependencies,
		private readonly writer: ArchivalWriter,
	) {}

	/** Switches to the second format once every controller supports it: others would take terminal jobs for open ones. */
	begin(): void {
		const { membership, config, cache } = this.context
		if (config.history === null || membership.leadership() !== 'lease') return
		const allSupportIt = membership.peers.every(
			(peer) => membership.isAlive(peer.name) && peer.status?.supportsArchive === true,
		)
		if (!allSupportIt) return
		this.writer.submit(() =>
			historyRecord(this.context) === null
				? advanceArchivalEpoch(cache, { format: RECORD_FORMAT, archivalEpoch: 1, legacy: true })
				: null,
		)
		this.context.log('info', 'record format upgraded')
	}

	/** Starts a pass over the terminal states of the first format, unless one is in flight. */
	startPass(): void {
		if (this.inFlight) return
		this.inFlight = true
		this.writer.run(this.pass(), () => {
			this.inFlight = false
		})
	}

	/**
	 * Moves terminal states of the first format to pages, from the first key to the last, within archival's share of the
	 * write rate. An interrupted pass can be restarted, since moved states are no longer under their old keys.
	 */
	private pass(): Effect.Effect<void, unknown> {
		const { cache, config, log } = this.context
		return Effect.gen({ self: this }, function* () {
			let startAfter: string | null = null
			let legacyCount = 0
			for (;;) {
				const page: RangePage = yield* this.client.list(JOB_KEY_PREFIX, startAfter, KEYS_PER_READ)
				const states = this.legacyStates(page)
				legacyCount += states.count
				for (const shardId of this.dependencies.ownedShards())
					yield* this.moveToPages(shardId, states.byShard.get(shardId) ?? [])
				if (!page.more || page.entries.length === 0) break
				startAfter = page.entries[page.entries.length - 1].key
				yield* Effect.sleep(config.limits.controllerLeaseMs * READ_PAUSE_LEASE_SHARE)
			}
			if (legacyCount > 0) return
			const record = historyRecord(this.context)
			if (record?.legacy !== true) return
			const content = advanceArchivalEpoch(cache, { ...record, legacy: false })
			yield* this.writer.write(() => content)
			log('info', 'record migration completed')
		})
	}

	/** Returns the terminal states of the first format on a page of keys, by the shard responsible for moving them. */
	private legacyStates(page: RangePage): { count: number; byShard: Map<number, LegacyState[]> } {
		const byShard = new Map<number, LegacyState[]>()
		let count = 0
		for (const entry of page.entries) {
			const record = decodeJobRecord(entry.data)
			const uid = entry.key.slice(JOB_KEY_PREFIX.length)
			// The own key of a cancelled job is deleted with other obsolete records.
			if (record?.finalState === undefined || this.context.jobs.isOnTerminalPage(uid)) continue
			count++
			const shardId = this.writer.responsibleShard(record.shardId)
			const tasks = record.taskCount ?? 0
			const job = toTerminalJob(
				uid,
				record.finalState,
				{ team: '', cpus: 0, gpus: 0, ramGb: 0, ...record.resources, tasks },
				terminalDoneCount(record),
			)
			byShard.set(shardId, [...(byShard.get(shardId) ?? []), { job, modRevision: entry.modRevision }])
		}
		return { count, byShard }
	}

	/** Moves states of one shard in transactions of limited size; the next pass handles states that remain. */
	private moveToPages(shardId: number, states: readonly LegacyState[]): Effect.Effect<void> {
		const { cache, config } = this.context
		const pageLimits = terminalPageLimits(config)
		const maxStates = Math.max(1, config.settings.deployment.state.txn_ops - RESERVED_OPERATIONS)
		return Effect.gen({ self: this }, function* () {
			let remaining = states
			while (remaining.length > 0) {
				const group = remaining.slice(0, maxStates)
				yield* this.writer.pace(group.length + 1)
				if (this.writer.stopped || !this.writer.owns(shardId)) return
				let movedCount = 0
				const result = yield* this.writer.write(() => {
					// A page may have received a cancellation since the own keys were read; the next pass skips it.
					if (group.some(({ job }) => this.context.jobs.isOnTerminalPage(job.uid))) return null
					const migrated = migrateTerminalRecords(cache, shardId, group, pageLimits)
					movedCount = migrated.taken
					return migrated.content
				})
				if (result.kind !== 'ok') return
				remaining = remaining.slice(movedCount)
			}
		})
	}
}
