import {
	asHistory,
	asIntake,
	asJob,
	doneTasks,
	type Ended,
	ended,
	FORM,
	HISTORY,
	leave,
	migration,
	nextTurn,
	ownRecord,
	partKey,
} from '@heathroad/cluster'
import { historyDefaults, pageRoom, valueRoom } from '@heathroad/config'
import { type Found, Mover, ordinal, type Past, Recall } from '@heathroad/history'
import { type Content, ROOT, type StoreClient, Urgency, type WriteResult } from '@heathroad/store'
import { Cause, Effect } from 'effect'
import { leavable, mayTurn } from './archiving.js'
import { ANSWER_MS, type Archive, type Core } from './core.js'

/** Keys of the first form that one request of the move reads. */
const SCAN = 200

/** What History asks of the controller that it belongs to. */
export interface HistoryPorts {
	/** the parts that it owns */
	parts(): Iterable<number>
	/** jobs of which attempts may be somewhere in a part; null: not known */
	holding(part: number): Set<string> | null
	/** the records are of a form that this program does not know */
	tooNew(form: number): void
}

/**
 * Jobs that are over: which of them are still in memory, where the others are found, and their way into the
 * archive. Decisions are in `archiving.ts`, what a move writes in `@heathroad/history`; here is when things are done.
 */
export class History implements Archive {
	readonly recall: Recall
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
		private readonly s: Core,
		private readonly client: StoreClient,
		private readonly p: HistoryPorts,
	) {
		const { derived, history } = s.config
		this.settings = history ?? historyDefaults
		this.leaveOut = history !== null
		this.turnedAt = s.now()
		// As many questions may wait as are read within the time that users wait for an answer.
		const perS = derived.readsPerS / 3
		const limits = { cache: this.settings.cacheMb * 1e6, waiting: Math.ceil(perS * 3), run: 16 }
		this.recall = new Recall(
			client,
			() => this.places(),
			s.mirror.pace,
			limits,
			(e) => this.warn('archive read failed', e),
		)
	}

	stop(): void {
		this.stopped = true
	}

	private warn(event: string, e: unknown): void {
		this.s.log('error', event, { error: Cause.isCause(e) ? Cause.pretty(e) : String(e) })
	}

	// ---- where final states are ----

	private record() {
		return asHistory(this.s.mirror.get(HISTORY)?.data)
	}

	turn(): number {
		return this.s.mirror.stamp(HISTORY)
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
	wants(key: string, data: unknown): boolean {
		// Where none of the first form are left, an own key says that a cancellation has yet to be cleared away.
		if (key === HISTORY) this.leaveOut = asHistory(data)?.legacy ?? true
		if (key.startsWith('intake/')) for (const r of asIntake(data) ?? []) this.namedByRead.add(r.spec!.uid)
		const final = this.leaveOut && key.startsWith('job/') ? asJob(data)?.final : undefined
		if (final === undefined || this.namedByRead.has(key.slice('job/'.length))) return true
		if (final === 'aborted') this.leftOut = true
		return false
	}

	/** The record of the form changed. */
	changed(): void {
		this.turnedAt = this.s.now()
		const record = this.record()
		this.leaveOut = record?.legacy ?? true
		if (record !== null && record.form > FORM) this.p.tooNew(record.form)
	}

	/** A full read is complete; what happened since the last change that is known may never be told. */
	reloaded(epoch: number): void {
		this.namedByRead.clear()
		if (this.leftOut) this.s.cancellations.incomplete(epoch)
		this.leftOut = false
		this.recall.reset(epoch)
	}

	/** Every change up to the mirror's epoch is applied. */
	advanced(): void {
		const left = this.s.jobs.settle()
		if (left.length > 0) this.recall.left(left, this.s.mirror.epoch)
	}

	// ---- questions ----

	known(uid: string): Past | undefined {
		return this.recall.known(uid)
	}

	find(uid: string): Effect.Effect<Found> {
		return this.recall.find(uid).pipe(
			Effect.timeoutOption(ANSWER_MS),
			Effect.map((o) => (o._tag === 'Some' ? o.value : 'unsure')),
		)
	}

	proves(uid: string): boolean {
		return this.record() === null || this.recall.proves(uid)
	}

	// ---- the way into the archive ----

	/** The regular look. */
	look(): void {
		if (this.s.mirror.epoch < 0 || this.stopped) return
		const record = this.record()
		if (record === null) return this.begin()
		if (record.form > FORM || !this.s.stateOk()) return
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
			Effect.catchCause((cause) => Effect.sync(() => this.warn('archiving stopped', cause))),
			Effect.map(done),
		)
		Effect.runFork(guarded)
	}

	/** To the second form, once every controller knows it: the others would read that jobs are open which are over. */
	private begin(): void {
		const { members, config, mirror } = this.s
		if (config.history === null || members.right() !== 'grant') return
		if (!members.peers.every((p) => members.alive(p.name) && p.news?.history === true)) return
		this.submit(Urgency.progress, () =>
			this.record() === null ? nextTurn(mirror, { form: FORM, turn: 1, legacy: true }) : null,
		)
		this.s.log('info', 'records move to the second form')
	}

	private submit(
		urgency: number,
		build: () => Content | null,
		done: (result: WriteResult) => void = () => {},
	): void {
		const until = this.s.now() + this.s.config.derived.grantMs * 2
		this.s.writer.submit({ urgency, build, until, done })
	}

	private write(content: Content): Effect.Effect<WriteResult> {
		return Effect.callback<WriteResult>((resume) => {
			this.submit(
				Urgency.progress,
				() => content,
				(result) => resume(Effect.succeed(result)),
			)
		})
	}

	/** Waits until so many changes more are within the share of ours that history may take. */
	private pace(changes: number): Effect.Effect<void> {
		const perS = this.s.config.derived.writesPerS * this.settings.share
		return Effect.sleep((changes / perS) * 1000)
	}

	private beginTurn(record: { form: number; turn: number; legacy: boolean }): void {
		const { jobs, mirror, config } = this.s
		const wait = this.closed().flatMap(({ key }) => [...jobs.on(key)].map((j) => j.epoch))
		const sinceMs = this.s.now() - this.turnedAt
		if (!mayTurn(wait, this.turn(), sinceMs, config.derived.cancelMs, this.settings.batch)) return
		const turn = this.turn()
		this.submit(Urgency.progress, () =>
			this.turn() === turn ? nextTurn(mirror, { ...record, turn: record.turn + 1 }) : null,
		)
	}

	private owns(part: number): boolean {
		return [...this.p.parts()].includes(part)
	}

	/** Pages of our parts that nothing is added to any more. */
	private closed(): { part: number; key: string }[] {
		const out: { part: number; key: string }[] = []
		for (const [key] of this.s.mirror.under('over/')) {
			const [, k, epoch] = key.split('/')
			if (epoch !== undefined && this.owns(this.keeper(Number(k)))) out.push({ part: Number(k), key })
		}
		return out.sort((a, b) => a.key.length - b.key.length || (a.key < b.key ? -1 : 1))
	}

	/** The part that looks after another one's pages: its own, unless there are fewer parts than there were. */
	private keeper(part: number): number {
		return part % this.s.config.derived.names.length
	}

	/** Jobs that keep the records of others get keys of their own, a few at a time. */
	private unpin(): void {
		const { jobs, mirror, config } = this.s
		let left = Math.ceil(config.derived.writesPerS * this.settings.share * (config.derived.grantMs / 500))
		for (const [uid, record] of jobs.pinning(this.turn())) {
			if (!this.owns(record.part)) continue
			if (left-- <= 0) return
			this.submit(Urgency.progress, () => {
				const known = jobs.get(uid)
				if (known === undefined || known.stamp !== 0 || known.record.final !== undefined) return null
				const { conditions, changes } = ownRecord(mirror, uid, 0, known.record)
				const key = partKey(record.part)
				return { conditions: [{ key: ROOT + key, stamp: mirror.stamp(key) }, ...conditions], changes }
			})
		}
	}

	/** Full pages of one of our parts go into the archive, when they are enough to be worth it. */
	private move(): void {
		const { jobs, mirror } = this.s
		const closed = this.closed()
		if (closed.length === 0) return
		const named = jobs.named()
		for (const part of new Set(closed.map((c) => c.part))) {
			const held = this.p.holding(this.keeper(part))
			if (held === null) continue
			const pages = closed
				.filter((c) => c.part === part)
				.map(({ key }) => ({ key, stamp: mirror.stamp(key), jobs: [...jobs.on(key)] }))
			const ready = leavable(pages, this.turn(), named, held, this.settings.batch)
			if (ready.length === 0) continue
			this.moving = true
			return this.run(this.moveOut(part, ready), () => {
				this.moving = false
			})
		}
	}

	private moveOut(
		part: number,
		pages: readonly { key: string; stamp: number; jobs: (Ended & { epoch: number })[] }[],
	) {
		const { mirror, config, log } = this.s
		const keeper = this.keeper(part)
		const mine = () => !this.stopped && this.owns(keeper)
		const owning = () => ({ key: ROOT + partKey(keeper), stamp: mirror.stamp(partKey(keeper)) })
		const { txn_ops } = config.settings.deployment.state
		const mover = new Mover({
			client: this.client,
			write: (conditions, changes) => this.write({ conditions: [owning(), ...conditions], changes }),
			pace: (changes) => this.pace(changes),
			mine,
			room: { ops: txn_ops, value: valueRoom(config.settings), bytes: 40 * 1024 },
		})
		const items: Past[] = pages
			.flatMap((p) => p.jobs)
			.map((j) => ({
				at: ordinal(j.uid),
				aborted: j.final === 'aborted',
				tasks: j.tasks,
				done: j.done,
				epoch: j.epoch,
			}))
			.sort((a, b) => (a.at < b.at ? -1 : 1))
		return Effect.gen({ self: this }, function* () {
			if (!(yield* mover.insert(1, items))) return
			// Only now: until here both places tell the same.
			for (let i = 0; i < pages.length; i += txn_ops) {
				const some = pages.slice(i, i + txn_ops)
				yield* this.pace(some.length)
				if (!mine() || some.some((p) => mirror.stamp(p.key) !== p.stamp)) return
				yield* this.write(
					leave(
						mirror,
						keeper,
						some.map((p) => p.key),
					),
				)
			}
			log('info', 'archived', { part, jobs: items.length, pages: pages.length })
		})
	}

	/**
	 * Final states of the first form go to pages, from the first key to the last, within our share of the changes. It can
	 * stop anywhere and begins anew: what is moved is gone from here.
	 */
	private migrate() {
		const { mirror, config, log } = this.s
		const room = pageRoom(config)
		const most = Math.max(1, config.settings.deployment.state.txn_ops - 2)
		return Effect.gen({ self: this }, function* () {
			let from: string | null = null
			let left = 0
			for (;;) {
				const page: { entries: { key: string; data: unknown; stamp: number }[]; more: boolean } =
					yield* this.client.page(`${ROOT}job/`, from, SCAN)
				const mine = new Map<number, { job: Ended; stamp: number }[]>()
				for (const e of page.entries) {
					const record = asJob(e.data)
					const uid = e.key.slice(`${ROOT}job/`.length)
					// A cancelled job's own key goes with the regular tidying.
					if (record?.final === undefined || this.s.jobs.onPage(uid)) continue
					left++
					const part = this.keeper(record.part)
					const tasks = record.tasks ?? 0
					const job = ended(
						uid,
						record.final,
						{ team: '', cpus: 0, gpus: 0, ramGb: 0, ...record.need, tasks },
						doneTasks(record),
					)
					mine.set(part, [...(mine.get(part) ?? []), { job, stamp: e.stamp }])
				}
				for (const part of this.p.parts())
					for (let rest = mine.get(part) ?? []; rest.length > 0; ) {
						const some = rest.slice(0, most)
						yield* this.pace(some.length + 1)
						if (this.stopped || !this.owns(part)) break
						let taken = 0
						const result = yield* Effect.callback<WriteResult>((resume) => {
							this.submit(
								Urgency.progress,
								() => {
									const made = migration(mirror, part, some, room)
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
				yield* Effect.sleep(config.derived.grantMs * 0.2)
			}
			if (left > 0) return
			const record = this.record()
			if (record?.legacy !== true) return
			yield* this.write(nextTurn(mirror, { ...record, legacy: false }))
			log('info', 'no final states of the first form are left')
		})
	}
}
