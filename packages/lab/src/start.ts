import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { FakeCloud, FakeStateStore, RealClock } from '@heathroad/testkit'
import { createHttpClient } from '@heathroad/wire'
import { Effect } from 'effect'
import { type Build, makeControllers } from './controllers.js'
import { putArchive, putFirstForm } from './past.js'
import { serveCloud, serveState } from './services.js'
import { LAB_TYPES } from './types.js'

export interface StartFigures {
	/** null: never */
	readyS: number | null
	peakMb: number
	/** requests and bytes that it took from the state until it was ready */
	requests: number
	bytes: number
	/** it ended by itself so often */
	ends: number
}

/** One controller alone, started on a state with finished jobs, until it is healthy. */
export const measureStart = async (
	build: Build,
	form: 1 | 2,
	history: number,
	limited: boolean,
	mostS = 60,
): Promise<StartFigures> => {
	const dir = mkdtempSync(join(tmpdir(), 'heathroad-lab-'))
	const clock = new RealClock(1)
	const state = new FakeStateStore(clock, 10_000)
	if (form === 1) putFirstForm(state, history, 1, 7)
	else putArchive(state, history, 8192, 7, Number.POSITIVE_INFINITY)
	const limits = { rps: 90, writeRps: 15, latencyMs: 5 }
	const served = await serveState(state, limited ? limits : null)
	const cloud = await serveCloud(
		new FakeCloud(
			clock,
			LAB_TYPES,
			new Map(),
			() => {},
			() => null,
		),
		100,
	)
	const [controller] = await makeControllers(1, build, {
		dir,
		state: served.port,
		cloud: cloud.port,
		limits,
		workers: { reportS: 1, leaseS: 10, cancelS: 30 },
	})
	const httpClient = createHttpClient(2)
	const begun = performance.now()
	controller.start()
	let readyS: number | null = null
	try {
		while (readyS === null && controller.up && performance.now() - begun < mostS * 1000) {
			const answer = await Effect.runPromise(
				Effect.option(httpClient.request(controller.address, 'GET', '/healthz', undefined, 1000)),
			)
			if (answer._tag === 'Some' && answer.value.status === 200) readyS = (performance.now() - begun) / 1000
			else await new Promise((done) => setTimeout(done, 10))
			controller.sample()
		}
		controller.sample()
		return {
			readyS,
			peakMb: controller.peakMb,
			requests: served.seen.requests,
			bytes: served.bytes(),
			ends: controller.ends.length,
		}
	} finally {
		controller.kill()
		httpClient.close()
		served.close()
		cloud.close()
		clock.stop()
		rmSync(dir, { recursive: true, force: true })
	}
}
