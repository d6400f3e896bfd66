import type { RentalRequest, RentResult } from '@heathroad/cloud'
import {
	asJob,
	asMachine,
	asRental,
	CHUNK,
	chunkKey,
	type JobRecord,
	jobKey,
	type MachineRecord,
	machineKey,
	partKey,
	type RentalRecord,
	rentalKey,
} from '@heathroad/cluster'
import type { Config } from '@heathroad/config'
import {
	allowed,
	type Candidate,
	cheapestMachine,
	chooseMachine,
	chooseOffer,
	chooseVictims,
	defaultBudget,
	fits,
	fraction,
	hourly,
	howMany,
	Ledger,
	type Offer,
	offerCost,
	offerKey,
	orderRank,
	Ranges,
	rank,
	rentWeight,
	startBounds,
	type TeamLimit,
	type Victim,
	withinLimit,
	zoneAllowed,
} from '@heathroad/policy'
import { ROOT, Urgency, type WriteResult } from '@heathroad/store'
import {
	type Count,
	type JobSpec,
	type MachineType,
	ORDERS_PER_RESPONSE,
	type Order,
	type Report,
	type ReportedTask,
} from '@heathroad/wire'
import { type Attempt, JobRun, type Machine, type Ports } from './model.js'

/** Attempts are `token * ATTEMPTS + counter`: unique over owners and restarts, and exact in a double. */
const ATTEMPTS = 2 ** 20

const newer = (t: Count, c: Count, m: Machine): boolean => t > m.tenure || (t >= m.tenure && c > m.counter)

/**
 * The state machine of one part: its jobs, its machines and what may be where. It lives from the transaction
 * that took the part until the part is lost; nothing in it survives that, a successor rebuilds from the records
 * and from the machines' reports. All methods run to completion without waiting, so they need no locks.
 */
export class Part {
	readonly jobs = new Map<string, JobRun>()
	readonly machines = new Map<string, Machine>()
	private queue: JobRun[] = []
	private queueDirty = true
	private attemptCounter = 0
	private rentalCounter = 0
	/** machines that may hold tasks of a former owner's and have not reported under our token yet */
	private readonly unconfirmed = new Set<string>()
	settled = false
	private readonly takenAt: number
	private readonly usage = new Map<string, { cpus: number; gpus: number }>()
	private readonly renting = new Map<string, { offer: Offer; count: number }>()
	/** actual against estimated run time, by class */
	private readonly pace = new Map<string, { ratio: number; n: number }>()
	private listeningSince: number
	private lastRentLook = 0
	stopped = false

	constructor(
		readonly k: number,
		readonly token: number,
		private readonly config: Config,
		private readonly ports: Ports,
	) {
		this.takenAt = ports.now()
		this.listeningSince = this.takenAt
		for (const [key, e] of ports.under('machine/')) {
			const record = asMachine(e.data)
			if (record?.part === k) this.addMachine(key.slice('machine/'.length), record)
		}
		for (const m of this.machines.values()) if (m.mark === 'yes') this.unconfirmed.add(m.id)
		this.settled = this.unconfirmed.size === 0
		for (const [key, e] of ports.under('job/'))
			this.jobChanged(key.slice('job/'.length), e.data, this.settled)
		for (const [key, e] of ports.under('rental/')) {
			const record = asRental(e.data)
			// An intent whose answer the former owner may never have seen: the same name gets the same answer.
			if (record?.part === k) this.callRental(key.slice('rental/'.length), record)
		}
		for (const id of this.unconfirmed) this.probe(this.machines.get(id)!)
		ports.log('info', 'rebuilding part', {
			part: k,
			token,
			jobs: this.jobs.size,
			machines: this.machines.size,
			unconfirmed: this.unconfirmed.size,
		})
	}

	// ---- records ----

	private condition(key: string): { key: string; stamp: number } {
		return { key: ROOT + key, stamp: this.ports.entry(key)?.stamp ?? 0 }
	}

	/** Every write of an owner holds only while its ownership does. */
	private owning(): { key: string; stamp: number } {
		return { key: ROOT + partKey(this.k), stamp: this.token }
	}

	private types(): readonly MachineType[] {
		return this.ports.catalog()
	}

	private typeOf(name: string): MachineType {
		const known = this.types().find((t) => t.name === name)
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

	private addMachine(id: string, r: MachineRecord): Machine {
		const now = this.ports.now()
		const m: Machine = {
			id,
			type: this.typeOf(r.type),
			zone: r.zone,
			spot: r.spot,
			addr: r.addr,
			token: this.token,
			mark: r.used ? 'yes' : 'no',
			confirmed: !r.used,
			up: r.used,
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
			faults: new Set(),
			probing: false,
			free: { cpus: 0, gpus: 0, ramGb: 0 },
		}
		this.machines.set(id, m)
		this.measure(m)
		return m
	}

	/** The catalog came or changed: machines known only by their type's name get its figures. */
	catalogChanged(): void {
		for (const m of this.machines.values()) {
			m.type = this.typeOf(m.type.name)
			this.measure(m)
		}
	}

	private measure(m: Machine): void {
		const free = { cpus: m.type.cpus, gpus: m.type.gpus, ramGb: m.type.ramGb }
		for (const a of m.attempts.values()) {
			if (a.state === 'ended') continue
			free.cpus -= a.need.cpus
			free.gpus -= a.need.gpus
			free.ramGb -= a.need.ramGb
		}
		m.free = free
	}

	/** A record of this part's machines changed: rented by a call of ours, or claimed. */
	machineChanged(id: string, data: unknown): void {
		const record = asMachine(data)
		const m = this.machines.get(id)
		if (record?.part === this.k) {
			if (m === undefined) this.addMachine(id, record)
		} else if (m !== undefined && record !== null) this.forgetMachine(m)
	}

	/** A job's record changed: accepted, cancelled, or our own write seen again. */
	jobChanged(uid: string, data: unknown, settled = true): void {
		const record = asJob(data)
		if (record === null || record.part !== this.k) return
		const known = this.jobs.get(uid)
		if (record.final !== undefined) {
			if (known !== undefined && !known.over) this.closeJob(known, record.final)
			return
		}
		if (known !== undefined || record.spec === undefined) return
		const spec = record.spec
		const job = new JobRun(spec, record.at ?? 0, this.makeLedger(spec), settled)
		job.done = new Ranges(record.done ?? [])
		for (let c = 1; c * CHUNK < spec.tasks; c++) {
			const chunk = this.ports.entry(chunkKey(uid, c))?.data
			if (Array.isArray(chunk))
				for (let i = 0; i + 1 < chunk.length; i += 2)
					job.done.addRange(c * CHUNK + Number(chunk[i]), c * CHUNK + Number(chunk[i + 1]))
		}
		job.durable = job.done.copy()
		job.lastWrite = this.ports.now()
		if (settled) {
			job.ready = Ranges.full(spec.tasks)
			job.ready.deleteAll(job.done)
		}
		this.jobs.set(uid, job)
		this.queueDirty = true
		if (settled) this.plan([...this.machines.values()])
	}

	private makeLedger(spec: JobSpec): Ledger {
		const options = this.offers(spec, false).map((o) => ({
			key: offerKey(o),
			...offerCost(spec, spec.expectedS, o, true, false),
			full: offerCost(spec, spec.expectedS, o, false, false),
		}))
		const node = { uid: spec.uid, parents: [], tasks: spec.tasks, options }
		// The parallel cost has every task pay for the boot of a machine of its own, as in the paper.
		const cheapest = defaultBudget([node], 0)
		const parallel = defaultBudget([{ ...node, options: options.map((o) => ({ ...o, ...o.full })) }], 1)
		const budget = cheapest + this.config.tuning.budgetMix * Math.max(0, parallel - cheapest)
		return new Ledger([node], budget)
	}

	private closeJob(job: JobRun, how: 'done' | 'aborted'): void {
		job.over = true
		job.ready = new Ranges()
		for (const a of [...job.placed.values()])
			if (a.state === 'planned') {
				this.dropAttempt(a.machine, a)
			}
		this.queueDirty = true
		this.ports.log('info', 'job over', { uid: job.spec.uid, how })
		if (how === 'aborted') this.killNow(job)
		if (job.placed.size === 0) this.jobs.delete(job.spec.uid)
	}

	/** Cancelled: tell the machines directly as well, their next reports may be a while off. */
	private killNow(job: JobRun): void {
		const holders = new Map<Machine, Order[]>()
		for (const a of job.placed.values()) {
			const orders = holders.get(a.machine) ?? []
			orders.push({ verb: 'kill', name: a.name, attempt: a.attempt, graceS: 0 })
			holders.set(a.machine, orders)
		}
		for (const [m, orders] of holders)
			if (m.addr !== null && m.confirmed)
				this.ports.command(
					m.addr,
					m.token,
					m.tenure,
					orders.slice(0, ORDERS_PER_RESPONSE),
					(status, report) => {
						if (status === 200 && report !== null) this.observe(m, report, false)
					},
				)
	}

	// ---- attempts ----

	private addAttempt(m: Machine, a: Attempt): void {
		m.attempts.set(a.key, a)
		if (a.job !== null && !a.stray) {
			a.job.placed.set(a.task, a)
			a.job.zones.set(m.zone, (a.job.zones.get(m.zone) ?? 0) + 1)
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
	private vacate(m: Machine, a: Attempt): void {
		if (a.handled) return
		a.handled = true
		const used = this.usage.get(a.need.team)
		if (used) {
			used.cpus -= a.need.cpus
			used.gpus -= a.need.gpus
		}
		if (a.job !== null && a.job.placed.get(a.task) === a) {
			a.job.placed.delete(a.task)
			a.job.zones.set(m.zone, (a.job.zones.get(m.zone) ?? 1) - 1)
			if (a.job.over && a.job.placed.size === 0) this.jobs.delete(a.uid)
		}
	}

	private dropAttempt(m: Machine, a: Attempt): void {
		const wasHandled = a.handled
		m.attempts.delete(a.key)
		this.vacate(m, a)
		this.measure(m)
		if (!wasHandled) this.backToReady(a)
	}

	/** Proven absent and not done: the task may be started elsewhere. */
	private backToReady(a: Attempt): void {
		const job = a.job
		if (job === null || a.stray || job.over || job.done.has(a.task) || job.placed.has(a.task)) return
		if (a.state !== 'ended') job.ledger.restart(a.uid, a.share, a.startedAt === null ? 0 : this.costOf(a))
		if (!job.settled) return
		if (job.ready.add(a.task) && job.ready.size === 1) this.queueDirty = true
	}

	private costOf(a: Attempt): number {
		const m = a.machine
		if (a.startedAt === null) return 0
		const seconds = (this.ports.now() - a.startedAt) / 1000
		return (seconds * hourly(m) * fraction(a.need, m.type)) / 3600
	}

	// ---- reports ----

	/**
	 * A worker's report. Answers with the token and orders; null: we are not the one to answer it. Once this has
	 * answered, the worker's lease may run from now on.
	 */
	report(r: Report): { token: number; orders: Order[] } | null {
		const m = this.machines.get(r.machine)
		if (m === undefined || this.stopped) return null
		if (r.token > m.token) return null
		const now = this.ports.now()
		// An old report comes late when packets were held: its list is as old as itself, its answer is dropped.
		if (!newer(r.tenure, r.counter, m)) {
			m.answeredAt = now
			return { token: m.token, orders: [] }
		}
		this.observe(m, r, true)
		m.answeredAt = now
		m.addr = r.addr
		if (!m.up) {
			m.up = true
			this.ports.log('info', 'machine is up', {
				machine: m.id,
				type: m.type.name,
				zone: m.zone,
				spot: m.spot,
			})
		}
		if (m.mark === 'no' && m.leaving === null) this.markUsed(m, r)
		this.plan([m])
		return { token: m.token, orders: this.orders(m) }
	}

	private markUsed(m: Machine, r: Report): void {
		m.mark = 'writing'
		const data: MachineRecord = {
			part: this.k,
			type: m.type.name,
			zone: m.zone,
			spot: m.spot,
			addr: r.addr,
			used: true,
		}
		this.ports.write({
			urgency: Urgency.outcome,
			conditions: [this.owning(), this.condition(machineKey(m.id))],
			changes: [{ set: ROOT + machineKey(m.id), data }],
			done: (result) => {
				if (result.kind === 'ok') {
					m.mark = 'yes'
					this.ports.wrote(machineKey(m.id), data, result.epoch)
					this.plan([m])
				} else if (result.kind === 'refused') m.mark = 'no'
				else
					this.ports.refresh(() => {
						const record = asMachine(this.ports.entry(machineKey(m.id))?.data)
						m.mark = record?.part === this.k && record.used ? 'yes' : 'no'
					})
			},
		})
	}

	/** Takes over what a report says. `settles`: it follows the response that may have carried starts. */
	private observe(m: Machine, r: Report, settles: boolean): void {
		if (!newer(r.tenure, r.counter, m)) return
		m.tenure = r.tenure
		m.counter = r.counter
		const now = this.ports.now()
		if (r.noticeS === null) m.noticeUntil = null
		else if (m.noticeUntil === null) {
			m.noticeUntil = now + r.noticeS * 1000
			m.leaving = 'spot notice'
			this.ports.log('info', 'spot notice', { machine: m.id, noticeS: r.noticeS })
		} else m.noticeUntil = Math.min(m.noticeUntil, now + r.noticeS * 1000)
		const listed = new Set<string>()
		for (const t of r.tasks) {
			const key = `${t.name}#${t.attempt}`
			listed.add(key)
			const a = m.attempts.get(key) ?? this.discover(m, t, key)
			this.advance(m, a, t, now)
		}
		for (const a of [...m.attempts.values()]) {
			if (listed.has(a.key) || a.state === 'planned') continue
			// A direct command's answer may have overtaken the response that carries the start.
			if (a.state === 'sent' && !settles) continue
			if (a.state !== 'sent' && !a.handled)
				this.ports.log('debug', 'task is gone', { task: a.name, machine: m.id, state: a.state })
			this.dropAttempt(m, a)
		}
		if (!m.confirmed && r.token >= m.token) {
			m.confirmed = true
			this.accounted(m)
		}
		this.measure(m)
	}

	/** A reported attempt that we did not start: a former owner's, or one that must not be there. */
	private discover(m: Machine, t: ReportedTask, key: string): Attempt {
		const job = this.jobs.get(t.uid) ?? null
		const record = job === null ? asJob(this.ports.entry(jobKey(t.uid))?.data) : null
		const useful =
			job !== null &&
			!job.over &&
			t.task < job.spec.tasks &&
			!job.done.has(t.task) &&
			!job.placed.has(t.task) &&
			(!job.settled || job.ready.has(t.task))
		const need = job?.spec ?? record?.need ?? { cpus: 0, gpus: 0, ramGb: 0, team: '' }
		const a: Attempt = {
			key,
			name: t.name,
			uid: t.uid,
			machine: m,
			task: t.task,
			attempt: t.attempt,
			job,
			state: t.state,
			cause: null,
			handled: false,
			stray: !useful,
			stopGraceS: null,
			startedAt: null,
			share: 0,
			need: { cpus: need.cpus, gpus: need.gpus, ramGb: need.ramGb, team: need.team },
		}
		if (useful) {
			job.ready.delete(t.task)
			a.share = job.ledger.start(t.uid)
		}
		this.addAttempt(m, a)
		return a
	}

	private advance(m: Machine, a: Attempt, t: ReportedTask, now: number): void {
		if (a.startedAt === null && (t.state === 'running' || t.state === 'pulling')) a.startedAt = now
		if (t.state === 'running' && a.job !== null) this.hasImage(m, a.job.spec)
		a.state = t.state
		if (t.state !== 'ended' || a.handled) return
		a.cause = t.cause
		const job = a.job
		const spent = a.startedAt === null ? 0 : this.costOf(a)
		this.vacate(m, a)
		if (t.cause === 'done') {
			m.faults.clear()
			if (job !== null && t.task < job.spec.tasks) this.taskDone(job, a, spent, now)
			return
		}
		if (job === null || job.over) return
		if (t.cause === 'error') this.taskFailed(m, job, a, now)
		else if (t.cause === 'no_room' || t.cause === 'in_use') {
			// Our picture of the machine is wrong: leave it alone until its next reports have corrected it.
			m.blockedUntil = now + this.config.derived.reportMs * 2
			this.ports.log('info', 'start refused', { task: a.name, machine: m.id, cause: t.cause })
		} else if (t.cause === 'no_such') {
			job.notBefore = now + this.config.derived.reportMs * 2
			this.ports.log('info', 'start refused', { task: a.name, machine: m.id, cause: t.cause })
		}
		if (!a.stray) job.ledger.restart(a.uid, a.share, spent)
		this.backToReady(a)
	}

	private taskDone(job: JobRun, a: Attempt, spent: number, now: number): void {
		if (job.over || job.spec.kind === 'daemon') {
			this.backToReady(a)
			return
		}
		if (!job.done.add(a.task)) return
		job.ready.delete(a.task)
		job.ledger.finish(a.share, spent)
		if (a.startedAt !== null && job.spec.expectedS > 0) {
			const ratio = (now - a.startedAt) / 1000 / job.spec.expectedS
			const p = this.pace.get(job.spec.jobClass) ?? { ratio: 1, n: 0 }
			p.n = Math.min(p.n + 1, 50)
			p.ratio += (Math.min(5, Math.max(0.1, ratio)) - p.ratio) / (p.n + 1)
			this.pace.set(job.spec.jobClass, p)
		}
		// The same task may wait elsewhere only if it was planned; nothing else can be there.
		const other = job.placed.get(a.task)
		if (other !== undefined) {
			if (other.state === 'planned') this.dropAttempt(other.machine, other)
			else other.stray = true
		}
		if (job.done.size >= job.spec.tasks) this.writeJob(job)
	}

	/** Mostly the machine is faulty; a job that fails on several machines is itself at fault and is paced. */
	private taskFailed(m: Machine, job: JobRun, a: Attempt, now: number): void {
		const d = this.config.derived
		job.failures++
		job.avoid.add(m.id)
		m.faults.add(job.spec.uid)
		this.ports.log('info', 'task failed', { task: a.name, machine: m.id, failures: job.failures })
		if (job.avoid.size >= 3)
			job.notBefore = now + Math.min(d.leaseMs * 4, d.reportMs * 2 ** Math.min(10, job.failures - 2))
		const suspects = [...m.faults].filter((uid) => (this.jobs.get(uid)?.avoid.size ?? 9) < 3)
		if (m.leaving === null && (suspects.length >= 2 || (suspects.length === 1 && job.failures >= 2))) {
			m.leaving = 'faulty'
			this.ports.log('info', 'draining a faulty machine', { machine: m.id, jobs: suspects.length })
		}
	}

	private hasImage(m: Machine, spec: JobSpec): void {
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

	private orders(m: Machine): Order[] {
		const orders: Order[] = []
		for (const a of m.attempts.values()) {
			if (a.state === 'ended') {
				if (this.mayForget(a)) orders.push({ verb: 'forget', name: a.name, attempt: a.attempt })
			} else if (a.state !== 'planned' && a.state !== 'sent') {
				const over = a.stray || a.job === null || a.job.over
				if (over) orders.push({ verb: 'kill', name: a.name, attempt: a.attempt, graceS: 0 })
				else if (a.stopGraceS !== null && a.state !== 'flushing')
					orders.push({ verb: 'kill', name: a.name, attempt: a.attempt, graceS: a.stopGraceS })
			}
		}
		if (!m.confirmed || m.mark !== 'yes' || this.ports.right() === 'none') return orders
		for (const a of m.attempts.values()) {
			if (a.state !== 'planned') continue
			if (orders.length >= ORDERS_PER_RESPONSE) break
			orders.push({ verb: 'start', name: a.name, attempt: a.attempt })
			a.state = 'sent'
		}
		return orders.slice(0, ORDERS_PER_RESPONSE)
	}

	/** An outcome may be forgotten by its worker only when it is durable, or is no outcome. */
	private mayForget(a: Attempt): boolean {
		if (a.cause !== 'done') return true
		if (a.job !== null) return a.job.spec.kind === 'daemon' || a.job.over || a.job.durable.has(a.task)
		const record = asJob(this.ports.entry(jobKey(a.uid))?.data)
		return record === null || record.final !== undefined
	}

	// ---- rebuilding after a takeover ----

	private probe(m: Machine): void {
		if (m.addr === null || m.probing) return
		m.probing = true
		this.ports.command(m.addr, m.token, m.tenure > 0 ? m.tenure : 1, [], (status, report) => {
			m.probing = false
			if (report === null || this.stopped || m.confirmed || this.machines.get(m.id) !== m) return
			if (status === 200) this.observe(m, report, false)
			// 409 tells the present session (or a newer owner's token): ask again with the right one.
			else if (status === 409 && report.tenure !== m.tenure && report.token <= m.token) {
				m.tenure = report.tenure
				this.probe(m)
			}
		})
	}

	/** What this machine holds is known, or it holds nothing any more. */
	private accounted(m: Machine): void {
		if (!this.unconfirmed.delete(m.id) || this.unconfirmed.size > 0) return
		this.settle()
	}

	private settle(): void {
		this.settled = true
		for (const job of this.jobs.values()) {
			if (job.settled) continue
			job.settled = true
			if (job.over) continue
			job.ready = Ranges.full(job.spec.tasks)
			job.ready.deleteAll(job.done)
			for (const task of job.placed.keys()) job.ready.delete(task)
		}
		this.queueDirty = true
		this.ports.log('info', 'part is rebuilt', {
			part: this.k,
			afterMs: Math.round(this.ports.now() - this.takenAt),
		})
		this.plan([...this.machines.values()])
	}

	// ---- placement ----

	private runS(spec: JobSpec): number {
		const p = this.pace.get(spec.jobClass)
		return Math.max(0.1, spec.expectedS * (p !== undefined && p.n >= 3 ? p.ratio : 1))
	}

	private team(name: string): TeamLimit | undefined {
		return this.config.settings.deployment.teams.find((t) => t.name === name)
	}

	private used(team: string): { cpus: number; gpus: number } {
		return this.usage.get(team) ?? { cpus: 0, gpus: 0 }
	}

	/** Would one more task of this size still lie within what the team is guaranteed? */
	private entitled(spec: { team: string; cpus: number; gpus: number }): boolean {
		const t = this.team(spec.team)
		if (t === undefined || (t.cpus <= 0 && t.gpus <= 0)) return false
		const u = this.used(spec.team)
		return u.cpus + spec.cpus <= t.cpus && u.gpus + spec.gpus <= t.gpus
	}

	private beyondGuarantee(team: string): boolean {
		const t = this.team(team)
		const u = this.used(team)
		return t === undefined || u.cpus > t.cpus || u.gpus > t.gpus
	}

	private ordered(): JobRun[] {
		if (this.queueDirty) {
			this.queueDirty = false
			const objectives = this.config.settings.deployment.objectives ?? []
			this.queue = [...this.jobs.values()].filter((j) => !j.over && j.settled)
			for (const j of this.queue) {
				const ageS = (this.ports.wallClock() - j.at) / 1000
				j.bounds = startBounds(j.spec, this.runS(j.spec), objectives)
				j.rank = orderRank(j.spec.priority, ageS, j.bounds)
			}
			this.queue.sort(
				(a, b) =>
					Number(this.entitled(b.spec)) - Number(this.entitled(a.spec)) || b.rank - a.rank || a.at - b.at,
			)
		}
		return this.queue
	}

	private mayPlace(spec: JobSpec): boolean {
		const team = this.team(spec.team)
		if (team === undefined) return false
		// A team's tasks on machines not heard of yet count against its limit in an unknown way.
		if (!this.settled && (team.cpus_max > 0 || team.gpus_max > 0)) return false
		return withinLimit(team, this.used(spec.team), spec)
	}

	private usable(m: Machine, now: number): boolean {
		return (
			m.up && m.confirmed && m.mark === 'yes' && m.leaving === null && !m.releasing && m.blockedUntil <= now
		)
	}

	/** One round over these machines: ready tasks by earliest start within their priority. */
	private plan(machines: Machine[]): void {
		const now = this.ports.now()
		if (this.stopped || this.ports.right() === 'none') return
		const open = machines.filter((m) => this.usable(m, now) && m.free.cpus + m.free.gpus > 0)
		if (open.length === 0) return
		for (const job of this.ordered()) {
			if (job.ready.size === 0 || job.over || job.notBefore > now) continue
			const spec = job.spec
			const runS = this.runS(spec)
			const before = job.placed.size
			// A gang starts only when every task that is left has a machine.
			if (spec.kind === 'gang' && (before > 0 || job.ready.size < spec.tasks - job.done.size)) continue
			while (job.ready.size > 0 && this.mayPlace(spec)) {
				const choice = this.choose(job, runS, open)
				if (choice === undefined) break
				this.place(job, choice)
			}
			if (spec.kind === 'gang' && job.ready.size > 0)
				for (const a of [...job.placed.values()]) this.dropAttempt(a.machine, a)
		}
	}

	/** The machine for the next ready task of a job, if there is one that it should take now. */
	private choose(job: JobRun, runS: number, open: readonly Machine[]): Machine | undefined {
		const spec = job.spec
		const candidates: (Candidate & { m: Machine })[] = []
		for (const m of open) {
			if (!fits(spec, m.free) || !allowed(spec, m) || !zoneAllowed(spec, m.zone, job.zones)) continue
			if (job.avoid.has(m.id) && job.avoid.size < 3) continue
			const image = m.images.has(spec.image)
			const { seconds, cost } = offerCost(spec, runS, m, true, image)
			candidates.push({ id: m.id, parentOutput: false, image, seconds, cost, slack: m.free.cpus, m })
		}
		const choice =
			chooseMachine(candidates, job.ledger.share(spec.uid)) ??
			(this.affordable(job, runS) ? undefined : cheapestMachine(candidates))
		return candidates.find((c) => c === choice)?.m
	}

	/** Could a machine be rented within the task's share? If so it need not take one beyond it. */
	private affordable(job: JobRun, runS: number): boolean {
		const share = job.ledger.share(job.spec.uid)
		return this.offers(job.spec, true).some((o) => offerCost(job.spec, runS, o, false, false).cost <= share)
	}

	private place(job: JobRun, m: Machine): void {
		const task = job.ready.first()!
		const spec = job.spec
		// The tasks of a gang find each other by their attempt: one number for all of them.
		const joins = spec.kind === 'gang' && job.placed.size > 0
		const attempt = this.token * ATTEMPTS + (joins ? this.attemptCounter : ++this.attemptCounter)
		const name = `${spec.uid}/${task}`
		job.ready.delete(task)
		this.addAttempt(m, {
			key: `${name}#${attempt}`,
			name,
			uid: spec.uid,
			machine: m,
			task,
			attempt,
			job,
			state: 'planned',
			cause: null,
			handled: false,
			stray: false,
			stopGraceS: null,
			startedAt: null,
			share: job.ledger.start(spec.uid),
			need: { cpus: spec.cpus, gpus: spec.gpus, ramGb: spec.ramGb, team: spec.team },
		})
		this.hasImage(m, spec)
	}

	/** Makes room for waiting tasks of higher priority, or of a team within its guarantee. */
	private preempt(now: number): void {
		// Room that earlier stops are about to give counts for those who wait, in their order.
		let coming = 0
		for (const m of this.machines.values())
			for (const a of m.attempts.values())
				if (a.stopGraceS !== null && a.state !== 'ended' && m.leaving === null) coming += a.need.cpus
		for (const job of this.ordered()) {
			const spec = job.spec
			if (job.ready.size === 0 || job.over || job.notBefore > now) continue
			const entitled = this.entitled(spec)
			if (rank(spec.priority) < rank('urgent') && !entitled) continue
			// A quarter of the time in which its tasks should start is left to chance.
			const patienceS =
				job.bounds.length > 0 ? Math.min(...job.bounds) * 0.25 : (this.config.derived.reportMs * 3) / 1000
			if (this.ports.wallClock() - job.at < patienceS * 1000) continue
			coming -= job.ready.size * spec.cpus
			if (coming >= 0) continue
			if (this.preemptFor(job, entitled, now)) return
		}
	}

	private preemptFor(job: JobRun, entitled: boolean, now: number): boolean {
		const spec = job.spec
		for (const m of this.machines.values()) {
			if (!this.usable(m, now) || !allowed(spec, m) || !zoneAllowed(spec, m.zone, job.zones)) continue
			const running: (Victim & { a: Attempt })[] = []
			let stopping = false
			for (const a of m.attempts.values()) {
				if (a.stopGraceS !== null && a.state !== 'ended') stopping = true
				if (a.state === 'running' && a.job !== null && a.job.spec.checkpointS > 0)
					running.push({ key: a.key, priority: a.job.spec.priority, lostS: a.job.spec.saveS, ...a.need, a })
			}
			if (stopping) continue
			const victims = chooseVictims(spec, m.free, running, entitled, (t) => this.beyondGuarantee(t))
			if (victims === null || victims.length === 0) continue
			for (const v of victims) {
				const a = m.attempts.get(v.key)!
				a.stopGraceS = a.job!.spec.saveS * 1.5
				this.ports.log('info', 'preempting', { task: a.name, machine: m.id, for: spec.uid })
			}
			return true
		}
		return false
	}

	// ---- renting and returning ----

	private offers(spec: JobSpec, nowOpen: boolean): Offer[] {
		const now = this.ports.now()
		const out: Offer[] = []
		for (const type of this.types())
			for (const zone of type.zones)
				for (const spot of [true, false]) {
					const o = { type, zone, spot }
					if (!fits(spec, type) || !allowed(spec, o)) continue
					if (nowOpen && !this.ports.capacity.open(offerKey(o), now)) continue
					out.push(o)
				}
		return out
	}

	/**
	 * Rents for the work that machines here and on their way will not take. Capacity is counted in machines:
	 * a running task holds the share of its slot that it will still need while another machine boots.
	 */
	private rent(now: number): void {
		if (this.ports.right() !== 'grant' || this.ports.cloudBusy()) return
		const spare = new Map<string, { spare: number; type: MachineType; zone: string; spot: boolean }>()
		for (const m of this.machines.values()) {
			if (m.leaving !== null || m.releasing) continue
			if (!m.up && now - m.knownAt > m.type.bootS * 1800) continue
			let busy = 0
			for (const a of m.attempts.values())
				if (a.state !== 'ended' && a.job !== null && !a.stray) {
					const left = Math.max(
						0,
						this.runS(a.job.spec) - (a.startedAt === null ? 0 : (now - a.startedAt) / 1000),
					)
					busy += fraction(a.need, m.type) * rentWeight(left, m.type.bootS)
				}
			spare.set(m.id, { spare: 1 - busy, type: m.type, zone: m.zone, spot: m.spot })
		}
		for (const [name, r] of this.renting)
			for (let i = 0; i < r.count; i++)
				spare.set(`${name}/${i}`, { spare: 1, type: r.offer.type, zone: r.offer.zone, spot: r.offer.spot })
		const wants = new Map<string, { offer: Offer; machines: number; forced: boolean }>()
		for (const job of this.ordered()) {
			if (job.ready.size === 0 || job.over || job.notBefore > now) continue
			const spec = job.spec
			const runS = this.runS(spec)
			let tasks = job.ready.size
			const team = this.team(spec.team)
			if (team !== undefined && team.cpus_max > 0 && spec.cpus > 0)
				tasks = Math.min(
					tasks,
					howMany(spec, { cpus: team.cpus_max - this.used(spec.team).cpus, gpus: 1e9, ramGb: 1e9 }),
				)
			let reachable = false
			for (const s of spare.values()) {
				if (tasks <= 0) break
				if (!fits(spec, s.type) || !allowed(spec, s)) continue
				if (!zoneAllowed(spec, s.zone, job.zones)) continue
				reachable = true
				const each = this.rentShare(job, runS, s.type)
				const take = Math.min(tasks, Math.max(0, s.spare) / each)
				s.spare -= take * each
				tasks -= take
			}
			if (tasks <= 1e-6) continue
			const offers = this.offers(spec, true).filter((o) => zoneAllowed(spec, o.zone, job.zones))
			const offer = chooseOffer(spec, runS, job.ledger.share(spec.uid), offers)
			if (offer === undefined) continue
			const key = offerKey(offer)
			const want = wants.get(key) ?? { offer, machines: 0, forced: false }
			want.machines += tasks * this.rentShare(job, runS, offer.type)
			if (!reachable) want.forced = true
			wants.set(key, want)
		}
		for (const want of wants.values()) {
			let count = Math.min(50, Math.ceil(want.machines - 0.5))
			if (want.forced) count = Math.max(1, count)
			if (count >= 1 && ![...this.renting.values()].some((r) => offerKey(r.offer) === offerKey(want.offer)))
				this.startRental(want.offer, count)
		}
	}

	/**
	 * The part of a machine of this type that one waiting task asks to have rented. Urgent tasks do not wait in
	 * line for a slot, and a gang's tasks all run at once: they ask for a whole one.
	 */
	private rentShare(job: JobRun, runS: number, type: MachineType): number {
		const spec = job.spec
		const whole = spec.kind === 'gang' || rank(spec.priority) >= rank('urgent')
		const ageS = (this.ports.wallClock() - job.at) / 1000
		const weight = whole ? 1 : rentWeight(runS, type.bootS, ageS, job.bounds)
		return weight / Math.max(1, howMany(spec, type))
	}

	private startRental(offer: Offer, count: number): void {
		const name = `r${this.k}-${this.token}-${++this.rentalCounter}`
		const record: RentalRecord = {
			part: this.k,
			type: offer.type.name,
			zone: offer.zone,
			spot: offer.spot,
			count,
		}
		this.renting.set(name, { offer, count })
		this.ports.log('info', 'renting', { rental: name, offer: offerKey(offer), count })
		this.ports.write({
			urgency: Urgency.machine,
			conditions: [this.owning(), { key: ROOT + rentalKey(name), stamp: 0 }],
			changes: [{ set: ROOT + rentalKey(name), data: record }],
			done: (result) => {
				if (result.kind === 'ok') {
					this.ports.wrote(rentalKey(name), record, result.epoch)
					this.callRental(name, record)
				} else this.renting.delete(name)
			},
		})
	}

	private callRental(name: string, record: RentalRecord): void {
		if (this.stopped) return
		if (!this.renting.has(name)) {
			const type = this.typeOf(record.type)
			this.renting.set(name, { offer: { type, zone: record.zone, spot: record.spot }, count: record.count })
		}
		const request: RentalRequest = {
			name,
			type: record.type,
			zone: record.zone,
			spot: record.spot,
			count: record.count,
		}
		this.ports.rent(request, (result) => this.rented(name, record, result))
	}

	private rented(name: string, record: RentalRecord, result: RentResult): void {
		if (this.stopped) return
		if (result.kind === 'again') return this.callRental(name, record)
		const machines = result.kind === 'rented' ? result.machines : []
		const offer = this.renting.get(name)!.offer
		this.ports.log('info', 'rental answered', {
			rental: name,
			offer: offerKey(offer),
			machines,
			result: result.kind,
		})
		const bootMs = offer.type.bootS * 1000
		if (machines.length < record.count)
			this.ports.capacity.refused(
				offerKey(offer),
				this.ports.now(),
				bootMs * 0.25,
				bootMs * 2,
				machines.length > 0,
			)
		else this.ports.capacity.filled(offerKey(offer))
		this.recordMachines(name, record, machines)
	}

	/** The machines get their records, the intent goes last: until then a successor would ask again. */
	private recordMachines(name: string, record: RentalRecord, ids: string[]): void {
		const fresh = ids.filter((id) => this.ports.entry(machineKey(id)) === undefined)
		const room = Math.max(1, this.config.settings.deployment.state.txn_ops - 1)
		const batch = fresh.slice(0, room)
		const last = fresh.length <= room
		const data: MachineRecord = {
			part: this.k,
			type: record.type,
			zone: record.zone,
			spot: record.spot,
			addr: null,
			used: false,
		}
		this.ports.write({
			urgency: Urgency.machine,
			conditions: [this.owning(), ...batch.map((id) => ({ key: ROOT + machineKey(id), stamp: 0 }))],
			changes: [
				...batch.map((id) => ({ set: ROOT + machineKey(id), data })),
				...(last ? [{ delete: ROOT + rentalKey(name) }] : []),
			],
			done: (result: WriteResult) => {
				if (this.stopped) return
				if (result.kind === 'ok') {
					for (const id of batch) this.ports.wrote(machineKey(id), data, result.epoch)
					if (last) this.renting.delete(name)
					else this.recordMachines(name, record, fresh)
				} else this.ports.refresh(() => this.recordMachines(name, record, ids))
			},
		})
	}

	/** An unclaimed machine whose name falls to this part; one that has seen no token has had no commands. */
	claim(r: Report): void {
		if (this.machines.has(r.machine) || this.stopped) return
		const data: MachineRecord = {
			part: this.k,
			type: r.type,
			zone: r.zone,
			spot: r.spot,
			addr: r.addr,
			used: true,
		}
		this.ports.write({
			urgency: Urgency.machine,
			conditions: [this.owning(), { key: ROOT + machineKey(r.machine), stamp: 0 }],
			changes: [{ set: ROOT + machineKey(r.machine), data }],
			done: (result) => {
				if (result.kind !== 'ok' || this.stopped) return
				this.ports.wrote(machineKey(r.machine), data, result.epoch)
				const m = this.machines.get(r.machine)
				if (m !== undefined && r.token === 0) m.confirmed = true
				this.ports.log('info', 'claimed a machine', { machine: r.machine, part: this.k })
			},
		})
	}

	private forgetMachine(m: Machine): void {
		for (const a of [...m.attempts.values()]) this.dropAttempt(m, a)
		this.machines.delete(m.id)
		this.unconfirmed.delete(m.id)
		if (!this.settled && this.unconfirmed.size === 0) this.settle()
	}

	private hasWork(m: Machine): boolean {
		for (const a of m.attempts.values())
			if (a.state !== 'ended' || (a.cause === 'done' && !this.mayForget(a))) return true
		return false
	}

	private release(machines: Machine[]): void {
		const ids = machines.map((m) => m.id).slice(0, 100)
		for (const m of machines) {
			m.releasing = true
			m.releaseAgainAt = Number.POSITIVE_INFINITY
		}
		this.ports.log('info', 'releasing', { machines: machines.map((m) => `${m.id} (${m.leaving})`) })
		this.ports.release(ids, (gone) => {
			if (this.stopped) return
			const left = machines.filter((m) => this.machines.get(m.id) === m)
			// Once asked for, the release may be carried out late: the machine is never used again. In an outage of
			// the cloud the next try waits, so that the call rate is there for others when it ends.
			if (!gone) {
				for (const m of left) m.releaseAgainAt = this.ports.now() + this.config.derived.grantMs * 0.5
				return
			}
			for (const m of left) {
				this.forgetMachine(m)
				this.deleteRecord(m.id)
			}
			this.plan([...this.machines.values()])
		})
	}

	private deleteRecord(id: string): void {
		if (this.stopped || this.ports.entry(machineKey(id)) === undefined) return
		this.ports.write({
			urgency: Urgency.progress,
			conditions: [this.owning(), this.condition(machineKey(id))],
			changes: [{ delete: ROOT + machineKey(id) }],
			done: (result) => {
				if (result.kind !== 'ok') this.ports.refresh(() => this.deleteRecord(id))
			},
		})
	}

	// ---- durability ----

	/** Writes a job's progress, or its final state. Both contend with a cancellation on the job's stamp. */
	private writeJob(job: JobRun): void {
		if (job.writing || job.over || this.stopped) return
		const uid = job.spec.uid
		const entry = this.ports.entry(jobKey(uid))
		const record = asJob(entry?.data)
		if (entry === undefined || record === null || record.final !== undefined) return
		const complete = job.spec.kind !== 'daemon' && job.done.size >= job.spec.tasks
		const snapshot = job.done.copy()
		const changes: { set: string; data: unknown }[] = []
		let data: JobRecord
		if (complete) {
			const { team, cpus, gpus, ramGb } = job.spec
			data = { part: this.k, final: 'done', tasks: job.spec.tasks, need: { team, cpus, gpus, ramGb } }
			changes.push({ set: jobKey(uid), data })
		} else {
			data = { ...record, done: snapshot.slice(0, CHUNK) }
			changes.push({ set: jobKey(uid), data })
			const ops = this.config.settings.deployment.state.txn_ops
			for (let c = 1; c * CHUNK < job.spec.tasks; c++) {
				const [from, to] = [c * CHUNK, Math.min(job.spec.tasks, (c + 1) * CHUNK)]
				const now = snapshot.slice(from, to)
				if (String(now) === String(job.durable.slice(from, to))) continue
				// What does not fit into this transaction is not durable yet and waits for the next one.
				if (changes.length < ops) changes.push({ set: chunkKey(uid, c), data: now })
				else for (let n = from; n < to; n++) if (!job.durable.has(n)) snapshot.delete(n)
			}
		}
		job.writing = true
		job.lastWrite = this.ports.now()
		this.ports.write({
			urgency: complete ? Urgency.outcome : Urgency.progress,
			conditions: [this.owning(), { key: ROOT + jobKey(uid), stamp: entry.stamp }],
			changes: changes.map((c) => ({ set: ROOT + c.set, data: c.data })),
			done: (result) => {
				job.writing = false
				if (this.stopped) return
				if (result.kind === 'ok') {
					job.durable.addAll(snapshot)
					for (const c of changes) this.ports.wrote(c.set, c.data, result.epoch)
					if (complete) this.deleteChunks(job)
					else if (job.done.size >= job.spec.tasks) this.writeJob(job)
				} else
					this.ports.refresh(() => {
						if (job.done.size >= job.spec.tasks) this.writeJob(job)
					})
			},
		})
	}

	private deleteChunks(job: JobRun): void {
		const uid = job.spec.uid
		const keys: string[] = []
		for (let c = 1; c * CHUNK < job.spec.tasks; c++)
			if (this.ports.entry(chunkKey(uid, c)) !== undefined) keys.push(chunkKey(uid, c))
		for (const key of keys)
			this.ports.write({
				urgency: Urgency.progress,
				conditions: [this.owning()],
				changes: [{ delete: ROOT + key }],
				done: () => {},
			})
	}

	// ---- time ----

	/** Regular look at everything that time alone changes. */
	tick(): void {
		if (this.stopped) return
		const now = this.ports.now()
		const d = this.config.derived
		const right = this.ports.right()
		if (right === 'none') {
			this.listeningSince = now
			return
		}
		const toRelease: Machine[] = []
		const waiting = this.ordered().some((j) => j.ready.size > 0 && !j.over)
		for (const m of this.machines.values()) {
			if (m.releasing) {
				if (now >= m.releaseAgainAt) toRelease.push(m)
				continue
			}
			if (this.checkSilence(m, now)) toRelease.push(m)
			else if (!m.up) {
				// A few never come up; they cost money until they are deleted.
				if (now - m.knownAt > Math.max(m.type.bootS * 3000, d.leaseMs)) {
					m.leaving = 'never came up'
					toRelease.push(m)
				}
			} else if (this.hasWork(m)) {
				m.idleSince = null
				if (m.leaving !== null) this.drain(m, now)
			} else if (m.confirmed && this.settled) {
				m.idleSince ??= now
				const wait = d.reportMs * this.config.tuning.idleReports
				if (m.leaving === null && now - m.idleSince > wait && !(waiting && m.mark !== 'yes'))
					m.leaving = 'idle'
				if (m.leaving !== null && m.noticeUntil === null) toRelease.push(m)
			}
		}
		if (toRelease.length > 0 && right === 'grant' && !this.ports.cloudBusy()) this.release(toRelease)
		else for (const m of toRelease) if (m.leaving === 'idle' && !m.releasing) m.leaving = null
		for (const job of this.jobs.values())
			if (
				!job.over &&
				job.done.size > job.durable.size &&
				(job.done.size >= job.spec.tasks ||
					now - job.lastWrite > d.reportMs * this.config.tuning.progressReports)
			)
				this.writeJob(job)
		if (now - this.lastRentLook >= Math.max(200, d.reportMs / 6)) {
			this.lastRentLook = now
			this.queueDirty = true
			this.plan([...this.machines.values()])
			this.preempt(now)
			this.rent(now)
		}
		if (!this.settled) this.pressOn(now)
	}

	/**
	 * Until every machine that may hold tasks is accounted for, none of the old jobs goes on. A few that neither
	 * answer nor report are returned, which proves them empty sooner than their leases would; if it is many, it is
	 * rather we who are cut off.
	 */
	private pressOn(now: number): void {
		const missing = [...this.unconfirmed].map((id) => this.machines.get(id)!)
		for (const m of missing) this.probe(m)
		const late = now - this.takenAt > this.config.derived.reportMs * 3
		const few = missing.length * 4 <= this.machines.size
		if (!late || !few || this.ports.right() !== 'grant' || this.ports.cloudBusy()) return
		const blocking = missing.filter((m) => !m.releasing)
		if (blocking.length === 0) return
		for (const m of blocking) m.leaving = 'unreachable after a takeover'
		this.release(blocking)
	}

	/**
	 * A machine whose lease must have ended runs nothing any more: its tasks may go elsewhere. It is returned
	 * if it stays silent while we listened all the time. True: return it now.
	 */
	private checkSilence(m: Machine, now: number): boolean {
		const d = this.config.derived
		if (!m.up) return false
		if (now - m.answeredAt > d.reportMs * 3)
			for (const a of [...m.attempts.values()]) if (a.state === 'planned') this.dropAttempt(m, a)
		if (now - m.answeredAt <= d.leaseMs) return false
		for (const a of [...m.attempts.values()])
			if (!(a.state === 'ended' && a.handled)) {
				this.ports.log('info', 'lease over', { task: a.name, machine: m.id })
				this.dropAttempt(m, a)
			}
		if (!m.confirmed) {
			// Its next report will be of a new session; what it held under a former owner is gone.
			m.confirmed = true
			this.accounted(m)
		}
		if (now - Math.max(m.answeredAt, this.listeningSince) < d.leaseMs * 1.4) return false
		m.leaving ??= 'silent'
		return true
	}

	/** Stops what can save its progress in time; the rest may still finish. */
	private drain(m: Machine, now: number): void {
		for (const a of m.attempts.values()) {
			if (a.state === 'planned') {
				this.dropAttempt(m, a)
				continue
			}
			const spec = a.job?.spec
			if (a.state !== 'running' || spec === undefined || a.stopGraceS !== null) continue
			const left = m.noticeUntil === null ? Number.POSITIVE_INFINITY : (m.noticeUntil - now) / 1000
			// A notice can turn out half as long as it said. What cannot save is stopped at the last moment all the
			// same: its task can then start elsewhere at once, not only when the dead machine's lease is over.
			const saveS = spec.checkpointS > 0 ? spec.saveS : 0
			if (left * 0.5 < saveS + (2 * this.config.derived.reportMs) / 1000) a.stopGraceS = saveS * 1.5
		}
	}

	/** Jobs cancelled while we were cut off from the state, told by a member that was not. */
	applyCancelled(uid: string): void {
		const job = this.jobs.get(uid)
		if (job !== undefined && !job.over) this.closeJob(job, 'aborted')
	}

	stop(): void {
		this.stopped = true
	}
}
