import { asFleet, CHUNK, chunkKey, type FleetRecord, fleetKey, type JobRecord } from '@heathroad/cluster'
import type { Config } from '@heathroad/config'
import { defaultBudget, Ledger, offerCost, offerKey, Ranges, rebuildPatienceMs } from '@heathroad/policy'
import { ROOT, Urgency } from '@heathroad/store'
import {
	type Count,
	type JobSpec,
	ORDERS_PER_RESPONSE,
	type Order,
	type Report,
	type ReportedTask,
} from '@heathroad/wire'
import { Faults } from './faults.js'
import { Fleet } from './fleet.js'
import { Gate } from './gate.js'
import { type Attempt, graceS, JobRun, type Machine, type Ports } from './model.js'
import { Moves } from './moves.js'
import { Planner } from './planner.js'
import { Progress } from './progress.js'
import { Renter } from './renter.js'
import { Silence } from './silence.js'
import { PartState } from './state.js'

/** The most machines that one call to the cloud may release (protocol). */
const PER_RELEASE = 100

interface Answer {
	token: number
	orders: Order[]
}

const newer = (t: Count, c: Count, m: Machine): boolean => t > m.tenure || (t >= m.tenure && c > m.counter)

/**
 * The state machine of one part: its jobs, its machines and what may be where. It lives from the transaction
 * that took the part until the part is lost; nothing in it survives that, a successor rebuilds from the records
 * and from the machines' reports. All methods run to completion without waiting, so they need no locks.
 *
 * Here are reports, rebuilding and the regular look; `Planner`, `Renter`, `Fleet`, `Faults` and
 * `Progress` hold the rest.
 */
export class Part {
	private readonly s: PartState
	private readonly fleet: Fleet
	private readonly renter: Renter
	private readonly planner: Planner
	private readonly progress: Progress
	private readonly faults: Faults
	private readonly moves: Moves
	private readonly gate: Gate
	private readonly silence: Silence
	/** machines that may hold tasks of a former owner's and have not reported under our token yet */
	private readonly unconfirmed = new Set<string>()
	/** first reports that wait for their answer, by machine */
	private readonly held = new Map<string, (answer: Answer | null) => void>()
	private claims = 0
	private probes = 0
	private readonly takenAt: number
	private lastRentLook = 0

	constructor(
		readonly k: number,
		readonly token: number,
		private readonly config: Config,
		private readonly ports: Ports,
	) {
		this.s = new PartState(k, token, config, ports)
		this.fleet = new Fleet(this.s)
		this.renter = new Renter(this.s, this.fleet)
		this.planner = new Planner(this.s, this.renter)
		this.progress = new Progress(this.s)
		this.faults = new Faults(this.s)
		this.moves = new Moves(this.s)
		this.gate = new Gate(this.s, (uid) => this.letIn(uid))
		this.silence = new Silence(this.s)
		this.takenAt = ports.now()
		const intents: [string, FleetRecord][] = []
		for (const [key, e] of ports.under('fleet/')) {
			const record = asFleet(e.data)
			if (record?.part !== k) continue
			const name = key.slice('fleet/'.length)
			// The former owner may never have seen the answer.
			if (record.asked > 0) intents.push([name, record])
			for (const id of Object.keys(record.hosts)) this.s.addMachine(id, name, record)
		}
		for (const m of this.machines.values()) if (m.used) this.unconfirmed.add(m.id)
		this.s.settled = this.unconfirmed.size === 0
		for (const uid of ports.openJobs()) this.jobChanged(uid, ports.job(uid)!.record, this.s.settled)
		for (const [name, record] of intents) this.renter.call(name, record)
		for (const id of this.unconfirmed) this.probe(this.machines.get(id)!)
		ports.log('info', 'rebuilding part', {
			part: k,
			token,
			jobs: this.jobs.size,
			machines: this.machines.size,
			unconfirmed: this.unconfirmed.size,
		})
	}

	get jobs(): ReadonlyMap<string, JobRun> {
		return this.s.jobs
	}

	get machines(): ReadonlyMap<string, Machine> {
		return this.s.machines
	}

	/** Is every machine that may hold tasks of a former owner's accounted for? */
	get rebuilt(): boolean {
		return this.s.settled
	}

	// ---- records ----

	/** The catalog came or changed: machines known only by their type's name get its figures. */
	catalogChanged(): void {
		for (const m of this.machines.values()) {
			m.type = this.s.typeOf(m.type.name)
			this.s.measure(m)
		}
	}

	/** A fleet record changed: machines came, went, moved between parts or may be used from now on. */
	fleetChanged(name: string, data: unknown, before: unknown): void {
		if (this.s.stopped) return
		const record = asFleet(data)
		const mine = record !== null && record.part === this.k
		const old = asFleet(before)
		if (mine) this.renter.recorded(name, record)
		if (mine)
			for (const [id, addr] of Object.entries(record.hosts)) {
				const m = this.machines.get(id)
				if (m === undefined) this.s.addMachine(id, name, record)
				else if (!m.used && addr !== null) {
					m.used = true
					this.plan([m])
					this.unhold(m)
				}
			}
		if (old === null || old.part !== this.k) return
		for (const id of Object.keys(old.hosts)) {
			const m = this.machines.get(id)
			if (m !== undefined && m.fleet === name && (!mine || record.hosts[id] === undefined))
				this.forgetMachine(m)
		}
	}

	/** A job's record changed: accepted, cancelled, moved to another part, or our own write seen again. */
	jobChanged(uid: string, record: JobRecord, settled = true): void {
		const known = this.jobs.get(uid)
		if (record.part !== this.k) {
			this.gate.drop(uid)
			if (known !== undefined) this.jobLeft(known)
			return
		}
		if (record.final !== undefined) {
			this.gate.drop(uid)
			if (known !== undefined && !known.over) this.closeJob(known, record.final)
			return
		}
		if (known !== undefined || record.spec === undefined) return
		if (!this.ports.heldBack(uid, record)) {
			this.gate.drop(uid)
			this.take(record.spec, record, settled)
		} else if (!this.gate.has(uid)) this.gate.hold(record.spec, record)
	}

	/** A job that was held may start, or is shown to have started. */
	private letIn(uid: string): void {
		const record = this.ports.job(uid)?.record
		if (record?.spec === undefined || record.part !== this.k || record.final !== undefined) return
		if (!this.jobs.has(uid)) this.take(record.spec, record, this.s.settled)
	}

	/** Jobs were released by their checks, for good. */
	released(uids: readonly string[]): void {
		if (!this.s.stopped) this.gate.released(uids)
	}

	/** Jobs that wait for their checks. */
	get heldJobs(): number {
		return this.gate.size
	}

	private take(spec: JobSpec, record: JobRecord, settled: boolean): void {
		const { uid } = spec
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
		job.arrivedAt = job.lastWrite
		job.suspectBefore = this.ports.suspected(uid)
		if (settled) {
			job.ready = Ranges.full(spec.tasks)
			job.ready.deleteAll(job.done)
		}
		this.s.jobs.set(uid, job)
		this.s.queueDirty = true
		if (settled) this.plan(this.machines.values())
	}

	private makeLedger(spec: JobSpec): Ledger {
		const options = this.renter.offers(spec, false).map((o) => ({
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
		for (const a of [...job.placed.values()]) if (a.state === 'planned') this.s.dropAttempt(a.machine, a)
		this.s.queueDirty = true
		this.ports.log('info', 'job over', { uid: job.spec.uid, how })
		if (how === 'aborted') this.killNow(job)
		if (job.placed.size === 0) this.s.jobs.delete(job.spec.uid)
	}

	/** It belongs to another part from now on, and nothing of it was anywhere here when that was decided. */
	private jobLeft(job: JobRun): void {
		for (const a of [...job.placed.values()]) if (a.state === 'planned') this.s.dropAttempt(a.machine, a)
		for (const a of job.placed.values()) a.stray = true
		this.s.jobs.delete(job.spec.uid)
		this.s.queueDirty = true
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

	private plan(machines: Iterable<Machine>): void {
		this.planner.plan(machines)
	}

	// ---- reports ----

	/**
	 * A worker's report. Answers with the token and orders; null: we are not the one to answer it. Once this has
	 * answered, the worker's lease may run from now on.
	 */
	report(r: Report, tell: (answer: Answer | null) => void): void {
		const m = this.machines.get(r.machine)
		if (m === undefined || this.s.stopped || r.token > m.token) return tell(null)
		const now = this.ports.now()
		// An old report comes late when packets were held: its list is as old as itself, its answer is dropped.
		if (!newer(r.tenure, r.counter, m)) {
			m.answeredAt = now
			return tell({ token: m.token, orders: [] })
		}
		this.observe(m, r, true)
		// It was heard now, whenever it is answered: one that waits for its first answer is not silent.
		m.answeredAt = now
		m.addr = r.addr
		if (m.leaving === 'silent' && !m.releasing) m.leaving = null
		if (!m.up) {
			m.up = true
			this.s.boots.came(m.type, now - m.knownAt)
			this.ports.log('info', 'machine is up', {
				machine: m.id,
				type: m.type.name,
				zone: m.zone,
				spot: m.spot,
				afterMs: Math.round(now - m.knownAt),
			})
		}
		this.plan([m])
		if (m.used || m.leaving !== null) return this.answer(m, tell)
		this.fleet.markUsed(m.fleet, m.id, r.addr)
		this.hold(m, tell)
	}

	private answer(m: Machine, tell: (answer: Answer | null) => void): void {
		m.answeredAt = this.ports.now()
		tell({ token: m.token, orders: this.orders(m) })
	}

	/**
	 * A machine's first report is answered when it may have start commands, that is when its address is durable: in a
	 * rush that takes a second, and answered at once it would be back only a whole report period later. Not longer than
	 * half of that, and well within the 4 s that a worker waits (protocol).
	 */
	private hold(m: Machine, tell: (answer: Answer | null) => void): void {
		this.held.get(m.id)?.(null)
		this.held.set(m.id, tell)
		setTimeout(
			() => {
				if (this.held.get(m.id) === tell) this.unhold(m)
			},
			Math.min(this.config.derived.reportMs / 2, 2000),
		)
	}

	private unhold(m: Machine): void {
		const tell = this.held.get(m.id)
		if (tell === undefined) return
		this.held.delete(m.id)
		if (this.s.stopped || this.machines.get(m.id) !== m || this.ports.right() === 'none') tell(null)
		else this.answer(m, tell)
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
		const listed = new Map(r.tasks.map((t) => [`${t.name}#${t.attempt}`, t]))
		// What is gone goes first: an attempt that followed it here would seem to be one too many (incident 26).
		for (const a of [...m.attempts.values()]) {
			if (listed.has(a.key) || a.state === 'planned') continue
			// A direct command's answer may have overtaken the response that carries the start.
			if (a.state === 'sent' && !settles) continue
			if (a.state !== 'sent' && !a.handled)
				this.ports.log('debug', 'task is gone', { task: a.name, machine: m.id, state: a.state })
			this.s.dropAttempt(m, a)
		}
		for (const [key, t] of listed) {
			const a = m.attempts.get(key) ?? this.discover(m, t, key)
			this.advance(m, a, t, now)
		}
		if (!m.confirmed && r.token >= m.token) {
			m.confirmed = true
			this.accounted(m)
		}
		this.s.measure(m)
	}

	/** A reported attempt that we did not start: a former owner's, or one that must not be there. */
	private discover(m: Machine, t: ReportedTask, key: string): Attempt {
		this.gate.started(t.uid)
		const job = this.jobs.get(t.uid) ?? null
		const record = job === null ? this.ports.job(t.uid)?.record : undefined
		// Planned elsewhere, but it is here: that is not to be.
		const other = job?.placed.get(t.task)
		if (other?.state === 'planned' && t.state !== 'ended') this.s.dropAttempt(other.machine, other)
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
		this.s.addAttempt(m, a)
		return a
	}

	private advance(m: Machine, a: Attempt, t: ReportedTask, now: number): void {
		if (a.startedAt === null && (t.state === 'running' || t.state === 'pulling')) a.startedAt = now
		if (t.state === 'running' && a.state !== 'running' && a.job !== null) this.s.hasImage(m, a.job.spec)
		a.state = t.state
		if (
			a.job?.spec.kind === 'daemon' &&
			t.state === 'running' &&
			now - a.startedAt! > this.config.derived.leaseMs
		)
			a.job.stayedUp = true
		if (t.state !== 'ended' || a.handled) return
		a.cause = t.cause
		const job = a.job
		const spent = a.startedAt === null ? 0 : this.s.costOf(a)
		this.s.vacate(m, a)
		if (t.cause === 'done') {
			this.faults.succeeded(m)
			if (job !== null && t.task < job.spec.tasks) this.taskDone(job, a, spent, now)
			return
		}
		if (job === null || job.over) return
		if (t.cause === 'halted' && job.spec.checkpointS > 0 && a.startedAt !== null)
			job.savedS.set(a.task, (job.savedS.get(a.task) ?? 0) + (now - a.startedAt) / 1000)
		if (t.cause === 'error') this.faults.failed(m, job, a, now)
		else if (t.cause === 'no_room' || t.cause === 'in_use') {
			// Our picture of the machine is wrong: leave it alone until its next reports have corrected it.
			m.blockedUntil = now + this.config.derived.reportMs * 2
			this.ports.log('info', 'start refused', { task: a.name, machine: m.id, cause: t.cause })
		} else if (t.cause === 'no_such') {
			job.notBefore = now + this.config.derived.reportMs * 2
			this.ports.log('info', 'start refused', { task: a.name, machine: m.id, cause: t.cause })
		}
		if (!a.stray) job.ledger.restart(a.uid, a.share, spent)
		this.s.backToReady(a)
	}

	private taskDone(job: JobRun, a: Attempt, spent: number, now: number): void {
		if (job.over || job.spec.kind === 'daemon') {
			this.s.backToReady(a)
			return
		}
		const first = !job.proven
		if (!job.done.add(a.task)) return
		job.ready.delete(a.task)
		if (first) this.faults.proven(job)
		job.ledger.finish(a.share, spent)
		if (a.startedAt !== null)
			this.s.learn(job.spec, (now - a.startedAt) / 1000 + (job.savedS.get(a.task) ?? 0))
		job.savedS.delete(a.task)
		// The same task may wait elsewhere only if it was planned; nothing else can be there.
		const other = job.placed.get(a.task)
		if (other !== undefined) {
			if (other.state === 'planned') this.s.dropAttempt(other.machine, other)
			else other.stray = true
		}
		if (job.done.size >= job.spec.tasks) this.progress.write(job)
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
		if (!m.confirmed || !m.used || this.ports.right() === 'none') return orders
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
		const record = this.ports.job(a.uid)?.record
		return record === undefined || record.final !== undefined
	}

	// ---- rebuilding after a takeover ----

	private probe(m: Machine): void {
		// A connection each: a quarter of the sockets at a time, the regular look goes on with the others.
		if (m.addr === null || m.probing || this.probes >= this.config.derived.sockets / 4) return
		m.probing = true
		this.probes++
		this.ports.command(m.addr, m.token, m.tenure > 0 ? m.tenure : 1, [], (status, report) => {
			m.probing = false
			this.probes--
			if (report === null || this.s.stopped || m.confirmed || this.machines.get(m.id) !== m) return
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
		this.s.settled = true
		for (const job of this.jobs.values()) {
			if (job.settled) continue
			job.settled = true
			if (job.over) continue
			job.ready = Ranges.full(job.spec.tasks)
			job.ready.deleteAll(job.done)
			for (const task of job.placed.keys()) job.ready.delete(task)
			for (const task of job.strays.keys()) job.ready.delete(task)
		}
		this.s.queueDirty = true
		this.ports.log('info', 'part is rebuilt', {
			part: this.k,
			afterMs: Math.round(this.ports.now() - this.takenAt),
		})
		this.plan(this.machines.values())
	}

	// ---- machines that come and go ----

	/**
	 * Unclaimed machines whose names fall to this part; one that has seen no token has had no commands. The caller
	 * has made sure that no rental can yet bring them under another record.
	 */
	claim(reports: readonly Report[], done: () => void): void {
		const fresh = reports.filter((r) => !this.machines.has(r.machine))
		if (fresh.length === 0 || this.s.stopped) return done()
		const { type, zone, spot } = fresh[0]
		const hosts: Record<string, string | null> = {}
		for (const r of fresh) hosts[r.machine] = r.addr
		const data: FleetRecord = { part: this.k, type, zone, spot, asked: 0, hosts }
		const name = `c${this.k}-${this.token}-${++this.claims}`
		const key = ROOT + fleetKey(name)
		this.s.writeOwned(Urgency.outcome, [{ key, stamp: 0 }], [{ set: key, data }], (result) => {
			if (result.kind === 'ok' && !this.s.stopped) {
				this.ports.wrote(fleetKey(name), data, result.epoch)
				for (const r of fresh) {
					const m = this.machines.get(r.machine)
					if (m !== undefined && r.token === 0) m.confirmed = true
				}
				this.ports.log('info', 'claimed machines', { machines: Object.keys(hosts), part: this.k })
			}
			done()
		})
	}

	private forgetMachine(m: Machine): void {
		this.held.get(m.id)?.(null)
		this.held.delete(m.id)
		for (const a of [...m.attempts.values()]) this.s.dropAttempt(m, a)
		this.s.machines.delete(m.id)
		this.unconfirmed.delete(m.id)
		if (!this.s.settled && this.unconfirmed.size === 0) this.settle()
	}

	private release(all: readonly Machine[]): void {
		const machines = all.slice(0, PER_RELEASE)
		for (const m of machines) {
			m.releasing = true
			m.releaseAgainAt = Number.POSITIVE_INFINITY
		}
		this.ports.log('info', 'releasing', { machines: machines.map((m) => `${m.id} (${m.leaving})`) })
		this.ports.release(
			machines.map((m) => m.id),
			(gone) => {
				if (this.s.stopped) return
				const left = machines.filter((m) => this.machines.get(m.id) === m)
				// Once asked for, the release may be carried out late: the machine is never used again. In an outage of
				// the cloud the next try waits, so that the call rate is there for others when it ends.
				if (!gone) {
					for (const m of left) m.releaseAgainAt = this.ports.now() + this.config.derived.grantMs * 0.5
					return
				}
				for (const m of left) {
					this.forgetMachine(m)
					this.fleet.remove(m.fleet, m.id)
				}
				this.plan(this.machines.values())
			},
		)
	}

	// ---- time ----

	/** Regular look at everything that time alone changes. */
	tick(): void {
		if (this.s.stopped) return
		const now = this.ports.now()
		const d = this.config.derived
		const right = this.ports.right()
		this.silence.look(now, right)
		if (right === 'none') return
		const toRelease: Machine[] = []
		const holding = new Set<JobRun | null>()
		const waiting = this.s.waits(now)
		for (const m of this.machines.values()) {
			if (m.releasing) {
				// While the cloud is down its release may take long: the lease frees its tasks all the same.
				if (m.up && now - m.answeredAt > d.leaseMs) this.leaseOver(m)
				if (now >= m.releaseAgainAt) toRelease.push(m)
				continue
			}
			if (this.checkSilence(m, now)) toRelease.push(m)
			else if (!m.up) {
				// A few never come up; they cost money until they are deleted.
				if (now - m.knownAt > Math.max(this.s.boots.returnedMs(m.type), d.leaseMs)) {
					m.leaving = 'never came up'
					toRelease.push(m)
				}
			} else {
				const busy = this.runs(m)
				if (busy) m.idleSince = null
				else m.idleSince ??= now
				if (m.leaving !== null) this.drain(m, now)
				if (busy || !m.confirmed || !this.s.settled) continue
				if (m.leaving === null && now - m.idleSince! > this.idleMs(m) && !(waiting && !m.used))
					m.leaving = 'idle'
				// Its finished tasks' outcomes are kept by it alone until they are durable.
				const kept = this.undurable(m)
				if (kept.size > 0) for (const job of kept) holding.add(job)
				else if (m.leaving !== null && m.noticeUntil === null) toRelease.push(m)
			}
		}
		const everyMs = Math.max(200, d.reportMs / 6)
		if (now - this.lastRentLook >= everyMs) {
			this.lastRentLook = now
			this.s.queueDirty = true
			this.plan(this.machines.values())
			this.planner.hold(now)
			this.planner.preempt(now)
			this.planner.pack(now)
			this.renter.rent(now, toRelease.length > 0)
			this.moves.look(now, everyMs)
		}
		if (toRelease.length > 0 && right === 'grant' && this.renter.mayRelease()) this.release(toRelease)
		else for (const m of toRelease) if (m.leaving === 'idle' && !m.releasing) m.leaving = null
		this.progress.look(now, holding)
		this.gate.look(now)
		if (!this.s.settled) this.pressOn(now)
	}

	/** Half a boot's cost spent on waiting is enough to bet on work that may come. */
	private idleMs(m: Machine): number {
		return Math.min(this.config.derived.reportMs * this.config.tuning.idleReports, m.type.bootS * 500)
	}

	private runs(m: Machine): boolean {
		for (const a of m.attempts.values()) if (a.state !== 'ended') return true
		return false
	}

	/** Jobs with outcomes on this machine that are not durable yet; null stands for one that is not ours. */
	private undurable(m: Machine): Set<JobRun | null> {
		const jobs = new Set<JobRun | null>()
		for (const a of m.attempts.values()) if (a.state === 'ended' && !this.mayForget(a)) jobs.add(a.job)
		return jobs
	}

	/**
	 * Until every machine that may hold tasks is accounted for, none of the old jobs goes on. A few that neither
	 * answer nor report are returned, which proves them empty sooner than their leases would, the sooner the fewer they
	 * are; if it is many, it is rather we who are cut off.
	 */
	private pressOn(now: number): void {
		const missing = [...this.unconfirmed].map((id) => this.machines.get(id)!)
		for (const m of missing) this.probe(m)
		const { reportMs, grantMs } = this.config.derived
		const patience = rebuildPatienceMs(missing.length, this.machines.size, Math.min(reportMs * 3, grantMs))
		if (patience === null || now - this.takenAt <= patience) return
		if (this.ports.right() !== 'grant' || this.ports.cloudCalls() < 1) return
		const blocking = missing.filter((m) => !m.releasing)
		if (blocking.length === 0) return
		for (const m of blocking) m.leaving = 'unreachable after a takeover'
		this.release(blocking)
	}

	/** A machine whose lease must have ended runs nothing any more: its tasks may go elsewhere. True: return it now. */
	private checkSilence(m: Machine, now: number): boolean {
		const d = this.config.derived
		if (!m.up) return false
		if (now - m.answeredAt > d.reportMs * 3)
			for (const a of [...m.attempts.values()]) if (a.state === 'planned') this.s.dropAttempt(m, a)
		if (now - m.answeredAt > d.leaseMs) this.leaseOver(m)
		if (!this.silence.over(m, now)) return false
		m.leaving ??= 'silent'
		return true
	}

	private leaseOver(m: Machine): void {
		for (const a of [...m.attempts.values()])
			if (!(a.state === 'ended' && a.handled)) {
				this.ports.log('info', 'lease over', { task: a.name, machine: m.id })
				this.s.dropAttempt(m, a)
			}
		if (!m.confirmed) {
			// Its next report will be of a new session; what it held under a former owner is gone.
			m.confirmed = true
			this.accounted(m)
		}
	}

	/** Stops what can save its progress in time; the rest may still finish. */
	private drain(m: Machine, now: number): void {
		for (const a of m.attempts.values()) {
			if (a.state === 'planned') {
				this.s.dropAttempt(m, a)
				continue
			}
			const spec = a.job?.spec
			if (a.state !== 'running' || spec === undefined || a.stopGraceS !== null) continue
			const left = m.noticeUntil === null ? Number.POSITIVE_INFINITY : (m.noticeUntil - now) / 1000
			// A notice can turn out half as long as it said. What cannot save is stopped at the last moment all the
			// same: its task can then start elsewhere at once, not only when the dead machine's lease is over.
			const saveS = spec.checkpointS > 0 ? spec.saveS : 0
			if (left * 0.5 < saveS + (2 * this.config.derived.reportMs) / 1000) a.stopGraceS = graceS(spec)
		}
	}

	/**
	 * May the part change hands? Not while it is being rebuilt or a machine is silent: the next owner would have to
	 * wait for that machine before any old job goes on, while we know what it holds (incident 6).
	 */
	quiet(): boolean {
		return this.s.settled && this.silence.missing(this.ports.now()) === 0
	}

	/** What a team's tasks use here. */
	used(team: string): { cpus: number; gpus: number } {
		return this.s.used(team)
	}

	/** Jobs of which some attempt may still be on a machine of ours; null: that is not known yet. */
	holding(): Set<string> | null {
		if (!this.s.settled || this.s.stopped) return null
		const uids = new Set<string>()
		for (const m of this.machines.values()) for (const a of m.attempts.values()) uids.add(a.uid)
		return uids
	}

	/** See `Silence.unheard`. */
	unheard(): number {
		return this.silence.unheard()
	}

	/** See `Silence.stranded`. */
	stranded(): boolean {
		return this.silence.stranded(this.unconfirmed)
	}

	/** Jobs cancelled while we were cut off from the state, told by a member that was not. */
	applyCancelled(uid: string): void {
		this.gate.drop(uid)
		const job = this.jobs.get(uid)
		if (job !== undefined && !job.over) this.closeJob(job, 'aborted')
	}

	stop(): void {
		this.s.stopped = true
		for (const tell of this.held.values()) tell(null)
		this.held.clear()
	}
}
