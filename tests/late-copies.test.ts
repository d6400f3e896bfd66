/**
 * Late copies of messages that were carried out and answered before: guards against a task that runs on two machines, and a
 * cancelled task that runs again, because a start command reaches a machine once more (issue 56).
 *
 * An agent starts an attempt again if a start arrives after it has forgotten the attempt (protocol). Requests may be
 * executed late, responses are not. Starts therefore go only into responses to heartbeats. All that is sent directly are
 * kill commands, which name an attempt whose number is never used again, and probes without commands.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import {
	arrayJob,
	BOX_MACHINE_TYPE,
	FakeWorker,
	type Fault,
	InvariantChecker,
	type SimulatedDay,
	Simulation,
	VirtualClock,
} from '@heathroad/testkit'
import { isMap } from '@heathroad/wire'
import { createScenario, heartbeatMs, reportedTask, type Scenario, startedTasks } from './shard-scenario.js'

const TASK = 'job-000001/0'

test('an agent that has forgotten an attempt starts it again if its start is executed again', async () => {
	const clock = new VirtualClock(1)
	const worker = new FakeWorker(
		{
			clock,
			invariants: new InvariantChecker(() => clock.nowMs, 30_000, new Map()),
			heartbeatIntervalMs: 1000,
			leaseMs: 10_000,
			controllers: ['a'],
			task: () => ({ runMs: 100, fetchMs: 0, cpus: 1, fails: true }),
			send: () => {},
		},
		'i-1',
		BOX_MACHINE_TYPE,
		'a',
		false,
	)
	const statuses: unknown[] = []
	const execute = (verb: string) => {
		const order = { verb, piece: TASK, try: 1 }
		const { body } = worker.handle('/commands', { fence: 1, tenure: 1, orders: [order] })
		statuses.push((body as { pieces: { status: string }[] }).pieces.map(({ status }) => status).join())
	}
	await clock.run(1000, () => {
		execute('start')
		execute('start')
		clock.after(300, () => {
			execute('start')
			execute('forget')
			execute('start')
		})
	})
	assert.deepEqual(statuses, ['pulling', 'pulling', 'ended', '', 'pulling'])
})

/** What happened to a task of `i-1` before a copy of an older report of `i-1`, which lists it as running, arrives. */
interface Past {
	name: string
	/** returns the copy */
	arrange(scenario: Scenario): ReturnType<Scenario['makeHeartbeat']>
	/** the machine on which the task is to stay; null: it must not be started */
	placedOn: string | null
}

/** Starts the task on `i-1`; returns the report that lists it as running. */
const runTask = (scenario: Scenario): { attempt: number; report: ReturnType<Scenario['makeHeartbeat']> } => {
	scenario.heartbeat('i-1')
	scenario.heartbeat('i-2', [reportedTask('job-000009/0', 'running')])
	scenario.accept('job-000001', 1)
	const start = scenario.heartbeat('i-1').find(({ verb }) => verb === 'start')
	assert.equal(start?.taskName, TASK)
	const attempt = Number(start?.attempt)
	const report = scenario.makeHeartbeat('i-1', [reportedTask(TASK, 'running', null, attempt)])
	scenario.deliver(report)
	return { attempt, report }
}

const PASTS: readonly Past[] = [
	{
		name: 'forgotten',
		arrange: (scenario) => {
			const { attempt, report } = runTask(scenario)
			scenario.heartbeat('i-1', [reportedTask(TASK, 'exited', 'completed', attempt)])
			for (const write of scenario.writes.splice(0))
				if (write.build() !== null) write.onResult({ kind: 'ok', revision: 9 })
			scenario.heartbeat('i-1')
			return report
		},
		placedOn: null,
	},
	{
		name: 'moved to another machine',
		arrange: (scenario) => {
			const { attempt, report } = runTask(scenario)
			const noticed = scenario.makeHeartbeat('i-1', [reportedTask(TASK, 'running', null, attempt)])
			scenario.deliver({ ...noticed, preemptionNoticeS: 1 })
			scenario.deliver({
				...scenario.makeHeartbeat('i-1', [reportedTask(TASK, 'exited', 'stopped', attempt)]),
				preemptionNoticeS: 1,
			})
			scenario.advance(heartbeatMs)
			assert.ok(
				startedTasks(scenario.heartbeat('i-2', [reportedTask('job-000009/0', 'running')])).includes(TASK),
			)
			return report
		},
		placedOn: 'i-2',
	},
	{
		name: 'cancelled',
		arrange: (scenario) => {
			const { attempt, report } = runTask(scenario)
			scenario.shard.applyCancellation('job-000001')
			scenario.heartbeat('i-1', [reportedTask(TASK, 'exited', 'stopped', attempt)])
			scenario.heartbeat('i-1')
			return report
		},
		placedOn: null,
	},
]

for (const { name, arrange, placedOn } of PASTS)
	test(`a copy of a report that lists a task as running arrives after the task was ${name}`, () => {
		const scenario = createScenario(['i-1', 'i-2'])
		scenario.accept('job-000009', 1)
		const copy = arrange(scenario)
		scenario.sentCommands.length = 0
		assert.deepEqual(scenario.deliver(copy), [], 'the response has no commands')
		scenario.advance(heartbeatMs)
		assert.deepEqual(scenario.sentCommands, [], 'nothing is sent directly')
		const placement = scenario.shard.jobs.get('job-000001')?.placements.get(0)
		assert.equal(placement?.machine.id ?? null, placedOn)
	})

const FAULTS_UNTIL_S = 120
/** The last copies arrive 25 s after the faults; a job then waits for at most 90 s, and runs for up to 30 s. */
const UNTIL_S = FAULTS_UNTIL_S + 25 + 90 + 30
const FIRST_FAULT_S = 12

/** A controller or some machines return within a second, again and again; copies of all messages arrive meanwhile. */
const faultsOf = (seed: number): Fault[] => {
	const copies = (
		['duplicatedCommands', 'duplicatedResponses', 'duplicatedHeartbeats', 'heldHeartbeats'] as const
	).map((kind): Fault => ({ atS: 1, kind, share: 0.7, forS: FAULTS_UNTIL_S }))
	const returns: Fault[] = []
	for (let atS = FIRST_FAULT_S; atS < FAULTS_UNTIL_S; atS += 6) {
		const step = Math.round(atS / 6) + seed
		returns.push({ atS, kind: 'crash', who: [step % 3], forS: 0.2 + (step % 4) * 0.2 })
		returns.push({ atS: atS + 2, kind: 'machinesHang', share: 0.4, forS: 0.3 + (step % 3) * 0.2 })
		if (step % 3 === 0) returns.push({ atS: atS + 3, kind: 'spotNotice', forS: 4 })
		if (step % 4 === 0) returns.push({ atS: atS + 3, kind: 'cancelNow', count: 2 })
		if (step % 5 === 0) returns.push({ atS: atS + 4, kind: 'crash', who: [0, 1, 2], forS: 0.5 })
	}
	return [...copies, ...returns]
}

/** Short tasks, which are forgotten soon, long ones, which spot notices move, and jobs that are cancelled. */
const dayOf = (seed: number): SimulatedDay => ({
	seed,
	untilS: UNTIL_S,
	balanced: true,
	faults: faultsOf(seed),
	jobs: Array.from({ length: 30 }, (_, index) => {
		const atS = 2 + index * 3
		const isLong = index % 3 === 0
		const spec = arrayJob(`job-${String(seed * 100 + index).padStart(6, '0')}`, {
			tasks: isLong ? 3 : 5,
			expectedS: isLong ? 25 : 2,
			imageGb: 0.05,
			spot: index % 2 === 0,
		})
		return { atS, spec, ...(index % 4 === 1 ? { cancelAtS: atS + 3 + (index % 5) } : {}) }
	}),
})

/** Verbs of the commands in a direct request. */
const verbsOf = (body: unknown): string[] =>
	isMap(body) && Array.isArray(body.orders) ? body.orders.map(({ verb }) => String(verb)) : []

for (const seed of [1, 2, 3, 4, 5, 6])
	test(`controllers and machines return within a second while copies of all messages arrive, seed ${seed}`, async () => {
		const simulation = new Simulation(dayOf(seed))
		const directVerbs = new Set<string>()
		let directRequests = 0
		simulation.trace = ({ direction, kind, head, body }) => {
			if (direction !== 'out' || kind !== 'request' || !head.startsWith('POST /commands')) return
			directRequests++
			for (const verb of verbsOf(body)) directVerbs.add(verb)
		}
		await simulation.run()
		assert.deepEqual(simulation.invariants.violations, [])
		assert.deepEqual(simulation.invariants.unfinishedJobs(), [])
		assert.ok(directRequests > 20, `${directRequests} direct requests`)
		assert.deepEqual([...directVerbs], ['kill'], 'no start is sent directly')
	})
