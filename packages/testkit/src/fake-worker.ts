/** Fake of a machine's agent: implements the protocol's heartbeats, commands, tasks and agent lease. */
import { isMap, type MachineType } from '@heathroad/wire'
import type { Clock } from './clock.js'
import { type FakeResponse, ok } from './fake-response.js'
import type { InvariantChecker } from './invariant-checker.js'

/** Interval at which the agent checks its lease and whether a heartbeat is due, in ms. */
const LOOP_MS = 100
/** Minimum interval between heartbeats when a task has changed, in ms. */
const CHANGE_HEARTBEAT_MS = 500
/** Timeout of a heartbeat's response, in ms. */
const RESPONSE_TIMEOUT_MS = 4000
/** Delay until the next heartbeat after one that failed, in ms. */
const RETRY_MS = 1000

type WireMessage = Record<string, unknown>

/** A task on the machine; status and cause have the values of the wire format. */
interface WorkerTask {
	task: string
	attempt: number | bigint
	status: 'pulling' | 'running' | 'ended'
	cause: string | null
	timer: { cancelled: boolean } | null
}

/** How a task runs and what it requires of the machine. */
export interface FakeTaskProfile {
	runMs: number
	/** time to fetch the image, in ms */
	fetchMs: number
	cpus: number
	/** whether it fails on every machine */
	fails: boolean
}

/** The parts of the simulation that a fake agent uses. */
export interface FakeWorkerDependencies {
	clock: Clock
	invariants: InvariantChecker
	/** interval between heartbeats */
	heartbeatIntervalMs: number
	/** duration of the agent lease */
	leaseMs: number
	/** names of all controllers */
	controllers: readonly string[]
	/** profile of a task; null if the job is unknown */
	task(task: string): FakeTaskProfile | null
	/** sends a request to a controller; `reply` receives null if there is no response */
	send(
		machine: string,
		controller: string,
		path: string,
		body: unknown,
		reply: (response: FakeResponse | null) => void,
	): void
}

/** The agent of one machine. */
export class FakeWorker {
	/** agent epoch; incremented when the agent lease expires */
	agentEpoch = 1
	stopped = false
	/** whether every task on the machine fails */
	faulty = false
	/** heartbeat sequence: number of the latest status message */
	private sequence = 0
	private fencingToken: number | bigint = 0
	/** tasks by `task#attempt` */
	private readonly tasks = new Map<string, WorkerTask>()
	private readonly completedTasks = new Set<string>()
	private leaseStartMs: number
	/** index of the controller to which the next heartbeat is sent */
	private target = 0
	private awaitingResponse = false
	private lastSentMs = Number.NEGATIVE_INFINITY
	private changedSinceHeartbeat = false
	/** when the cloud preempts the machine; null if it has given no preemption notice */
	private preemptedAtMs: number | null = null
	/** the machine hangs until then; messages that arrive meanwhile wait */
	private hungUntilMs = 0

	constructor(
		private readonly dependencies: FakeWorkerDependencies,
		readonly id: string,
		readonly type: MachineType,
		readonly zone: string,
		readonly spot: boolean,
	) {
		this.leaseStartMs = dependencies.clock.nowMs
		this.target = Math.floor(dependencies.clock.random() * dependencies.controllers.length)
		this.loop()
	}

	/** Whether the machine hangs. */
	get hung(): boolean {
		return this.dependencies.clock.nowMs < this.hungUntilMs
	}

	/** Names of the running tasks. */
	*runningTasks(): Iterable<string> {
		for (const { task, status } of this.tasks.values()) if (status === 'running') yield task
	}

	/** Whether the cloud has given a preemption notice for the machine. */
	get preemptionAnnounced(): boolean {
		return this.preemptedAtMs !== null
	}

	/**
	 * Makes the machine hang. Afterwards its heartbeats and the messages that arrived are processed, and its tasks resume
	 * if its lease is still valid. The protocol lets a hung machine resume at any time within its lease; tasks that are
	 * left when the lease ends are removed.
	 */
	hang(forMs: number): void {
		this.hungUntilMs = Math.max(this.hungUntilMs, this.dependencies.clock.nowMs + forMs)
	}

	/** Stops the machine and all its tasks for good. */
	stop(): void {
		this.stopped = true
		for (const task of this.tasks.values()) this.removeFromMachine(task)
	}

	/** The cloud gives a preemption notice, and stops the machine after `inMs`. */
	announcePreemption(inMs: number): void {
		this.preemptedAtMs = this.dependencies.clock.nowMs + inMs
		this.changedSinceHeartbeat = true
		this.dependencies.clock.after(inMs, () => this.stop())
	}

	/** Handles a direct request once the machine no longer hangs; null if it has stopped by then. */
	call(path: string, body: unknown): Promise<FakeResponse | null> {
		return new Promise((done) => this.whenNotHung(() => done(this.stopped ? null : this.handle(path, body))))
	}

	/** Handles a direct request at once. */
	handle(path: string, body: unknown): FakeResponse {
		if (path !== '/commands' || !isMap(body) || body.fence === undefined || body.tenure === undefined)
			return { status: path === '/inspect' ? 200 : 400, body: this.status() }
		const token = Number(body.fence)
		if (token < Number(this.fencingToken) || body.tenure !== this.agentEpoch)
			return { status: 409, body: this.status() }
		if (token > Number(this.fencingToken)) this.changedSinceHeartbeat = true
		this.fencingToken = token
		for (const command of body.orders as WireMessage[]) this.execute(command)
		return ok(this.status())
	}

	/** Runs `action` once the machine no longer hangs, after ending a lease that expired meanwhile. */
	private whenNotHung(action: () => void): void {
		if (!this.hung) {
			action()
			return
		}
		this.dependencies.clock.after(this.hungUntilMs - this.dependencies.clock.nowMs, () =>
			this.whenNotHung(() => {
				this.checkLease()
				action()
			}),
		)
	}

	private checkLease(): void {
		const { nowMs } = this.dependencies.clock
		if (this.stopped || nowMs - this.leaseStartMs <= this.dependencies.leaseMs) return
		for (const task of this.tasks.values()) this.removeFromMachine(task)
		this.tasks.clear()
		this.agentEpoch++
		this.leaseStartMs = nowMs
	}

	private loop(): void {
		if (this.stopped) return
		this.checkLease()
		if (!this.hung && this.isHeartbeatDue()) this.sendHeartbeat()
		this.dependencies.clock.after(LOOP_MS, () => this.loop())
	}

	private isHeartbeatDue(): boolean {
		if (this.awaitingResponse) return false
		const sinceMs = this.dependencies.clock.nowMs - this.lastSentMs
		return (
			sinceMs >= this.dependencies.heartbeatIntervalMs ||
			(this.changedSinceHeartbeat && sinceMs >= CHANGE_HEARTBEAT_MS)
		)
	}

	/** The machine's status message. */
	private status(): WireMessage {
		const { nowMs } = this.dependencies.clock
		return {
			host: this.id,
			addr: `${this.id}:1`,
			flavour: this.type.name,
			site: this.zone,
			reclaimable: this.spot,
			tenure: this.agentEpoch,
			counter: ++this.sequence,
			fence: this.fencingToken,
			warningS: this.preemptedAtMs === null ? null : Math.max(0, this.preemptedAtMs - nowMs) / 1000,
			pieces: [...this.tasks.values()].map(({ task, attempt, status, cause }) => ({
				piece: task,
				try: attempt,
				status,
				cause,
			})),
		}
	}

	private sendHeartbeat(): void {
		const { clock, controllers } = this.dependencies
		this.awaitingResponse = true
		this.changedSinceHeartbeat = false
		this.lastSentMs = clock.nowMs
		const heartbeat = { sentMs: clock.nowMs, agentEpoch: this.agentEpoch }
		let finished = false
		const finish = (response: FakeResponse | null) => {
			if (finished || this.stopped) return
			finished = true
			this.awaitingResponse = false
			this.handleResponse(heartbeat, response)
		}
		const reply = (response: FakeResponse | null) =>
			this.whenNotHung(() => finish(clock.nowMs - heartbeat.sentMs > RESPONSE_TIMEOUT_MS ? null : response))
		this.dependencies.send(this.id, controllers[this.target], '/checkin', this.status(), reply)
		clock.after(RESPONSE_TIMEOUT_MS, () => this.whenNotHung(() => finish(null)))
	}

	/** Renews the lease as of the heartbeat's send time and executes the commands, unless the response is stale. */
	private handleResponse(
		heartbeat: { sentMs: number; agentEpoch: number },
		response: FakeResponse | null,
	): void {
		if (response?.status !== 200 || !isMap(response.body)) {
			const redirected = response?.status === 421 && isMap(response.body) ? response.body.overseer : null
			this.retryAt((redirected as string | undefined) ?? null)
			return
		}
		const token = Number(response.body.fence)
		if (heartbeat.agentEpoch !== this.agentEpoch || token < Number(this.fencingToken)) return
		if (token > Number(this.fencingToken)) this.changedSinceHeartbeat = true
		this.fencingToken = token
		this.leaseStartMs = heartbeat.sentMs
		for (const command of response.body.orders as WireMessage[]) this.execute(command)
	}

	/** Sends the next heartbeat to this controller, or to the one after the current target if null or unknown. */
	private retryAt(controller: string | null): void {
		const { clock, controllers, heartbeatIntervalMs } = this.dependencies
		const index = controller === null ? -1 : controllers.indexOf(controller)
		this.target = index >= 0 ? index : (this.target + 1) % controllers.length
		this.lastSentMs = clock.nowMs + RETRY_MS - heartbeatIntervalMs
	}

	private execute(command: WireMessage): void {
		const key = `${command.piece}#${command.try}`
		const task = this.tasks.get(key)
		if (command.verb === 'forget') {
			if (task?.status === 'ended') this.tasks.delete(key)
		} else if (command.verb === 'kill') {
			if (task !== undefined && task.status !== 'ended') this.exit(task, 'halted')
		} else if (command.verb === 'start' && task === undefined)
			this.start(key, String(command.piece), command.try as number)
	}

	private start(key: string, name: string, attempt: number | bigint): void {
		const profile = this.dependencies.task(name)
		const task: WorkerTask = { task: name, attempt, status: 'pulling', cause: null, timer: null }
		this.changedSinceHeartbeat = true
		const active = [...this.tasks.values()].filter((other) => other.status !== 'ended')
		const usedCpus = active.reduce((cpus, other) => cpus + (this.dependencies.task(other.task)?.cpus ?? 0), 0)
		this.tasks.set(key, task)
		if (profile === null) {
			this.reject(task, 'no_such')
			return
		}
		if (active.some((other) => other.task === name)) {
			this.reject(task, 'in_use')
			return
		}
		if (usedCpus + profile.cpus > this.type.cpus) {
			this.reject(task, 'no_room')
			return
		}
		this.afterUnlessCancelled(task, profile.fetchMs, () => this.run(task, profile))
	}

	private run(task: WorkerTask, profile: FakeTaskProfile): void {
		const { invariants } = this.dependencies
		const name = task.task
		task.status = 'running'
		this.changedSinceHeartbeat = true
		invariants.taskPlaced(name, this.id, this.type.name, this.zone, this.spot)
		// A further attempt of a task that has completed on this machine ends at once.
		this.afterUnlessCancelled(task, this.completedTasks.has(name) ? 0 : profile.runMs, () => {
			if (this.faulty || profile.fails) return this.exit(task, 'error')
			this.completedTasks.add(name)
			invariants.taskCompleted(name)
			this.exit(task, 'done')
		})
	}

	/** Runs a task's next step after `delayMs`, unless its timer is cancelled by then, even while the machine hangs. */
	private afterUnlessCancelled(task: WorkerTask, delayMs: number, step: () => void): void {
		const timer = this.dependencies.clock.after(delayMs, () =>
			this.whenNotHung(() => {
				if (!timer.cancelled) step()
			}),
		)
		task.timer = timer
	}

	private reject(task: WorkerTask, cause: string): void {
		task.status = 'ended'
		task.cause = cause
	}

	private exit(task: WorkerTask, cause: string): void {
		this.removeFromMachine(task)
		task.status = 'ended'
		task.cause = cause
		this.changedSinceHeartbeat = true
	}

	private removeFromMachine(task: WorkerTask): void {
		if (task.timer !== null) task.timer.cancelled = true
		this.dependencies.invariants.taskRemoved(task.task, this.id)
	}
}
