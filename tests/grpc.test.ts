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
import { GrpcFace } from '@heathroad/grpc'
import { archivePageKey, encodeArchivePage, ordinalOf, packJobs } from '@heathroad/history'
import { type EventMessage, jobsClient, toSubmitRequest } from '@heathroad/proto'
import { arrayJob, RealClock, Simulation } from '@heathroad/testkit'

/** One controller among stand-ins, in real time, with its face for gRPC. */
const withFace = async (
	more: Partial<ReturnType<typeof defaultGrpcSettings>>,
	work: (at: {
		port: number
		face: GrpcFace
		world: Simulation
		client: InstanceType<ReturnType<typeof jobsClient>>
	}) => Promise<void>,
	before: (world: Simulation) => void = () => {},
): Promise<void> => {
	const clock = new RealClock()
	const day = { seed: 1, untilS: 0, jobs: [], faults: [], controllers: 1, up: 4, capacity: 0 }
	const world = new Simulation({ ...day, report: { reportS: 0.5, leaseS: 6, cancelS: 14 } }, clock)
	let face: GrpcFace | null = null
	let started: Promise<number> = Promise.resolve(0)
	world.started = (_, node) => {
		face = new GrpcFace(node, { ...defaultGrpcSettings('127.0.0.1:0'), everyS: 0.1, ...more })
		started = face.start()
	}
	before(world)
	world.begin()
	const port = await started
	const Client = jobsClient()
	const client = new Client(`127.0.0.1:${port}`, credentials.createInsecure())
	try {
		// The machine types and the installation's name are known a moment after the start.
		for (let n = 0; n < 100; n++) {
			const e = await failed(client.Watch({ uids: ['job-000000'] }), 150)
			if (e === null || e.code !== status.UNAVAILABLE) break
			await new Promise((done) => setTimeout(done, 50))
		}
		await work({ port, face: face!, world, client })
	} finally {
		client.close()
		await face!.stop(0)
		clock.stop()
		await world.end()
	}
}

/** How a stream ends within a time; null: it does not. */
const failed = (call: ClientReadableStream<EventMessage>, ms = 3000): Promise<ServiceError | null> =>
	new Promise((resolve) => {
		const timer = setTimeout(() => {
			resolve(null)
			call.cancel()
		}, ms)
		call.on('data', () => {})
		call.on('error', (e) => {
			clearTimeout(timer)
			resolve(e as ServiceError)
		})
	})

const unary = (
	begin: (done: (e: ServiceError | null, a?: unknown) => void) => void,
): Promise<ServiceError | unknown> => new Promise((resolve) => begin((e, a) => resolve(e ?? a)))

test('calls and their statuses, as users of gRPC expect them', async () => {
	await withFace({ uids: 5 }, async ({ client }) => {
		const submit = (job: object) => unary((done) => client.Submit(job, done))
		const good = toSubmitRequest(
			arrayJob('job-000001', { tasks: 2, expectedS: 0.3, imageGb: 0.1, spot: false }),
		)
		const job = (await submit(good)) as { uid: string; state: string; tasks: number }
		assert.deepEqual([job.uid, job.state, job.tasks], ['job-000001', 'STATE_PENDING', 2])
		assert.equal(((await submit(good)) as { uid: string }).uid, 'job-000001', 'a retry gets the job')
		const cases: [name: string, answer: Promise<unknown>, code: status, says: RegExp][] = [
			['no uid', submit({ ...good, uid: '' }), status.INVALID_ARGUMENT, /^uid: Expected "job-" followed/],
			['no tasks', submit({ ...good, uid: 'job-000002', tasks: 0 }), status.INVALID_ARGUMENT, /^tasks: /],
			[
				'no class',
				submit({ ...good, uid: 'job-000002', job_class: '' }),
				status.INVALID_ARGUMENT,
				/^job_class: /,
			],
			[
				'a team unknown',
				submit({ ...good, uid: 'job-000002', team: 'x' }),
				status.FAILED_PRECONDITION,
				/unknown team x/,
			],
			[
				'a task too large',
				submit({ ...good, uid: 'job-000002', cpus: 99 }),
				status.FAILED_PRECONDITION,
				/no allowed machine/,
			],
			['an unknown job', unary((d) => client.Get({ uid: 'job-009999' }, d)), status.NOT_FOUND, /no such job/],
			[
				'an id that is a path',
				unary((d) => client.Get({ uid: '../healthz' }, d)),
				status.INVALID_ARGUMENT,
				/^uid: /,
			],
			[
				'cancelling an unknown job',
				unary((d) => client.Cancel({ uid: 'job-009999' }, d)),
				status.NOT_FOUND,
				/no such/,
			],
			['watching nothing', failed(client.Watch({})), status.INVALID_ARGUMENT, /one of the two/],
			[
				'watching both',
				failed(client.Watch({ uids: ['job-000001'], team: 'core' })),
				status.INVALID_ARGUMENT,
				/one of the two/,
			],
			['a wrong id', failed(client.Watch({ uids: ['job-1'] })), status.INVALID_ARGUMENT, /^uids: /],
			[
				'too many ids',
				failed(client.Watch({ uids: [1, 2, 3, 4, 5, 6].map((i) => `job-00000${i}`) })),
				status.RESOURCE_EXHAUSTED,
				/too many ids/,
			],
			[
				'a made-up cursor',
				failed(client.Watch({ team: 'core', cursor: 'x' })),
				status.INVALID_ARGUMENT,
				/^cursor: /,
			],
		]
		for (const [name, answer, code, says] of cases) {
			const e = (await answer) as ServiceError
			assert.equal(e?.code, code, `${name}: ${JSON.stringify(e)}`)
			assert.match(e.details, says, name)
		}
		const seen: string[] = []
		for await (const e of client.Watch({ uids: ['job-000001'] }) as AsyncIterable<EventMessage>)
			seen.push(e.state)
		assert.equal(seen[seen.length - 1], 'STATE_DONE', 'and the stream ends with the last of its jobs')
		assert.equal(seen.filter((s) => s === 'STATE_DONE').length, 1)
	})
})

test('streams beyond the bounds are refused at once with a time, in trailers and as RetryInfo', async () => {
	await withFace({ streams: 3 }, async ({ client, face }) => {
		const open = [1, 2, 3].map((i) => client.Watch({ uids: [`job-00000${i}`] }))
		for (const s of open) s.on('error', () => {})
		for (let n = 0; n < 50 && face.open < 3; n++) await new Promise((done) => setTimeout(done, 20))
		const begun = Date.now()
		const e = (await failed(client.Watch({ team: 'core' }))) as ServiceError
		assert.ok(Date.now() - begun < 500, 'at once')
		assert.equal(e.code, status.RESOURCE_EXHAUSTED)
		assert.ok(Number(e.metadata.get('retry-after-ms')[0]) >= 1000)
		const [details] = e.metadata.get('grpc-status-details-bin')
		assert.match(Buffer.from(details as Buffer).toString('latin1'), /google\.rpc\.RetryInfo/)
		open[0].cancel()
		for (let n = 0; n < 50 && face.open > 2; n++) await new Promise((done) => setTimeout(done, 20))
		assert.equal(face.open, 2, 'a place that was left is free')
		for (const s of open) s.cancel()
	})
})

test('a controller that ends lets its streams go with UNAVAILABLE and their cursor', async () => {
	await withFace({}, async ({ client, face }) => {
		const stream = client.Watch({ team: 'core' })
		const ended = failed(stream)
		const began = new Promise<string>((done) =>
			stream.once('metadata', (m) => done(String(m.get('cursor')[0]))),
		)
		// Told with the headers: it is all that a stream has which dies before its first event.
		assert.match(String(await Promise.race([began, ended])), /^1\.p\./)
		await face.stop(500)
		const e = await ended
		assert.equal(e?.code, status.UNAVAILABLE)
		assert.match(String(e?.metadata.get('cursor')[0]), /^1\./)
	})
})

test('hostile peers: nothing that they send holds up the others', async () => {
	await withFace({ connections: 12, stallS: 1 }, async ({ port, client }) => {
		const calm = async (name: string) => {
			const e = (await unary((d) => client.Get({ uid: 'job-009999' }, d))) as ServiceError
			assert.equal(e.code, status.NOT_FOUND, name)
		}
		// No HTTP/2 at all, or nothing at all: closed, or of no matter.
		for (const text of ['GET / HTTP/1.1\r\nhost: x\r\n\r\n', '\x00'.repeat(100), '']) {
			const socket = net.connect(port).on('error', () => {})
			socket.write(text)
			await calm('bytes that are no HTTP/2')
			socket.destroy()
		}
		const session = http2.connect(`http://127.0.0.1:${port}`).on('error', () => {})
		const raw = (
			path: string,
			headers: http2.OutgoingHttpHeaders,
			body?: Buffer,
		): Promise<http2.IncomingHttpHeaders | string> =>
			new Promise((resolve) => {
				const s = session.request({
					':method': 'POST',
					':path': path,
					'content-type': 'application/grpc',
					te: 'trailers',
					...headers,
				})
				let first: http2.IncomingHttpHeaders = {}
				s.on('response', (h) => (first = h))
				s.on('trailers', (t) => resolve({ ...first, ...t }))
				s.on('error', (e) => resolve(String(e)))
				s.on('close', () => resolve(first))
				s.resume()
				s.end(body)
			})
		const frame = (length: number, body: Buffer) => Buffer.concat([Buffer.from([0]), u32(length), body])
		const u32 = (n: number) => {
			const b = Buffer.alloc(4)
			b.writeUInt32BE(n)
			return b
		}
		const codeOf = (h: http2.IncomingHttpHeaders | string) =>
			typeof h === 'string' ? h : Number(h['grpc-status'])
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
		const bent = codeOf(
			await raw('/heathroad.v1.Jobs/Get', {}, frame(4, Buffer.from([0xff, 0xff, 0xff, 0xff]))),
		)
		assert.ok(bent === status.INTERNAL || bent === status.INVALID_ARGUMENT, `a message that is none: ${bent}`)
		const flood: http2.OutgoingHttpHeaders = {}
		for (let i = 0; i < 400; i++) flood[`x-${i}`] = 'y'.repeat(200)
		await raw('/heathroad.v1.Jobs/Get', flood)
		await calm('a flood of headers')
		session.destroy()
		// Opens streams and never reads: no window for it at all.
		const deaf = http2
			.connect(`http://127.0.0.1:${port}`, { settings: { initialWindowSize: 0 } })
			.on('error', () => {})
		const uids = frame(12, Buffer.from([0x0a, 10, ...Buffer.from('job-009998')]))
		for (let i = 0; i < 50; i++) {
			const s = deaf.request({
				':method': 'POST',
				':path': '/heathroad.v1.Jobs/Watch',
				'content-type': 'application/grpc',
				te: 'trailers',
			})
			s.on('error', () => {})
			s.end(uids)
		}
		await calm('streams that nobody reads')
		// More connections than there may be: those that are served go on.
		const many = Array.from({ length: 30 }, () => net.connect(port).on('error', () => {}))
		await new Promise((done) => setTimeout(done, 200))
		await calm('more connections than may be')
		for (const m of many) m.destroy()
		deaf.destroy()
	})
})

test('health and reflection answer beside the jobs', async () => {
	await withFace({}, async ({ port }) => {
		const plain = (x: Buffer) => x
		const method = (path: string, stream: boolean) => ({
			path,
			requestStream: stream,
			responseStream: stream,
			requestSerialize: plain,
			requestDeserialize: plain,
			responseSerialize: plain,
			responseDeserialize: plain,
		})
		const Raw = makeGenericClientConstructor(
			{
				check: method('/grpc.health.v1.Health/Check', false),
				reflect: method('/grpc.reflection.v1.ServerReflection/ServerReflectionInfo', true),
			},
			'raw',
		)
		const raw = new Raw(`127.0.0.1:${port}`, credentials.createInsecure()) as unknown as {
			check(q: Buffer, done: (e: ServiceError | null, a?: Buffer) => void): void
			reflect(): { write(q: Buffer): void; end(): void; on(event: string, f: (a: Buffer) => void): void }
			close(): void
		}
		const health = (await unary((d) => raw.check(Buffer.alloc(0), d))) as Buffer
		assert.deepEqual([...health], [8, 1], 'SERVING')
		const listed = await new Promise<Buffer>((resolve) => {
			const call = raw.reflect()
			call.on('data', resolve)
			call.on('error', (e) => resolve(Buffer.from(String(e))))
			// list_services
			call.write(Buffer.from([0x3a, 0]))
			call.end()
		})
		assert.match(listed.toString('latin1'), /heathroad\.v1\.Jobs/)
		raw.close()
	})
})

test('jobs that were archived long ago: told like all others, and each final state once, over a resume', async () => {
	const archive = (world: Simulation) => {
		const items = [
			{ ordinal: ordinalOf('job-000100'), aborted: false, taskCount: 3, doneCount: 3, revision: 2 },
			{ ordinal: ordinalOf('job-000200'), aborted: true, taskCount: 4, doneCount: 1, revision: 1 },
		]
		const leaf = { from: '', to: '~', depth: 0, deeper: false, packed: packJobs(items), modRevision: 0 }
		world.state.put(archivePageKey(1, '~'), encodeArchivePage(leaf))
		world.state.put('heathroad/history', { form: 2, turn: 1, legacy: false })
	}
	await withFace(
		{},
		async ({ client }) => {
			const brief = (j: unknown) => {
				const { state, done, tasks } = j as { state: string; done: number; tasks: number }
				return [state, done, tasks]
			}
			assert.deepEqual(brief(await unary((d) => client.Get({ uid: 'job-000100' }, d))), ['STATE_DONE', 3, 3])
			assert.deepEqual(brief(await unary((d) => client.Cancel({ uid: 'job-000200' }, d))), [
				'STATE_CANCELLED',
				1,
				4,
			])
			const again = toSubmitRequest(arrayJob('job-000100', { tasks: 3 }))
			assert.deepEqual(brief(await unary((d) => client.Submit(again, d))), ['STATE_DONE', 3, 3])
			const heard = (uids: string[], cursor: string, ms: number) =>
				new Promise<{ events: EventMessage[]; ended: boolean }>((resolve) => {
					const call = client.Watch({ uids, cursor })
					const events: EventMessage[] = []
					const done = (ended: boolean) => {
						call.cancel()
						resolve({ events, ended })
					}
					call.on('data', (e: EventMessage) => events.push(e))
					call.on('error', () => {})
					call.on('end', () => done(true))
					setTimeout(() => done(false), ms)
				})
			const both = await heard(['job-000100', 'job-000200'], '', 2000)
			assert.deepEqual(
				both.events.map((e) => [e.uid, e.state]),
				[
					['job-000100', 'STATE_DONE'],
					['job-000200', 'STATE_CANCELLED'],
				],
			)
			assert.ok(both.ended, 'nothing is left to tell')
			const second = await heard(['job-000100', 'job-000200'], both.events[0].cursor, 2000)
			assert.deepEqual(
				second.events.map((e) => e.uid),
				['job-000200'],
			)
			const three = ['job-000100', 'job-000200', 'job-000300']
			const some = await heard(three, '', 600)
			assert.equal(some.events.length, 2)
			assert.ok(!some.ended, 'one of them may yet be submitted')
			const rest = await heard(three, some.events[1].cursor, 600)
			assert.deepEqual(rest.events, [])
		},
		archive,
	)
})
