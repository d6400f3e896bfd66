import { comparePositions, type LogPosition, REVISION_END, type TerminalState } from '@heathroad/cluster'
import type { Cursors, Place, Selection } from './cursor.js'
import type { JobState } from './records.js'

export interface JobEvent extends JobState {
	cursor: string
}

/** Why a stream ended without having told everything. Its reader may go on elsewhere, from its cursor. */
export type End =
	/** this controller cannot tell any more */
	| 'not serving'
	/** the reader took less than came, for too long */
	| 'too slow'
	/** what lies between the reader and the present is not kept any more */
	| 'too far behind'

/** A team's open jobs as they were at one moment, for all streams that begin at about that moment. */
export interface Snapshot {
	at: number
	/** changes behind this sequence number are not in it */
	seq: number
	/** sorted */
	uids: readonly string[]
}

/** What a subscription asks of its hub. */
export interface Source {
	revision(): number
	/** the state of a job that is not over, as it is told to everybody at present */
	current(uid: string): JobState | null
	final(uid: string): TerminalState | undefined
	/** a team's next final state behind a place that may be told by now */
	nextFinal(team: string, after: LogPosition): TerminalState | null
	behind(team: string, after: LogPosition): number
	keeps(team: string, after: LogPosition): boolean
	/** a team's jobs that are not over, as of a moment ago */
	snapshot(team: string): Snapshot
	/** the next changed job of a team behind a sequence number */
	change(team: string, after: number): { seq: number; uid: string } | null
	left(subscription: Subscription): void
}

const told = (f: TerminalState): JobState => ({
	uid: f.uid,
	state: f.state === 'done' ? 'done' : 'cancelled',
	done: f.doneCount,
	running: 0,
	tasks: f.taskCount,
})

/**
 * One reader's place in what happens. It holds no events: what to tell next is looked up when the reader takes it, so
 * one that takes nothing costs no more than one that keeps up, and states that it missed are told as the latest.
 *
 * Final states are told in the order in which they became durable, each exactly once over a stream and its
 * continuations: the cursor of an event says how far along that order the stream is.
 */
export class Subscription {
	ended: End | null = null
	private readonly uids: readonly string[] | null
	private readonly team: string | null
	/** for the present phase, or for the states of open jobs after a resume: where in `present` we are */
	private at = 0
	private readonly present: readonly string[]
	/** final states of the named jobs that lie behind our place, in order */
	private readonly ready: TerminalState[] = []
	/** named jobs that changed, none of them over when it did */
	private readonly changed = new Set<string>()
	private seq: number
	/** named jobs whose final state was not told yet */
	private open = 0
	private written: { place: Place; text: string } | null = null

	constructor(
		private readonly source: Source,
		private readonly cursors: Cursors,
		readonly selection: Selection,
		private place: Place,
		private readonly onWake: () => void,
		private readonly onEnd: (why: End) => void,
	) {
		this.uids = 'uids' in selection ? [...new Set(selection.uids)].sort() : null
		this.team = 'team' in selection ? selection.team : null
		const snapshot = this.team === null ? null : source.snapshot(this.team)
		this.seq = snapshot?.seq ?? 0
		this.present = this.uids ?? snapshot!.uids
		for (const uid of this.uids ?? []) {
			const final = source.final(uid)
			if (this.passed(uid, final)) continue
			this.open++
			if (final !== undefined && !this.inPresent(final)) this.arrived(final)
		}
	}

	/** Was the job's final state told before our place? */
	private passed(uid: string, final: TerminalState | undefined): boolean {
		if (final === undefined) return false
		if (this.place.phase === 'live') return comparePositions(final, this.place) <= 0
		return final.revision <= this.place.revision && uid <= this.place.uid
	}

	/** Is it told as part of the present state? */
	private inPresent(final: TerminalState): boolean {
		return this.place.phase === 'present' && final.revision <= this.place.revision
	}

	/** A final state of a named job. */
	arrived(final: TerminalState): void {
		let i = this.ready.length
		while (i > 0 && comparePositions(this.ready[i - 1], final) > 0) i--
		if (i > 0 && this.ready[i - 1].uid === final.uid) return
		this.ready.splice(i, 0, final)
		this.changed.delete(final.uid)
	}

	/** A named job that is not over changed. */
	touched(uid: string): void {
		this.changed.add(uid)
	}

	wake(): void {
		if (this.ended === null) this.onWake()
	}

	/** Nothing is left that could ever be told: every named job's final state was. */
	get finished(): boolean {
		return this.uids !== null && this.open === 0
	}

	/** Final states that wait for the reader. */
	behind(): number {
		return this.team !== null ? this.source.behind(this.team, this.livePlace()) : this.ready.length
	}

	private livePlace(): LogPosition {
		return this.place.phase === 'live' ? this.place : { revision: this.place.revision, uid: REVISION_END }
	}

	/** Where a continuation begins. */
	cursor(): string {
		if (this.written === null || this.written.place !== this.place)
			this.written = { place: this.place, text: this.cursors.write(this.place) }
		return this.written.text
	}

	/** The next event; null: nothing for now. */
	next(): JobEvent | null {
		if (this.ended !== null) return null
		if (this.team !== null && !this.source.keeps(this.team, this.livePlace())) {
			this.end('too far behind')
			return null
		}
		const state = this.nextPresent() ?? this.nextFinal() ?? this.nextChange()
		return state === null ? null : { ...state, cursor: this.cursor() }
	}

	private nextPresent(): JobState | null {
		if (this.place.phase !== 'present') return null
		const { revision, uid: from } = this.place
		while (this.at < this.present.length) {
			const uid = this.present[this.at++]
			if (uid <= from) continue
			const final = this.source.final(uid)
			// What became final later is told in its place in the order.
			if (final !== undefined && (this.team !== null || final.revision > revision)) continue
			const state = final !== undefined ? told(final) : this.source.current(uid)
			if (state === null) continue
			this.place = { phase: 'present', revision, uid }
			if (final !== undefined) this.open--
			return state
		}
		this.place = { phase: 'live', revision, uid: REVISION_END }
		return null
	}

	private nextFinal(): JobState | null {
		let final: TerminalState | null
		if (this.team !== null) final = this.source.nextFinal(this.team, this.place)
		else {
			const [first] = this.ready
			final = first !== undefined && first.revision <= this.source.revision() ? first : null
			if (final !== null) {
				this.ready.shift()
				this.open--
			}
		}
		if (final !== null) {
			this.place = { phase: 'live', revision: final.revision, uid: final.uid }
			return told(final)
		}
		// All up to here is told: the cursor moves on, so that it does not grow old on a quiet team.
		const revision = this.source.revision()
		if (revision > this.place.revision) this.place = { phase: 'live', revision, uid: REVISION_END }
		return null
	}

	private nextChange(): JobState | null {
		// After a resume: what is not over is told once, as it is now.
		while (this.at < this.present.length) {
			const state = this.source.current(this.present[this.at++])
			if (state !== null) return state
		}
		for (const uid of this.changed) {
			this.changed.delete(uid)
			const state = this.source.current(uid)
			if (state !== null) return state
		}
		if (this.team === null) return null
		for (;;) {
			const change = this.source.change(this.team, this.seq)
			if (change === null) return null
			this.seq = change.seq
			const state = this.source.current(change.uid)
			if (state !== null) return state
		}
	}

	/** The stream is over; `why`: without having told everything. */
	end(why: End | null): void {
		if (this.ended !== null) return
		this.ended = why ?? 'not serving'
		this.source.left(this)
		if (why !== null) this.onEnd(why)
	}
}
