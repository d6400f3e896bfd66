/** Fake of a machine's agent: heartbeats, commands, tasks and the agent lease, as the protocol describes them. */
import { isMap, type MachineType } from '@heathroad/wire'
import type { Clock } from './clock.js'
import { type FakeResponse, ok } from './fake-response.js'
import type { InvariantChecker } from './invariant-checker.js'

/** How often the agent checks its lease and whether a heartbeat is due, in ms. */
const LOOP_MS = 100
/** Shortest interval of heartbeats after a change of a task, in ms. */
const CHANGE_HEARTBEAT_MS = 500
/** Heartbeats without a response are given up after that time, in ms. */
const RESPONSE_TIMEOUT_MS = 4000
/** After a heartbeat that failed the next one follows after that time, in ms. */
const RETRY_MS = 1000

type WireMessage = Record<string, unknown>

/** A task on the machine, with the words of the wire for its status and cause. */
interface WorkerTask {
	task: string
	attempt: number | bigint
	status: 'pulling' | 'running' | 'ended'
	cause: string | null
	timer: { gone: boolean } | null
}

/** What a task needs of the machine. */
export interface FakeTaskProfile {
	runMs: number
	/** time to fetch the image */
	fetchMs: number
	cpus: number
	/** does it fail wherever it runs? */
	fails: boolean
}

/** What a fake agent needs of the simulation. */
export interface FakeWorkerPorts {
	clock: Clock
	invariants: InvariantChecker
	/** interval of heartbeats */
	reportMs: number
	/** duration of the agent lease */
	leaseMs: number
	/** names of all controllers */
	controllers: readonly string[]
	/** profile of a task; null: the job is not known */
	task(task: string): FakeTaskProfile | null
	/** sends a request to a controller; null as response: there is none */
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
	tenure = 1
	dead = false
	/** every task on it fails */
	faulty = false
	/** number of the latest heartbeat or response */
	private sequence = 0
	private fencingToken: number | bigint = 0
	/** by `task#attempt` */
	private readonly tasks = new Map<string, WorkerTask>()
	private readonly completedTasks = new Set<string>()
	private leaseFromMs: number
	/** index of the controller that gets the next heartbeat */
	private target = 0
	private awaitingResponse = false
	private lastSentMs = Number.NEGATIVE_INFINITY
	private changedSinceHeartbeat = false
	/** when the cloud takes the machine; null: it has not announced that */
	private preemptedAtMs: number | null = null
	/** the machine hangs until then: what arrives waits */
	private hungUntilMs = 0

	constructor(
		private readonly ports: FakeWorkerPorts,
		readonly id: string,
		readonly type: MachineType,
		readonly zone: string,
		readonly spot: boolean,
	) {
		this.leaseFromMs = ports.clock.nowMs
		this.target = Math.floor(ports.clock.random() * ports.controllers.length)
		this.loop()
	}

	/** Does the machine hang? */
	get hung(): boolean {
		return this.ports.clock.nowMs < this.hungUntilMs
	}

	/** Names of its running tasks. */
	*runningTasks(): Iterable<string> {
		for (const { task, status } of this.tasks.values()) if (status === 'running') yield task
	}

	/** Has the cloud announced that it takes the machine? */
	get noticed(): boolean {
		return this.preemptedAtMs !== null
	}

	/**
	 * The machine hangs. Its tasks, its heartbeats and what reaches it continue afterwards, its tasks only within its
	 * lease: the protocol lets a hung machine continue at any time within that, and what is left by then is gone.
	 */
	hang(forMs: number): void {
		this.hungUntilMs = Math.max(this.hungUntilMs, this.ports.clock.nowMs + forMs)
	}

	/** The machine dies with all its tasks. */
	die(): void {
		this.dead = true
		for (const task of this.tasks.values()) this.removeFromMachine(task)
	}

	/** The cloud announces that it takes the machine, and does so after `inMs`. */
	notice(inMs: number): void {
		this.preemptedAtMs = this.ports.clock.nowMs + inMs
		this.changedSinceHeartbeat = true
		this.ports.clock.after(inMs, () => this.die())
	}

	/** A direct request to the agent, answered once the machine does not hang; null: it is dead by then. */
	call(path: string, body: unknown): Promise<FakeResponse | null> {
		return new Promise((done) => this.whenNotHung(() => done(this.dead ? null : this.handle(path, body))))
	}

	/** Handles a direct request at once. */
	handle(path: string, body: unknown): FakeResponse {
		if (path !== '/commands' || !isMap(body) || body.fence === undefined || body.tenure === undefined)
			return { status: path === '/inspect' ? 200 : 400, body: this.status() }
		const token = Number(body.fence)
		if (token < Number(this.fencingToken) || body.tenure !== this.tenure)
			return { status: 409, body: this.status() }
		if (token > Number(this.fencingToken)) this.changedSinceHeartbeat = true
		this.fencingToken = token
		for (const command of body.orders as WireMessage[]) this.execute(command)
		return ok(this.status())
	}

	/** Runs `action` once the machine does not hang; a lease that expired meanwhile ends first. */
	private whenNotHung(action: () => void): void {
		if (!this.hung) {
			action()
			return
		}
		this.ports.clock.after(this.hungUntilMs - this.ports.clock.nowMs, () =>
			this.whenNotHung(() => {
				this.checkLease()
				action()
			}),
		)
	}

	private checkLease(): void {
		const { nowMs } = this.ports.clock
		if (this.dead || nowMs - this.leaseFromMs <= this.ports.leaseMs) return
		for (const task of this.tasks.values()) this.removeFromMachine(task)
		this.tasks.clear()
		this.tenure++
		this.leaseFromMs = nowMs
	}

	private loop(): void {
		if (this.dead) return
		this.checkLease()
		if (!this.hung && this.isHeartbeatDue()) this.sendHeartbeat()
		this.ports.clock.after(LOOP_MS, () => this.loop())
	}

	private isHeartbeatDue(): boolean {
		if (this.awaitingResponse) return false
		const sinceMs = this.ports.clock.nowMs - this.lastSentMs
		return sinceMs >= this.ports.reportMs || (this.changedSinceHeartbeat && sinceMs >= CHANGE_HEARTBEAT_MS)
	}

	/** The machine's status message. */
	private status(): WireMessage {
		const { nowMs } = this.ports.clock
		return {
			host: this.id,
			addr: `${this.id}:1`,
			flavour: this.type.name,
			site: this.zone,
			reclaimable: this.spot,
			tenure: this.tenure,
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
		const { clock, controllers } = this.ports
		this.awaitingResponse = true
		this.changedSinceHeartbeat = false
		this.lastSentMs = clock.nowMs
		const heartbeat = { sentMs: clock.nowMs, tenure: this.tenure }
		let finished = false
		const finish = (response: FakeResponse | null) => {
			if (finished || this.dead) return
			finished = true
			this.awaitingResponse = false
			this.handleResponse(heartbeat, response)
		}
		const reply = (response: FakeResponse | null) =>
			this.whenNotHung(() => finish(clock.nowMs - heartbeat.sentMs > RESPONSE_TIMEOUT_MS ? null : response))
		this.ports.send(this.id, controllers[this.target], '/checkin', this.status(), reply)
		clock.after(RESPONSE_TIMEOUT_MS, () => this.whenNotHung(() => finish(null)))
	}

	/** Renews the lease from when the heartbeat was sent and executes the commands, unless the response is stale. */
	private handleResponse(heartbeat: { sentMs: number; tenure: number }, response: FakeResponse | null): void {
		if (response?.status !== 200 || !isMap(response.body)) {
			const redirected = response?.status === 421 && isMap(response.body) ? response.body.overseer : null
			this.retryAt((redirected as string | undefined) ?? null)
			return
		}
		const token = Number(response.body.fence)
		if (heartbeat.tenure !== this.tenure || token < Number(this.fencingToken)) return
		if (token > Number(this.fencingToken)) this.changedSinceHeartbeat = true
		this.fencingToken = token
		this.leaseFromMs = heartbeat.sentMs
		for (const command of response.body.orders as WireMessage[]) this.execute(command)
	}

	/** The next heartbeat goes to this controller; to the one after the present target if it is null or unknown. */
	private retryAt(controller: string | null): void {
		const { clock, controllers, reportMs } = this.ports
		const index = controller === null ? -1 : controllers.indexOf(controller)
		this.target = index >= 0 ? index : (this.target + 1) % controllers.length
		this.lastSentMs = clock.nowMs + RETRY_MS - reportMs
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
		const profile = this.ports.task(name)
		const task: WorkerTask = { task: name, attempt, status: 'pulling', cause: null, timer: null }
		this.changedSinceHeartbeat = true
		const active = [...this.tasks.values()].filter((other) => other.status !== 'ended')
		const usedCpus = active.reduce((cpus, other) => cpus + (this.ports.task(other.task)?.cpus ?? 0), 0)
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
		this.afterUnlessGone(task, profile.fetchMs, () => this.run(task, profile))
	}

	private run(task: WorkerTask, profile: FakeTaskProfile): void {
		const { invariants } = this.ports
		const name = task.task
		task.status = 'running'
		this.changedSinceHeartbeat = true
		invariants.taskPlaced(name, this.id, this.type.name, this.zone, this.spot)
		// An attempt after the task has completed here ends at once.
		this.afterUnlessGone(task, this.completedTasks.has(name) ? 0 : profile.runMs, () => {
			if (this.faulty || profile.fails) return this.exit(task, 'error')
			this.completedTasks.add(name)
			invariants.taskCompleted(name)
			this.exit(task, 'done')
		})
	}

	/** Runs the next step of a task; a timer that was cancelled while the machine hung does nothing afterwards. */
	private afterUnlessGone(task: WorkerTask, delayMs: number, step: () => void): void {
		const timer = this.ports.clock.after(delayMs, () =>
			this.whenNotHung(() => {
				if (!timer.gone) step()
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
		if (task.timer !== null) task.timer.gone = true
		this.ports.invariants.taskGone(task.task, this.id)
	}
}
