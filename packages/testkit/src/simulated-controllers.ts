/** The controllers of a simulated day: their settings, and how they boot, crash, drain and receive requests. */
import {
	DEFAULT_OPERATOR_SETTINGS,
	deriveLimits,
	type HistorySettings,
	parseSettings,
} from '@heathroad/config'
import { Drain } from '@heathroad/daemon'
import { Service } from '@heathroad/server'
import {
	decode,
	encode,
	type HttpClient,
	InvalidSubmission,
	type JobSpec,
	parseSubmission,
} from '@heathroad/wire'
import type { Clock } from './clock.js'
import { CLOUD_ADDRESS, STATE_ADDRESS } from './controller-http-client.js'
import type { FakeResponse } from './fake-response.js'
import type { InvariantChecker } from './invariant-checker.js'
import { type SimulatedDay, SMALL_HISTORY, STATE_LIMITS, type WorkerTimes, ZONES } from './simulated-day.js'
import type { TracedMessage } from './trace.js'

/** Message of the errors that the `internalError` fault raises in a controller. */
export const INJECTED_ERROR = 'injected by the simulation'
/** TCP ports of a controller: `service` for users and workers, `peer` for other controllers. */
const PORTS = { service: 8080, peer: 8081 }
/** Relative difference in rate between the clocks of controllers with successive indexes, on days with drift. */
const CLOCK_DRIFT = 0.0005
/** Calls per second that the cloud accepts, unless the day specifies it. */
const DEFAULT_CLOUD_RPS = 4

const address = (controller: number, port: number): string => `10.0.0.${controller + 1}:${port}`

/** The collaborators and callbacks of the simulated controllers. */
export interface SimulatedControllersDependencies {
	clock: Clock
	invariants: InvariantChecker
	times: WorkerTimes
	/** creates the HTTP client for the current incarnation of a controller */
	httpClient(controller: number): HttpClient
	/** called with every new incarnation, before it starts to run */
	onStarted(controller: number, node: Service): void
	/** called when an incarnation ends */
	onEnded(controller: number): void
	/** called when a user submits a job */
	onSubmitted(spec: JobSpec): void
	/** receives the controllers' log lines */
	log(line: string): void
	/** receives every message that a controller sends or receives; null: messages are not traced */
	tracer(): ((message: TracedMessage) => void) | null
}

/** All controllers, by index. */
export class SimulatedControllers {
	readonly names: readonly string[]
	/** the current incarnations; null: the controller is down */
	private readonly nodes: (Service | null)[]
	/** incremented whenever an incarnation begins or ends */
	private readonly incarnations: number[]

	constructor(
		count: number,
		private readonly day: SimulatedDay,
		private readonly dependencies: SimulatedControllersDependencies,
	) {
		this.names = Array.from({ length: count }, (_, index) => `ctl-${index}`)
		this.nodes = this.names.map(() => null)
		this.incarnations = this.names.map(() => 0)
	}

	/** Returns the controllers that are up. */
	running(): Service[] {
		return this.nodes.filter((node) => node !== null)
	}

	/** Returns the current incarnation of a controller; null: it is down. */
	get(controller: number): Service | null {
		return this.nodes[controller]
	}

	/** Returns the index of the controller with this peer address; -1: none. */
	peerAt(to: string): number {
		return this.names.findIndex((_, index) => address(index, PORTS.peer) === to)
	}

	/** Returns a check of whether the incarnation that is current now still runs. */
	aliveCheck(controller: number): () => boolean {
		const incarnation = this.incarnations[controller]
		return () => this.nodes[controller] !== null && this.incarnations[controller] === incarnation
	}

	/** Sends a request to a controller; resolves to null if it is down. `from` is used only in traces. */
	sendRequest(
		controller: number,
		method: string,
		path: string,
		body: unknown,
		from = 'user',
	): Promise<FakeResponse | null> {
		const node = this.nodes[controller]
		if (node === null) return Promise.resolve(null)
		const decodedBody = body === undefined ? undefined : decode(encode(body))
		const request = `${method} ${path}`
		this.trace(controller, { other: from, direction: 'in', kind: 'request', head: request, body })
		return new Promise((done) =>
			node.handleRequest({ method, path, body: decodedBody }, (response) => {
				const head = `${response.status} retry-after=${response.retryAfterS ?? 'none'} to ${request}`
				const answer = response.body ?? {}
				this.trace(controller, { other: from, direction: 'out', kind: 'answer', head, body: answer })
				done({ status: response.status, body: decode(encode(answer)) })
			}),
		)
	}

	/** Delivers a peer's request to a controller and returns the response; null: none. */
	answerPeer(from: number, to: number, path: string, body: unknown): FakeResponse | null {
		const other = this.names[from]
		this.trace(to, { other, direction: 'in', kind: 'request', head: path, body })
		const answer = this.nodes[to]?.membership.handlePeerRequest(path, body) ?? null
		if (answer === null) return null
		this.trace(to, { other, direction: 'out', kind: 'answer', head: `200 to ${path}`, body: answer })
		return { status: 200, body: answer }
	}

	/** Passes a message to the tracer, if there is one. */
	trace(controller: number, message: Omit<TracedMessage, 'atMs' | 'controller'>): void {
		this.dependencies.tracer()?.({
			...message,
			atMs: this.dependencies.clock.nowMs,
			controller: this.names[controller],
		})
	}

	/** Starts a new incarnation of a controller. */
	boot(controller: number): Service {
		const { clock } = this.dependencies
		const settings = this.settings(controller)
		const config = {
			settings: { ...settings, services: { cloud: CLOUD_ADDRESS, state: STATE_ADDRESS } },
			...DEFAULT_OPERATOR_SETTINGS,
			history: this.history(),
			limits: deriveLimits(settings),
		}
		this.incarnations[controller]++
		const clockRate = this.day.drift ? 1 + (controller - (this.names.length - 1) / 2) * CLOCK_DRIFT : 1
		const node = new Service(
			config,
			this.logger(controller),
			() => clock.nowMs * clockRate,
			this.dependencies.httpClient(controller),
		)
		this.nodes[controller] = node
		this.observeSubmissions(node)
		this.dependencies.onStarted(controller, node)
		// An incarnation that crashed before it began must not begin afterwards: nothing would ever stop it.
		const begin = () => {
			if (this.nodes[controller] === node) node.begin()
		}
		clock.after(0, begin, controller)
		return node
	}

	/** Crashes a controller, and boots it again after `restartS` seconds. */
	crash(controller: number, restartS: number): void {
		const node = this.nodes[controller]
		if (node !== null) this.dependencies.onEnded(controller)
		this.nodes[controller] = null
		this.incarnations[controller]++
		void node?.stop()
		this.dependencies.clock.after(restartS * 1000, () => this.boot(controller))
	}

	/** Drains a controller as an operator does, and boots it again `restartS` seconds after it has stopped. */
	drain(controller: number, restartS: number): void {
		const node = this.nodes[controller]
		if (node === null) return
		const isAlive = this.aliveCheck(controller)
		const drain = new Drain(node, node.config.daemon, node.log)
		const end = async () => {
			if (!isAlive()) return
			// As the daemon does: the controller has stopped acting when its lease is revoked.
			const stopped = node.stop()
			await node.revokeLease()
			await stopped
			if (!isAlive()) return
			this.dependencies.onEnded(controller)
			this.nodes[controller] = null
			this.incarnations[controller]++
			this.dependencies.clock.after(restartS * 1000, () => this.boot(controller))
		}
		this.dependencies.clock.after(0, () => void drain.begin().then(end), controller)
	}

	/** Stops all controllers in turn. */
	async end(): Promise<void> {
		for (const node of this.nodes) await node?.stop()
	}

	/** Stops all controllers without waiting for them. */
	stopAll(): void {
		for (const node of this.nodes) void node?.stop()
	}

	private history(): HistorySettings | null {
		return this.day.history === undefined ? SMALL_HISTORY : this.day.history
	}

	private settings(controller: number) {
		const { day } = this
		const { times } = this.dependencies
		const name = this.names[controller]
		return parseSettings({
			host_name: name,
			site: ZONES[0],
			bind: address(controller, PORTS.service),
			internal_addr: address(controller, PORTS.peer),
			members: this.names
				.map((host_name, index) => ({ host_name, site: ZONES[0], peer_addr: address(index, PORTS.peer) }))
				.filter((member) => member.host_name !== name),
			services: { cloud: '10.0.1.1:1', state: '10.0.1.2:1' },
			deployment: {
				zones: ZONES,
				teams: this.teams(),
				objectives: [...(day.waits ?? [])].map(([jobClass, withinS]) => ({
					kind: 'wait',
					class: jobClass,
					within_s: withinS,
				})),
				workers: { report_s: times.heartbeatIntervalS, lease_s: times.leaseS, cancel_s: times.cancelS },
				state: { ...STATE_LIMITS, value_kb: 8, txn_ops: 8 },
				cloud: { rps: day.cloudRps ?? DEFAULT_CLOUD_RPS, list_lag_s: 3 },
				resources: { cpu: 0.34, memory_mb: 146, fd_limit: 900 },
			},
		})
	}

	private teams() {
		const { guarantees, limits } = this.day
		return [...new Set(['core', ...(guarantees?.keys() ?? [])])].map((name) => ({
			name,
			cpus: guarantees?.get(name) ?? 0,
			gpus: 0,
			cpus_max: limits?.get(name) ?? 0,
			gpus_max: 0,
		}))
	}

	/** Records submissions and cancellations over HTTP and gRPC; workers look up the specs of their tasks. */
	private observeSubmissions(node: Service): void {
		const { invariants } = this.dependencies
		const handleRequest = node.handleRequest.bind(node)
		node.handleRequest = (call, respond) => {
			const spec = call.path === '/v2/runs' ? parseSubmission(call.body) : null
			if (spec !== null && !(spec instanceof InvalidSubmission)) {
				this.dependencies.onSubmitted(spec)
				invariants.jobSubmitted(spec)
			}
			const cancelled = /^\/v2\/runs\/([^/]+)\/withdraw$/.exec(call.path)
			if (cancelled !== null) invariants.cancelRequested(cancelled[1])
			handleRequest(call, respond)
		}
	}

	/** Forwards log lines except debug lines; reports an error that no fault injected as a violation. */
	private logger(controller: number) {
		const { clock, invariants } = this.dependencies
		return (level: string, event: string, fields?: Record<string, unknown>) => {
			if (level === 'debug') return
			const name = this.names[controller]
			this.dependencies.log(`${Math.round(clock.nowMs)} ${name} ${event} ${JSON.stringify(fields ?? {})}`)
			if (level === 'error' && fields?.error !== INJECTED_ERROR)
				invariants.violations.push(`error: ${event} ${JSON.stringify(fields)}`)
		}
	}
}
