import assert from 'node:assert/strict'
import * as http2 from 'node:http2'
import * as net from 'node:net'
import { test } from 'node:test'
import {
	type ClientReadableStream,
	credentials,
	makeGenericClientConstructor,
	type ServiceError,
	status,
} from '@grpc/grpc-js'
import { defaultGrpcSettings } from '@heathroad/config'
import { GrpcServer } from '@heathroad/grpc'
import { archivePageKey, encodeArchivePage, ordinalOf, packJobs } from '@heathroad/history'
import { type EventMessage, jobsClient, toSubmitRequest } from '@heathroad/proto'
import { arrayJob, RealClock, Simulation } from '@heathroad/testkit'
import { Deadline } from './deadline.js'

/** Limit for one response, or for a stream of a few events. */
const RESPONSE_TIMEOUT_MS = 30_000

/** Resolves as `work` does; fails with an error that names the missing response after `RESPONSE_TIMEOUT_MS`. */
const withinDeadline = async <T>(name: string, work: Promise<T>): Promise<T> => {
	const deadline = new Deadline(RESPONSE_TIMEOUT_MS)
	try {
		return await deadline.within(() => name, work)
	} finally {
		deadline.clear()
	}
}

/** Runs `work` with the gRPC server of one controller of a simulation in real time. */
const withServer = async (
	settings: Partial<ReturnType<typeof defaultGrpcSettings>>,
	work: (context: {
		port: number
		server: GrpcServer
		simulation: Simulation
		client: InstanceType<ReturnType<typeof jobsClient>>
	}) => Promise<void>,
	prepare: (simulation: Simulation) => void = () => {},
): Promise<void> => {
	const clock = new RealClock()
	const cluster = { seed: 1, untilS: 0, jobs: [], faults: [], controllers: 1, up: 4, capacity: 0 }
	const simulation = new Simulation(
		{ ...cluster, workerTimes: { heartbeatIntervalS: 0.5, leaseS: 6, cancelS: 14 } },
		clock,
	)
	let server: GrpcServer | null = null
	let started: Promise<number> = Promise.resolve(0)
	simulation.onStarted = (_, node) => {
		server = new GrpcServer(node, {
			...defaultGrpcSettings('127.0.0.1:0'),
			minUpdateIntervalS: 0.1,
			...settings,
		})
		started = server.start()
	}
	prepare(simulation)
	simulation.begin()
	const port = await started
	const Client = jobsClient()
	const client = new Client(`127.0.0.1:${port}`, credentials.createInsecure())
	try {
		// The machine types and the installation's id are known only shortly after the start.
		for (let attempt = 0; attempt < 100; attempt++) {
			const error = await streamError(client.Watch({ uids: ['job-000000'] }), 150)
			if (error === null || error.code !== status.UNAVAILABLE) break
			await new Promise((done) => setTimeout(done, 50))
		}
		await work({ port, server: server!, simulation, client })
	} finally {
		client.close()
		await server!.stop(0)
		clock.stop()
		await simulation.end()
	}
}

/** The error with which a stream ends within `ms`; null: it does not end. */
const streamError = (call: ClientReadableStream<EventMessage>, ms = 3000): Promise<ServiceError | null> =>
	new Promise((resolve) => {
		const timer = setTimeout(() => {
			resolve(null)
			call.cancel()
		}, ms)
		call.on('data', () => {})
		call.on('error', (error) => {
			clearTimeout(timer)
			resolve(error as ServiceError)
		})
	})

/** The response of a unary call, or its error. */
const unary = (
	call: (done: (error: ServiceError | null, response?: unknown) => void) => void,
): Promise<ServiceError | unknown> =>
	withinDeadline(
		'the response to a unary call',
		new Promise((resolve) => call((error, response) => resolve(error ?? response))),
	)

test('calls have the status codes that users of gRPC expect', async () => {
	await withServer({ maxIdsPerStream: 5 }, async ({ client }) => {
		const submit = (job: object) => unary((done) => client.Submit(job, done))
		const validRequest = toSubmitRequest(
			arrayJob('job-000001', { tasks: 2, expectedS: 0.3, imageGb: 0.1, spot: false }),
		)
		const job = (await submit(validRequest)) as { uid: string; state: string; tasks: number }
		assert.deepEqual([job.uid, job.state, job.tasks], ['job-000001', 'STATE_PENDING', 2])
		assert.equal(
			((await submit(validRequest)) as { uid: string }).uid,
			'job-000001',
			'a retry returns the job',
		)
		const cases: [name: string, reply: Promise<unknown>, code: status, expectedDetails: RegExp][] = [
			[
				'no uid',
				submit({ ...validRequest, uid: '' }),
				status.INVALID_ARGUMENT,
				/^uid: Expected "job-" followed/,
			],
			[
				'no tasks',
				submit({ ...validRequest, uid: 'job-000002', tasks: 0 }),
				status.INVALID_ARGUMENT,
				/^tasks: /,
			],
			[
				'no class',
				submit({ ...validRequest, uid: 'job-000002', job_class: '' }),
				status.INVALID_ARGUMENT,
				/^job_class: /,
			],
			[
				'an unknown team',
				submit({ ...validRequest, uid: 'job-000002', team: 'x' }),
				status.FAILED_PRECONDITION,
				/unknown team x/,
			],
			[
				'a task too large',
				submit({ ...validRequest, uid: 'job-000002', cpus: 99 }),
				status.FAILED_PRECONDITION,
				/no allowed machine/,
			],
			[
				'an unknown job',
				unary((done) => client.Get({ uid: 'job-009999' }, done)),
				status.NOT_FOUND,
				/no such job/,
			],
			[
				'an id that is a path',
				unary((done) => client.Get({ uid: '../healthz' }, done)),
				status.INVALID_ARGUMENT,
				/^uid: /,
			],
			[
				'cancelling an unknown job',
				unary((done) => client.Cancel({ uid: 'job-009999' }, done)),
				status.NOT_FOUND,
				/no such/,
			],
			['watching nothing', streamError(client.Watch({})), status.INVALID_ARGUMENT, /one of the two/],
			[
				'watching both',
				streamError(client.Watch({ uids: ['job-000001'], team: 'core' })),
				status.INVALID_ARGUMENT,
				/one of the two/,
			],
			['a wrong id', streamError(client.Watch({ uids: ['job-1'] })), status.INVALID_ARGUMENT, /^uids: /],
			[
				'too many ids',
				streamError(client.Watch({ uids: [1, 2, 3, 4, 5, 6].map((index) => `job-00000${index}`) })),
				status.RESOURCE_EXHAUSTED,
				/too many ids/,
			],
			[
				'a forged cursor',
				streamError(client.Watch({ team: 'core', cursor: 'x' })),
				status.INVALID_ARGUMENT,
				/^cursor: /,
			],
		]
		for (const [name, reply, code, expectedDetails] of cases) {
			const error = (await reply) as ServiceError
			assert.equal(error?.code, code, `${name}: ${JSON.stringify(error)}`)
			assert.match(error.details, expectedDetails, name)
		}
		const seen: string[] = []
		const readAll = async () => {
			for await (const event of client.Watch({ uids: ['job-000001'] }) as AsyncIterable<EventMessage>)
				seen.push(event.state)
		}
		await withinDeadline('the end of the stream of a job', readAll())
		assert.equal(seen[seen.length - 1], 'STATE_DONE', 'the stream ends once all of its jobs are terminal')
		assert.equal(seen.filter((seenState) => seenState === 'STATE_DONE').length, 1)
	})
})

test('streams beyond the limits are refused immediately with a retry delay, in trailers and as RetryInfo', async () => {
	await withServer({ maxStreams: 3 }, async ({ client, server }) => {
		const streams = [1, 2, 3].map((index) => client.Watch({ uids: [`job-00000${index}`] }))
		for (const stream of streams) stream.on('error', () => {})
		for (let attempt = 0; attempt < 50 && server.openStreamCount < 3; attempt++)
			await new Promise((done) => setTimeout(done, 20))
		const startedAt = Date.now()
		const error = (await streamError(client.Watch({ team: 'core' }))) as ServiceError
		assert.ok(Date.now() - startedAt < 500, 'at once')
		assert.equal(error.code, status.RESOURCE_EXHAUSTED)
		assert.ok(Number(error.metadata.get('retry-after-ms')[0]) >= 1000)
		const [details] = error.metadata.get('grpc-status-details-bin')
		assert.match(Buffer.from(details as Buffer).toString('latin1'), /google\.rpc\.RetryInfo/)
		streams[0].cancel()
		for (let attempt = 0; attempt < 50 && server.openStreamCount > 2; attempt++)
			await new Promise((done) => setTimeout(done, 20))
		assert.equal(server.openStreamCount, 2, 'an ended stream frees its slot')
		for (const stream of streams) stream.cancel()
	})
})

test('a controller that shuts down ends its streams with UNAVAILABLE and their cursor', async () => {
	await withServer({}, async ({ client, server }) => {
		const stream = client.Watch({ team: 'core' })
		const ended = streamError(stream)
		const firstCursor = new Promise<string>((done) =>
			stream.once('metadata', (sentHeaders) => done(String(sentHeaders.get('cursor')[0]))),
		)
		// The headers have a cursor, for streams that break before their first event.
		assert.match(String(await Promise.race([firstCursor, ended])), /^1\.p\./)
		await server.stop(500)
		const error = await ended
		assert.equal(error?.code, status.UNAVAILABLE)
		assert.match(String(error?.metadata.get('cursor')[0]), /^1\./)
	})
})

test('hostile peers cannot delay other clients', async () => {
	await withServer({ maxConnections: 12, stallTimeoutS: 1 }, async ({ port, client }) => {
		const assertServing = async (name: string) => {
			const error = (await unary((done) => client.Get({ uid: 'job-009999' }, done))) as ServiceError
			assert.equal(error.code, status.NOT_FOUND, name)
		}
		// Bytes of other protocols, and a connection without any.
		for (const text of ['GET / HTTP/1.1\r\nhost: x\r\n\r\n', '\x00'.repeat(100), '']) {
			const socket = net.connect(port).on('error', () => {})
			socket.write(text)
			await assertServing('bytes that are not HTTP/2')
			socket.destroy()
		}
		const session = http2.connect(`http://127.0.0.1:${port}`).on('error', () => {})
		const raw = (
			path: string,
			headers: http2.OutgoingHttpHeaders,
			body?: Buffer,
		): Promise<http2.IncomingHttpHeaders | string> => {
			const response = new Promise<http2.IncomingHttpHeaders | string>((resolve) => {
				const stream = session.request({
					':method': 'POST',
					':path': path,
					'content-type': 'application/grpc',
					te: 'trailers',
					...headers,
				})
				let first: http2.IncomingHttpHeaders = {}
				stream.on('response', (headers) => (first = headers))
				stream.on('trailers', (trailers) => resolve({ ...first, ...trailers }))
				stream.on('error', (error) => resolve(String(error)))
				stream.on('close', () => resolve(first))
				stream.resume()
				stream.end(body)
			})
			return withinDeadline(`the response to ${path}`, response)
		}
		const frame = (length: number, body: Buffer) => Buffer.concat([Buffer.from([0]), u32(length), body])
		const u32 = (value: number) => {
			const bytes = Buffer.alloc(4)
			bytes.writeUInt32BE(value)
			return bytes
		}
		const codeOf = (trailers: http2.IncomingHttpHeaders | string) =>
			typeof trailers === 'string' ? trailers : Number(trailers['grpc-status'])
		assert.equal(
			codeOf(await raw('/heathroad.v1.Jobs/Nothing', {})),
			status.UNIMPLEMENTED,
			'an unknown method',
		)
		assert.equal(codeOf(await raw('/no/such', {})), status.UNIMPLEMENTED, 'an unknown service')
		const large = frame(1 << 20, Buffer.alloc(70_000))
		assert.equal(
			codeOf(await raw('/heathroad.v1.Jobs/Get', {}, large)),
			status.RESOURCE_EXHAUSTED,
			'a frame too large',
		)
		const malformedCode = codeOf(
			await raw('/heathroad.v1.Jobs/Get', {}, frame(4, Buffer.from([0xff, 0xff, 0xff, 0xff]))),
		)
		assert.ok(
			malformedCode === status.INTERNAL || malformedCode === status.INVALID_ARGUMENT,
			`a malformed message: ${malformedCode}`,
		)
		const manyHeaders: http2.OutgoingHttpHeaders = {}
		for (let index = 0; index < 400; index++) manyHeaders[`x-${index}`] = 'y'.repeat(200)
		await raw('/heathroad.v1.Jobs/Get', manyHeaders)
		await assertServing('a flood of headers')
		session.destroy()
		// A client that opens streams and never reads: its flow-control window is zero.
		const unread = http2
			.connect(`http://127.0.0.1:${port}`, { settings: { initialWindowSize: 0 } })
			.on('error', () => {})
		const uids = frame(12, Buffer.from([0x0a, 10, ...Buffer.from('job-009998')]))
		for (let opened = 0; opened < 50; opened++) {
			const stream = unread.request({
				':method': 'POST',
				':path': '/heathroad.v1.Jobs/Watch',
				'content-type': 'application/grpc',
				te: 'trailers',
			})
			stream.on('error', () => {})
			stream.end(uids)
		}
		await assertServing('streams without a reader')
		// More connections than allowed: the ones that are already open are still served.
		const connections = Array.from({ length: 30 }, () => net.connect(port).on('error', () => {}))
		await new Promise((done) => setTimeout(done, 200))
		await assertServing('more connections than allowed')
		for (const connection of connections) connection.destroy()
		unread.destroy()
	})
})

test('health and reflection are served next to the jobs service', async () => {
	await withServer({}, async ({ port }) => {
		const identity = (bytes: Buffer) => bytes
		const method = (path: string, stream: boolean) => ({
			path,
			requestStream: stream,
			responseStream: stream,
			requestSerialize: identity,
			requestDeserialize: identity,
			responseSerialize: identity,
			responseDeserialize: identity,
		})
		const Raw = makeGenericClientConstructor(
			{
				check: method('/grpc.health.v1.Health/Check', false),
				reflect: method('/grpc.reflection.v1.ServerReflection/ServerReflectionInfo', true),
			},
			'raw',
		)
		const raw = new Raw(`127.0.0.1:${port}`, credentials.createInsecure()) as unknown as {
			check(request: Buffer, done: (error: ServiceError | null, response?: Buffer) => void): void
			reflect(): {
				write(request: Buffer): void
				end(): void
				on(event: string, listener: (response: Buffer) => void): void
			}
			close(): void
		}
		const health = (await unary((done) => raw.check(Buffer.alloc(0), done))) as Buffer
		assert.deepEqual([...health], [8, 1], 'SERVING')
		const response = new Promise<Buffer>((resolve) => {
			const call = raw.reflect()
			call.on('data', resolve)
			call.on('error', (failure) => resolve(Buffer.from(String(failure))))
			// list_services
			call.write(Buffer.from([0x3a, 0]))
			call.end()
		})
		const listed = await withinDeadline('the response to a reflection request', response)
		assert.match(listed.toString('latin1'), /heathroad\.v1\.Jobs/)
		raw.close()
	})
})

test('archived jobs are delivered like all others, each terminal state once, also when a stream is resumed', async () => {
	const archive = (simulation: Simulation) => {
		const items = [
			{ ordinal: ordinalOf('job-000100'), aborted: false, taskCount: 3, doneCount: 3, revision: 2 },
			{ ordinal: ordinalOf('job-000200'), aborted: true, taskCount: 4, doneCount: 1, revision: 1 },
		]
		const leaf = { from: '', to: '~', depth: 0, deeper: false, packed: packJobs(items), modRevision: 0 }
		simulation.state.put(archivePageKey(1, '~'), encodeArchivePage(leaf))
		simulation.state.put('heathroad/history', { form: 2, turn: 1, legacy: false })
	}
	await withServer(
		{},
		async ({ client }) => {
			const summary = (job: unknown) => {
				const { state, done, tasks } = job as { state: string; done: number; tasks: number }
				return [state, done, tasks]
			}
			assert.deepEqual(summary(await unary((done) => client.Get({ uid: 'job-000100' }, done))), [
				'STATE_DONE',
				3,
				3,
			])
			assert.deepEqual(summary(await unary((done) => client.Cancel({ uid: 'job-000200' }, done))), [
				'STATE_CANCELLED',
				1,
				4,
			])
			const resubmission = toSubmitRequest(arrayJob('job-000100', { tasks: 3 }))
			assert.deepEqual(summary(await unary((done) => client.Submit(resubmission, done))), [
				'STATE_DONE',
				3,
				3,
			])
			const watchFor = (uids: string[], cursor: string, ms: number) =>
				new Promise<{ events: EventMessage[]; ended: boolean }>((resolve) => {
					const call = client.Watch({ uids, cursor })
					const events: EventMessage[] = []
					const done = (ended: boolean) => {
						call.cancel()
						resolve({ events, ended })
					}
					call.on('data', (jobEvent: EventMessage) => events.push(jobEvent))
					call.on('error', () => {})
					call.on('end', () => done(true))
					setTimeout(() => done(false), ms)
				})
			const both = await watchFor(['job-000100', 'job-000200'], '', 2000)
			assert.deepEqual(
				both.events.map((jobEvent) => [jobEvent.uid, jobEvent.state]),
				[
					['job-000100', 'STATE_DONE'],
					['job-000200', 'STATE_CANCELLED'],
				],
			)
			assert.ok(both.ended, 'no event can follow')
			const second = await watchFor(['job-000100', 'job-000200'], both.events[0].cursor, 2000)
			assert.deepEqual(
				second.events.map((jobEvent) => jobEvent.uid),
				['job-000200'],
			)
			const three = ['job-000100', 'job-000200', 'job-000300']
			const some = await watchFor(three, '', 600)
			assert.equal(some.events.length, 2)
			assert.ok(!some.ended, 'one of the jobs may still be submitted')
			const rest = await watchFor(three, some.events[1].cursor, 600)
			assert.deepEqual(rest.events, [])
		},
		archive,
	)
})
