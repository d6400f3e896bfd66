/**
 * Compares event streams with polling, over the loopback interface in real time. The controller, its readers and its
 * pollers run in one process, so processor time includes that of the readers.
 */
import { monitorEventLoopDelay } from 'node:perf_hooks'
import { Client, isFinal } from '@heathroad/client'
import { decodeTerminalPage } from '@heathroad/cluster'
import { defaultGrpcSettings } from '@heathroad/config'
import { GrpcServer } from '@heathroad/grpc'
import { type Service, startHttpServer } from '@heathroad/server'
import { build, type Histogram } from 'hdr-histogram-js'
import { RealClock } from './clock.js'
import { arrayJob } from './simulated-day.js'
import { Simulation } from './simulation.js'

/** Parameters of a measurement. */
export interface StreamMeasurementOptions {
	/** number of readers; each watches the team */
	streams: number
	/** readers among them that stop reading after the first event */
	stalled: number
	jobs: number
	/** number of jobs whose user polls */
	pollers: number
}

/** Result of a measurement. */
export interface StreamMeasurement {
	streams: number
	stalled: number
	jobs: number
	events: number
	/** latency from the durable write of a terminal state until a reader receives it, in ms */
	streamed: Histogram
	/** latency from the durable write until users who poll every 5 s receive the state, in ms */
	polled: Histogram
	/** processor time of everything in the process, per event, in µs */
	cpuPerEventUs: number
	/** longest delay of the event loop, in ms */
	maxLoopDelayMs: number
}

const MACHINES = 16
/** Interval of submissions, in ms. */
const SUBMIT_INTERVAL_MS = 40
/** Interval of polls, in ms. */
const POLL_MS = 5000
/** Time for the controller to start, and for the last events to arrive, in ms. */
const START_MS = 1500
const SETTLE_MS = 1000
const FIRST_JOB = 400_000
/** Number of streams that the server accepts beyond those of the readers. */
const SPARE_STREAMS = 10
const HTTP_LIMITS = { idleTimeoutMs: 20_000, requestTimeoutMs: 5000, maxSockets: 1000 }
/** Largest latency that the histograms can record, in ms. */
const MAX_LATENCY_MS = 60_000

const delay = (ms: number): Promise<void> => new Promise((done) => setTimeout(done, ms))
const latencies = (): Histogram =>
	build({ highestTrackableValue: MAX_LATENCY_MS, numberOfSignificantValueDigits: 3 })

/** The servers of the controller. */
interface Servers {
	grpc: GrpcServer
	grpcPort: number
	httpPort: number
}

const startServers = async (node: Service, streams: number): Promise<Servers> => {
	const grpc = new GrpcServer(node, {
		...defaultGrpcSettings('127.0.0.1:0'),
		maxStreams: streams + SPARE_STREAMS,
		maxConnections: streams + SPARE_STREAMS,
		maxOpensPerS: 10_000,
	})
	const server = await startHttpServer('127.0.0.1:0', HTTP_LIMITS, (call, respond) =>
		node.handleRequest(call, respond),
	)
	server.unref()
	const httpPort = (server.address() as { port: number }).port
	return { grpc, grpcPort: await grpc.start(), httpPort }
}

/** A measurement in progress. */
class Measurement {
	private readonly clock = new RealClock()
	private readonly simulation: Simulation
	private readonly streamed = latencies()
	private readonly polled = latencies()
	/** when each job's terminal state became durable */
	private readonly durableAt = new Map<string, number>()
	private readonly stop = new AbortController()
	private readonly clients: Client[] = []
	private events = 0

	constructor(private readonly options: StreamMeasurementOptions) {
		this.simulation = new Simulation(
			{
				seed: 1,
				untilS: 0,
				jobs: [],
				faults: [],
				controllers: 1,
				up: MACHINES,
				capacity: 0,
				workerTimes: { heartbeatIntervalS: 0.5, leaseS: 6, cancelS: 14 },
			},
			this.clock,
		)
	}

	async run(): Promise<StreamMeasurement> {
		const { streams, stalled, jobs } = this.options
		const servers = await this.start()
		this.recordDurableStates()
		await delay(START_MS)
		const readers = Array.from({ length: streams }, (_, index) =>
			this.read(servers.grpcPort, { stalls: index < stalled }),
		)
		await waitUntil(() => servers.grpc.openStreamCount >= streams, 300)
		const loopDelay = monitorEventLoopDelay({ resolution: 5 })
		loopDelay.enable()
		const cpuBefore = process.cpuUsage()
		await this.submitAndPoll(servers.httpPort)
		await waitUntil(() => this.durableAt.size >= jobs, 200)
		await delay(SETTLE_MS)
		const cpu = process.cpuUsage(cpuBefore)
		loopDelay.disable()
		this.stop.abort()
		await Promise.all(readers)
		await this.close(servers)
		const { events, streamed, polled } = this
		const cpuPerEventUs = (cpu.user + cpu.system) / Math.max(1, events)
		return {
			streams,
			stalled,
			jobs,
			events,
			streamed,
			polled,
			cpuPerEventUs,
			maxLoopDelayMs: loopDelay.max / 1e6,
		}
	}

	private async start(): Promise<Servers> {
		const started = new Promise<Servers>((resolve, reject) => {
			this.simulation.onStarted = (_, node) => {
				startServers(node, this.options.streams).then(resolve, reject)
			}
		})
		this.simulation.begin()
		return started
	}

	private recordDurableStates(): void {
		this.simulation.state.onDurable = (key, data) => {
			if (!/over\/\d+$/.test(key)) return
			const latest = decodeTerminalPage(data)?.batches.at(-1)
			for (const { uid } of latest?.jobs ?? []) this.durableAt.set(uid, performance.now())
		}
	}

	private recordLatency(histogram: Histogram, uid: string): void {
		histogram.recordValue(Math.max(1, performance.now() - (this.durableAt.get(uid) ?? 0)))
	}

	/** Watches the team until the measurement ends; a reader that stalls waits for the end after its first event. */
	private async read(port: number, { stalls }: { stalls: boolean }): Promise<void> {
		const { signal } = this.stop
		const client = new Client({ grpc: [`127.0.0.1:${port}`] })
		this.clients.push(client)
		try {
			for await (const event of client.watch({ team: 'core' }, { signal })) {
				this.events++
				if (isFinal(event.state)) this.recordLatency(this.streamed, event.uid)
				// Events in flight arrive even after the abort.
				if (stalls && !signal.aborted) await new Promise((done) => signal.addEventListener('abort', done))
			}
		} catch {
			// The watch is aborted at the end of the measurement.
		}
	}

	private async submitAndPoll(port: number): Promise<void> {
		const { jobs, pollers } = this.options
		const client = new Client({ http: [`127.0.0.1:${port}`], pollMs: POLL_MS })
		this.clients.push(client)
		const polls: Promise<void>[] = []
		for (let index = 0; index < jobs; index++) {
			const uid = `job-${FIRST_JOB + index}`
			void client.submit(arrayJob(uid, { tasks: 1, cpus: 0.5, expectedS: 0.4, imageGb: 0.05, spot: false }))
			if (index < pollers) polls.push(client.wait(uid).then(() => this.recordLatency(this.polled, uid)))
			await delay(SUBMIT_INTERVAL_MS)
		}
		await Promise.all(polls)
	}

	private async close(servers: Servers): Promise<void> {
		for (const client of this.clients) client.close()
		await servers.grpc.stop(0)
		this.clock.stop()
		await this.simulation.end()
	}
}

/** Measures how long terminal states take to reach readers and pollers while jobs finish continually. */
export const measureStreams = (options: StreamMeasurementOptions): Promise<StreamMeasurement> =>
	new Measurement(options).run()

/** Waits for a condition, with up to `maxChecks` checks at intervals of 50 ms. */
const waitUntil = async (isReady: () => boolean, maxChecks: number): Promise<void> => {
	for (let checks = 0; checks < maxChecks && !isReady(); checks++) await delay(50)
}
