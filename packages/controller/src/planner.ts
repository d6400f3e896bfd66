import {
	allowed,
	type Candidate,
	choosePacking,
	chooseVictims,
	fits,
	hourly,
	inOrder,
	LIFTED,
	offerCost,
	type PackedMachine,
	type PackedTask,
	rank,
	type Victim,
	withinLimit,
	zoneAllowed,
} from '@heathroad/policy'
import type { JobSpec } from '@heathroad/wire'
import { type Attempt, graceS, type JobRun, type Machine } from './model.js'
import type { Renter } from './renter.js'
import type { PartState } from './state.js'

/** Attempts are `token * ATTEMPTS + counter`: unique over owners and restarts, and exact in a double. */
const ATTEMPTS = 2 ** 20

/** Which ready task goes to which machine, and what is stopped to make room. */
export class Planner {
	private attemptCounter = 0
	private packAgainAt = 0

	constructor(
		private readonly s: PartState,
		private readonly renter: Renter,
	) {}

	private mayPlace(spec: JobSpec): boolean {
		const team = this.s.team(spec.team)
		if (team === undefined) return false
		// A team's tasks on machines not heard of yet count against its limit in an unknown way.
		if (!this.s.settled && (team.cpus_max > 0 || team.gpus_max > 0)) return false
		return withinLimit(team, this.s.used(spec.team), spec)
	}

	/** One round over these machines: ready tasks by earliest start within their priority. */
	plan(machines: Iterable<Machine>): void {
		const now = this.s.ports.now()
		if (this.s.stopped || this.s.ports.right() === 'none') return
		// Jobs may have moved to other parts by changes before our take that are not known here yet.
		if (this.s.ports.epoch() < this.s.token) return
		let open: Machine[] = []
		for (const m of machines)
			if (m.free.cpus + m.free.gpus > 1e-9 && m.free.ramGb > 1e-9 && this.s.usable(m, now)) open.push(m)
		for (const job of this.s.waiting(now)) {
			if (open.length === 0) return
			const { spec } = job
			// A gang starts only when every task that is left has a machine.
			const gang = spec.kind === 'gang'
			if (gang && (job.placed.size > 0 || job.ready.size < spec.tasks - job.done.size)) continue
			this.fill(job, open)
			if (gang && job.ready.size > 0)
				for (const a of [...job.placed.values()]) this.s.dropAttempt(a.machine, a)
			open = open.filter((m) => m.free.cpus + m.free.gpus > 1e-9 && m.free.ramGb > 1e-9)
		}
	}

	/**
	 * Places a job's ready tasks. They are all alike, so one order of the machines serves them all: a machine that
	 * takes a task has the image from then on and stays the best choice until it is full.
	 */
	private fill(job: JobRun, open: readonly Machine[]): void {
		const { spec } = job
		if (!this.mayPlace(spec)) return
		const runS = this.s.runS(spec)
		const now = this.s.ports.now()
		const candidates: (Candidate & { m: Machine })[] = []
		for (const m of open) {
			if (!fits(spec, m.free) || !allowed(spec, m) || !zoneAllowed(spec, m.zone, job.zones)) continue
			if (job.failedOn.has(m.id) && now < job.retryAt) continue
			if (m.heldFor !== null && m.heldFor.rank > job.rank && m.heldFor.ready.size > 0) continue
			const image = m.images.has(spec.image)
			const { seconds, cost } = offerCost(spec, runS, m, true, image)
			candidates.push({ id: m.id, parentOutput: false, image, seconds, cost, slack: m.free.cpus, m })
		}
		if (candidates.length === 0) return
		const share = job.ledger.share(spec.uid)
		for (const { m } of inOrder(candidates, share, () => this.renter.affordable(job, runS)))
			while (fits(spec, m.free) && zoneAllowed(spec, m.zone, job.zones)) {
				if (job.ready.size === 0 || !this.mayPlace(spec)) return
				if (job.suspect && spec.kind !== 'gang' && job.placed.size > 0) return
				this.place(job, m)
			}
	}

	/**
	 * Keeps room for urgent and lifted jobs whose tasks have fitted nowhere for a while: on a full fleet the small tasks of those behind
	 * them take every slot that ends, and a task that needs two slots of one machine waits for ever. The machines
	 * held are those that lack the least, one for each waiting task, and an eighth of all at most.
	 */
	hold(now: number): void {
		const free: Machine[] = []
		for (const m of this.s.machines.values()) {
			m.heldFor = null
			if (this.s.usable(m, now)) free.push(m)
		}
		let left = Math.ceil(free.length / 8)
		for (const job of this.s.worthy(now)) {
			const { spec } = job
			if (left <= 0 || job.rank < LIFTED) return
			if (spec.kind === 'gang' || this.s.ageS(job) < this.patienceS(job)) continue
			const lacks = (m: Machine) =>
				Math.max(0, spec.cpus - m.free.cpus) / Math.max(1, m.type.cpus) +
				Math.max(0, spec.ramGb - m.free.ramGb) / Math.max(1, m.type.ramGb)
			const able = free
				.filter((m) => m.heldFor === null && fits(spec, m.type) && allowed(spec, m))
				.filter((m) => zoneAllowed(spec, m.zone, job.zones) && !job.failedOn.has(m.id))
				.map((m) => ({ m, lack: lacks(m) }))
				.sort((a, b) => a.lack - b.lack)
			for (const { m } of able.slice(0, Math.min(left, job.ready.size))) {
				m.heldFor = job
				left--
			}
		}
	}

	private place(job: JobRun, m: Machine): void {
		const task = job.ready.first()!
		const spec = job.spec
		// The tasks of a gang find each other by their attempt: one number for all of them.
		const joins = spec.kind === 'gang' && job.placed.size > 0
		const attempt = this.s.token * ATTEMPTS + (joins ? this.attemptCounter : ++this.attemptCounter)
		const name = `${spec.uid}/${task}`
		job.ready.delete(task)
		this.s.addAttempt(m, {
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
		this.s.hasImage(m, spec)
	}

	/**
	 * Makes room for waiting urgent tasks, or for those of a team within its guarantee. Tasks that can save go first; one
	 * that cannot is stopped only where none of those makes room, and where less is lost than the urgent task runs:
	 * a guest's long tasks would otherwise keep a team from its guarantee for as long as they run.
	 */
	preempt(now: number): void {
		// Room that earlier stops are about to give counts for those who wait, in their order.
		let coming = 0
		const soft: Machine[] = []
		const hard: Machine[] = []
		for (const m of this.s.machines.values()) {
			if (!this.s.usable(m, now)) continue
			let stopping = false
			let running = false
			let savable = false
			for (const a of m.attempts.values()) {
				if (a.state === 'ended') continue
				if (a.stopGraceS !== null) {
					coming += a.need.cpus
					stopping = true
				} else if (a.state === 'running' && a.job !== null) {
					running = true
					savable ||= a.job.spec.checkpointS > 0
				}
			}
			if (stopping) continue
			if (savable) soft.push(m)
			if (running) hard.push(m)
		}
		let left = Math.ceil(this.s.machines.size / 8)
		for (const job of this.s.worthy(now)) {
			const { spec } = job
			const entitled = this.s.entitled(spec)
			if (rank(spec.priority) < rank('urgent') && !entitled) continue
			if (this.s.ageS(job) < this.patienceS(job)) continue
			coming -= job.ready.size * spec.cpus
			while (coming < 0 && left > 0) {
				const freed =
					this.preemptFor(job, entitled, soft, true) || this.preemptFor(job, entitled, hard, false)
				if (freed === 0) break
				coming += freed
				left--
			}
			if (left === 0) return
		}
	}

	/** A quarter of the time in which a job's tasks should start is left to chance. */
	private patienceS(job: JobRun): number {
		return job.bounds.length > 0
			? Math.min(...job.bounds) * 0.25
			: (this.s.config.derived.reportMs * 3) / 1000
	}

	/**
	 * With nothing waiting, empties machines whose few tasks can save and fit elsewhere: low work that runs for minutes
	 * in small pieces otherwise keeps most of a fleet half empty, and none of it ever idle.
	 */
	pack(now: number): void {
		const { leaseMs, reportMs } = this.s.config.derived
		if (this.s.ports.right() !== 'grant' || !this.s.settled) return
		const waits = this.s.waits(now)
		const due = now >= this.packAgainAt
		// Not in the gap between two jobs: what is emptied then is rented anew a moment later.
		if (waits || due) this.packAgainAt = now + leaseMs / 2
		if (waits || !due) return
		const all: (PackedMachine & { m: Machine })[] = []
		const jobs = new Map<PackedTask, JobRun>()
		for (const m of this.s.machines.values()) {
			if (!this.s.usable(m, now)) continue
			const tasks: PackedTask[] = []
			for (const a of m.attempts.values()) {
				if (a.state === 'ended') continue
				const { job } = a
				// Of a task that is not ours nothing is known: it stays.
				if (job === null) tasks.push({ need: a.need, leftS: 0, moveS: null })
				else {
					const { checkpointS, saveS, imageGb } = job.spec
					const able = a.state === 'running' && a.stopGraceS === null && checkpointS > 0
					const moveS = saveS + imageGb / Math.max(0.01, m.type.fetchGbPerS) + (reportMs * 3) / 1000
					const task = { need: a.need, leftS: this.s.leftS(a, job, now), moveS: able ? moveS : null }
					tasks.push(task)
					jobs.set(task, job)
				}
			}
			all.push({ id: m.id, price: hourly(m), cpus: m.type.cpus, free: m.free, tasks, m })
		}
		const may = (from: { m: Machine }, task: PackedTask, to: { m: Machine }) => {
			const { spec } = jobs.get(task)!
			const zoned = spec.samePlace || spec.apart
			return allowed(spec, to.m) && (!zoned || from.m.zone === to.m.zone)
		}
		for (const { m } of choosePacking(all, Math.ceil(all.length / 16), may)) {
			m.leaving = 'packed'
			for (const a of m.attempts.values())
				if (a.state === 'running' && a.job !== null) a.stopGraceS = graceS(a.job.spec)
			this.s.ports.log('info', 'emptying a machine', { machine: m.id, freeCpus: m.free.cpus })
		}
	}

	/** Work that stopping a task now would lose, in seconds. */
	private lostS(a: Attempt): number {
		const { checkpointS, saveS } = a.job!.spec
		if (checkpointS > 0) return saveS
		return a.startedAt === null ? 0 : (this.s.ports.now() - a.startedAt) / 1000
	}

	/** Stops what loses least on one of these machines, which then leaves the list; the CPUs that this frees. */
	private preemptFor(job: JobRun, entitled: boolean, machines: Machine[], saving: boolean): number {
		const spec = job.spec
		const most = entitled ? Number.POSITIVE_INFINITY : this.s.runS(spec)
		let best: { at: number; victims: (Victim & { a: Attempt })[]; lost: number } | null = null
		for (const [at, m] of machines.entries()) {
			if (!allowed(spec, m) || !zoneAllowed(spec, m.zone, job.zones)) continue
			const running: (Victim & { a: Attempt })[] = []
			for (const a of m.attempts.values()) {
				if (a.state !== 'running' || a.job === null || a.stopGraceS !== null) continue
				const lostS = this.lostS(a)
				if (saving ? a.job.spec.checkpointS > 0 : lostS <= most)
					running.push({ key: a.key, priority: a.job.spec.priority, lostS, ...a.need, a })
			}
			const victims = chooseVictims(spec, m.free, running, entitled, (t) => this.s.beyondGuarantee(t))
			if (victims === null || victims.length === 0) continue
			const lost = victims.reduce((n, v) => n + v.lostS * v.cpus, 0)
			if (best === null || lost < best.lost) best = { at, victims, lost }
			if (saving) break
		}
		if (best === null) return 0
		machines.splice(best.at, 1)
		for (const { a } of best.victims) {
			a.stopGraceS = graceS(a.job!.spec)
			this.s.ports.log('info', 'preempting', { task: a.name, machine: a.machine.id, for: spec.uid })
		}
		return best.victims.reduce((n, v) => n + v.cpus, 0)
	}
}
