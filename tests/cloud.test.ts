import assert from 'node:assert/strict'
import { test } from 'node:test'
import { CloudClient } from '@heathroad/cloud'
import type { HttpClient } from '@heathroad/wire'
import { Effect } from 'effect'

test('the token bucket of the call rate refills while nobody calls (incident 4)', () => {
	let now = 0
	const httpClient: HttpClient = { request: () => Effect.never }
	const cloud = new CloudClient(httpClient, 'cloud:1', 0.3, 1000, () => now)
	const cases = [
		{ name: 'the bucket holds one call at least', calls: 0, atMs: 0, available: 1 },
		{ name: 'a call takes the token', calls: 1, atMs: 0, available: 0 },
		{ name: 'one more call waits for its turn', calls: 1, atMs: 0, available: 0 },
		{ name: 'before the next call would be sent', calls: 0, atMs: 6600, available: 0 },
		{ name: 'it refills by time alone', calls: 0, atMs: 6700, available: 1 },
		{ name: 'and not beyond its capacity', calls: 0, atMs: 20_000, available: 1 },
	]
	for (const { name, calls, atMs, available } of cases) {
		now = atMs
		for (let i = 0; i < calls; i++) Effect.runFork(cloud.returnMachines(['i-000001']))
		assert.equal(cloud.availableCalls(), available, name)
	}
})
