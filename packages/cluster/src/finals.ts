import { doneTasks, type JobRecord } from './records.js'

/** A job's final state, and the epoch of the change that made it durable. */
export interface Final {
	uid: string
	team: string
	state: 'done' | 'aborted'
	epoch: number
	/** tasks of the job, and how many of them were done */
	tasks: number
	done: number
}

/** A place in the order in which final states became durable; those of one transaction go by their ids. */
export interface Position {
	epoch: number
	uid: string
}

/** Behind every final state of an epoch. */
export const EPOCH_END = '~'

export const comparePositions = (a: Position, b: Position): number =>
	a.epoch - b.epoch || (a.uid < b.uid ? -1 : a.uid > b.uid ? 1 : 0)

/** How final states are read by whoever tells them on; where they are kept is nobody else's concern. */
export interface Finals {
	/** A job's final state, however old; undefined: none is known. */
	final(uid: string): Final | undefined
	/** The first one of a team behind a place, up to and with an epoch; null: there is none yet. */
	next(team: string, after: Position, epoch: number): Final | null
	/** How many of a team's lie behind a place, as far as they are kept. */
	behind(team: string, after: Position): number
	/** Is everything of the team that lies behind a place still kept? */
	keeps(team: string, after: Position): boolean
}

export const asFinal = (uid: string, record: JobRecord, epoch: number): Final | null => {
	if (record.final === undefined) return null
	const tasks = record.tasks ?? 0
	const done = doneTasks(record)
	return { uid, team: record.need?.team ?? '', state: record.final, epoch, tasks, done }
}

/** One team's final states in their order. */
interface Line {
	all: Final[]
	/** the last one that is not kept any more */
	floor: Position
}

/**
 * The latest final states in the order in which they became durable, kept for those who follow a team. A bounded
 * number of them: who is further behind than that begins anew from the present.
 */
export class FinalsLog implements Finals {
	private readonly lines = new Map<string, Line>()
	/** in the order of their arrival here, which is nearly that of their epochs */
	private kept: Final[] = []
	private readonly byUid = new Map<string, Final>()

	/**
	 * `keep`: how many at most. `read`: the final states of jobs that are not among them.
	 */
	constructor(
		private readonly keep: number,
		private readonly read: (uid: string) => Final | undefined,
	) {}

	private line(team: string): Line {
		const known = this.lines.get(team)
		if (known !== undefined) return known
		const line: Line = { all: [], floor: { epoch: -1, uid: '' } }
		this.lines.set(team, line)
		return line
	}

	/** The first index behind a place. */
	private static index(all: readonly Final[], after: Position): number {
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
	add(final: Final): void {
		const line = this.line(final.team)
		const at = FinalsLog.index(line.all, final)
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
		for (const line of this.lines.values()) line.all.splice(0, FinalsLog.index(line.all, line.floor))
	}

	final(uid: string): Final | undefined {
		return this.byUid.get(uid) ?? this.read(uid)
	}

	next(team: string, after: Position, epoch: number): Final | null {
		const all = this.lines.get(team)?.all ?? []
		const found = all[FinalsLog.index(all, after)]
		return found !== undefined && found.epoch <= epoch ? found : null
	}

	behind(team: string, after: Position): number {
		const all = this.lines.get(team)?.all ?? []
		return all.length - FinalsLog.index(all, after)
	}

	keeps(team: string, after: Position): boolean {
		return comparePositions(this.line(team).floor, after) <= 0
	}
}
