/** Measures how long a controller takes to start when there are many terminal jobs, and how much it reads. */
import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { FakeCloud, FakeStateStore, RealClock } from '@heathroad/testkit'
import { createHttpClient, type HttpClient } from '@heathroad/wire'
import { Effect } from 'effect'
import { type Build, type ControllerProcess, createControllers } from './controller-process.js'
import { serveCloud, serveState } from './fake-servers.js'
import { putArchive, putFirstFormatRecords } from './generated-history.js'
import { LAB_MACHINE_TYPES } from './machine-types.js'

/** Measurement of a controller's start. */
export interface StartMeasurement {
	/** seconds until the controller is healthy; null: never */
	readyS: number | null
	/** peak memory of the controller, in MB */
	peakMb: number
	/** requests to the state service until the controller was healthy */
	requests: number
	/** bytes of the state service's responses */
	bytes: number
	/** how often the controller exited unexpectedly */
	unexpectedExits: number
}

const SEED = 7
/** Number of changes that the fake state service keeps for watches. */
const MAX_WATCH_LOG_ENTRIES = 10_000
/** Maximum size of an archive page's value, in bytes. */
const ARCHIVE_VALUE_BYTES = 8192
/** Limits of the state service, which are enforced on request, and the rate of the cloud. */
const STATE_LIMITS = { rps: 90, writeRps: 15, latencyMs: 5 }
const CLOUD_RPS = 100
/** Timeout of health checks, and delay between them, in ms. */
const HEALTH_TIMEOUT_MS = 1000
const HEALTH_CHECK_DELAY_MS = 10

/** Creates a state service with terminal jobs. `format`: 1, the first record format, without an archive; 2, archived. */
const stateWithHistory = (clock: RealClock, format: 1 | 2, history: number): FakeStateStore => {
	const state = new FakeStateStore(clock, MAX_WATCH_LOG_ENTRIES)
	if (format === 1) putFirstFormatRecords(state, history, 1, SEED)
	else putArchive(state, history, ARCHIVE_VALUE_BYTES, SEED, Number.POSITIVE_INFINITY)
	return state
}

/** Creates a cloud without machines. */
const emptyCloud = (clock: RealClock): FakeCloud =>
	new FakeCloud(
		clock,
		LAB_MACHINE_TYPES,
		new Map(),
		() => {},
		() => null,
	)

const isHealthy = async (client: HttpClient, address: string): Promise<boolean> => {
	const request = client.request(address, 'GET', '/healthz', undefined, HEALTH_TIMEOUT_MS)
	const result = await Effect.runPromise(Effect.option(request))
	return result._tag === 'Some' && result.value.status === 200
}

/** Starts a controller and returns the seconds until it is healthy; null: it exited, or took longer than `maxS`. */
const waitUntilReady = async (
	controller: ControllerProcess,
	client: HttpClient,
	maxS: number,
): Promise<number | null> => {
	const startedMs = performance.now()
	const elapsedS = () => (performance.now() - startedMs) / 1000
	controller.start()
	while (controller.isRunning && elapsedS() < maxS) {
		const healthy = await isHealthy(client, controller.address)
		const readyS = elapsedS()
		if (!healthy) await new Promise((done) => setTimeout(done, HEALTH_CHECK_DELAY_MS))
		controller.sample()
		if (healthy) return readyS
	}
	return null
}

/**
 * Measures the start of one controller whose state service has `history` terminal jobs in this record format.
 * `limited`: the state service's limits are enforced.
 */
export const measureStart = async (
	build: Build,
	format: 1 | 2,
	history: number,
	limited: boolean,
	maxS = 60,
): Promise<StartMeasurement> => {
	const dir = mkdtempSync(join(tmpdir(), 'heathroad-lab-'))
	const clock = new RealClock(1)
	const state = stateWithHistory(clock, format, history)
	const stateServer = await serveState(state, limited ? STATE_LIMITS : null)
	const cloudServer = await serveCloud(emptyCloud(clock), CLOUD_RPS)
	const [controller] = await createControllers(1, build, {
		dir,
		state: stateServer.port,
		cloud: cloudServer.port,
		limits: STATE_LIMITS,
		workers: { heartbeatIntervalS: 1, leaseS: 10, cancelS: 30 },
	})
	const client = createHttpClient(2)
	try {
		const readyS = await waitUntilReady(controller, client, maxS)
		controller.sample()
		return {
			readyS,
			peakMb: controller.peakMb,
			requests: stateServer.counts.requests,
			bytes: stateServer.bytes(),
			unexpectedExits: controller.unexpectedExits.length,
		}
	} finally {
		controller.kill()
		client.close()
		stateServer.close()
		cloudServer.close()
		clock.stop()
		rmSync(dir, { recursive: true, force: true })
	}
}
