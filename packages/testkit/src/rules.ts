import type { JobSpec } from '@heathroad/wire'

/** Questions about an accepted job that stay unanswered for so long, once all troubles are over: it is forgotten. */
const SILENT_MS = 75_000
/** A class's largest jobs have to begin within that time (kit: meetings). */
const BEGIN_MS = 240_000

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
}

/** Watches the world, not the service, and writes down every broken rule of the protocol. */
export class Rules {
	readonly broken: string[] = []
	/** task -> machines it is on */
	private readonly on = new Map<string, Set<string>>()
	private readonly jobs = new Map<string, Watched>()
	/** from when on all troubles are over */
	calmFromMs = Number.POSITIVE_INFINITY
	private readonly done = new Map<string, Set<number>>()
	started = 0

	constructor(
		private readonly now: () => number,
		private readonly cancelMs: number,
		private readonly limits: ReadonlyMap<string, number>,
	) {}

	private say(rule: string, what: string): void {
		this.broken.push(`${rule} at ${Math.round(this.now())} ms: ${what}`)
	}

	submitted(spec: JobSpec): void {
		if (this.jobs.has(spec.uid)) return
		const now = { cancelAsked: false, told: null, toldAt: 0, submittedAt: this.now() }
		this.jobs.set(spec.uid, { spec, ...now, begunAt: null, silentSince: null })
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
		if (job.told === 'aborted' && this.now() - job.toldAt > this.cancelMs) this.say('ran_cancelled', task)
		const limit = this.limits.get(spec.team)
		if (limit === undefined) return
		let used = 0
		for (const [name, machines] of this.on)
			if (machines.size > 0) {
				const other = this.jobs.get(name.split('/')[0])
				if (other?.spec.team === spec.team) used += other.spec.cpus
			}
		if (used > limit) this.say('quota', `${spec.team} uses ${used} of ${limit}`)
	}

	gone(task: string, machine: string): void {
		this.on.get(task)?.delete(machine)
	}

	completed(task: string): void {
		const [uid, n] = task.split('/')
		const set = this.done.get(uid) ?? new Set()
		set.add(Number(n))
		this.done.set(uid, set)
	}

	/** Looks at what time alone can break. */
	check(): void {
		for (const [task, machines] of this.on) {
			const job = this.jobs.get(task.split('/')[0])
			if (machines.size > 0 && job?.told === 'aborted' && this.now() - job.toldAt > this.cancelMs)
				this.say('ran_cancelled', `${task} on ${[...machines]}`)
		}
	}

	/** What a user was told about a job. `known`: what had been told when the question was asked. */
	told(uid: string, status: number, state: string | null, known: string | null): void {
		const job = this.jobs.get(uid)
		if (job === undefined) {
			if (status === 200) this.say('invented', `${uid} is called ${state}`)
			return
		}
		if (status === 404 && known !== null) return this.say('forgotten', uid)
		if (status !== 200 && status !== 201) return
		if ((known === 'done' || known === 'aborted') && state !== known)
			return this.say('went_back', `${uid} was ${known}, now ${state}`)
		if (state === 'aborted' && !job.cancelAsked) this.say('went_back', `${uid} is cancelled, nobody asked`)
		if (state === 'done' && (this.done.get(uid)?.size ?? 0) < job.spec.tasks)
			this.say('not_done', `${uid}: ${this.done.get(uid)?.size ?? 0} of ${job.spec.tasks}`)
		if (job.told !== 'done' && job.told !== 'aborted') {
			job.told = state
			if (state === 'aborted') job.toldAt = this.now()
		}
	}

	state(uid: string): string | null {
		return this.jobs.get(uid)?.told ?? null
	}

	unfinished(): string[] {
		return [...this.jobs].filter(([, j]) => j.told !== 'done' && j.told !== 'aborted').map(([uid]) => uid)
	}
}
