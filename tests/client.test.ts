import assert from 'node:assert/strict'
import { spawn } from 'node:child_process'
import { mkdtempSync, readFileSync, writeFileSync } from 'node:fs'
import type { AddressInfo } from 'node:net'
import { join } from 'node:path'
import { test } from 'node:test'
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
import { pauseMs, worthwhile } from '../packages/client/src/retry.js'

const limits = { idleMs: 5000, requestMs: 5000, sockets: 2000 }

/** A service that carries submissions out, or not, and answers, or not, as a seed says. */
const faulty = async (seed: number, fault: (random: () => number) => string) => {
	const rng = xoroshiro128plus(seed)
	const random = () => uniformFloat64(rng)
	/** how often each id was carried out as a new job, by the label that its caller gave it */
	const executed = new Map<string, Set<string>>()
	const faults: Record<string, number> = {}
	const server = await startHttpServer('127.0.0.1:0', limits, (call, reply: Respond) => {
		const kind = fault(random)
		faults[kind] = (faults[kind] ?? 0) + 1
		if (kind === 'refused') return reply({ status: 503, retryAfterS: 1 })
		const body = isMap(call.body) ? call.body : {}
		const uid = String(body.uid)
		const label = String(body.bundle)
		executed.set(label, (executed.get(label) ?? new Set()).add(uid))
		if (kind === 'silent') return
		// As a process does that ends: every connection dies, those of other calls too.
		if (kind === 'reset') return server.closeAllConnections()
		reply({ status: 201, body: { uid, status: 'pending' } })
	})
	return { server, executed, faults, address: `127.0.0.1:${(server.address() as AddressInfo).port}` }
}

test('over thousands of lost answers, resets and restarts no submission becomes two jobs', async () => {
	const one = await faulty(1, (r) => {
		const x = r()
		return x < 0.08 ? 'silent' : x < 0.14 ? 'reset' : x < 0.15 ? 'refused' : 'answered'
	})
	const client = new Client({ http: [one.address], tryMs: 300, deadlineMs: 30_000 })
	const total = 2000
	let next = 0
	const refused: string[] = []
	const worker = async () => {
		for (let i = next++; i < total; i = next++) {
			// Half of the callers leave the id to the library.
			const uid = i % 2 === 0 ? { uid: `job-${String(1_000_000 + i)}` } : {}
			try {
				const job = await client.submit({ ...uid, jobClass: 'any', team: 'core', image: `label-${i}` })
				assert.match(job.uid, JOB_ID_PATTERN)
			} catch (e) {
				refused.push(String(e))
			}
		}
	}
	await Promise.all(Array.from({ length: 100 }, worker))
	client.close()
	one.server.closeAllConnections()
	one.server.close()
	assert.deepEqual(refused, [])
	assert.equal(one.executed.size, total, 'every submission was carried out')
	const twice = [...one.executed].filter(([, uids]) => uids.size !== 1)
	assert.deepEqual(twice, [], 'under one id')
	assert.ok(one.faults.silent > 50 && one.faults.reset > 50, JSON.stringify(one.faults))
})

test('what an error says of the job', async () => {
	const closed = await faulty(1, () => 'answered')
	closed.server.close()
	const silent = await faulty(2, () => 'silent')
	const busy = await startHttpServer('127.0.0.1:0', limits, (_, reply) =>
		reply({ status: 429, retryAfterS: 20 }),
	)
	const says = (status: number) =>
		startHttpServer('127.0.0.1:0', limits, (_, reply) => reply({ status, body: { error: 'no' } }))
	const servers = [await says(400), await says(422), await says(404)]
	const at = (s: { address(): unknown }) => `127.0.0.1:${(s.address() as AddressInfo).port}`
	const cases: [name: string, http: string, kind: new (...a: never[]) => JobError, maybe: boolean][] = [
		['nobody is there', closed.address, DeadlineOver, false],
		['no answer', silent.address, DeadlineOver, true],
		['refused until later than the deadline', at(busy), DeadlineOver, false],
		['malformed', at(servers[0]), MalformedJob, false],
		['can never run', at(servers[1]), NeverRuns, false],
		['unknown', at(servers[2]), UnknownJob, false],
	]
	for (const [name, http, kind, maybe] of cases) {
		const client = new Client({ http: [http], tryMs: 100, deadlineMs: 600 })
		const e: unknown = await client.submit({ jobClass: 'any', team: 'core', image: 'x' }).catch((e) => e)
		assert.ok(e instanceof kind, `${name}: ${e}`)
		assert.equal(e.mayBeAccepted, maybe, name)
		assert.match(e.uid, JOB_ID_PATTERN, 'it says under which id')
		client.close()
	}
	const client = new Client({ http: [silent.address], deadlineMs: 20_000 })
	const begun = Date.now()
	const e = await client
		.submit({ jobClass: 'any', team: 'core', image: 'x' }, { signal: AbortSignal.timeout(100) })
		.catch((e) => e)
	assert.ok(e instanceof Interrupted && e.mayBeAccepted)
	assert.ok(Date.now() - begun < 2000, 'at once')
	client.close()
	for (const s of [silent.server, busy, ...servers]) {
		s.closeAllConnections()
		s.close()
	}
	assert.equal(new Set(Array.from({ length: 1000 }, newUid)).size, 1000)
})

test('pauses between tries', () => {
	const later = (more: object) => ({
		kind: 'later' as const,
		text: '',
		afterMs: null,
		maybe: true,
		unreached: false,
		...more,
	})
	const range = (n: number, more: object, addresses: number) =>
		[0, 0.999].map((r) => Math.round(pauseMs(n, later(more), addresses, () => r)))
	const cases: [name: string, n: number, more: object, addresses: number, least: number, most: number][] = [
		['the first', 1, {}, 1, 100, 200],
		['it doubles', 4, {}, 1, 800, 1600],
		['up to a bound', 30, {}, 1, 5000, 10_000],
		['what the service asked for is the least', 1, { afterMs: 4000 }, 1, 4000, 5000],
		['nobody there: the next address almost at once', 1, { unreached: true }, 3, 0, 20],
		['nobody at any: a pause', 3, { unreached: true }, 3, 100, 200],
	]
	for (const [name, n, more, addresses, least, most] of cases) {
		const [low, high] = range(n, more, addresses)
		assert.ok(low >= least && high <= most, `${name}: ${low} to ${high}`)
	}
	assert.equal(worthwhile(0, 500, 400), false, 'a try that could only come too late is not begun')
})

test('the example of the manual runs as it stands there', async () => {
	const page = readFileSync('docs/client.md', 'utf8')
	const code = /```ts\n([\s\S]*?)```/.exec(page)?.[1]
	assert.ok(code !== undefined)
	const clock = new RealClock()
	const day = { seed: 1, untilS: 0, jobs: [], faults: [], controllers: 1, up: 4, capacity: 0 }
	const world = new Simulation({ ...day, report: { reportS: 0.5, leaseS: 6, cancelS: 14 } }, clock)
	const node = await new Promise<number>((resolve) => {
		world.started = (_, service) => {
			void startHttpServer('127.0.0.1:0', limits, (call, reply) => service.handleRequest(call, reply)).then(
				(server) => {
					server.unref()
					resolve((server.address() as AddressInfo).port)
				},
			)
		}
		world.begin()
	})
	const { build } = await import('esbuild')
	// Below the repository, where the libraries that are not bundled are found.
	const dir = mkdtempSync(join('target', 'example-'))
	const file = join(dir, 'example.ts')
	const http = `http: ['127.0.0.1:${node}'], pollMs: 300`
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
	const child = spawn(process.execPath, [join(dir, 'example.mjs')], { stdio: ['ignore', 'pipe', 'inherit'] })
	let out = ''
	child.stdout.on('data', (c) => {
		out += c
	})
	const exit = await new Promise((done) => child.once('close', done))
	clock.stop()
	await world.end()
	assert.equal(exit, 0)
	assert.match(out, /^job-\d+ pending\n/)
	assert.match(out, /\njob-\d+ done: 3 of 3\n$/)
})
