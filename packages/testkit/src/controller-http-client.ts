/** The HTTP client of a simulated controller: routes its requests to the fake services and to its peers. */
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
/** Ids of machines begin so; their agents' addresses are the id and a port. */
const MACHINE_PREFIX = 'i-'
/** When a transaction whose response is lost is carried out late: so many ms after it was sent. */
const LATE_WRITE_MS = { min: 2000, max: 12_000 }
/** How long the answer to a late watch is on its way. */
const LATE_WATCH_MS = { min: 100, max: 1500 }

/** What the HTTP client of a controller needs of the simulation. */
export interface ControllerHttpClientPorts {
	clock: Clock
	network: SimulatedNetwork
	faults: RandomFaults<MessageFault>
	state: FakeStateStore
	cloud: FakeCloud
	machines: SimulatedMachines
	/** controllers whose reads of the state service get no response */
	watchless: ReadonlySet<number>
	/** controllers whose watches are answered late */
	lateWatchers: ReadonlySet<number>
	/** index of the controller with this peer address; -1: none */
	peerAt(address: string): number
	/** returns whether the present incarnation of a controller still runs */
	aliveCheck(controller: number): () => boolean
	/** a controller's response to a peer; null: none */
	answerPeer(from: number, to: number, path: string, body: unknown): FakeResponse | null
	trace(controller: number, message: Omit<TracedMessage, 'atMs' | 'controller'>): void
}

/** A request of a controller, with its body as the destination decodes it. */
interface OutgoingRequest {
	controller: number
	to: string
	method: string
	path: string
	body: unknown
	/** takes the response */
	reply: (response: FakeResponse | null) => void
}

/** Creates the HTTP client of the present incarnation of a controller. */
export const controllerHttpClient = (ports: ControllerHttpClientPorts, controller: number): HttpClient => {
	const isAlive = ports.aliveCheck(controller)
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
					ports.trace(controller, { other: to, direction: 'in', kind: 'answer', head, body })
					clearTimeout(timer)
					resume(Effect.succeed({ status, body: decode(encode(body)), retryAfterS: null }))
				}
				const decodedBody = body === undefined ? undefined : decode(encode(body))
				const head = `${request} timeout=${timeoutMs}`
				ports.trace(controller, { other: to, direction: 'out', kind: 'request', head, body })
				send(ports, { controller, to, method, path, body: decodedBody, reply })
			}),
	}
}

const send = (ports: ControllerHttpClientPorts, request: OutgoingRequest): void => {
	if (request.to === STATE_ADDRESS) sendToState(ports, request)
	else if (request.to === CLOUD_ADDRESS) sendToCloud(ports, request)
	else if (request.to.startsWith(MACHINE_PREFIX)) sendToMachine(ports, request)
	else sendToPeer(ports, request)
}

/** Takes a response some time after it has arrived. */
const lateReply = (clock: Clock, reply: OutgoingRequest['reply']): OutgoingRequest['reply'] => {
	return (response) => {
		clock.after(clock.between(LATE_WATCH_MS.min, LATE_WATCH_MS.max), () => reply(response))
	}
}

const sendToState = (ports: ControllerHttpClientPorts, request: OutgoingRequest): void => {
	const { controller, method, path, body, reply } = request
	const { clock, faults, state, network, watchless, lateWatchers } = ports
	if (method === 'GET' && watchless.has(controller)) return
	if (path === '/txn' && faults.happens('delayedTransactions')) {
		const carryOut = () => state.handle(method, path, body, () => {}, controller)
		clock.after(clock.between(LATE_WRITE_MS.min, LATE_WRITE_MS.max), carryOut, null)
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

const sendToCloud = (ports: ControllerHttpClientPorts, request: OutgoingRequest): void => {
	const { controller, method, path, body, reply } = request
	ports.network.deliver({
		link: { kind: 'cloud', controller },
		ends: { from: controller, to: null },
		isAlive: () => true,
		serve: () => Promise.resolve(ports.cloud.handle(method, path, body)),
		reply,
	})
}

const sendToMachine = (ports: ControllerHttpClientPorts, request: OutgoingRequest): void => {
	const { controller, to, path, body, reply } = request
	const { network, machines } = ports
	const machine = to.split(':')[0]
	network.deliver({
		link: { kind: 'workers', controller },
		ends: { from: controller, to: null },
		isAlive: () => true,
		serve: () => machines.call(machine, path, body),
		reply,
		otherEnd: machines.workers.get(machine)?.zone ?? null,
	})
}

const sendToPeer = (ports: ControllerHttpClientPorts, request: OutgoingRequest): void => {
	const { controller, to, path, body, reply } = request
	const { network } = ports
	const peer = ports.peerAt(to)
	if (network.partitionedLinks.get(peer)?.has('peers')) return
	network.deliver({
		link: { kind: 'peers', controller },
		ends: { from: controller, to: peer },
		isAlive: ports.aliveCheck(peer),
		serve: () => Promise.resolve(ports.answerPeer(controller, peer, path, body)),
		reply,
		otherEnd: peer,
	})
}
