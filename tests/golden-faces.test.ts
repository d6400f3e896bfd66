/**
 * What a running controller tells over real sockets: the page of its metrics, HTTP answers, admin calls, and jobs and
 * events over gRPC as bytes. Compared with `tests/fixtures/golden/faces.json`.
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
import { type FakeResponse, PLUGIN, RealClock, Simulation } from '@heathroad/testkit'
import { replyFailure } from '../packages/grpc/src/status.js'
import { NamedFixture } from './golden/named.js'

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

/** Each figure is another number, so that none can stand in another's place. */
const figures: ReturnType<Service['operatorStats']> = {
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
		stats: () => figures,
		plugins: () => [plugin],
	})
	const page = await (await fetch(`http://127.0.0.1:${port}/metrics`)).text()
	close()
	// What is said of a figure is no form.
	const lines = page.split('\n').filter((line) => !line.startsWith('# HELP'))
	fixture.same(
		'metrics',
		lines.map((line) => line.replace(/^(heathroad_memory_bytes) \d+/, '$1 <bytes>')),
	)
})

const INSTALLATION = 'golden'
const DONE = 'job-000001'
const CANCELLED = 'job-000002'

/** One controller in real time, whose archive holds two jobs. */
const archivingWorld = (clock: RealClock): Simulation => {
	const day = { seed: 1, untilS: 0, jobs: [], faults: [], controllers: 1, up: 4, capacity: 0 }
	const world = new Simulation({ ...day, report: { reportS: 0.5, leaseS: 6, cancelS: 14 } }, clock)
	world.state.put('heathroad/installation', INSTALLATION)
	world.state.put('heathroad/history', { form: 2, turn: 1, legacy: false })
	const packed = packJobs([
		{ ordinal: ordinalOf(DONE), aborted: false, taskCount: 4, doneCount: 4, revision: 1 },
		{ ordinal: ordinalOf(CANCELLED), aborted: true, taskCount: 9, doneCount: 3, revision: 1 },
	])
	const leaf = { from: '', to: '~', depth: 0, deeper: false, packed, modRevision: 0 }
	world.state.put(archivePageKey(1, leaf.to), encodeArchivePage(leaf))
	return world
}

/** A client that neither writes nor reads messages: it passes bytes on. */
const bytesClient = (address: string) => {
	const bytes = (value: Buffer) => value
	const methods = Object.entries(jobsService(jobsPackage())).map(([name, method]) => [
		name,
		{ ...method, requestSerialize: bytes, responseDeserialize: bytes },
	])
	const Client = makeGenericClientConstructor(Object.fromEntries(methods), 'heathroad.v1.Jobs')
	return new Client(address, credentials.createInsecure())
}

interface Watched {
	messages: Buffer[]
	metadata: string[]
}

/** All events of a stream that ends by itself; null: the controller cannot tell yet. */
const watched = (client: ReturnType<typeof bytesClient>, uids: string[]): Promise<Watched | null> =>
	new Promise((resolve) => {
		const seen: Watched = { messages: [], metadata: [] }
		const { Watch } = jobsService(jobsPackage())
		const request = Watch.requestSerialize({ uids, team: '', cursor: '' })
		const call = client.Watch(request)
		call.on('metadata', (metadata: Metadata) => {
			seen.metadata = Object.keys(metadata.getMap())
		})
		call.on('data', (message: Buffer) => seen.messages.push(message))
		call.on('error', () => resolve(null))
		call.on('end', () => resolve(seen))
	})

/** What operators' calls are answered by a daemon whose only plug-in is missing. */
const compareAdminAnswers = async (node: Service): Promise<void> => {
	const drain = new Drain(node, node.config.daemon, node.log)
	const host = new PluginHost(
		{ directory: '/plugins', scanIntervalS: 1, plugins: { budget: PLUGIN } },
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
	const answers = []
	for (const [path, body] of calls)
		answers.push({ path, answer: await new Promise((done) => handleAdminRequest(daemon, path, body, done)) })
	fixture.same('admin calls', answers)
}

test('gRPC and admin calls: what a running controller answers', async () => {
	const clock = new RealClock()
	const world = archivingWorld(clock)
	const faces: GrpcServer[] = []
	const nodes: Service[] = []
	let listening: Promise<number> = Promise.resolve(0)
	world.onStarted = (_, node) => {
		nodes.push(node)
		const face = new GrpcServer(node, { ...defaultGrpcSettings('127.0.0.1:0'), minUpdateIntervalS: 0.1 })
		faces.push(face)
		listening = face.start()
	}
	world.begin()
	const client = bytesClient(`127.0.0.1:${await listening}`)
	try {
		const uids = [DONE, CANCELLED]
		let seen: Watched | null = null
		for (let tries = 0; tries < 100 && seen === null; tries++) {
			seen = await watched(client, uids)
			if (seen === null) await new Promise((done) => setTimeout(done, 50))
		}
		assert.ok(seen !== null, 'the controller tells')
		fixture.same('gRPC: metadata of a stream', seen.metadata.filter((name) => name !== 'date').sort())
		const { Watch } = jobsService(jobsPackage())
		const cursors = new CursorCodec(INSTALLATION, { uids })
		const events = seen.messages.map((message) => {
			const event = Watch.responseDeserialize(message)
			// It depends on the epoch at which the stream began; all else is the same whenever it is told.
			const place = cursors.decode(event.cursor)
			assert.deepEqual([place?.phase, place?.uid], ['present', event.uid])
			const masked = { ...event, cursor: '<cursor>' }
			return { event: masked, bytes: Watch.responseSerialize(masked).toString('hex') }
		})
		fixture.same('gRPC: events', events)
		for (const uid of uids) {
			const { Get } = jobsService(jobsPackage())
			const request = Get.requestSerialize({ uid })
			const answer = await new Promise<Buffer>((resolve, reject) =>
				client.Get(request, (error: Error | null, told: Buffer) =>
					error === null ? resolve(told) : reject(error),
				),
			)
			fixture.same(`gRPC: ${uid}`, { job: Get.responseDeserialize(answer), bytes: answer.toString('hex') })
		}
		await compareAdminAnswers(nodes[0])
		fixture.same(
			'health',
			await healthOnceReachable(() => world.sendRequest(0, 'GET', '/healthz', undefined)),
		)
	} finally {
		client.close()
		for (const face of faces) await face.stop(0)
		clock.stop()
		await world.end()
	}
})

/**
 * The answer to a health check. In real time, on a busy machine, a controller may not have heard of the state service for
 * a moment and answers 503: then it is asked again, for some seconds.
 */
async function healthOnceReachable(ask: () => Promise<FakeResponse | null>): Promise<FakeResponse | null> {
	let health = await ask()
	for (let tries = 0; health?.status === 503 && tries < 100; tries++) {
		await new Promise((done) => setTimeout(done, 100))
		health = await ask()
	}
	return health
}

test('gRPC: how a call fails', () => {
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
		fixture.same(`gRPC: failure of ${reply.status}`, { code: failed.code, details: failed.details, trailers })
	}
})

test('HTTP: an answer as it goes over a socket', async () => {
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
	fixture.same('HTTP: an answer', { status: answer.status, headers, body })
})

test('every face of the fixture was compared', () => fixture.complete())
