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

/** Text of the errors that the `internalError` fault raises inside a controller. */
export const INJECTED_ERROR = 'made by the day'
/** Port of the users' and workers' requests, and that of the peers. */
const PORTS = { service: 8080, peer: 8081 }
/** Neighbouring controllers' clocks differ in speed by this share on a day with drift. */
const CLOCK_DRIFT = 0.0005
/** Calls a second that the cloud accepts, of a day that does not say. */
const DEFAULT_CLOUD_RPS = 4

const address = (controller: number, port: number): string => `10.0.0.${controller + 1}:${port}`

/** What the controllers need of the simulation. */
export interface SimulatedControllersPorts {
	clock: Clock
	invariants: InvariantChecker
	times: WorkerTimes
	/** the HTTP client of the present incarnation of a controller */
	httpClient(controller: number): HttpClient
	/** called with every new incarnation, before it begins */
	onStarted(controller: number, node: Service): void
	/** called when an incarnation ends */
	onEnded(controller: number): void
	/** called when a user submits a job */
	onSubmitted(spec: JobSpec): void
	/** takes the controllers' log lines */
	log(line: string): void
	/** takes every message that a controller sends or receives; null: nobody follows them */
	tracer(): ((message: TracedMessage) => void) | null
}

/** All controllers, by index. */
export class SimulatedControllers {
	readonly names: readonly string[]
	/** the present incarnations; null: the controller is down */
	private readonly nodes: (Service | null)[]
	/** incremented whenever an incarnation begins or ends */
	private readonly incarnations: number[]

	constructor(
		count: number,
		private readonly day: SimulatedDay,
		private readonly ports: SimulatedControllersPorts,
	) {
		this.names = Array.from({ length: count }, (_, index) => `ctl-${index}`)
		this.nodes = this.names.map(() => null)
		this.incarnations = this.names.map(() => 0)
	}

	/** The controllers that are up. */
	running(): Service[] {
		return this.nodes.filter((node) => node !== null)
	}

	/** The present incarnation of a controller; null: it is down. */
	get(controller: number): Service | null {
		return this.nodes[controller]
	}

	/** Index of the controller with this peer address; -1: none. */
	peerAt(to: string): number {
		return this.names.findIndex((_, index) => address(index, PORTS.peer) === to)
	}

	/** Returns whether the present incarnation of a controller still runs. */
	aliveCheck(controller: number): () => boolean {
		const incarnation = this.incarnations[controller]
		return () => this.nodes[controller] !== null && this.incarnations[controller] === incarnation
	}

	/** Sends a request to a controller; null: it is down. `from` appears in traces only. */
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

	/** A controller's response to a peer; null: none. */
	answerPeer(from: number, to: number, path: string, body: unknown): FakeResponse | null {
		const other = this.names[from]
		this.trace(to, { other, direction: 'in', kind: 'request', head: path, body })
		const answer = this.nodes[to]?.membership.handlePeerRequest(path, body) ?? null
		if (answer === null) return null
		this.trace(to, { other, direction: 'out', kind: 'answer', head: `200 to ${path}`, body: answer })
		return { status: 200, body: answer }
	}

	/** Hands a message to whoever traces the day. */
	trace(controller: number, message: Omit<TracedMessage, 'atMs' | 'controller'>): void {
		this.ports.tracer()?.({
			...message,
			atMs: this.ports.clock.nowMs,
			controller: this.names[controller],
		})
	}

	/** Starts a new incarnation of a controller. */
	boot(controller: number): Service {
		const { clock } = this.ports
		const settings = this.settings(controller)
		const config = {
			settings: { ...settings, services: { cloud: CLOUD_ADDRESS, state: STATE_ADDRESS } },
			...DEFAULT_OPERATOR_SETTINGS,
			history: this.history(),
			limits: deriveLimits(settings),
		}
		this.incarnations[controller]++
		const pace = this.day.drift ? 1 + (controller - (this.names.length - 1) / 2) * CLOCK_DRIFT : 1
		const node = new Service(
			config,
			this.logger(controller),
			() => clock.nowMs * pace,
			this.ports.httpClient(controller),
		)
		this.nodes[controller] = node
		this.observeSubmissions(node)
		this.ports.onStarted(controller, node)
		// An incarnation that crashes before it begins must not begin afterwards: it would act, and run, for ever.
		const begin = () => {
			if (this.nodes[controller] === node) node.begin()
		}
		clock.after(0, begin, controller)
		return node
	}

	/** Ends a controller without notice, and boots it again after `restartS` seconds. */
	crash(controller: number, restartS: number): void {
		const node = this.nodes[controller]
		if (node !== null) this.ports.onEnded(controller)
		this.nodes[controller] = null
		this.incarnations[controller]++
		void node?.stop()
		this.ports.clock.after(restartS * 1000, () => this.boot(controller))
	}

	/** Drains a controller as an operator does, and boots it again `restartS` seconds after its end. */
	drain(controller: number, restartS: number): void {
		const node = this.nodes[controller]
		if (node === null) return
		const isAlive = this.aliveCheck(controller)
		const drain = new Drain(node, node.config.daemon, node.log)
		const end = async () => {
			if (!isAlive()) return
			// As the daemon does: nothing of it acts any more when its lease is revoked.
			const stopped = node.stop()
			await node.revokeLease()
			await stopped
			if (!isAlive()) return
			this.ports.onEnded(controller)
			this.nodes[controller] = null
			this.incarnations[controller]++
			this.ports.clock.after(restartS * 1000, () => this.boot(controller))
		}
		this.ports.clock.after(0, () => void drain.begin().then(end), controller)
	}

	/** Stops all controllers one after the other. */
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
		const { times } = this.ports
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
				workers: { report_s: times.reportS, lease_s: times.leaseS, cancel_s: times.cancelS },
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

	/** Notes what users submit and cancel, by HTTP or gRPC alike; workers look the specs of their tasks up. */
	private observeSubmissions(node: Service): void {
		const { invariants } = this.ports
		const handleRequest = node.handleRequest.bind(node)
		node.handleRequest = (call, respond) => {
			const spec = call.path === '/v2/runs' ? parseSubmission(call.body) : null
			if (spec !== null && !(spec instanceof InvalidSubmission)) {
				this.ports.onSubmitted(spec)
				invariants.jobSubmitted(spec)
			}
			const cancelled = /^\/v2\/runs\/([^/]+)\/withdraw$/.exec(call.path)
			if (cancelled !== null) invariants.cancelRequested(cancelled[1])
			handleRequest(call, respond)
		}
	}

	/** Passes log lines on; an error that no fault injected is a violation. */
	private logger(controller: number) {
		const { clock, invariants } = this.ports
		return (level: string, event: string, fields?: Record<string, unknown>) => {
			if (level === 'debug') return
			const name = this.names[controller]
			this.ports.log(`${Math.round(clock.nowMs)} ${name} ${event} ${JSON.stringify(fields ?? {})}`)
			if (level === 'error' && fields?.error !== INJECTED_ERROR)
				invariants.violations.push(`error: ${event} ${JSON.stringify(fields)}`)
		}
	}
}
