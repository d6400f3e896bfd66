/**
 * Small jobs while a controller crashes about each second (incident 28, "not mended"). Owners of a shard live for a second or
 * two; its machines are up and empty, but none reaches an owner while it lives. The job then migrates to a shard whose
 * machines are being returned, which has to rent one and boot it under owners as short-lived.
 *
 * On seed 49 a job of a third of a second, accepted at 12.6 s, migrates at 17.0 s from shard 0, whose machines are up,
 * to shard 1, whose three machines are returned from 16.0 s on, and has not run at 75 s.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { arrayJob, type Fault, Simulation, VirtualClock } from '@heathroad/testkit'

const CONTROLLERS = 3
const MACHINES = 12
const JOBS = 30
const FIRST_JOB = 100_000
const JOBS_PER_SEED = 100
const SEEDS = [39, 49, 166]
/** The crashes, in seconds: from when until when, their distance, and how long a controller is down. */
const CRASHES = { from: 2.5, until: 65, minDistance: 0.5, minDown: 0.4 }
/** Every job has to be over so long after its acceptance, in ms: the time that the check of streams allows. */
const MAX_MS = 60_000
const UNTIL_S = 75

const crashesOf = (seed: number): Fault[] => {
	const generator = new VirtualClock(seed)
	const faults: Fault[] = []
	for (let atS = CRASHES.from; atS < CRASHES.until; atS += CRASHES.minDistance + generator.random())
		faults.push({
			atS,
			kind: 'crash',
			who: [Math.floor(generator.random() * CONTROLLERS)],
			forS: CRASHES.minDown + generator.random(),
		})
	return faults
}

const jobsOf = (seed: number) =>
	Array.from({ length: JOBS }, (_, index) => ({
		atS: 2 + index * 0.025,
		spec: arrayJob(`job-${FIRST_JOB + seed * JOBS_PER_SEED + index}`, {
			tasks: 1 + (index % 3),
			cpus: 0.5,
			expectedS: 0.3,
			imageGb: 0.05,
			spot: false,
		}),
	}))

/** Moments at which controllers logged an event of a job, in ms, the first of each job. */
const momentsOf = (log: readonly string[], event: string): Map<string, number> => {
	const moments = new Map<string, number>()
	for (const line of log) {
		const [, atMs, uid] = new RegExp(`^(\\d+) ctl-\\d ${event} .*"uid":"(job-\\d+)"`).exec(line) ?? []
		if (uid !== undefined && !moments.has(uid)) moments.set(uid, Number(atMs))
	}
	return moments
}

test('small jobs are over within a minute while controllers crash each second', async () => {
	const late: string[] = []
	for (const seed of SEEDS) {
		const simulation = new Simulation({
			seed,
			untilS: UNTIL_S,
			jobs: jobsOf(seed),
			faults: crashesOf(seed),
			report: { reportS: 0.5, leaseS: 6, cancelS: 14 },
			up: MACHINES,
			capacity: 0,
		})
		const log: string[] = []
		simulation.tell = (line) => log.push(line)
		await simulation.play()
		assert.deepEqual(simulation.invariants.violations, [], `seed ${seed}`)
		const ended = momentsOf(log, 'job terminal')
		const accepted = momentsOf(log, 'job accepted')
		assert.ok(accepted.size >= JOBS - CONTROLLERS, `seed ${seed}: ${accepted.size} jobs`)
		for (const [uid, acceptedAt] of accepted) {
			const tookMs = (ended.get(uid) ?? Number.POSITIVE_INFINITY) - acceptedAt
			if (tookMs > MAX_MS) late.push(`seed ${seed}: ${uid} took ${tookMs} ms`)
		}
	}
	assert.deepEqual(late, [])
})
