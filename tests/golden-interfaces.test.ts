/**
 * What a running controller serves over real sockets: the metrics page, HTTP responses, admin calls, and jobs and events
 * over gRPC as bytes. Compared with `tests/fixtures/golden/faces.json`.
 */
import assert from 'node:assert/strict'
import type { AddressInfo } from 'node:net'
import { test } from 'node:test'
import { credentials, type Metadata, makeGenericClientConstructor } from '@grpc/grpc-js'
import { defaultGrpcSettings } from '@heathroad/config'
import { type AdminTarget, Drain, handleAdminRequest } from '@heathroad/daemon'
import { CursorCodec } from '@heathroad/events'
import { GrpcServer } from '@heathroad/grpc'
import { archivePageKey, encodeArchivePage, ordinalOf, packJobs } from '@heathroad/history'
import { serveMetrics } from '@heathroad/metrics'
import { PluginHost, type PluginInfo } from '@heathroad/plugins'
import { jobsPackage, jobsService } from '@heathroad/proto'
import { type Service, startHttpServer } from '@heathroad/server'
import { FAKE_PLUGIN_SETTINGS, type FakeResponse, RealClock, Simulation } from '@heathroad/testkit'
import { replyFailure } from '../packages/grpc/src/status.js'
import { NamedFixture } from './golden/named-fixture.js'

const fixture = new NamedFixture('faces.json')

const plugin: PluginInfo = {
	name: 'budget',
	version: '1.2.0',
	condition: 'ready',
	queued: 11,
	asked: 12,
	answered: 13,
	unsure: 14,
	upgrades: 15,
	rollbacks: 16,
}

/** Every statistic has a different value, so that no two can be confused. */
const operatorStats: ReturnType<Service['operatorStats']> = {
	parts: 2,
	openJobs: 3,
	ownJobs: 4,
	heldJobs: 5,
	machines: 6,
	endedInMemory: 7,
	epoch: 8,
	right: 'grant',
	healthy: true,
	course: 'serving',
}

test('metrics: the page of a controller', async () => {
	const { port, close } = await serveMetrics('127.0.0.1:0', {
		stats: () => operatorStats,
		plugins: () => [plugin],
	})
	const page = await (await fetch(`http://127.0.0.1:${port}/metrics`)).text()
	close()
	// Help texts are not compared.
	const lines = page.split('\n').filter((line) => !line.startsWith('# HELP'))
	fixture.assertSame(
		'metrics',
		lines.map((line) => line.replace(/^(heathroad_memory_bytes) \d+/, '$1 <bytes>')),
	)
})

const INSTALLATION = 'golden'
const DONE = 'job-000001'
const CANCELLED = 'job-000002'

/** A simulation in real time of one controller with two archived jobs. */
const simulationWithArchive = (clock: RealClock): Simulation => {
	const day = { seed: 1, untilS: 0, jobs: [], faults: [], controllers: 1, up: 4, capacity: 0 }
	const simulation = new Simulation(
		{ ...day, workerTimes: { heartbeatIntervalS: 0.5, leaseS: 6, cancelS: 14 } },
		clock,
	)
	simulation.state.put('heathroad/installation', INSTALLATION)
	simulation.state.put('heathroad/history', { form: 2, turn: 1, legacy: false })
	const packed = packJobs([
		{ ordinal: ordinalOf(DONE), aborted: false, taskCount: 4, doneCount: 4, revision: 1 },
		{ ordinal: ordinalOf(CANCELLED), aborted: true, taskCount: 9, doneCount: 3, revision: 1 },
	])
	const leaf = { from: '', to: '~', depth: 0, deeper: false, packed, modRevision: 0 }
	simulation.state.put(archivePageKey(1, leaf.to), encodeArchivePage(leaf))
	return simulation
}

/** A gRPC client that passes messages as bytes, without encoding or decoding them. */
const bytesClient = (address: string) => {
	const bytes = (value: Buffer) => value
	const methods = Object.entries(jobsService(jobsPackage())).map(([name, method]) => [
		name,
		{ ...method, requestSerialize: bytes, responseDeserialize: bytes },
	])
	const Client = makeGenericClientConstructor(Object.fromEntries(methods), 'heathroad.v1.Jobs')
	return new Client(address, credentials.createInsecure())
}

interface WatchResult {
	messages: Buffer[]
	metadata: string[]
}

/** All events of a stream that completes; null: the controller cannot serve it yet. */
const watchUntilComplete = (
	client: ReturnType<typeof bytesClient>,
	uids: string[],
): Promise<WatchResult | null> =>
	new Promise((resolve) => {
		const result: WatchResult = { messages: [], metadata: [] }
		const { Watch } = jobsService(jobsPackage())
		const request = Watch.requestSerialize({ uids, team: '', cursor: '' })
		const call = client.Watch(request)
		call.on('metadata', (metadata: Metadata) => {
			result.metadata = Object.keys(metadata.getMap())
		})
		call.on('data', (message: Buffer) => result.messages.push(message))
		call.on('error', () => resolve(null))
		call.on('end', () => resolve(result))
	})

/** Compares the responses to operators' calls of a daemon whose only plug-in is missing. */
const compareAdminResponses = async (node: Service): Promise<void> => {
	const drain = new Drain(node, node.config.daemon, node.log)
	const host = new PluginHost(
		{ directory: '/plugins', scanIntervalS: 1, plugins: { budget: FAKE_PLUGIN_SETTINGS } },
		{
			now: node.now,
			scan: () => Promise.resolve({ found: [], problems: [] }),
			startRuntime: () => ({ call: () => {}, end: () => {} }),
			log: () => {},
			team: (name) => ({ name, cpus: 0, gpus: 0, cpusMax: 0, gpusMax: 0 }),
			teamJobs: () => [],
		},
	)
	const daemon: AdminTarget = {
		plugins: host,
		drain,
		reload: () => Promise.resolve(['a line']),
		beginDrain: () => {},
	}
	const calls: [path: string, body: unknown][] = [
		['/admin/plugins', {}],
		['/admin/disable', { name: 'budget' }],
		['/admin/enable', { name: 'budget' }],
		['/admin/enable', { name: 'another' }],
		['/admin/reload', {}],
		['/admin/drain', {}],
		['/admin/unknown', {}],
	]
	const responses = []
	for (const [path, body] of calls)
		responses.push({
			path,
			answer: await new Promise((done) => handleAdminRequest(daemon, path, body, done)),
		})
	fixture.assertSame('admin calls', responses)
}

test('gRPC and admin calls: responses of a running controller', async () => {
	const clock = new RealClock()
	const simulation = simulationWithArchive(clock)
	const grpcServers: GrpcServer[] = []
	const nodes: Service[] = []
	let listening: Promise<number> = Promise.resolve(0)
	simulation.onStarted = (_, node) => {
		nodes.push(node)
		const grpcServer = new GrpcServer(node, {
			...defaultGrpcSettings('127.0.0.1:0'),
			minUpdateIntervalS: 0.1,
		})
		grpcServers.push(grpcServer)
		listening = grpcServer.start()
	}
	simulation.begin()
	const client = bytesClient(`127.0.0.1:${await listening}`)
	try {
		const uids = [DONE, CANCELLED]
		let result: WatchResult | null = null
		for (let attempts = 0; attempts < 100 && result === null; attempts++) {
			result = await watchUntilComplete(client, uids)
			if (result === null) await new Promise((done) => setTimeout(done, 50))
		}
		assert.ok(result !== null, 'the controller serves the stream')
		fixture.assertSame('gRPC: metadata of a stream', result.metadata.filter((name) => name !== 'date').sort())
		const { Watch } = jobsService(jobsPackage())
		const cursors = new CursorCodec(INSTALLATION, { uids })
		const events = result.messages.map((message) => {
			const event = Watch.responseDeserialize(message)
			// The cursor depends on the revision at which the stream started; the other fields do not.
			const position = cursors.decode(event.cursor)
			assert.deepEqual([position?.phase, position?.uid], ['present', event.uid])
			const masked = { ...event, cursor: '<cursor>' }
			return { event: masked, bytes: Watch.responseSerialize(masked).toString('hex') }
		})
		fixture.assertSame('gRPC: events', events)
		for (const uid of uids) {
			const { Get } = jobsService(jobsPackage())
			const request = Get.requestSerialize({ uid })
			const answer = await new Promise<Buffer>((resolve, reject) =>
				client.Get(request, (error: Error | null, received: Buffer) =>
					error === null ? resolve(received) : reject(error),
				),
			)
			fixture.assertSame(`gRPC: ${uid}`, {
				job: Get.responseDeserialize(answer),
				bytes: answer.toString('hex'),
			})
		}
		await compareAdminResponses(nodes[0])
		fixture.assertSame(
			'health',
			await healthOnceReachable(() => simulation.sendRequest(0, 'GET', '/healthz', undefined)),
		)
	} finally {
		client.close()
		for (const grpcServer of grpcServers) await grpcServer.stop(0)
		clock.stop()
		await simulation.end()
	}
})

/**
 * The response to a health check. In real time, on a busy machine, a controller may have had no recent response from the
 * state service and responses 503: then the check is repeated, for up to 10 s.
 */
async function healthOnceReachable(check: () => Promise<FakeResponse | null>): Promise<FakeResponse | null> {
	let health = await check()
	for (let attempts = 0; health?.status === 503 && attempts < 100; attempts++) {
		await new Promise((done) => setTimeout(done, 100))
		health = await check()
	}
	return health
}

test('gRPC: failures of calls', () => {
	for (const reply of [
		{ status: 400, body: {} },
		{ status: 404, body: {} },
		{ status: 422, body: {} },
		{ status: 429, body: {}, retryAfterS: 2.5 },
		{ status: 503, body: {}, retryAfterS: 1 },
	]) {
		const failed = replyFailure(reply, 'a text')
		const trailers = Object.entries(failed.metadata?.getMap() ?? {}).map(([name, value]) => [
			name,
			typeof value === 'string' ? value : value.toString('hex'),
		])
		fixture.assertSame(`gRPC: failure of ${reply.status}`, {
			code: failed.code,
			details: failed.details,
			trailers,
		})
	}
})

test('HTTP: a response as sent over a socket', async () => {
	const limits = { idleTimeoutMs: 5000, requestTimeoutMs: 5000, maxSockets: 100 }
	const server = await startHttpServer('127.0.0.1:0', limits, (_call, reply) =>
		reply({ status: 503, body: { error: 'come back later' }, retryAfterS: 1.2 }),
	)
	const { port } = server.address() as AddressInfo
	const answer = await fetch(`http://127.0.0.1:${port}/v2/runs`)
	const headers = [...answer.headers].filter(([name]) => name !== 'date')
	const body = Buffer.from(await answer.arrayBuffer()).toString('hex')
	server.closeAllConnections()
	server.close()
	fixture.assertSame('HTTP: an answer', { status: answer.status, headers, body })
})

test('every entry of the fixture was compared', () => fixture.assertComplete())
