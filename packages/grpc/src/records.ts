import { asFinal, type Final, FinalsLog, INSTALLATION, recordedDone } from '@heathroad/cluster'
import type { Hub, OpenJob, Records } from '@heathroad/events'
import { type Past, uidOf } from '@heathroad/history'
import type { Service, Watcher } from '@heathroad/server'
import { ROOT, Urgency } from '@heathroad/store'

/** The service's records as streams read them. */
export class ServiceRecords implements Records, Watcher {
	readonly finals: FinalsLog
	/** parts that changed hands lately: what their owners tell of running tasks may not be complete, until when */
	private readonly unsure = new Map<number, number>()
	private readonly recalled = new Map<string, Final>()
	hub: Hub | null = null

	constructor(
		private readonly s: Service,
		private readonly history: number,
	) {
		this.finals = new FinalsLog(history, (uid) => this.recorded(uid) ?? this.recalled.get(uid))
		for (const uid of s.jobs.known()) this.noteFinal(uid)
		s.watcher = this
	}

	// ---- what the service tells ----

	jobChanged(uid: string): void {
		this.noteFinal(uid)
		this.hub?.jobChanged(uid)
	}

	partChanged(part: number): void {
		this.unsure.set(part, this.s.now() + this.s.config.derived.reportMs * 2)
	}

	advanced(): void {
		this.hub?.advanced()
	}

	private noteFinal(uid: string): void {
		const final = this.recorded(uid)
		if (final !== undefined) this.finals.add(final)
	}

	private recorded(uid: string): Final | undefined {
		const known = this.s.jobs.final(uid)
		return known === undefined ? undefined : (asFinal(uid, known.record, known.epoch) ?? undefined)
	}

	/** Read from the archive for a stream that names the job: the latest of those are kept. */
	recall(past: Past): void {
		const uid = uidOf(past.at)
		const { aborted, tasks, done, epoch } = past
		this.recalled.delete(uid)
		this.recalled.set(uid, { uid, team: '', state: aborted ? 'aborted' : 'done', epoch, tasks, done })
		for (const oldest of this.recalled.keys()) {
			if (this.recalled.size <= this.history) break
			this.recalled.delete(oldest)
		}
	}

	// ---- what streams read ----

	epoch(): number {
		return this.s.mirror.epoch
	}

	open(uid: string): OpenJob | undefined {
		const record = this.s.jobs.get(uid)?.record
		if (record?.spec === undefined || record.final !== undefined) return undefined
		const { team, tasks } = record.spec
		const done = recordedDone(uid, record, (key) => this.s.mirror.get(key)?.data)
		return { team, tasks, done, running: this.runningOf(uid, record.part) }
	}

	private runningOf(uid: string, k: number): number | null {
		const part = this.s.part(k)
		if (part !== undefined) return part.rebuilt ? (part.jobs.get(uid)?.runningCount() ?? 0) : null
		const owner = this.s.members.ownerOf(k)
		if (owner?.alive !== true || this.s.now() < (this.unsure.get(k) ?? 0)) return null
		const news = this.s.members.peers.find((p) => p.name === owner.name)?.news
		return news === null || news === undefined ? null : Number(news.running[uid] ?? 0)
	}

	*openOf(team: string): Iterable<string> {
		for (const uid of this.s.jobs.open) if (this.s.jobs.get(uid)?.record.spec?.team === team) yield uid
	}

	*running(): Iterable<[string, number]> {
		for (const [uid, tasks] of Object.entries(this.s.runningHere())) yield [uid, tasks]
		for (const peer of this.s.members.peers)
			if (peer.news !== null && this.s.members.alive(peer.name))
				for (const [uid, tasks] of Object.entries(peer.news.running)) yield [uid, Number(tasks)]
	}

	// ---- the installation ----

	/** What tells this installation's cursors from others'; null: it is not known yet. */
	installation(): string | null {
		const data = this.s.mirror.get(INSTALLATION)?.data
		return typeof data === 'string' ? data : null
	}

	/** The first controller that needs it names the installation, once and for ever. */
	nameInstallation(id: string): void {
		if (this.s.mirror.epoch < 0 || this.installation() !== null) return
		this.s.writer.submit({
			urgency: Urgency.progress,
			build: () =>
				this.installation() === null
					? {
							conditions: [{ key: ROOT + INSTALLATION, stamp: 0 }],
							changes: [{ set: ROOT + INSTALLATION, data: id }],
						}
					: null,
			until: this.s.now() + this.s.config.derived.grantMs,
			done: () => {},
		})
	}
}
