import type { LogPosition, TerminalState } from '@heathroad/cluster'
import { REVISION_END } from '@heathroad/cluster'
import { Changes } from './changes.js'
import { Cursors, type Place, type Selection } from './cursor.js'
import type { JobState, Records } from './records.js'
import { type End, type Snapshot, type Source, Subscription } from './subscription.js'

/** Why a stream cannot begin at its cursor. */
export type NotHere =
	/** not a cursor of this installation and selection */
	| 'invalid cursor'
	/** from a later revision than the records are at, or from before what is kept */
	| 'out of range'

export interface Reader {
	wake(): void
	ended(why: End): void
}

/**
 * From changes of the records to what subscriptions tell. What is watched by nobody costs nothing; what is watched
 * is worked out once for all who watch it, at most once in `everyMs`; final states need no work at all, each stream
 * finds its place in their order.
 */
export class Hub implements Source {
	private readonly all = new Set<Subscription>()
	private readonly byUid = new Map<string, Set<Subscription>>()
	private readonly byTeam = new Map<string, Set<Subscription>>()
	private readonly teams = new Map<string, Changes>()
	private readonly snapshots = new Map<string, Snapshot>()
	/** watched jobs that are not over, as they are told at present */
	private readonly told = new Map<string, JobState & { team: string }>()
	private readonly dirty = new Set<string>()
	private runs = new Map<string, number>()
	/** final states seen that lie behind what all records are known up to */
	private coming: TerminalState[] = []
	private seq = 0

	constructor(
		private readonly records: Records,
		private readonly installation: string,
		private readonly everyMs: number,
		private readonly now: () => number,
	) {}

	// ---- what happens ----

	/** A job's records changed. */
	jobChanged(uid: string): void {
		if (this.all.size === 0) return
		this.dirty.add(uid)
		const final = this.records.finals.get(uid)
		if (final === undefined) return
		for (const s of this.byUid.get(uid) ?? []) s.arrived(final)
		this.coming.push(final)
	}

	/** The records are known up to a later revision. */
	advanced(): void {
		if (this.coming.length === 0) return
		const revision = this.revision()
		const woken = new Set<Subscription>()
		const still: TerminalState[] = []
		for (const f of this.coming) {
			if (f.revision > revision) {
				still.push(f)
				continue
			}
			for (const s of this.byUid.get(f.uid) ?? []) woken.add(s)
			for (const s of this.byTeam.get(f.team) ?? []) woken.add(s)
		}
		this.coming = still
		for (const s of woken) s.wake()
	}

	/** The regular look at what changed since the last one, `everyMs` apart. */
	look(): void {
		if (this.all.size === 0) return
		const runs = new Map<string, number>()
		for (const [uid, n] of this.records.running()) {
			runs.set(uid, n)
			if (this.runs.get(uid) !== n) this.dirty.add(uid)
			this.runs.delete(uid)
		}
		for (const uid of this.runs.keys()) this.dirty.add(uid)
		this.runs = runs
		const woken = new Set<Subscription>()
		for (const uid of this.dirty) this.publish(uid, woken)
		this.dirty.clear()
		for (const s of woken) s.wake()
	}

	/** Nobody listens: nothing is kept. */
	private rest(): void {
		this.dirty.clear()
		this.told.clear()
		this.runs.clear()
		this.teams.clear()
		this.snapshots.clear()
		this.coming = []
	}

	private publish(uid: string, woken: Set<Subscription>): void {
		const before = this.told.get(uid)
		const now = this.compute(uid)
		if (now === null) {
			this.told.delete(uid)
			if (before !== undefined) this.teams.get(before.team)?.drop(uid)
			return
		}
		const named = this.byUid.get(uid)
		const team = this.byTeam.get(now.team)
		if (named === undefined && team === undefined) return
		const same =
			before !== undefined &&
			before.state === now.state &&
			before.done === now.done &&
			before.running === now.running
		if (same) return
		this.told.set(uid, now)
		this.seq++
		for (const s of named ?? []) {
			s.touched(uid)
			woken.add(s)
		}
		if (team === undefined) return
		this.teams.get(now.team)?.touch(uid, this.seq)
		for (const s of team) woken.add(s)
	}

	/**
	 * A job that is not over as it is to be told. Where nobody knows whether tasks run, after a takeover say, what
	 * was told last stands: ignorance is no news.
	 */
	private compute(uid: string): (JobState & { team: string }) | null {
		const job = this.records.open(uid)
		if (job === undefined) return null
		const running = job.running ?? this.told.get(uid)?.running ?? 0
		const { team, tasks, done } = job
		return { uid, team, state: running > 0 ? 'running' : 'pending', done, running, tasks }
	}

	// ---- streams ----

	/**
	 * Begins a stream. The caller has made sure, by a read begun after the request came, that nothing older is told
	 * than anybody was told before.
	 */
	subscribe(selection: Selection, cursor: string, reader: Reader): Subscription | NotHere {
		const cursors = new Cursors(this.installation, selection)
		let place: Place = { phase: 'present', revision: this.revision(), uid: '' }
		if (cursor !== '') {
			const read = cursors.read(cursor)
			if (read === null) return 'invalid cursor'
			// After a fresh read nothing that was ever told lies ahead of us, unless the state is another one by now.
			if (read.revision > this.revision()) return 'out of range'
			place = read
		}
		const behind = place.phase === 'live' ? place : { revision: place.revision, uid: REVISION_END }
		if ('team' in selection && !this.keeps(selection.team, behind)) return 'out of range'
		if ('team' in selection && !this.teams.has(selection.team)) this.teams.set(selection.team, new Changes())
		const subscription = new Subscription(
			this,
			cursors,
			selection,
			place,
			() => reader.wake(),
			(why) => reader.ended(why),
		)
		this.all.add(subscription)
		for (const [index, key] of this.keysOf(selection)) {
			const set = index.get(key) ?? new Set()
			index.set(key, set.add(subscription))
		}
		return subscription
	}

	private *keysOf(selection: Selection): Iterable<[Map<string, Set<Subscription>>, string]> {
		if ('team' in selection) yield [this.byTeam, selection.team]
		else for (const uid of selection.uids) yield [this.byUid, uid]
	}

	left(subscription: Subscription): void {
		this.all.delete(subscription)
		// Changes are not followed for nobody: what was told would be old for the next one.
		if (this.all.size === 0) this.rest()
		for (const [index, key] of this.keysOf(subscription.selection)) {
			const set = index.get(key)
			if (set?.delete(subscription) && set.size === 0) index.delete(key)
		}
		const { selection } = subscription
		if ('team' in selection && !this.byTeam.has(selection.team)) {
			this.teams.delete(selection.team)
			this.snapshots.delete(selection.team)
		}
	}

	/** Ends every stream: their readers go on elsewhere. */
	endAll(why: End): void {
		for (const s of [...this.all]) s.end(why)
	}

	// ---- what streams read ----

	revision(): number {
		return this.records.revision()
	}

	current(uid: string): JobState | null {
		// Over since the last look: only its final state is told from now on.
		if (this.records.open(uid) === undefined) return null
		// What changed since the last look is told as it is now: a stream that goes on here may have heard of it
		// elsewhere. For the others it stays news, which the look tells.
		const dirty = this.dirty.has(uid)
		const known = dirty ? undefined : this.told.get(uid)
		const now = known ?? this.compute(uid)
		if (now === null) return null
		if (known === undefined && !dirty) this.told.set(uid, now)
		const { team: _, ...state } = now
		return state
	}

	final(uid: string): TerminalState | undefined {
		return this.records.finals.get(uid)
	}

	nextFinal(team: string, after: LogPosition): TerminalState | null {
		return this.records.finals.next(team, after, this.revision())
	}

	behind(team: string, after: LogPosition): number {
		return this.records.finals.countAfter(team, after)
	}

	keeps(team: string, after: LogPosition): boolean {
		return this.records.finals.retainsAllAfter(team, after)
	}

	snapshot(team: string): Snapshot {
		const known = this.snapshots.get(team)
		if (known !== undefined && this.now() - known.at < this.everyMs) return known
		const fresh = { at: this.now(), seq: this.seq, uids: [...this.records.openOf(team)].sort() }
		this.snapshots.set(team, fresh)
		return fresh
	}

	change(team: string, after: number): { seq: number; uid: string } | null {
		return this.teams.get(team)?.after(after) ?? null
	}
}
