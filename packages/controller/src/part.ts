import {
	decodeMachineGroup,
	encodeMachineGroup,
	type JobRecord,
	type MachineGroupRecord,
	machineGroupKey,
	progressChunkKey,
	TASKS_PER_CHUNK,
} from '@heathroad/cluster'
import type { Config } from '@heathroad/config'
import {
	BudgetLedger,
	defaultBudget,
	offerCost,
	offerKey,
	RangeSet,
	reconcilePatienceMs,
} from '@heathroad/policy'
import { KEY_PREFIX, WritePriority } from '@heathroad/store'
import {
	type Command,
	type Heartbeat,
	type JobSpec,
	MAX_COMMANDS_PER_RESPONSE,
	type ReportedTask,
	type WireInteger,
} from '@heathroad/wire'
import { AdmissionGate } from './admission-gate.js'
import { CrashLoopDetector } from './faults.js'
import { JobMigrator } from './job-migrator.js'
import { MachineGroupWriter } from './machine-group-writer.js'
import { type Attempt, gracePeriodS, JobRun, type Machine, type ShardPorts } from './model.js'
import { ProgressWriter } from './progress.js'
import { ScaleOut } from './scale-out.js'
import { Scheduler } from './scheduler.js'
import { FailureDetector } from './silence.js'
import { ShardState } from './state.js'

/** The most machines that one call to the cloud may release (protocol). */
const PER_RELEASE = 100

interface Answer {
	token: number
	orders: Command[]
}

const newer = (t: WireInteger, c: WireInteger, machine: Machine): boolean =>
	t > machine.agentEpoch || (t >= machine.agentEpoch && c > machine.heartbeatSequence)

/**
 * The state machine of one part: its jobs, its machines and what may be where. It lives from the transaction
 * that took the part until the part is lost; nothing in it survives that, a successor rebuilds from the records
 * and from the machines' reports. All methods run to completion without waiting, so they need no locks.
 *
 * Here are reports, rebuilding and the regular look; `Planner`, `Renter`, `Fleet`, `Faults` and
 * `Progress` hold the rest.
 */
export class Shard {
	private readonly state: ShardState
	private readonly fleet: MachineGroupWriter
	private readonly renter: ScaleOut
	private readonly planner: Scheduler
	private readonly progress: ProgressWriter
	private readonly faults: CrashLoopDetector
	private readonly moves: JobMigrator
	private readonly gate: AdmissionGate
	private readonly silence: FailureDetector
	/** machines that may hold tasks of a former owner's and have not reported under our token yet */
	private readonly unconfirmed = new Set<string>()
	/** first reports that wait for their answer, by machine */
	private readonly held = new Map<string, (answer: Answer | null) => void>()
	private claims = 0
	private probes = 0
	private readonly takenAt: number
	private lastRentLook = 0

	constructor(
		readonly shardId: number,
		readonly fencingToken: number,
		private readonly config: Config,
		private readonly ports: ShardPorts,
	) {
		this.state = new ShardState(shardId, fencingToken, config, ports)
		this.fleet = new MachineGroupWriter(this.state)
		this.renter = new ScaleOut(this.state, this.fleet)
		this.planner = new Scheduler(this.state, this.renter)
		this.progress = new ProgressWriter(this.state)
		this.faults = new CrashLoopDetector(this.state)
		this.moves = new JobMigrator(this.state)
		this.gate = new AdmissionGate(this.state, (uid) => this.letIn(uid))
		this.silence = new FailureDetector(this.state)
		this.takenAt = ports.now()
		const intents: [string, MachineGroupRecord][] = []
		for (const [key, e] of ports.withPrefix('fleet/')) {
			const record = decodeMachineGroup(e.data)
			if (record?.shardId !== shardId) continue
			const name = key.slice('fleet/'.length)
			// The former owner may never have seen the answer.
			if (record.requestedCount > 0) intents.push([name, record])
			for (const id of Object.keys(record.addresses)) this.state.addMachine(id, name, record)
		}
		for (const machine of this.machines.values())
			if (machine.addressRecorded) this.unconfirmed.add(machine.id)
		this.state.reconciled = this.unconfirmed.size === 0
		for (const uid of ports.openJobs()) this.onJobChanged(uid, ports.job(uid)!.record, this.state.reconciled)
		for (const [name, record] of intents) this.renter.rentRecordedGroup(name, record)
		for (const id of this.unconfirmed) this.probe(this.machines.get(id)!)
		ports.log('info', 'shard reconciling', {
			part: shardId,
			token: fencingToken,
			jobs: this.jobs.size,
			machines: this.machines.size,
			unconfirmed: this.unconfirmed.size,
		})
	}

	get jobs(): ReadonlyMap<string, JobRun> {
		return this.state.jobs
	}

	get machines(): ReadonlyMap<string, Machine> {
		return this.state.machines
	}

	/** Is every machine that may hold tasks of a former owner's accounted for? */
	get isReconciled(): boolean {
		return this.state.reconciled
	}

	// ---- records ----

	/** The catalog came or changed: machines known only by their type's name get its figures. */
	onMachineTypesChanged(): void {
		for (const machine of this.machines.values()) {
			machine.type = this.state.machineTypeNamed(machine.type.name)
			this.state.recomputeFreeResources(machine)
		}
	}

	/** A fleet record changed: machines came, went, moved between parts or may be used from now on. */
	onMachineGroupChanged(name: string, data: unknown, before: unknown): void {
		if (this.state.stopped) return
		const record = decodeMachineGroup(data)
		const mine = record !== null && record.shardId === this.shardId
		const old = decodeMachineGroup(before)
		if (mine) this.renter.onGroupRecorded(name, record)
		if (mine)
			for (const [id, address] of Object.entries(record.addresses)) {
				const m = this.machines.get(id)
				if (m === undefined) this.state.addMachine(id, name, record)
				else if (!m.addressRecorded && address !== null) {
					m.addressRecorded = true
					this.plan([m])
					this.unhold(m)
				}
			}
		if (old === null || old.shardId !== this.shardId) return
		for (const id of Object.keys(old.addresses)) {
			const m = this.machines.get(id)
			if (m !== undefined && m.groupName === name && (!mine || record.addresses[id] === undefined))
				this.forgetMachine(m)
		}
	}

	/** A job's record changed: accepted, cancelled, moved to another part, or our own write seen again. */
	onJobChanged(uid: string, record: JobRecord, settled = true): void {
		const known = this.jobs.get(uid)
		if (record.shardId !== this.shardId) {
			this.gate.drop(uid)
			if (known !== undefined) this.jobLeft(known)
			return
		}
		if (record.finalState !== undefined) {
			this.gate.drop(uid)
			if (known !== undefined && !known.isTerminal) this.closeJob(known, record.finalState)
			return
		}
		if (known !== undefined || record.spec === undefined) return
		if (!this.ports.isPendingRelease(uid, record)) {
			this.gate.drop(uid)
			this.take(record.spec, record, settled)
		} else if (!this.gate.has(uid)) this.gate.hold(record.spec, record)
	}

	/** A job that was held may start, or is shown to have started. */
	private letIn(uid: string): void {
		const record = this.ports.job(uid)?.record
		if (record?.spec === undefined || record.shardId !== this.shardId || record.finalState !== undefined)
			return
		if (!this.jobs.has(uid)) this.take(record.spec, record, this.state.reconciled)
	}

	/** Jobs were released by their checks, for good. */
	onJobsReleased(uids: readonly string[]): void {
		if (!this.state.stopped) this.gate.onJobsReleased(uids)
	}

	/** Jobs that wait for their checks. */
	get pendingReleaseCount(): number {
		return this.gate.size
	}

	private take(spec: JobSpec, record: JobRecord, settled: boolean): void {
		const { uid } = spec
		const job = new JobRun(spec, record.acceptedAtMs ?? 0, this.makeLedger(spec), settled)
		job.doneTasks = new RangeSet(record.doneRanges ?? [])
		for (let c = 1; c * TASKS_PER_CHUNK < spec.tasks; c++) {
			const chunk = this.ports.entry(progressChunkKey(uid, c))?.data
			if (Array.isArray(chunk))
				for (let i = 0; i + 1 < chunk.length; i += 2)
					job.doneTasks.addRange(
						c * TASKS_PER_CHUNK + Number(chunk[i]),
						c * TASKS_PER_CHUNK + Number(chunk[i + 1]),
					)
		}
		job.durableDoneTasks = job.doneTasks.copy()
		job.lastWrittenAt = this.ports.now()
		job.arrivedAt = job.lastWrittenAt
		job.wasQuarantined = this.ports.wasQuarantined(uid)
		if (settled) {
			job.readyTasks = RangeSet.full(spec.tasks)
			job.readyTasks.deleteAll(job.doneTasks)
		}
		this.state.jobs.set(uid, job)
		this.state.queueDirty = true
		if (settled) this.plan(this.machines.values())
	}

	private makeLedger(spec: JobSpec): BudgetLedger {
		const options = this.renter.offers(spec, false).map((offer) => ({
			key: offerKey(offer),
			...offerCost(spec, spec.expectedS, offer, true, false),
			full: offerCost(spec, spec.expectedS, offer, false, false),
		}))
		const node = { uid: spec.uid, parents: [], tasks: spec.tasks, options }
		// The parallel cost has every task pay for the boot of a machine of its own, as in the paper.
		const cheapest = defaultBudget([node], 0)
		const parallel = defaultBudget([{ ...node, options: options.map((o) => ({ ...o, ...o.full })) }], 1)
		const budget = cheapest + this.config.tuning.budgetMix * Math.max(0, parallel - cheapest)
		return new BudgetLedger([node], budget)
	}

	private closeJob(job: JobRun, how: 'done' | 'aborted'): void {
		job.isTerminal = true
		job.readyTasks = new RangeSet()
		for (const attempt of [...job.placements.values()])
			if (attempt.state === 'planned') this.state.removeAttempt(attempt.machine, attempt)
		this.state.queueDirty = true
		this.ports.log('info', 'job terminal', { uid: job.spec.uid, how })
		if (how === 'aborted') this.killNow(job)
		if (job.placements.size === 0) this.state.jobs.delete(job.spec.uid)
	}

	/** It belongs to another part from now on, and nothing of it was anywhere here when that was decided. */
	private jobLeft(job: JobRun): void {
		for (const attempt of [...job.placements.values()])
			if (attempt.state === 'planned') this.state.removeAttempt(attempt.machine, attempt)
		for (const attempt of job.placements.values()) attempt.orphaned = true
		this.state.jobs.delete(job.spec.uid)
		this.state.queueDirty = true
	}

	/** Cancelled: tell the machines directly as well, their next reports may be a while off. */
	private killNow(job: JobRun): void {
		const holders = new Map<Machine, Command[]>()
		for (const attempt of job.placements.values()) {
			const commands = holders.get(attempt.machine) ?? []
			commands.push({ verb: 'kill', taskName: attempt.taskName, attempt: attempt.attempt, gracePeriodS: 0 })
			holders.set(attempt.machine, commands)
		}
		for (const [machine, commands] of holders)
			if (machine.address !== null && machine.reconciled)
				this.ports.sendCommands(
					machine.address,
					machine.fencingToken,
					machine.agentEpoch,
					commands.slice(0, MAX_COMMANDS_PER_RESPONSE),
					(status, report) => {
						if (status === 200 && report !== null) this.observe(machine, report, false)
					},
				)
	}

	private plan(machines: Iterable<Machine>): void {
		this.planner.placeTasks(machines)
	}

	// ---- reports ----

	/**
	 * A worker's report. Answers with the token and orders; null: we are not the one to answer it. Once this has
	 * answered, the worker's lease may run from now on.
	 */
	handleHeartbeat(heartbeat: Heartbeat, tell: (answer: Answer | null) => void): void {
		const m = this.machines.get(heartbeat.machineId)
		if (m === undefined || this.state.stopped || heartbeat.fencingToken > m.fencingToken) return tell(null)
		const now = this.ports.now()
		// An old report comes late when packets were held: its list is as old as itself, its answer is dropped.
		if (!newer(heartbeat.agentEpoch, heartbeat.sequence, m)) {
			m.lastHeartbeatAt = now
			return tell({ token: m.fencingToken, orders: [] })
		}
		this.observe(m, heartbeat, true)
		// It was heard now, whenever it is answered: one that waits for its first answer is not silent.
		m.lastHeartbeatAt = now
		m.address = heartbeat.address
		if (m.drainReason === 'silent' && !m.releasing) m.drainReason = null
		if (!m.booted) {
			m.booted = true
			this.state.bootTimes.observe(m.type, now - m.discoveredAt)
			this.ports.log('info', 'machine booted', {
				machine: m.id,
				type: m.type.name,
				zone: m.zone,
				spot: m.spot,
				afterMs: Math.round(now - m.discoveredAt),
			})
		}
		this.plan([m])
		if (m.addressRecorded || m.drainReason !== null) return this.answer(m, tell)
		this.fleet.recordAddress(m.groupName, m.id, heartbeat.address)
		this.hold(m, tell)
	}

	private answer(machine: Machine, tell: (answer: Answer | null) => void): void {
		machine.lastHeartbeatAt = this.ports.now()
		tell({ token: machine.fencingToken, orders: this.orders(machine) })
	}

	/**
	 * A machine's first report is answered when it may have start commands, that is when its address is durable: in a
	 * rush that takes a second, and answered at once it would be back only a whole report period later. Not longer than
	 * half of that, and well within the 4 s that a worker waits (protocol).
	 */
	private hold(machine: Machine, tell: (answer: Answer | null) => void): void {
		this.held.get(machine.id)?.(null)
		this.held.set(machine.id, tell)
		setTimeout(
			() => {
				if (this.held.get(machine.id) === tell) this.unhold(machine)
			},
			Math.min(this.config.limits.heartbeatMs / 2, 2000),
		)
	}

	private unhold(machine: Machine): void {
		const tell = this.held.get(machine.id)
		if (tell === undefined) return
		this.held.delete(machine.id)
		if (this.state.stopped || this.machines.get(machine.id) !== machine || this.ports.leadership() === 'none')
			tell(null)
		else this.answer(machine, tell)
	}

	/** Takes over what a report says. `settles`: it follows the response that may have carried starts. */
	private observe(machine: Machine, heartbeat: Heartbeat, settles: boolean): void {
		if (!newer(heartbeat.agentEpoch, heartbeat.sequence, machine)) return
		machine.agentEpoch = heartbeat.agentEpoch
		machine.heartbeatSequence = heartbeat.sequence
		const now = this.ports.now()
		if (heartbeat.preemptionNoticeS === null) machine.preemptionDeadline = null
		else if (machine.preemptionDeadline === null) {
			machine.preemptionDeadline = now + heartbeat.preemptionNoticeS * 1000
			machine.drainReason = 'spot notice'
			this.ports.log('info', 'preemption notice', {
				machine: machine.id,
				noticeS: heartbeat.preemptionNoticeS,
			})
		} else
			machine.preemptionDeadline = Math.min(
				machine.preemptionDeadline,
				now + heartbeat.preemptionNoticeS * 1000,
			)
		const listed = new Map(heartbeat.tasks.map((t) => [`${t.taskName}#${t.attempt}`, t]))
		// What is gone goes first: an attempt that followed it here would seem to be one too many (incident 26).
		for (const attempt of [...machine.attempts.values()]) {
			if (listed.has(attempt.key) || attempt.state === 'planned') continue
			// A direct command's answer may have overtaken the response that carries the start.
			if (attempt.state === 'sent' && !settles) continue
			if (attempt.state !== 'sent' && !attempt.accountedFor)
				this.ports.log('debug', 'task disappeared', {
					task: attempt.taskName,
					machine: machine.id,
					state: attempt.state,
				})
			this.state.removeAttempt(machine, attempt)
		}
		for (const [key, t] of listed) {
			const attempt = machine.attempts.get(key) ?? this.discover(machine, t, key)
			this.advance(machine, attempt, t, now)
		}
		if (!machine.reconciled && heartbeat.fencingToken >= machine.fencingToken) {
			machine.reconciled = true
			this.accounted(machine)
		}
		this.state.recomputeFreeResources(machine)
	}

	/** A reported attempt that we did not start: a former owner's, or one that must not be there. */
	private discover(machine: Machine, t: ReportedTask, key: string): Attempt {
		this.gate.onTaskSeen(t.uid)
		const job = this.jobs.get(t.uid) ?? null
		const record = job === null ? this.ports.job(t.uid)?.record : undefined
		// Planned elsewhere, but it is here: that is not to be.
		const other = job?.placements.get(t.taskIndex)
		if (other?.state === 'planned' && t.state !== 'ended') this.state.removeAttempt(other.machine, other)
		const useful =
			job !== null &&
			!job.isTerminal &&
			t.taskIndex < job.spec.tasks &&
			!job.doneTasks.has(t.taskIndex) &&
			!job.placements.has(t.taskIndex) &&
			(!job.isReconciled || job.readyTasks.has(t.taskIndex))
		const need = job?.spec ?? record?.resources ?? { cpus: 0, gpus: 0, ramGb: 0, team: '' }
		const attempt: Attempt = {
			key,
			taskName: t.taskName,
			uid: t.uid,
			machine: machine,
			taskIndex: t.taskIndex,
			attempt: t.attempt,
			job,
			state: t.state,
			exitReason: null,
			accountedFor: false,
			orphaned: !useful,
			stopGracePeriodS: null,
			startedAt: null,
			budgetShare: 0,
			resources: { cpus: need.cpus, gpus: need.gpus, ramGb: need.ramGb, team: need.team },
		}
		if (useful) {
			job.readyTasks.delete(t.taskIndex)
			attempt.budgetShare = job.budget.start(t.uid)
		}
		this.state.addAttempt(machine, attempt)
		return attempt
	}

	private advance(machine: Machine, attempt: Attempt, t: ReportedTask, now: number): void {
		if (attempt.startedAt === null && (t.state === 'running' || t.state === 'pulling'))
			attempt.startedAt = now
		if (t.state === 'running' && attempt.state !== 'running' && attempt.job !== null)
			this.state.recordCachedImage(machine, attempt.job.spec)
		attempt.state = t.state
		if (
			attempt.job?.spec.kind === 'daemon' &&
			t.state === 'running' &&
			now - attempt.startedAt! > this.config.limits.agentLeaseMs
		)
			attempt.job.outlivedLease = true
		if (t.state !== 'ended' || attempt.accountedFor) return
		attempt.exitReason = t.exitReason
		const job = attempt.job
		const spent = attempt.startedAt === null ? 0 : this.state.attemptCost(attempt)
		this.state.freeResourcesOf(machine, attempt)
		if (t.exitReason === 'done') {
			this.faults.onTaskSucceeded(machine)
			if (job !== null && t.taskIndex < job.spec.tasks) this.taskDone(job, attempt, spent, now)
			return
		}
		if (job === null || job.isTerminal) return
		if (t.exitReason === 'halted' && job.spec.checkpointS > 0 && attempt.startedAt !== null)
			job.checkpointedS.set(
				attempt.taskIndex,
				(job.checkpointedS.get(attempt.taskIndex) ?? 0) + (now - attempt.startedAt) / 1000,
			)
		if (t.exitReason === 'error') this.faults.onTaskFailed(machine, job, attempt, now)
		else if (t.exitReason === 'no_room' || t.exitReason === 'in_use') {
			// Our picture of the machine is wrong: leave it alone until its next reports have corrected it.
			machine.cordonedUntil = now + this.config.limits.heartbeatMs * 2
			this.ports.log('info', 'task start rejected', {
				task: attempt.taskName,
				machine: machine.id,
				cause: t.exitReason,
			})
		} else if (t.exitReason === 'no_such') {
			job.retryNotBefore = now + this.config.limits.heartbeatMs * 2
			this.ports.log('info', 'task start rejected', {
				task: attempt.taskName,
				machine: machine.id,
				cause: t.exitReason,
			})
		}
		if (!attempt.orphaned) job.budget.restart(attempt.uid, attempt.budgetShare, spent)
		this.state.requeueTask(attempt)
	}

	private taskDone(job: JobRun, attempt: Attempt, spent: number, now: number): void {
		if (job.isTerminal || job.spec.kind === 'daemon') {
			this.state.requeueTask(attempt)
			return
		}
		const first = !job.hasSucceeded
		if (!job.doneTasks.add(attempt.taskIndex)) return
		job.readyTasks.delete(attempt.taskIndex)
		if (first) this.faults.onJobSucceeded(job)
		job.budget.finish(attempt.budgetShare, spent)
		if (attempt.startedAt !== null)
			this.state.observeRunTime(
				job.spec,
				(now - attempt.startedAt) / 1000 + (job.checkpointedS.get(attempt.taskIndex) ?? 0),
			)
		job.checkpointedS.delete(attempt.taskIndex)
		// The same task may wait elsewhere only if it was planned; nothing else can be there.
		const other = job.placements.get(attempt.taskIndex)
		if (other !== undefined) {
			if (other.state === 'planned') this.state.removeAttempt(other.machine, other)
			else other.orphaned = true
		}
		if (job.doneTasks.size >= job.spec.tasks) this.progress.write(job)
	}

	private orders(machine: Machine): Command[] {
		const commands: Command[] = []
		for (const attempt of machine.attempts.values()) {
			if (attempt.state === 'ended') {
				if (this.mayForget(attempt))
					commands.push({ verb: 'forget', taskName: attempt.taskName, attempt: attempt.attempt })
			} else if (attempt.state !== 'planned' && attempt.state !== 'sent') {
				const over = attempt.orphaned || attempt.job === null || attempt.job.isTerminal
				if (over)
					commands.push({
						verb: 'kill',
						taskName: attempt.taskName,
						attempt: attempt.attempt,
						gracePeriodS: 0,
					})
				else if (attempt.stopGracePeriodS !== null && attempt.state !== 'flushing')
					commands.push({
						verb: 'kill',
						taskName: attempt.taskName,
						attempt: attempt.attempt,
						gracePeriodS: attempt.stopGracePeriodS,
					})
			}
		}
		if (!machine.reconciled || !machine.addressRecorded || this.ports.leadership() === 'none') return commands
		for (const attempt of machine.attempts.values()) {
			if (attempt.state !== 'planned') continue
			if (commands.length >= MAX_COMMANDS_PER_RESPONSE) break
			commands.push({ verb: 'start', taskName: attempt.taskName, attempt: attempt.attempt })
			attempt.state = 'sent'
		}
		return commands.slice(0, MAX_COMMANDS_PER_RESPONSE)
	}

	/** An outcome may be forgotten by its worker only when it is durable, or is no outcome. */
	private mayForget(attempt: Attempt): boolean {
		if (attempt.exitReason !== 'done') return true
		if (attempt.job !== null)
			return (
				attempt.job.spec.kind === 'daemon' ||
				attempt.job.isTerminal ||
				attempt.job.durableDoneTasks.has(attempt.taskIndex)
			)
		const record = this.ports.job(attempt.uid)?.record
		return record === undefined || record.finalState !== undefined
	}

	// ---- rebuilding after a takeover ----

	private probe(machine: Machine): void {
		// A connection each: a quarter of the sockets at a time, the regular look goes on with the others.
		if (machine.address === null || machine.probing || this.probes >= this.config.limits.maxSockets / 4)
			return
		machine.probing = true
		this.probes++
		this.ports.sendCommands(
			machine.address,
			machine.fencingToken,
			machine.agentEpoch > 0 ? machine.agentEpoch : 1,
			[],
			(status, report) => {
				machine.probing = false
				this.probes--
				if (
					report === null ||
					this.state.stopped ||
					machine.reconciled ||
					this.machines.get(machine.id) !== machine
				)
					return
				if (status === 200) this.observe(machine, report, false)
				// 409 tells the present session (or a newer owner's token): ask again with the right one.
				else if (
					status === 409 &&
					report.agentEpoch !== machine.agentEpoch &&
					report.fencingToken <= machine.fencingToken
				) {
					machine.agentEpoch = report.agentEpoch
					this.probe(machine)
				}
			},
		)
	}

	/** What this machine holds is known, or it holds nothing any more. */
	private accounted(machine: Machine): void {
		if (!this.unconfirmed.delete(machine.id) || this.unconfirmed.size > 0) return
		this.settle()
	}

	private settle(): void {
		this.state.reconciled = true
		for (const job of this.jobs.values()) {
			if (job.isReconciled) continue
			job.isReconciled = true
			if (job.isTerminal) continue
			job.readyTasks = RangeSet.full(job.spec.tasks)
			job.readyTasks.deleteAll(job.doneTasks)
			for (const task of job.placements.keys()) job.readyTasks.delete(task)
			for (const task of job.orphanCounts.keys()) job.readyTasks.delete(task)
		}
		this.state.queueDirty = true
		this.ports.log('info', 'shard reconciled', {
			part: this.shardId,
			afterMs: Math.round(this.ports.now() - this.takenAt),
		})
		this.plan(this.machines.values())
	}

	// ---- machines that come and go ----

	/**
	 * Unclaimed machines whose names fall to this part; one that has seen no token has had no commands. The caller
	 * has made sure that no rental can yet bring them under another record.
	 */
	adoptMachines(reports: readonly Heartbeat[], done: () => void): void {
		const fresh = reports.filter((heartbeat) => !this.machines.has(heartbeat.machineId))
		if (fresh.length === 0 || this.state.stopped) return done()
		const { machineType, zone, spot } = fresh[0]
		const hosts: Record<string, string | null> = {}
		for (const heartbeat of fresh) hosts[heartbeat.machineId] = heartbeat.address
		const group = { shardId: this.shardId, machineType, zone, spot, requestedCount: 0, addresses: hosts }
		const data = encodeMachineGroup(group)
		const name = `c${this.shardId}-${this.fencingToken}-${++this.claims}`
		const key = KEY_PREFIX + machineGroupKey(name)
		this.state.enqueueOwnedWrite(
			WritePriority.outcome,
			[{ key, modRevision: 0 }],
			[{ set: key, data }],
			(result) => {
				if (result.kind === 'ok' && !this.state.stopped) {
					this.ports.applyOwnWrite(machineGroupKey(name), data, result.revision)
					for (const heartbeat of fresh) {
						const m = this.machines.get(heartbeat.machineId)
						if (m !== undefined && heartbeat.fencingToken === 0) m.reconciled = true
					}
					this.ports.log('info', 'machines adopted', { machines: Object.keys(hosts), part: this.shardId })
				}
				done()
			},
		)
	}

	private forgetMachine(machine: Machine): void {
		this.held.get(machine.id)?.(null)
		this.held.delete(machine.id)
		for (const attempt of [...machine.attempts.values()]) this.state.removeAttempt(machine, attempt)
		this.state.machines.delete(machine.id)
		this.unconfirmed.delete(machine.id)
		if (!this.state.reconciled && this.unconfirmed.size === 0) this.settle()
	}

	private release(all: readonly Machine[]): void {
		const machines = all.slice(0, PER_RELEASE)
		for (const machine of machines) {
			machine.releasing = true
			machine.retryReleaseAt = Number.POSITIVE_INFINITY
		}
		this.ports.log('info', 'machines releasing', {
			machines: machines.map((machine) => `${machine.id} (${machine.drainReason})`),
		})
		this.ports.releaseMachines(
			machines.map((machine) => machine.id),
			(gone) => {
				if (this.state.stopped) return
				const left = machines.filter((machine) => this.machines.get(machine.id) === machine)
				// Once asked for, the release may be carried out late: the machine is never used again. In an outage of
				// the cloud the next try waits, so that the call rate is there for others when it ends.
				if (!gone) {
					for (const machine of left)
						machine.retryReleaseAt = this.ports.now() + this.config.limits.controllerLeaseMs * 0.5
					return
				}
				for (const machine of left) {
					this.forgetMachine(machine)
					this.fleet.removeMachine(machine.groupName, machine.id)
				}
				this.plan(this.machines.values())
			},
		)
	}

	// ---- time ----

	/** Regular look at everything that time alone changes. */
	tick(): void {
		if (this.state.stopped) return
		const now = this.ports.now()
		const limits = this.config.limits
		const leadership = this.ports.leadership()
		this.silence.tick(now, leadership)
		if (leadership === 'none') return
		const toRelease: Machine[] = []
		const holding = new Set<JobRun | null>()
		const waiting = this.state.hasWaitingJobs(now)
		for (const machine of this.machines.values()) {
			if (machine.releasing) {
				// While the cloud is down its release may take long: the lease frees its tasks all the same.
				if (machine.booted && now - machine.lastHeartbeatAt > limits.agentLeaseMs) this.leaseOver(machine)
				if (now >= machine.retryReleaseAt) toRelease.push(machine)
				continue
			}
			if (this.checkSilence(machine, now)) toRelease.push(machine)
			else if (!machine.booted) {
				// A few never come up; they cost money until they are deleted.
				if (
					now - machine.discoveredAt >
					Math.max(this.state.bootTimes.returnAfterMs(machine.type), limits.agentLeaseMs)
				) {
					machine.drainReason = 'never came up'
					toRelease.push(machine)
				}
			} else {
				const busy = this.runs(machine)
				if (busy) machine.idleSince = null
				else machine.idleSince ??= now
				if (machine.drainReason !== null) this.drain(machine, now)
				if (busy || !machine.reconciled || !this.state.reconciled) continue
				if (
					machine.drainReason === null &&
					now - machine.idleSince! > this.idleMs(machine) &&
					!(waiting && !machine.addressRecorded)
				)
					machine.drainReason = 'idle'
				// Its finished tasks' outcomes are kept by it alone until they are durable.
				const kept = this.undurable(machine)
				if (kept.size > 0) for (const job of kept) holding.add(job)
				else if (machine.drainReason !== null && machine.preemptionDeadline === null) toRelease.push(machine)
			}
		}
		const everyMs = Math.max(200, limits.heartbeatMs / 6)
		if (now - this.lastRentLook >= everyMs) {
			this.lastRentLook = now
			this.state.queueDirty = true
			this.plan(this.machines.values())
			this.planner.reserveMachines(now)
			this.planner.preemptTasks(now)
			this.planner.consolidate(now)
			this.renter.scaleOut(now, toRelease.length > 0)
			this.moves.tick(now, everyMs)
		}
		if (toRelease.length > 0 && leadership === 'lease' && this.renter.mayScaleIn()) this.release(toRelease)
		else
			for (const machine of toRelease)
				if (machine.drainReason === 'idle' && !machine.releasing) machine.drainReason = null
		this.progress.tick(now, holding)
		this.gate.tick(now)
		if (!this.state.reconciled) this.pressOn(now)
	}

	/** Half a boot's cost spent on waiting is enough to bet on work that may come. */
	private idleMs(machine: Machine): number {
		return Math.min(
			this.config.limits.heartbeatMs * this.config.tuning.idleHeartbeats,
			machine.type.bootS * 500,
		)
	}

	private runs(machine: Machine): boolean {
		for (const attempt of machine.attempts.values()) if (attempt.state !== 'ended') return true
		return false
	}

	/** Jobs with outcomes on this machine that are not durable yet; null stands for one that is not ours. */
	private undurable(machine: Machine): Set<JobRun | null> {
		const jobs = new Set<JobRun | null>()
		for (const attempt of machine.attempts.values())
			if (attempt.state === 'ended' && !this.mayForget(attempt)) jobs.add(attempt.job)
		return jobs
	}

	/**
	 * Until every machine that may hold tasks is accounted for, none of the old jobs goes on. A few that neither
	 * answer nor report are returned, which proves them empty sooner than their leases would, the sooner the fewer they
	 * are; if it is many, it is rather we who are cut off.
	 */
	private pressOn(now: number): void {
		const missing = [...this.unconfirmed].map((id) => this.machines.get(id)!)
		for (const machine of missing) this.probe(machine)
		const { heartbeatMs: reportMs, controllerLeaseMs: grantMs } = this.config.limits
		const patience = reconcilePatienceMs(missing.length, this.machines.size, Math.min(reportMs * 3, grantMs))
		if (patience === null || now - this.takenAt <= patience) return
		if (this.ports.leadership() !== 'lease' || this.ports.availableCloudCalls() < 1) return
		const blocking = missing.filter((machine) => !machine.releasing)
		if (blocking.length === 0) return
		for (const machine of blocking) machine.drainReason = 'unreachable after a takeover'
		this.release(blocking)
	}

	/** A machine whose lease must have ended runs nothing any more: its tasks may go elsewhere. True: return it now. */
	private checkSilence(machine: Machine, now: number): boolean {
		const limits = this.config.limits
		if (!machine.booted) return false
		if (now - machine.lastHeartbeatAt > limits.heartbeatMs * 3)
			for (const attempt of [...machine.attempts.values()])
				if (attempt.state === 'planned') this.state.removeAttempt(machine, attempt)
		if (now - machine.lastHeartbeatAt > limits.agentLeaseMs) this.leaseOver(machine)
		if (!this.silence.shouldReturn(machine, now)) return false
		machine.drainReason ??= 'silent'
		return true
	}

	private leaseOver(machine: Machine): void {
		for (const attempt of [...machine.attempts.values()])
			if (!(attempt.state === 'ended' && attempt.accountedFor)) {
				this.ports.log('info', 'agent lease expired', { task: attempt.taskName, machine: machine.id })
				this.state.removeAttempt(machine, attempt)
			}
		if (!machine.reconciled) {
			// Its next report will be of a new session; what it held under a former owner is gone.
			machine.reconciled = true
			this.accounted(machine)
		}
	}

	/** Stops what can save its progress in time; the rest may still finish. */
	private drain(machine: Machine, now: number): void {
		for (const attempt of machine.attempts.values()) {
			if (attempt.state === 'planned') {
				this.state.removeAttempt(machine, attempt)
				continue
			}
			const spec = attempt.job?.spec
			if (attempt.state !== 'running' || spec === undefined || attempt.stopGracePeriodS !== null) continue
			const left =
				machine.preemptionDeadline === null
					? Number.POSITIVE_INFINITY
					: (machine.preemptionDeadline - now) / 1000
			// A notice can turn out half as long as it said. What cannot save is stopped at the last moment all the
			// same: its task can then start elsewhere at once, not only when the dead machine's lease is over.
			const saveS = spec.checkpointS > 0 ? spec.saveS : 0
			if (left * 0.5 < saveS + (2 * this.config.limits.heartbeatMs) / 1000)
				attempt.stopGracePeriodS = gracePeriodS(spec)
		}
	}

	/**
	 * May the part change hands? Not while it is being rebuilt or a machine is silent: the next owner would have to
	 * wait for that machine before any old job goes on, while we know what it holds (incident 6).
	 */
	isQuiescent(): boolean {
		return this.state.reconciled && this.silence.missedHeartbeats(this.ports.now()) === 0
	}

	/** What a team's tasks use here. */
	teamUsage(team: string): { cpus: number; gpus: number } {
		return this.state.teamUsage(team)
	}

	/** Jobs of which some attempt may still be on a machine of ours; null: that is not known yet. */
	jobsOnMachines(): Set<string> | null {
		if (!this.state.reconciled || this.state.stopped) return null
		const uids = new Set<string>()
		for (const machine of this.machines.values())
			for (const attempt of machine.attempts.values()) uids.add(attempt.uid)
		return uids
	}

	/** See `Silence.unheard`. */
	unreachableMachines(): number {
		return this.silence.unreachableMachines()
	}

	/** See `Silence.stranded`. */
	isPartitioned(): boolean {
		return this.silence.isPartitioned(this.unconfirmed)
	}

	/** Jobs cancelled while we were cut off from the state, told by a member that was not. */
	applyCancellation(uid: string): void {
		this.gate.drop(uid)
		const job = this.jobs.get(uid)
		if (job !== undefined && !job.isTerminal) this.closeJob(job, 'aborted')
	}

	stop(): void {
		this.state.stopped = true
		for (const tell of this.held.values()) tell(null)
		this.held.clear()
	}
}
