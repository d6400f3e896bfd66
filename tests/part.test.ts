import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { JobRecord } from '@heathroad/cluster'
import { DEFAULT_OPERATOR_SETTINGS, deriveLimits } from '@heathroad/config'
import { Shard } from '@heathroad/controller'
import type { QueuedWrite } from '@heathroad/store'
import { arrayJob, idlePorts, plainSettings } from '@heathroad/testkit'
import type { Command, Heartbeat, JobSpec, ReportedTask } from '@heathroad/wire'

/** The token under which the part was taken. */
const TOKEN = 3
const settings = plainSettings('a')
const { heartbeatMs: reportMs, agentLeaseMs: leaseMs } = deriveLimits(settings)

/** One part alone with machines that a former owner may have used; writes and commands wait until they are answered. */
const scene = (machines: readonly string[]) => {
	let nowMs = 0
	const jobs = new Map<string, { record: JobRecord; modRevision: number }>()
	const writes: QueuedWrite[] = []
	const commands: {
		addr: string
		orders: Command[]
		answer: (status: number, report: Heartbeat | null) => void
	}[] = []
	const fleet = (ids: readonly string[]) => ({
		part: 0,
		type: 'box',
		zone: 'a',
		spot: true,
		asked: 0,
		hosts: Object.fromEntries(ids.map((id) => [id, `${id}:1`])),
	})
	const ports = idlePorts({
		now: () => nowMs,
		wallClockMs: () => 1_700_000_000_000 + nowMs,
		withPrefix: (prefix) =>
			prefix === 'fleet/' ? [['fleet/r', { data: fleet(machines), modRevision: 2 }]] : [],
		job: (uid) => jobs.get(uid),
		openJobs: () => jobs.keys(),
		enqueueWrite: (w) => {
			const write = { ...w, deadline: 0 }
			writes.push(write)
			return write
		},
		sendCommands: (addr, _token, _tenure, orders, answer) => commands.push({ addr, orders, answer }),
	})
	const part = new Shard(
		0,
		TOKEN,
		{ settings, ...DEFAULT_OPERATOR_SETTINGS, limits: deriveLimits(settings) },
		ports,
	)
	const counters = new Map<string, number>()
	/** a report as its machine makes it now */
	const made = (machine: string, tasks: ReportedTask[], token = TOKEN): Heartbeat => {
		counters.set(machine, (counters.get(machine) ?? 0) + 1)
		return {
			machineId: machine,
			address: `${machine}:1`,
			machineType: 'box',
			zone: 'a',
			spot: true,
			agentEpoch: 1,
			sequence: counters.get(machine)!,
			fencingToken: token,
			preemptionNoticeS: null,
			tasks,
		}
	}
	const send = (report: Heartbeat): Command[] => {
		let orders: Command[] = []
		part.handleHeartbeat(report, (answer) => {
			orders = answer?.orders ?? []
		})
		return orders
	}
	return {
		part,
		commands,
		writes,
		made,
		send,
		report: (machine: string, tasks: ReportedTask[] = [], token = TOKEN) => send(made(machine, tasks, token)),
		accept: (uid: string, tasks: number, more: Partial<JobSpec> = {}) => {
			const record = { shardId: 0, spec: arrayJob(uid, { tasks, ...more }), acceptedAtMs: 1_700_000_000_000 }
			jobs.set(uid, { record, modRevision: 0 })
			part.onJobChanged(uid, record)
		},
		comes: (id: string) => part.onMachineGroupChanged('r', fleet([...machines, id]), fleet(machines)),
		pass: (ms: number) => {
			for (const until = nowMs + ms; nowMs < until; ) {
				nowMs += 250
				part.tick()
			}
		},
	}
}

const task = (
	name: string,
	state: ReportedTask['state'],
	cause: ReportedTask['exitReason'] = null,
	attempt = 7,
): ReportedTask => {
	const [uid, n] = name.split('/')
	return { taskName: name, uid, taskIndex: Number(n), attempt, state, exitReason: cause }
}
const starts = (orders: readonly Command[]) => orders.filter((o) => o.verb === 'start').map((o) => o.taskName)
const forgets = (orders: readonly Command[]) =>
	orders.filter((o) => o.verb === 'forget').map((o) => o.taskName)

test('a report from before the takeover does not account for its machine', () => {
	const s = scene(['i-1'])
	s.accept('job-000001', 1)
	// Held up since before the former owner's start was answered: it shows nothing, and proves nothing.
	assert.deepEqual(starts(s.report('i-1', [], TOKEN - 1)), [])
	assert.equal(s.part.isReconciled, false)
	s.pass(reportMs)
	assert.deepEqual(starts(s.report('i-1', [], TOKEN - 1)), [], 'nor does another one')
	s.report('i-1', [task('job-000001/0', 'running')])
	assert.equal(s.part.isReconciled, true)
	assert.deepEqual(starts(s.report('i-1', [task('job-000001/0', 'running')])), [], 'it runs already')
})

test('a start that is on its way holds its task until the next report or the end of the lease', () => {
	const cases: [name: string, then: (s: ReturnType<typeof scene>) => unknown, free: boolean][] = [
		['nothing is heard', () => {}, false],
		['it stays silent for some reports', (s) => s.pass(reportMs * 3.5), false],
		[
			'the answer to a command overtakes the response with the start',
			(s) => s.commands.at(-1)!.answer(200, s.made('i-1', [task('job-000009/0', 'ended', 'halted')])),
			false,
		],
		['an older report comes again', (s) => s.send({ ...s.made('i-1', []), sequence: 1 }), false],
		['the next report does not have it', (s) => s.report('i-1'), true],
		['its lease is over', (s) => s.pass(leaseMs + 500), true],
	]
	for (const [name, then, free] of cases) {
		const s = scene(['i-1'])
		s.accept('job-000009', 1)
		s.report('i-1', [task('job-000009/0', 'running')])
		// A command is under way, so that its answer may overtake another response.
		s.part.applyCancellation('job-000009')
		assert.ok(s.commands.length > 0)
		s.accept('job-000001', 1)
		assert.deepEqual(starts(s.report('i-1', [task('job-000009/0', 'running')])), ['job-000001/0'], name)
		// The machine that does not have it may be told again by the same response.
		const again = then(s)
		const told = Array.isArray(again) ? starts(again) : []
		s.comes('i-2')
		told.push(...starts(s.report('i-2')))
		s.pass(500)
		told.push(...starts(s.report('i-2')))
		// i-2 reports as if the response had been lost, and is told again.
		assert.deepEqual([...new Set(told)], free ? ['job-000001/0'] : [], name)
	}
})

test('an outcome is forgotten by its machine only once it is durable', () => {
	const s = scene(['i-1'])
	s.accept('job-000001', 2)
	const done = [task('job-000001/0', 'ended', 'done'), task('job-000001/1', 'running')]
	s.report('i-1', done)
	s.pass(reportMs * 4)
	assert.deepEqual(forgets(s.report('i-1', done)), [], 'its write waits')
	assert.ok(s.writes.length > 0)
	for (const w of s.writes.splice(0)) {
		assert.notEqual(w.build(), null)
		w.onResult({ kind: 'unknown' })
	}
	s.pass(reportMs * 4)
	assert.deepEqual(forgets(s.report('i-1', done)), [], 'whether it was carried out is not known')
	for (const w of s.writes.splice(0)) if (w.build() !== null) w.onResult({ kind: 'ok', revision: 9 })
	s.pass(reportMs)
	assert.deepEqual(forgets(s.report('i-1', done)), ['job-000001/0'])
})

test('a machine that is kept although it is silent takes nothing new (incident 22)', () => {
	const s = scene(['i-1', 'i-2'])
	for (const id of ['i-1', 'i-2']) s.report(id)
	s.pass(reportMs * 4)
	s.report('i-2')
	// Half of the machines silent are many: they are kept for some leases.
	s.accept('job-000001', 12)
	const first = starts(s.report('i-2'))
	assert.equal(first.length, 8, 'as many as it has room for')
	s.pass(500)
	const waiting = s.part.jobs.get('job-000001')
	assert.equal(waiting?.readyTasks.size, 4, 'the others wait, and may be rented for')
	assert.equal(starts(s.report('i-1')).length, 4, 'until it is heard again')
})

test('cancelled tasks get no time to save, those that are saving already included', () => {
	const s = scene(['i-1'])
	s.accept('job-000001', 2, { checkpointS: 30, saveS: 4 })
	const tasks = [task('job-000001/0', 'running'), task('job-000001/1', 'flushing')]
	s.report('i-1', tasks)
	s.part.applyCancellation('job-000001')
	const kills = (orders: readonly Command[] = []) =>
		orders.flatMap((o) => (o.verb === 'kill' ? [`${o.taskName} ${o.gracePeriodS}`] : []))
	const both = ['job-000001/0 0', 'job-000001/1 0']
	assert.deepEqual(kills(s.commands.at(-1)?.orders), both, 'told directly')
	assert.deepEqual(kills(s.report('i-1', tasks)), both, 'and with the next report, in case that was lost')
})

test('a task starts nowhere while any attempt of it may be on a machine (incident 26)', () => {
	const name = 'job-000001/0'
	const on = (attempt: number, state: ReportedTask['state'] = 'running') => [task(name, state, null, attempt)]
	const halted = (attempt: number) => [task(name, 'ended', 'halted', attempt)]
	type Lists = [first: ReportedTask[], second: ReportedTask[]]
	const cases: [name: string, play: (s: ReturnType<typeof scene>) => void, then: Lists, free: boolean][] = [
		[
			'reports from before the takeover arrive now, first one that lists the attempt before it',
			(s) => {
				s.report('i-1', on(7), TOKEN - 1)
				s.report('i-1', on(8), TOKEN - 1)
			},
			[on(8), []],
			false,
		],
		['the attempt before it was seen', (s) => s.report('i-1', on(7)), [on(8), []], false],
		[
			'on two machines, gone from one',
			(s) => [s.report('i-1', on(7)), s.report('i-2', on(8))],
			[halted(7), on(8)],
			false,
		],
		['gone from both', (s) => [s.report('i-1', on(7)), s.report('i-2', on(8))], [halted(7), halted(8)], true],
		[
			'it turns up where it was not known to be',
			(s) => [s.report('i-1'), s.report('i-2')],
			[[], on(7)],
			false,
		],
		['nothing of it is anywhere', () => {}, [[], []], true],
	]
	for (const [what, play, [first, second], free] of cases) {
		const s = scene(['i-1', 'i-2'])
		s.accept('job-000001', 1)
		play(s)
		s.send(s.made('i-2', second))
		s.send(s.made('i-1', first))
		s.comes('i-3')
		const told = ['i-3', 'i-1', 'i-2'].flatMap((id) => {
			s.pass(250)
			return starts(s.report(id, id === 'i-3' ? [] : id === 'i-1' ? first : second))
		})
		assert.deepEqual([...new Set(told)], free ? [name] : [], what)
	}
})
