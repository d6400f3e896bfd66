/**
 * Checks over many seeds in virtual time that every reader receives exactly one terminal event of every job or is notified
 * of a gap, and that a stream by ids never ends as complete without an event for each id.
 *
 * Guards against the missed terminal events of incidents 27 and 30, whatever their cause: controllers crash every few
 * seconds, just after the record format changed, while states are archived, and while readers start and resume.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { JobEvent, Selection } from '@heathroad/events'
import { arrayJob, attachStreams, type Fault, Simulation, StreamReader } from '@heathroad/testkit'

const CONTROLLERS = 3
const SEEDS = Array.from({ length: 8 }, (_, index) => 401 + index)
const SMALL_ARCHIVE = { archiveBatchSize: 4, writeRateShare: 0.5, pageCacheMb: 0.1 }
const JOBS = 24
/** When crashes begin and end, and the mean time between two of them, in seconds. */
const CRASHES = { from: 5, until: 80, everyS: 4 }
const UNTIL_S = 160
/** When readers by ids start, in seconds; the last one starts after all crashes. */
const READERS_FROM_S = [0, 15, 35, 55, 110]
const TEAM_READERS = 4

const jobs = Array.from({ length: JOBS }, (_, index) => ({
	atS: 1 + index * 2.5,
	spec: arrayJob(`job-0029${String(index).padStart(2, '0')}`, { tasks: 1 + (index % 3), expectedS: 2 }),
	...(index % 5 === 4 ? { cancelAtS: 2 + index * 2.5 } : {}),
}))
const uids = jobs.map((job) => job.spec.uid)

/** One controller is down at first, in seconds: records keep their first format until all controllers are up. */
const FIRST_FORMAT = { from: 0.6, forS: 50 }

/** Returns the crashes of a seed; they depend on the seed alone. */
const crashesOf = (seed: number): Fault[] => {
	const downAtFirst = seed % CONTROLLERS
	const faults: Fault[] = [
		{ atS: FIRST_FORMAT.from, kind: 'crash', who: [downAtFirst], forS: FIRST_FORMAT.forS },
	]
	for (let atS = CRASHES.from, index = seed; atS < CRASHES.until; index++) {
		const controller = index % CONTROLLERS
		const isDown = controller === downAtFirst && atS < FIRST_FORMAT.from + FIRST_FORMAT.forS
		if (!isDown) faults.push({ atS, kind: 'crash', who: [controller], forS: 0.5 + (index % 4) / 2 })
		atS += CRASHES.everyS * (0.5 + ((index * 7) % 10) / 10)
	}
	return faults
}

class Reader {
	readonly terminalEvents = new Map<string, number>()
	/** the reader was notified that it cannot resume, and has to restart its stream */
	hasGap = false
	readonly completionErrors: string[] = []

	constructor(
		readonly name: string,
		readonly selection: Selection,
	) {}

	observe({ uid, state }: JobEvent): void {
		if (state !== 'done' && state !== 'cancelled') return
		this.terminalEvents.set(uid, (this.terminalEvents.get(uid) ?? 0) + 1)
	}

	onComplete(): void {
		const missing = uids.filter((uid) => !this.terminalEvents.has(uid))
		if (missing.length > 0) this.completionErrors.push(`${this.name}: complete without ${missing.join(' ')}`)
	}

	/** Returns all errors; a team's stream starts with the open jobs, so the first job may be finished before it. */
	errors(): string[] {
		if (this.hasGap) return this.completionErrors
		const expected = 'uids' in this.selection ? uids : uids.slice(1)
		const counts = expected.map((uid) => ({ uid, count: this.terminalEvents.get(uid) ?? 0 }))
		const unexpected = counts.filter(({ count }) => count !== 1)
		return [
			...this.completionErrors,
			...unexpected.map(({ uid, count }) => `${this.name}: ${count} events of ${uid}`),
		]
	}
}

test('every reader receives one terminal event of each job or is notified of a gap, whenever controllers crash', async () => {
	let crashes = 0
	for (const seed of SEEDS) {
		const faults = crashesOf(seed)
		crashes += faults.length
		const simulation = new Simulation({ seed, untilS: UNTIL_S, jobs, faults, history: SMALL_ARCHIVE })
		const streams = attachStreams(simulation)
		const readers: Reader[] = []
		const start = (reader: Reader) => {
			readers.push(reader)
			new StreamReader(simulation, streams, CONTROLLERS, reader.selection, {
				opened: () => {},
				rejected: () => {
					reader.hasGap = true
				},
				received: (_controller, event) => reader.observe(event),
				completed: () => reader.onComplete(),
			})
		}
		for (const fromS of READERS_FROM_S)
			simulation.clock.after(fromS * 1000, () => start(new Reader(`by ids from ${fromS} s`, { uids })))
		for (let index = 0; index < TEAM_READERS; index++) start(new Reader(`by team ${index}`, { team: 'core' }))
		await simulation.run()
		assert.deepEqual(simulation.invariants.violations, [], `seed ${seed}`)
		assert.deepEqual(simulation.invariants.unfinishedJobs(), [], `seed ${seed}`)
		assert.deepEqual(
			readers.flatMap((reader) => reader.errors()),
			[],
			`seed ${seed}`,
		)
		const refusedById = readers.filter(({ hasGap, selection }) => hasGap && 'uids' in selection)
		assert.deepEqual(refusedById, [], 'a reader by ids can always resume')
	}
	assert.ok(crashes > SEEDS.length * 10, `${crashes} crashes`)
})
