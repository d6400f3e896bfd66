import { acceptance, type JobRecord } from '@heathroad/cluster'
import { valueRoom } from '@heathroad/config'
import { rank } from '@heathroad/policy'
import { type Content, Urgency, type Write } from '@heathroad/store'
import type { JobSpec } from '@heathroad/wire'
import { Effect } from 'effect'
import type { Core } from './core.js'

export type Acceptance =
	| 'accepted'
	/** it may be known already, or may yet become so: ask */
	| 'unclear'
	/** certainly not accepted */
	| 'refused'

/** How many of our records are looked at for one that says nothing any more, for each that is written. */
const LOOKS = 4

interface Waiting {
	record: JobRecord & { spec: JobSpec }
	bytes: number
	until: number
	/** epoch as of which it was proven that the job is not archived */
	proven: number
	proving: boolean
	done: (how: Acceptance) => void
}

/**
 * Makes accepted jobs durable, as many in one change as a value holds: a burst of submissions would otherwise wait
 * for seconds at the change rate that all controllers share. One write is under way at a time; what comes meanwhile
 * goes with the next.
 */
export class Intake {
	private waiting: Waiting[] = []
	private write: Write | null = null
	private counter = 0
	/** our records, the oldest first, and the epochs of their last changes */
	private readonly written: { key: string; epoch: number }[] = []

	constructor(private readonly s: Core) {}

	/**
	 * May one more of this team's wait? The bound is the service's, but a team that has less than its equal part of it
	 * waiting is not refused for what others brought: a guest's swarm must not shut the other team out.
	 */
	hasRoom(team: string): boolean {
		const { derived, settings } = this.s.config
		const own = this.waiting.filter((w) => w.record.spec.team === team).length
		if (this.waiting.length < derived.intakeLimit) return true
		return own < derived.intakeLimit / settings.deployment.teams.length
	}

	accept(record: JobRecord & { spec: JobSpec }, waitMs: number, done: (how: Acceptance) => void): void {
		const bytes = JSON.stringify(record).length + 1
		const until = this.s.now() + waitMs
		const w: Waiting = { record, bytes, until, done, proven: -1, proving: false }
		this.waiting.push(w)
		if (this.proven(w)) this.flush()
		else this.prove(w)
	}

	/**
	 * Is it proven that the job is not archived? An acceptance holds only for the turn in which it is made, and what was
	 * archived before that turn is in a proof from within it. What was over and not archived then, we know.
	 */
	private proven(w: Waiting): boolean {
		const { history, mirror } = this.s
		if (w.proven >= history.turn() && w.proven >= 0) return true
		if (!history.proves(w.record.spec.uid)) return false
		w.proven = mirror.epoch
		return true
	}

	private prove(w: Waiting): void {
		if (w.proving) return
		w.proving = true
		const asked = this.s.mirror.epoch
		const heard = this.s.history.find(w.record.spec.uid).pipe(
			Effect.map((found) => {
				w.proving = false
				if (!this.waiting.includes(w)) return
				if (found === 'absent') {
					w.proven = asked
					this.flush()
				} else this.settle(new Set([w]), found === 'unsure' ? 'refused' : 'unclear')
			}),
		)
		Effect.runFork(heard)
	}

	/** Those that may be written, in that order: teams in turn, within each the urgent first. */
	private inTurn(): Waiting[] {
		const teams = new Map<string, number>()
		// Accepted elsewhere since it came: its state is asked for.
		this.settle(
			new Set(this.waiting.filter((w) => this.s.jobs.get(w.record.spec.uid) !== undefined)),
			'unclear',
		)
		const ready: Waiting[] = []
		for (const w of this.waiting)
			if (this.proven(w)) ready.push(w)
			else this.prove(w)
		return ready
			.map((w, i) => ({ w, i, rank: rank(w.record.spec.priority) }))
			.sort((a, b) => b.rank - a.rank || a.i - b.i)
			.map((x) => {
				const { team } = x.w.record.spec
				const turn = teams.get(team) ?? 0
				teams.set(team, turn + 1)
				return { ...x, turn }
			})
			.sort((a, b) => a.turn - b.turn || a.i - b.i)
			.map((x) => x.w)
	}

	/** The first of those waiting, as many as one value and the conditions of one transaction hold. */
	private batch(): Waiting[] {
		const { settings } = this.s.config
		const { txn_ops } = settings.deployment.state
		let room = valueRoom(settings)
		const out: Waiting[] = []
		for (const w of this.inTurn()) {
			room -= w.bytes
			if (out.length > 0 && (room < 0 || out.length >= txn_ops * 2)) break
			out.push(w)
		}
		return out
	}

	/**
	 * Where the next record goes: over one of ours which says nothing any more, else under a new key. That costs a
	 * second change as it is removed; at four jobs a second, which come one by one, that used up the rate (incident 25).
	 */
	private place(): { key: string; stamp: number } {
		const { mirror, jobs, members } = this.s
		for (let looks = Math.min(LOOKS, this.written.length); looks > 0; looks--) {
			const one = this.written.shift()!
			const entry = mirror.get(one.key)
			// What we know of it may be older than what we wrote last.
			const seen = mirror.epoch >= one.epoch
			if (seen && entry !== undefined && jobs.isSpent(entry.data)) return { key: one.key, stamp: entry.stamp }
			// Removed by whoever tidies up, it is left alone.
			if (!seen || entry !== undefined) this.written.push(one)
		}
		return { key: `intake/${members.life}-${++this.counter}`, stamp: 0 }
	}

	private flush(): void {
		if (this.write !== null || !this.waiting.some((w) => this.proven(w))) return
		let sent: Waiting[] = []
		let place: { key: string; stamp: number } | null = null
		this.write = {
			urgency: Urgency.user,
			until: Math.min(...this.waiting.map((w) => w.until)),
			build: (): Content | null => {
				sent = this.batch()
				const jobs = sent.map((w) => w.record)
				place ??= this.place()
				return jobs.length === 0 ? null : acceptance(this.s.mirror, place.key, jobs, place.stamp)
			},
			done: (result) => {
				// What may yet be applied is left alone: who removes it sees that it is there.
				if (result.kind === 'ok') {
					this.written.push({ key: place!.key, epoch: result.epoch })
					this.accepted(sent, result.epoch)
				} else if (result.kind === 'unknown') this.settle(new Set(sent), 'unclear')
				// One of them is known already: it leaves, the others go again.
				else if (result.kind === 'conflict')
					return this.s.refresh(() => {
						const known = sent.filter((w) => this.s.jobs.get(w.record.spec.uid) !== undefined)
						this.settle(new Set(known), 'unclear')
						this.next()
					})
				this.next()
			},
		}
		this.s.writer.submit(this.write)
	}

	/**
	 * Durable; told when we know all that came before. A user's retry may have met another controller meanwhile, and the
	 * job be over by now: records of acceptances and of final states have no key in common that would say so. Accepted by
	 * an earlier record, it was known already.
	 */
	private accepted(some: readonly Waiting[], epoch: number): void {
		this.waiting = this.waiting.filter((w) => !some.includes(w))
		this.s.whenSeen(epoch, (ok) => {
			for (const w of some) {
				const known = this.s.jobs.get(w.record.spec.uid)?.record
				const ours = known?.final === undefined && known?.at === w.record.at
				w.done(ok && ours ? 'accepted' : 'unclear')
			}
		})
	}

	private next(): void {
		this.write = null
		const now = this.s.now()
		this.settle(new Set(this.waiting.filter((w) => w.until <= now)), 'refused')
		this.flush()
	}

	private settle(some: ReadonlySet<Waiting>, how: Acceptance): void {
		if (some.size === 0) return
		this.waiting = this.waiting.filter((w) => !some.has(w))
		for (const w of some) w.done(how)
	}
}
