import assert from 'node:assert/strict'
import { test } from 'node:test'
import { CloudClient } from '@heathroad/cloud'
import type { HttpClient } from '@heathroad/wire'
import { Effect } from 'effect'

test('the token bucket that limits cloud calls refills while no calls are made (incident 4)', () => {
	let now = 0
	const httpClient: HttpClient = { request: () => Effect.never }
	const cloud = new CloudClient(httpClient, 'cloud:1', 0.3, 1000, () => now)
	const cases = [
		{ name: 'the bucket holds at least one token', calls: 0, atMs: 0, available: 1 },
		{ name: 'a call takes the token', calls: 1, atMs: 0, available: 0 },
		{ name: 'another call waits for the next token', calls: 1, atMs: 0, available: 0 },
		{ name: 'just before the next token is available', calls: 0, atMs: 6600, available: 0 },
		{ name: 'it refills without further calls', calls: 0, atMs: 6700, available: 1 },
		{ name: 'it does not exceed its capacity', calls: 0, atMs: 20_000, available: 1 },
	]
	for (const { name, calls, atMs, available } of cases) {
		now = atMs
		for (let i = 0; i < calls; i++) Effect.runFork(cloud.releaseMachines(['i-000001']))
		assert.equal(cloud.availableCalls(), available, name)
	}
})
