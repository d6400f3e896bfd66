import {
	advanceArchivalEpoch,
	decodeAcceptedBatch,
	decodeHistoryRecord,
	decodeJobRecord,
	deletePages,
	HISTORY_KEY,
	type HistoryRecord,
	migrateTerminalRecords,
	putJobRecord,
	RECORD_FORMAT,
	shardKey,
	type TerminalJob,
	terminalDoneCount,
	toTerminalJob,
} from '@heathroad/cluster'
import { defaultHistorySettings, maxValueChars, terminalPageLimits } from '@heathroad/config'
import { type ArchivedJob, type ArchiveLookup, ArchiveReader, Archiver, ordinalOf } from '@heathroad/history'
import type { LogEvent } from '@heathroad/logging'
import {
	KEY_PREFIX,
	type StoreClient,
	type TransactionContent,
	WritePriority,
	type WriteResult,
} from '@heathroad/store'
import { Cause, Effect } from 'effect'
import { archivablePages, mayAdvanceArchivalEpoch } from './archiving.js'
import { type ControllerContext, type TerminalStateArchive, USER_ANSWER_TIMEOUT_MS } from './core.js'

/** Keys of the first form that one request of the move reads. */
const SCAN = 200

/** What History asks of the controller that it belongs to. */
export interface ArchivalPorts {
	/** the parts that it owns */
	ownedShards(): Iterable<number>
	/** jobs of which attempts may be somewhere in a part; null: not known */
	jobsOnMachines(shardId: number): Set<string> | null
	/** the records are of a form that this program does not know */
	onUnsupportedFormat(form: number): void
}

/**
 * Jobs that are over: which of them are still in memory, where the others are found, and their way into the
 * archive. Decisions are in `archiving.ts`, what a move writes in `@heathroad/history`; here is when things are done.
 */
export class ArchivalController implements TerminalStateArchive {
	readonly reader: ArchiveReader
	private readonly settings
	private stopped = false
	/** keys of the first form that are over are left out of the full read under way */
	private leaveOut: boolean
	/** cancelled jobs are among what the full read under way leaves out */
	private leftOut = false
	/** jobs that the full read under way has met in records of acceptances */
	private readonly namedByRead = new Set<string>()
	/** steady time at which the latest turn became known here */
	private turnedAt: number
	private moving = false
	private migrating = false

	constructor(
		private readonly context: ControllerContext,
		private readonly client: StoreClient,
		private readonly ports: ArchivalPorts,
	) {
		const { limits: derived, history } = context.config
		this.settings = history ?? defaultHistorySettings
		this.leaveOut = history !== null
		this.turnedAt = context.now()
		// As many questions may wait as are read within the time that users wait for an answer.
		const perS = derived.readsPerS / 3
		const limits = {
			maxCacheChars: this.settings.cacheMb * 1e6,
			maxPendingLookups: Math.ceil(perS * 3),
			maxPagesPerRead: 16,
		}
		this.reader = new ArchiveReader(
			client,
			() => this.places(),
			context.cache.readPacer,
			limits,
			(e) => this.warn('archive read failed', e),
		)
	}

	stop(): void {
		this.stopped = true
	}

	private warn(event: LogEvent, e: unknown): void {
		this.context.log('error', event, { error: Cause.isCause(e) ? Cause.pretty(e) : String(e) })
	}

	// ---- where final states are ----

	private record() {
		return decodeHistoryRecord(this.context.cache.get(HISTORY_KEY)?.data)
	}

	archivalEpoch(): number {
		return this.context.cache.modRevision(HISTORY_KEY)
	}

	private places(): { legacy: boolean; levels: boolean } {
		const record = this.record()
		return { legacy: this.leaveOut && (record?.legacy ?? true), levels: record !== null }
	}

	/**
	 * Is a key kept by a full read? Final states under keys of their own, which the first form kept for ever, are not:
	 * 200,000 of them take more memory than a controller has. But those that a record of acceptances still names are:
	 * without them the job would be open again. That record, and the one of the form, come before in the order of keys.
	 */
	retains(key: string, data: unknown): boolean {
		// Where none of the first form are left, an own key says that a cancellation has yet to be cleared away.
		if (key === HISTORY_KEY) this.leaveOut = decodeHistoryRecord(data)?.legacy ?? true
		if (key.startsWith('intake/'))
			for (const r of decodeAcceptedBatch(data) ?? []) this.namedByRead.add(r.spec!.uid)
		const final = this.leaveOut && key.startsWith('job/') ? decodeJobRecord(data)?.finalState : undefined
		if (final === undefined || this.namedByRead.has(key.slice('job/'.length))) return true
		if (final === 'aborted') this.leftOut = true
		return false
	}

	/** The record of the form changed. */
	onHistoryRecordChanged(): void {
		this.turnedAt = this.context.now()
		const record = this.record()
		this.leaveOut = record?.legacy ?? true
		if (record !== null && record.format > RECORD_FORMAT) this.ports.onUnsupportedFormat(record.format)
	}

	/** A full read is complete; what happened since the last change that is known may never be told. */
	onFullRead(revision: number): void {
		this.namedByRead.clear()
		if (this.leftOut) this.context.cancellations.markIncompleteUpTo(revision)
		this.leftOut = false
		this.reader.reset(revision)
	}

	/** Every change up to the mirror's revision is applied. */
	onRevisionAdvanced(): void {
		const left = this.context.jobs.dropJobsThatLeftPages()
		if (left.length > 0) this.reader.onLeftMemory(left, this.context.cache.revision)
	}

	// ---- questions ----

	cached(uid: string): ArchivedJob | undefined {
		return this.reader.cached(uid)
	}

	lookUp(uid: string): Effect.Effect<ArchiveLookup> {
		return this.reader.lookUp(uid).pipe(
			Effect.timeoutOption(USER_ANSWER_TIMEOUT_MS),
			Effect.map((o) => (o._tag === 'Some' ? o.value : 'unsure')),
		)
	}

	provesAbsent(uid: string): boolean {
		return this.record() === null || this.reader.provesAbsent(uid)
	}

	// ---- the way into the archive ----

	/** The regular look. */
	tick(): void {
		if (this.context.cache.revision < 0 || this.stopped) return
		const record = this.record()
		if (record === null) return this.begin()
		if (record.format > RECORD_FORMAT || !this.context.isStoreReachable()) return
		this.beginTurn(record)
		this.unpin()
		if (!this.moving) this.move()
		if (record.legacy && !this.migrating) {
			this.migrating = true
			this.run(this.migrate(), () => {
				this.migrating = false
			})
		}
	}

	private run(effect: Effect.Effect<unknown, unknown>, done: () => void): void {
		const guarded = effect.pipe(
			// No answer, or an outage: the next look begins anew.
			Effect.catch(() => Effect.void),
			Effect.catchCause((cause) => Effect.sync(() => this.warn('archival failed', cause))),
			Effect.map(done),
		)
		Effect.runFork(guarded)
	}

	/** To the second form, once every controller knows it: the others would read that jobs are open which are over. */
	private begin(): void {
		const { membership, config, cache } = this.context
		if (config.history === null || membership.leadership() !== 'lease') return
		if (!membership.peers.every((p) => membership.isAlive(p.name) && p.status?.supportsArchive === true))
			return
		this.submit(WritePriority.progress, () =>
			this.record() === null
				? advanceArchivalEpoch(cache, { format: RECORD_FORMAT, archivalEpoch: 1, legacy: true })
				: null,
		)
		this.context.log('info', 'record format upgraded')
	}

	private submit(
		priority: number,
		build: () => TransactionContent | null,
		done: (result: WriteResult) => void = () => {},
	): void {
		const until = this.context.now() + this.context.config.limits.controllerLeaseMs * 2
		this.context.writeQueue.enqueue({ priority: priority, build, deadline: until, onResult: done })
	}

	private write(content: TransactionContent): Effect.Effect<WriteResult> {
		return Effect.callback<WriteResult>((resume) => {
			this.submit(
				WritePriority.progress,
				() => content,
				(result) => resume(Effect.succeed(result)),
			)
		})
	}

	/** Waits until so many changes more are within the share of ours that history may take. */
	private pace(changes: number): Effect.Effect<void> {
		const perS = this.context.config.limits.writesPerS * this.settings.share
		return Effect.sleep((changes / perS) * 1000)
	}

	private beginTurn(record: HistoryRecord): void {
		const { jobs, cache, config } = this.context
		const wait = this.closed().flatMap(({ key }) => [...jobs.terminalJobsOnPage(key)].map((j) => j.revision))
		const sinceMs = this.context.now() - this.turnedAt
		if (
			!mayAdvanceArchivalEpoch(
				wait,
				this.archivalEpoch(),
				sinceMs,
				config.limits.cancelMs,
				this.settings.batch,
			)
		)
			return
		const turn = this.archivalEpoch()
		this.submit(WritePriority.progress, () =>
			this.archivalEpoch() === turn
				? advanceArchivalEpoch(cache, { ...record, archivalEpoch: record.archivalEpoch + 1 })
				: null,
		)
	}

	private owns(shardId: number): boolean {
		return [...this.ports.ownedShards()].includes(shardId)
	}

	/** Pages of our parts that nothing is added to any more. */
	private closed(): { part: number; key: string }[] {
		const out: { part: number; key: string }[] = []
		for (const [key] of this.context.cache.withPrefix('over/')) {
			const [, k, revision] = key.split('/')
			if (revision !== undefined && this.owns(this.keeper(Number(k)))) out.push({ part: Number(k), key })
		}
		return out.sort((a, b) => a.key.length - b.key.length || (a.key < b.key ? -1 : 1))
	}

	/** The part that looks after another one's pages: its own, unless there are fewer parts than there were. */
	private keeper(shardId: number): number {
		return shardId % this.context.config.limits.controllerNames.length
	}

	/** Jobs that keep the records of others get keys of their own, a few at a time. */
	private unpin(): void {
		const { jobs, cache, config } = this.context
		let left = Math.ceil(
			config.limits.writesPerS * this.settings.share * (config.limits.controllerLeaseMs / 500),
		)
		for (const [uid, record] of jobs.jobsPinningBatches(this.archivalEpoch())) {
			if (!this.owns(record.shardId)) continue
			if (left-- <= 0) return
			this.submit(WritePriority.progress, () => {
				const known = jobs.get(uid)
				if (known === undefined || known.modRevision !== 0 || known.record.finalState !== undefined)
					return null
				const { conditions, mutations } = putJobRecord(cache, uid, 0, known.record)
				const key = shardKey(record.shardId)
				return {
					conditions: [{ key: KEY_PREFIX + key, modRevision: cache.modRevision(key) }, ...conditions],
					mutations: mutations,
				}
			})
		}
	}

	/** Full pages of one of our parts go into the archive, when they are enough to be worth it. */
	private move(): void {
		const { jobs, cache } = this.context
		const closed = this.closed()
		if (closed.length === 0) return
		const named = jobs.referencedIds()
		for (const shardId of new Set(closed.map((c) => c.part))) {
			const held = this.ports.jobsOnMachines(this.keeper(shardId))
			if (held === null) continue
			const pages = closed
				.filter((c) => c.part === shardId)
				.map(({ key }) => ({
					key,
					modRevision: cache.modRevision(key),
					jobs: [...jobs.terminalJobsOnPage(key)],
				}))
			const ready = archivablePages(pages, this.archivalEpoch(), named, held, this.settings.batch)
			if (ready.length === 0) continue
			this.moving = true
			return this.run(this.moveOut(shardId, ready), () => {
				this.moving = false
			})
		}
	}

	private moveOut(
		shardId: number,
		pages: readonly { key: string; modRevision: number; jobs: (TerminalJob & { revision: number })[] }[],
	) {
		const { cache, config, log } = this.context
		const keeper = this.keeper(shardId)
		const mine = () => !this.stopped && this.owns(keeper)
		const owning = () => ({
			key: KEY_PREFIX + shardKey(keeper),
			modRevision: cache.modRevision(shardKey(keeper)),
		})
		const { txn_ops } = config.settings.deployment.state
		const mover = new Archiver({
			client: this.client,
			write: (conditions, mutations) =>
				this.write({ conditions: [owning(), ...conditions], mutations: mutations }),
			pace: (changes) => this.pace(changes),
			isOwner: mine,
			limits: { maxOperations: txn_ops, maxValueChars: maxValueChars(config.settings), maxBytes: 40 * 1024 },
		})
		const items: ArchivedJob[] = pages
			.flatMap((p) => p.jobs)
			.map((j) => ({
				ordinal: ordinalOf(j.uid),
				aborted: j.finalState === 'aborted',
				taskCount: j.taskCount,
				doneCount: j.doneCount,
				revision: j.revision,
			}))
			.sort((a, b) => (a.ordinal < b.ordinal ? -1 : 1))
		return Effect.gen({ self: this }, function* () {
			if (!(yield* mover.insert(1, items))) return
			// Only now: until here both places tell the same.
			for (let i = 0; i < pages.length; i += txn_ops) {
				const some = pages.slice(i, i + txn_ops)
				yield* this.pace(some.length)
				if (!mine() || some.some((p) => cache.modRevision(p.key) !== p.modRevision)) return
				yield* this.write(
					deletePages(
						cache,
						keeper,
						some.map((p) => p.key),
					),
				)
			}
			log('info', 'jobs archived', { part: shardId, jobs: items.length, pages: pages.length })
		})
	}

	/**
	 * Final states of the first form go to pages, from the first key to the last, within our share of the changes. It can
	 * stop anywhere and begins anew: what is moved is gone from here.
	 */
	private migrate() {
		const { cache, config, log } = this.context
		const room = terminalPageLimits(config)
		const most = Math.max(1, config.settings.deployment.state.txn_ops - 2)
		return Effect.gen({ self: this }, function* () {
			let from: string | null = null
			let left = 0
			for (;;) {
				const page: { entries: { key: string; data: unknown; modRevision: number }[]; more: boolean } =
					yield* this.client.list(`${KEY_PREFIX}job/`, from, SCAN)
				const mine = new Map<number, { job: TerminalJob; modRevision: number }[]>()
				for (const e of page.entries) {
					const record = decodeJobRecord(e.data)
					const uid = e.key.slice(`${KEY_PREFIX}job/`.length)
					// A cancelled job's own key goes with the regular tidying.
					if (record?.finalState === undefined || this.context.jobs.isOnTerminalPage(uid)) continue
					left++
					const shardId = this.keeper(record.shardId)
					const tasks = record.taskCount ?? 0
					const job = toTerminalJob(
						uid,
						record.finalState,
						{ team: '', cpus: 0, gpus: 0, ramGb: 0, ...record.resources, tasks },
						terminalDoneCount(record),
					)
					mine.set(shardId, [...(mine.get(shardId) ?? []), { job, modRevision: e.modRevision }])
				}
				for (const shardId of this.ports.ownedShards())
					for (let rest = mine.get(shardId) ?? []; rest.length > 0; ) {
						const some = rest.slice(0, most)
						yield* this.pace(some.length + 1)
						if (this.stopped || !this.owns(shardId)) break
						let taken = 0
						const result = yield* Effect.callback<WriteResult>((resume) => {
							this.submit(
								WritePriority.progress,
								() => {
									const made = migrateTerminalRecords(cache, shardId, some, room)
									taken = made.taken
									return made.content
								},
								(r) => resume(Effect.succeed(r)),
							)
						})
						// What was not moved is met again by the next pass.
						if (result.kind === 'ok') rest = rest.slice(taken)
						else break
					}
				if (!page.more || page.entries.length === 0) break
				from = page.entries[page.entries.length - 1].key
				yield* Effect.sleep(config.limits.controllerLeaseMs * 0.2)
			}
			if (left > 0) return
			const record = this.record()
			if (record?.legacy !== true) return
			yield* this.write(advanceArchivalEpoch(cache, { ...record, legacy: false }))
			log('info', 'record migration completed')
		})
	}
}
