import assert from 'node:assert/strict'
import { test } from 'node:test'
import { arrayJob, Simulation } from '@heathroad/testkit'

interface MachineRelease {
	atS: number
	machines: number
}

/** Collects the machine releases that the controllers log with this reason. */
const recordReleases = (simulation: Simulation, reason: string): readonly MachineRelease[] => {
	const releases: MachineRelease[] = []
	const forwardLine = simulation.onLogLine
	simulation.onLogLine = (line) => {
		forwardLine(line)
		const machines = line.includes(' machines releasing ') ? line.split(`(${reason})`).length - 1 : 0
		if (machines > 0) releases.push({ atS: Number(line.split(' ')[0]) / 1000, machines })
	}
	return releases
}

/** Time at which the machines are partitioned from the controllers */
const PARTITION_START_S = 45

const partitions: {
	name: string
	workerTimes: { heartbeatIntervalS: number; leaseS: number; cancelS: number }
	forS: number
}[] = [
	// Two agent leases: the silent machines have lost their tasks by then, but are not yet given up.
	{
		name: 'kept during the partition (incident 15)',
		workerTimes: { heartbeatIntervalS: 1, leaseS: 10, cancelS: 30 },
		forS: 20,
	},
	// They reconnect one by one over a heartbeat interval: the last of them must not be released because they are few.
	{
		name: 'kept while they reconnect (incident 19)',
		workerTimes: { heartbeatIntervalS: 4, leaseS: 16, cancelS: 40 },
		forS: 40,
	},
]

for (const { name, workerTimes, forS } of partitions)
	test(`machines that are partitioned together are ${name}`, async () => {
		const simulation = new Simulation({
			seed: 41,
			untilS: 320,
			capacity: 12,
			workerTimes,
			jobs: Array.from({ length: 24 }, (_, i) => ({
				atS: 1 + i * 0.5,
				spec: arrayJob(`job-0008${String(i).padStart(2, '0')}`, { tasks: 16, expectedS: 40 }),
			})),
			faults: [{ atS: PARTITION_START_S, kind: 'machinesCut', forS }],
		})
		const silentReleases = recordReleases(simulation, 'silent')
		let partitionedMachines = 0
		simulation.clock.after(45_500, () => {
			partitionedMachines = Math.floor(simulation.workers.size / 2)
		})
		await simulation.run()
		assert.deepEqual(simulation.invariants.violations, [])
		assert.deepEqual(simulation.invariants.unfinishedJobs(), [], 'every job finishes')
		// A shard releases its silent machines if they are fewer than two fifths of all: such releases are allowed.
		const untilS = PARTITION_START_S + forS + workerTimes.heartbeatIntervalS * 1.5
		const releasedEarly = silentReleases
			.filter(({ atS }) => atS > PARTITION_START_S && atS < untilS)
			.reduce((sum, { machines }) => sum + machines, 0)
		assert.ok(
			partitionedMachines >= 10 && releasedEarly * 3 <= partitionedMachines,
			`${releasedEarly} of ${partitionedMachines} machines were released`,
		)
	})

test('jobs of a shard that is partitioned from its zone migrate to shards that can run them', async () => {
	const partition = { fromS: 60, forS: 120 }
	const simulation = new Simulation({
		seed: 43,
		untilS: 400,
		controllers: 4,
		capacity: 10,
		jobs: Array.from({ length: 60 }, (_, i) => ({
			atS: 1 + i * 0.9,
			spec: arrayJob(`job-0010${String(i).padStart(2, '0')}`, { tasks: 24, expectedS: 12 }),
		})),
		faults: [{ atS: partition.fromS, kind: 'zoneCut', zone: 'b', who: [1, 3], forS: partition.forS }],
	})
	const migratedUids = new Set<string>()
	const terminalAtS = new Map<string, number>()
	simulation.onLogLine = (line) => {
		const event = /^(\d+) \S+ (job migrating|job terminal) .*"uid":"([^"]+)"/.exec(line)
		if (event === null) return
		const [, atMs, name, uid] = event
		if (name === 'job migrating') migratedUids.add(uid)
		else if (!terminalAtS.has(uid)) terminalAtS.set(uid, Number(atMs) / 1000)
	}
	await simulation.run()
	assert.deepEqual(simulation.invariants.violations, [])
	assert.deepEqual(simulation.invariants.unfinishedJobs(), [], 'every job finishes')
	const finishedDuringPartition = [...migratedUids].filter(
		(uid) => (terminalAtS.get(uid) ?? Number.POSITIVE_INFINITY) < partition.fromS + partition.forS,
	)
	assert.ok(migratedUids.size >= 3, `${migratedUids.size} jobs migrated`)
	assert.ok(
		finishedDuringPartition.length * 2 >= migratedUids.size,
		`${finishedDuringPartition.length} of ${migratedUids.size} migrated jobs finished during the partition`,
	)
})

test('after a restart of all controllers with many machines, requests are limited and no agent lease is lost', async () => {
	const tasks = 40 * 130
	const simulation = new Simulation({
		seed: 42,
		untilS: 110,
		controllers: 5,
		capacity: 150,
		workerTimes: { heartbeatIntervalS: 4, leaseS: 26, cancelS: 46 },
		jobs: Array.from({ length: 40 }, (_, i) => ({
			atS: 1 + i * 0.1,
			spec: arrayJob(`job-0009${String(i).padStart(2, '0')}`, { tasks: 130, expectedS: 45 }),
		})),
		faults: [{ atS: 50, kind: 'crash', who: [0, 1, 2, 3, 4], forS: 4 }],
	})
	const reconciledAtS: number[] = []
	simulation.onLogLine = (line) => {
		const atS = Number(line.split(' ')[0]) / 1000
		if (atS > 50 && line.includes('shard reconciled')) reconciledAtS.push(atS)
	}
	let machines = 0
	let crashedMachines = 0
	const before = { requests: 0, started: 0 }
	const after = { requests: 0, started: 0 }
	simulation.clock.after(49_900, () => {
		machines = simulation.workers.size
		// Some machines crash just before the restart: at this size some nearly always have.
		for (const [index, worker] of [...simulation.workers.values()].entries())
			if (index % 100 === 0) {
				worker.stop()
				crashedMachines++
			}
		before.requests = simulation.state.requests
		before.started = simulation.invariants.taskPlacements
	})
	simulation.clock.after(64_000, () => {
		after.requests = simulation.state.requests
		after.started = simulation.invariants.taskPlacements
	})
	await simulation.run()
	assert.deepEqual(simulation.invariants.violations, [])
	assert.ok(machines >= 450, `${machines} machines`)
	assert.equal(reconciledAtS.length, 5, 'every shard is owned and reconciled once')
	// 4 s until the controllers are back, then 0.3 of a controller lease for the crashed machines.
	assert.ok(Math.max(...reconciledAtS) < 58, `reconciled at ${reconciledAtS}`)
	const requests = after.requests - before.requests
	assert.ok(
		requests < 90 * 10,
		`${requests} requests in the 10 s after the restart, of 900 allowed for five controllers`,
	)
	const lostLeases = [...simulation.workers.values()].filter(
		(worker) => !worker.stopped && worker.agentEpoch > 1,
	).length
	assert.equal(lostLeases, 0, 'no machine lost its agent lease')
	// Only the tasks of the crashed machines start again.
	assert.ok(
		simulation.invariants.taskPlacements <= tasks + crashedMachines * 8 + 8,
		`${simulation.invariants.taskPlacements} starts of ${tasks} tasks, ${crashedMachines} machines crashed`,
	)
})
