import { mkdtempSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { type ArchivedJob, jobIdOf } from '@heathroad/history'
import {
	arrayJob,
	FakeCloud,
	FakeStateStore,
	FakeWorker,
	InvariantChecker,
	RealClock,
} from '@heathroad/testkit'
import { createHttpClient, encodeSubmission, isMap, type JobSpec } from '@heathroad/wire'
import { Effect } from 'effect'
import { type Histogram, build as histogram } from 'hdr-histogram-js'
import { type Build, makeControllers } from './controllers.js'
import type { Experiment } from './experiment.js'
import { putArchive } from './past.js'
import { classOf, PluginDirectory } from './plugins.js'
import { serveCloud, serveState, serveWorkers, workerHost } from './services.js'
import { LAB_TYPES } from './types.js'

const TIMES = { reportS: 1, leaseS: 10, cancelS: 30 }
const KINDS = ['submit', 'poll', 'old poll', 'report'] as const
export type Kind = (typeof KINDS)[number]

/** One second of an experiment. */
export interface Second {
	atS: number
	/** answered, and neither refused nor unanswered */
	answered: Record<Kind, number>
	failed: Record<Kind, number>
	/** of all controllers, in MB */
	memoryMb: number[]
	requests: number
	/** of them, answered 429 */
	refused: number
	changes: number
	keys: number
}

export interface Outcome {
	build: Build
	seconds: Second[]
	latencies: Record<Kind, Histogram>
	broken: string[]
	jobs: { accepted: number; over: number }
	/** by class: jobs over, and what one took from its acceptance until its user heard of its end, in ms */
	classes: Record<string, Histogram>
	ends: string[]
	/** of each mass trouble: seconds until each kind is answered again */
	again: { atS: number; kind: string; after: Record<string, number | null> }[]
}

/** Plays an experiment with real controller processes among stand-ins behind sockets. */
export const runExperiment = async (e: Experiment, build: Build): Promise<Outcome> => {
	const clock = new RealClock(e.seed)
	const dir = mkdtempSync(join(tmpdir(), 'heathroad-lab-'))
	const plugins =
		e.plugins.kinds.length === 0 ? null : new PluginDirectory(dir, e.plugins.kinds, e.plugins.holdAtMostS)
	const classes: Record<string, Histogram> = {}
	// Set anew when everything stands: making a long history takes seconds.
	let began = performance.now()
	const nowS = () => (performance.now() - began) / 1000
	const rules = new InvariantChecker(() => performance.now() - began, TIMES.cancelS * 1000, new Map())
	const state = new FakeStateStore(clock, 10_000)
	const old: ArchivedJob[] = putArchive(
		state,
		e.history,
		8192,
		e.seed,
		Math.max(1, Math.floor(e.history / 5000)),
	)
	const stateFace = await serveState(state, e.state)
	const specs = new Map<string, JobSpec>()
	const byHost = new Map<string, FakeWorker>()
	const hosts = new Map<string, string>()
	const workerFace = await serveWorkers(byHost)
	const httpClient = createHttpClient(64)
	const zero = (): Record<Kind, number> => ({ submit: 0, poll: 0, 'old poll': 0, report: 0 })
	const latencies = Object.fromEntries(
		KINDS.map((k) => [k, histogram({ highestTrackableValue: 60_000, numberOfSignificantValueDigits: 3 })]),
	) as Record<Kind, Histogram>
	let second = { answered: zero(), failed: zero() }
	const firstAfter: { atS: number; kind: Kind }[] = []
	const call = async (
		kind: Kind,
		to: string,
		method: string,
		path: string,
		body: unknown,
		waitMs: number,
	) => {
		const sent = performance.now()
		const answer = await Effect.runPromise(Effect.option(httpClient.request(to, method, path, body, waitMs)))
		const got = answer._tag === 'Some' ? answer.value : null
		if (got !== null && got.status < 500 && got.status !== 429) {
			latencies[kind].recordValue(Math.max(1, Math.round(performance.now() - sent)))
			second.answered[kind]++
			firstAfter.push({ atS: nowS(), kind })
		} else second.failed[kind]++
		return got
	}
	const controllers = await (async () => {
		const cloud = new FakeCloud(
			clock,
			LAB_TYPES,
			new Map(['a', 'b'].flatMap((z) => [true, false].map((s) => [`box/${z}/${s}`, 50]))),
			(id, type, zone, spot) => {
				const host = workerHost(hosts.size)
				hosts.set(id, host)
				byHost.set(
					host,
					new FakeWorker(
						{
							clock,
							invariants: rules,
							reportMs: TIMES.reportS * 1000,
							leaseMs: TIMES.leaseS * 1000,
							controllers: controllers.map((_, i) => `ctl-${i}`),
							task: (piece) => {
								const spec = specs.get(piece.split('/')[0])
								if (spec === undefined) return null
								return {
									runMs: spec.expectedS * clock.between(800, 1200),
									fetchMs: 200,
									cpus: spec.cpus,
									fails: false,
								}
							},
							send: (_, name, path, body, reply) => {
								const to = controllers[Number(name.slice('ctl-'.length))].address
								const said = { ...(body as object), addr: `${host}:${workerFace.port}` }
								void call('report', to, 'POST', path, said, 4000).then((a) =>
									reply(a === null ? null : { status: a.status, body: a.body }),
								)
							},
						},
						id,
						type,
						zone,
						spot,
					),
				)
			},
			(id) => {
				const host = hosts.get(id)
				const worker = host === undefined ? undefined : byHost.get(host)
				worker?.die()
				return worker === undefined ? null : `box/${worker.zone}/${worker.spot}`
			},
		)
		const cloudFace = await serveCloud(cloud, 4)
		const own = plugins === null ? build : { ...build, ini: plugins.ini }
		const made = await makeControllers(e.controllers, own, {
			dir,
			state: stateFace.port,
			cloud: cloudFace.port,
			limits: e.state,
			workers: TIMES,
		})
		setTimeout(() => cloud.alreadyUp(e.machines, LAB_TYPES[0], 'a'), 500)
		return made
	})()
	began = performance.now()
	for (const c of controllers) c.start()
	const any = () => controllers[Math.floor(clock.random() * controllers.length)].address
	const wait = (ms: number) => new Promise((done) => setTimeout(done, ms))
	let accepted = 0
	const user = async (spec: JobSpec) => {
		specs.set(spec.uid, spec)
		rules.jobSubmitted(spec)
		const tell = (a: { status: number; body: unknown } | null, known: string | null) => {
			const status = isMap(a?.body) ? ((a.body.status as string) ?? null) : null
			if (a !== null) rules.observeStatus(spec.uid, a.status, status, known)
		}
		for (;;) {
			if (nowS() > e.forS) return
			const known = rules.observedState(spec.uid)
			const a = await call('submit', any(), 'POST', '/v2/runs', encodeSubmission(spec), 5000)
			tell(a, known)
			if (a?.status === 200 || a?.status === 201) break
			await wait(1000)
		}
		accepted++
		const acceptedAt = performance.now()
		for (;;) {
			await wait(plugins === null ? 2000 : 500)
			if (nowS() > e.forS) return
			const known = rules.observedState(spec.uid)
			if (known === 'done') {
				classes[spec.jobClass] ??= histogram({
					highestTrackableValue: 600_000,
					numberOfSignificantValueDigits: 3,
				})
				return void classes[spec.jobClass].recordValue(Math.round(performance.now() - acceptedAt))
			}
			tell(await call('poll', any(), 'GET', `/v2/runs/${spec.uid}`, undefined, 2000), known)
		}
	}
	const wrong: string[] = []
	const askOld = async (i: number) => {
		const p = old[i % old.length]
		const a = await call('old poll', any(), 'GET', `/v2/runs/${jobIdOf(p.ordinal)}`, undefined, 2000)
		if (a === null || a.status === 503) return
		const status = isMap(a.body) ? a.body.status : null
		if (a.status !== 200 || status !== (p.aborted ? 'aborted' : 'done'))
			wrong.push(`${jobIdOf(p.ordinal)}: ${a.status} ${status}`)
	}
	const every = (perS: number, what: (i: number) => void) => {
		if (perS <= 0) return
		let i = 0
		const timer = setInterval(() => {
			if (nowS() < e.forS) what(i++)
			else clearInterval(timer)
		}, 1000 / perS)
	}
	every(e.load.jobsPerS, (i) => {
		void user(
			arrayJob(`job-7${String(i * 7919 + 10 ** 9)}`, {
				tasks: e.load.tasks,
				expectedS: e.load.runS,
				spot: true,
				...(plugins === null || i % 2 === 0
					? {}
					: { jobClass: classOf(e.plugins.kinds[(i >> 1) % e.plugins.kinds.length]) }),
			}),
		)
	})
	every(old.length === 0 ? 0 : e.load.oldPollsPerS, (i) => void askOld(i * 31))
	for (const t of e.troubles)
		setTimeout(() => {
			if (t.kind === 'upgrade') {
				for (let s = 0; s < t.forS; s++) setTimeout(() => plugins?.upgrade(), s * 1000)
			} else if (t.kind === 'drain') {
				for (const i of t.who)
					controllers[i].drain(() => setTimeout(() => controllers[i].start(), t.forS * 1000))
			} else if (t.kind === 'outage') {
				state.down = true
				setTimeout(() => state.recover(), t.forS * 1000)
			} else
				for (const i of t.who) {
					controllers[i].kill()
					setTimeout(() => controllers[i].start(), t.forS * 1000)
				}
		}, t.atS * 1000)
	const seconds: Second[] = []
	let before = { ...stateFace.seen }
	for (let s = 1; s <= e.forS; s++) {
		await wait(Math.max(0, s * 1000 - (performance.now() - began)))
		const seen = { ...stateFace.seen }
		seconds.push({
			atS: s,
			...second,
			memoryMb: controllers.map((c) => c.sample()),
			requests: seen.requests - before.requests,
			refused: seen.refused - before.refused,
			changes: seen.changes - before.changes,
			keys: state.count('heathroad/'),
		})
		second = { answered: zero(), failed: zero() }
		before = seen
		rules.checkCancelledTasks()
	}
	for (const c of controllers) c.kill()
	for (const w of byHost.values()) w.dead = true
	clock.stop()
	stateFace.close()
	workerFace.close()
	httpClient.close()
	const unfinished = new Set(rules.unfinished())
	const over = [...specs.keys()].filter((u) => !unfinished.has(u)).length
	const again = e.troubles.map((t) => {
		const back = t.atS + t.forS
		const after = Object.fromEntries(
			KINDS.map((kind) => {
				const first = firstAfter.find((f) => f.kind === kind && f.atS > back)
				return [kind, first === undefined ? null : first.atS - t.atS]
			}),
		)
		return { atS: t.atS, kind: t.kind, after }
	})
	return {
		build,
		seconds,
		latencies,
		broken: [...rules.violations, ...wrong.map((w) => `an old job is answered wrongly: ${w}`)],
		jobs: { accepted, over },
		classes,
		ends: controllers.flatMap((c) => c.ends),
		again,
	}
}
