import assert from 'node:assert/strict'
import { test } from 'node:test'
import { BOX_MACHINE_TYPE } from '@heathroad/testkit'
import type { Command, ReportedTask } from '@heathroad/wire'
import {
	agentLeaseMs,
	createScenario,
	forgottenTasks,
	heartbeatMs,
	reportedTask,
	type Scenario,
	startedTasks,
	TICK_MS,
	TOKEN,
} from './shard-scenario.js'

test('a heartbeat sent before the takeover does not confirm its machine', () => {
	const scenario = createScenario(['i-1'])
	scenario.accept('job-000001', 1)
	// It was sent before the machine received the previous owner's start: that it lists no task proves nothing.
	assert.deepEqual(startedTasks(scenario.heartbeat('i-1', [], TOKEN - 1)), [])
	assert.equal(scenario.shard.isReconciled, false)
	scenario.advance(heartbeatMs)
	assert.deepEqual(
		startedTasks(scenario.heartbeat('i-1', [], TOKEN - 1)),
		[],
		'a second one does not confirm it either',
	)
	scenario.heartbeat('i-1', [reportedTask('job-000001/0', 'running')])
	assert.equal(scenario.shard.isReconciled, true)
	assert.deepEqual(
		startedTasks(scenario.heartbeat('i-1', [reportedTask('job-000001/0', 'running')])),
		[],
		'the task runs already',
	)
})

test('a task whose start was sent is not started elsewhere until the next heartbeat or the expiry of the agent lease', () => {
	const cases: [name: string, act: (scenario: Scenario) => unknown, mayStartElsewhere: boolean][] = [
		['no heartbeat arrives', () => {}, false],
		['the machine misses some heartbeats', (scenario) => scenario.advance(heartbeatMs * 3.5), false],
		[
			'the answer to a command overtakes the response with the start',
			(scenario) =>
				scenario.sentCommands
					.at(-1)!
					.answer(200, scenario.makeHeartbeat('i-1', [reportedTask('job-000009/0', 'exited', 'stopped')])),
			false,
		],
		[
			'an older heartbeat is delivered again',
			(scenario) => scenario.deliver({ ...scenario.makeHeartbeat('i-1', []), sequence: 1 }),
			false,
		],
		['the next heartbeat does not list it', (scenario) => scenario.heartbeat('i-1'), true],
		['the agent lease expires', (scenario) => scenario.advance(agentLeaseMs + 500), true],
	]
	for (const [name, act, mayStartElsewhere] of cases) {
		const scenario = createScenario(['i-1'])
		scenario.accept('job-000009', 1)
		scenario.heartbeat('i-1', [reportedTask('job-000009/0', 'running')])
		// A direct command is in flight, so that its answer may overtake the response to a heartbeat.
		scenario.shard.applyCancellation('job-000009')
		assert.ok(scenario.sentCommands.length > 0)
		scenario.accept('job-000001', 1)
		assert.deepEqual(
			startedTasks(scenario.heartbeat('i-1', [reportedTask('job-000009/0', 'running')])),
			['job-000001/0'],
			name,
		)
		// If i-1 does not have the task, the response to its heartbeat may contain the start again.
		const commands = act(scenario)
		const started = Array.isArray(commands) ? startedTasks(commands) : []
		scenario.addMachine('i-2')
		started.push(...startedTasks(scenario.heartbeat('i-2')))
		scenario.advance(500)
		started.push(...startedTasks(scenario.heartbeat('i-2')))
		// i-2's second heartbeat does not list the task, as if the response had been lost, so the start is sent again.
		assert.deepEqual([...new Set(started)], mayStartElsewhere ? ['job-000001/0'] : [], name)
	}
})

/**
 * The answer to a direct kill command lists the machine's other tasks. Applied after the machine had left the shard, it
 * made the shard count on attempts that nothing would ever remove: the tasks never started again.
 */
test('the answer to a kill command is ignored once its machine has left the shard', () => {
	const scenario = createScenario(['i-1', 'i-2'])
	scenario.accept('job-000009', 1)
	scenario.accept('job-000001', 1)
	const tasks = [reportedTask('job-000009/0', 'running'), reportedTask('job-000001/0', 'running')]
	scenario.heartbeat('i-1', tasks)
	scenario.heartbeat('i-2')
	assert.equal(scenario.shard.isReconciled, true)
	scenario.shard.applyCancellation('job-000009')
	const kill = scenario.sentCommands.at(-1)
	assert.deepEqual(
		kill?.commands.map(({ verb }) => verb),
		['kill'],
	)
	const answer = scenario.makeHeartbeat('i-1', tasks.slice(1))
	scenario.removeMachine('i-1')
	kill?.answer(200, answer)
	scenario.advance(500)
	assert.deepEqual(startedTasks(scenario.heartbeat('i-2')), ['job-000001/0'])
})

test('a machine forgets an outcome only once it is durable', () => {
	const scenario = createScenario(['i-1'])
	scenario.accept('job-000001', 2)
	const reportedTasks = [
		reportedTask('job-000001/0', 'exited', 'completed'),
		reportedTask('job-000001/1', 'running'),
	]
	scenario.heartbeat('i-1', reportedTasks)
	scenario.advance(heartbeatMs * 4)
	assert.deepEqual(
		forgottenTasks(scenario.heartbeat('i-1', reportedTasks)),
		[],
		'the write of the outcome is unanswered',
	)
	assert.ok(scenario.writes.length > 0)
	for (const write of scenario.writes.splice(0)) {
		assert.notEqual(write.build(), null)
		write.onResult({ kind: 'unknown' })
	}
	scenario.advance(heartbeatMs * 4)
	assert.deepEqual(
		forgottenTasks(scenario.heartbeat('i-1', reportedTasks)),
		[],
		'the result of the write is unknown',
	)
	for (const write of scenario.writes.splice(0))
		if (write.build() !== null) write.onResult({ kind: 'ok', revision: 9 })
	scenario.advance(heartbeatMs)
	assert.deepEqual(forgottenTasks(scenario.heartbeat('i-1', reportedTasks)), ['job-000001/0'])
})

test('a machine that is kept while it is silent takes no new tasks (incident 22)', () => {
	const scenario = createScenario(['i-1', 'i-2'])
	for (const id of ['i-1', 'i-2']) scenario.heartbeat(id)
	scenario.advance(heartbeatMs * 4)
	scenario.heartbeat('i-2')
	// With half of its machines silent, a shard keeps them for some agent leases.
	scenario.accept('job-000001', 12)
	const first = startedTasks(scenario.heartbeat('i-2'))
	assert.equal(first.length, 8, 'the machine that is not silent is full')
	scenario.advance(500)
	const waiting = scenario.shard.jobs.get('job-000001')
	assert.equal(waiting?.readyTasks.size, 4, 'the rest stays ready, so that machines may be rented for it')
	assert.equal(
		startedTasks(scenario.heartbeat('i-1')).length,
		4,
		'at its next heartbeat the silent machine takes the rest',
	)
})

/**
 * After a takeover, probes show the new owner that machines are empty, but heartbeats follow only once the agents
 * have given up the previous owner, after a timeout of up to 4 s. Until then the machines take no tasks. They were
 * released as idle after half a boot time while jobs waited, and others had to be rented and booted in their place.
 * In two slow runs of the stream check: `shard reconciled` at 25.6 and 23.9 s with one and two jobs waiting, `machines
 * releasing` with all machines of the shard as `idle` from 28.7 and 27.0 s on, the jobs done at 53 s.
 */
test('a machine without a heartbeat since the takeover is not released as idle while a job waits (incident 28)', () => {
	for (const { name, jobWaits } of [
		{ name: 'a job waits', jobWaits: true },
		{ name: 'no job waits', jobWaits: false },
	]) {
		const scenario = createScenario(['i-1', 'i-2'])
		for (const { address, answer } of scenario.sentCommands.splice(0))
			answer(200, scenario.makeHeartbeat(address.split(':')[0], []))
		// The job fits on one machine: the other is not planned for it.
		if (jobWaits) scenario.accept('job-000001', 4)
		scenario.advance(BOX_MACHINE_TYPE.bootS * 500 + 1000)
		assert.deepEqual(scenario.releasedMachines, jobWaits ? [] : ['i-1', 'i-2'], name)
		if (!jobWaits) continue
		assert.equal(startedTasks(scenario.heartbeat('i-2')).length, 4, 'it takes tasks at its next heartbeat')
	}
})

test('cancelled tasks get no grace period for a checkpoint, even if they are already saving one', () => {
	const scenario = createScenario(['i-1'])
	scenario.accept('job-000001', 2, { checkpointS: 30, saveS: 4 })
	const tasks = [reportedTask('job-000001/0', 'running'), reportedTask('job-000001/1', 'checkpointing')]
	scenario.heartbeat('i-1', tasks)
	scenario.shard.applyCancellation('job-000001')
	const kills = (commands: readonly Command[] = []) =>
		commands.flatMap((command) =>
			command.verb === 'kill' ? [`${command.taskName} ${command.gracePeriodS}`] : [],
		)
	const expected = ['job-000001/0 0', 'job-000001/1 0']
	assert.deepEqual(kills(scenario.sentCommands.at(-1)?.commands), expected, 'in direct commands')
	assert.deepEqual(
		kills(scenario.heartbeat('i-1', tasks)),
		expected,
		'again in the response to the next heartbeat, in case the direct commands were lost',
	)
})

test('a task is not started while any attempt of it may be on a machine (incident 26)', () => {
	const name = 'job-000001/0'
	const running = (attempt: number) => [reportedTask(name, 'running', null, attempt)]
	const stopped = (attempt: number) => [reportedTask(name, 'exited', 'stopped', attempt)]
	/** the tasks that i-1 and i-2 report after `arrange` */
	type Reports = [first: ReportedTask[], second: ReportedTask[]]
	type Case = [name: string, arrange: (scenario: Scenario) => void, reports: Reports, mayStart: boolean]
	const cases: Case[] = [
		[
			'heartbeats sent before the takeover arrive late, the first with the previous attempt',
			(scenario) => {
				scenario.heartbeat('i-1', running(7), TOKEN - 1)
				scenario.heartbeat('i-1', running(8), TOKEN - 1)
			},
			[running(8), []],
			false,
		],
		[
			'the previous attempt was reported',
			(scenario) => scenario.heartbeat('i-1', running(7)),
			[running(8), []],
			false,
		],
		[
			'two machines had an attempt, one of them has stopped its own',
			(scenario) => [scenario.heartbeat('i-1', running(7)), scenario.heartbeat('i-2', running(8))],
			[stopped(7), running(8)],
			false,
		],
		[
			'two machines had an attempt, both have stopped theirs',
			(scenario) => [scenario.heartbeat('i-1', running(7)), scenario.heartbeat('i-2', running(8))],
			[stopped(7), stopped(8)],
			true,
		],
		[
			'a machine reports the task only in a later heartbeat',
			(scenario) => [scenario.heartbeat('i-1'), scenario.heartbeat('i-2')],
			[[], running(7)],
			false,
		],
		['no machine has an attempt of it', () => {}, [[], []], true],
	]
	for (const [caseName, arrange, [first, second], mayStart] of cases) {
		const scenario = createScenario(['i-1', 'i-2'])
		scenario.accept('job-000001', 1)
		arrange(scenario)
		scenario.deliver(scenario.makeHeartbeat('i-2', second))
		scenario.deliver(scenario.makeHeartbeat('i-1', first))
		scenario.addMachine('i-3')
		const reports: [machineId: string, tasks: ReportedTask[]][] = [
			['i-3', []],
			['i-1', first],
			['i-2', second],
		]
		const started = reports.flatMap(([machineId, tasks]) => {
			scenario.advance(TICK_MS)
			return startedTasks(scenario.heartbeat(machineId, tasks))
		})
		assert.deepEqual([...new Set(started)], mayStart ? [name] : [], caseName)
	}
})
