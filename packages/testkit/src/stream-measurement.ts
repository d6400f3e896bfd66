import { monitorEventLoopDelay } from 'node:perf_hooks'
import { Client, isFinal } from '@heathroad/client'
import { decodeTerminalPage } from '@heathroad/cluster'
import { defaultGrpcSettings } from '@heathroad/config'
import { GrpcFace } from '@heathroad/grpc'
import { startHttpServer } from '@heathroad/server'
import { build, type Histogram } from 'hdr-histogram-js'
import { RealClock } from './clock.js'
import { arrayJob } from './simulated-day.js'
import { Simulation } from './simulation.js'

export interface StreamMeasurement {
	streams: number
	/** readers among them that take nothing */
	stalled: number
	jobs: number
	events: number
	/** from when a final state is durable until a reader has it, in ms */
	streamed: Histogram
	/** the same for users who ask every 5 s */
	polled: Histogram
	/** processor time of everything in the process, per event told, in µs */
	cpuPerEventUs: number
	/** the longest that the loop was held, in ms */
	heldMs: number
}

/**
 * One controller, its readers and pollers in one process over loopback, in real time: so processor time holds the
 * readers' share too. Every reader follows the team; jobs end all the time.
 */
export const measureStreams = async (
	streams: number,
	stalled: number,
	jobs: number,
	pollers: number,
): Promise<StreamMeasurement> => {
	const clock = new RealClock()
	const report = { reportS: 0.5, leaseS: 6, cancelS: 14 }
	const simulation = new Simulation(
		{ seed: 1, untilS: 0, jobs: [], faults: [], controllers: 1, up: 16, capacity: 0, report },
		clock,
	)
	let face: GrpcFace | null = null
	let http = 0
	const ready = new Promise<number>((resolve) => {
		simulation.started = (_, node) => {
			face = new GrpcFace(node, {
				...defaultGrpcSettings('127.0.0.1:0'),
				streams: streams + 10,
				connections: streams + 10,
				opensPerS: 10_000,
			})
			const limits = { idleMs: 20_000, requestMs: 5000, sockets: 1000 }
			void startHttpServer('127.0.0.1:0', limits, (call, respond) => node.handleRequest(call, respond)).then(
				(server) => {
					server.unref()
					http = (server.address() as { port: number }).port
					void face!.start().then(resolve)
				},
			)
		}
	})
	simulation.begin()
	const port = await ready
	const durableAt = new Map<string, number>()
	simulation.state.durable = (key, data) => {
		if (!/over\/\d+$/.test(key)) return
		const latest = decodeTerminalPage(data)?.batches.at(-1)
		for (const { uid } of latest?.jobs ?? []) durableAt.set(uid, performance.now())
	}
	const streamed = build({ highestTrackableValue: 60_000, numberOfSignificantValueDigits: 3 })
	const polled = build({ highestTrackableValue: 60_000, numberOfSignificantValueDigits: 3 })
	const stop = new AbortController()
	const clients: Client[] = []
	let events = 0
	const reader = async (takes: boolean) => {
		const client = new Client({ grpc: [`127.0.0.1:${port}`] })
		clients.push(client)
		try {
			for await (const e of client.watch({ team: 'core' }, { signal: stop.signal })) {
				events++
				if (isFinal(e.state))
					streamed.recordValue(Math.max(1, performance.now() - (durableAt.get(e.uid) ?? 0)))
				// What was on its way comes after the end as well.
				if (!takes && !stop.signal.aborted)
					await new Promise((done) => stop.signal.addEventListener('abort', done))
			}
		} catch {
			// Stopped at the end.
		}
	}
	await new Promise((done) => setTimeout(done, 1500))
	const readers = Array.from({ length: streams }, (_, i) => reader(i >= stalled))
	for (let n = 0; n < 300 && face!.open < streams; n++) await new Promise((done) => setTimeout(done, 50))
	const held = monitorEventLoopDelay({ resolution: 5 })
	held.enable()
	const cpu = process.cpuUsage()
	const client = new Client({ http: [`127.0.0.1:${http}`], pollMs: 5000 })
	const uids = Array.from({ length: jobs }, (_, i) => `job-${String(400_000 + i)}`)
	const polls: Promise<void>[] = []
	for (const [i, uid] of uids.entries()) {
		void client.submit(arrayJob(uid, { tasks: 1, cpus: 0.5, expectedS: 0.4, imageGb: 0.05, spot: false }))
		if (i < pollers)
			polls.push(
				client
					.wait(uid)
					.then(() => polled.recordValue(Math.max(1, performance.now() - (durableAt.get(uid) ?? 0)))),
			)
		await new Promise((done) => setTimeout(done, 40))
	}
	await Promise.all(polls)
	for (let n = 0; n < 200 && durableAt.size < jobs; n++) await new Promise((done) => setTimeout(done, 50))
	await new Promise((done) => setTimeout(done, 1000))
	const used = process.cpuUsage(cpu)
	held.disable()
	stop.abort()
	await Promise.all(readers)
	for (const c of clients) c.close()
	client.close()
	await face!.stop(0)
	clock.stop()
	await simulation.end()
	const cpuPerEventUs = (used.user + used.system) / Math.max(1, events)
	return { streams, stalled, jobs, events, streamed, polled, cpuPerEventUs, heldMs: held.max / 1e6 }
}
