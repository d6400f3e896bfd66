/**
 * Guards against proxies of the check of streams that keep connecting to the port of a crashed controller. A server of
 * another check or test file may get that port: it belongs to another installation and rejects the reader's cursor, so
 * that the reader restarts (77 events after a gap in one of 160 runs, 16 at a time).
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { Service } from '@heathroad/server'
import { RealClock, Simulation } from '@heathroad/testkit'
import { GrpcServers } from '../packages/testkit/src/grpc-servers.js'

const CONTROLLERS = 3
const waitUntil = async (isReady: () => boolean): Promise<void> => {
	for (let polls = 0; polls < 200 && !isReady(); polls++) await new Promise((done) => setTimeout(done, 25))
	assert.ok(isReady())
}

test('a controller that crashed has no port to connect to until it listens again', async (t) => {
	const clock = new RealClock(1)
	const simulation = new Simulation({ seed: 1, untilS: 0, jobs: [], faults: [], up: 1, capacity: 0 }, clock)
	const servers = new GrpcServers(simulation, CONTROLLERS)
	const started: Service[] = []
	const { onStarted: startServer } = simulation
	simulation.onStarted = (controller, node) => {
		started.push(node)
		startServer(controller, node)
	}
	t.after(async () => {
		clock.stop()
		await servers.stopAll()
		await simulation.end()
	})
	simulation.begin()
	await waitUntil(() => servers.ports.every((port) => port > 0))
	simulation.crash(0, 0.5)
	assert.equal(servers.ports[0], 0)
	assert.ok(servers.ports[1] > 0)
	// A controller that crashes before its server listens has no port either.
	await waitUntil(() => started.length > CONTROLLERS)
	simulation.crash(0, 0.5)
	await waitUntil(() => started.length > CONTROLLERS + 1)
	await waitUntil(() => servers.ports[0] > 0)
})
