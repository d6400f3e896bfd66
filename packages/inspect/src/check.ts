import {
	decodeAcceptedBatch,
	decodeHistoryRecord,
	decodeJobRecord,
	decodeMachineGroup,
	decodeReleasePage,
	decodeShardOwner,
	decodeTerminalPage,
	RECORD_FORMAT,
	type TerminalJob,
	terminalDoneCount,
} from '@heathroad/cluster'
import {
	ARCHIVE_PREFIX,
	type ArchivedJob,
	type ArchivePage,
	covers,
	decodeArchivePage,
	findByOrdinal,
	jobIdOf,
	maxDepth,
	ORDINAL_END,
	ordinalOf,
	unpackJobs,
} from '@heathroad/history'
import { KEY_PREFIX } from '@heathroad/store'
import type { KeyValue } from '@heathroad/wire'
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
	private shallow: ArchivePage[] = []
	private level = 0
	private levelShallow: ArchivePage[] = []
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

	entry({ key, data, modRevision }: KeyValue): void {
		this.keys++
		if (key.startsWith(ARCHIVE_PREFIX)) return this.leaf(key, data, modRevision)
		if (!key.startsWith(KEY_PREFIX)) return this.say(key, 'is none of ours')
		if (this.level > 0) this.closeLevel()
		const name = key.slice(KEY_PREFIX.length)
		const [kind, id] = name.split('/')
		if (kind === 'part' || kind === 'last') {
			if (decodeShardOwner(data) === null) this.say(key, 'does not parse')
			else if (!(Number(id) < this.parts)) this.say(key, `there are ${this.parts} parts`)
		} else if (kind === 'fleet') this.fleet(key, data)
		else if (kind === 'intake') this.intake(key, data)
		else if (kind === 'job') this.own(key, id, data)
		else if (kind === 'done') {
			this.progress.push(key)
			if (!Array.isArray(data)) this.say(key, 'does not parse')
		} else if (kind === 'over') this.page(key, Number(id), data)
		else if (kind === 'released') {
			if (decodeReleasePage(data) === null) this.say(key, 'does not parse')
			else if (!(Number(id) < this.parts)) this.say(key, `there are ${this.parts} parts`)
		} else if (name === 'history') {
			const record = decodeHistoryRecord(data)
			if (record === null) this.say(key, 'does not parse')
			else if (record.format > RECORD_FORMAT)
				this.say(key, `is of form ${record.format}; this program knows ${RECORD_FORMAT}`)
		} else if (name !== 'catalog' && name !== 'installation') this.say(key, 'is of no kind that is known')
	}

	private leaf(key: string, data: unknown, modRevision: number): void {
		const level = Number(key.slice(ARCHIVE_PREFIX.length).split('/')[0])
		if (level !== this.level) {
			this.closeLevel()
			this.level = level
			this.end = ''
		}
		let leaf: ArchivePage
		try {
			leaf = decodeArchivePage(level, key, data, modRevision)
		} catch (e) {
			return this.say(key, (e as Error).message)
		}
		if (leaf.from !== this.end)
			this.say(
				key,
				leaf.from < this.end ? 'overlaps the record before it' : 'leaves a gap behind the record before it',
			)
		this.end = leaf.to
		let items: ArchivedJob[]
		try {
			items = unpackJobs(leaf.packed)
		} catch (e) {
			return this.say(key, `cannot be unpacked (${(e as Error).message})`)
		}
		if (leaf.depth > maxDepth(level))
			this.say(key, `was split ${leaf.depth} times, at most ${maxDepth(level)} on its level`)
		if (!leaf.deeper) this.levelShallow.push(leaf)
		for (const p of items) {
			if (!covers(leaf, p.ordinal)) this.say(key, `holds ${jobIdOf(p.ordinal)}, which is not of its range`)
			if (this.shallow.some((l) => covers(l, p.ordinal)))
				this.say(
					key,
					`holds ${jobIdOf(p.ordinal)}, which nobody looks for here: the record above handed nothing down`,
				)
			if (!this.archived.add(jobIdOf(p.ordinal)))
				this.note(jobIdOf(p.ordinal), { where: key, aborted: p.aborted, done: p.doneCount })
		}
	}

	private closeLevel(): void {
		if (this.level > 0 && this.end !== ORDINAL_END)
			this.say(`${ARCHIVE_PREFIX}${this.level}/`, 'its last record is missing')
		this.shallow = this.levelShallow
		this.levelShallow = []
		this.level = 0
	}

	private note(uid: string, over: Over): void {
		this.twice.set(uid, [...(this.twice.get(uid) ?? []), over])
	}

	private fleet(key: string, data: unknown): void {
		const fleet = decodeMachineGroup(data)
		if (fleet === null) return this.say(key, 'does not parse')
		if (!(fleet.shardId >= 0 && fleet.shardId < this.parts))
			this.say(key, `is of part ${fleet.shardId}; there are ${this.parts}`)
		for (const id of Object.keys(fleet.addresses)) {
			const other = this.machines.get(id)
			if (other !== undefined) this.say(key, `holds machine ${id}, which ${other} holds too`)
			this.machines.set(id, key)
		}
	}

	private intake(key: string, data: unknown): void {
		const jobs = decodeAcceptedBatch(data)
		if (jobs === null) return this.say(key, 'does not parse')
		for (const { spec, shardId } of jobs) {
			this.open.set(spec!.uid, key)
			if (!(shardId < this.parts))
				this.say(key, `${spec!.uid} is of part ${shardId}; there are ${this.parts}`)
		}
	}

	private own(key: string, uid: string, data: unknown): void {
		const record = decodeJobRecord(data)
		if (record === null) return this.say(key, 'does not parse')
		if (record.finalState === undefined) {
			if (record.spec === undefined) this.say(key, 'is of a job that is not over and has no description')
			this.open.set(uid, key)
			return
		}
		this.over.add(uid)
		const done = terminalDoneCount(record)
		if (!this.archived.add(uid))
			this.note(uid, { where: key, aborted: record.finalState === 'aborted', done })
	}

	private page(key: string, shardId: number, data: unknown): void {
		const page = decodeTerminalPage(data)
		if (page === null || page.batches.some((b) => b.jobs.some((j) => j.finalState === undefined)))
			return this.say(key, 'does not parse')
		if (page.shardId !== shardId) this.say(key, `is of part ${page.shardId}`)
		const jobs: TerminalJob[] = page.batches.flatMap((b) => b.jobs)
		for (const j of jobs) {
			this.over.add(j.uid)
			if (!this.archived.add(j.uid))
				this.note(j.uid, { where: key, aborted: j.finalState === 'aborted', done: j.doneCount })
		}
	}

	/** All keys have been told. Open jobs that the archive might hold are noted too. */
	finish(): void {
		this.closeLevel()
		for (const key of this.progress) {
			const uid = key.slice(`${KEY_PREFIX}done/`.length).split('/')[0]
			if (!this.open.has(uid)) this.say(key, 'is progress of a job that is over or unknown')
		}
		// Over on a page, its other records are cleared away in a while.
		for (const [uid, key] of this.open)
			if (!this.over.has(uid) && !this.archived.add(uid))
				this.note(uid, { where: key, aborted: false, done: -1 })
	}

	/** A leaf once more, in the second walk: what it says of ids that were met twice. */
	again({ key, data, modRevision }: KeyValue): void {
		if (!key.startsWith(ARCHIVE_PREFIX)) return
		const level = Number(key.slice(ARCHIVE_PREFIX.length).split('/')[0])
		let leaf: ArchivePage
		let items: ArchivedJob[]
		try {
			leaf = decodeArchivePage(level, key, data, modRevision)
			items = unpackJobs(leaf.packed)
		} catch {
			return
		}
		for (const [uid, all] of this.twice) {
			const at = ordinalOf(uid)
			const found = covers(leaf, at) ? findByOrdinal(items, at) : undefined
			if (found === undefined) continue
			for (const o of all) {
				if (o.done === -1) this.say(o.where, `${uid} is open there, and over in ${key}`)
				else if (o.where !== key && (o.aborted !== found.aborted || o.done !== found.doneCount))
					this.say(o.where, `${uid} ended another way in ${key}`)
			}
		}
	}

	/** Machines that records know, and where. */
	get known(): ReadonlyMap<string, string> {
		return this.machines
	}
}
