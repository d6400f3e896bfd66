import {
	asFleet,
	asHistory,
	asIntake,
	asJob,
	asPage,
	asPart,
	asReleased,
	doneTasks,
	type Ended,
	FORM,
} from '@heathroad/cluster'
import {
	covers,
	deepest,
	END,
	type Leaf,
	ordinal,
	PAST_ROOT,
	type Past,
	pick,
	readLeaf,
	uidOf,
	unpack,
} from '@heathroad/history'
import { ROOT } from '@heathroad/store'
import type { LogEntry } from '@heathroad/wire'
import type { IdSet } from './ids.js'

/** Something that does not fit. */
export interface Finding {
	key: string
	what: string
}

/** What a job that is over was, wherever that stands. */
interface Over {
	where: string
	aborted: boolean
	done: number
}

/**
 * Looks at keys in their order, the archive before the rest, and says what does not fit. What may be so for a while, a
 * state in two places in the middle of a move for one, is none; two places that disagree are. The state is used
 * meanwhile, so what depends on two keys is told from what both say in one walk and may be over by the next.
 */
export class Checker {
	readonly findings: Finding[] = []
	/** leaves of the level above that handed nothing down, in order */
	private shallow: Leaf[] = []
	private level = 0
	private levelShallow: Leaf[] = []
	private end = ''
	/** ids met a second time, and what was said of them: read again in a second walk */
	readonly twice = new Map<string, Over[]>()
	private readonly open = new Map<string, string>()
	private readonly over = new Set<string>()
	private readonly machines = new Map<string, string>()
	private readonly progress: string[] = []
	keys = 0

	constructor(
		private readonly parts: number,
		private readonly archived: IdSet,
	) {}

	private say(key: string, what: string): void {
		this.findings.push({ key, what })
	}

	entry({ key, data, stamp }: LogEntry): void {
		this.keys++
		if (key.startsWith(PAST_ROOT)) return this.leaf(key, data, stamp)
		if (!key.startsWith(ROOT)) return this.say(key, 'is none of ours')
		if (this.level > 0) this.closeLevel()
		const name = key.slice(ROOT.length)
		const [kind, id] = name.split('/')
		if (kind === 'part' || kind === 'last') {
			if (asPart(data) === null) this.say(key, 'does not parse')
			else if (!(Number(id) < this.parts)) this.say(key, `there are ${this.parts} parts`)
		} else if (kind === 'fleet') this.fleet(key, data)
		else if (kind === 'intake') this.intake(key, data)
		else if (kind === 'job') this.own(key, id, data)
		else if (kind === 'done') {
			this.progress.push(key)
			if (!Array.isArray(data)) this.say(key, 'does not parse')
		} else if (kind === 'over') this.page(key, Number(id), data)
		else if (kind === 'released') {
			if (asReleased(data) === null) this.say(key, 'does not parse')
			else if (!(Number(id) < this.parts)) this.say(key, `there are ${this.parts} parts`)
		} else if (name === 'history') {
			const record = asHistory(data)
			if (record === null) this.say(key, 'does not parse')
			else if (record.form > FORM) this.say(key, `is of form ${record.form}; this program knows ${FORM}`)
		} else if (name !== 'catalog' && name !== 'installation') this.say(key, 'is of no kind that is known')
	}

	private leaf(key: string, data: unknown, stamp: number): void {
		const level = Number(key.slice(PAST_ROOT.length).split('/')[0])
		if (level !== this.level) {
			this.closeLevel()
			this.level = level
			this.end = ''
		}
		let leaf: Leaf
		try {
			leaf = readLeaf(level, key, data, stamp)
		} catch (e) {
			return this.say(key, (e as Error).message)
		}
		if (leaf.from !== this.end)
			this.say(
				key,
				leaf.from < this.end ? 'overlaps the record before it' : 'leaves a gap behind the record before it',
			)
		this.end = leaf.to
		let items: Past[]
		try {
			items = unpack(leaf.packed)
		} catch (e) {
			return this.say(key, `cannot be unpacked (${(e as Error).message})`)
		}
		if (leaf.depth > deepest(level))
			this.say(key, `was split ${leaf.depth} times, at most ${deepest(level)} on its level`)
		if (!leaf.deeper) this.levelShallow.push(leaf)
		for (const p of items) {
			if (!covers(leaf, p.at)) this.say(key, `holds ${uidOf(p.at)}, which is not of its range`)
			if (this.shallow.some((l) => covers(l, p.at)))
				this.say(
					key,
					`holds ${uidOf(p.at)}, which nobody looks for here: the record above handed nothing down`,
				)
			if (!this.archived.add(uidOf(p.at)))
				this.note(uidOf(p.at), { where: key, aborted: p.aborted, done: p.done })
		}
	}

	private closeLevel(): void {
		if (this.level > 0 && this.end !== END)
			this.say(`${PAST_ROOT}${this.level}/`, 'its last record is missing')
		this.shallow = this.levelShallow
		this.levelShallow = []
		this.level = 0
	}

	private note(uid: string, over: Over): void {
		this.twice.set(uid, [...(this.twice.get(uid) ?? []), over])
	}

	private fleet(key: string, data: unknown): void {
		const fleet = asFleet(data)
		if (fleet === null) return this.say(key, 'does not parse')
		if (!(fleet.part >= 0 && fleet.part < this.parts))
			this.say(key, `is of part ${fleet.part}; there are ${this.parts}`)
		for (const id of Object.keys(fleet.hosts)) {
			const other = this.machines.get(id)
			if (other !== undefined) this.say(key, `holds machine ${id}, which ${other} holds too`)
			this.machines.set(id, key)
		}
	}

	private intake(key: string, data: unknown): void {
		const jobs = asIntake(data)
		if (jobs === null) return this.say(key, 'does not parse')
		for (const { spec, part } of jobs) {
			this.open.set(spec!.uid, key)
			if (!(part < this.parts)) this.say(key, `${spec!.uid} is of part ${part}; there are ${this.parts}`)
		}
	}

	private own(key: string, uid: string, data: unknown): void {
		const record = asJob(data)
		if (record === null) return this.say(key, 'does not parse')
		if (record.final === undefined) {
			if (record.spec === undefined) this.say(key, 'is of a job that is not over and has no description')
			this.open.set(uid, key)
			return
		}
		this.over.add(uid)
		const done = doneTasks(record)
		if (!this.archived.add(uid)) this.note(uid, { where: key, aborted: record.final === 'aborted', done })
	}

	private page(key: string, part: number, data: unknown): void {
		const page = asPage(data)
		if (page === null || page.batches.some((b) => b.jobs.some((j) => j.final === undefined)))
			return this.say(key, 'does not parse')
		if (page.part !== part) this.say(key, `is of part ${page.part}`)
		const jobs: Ended[] = page.batches.flatMap((b) => b.jobs)
		for (const j of jobs) {
			this.over.add(j.uid)
			if (!this.archived.add(j.uid))
				this.note(j.uid, { where: key, aborted: j.final === 'aborted', done: j.done })
		}
	}

	/** All keys have been told. Open jobs that the archive might hold are noted too. */
	finish(): void {
		this.closeLevel()
		for (const key of this.progress) {
			const uid = key.slice(`${ROOT}done/`.length).split('/')[0]
			if (!this.open.has(uid)) this.say(key, 'is progress of a job that is over or unknown')
		}
		// Over on a page, its other records are cleared away in a while.
		for (const [uid, key] of this.open)
			if (!this.over.has(uid) && !this.archived.add(uid))
				this.note(uid, { where: key, aborted: false, done: -1 })
	}

	/** A leaf once more, in the second walk: what it says of ids that were met twice. */
	again({ key, data, stamp }: LogEntry): void {
		if (!key.startsWith(PAST_ROOT)) return
		const level = Number(key.slice(PAST_ROOT.length).split('/')[0])
		let leaf: Leaf
		let items: Past[]
		try {
			leaf = readLeaf(level, key, data, stamp)
			items = unpack(leaf.packed)
		} catch {
			return
		}
		for (const [uid, all] of this.twice) {
			const at = ordinal(uid)
			const found = covers(leaf, at) ? pick(items, at) : undefined
			if (found === undefined) continue
			for (const o of all) {
				if (o.done === -1) this.say(o.where, `${uid} is open there, and over in ${key}`)
				else if (o.where !== key && (o.aborted !== found.aborted || o.done !== found.done))
					this.say(o.where, `${uid} ended another way in ${key}`)
			}
		}
	}

	/** Machines that records know, and where. */
	get known(): ReadonlyMap<string, string> {
		return this.machines
	}
}
