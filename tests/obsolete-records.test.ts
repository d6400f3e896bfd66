/**
 * The removal of a machine from the records waited behind deletions of obsolete records (incident 28).
 *
 * Both had the priority of progress, and a tick queues as many deletions as half of a controller's changes take until the
 * next one. A controller that crashed meanwhile left a machine on record that had been returned, and the shard's next
 * owner started none of its old tasks before that machine's agent lease had surely ended. In a trace of the check of
 * streams: machine returned at 30.2 s, deletions at 29.6, 29.7, 29.9 and 30.1 s, crash after 30.5 s without a change of the
 * machine's group; the shard's owners then waited from 31.5 to 53.1 s, as none of them lived for an agent lease.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { Shard } from '@heathroad/controller'
import { type ControllerContext, deleteObsoleteRecords } from '@heathroad/server'
import { type StoreClient, WritePriority, WriteQueue } from '@heathroad/store'
import { Effect } from 'effect'

const WRITES_PER_S = 5
const LEASE_MS = 4000
const OPERATIONS = 4

test('a machine that is gone leaves the records before obsolete records do', async (t) => {
	t.mock.timers.enable({ apis: ['setTimeout'] })
	let nowMs = 0
	const sent: string[] = []
	const client: Pick<StoreClient, 'transact'> = {
		transact: (_, mutations) => {
			for (const mutation of mutations) sent.push('set' in mutation ? mutation.set : mutation.delete)
			return Effect.succeed({ ok: true, revision: sent.length })
		},
	}
	const limits = {
		writesPerS: WRITES_PER_S,
		burst: WRITES_PER_S,
		maxOperations: OPERATIONS,
		maxBytes: 10_000,
	}
	const queue = new WriteQueue(client as StoreClient, limits, () => nowMs)
	const obsolete = Array.from({ length: 30 }, (_, index) => [`done/job-${index}/0`, { modRevision: index }])
	const context = {
		config: { limits: { writesPerS: WRITES_PER_S, controllerLeaseMs: LEASE_MS, controllerNames: ['a'] } },
		jobs: { obsoleteEntries: () => obsolete },
		writeQueue: queue,
		now: () => nowMs,
	} as unknown as ControllerContext
	deleteObsoleteRecords(context, new Map([[0, {} as Shard]]))
	// Returned to the cloud a moment later, as `MachineGroupWriter.removeMachine` writes it.
	await new Promise(setImmediate)
	queue.enqueue({
		priority: WritePriority.progress,
		deadline: LEASE_MS,
		build: () => ({ conditions: [], mutations: [{ set: 'fleet/r1', data: {} }] }),
		onResult: () => {},
	})
	for (let step = 0; step < 20; step++) {
		await new Promise(setImmediate)
		nowMs += 100
		t.mock.timers.tick(100)
	}
	await new Promise(setImmediate)
	const removedAs = sent.indexOf('fleet/r1')
	assert.ok(sent.length > OPERATIONS, 'obsolete records are deleted too')
	assert.ok(removedAs >= 0 && removedAs <= OPERATIONS, `${sent.length} changes, among them: ${removedAs}`)
})
