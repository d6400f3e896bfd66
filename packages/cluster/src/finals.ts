import { type JobRecord, terminalDoneCount } from './records.js'

/** A job's final state, and the revision of the change that made it durable. */
export interface TerminalState {
	uid: string
	team: string
	state: 'done' | 'aborted'
	revision: number
	/** tasks of the job, and how many of them were done */
	taskCount: number
	doneCount: number
}

/** A place in the order in which final states became durable; those of one transaction go by their ids. */
export interface LogPosition {
	revision: number
	uid: string
}

/** Behind every final state of an revision. */
export const REVISION_END = '~'

export const comparePositions = (a: LogPosition, b: LogPosition): number =>
	a.revision - b.revision || (a.uid < b.uid ? -1 : a.uid > b.uid ? 1 : 0)

/** How final states are read by whoever tells them on; where they are kept is nobody else's concern. */
export interface TerminalStateSource {
	/** A job's final state, however old; undefined: none is known. */
	get(uid: string): TerminalState | undefined
	/** The first one of a team behind a place, up to and with an revision; null: there is none yet. */
	next(team: string, after: LogPosition, revision: number): TerminalState | null
	/** How many of a team's lie behind a place, as far as they are kept. */
	countAfter(team: string, after: LogPosition): number
	/** Is everything of the team that lies behind a place still kept? */
	retainsAllAfter(team: string, after: LogPosition): boolean
}

export const toTerminalState = (uid: string, record: JobRecord, revision: number): TerminalState | null => {
	if (record.finalState === undefined) return null
	const tasks = record.taskCount ?? 0
	const done = terminalDoneCount(record)
	return {
		uid,
		team: record.resources?.team ?? '',
		state: record.finalState,
		revision,
		taskCount: tasks,
		doneCount: done,
	}
}

/** One team's final states in their order. */
interface Line {
	all: TerminalState[]
	/** the last one that is not kept any more */
	floor: LogPosition
}

/**
 * The latest final states in the order in which they became durable, kept for those who follow a team. A bounded
 * number of them: who is further behind than that begins anew from the present.
 */
export class TerminalStateLog implements TerminalStateSource {
	private readonly lines = new Map<string, Line>()
	/** in the order of their arrival here, which is nearly that of their revisions */
	private kept: TerminalState[] = []
	private readonly byUid = new Map<string, TerminalState>()

	/**
	 * `keep`: how many at most. `read`: the final states of jobs that are not among them.
	 */
	constructor(
		private readonly keep: number,
		private readonly read: (uid: string) => TerminalState | undefined,
	) {}

	private line(team: string): Line {
		const known = this.lines.get(team)
		if (known !== undefined) return known
		const line: Line = { all: [], floor: { revision: -1, uid: '' } }
		this.lines.set(team, line)
		return line
	}

	/** The first index behind a place. */
	private static index(all: readonly TerminalState[], after: LogPosition): number {
		let from = 0
		let to = all.length
		while (from < to) {
			const middle = (from + to) >> 1
			if (comparePositions(all[middle], after) > 0) to = middle
			else from = middle + 1
		}
		return from
	}

	/** Our own writes are known before the watch tells what came earlier, so one may come in out of order. */
	add(final: TerminalState): void {
		const line = this.line(final.team)
		const at = TerminalStateLog.index(line.all, final)
		if (at > 0 && comparePositions(line.all[at - 1], final) === 0) return
		line.all.splice(at, 0, final)
		this.kept.push(final)
		this.byUid.set(final.uid, final)
		// In batches, so that dropping costs little for each.
		if (this.kept.length > this.keep * 1.25) this.trim()
	}

	private trim(): void {
		this.kept.sort(comparePositions)
		const gone = this.kept.splice(0, this.kept.length - this.keep)
		for (const f of gone) {
			this.line(f.team).floor = f
			this.byUid.delete(f.uid)
		}
		for (const line of this.lines.values()) line.all.splice(0, TerminalStateLog.index(line.all, line.floor))
	}

	get(uid: string): TerminalState | undefined {
		return this.byUid.get(uid) ?? this.read(uid)
	}

	next(team: string, after: LogPosition, revision: number): TerminalState | null {
		const all = this.lines.get(team)?.all ?? []
		const found = all[TerminalStateLog.index(all, after)]
		return found !== undefined && found.revision <= revision ? found : null
	}

	countAfter(team: string, after: LogPosition): number {
		const all = this.lines.get(team)?.all ?? []
		return all.length - TerminalStateLog.index(all, after)
	}

	retainsAllAfter(team: string, after: LogPosition): boolean {
		return comparePositions(this.line(team).floor, after) <= 0
	}
}
