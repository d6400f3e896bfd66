import { Client, isFinal, type JobEvent } from '@heathroad/client'
import { defaultGrpcSettings } from '@heathroad/config'
import { GrpcFace } from '@heathroad/grpc'
import { RealClock } from './clock.js'
import { FlakyProxy } from './flaky-proxy.js'
import { arrayJob } from './simulated-day.js'
import { Simulation } from './simulation.js'

export interface StreamCheckOptions {
	seed: number
	jobs: number
	/** how long at most, in seconds */
	forS: number
	/** pauses between troubles, in ms */
	everyMs: number
}

export interface StreamCheckResult {
	jobs: number
	/** connections cut, controllers crashed, times that answers were lost */
	cuts: number
	crashes: number
	lossy: number
	/** events told, and by how many readers */
	events: number
	readers: number
	/** final states: those that a reader never got, got twice, or saw taken back */
	missing: string[]
	repeated: string[]
	wentBack: string[]
	/** readers that had to begin anew from the present */
	gaps: number
	/** jobs that exist without having been submitted under that id, and submissions without an answer */
	strange: string[]
	refused: string[]
	/** the protocol's rules */
	broken: readonly string[]
	seconds: number
}

/**
 * Three controllers in one process behind real sockets, in real time; jobs are submitted and watched over gRPC while
 * connections are cut, answers lost and controllers crashed at moments drawn from a seed. Counts what every reader was
 * told of every job.
 */
export const checkStreams = async (p: StreamCheckOptions): Promise<StreamCheckResult> => {
	const clock = new RealClock(p.seed)
	const simulation = new Simulation(
		{
			seed: p.seed,
			untilS: 0,
			jobs: [],
			faults: [],
			report: { reportS: 0.5, leaseS: 6, cancelS: 14 },
			up: 12,
			capacity: 0,
		},
		clock,
	)
	const faces: (GrpcFace | null)[] = [null, null, null]
	// A face whose start is under way is stopped after it: stopped before, it would listen for ever, and keep the process.
	const starts = new Map<GrpcFace, Promise<void>>()
	const stopFace = async (face: GrpcFace) => {
		await starts.get(face)
		await face.stop(0)
	}
	const stops: Promise<void>[] = []
	const ports = [0, 0, 0]
	const proxies = [0, 1, 2].map((i) => new FlakyProxy(() => ports[i]))
	simulation.started = (i, node) => {
		const face = new GrpcFace(node, { ...defaultGrpcSettings('127.0.0.1:0'), everyS: 0.1, opensPerS: 200 })
		faces[i] = face
		starts.set(
			face,
			face.start().then((port) => {
				ports[i] = port
			}),
		)
	}
	simulation.ended = (i) => {
		const face = faces[i]
		if (face !== null) stops.push(stopFace(face))
		faces[i] = null
	}
	simulation.begin()
	const grpc = await Promise.all(proxies.map(async (x) => `127.0.0.1:${await x.listen()}`))
	const begun = Date.now()
	const random = () => clock.random()
	const uids = Array.from({ length: p.jobs }, (_, i) => `job-${String(700_000 + p.seed * 1000 + i)}`)
	const out: StreamCheckResult = {
		jobs: p.jobs,
		cuts: 0,
		crashes: 0,
		lossy: 0,
		events: 0,
		readers: 0,
		missing: [],
		repeated: [],
		wentBack: [],
		gaps: 0,
		strange: [],
		refused: [],
		broken: simulation.invariants.violations,
		seconds: 0,
	}

	let over = false
	// Each kind once at least, however short the run.
	const first = [0, 0.6, 0.9]
	const trouble = () => {
		if (over) return
		const i = Math.floor(random() * 3)
		const kind = first.shift() ?? random()
		if (kind < 0.5) proxies[i].cutAll()
		else if (kind < 0.75) {
			out.lossy++
			proxies[i].lose(true)
			clock.after(250, () => proxies[i].lose(false))
		} else {
			const up = [i, (i + 1) % 3, (i + 2) % 3].find((k) => faces[k] !== null)
			if (up !== undefined) {
				out.crashes++
				simulation.crash(up, 0.4 + random())
			}
		}
		clock.after(p.everyMs * (0.5 + random()), trouble)
	}

	// Readers: by ids that are submitted only later, by ids after that, and by team.
	const stop = new AbortController()
	const heard = new Set<string>()
	const clients: Client[] = []
	const client = () => {
		const made = new Client({ grpc, deadlineMs: p.forS * 1000, tryMs: 2000 }, random)
		clients.push(made)
		return made
	}
	const reader = async (name: string, selection: { uids: readonly string[] } | { team: string }) => {
		out.readers++
		const finals = new Map<string, string>()
		const done = new Map<string, number>()
		const hear = (e: JobEvent) => {
			out.events++
			if (e.afterGap) out.gaps++
			const told = finals.get(e.uid)
			if (told !== undefined)
				(told === e.state ? out.repeated : out.wentBack).push(`${name}: ${e.uid} ${told}, ${e.state}`)
			if (e.done < (done.get(e.uid) ?? 0))
				out.wentBack.push(`${name}: ${e.uid} ${done.get(e.uid)}, ${e.done}`)
			done.set(e.uid, e.done)
			if (isFinal(e.state)) finals.set(e.uid, e.state)
			heard.add(name)
			return uids.every((uid) => finals.has(uid))
		}
		try {
			for await (const e of client().watch(selection, { signal: stop.signal })) if (hear(e)) break
		} catch (e) {
			if (!stop.signal.aborted) out.strange.push(`${name}: ${(e as Error).message}`)
		}
		for (const uid of uids) if (!finals.has(uid)) out.missing.push(`${name}: ${uid}`)
	}
	const deadline = setTimeout(() => stop.abort(), p.forS * 1000)
	const early = reader('by ids, before', { uids })
	const team = reader('by team', { team: 'core' })
	const submitter = client()
	// A team's stream tells what ends after it began: it has begun for certain once it has told of a first job.
	const sentinel = `job-${String(699_000 + p.seed)}`
	await submitter.submit(arrayJob(sentinel, { tasks: 1, cpus: 0.5, expectedS: 0.3, spot: false }))
	await until(() => heard.has('by team'))
	trouble()
	const submitted = uids.map(async (uid, i) => {
		await new Promise((done) => setTimeout(done, i * 25))
		const spec = arrayJob(uid, { tasks: 1 + (i % 3), cpus: 0.5, expectedS: 0.3, imageGb: 0.05, spot: false })
		try {
			await submitter.submit(spec)
			if (i % 9 === 8) await submitter.cancel(uid)
		} catch (e) {
			out.refused.push(`${uid}: ${(e as Error).message}`)
		}
	})
	await Promise.all(submitted)
	const late = reader('by ids, after', { uids })
	await Promise.all([early, team, late])
	clearTimeout(deadline)
	over = true
	for (const uid of simulation.accepted()) if (!uids.includes(uid) && uid !== sentinel) out.strange.push(uid)
	out.cuts = proxies.reduce((n, x) => n + x.cuts, 0)
	out.seconds = (Date.now() - begun) / 1000
	for (const c of clients) c.close()
	for (const x of proxies) x.close()
	// No controller comes back any more.
	clock.stop()
	for (const f of faces) if (f !== null) stops.push(stopFace(f))
	await Promise.all(stops)
	await simulation.end()
	return out
}

const until = async (ready: () => boolean): Promise<void> => {
	for (let n = 0; n < 200 && !ready(); n++) await new Promise((done) => setTimeout(done, 50))
}
