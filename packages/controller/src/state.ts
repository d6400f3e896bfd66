import { type FleetRecord, HISTORY, type Known, partKey, type Roll } from '@heathroad/cluster'
import { type Config, pageRoom } from '@heathroad/config'
import { fraction, hourly, orderRank, startBounds, type TeamLimit } from '@heathroad/policy'
import { ROOT, type WriteResult } from '@heathroad/store'
import type { Change, Condition, JobSpec, MachineType } from '@heathroad/wire'
import { Boots } from './boots.js'
import type { Attempt, JobRun, Machine, Ports } from './model.js'

/** What the concerns of one part share: its jobs, its machines and the books of what is, or may be, where. */
export class PartState {
	readonly jobs = new Map<string, JobRun>()
	readonly machines = new Map<string, Machine>()
	/** every machine that may hold tasks of a former owner's is accounted for */
	settled = false
	/** since when we have listened to the machines without a break, steady time in ms */
	listeningSince = Number.NEGATIVE_INFINITY
	stopped = false
	queueDirty = true
	private queue: JobRun[] = []
	private readonly usage = new Map<string, { cpus: number; gpus: number }>()
	/** actual against estimated run time, by class */
	private readonly pace = new Map<string, { ratio: number; n: number }>()
	readonly boots = new Boots()
	private readonly teams: ReadonlyMap<string, TeamLimit>
	/** the records, for writes that are conditional on them */
	readonly known: Known
	/** what a page of final states holds */
	readonly room: Roll

	constructor(
		readonly k: number,
		readonly token: number,
		readonly config: Config,
		readonly ports: Ports,
	) {
		this.teams = new Map(config.settings.deployment.teams.map((t) => [t.name, t]))
		this.known = { get: (key) => ports.entry(key), stamp: (key) => ports.entry(key)?.stamp ?? 0 }
		this.room = pageRoom(config)
	}

	/** Do final states share pages, or has each a key of its own, as in the first form of the records? */
	get paged(): boolean {
		return this.ports.entry(HISTORY) !== undefined
	}

	/** Every write of an owner holds only while its ownership does. */
	owning(): { key: string; stamp: number } {
		return { key: ROOT + partKey(this.k), stamp: this.token }
	}

	/** A write whose content is known now; it goes out while the part is ours. */
	writeOwned(
		urgency: number,
		conditions: readonly Condition[],
		changes: readonly Change[],
		done: (result: WriteResult) => void = () => {},
	): void {
		const content = { conditions: [this.owning(), ...conditions], changes }
		this.ports.write({ urgency, build: () => (this.stopped ? null : content), done })
	}

	// ---- machines ----

	typeOf(name: string): MachineType {
		const known = this.ports.catalog().find((t) => t.name === name)
		// Without a catalog nothing is placed there; the machine's tasks are still looked after.
		return (
			known ?? {
				name,
				cpus: 0,
				gpus: 0,
				ramGb: 0,
				cacheGb: 0,
				fetchGbPerS: 0.1,
				price: 0,
				spotPrice: 0,
				bootS: this.config.derived.leaseMs / 1000,
				zones: [],
			}
		)
	}

	addMachine(id: string, fleet: string, r: FleetRecord): Machine {
		const now = this.ports.now()
		const addr = r.hosts[id] ?? null
		const m: Machine = {
			id,
			type: this.typeOf(r.type),
			zone: r.zone,
			spot: r.spot,
			addr,
			token: this.token,
			fleet,
			used: addr !== null,
			confirmed: addr === null,
			up: addr !== null,
			tenure: 0,
			counter: 0,
			answeredAt: now,
			knownAt: now,
			attempts: new Map(),
			images: new Map(),
			noticeUntil: null,
			leaving: null,
			releasing: false,
			releaseAgainAt: 0,
			idleSince: null,
			blockedUntil: 0,
			heldFor: null,
			faults: new Map(),
			probing: false,
			free: { cpus: 0, gpus: 0, ramGb: 0 },
		}
		this.machines.set(id, m)
		this.measure(m)
		return m
	}

	/** What is free, counted anew from what is there. */
	measure(m: Machine): void {
		const free = { cpus: m.type.cpus, gpus: m.type.gpus, ramGb: m.type.ramGb }
		for (const a of m.attempts.values()) {
			if (a.state === 'ended') continue
			free.cpus -= a.need.cpus
			free.gpus -= a.need.gpus
			free.ramGb -= a.need.ramGb
		}
		m.free = free
	}

	/**
	 * A machine that is kept although it is silent takes nothing new (incident 22): what is planned for it is given up at
	 * every look, and meanwhile neither another machine has it nor is one rented for it.
	 */
	usable(m: Machine, now: number): boolean {
		if (!m.up || !m.confirmed || !m.used || m.leaving !== null || m.releasing || m.blockedUntil > now)
			return false
		return now - Math.max(m.answeredAt, this.listeningSince) <= this.config.derived.reportMs * 3
	}

	hasImage(m: Machine, spec: JobSpec): void {
		// Re-inserted at the end: the map keeps the order of last use.
		m.images.delete(spec.image)
		m.images.set(spec.image, spec.imageGb)
		let total = 0
		for (const gb of m.images.values()) total += gb
		for (const [image, gb] of m.images) {
			if (total <= m.type.cacheGb || image === spec.image) break
			m.images.delete(image)
			total -= gb
		}
	}

	// ---- attempts ----

	addAttempt(m: Machine, a: Attempt): void {
		m.attempts.set(a.key, a)
		if (a.job !== null && !a.stray) {
			a.job.placed.set(a.task, a)
			a.job.zones.set(m.zone, (a.job.zones.get(m.zone) ?? 0) + 1)
		} else if (a.job !== null) {
			// Nobody may have started it by our leave, but it is there until that is proven wrong (incident 26).
			a.job.strays.set(a.task, (a.job.strays.get(a.task) ?? 0) + 1)
			a.job.ready.delete(a.task)
		}
		const used = this.usage.get(a.need.team) ?? { cpus: 0, gpus: 0 }
		used.cpus += a.need.cpus
		used.gpus += a.need.gpus
		this.usage.set(a.need.team, used)
		m.free.cpus -= a.need.cpus
		m.free.gpus -= a.need.gpus
		m.free.ramGb -= a.need.ramGb
		m.idleSince = null
	}

	/** It no longer takes room: ended, or not there any more. */
	vacate(m: Machine, a: Attempt): void {
		if (a.handled) return
		a.handled = true
		const used = this.usage.get(a.need.team)
		if (used) {
			used.cpus -= a.need.cpus
			used.gpus -= a.need.gpus
		}
		const strays = a.stray ? (a.job?.strays.get(a.task) ?? 0) : 0
		if (strays > 1) a.job?.strays.set(a.task, strays - 1)
		else if (strays > 0) a.job?.strays.delete(a.task)
		if (a.job !== null && a.job.placed.get(a.task) === a) {
			a.job.placed.delete(a.task)
			a.job.zones.set(m.zone, (a.job.zones.get(m.zone) ?? 1) - 1)
			if (a.job.over && a.job.placed.size === 0) this.jobs.delete(a.uid)
		}
	}

	dropAttempt(m: Machine, a: Attempt): void {
		const wasHandled = a.handled
		m.attempts.delete(a.key)
		this.vacate(m, a)
		this.measure(m)
		if (!wasHandled) this.backToReady(a)
	}

	/** Proven absent and not done: the task may be started elsewhere. */
	backToReady(a: Attempt): void {
		const job = a.job
		if (job === null || job.over || job.done.has(a.task)) return
		if (job.placed.has(a.task) || job.strays.has(a.task)) return
		if (a.state !== 'ended' && !a.stray)
			job.ledger.restart(a.uid, a.share, a.startedAt === null ? 0 : this.costOf(a))
		if (!job.settled) return
		if (job.ready.add(a.task) && job.ready.size === 1) this.queueDirty = true
	}

	costOf(a: Attempt): number {
		const m = a.machine
		if (a.startedAt === null) return 0
		const seconds = (this.ports.now() - a.startedAt) / 1000
		return (seconds * hourly(m) * fraction(a.need, m.type)) / 3600
	}

	// ---- run times ----

	runS(spec: JobSpec): number {
		const p = this.pace.get(spec.jobClass)
		return Math.max(0.1, spec.expectedS * (p !== undefined && p.n >= 3 ? p.ratio : 1))
	}

	/** How long an attempt will still run, by the estimate. */
	leftS(a: Attempt, job: JobRun, now: number): number {
		const ranS = a.startedAt === null ? 0 : (now - a.startedAt) / 1000
		return Math.max(0, this.runS(job.spec) - (job.savedS.get(a.task) ?? 0) - ranS)
	}

	learn(spec: JobSpec, seconds: number): void {
		if (spec.expectedS <= 0) return
		const ratio = Math.min(5, Math.max(0.1, seconds / spec.expectedS))
		const p = this.pace.get(spec.jobClass) ?? { ratio: 1, n: 0 }
		p.n = Math.min(p.n + 1, 50)
		p.ratio += (ratio - p.ratio) / (p.n + 1)
		this.pace.set(spec.jobClass, p)
	}

	// ---- teams and order ----

	team(name: string): TeamLimit | undefined {
		return this.teams.get(name)
	}

	used(team: string): { cpus: number; gpus: number } {
		return this.usage.get(team) ?? { cpus: 0, gpus: 0 }
	}

	/** What a team's tasks use in all parts, the others' as they last told: a guarantee is the whole service's. */
	private usedInAll(team: string): { cpus: number; gpus: number } {
		const here = this.used(team)
		const elsewhere = this.ports.usedElsewhere(this.k, team)
		return { cpus: here.cpus + elsewhere.cpus, gpus: here.gpus + elsewhere.gpus }
	}

	/** Would one more task of this size still lie within what the team is guaranteed? */
	entitled(spec: { team: string; cpus: number; gpus: number }): boolean {
		const t = this.team(spec.team)
		if (t === undefined || (t.cpus <= 0 && t.gpus <= 0)) return false
		const u = this.usedInAll(spec.team)
		return u.cpus + spec.cpus <= t.cpus && u.gpus + spec.gpus <= t.gpus
	}

	beyondGuarantee(team: string): boolean {
		const t = this.team(team)
		if (t === undefined || (t.cpus <= 0 && t.gpus <= 0)) return true
		const u = this.usedInAll(team)
		return u.cpus > t.cpus || u.gpus > t.gpus
	}

	ageS(job: JobRun): number {
		return (this.ports.wallClock() - job.at) / 1000
	}

	/** Open jobs in the order in which they are served. */
	ordered(): readonly JobRun[] {
		if (this.queueDirty) {
			this.queueDirty = false
			const objectives = this.config.settings.deployment.objectives ?? []
			const queue: { job: JobRun; entitled: number }[] = []
			for (const job of this.jobs.values()) {
				if (job.over || !job.settled) continue
				job.bounds = startBounds(job.spec, this.runS(job.spec), objectives)
				job.rank = job.suspect ? -1 : orderRank(job.spec.priority, this.ageS(job), job.bounds)
				queue.push({ job, entitled: Number(this.entitled(job.spec)) })
			}
			queue.sort((a, b) => b.entitled - a.entitled || b.job.rank - a.job.rank || a.job.at - b.job.at)
			this.queue = queue.map((q) => q.job)
		}
		return this.queue
	}

	/** Ordered jobs with tasks that may start now. */
	*waiting(now: number): Iterable<JobRun> {
		for (const job of this.ordered())
			if (job.ready.size > 0 && !job.over && !job.moving && job.notBefore <= now) yield job
	}

	/** Does anything wait that room is made for? */
	waits(now: number): boolean {
		return this.worthy(now)[Symbol.iterator]().next().done !== true
	}

	/** Those of them that room is made for: a job that fails everywhere takes only what is left over. */
	*worthy(now: number): Iterable<JobRun> {
		for (const job of this.waiting(now)) if (!job.suspect) yield job
	}
}
