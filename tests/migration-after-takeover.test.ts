/** Waiting jobs do not leave a shard whose machines answered its new owner and are still looking for it (incident 28). */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { DEFAULT_OPERATOR_SETTINGS, deriveLimits } from '@heathroad/config'
import { Shard } from '@heathroad/controller'
import { arrayJob, BOX_MACHINE_TYPE, idleDependencies, plainSettings } from '@heathroad/testkit'
import type { Heartbeat } from '@heathroad/wire'

const TOKEN = 3
const TICK_MS = 250
const settings = plainSettings('a')
const config = { settings, ...DEFAULT_OPERATOR_SETTINGS, limits: deriveLimits(settings) }

const heartbeat: Heartbeat = {
	machineId: 'i-1',
	address: 'i-1:1',
	machineType: 'box',
	zone: 'a',
	spot: true,
	agentEpoch: 1,
	sequence: 1,
	fencingToken: TOKEN,
	preemptionNoticeS: null,
	tasks: [],
}

/** Takes a shard over in which a job waits that any other shard would serve better; tells whether the job migrates. */
const migrates = ({
	address,
	isHeard,
	forMs,
}: {
	address: string | null
	isHeard: boolean
	forMs: number
}) => {
	let nowMs = 0
	let migrations = 0
	const group = { part: 0, type: 'box', zone: 'a', spot: true, asked: 0, hosts: { 'i-1': address } }
	const record = {
		shardId: 0,
		// It fits on no machine: whether it is placed does not matter here.
		spec: arrayJob('job-000001', { cpus: BOX_MACHINE_TYPE.cpus + 1 }),
		acceptedAtMs: 0,
	}
	const ports = idleDependencies({
		now: () => nowMs,
		withPrefix: (prefix) => (prefix === 'fleet/' ? [['fleet/r', { data: group, modRevision: 2 }]] : []),
		job: () => ({ record, modRevision: 0 }),
		openJobs: () => ['job-000001'],
		sendCommands: (_address, _token, _epoch, _commands, answer) => answer(200, heartbeat),
		migrationPlanner: () => () => 1,
		log: (_level, event) => {
			if (event === 'job migrating') migrations++
		},
	})
	const shard = new Shard(0, TOKEN, config, ports)
	if (isHeard) shard.handleHeartbeat({ ...heartbeat, sequence: 2 }, () => {})
	for (; nowMs <= forMs; nowMs += TICK_MS) shard.tick()
	return migrations > 0
}

test('a job stays while the machines that answered a probe may still be looking for the new owner', () => {
	const cases = [
		{
			name: 'it answered and is still on its way',
			address: 'i-1:1',
			isHeard: false,
			forMs: 5250,
			moves: false,
		},
		{ name: 'it answered and should be here', address: 'i-1:1', isHeard: false, forMs: 5500, moves: true },
		{ name: 'it is here', address: 'i-1:1', isHeard: true, forMs: 5250, moves: true },
		{ name: 'it has not booted', address: null, isHeard: false, forMs: 5250, moves: true },
	]
	for (const { name, moves, ...scenario } of cases) assert.equal(migrates(scenario), moves, name)
})
