/** The HTTP client of a simulated controller; routes requests to the fake services, the machines and the peers. */
import { decode, encode, type HttpClient, type HttpResponse, NoResponse } from '@heathroad/wire'
import { Effect } from 'effect'
import type { Clock } from './clock.js'
import type { FakeCloud } from './fake-cloud.js'
import type { FakeResponse } from './fake-response.js'
import type { FakeStateStore } from './fake-state-store.js'
import type { RandomFaults } from './random-faults.js'
import type { SimulatedMachines } from './simulated-machines.js'
import type { MessageFault, SimulatedNetwork } from './simulated-network.js'
import type { TracedMessage } from './trace.js'

/** Address of the fake state service. */
export const STATE_ADDRESS = 'state:1'
/** Address of the fake cloud. */
export const CLOUD_ADDRESS = 'cloud:1'
/** Prefix of machine ids; the address of a machine's agent is the id and a port. */
const MACHINE_PREFIX = 'i-'
/** A delayed transaction is executed this long after it was sent, in ms; its response is lost. */
const LATE_WRITE_MS = { min: 2000, max: 12_000 }
/** Extra delay of the response to a late watch, in ms. */
const LATE_WATCH_MS = { min: 100, max: 1500 }

/** The parts of the simulation that a controller's HTTP client uses. */
export interface ControllerHttpClientDependencies {
	clock: Clock
	network: SimulatedNetwork
	faults: RandomFaults<MessageFault>
	state: FakeStateStore
	cloud: FakeCloud
	machines: SimulatedMachines
	/** controllers whose reads from the state service get no response */
	stateReadsLost: ReadonlySet<number>
	/** controllers that receive the responses to their watches late */
	lateWatchers: ReadonlySet<number>
	/** index of the controller with this peer address; -1 if there is none */
	peerAt(address: string): number
	/** returns a function that reports whether the controller's current incarnation is still running */
	aliveCheck(controller: number): () => boolean
	/** a controller's response to a peer; null if there is none */
	answerPeer(from: number, to: number, path: string, body: unknown): FakeResponse | null
	trace(controller: number, message: Omit<TracedMessage, 'atMs' | 'controller'>): void
}

/** A request that a controller sends, with its body as the destination decodes it. */
interface OutgoingRequest {
	controller: number
	to: string
	method: string
	path: string
	body: unknown
	/** receives the response */
	reply: (response: FakeResponse | null) => void
}

/** Creates the HTTP client of a controller's current incarnation. */
export const controllerHttpClient = (
	dependencies: ControllerHttpClientDependencies,
	controller: number,
): HttpClient => {
	const isAlive = dependencies.aliveCheck(controller)
	return {
		request: (to, method, path, body, timeoutMs) =>
			Effect.callback<HttpResponse, NoResponse>((resume) => {
				const timer = setTimeout(
					() => resume(Effect.fail(new NoResponse({ reason: 'no answer' }))),
					timeoutMs,
				)
				const request = `${method} ${path}`
				const reply = (response: FakeResponse | null) => {
					if (response === null || !isAlive()) return
					const { status, body } = response
					const head = `${status} to ${request}`
					dependencies.trace(controller, { other: to, direction: 'in', kind: 'answer', head, body })
					clearTimeout(timer)
					resume(Effect.succeed({ status, body: decode(encode(body)), retryAfterS: null }))
				}
				const decodedBody = body === undefined ? undefined : decode(encode(body))
				const head = `${request} timeout=${timeoutMs}`
				dependencies.trace(controller, { other: to, direction: 'out', kind: 'request', head, body })
				send(dependencies, { controller, to, method, path, body: decodedBody, reply })
			}),
	}
}

const send = (dependencies: ControllerHttpClientDependencies, request: OutgoingRequest): void => {
	if (request.to === STATE_ADDRESS) sendToState(dependencies, request)
	else if (request.to === CLOUD_ADDRESS) sendToCloud(dependencies, request)
	else if (request.to.startsWith(MACHINE_PREFIX)) sendToMachine(dependencies, request)
	else sendToPeer(dependencies, request)
}

/** Wraps `reply` so that it receives the response after a random delay. */
const lateReply = (clock: Clock, reply: OutgoingRequest['reply']): OutgoingRequest['reply'] => {
	return (response) => {
		clock.after(clock.between(LATE_WATCH_MS.min, LATE_WATCH_MS.max), () => reply(response))
	}
}

const sendToState = (dependencies: ControllerHttpClientDependencies, request: OutgoingRequest): void => {
	const { controller, method, path, body, reply } = request
	const { clock, faults, state, network, stateReadsLost, lateWatchers } = dependencies
	if (method === 'GET' && stateReadsLost.has(controller)) return
	if (path === '/txn' && faults.happens('delayedTransactions')) {
		const execute = () => state.handle(method, path, body, () => {}, controller)
		clock.after(clock.between(LATE_WRITE_MS.min, LATE_WRITE_MS.max), execute, null)
		return
	}
	const responseLost = path === '/txn' && faults.happens('lostTransactionResponses')
	const isLate = path.startsWith('/watch') && lateWatchers.has(controller)
	const arrive = isLate ? lateReply(clock, reply) : reply
	network.deliver({
		link: { kind: 'state', controller },
		ends: { from: controller, to: null },
		isAlive: () => true,
		serve: () => new Promise((done) => state.handle(method, path, body, done, controller)),
		reply: responseLost ? () => {} : arrive,
	})
}

const sendToCloud = (dependencies: ControllerHttpClientDependencies, request: OutgoingRequest): void => {
	const { controller, method, path, body, reply } = request
	dependencies.network.deliver({
		link: { kind: 'cloud', controller },
		ends: { from: controller, to: null },
		isAlive: () => true,
		serve: () => Promise.resolve(dependencies.cloud.handle(method, path, body)),
		reply,
	})
}

const sendToMachine = (dependencies: ControllerHttpClientDependencies, request: OutgoingRequest): void => {
	const { controller, to, path, body, reply } = request
	const { network, machines } = dependencies
	const machine = to.split(':')[0]
	network.deliver({
		link: { kind: 'workers', controller },
		ends: { from: controller, to: null },
		isAlive: () => true,
		serve: () => machines.call(machine, path, body),
		reply,
		otherEnd: machines.workers.get(machine)?.zone ?? null,
	})
	machines.duplicateCall(machine, path, body)
}

const sendToPeer = (dependencies: ControllerHttpClientDependencies, request: OutgoingRequest): void => {
	const { controller, to, path, body, reply } = request
	const { network } = dependencies
	const peer = dependencies.peerAt(to)
	if (network.partitionedLinks.get(peer)?.has('peers')) return
	network.deliver({
		link: { kind: 'peers', controller },
		ends: { from: controller, to: peer },
		isAlive: dependencies.aliveCheck(peer),
		serve: () => Promise.resolve(dependencies.answerPeer(controller, peer, path, body)),
		reply,
		otherEnd: peer,
	})
}
