import assert from 'node:assert/strict'
import { test } from 'node:test'
import { arrayJob, Simulation } from '@heathroad/testkit'

/** Releases of machines for a reason, as the controllers log them. */
const releases = (world: Simulation, why: string): { atS: number; machines: number }[] => {
	const out: { atS: number; machines: number }[] = []
	const tell = world.tell
	world.tell = (line) => {
		tell(line)
		const n = line.includes(' machines releasing ') ? line.split(`(${why})`).length - 1 : 0
		if (n > 0) out.push({ atS: Number(line.split(' ')[0]) / 1000, machines: n })
	}
	return out
}

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
		const world = new Simulation({
			seed: 41,
			untilS: 320,
			capacity: 12,
			report,
			jobs: Array.from({ length: 24 }, (_, i) => ({
				atS: 1 + i * 0.5,
				spec: arrayJob(`job-0008${String(i).padStart(2, '0')}`, { tasks: 16, expectedS: 40 }),
			})),
			faults: [{ atS: 45, kind: 'machinesCut', forS }],
		})
		const silent = releases(world, 'silent')
		let cut = 0
		world.clock.after(45_500, () => {
			cut = Math.floor(world.workers.size / 2)
		})
		await world.play()
		assert.deepEqual(world.invariants.violations, [])
		assert.deepEqual(world.invariants.unfinished(), [], 'every job ends')
		// A part of which fewer than two fifths are silent returns them: those are few.
		const until = 45 + forS + report.reportS * 1.5
		const early = silent.filter((r) => r.atS > 45 && r.atS < until).reduce((n, r) => n + r.machines, 0)
		assert.ok(cut >= 10 && early * 3 <= cut, `${early} of ${cut} machines were returned`)
	})

test('jobs of a part whose zone is cut off move to parts that can run them', async () => {
	const cut = { from: 60, forS: 120 }
	const world = new Simulation({
		seed: 43,
		untilS: 400,
		controllers: 4,
		capacity: 10,
		jobs: Array.from({ length: 60 }, (_, i) => ({
			atS: 1 + i * 0.9,
			spec: arrayJob(`job-0010${String(i).padStart(2, '0')}`, { tasks: 24, expectedS: 12 }),
		})),
		faults: [{ atS: cut.from, kind: 'zoneCut', zone: 'b', who: [1, 3], forS: cut.forS }],
	})
	const moved = new Set<string>()
	const over = new Map<string, number>()
	world.tell = (line) => {
		const at = /^(\d+) \S+ (job migrating|job terminal) .*"uid":"([^"]+)"/.exec(line)
		if (at === null) return
		if (at[2] === 'job migrating') moved.add(at[3])
		else if (!over.has(at[3])) over.set(at[3], Number(at[1]) / 1000)
	}
	await world.play()
	assert.deepEqual(world.invariants.violations, [])
	assert.deepEqual(world.invariants.unfinished(), [], 'every job ends')
	const during = [...moved].filter((uid) => (over.get(uid) ?? Number.POSITIVE_INFINITY) < cut.from + cut.forS)
	assert.ok(moved.size >= 3, `${moved.size} jobs moved`)
	assert.ok(during.length * 2 >= moved.size, `${during.length} of ${moved.size} ended while the cut lasted`)
})

test('many machines and all controllers restart together: work is bounded by counts, no lease is lost', async () => {
	const tasks = 40 * 130
	const world = new Simulation({
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
	const rebuilt: number[] = []
	world.tell = (line) => {
		const at = Number(line.split(' ')[0]) / 1000
		if (at > 50 && line.includes('shard reconciled')) rebuilt.push(at)
	}
	let machines = 0
	let dead = 0
	const before = { requests: 0, started: 0, changes: 0 }
	const after = { requests: 0, started: 0 }
	world.clock.after(49_900, () => {
		machines = world.workers.size
		// Some are dead at the moment of the restart, as at such sizes there nearly always are.
		for (const [i, w] of [...world.workers.values()].entries())
			if (i % 100 === 0) {
				w.die()
				dead++
			}
		before.requests = world.state.requests
		before.started = world.invariants.started
	})
	world.clock.after(64_000, () => {
		after.requests = world.state.requests
		after.started = world.invariants.started
	})
	await world.play()
	assert.deepEqual(world.invariants.violations, [])
	assert.ok(machines >= 450, `${machines} machines`)
	assert.equal(rebuilt.length, 5, 'every part is owned and rebuilt once')
	// 4 s until the processes are back, then 0.3 of a grant for the dead ones.
	assert.ok(Math.max(...rebuilt) < 58, `rebuilt at ${rebuilt}`)
	const requests = after.requests - before.requests
	assert.ok(
		requests < 90 * 10,
		`${requests} requests in the 10 s after the restart, of 900 that five may make`,
	)
	const lost = [...world.workers.values()].filter((w) => !w.dead && w.tenure > 1).length
	assert.equal(lost, 0, 'no machine lost its lease')
	// Nothing runs again but what the dead machines held.
	assert.ok(
		world.invariants.started <= tasks + dead * 8 + 8,
		`${world.invariants.started} starts of ${tasks} tasks, ${dead} dead`,
	)
})
