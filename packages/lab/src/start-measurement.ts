/** Measures how long a controller takes to start beside many terminal jobs, and what it reads. */
import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { FakeCloud, FakeStateStore, RealClock } from '@heathroad/testkit'
import { createHttpClient, type HttpClient } from '@heathroad/wire'
import { Effect } from 'effect'
import { type Build, type ControllerProcess, createControllers } from './controller-process.js'
import { serveCloud, serveState } from './fake-servers.js'
import { LAB_TYPES } from './machine-types.js'
import { putArchive, putFirstForm } from './made-history.js'

/** What a start takes. */
export interface StartFigures {
	/** seconds until it is healthy; null: never */
	readyS: number | null
	/** peak memory in MB */
	peakMb: number
	/** requests to the state service until it was ready */
	requests: number
	/** bytes of the state service's responses */
	bytes: number
	/** how often it ended by itself */
	ends: number
}

const SEED = 7
/** Changes that the fake state service keeps for watches. */
const MAX_LOG = 10_000
/** Largest size of a value of the archive, in bytes. */
const ARCHIVE_VALUE_BYTES = 8192
/** Limits of the state service, where they are enforced, and of the cloud. */
const STATE_LIMITS = { rps: 90, writeRps: 15, latencyMs: 5 }
const CLOUD_RPS = 100
/** Timeout of health checks, and pause between them, in ms. */
const HEALTH_TIMEOUT_MS = 1000
const HEALTH_PAUSE_MS = 10

/** A state service with terminal jobs. `form`: 1 as versions without an archive keep them, 2 archived. */
const stateWithHistory = (clock: RealClock, form: 1 | 2, history: number): FakeStateStore => {
	const state = new FakeStateStore(clock, MAX_LOG)
	if (form === 1) putFirstForm(state, history, 1, SEED)
	else putArchive(state, history, ARCHIVE_VALUE_BYTES, SEED, Number.POSITIVE_INFINITY)
	return state
}

/** A cloud without machines. */
const emptyCloud = (clock: RealClock): FakeCloud =>
	new FakeCloud(
		clock,
		LAB_TYPES,
		new Map(),
		() => {},
		() => null,
	)

const isHealthy = async (client: HttpClient, address: string): Promise<boolean> => {
	const request = client.request(address, 'GET', '/healthz', undefined, HEALTH_TIMEOUT_MS)
	const result = await Effect.runPromise(Effect.option(request))
	return result._tag === 'Some' && result.value.status === 200
}

/** Starts a controller and waits until it is healthy; null: it ended, or took longer than `maxS`. */
const waitUntilReady = async (
	controller: ControllerProcess,
	client: HttpClient,
	maxS: number,
): Promise<number | null> => {
	const begunMs = performance.now()
	const elapsedS = () => (performance.now() - begunMs) / 1000
	controller.start()
	while (controller.up && elapsedS() < maxS) {
		const healthy = await isHealthy(client, controller.address)
		const readyS = elapsedS()
		if (!healthy) await new Promise((done) => setTimeout(done, HEALTH_PAUSE_MS))
		controller.sample()
		if (healthy) return readyS
	}
	return null
}

/** Starts one controller on a state with terminal jobs. `limited`: the state service's limits are enforced. */
export const measureStart = async (
	build: Build,
	form: 1 | 2,
	history: number,
	limited: boolean,
	maxS = 60,
): Promise<StartFigures> => {
	const dir = mkdtempSync(join(tmpdir(), 'heathroad-lab-'))
	const clock = new RealClock(1)
	const state = stateWithHistory(clock, form, history)
	const stateServer = await serveState(state, limited ? STATE_LIMITS : null)
	const cloudServer = await serveCloud(emptyCloud(clock), CLOUD_RPS)
	const [controller] = await createControllers(1, build, {
		dir,
		state: stateServer.port,
		cloud: cloudServer.port,
		limits: STATE_LIMITS,
		workers: { reportS: 1, leaseS: 10, cancelS: 30 },
	})
	const client = createHttpClient(2)
	try {
		const readyS = await waitUntilReady(controller, client, maxS)
		controller.sample()
		return {
			readyS,
			peakMb: controller.peakMb,
			requests: stateServer.seen.requests,
			bytes: stateServer.bytes(),
			ends: controller.ends.length,
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
