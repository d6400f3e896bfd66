/**
 * A rental whose record is removed while its cloud call is in flight. After a takeover within one process, the answer to
 * the previous shard may remove the record while the new shard repeats the same rental. The rental then counted as
 * pending forever, and while the shard had no machine, no other was rented for the waiting jobs.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { RentResult } from '@heathroad/cloud'
import { DEFAULT_OPERATOR_SETTINGS, deriveLimits } from '@heathroad/config'
import { Shard } from '@heathroad/controller'
import { arrayJob, idleDependencies, plainSettings } from '@heathroad/testkit'

const settings = plainSettings('a')
const config = { settings, ...DEFAULT_OPERATOR_SETTINGS, limits: deriveLimits(settings) }
const TICK_MS = 250
/** Longer than a refused offer is skipped, and longer than a job waits for a machine of unknown age. */
const WAIT_MS = 120_000
const GROUP = { part: 0, type: 'box', zone: 'a', spot: true, asked: 1, hosts: {} }

/** Takes over a shard with an open rental whose record is removed before the answer; counts the requests after that. */
const rentalsAfterRemoval = (answer: RentResult): { scaleOuts: number; rentCalls: number } => {
	let nowMs = 0
	let scaleOuts = 0
	const rentCallbacks: ((result: RentResult) => void)[] = []
	const record = { shardId: 0, spec: arrayJob('job-000001', { tasks: 4 }), acceptedAtMs: 0 }
	const shard = new Shard(
		0,
		3,
		config,
		idleDependencies({
			now: () => nowMs,
			wallClockMs: () => nowMs,
			withPrefix: (prefix) => (prefix === 'fleet/' ? [['fleet/r', { data: GROUP, modRevision: 2 }]] : []),
			job: () => ({ record, modRevision: 0 }),
			openJobs: () => ['job-000001'],
			availableCloudCalls: () => 10,
			rent: (_request, done) => void rentCallbacks.push(done),
			log: (_level, event) => {
				if (event === 'scale-out requested') scaleOuts++
			},
		}),
	)
	assert.equal(rentCallbacks.length, 1, 'the open rental is executed')
	shard.onMachineGroupChanged('r', undefined, GROUP)
	rentCallbacks[0](answer)
	for (; nowMs <= WAIT_MS; nowMs += TICK_MS) shard.tick()
	return { scaleOuts, rentCalls: rentCallbacks.length }
}

test('a rental whose record was removed no longer counts, whatever the cloud answers', () => {
	const answers: [name: string, answer: RentResult][] = [
		['a machine was rented', { kind: 'rented', machineIds: ['i-1'] }],
		['no machine is available', { kind: 'none' }],
		['the call must be repeated', { kind: 'again' }],
	]
	for (const [name, answer] of answers) {
		const { scaleOuts, rentCalls } = rentalsAfterRemoval(answer)
		assert.ok(scaleOuts >= 1, `${name}: no machine is rented for the waiting job`)
		assert.equal(rentCalls, 1, `${name}: the removed rental is not repeated`)
	}
})
