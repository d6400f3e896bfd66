/**
 * The removal of a machine from the records waited behind deletions of obsolete records (incident 29).
 *
 * Both had the priority of progress, and a tick queues as many deletions as half of a controller's changes take until the
 * next one. A controller that crashed meanwhile left a machine on record that had been returned, and the shard's next
 * owner started none of its old tasks before that machine's agent lease had surely ended. In a trace of the check of
 * streams: machine returned at 30.2 s, deletions at 29.6, 29.7, 29.9 and 30.1 s, crash after 30.5 s without a change of the
 * machine's group; the shard's owners then waited from 31.5 to 53.1 s, as none of them lived for an agent lease.
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
const OPERATIONS = 4
const STEP_MS = 100
const GROUP_KEY = 'fleet/r'

const machineGroup = {
	data: { part: 0, type: 'box', zone: 'a', spot: true, asked: 0, hosts: { 'i-1': 'i-1:1' } },
	modRevision: 2,
}

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
	// A shard whose only machine is empty, and is returned as soon as it has been idle for half a boot.
	const settings = plainSettings('a')
	const released: ((gone: boolean) => void)[] = []
	const ports = idleDependencies({
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
		releaseMachines: (_ids, done) => released.push(done),
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
		ports,
	)
	const step = async () => {
		await new Promise(setImmediate)
		nowMs += STEP_MS
		t.mock.timers.tick(STEP_MS)
		shard.tick()
	}
	for (let waitedMs = 0; waitedMs <= BOX_MACHINE_TYPE.bootS * 1000; waitedMs += STEP_MS) await step()
	assert.equal(released.length, 1, 'the machine is being returned')
	const obsolete = Array.from({ length: 30 }, (_, index) => [`done/job-${index}/0`, { modRevision: index }])
	const context = {
		config: { limits: { writesPerS: WRITES_PER_S, controllerLeaseMs: LEASE_MS, controllerNames: ['a'] } },
		jobs: { obsoleteEntries: () => obsolete },
		writeQueue: queue,
		now: () => nowMs,
	} as unknown as ControllerContext
	deleteObsoleteRecords(context, new Map([[0, shard]]))
	await step()
	released[0](true)
	for (let waitedMs = 0; waitedMs < LEASE_MS / 2; waitedMs += STEP_MS) await step()
	const removedAs = sent.findIndex((key) => key.endsWith(GROUP_KEY))
	assert.ok(sent.length > OPERATIONS, 'obsolete records are deleted too')
	assert.ok(removedAs >= 0 && removedAs <= OPERATIONS, `${sent.length} changes, among them: ${removedAs}`)
})
