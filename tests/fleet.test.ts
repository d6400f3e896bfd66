import assert from 'node:assert/strict'
import { test } from 'node:test'
import { arrayJob, Simulation } from '@heathroad/testkit'

interface MachineRelease {
	atS: number
	machines: number
}

/** Collects the releases of machines for a reason, as the controllers log them. */
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

/** when the machines are cut off */
const CUT_AT_S = 45

const cuts: { name: string; report: { reportS: number; leaseS: number; cancelS: number }; forS: number }[] = [
	// Two leases: longer than the tasks of the silent ones stay theirs, shorter than they are given up.
	{
		name: 'kept while it lasts (incident 15)',
		report: { reportS: 1, leaseS: 10, cancelS: 30 },
		forS: 20,
	},
	// They come back one after the other over a report period: the last of them are not returned for being few.
	{
		name: 'kept as they come back (incident 19)',
		report: { reportS: 4, leaseS: 16, cancelS: 40 },
		forS: 40,
	},
]

for (const { name, report, forS } of cuts)
	test(`machines that are silent together are ${name}`, async () => {
		const simulation = new Simulation({
			seed: 41,
			untilS: 320,
			capacity: 12,
			report,
			jobs: Array.from({ length: 24 }, (_, i) => ({
				atS: 1 + i * 0.5,
				spec: arrayJob(`job-0008${String(i).padStart(2, '0')}`, { tasks: 16, expectedS: 40 }),
			})),
			faults: [{ atS: CUT_AT_S, kind: 'machinesCut', forS }],
		})
		const silentReleases = recordReleases(simulation, 'silent')
		let cutMachines = 0
		simulation.clock.after(45_500, () => {
			cutMachines = Math.floor(simulation.workers.size / 2)
		})
		await simulation.run()
		assert.deepEqual(simulation.invariants.violations, [])
		assert.deepEqual(simulation.invariants.unfinished(), [], 'every job ends')
		// A shard of which fewer than two fifths are silent returns them: those are few.
		const untilS = CUT_AT_S + forS + report.reportS * 1.5
		const returnedEarly = silentReleases
			.filter(({ atS }) => atS > CUT_AT_S && atS < untilS)
			.reduce((sum, { machines }) => sum + machines, 0)
		assert.ok(
			cutMachines >= 10 && returnedEarly * 3 <= cutMachines,
			`${returnedEarly} of ${cutMachines} machines were returned`,
		)
	})

test('jobs of a shard whose zone is cut off migrate to shards that can run them', async () => {
	const cut = { fromS: 60, forS: 120 }
	const simulation = new Simulation({
		seed: 43,
		untilS: 400,
		controllers: 4,
		capacity: 10,
		jobs: Array.from({ length: 60 }, (_, i) => ({
			atS: 1 + i * 0.9,
			spec: arrayJob(`job-0010${String(i).padStart(2, '0')}`, { tasks: 24, expectedS: 12 }),
		})),
		faults: [{ atS: cut.fromS, kind: 'zoneCut', zone: 'b', who: [1, 3], forS: cut.forS }],
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
	assert.deepEqual(simulation.invariants.unfinished(), [], 'every job ends')
	const endedDuringCut = [...migratedUids].filter(
		(uid) => (terminalAtS.get(uid) ?? Number.POSITIVE_INFINITY) < cut.fromS + cut.forS,
	)
	assert.ok(migratedUids.size >= 3, `${migratedUids.size} jobs migrated`)
	assert.ok(
		endedDuringCut.length * 2 >= migratedUids.size,
		`${endedDuringCut.length} of ${migratedUids.size} ended while the cut lasted`,
	)
})

test('many machines and all controllers restart together: work is bounded by counts, no lease is lost', async () => {
	const tasks = 40 * 130
	const simulation = new Simulation({
		seed: 42,
		untilS: 110,
		controllers: 5,
		capacity: 150,
		report: { reportS: 4, leaseS: 26, cancelS: 46 },
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
	let deadMachines = 0
	const before = { requests: 0, started: 0 }
	const after = { requests: 0, started: 0 }
	simulation.clock.after(49_900, () => {
		machines = simulation.workers.size
		// Some are dead at the moment of the restart, as at such sizes there nearly always are.
		for (const [index, worker] of [...simulation.workers.values()].entries())
			if (index % 100 === 0) {
				worker.die()
				deadMachines++
			}
		before.requests = simulation.state.requests
		before.started = simulation.invariants.started
	})
	simulation.clock.after(64_000, () => {
		after.requests = simulation.state.requests
		after.started = simulation.invariants.started
	})
	await simulation.run()
	assert.deepEqual(simulation.invariants.violations, [])
	assert.ok(machines >= 450, `${machines} machines`)
	assert.equal(reconciledAtS.length, 5, 'every shard is owned and reconciled once')
	// 4 s until the processes are back, then 0.3 of a controller lease for the dead ones.
	assert.ok(Math.max(...reconciledAtS) < 58, `reconciled at ${reconciledAtS}`)
	const requests = after.requests - before.requests
	assert.ok(
		requests < 90 * 10,
		`${requests} requests in the 10 s after the restart, of 900 that five may make`,
	)
	const lost = [...simulation.workers.values()].filter((worker) => !worker.dead && worker.tenure > 1).length
	assert.equal(lost, 0, 'no machine lost its lease')
	// Nothing runs again but what the dead machines held.
	assert.ok(
		simulation.invariants.started <= tasks + deadMachines * 8 + 8,
		`${simulation.invariants.started} starts of ${tasks} tasks, ${deadMachines} dead`,
	)
})
