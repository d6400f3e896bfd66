import assert from 'node:assert/strict'
import { spawn } from 'node:child_process'
import { mkdtempSync, readFileSync, writeFileSync } from 'node:fs'
import type { AddressInfo } from 'node:net'
import { join } from 'node:path'
import { test } from 'node:test'
import { Metadata, status } from '@grpc/grpc-js'
import {
	Client,
	DeadlineOver,
	Interrupted,
	type JobError,
	MalformedJob,
	NeverRuns,
	newUid,
	UnknownJob,
} from '@heathroad/client'
import { type Respond, startHttpServer } from '@heathroad/server'
import { RealClock, Simulation } from '@heathroad/testkit'
import { isMap, JOB_ID_PATTERN } from '@heathroad/wire'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { toFailure } from '../packages/client/src/grpc.js'
import { toOutcome } from '../packages/client/src/http.js'
import { hasTimeForRetry, retryDelayMs } from '../packages/client/src/retry.js'

/** Time after which the manual's example is killed. */
const EXAMPLE_TIMEOUT_MS = 120_000
const limits = { idleTimeoutMs: 5000, requestTimeoutMs: 5000, maxSockets: 2000 }

/** Starts a service with seeded faults: it may refuse a submission, or accept it and not respond. */
const startFaultyService = async (seed: number, drawFault: (random: () => number) => string) => {
	const rng = xoroshiro128plus(seed)
	const random = () => uniformFloat64(rng)
	/** ids under which jobs were accepted, by the caller's label of the job */
	const acceptedIds = new Map<string, Set<string>>()
	const faults: Record<string, number> = {}
	const server = await startHttpServer('127.0.0.1:0', limits, (call, reply: Respond) => {
		const fault = drawFault(random)
		faults[fault] = (faults[fault] ?? 0) + 1
		if (fault === 'refused') return reply({ status: 503, retryAfterS: 1 })
		const body = isMap(call.body) ? call.body : {}
		const uid = String(body.uid)
		const label = String(body.bundle)
		acceptedIds.set(label, (acceptedIds.get(label) ?? new Set()).add(uid))
		if (fault === 'silent') return
		// As in a crash of the process, the connections of all other calls break too.
		if (fault === 'reset') return server.closeAllConnections()
		reply({ status: 201, body: { uid, status: 'pending' } })
	})
	return { server, acceptedIds, faults, address: `127.0.0.1:${(server.address() as AddressInfo).port}` }
}

test('with thousands of lost responses, resets and refusals no submission becomes two jobs', async () => {
	const service = await startFaultyService(1, (random) => {
		const drawn = random()
		if (drawn < 0.08) return 'silent'
		if (drawn < 0.14) return 'reset'
		return drawn < 0.15 ? 'refused' : 'answered'
	})
	const client = new Client({ http: [service.address], tryMs: 300, deadlineMs: 30_000 })
	const submissions = 2000
	let next = 0
	const errors: string[] = []
	const worker = async () => {
		for (let index = next++; index < submissions; index = next++) {
			// For half of the submissions the client generates the id.
			const uid = index % 2 === 0 ? { uid: `job-${String(1_000_000 + index)}` } : {}
			try {
				const job = await client.submit({ ...uid, jobClass: 'any', team: 'core', image: `label-${index}` })
				assert.match(job.uid, JOB_ID_PATTERN)
			} catch (error) {
				errors.push(String(error))
			}
		}
	}
	await Promise.all(Array.from({ length: 100 }, worker))
	client.close()
	service.server.closeAllConnections()
	service.server.close()
	assert.deepEqual(errors, [])
	assert.equal(service.acceptedIds.size, submissions, 'every submission was accepted')
	const acceptedTwice = [...service.acceptedIds].filter(([, uids]) => uids.size !== 1)
	assert.deepEqual(acceptedTwice, [], 'each under one id')
	assert.ok(service.faults.silent > 50 && service.faults.reset > 50, JSON.stringify(service.faults))
})

test('an error says whether the job may have been accepted', async () => {
	const closed = await startFaultyService(1, () => 'answered')
	closed.server.close()
	const silent = await startFaultyService(2, () => 'silent')
	const overloaded = await startHttpServer('127.0.0.1:0', limits, (_, reply) =>
		reply({ status: 429, retryAfterS: 20 }),
	)
	const startAnswering = (status: number) =>
		startHttpServer('127.0.0.1:0', limits, (_, reply) => reply({ status, body: { error: 'no' } }))
	const servers = [await startAnswering(400), await startAnswering(422), await startAnswering(404)]
	const addressOf = (server: { address(): unknown }) => `127.0.0.1:${(server.address() as AddressInfo).port}`
	const cases: [
		name: string,
		http: string,
		error: new (...args: never[]) => JobError,
		mayBeAccepted: boolean,
	][] = [
		['no connection', closed.address, DeadlineOver, false],
		['no response', silent.address, DeadlineOver, true],
		['the requested delay exceeds the deadline', addressOf(overloaded), DeadlineOver, false],
		['malformed', addressOf(servers[0]), MalformedJob, false],
		['can never run', addressOf(servers[1]), NeverRuns, false],
		['unknown', addressOf(servers[2]), UnknownJob, false],
	]
	for (const [name, http, expectedError, mayBeAccepted] of cases) {
		const client = new Client({ http: [http], tryMs: 100, deadlineMs: 600 })
		const error: unknown = await client
			.submit({ jobClass: 'any', team: 'core', image: 'x' })
			.catch((caught) => caught)
		assert.ok(error instanceof expectedError, `${name}: ${error}`)
		assert.equal(error.mayBeAccepted, mayBeAccepted, name)
		assert.match(error.uid, JOB_ID_PATTERN, 'the error has the job id')
		client.close()
	}
	const client = new Client({ http: [silent.address], deadlineMs: 20_000 })
	const startedAt = Date.now()
	const error = await client
		.submit({ jobClass: 'any', team: 'core', image: 'x' }, { signal: AbortSignal.timeout(100) })
		.catch((caught) => caught)
	assert.ok(error instanceof Interrupted && error.mayBeAccepted)
	assert.ok(Date.now() - startedAt < 2000, 'at once')
	client.close()
	for (const server of [silent.server, overloaded, ...servers]) {
		server.closeAllConnections()
		server.close()
	}
	assert.equal(new Set(Array.from({ length: 1000 }, newUid)).size, 1000)
})

test('retry delays', () => {
	const failureWith = (changes: object) => ({
		kind: 'retryable' as const,
		text: '',
		retryAfterMs: null,
		mayBeAccepted: true,
		isUnreachable: false,
		...changes,
	})
	const range = (tries: number, changes: object, addressCount: number) =>
		[0, 0.999].map((drawn) =>
			Math.round(retryDelayMs({ tries, failure: failureWith(changes), addressCount, random: () => drawn })),
		)
	type Case = [name: string, tries: number, changes: object, addressCount: number, min: number, max: number]
	const cases: Case[] = [
		['the first delay', 1, {}, 1, 100, 200],
		['it doubles', 4, {}, 1, 800, 1600],
		['up to a limit', 30, {}, 1, 5000, 10_000],
		['the delay that the service requested is the minimum', 1, { retryAfterMs: 4000 }, 1, 4000, 5000],
		['no connection: the next address almost at once', 1, { isUnreachable: true }, 3, 0, 20],
		['no connection to any address: a longer delay', 3, { isUnreachable: true }, 3, 100, 200],
		[
			'no connection in a later round: the next address almost at once',
			31,
			{ isUnreachable: true },
			3,
			0,
			20,
		],
		['no connection for a long time: a bounded delay', 30, { isUnreachable: true }, 3, 1000, 2000],
		['a lost connection: it doubles', 4, { isConnectionLost: true }, 3, 800, 1600],
		['a connection lost repeatedly: a bounded delay', 30, { isConnectionLost: true }, 3, 1000, 2000],
		[
			'controllers that repeatedly cannot serve: a bounded delay',
			30,
			{ isNotServing: true, retryAfterMs: 1000 },
			3,
			1000,
			2000,
		],
		[
			'a controller that cannot serve requests a longer delay',
			30,
			{ isNotServing: true, retryAfterMs: 4000 },
			3,
			4000,
			5000,
		],
		['repeated overload: up to the long limit', 30, { retryAfterMs: 1000 }, 3, 5000, 10_000],
	]
	for (const [name, tries, changes, addressCount, min, max] of cases) {
		const [low, high] = range(tries, changes, addressCount)
		assert.ok(low >= min && high <= max, `${name}: ${low} to ${high}`)
	}
	assert.equal(hasTimeForRetry(0, 500, 400), false, 'no attempt starts after the deadline')
})

/** Guards against growing retry delays while readers are refused by controllers that only just started (incident 36). */
test('a refusal by a controller that cannot serve is distinguished from overload and from a lost connection', () => {
	const grpcError = (code: status, details: string, retryAfterMs?: number) => {
		const metadata = new Metadata()
		if (retryAfterMs !== undefined) metadata.set('retry-after-ms', String(retryAfterMs))
		return Object.assign(new Error(details), { code, details, metadata })
	}
	const response = (code: number, retryAfterS: number) => ({ status: code, body: {}, retryAfterS })
	const NONE = { isUnreachable: false, isConnectionLost: false, isNotServing: false }
	const cases: [name: string, failure: object, expected: Partial<typeof NONE>][] = [
		[
			'gRPC, a controller that started',
			toFailure(grpcError(status.UNAVAILABLE, 'this controller cannot tell now', 1000)),
			{ isNotServing: true },
		],
		[
			'gRPC, a lost connection',
			toFailure(grpcError(status.UNAVAILABLE, 'Connection dropped')),
			{ isConnectionLost: true },
		],
		[
			'gRPC, no connection',
			toFailure(grpcError(status.UNAVAILABLE, 'No connection established')),
			{ isUnreachable: true },
		],
		['gRPC, too many streams', toFailure(grpcError(status.RESOURCE_EXHAUSTED, 'too many', 1000)), {}],
		['HTTP, a controller that started', toOutcome(response(503, 1)), { isNotServing: true }],
		['HTTP, too many requests', toOutcome(response(429, 1)), {}],
	]
	for (const [name, failure, expected] of cases) {
		const { isUnreachable, isConnectionLost, isNotServing } = { ...NONE, ...failure }
		assert.deepEqual({ isUnreachable, isConnectionLost, isNotServing }, { ...NONE, ...expected }, name)
	}
})

test('the example of the manual runs as written', async () => {
	const page = readFileSync('docs/client.md', 'utf8')
	const code = /```ts\n([\s\S]*?)```/.exec(page)?.[1]
	assert.ok(code !== undefined)
	const clock = new RealClock()
	const cluster = { seed: 1, untilS: 0, jobs: [], faults: [], controllers: 1, up: 4, capacity: 0 }
	const simulation = new Simulation(
		{ ...cluster, workerTimes: { heartbeatIntervalS: 0.5, leaseS: 6, cancelS: 14 } },
		clock,
	)
	const port = await new Promise<number>((resolve) => {
		simulation.onStarted = (_, service) => {
			void startHttpServer('127.0.0.1:0', limits, (call, reply) => service.handleRequest(call, reply)).then(
				(server) => {
					server.unref()
					resolve((server.address() as AddressInfo).port)
				},
			)
		}
		simulation.begin()
	})
	const { build } = await import('esbuild')
	// Inside the repository, so that the libraries that are not bundled resolve.
	const dir = mkdtempSync(join('target', 'example-'))
	const file = join(dir, 'example.ts')
	const http = `http: ['127.0.0.1:${port}'], pollMs: 300`
	writeFileSync(file, code.replace(/grpc: \[[^\]]*\]/, http))
	await build({
		entryPoints: [file],
		outfile: join(dir, 'example.mjs'),
		bundle: true,
		platform: 'node',
		format: 'esm',
		banner: {
			js: "import { createRequire } from 'node:module'; const require = createRequire(import.meta.url)",
		},
		external: ['@grpc/*', 'protobufjs'],
		loader: { '.proto': 'text' },
		nodePaths: ['node_modules'],
		logLevel: 'error',
	})
	const child = spawn(process.execPath, [join(dir, 'example.mjs')], {
		stdio: ['ignore', 'pipe', 'inherit'],
		timeout: EXAMPLE_TIMEOUT_MS,
		killSignal: 'SIGKILL',
	})
	let output = ''
	child.stdout.on('data', (chunk) => {
		output += chunk
	})
	const exitCode = await new Promise((done) => child.once('close', done))
	clock.stop()
	await simulation.end()
	assert.equal(exitCode, 0, `null: killed after ${EXAMPLE_TIMEOUT_MS} ms; ${output}`)
	assert.match(output, /^job-\d+ pending\n/)
	assert.match(output, /\njob-\d+ done: 3 of 3\n$/)
})
