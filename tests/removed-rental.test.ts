/**
 * A rental whose record is removed while it is carried out. After a takeover within one process, the former shard's answer
 * may remove the record while the new one carries the same rental out again. The rental then counted as on its way for ever,
 * and as long as the shard had no machine, nothing else was rented for the jobs that waited.
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
/** Longer than an offer that was refused is passed over, and than a machine of unknown age is waited for. */
const WAIT_MS = 120_000
const GROUP = { part: 0, type: 'box', zone: 'a', spot: true, asked: 1, hosts: {} }

/** Takes a shard over with an open rental, whose record is removed before the answer; returns what is requested after. */
const rentalsAfterRemoval = (answer: RentResult): { requested: number; asked: number } => {
	let nowMs = 0
	let requested = 0
	const asked: ((result: RentResult) => void)[] = []
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
			rent: (_request, done) => void asked.push(done),
			log: (_level, event) => {
				if (event === 'scale-out requested') requested++
			},
		}),
	)
	assert.equal(asked.length, 1, 'the open rental is carried out')
	shard.onMachineGroupChanged('r', undefined, GROUP)
	asked[0](answer)
	for (; nowMs <= WAIT_MS; nowMs += TICK_MS) shard.tick()
	return { requested, asked: asked.length }
}

test('a rental whose record was removed counts for nothing, whatever the cloud answers', () => {
	const answers: [name: string, answer: RentResult][] = [
		['a machine', { kind: 'rented', machineIds: ['i-1'] }],
		['none', { kind: 'none' }],
		['ask again', { kind: 'again' }],
	]
	for (const [name, answer] of answers) {
		const { requested, asked } = rentalsAfterRemoval(answer)
		assert.ok(requested >= 1, `${name}: nothing is rented for the job that waits`)
		assert.equal(asked, 1, `${name}: the removed rental is not asked for again`)
	}
})
