import {
	type Candidate,
	choosePacking,
	chooseVictims,
	fits,
	hourlyPrice,
	isAllowedOn,
	isZoneAllowed,
	offerCost,
	type PackedMachine,
	type PackedTask,
	priorityRank,
	rankCandidates,
	URGENCY_CUTOFF_RANK,
	type Victim,
	withinLimit,
} from '@heathroad/policy'
import type { JobSpec } from '@heathroad/wire'
import { type Attempt, gracePeriodS, type JobRun, type Machine } from './model.js'
import type { ScaleOut } from './scale-out.js'
import type { ShardState } from './state.js'

/** Attempts are `token * ATTEMPTS + counter`: unique over owners and restarts, and exact in a double. */
const ATTEMPTS = 2 ** 20

/** Which ready task goes to which machine, and what is stopped to make room. */
export class Scheduler {
	private attemptCounter = 0
	private packAgainAt = 0

	constructor(
		private readonly state: ShardState,
		private readonly renter: ScaleOut,
	) {}

	private mayPlace(spec: JobSpec): boolean {
		const team = this.state.teamLimit(spec.team)
		if (team === undefined) return false
		// A team's tasks on machines not heard of yet count against its limit in an unknown way.
		if (!this.state.reconciled && (team.cpus_max > 0 || team.gpus_max > 0)) return false
		return withinLimit(team, this.state.teamUsage(spec.team), spec)
	}

	/** One round over these machines: ready tasks by earliest start within their priority. */
	placeTasks(machines: Iterable<Machine>): void {
		const now = this.state.ports.now()
		if (this.state.stopped || this.state.ports.leadership() === 'none') return
		// Jobs may have moved to other parts by changes before our take that are not known here yet.
		if (this.state.ports.revision() < this.state.fencingToken) return
		let open: Machine[] = []
		for (const machine of machines)
			if (
				machine.freeResources.cpus + machine.freeResources.gpus > 1e-9 &&
				machine.freeResources.ramGb > 1e-9 &&
				this.state.isSchedulable(machine, now)
			)
				open.push(machine)
		for (const job of this.state.waitingJobs(now)) {
			if (open.length === 0) return
			const { spec } = job
			// A gang starts only when every task that is left has a machine.
			const gang = spec.kind === 'gang'
			if (gang && (job.placements.size > 0 || job.readyTasks.size < spec.tasks - job.doneTasks.size)) continue
			this.fill(job, open)
			if (gang && job.readyTasks.size > 0)
				for (const attempt of [...job.placements.values()]) this.state.removeAttempt(attempt.machine, attempt)
			open = open.filter(
				(machine) =>
					machine.freeResources.cpus + machine.freeResources.gpus > 1e-9 &&
					machine.freeResources.ramGb > 1e-9,
			)
		}
	}

	/**
	 * Places a job's ready tasks. They are all alike, so one order of the machines serves them all: a machine that
	 * takes a task has the image from then on and stays the best choice until it is full.
	 */
	private fill(job: JobRun, open: readonly Machine[]): void {
		const { spec } = job
		if (!this.mayPlace(spec)) return
		const runS = this.state.estimatedRunS(spec)
		const now = this.state.ports.now()
		const candidates: (Candidate & { m: Machine })[] = []
		for (const machine of open) {
			if (
				!fits(spec, machine.freeResources) ||
				!isAllowedOn(spec, machine) ||
				!isZoneAllowed(spec, machine.zone, job.taskCountByZone)
			)
				continue
			if (job.failedMachineIds.has(machine.id) && now < job.retryFailedMachinesAt) continue
			if (
				machine.reservedFor !== null &&
				machine.reservedFor.rank > job.rank &&
				machine.reservedFor.readyTasks.size > 0
			)
				continue
			const image = machine.cachedImages.has(spec.image)
			const { seconds, cost } = offerCost(spec, runS, machine, true, image)
			candidates.push({
				id: machine.id,
				parentOutput: false,
				image,
				seconds,
				cost,
				slack: machine.freeResources.cpus,
				m: machine,
			})
		}
		if (candidates.length === 0) return
		const share = job.budget.share(spec.uid)
		for (const { m: machine } of rankCandidates(candidates, share, () =>
			this.renter.canAffordNewMachine(job, runS),
		))
			while (fits(spec, machine.freeResources) && isZoneAllowed(spec, machine.zone, job.taskCountByZone)) {
				if (job.readyTasks.size === 0 || !this.mayPlace(spec)) return
				if (job.isQuarantined && spec.kind !== 'gang' && job.placements.size > 0) return
				this.place(job, machine)
			}
	}

	/**
	 * Keeps room for urgent and lifted jobs whose tasks have fitted nowhere for a while: on a full fleet the small tasks of those behind
	 * them take every slot that ends, and a task that needs two slots of one machine waits for ever. The machines
	 * held are those that lack the least, one for each waiting task, and an eighth of all at most.
	 */
	reserveMachines(now: number): void {
		const free: Machine[] = []
		for (const machine of this.state.machines.values()) {
			machine.reservedFor = null
			if (this.state.isSchedulable(machine, now)) free.push(machine)
		}
		let left = Math.ceil(free.length / 8)
		for (const job of this.state.waitingHealthyJobs(now)) {
			const { spec } = job
			if (left <= 0 || job.rank < URGENCY_CUTOFF_RANK) return
			if (spec.kind === 'gang' || this.state.jobAgeS(job) < this.patienceS(job)) continue
			const lacks = (machine: Machine) =>
				Math.max(0, spec.cpus - machine.freeResources.cpus) / Math.max(1, machine.type.cpus) +
				Math.max(0, spec.ramGb - machine.freeResources.ramGb) / Math.max(1, machine.type.ramGb)
			const able = free
				.filter(
					(machine) => machine.reservedFor === null && fits(spec, machine.type) && isAllowedOn(spec, machine),
				)
				.filter(
					(machine) =>
						isZoneAllowed(spec, machine.zone, job.taskCountByZone) && !job.failedMachineIds.has(machine.id),
				)
				.map((machine) => ({ m: machine, lack: lacks(machine) }))
				.sort((a, b) => a.lack - b.lack)
			for (const { m: machine } of able.slice(0, Math.min(left, job.readyTasks.size))) {
				machine.reservedFor = job
				left--
			}
		}
	}

	private place(job: JobRun, machine: Machine): void {
		const task = job.readyTasks.first()!
		const spec = job.spec
		// The tasks of a gang find each other by their attempt: one number for all of them.
		const joins = spec.kind === 'gang' && job.placements.size > 0
		const attempt = this.state.fencingToken * ATTEMPTS + (joins ? this.attemptCounter : ++this.attemptCounter)
		const name = `${spec.uid}/${task}`
		job.readyTasks.delete(task)
		this.state.addAttempt(machine, {
			key: `${name}#${attempt}`,
			taskName: name,
			uid: spec.uid,
			machine: machine,
			taskIndex: task,
			attempt,
			job,
			state: 'planned',
			exitReason: null,
			accountedFor: false,
			orphaned: false,
			stopGracePeriodS: null,
			startedAt: null,
			budgetShare: job.budget.start(spec.uid),
			resources: { cpus: spec.cpus, gpus: spec.gpus, ramGb: spec.ramGb, team: spec.team },
		})
		this.state.recordCachedImage(machine, spec)
	}

	/**
	 * Makes room for waiting urgent tasks, or for those of a team within its guarantee. Tasks that can save go first; one
	 * that cannot is stopped only where none of those makes room, and where less is lost than the urgent task runs:
	 * a guest's long tasks would otherwise keep a team from its guarantee for as long as they run.
	 */
	preemptTasks(now: number): void {
		// Room that earlier stops are about to give counts for those who wait, in their order.
		let coming = 0
		const soft: Machine[] = []
		const hard: Machine[] = []
		for (const machine of this.state.machines.values()) {
			if (!this.state.isSchedulable(machine, now)) continue
			let stopping = false
			let running = false
			let savable = false
			for (const attempt of machine.attempts.values()) {
				if (attempt.state === 'ended') continue
				if (attempt.stopGracePeriodS !== null) {
					coming += attempt.resources.cpus
					stopping = true
				} else if (attempt.state === 'running' && attempt.job !== null) {
					running = true
					savable ||= attempt.job.spec.checkpointS > 0
				}
			}
			if (stopping) continue
			if (savable) soft.push(machine)
			if (running) hard.push(machine)
		}
		let left = Math.ceil(this.state.machines.size / 8)
		for (const job of this.state.waitingHealthyJobs(now)) {
			const { spec } = job
			const entitled = this.state.isWithinGuarantee(spec)
			if (priorityRank(spec.priority) < priorityRank('urgent') && !entitled) continue
			if (this.state.jobAgeS(job) < this.patienceS(job)) continue
			coming -= job.readyTasks.size * spec.cpus
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
		return job.startBounds.length > 0
			? Math.min(...job.startBounds) * 0.25
			: (this.state.config.limits.heartbeatMs * 3) / 1000
	}

	/**
	 * With nothing waiting, empties machines whose few tasks can save and fit elsewhere: low work that runs for minutes
	 * in small pieces otherwise keeps most of a fleet half empty, and none of it ever idle.
	 */
	consolidate(now: number): void {
		const { agentLeaseMs: leaseMs, heartbeatMs: reportMs } = this.state.config.limits
		if (this.state.ports.leadership() !== 'lease' || !this.state.reconciled) return
		const waits = this.state.hasWaitingJobs(now)
		const due = now >= this.packAgainAt
		// Not in the gap between two jobs: what is emptied then is rented anew a moment later.
		if (waits || due) this.packAgainAt = now + leaseMs / 2
		if (waits || !due) return
		const all: (PackedMachine & { m: Machine })[] = []
		const jobs = new Map<PackedTask, JobRun>()
		for (const machine of this.state.machines.values()) {
			if (!this.state.isSchedulable(machine, now)) continue
			const tasks: PackedTask[] = []
			for (const attempt of machine.attempts.values()) {
				if (attempt.state === 'ended') continue
				const { job } = attempt
				// Of a task that is not ours nothing is known: it stays.
				if (job === null) tasks.push({ need: attempt.resources, leftS: 0, moveS: null })
				else {
					const { checkpointS, saveS, imageGb } = job.spec
					const able = attempt.state === 'running' && attempt.stopGracePeriodS === null && checkpointS > 0
					const moveS = saveS + imageGb / Math.max(0.01, machine.type.fetchGbPerS) + (reportMs * 3) / 1000
					const task = {
						need: attempt.resources,
						leftS: this.state.remainingRunS(attempt, job, now),
						moveS: able ? moveS : null,
					}
					tasks.push(task)
					jobs.set(task, job)
				}
			}
			all.push({
				id: machine.id,
				price: hourlyPrice(machine),
				cpus: machine.type.cpus,
				free: machine.freeResources,
				tasks,
				m: machine,
			})
		}
		const may = (from: { m: Machine }, task: PackedTask, to: { m: Machine }) => {
			const { spec } = jobs.get(task)!
			const zoned = spec.samePlace || spec.apart
			return isAllowedOn(spec, to.m) && (!zoned || from.m.zone === to.m.zone)
		}
		for (const { m: machine } of choosePacking(all, Math.ceil(all.length / 16), may)) {
			machine.drainReason = 'packed'
			for (const attempt of machine.attempts.values())
				if (attempt.state === 'running' && attempt.job !== null)
					attempt.stopGracePeriodS = gracePeriodS(attempt.job.spec)
			this.state.ports.log('info', 'machine consolidating', {
				machine: machine.id,
				freeCpus: machine.freeResources.cpus,
			})
		}
	}

	/** Work that stopping a task now would lose, in seconds. */
	private lostS(attempt: Attempt): number {
		const { checkpointS, saveS } = attempt.job!.spec
		if (checkpointS > 0) return saveS
		return attempt.startedAt === null ? 0 : (this.state.ports.now() - attempt.startedAt) / 1000
	}

	/** Stops what loses least on one of these machines, which then leaves the list; the CPUs that this frees. */
	private preemptFor(job: JobRun, entitled: boolean, machines: Machine[], saving: boolean): number {
		const spec = job.spec
		const most = entitled ? Number.POSITIVE_INFINITY : this.state.estimatedRunS(spec)
		let best: { at: number; victims: (Victim & { a: Attempt })[]; lost: number } | null = null
		for (const [at, machine] of machines.entries()) {
			if (!isAllowedOn(spec, machine) || !isZoneAllowed(spec, machine.zone, job.taskCountByZone)) continue
			const running: (Victim & { a: Attempt })[] = []
			for (const attempt of machine.attempts.values()) {
				if (attempt.state !== 'running' || attempt.job === null || attempt.stopGracePeriodS !== null) continue
				const lostS = this.lostS(attempt)
				if (saving ? attempt.job.spec.checkpointS > 0 : lostS <= most)
					running.push({
						key: attempt.key,
						priority: attempt.job.spec.priority,
						lostS,
						...attempt.resources,
						a: attempt,
					})
			}
			const victims = chooseVictims(spec, machine.freeResources, running, entitled, (t) =>
				this.state.exceedsGuarantee(t),
			)
			if (victims === null || victims.length === 0) continue
			const lost = victims.reduce((n, v) => n + v.lostS * v.cpus, 0)
			if (best === null || lost < best.lost) best = { at, victims, lost }
			if (saving) break
		}
		if (best === null) return 0
		machines.splice(best.at, 1)
		for (const { a: attempt } of best.victims) {
			attempt.stopGracePeriodS = gracePeriodS(attempt.job!.spec)
			this.state.ports.log('info', 'tasks preempted', {
				task: attempt.taskName,
				machine: attempt.machine.id,
				for: spec.uid,
			})
		}
		return best.victims.reduce((n, v) => n + v.cpus, 0)
	}
}
