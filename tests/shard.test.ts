import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { JobRecord } from '@heathroad/cluster'
import { DEFAULT_OPERATOR_SETTINGS, deriveLimits } from '@heathroad/config'
import { Shard } from '@heathroad/controller'
import type { QueuedWrite } from '@heathroad/store'
import { arrayJob, BOX_MACHINE_TYPE, idleDependencies, plainSettings } from '@heathroad/testkit'
import type { Command, Heartbeat, JobSpec, ReportedTask } from '@heathroad/wire'

/** Fencing token under which the shard was taken. */
const TOKEN = 3
const settings = plainSettings('a')
const { heartbeatMs, agentLeaseMs } = deriveLimits(settings)
const ACCEPTED_AT_MS = 1_700_000_000_000
const TICK_MS = 250

/** Commands that were sent to a machine directly, and how to answer them. */
interface SentCommands {
	address: string
	commands: Command[]
	answer: (status: number, heartbeat: Heartbeat | null) => void
}

/** Stored form of the machine group `r` of spot machines. */
const storedMachineGroup = (machineIds: readonly string[]) => ({
	part: 0,
	type: 'box',
	zone: 'a',
	spot: true,
	asked: 0,
	hosts: Object.fromEntries(machineIds.map((id) => [id, `${id}:1`])),
})

/** One shard alone with machines that a former owner may have used. Writes and commands wait until the test answers them. */
const createScenario = (machineIds: readonly string[]) => {
	let nowMs = 0
	const jobs = new Map<string, { record: JobRecord; modRevision: number }>()
	const writes: QueuedWrite[] = []
	const sentCommands: SentCommands[] = []
	const releasedMachines: string[] = []
	const ports = idleDependencies({
		now: () => nowMs,
		wallClockMs: () => ACCEPTED_AT_MS + nowMs,
		withPrefix: (prefix) =>
			prefix === 'fleet/' ? [['fleet/r', { data: storedMachineGroup(machineIds), modRevision: 2 }]] : [],
		job: (uid) => jobs.get(uid),
		openJobs: () => jobs.keys(),
		enqueueWrite: (content) => {
			const write = { ...content, deadline: 0 }
			writes.push(write)
			return write
		},
		sendCommands: (address, _fencingToken, _agentEpoch, commands, answer) =>
			sentCommands.push({ address, commands, answer }),
		releaseMachines: (ids) => releasedMachines.push(...ids),
		availableCloudCalls: () => 10,
	})
	const config = { settings, ...DEFAULT_OPERATOR_SETTINGS, limits: deriveLimits(settings) }
	const shard = new Shard(0, TOKEN, config, ports)
	const sequences = new Map<string, number>()
	/** a heartbeat as its machine makes it now */
	const makeHeartbeat = (machineId: string, tasks: ReportedTask[], fencingToken = TOKEN): Heartbeat => {
		const sequence = (sequences.get(machineId) ?? 0) + 1
		sequences.set(machineId, sequence)
		return {
			machineId,
			address: `${machineId}:1`,
			machineType: 'box',
			zone: 'a',
			spot: true,
			agentEpoch: 1,
			sequence,
			fencingToken,
			preemptionNoticeS: null,
			tasks,
		}
	}
	/** the commands in the response to a heartbeat; none if it is not answered yet */
	const deliver = (heartbeat: Heartbeat): Command[] => {
		let commands: Command[] = []
		shard.handleHeartbeat(heartbeat, (response) => {
			commands = response?.commands ?? []
		})
		return commands
	}
	return {
		shard,
		sentCommands,
		releasedMachines,
		writes,
		makeHeartbeat,
		deliver,
		heartbeat: (machineId: string, tasks: ReportedTask[] = [], fencingToken = TOKEN) =>
			deliver(makeHeartbeat(machineId, tasks, fencingToken)),
		accept: (uid: string, tasks: number, overrides: Partial<JobSpec> = {}) => {
			const record = {
				shardId: 0,
				spec: arrayJob(uid, { tasks, ...overrides }),
				acceptedAtMs: ACCEPTED_AT_MS,
			}
			jobs.set(uid, { record, modRevision: 0 })
			shard.onJobChanged(uid, record)
		},
		addMachine: (id: string) =>
			shard.onMachineGroupChanged(
				'r',
				storedMachineGroup([...machineIds, id]),
				storedMachineGroup(machineIds),
			),
		advance: (ms: number) => {
			for (const until = nowMs + ms; nowMs < until; ) {
				nowMs += TICK_MS
				shard.tick()
			}
		},
	}
}
type Scenario = ReturnType<typeof createScenario>

const reportedTask = (
	taskName: string,
	state: ReportedTask['state'],
	exitReason: ReportedTask['exitReason'] = null,
	attempt = 7,
): ReportedTask => {
	const [uid, index] = taskName.split('/')
	return { taskName, uid, taskIndex: Number(index), attempt, state, exitReason }
}
const startedTasks = (commands: readonly Command[]) =>
	commands.filter((command) => command.verb === 'start').map((command) => command.taskName)
const forgottenTasks = (commands: readonly Command[]) =>
	commands.filter((command) => command.verb === 'forget').map((command) => command.taskName)

test('a heartbeat from before the takeover does not confirm its machine', () => {
	const scenario = createScenario(['i-1'])
	scenario.accept('job-000001', 1)
	// Delayed since before the former owner's start was answered: it lists nothing, and proves nothing.
	assert.deepEqual(startedTasks(scenario.heartbeat('i-1', [], TOKEN - 1)), [])
	assert.equal(scenario.shard.isReconciled, false)
	scenario.advance(heartbeatMs)
	assert.deepEqual(startedTasks(scenario.heartbeat('i-1', [], TOKEN - 1)), [], 'nor after another one')
	scenario.heartbeat('i-1', [reportedTask('job-000001/0', 'running')])
	assert.equal(scenario.shard.isReconciled, true)
	assert.deepEqual(
		startedTasks(scenario.heartbeat('i-1', [reportedTask('job-000001/0', 'running')])),
		[],
		'it runs already',
	)
})

test('a task whose start was sent is not started elsewhere before the next heartbeat or the end of the agent lease', () => {
	const cases: [name: string, play: (scenario: Scenario) => unknown, mayStartElsewhere: boolean][] = [
		['no heartbeat comes', () => {}, false],
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
			'an older heartbeat comes again',
			(scenario) => scenario.deliver({ ...scenario.makeHeartbeat('i-1', []), sequence: 1 }),
			false,
		],
		['the next heartbeat does not list it', (scenario) => scenario.heartbeat('i-1'), true],
		['the agent lease expires', (scenario) => scenario.advance(agentLeaseMs + 500), true],
	]
	for (const [name, play, mayStartElsewhere] of cases) {
		const scenario = createScenario(['i-1'])
		scenario.accept('job-000009', 1)
		scenario.heartbeat('i-1', [reportedTask('job-000009/0', 'running')])
		// A direct command is in progress, so that its answer may overtake the response to a heartbeat.
		scenario.shard.applyCancellation('job-000009')
		assert.ok(scenario.sentCommands.length > 0)
		scenario.accept('job-000001', 1)
		assert.deepEqual(
			startedTasks(scenario.heartbeat('i-1', [reportedTask('job-000009/0', 'running')])),
			['job-000001/0'],
			name,
		)
		// A machine that does not have the task may get the start again in the response to its heartbeat.
		const commands = play(scenario)
		const started = Array.isArray(commands) ? startedTasks(commands) : []
		scenario.addMachine('i-2')
		started.push(...startedTasks(scenario.heartbeat('i-2')))
		scenario.advance(500)
		started.push(...startedTasks(scenario.heartbeat('i-2')))
		// i-2's second heartbeat is as if the response had been lost, so it gets the start again.
		assert.deepEqual([...new Set(started)], mayStartElsewhere ? ['job-000001/0'] : [], name)
	}
})

test('a machine forgets an outcome only once it is durable', () => {
	const scenario = createScenario(['i-1'])
	scenario.accept('job-000001', 2)
	const done = [reportedTask('job-000001/0', 'exited', 'completed'), reportedTask('job-000001/1', 'running')]
	scenario.heartbeat('i-1', done)
	scenario.advance(heartbeatMs * 4)
	assert.deepEqual(forgottenTasks(scenario.heartbeat('i-1', done)), [], 'its write is not answered')
	assert.ok(scenario.writes.length > 0)
	for (const write of scenario.writes.splice(0)) {
		assert.notEqual(write.build(), null)
		write.onResult({ kind: 'unknown' })
	}
	scenario.advance(heartbeatMs * 4)
	assert.deepEqual(forgottenTasks(scenario.heartbeat('i-1', done)), [], 'the result of its write is unknown')
	for (const write of scenario.writes.splice(0))
		if (write.build() !== null) write.onResult({ kind: 'ok', revision: 9 })
	scenario.advance(heartbeatMs)
	assert.deepEqual(forgottenTasks(scenario.heartbeat('i-1', done)), ['job-000001/0'])
})

test('a machine that is kept although it is silent takes nothing new (incident 22)', () => {
	const scenario = createScenario(['i-1', 'i-2'])
	for (const id of ['i-1', 'i-2']) scenario.heartbeat(id)
	scenario.advance(heartbeatMs * 4)
	scenario.heartbeat('i-2')
	// Half of the machines silent are many: they are kept for some agent leases.
	scenario.accept('job-000001', 12)
	const first = startedTasks(scenario.heartbeat('i-2'))
	assert.equal(first.length, 8, 'as many as it has room for')
	scenario.advance(500)
	const waiting = scenario.shard.jobs.get('job-000001')
	assert.equal(waiting?.readyTasks.size, 4, 'the rest waits, and machines may be rented for it')
	assert.equal(startedTasks(scenario.heartbeat('i-1')).length, 4, 'until its next heartbeat')
})

/**
 * After a takeover the new owner knows from its probes that machines are empty, and hears of them again only once their
 * agents have given up the former owner, which takes an agent up to its timeout of 4 s. Meanwhile they take no work. They
 * were returned as idle after half a boot, while jobs waited for room, and others had to be rented and booted in their
 * place. In two slow runs of the check of streams: `shard reconciled` at 25.6 and 23.9 s with one and two jobs waiting,
 * `machines releasing` with all machines of the shard as `idle` from 28.7 and 27.0 s on, the jobs done at 53 s.
 */
test('a machine that was not heard since the takeover is not idle while a job waits for room (incident 28)', () => {
	for (const { name, jobWaits } of [
		{ name: 'a job waits', jobWaits: true },
		{ name: 'nothing waits', jobWaits: false },
	]) {
		const scenario = createScenario(['i-1', 'i-2'])
		for (const { address, answer } of scenario.sentCommands.splice(0))
			answer(200, scenario.makeHeartbeat(address.split(':')[0], []))
		// It fits on one of them: the other is never planned for it.
		if (jobWaits) scenario.accept('job-000001', 4)
		scenario.advance(BOX_MACHINE_TYPE.bootS * 500 + 1000)
		assert.deepEqual(scenario.releasedMachines, jobWaits ? [] : ['i-1', 'i-2'], name)
		if (!jobWaits) continue
		assert.equal(startedTasks(scenario.heartbeat('i-2')).length, 4, 'it takes work at its next heartbeat')
	}
})

test('cancelled tasks get no time to save, those that are saving already included', () => {
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
	assert.deepEqual(kills(scenario.sentCommands.at(-1)?.commands), expected, 'sent directly')
	assert.deepEqual(
		kills(scenario.heartbeat('i-1', tasks)),
		expected,
		'and in the response to the next heartbeat, in case that was lost',
	)
})

test('a task starts nowhere while any attempt of it may be on a machine (incident 26)', () => {
	const name = 'job-000001/0'
	const running = (attempt: number) => [reportedTask(name, 'running', null, attempt)]
	const halted = (attempt: number) => [reportedTask(name, 'exited', 'stopped', attempt)]
	/** what i-1 and i-2 report from then on */
	type Reports = [first: ReportedTask[], second: ReportedTask[]]
	type Case = [name: string, arrange: (scenario: Scenario) => void, reports: Reports, mayStart: boolean]
	const cases: Case[] = [
		[
			'heartbeats from before the takeover arrive late, the first with the previous attempt',
			(scenario) => {
				scenario.heartbeat('i-1', running(7), TOKEN - 1)
				scenario.heartbeat('i-1', running(8), TOKEN - 1)
			},
			[running(8), []],
			false,
		],
		[
			'the previous attempt was seen',
			(scenario) => scenario.heartbeat('i-1', running(7)),
			[running(8), []],
			false,
		],
		[
			'on two machines, gone from one',
			(scenario) => [scenario.heartbeat('i-1', running(7)), scenario.heartbeat('i-2', running(8))],
			[halted(7), running(8)],
			false,
		],
		[
			'gone from both',
			(scenario) => [scenario.heartbeat('i-1', running(7)), scenario.heartbeat('i-2', running(8))],
			[halted(7), halted(8)],
			true,
		],
		[
			'it is reported by a machine that did not list it before',
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
