import type { JobSpec } from '@heathroad/wire'

/** Questions about an accepted job that stay unanswered for so long, once all troubles are over: it is forgotten. */
const SILENT_MS = 75_000
/** A class's largest jobs have to begin within that time (kit: meetings). */
const BEGIN_MS = 240_000
/** Nothing waits so long beside a machine with room, once all troubles are over (kit: meetings). */
const LEFT_MS = 90_000

/** A machine that can take tasks. */
export interface Room {
	id: string
	type: string
	zone: string
	spot: boolean
	cpus: number
}

/** What a user is told about how far a job is, and what had been told when the question was asked. */
export interface Counts {
	now: number
	before: number
}

interface Watched {
	spec: JobSpec
	cancelAsked: boolean
	told: string | null
	toldAt: number
	submittedAt: number
	/** when its first task took a place */
	begunAt: number | null
	/** since when no question about it was answered; null: the last one was */
	silentSince: number | null
	/** since when a task of it has waited beside a machine with room */
	leftSince: number | null
	/** the most done tasks that anybody was told */
	count: number
}

/** Watches the world, not the service, and writes down every broken rule of the protocol. */
export class InvariantChecker {
	readonly violations: string[] = []
	/** task -> machines it is on; only tasks that are on one */
	private readonly on = new Map<string, Set<string>>()
	private readonly jobs = new Map<string, Watched>()
	/** from when on all troubles are over */
	calmFromMs = Number.POSITIVE_INFINITY
	private readonly done = new Map<string, Set<number>>()
	/** submissions that must never be accepted */
	private readonly invalid = new Set<string>()
	/** what was free on each machine at the last looks */
	private readonly free: Map<string, number>[] = []
	started = 0
	/** tasks that took a place after their user had been told of the cancellation, early enough to break no rule */
	startedCancelled = 0
	/** called when a user is told something new: accepted, done or cancelled */
	news: (uid: string, state: string) => void = () => {}
	/** called when a job's last task has completed */
	ended: (uid: string) => void = () => {}
	/** jobs that may wait beside room: they fail everywhere, or checks hold them */
	mayWait: (spec: JobSpec) => boolean = () => false

	constructor(
		private readonly now: () => number,
		private readonly cancelMs: number,
		private readonly limits: ReadonlyMap<string, number>,
	) {}

	private say(rule: string, what: string): void {
		this.violations.push(`${rule} at ${Math.round(this.now())} ms: ${what}`)
	}

	submitted(spec: JobSpec): void {
		if (this.jobs.has(spec.uid) || this.invalid.has(spec.uid)) return
		const now = { cancelAsked: false, told: null, toldAt: 0, submittedAt: this.now() }
		this.jobs.set(spec.uid, {
			spec,
			...now,
			begunAt: null,
			silentSince: null,
			leftSince: null,
			count: 0,
		})
	}

	/** A submission that must not be accepted is about to be sent. */
	mustRefuse(uid: string): void {
		this.invalid.add(uid)
	}

	/** Its answer: `status` is the right one, or the controller could not decide. */
	refusedAs(uid: string, status: number, right: number): void {
		if (status === right || status === 429 || status === 503) return
		this.say(status < 300 ? 'accepted_invalid' : 'wrong_refusal', `${uid}: ${status}, not ${right}`)
	}

	/** A user asked about a job and got an answer that says what becomes of it, or none. */
	asked(uid: string, answered: boolean): void {
		const job = this.jobs.get(uid)
		if (job === undefined || job.told === null) return
		if (answered) job.silentSince = null
		else {
			job.silentSince ??= this.now()
			const since = Math.max(job.silentSince, this.calmFromMs)
			if (this.now() - since < SILENT_MS) return
			this.say('forgotten', `${uid} has been asked about in vain since ${Math.round(since)} ms`)
			job.silentSince = Number.POSITIVE_INFINITY
		}
	}

	/** Why the day fails all the same: less than half of something served, or large jobs that begin too late. */
	failures(): string[] {
		const out: string[] = []
		const wanted = [...this.jobs.values()].filter((j) => !j.cancelAsked && j.told !== null)
		const groups = new Map<string, Watched[]>()
		const group = (name: string, job: Watched) => groups.set(name, [...(groups.get(name) ?? []), job])
		for (const job of wanted) {
			group(`team ${job.spec.team}`, job)
			group(`class ${job.spec.jobClass}`, job)
		}
		const late = (j: Watched) => (j.begunAt ?? Number.POSITIVE_INFINITY) - j.submittedAt > BEGIN_MS
		for (const [name, jobs] of [...groups]) {
			if (!name.startsWith('class ')) continue
			const sizes = jobs.map((j) => j.spec.tasks).sort((a, b) => b - a)
			const large = jobs.filter((j) => j.spec.tasks >= sizes[Math.floor((sizes.length - 1) / 10)])
			groups.set(`largest of ${name}`, large)
			const waited = large.filter(late)
			if (waited.length > 0) out.push(`${waited.length} of the largest of ${name} begin late`)
		}
		for (const [name, jobs] of groups) {
			const served = jobs.filter((j) => j.told === 'done').length
			if (served * 2 < jobs.length) out.push(`${served} of ${jobs.length} of ${name} served`)
		}
		return out
	}

	/** Its user was told that it can never run. */
	refused(uid: string): void {
		const told = this.jobs.get(uid)?.told ?? null
		if (told !== null) this.say('forgotten', `${uid} is refused, and was ${told}`)
	}

	cancelAsked(uid: string): void {
		const job = this.jobs.get(uid)
		if (job) job.cancelAsked = true
	}

	/** A task takes its place on a machine. */
	placed(task: string, machine: string, type: string, zone: string, spot: boolean): void {
		this.started++
		const there = this.on.get(task) ?? new Set()
		if (there.size > 0 && !there.has(machine))
			this.say('ran_twice', `${task} on ${machine} and ${[...there]}`)
		there.add(machine)
		this.on.set(task, there)
		const [uid] = task.split('/')
		const job = this.jobs.get(uid)
		if (job === undefined) return this.say('invented', `${task} was never submitted`)
		job.begunAt ??= this.now()
		const { spec } = job
		const wrong =
			(spec.types !== null && !spec.types.includes(type)) ||
			(spec.zone !== null && spec.zone !== zone) ||
			(spot && !spec.spot)
		if (wrong) this.say('wrong_place', `${task} on ${type} in ${zone}`)
		job.leftSince = null
		if (job.told === 'aborted') {
			if (this.now() - job.toldAt > this.cancelMs) this.say('ran_cancelled', task)
			else this.startedCancelled++
		}
		const limit = this.limits.get(spec.team)
		if (limit === undefined) return
		let used = 0
		for (const name of this.on.keys()) {
			const other = this.jobs.get(name.split('/')[0])
			if (other?.spec.team === spec.team) used += other.spec.cpus
		}
		if (used > limit) this.say('quota', `${spec.team} uses ${used} of ${limit}`)
	}

	gone(task: string, machine: string): void {
		const there = this.on.get(task)
		if (there?.delete(machine) && there.size === 0) this.on.delete(task)
	}

	completed(task: string): void {
		const [uid, n] = task.split('/')
		const set = this.done.get(uid) ?? new Set()
		set.add(Number(n))
		this.done.set(uid, set)
		if (set.size === this.jobs.get(uid)?.spec.tasks) this.ended(uid)
	}

	/** Jobs that are accepted, not over and not called off, with their tasks that are on machines. */
	running(): { spec: JobSpec; machines: string[] }[] {
		const placed = new Map<string, { n: number; machines: ReadonlySet<string> }[]>()
		for (const [task, machines] of this.on) {
			const [uid, n] = task.split('/')
			const some = placed.get(uid) ?? []
			some.push({ n: Number(n), machines })
			placed.set(uid, some)
		}
		const out: { spec: JobSpec; machines: string[] }[] = []
		for (const { spec, told, cancelAsked } of this.jobs.values()) {
			if (told === null || told === 'done' || told === 'aborted' || cancelAsked) continue
			const tasks = (placed.get(spec.uid) ?? []).sort((a, b) => a.n - b.n)
			out.push({ spec, machines: tasks.flatMap((t) => [...t.machines]) })
		}
		return out
	}

	/**
	 * Troubles are over: does a job wait while a machine that fits has room and its team is under its limit? A machine has
	 * what was free at each of the last `looks`, one a second: between two tasks a place is empty until the next report.
	 */
	look(machines: readonly Room[], looks: number): void {
		if (this.now() < this.calmFromMs) return
		const left = new Map(machines.map((m) => [m.id, m.cpus]))
		const used = new Map<string, number>()
		for (const [task, at] of this.on) {
			const spec = this.jobs.get(task.split('/')[0])?.spec
			if (spec === undefined) continue
			used.set(spec.team, (used.get(spec.team) ?? 0) + spec.cpus)
			for (const id of at) left.set(id, (left.get(id) ?? 0) - spec.cpus)
		}
		this.free.push(left)
		if (this.free.length > looks) this.free.shift()
		const lately = (id: string) =>
			this.free.length < looks ? 0 : Math.min(...this.free.map((f) => f.get(id) ?? 0))
		for (const { spec, machines: on } of this.running()) {
			const job = this.jobs.get(spec.uid)!
			const waits = on.length + (this.done.get(spec.uid)?.size ?? 0) < spec.tasks
			const limit = this.limits.get(spec.team) ?? Number.POSITIVE_INFINITY
			const fits = (m: Room) =>
				(spec.types?.includes(m.type) ?? true) &&
				(spec.zone ?? m.zone) === m.zone &&
				(spec.spot || !m.spot) &&
				lately(m.id) >= spec.cpus
			if (
				!waits ||
				this.mayWait(spec) ||
				(used.get(spec.team) ?? 0) + spec.cpus > limit ||
				!machines.some(fits)
			) {
				job.leftSince = null
				continue
			}
			job.leftSince ??= this.now()
			if (this.now() - job.leftSince < LEFT_MS) continue
			this.say('left_waiting', `${spec.uid} beside ${machines.find(fits)!.id}`)
			job.leftSince = Number.POSITIVE_INFINITY
		}
	}

	/** Looks at what time alone can break. */
	check(): void {
		for (const [task, machines] of this.on) {
			const job = this.jobs.get(task.split('/')[0])
			if (job?.told === 'aborted' && this.now() - job.toldAt > this.cancelMs)
				this.say('ran_cancelled', `${task} on ${[...machines]}`)
		}
	}

	/**
	 * What a user was told about a job. `known`: what had been told, by any controller, when the question was asked;
	 * `counts`: how many of its tasks are called done, where the answer says so.
	 */
	told(uid: string, status: number, state: string | null, known: string | null, counts?: Counts): void {
		if (this.invalid.has(uid)) {
			if (status === 200 || status === 201) this.say('accepted_invalid', `${uid} is called ${state}`)
			return
		}
		const job = this.jobs.get(uid)
		if (job === undefined) {
			if (status === 200) this.say('invented', `${uid} is called ${state}`)
			return
		}
		if (status === 404 && known !== null) return this.say('forgotten', uid)
		if (status !== 200 && status !== 201) return
		if (status === 201 && known !== null) this.say('accepted_again', `${uid} was ${known}`)
		if ((known === 'done' || known === 'aborted') && state !== known)
			return this.say('went_back', `${uid} was ${known}, now ${state}`)
		if (state === 'aborted' && !job.cancelAsked) this.say('went_back', `${uid} is cancelled, nobody asked`)
		if (counts !== undefined) {
			if (counts.now < counts.before)
				this.say('went_back', `${uid} had ${counts.before} tasks done, now ${counts.now}`)
			if (counts.now > (this.done.get(uid)?.size ?? 0)) this.say('not_done', `${uid}: ${counts.now} tasks`)
			job.count = Math.max(job.count, counts.now)
		}
		if (state === 'done' && (this.done.get(uid)?.size ?? 0) < job.spec.tasks)
			this.say('not_done', `${uid}: ${this.done.get(uid)?.size ?? 0} of ${job.spec.tasks}`)
		if (job.told === 'done' || job.told === 'aborted') return
		const first = job.told === null
		job.told = state
		if (state === 'aborted') job.toldAt = this.now()
		if (state !== null && (first || state === 'done' || state === 'aborted')) this.news(uid, state)
	}

	state(uid: string): string | null {
		return this.jobs.get(uid)?.told ?? null
	}

	/** The most tasks of a job that anybody was told are done. */
	count(uid: string): number {
		return this.jobs.get(uid)?.count ?? 0
	}

	unfinished(): string[] {
		return [...this.jobs].filter(([, j]) => j.told !== 'done' && j.told !== 'aborted').map(([uid]) => uid)
	}
}
