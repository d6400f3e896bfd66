/** Coordinates the components of one shard on record changes, heartbeats and ticks. */
import {
	decodeMachineGroup,
	type JobRecord,
	type LeadershipStatus,
	type MachineGroupRecord,
} from '@heathroad/cluster'
import type { Config } from '@heathroad/config'
import type { Heartbeat } from '@heathroad/wire'
import { AdmissionGate } from './admission-gate.js'
import { AttemptTracker } from './attempt-tracker.js'
import { CrashLoopDetector } from './crash-loop-detector.js'
import { FailureDetector } from './failure-detector.js'
import { HeartbeatHandler, type RespondToHeartbeat } from './heartbeat-handler.js'
import { HeartbeatReconciler } from './heartbeat-reconciler.js'
import { InheritedBoots } from './inherited-boots.js'
import { JobLifecycle } from './job-lifecycle.js'
import { JobMigrator } from './job-migrator.js'
import type { JobRun } from './job-run.js'
import { MachineAdopter } from './machine-adopter.js'
import { MachineCommands } from './machine-commands.js'
import { MachineGroupWriter } from './machine-group-writer.js'
import { MachineMonitor } from './machine-monitor.js'
import { MachineRemover } from './machine-remover.js'
import type { Machine } from './model.js'
import { ProgressWriter } from './progress-writer.js'
import { ScaleOut } from './scale-out.js'
import { Scheduler } from './scheduler.js'
import type { ShardDependencies } from './shard-dependencies.js'
import { ShardState } from './state.js'
import { TakeoverReconciler } from './takeover-reconciler.js'

/** Planning rounds over all machines per heartbeat interval: waiting tasks are placed well before the next heartbeat. */
const PLANNING_ROUNDS_PER_HEARTBEAT = 6

/** Minimum time between planning rounds in ms: a round's CPU time is proportional to the shard's size. */
const MIN_PLANNING_INTERVAL_MS = 200

const MACHINE_GROUP_PREFIX = 'fleet/'

/**
 * One shard under one owner: its jobs, its machines and their scheduling. It exists from the transaction that acquired
 * the shard until the shard is lost. Its state is not preserved: the next owner rebuilds it from the records and the
 * machines' heartbeats. All methods are synchronous, so they need no locks.
 */
export class Shard {
	private readonly state: ShardState
	private readonly inheritedBoots: InheritedBoots
	private readonly scaleOut: ScaleOut
	private readonly scheduler: Scheduler
	private readonly progress: ProgressWriter
	private readonly jobMigrator: JobMigrator
	private readonly gate: AdmissionGate
	private readonly failureDetector: FailureDetector
	private readonly takeover: TakeoverReconciler
	private readonly heartbeatHandler: HeartbeatHandler
	private readonly jobLifecycle: JobLifecycle
	private readonly machineAdopter: MachineAdopter
	private readonly machineRemover: MachineRemover
	private readonly machineMonitor: MachineMonitor
	private lastPlanningAt = 0

	/**
	 * Rebuilds the shard from the records and starts to probe the machines that may hold tasks of a former owner.
	 * `fencingToken` is the mod revision of the transaction that acquired the shard.
	 */
	constructor(
		readonly shardId: number,
		readonly fencingToken: number,
		config: Config,
		private readonly dependencies: ShardDependencies,
	) {
		const state = new ShardState(shardId, fencingToken, config, dependencies)
		this.state = state
		const machineGroups = new MachineGroupWriter(state)
		this.inheritedBoots = new InheritedBoots(state)
		this.scaleOut = new ScaleOut(state, machineGroups, this.inheritedBoots)
		const scheduler = new Scheduler(state, this.scaleOut)
		this.scheduler = scheduler
		this.progress = new ProgressWriter(state)
		this.gate = new AdmissionGate(state, (uid) => this.jobLifecycle.onReleased(uid))
		this.failureDetector = new FailureDetector(state)
		this.jobMigrator = new JobMigrator(state, this.failureDetector)
		// Components that depend on each other are connected through callbacks; none is called before all of them exist.
		const reconcile = (machine: Machine, heartbeat: Heartbeat) =>
			reconciler.reconcile(machine, heartbeat, { followsResponse: false })
		this.takeover = new TakeoverReconciler(state, scheduler, {
			reconcile,
			release: (machines) => this.machineRemover.release(machines),
		})
		const attempts = new AttemptTracker(state, new CrashLoopDetector(state), this.progress)
		const reconciler = new HeartbeatReconciler(state, this.gate, attempts, this.takeover)
		const commands = new MachineCommands(state)
		this.heartbeatHandler = new HeartbeatHandler(state, { reconciler, commands, scheduler, machineGroups })
		this.jobLifecycle = new JobLifecycle(state, {
			gate: this.gate,
			scaleOut: this.scaleOut,
			scheduler,
			reconcile,
		})
		this.machineAdopter = new MachineAdopter(state)
		this.machineRemover = new MachineRemover(state, {
			heartbeats: this.heartbeatHandler,
			takeover: this.takeover,
			machineGroups,
			scheduler,
		})
		this.machineMonitor = new MachineMonitor(state, this.failureDetector, commands, this.takeover)
		this.rebuildFromRecords()
	}

	private rebuildFromRecords(): void {
		const openRentals = this.readMachineGroups()
		this.takeover.begin()
		for (const uid of this.dependencies.openJobs()) {
			const job = this.dependencies.job(uid)
			const mayBeOnMachines = !this.state.reconciled
			if (job !== undefined) this.jobLifecycle.onJobChanged(uid, job.record, { mayBeOnMachines })
		}
		for (const [name, record] of openRentals) this.scaleOut.resumeRental(name, record)
		this.takeover.probeUnconfirmed()
		this.dependencies.log('info', 'shard reconciling', {
			part: this.shardId,
			token: this.fencingToken,
			jobs: this.jobs.size,
			machines: this.machines.size,
			unconfirmed: this.takeover.unconfirmedMachines.size,
		})
	}

	/** Adds the recorded machines; returns the rentals whose result the former owner may not have received. */
	private readMachineGroups(): [name: string, record: MachineGroupRecord][] {
		const openRentals: [string, MachineGroupRecord][] = []
		for (const [key, entry] of this.dependencies.withPrefix(MACHINE_GROUP_PREFIX)) {
			const record = decodeMachineGroup(entry.data)
			if (record?.shardId !== this.shardId) continue
			const name = key.slice(MACHINE_GROUP_PREFIX.length)
			if (record.requestedCount > 0) openRentals.push([name, record])
			for (const id of Object.keys(record.addresses)) {
				const machine = this.state.addMachine(id, name, record, entry.arrivedAt)
				if (!machine.booted && entry.arrivedAt === undefined) this.inheritedBoots.add(machine)
			}
		}
		return openRentals
	}

	/** Jobs of this shard that may start or are running, by uid. */
	get jobs(): ReadonlyMap<string, JobRun> {
		return this.state.jobs
	}

	/** Machines of this shard, by id. */
	get machines(): ReadonlyMap<string, Machine> {
		return this.state.machines
	}

	/** Whether every machine that may hold tasks of a former owner is accounted for. */
	get isReconciled(): boolean {
		return this.state.reconciled
	}

	/** Applies a new catalog of machine types: machines known only by their type's name get its resources. */
	onMachineTypesChanged(): void {
		for (const machine of this.machines.values()) {
			machine.type = this.state.machineTypeNamed(machine.type.name)
			this.state.recomputeFreeResources(machine)
		}
	}

	/** Handles a changed machine group record: machines were added, removed, moved between shards or became usable. */
	onMachineGroupChanged(name: string, data: unknown, previousData: unknown): void {
		if (this.state.stopped) return
		const record = decodeMachineGroup(data)
		const belongsHere = record !== null && record.shardId === this.shardId
		const previous = decodeMachineGroup(previousData)
		if (belongsHere) {
			this.scaleOut.onGroupRecorded(name, record)
			this.addRecordedMachines(name, record)
		}
		if (previous === null || previous.shardId !== this.shardId) return
		if (!belongsHere) this.scaleOut.onGroupRemoved(name)
		for (const id of Object.keys(previous.addresses)) {
			const machine = this.machines.get(id)
			if (machine === undefined || machine.groupName !== name) continue
			if (!belongsHere || record.addresses[id] === undefined) this.machineRemover.remove(machine)
		}
	}

	private addRecordedMachines(groupName: string, record: MachineGroupRecord): void {
		for (const [id, address] of Object.entries(record.addresses)) {
			const machine = this.machines.get(id)
			if (machine === undefined) this.state.addMachine(id, groupName, record)
			else if (!machine.addressRecorded && address !== null) {
				machine.addressRecorded = true
				this.scheduler.placeTasks([machine])
				this.heartbeatHandler.sendDelayedResponse(machine)
			}
		}
	}

	/** Handles a changed job record: accepted, cancelled, moved to or from another shard, or written by this owner. */
	onJobChanged(uid: string, record: JobRecord): void {
		this.jobLifecycle.onJobChanged(uid, record, { mayBeOnMachines: false })
	}

	/** Handles durable releases of jobs by their admission checks. */
	onJobsReleased(uids: readonly string[]): void {
		if (!this.state.stopped) this.gate.onJobsReleased(uids)
	}

	/** Number of jobs waiting for their admission checks. */
	get pendingReleaseCount(): number {
		return this.gate.size
	}

	/**
	 * Handles a machine's heartbeat. Responds with the fencing token and commands, at once or within half a heartbeat
	 * interval; with null if this controller must not respond. The machine's agent lease may run from the response on.
	 */
	handleHeartbeat(heartbeat: Heartbeat, respond: RespondToHeartbeat): void {
		this.heartbeatHandler.handle(heartbeat, respond)
	}

	/**
	 * Adopts unregistered machines assigned to this shard; see `MachineAdopter.adopt`. The caller ensures that no open
	 * rental can still add them to another record.
	 */
	adoptMachines(heartbeats: readonly Heartbeat[], done: () => void): void {
		this.machineAdopter.adopt(heartbeats, done)
	}

	/** Periodic work: failure detection, planning, scale-in, progress writes, admission checks and reconciliation. */
	tick(): void {
		if (this.state.stopped) return
		const now = this.dependencies.now()
		const leadership = this.dependencies.leadership()
		this.failureDetector.tick(now, leadership)
		if (leadership === 'none') return
		const { toRelease, jobsToWrite } = this.machineMonitor.checkAll(now)
		this.planIfDue(now, toRelease.length > 0)
		this.scaleIn(toRelease, leadership)
		this.progress.tick(now, jobsToWrite)
		this.gate.tick(now)
		if (!this.state.reconciled) this.takeover.tick(now)
	}

	private planIfDue(now: number, hasMachinesToRelease: boolean): void {
		const intervalMs = Math.max(
			MIN_PLANNING_INTERVAL_MS,
			this.state.config.limits.heartbeatMs / PLANNING_ROUNDS_PER_HEARTBEAT,
		)
		if (now - this.lastPlanningAt < intervalMs) return
		this.lastPlanningAt = now
		this.state.queueDirty = true
		this.scheduler.placeTasks(this.machines.values())
		this.scheduler.reserveMachines(now)
		this.scheduler.preemptTasks(now)
		this.scheduler.consolidate(now)
		this.scaleOut.scaleOut(now, hasMachinesToRelease)
		this.jobMigrator.tick(now, intervalMs)
	}

	/** Releases machines; if that is not possible now, idle ones become schedulable again. */
	private scaleIn(machines: readonly Machine[], leadership: LeadershipStatus): void {
		if (machines.length > 0 && leadership === 'lease' && this.scaleOut.mayScaleIn()) {
			this.machineRemover.release(machines)
			return
		}
		for (const machine of machines)
			if (machine.drainReason === 'idle' && !machine.releasing) machine.drainReason = null
	}

	/**
	 * Returns whether the shard may be handed off. Not during reconciliation or while a machine misses heartbeats: the
	 * next owner would have to wait for that machine before any old job continues, but this one knows its tasks (incident 6).
	 */
	isQuiescent(): boolean {
		return this.state.reconciled && this.failureDetector.missedHeartbeats(this.dependencies.now()) === 0
	}

	/** Resources that a team's tasks use in this shard. */
	teamUsage(team: string): { cpus: number; gpus: number } {
		return this.state.teamUsage(team)
	}

	/** Jobs with attempts that may still be on a machine of this shard; null while this is unknown. */
	jobsOnMachines(): Set<string> | null {
		if (!this.state.reconciled || this.state.stopped) return null
		const uids = new Set<string>()
		for (const machine of this.machines.values())
			for (const attempt of machine.attempts.values()) uids.add(attempt.uid)
		return uids
	}

	/** See `FailureDetector.unreachableMachines`. */
	unreachableMachines(): number {
		return this.failureDetector.unreachableMachines()
	}

	/** See `FailureDetector.isPartitioned`. */
	isPartitioned(): boolean {
		return this.failureDetector.isPartitioned(this.takeover.unconfirmedMachines)
	}

	/** Applies a cancellation reported by a peer that can reach the state service while this controller cannot. */
	applyCancellation(uid: string): void {
		this.jobLifecycle.onCancelled(uid)
	}

	/** Stops the shard when it is lost or the controller stops: no further commands, writes or responses. */
	stop(): void {
		this.state.stopped = true
		this.heartbeatHandler.stop()
	}
}
