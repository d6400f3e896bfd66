/** Waiting jobs stay in a shard while machines that answered a probe have not found its new owner yet (incident 28). */
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

/** Takes over a shard with a waiting job that another shard would serve better; returns whether the job migrates. */
const migrates = ({
	address,
	hasHeartbeat,
	ownedForMs,
}: {
	address: string | null
	hasHeartbeat: boolean
	ownedForMs: number
}) => {
	let nowMs = 0
	let migrations = 0
	const group = { part: 0, type: 'box', zone: 'a', spot: true, asked: 0, hosts: { 'i-1': address } }
	const record = {
		shardId: 0,
		// It fits on no machine, so that it cannot be placed.
		spec: arrayJob('job-000001', { cpus: BOX_MACHINE_TYPE.cpus + 1 }),
		acceptedAtMs: 0,
	}
	const dependencies = idleDependencies({
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
	const shard = new Shard(0, TOKEN, config, dependencies)
	if (hasHeartbeat) shard.handleHeartbeat({ ...heartbeat, sequence: 2 }, () => {})
	for (; nowMs <= ownedForMs; nowMs += TICK_MS) shard.tick()
	return migrations > 0
}

test('a job stays while machines that answered a probe may not have found the new owner yet', () => {
	const cases = [
		{
			name: 'the machine answered the probe, and its first heartbeat may still follow',
			address: 'i-1:1',
			hasHeartbeat: false,
			ownedForMs: 5250,
			expected: false,
		},
		{
			name: 'the machine answered the probe, and its first heartbeat is overdue',
			address: 'i-1:1',
			hasHeartbeat: false,
			ownedForMs: 5500,
			expected: true,
		},
		{
			name: 'the machine has sent a heartbeat',
			address: 'i-1:1',
			hasHeartbeat: true,
			ownedForMs: 5250,
			expected: true,
		},
		{
			name: 'the machine has not booted',
			address: null,
			hasHeartbeat: false,
			ownedForMs: 5250,
			expected: true,
		},
	]
	for (const { name, expected, ...scenario } of cases) assert.equal(migrates(scenario), expected, name)
})
