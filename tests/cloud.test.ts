import assert from 'node:assert/strict'
import { test } from 'node:test'
import { CloudClient } from '@heathroad/cloud'
import type { HttpClient } from '@heathroad/wire'
import { Effect } from 'effect'

test('the slice of the call rate fills while nobody calls (incident 4)', () => {
	let now = 0
	const caller: HttpClient = { request: () => Effect.never }
	const cloud = new CloudClient(caller, 'cloud:1', 0.3, 1000, () => now)
	const cases = [
		{ name: 'the burst is one call at least', calls: 0, atMs: 0, left: 1 },
		{ name: 'it is spent', calls: 1, atMs: 0, left: 0 },
		{ name: 'one more waits for its turn', calls: 1, atMs: 0, left: 0 },
		{ name: 'before the next would go out', calls: 0, atMs: 6600, left: 0 },
		{ name: 'time alone makes room again', calls: 0, atMs: 6700, left: 1 },
		{ name: 'and no more than the burst', calls: 0, atMs: 20_000, left: 1 },
	]
	for (const c of cases) {
		now = c.atMs
		for (let i = 0; i < c.calls; i++) Effect.runFork(cloud.release(['i-000001']))
		assert.equal(cloud.availableCalls(), c.left, c.name)
	}
})
