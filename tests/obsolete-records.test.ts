/**
 * Guards against the removal of a machine from the records waiting behind deletions of obsolete records (incident 29).
 *
 * Both had the priority of progress, and each tick queued enough deletions to use half of a controller's write rate
 * until the next tick. A controller that crashed meanwhile left a machine on record that was released to the cloud,
 * and the shard's next owner started none of its old tasks until that machine's agent lease had certainly expired. In
 * a trace of the stream check: machine released at 30.2 s, deletions at 29.6, 29.7, 29.9 and 30.1 s, crash after 30.5
 * s without a write to the machine group; the next owners waited from 31.5 to 53.1 s, as none of them stayed up for an
 * agent lease.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { DEFAULT_OPERATOR_SETTINGS, deriveLimits } from '@heathroad/config'
import { Shard } from '@heathroad/controller'
import { type ControllerContext, deleteObsoleteRecords } from '@heathroad/server'
import { type StoreClient, WriteQueue } from '@heathroad/store'
import { BOX_MACHINE_TYPE, idleDependencies, plainSettings } from '@heathroad/testkit'
import { Effect } from 'effect'

const WRITES_PER_S = 5
const LEASE_MS = 4000
const MAX_OPERATIONS = 4
const STEP_MS = 100
const GROUP_KEY = 'fleet/r'

const machineGroup = {
	data: { part: 0, type: 'box', zone: 'a', spot: true, asked: 0, hosts: { 'i-1': 'i-1:1' } },
	modRevision: 2,
}

test('a released machine is removed from the records before obsolete records are deleted', async (t) => {
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
		maxOperations: MAX_OPERATIONS,
		maxBytes: 10_000,
	}
	const queue = new WriteQueue(client as StoreClient, limits, () => nowMs)
	// A shard whose only machine is empty, and is released once it has been idle for half of its boot time.
	const settings = plainSettings('a')
	const pendingReleases: ((gone: boolean) => void)[] = []
	const dependencies = idleDependencies({
		now: () => nowMs,
		entry: () => machineGroup,
		withPrefix: (prefix) => (prefix === 'fleet/' ? [[GROUP_KEY, machineGroup]] : []),
		sendCommands: (_address, fencingToken, agentEpoch, _commands, answer) =>
			answer(200, {
				machineId: 'i-1',
				address: 'i-1:1',
				machineType: 'box',
				zone: 'a',
				spot: true,
				agentEpoch,
				sequence: 1,
				fencingToken,
				preemptionNoticeS: null,
				tasks: [],
			}),
		availableCloudCalls: () => 10,
		releaseMachines: (_ids, done) => pendingReleases.push(done),
		enqueueWrite: (write) => {
			const queued = { ...write, deadline: nowMs + LEASE_MS }
			queue.enqueue(queued)
			return queued
		},
	})
	const shard = new Shard(
		0,
		3,
		{ settings, ...DEFAULT_OPERATOR_SETTINGS, limits: deriveLimits(settings) },
		dependencies,
	)
	const step = async () => {
		await new Promise(setImmediate)
		nowMs += STEP_MS
		t.mock.timers.tick(STEP_MS)
		shard.tick()
	}
	for (let waitedMs = 0; waitedMs <= BOX_MACHINE_TYPE.bootS * 1000; waitedMs += STEP_MS) await step()
	assert.equal(pendingReleases.length, 1, 'the machine is being released')
	const obsolete = Array.from({ length: 30 }, (_, index) => [`done/job-${index}/0`, { modRevision: index }])
	const context = {
		config: { limits: { writesPerS: WRITES_PER_S, controllerLeaseMs: LEASE_MS, controllerNames: ['a'] } },
		jobs: { obsoleteEntries: () => obsolete },
		writeQueue: queue,
		now: () => nowMs,
	} as unknown as ControllerContext
	deleteObsoleteRecords(context, new Map([[0, shard]]))
	await step()
	pendingReleases[0](true)
	for (let waitedMs = 0; waitedMs < LEASE_MS / 2; waitedMs += STEP_MS) await step()
	const removalIndex = sent.findIndex((key) => key.endsWith(GROUP_KEY))
	assert.ok(sent.length > MAX_OPERATIONS, 'obsolete records are deleted too')
	assert.ok(
		removalIndex >= 0 && removalIndex <= MAX_OPERATIONS,
		`the removal is write ${removalIndex} of ${sent.length}`,
	)
})
