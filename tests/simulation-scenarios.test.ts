import assert from 'node:assert/strict'
import { test } from 'node:test'
import { arrayJob, Simulation } from '@heathroad/testkit'
import { mixedJobs } from './simulated-jobs.js'

test('a crashed machine gets no more work, and its release is not retried without pause (incident 2)', async () => {
	const simulation = new Simulation({
		seed: 21,
		untilS: 120,
		jobs: mixedJobs(10),
		faults: [
			{ atS: 30, kind: 'machineDies' },
			{ atS: 31, kind: 'machineDies' },
			{ atS: 32, kind: 'cloudDown', forS: 60 },
		],
	})
	const seen = new Map<string, number>()
	simulation.onLogLine = (line) => {
		const at = /(agent lease expired|machines releasing) (.*)/.exec(line)
		if (at !== null) seen.set(at[0], (seen.get(at[0]) ?? 0) + 1)
	}
	await simulation.run()
	assert.deepEqual(simulation.invariants.violations, [])
	const expiries = [...seen].filter(([line]) => line.startsWith('agent lease expired'))
	assert.ok(expiries.length > 0, 'some task was lost with its machine')
	for (const [line, times] of expiries) assert.equal(times, 1, `${line} was logged ${times} times`)
	for (const [line, times] of seen) assert.ok(times <= 40, `${line} was logged ${times} times`)
})

/** Up to a quarter of a shard's machines are released as missing (incident 3); in a smaller shard one machine is more. */
const MIN_MACHINES_TO_RELEASE_ONE = 4
const AGENT_LEASE_S = 20
/** On seed 22 the crashed machine is in a shard of three, on the others in larger ones. */
const CRASHED_MACHINE_SEEDS = [22, 31, 35, 36, 37, 38, 39, 40, 41]

/** Crashes a machine just before all controllers restart; returns how long each shard's reconciliation took. */
const reconciliationsWithCrashedMachine = async (
	seed: number,
): Promise<{ machines: number; afterMs: number }[]> => {
	const simulation = new Simulation({
		seed,
		untilS: 90,
		jobs: mixedJobs(24, 1.5),
		workerTimes: { heartbeatIntervalS: 1, leaseS: AGENT_LEASE_S, cancelS: 60 },
		faults: [
			{ atS: 40, kind: 'machineDies' },
			{ atS: 41, kind: 'crash', who: [0, 1, 2], forS: 1 },
		],
	})
	const machinesOfShard = new Map<string, number>()
	const reconciliations: { machines: number; afterMs: number }[] = []
	simulation.onLogLine = (line) => {
		const started = /shard reconciling {"part":(\d+),.*"machines":(\d+)/.exec(line)
		if (started !== null) machinesOfShard.set(started[1], Number(started[2]))
		const finished = /^(\d+) .* shard reconciled {"part":(\d+),"afterMs":(\d+)/.exec(line)
		if (finished === null || Number(finished[1]) <= 41_000) return
		reconciliations.push({ machines: machinesOfShard.get(finished[2]) ?? 0, afterMs: Number(finished[3]) })
	}
	await simulation.run()
	assert.deepEqual(simulation.invariants.violations, [], `seed ${seed}`)
	return reconciliations
}

test('an unreachable machine does not delay reconciliation for its whole agent lease (incident 3)', async () => {
	for (const seed of CRASHED_MACHINE_SEEDS) {
		const reconciliations = await reconciliationsWithCrashedMachine(seed)
		const text = `seed ${seed}: reconciliations took ${JSON.stringify(reconciliations)}`
		assert.ok(Math.max(...reconciliations.map(({ afterMs }) => afterMs)) > 1000, `${text}; none was delayed`)
		for (const { machines, afterMs } of reconciliations) {
			const maxMs = machines >= MIN_MACHINES_TO_RELEASE_ONE ? 10_000 : (AGENT_LEASE_S + 1) * 1000
			assert.ok(afterMs < maxMs, text)
		}
	}
})

test('a faulty machine is drained, and jobs that fail everywhere cost no healthy machine (incident 8)', async () => {
	// One has more tasks than the fleet has slots: it starts nearly everywhere before its first failure is known.
	const broken = [5, 120].map((tasks, i) =>
		arrayJob(`job-00090${i}`, { jobClass: 'broken', tasks, expectedS: 1 }),
	)
	const simulation = new Simulation({
		seed: 23,
		untilS: 400,
		jobs: [...mixedJobs(12), ...broken.map((spec, i) => ({ atS: 20 + i * 50, spec, cancelAtS: 150 }))],
		faults: [14, 15, 16].map((atS) => ({ atS, kind: 'machineFaulty' })),
	})
	const drained = new Set<string>()
	const failed = new Map<string, number>()
	simulation.onLogLine = (line) => {
		const machine = /faulty machine draining .*"machine":"([^"]+)"/.exec(line)?.[1]
		if (machine !== undefined) drained.add(machine)
		const uid = /task failed .*"task":"([^/]+)/.exec(line)?.[1]
		if (uid !== undefined) failed.set(uid, (failed.get(uid) ?? 0) + 1)
	}
	await simulation.run()
	assert.deepEqual(simulation.invariants.violations, [])
	assert.deepEqual(simulation.invariants.unfinishedJobs(), [], 'every job reaches a terminal state')
	assert.ok(drained.size >= 1, 'at least one faulty machine is detected')
	for (const id of drained) assert.ok(simulation.faulty.has(id), `${id} is drained although it is healthy`)
	const [narrow, wide] = broken.map((b) => failed.get(b.uid) ?? 0)
	assert.ok(narrow >= 5 && narrow < 20, `the narrow job failed ${narrow} times in 130 s`)
	assert.ok(wide > 10 && wide < 60, `the wide job of 120 tasks failed ${wide} times in 80 s`)
})

test('a crashed machine is released soon although scale-out uses up the rate of cloud calls', async () => {
	const simulation = new Simulation({
		seed: 29,
		untilS: 48,
		controllers: 1,
		capacity: 400,
		cloudRps: 0.3,
		// In each of two zones, more machines are always wanted than the next call can request.
		jobs: Array.from({ length: 40 }, (_, i) => ({
			atS: 1 + i,
			spec: arrayJob(`job-0006${String(i).padStart(2, '0')}`, {
				tasks: 700,
				expectedS: 60,
				priority: 'urgent',
				zone: i % 2 === 0 ? 'a' : 'b',
			}),
		})),
		faults: [25, 26, 27].map((atS) => ({ atS, kind: 'machineDies' })),
	})
	const releasedAt: number[] = []
	simulation.onLogLine = (line) => {
		const at = /^(\d+) .* releasing .*silent/.exec(line)
		if (at !== null) releasedAt.push(Number(at[1]) / 1000)
	}
	await simulation.run()
	assert.deepEqual(simulation.invariants.violations, [])
	assert.ok(releasedAt.length > 0 && releasedAt[0] < 40, `crashed at 25 s, released at ${releasedAt}`)
})

test('a shard whose machines cannot reach its owner is handed to a controller that they reach (incident 10)', async () => {
	const simulation = new Simulation({
		seed: 26,
		untilS: 200,
		jobs: Array.from({ length: 9 }, (_, i) => ({
			atS: 1 + i,
			spec: arrayJob(`job-00080${i}`, { tasks: 16, expectedS: 50 }),
		})),
		faults: [{ atS: 40, kind: 'cut', who: [0], from: 'workers', forS: 20 }],
	})
	const seen = new Map<string, number>()
	simulation.onLogLine = (line) => {
		const event = /agent lease expired|machines reach|workers reachable again|handed back to ctl-0/.exec(
			line,
		)?.[0]
		if (event !== undefined) seen.set(event, (seen.get(event) ?? 0) + 1)
	}
	await simulation.run()
	assert.deepEqual(simulation.invariants.violations, [])
	assert.deepEqual(simulation.invariants.unfinishedJobs(), [], 'every job reaches a terminal state')
	assert.equal(
		seen.get('machines reach'),
		1,
		'the shard was handed once to a controller that its machines reach',
	)
	assert.equal(seen.get('agent lease expired') ?? 0, 0, 'no agent lease expired')
	assert.equal(seen.get('workers reachable again'), 1)
	assert.equal(seen.get('handed back to ctl-0'), 1)
})

test('some 200 machines and bursts of arrays: every job finishes, and writes are proportional to jobs and rentals', async () => {
	const simulation = new Simulation({
		seed: 24,
		untilS: 260,
		controllers: 5,
		capacity: 60,
		jobs: Array.from({ length: 60 }, (_, i) => ({
			atS: i < 40 ? 1 : 1 + i * 2,
			spec: arrayJob(`job-${String(i).padStart(6, '0')}`, {
				tasks: 60,
				image: `img-${i % 5}`,
				expectedS: 12 + (i % 9),
			}),
		})),
		faults: [
			{ atS: 60, kind: 'crash', who: [1, 3] },
			{ atS: 90, kind: 'slowState', forS: 30 },
		],
	})
	const count = new Map<string, number>()
	simulation.onLogLine = (line) => {
		const event = /^\d+ \S+ (machine booted|machines releasing|job accepted|scale-out requested)/.exec(
			line,
		)?.[1]
		if (event !== undefined) count.set(event, (count.get(event) ?? 0) + 1)
	}
	await simulation.run()
	assert.deepEqual(simulation.invariants.violations, [])
	assert.deepEqual(simulation.invariants.unfinishedJobs(), [], 'every job reaches a terminal state')
	const machines = count.get('machine booted') ?? 0
	assert.ok(machines > 150, `${machines} machines booted`)
	// Three changes per machine and two per job, as in earlier versions, exceed the state service's write rate.
	const fleet = simulation.state.countChanges('fleet/')
	const changes = fleet.set + fleet.deleted
	assert.ok(changes < machines * 2, `${changes} changes to the records of ${machines} machines`)
	// A terminal state is one change; progress is written with what is left of the write rate.
	const own = simulation.state.countChanges('job/')
	assert.ok(own.set < 60 * 6, `${own.set} changes to the own keys of 60 jobs`)
	// 40 of the 60 jobs are submitted in one burst.
	const intake = simulation.state.countChanges('intake/')
	assert.ok(intake.set < 45, `${intake.set} changes for 60 acceptances`)
	assert.ok(
		intake.deleted > intake.set / 2,
		`${intake.deleted} of ${intake.set} records are deleted at the end`,
	)
})

for (const [urgency, overrides, maxDoneS] of [
	['urgent', { priority: 'urgent' }, 100],
	['raised', { priority: 'idle', jobClass: 'letters' }, 130],
] as const)
	test(`${urgency} tasks that need several slots of one machine do not wait behind small ones (incidents 5 and 13)`, async () => {
		const wide = arrayJob('job-000701', { tasks: 4, cpus: 4, expectedS: 5, ...overrides })
		const simulation = new Simulation({
			seed: 25,
			untilS: 300,
			controllers: 1,
			capacity: 1,
			waits: new Map([['letters', 60]]),
			jobs: [
				{ atS: 1, spec: arrayJob('job-000700', { tasks: 700, expectedS: 9 }) },
				{ atS: 60, spec: wide },
			],
			faults: [],
		})
		let doneAt = 0
		simulation.onLogLine = (line) => {
			const at = /^(\d+) .* job terminal .*job-000701/.exec(line)
			if (at !== null) doneAt = Number(at[1]) / 1000
		}
		await simulation.run()
		assert.deepEqual(simulation.invariants.violations, [])
		assert.ok(doneAt > 0 && doneAt < maxDoneS, `the job submitted at 60 s finished at ${doneAt} s`)
	})

test('a team gets its guarantee by preempting a guest team without checkpoints, and no more than that', async () => {
	const lab = arrayJob('job-000720', { team: 'lab', priority: 'idle', tasks: 32, expectedS: 500 })
	// The guarantee has room for only one of the two jobs: the other waits.
	const own = [721, 722].map((n) => arrayJob(`job-000${n}`, { tasks: 12, expectedS: 20 }))
	const simulation = new Simulation({
		seed: 29,
		untilS: 300,
		controllers: 1,
		capacity: 1,
		guarantees: new Map([
			['core', 12],
			['lab', 0],
		]),
		jobs: [{ atS: 1, spec: lab }, ...own.map((spec) => ({ atS: 60, spec }))],
		faults: [],
	})
	const doneAt: number[] = []
	let preempted = 0
	simulation.onLogLine = (line) => {
		const at = /^(\d+) .* job terminal .*job-00072[12]/.exec(line)
		if (at !== null) doneAt.push(Number(at[1]) / 1000)
		if (line.includes('tasks preempted')) preempted++
	}
	await simulation.run()
	assert.deepEqual(simulation.invariants.violations, [])
	assert.equal(doneAt.length, 2)
	assert.ok(doneAt[0] < 100 && doneAt[1] < 140, `jobs of 20 s submitted at 60 s finished at ${doneAt}`)
	assert.ok(
		preempted >= 8 && preempted <= 16,
		`${preempted} tasks of the guest team were preempted for 12 CPUs`,
	)
})

test('many one-task jobs: terminal states share changes, and no progress is written', async () => {
	const simulation = new Simulation({
		seed: 28,
		untilS: 150,
		capacity: 8,
		jobs: Array.from({ length: 150 }, (_, i) => ({
			atS: 1 + i * 0.3,
			spec: arrayJob(`job-0005${String(i).padStart(3, '0')}`, { tasks: 1, cpus: 0.25, expectedS: 12 }),
		})),
		faults: [],
	})
	await simulation.run()
	assert.deepEqual(simulation.invariants.violations, [])
	assert.deepEqual(simulation.invariants.unfinishedJobs(), [], 'every job reaches a terminal state')
	assert.equal(simulation.state.countChanges('job/').set, 0, 'no progress is written for a job with one task')
	const pages = simulation.state.countChanges('over/')
	assert.ok(
		pages.set + pages.deleted < 150,
		`${pages.set} changes for 150 terminal states, ${pages.deleted} deletions`,
	)
	const intake = simulation.state.countChanges('intake/')
	assert.ok(intake.set <= 150, `${intake.set} changes for 150 acceptances`)
})

test('several teams: a guarantee above the limit, a limit below one task', async () => {
	const guest = arrayJob('job-000730', { team: 'lab', priority: 'idle', tasks: 20, expectedS: 8 })
	const tooLarge = arrayJob('job-000731', { team: 'tiny', cpus: 2 })
	const simulation = new Simulation({
		seed: 35,
		untilS: 500,
		guarantees: new Map([
			['core', 20],
			['lab', 0],
			['tiny', 0],
		]),
		limits: new Map([
			['core', 10],
			['tiny', 1],
		]),
		jobs: [...mixedJobs(8), { atS: 2, spec: guest }, { atS: 30, spec: tooLarge }],
		faults: [{ atS: 50, kind: 'crash', who: [0, 1, 2] }],
	})
	await simulation.run()
	// The invariant checker compares each team's use with its limit throughout.
	assert.deepEqual(simulation.invariants.violations, [])
	assert.deepEqual(
		simulation.invariants.unfinishedJobs(),
		[tooLarge.uid],
		'all jobs finish but the one that can never run',
	)
})

test('a late heartbeat with an older sequence than a controller has seen moves no task', async () => {
	const simulation = new Simulation({
		seed: 34,
		untilS: 400,
		jobs: mixedJobs(16),
		faults: [
			{ atS: 40, kind: 'crash', who: [0, 1] },
			{ atS: 62, kind: 'crash', who: [2] },
		],
	})
	const oldHeartbeats: unknown[] = []
	for (const atS of [15, 20, 25, 30, 35, 45, 55])
		simulation.clock.after(atS * 1000, () => {
			for (const worker of simulation.workers.values())
				if (!worker.stopped) oldHeartbeats.push(worker.handle('/inspect', undefined).body)
		})
	let repeated = 0
	for (const atS of [38, 42, 46, 50, 58, 64, 68, 75])
		simulation.clock.after(atS * 1000, () => {
			for (const body of oldHeartbeats)
				for (const i of [0, 1, 2])
					void simulation.sendRequest(i, 'POST', '/checkin', body).then(() => repeated++)
		})
	await simulation.run()
	assert.deepEqual(simulation.invariants.violations, [])
	assert.deepEqual(simulation.invariants.unfinishedJobs(), [], 'every job reaches a terminal state')
	assert.ok(repeated > 400, `${repeated} late heartbeats`)
	// No machine crashes here: apart from a few that moved, a task that starts twice was wrongly taken for lost.
	const tasks = mixedJobs(16).reduce((sum, submission) => sum + submission.spec.tasks, 0)
	assert.ok(
		simulation.invariants.taskPlacements <= tasks * 1.1,
		`${simulation.invariants.taskPlacements} starts of ${tasks} tasks`,
	)
})

test('an array of 100,000 tasks finishes across a crash of all controllers', async () => {
	const spec = arrayJob('job-000640', { tasks: 100_000, cpus: 0.1, ramGb: 0.1, expectedS: 3, imageGb: 0.5 })
	const simulation = new Simulation({
		seed: 31,
		untilS: 300,
		capacity: 8,
		jobs: [{ atS: 1, spec }],
		faults: [{ atS: 60, kind: 'crash', who: [0, 1, 2], forS: 4 }],
	})
	await simulation.run()
	assert.deepEqual(simulation.invariants.violations, [])
	assert.deepEqual(simulation.invariants.unfinishedJobs(), [], 'the array finishes')
	// 98 keys of task ranges, each written when the write rate permits, and deleted at the end.
	const progress = simulation.state.countChanges('done/')
	assert.ok(progress.set > 97 && progress.set < 3000, `${progress.set} changes of progress`)
	assert.equal(progress.deleted, 97, 'no progress remains')
})
